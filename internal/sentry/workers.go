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
	id      logic.WorkerID
	address string
	line    logic.Worker
	since   logic.Micros // in this state
	conns   []*conn
	dials   int
	waiting []waiting    // the earliest first
	restDue logic.Micros // of the timer for connections that rest
	probes  uint64
	noted   logic.Micros // the list's last confirmation of which noteOldList told
}

// waiting is a hand-off without a connection yet.
type waiting struct {
	t   *transaction
	gen uint32
	n   int
}

// conn is a connection to a worker. A hand-off's id on it names its slot.
type conn struct {
	worker   *worker
	address  string // that it leads to
	link     WorkerConn
	slots    []slot
	free     []int
	seq      uint64
	opened   logic.Micros // when it had come up
	used     logic.Micros
	answered logic.Micros // when the last answer came, 0 if none has
	lost     bool

	welcome bool // by the worker: it may carry hand-offs
}

type slot struct {
	id  uint64 // 0 if free
	t   *transaction
	gen uint32
	n   int
}

// open says whether a hand-off still waits.
func (w waiting) open() bool { return w.t.gen == w.gen && !w.t.sends[w.n].over }

// handOff carries out a ruling. What is not sent ends at once, as proven not to have run.
func (s *Sentry) handOff(t *transaction, r *logic.Action) {
	w, n := s.workers[r.Worker], len(t.sends)
	t.sends = append(t.sends, handOff{worker: w, sent: s.now, until: min(r.Deadline, t.limit), sendBy: r.SendBy})
	t.out++
	h := &t.sends[n]
	if h.until <= 0 {
		h.until = t.limit
	}
	if s.leaving(t); t.closed || w == nil || h.until <= s.now || n >= s.orders.MaxHandOffs || s.expired(h) {
		s.handOffEnds(t, n, logic.Unsent, logic.NoLoad)
		return
	}
	h.connect = s.now + s.orders.ConnectTimeout
	if !s.send(w, t, n) {
		w.waiting = append(w.waiting, waiting{t, t.gen, n})
		s.dial(w)
		s.rested(w)
		s.alarm(t)
	}
}

// expired says whether the lease on the list that an attempt rests on is over by now. The clock is read again: the loop may
// have been held up since the time of the input in hand.
func (s *Sentry) expired(h *handOff) bool {
	if h.sendBy == 0 || s.clock.now() <= h.sendBy {
		return false
	}
	s.metrics.expired.Inc()
	return true
}

// leaving closes a transaction whose client has closed its connection, of which the loop has yet to hear: what is written
// for it from now on would begin after its client has gone.
func (s *Sentry) leaving(t *transaction) {
	if !t.closed && t.client.link.Dead() {
		s.clientLeft(t)
	}
}

// restShare is the part of the time to connect for which a connection rests after an answer, where answers come in order: a
// worker may send a second copy of one some milliseconds later, and it must not be taken for the next one's.
const restShare = 8

// rests says until when a connection gets nothing new, 0 if it does not rest.
func (s *Sentry) rests(c *conn) logic.Micros {
	if until := c.answered + s.orders.ConnectTimeout/restShare; s.ends.AnswersInOrder() && c.answered > 0 && c.idle() && until > s.now {
		return until
	}
	return 0
}

// rested has what waits for a worker sent once the first of its connections that rest is good again.
func (s *Sentry) rested(w *worker) (soon bool) {
	first := logic.Micros(0)
	for _, c := range w.conns {
		if until := s.rests(c); until > 0 && !c.lost && (first == 0 || until < first) {
			first = until
		}
	}
	if first > 0 && first != w.restDue {
		w.restDue = first
		s.timers.add(timer{due: first, kind: timeRested, worker: w})
	}
	return first > 0
}

// pick chooses a connection that has room, of those not tried: one with nothing out, or else the least; among equals the
// one that has rested longest, for the worker may be about to close one after its last answer. Where a hand-off should
// have a connection of its own and another is or may be opened, or will have rested soon, there is none.
func (s *Sentry) pick(w *worker, tried []*conn) (best *conn) {
	resting := false
	for _, c := range w.conns {
		if len(c.free) == 0 || c.lost || slices.Contains(tried, c) {
			continue
		}
		if s.rests(c) > 0 {
			resting = true
			continue
		}
		if best == nil || len(c.free) > len(best.free) || len(c.free) == len(best.free) && c.used < best.used {
			best = c
		}
	}
	if best != nil && !best.idle() && s.ends.AnswersInOrder() && (resting || w.dials > 0 || s.mayOpen(w)) {
		return nil
	}
	return best
}

// idle says that nothing is out on a connection.
func (c *conn) idle() bool { return len(c.free) == len(c.slots) }

