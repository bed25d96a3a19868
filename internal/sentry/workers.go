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

// worker is where hand-offs to one worker go.
type worker struct {
	id               logic.WorkerID
	address          string
	info             logic.Worker
	stateSince       logic.Micros // in this state
	conns            []*pooledConn
	dials            int
	queue            []queuedHandOff // the earliest first
	cooldownTimerDue logic.Micros    // of the timer for connections that rest
	probeSeq         uint64
	oldListLoggedFor logic.Micros // the list's last confirmation of which noteOldList told
}

// waiting is a hand-off without a connection yet.
type queuedHandOff struct {
	t     *transaction
	gen   uint32
	index int
}

// conn is a connection to a worker. A hand-off's id on it names its slot.
type pooledConn struct {
	worker      *worker
	address     string // that it leads to
	link        WorkerConn
	slots       []slot
	freeSlots   []int
	seq         uint64
	connectedAt logic.Micros // when it had come up
	lastUsed    logic.Micros
	lastAnswer  logic.Micros // when the last answer came, 0 if none has
	closed      bool

	ready bool // by the worker: it may carry hand-offs
}

type slot struct {
	id    uint64 // 0 if free
	t     *transaction
	gen   uint32
	index int
}

// open says whether a hand-off still waits.
func (w queuedHandOff) isOpen() bool { return w.t.gen == w.gen && !w.t.handOffs[w.index].ended }

// handOff carries out a ruling. What is not sent ends at once, as proven not to have run.
func (s *Sentry) handOff(t *transaction, r *logic.Action) {
	w, n := s.workers[r.Worker], len(t.handOffs)
	t.handOffs = append(t.handOffs, handOff{worker: w, startedAt: s.now, deadline: min(r.Deadline, t.deadline), sendBy: r.SendBy})
	t.openHandOffs++
	h := &t.handOffs[n]
	if h.deadline <= 0 {
		h.deadline = t.deadline
	}
	if s.closeIfClientGone(t); t.closed || w == nil || h.deadline <= s.now || n >= s.config.MaxHandOffs || s.leaseExpired(h) {
		s.endHandOff(t, n, logic.Unsent, logic.NoLoad)
		return
	}
	h.connectBy = s.now + s.config.ConnectTimeout
	if !s.sendHandOff(w, t, n) {
		w.queue = append(w.queue, queuedHandOff{t, t.gen, n})
		s.dial(w)
		s.scheduleCooldownEnd(w)
		s.setTimer(t)
	}
}

// expired says whether the lease on the list that an attempt rests on is over by now. The clock is read again: the loop may
// have been held up since the time of the input in hand.
func (s *Sentry) leaseExpired(h *handOff) bool {
	if h.sendBy == 0 || s.clock.now() <= h.sendBy {
		return false
	}
	s.metrics.expiredHandOffs.Inc()
	return true
}

// leaving closes a transaction whose client has closed its connection, of which the loop has yet to hear: what is written
// for it from now on would begin after its client has gone.
func (s *Sentry) closeIfClientGone(t *transaction) {
	if !t.closed && t.client.link.Dead() {
		s.handleClientLeft(t)
	}
}

// restShare is the part of the time to connect for which a connection rests after an answer, where answers come in order: a
// worker may send a second copy of one some milliseconds later, and it must not be taken for the next one's.
const cooldownDivisor = 8

// rests says until when a connection gets nothing new, 0 if it does not rest.
func (s *Sentry) cooldownUntil(c *pooledConn) logic.Micros {
	if until := c.lastAnswer + s.config.ConnectTimeout/cooldownDivisor; s.transport.AnswersInOrder() && c.lastAnswer > 0 && c.isIdle() && until > s.now {
		return until
	}
	return 0
}

// rested has what waits for a worker sent once the first of its connections that rest is good again.
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

// pick chooses a connection that has room, of those not tried: one with nothing out, or else the least; among equals the
// one that has rested longest, for the worker may be about to close one after its last answer. Where a hand-off should
// have a connection of its own and another is or may be opened, or will have rested soon, there is none.
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
		if best == nil || len(c.freeSlots) > len(best.freeSlots) || len(c.freeSlots) == len(best.freeSlots) && c.lastUsed < best.lastUsed {
			best = c
		}
	}
	if best != nil && !best.isIdle() && s.transport.AnswersInOrder() && (coolingDown || w.dials > 0 || s.mayDial(w)) {
		return nil
	}
	return best
}

