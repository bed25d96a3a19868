package logic

// The lease on what discovery told: how long requests may go to a server on a list that nothing confirms any more, and when
// to ask discovery again.
//
// Rule 3 forbids requests to a server that drains or is gone once the drain grace is over after this process was told. It
// counts as told NoticeWithin after discovery had the change, whether or not the news arrived. So what is known of a server
// may be used from the last moment at which the server is known to have been as listed, for
//
//	NoticeWithin + DrainGrace - leaseMargin
//
// Two things move that moment on. Discovery confirms all servers with each list and each sign of life. A server confirms
// itself with each answer: one that drains goes on taking requests for a while, then it turns them away, so that one which
// answers began to drain no earlier than that while before the request was sent. The answer has to come from the listed
// process, and not from one that took over its address: its connection was opened while the process was known to be the
// listed one, and nothing has broken since.
//
// It guards against every way of losing discovery alike (down, crowded, cut off, silent, moved, trickling). It can do harm
// where discovery is away for long and a server has got no request for that time: it gets none until discovery is back.

const (
	millisecond = second / 1000

	// A process may be held up for 150 ms between reading its clock and writing (STANDING page): once when it takes in
	// what confirms a server, once when it sends.
	leaseMargin = 300 * millisecond

	// So long at the most a server takes new requests after it has begun to drain. No page says how long it is, nor the
	// settings; servers were seen to do so for 1.4 s after discovery had told, which is some while after they began.
	maxAcceptWhileDraining = 4 * second

	// Waits between calls for the list, each doubled after the next failure. Discovery takes one call of every process in 2
	// to 8 s, however many there are (BENCH page, all_call_s), and a call that waited too long has used it up all the same:
	// processes that ask more often than it can answer keep each other from any answer. A call that was lost on its way
	// tells nothing of that.
	initialRetryDelay     = second / 2
	initialBusyRetryDelay = 4 * second
	maxRetryDelay         = 8 * second
)

// lease is what is known of the list's age.
type lease struct {
	confirmedAt     Micros // discovery last said how all servers stand
	undeliveredFrom Micros // what discovery tells from then on counts as told and has not arrived; 0 if all has
	watchLostAt     Micros // since when there is no watch though lists are pushed; 0 if one stands
	retryDelay      Micros // before the next call for the list, 0 after one that was answered
	expired         bool   // no ready server's lease lasts
}

// serverLease is what a server's own answers add for it.
type workerLease struct {
	sentAt             Micros // the listed process last took on a request that it has answered
	connectionFailedAt Micros // a connection to it last failed, 0 if none has since it was confirmed
}

// sameUntil is the last moment at which the process behind a server is known to have been the listed one.
func (s *Sentry) sameUntil(w int) Micros { return max(s.lease.confirmedAt, s.workerLeases[w].sentAt) }

// unchangedUntil is the last moment at which a server is known not to have begun to drain.
func (s *Sentry) notDrainingUntil(w int) Micros {
	return max(s.lease.confirmedAt, s.workerLeases[w].sentAt-maxAcceptWhileDraining)
}

// sendBy is the last moment at which a request may be written to a server, 0 if there is no such limit.
func (s *Sentry) sendBy(w int) Micros {
	o := &s.config
	if o.ListChangeDelay == 0 {
		return 0
	}
	unchanged := s.notDrainingUntil(w)
	told := unchanged + o.ListChangeDelay
	if lost := s.lease.watchLostAt; lost > 0 { // what discovery has counts as told at once
		told = max(unchanged, lost)
	}
	if unsure := s.lease.undeliveredFrom; unsure > unchanged {
		told = min(told, unsure)
	}
	return max(1, told+o.DrainGrace-leaseMargin)
}

// leased says whether a server may be sent a request now.
func (s *Sentry) hasLease(w int) bool {
	by := s.sendBy(w)
	return by == 0 || s.now <= by
}

// confirmList renews the lease of all servers: discovery has said how they stand.
func (s *Sentry) confirmList() {
	s.lease = lease{confirmedAt: s.now, expired: s.lease.expired}
	s.nextListRequestAt = s.now + s.config.MaxListAge/2
}

// rememberList begins with a list from before the start. Nobody knows how old it is, so it may be used as if a change of it
// had been told at the start.
func (s *Sentry) useCachedList() { s.lease.confirmedAt = s.now - s.config.ListChangeDelay }

// renewLease takes what the end of a request says of the process behind its server.
func (s *Sentry) renewLease(h *handOff) {
	l := &s.workerLeases[h.worker]
	switch h.end.Ending {
	case Unconnected, Broken:
		l.connectionFailedAt = s.now
	case Answered:
		opened := h.end.ConnectionOpened
		sameProcess := l.connectionFailedAt <= s.lease.confirmedAt || opened < l.connectionFailedAt
		if opened <= s.sameUntil(h.worker) && sameProcess && h.sentAt > l.sentAt {
			l.sentAt = h.sentAt
			if h.sentAt > l.connectionFailedAt {
				l.connectionFailedAt = 0
			}
		}
	}
}

// AskFailed notes that the list could not be had, or that a watch has ended; busy says that discovery turned the call away.
func (s *Sentry) ListRequestFailed(now Micros, busy bool) Result {
	return s.handleEvent(now, func() {
		l := &s.lease
		if !s.config.ListOnRequest && l.watchLostAt == 0 {
			l.watchLostAt = s.now
		}
		least := initialRetryDelay
		if busy {
			least = initialBusyRetryDelay
		}
		l.retryDelay = min(max(least, 2*l.retryDelay), maxRetryDelay)
		s.nextListRequestAt = s.now + l.retryDelay/2 + Micros(s.random.Int63n(int64(l.retryDelay)+1))
	})
}

// ListUnsure notes that what discovery tells from a time on counts as told though it may never arrive: an answer has begun
// to come and is not whole, or discovery has moved. A list or a sign of life ends that.
func (s *Sentry) ListMayBeStale(now, from Micros) Result {
	return s.handleEvent(now, func() {
		if l := &s.lease; l.undeliveredFrom == 0 || from < l.undeliveredFrom {
			l.undeliveredFrom = from
		}
	})
}

// noteLease says in the log when the lease of the last ready server is over, and when it lasts again.
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
	if over := ready > 0 && leased == 0; over != s.lease.expired {
		s.lease.expired = over
		if over {
			s.result.LogLines = append(s.result.LogLines, "lease over: no server may get requests until discovery tells of them")
		} else {
			s.result.LogLines = append(s.result.LogLines, "lease renewed: requests are sent again")
		}
	}
}
