package sentry

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"scalechute/internal/input"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// worker is the event loop's state of one worker: its connections, and the hand-offs that wait for a connection.
type worker struct {
	id               logic.WorkerID
	address          string
	info             logic.Worker // as last listed
	stateSince       logic.Micros // since when it has been in its state
	conns            []*pooledConn
	dials            int
	queue            []queuedHandOff // hand-offs without a connection, in order of arrival
	cooldownTimerDue logic.Micros    // when the timer for the end of a connection's cooldown is due; 0 if none is set
	probeSeq         uint64
	oldListLoggedFor logic.Micros // the value of Sentry.listConfirmedAt for which logOldList last counted this worker
}

// queuedHandOff is a hand-off that has no connection yet.
type queuedHandOff struct {
	t     *transaction
	gen   uint32
	index int
}

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

// isOpen reports whether the hand-off has not ended.
func (w queuedHandOff) isOpen() bool { return w.t.gen == w.gen && !w.t.handOffs[w.index].ended }

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
	if s.closeIfClientGone(t); t.closed || w == nil || h.deadline <= s.now || index >= s.config.MaxHandOffs || s.leaseExpired(h) {
		s.endHandOff(t, index, logic.Unsent, logic.NoLoad)
		return
	}
	h.connectBy = s.now + s.config.ConnectTimeout
	if !s.sendHandOff(w, t, index) {
		w.queue = append(w.queue, queuedHandOff{t, t.gen, index})
		s.dial(w)
		s.scheduleCooldownEnd(w)
		s.setTimer(t)
	}
}

// leaseExpired reports whether the lease on the worker list that the hand-off relies on has expired, and counts it. It
// reads the clock again: the loop may have been stalled since the time of the current input.
func (s *Sentry) leaseExpired(h *handOff) bool {
	if h.sendBy == 0 || s.clock.now() <= h.sendBy {
		return false
	}
	s.metrics.expiredHandOffs.Inc()
	return true
}

// closeIfClientGone ends a transaction whose client has closed its connection, even if that event is still in the
// inbox: a hand-off written now would start after the client has left.
func (s *Sentry) closeIfClientGone(t *transaction) {
	if !t.closed && t.client.link.IsClosed() {
		s.handleClientLeft(t)
	}
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

// scheduleCooldownEnd sets a timer that sends a worker's queued hand-offs when the first cooldown of its connections
// ends. It reports whether any of its connections is in its cooldown.
func (s *Sentry) scheduleCooldownEnd(w *worker) (scheduled bool) {
	earliest := logic.Micros(0)
	for _, c := range w.conns {
		if until := s.cooldownUntil(c); until > 0 && !c.closed && (earliest == 0 || until < earliest) {
			earliest = until
		}
	}
	if earliest > 0 && earliest != w.cooldownTimerDue {
		w.cooldownTimerDue = earliest
		s.timers.add(timer{due: earliest, kind: timerCooldownEnd, worker: w})
	}
	return earliest > 0
}

// pickConn returns the connection with the fewest open hand-offs that has a free slot and was not tried yet. Among
// equals it returns the one unused for longest: the worker may be about to close a connection after its last answer.
// Where answers come in order, each hand-off should have a connection of its own. There pickConn returns nil rather
// than a connection with open hand-offs, if another connection is being dialed, may be dialed, or is in its cooldown.
func (s *Sentry) pickConn(w *worker, tried []*pooledConn) (best *pooledConn) {
	coolingDown := false
	for _, c := range w.conns {
		if len(c.freeSlots) == 0 || c.closed || slices.Contains(tried, c) {
			continue
		}
		if s.cooldownUntil(c) > 0 {
			coolingDown = true
			continue
		}
		if best == nil || len(c.freeSlots) > len(best.freeSlots) ||
			len(c.freeSlots) == len(best.freeSlots) && c.lastUsed < best.lastUsed {
			best = c
		}
	}
	if best != nil && !best.isIdle() && s.transport.AnswersInOrder() && (coolingDown || w.dials > 0 || s.mayDial(w)) {
		return nil
	}
	return best
}

// isIdle reports whether a connection has no open hand-offs.
func (c *pooledConn) isIdle() bool { return len(c.freeSlots) == len(c.slots) }

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
		c.lastUsed, h.conn, h.id = s.now, c, id
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

// handOffsPerDial returns how many queued hand-offs one new connection is meant for.
func (s *Sentry) handOffsPerDial() int {
	if s.transport.AnswersInOrder() {
		return 1
	}
	return s.settings.Bounds.HandOffsPerConnection
}

// mayDial reports whether one more connection to a worker is within the bounds, if necessary in place of an idle one.
func (s *Sentry) mayDial(w *worker) bool {
	b := &s.settings.Bounds
	return w.dials+len(w.conns) < b.ConnectionsPerWorker &&
		(b.WorkerConnections == 0 || len(s.conns)+s.dials < b.WorkerConnections || slices.ContainsFunc(s.conns, (*pooledConn).isClosable))
}

// isClosable reports whether a connection may be closed to make room for another.
func (c *pooledConn) isClosable() bool { return c.ready && c.isIdle() }

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
	if w.dials*s.handOffsPerDial() >= wanted || !s.mayDial(w) {
		return
	}
	if limit := s.settings.Bounds.WorkerConnections; limit > 0 && len(s.conns)+s.dials >= limit {
		s.closeLongestIdle()
	}
	w.dials++
	s.dials++
	s.metrics.dials.Inc()
	address, timeout := w.address, toDuration(s.config.ConnectTimeout)
	go func() {
		c := &pooledConn{worker: w, address: address}
		link, err := s.transport.Dial(WorkerConnHandler{s, c}, address, timeout)
		s.inbox.put(&event{kind: eventDialed, worker: w, conn: c, workerLink: link, err: err}, false)
	}()
}

