// Package logic holds every decision of a sentry: which build and worker a transaction goes to, what happens
// when a hand-off fails, and how the sentry votes on the build on trial.
//
// How to call it: make one Sentry with New, from its StandingOrders and a seed, then make one call for each
// thing that happens (Arrive, HandOffEnded, Listed, Told, ...), each with the caller's time. Every call
// returns a Result; carry it out in order and call Wake when its WakeAt comes. Nothing else is kept or
// shared. The types are in port.go. Read the chain first (admit, assign, pick, hand off), the judge last.
package logic

import (
	"cmp"
	"crypto/md5"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
)

const (
	second = Micros(1_000_000)

	// From the design page.
	rollBackExcess   = 4.0        // a sum above it votes back
	maxAdvanceExcess = 2.0        // a sum under it may vote on
	minSampleSize    = 20         // outcomes before a vote on
	settleTime       = 3 * second // a worker this young is not judged on time
	observationTime  = 5 * second
	initialMissRate  = 0.05 // assumed before anything was seen

	// Open on the design page.
	releasedLimitIncrease   = 0.5  // more to vote back what is released: it has passed, and to go back costs all
	lastStageWarmUpDivisor  = 2    // part of the warm-up for which the trial carries all before the last vote
	refusedShareSmoothing   = 0.1  // of how many new connections are refused
	newConnectionPenalty    = 20.0 // with which a worker is taken where all are
	zoneLatencySmoothing    = 0.25
	maxZoneLatencyRatio     = 10.0
	toleratedZoneRatio      = 2.0  // times the own zone's, up to which a way is taken for chance
	trialShareFactor        = 1.2  // share sent to the trial build, to its share of what the fleet can do
	overloadLateRate        = 0.2  // the earlier build's rate of late ones from which lateness tells of load alone
	fleetSlowFactor         = 1.6  // a hand-off this many bars of before the trial long counts as late for all
	toleratedFleetSlowShare = 0.2  // excess of these that is let pass
	fleetSlowLatencyRatio   = 1.2  // pace of the quicker workers from which all are slower
	fullWeightPerSecond     = 20.0 // times in a second that count in full
	slowdownPerLoad         = 2.5  // how much the pace rises with load for no fault of a build
	toleratedErrorShare     = 0.01 // excess of errors that is let pass
	errorWeight             = 1.5  // three errors close together reach voteBackAt
	manyTrialWorkers        = 8.0  // from so many of the trial on, a miss at any one says less
	aboveThresholdShare     = 0.2  // share of the earlier build's answers that take longer than the bar
	lateFactor              = 2.5  // a hand-off this many bars long counts as late
	toleratedLateShare      = 0.2  // excess of late ones over twice that rate that is let pass
	lateWeight              = 0.6  // times are noisy: seven late ones close together reach voteBackAt
	rateSmoothing           = 0.02
	latencyRatioSmoothing   = 0.12
	failureRateSmoothing    = 0.25
	otherLoadSmoothing      = 0.4
	downAfterFailures       = 3 // failed tries to reach a worker, seconds apart, after which it has been down
	ejectFailureRate        = 0.5
	nonLoadFailureWeight    = 6.0        // of failures that no load explains, on the load of their worker
	loadTTL                 = 3 * second // for how long what is heard of a worker counts
	slowTTLTransactions     = 20.0       // transactions for which a slow worker is remembered at the least
	toleratedLatencyRatio   = 1.5        // a pace up to it is taken for chance
	initialSubsetSize       = 2          // a working set starts with
	otherZoneRankPenalty    = 1.0        // a worker of another zone joins a working set so much later
	sampledWorkers          = 4          // of the set, to this sentry's share: more would run after the same news
	fewEjectedDivisor       = 4          // one of so many workers
	laterAnswersIfLost      = 4          // so many later ones answered first mean that one is lost
	idleLoad                = 0.5        // up to this load workers are alike, and chance decides
	freeColdHandOffs        = 0.375      // hand-offs to a cold worker that few sentries may send, a second and multiple
	usualLoadSmoothing      = 0.02       // for each quarter second
	coldLoadShare           = 0.5        // of the stated multiple, what a cold worker may get
)

// follow takes over orders. A profile's row is found by its place; what was learnt of it stays.
func (s *Sentry) applyConfig(config Config) {
	config.Sentries = max(1, config.Sentries)
	s.config, s.maxDueTime = config, 0
	for i, profile := range config.Profiles {
		if dueTime := float64(profile.DueTime); i >= len(s.profiles) {
			s.profiles = append(s.profiles, profileStats{
				expectedDuration: dueTime / 6, latencyThreshold: dueTime / 4, earlierMissRate: [missKinds]float64{initialMissRate, initialMissRate}})
			s.takenTimes, s.exposedTimes = append(s.takenTimes, nil), append(s.exposedTimes, nil)
		}
		s.profiles[i].Profile = &profile
		s.maxDueTime, s.maxDeadline = max(s.maxDueTime, profile.DueTime), max(s.maxDeadline, profile.MaxDeadline)
	}
	s.arrivalWindow = max(config.ExposureWindow, config.ColdLoadWindow, second)
	s.maxRuleWindow = max(s.maxRuleWindow, s.arrivalWindow)
}

// Ordered takes other orders while transactions are open and a build is on trial. What is open keeps its
// profile, what rules count goes on, the bound on exposure so far holds beside the new one for its window.
func (s *Sentry) Reconfigure(now Micros, config Config) Result {
	return s.handleEvent(now, func() {
		oldConfig, oldWindow := s.config, float64(s.arrivalWindow)
		oldBound := exposureBound{oldConfig.FreeExposure, oldConfig.ExposureWindow, oldConfig.ExposureByProfile, 0}
		s.formerBounds = slices.DeleteFunc(s.formerBounds, func(bound exposureBound) bool {
			return bound.until <= s.now || exposureBound{bound.free, bound.window, bound.byProfile, 0} == oldBound
		})
		oldBound.until = s.now + oldConfig.ExposureWindow + 4*oldConfig.TimerGranularity
		s.formerBounds = append(s.formerBounds, oldBound)
		s.applyConfig(config)
		s.usualLoad, s.baselineLoad = s.usualLoad*float64(s.arrivalWindow)/oldWindow, s.baselineLoad*float64(s.arrivalWindow)/oldWindow
		if len(s.outcomeCounts) != s.countsLen() { // counts by other places: they start anew under another name
			s.outcomeCounts, s.runID = make([]uint64, s.countsLen()), (s.runID+1)%math.MaxUint32
		}
		s.rerankWorkers()
		s.refreshBuilds()
	})
}

// call frames every call.
func (s *Sentry) handleEvent(now Micros, apply func()) Result {
	if s.firstCallAt > 0 && now > s.now+second { // it wakes more often than that: it has stood still
		s.stalledAt = now
	}
	s.now, s.result = max(s.now, now), Result{}
	s.firstCallAt = cmp.Or(s.firstCallAt, s.now)
	apply()
	if s.config.ListOnRequest && s.now >= s.nextListRequestAt { // keeps the subscription alive
		s.result.WatchList, s.nextListRequestAt = true, s.now+max(second, s.config.MaxListAge/2)
	}
	s.updateVote()
	s.result.WakeAt = s.nextWake()
	return s.result
}

var filterChain []filter

func init() {
	filterChain = []filter{
		{(*Sentry).admit, (*Sentry).closeOrRetry},
		{(*Sentry).assignBuild, (*Sentry).recordBuildOutcome},
		{(*Sentry).pickWorker, (*Sentry).recordWorkerOutcome},
		{(*Sentry).handOff, (*Sentry).recordHandOffEnd},
	}
}

// Wake does what has come due.
func (s *Sentry) Wake(now Micros) Result {
	return s.handleEvent(now, func() {
		for len(s.wakeUps) > 0 && s.wakeUps[0].at <= s.now {
			t := s.wakeUps[0].transaction
			s.wakeUps = s.wakeUps[1:]
			switch {
			case t.closed:
			case t.queued:
				s.runQueued()
			case s.retryBudget < 1:
			case !s.config.MayHedge:
				s.cancelIfLost(t)
			case len(t.handOffs) == 1 && s.mayRetry(t): // suspiciously long: a second copy
				s.retryBudget--
				s.runFilters(t, 1)
			}
		}
	})
}

