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
	drainingTakes = 4 * second

	// Waits between calls for the list, each doubled after the next failure. Discovery takes one call of every process in 2
	// to 8 s, however many there are (BENCH page, all_call_s), and a call that waited too long has used it up all the same:
	// processes that ask more often than it can answer keep each other from any answer. A call that was lost on its way
	// tells nothing of that.
	firstRetry     = second / 2
	firstBusyRetry = 4 * second
	mostRetry      = 8 * second
)

// lease is what is known of the list's age.
type lease struct {
	confirmed Micros // discovery last said how all servers stand
	unsure    Micros // what discovery tells from then on counts as told and has not arrived; 0 if all has
	pushLost  Micros // since when there is no watch though lists are pushed; 0 if one stands
	retryWait Micros // before the next call for the list, 0 after one that was answered
	over      bool   // no ready server's lease lasts
}

// serverLease is what a server's own answers add for it.
type serverLease struct {
	answered Micros // the listed process last took on a request that it has answered
	severed  Micros // a connection to it last failed, 0 if none has since it was confirmed
}

// sameUntil is the last moment at which the process behind a server is known to have been the listed one.
func (s *Sentry) sameUntil(w int) Micros { return max(s.lease.confirmed, s.serverLeases[w].answered) }

// unchangedUntil is the last moment at which a server is known not to have begun to drain.
func (s *Sentry) unchangedUntil(w int) Micros {
	return max(s.lease.confirmed, s.serverLeases[w].answered-drainingTakes)
}

// sendBy is the last moment at which a request may be written to a server, 0 if there is no such limit.
func (s *Sentry) sendBy(w int) Micros {
	o := &s.orders
	if o.NoticeWithin == 0 {
		return 0
	}
	unchanged := s.unchangedUntil(w)
	told := unchanged + o.NoticeWithin
	if lost := s.lease.pushLost; lost > 0 { // what discovery has counts as told at once
		told = max(unchanged, lost)
	}
	if unsure := s.lease.unsure; unsure > unchanged {
		told = min(told, unsure)
	}
	return max(1, told+o.DrainGrace-leaseMargin)
}

// leased says whether a server may be sent a request now.
func (s *Sentry) leased(w int) bool {
	by := s.sendBy(w)
	return by == 0 || s.now <= by
}

// confirmList renews the lease of all servers: discovery has said how they stand.
func (s *Sentry) confirmList() {
	s.lease = lease{confirmed: s.now, over: s.lease.over}
	s.askAt = s.now + s.orders.AskWithin/2
}

// rememberList begins with a list from before the start. Nobody knows how old it is, so it may be used as if a change of it
// had been told at the start.
func (s *Sentry) rememberList() { s.lease.confirmed = s.now - s.orders.NoticeWithin }

// renewLease takes what the end of a request says of the process behind its server.
func (s *Sentry) renewLease(h *handOff) {
	l := &s.serverLeases[h.worker]
	switch h.end.Ending {
	case Unconnected, Broken:
		l.severed = s.now
	case Answered:
		opened := h.end.Opened
		sameProcess := l.severed <= s.lease.confirmed || opened < l.severed
		if opened <= s.sameUntil(h.worker) && sameProcess && h.sent > l.answered {
			l.answered = h.sent
			if h.sent > l.severed {
				l.severed = 0
			}
		}
	}
}

// AskFailed notes that the list could not be had, or that a watch has ended; busy says that discovery turned the call away.
func (s *Sentry) AskFailed(now Micros, busy bool) Result {
	return s.call(now, func() {
		l := &s.lease
		if !s.orders.AskForList && l.pushLost == 0 {
			l.pushLost = s.now
		}
		least := firstRetry
		if busy {
			least = firstBusyRetry
		}
		l.retryWait = min(max(least, 2*l.retryWait), mostRetry)
		s.askAt = s.now + l.retryWait/2 + Micros(s.chance.Int63n(int64(l.retryWait)+1))
	})
}

// ListUnsure notes that what discovery tells from a time on counts as told though it may never arrive: an answer has begun
// to come and is not whole, or discovery has moved. A list or a sign of life ends that.
func (s *Sentry) ListUnsure(now, from Micros) Result {
	return s.call(now, func() {
		if l := &s.lease; l.unsure == 0 || from < l.unsure {
			l.unsure = from
		}
	})
}

// noteLease says in the log when the lease of the last ready server is over, and when it lasts again.
func (s *Sentry) noteLease() {
	if s.orders.NoticeWithin == 0 {
		return
	}
	ready, leased := 0, 0
	for w := range s.workers {
		if s.workers[w].State == Ready {
			ready++
			leased += int(one(s.leased(w)))
		}
	}
	if over := ready > 0 && leased == 0; over != s.lease.over {
		s.lease.over = over
		if over {
			s.out.Notes = append(s.out.Notes, "lease over: no server may get requests until discovery tells of them")
		} else {
			s.out.Notes = append(s.out.Notes, "lease renewed: requests are sent again")
		}
	}
}
