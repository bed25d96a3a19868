package logic

// The queue of transactions that no worker can take at the moment: how long they wait, and in which order they are
// handed off.

import (
	"cmp"
	"slices"
)

// queueOrGiveUp queues a transaction while no worker can take it, and gives it up once an answer in time is unlikely.
func (s *Sentry) queueOrGiveUp(t *transaction) bool {
	deadline := s.queueDeadline(t)
	switch {
	case t.hasOpenHandOff(): // a hedge that finds no worker is dropped
	case s.now >= deadline:
		return s.giveUp(t)
	case !t.queued:
		t.queued = true
		s.queue = append(s.queue, t)
		if !t.wakesAtQueueDeadline {
			t.wakesAtQueueDeadline = true
			s.wakeUp(deadline, t)
		}
	}
	return false
}

// queueDeadline returns the time until which a transaction stays queued. After it, an answer in time is unlikely.
func (s *Sentry) queueDeadline(t *transaction) Micros {
	return min(t.arrivedAt+t.profile.DueTime/4, t.Deadline-s.config.TimerGranularity)
}

// runQueued hands off queued transactions, after an event that may have freed capacity for them.
func (s *Sentry) runQueued() {
	queued := s.queue
	s.queue = nil
	s.sortQueue(queued)
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

// sortQueue puts the transactions of the highest value per work first. Among equals it takes one client after the other,
// beginning with the clients that have the fewest hand-offs open: a client with many transactions at once delays its own.
func (s *Sentry) sortQueue(queued []*transaction) {
	if len(queued) < 2 {
		return
	}
	clear(s.nextTurns)
	for _, t := range queued {
		if t.Client == NoClient {
			continue
		}
		turn, known := s.nextTurns[t.Client]
		if !known {
			turn = s.openByClient[t.Client]
		}
		t.turn, s.nextTurns[t.Client] = turn, turn+1
	}
	slices.SortStableFunc(queued, func(a, b *transaction) int {
		return cmp.Or(cmp.Compare(s.profiles[b.Profile].valuePerWork(), s.profiles[a.Profile].valuePerWork()),
			cmp.Compare(a.turn, b.turn))
	})
}