func (s *Sentry) admit(t *transaction) bool {
	t.slot = s.random.Intn(100)
	s.arrivalTimes = dropUpTo(append(s.arrivalTimes, s.now), s.now-s.arrivalWindow)
	s.newArrivals += uint64(oneIf(!s.isRetry(t))) // what comes again is no more load
	t.profile = s.profiles[t.Profile].Profile
	for _, c := range t.exposureCounters() {
		s.takenTimes[c] = dropUpTo(append(s.takenTimes[c], s.now), s.now-s.maxRuleWindow)
	}
	s.retryBudget = min(s.retryBudget+retryBudgetShare, maxRetryBudget)
	s.openTransactions[t.ID] = t
	return s.underConcurrencyLimit(t) || s.queueOrGiveUp(t)
}

// hasRoom says whether one more may be open. A repeat, or a try of a client in a hurry, wants half of the
// room free: such clients would leave nothing to others. Else an idle worker of the group makes room.
func (s *Sentry) underConcurrencyLimit(t *transaction) bool {
	yields := t.IsRetry || t.Deadline-t.arrivedAt < t.profile.DueTime
	if fits := float64(s.openHandOffs-s.lostHandOffs) < s.concurrencyLimit*(1-retryReservedShare*oneIf(yields)); fits || yields || !s.inGroup() {
		return fits
	}
	workers := s.buildWorkers[s.earlierBuild]
	idle := func(w int) bool { return !s.isOccupied(w) && s.groupOpenNow(w) < maxIdleGroupOpen }
	return slices.ContainsFunc(workers.ready[:workers.groupWorkers], idle)
}

const (
	retryBudgetShare = 0.05 // further hand-offs and copies, to transactions taken
	maxRetryBudget   = 10

	minConcurrencyPerWorker                  = 2.0 // open hand-offs to ready workers at the start; the least, to this sentry's share
	maxConcurrencyPerWorker                  = 8.0
	maxIdleGroupOpen                         = 1.0      // hand-offs at a worker of the group under which it takes more
	retryReservedShare                       = 0.5      // of the room that repeats leave free
	minOwnTrafficLimit                       = 9.0      // that any sentry may have open
	concurrencyIncrease, concurrencyDecrease = 0.1, 1.0 // for each answer in time while the room is used, and for each failure
)

// learnRoom bounds the open hand-offs by how answers come, and by what this sentry's own traffic fills in the
// longest due time, since hundreds with a little too much each jam a fleet that none of them has seen late.
// It guards against overload of any cause; it can do harm where failures are quick, hence its floor.
func (s *Sentry) adjustConcurrencyLimit(stats *profileStats, w int, end HandOffEnd) {
	readyWorkers := float64(max(1, s.readyCount(s.earlierBuild), s.readyCount(s.releaseStatus.Build))) // news come later than lists
	switch {
	case s.consecutiveFailures[w] > 0 || s.failureRate[w] > ejectFailureRate || s.zoneSlowdown(s.workers[w].Zone) > 1: // not the load
	case end.Ending == TimedOut && (end.Duration < stats.DueTime || s.answerLost(w, s.now-end.Duration)): // a hurry, or lost
	case end.Ending == TurnedAway || end.Ending == TimedOut || end.Ending == Answered && end.Duration > stats.DueTime:
		s.concurrencyLimit -= min(concurrencyDecrease, s.concurrencyLimit/4)
	case end.Ending == Answered && float64(s.openHandOffs) >= 0.7*s.concurrencyLimit:
		s.concurrencyLimit += concurrencyIncrease * max(1, 4/s.concurrencyLimit)
	}
	observed := min(s.arrivalWindow, max(second, s.now-s.firstCallAt))
	ownTrafficLimit := max(minOwnTrafficLimit, float64(s.maxDueTime)*float64(len(s.arrivalTimes))/float64(observed))
	// Open at a time by this sentry's usual traffic, in no jam.
	usualOpen := s.usualLoad * s.fleetCapacity / float64(s.arrivalWindow) * min(s.usualDuration(), float64(s.maxDueTime)/8)
	s.concurrencyLimit = min(max(s.concurrencyLimit, minConcurrencyPerWorker*max(readyWorkers/float64(s.config.Sentries), usualOpen), 1), maxConcurrencyPerWorker*readyWorkers, ownTrafficLimit)
}

// assign chooses the build: the two-build hash, under the counter, with keys going forward only.
func (s *Sentry) assignBuild(t *transaction) bool {
	trial, onTrial := s.trialBuild()
	keyOnTrial := s.config.ForwardOnly && onTrial && t.Key != "" && s.trialKeys[t.Key] == trial
	t.worker = -1
	if onTrial {
		if t.Key != "" {
			t.slot = hashSlot(t.Key, s.earlierBuild, trial)
		}
		failedOnTrial := len(t.handOffs) > 0 && t.handOffs[len(t.handOffs)-1].build == trial
		guarded := s.releaseStatus.Stage < s.config.GuardedStages && t.profile.Repeatability != Idempotent
		if keyOnTrial || t.slot < s.trialSlots && !guarded && !failedOnTrial {
			if !guarded && s.withinExposureBound(t, keyOnTrial) {
				t.worker = s.chooseWorker(t, trial)
			}
			return t.worker >= 0 || !keyOnTrial || s.giveUp(t)
		}
	}
	return true
}

// holdBack keeps a transaction while no worker of its build is ready, until an answer in time is unlikely.
func (s *Sentry) queueOrGiveUp(t *transaction) bool {
	deadline := s.queueDeadline(t)
	switch {
	case t.hasOpenHandOff(): // a copy that finds no worker is let go
	case s.now >= deadline:
		return s.giveUp(t)
	case !t.queued:
		t.queued = true
		s.queue = append(s.queue, t)
		s.wakeUp(deadline, t)
	}
	return false
}

// patience is how long a transaction is held: until an answer in time is no longer likely.
func (s *Sentry) queueDeadline(t *transaction) Micros {
	return min(t.arrivedAt+t.profile.DueTime/4, t.Deadline-s.config.TimerGranularity)
}

// release runs what was held again, when the workers or the news have changed.
func (s *Sentry) runQueued() {
	queued := s.queue
	s.queue = nil
	slices.SortStableFunc(queued, func(a, b *transaction) int {
		return cmp.Compare(s.profiles[b.Profile].valuePerWork(), s.profiles[a.Profile].valuePerWork())
	})
	for _, t := range queued {
		switch {
		case t.closed || !t.queued:
		case s.underConcurrencyLimit(t):
			t.queued = false
			s.runFilters(t, 1)
		case s.now >= s.queueDeadline(t):
			s.giveUp(t)
		default:
			s.queue = append(s.queue, t)
		}
	}
}

// giveUp answers at once: a deferral where a retry is harmless, else a write-off.
func (s *Sentry) giveUp(t *transaction) bool {
	profile := t.profile
	mayHaveRun := slices.ContainsFunc(t.handOffs, func(h handOff) bool { return h.mayHaveRun })
	action := Action{Kind: WriteOff, Transaction: t.ID}
	if !mayHaveRun || profile.Repeatability == Idempotent || profile.Repeatability == Deduplicated && profile.DedupScope == ScopeAll {
		action.Kind = Defer
		if s.config.MayNameRetryAfter {
			action.RetryAfter = min(profile.DueTime/2, s.config.MaxRetryAfter)
		}
	}
	s.result.Actions = append(s.result.Actions, action)
	s.givenUp[t.Key]++
	if len(t.handOffs) == 0 && s.releaseStatus.Phase == OnTrial && !s.platformCountsAreCurrent() { // under the bound, slowness shows in these
		s.judgeFleetLatency(&s.profiles[t.Profile], float64(profile.MaxDeadline))
	}
	t.closed = true
	s.removeTransaction(t)
	return false
}

func (s *Sentry) pickWorker(t *transaction) bool {
	if t.worker < 0 {
		t.worker = s.chooseWorker(t, s.earlierBuild)
	}
	return t.worker >= 0 || s.queueOrGiveUp(t)
}