// send writes a hand-off to a connection, if there is one for it.
func (s *Sentry) send(w *worker, t *transaction, n int) bool {
	var tried []*conn
	for {
		c := s.pick(w, tried)
		if c == nil {
			return false
		}
		at := c.free[len(c.free)-1]
		c.seq++
		h := &t.sends[n]
		id := c.seq*uint64(len(c.slots)) + uint64(at)
		m := &s.scratch.work
		s.scratch.name = append(s.scratch.name[:0], t.id...)
		s.scratch.key = append(s.scratch.key[:0], t.key...)
		*m = wire.Work{ID: id, Profile: t.profile, Key: s.scratch.key, Timeout: uint64(h.until - s.now),
			DeduplicationToken: t.mark, Payload: t.payload, Transaction: s.scratch.name, HandOffNumber: uint32(n), ExpectedWork: t.hint}
		if !c.link.SendWork(m) { // nothing of it has left: another connection may take it
			tried = append(tried, c)
			continue
		}
		s.dirty = append(s.dirty, c.link)
		c.free = c.free[:len(c.free)-1]
		c.slots[at] = slot{id: id, t: t, gen: t.gen, n: n}
		c.used, h.conn, h.id = s.now, c, id
		s.alarm(t)
		s.metrics.handOffs.Inc()
		s.noteOldList(w, t, n)
		return true
	}
}

// oldList is how long ago discovery said how the list stands when an attempt that rests on it is worth a line in the log:
// twice the time between its signs of life.
const oldList = logic.Micros(4_000_000)

// noteOldList tells of attempts that rest on what discovery said long ago: of the first one once for each such time, of
// further servers at debug.
func (s *Sentry) noteOldList(w *worker, t *transaction, n int) {
	if s.now-s.listAt < oldList || w.noted == s.listAt {
		return
	}
	w.noted = s.listAt
	s.metrics.oldLists.Inc()
	level := zerolog.DebugLevel
	if s.listNoted != s.listAt {
		s.listNoted, level = s.listAt, zerolog.InfoLevel
	}
	s.log.WithLevel(level).Str("server", string(w.id)).Str("address", w.address).Int("build", int(w.line.Build)).
		Str("request", string(t.id)).Int("attempt", n).Dur("list_age_ms", span(s.now-s.listAt)).
		Dur("request_age_ms", span(s.now-t.came)).Msg("attempt on an old list")
}

// perDial is how many hand-offs that wait a new connection is for.
func (s *Sentry) perDial() int {
	if s.ends.AnswersInOrder() {
		return 1
	}
	return s.sheet.Bounds.HandOffsPerConnection
}

// mayOpen says whether one more connection to a worker is within the bounds, if need be in place of an idle one.
func (s *Sentry) mayOpen(w *worker) bool {
	b := &s.sheet.Bounds
	return w.dials+len(w.conns) < b.ConnectionsPerWorker &&
		(b.WorkerConnections == 0 || len(s.conns)+s.dials < b.WorkerConnections || slices.ContainsFunc(s.conns, (*conn).spare))
}

// spare says that a connection may be closed for another.
func (c *conn) spare() bool { return c.welcome && c.idle() }

// dial opens a connection for those that wait, unless enough are being opened or are open.
func (s *Sentry) dial(w *worker) {
	want, patient := 0, 0
	rest := s.orders.ConnectTimeout / restShare
	for _, x := range w.waiting {
		if x.open() {
			want++
			patient += map[bool]int{true: 1}[x.t.sends[x.n].until-s.now > 2*rest]
		}
	}
	for _, c := range w.conns {
		if patient > 0 && s.rests(c) > 0 { // it will do soon
			want, patient = want-1, patient-1
		}
	}
	if w.dials*s.perDial() >= want || !s.mayOpen(w) {
		return
	}
	if most := s.sheet.Bounds.WorkerConnections; most > 0 && len(s.conns)+s.dials >= most {
		s.closeLongestIdle()
	}
	w.dials++
	s.dials++
	s.metrics.dials.Inc()
	address, limit := w.address, span(s.orders.ConnectTimeout)
	go func() {
		c := &conn{worker: w, address: address}
		way, err := s.ends.Dial(WorkerConnHandler{s, c}, address, limit)
		s.inbox.put(&event{kind: evDialed, worker: w, conn: c, way: way, err: err}, false)
	}()
}

// closeLongestIdle makes room for another connection.
func (s *Sentry) closeLongestIdle() {
	var longest *conn
	for _, c := range s.conns {
		if c.spare() && (longest == nil || c.used < longest.used) {
			longest = c
		}
	}
	longest.link.Close(wire.ErrClosed)
	s.connLost(longest)
}

