package sentry

import (
	"cmp"
	"slices"

	"scalechute/internal/wire"
	"scalechute/logic"
)

// This file holds the connections to workers: when one is opened, which one carries a hand-off, and when one is closed.

// pooledConn is a connection to a worker. A hand-off's id on it, modulo the number of slots, is the index of its slot.
type pooledConn struct {
	worker      *worker
	address     string // that was dialed
	link        WorkerConn
	slots       []slot
	freeSlots   []int
	seq         uint64
	connectedAt logic.Micros // when it was established
	lastUsed    logic.Micros
	lastAnswer  logic.Micros // when the last answer arrived, 0 if none has
	closed      bool

	ready bool // the worker has reported that it may carry hand-offs
}

// slot holds one open hand-off of a connection.
type slot struct {
	id    uint64 // 0 if free
	t     *transaction
	gen   uint32
	index int
}

// cooldownDivisor sets the cooldown of a connection, which is the connect timeout divided by it. Where answers come in
// order, a connection carries no new hand-off during the cooldown after an answer: a worker may send a duplicate of the
// answer some milliseconds later, and it must not be mistaken for the answer to the next hand-off.
const cooldownDivisor = 8

// cooldownUntil returns until when a connection carries no new hand-off, 0 if it is not in its cooldown.
func (s *Sentry) cooldownUntil(c *pooledConn) logic.Micros {
	if until := c.lastAnswer + s.config.ConnectTimeout/cooldownDivisor; s.transport.AnswersInOrder() && c.lastAnswer > 0 && c.isIdle() && until > s.now {
		return until
	}
	return 0
}

// earliestCooldownEnd returns when the first cooldown of some connections ends, 0 if none is in its cooldown.
func (s *Sentry) earliestCooldownEnd(conns []*pooledConn) (earliest logic.Micros) {
	for _, c := range conns {
		if until := s.cooldownUntil(c); until > 0 && !c.closed && (earliest == 0 || until < earliest) {
			earliest = until
		}
	}
	return earliest
}

// scheduleCooldownEnd sets a timer that sends a worker's queued hand-offs when the first cooldown of its connections
// ends. It reports whether any of its connections is in its cooldown.
func (s *Sentry) scheduleCooldownEnd(w *worker) (scheduled bool) {
	earliest := s.earliestCooldownEnd(w.conns)
	if earliest > 0 && earliest != w.cooldownTimerDue {
		w.cooldownTimerDue = earliest
		s.timers.add(timer{due: earliest, kind: timerCooldownEnd, worker: w})
	}
	return earliest > 0
}

// scheduleDialBlocked sets a timer for the end of the first cooldown of any connection, which may be replaced then.
func (s *Sentry) scheduleDialBlocked() {
	if earliest := s.earliestCooldownEnd(s.conns); earliest > 0 && earliest != s.dialBlockedTimerDue {
		s.dialBlockedTimerDue = earliest
		s.timers.add(timer{due: earliest, kind: timerDialBlocked})
	}
}

// pickConn returns the connection with the fewest open hand-offs that has a free slot, is not in its cooldown and was not
// tried yet. Among equals it returns the one unused for longest: the worker may be about to close a connection after its
// last answer.
func (s *Sentry) pickConn(w *worker, tried []*pooledConn) (best *pooledConn) {
	for _, c := range w.conns {
		if len(c.freeSlots) == 0 || c.closed || s.cooldownUntil(c) > 0 || slices.Contains(tried, c) {
			continue
		}
		if best == nil || len(c.freeSlots) > len(best.freeSlots) ||
			len(c.freeSlots) == len(best.freeSlots) && c.lastUsed < best.lastUsed {
			best = c
		}
	}
	return best
}

// isIdle reports whether a connection has no open hand-offs.
func (c *pooledConn) isIdle() bool { return len(c.freeSlots) == len(c.slots) }

// handOffsPerConnection returns how many hand-offs a connection may have open. Where answers carry no id, it is one: a
// worker may send an answer twice while nothing else waits on the connection, and the second copy would be taken for the
// answer to a hand-off that was written meanwhile.
func (s *Sentry) handOffsPerConnection() int {
	if s.transport.AnswersInOrder() {
		return 1
	}
	return s.settings.Bounds.HandOffsPerConnection
}