// closeLongestIdle closes the connection that has been idle longest, to make room for another.
func (s *Sentry) closeLongestIdle() {
	var longest *pooledConn
	for _, c := range s.conns {
		if c.isClosable() && (longest == nil || c.lastUsed < longest.lastUsed) {
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
	w, count := c.worker, s.settings.Bounds.HandOffsPerConnection
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
	keep := w.dials * s.handOffsPerDial()
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
			if s.leaseExpired(&x.t.handOffs[x.index]) {
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
	w := h.worker
	if h.conn != nil {
		switch {
		case ending != logic.TimedOut && ending != logic.Broken:
		case h.conn.link.AnswerStarted(h.id):
			ending = logic.Unreadable
		case ending == logic.Broken && !h.conn.link.MayHaveReceived(h.id):
			ending = logic.Unconnected
		}
		h.conn.freeSlot(h.id)
		if (ending == logic.TimedOut || ending == logic.Cancelled || ending == logic.Unreadable) && s.transport.AnswersInOrder() {
			h.conn.link.Close(wire.ErrClosed)
			s.dropConn(h.conn)
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
}

// freeSlot frees the slot of a hand-off, if it still holds it.
func (c *pooledConn) freeSlot(id uint64) {
	slotIndex := int(id % uint64(len(c.slots)))
	if c.slots[slotIndex].id == id {
		c.slots[slotIndex] = slot{}
		c.freeSlots = append(c.freeSlots, slotIndex)
	}
}

// handleWorkerFrame decodes a worker's frame. It runs on the poller.
func (s *Sentry) handleWorkerFrame(handler WorkerConnHandler, kind wire.Kind, body []byte) error {
	switch kind {
	case wire.KindDone:
		var m wire.Done
		if err := m.Read(body); err != nil {
			return err
		}
		if m.Ending > uint32(pb.Ended_TURNED_AWAY) {
			return invalid("ending "+strconv.Itoa(int(m.Ending)), "0 to 2")
		}
		handler.HandOffEnded(&m)
		return nil
	case wire.KindWelcome:
		handler.Ready()
		return nil
	case wire.KindProbed:
		var m pb.Probed
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		s.inbox.put(&event{kind: eventProbeAnswer, conn: handler.c, inFlight: m.Held}, false)
		return nil
	}
	return invalid("a frame of kind "+strconv.Itoa(int(kind)), "one that a worker may send")
}

// unmarshal decodes a message. Its error closes the connection.
func unmarshal(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return invalid("an invalid "+string(m.ProtoReflect().Descriptor().Name()), "a valid one")
	}
	return nil
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
		if c.isClosable() && s.now-c.lastUsed >= s.config.IdleTimeout/logic.Micros(max(1, s.settings.Bounds.IdleTimeoutDivisor)) {
			c.link.Close(wire.ErrClosed)
			s.dropConn(c)
		}
	}
}

// sweep closes idle connections and deletes workers that are gone and can have no open hand-offs. Without this the
// table would grow with each build, as each brings new workers.
func (s *Sentry) sweep() {
	if s.config.IdleTimeout > 0 {
		s.closeIdleConns()
	}
	maxDeadline := s.settings.MaxDeadline()
	for id, w := range s.workers {
		if w.info.State == logic.Gone && len(w.conns)+len(w.queue)+w.dials == 0 && s.now-w.stateSince > 2*maxDeadline {
			delete(s.workers, id)
			delete(s.workerList.instances, id)
		}
	}
	s.scheduleSweep()
}

const maxSweepInterval = logic.Micros(5_000_000)

// scheduleSweep sets the timer of the next sweep: after a quarter of the idle timeout, but at most maxSweepInterval.
func (s *Sentry) scheduleSweep() {
	wait := maxSweepInterval
	if s.config.IdleTimeout > 0 {
		wait = min(wait, max(s.config.IdleTimeout/4, 1000))
	}
	s.timers.add(timer{due: s.now + wait, kind: timerSweep})
}