// choose takes the least loaded of the working set: the first few ready workers in this sentry's own order,
// one more whenever all are busy. The orders are drawn by size, so that hundreds with little to do spread
// over the fleet; it can harm where the few happen to be shared with busy sentries and nothing tells so.
func (s *Sentry) chooseWorker(t *transaction, build BuildID) int {
	workers := s.buildWorkers[build]
	if workers == nil {
		return -1
	}
	best := s.leastLoaded(workers.ready[:min(max(workers.subsetSize, workers.groupWorkers), len(workers.ready))], t, build)
	groupHasRoom := workers.groupWorkers >= minGroupWorkers && best >= 0 && s.loadScore(best) < maxGroupWorkerLoad/s.workers[best].Size
	subsetHasRoom := best >= 0 && (!s.isOccupied(best) || s.likelyConnected(best) && s.refusedShare > ejectFailureRate)
	if groupHasRoom || subsetHasRoom || workers.subsetSize >= len(workers.ready) {
		return best
	}
	workers.subsetSize++
	for _, w := range workers.ready[workers.subsetSize-1:] {
		if s.isEligible(w, build, t) {
			return w
		}
	}
	return best
}

func (s *Sentry) leastLoaded(candidates []int, t *transaction, build BuildID) int {
	best, lowest := -1, 0.0
	samples := max(sampledWorkers, sampledWorkers*len(candidates)/s.config.Sentries)
	if s.refusedShare > refusedShareSmoothing || s.maxZoneSlowdown > 1 || s.inGroup() { // few will do, or all are known
		samples = len(candidates)
	}
	for i, w := range candidates {
		if samples < len(candidates) {
			w = candidates[s.random.Intn(len(candidates))]
		}
		if i >= samples && best >= 0 {
			break
		}
		if !s.isEligible(w, build, t) {
			continue
		}
		load := s.loadScore(w) * (1 + nonLoadFailureWeight*s.nonLoadFailureRate[w]*s.slowRecency(w))
		if len(t.handOffs)+1 >= s.config.MaxHandOffs { // the last one wants a worker that does not fail
			load *= 1 + 20*s.nonLoadFailureRate[w]
		}
		if best < 0 || load < lowest {
			best, lowest = w, load
		}
	}
	return best
}

// occupied says whether a worker of the set has as much to do as it should get.
func (s *Sentry) isOccupied(w int) bool {
	slow := s.slowRecency(w)*s.latencyRatio[w] > toleratedLatencyRatio
	return slow || s.openByWorker[w] > 0 || s.ejectedUntil[w] > s.now || s.recency(w)*s.otherLoad[w] > s.usualWorkerLoad
}

// fresh is how much of what is known of a worker's load still counts: one that was full once is tried again.
func (s *Sentry) recency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/float64(loadTTL)) }

// learnWay books how long answers take by zone: the way to one may be slow or lose what is sent, though each
// of its workers is met too seldom to tell.
func (s *Sentry) recordZoneLatency(w int, stats *profileStats, h *handOff) {
	zone, ratio := s.workers[w].Zone, float64(h.end.Duration)/stats.expectedDuration
	switch {
	case h.end.Ending == Unconnected && !s.failedFast(h):
		ratio = maxZoneLatencyRatio
	case h.end.Ending != Answered && h.end.Ending != TimedOut:
		return
	}
	for len(s.zoneLatencyRatio) <= int(zone) {
		s.zoneLatencyRatio, s.zoneUpdatedAt = append(s.zoneLatencyRatio, 1), append(s.zoneUpdatedAt, 0)
	}
	s.zoneLatencyRatio[zone] += zoneLatencySmoothing * (min(maxZoneLatencyRatio, ratio) - s.zoneLatencyRatio[zone])
	s.zoneUpdatedAt[zone], s.maxZoneSlowdown = s.now, 1
	for zone := range s.zoneLatencyRatio {
		s.maxZoneSlowdown = max(s.maxZoneSlowdown, s.zoneSlowdown(ZoneID(zone)))
	}
}

// farther is how much slower than the own zone another one is, beyond chance, 1 at the least.
func (s *Sentry) zoneSlowdown(zone ZoneID) float64 {
	ownZone := s.config.Zone
	if zone == ownZone || int(zone) >= len(s.zoneLatencyRatio) || int(ownZone) >= len(s.zoneLatencyRatio) {
		return 1
	}
	recency := max(0, 1-float64(s.now-s.zoneUpdatedAt[zone])/s.slowTTL())
	return 1 + recency*max(0, s.zoneLatencyRatio[zone]/max(1, s.zoneLatencyRatio[ownZone])/toleratedZoneRatio-1)
}

// recalled is the same for how slow it was, which a sentry with little to do remembers longer.
func (s *Sentry) slowRecency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/s.slowTTL()) }

func (s *Sentry) slowTTL() float64 {
	return max(float64(loadTTL), slowTTLTransactions*float64(s.arrivalWindow)/float64(1+len(s.arrivalTimes)))
}

// score is the load of a worker for its size: the lowest wins. Among equals chance decides, by size.
func (s *Sentry) loadScore(w int) float64 {
	recency, capacity := s.recency(w), s.workers[w].Size*s.warmUpCapacity(w, s.now)
	load := float64(s.openByWorker[w]) + max(recency*s.otherLoad[w], s.groupOpenNow(w))
	if load < idleLoad {
		load = idleLoad * (s.random.ExpFloat64() - 1)
	}
	load = (load + 1) / capacity
	slowdown := 1 + s.slowRecency(w)*max(0, s.latencyRatio[w]/toleratedLatencyRatio-1)
	load *= math.Pow(slowdown, 1+oneIf(s.usualWorkerLoad == 0)) // where no load is reported, slowness stands for it too
	if zone := s.workers[w].Zone; zone != s.config.Zone {
		load *= (1 + 8*s.config.CrossZonePrice) * math.Pow(s.zoneSlowdown(zone), 2)
	}
	if !s.likelyConnected(w) {
		load *= 1 + newConnectionPenalty*s.refusedShare
	}
	if s.ejectedUntil[w] > s.now {
		load *= 100
	}
	return load
}

// ready says whether a worker of the build may get this transaction now.
func (s *Sentry) isEligible(w int, build BuildID, t *transaction) bool {
	if s.workers[w].Build != build || s.workers[w].State != Ready || !s.hasLease(w) || s.atColdLimit(w) {
		return false
	}
	profile := t.profile
	for i := range t.handOffs {
		h := &t.handOffs[i]
		if h.worker == w && (!h.ended || len(t.handOffs) < s.readyCount(build)) {
			return false
		}
		if !h.mayHaveRun || profile.Repeatability != Deduplicated {
			continue
		}
		earlier, candidate := &s.workers[h.worker], &s.workers[w]
		if profile.DedupScope == ScopeZone && earlier.Zone != candidate.Zone || profile.DedupScope == ScopeCell && earlier.Cell != candidate.Cell {
			return false
		}
	}
	return true
}

func (s *Sentry) handOff(t *transaction) bool {
	w, profile := t.worker, t.profile
	h := handOff{worker: w, build: s.workers[w].Build, sentAt: s.now, mayHaveRun: true, newConnection: !s.likelyConnected(w)}
	h.timingInvalid = h.newConnection
	t.handOffs = append(t.handOffs, h)
	s.openByWorker[w]++
	s.openHandOffs++
	s.coldHandOffs[w], s.handOffTimes = append(s.coldHandOffs[w], s.now), append(s.handOffTimes, s.now)
	if trial, onTrial := s.trialBuild(); onTrial && s.workers[w].Build == trial {
		for _, c := range t.exposureCounters() {
			s.exposedTimes[c] = dropUpTo(append(s.exposedTimes[c], s.now), s.now-s.maxRuleWindow-4*s.config.TimerGranularity)
		}
	}
	s.notifyGroup(w, messageHandOff)
	action := Action{Kind: HandOff, Transaction: t.ID, Worker: s.workers[w].ID, Deadline: t.Deadline, SendBy: s.sendBy(w)}
	s.result.Actions = append(s.result.Actions, action)
	if o := &s.config; o.MayHedge && len(t.handOffs) == 1 || !o.MayHedge && o.MayCancel && profile.Repeatability != NonIdempotent {
		s.wakeUp(s.now+profile.DueTime/2, t)
	}
	return false
}

