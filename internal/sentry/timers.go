package sentry

import "scalechute/logic"

type timerKind uint8

const (
	timeUntil   timerKind = iota // a hand-off's time is up
	timeConnect                  // a hand-off still waits for a connection
	timeWelcome                  // a worker has not welcomed a connection
	timeOverdue                  // the final answer should have left by now
	timeVote                     // a vote has had no answer
	timeList                     // the list's service has not answered
	timeRedial
	timeIdle
	timeSave
)

// timer is due at a time. One whose cause has gone stays until it is due and then does nothing.
type timer struct {
	due  logic.Micros
	seq  uint64 // order among those due together
	kind timerKind
	n    int
	gen  uint32
	t    *transaction
	up   *upstream
	conn *conn
	id   uint64
}

// timers is a heap; container/heap would allocate for each.
type timers struct {
	all []timer
	seq uint64
}

func (h *timers) before(a, b *timer) bool { return a.due < b.due || a.due == b.due && a.seq < b.seq }

func (h *timers) add(t timer) {
	h.seq++
	t.seq = h.seq
	h.all = append(h.all, t)
	i := len(h.all) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !h.before(&h.all[i], &h.all[up]) {
			break
		}
		h.all[i], h.all[up] = h.all[up], h.all[i]
		i = up
	}
}

// due is when the first is due, 0 if there is none.
func (h *timers) due() logic.Micros {
	if len(h.all) == 0 {
		return 0
	}
	return h.all[0].due
}

func (h *timers) pop() timer {
	first := h.all[0]
	last := len(h.all) - 1
	h.all[0] = h.all[last]
	h.all[last] = timer{}
	h.all = h.all[:last]
	for i := 0; ; {
		small := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.before(&h.all[c], &h.all[small]) {
				small = c
			}
		}
		if small == i {
			return first
		}
		h.all[i], h.all[small] = h.all[small], h.all[i]
		i = small
	}
}
