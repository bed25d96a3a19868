package sentry

import "scalechute/logic"

type timerKind uint8

const (
	timerTransaction timerKind = iota // something of a transaction is due: see transaction.due
	timerConnReady                    // a worker has not welcomed a connection
	timerVote                         // a vote has had no answer
	timerList                         // the list's service has not answered
	timerRedial
	timerSweep
	timerSave
	timerCooldownEnd // a connection to a worker has rested
)

// timer is due at a time. A transaction has one, which moves with what is due next and goes with the transaction, so
// that the heap is as small as what is open; of the others, one whose cause has gone does nothing when it is due.
type timer struct {
	due         logic.Micros
	seq         uint64 // order among those due together
	kind        timerKind
	transaction *transaction
	upstream    *upstream
	conn        *pooledConn
	id          uint64

	worker *worker
}

// timers is a heap; container/heap would allocate for each.
type timerHeap struct {
	entries []timer
	seq     uint64
}

func (h *timerHeap) less(a, b *timer) bool { return a.due < b.due || a.due == b.due && a.seq < b.seq }

func (h *timerHeap) add(t timer) {
	h.seq++
	t.seq = h.seq
	h.entries = append(h.entries, timer{})
	h.siftUp(len(h.entries)-1, t)
}

// put places a timer; a transaction knows its place, from 1 on.
func (h *timerHeap) place(i int, t timer) {
	h.entries[i] = t
	if t.transaction != nil {
		t.transaction.timerSlot = i + 1
	}
}

func (h *timerHeap) siftUp(i int, t timer) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(&t, &h.entries[parent]) {
			break
		}
		h.place(i, h.entries[parent])
		i = parent
	}
	h.place(i, t)
}

func (h *timerHeap) siftDown(i int, t timer) {
	for {
		child := 2*i + 1
		if child >= len(h.entries) {
			break
		}
		if child+1 < len(h.entries) && h.less(&h.entries[child+1], &h.entries[child]) {
			child++
		}
		if !h.less(&h.entries[child], &t) {
			break
		}
		h.place(i, h.entries[child])
		i = child
	}
	h.place(i, t)
}

// due is when the first is due, 0 if there is none.
func (h *timerHeap) nextDue() logic.Micros {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[0].due
}

func (h *timerHeap) pop() timer { return h.remove(0) }

func (h *timerHeap) remove(i int) timer {
	removed, last := h.entries[i], len(h.entries)-1
	moved := h.entries[last]
	h.entries[last] = timer{}
	h.entries = h.entries[:last]
	if removed.transaction != nil {
		removed.transaction.timerSlot = 0
	}
	if i < last {
		h.fix(i, moved)
	}
	return removed
}

// move puts a timer where it belongs, from a place that is free.
func (h *timerHeap) fix(i int, t timer) {
	if i > 0 && h.less(&t, &h.entries[(i-1)/2]) {
		h.siftUp(i, t)
	} else {
		h.siftDown(i, t)
	}
}

// set moves a transaction's timer, makes it, or with 0 takes it away.
func (h *timerHeap) set(t *transaction, due logic.Micros) {
	switch i := t.timerSlot - 1; {
	case i < 0 && due > 0:
		h.add(timer{due: due, kind: timerTransaction, transaction: t})
	case i >= 0 && due == 0:
		h.remove(i)
	case i >= 0 && h.entries[i].due != due:
		h.seq++
		h.fix(i, timer{due: due, seq: h.seq, kind: timerTransaction, transaction: t})
	}
}