// silent says that a worker has answered several that were sent after a hand-off: the answer to that, or its
// connection, is lost, and tells nothing of load or health. (Few may pass a long one; reports come too late.)
func (s *Sentry) answerLost(w int, sentAt Micros) bool { return s.answeredSentTimes[w][0] > sentAt }

// endSilent gives up a hand-off that takes suspiciously long and seems lost, where it may be sent again. It
// does harm where one is only very long: it runs twice.
func (s *Sentry) cancelIfLost(t *transaction) {
	number := len(t.handOffs) - 1
	switch h := &t.handOffs[number]; {
	case h.ended || !s.mayRetry(t):
	case s.answerLost(h.worker, h.sentAt):
		s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: number})
	default:
		s.wakeUp(s.now+t.profile.DueTime/8, t)
	}
}

// mayRepeat is rule 2 and the limits on hand-offs, where none is out or copies are allowed.
func (s *Sentry) mayRetry(t *transaction) bool {
	if len(t.handOffs) >= s.config.MaxHandOffs || t.Deadline-s.now < s.config.TimerGranularity {
		return false
	}
	profile := t.profile
	for _, h := range t.handOffs {
		windowOver := profile.Repeatability == Deduplicated && s.now >= h.sentAt+profile.DedupWindow-s.config.TimerGranularity
		if h.mayHaveRun && (profile.Repeatability == NonIdempotent || windowOver) {
			return false
		}
	}
	return true
}

func (s *Sentry) recordHandOffEnd(t *transaction, h *handOff) {
	h.ended = true
	h.mayHaveRun = h.end.Ending != TurnedAway && h.end.Ending != Unconnected && h.end.Ending != Unsent
	s.openByWorker[h.worker] = max(0, s.openByWorker[h.worker]-1)
	s.openHandOffs--
	s.renewLease(h)
	s.notifyGroup(h.worker, messageHandOffEnded)
	s.adjustConcurrencyLimit(&s.profiles[t.Profile], h.worker, h.end)
}

// settle closes the transaction or sends it again.
func (s *Sentry) closeOrRetry(t *transaction, h *handOff) {
	switch {
	case t.closed:
		s.cancelOpenHandOffs(t)
	case t.hasOpenHandOff():
	case !s.mayRetry(t) || h.end.Ending != Unconnected && !s.failedFast(h) && s.retryBudget < 1:
		s.giveUp(t)
	default:
		s.retryBudget -= oneIf(!s.failedFast(h))
		s.runFilters(t, 1)
	}
}

// letGo ends the hand-offs of a closed transaction, no longer wanted: a copy, or all where its client left.
func (s *Sentry) cancelOpenHandOffs(t *transaction) {
	for n := range t.handOffs {
		if !t.handOffs[n].ended && s.config.MayCancel {
			s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: n})
		}
	}
	s.removeTransaction(t)
}

// quick says that a hand-off was broken or refused at once, which costs next to nothing, or that its answer
// was spoilt, which no load explains.
func (s *Sentry) failedFast(h *handOff) bool {
	ending, atOnce := h.end.Ending, h.end.Duration < s.config.ConnectTimeout/8
	return ending == Unreadable || atOnce && (ending == Broken || ending == Unconnected)
}

// tooCold keeps this sentry's part of what all may send a cold worker: half the stated multiple of what one
// of its size usually gets of this sentry's traffic, chance standing in for what is less than one. It guards
// against bursts, retries and fleets that start anew falling on a few, however many sentries there are.
func (s *Sentry) atColdLimit(w int) bool {
	capacity := s.warmUpCapacity(w, s.now)
	if capacity >= 1 {
		s.coldHandOffs[w] = nil
		return false
	}
	s.coldHandOffs[w] = dropUpTo(s.coldHandOffs[w], s.now-s.maxRuleWindow)
	if s.now >= s.randomAllowanceUntil[w] {
		s.randomAllowance[w], s.randomAllowanceUntil[w] = s.random.Float64(), s.now+s.config.ColdLoadWindow
	}
	fairShare := s.workers[w].Size * s.usualLoad * float64(s.config.ColdLoadWindow) / float64(s.arrivalWindow)
	if workers := s.buildWorkers[s.workers[w].Build]; workers != nil && workers.subsetSize < len(workers.ready) { // the rest is for other sentries
		fairShare *= float64(len(workers.ready)) / float64(workers.subsetSize)
	}
	freeHandOffs := freeColdHandOffs * s.config.ColdLoadMultiple * float64(s.config.ColdLoadWindow) / float64(second)
	allowance := min(2, s.randomAllowance[w]+freeHandOffs/float64(s.config.Sentries))
	sent := float64(countAfter(s.coldHandOffs[w], s.now-s.config.ColdLoadWindow))
	return sent+1 > allowance+coldLoadShare*s.config.ColdLoadMultiple*capacity*fairShare
}

// holds is how many transactions a worker has by its report, below 0 if that can't be told. What is not told
// follows from what is served in a second and the time of one, as long as some share of its cores is busy.
func (s *Sentry) reportedInFlight(w int, h *handOff) float64 {
	load := h.end.Load
	if load.InFlight >= 0 || load.ServedPerSecond < 0 {
		return load.InFlight
	}
	return load.ServedPerSecond * s.latencyRatio[w] * s.usualDuration() / float64(second)
}

// learnWorker books what an ended hand-off says of its worker.
func (s *Sentry) recordWorkerOutcome(t *transaction, h *handOff) {
	w, stats := h.worker, &s.profiles[t.Profile]
	lost := h.end.Ending == TimedOut && s.answerLost(w, h.sentAt)
	smoothing := max(latencyRatioSmoothing, (1-s.recency(w))/2)
	s.seenAt[w] = s.now
	if inFlight := s.reportedInFlight(w, h); inFlight >= 0 {
		s.usualWorkerLoad += rateSmoothing * (inFlight - s.usualWorkerLoad)
		s.otherLoad[w] += otherLoadSmoothing * (max(0, inFlight-float64(s.openByWorker[w])) - s.otherLoad[w])
	}
	if lost || h.end.Ending == Cancelled || h.end.Ending == Unsent || h.end.Ending == Unreadable {
		return
	}
	if h.end.Ending != Answered {
		s.ownErrors += ownFailureSmoothing * (oneIf(h.end.Ending == Errored)*ownFailureWindow - s.ownErrors)
		s.ownFailures += ownFailureSmoothing * (ownFailureWindow - s.ownFailures)
	}
	hurried := h.end.Ending == TimedOut && h.end.Duration < stats.DueTime // the client's patience, not the worker
	s.failureRate[w] += failureRateSmoothing * (oneIf(h.end.Ending != Answered && !hurried) - s.failureRate[w])
	overloaded := h.end.Ending == TurnedAway || h.end.Ending == TimedOut
	s.nonLoadFailureRate[w] += failureRateSmoothing * (oneIf(h.end.Ending != Answered && !overloaded) - s.nonLoadFailureRate[w])
	if h.end.Ending == Answered && !h.timingInvalid || h.end.Ending == TimedOut {
		ratio := min(10, float64(h.end.Duration)/stats.expectedDuration)
		s.latencyRatio[w] += smoothing * (ratio - s.latencyRatio[w])
	}
	if h.newConnection && (h.end.Ending == Answered || h.end.Ending == Unconnected) {
		s.refusedShare += refusedShareSmoothing * (oneIf(h.end.Ending == Unconnected) - s.refusedShare)
	}
	s.recordZoneLatency(w, stats, h)
	switch h.end.Ending {
	case Unconnected, Broken: // one that still answers some is not dead: only this sentry's way to it is bad
		if s.now >= s.ejectedUntil[w] && !(s.failedFast(h) && s.now-s.lastAnswerAt[w] < loadTTL) {
			s.lastAnswerAt[w], s.consecutiveFailures[w] = 0, min(s.consecutiveFailures[w]+1, 4) // tried after growing waits
			s.ejectedUntil[w] = s.now + second/2<<s.consecutiveFailures[w]
		}
	case Answered:
		sentTimes := s.answeredSentTimes[w][:]
		sentTimes[0] = max(sentTimes[0], h.sentAt)
		slices.Sort(sentTimes)
		if s.consecutiveFailures[w] >= downAfterFailures {
			s.recoveredAt[w] = s.now
		}
		s.consecutiveFailures[w], s.ejectedUntil[w], s.lastAnswerAt[w] = 0, 0, s.now
	default:
		if s.failureRate[w] > ejectFailureRate {
			s.eject(w)
		}
	}
}