// waitsForOwnHandOffs reports whether the queued hand-offs of a worker wait only because other hand-offs of this sentry use
// all connections that it may have. The worker is not at fault then.
func (s *Sentry) waitsForOwnHandOffs(w *worker) bool {
	return s.transport.AnswersInOrder() && w.dials == 0 && !s.mayDial(w)
}

// mayDial reports whether one more connection to a worker is within the bounds, if necessary in place of an idle one.
func (s *Sentry) mayDial(w *worker) bool {
	b := &s.settings.Bounds
	return w.dials+len(w.conns) < b.ConnectionsPerWorker &&
		(b.WorkerConnections == 0 || len(s.conns)+s.dials < b.WorkerConnections || slices.ContainsFunc(s.conns, s.isReplaceable))
}

// isUnused reports whether a connection carries nothing and may be closed.
func (c *pooledConn) isUnused() bool { return c.ready && c.isIdle() }

// isReplaceable reports whether a connection may be closed to make room for another: its own worker has no use for it. One
// in its cooldown is about to be used again, and a new connection costs more than the rest of the cooldown.
func (s *Sentry) isReplaceable(c *pooledConn) bool {
	return c.isUnused() && len(c.worker.queue) == 0 && s.cooldownUntil(c) == 0
}

// dial opens a connection for the queued hand-offs of a worker, unless enough connections are being dialed, or are in a
// cooldown that ends well before the hand-offs' deadlines, or the bounds allow no further connection.
func (s *Sentry) dial(w *worker) {
	wanted, canWait := 0, 0
	cooldown := s.config.ConnectTimeout / cooldownDivisor
	for _, x := range w.queue {
		if x.isOpen() {
			wanted++
			canWait += map[bool]int{true: 1}[x.t.handOffs[x.index].deadline-s.now > 2*cooldown]
		}
	}
	for _, c := range w.conns {
		if canWait > 0 && s.cooldownUntil(c) > 0 { // it will be usable soon
			wanted, canWait = wanted-1, canWait-1
		}
	}
	if w.dials*s.handOffsPerConnection() >= wanted {
		return
	}
	if !s.mayDial(w) {
		if !slices.Contains(s.blockedWorkers, w) {
			s.blockedWorkers = append(s.blockedWorkers, w)
		}
		s.scheduleDialBlocked()
		return
	}
	limit := s.settings.Bounds.WorkerConnections
	replacesOther := limit > 0 && len(s.conns)+s.dials >= limit
	w.dials++
	s.dials++
	if replacesOther {
		s.closeLongestIdle()
	}
	s.metrics.dials.Inc()
	address, timeout := w.address, toDuration(s.config.ConnectTimeout)
	go func() {
		c := &pooledConn{worker: w, address: address}
		link, err := s.transport.Dial(WorkerConnHandler{s, c}, address, timeout)
		s.inbox.put(&event{kind: eventDialed, worker: w, conn: c, workerLink: link, err: err}, false)
	}()
}

// dialBlocked opens connections for the workers that the bounds kept from it, as far as the bounds now allow. It is called
// when a connection has closed, has no open hand-offs any more, or has ended its cooldown.
func (s *Sentry) dialBlocked() {
	blocked := s.blockedWorkers
	s.blockedWorkers = nil
	for _, w := range blocked {
		s.dial(w)
	}
}

// closeLongestIdle closes the connection that has been idle longest, to make room for another.
func (s *Sentry) closeLongestIdle() {
	var longest *pooledConn
	for _, c := range s.conns {
		if s.isReplaceable(c) && (longest == nil || c.lastUsed < longest.lastUsed) {
			longest = c
		}
	}
	longest.link.Close(wire.ErrClosed)
	s.dropConn(longest)
}