// idle says that nothing is out on a connection.
func (c *pooledConn) isIdle() bool { return len(c.freeSlots) == len(c.slots) }

// send writes a hand-off to a connection, if there is one for it.
func (s *Sentry) sendHandOff(w *worker, t *transaction, n int) bool {
	var tried []*pooledConn
	for {
		c := s.pickConn(w, tried)
		if c == nil {
			return false
		}
		at := c.freeSlots[len(c.freeSlots)-1]
		c.seq++
		h := &t.handOffs[n]
		id := c.seq*uint64(len(c.slots)) + uint64(at)
		m := &s.scratch.work
		s.scratch.name = append(s.scratch.name[:0], t.id...)
		s.scratch.key = append(s.scratch.key[:0], t.key...)
		*m = wire.Work{ID: id, Profile: t.profile, Key: s.scratch.key, Timeout: uint64(h.deadline - s.now),
			DeduplicationToken: t.dedupToken, Payload: t.payload, Transaction: s.scratch.name, HandOffNumber: uint32(n), ExpectedWork: t.expectedWork}
		if !c.link.SendWork(m) { // nothing of it has left: another connection may take it
			tried = append(tried, c)
			continue
		}
		s.unflushed = append(s.unflushed, c.link)
		c.freeSlots = c.freeSlots[:len(c.freeSlots)-1]
		c.slots[at] = slot{id: id, t: t, gen: t.gen, index: n}
		c.lastUsed, h.conn, h.id = s.now, c, id
		s.setTimer(t)
		s.metrics.handOffs.Inc()
		s.logOldList(w, t, n)
		return true
	}
}

// oldList is how long ago discovery said how the list stands when an attempt that rests on it is worth a line in the log:
// twice the time between its signs of life.
const oldListMicros = logic.Micros(4_000_000)

// noteOldList tells of attempts that rest on what discovery said long ago: of the first one once for each such time, of
// further servers at debug.
func (s *Sentry) logOldList(w *worker, t *transaction, n int) {
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
		Str("request", string(t.id)).Int("attempt", n).Dur("list_age_ms", toDuration(s.now-s.listConfirmedAt)).
		Dur("request_age_ms", toDuration(s.now-t.arrivedAt)).Msg("attempt on an old list")
}

// perDial is how many hand-offs that wait a new connection is for.
func (s *Sentry) handOffsPerDial() int {
	if s.transport.AnswersInOrder() {
		return 1
	}
	return s.settings.Bounds.HandOffsPerConnection
}

// mayOpen says whether one more connection to a worker is within the bounds, if need be in place of an idle one.
func (s *Sentry) mayDial(w *worker) bool {
	b := &s.settings.Bounds
	return w.dials+len(w.conns) < b.ConnectionsPerWorker &&
		(b.WorkerConnections == 0 || len(s.conns)+s.dials < b.WorkerConnections || slices.ContainsFunc(s.conns, (*pooledConn).isClosable))
}

// spare says that a connection may be closed for another.
func (c *pooledConn) isClosable() bool { return c.ready && c.isIdle() }

// dial opens a connection for those that wait, unless enough are being opened or are open.
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
		if canWait > 0 && s.cooldownUntil(c) > 0 { // it will do soon
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

// closeLongestIdle makes room for another connection.
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

func (s *Sentry) handleDialed(e *event) {
	c := e.conn
	s.dials--
	if e.err != nil || c.closed || e.workerLink.Dead() {
		c.closed = true
		s.handleDialFailed(e.worker)
		return
	}
	c.link, c.connectedAt, c.lastUsed = e.workerLink, s.now, s.now
	c.link.SendHello()
	s.unflushed, s.conns = append(s.unflushed, c.link), append(s.conns, c)
	s.timers.add(timer{due: s.now + s.config.ConnectTimeout, kind: timerConnReady, conn: c})
}

// welcomed makes a connection good for hand-offs.
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
	if c.address != w.address { // its worker has another one by now
		c.link.Close(wire.ErrClosed)
		s.dropConn(c)
	} else {
		w.conns = append(w.conns, c)
	}
	s.sendQueued(w)
}