func (s *Sentry) eject(w int) {
	s.ejectedUntil[w] = max(s.ejectedUntil[w], s.now+max(second, Micros(s.slowTTL()/4)))
}

// shunOverdue leaves out workers that take work and do not answer, which a time-out would tell much later,
// and counts lost hand-offs: they are no load. Once many are out, one that answered what came later stays.
func (s *Sentry) ejectOverdue() {
	s.lostHandOffs = 0
	fewEjected := s.ejectedCount()*fewEjectedDivisor < s.readyCount(s.earlierBuild)
	for _, t := range s.openTransactions {
		for i := range t.handOffs {
			switch h := &t.handOffs[i]; {
			case h.ended || s.now < h.sentAt+t.profile.DueTime:
			case s.answerLost(h.worker, h.sentAt):
				s.lostHandOffs++
			case fewEjected || s.lastAnswerAt[h.worker] <= h.sentAt:
				s.eject(h.worker)
			}
		}
	}
}

// rankOf draws a worker's place in this sentry's order: its group's first, by size, the own zone's sooner.
func (s *Sentry) drawRank(worker Worker) float64 {
	return s.random.ExpFloat64()/worker.Size*(1+otherZoneRankPenalty*oneIf(worker.Zone != s.config.Zone)) + otherGroupRank*oneIf(!s.inOwnGroup(worker.ID))
}

// ---- The build on trial ----

// Told takes the platform's news and the answer to a vote.
func (s *Sentry) ReleaseUpdated(now Micros, status ReleaseStatus) Result {
	return s.handleEvent(now, func() {
		if status.VoteResult == VoteRefused || status.VoteResult == VoteTimedOut {
			s.lastVoteAt = 0
			s.nextVoteAt = s.now + second/4 + Micros(s.random.Int63n(int64(second)/2))
		}
		if status.Valid {
			if status.Build != s.releaseStatus.Build || !s.releaseStatus.Valid {
				s.startTrial()
			}
			if status.Build != s.releaseStatus.Build || status.Stage != s.releaseStatus.Stage || status.Phase != s.releaseStatus.Phase {
				s.statusSince = s.now - status.Age
			}
			if status.Phase != OnTrial { // sent back, or no earlier build is used any more
				s.rolledBack[status.Build] = status.Phase != Released
				clear(s.trialKeys)
			}
			s.releaseStatus = status
			s.refreshBuilds()
		}
	})
}

func (s *Sentry) startTrial() {
	s.resetTrial()
	if len(s.arrivalTimes) >= minSampleSize {
		s.baselineLoad = s.ownLoad()
	}
	if s.baselineAt, s.baselineCapacity = s.now, s.fleetCapacity; s.now-s.firstCallAt > s.arrivalWindow {
		s.baselineArrivalRate = float64(len(s.arrivalTimes)) / float64(s.arrivalWindow)
	}
	for i := range s.profiles {
		if stats := &s.profiles[i]; stats.earlierOutcomes >= max(1, 10*minSampleSize/s.config.Sentries) {
			stats.baselineThreshold = stats.latencyThreshold
		}
	}
}

// lookAround finds the earlier build and how far the trial reaches, after news or a list.
func (s *Sentry) refreshBuilds() {
	s.refreshReadyWorkers()
	s.earlierBuild = s.findEarlierBuild()
	s.concurrencyLimit = cmp.Or(s.concurrencyLimit, minConcurrencyPerWorker*float64(s.readyCount(s.earlierBuild)))
	s.rampTrialSlots()
	s.runQueued()
}

// findBase is the released build, or else the build below the trial that most of the ready workers run.
func (s *Sentry) findEarlierBuild() BuildID {
	if s.releaseStatus.Valid && s.releaseStatus.Phase == Released {
		return s.releaseStatus.Build
	}
	best, maxCapacity := BuildID(-1), 0.0
	for build, workers := range s.buildWorkers {
		if s.releaseStatus.Valid && build >= s.releaseStatus.Build || s.rolledBack[build] {
			continue
		}
		if workers.capacity > maxCapacity || workers.capacity == maxCapacity && workers.capacity > 0 && build > best {
			best, maxCapacity = build, workers.capacity
		}
	}
	return best
}

// ramp raises the trial's slots with what its workers can do by now, up to the cap, and never lowers them
// while the cap stands: a key that was sent to the trial stays there.
func (s *Sentry) rampTrialSlots() {
	trial, onTrial := s.trialBuild()
	if !onTrial {
		s.trialSlots = 0
		return
	}
	trialCapacity, totalCapacity := 0.0, s.capacity(s.earlierBuild)
	if workers := s.buildWorkers[trial]; workers != nil {
		trialCapacity = workers.warmCapacity
	}
	// Where the earlier workers all stay, they have little to do: the trial's would carry far more than they.
	totalCapacity += trialCapacity * (1 - oneIf(s.config.EarlierWorkersStay && totalCapacity > 0)*2/3)
	share := trialShareFactor * trialCapacity / max(totalCapacity, 1e-9)
	s.trialSlots = min(max(s.trialSlots, percent(share)), percent(s.releaseStatus.Cap))
}

// trial is the build on trial, if there is one that may be sent to: also one that goes back, until its cap is
// down or an earlier worker is ready.
func (s *Sentry) trialBuild() (BuildID, bool) {
	lastResort := s.releaseStatus.Phase == RollingBack && s.releaseStatus.Cap > 0 && s.earlierBuild < 0
	return s.releaseStatus.Build, s.releaseStatus.Valid && (s.releaseStatus.Phase == OnTrial || lastResort)
}

// slotOf is the two-build hash of the design page.
func hashSlot(key Key, earlier, trial BuildID) int {
	sum := md5.Sum([]byte(string(key) + "-" + strconv.Itoa(int(earlier)) + "-" + strconv.Itoa(int(trial))))
	return int(binary.BigEndian.Uint64(sum[:8]) % 100)
}

// mayExpose is the window counter: one more hand-off to the trial keeps within free + cap x taken, by the
// orders and by those before them whose window is not past. For keys new to it the cap is what its workers
// can carry: a hot one makes few of them slow, which looks like a fault of the build.
func (s *Sentry) withinExposureBound(t *transaction, keyOnTrial bool) bool {
	config, maxShare := &s.config, min(s.releaseStatus.Cap, max(oneIf(keyOnTrial), float64(s.trialSlots)/100))
	exceeds := func(bound exposureBound) bool {
		counter, windowStart := t.exposureCounters()[int(oneIf(bound.byProfile))], s.now-bound.window+s.config.TimerGranularity
		exposed, taken := countAfter(s.exposedTimes[counter], windowStart-3*s.config.TimerGranularity), countAfter(s.takenTimes[counter], windowStart)
		return bound.until > s.now && float64(exposed+1) > bound.free+maxShare*float64(taken)
	}
	current := exposureBound{config.FreeExposure, config.ExposureWindow, config.ExposureByProfile, s.now + 1}
	return !exceeds(current) && !slices.ContainsFunc(s.formerBounds, exceeds)
}

