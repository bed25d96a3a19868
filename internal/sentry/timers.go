package sentry

import "scalechute/logic"

// timerKind says what happens when a timer is due.
type timerKind uint8

const (
	timerTransaction timerKind = iota // a deadline of a transaction or of its hand-offs has passed: see transaction.nextDue
	timerConnReady                    // a worker has not reported a connection as ready
	timerVote                         // a vote has not been answered
	timerList                         // discovery has not answered
	timerRedial
	timerSweep
	timerSave
	timerCooldownEnd // the cooldown of a connection to a worker has ended
	timerDialBlocked // a connection may be replaced: see Sentry.blockedWorkers
	timerDelivery    // what was written to a connection must have been delivered: see dropIfUndelivered
)

// timer is an entry of the timer heap. A transaction has one timer at most, which is moved when its next deadline
// changes and removed with the transaction, so that the heap holds no entries of ended transactions. Timers of
// other kinds are not removed: one whose cause no longer exists does nothing when it is due.
type timer struct {
	due         logic.Micros
	seq         uint64 // order among timers of the same due time
	kind        timerKind
	transaction *transaction
	upstream    *upstream
	conn        *pooledConn
	id          uint64

	worker *worker
}

// timerHeap is a min-heap of timers by due time. container/heap is not used as it would allocate for each timer.
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

// place stores a timer at an index and records the index plus one in its transaction.
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

// nextDue returns the earliest due time, 0 if there are no timers.
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

// fix stores a timer at a free index and restores the heap order.
func (h *timerHeap) fix(i int, t timer) {
	if i > 0 && h.less(&t, &h.entries[(i-1)/2]) {
		h.siftUp(i, t)
	} else {
		h.siftDown(i, t)
	}
}

// set sets a transaction's timer: it adds or moves it, and removes it if due is 0.
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