// unreached ends the hand-offs for which a connection could not be had.
func (s *Sentry) handleDialFailed(w *worker) {
	w.dials--
	// Those that this connection was for have none; the rest wait for the other dials, or for connections that rest.
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

// sendWaiting writes what waits for a connection, as far as there is room.
func (s *Sentry) sendQueued(w *worker) {
	for len(w.queue) > 0 {
		x := w.queue[0]
		if x.isOpen() {
			if x.t.closed || x.t.client.link.Dead() {
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

// handOffEnds tells the module of the end of a hand-off, once.
func (s *Sentry) endHandOff(t *transaction, n int, ending logic.Ending, load logic.Load) {
	h := &t.handOffs[n]
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
	end := logic.HandOffEnd{Transaction: t.id, HandOffNumber: n, Ending: ending, Duration: s.now - h.startedAt, Load: load}
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

func (c *pooledConn) freeSlot(id uint64) {
	at := int(id % uint64(len(c.slots)))
	if c.slots[at].id == id {
		c.slots[at] = slot{}
		c.freeSlots = append(c.freeSlots, at)
	}
}

// fromWorker decodes a worker's frame on the poller.
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
		s.inbox.put(&event{kind: eventProbeAnswer, conn: handler.c, held: m.Held}, false)
		return nil
	}
	return invalid("a frame of kind "+strconv.Itoa(int(kind)), "one that a worker may send")
}

func unmarshal(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return invalid("no "+string(m.ProtoReflect().Descriptor().Name()), "one")
	}
	return nil
}

// workDone takes a worker's answer. One that comes after its hand-off has ended changes nothing any more.
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
	ending := [...]logic.Ending{logic.Answered, logic.Errored, logic.TurnedAway}[e.ended]
	if ending == logic.Answered && !t.closed {
		s.scratch.name = append(s.scratch.name[:0], c.worker.id...)
		s.sendAnswer(t, pb.Outcome_SATISFIED, 0, e.payload, s.scratch.name)
	}
	s.endHandOff(t, x.index, ending, workerLoad(e))
}

// loadOf is what a worker told of its load; each figure comes plus one, 0 if it was not told.
func workerLoad(e *event) logic.Load {
	share := func(v uint32) float64 {
		if v == 0 {
			return -1
		}
		return float64(v-1) / 1000
	}
	return logic.Load{InFlight: float64(e.held) - 1, BusyShare: share(e.busy), ServedPerSecond: share(e.served)}
}

// connLost ends all that was out on a connection: it may have run.
func (s *Sentry) dropConn(c *pooledConn) {
	if c.closed || c.link == nil { // closed here, or before the loop knew of it
		c.closed = true
		return
	}
	c.closed = true
	isLost := func(x *pooledConn) bool { return x == c }
	c.worker.conns, s.conns = slices.DeleteFunc(c.worker.conns, isLost), slices.DeleteFunc(s.conns, isLost)
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

// cancel ends the wait for a hand-off. The worker is told; whether it stops is its own affair.
func (s *Sentry) cancelHandOff(t *transaction, n int) {
	if n < 0 || n >= len(t.handOffs) || t.handOffs[n].ended {
		return
	}
	h := &t.handOffs[n]
	if h.conn == nil { // nothing of it was written
		s.endHandOff(t, n, logic.Unsent, logic.NoLoad)
		return
	}
	h.conn.link.Cancel(h.id)
	s.unflushed = append(s.unflushed, h.conn.link)
	s.endHandOff(t, n, logic.Cancelled, logic.NoLoad)
}

func (s *Sentry) probeWorker(id logic.WorkerID) {
	w := s.workers[id]
	if w == nil || len(w.conns) == 0 {
		return
	}
	w.probeSeq++
	w.conns[0].link.SendProbe(w.probeSeq)
	s.unflushed = append(s.unflushed, w.conns[0].link)
}

// closeIdle closes the connections that nothing has used for as long as the orders say.
func (s *Sentry) closeIdleConns() {
	for _, c := range slices.Clone(s.conns) {
		if c.isClosable() && s.now-c.lastUsed >= s.config.IdleTimeout/logic.Micros(max(1, s.settings.Bounds.IdleTimeoutDivisor)) {
			c.link.Close(wire.ErrClosed)
			s.dropConn(c)
		}
	}
}

// sweep closes idle connections and forgets workers that have long been gone: with each build come new ones.
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

func (s *Sentry) scheduleSweep() {
	wait := maxSweepInterval
	if s.config.IdleTimeout > 0 {
		wait = min(wait, max(s.config.IdleTimeout/4, 1000))
	}
	s.timers.add(timer{due: s.now + wait, kind: timerSweep})
}