// learnBuild books an ended hand-off with the builds: the trial's failures beyond the earlier's rate add up.
func (s *Sentry) recordBuildOutcome(t *transaction, h *handOff) {
	stats := &s.profiles[t.Profile]
	_, onTrial := s.trialBuild()
	ofNewest := s.releaseStatus.Valid && (onTrial || s.releaseStatus.Phase == Released) && h.build == s.releaseStatus.Build
	// What may have run may have been answered, unread, by either build that the list gave the worker meanwhile.
	mayBeAnswered := h.mayHaveRun && h.end.Ending != Errored
	if mayBeAnswered && onTrial && (ofNewest || s.workers[h.worker].Build == s.releaseStatus.Build) {
		s.trialKeys[t.Key] = s.releaseStatus.Build
	}
	duration, failed, lateThreshold := float64(h.end.Duration), h.end.Ending == Errored, min(lateFactor*stats.latencyThreshold, float64(stats.DueTime))
	conclusive := failed || h.end.Ending == Answered || h.end.Ending == TimedOut && !s.answerLost(h.worker, h.sentAt)
	if !conclusive || !ofNewest && h.build != s.earlierBuild {
		return
	}
	age := s.now - s.workerStart(h.worker)
	warm := !failed && !h.timingInvalid && age >= max(settleTime, s.config.WarmUp)
	isLate := !failed && (h.end.Ending == TimedOut || duration > lateThreshold)
	kind, miss := missKind(oneIf(isLate)), ofNewest && (failed || isLate)
	weight := s.missWeight(h.worker, kind, miss)
	s.ownMisses[kind][h.worker] += uint64(oneIf(miss))
	if ofNewest && h.end.Ending == Answered {
		s.wrongAnswerSum = max(0, s.wrongAnswerSum-complaintDecayPerAnswer)
	}
	if !s.platformCountsAreCurrent() {
		if warm {
			s.judgeFleetLatency(stats, duration)
		}
		ofTrial := h.build != s.earlierBuild || ofNewest && s.judgedOutcomes > 0 // also just released
		s.recordOutcome(t.Profile, errorMiss, ofTrial, failed, weight)
		if warm {
			s.recordOutcome(t.Profile, lateMiss, h.build != s.earlierBuild, isLate, weight)
		}
	}
	if h.build != s.earlierBuild {
		return
	}
	stats.earlierOutcomes++
	if warm {
		smoothing := max(rateSmoothing, 1/float64(stats.earlierOutcomes)) // quick at first, for a trial may begin soon
		if !s.isJudging() {                                               // paces are to what was usual before the trial
			stats.expectedDuration += smoothing * (duration - stats.expectedDuration)
		}
		stats.latencyThreshold += 4 * smoothing * (oneIf(duration > stats.latencyThreshold) - aboveThresholdShare) * stats.expectedDuration
	}
}

// observe books one outcome, judges it and keeps it for the sentries that collect.
func (s *Sentry) recordOutcome(profileID ProfileID, kind missKind, ofTrial, missed bool, weight float64) {
	s.countOutcome(countIndex(profileID, kind, ofTrial), missed)
	s.judgeOutcomes(profileID, kind, ofTrial, 1, oneIf(missed)*weight)
}

// judge takes n outcomes of one build of which so many failed or were late. The earlier build's go into its
// rate, the trial's excess over that adds up.
func (s *Sentry) judgeOutcomes(profileID ProfileID, kind missKind, ofTrial bool, outcomes, misses float64) {
	stats, total := &s.profiles[profileID], &s.allProfiles
	if !ofTrial {
		s.earlierOutcomeAt = s.now
		stats.earlierMissRate[kind] += (1 - math.Pow(1-rateSmoothing, outcomes)) * (misses/outcomes - stats.earlierMissRate[kind])
		return
	}
	excess := errorWeight * (misses - outcomes*(stats.earlierMissRate[errorMiss]+toleratedErrorShare))
	if kind == lateMiss {
		if s.now-s.earlierOutcomeAt >= second || stats.earlierMissRate[lateMiss] >= overloadLateRate {
			return
		}
		load := max(1, s.fleetCapacity*s.trialShare()/max(s.capacity(s.releaseStatus.Build), 1e-9)) * s.relativeLoad()
		excess = lateWeight * (misses - outcomes*(2*stats.earlierMissRate[lateMiss]+toleratedLateShare*s.expectedSlowdown(load))) * s.lateMeter.addAndWeigh(s.now, outcomes)
	} else {
		s.judgedOutcomes += int(outcomes)
	}
	stats.trialExcess[kind], total.trialExcess[kind] = max(0, stats.trialExcess[kind]+excess), max(0, total.trialExcess[kind]+excess)
}

// judgeAll compares all workers, of either build, with what answers took before the trial began: a build may
// slow the whole fleet. Nothing is held against it where the fleet bears clearly more than then (a burst,
// workers lost), where a quarter of the workers (of many sentries' answers, half) is as quick as ever, or
// long after the release. It can harm a build when all slow down for a reason that no load shows.
func (s *Sentry) judgeFleetLatency(stats *profileStats, duration float64) {
	if !s.isJudging() || stats.baselineThreshold == 0 {
		return
	}
	slow := duration > min(fleetSlowFactor*stats.baselineThreshold, float64(stats.DueTime)) &&
		(s.cooperates() || s.lowerQuartileLatencyRatio() > fleetSlowLatencyRatio*s.expectedSlowdown(s.relativeLoad()))
	s.countOutcome(len(s.outcomeCounts)-4, slow)
	s.addFleetOutcomes(1, oneIf(slow))
}

func (s *Sentry) addFleetOutcomes(outcomes, slowOutcomes float64) {
	tolerated := toleratedFleetSlowShare
	if s.cooperates() {
		inFirstStage := oneIf(s.releaseStatus.Stage == 0) // what is slow with next to no trial is no fault of it
		s.firstStageOutcomes, s.firstStageSlow = s.firstStageOutcomes+inFirstStage*outcomes, s.firstStageSlow+inFirstStage*slowOutcomes
		tolerated = max(minToleratedSlowShare, min(maxToleratedSlowShare, 0.8*minToleratedSlowShare+s.firstStageSlow/max(1, s.firstStageOutcomes)))
		tolerated *= s.expectedSlowdown(s.relativeLoad())
	}
	s.fleetSlowExcess = max(0, s.fleetSlowExcess+(slowOutcomes-outcomes*tolerated)*s.fleetMeter.addAndWeigh(s.now, outcomes))
}

// part is how much n more outcomes count each: times of one second hang together in a jam.
func (meter *rateMeter) addAndWeigh(now Micros, outcomes float64) float64 {
	meter.rate, meter.at = meter.rate*math.Exp(-float64(now-meter.at)/float64(second))+outcomes, now
	return fullWeightPerSecond / max(meter.rate, fullWeightPerSecond)
}

// byLoad is how much slower than before the trial workers may be for this load alone.
func (s *Sentry) expectedSlowdown(load float64) float64 { return 1 + slowdownPerLoad*max(0, load-1) }

// loadNow is the load to that before the trial, taken for no other where too little was seen then.
func (s *Sentry) relativeLoad() float64 {
	if s.cooperates() && s.baselineArrivalMeter.rate > 0 {
		return s.arrivalMeter.rate / s.baselineArrivalMeter.rate * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	}
	if s.baselineLoad == 0 {
		return 1
	}
	return s.ownLoad() / s.baselineLoad
}

// watched says whether the newest build is on trial or freshly released; hundreds of sentries see what is
// slow everywhere long before each has met the trial itself.
func (s *Sentry) isJudging() bool {
	onTrial := s.releaseStatus.Phase == OnTrial
	return (s.judgedOutcomes > 0 || onTrial && s.cooperates()) && (onTrial || s.now-s.statusSince <= 2*observationTime)
}

// quickPace is the pace that a quarter of the ready workers keeps or beats.
func (s *Sentry) lowerQuartileLatencyRatio() float64 {
	ratios := []float64{1}
	for build, workers := range s.buildWorkers {
		for _, w := range workers.ready[:min(workers.subsetSize, len(workers.ready))] {
			if (build == s.earlierBuild || build == s.releaseStatus.Build) && s.warmUpCapacity(w, s.now) == 1 && s.slowRecency(w) > 0 {
				ratios = append(ratios, s.latencyRatio[w])
			}
		}
	}
	slices.Sort(ratios[1:])
	return ratios[min(len(ratios)-1, (len(ratios)+3)/4)]
}

// weigh counts a miss of a worker of the trial for less the more this worker has missed beyond its even part
// of all. It guards against a machine's own trouble (failing fast, slow, shared with another program); it
// costs time where a bad build has very few workers of which one gets most of the traffic.
func (s *Sentry) missWeight(w int, kind missKind, miss bool) float64 {
	if !miss {
		return 1
	}
	workers := max(1, float64(s.readyCount(s.workers[w].Build)))
	prior, workerWeight := workers, min(1, manyTrialWorkers/workers)
	if s.cooperates() { // so many misses a second that a few workers' first ones would do
		prior, workerWeight = workers*workerWeight, 1
	}
	evenShare := min(1, (s.totalTrialMisses[kind]+prior)/(workers*(s.trialMisses[kind][w]+1)))
	s.totalTrialMisses[kind]++
	s.trialMisses[kind][w]++
	return evenShare * evenShare * workerWeight
}

