package logic

import "slices"

// What must still hold when a hand-off is written that had to wait for a connection. It was ordered by what held then; lists,
// release statuses and ends of other hand-offs may have come since.

// HandOffConnected takes that a connection has come free for a hand-off that had to wait for one. Result.Withhold says that
// it must not be written any more; the caller then ends it as Unsent. Otherwise it counts from now on, not from when
// it was ordered, against the bounds on exposure and on the load of a cold worker, and its deduplication window begins. The Result holds nothing else to do.
func (s *Sentry) HandOffConnected(now Micros, id TransactionID, number int) Result {
	s.now = max(s.now, now)
	t := s.openTransactions[id]
	withhold := t == nil || number < 0 || number >= len(t.handOffs) || !s.mayStillSend(t, &t.handOffs[number])
	if !withhold {
		t.handOffs[number].writtenAt = s.now
	}
	return Result{Withhold: withhold, WakeAt: s.nextWake()}
}

// mayStillSend reports whether the conditions of a hand-off that has not been written hold now.
func (s *Sentry) mayStillSend(t *transaction, h *handOff) bool {
	w := &s.workers[h.worker]
	if t.closed || h.ended || w.State != Ready || w.Build != h.build || !s.hasLease(h.worker) {
		return false
	}
	return s.mayRepeatAt(t, h) && s.buildMayTake(t, h) && s.coldWorkerMayTake(h)
}

// mayRepeatAt reports whether the other hand-offs of a deduplicated transaction that may have run allow this one: workers of
// its group remember them.
func (s *Sentry) mayRepeatAt(t *transaction, h *handOff) bool {
	if t.profile.Repeatability != Deduplicated {
		return true
	}
	for i := range t.handOffs {
		other := &t.handOffs[i]
		if other == h || !other.mayHaveRun {
			continue
		}
		if s.now >= other.writtenAt+t.profile.DedupWindow-s.config.TimerGranularity || !s.sharesDedupScope(t.profile, other.worker, h.worker) {
			return false
		}
	}
	return true
}

// sharesDedupScope reports whether two workers drop retries of the same transactions of a profile.
func (s *Sentry) sharesDedupScope(profile *Profile, a, b int) bool {
	first, second := &s.workers[a], &s.workers[b]
	switch profile.DedupScope {
	case ScopeZone:
		return first.Zone == second.Zone
	case ScopeCell:
		return first.Cell == second.Cell
	}
	return true
}

// buildMayTake reports whether the release allows a hand-off to its build now, and counts one to the trial from now on.
func (s *Sentry) buildMayTake(t *transaction, h *handOff) bool {
	trial, onTrial := s.trialBuild()
	switch {
	case onTrial && h.build == trial:
		guarded := s.release.Stage < s.config.GuardedStages && t.profile.Repeatability != Idempotent
		return !guarded && s.recountExposure(t, h)
	case onTrial:
		return s.keyStateOf(t, h) == keyUnknown
	case !s.release.Valid:
		return true
	case s.release.Phase == Released && s.config.ForwardOnly && t.Key != "":
		return h.build >= s.release.Build // the key may have met the build before its release
	case s.release.Phase == Released:
		return true
	}
	return h.build != s.release.Build // it goes back
}

// recountExposure moves a hand-off to the trial from the time at which it was ordered to now, and reports whether the
// exposure bound allows it there.
func (s *Sentry) recountExposure(t *transaction, h *handOff) bool {
	counters := t.exposureCounters()
	for _, c := range counters {
		s.exposedTimes[c] = deleteTime(s.exposedTimes[c], h.sentAt)
	}
	if !s.withinExposureBound(t, s.keyStateOf(t, h) != keyUnknown) {
		return false
	}
	for _, c := range counters {
		s.exposedTimes[c] = append(s.exposedTimes[c], s.now)
	}
	return true
}

// coldWorkerMayTake moves a hand-off to a cold worker from the time at which it was ordered to now, and reports whether
// the worker may get it there.
func (s *Sentry) coldWorkerMayTake(h *handOff) bool {
	s.coldHandOffs[h.worker] = deleteTime(s.coldHandOffs[h.worker], h.sentAt)
	if s.atColdLimit(h.worker) {
		return false
	}
	s.coldHandOffs[h.worker] = append(s.coldHandOffs[h.worker], s.now)
	return true
}

// deleteTime removes one occurrence of a time, if there is one. The times must be in ascending order.
func deleteTime(times []Micros, at Micros) []Micros {
	if position, found := slices.BinarySearch(times, at); found {
		return slices.Delete(times, position, position+1)
	}
	return times
}