func (s *Sentry) dialed(e *event) {
	c := e.conn
	s.dials--
	if e.err != nil || c.lost || e.way.Dead() {
		c.lost = true
		s.unreached(e.worker)
		return
	}
	c.link, c.opened, c.used = e.way, s.now, s.now
	c.link.SendHello()
	s.dirty, s.conns = append(s.dirty, c.link), append(s.conns, c)
	s.timers.add(timer{due: s.now + s.orders.ConnectTimeout, kind: timeWelcome, conn: c})
}

// welcomed makes a connection good for hand-offs.
func (s *Sentry) welcomed(c *conn) {
	if c.lost || c.welcome {
		return
	}
	w, most := c.worker, s.sheet.Bounds.HandOffsPerConnection
	c.welcome, c.slots, c.used = true, make([]slot, most), s.now
	for i := most - 1; i >= 0; i-- {
		c.free = append(c.free, i)
	}
	w.dials--
	if c.address != w.address { // its worker has another one by now
		c.link.Close(wire.ErrClosed)
		s.connLost(c)
	} else {
		w.conns = append(w.conns, c)
	}
	s.sendWaiting(w)
}

// unreached ends the hand-offs for which a connection could not be had.
func (s *Sentry) unreached(w *worker) {
	w.dials--
	// Those that this connection was for have none; the rest wait for the other dials, or for connections that rest.
	bound := w.dials * s.perDial()
	if s.rested(w) {
		bound = len(w.waiting)
	}
	var left, over []waiting
	for _, x := range w.waiting {
		switch {
		case !x.open():
		case len(left) < bound:
			left = append(left, x)
		default:
			over = append(over, x)
		}
	}
	w.waiting = left
	for _, x := range over {
		if x.open() {
			s.handOffEnds(x.t, x.n, logic.Unconnected, logic.NoLoad)
		}
	}
}

// sendWaiting writes what waits for a connection, as far as there is room.
func (s *Sentry) sendWaiting(w *worker) {
	for len(w.waiting) > 0 {
		x := w.waiting[0]
		if x.open() {
			if x.t.closed || x.t.client.link.Dead() {
				w.waiting = w.waiting[1:]
				if s.leaving(x.t); x.open() { // the module may have cancelled it
					s.handOffEnds(x.t, x.n, logic.Unsent, logic.NoLoad)
				}
				continue
			}
			if s.expired(&x.t.sends[x.n]) {
				w.waiting = w.waiting[1:]
				s.handOffEnds(x.t, x.n, logic.Unsent, logic.NoLoad)
				continue
			}
			if !s.send(w, x.t, x.n) {
				break
			}
		}
		w.waiting = w.waiting[1:]
	}
	if len(w.waiting) == 0 {
		w.waiting = nil
	} else {
		s.dial(w)
		s.rested(w)
	}
}

// handOffEnds tells the module of the end of a hand-off, once.
func (s *Sentry) handOffEnds(t *transaction, n int, ending logic.Ending, load logic.Load) {
	h := &t.sends[n]
	if h.over {
		return
	}
	h.over = true
	s.alarm(t)
	w := h.worker
	if h.conn != nil {
		switch {
		case ending != logic.TimedOut && ending != logic.Broken:
		case h.conn.link.AnswerStarted(h.id):
			ending = logic.Unreadable
		case ending == logic.Broken && !h.conn.link.MayHaveReceived(h.id):
			ending = logic.Unconnected
		}
		h.conn.release(h.id)
		if (ending == logic.TimedOut || ending == logic.Cancelled || ending == logic.Unreadable) && s.ends.AnswersInOrder() {
			h.conn.link.Close(wire.ErrClosed)
			s.connLost(h.conn)
		}
	}
	s.metrics.endings[ending].Inc()
	end := logic.HandOffEnd{Transaction: t.id, HandOffNumber: n, Ending: ending, Duration: s.now - h.sent, Load: load}
	if w != nil {
		end.Worker = w.id
	}
	if h.conn != nil {
		end.ConnectionOpened = h.conn.opened
	}
	s.tell(input.Input{Kind: input.HandOffEnded, End: end})
	if w != nil && len(w.waiting) > 0 {
		s.sendWaiting(w)
	}
}

func (c *conn) release(id uint64) {
	at := int(id % uint64(len(c.slots)))
	if c.slots[at].id == id {
		c.slots[at] = slot{}
		c.free = append(c.free, at)
	}
}

// fromWorker decodes a worker's frame on the poller.
func (s *Sentry) fromWorker(ear WorkerConnHandler, kind wire.Kind, body []byte) error {
	switch kind {
	case wire.KindDone:
		var m wire.Done
		if err := m.Read(body); err != nil {
			return err
		}
		if m.Ending > uint32(pb.Ended_TURNED_AWAY) {
			return fault("ending "+strconv.Itoa(int(m.Ending)), "0 to 2")
		}
		ear.HandOffEnded(&m)
		return nil
	case wire.KindWelcome:
		ear.Ready()
		return nil
	case wire.KindProbed:
		var m pb.Probed
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		s.inbox.put(&event{kind: evProbed, conn: ear.c, held: m.Held}, false)
		return nil
	}
	return fault("a frame of kind "+strconv.Itoa(int(kind)), "one that a worker may send")
}