// Complained takes a client's word that an answer was wrong as an error of that build. Where each judges by
// itself and no count shows it, one votes back for some answers, since many must do so at a time: false ones
// are too few. One on the earlier build takes one away. It can harm a build where few votes send it back.
func (s *Sentry) ComplaintReceived(now Micros, complaint Complaint) Result {
	return s.handleEvent(now, func() {
		if w, known := s.workerIndex[complaint.Worker]; known && complaint.Profile >= 0 && int(complaint.Profile) < len(s.profiles) {
			ofNewest := s.releaseStatus.Valid && s.workers[w].Build == s.releaseStatus.Build
			if s.judgesByPlatformCounts() { // they do not see it, and nobody else will tell
				s.wrongAnswerSum = max(0, s.wrongAnswerSum+complaintWeight*(2*oneIf(ofNewest && s.isJudging())-1))
				return
			}
			s.recordOutcome(complaint.Profile, errorMiss, ofNewest, true, s.missWeight(w, errorMiss, ofNewest))
		}
	})
}

const (
	ownFailureSmoothing, ownFailureWindow = 0.1, 10.0 // of a sentry's own failures, about so many count
	platformCountsValidPeriods            = 4         // periods for which the platform's counts hold
	meanSmoothing                         = 0.2       // for each of its periods
	toleratedMeanIncrease                 = 0.5       // share by which a mean may be longer
	toleratedFailureIncrease              = 0.1       // and of failures, beyond twice the earlier build's

	complaintWeight         = 2 * rollBackExcess
	complaintDecayPerAnswer = rollBackExcess / 30 // for each answer of the trial

	manySentries                                 = 20
	minToleratedSlowShare, maxToleratedSlowShare = 0.45, 0.9  // share of slow answers let pass there: at the least and the most
	collectorCount                               = 3          // sentries that judge what all have seen
	maxReportedWorkers                           = 20         // workers that a report names with their misses
	collectorVerdictLifetime                     = 3 * second // for how long what a collector says counts
)

// together says whether so many judge that only all of them see enough.
func (s *Sentry) cooperates() bool { return s.config.MayMessage && s.config.Sentries >= manySentries }

// collectorsAt names the sentries that collect in this trial, by position.
func (s *Sentry) collectors() (positions []SentryID) {
	for i := range collectorCount {
		positions = append(positions, SentryID((int(s.releaseStatus.Build)+i*s.config.Sentries/collectorCount)%s.config.Sentries))
	}
	return positions
}

func (s *Sentry) isCollector() bool { return slices.Contains(s.collectors(), s.config.Position) }

// pool sends what this sentry has counted to the collectors, and what a collector makes of all to all. Counts
// are sent whole each time, so that a lost message or a restart of either side loses nothing for long. It
// guards against judging on very little; where messages are lost each judges by itself.
func (s *Sentry) sendReports(verdict Verdict) {
	if !s.config.MayMessage || s.now < s.nextReportAt {
		return
	}
	s.nextReportAt = s.now + second*3/4
	if s.isCollector() {
		body := encodeMessage(messageVerdict, []uint64{uint64(s.releaseStatus.Build), uint64(s.releaseStatus.Stage), uint64(verdict)})
		s.result.Messages = append(s.result.Messages, Message{To: EverySentry, Body: body})
	}
	values := s.ownReport(maxReportedWorkers)
	for _, to := range s.collectors() {
		if to != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: to, Body: encodeMessage(messageReport, values)})
		}
	}
}

// Neighbours. Where sentries are about as many as workers, each learns of a worker's load once in seconds:
// most go to busy workers while others idle. Some sentries then share some workers, which all prefer, and
// tell each other of every hand-off to these, in three bytes.
const (
	sentriesPerGroup   = 8
	minGroupWorkers    = 6   // workers in a group, else there is none
	maxGroupWorkerLoad = 3.0 // load from which others are tried, who do not hear of it
	otherGroupRank     = 1e6
	groupOpenTTL       = 20.0 // usual times for which a hand-off counts whose end was not heard of
)

func (s *Sentry) groupCount() int { return max(1, s.config.Sentries/sentriesPerGroup) }

// shares says whether this sentry is in a group with others.
func (s *Sentry) inGroup() bool {
	workers := s.buildWorkers[s.earlierBuild]
	return s.cooperates() && workers != nil && workers.groupWorkers >= minGroupWorkers
}

// ours says whether a worker is one of this sentry's group.
func (s *Sentry) inOwnGroup(id WorkerID) bool {
	return s.cooperates() && int(shortID(id))%s.groupCount() == int(s.config.Position)%s.groupCount()
}

// tellNear tells the others of the group what became of a hand-off to one of its workers.
func (s *Sentry) notifyGroup(w int, kind byte) {
	if !s.inGroup() || s.rank[w] >= otherGroupRank {
		return
	}
	body, groups := encodeMessage(kind, []uint64{shortID(s.workers[w].ID)}), s.groupCount()
	for i := int(s.config.Position) % groups; i < s.config.Sentries; i += groups {
		if SentryID(i) != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: SentryID(i), Body: body})
		}
	}
}

// nearNow is how much of what the neighbours handed to a worker it still has.
func (s *Sentry) groupOpenNow(w int) float64 {
	if s.groupOpen[w] == 0 {
		return 0
	}
	return max(0, s.groupOpen[w]-float64(s.now-s.groupOpenAt[w])/max(1, groupOpenTTL*s.usualDuration()))
}

// PeerSaid takes a message. What does not hold together is dropped.
func (s *Sentry) PeerMessageReceived(now Micros, from SentryID, body []byte) Result {
	return s.handleEvent(now, func() {
		kind, values := decodeMessage(body)
		validSender := from >= 0 && int(from) < s.config.Sentries && from != s.config.Position
		switch {
		case validSender && (kind == messageHandOff || kind == messageHandOffEnded) && len(values) == 1:
			if w, known := s.byShortID[values[0]]; known {
				change := 1 - 2*oneIf(kind == messageHandOffEnded)
				s.groupOpen[w], s.groupOpenAt[w] = max(0, s.groupOpenNow(w)+change), s.now
			}
		case !validSender || len(values) == 0 || !s.releaseStatus.Valid || BuildID(values[0]) != s.releaseStatus.Build:
		case kind == messageVerdict && len(values) == 3 && values[2] <= uint64(RollBack):
			if verdict := Verdict(values[2]); verdict >= s.collectorVerdict || s.now-s.collectorVerdictAt >= collectorVerdictLifetime {
				s.collectorVerdict, s.collectorVerdictAt, s.collectorVerdictStage = verdict, s.now, int(values[1]) // the strongest heard lately
			}
		case kind == messageReport && len(values) >= len(s.outcomeCounts)+3 && values[2] == uint64(len(s.outcomeCounts)) && s.isCollector():
			s.mergeReport(from, report{values[1], values[3 : len(s.outcomeCounts)+3], values[len(s.outcomeCounts)+3:]})
		}
	})
}

