package sentry

import (
	"slices"

	"github.com/rs/zerolog"

	"scalechute/internal/input"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// This file holds the life of a hand-off: it is ordered, waits for a connection, is written, and ends.

// queuedHandOff is a hand-off that has no connection yet.
type queuedHandOff struct {
	t     *transaction
	gen   uint32
	index int
}

// isOpen reports whether the hand-off has not ended.
func (w queuedHandOff) isOpen() bool { return w.t.gen == w.gen && !w.t.handOffs[w.index].ended }

// enqueue adds a hand-off to those that wait for a connection. One that must be written sooner goes first: a retry whose
// deduplication window is about to end has milliseconds, the others have seconds.
func (w *worker) enqueue(added queuedHandOff) {
	sendBy := added.t.handOffs[added.index].sendBy
	isLater := func(x queuedHandOff) bool {
		other := x.t.handOffs[x.index].sendBy
		return sendBy > 0 && (other == 0 || other > sendBy)
	}
	position := len(w.queue)
	for position > 0 && (!w.queue[position-1].isOpen() || isLater(w.queue[position-1])) {
		position--
	}
	w.queue = slices.Insert(w.queue, position, added)
}

// handOff executes a hand-off that the module has ordered. One that cannot be sent ends at once as unsent: it is proven
// not to have run.
func (s *Sentry) handOff(t *transaction, action *logic.Action) {
	w, index := s.workers[action.Worker], len(t.handOffs)
	t.handOffs = append(t.handOffs, handOff{worker: w, startedAt: s.now,
		deadline: min(action.Deadline, t.deadline), sendBy: action.SendBy})
	t.openHandOffs++
	h := &t.handOffs[index]
	if h.deadline <= 0 {
		h.deadline = t.deadline
	}
	if s.closeIfClientGone(t); t.closed || w == nil || h.deadline <= s.now || index >= s.config.MaxHandOffs || s.sendByPassed(h) {
		s.endHandOff(t, index, logic.Unsent, logic.NoLoad)
		return
	}
	h.connectBy = s.now + s.config.ConnectTimeout
	if !s.sendHandOff(w, t, index) {
		w.enqueue(queuedHandOff{t, t.gen, index})
		s.dial(w)
		s.scheduleCooldownEnd(w)
		s.setTimer(t)
	}
}

// sendByPassed reports whether the time has passed until which the hand-off may be written, and counts it. It reads the
// clock again: the loop may have been stalled since the time of the current input.
func (s *Sentry) sendByPassed(h *handOff) bool {
	if h.sendBy == 0 || s.clock.now() <= h.sendBy {
		return false
	}
	s.metrics.expiredHandOffs.Inc()
	return true
}

// mayStillSend asks the module whether a hand-off that has waited for a connection may still be written: what it was ordered
// by may have changed. The module is called between two inputs or while the actions of one are executed, never during a
// call.
func (s *Sentry) mayStillSend(t *transaction, index int) bool {
	in := input.Input{Kind: input.HandOffConnected, At: s.now, ID: t.id, HandOffNumber: index}
	result := s.decide(&in)
	if s.record != nil {
		s.record(&in, &result)
	}
	if result.Withhold {
		s.metrics.withheldHandOffs.Inc()
	}
	return !result.Withhold
}

// closeIfClientGone ends a transaction whose client has closed its connection, even if that event is still in the
// inbox: a hand-off written now would start after the client has left.
func (s *Sentry) closeIfClientGone(t *transaction) {
	if !t.closed && t.client.link.IsClosed() {
		s.handleClientLeft(t)
	}
}

// sendHandOff writes a hand-off to a connection and reports whether there was one for it.
func (s *Sentry) sendHandOff(w *worker, t *transaction, index int) bool {
	var tried []*pooledConn
	for {
		c := s.pickConn(w, tried)
		if c == nil {
			return false
		}
		slotIndex := c.freeSlots[len(c.freeSlots)-1]
		c.seq++
		h := &t.handOffs[index]
		id := c.seq*uint64(len(c.slots)) + uint64(slotIndex)
		m := &s.scratch.work
		s.scratch.name = append(s.scratch.name[:0], t.id...)
		s.scratch.key = append(s.scratch.key[:0], t.key...)
		*m = wire.Work{ID: id, Profile: t.profile, Key: s.scratch.key, Timeout: uint64(h.deadline - s.now),
			DeduplicationToken: t.dedupToken, Payload: t.payload, Transaction: s.scratch.name,
			HandOffNumber: uint32(index), ExpectedWork: t.expectedWork}
		if !c.link.SendWork(m) { // no byte of it was sent: another connection may carry it
			tried = append(tried, c)
			continue
		}
		s.unflushed = append(s.unflushed, c.link)
		c.freeSlots = c.freeSlots[:len(c.freeSlots)-1]
		c.slots[slotIndex] = slot{id: id, t: t, gen: t.gen, index: index}
		c.lastUsed, h.conn, h.id, h.endOffset = s.now, c, id, c.link.PutOffset()
		if by := max(h.sendBy, s.now) + deliverySlack; h.sendBy > 0 && by < h.deadline { // at its deadline it is given up anyway
			s.requireDelivery(c, h.endOffset, by)
		}
		s.setTimer(t)
		s.metrics.handOffs.Inc()
		s.logOldList(w, t, index)
		return true
	}
}

// oldListMicros is the age of discovery's last update from which on hand-offs are logged as relying on an old list. It
// is twice discovery's keep-alive interval.
const oldListMicros = logic.Micros(4_000_000)

// logOldList counts and logs a hand-off that relies on an old worker list, once for each worker and update. The first
// worker after an update is logged at level info, the others at debug.
func (s *Sentry) logOldList(w *worker, t *transaction, index int) {
	if s.now-s.listConfirmedAt < oldListMicros || w.oldListLoggedFor == s.listConfirmedAt {
		return
	}
	w.oldListLoggedFor = s.listConfirmedAt
	s.metrics.handOffsOnOldLists.Inc()
	level := zerolog.DebugLevel
	if s.oldListLoggedFor != s.listConfirmedAt {
		s.oldListLoggedFor, level = s.listConfirmedAt, zerolog.InfoLevel
	}
	s.log.WithLevel(level).Str("server", string(w.id)).Str("address", w.address).Int("build", int(w.info.Build)).
		Str("request", string(t.id)).Int("attempt", index).Dur("list_age_ms", toDuration(s.now-s.listConfirmedAt)).
		Dur("request_age_ms", toDuration(s.now-t.arrivedAt)).Msg("hand-off relies on an old worker list")
}

// sendQueued sends a worker's queued hand-offs, as far as its connections have free slots.
func (s *Sentry) sendQueued(w *worker) {
	for len(w.queue) > 0 {
		x := w.queue[0]
		if x.isOpen() {
			if x.t.closed || x.t.client.link.IsClosed() {
				w.queue = w.queue[1:]
				if s.closeIfClientGone(x.t); x.isOpen() { // the module may have cancelled it
					s.endHandOff(x.t, x.index, logic.Unsent, logic.NoLoad)
				}
				continue
			}
			if s.sendByPassed(&x.t.handOffs[x.index]) {
				w.queue = w.queue[1:]
				s.endHandOff(x.t, x.index, logic.Unsent, logic.NoLoad)
				continue
			}
			if s.pickConn(w, nil) == nil {
				break
			}
			if !s.mayStillSend(x.t, x.index) {
				w.queue = w.queue[1:]
				s.endHandOff(x.t, x.index, logic.Unsent, logic.NoLoad)
				continue
			}
			if !s.sendHandOff(w, x.t, x.index) {
				break
			}
		}
		w.queue = w.queue[1:]
	}
	if len(w.queue) == 0 {
		w.queue = nil
	} else {
		s.dial(w)
		s.scheduleCooldownEnd(w)
	}
}

// endHandOff ends a hand-off, frees its slot and reports its ending to the module. It does nothing if it has ended
// before. If the answer has arrived in part or could not be parsed, a timeout or a broken connection is reported as
// unreadable. A broken connection on which the worker cannot have received the whole hand-off is reported as
// unconnected: the work has not run. Where answers come in order, a connection with an answer outstanding cannot be used
// again and is closed.
func (s *Sentry) endHandOff(t *transaction, index int, ending logic.Ending, load logic.Load) {
	h := &t.handOffs[index]
	if h.ended {
		return
	}
	h.ended = true
	s.setTimer(t)
	w, carried := h.worker, h.conn != nil
	if carried {
		switch {
		case ending != logic.TimedOut && ending != logic.Broken:
		case h.conn.link.AnswerStarted(h.id):
			ending = logic.Unreadable
		case ending == logic.Broken && !h.conn.link.MayHaveSent(h.endOffset):
			ending = logic.Unconnected
		}
		h.conn.freeSlot(h.id)
		givenUp := ending == logic.TimedOut || ending == logic.Cancelled || ending == logic.Unreadable
		switch {
		case !givenUp:
		case s.transport.AnswersInOrder():
			h.conn.link.Close(wire.ErrClosed)
			s.dropConn(h.conn)
		default: // other hand-offs are open on the connection, and a cancellation follows this one
			s.requireDelivery(h.conn, h.endOffset, max(s.now, h.startedAt+s.config.ConnectTimeout))
		}
	}
	s.metrics.endings[ending].Inc()
	end := logic.HandOffEnd{Transaction: t.id, HandOffNumber: index, Ending: ending, Duration: s.now - h.startedAt, Load: load}
	if w != nil {
		end.Worker = w.id
	}
	if h.conn != nil {
		end.ConnectionOpened = h.conn.connectedAt
	}
	s.deliver(input.Input{Kind: input.HandOffEnded, End: end})
	if w != nil && len(w.queue) > 0 {
		s.sendQueued(w)
	}
	if carried {
		s.dialBlocked()
	}
}

// deliverySlack is how long a worker's system may take to acknowledge what has arrived: acknowledgements are delayed by 40 ms.
const deliverySlack = logic.Micros(50_000)

// requireDelivery has a connection dropped if the worker's system does not have everything up to an offset by a time.
func (s *Sentry) requireDelivery(c *pooledConn, offset int64, by logic.Micros) {
	s.timers.add(timer{due: by, kind: timerDelivery, conn: c, id: uint64(offset)})
}

// dropIfUndelivered closes a connection on which something up to an offset is still on its way: it would arrive later than it
// may. The close drops it. Other hand-offs on the connection end as broken.
func (s *Sentry) dropIfUndelivered(c *pooledConn, offset int64) {
	if c.closed || c.link.IsAcknowledged(offset) {
		return
	}
	s.metrics.undelivered.Inc()
	c.link.Close(wire.ErrClosed)
	s.dropConn(c)
}

// handleWorkerAnswer handles a worker's answer. An answer to a hand-off that has ended is counted and ignored.
func (s *Sentry) handleWorkerAnswer(e *event) {
	c := e.conn
	if c.closed || len(c.slots) == 0 {
		return
	}
	x := c.slots[int(e.id%uint64(len(c.slots)))]
	if x.id != e.id || e.id == 0 || x.t.gen != x.gen || x.t.handOffs[x.index].ended {
		s.metrics.lateEnds.Inc()
		return
	}
	c.lastUsed, c.lastAnswer = s.now, s.now
	t := x.t
	ending := [...]logic.Ending{logic.Answered, logic.Errored, logic.TurnedAway}[e.ending]
	if ending == logic.Answered && !t.closed {
		s.scratch.name = append(s.scratch.name[:0], c.worker.id...)
		s.sendAnswer(t, pb.Outcome_SATISFIED, 0, e.payload, s.scratch.name)
	}
	s.endHandOff(t, x.index, ending, workerLoad(e))
}

// workerLoad converts the load that a worker reported with an answer. On the wire each figure is incremented by one,
// and 0 means that it was not reported.
func workerLoad(e *event) logic.Load {
	decode := func(value uint32) float64 {
		if value == 0 {
			return -1
		}
		return float64(value-1) / 1000
	}
	return logic.Load{InFlight: float64(e.inFlight) - 1, BusyShare: decode(e.busyShare), ServedPerSecond: decode(e.servedRate)}
}

// cancelHandOff stops waiting for a hand-off and sends the worker a cancellation. The worker may ignore it.
func (s *Sentry) cancelHandOff(t *transaction, index int) {
	if index < 0 || index >= len(t.handOffs) || t.handOffs[index].ended {
		return
	}
	h := &t.handOffs[index]
	if h.conn == nil { // no byte of it was written
		s.endHandOff(t, index, logic.Unsent, logic.NoLoad)
		return
	}
	h.conn.link.Cancel(h.id)
	s.unflushed = append(s.unflushed, h.conn.link)
	s.endHandOff(t, index, logic.Cancelled, logic.NoLoad)
}