func unmarshal(body []byte, m proto.Message) error {
	if err := proto.Unmarshal(body, m); err != nil {
		return fault("no "+string(m.ProtoReflect().Descriptor().Name()), "one")
	}
	return nil
}

// workDone takes a worker's answer. One that comes after its hand-off has ended changes nothing any more.
func (s *Sentry) workDone(e *event) {
	c := e.conn
	if c.lost || len(c.slots) == 0 {
		return
	}
	x := c.slots[int(e.id%uint64(len(c.slots)))]
	if x.id != e.id || e.id == 0 || x.t.gen != x.gen || x.t.sends[x.n].over {
		s.metrics.lateEnds.Inc()
		return
	}
	c.used, c.answered = s.now, s.now
	t := x.t
	ending := [...]logic.Ending{logic.Answered, logic.Errored, logic.TurnedAway}[e.ended]
	if ending == logic.Answered && !t.closed {
		s.scratch.name = append(s.scratch.name[:0], c.worker.id...)
		s.answer(t, pb.Outcome_SATISFIED, 0, e.payload, s.scratch.name)
	}
	s.handOffEnds(t, x.n, ending, loadOf(e))
}

// loadOf is what a worker told of its load; each figure comes plus one, 0 if it was not told.
func loadOf(e *event) logic.Load {
	part := func(v uint32) float64 {
		if v == 0 {
			return -1
		}
		return float64(v-1) / 1000
	}
	return logic.Load{InFlight: float64(e.held) - 1, BusyShare: part(e.busy), ServedPerSecond: part(e.served)}
}

// connLost ends all that was out on a connection: it may have run.
func (s *Sentry) connLost(c *conn) {
	if c.lost || c.link == nil { // closed here, or before the loop knew of it
		c.lost = true
		return
	}
	c.lost = true
	drop := func(x *conn) bool { return x == c }
	c.worker.conns, s.conns = slices.DeleteFunc(c.worker.conns, drop), slices.DeleteFunc(s.conns, drop)
	if !c.welcome {
		s.unreached(c.worker)
		return
	}
	out := slices.Clone(c.slots)
	slices.SortFunc(out, func(a, b slot) int { return cmp.Compare(a.id, b.id) })
	for _, x := range out {
		if x.id != 0 && x.t.gen == x.gen {
			s.handOffEnds(x.t, x.n, logic.Broken, logic.NoLoad)
		}
	}
}

// cancel ends the wait for a hand-off. The worker is told; whether it stops is its own affair.
func (s *Sentry) cancel(t *transaction, n int) {
	if n < 0 || n >= len(t.sends) || t.sends[n].over {
		return
	}
	h := &t.sends[n]
	if h.conn == nil { // nothing of it was written
		s.handOffEnds(t, n, logic.Unsent, logic.NoLoad)
		return
	}
	h.conn.link.Cancel(h.id)
	s.dirty = append(s.dirty, h.conn.link)
	s.handOffEnds(t, n, logic.Cancelled, logic.NoLoad)
}

func (s *Sentry) probe(id logic.WorkerID) {
	w := s.workers[id]
	if w == nil || len(w.conns) == 0 {
		return
	}
	w.probes++
	w.conns[0].link.SendProbe(w.probes)
	s.dirty = append(s.dirty, w.conns[0].link)
}

// closeIdle closes the connections that nothing has used for as long as the orders say.
func (s *Sentry) closeIdle() {
	for _, c := range slices.Clone(s.conns) {
		if c.spare() && s.now-c.used >= s.orders.IdleTimeout/logic.Micros(max(1, s.sheet.Bounds.IdleTimeoutDivisor)) {
			c.link.Close(wire.ErrClosed)
			s.connLost(c)
		}
	}
}

// sweep closes idle connections and forgets workers that have long been gone: with each build come new ones.
func (s *Sentry) sweep() {
	if s.orders.IdleTimeout > 0 {
		s.closeIdle()
	}
	outer := s.sheet.MaxDeadline()
	for id, w := range s.workers {
		if w.line.State == logic.Gone && len(w.conns)+len(w.waiting)+w.dials == 0 && s.now-w.since > 2*outer {
			delete(s.workers, id)
			delete(s.book.lives, id)
		}
	}
	s.sweepLater()
}

const sweepMost = logic.Micros(5_000_000)

func (s *Sentry) sweepLater() {
	wait := sweepMost
	if s.orders.IdleTimeout > 0 {
		wait = min(wait, max(s.orders.IdleTimeout/4, 1000))
	}
	s.timers.add(timer{due: s.now + wait, kind: timeSweep})
}