// Counted takes what the platform counted of a build. It stands in for messages: where its sample is more
// than this sentry sees itself, the sums go by it and not by this sentry's own outcomes, so that none counts
// twice. All sentries then err alike; own outcomes judge again when no counts have come for some periods.
func (s *Sentry) CountsReceived(now Micros, counts BuildCounts) Result {
	return s.handleEvent(now, func() {
		if counts.Profile < 0 || int(counts.Profile) >= len(s.profiles) || counts.HandOffs <= 0 || !s.judgesByPlatformCounts() {
			return
		}
		s.platformCountsAt = s.now
		stats, handOffs, failed := &s.profiles[counts.Profile], float64(counts.HandOffs), float64(min(counts.HandOffs, counts.Failed))
		ofNewest := s.releaseStatus.Valid && counts.Build == s.releaseStatus.Build && (counts.Build != s.earlierBuild || s.judgedOutcomes > 0)
		if !ofNewest && counts.Build != s.earlierBuild {
			return
		}
		if ofNewest { // of any kind, a worker's death too; this sentry's own tell how many are errors
			failed = max(0, failed*(s.ownErrors+1)/(s.ownFailures+1)-handOffs*(toleratedFailureIncrease+max(stats.earlierMissRate[errorMiss], stats.earlierFailedShare)))
		} else {
			stats.earlierFailedShare = failed / handOffs
		}
		if !ofNewest || s.now-s.earlierOutcomeAt <= platformCountsValidPeriods*s.config.CountsPeriod { // else nothing tells what is usual now
			s.judgeOutcomes(counts.Profile, errorMiss, ofNewest, handOffs, failed)
		}
		periodMiddle := s.now - counts.Age - s.config.CountsPeriod/2
		s.addPeriodMean(stats, handOffs-float64(counts.Failed), float64(counts.MeanDuration), ofNewest, periodMiddle)
	})
}

// countsRule says whether the platform's counts drive the sums.
func (s *Sentry) judgesByPlatformCounts() bool {
	config := &s.config
	return config.CountsPeriod > 0 && !config.MayMessage && config.CountsSampleShare*float64(config.Sentries) > 1
}

// counted says whether they do so now.
func (s *Sentry) platformCountsAreCurrent() bool {
	return s.judgesByPlatformCounts() && s.platformCountsAt > 0 && s.now-s.platformCountsAt < platformCountsValidPeriods*s.config.CountsPeriod
}

// tellMeans adds a mean time to those of its period, over all profiles: of the trial, the warmth of its
// workers then allowed for, and of all.
func (s *Sentry) addPeriodMean(stats *profileStats, answers, mean float64, ofNewest bool, at Micros) {
	if answers <= 0 || mean <= 0 {
		return
	}
	if ofNewest {
		mean *= s.buildWarmUpCapacity(s.releaseStatus.Build, at)
	} else if stats.earlierMean += max(meanSmoothing, oneIf(stats.earlierMean == 0)) * (mean - stats.earlierMean); !s.isJudging() {
		stats.baselineMean = stats.earlierMean
	}
	for i := range s.periodMeans[:1+int(oneIf(ofNewest))] {
		if means := &s.periodMeans[i]; stats.baselineMean > 0 {
			means.answers, means.duration, means.baselineDuration, means.earlierDuration = means.answers+answers, means.duration+answers*mean, means.baselineDuration+answers*stats.baselineMean, means.earlierDuration+answers*stats.earlierMean
		}
	}
}

// judgeMeans judges what came of a period. A mean that is so many times as long counts as so many late ones:
// the trial's beside the earlier build's or the time before, whichever is longer, those of both beside the
// time before, in both cases by more than the load explains.
func (s *Sentry) judgePeriodMeans() {
	all, trial := s.periodMeans[0], s.periodMeans[1]
	s.periodMeans = [2]latencyMeans{}
	perSecond := all.answers * float64(second) / float64(s.config.CountsPeriod)
	if !s.isJudging() {
		s.baselinePlatformRate += max(meanSmoothing, oneIf(s.baselinePlatformRate == 0)) * (perSecond - s.baselinePlatformRate)
		return
	}
	load := max(1, perSecond/max(s.baselinePlatformRate, 1e-9)) * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	if all.answers > 0 {
		slowShare := min(1, max(0, all.duration/all.baselineDuration/s.expectedSlowdown(load)-1))
		s.fleetSlowExcess = max(0, s.fleetSlowExcess+lateWeight*all.answers*(slowShare-toleratedMeanIncrease)*s.fleetMeter.addAndWeigh(s.now, all.answers))
	}
	if trial.answers > 0 {
		load *= max(1, s.baselineCapacity*float64(s.trialSlots)/max(100*s.capacity(s.releaseStatus.Build), 1e-9))
		ratio := trial.duration / max(trial.earlierDuration, trial.baselineDuration*s.expectedSlowdown(load))
		weight := lateWeight * trial.answers * s.lateMeter.addAndWeigh(s.now, trial.answers)
		s.allProfiles.trialExcess[lateMiss] = max(0, s.allProfiles.trialExcess[lateMiss]+weight*(min(1, max(0, ratio-1))-toleratedMeanIncrease))
	}
}

// vote forms this sentry's verdict and sends it when it has changed or is about to lapse.
func (s *Sentry) updateVote() {
	if s.now < s.nextVoteAt {
		return
	}
	s.nextVoteAt = s.now + second/4
	s.ejectOverdue()
	s.refreshReadyWorkers()
	s.logLease()
	if s.periodMeans[0].answers > 0 && s.now > s.platformCountsAt {
		s.judgePeriodMeans()
	}
	if s.usualLoad == 0 || s.releaseStatus.Phase != RollingBack {
		s.handOffTimes = dropUpTo(s.handOffTimes, s.now-s.arrivalWindow) // not what comes: under overload that is more than workers bear
		s.usualLoad += max(usualLoadSmoothing, oneIf(s.usualLoad == 0)) * (float64(len(s.handOffTimes))/max(s.fleetCapacity, 1e-9) - s.usualLoad)
	}
	if !s.releaseStatus.Valid || s.releaseStatus.Phase != OnTrial && s.releaseStatus.Phase != Released {
		return
	}
	s.rampTrialSlots()
	vote := Vote{Build: s.releaseStatus.Build, Stage: s.releaseStatus.Stage, Verdict: s.decideVerdict()}
	s.sendReports(vote.Verdict)
	if vote.Verdict != NoVerdict && (vote != s.lastVote || s.lastVoteAt == 0 || s.now-s.lastVoteAt >= s.config.VoteTTL*6/10) {
		if vote != s.lastVote && (s.isCollector() || s.config.Sentries < manySentries) {
			s.logVote(vote.Verdict)
		}
		s.result.Votes = append(s.result.Votes, vote)
		s.lastVote, s.lastVoteAt = vote, s.now
	}
}

func (s *Sentry) decideVerdict() Verdict {
	config, minObservation, limit, excesses, isCollector := &s.config, observationTime, rollBackExcess, s.excessSums(), s.isCollector()
	if !config.MayMessage || !isCollector { // the more may vote, the less a chance sum may decide
		limit += math.Log(1 + float64(config.Sentries)/float64(10*max(1, config.RollBackVotes)))
		excesses = excesses[int(oneIf(s.cooperates())):] // what is slow among all it does not see
	}
	limit *= 1 + releasedLimitIncrease*oneIf(s.releaseStatus.Phase == Released)
	if s.collectorVerdictAt > s.now-collectorVerdictLifetime && !isCollector && (s.cooperates() || s.fleetSlowExcess <= limit) {
		if max(config.AdvanceVotes, config.RollBackVotes, config.HoldVotes) <= collectorCount || s.collectorVerdictStage != s.releaseStatus.Stage {
			return NoVerdict // theirs are enough, or not yet of this stage
		}
		return s.collectorVerdict
	}
	maxExcess := slices.Max(excesses)
	if s.rollBackDecided = s.rollBackDecided || maxExcess > limit; s.rollBackDecided || s.wrongAnswerSum > limit {
		return RollBack
	}
	minObservation *= 1 + Micros(2*oneIf(config.MayMessage && !isCollector)) // others may know more
	workers := s.buildWorkers[s.releaseStatus.Build]
	switch timerControl := config.Control == ControlTimer; {
	case s.releaseStatus.Phase == Released || workers == nil || len(workers.ready) == 0:
		return NoVerdict
	case timerControl && maxExcess > maxAdvanceExcess:
		return Hold
	case timerControl || maxExcess >= maxAdvanceExcess:
		return NoVerdict
	}
	// The release takes the earlier workers away: before it, all is looked at under full load for a while.
	lastStage := config.EarlierWorkersStay && s.releaseStatus.Stage+1 >= len(config.StageCaps)
	observed := s.now - max(s.statusSince, workers.youngestStart) - Micros(oneIf(lastStage))*config.WarmUp/lastStageWarmUpDivisor
	if observed >= minObservation || observed >= settleTime && s.judgedOutcomes >= minSampleSize {
		return Advance
	}
	return NoVerdict
}
