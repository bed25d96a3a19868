package sentry

import "scalechute/logic"

type timerKind uint8

const (
	timeTransaction timerKind = iota // something of a transaction is due: see transaction.due
	timeWelcome                      // a worker has not welcomed a connection
	timeVote                         // a vote has had no answer
	timeList                         // the list's service has not answered
	timeRedial
	timeSweep
	timeSave
	timeRested // a connection to a worker has rested
)

// timer is due at a time. A transaction has one, which moves with what is due next and goes with the transaction, so
// that the heap is as small as what is open; of the others, one whose cause has gone does nothing when it is due.
type timer struct {
	due  logic.Micros
	seq  uint64 // order among those due together
	kind timerKind
	t    *transaction
	up   *upstream
	conn *conn
	id   uint64

	worker *worker
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
	h.all = append(h.all, timer{})
	h.up(len(h.all)-1, t)
}

// put places a timer; a transaction knows its place, from 1 on.
func (h *timers) put(i int, t timer) {
	h.all[i] = t
	if t.t != nil {
		t.t.timer = i + 1
	}
}

func (h *timers) up(i int, t timer) {
	for i > 0 {
		above := (i - 1) / 2
		if !h.before(&t, &h.all[above]) {
			break
		}
		h.put(i, h.all[above])
		i = above
	}
	h.put(i, t)
}

func (h *timers) down(i int, t timer) {
	for {
		least := 2*i + 1
		if least >= len(h.all) {
			break
		}
		if least+1 < len(h.all) && h.before(&h.all[least+1], &h.all[least]) {
			least++
		}
		if !h.before(&h.all[least], &t) {
			break
		}
		h.put(i, h.all[least])
		i = least
	}
	h.put(i, t)
}

// due is when the first is due, 0 if there is none.
func (h *timers) due() logic.Micros {
	if len(h.all) == 0 {
		return 0
	}
	return h.all[0].due
}

func (h *timers) pop() timer { return h.remove(0) }

func (h *timers) remove(i int) timer {
	gone, last := h.all[i], len(h.all)-1
	moved := h.all[last]
	h.all[last] = timer{}
	h.all = h.all[:last]
	if gone.t != nil {
		gone.t.timer = 0
	}
	if i < last {
		h.move(i, moved)
	}
	return gone
}

// move puts a timer where it belongs, from a place that is free.
func (h *timers) move(i int, t timer) {
	if i > 0 && h.before(&t, &h.all[(i-1)/2]) {
		h.up(i, t)
	} else {
		h.down(i, t)
	}
}

// set moves a transaction's timer, makes it, or with 0 takes it away.
func (h *timers) set(t *transaction, due logic.Micros) {
	switch i := t.timer - 1; {
	case i < 0 && due > 0:
		h.add(timer{due: due, kind: timeTransaction, t: t})
	case i >= 0 && due == 0:
		h.remove(i)
	case i >= 0 && h.all[i].due != due:
		h.seq++
		h.move(i, timer{due: due, seq: h.seq, kind: timeTransaction, t: t})
	}
}
