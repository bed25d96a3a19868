package logic

// Leases of workers: how long the sentry may send hand-offs to a worker of a list that nothing confirms any more, and
// when it requests the list again.
//
// Rule 3 forbids hand-offs to a worker that is draining or gone once DrainGrace has passed since the change counts as
// known. A change counts as known ListChangeDelay after discovery has it, whether or not it arrived. So a worker may get
// hand-offs for
//
//	ListChangeDelay + DrainGrace - leaseMargin
//
// from the last time at which it is known to have been ready, as listed. Two things renew that time:
//
//   - Discovery confirms all workers with each list and each keep-alive.
//   - A worker confirms itself with each answer. A draining worker accepts hand-offs for at most maxAcceptWhileDraining
//     and then turns them away. So a worker that answers a hand-off was not yet draining maxAcceptWhileDraining before
//     the hand-off was sent. The answer must come from the listed process and not from one that took over its address:
//     its connection was opened while the process was known to be the listed one, and no connection to it has failed
//     since.
//
// Leases cover every way of losing discovery: it is down, overloaded, unreachable, silent or moved, or sends very
// slowly. They do harm when discovery is away for long: a worker that got no hand-off for the length of a lease gets
// none until discovery is back.

const (
	millisecond = second / 1000

	// A process may be stalled for 150 ms between reading its clock and writing (STANDING page): once when it processes
	// what confirms a worker, once when it sends.
	leaseMargin = 300 * millisecond

	// How long a worker accepts hand-offs after it has begun to drain. Neither the specification nor the settings limit
	// it. Workers did so for 1.4 s after discovery had reported the drain, which is some time after it began.
	maxAcceptWhileDraining = 4 * second

	// Delays before another request for the list, doubled after each failure. Discovery takes 2 to 8 s to answer one
	// request of every process, however many there are (BENCH page, all_call_s), and a request that timed out costs it
	// as much: processes that send requests faster than it answers starve each other. That is why a busy discovery has
	// a longer initial delay. A request that was lost on its way is no sign of a busy discovery.
	initialRetryDelay     = second / 2
	initialBusyRetryDelay = 4 * second
	maxRetryDelay         = 8 * second
)

// lease is what the sentry knows about the age of its list.
type lease struct {
	confirmedAt     Micros // discovery last confirmed the state of all workers
	undeliveredFrom Micros // changes from then on count as known though undelivered; 0 if there are none
	watchLostAt     Micros // since when a pushed list has no watch, 0 while there is one
	retryDelay      Micros // before the next request for the list, 0 after one that was answered
	expired         bool   // no ready worker has a lease
}

// workerLease is what a worker's own answers add to its lease.
type workerLease struct {
	sentAt             Micros // when the latest hand-off that the listed process has answered was sent
	connectionFailedAt Micros // when a connection to it last failed, 0 if none has since it was confirmed
}

// listedUntil is the last time at which the process of a worker is known to have been the listed one.
func (s *Sentry) listedUntil(w int) Micros { return max(s.lease.confirmedAt, s.workerLeases[w].sentAt) }

// notDrainingUntil is the last time at which a worker is known not to have been draining.
func (s *Sentry) notDrainingUntil(w int) Micros {
	return max(s.lease.confirmedAt, s.workerLeases[w].sentAt-maxAcceptWhileDraining)
}

// sendBy is the last time at which a hand-off may be written to a worker, 0 if there is no such limit.
func (s *Sentry) sendBy(w int) Micros {
	config := &s.config
	if config.ListChangeDelay == 0 {
		return 0
	}
	notDrainingUntil := s.notDrainingUntil(w)
	drainKnownAt := notDrainingUntil + config.ListChangeDelay
	if watchLostAt := s.lease.watchLostAt; watchLostAt > 0 { // then each change counts as known at once
		drainKnownAt = max(notDrainingUntil, watchLostAt)
	}
	if undeliveredFrom := s.lease.undeliveredFrom; undeliveredFrom > notDrainingUntil {
		drainKnownAt = min(drainKnownAt, undeliveredFrom)
	}
	return max(1, drainKnownAt+config.DrainGrace-leaseMargin)
}

// hasLease reports whether a hand-off may be sent to a worker now.
func (s *Sentry) hasLease(w int) bool {
	sendBy := s.sendBy(w)
	return sendBy == 0 || s.now <= sendBy
}

// confirmList renews the leases of all workers, after discovery has confirmed their state.
func (s *Sentry) confirmList() {
	s.lease = lease{confirmedAt: s.now, expired: s.lease.expired}
	s.nextListRequestAt = s.now + s.config.MaxListAge/2
}

// useCachedList starts the leases of a list from before the sentry's start. Its age is unknown, so a change of it
// counts as known at the start.
func (s *Sentry) useCachedList() { s.lease.confirmedAt = s.now - s.config.ListChangeDelay }

// renewLease updates the lease of a worker by the end of a hand-off to it.
func (s *Sentry) renewLease(h *handOff) {
	l := &s.workerLeases[h.worker]
	switch h.end.Ending {
	case Unconnected, Broken:
		l.connectionFailedAt = s.now
	case Answered:
		opened := h.end.ConnectionOpened
		sameProcess := l.connectionFailedAt <= s.lease.confirmedAt || opened < l.connectionFailedAt
		if opened <= s.listedUntil(h.worker) && sameProcess && h.sentAt > l.sentAt {
			l.sentAt = h.sentAt
			if h.sentAt > l.connectionFailedAt {
				l.connectionFailedAt = 0
			}
		}
	}
}

// ListRequestFailed records that a request for the list failed or that a watch ended, and schedules the next request.
// busy means that discovery refused the request.
func (s *Sentry) ListRequestFailed(now Micros, busy bool) Result {
	return s.handleEvent(now, func() {
		l := &s.lease
		if !s.config.ListOnRequest && l.watchLostAt == 0 {
			l.watchLostAt = s.now
		}
		minDelay := initialRetryDelay
		if busy {
			minDelay = initialBusyRetryDelay
		}
		l.retryDelay = min(max(minDelay, 2*l.retryDelay), maxRetryDelay)
		s.nextListRequestAt = s.now + l.retryDelay/2 + Micros(s.random.Int63n(int64(l.retryDelay)+1))
	})
}

// ListMayBeStale records that changes which discovery has from staleSince on count as known though they may never
// arrive: an answer has begun to arrive and is incomplete, or discovery has moved. The next list or keep-alive ends
// that.
func (s *Sentry) ListMayBeStale(now, staleSince Micros) Result {
	return s.handleEvent(now, func() {
		if l := &s.lease; l.undeliveredFrom == 0 || staleSince < l.undeliveredFrom {
			l.undeliveredFrom = staleSince
		}
	})
}

// logLease logs when the lease of the last ready worker has expired, and when a ready worker has one again.
func (s *Sentry) logLease() {
	if s.config.ListChangeDelay == 0 {
		return
	}
	ready, leased := 0, 0
	for w := range s.workers {
		if s.workers[w].State == Ready {
			ready++
			leased += int(oneIf(s.hasLease(w)))
		}
	}
	if expired := ready > 0 && leased == 0; expired != s.lease.expired {
		s.lease.expired = expired
		if expired {
			s.result.LogLines = append(s.result.LogLines, "leases expired: no worker may get hand-offs until discovery confirms the list")
		} else {
			s.result.LogLines = append(s.result.LogLines, "leases renewed: hand-offs are sent again")
		}
	}
}