// handleDialed takes over a dialed connection, or handles the failure to dial it.
func (s *Sentry) handleDialed(e *event) {
	c := e.conn
	s.dials--
	if e.err != nil || c.closed || e.workerLink.IsClosed() {
		c.closed = true
		s.handleDialFailed(e.worker)
		return
	}
	c.link, c.connectedAt, c.lastUsed = e.workerLink, s.now, s.now
	c.link.SendHello()
	s.unflushed, s.conns = append(s.unflushed, c.link), append(s.conns, c)
	s.timers.add(timer{due: s.now + s.config.ConnectTimeout, kind: timerConnReady, conn: c})
}

// handleConnReady makes a connection available for hand-offs.
func (s *Sentry) handleConnReady(c *pooledConn) {
	if c.closed || c.ready {
		return
	}
	w, count := c.worker, s.handOffsPerConnection()
	c.ready, c.slots, c.lastUsed = true, make([]slot, count), s.now
	for i := count - 1; i >= 0; i-- {
		c.freeSlots = append(c.freeSlots, i)
	}
	w.dials--
	if c.address != w.address { // the worker's address has changed since
		c.link.Close(wire.ErrClosed)
		s.dropConn(c)
	} else {
		w.conns = append(w.conns, c)
	}
	s.sendQueued(w)
}

// handleDialFailed ends the queued hand-offs for which no connection could be established.
func (s *Sentry) handleDialFailed(w *worker) {
	w.dials--
	// The hand-offs that the other dials are meant for stay queued; all do while a connection is in its cooldown.
	keep := w.dials * s.handOffsPerConnection()
	if s.scheduleCooldownEnd(w) {
		keep = len(w.queue)
	}
	var kept, failed []queuedHandOff
	for _, x := range w.queue {
		switch {
		case !x.isOpen():
		case len(kept) < keep:
			kept = append(kept, x)
		default:
			failed = append(failed, x)
		}
	}
	w.queue = kept
	for _, x := range failed {
		if x.isOpen() {
			s.endHandOff(x.t, x.index, logic.Unconnected, logic.NoLoad)
		}
	}
	s.dialBlocked()
}

// freeSlot frees the slot of a hand-off, if it still holds it.
func (c *pooledConn) freeSlot(id uint64) {
	slotIndex := int(id % uint64(len(c.slots)))
	if c.slots[slotIndex].id == id {
		c.slots[slotIndex] = slot{}
		c.freeSlots = append(c.freeSlots, slotIndex)
	}
}

// dropConn removes a closed connection and ends its open hand-offs as broken: they may have run. If the connection
// was not ready yet, this counts as a failure to dial.
func (s *Sentry) dropConn(c *pooledConn) {
	if c.closed || c.link == nil { // closed by the loop itself, or before the loop received the connection
		c.closed = true
		return
	}
	c.closed = true
	isSame := func(x *pooledConn) bool { return x == c }
	c.worker.conns, s.conns = slices.DeleteFunc(c.worker.conns, isSame), slices.DeleteFunc(s.conns, isSame)
	if !c.ready {
		s.handleDialFailed(c.worker)
		return
	}
	slots := slices.Clone(c.slots)
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.id, b.id) })
	for _, x := range slots {
		if x.id != 0 && x.t.gen == x.gen {
			s.endHandOff(x.t, x.index, logic.Broken, logic.NoLoad)
		}
	}
	s.dialBlocked()
}

// probeWorker sends a probe to a worker if it has a connection to it.
func (s *Sentry) probeWorker(id logic.WorkerID) {
	w := s.workers[id]
	if w == nil || len(w.conns) == 0 {
		return
	}
	w.probeSeq++
	w.conns[0].link.SendProbe(w.probeSeq)
	s.unflushed = append(s.unflushed, w.conns[0].link)
}

// closeIdleConns closes the connections that have been idle for the configured timeout divided by
// Bounds.IdleTimeoutDivisor.
func (s *Sentry) closeIdleConns() {
	for _, c := range slices.Clone(s.conns) {
		if c.isUnused() && s.now-c.lastUsed >= s.config.IdleTimeout/logic.Micros(max(1, s.settings.Bounds.IdleTimeoutDivisor)) {
			c.link.Close(wire.ErrClosed)
			s.dropConn(c)
		}
	}
}
