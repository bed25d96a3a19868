// Package sentry runs one sentry: it tells the decision module what happens on the sockets and carries out what the
// module rules. It decides nothing itself.
//
// One goroutine, the loop, owns the module and all that is known of transactions and connections. Everything that
// happens reaches it through the inbox as an event with its time; the loop turns events and timers that come due
// into a stream of input.Input, the only way in which the module is told anything. docs/sentry.md says why.
package sentry

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"scalechute/internal/input"
	"scalechute/internal/orders"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Sentry is one running sentry.
type Sentry struct {
	sheet   *orders.Settings
	orders  *logic.Config
	log     zerolog.Logger
	clock   clock
	inbox   *inbox
	ends    Transport
	address string
	metrics *metrics
	done    chan struct{}
	record  func(*input.Input, *logic.Result)
	breach  Breach
	killed  atomic.Bool
	routing atomic.Pointer[routing]
	writing sync.WaitGroup // of the list's file

	// What follows belongs to the loop.
	decide   func(*input.Input) logic.Result
	now      logic.Micros
	todo     []input.Input
	telling  bool
	result   logic.Result // of the input in hand; kept here since on the stack it would escape each time
	wakeAt   logic.Micros
	timers   timers
	open     map[logic.TransactionID]*transaction
	unclosed int
	named    uint64
	run      string // tells this run's transactions from those of another
	spare    []*transaction
	dirty    []flusher
	workers  map[logic.WorkerID]*worker
	conns    []*conn // in the order in which they were opened
	dials    int     // connections being opened
	book     book
	list     *upstream
	desk     *upstream
	peers    []*upstream // by position, nil for those that are not told
	votes    map[uint64]bool
	voteSeq  uint64
	listSeq  uint64
	listAt   logic.Micros // when discovery last said how the list stands, at first the start
	// the confirmation after which an attempt on an old list was told of
	listNoted logic.Micros
	stopping  bool
	answerBy  logic.Micros // every request has its final answer by then; 0 if there is no such time
	atStart   *pb.Report   // the list as it was remembered, nil if a file has it
	scratch   struct {
		answer wire.Answer
		work   wire.Work
		name   []byte
		key    []byte
	}
}

// Options are what a caller may add to a sentry's sheet.
type Options struct {
	Log        zerolog.Logger
	Record     func(*input.Input, *logic.Result) // sees each input with what the module made of it, on the loop
	Breach     Breach                            // breaks a rule on purpose, to try the auditor
	Decide     func(*input.Input) logic.Result   // in the module's place: a baseline to compare with
	Transport  Transport                         // frames if there are none
	CachedList *pb.Report                        // the list as remembered, in place of the file
}

// transaction is one that a client asked for and the sentry took.
type transaction struct {
	id      logic.TransactionID
	gen     uint32 // tells the uses of this record apart
	client  *client
	asked   uint64
	profile uint32
	key     logic.Key
	mark    []byte
	payload []byte
	hint    uint64
	came    logic.Micros
	limit   logic.Micros
	sends   []handOff
	out     int
	closed  bool
	timer   int // its place among the timers and one, 0 if it has none
	buffer  *[]byte
}

type handOff struct {
	worker  *worker
	conn    *conn // nil while it waits for a connection
	id      uint64
	sent    logic.Micros
	until   logic.Micros
	sendBy  logic.Micros // not to be written later, 0 if there is no such limit
	connect logic.Micros // without a connection by then, it is given up
	over    bool
}

// client is a connection of a client or of a peer.
type client struct {
	link    ClientConn
	greeted bool
	peer    bool
	from    logic.SentryID
	gone    bool
	open    map[uint64]*transaction // by the client's id; the loop's
}

// Start opens the sockets and begins to work.
func Start(sheet *orders.Settings, opts Options) (*Sentry, error) {
	s := &Sentry{
		sheet: sheet, orders: &sheet.Policy, log: opts.Log, clock: newClock(), done: make(chan struct{}),
		record: opts.Record, breach: opts.Breach,
		open: map[logic.TransactionID]*transaction{}, workers: map[logic.WorkerID]*worker{}, votes: map[uint64]bool{},
		run: strconv.FormatInt(time.Now().UnixMicro(), 36) + "-" + strconv.Itoa(int(sheet.Policy.Position)) + "-", // wall clock: a name
	}
	seed := sheet.Endpoints.Seed
	if seed == 0 {
		seed = time.Now().UnixNano() // wall clock: a seed
	}
	s.inbox = newInbox(sheet.Bounds.InboxEvents, s.clock)
	s.decide = opts.Decide
	if s.decide == nil {
		module := logic.New(sheet.Policy, seed)
		s.decide = func(in *input.Input) logic.Result { return input.Apply(module, in) }
	}
	s.routing.Store(newRouting(sheet))
	s.metrics = newMetrics(s)
	s.metrics.name(sheet.ProfileNames)
	s.now = s.clock.now()
	s.book = newBook(sheet.Zones)
	s.setPeers(sheet)
	s.list = &upstream{name: "list", address: sheet.Endpoints.Discovery, role: pb.Hello_SENTRY, keep: !s.orders.ListOnRequest}
	s.desk = &upstream{name: "desk", address: sheet.Endpoints.ControlPlane, role: pb.Hello_SENTRY, keep: true}

	s.atStart = opts.CachedList
	s.ends = opts.Transport
	if s.ends == nil {
		s.ends = &frames{Sentry: s}
	}
	address, err := s.ends.Listen(s)
	if err != nil {
		return nil, err
	}
	s.address = address
	if err := s.metrics.serve(sheet.Endpoints.Metrics); err != nil {
		s.ends.Close()
		return nil, fmt.Errorf("metrics on %s: %w", sheet.Endpoints.Metrics, err)
	}
	s.log.Info().Str("address", s.address).Int64("seed", seed).Msg("listening")
	go s.loop()
	return s, nil
}

func (s *Sentry) bounds() wire.Limits {
	return wire.Limits{MaxFrameBytes: s.sheet.Bounds.FrameBytes, MaxPendingBytes: s.sheet.Bounds.UnwrittenBytes}
}

// Address is where the sentry listens.
func (s *Sentry) Address() string { return s.address }

// Stop has the sentry take nothing new, answer all that it holds, and end. Done is closed then.
func (s *Sentry) Stop() {
	s.ends.StopListening()
	s.inbox.put(&event{kind: evStop}, false)
}

// AnswerWithin has every request, whether it is open or still to come, answered within a span from now.
func (s *Sentry) AnswerWithin(d time.Duration) {
	s.inbox.put(&event{kind: evAnswerBy, left: uint64(d / time.Microsecond)}, false)
}

// Done is closed when the sentry has ended.
func (s *Sentry) Done() <-chan struct{} { return s.done }

// Inspect calls f on the loop, between two inputs, and waits for it.
func (s *Sentry) Inspect(f func()) {
	made := make(chan struct{})
	s.inbox.put(&event{kind: evInspect, call: func() { f(); close(made) }}, false)
	select {
	case <-made:
	case <-s.done:
	}
}

// accept makes a client of a new connection. Its frames are decoded on the poller and wait there for room.
func (s *Sentry) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	ear := s.AddClient(frameCaller{l})
	return func(l *wire.Link, kind wire.Kind, body []byte) error { return s.fromClient(ear, kind, body) },
		func(_ *wire.Link, reason error) { ear.ConnectionClosed(reason) }
}

// Loop and timers.

func (s *Sentry) loop() {
	defer close(s.done)
	defer s.end()
	s.start()
	var batch []event
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		now := s.clock.now() // before taking: whatever was taken into the inbox by then is in the batch
		batch = s.inbox.take(batch)
		if s.killed.Load() {
			return
		}
		for i := range batch {
			s.fire(batch[i].at, batch[i].at)
			s.now = max(s.now, batch[i].at)
			s.event(&batch[i])
			giveBack(batch[i].buffer)
			batch[i] = event{}
		}
		s.fire(now+1, now)
		s.flush()
		if s.stopping && s.unclosed == 0 {
			return
		}
		if len(batch) > 0 {
			continue
		}
		next := s.timers.due()
		if s.wakeAt > 0 && (next == 0 || s.wakeAt < next) {
			next = s.wakeAt
		}
		wait := time.Hour
		if next > 0 {
			wait = max(0, span(next-s.clock.now()))
		}
		alarm.Reset(wait)
		select {
		case <-s.inbox.wake:
		case <-alarm.C:
		}
	}
}

// fire handles all timers due before a time. What came in the same microsecond as a time-out goes first.
func (s *Sentry) fire(before, at logic.Micros) {
	for {
		due := s.timers.due()
		wake := s.wakeAt > 0 && s.wakeAt < before && (due == 0 || s.wakeAt <= due)
		if !wake && (due == 0 || due >= before) {
			return
		}
		s.now = max(s.now, at)
		if wake {
			s.wakeAt = 0
			s.tell(input.Input{Kind: input.TimerFired})
			continue
		}
		t := s.timers.pop()
		s.timer(&t)
	}
}

func (s *Sentry) timer(t *timer) {
	switch t.kind {
	case timeTransaction:
		s.transactionDue(t.t, t.due)
	case timeWelcome:
		if !t.conn.welcome && !t.conn.lost {
			t.conn.link.Close(wire.ErrClosed)
			s.connLost(t.conn)
		}
	case timeVote:
		s.unanswered(t.id)
	case timeList:
		switch {
		case s.listSeq != t.id || !s.list.asked:
		case s.list.keep && s.list.link != nil:
			s.list.link.Close(wire.ErrClosed) // and is opened again, to be followed anew
		default:
			s.listRefused("no answer", false)
		}
	case timeRedial:
		t.up.waits = false
		s.connect(t.up)
	case timeSweep:
		s.sweep()
	case timeSave:
		s.save()
	case timeRested:
		t.worker.restDue = 0
		s.sendWaiting(t.worker)
	}
}

// due is when something of a transaction is due next, 0 if nothing is.
func (t *transaction) due(grace logic.Micros) (due logic.Micros) {
	if !t.closed {
		due = t.limit + grace
	}
	for i := range t.sends {
		h := &t.sends[i]
		at := h.until
		if h.conn == nil {
			at = min(at, h.connect)
		}
		if !h.over && (due == 0 || at < due) {
			due = at
		}
	}
	return due
}

// alarm sets a transaction's timer for what is due next.
func (s *Sentry) alarm(t *transaction) { s.timers.set(t, t.due(s.orders.AnswerGrace)) }

// transactionDue ends the hand-offs whose time is up, and sees to it that no final answer is overdue.
func (s *Sentry) transactionDue(t *transaction, due logic.Micros) {
	gen := t.gen
	for n := 0; t.gen == gen && n < len(t.sends); n++ {
		h := &t.sends[n]
		switch {
		case h.over:
		case h.conn != nil && h.until <= due:
			s.handOffEnds(t, n, logic.TimedOut, logic.NoLoad)
		case h.conn == nil && h.until <= due: // nothing of it was written
			s.handOffEnds(t, n, logic.Unsent, logic.NoLoad)
		case h.conn == nil && h.connect <= due:
			s.handOffEnds(t, n, logic.Unconnected, logic.NoLoad)
		}
	}
	if t.gen != gen {
		return
	}
	if !t.closed && t.limit+s.orders.AnswerGrace <= due {
		s.answerOverdue(t)
		s.tell(input.Input{Kind: input.ClientLeft, ID: t.id})
		s.drop(t)
	}
	if t.gen == gen {
		s.alarm(t)
	}
}

// answerOverdue gives the final answer to a request of which the module has not ruled in time. That is a fault, but for a
// request whose time was cut short after the module had been told of it.
func (s *Sentry) answerOverdue(t *transaction) {
	outcome := pb.Outcome_WRITTEN_OFF
	switch {
	case t.limit != s.answerBy:
		s.metrics.overdue.Inc()
		s.log.Error().Str("transaction", string(t.id)).Msg("no final answer in time, written off")
	case logic.FinalAction(len(t.sends)) == logic.Defer:
		outcome = pb.Outcome_NOT_TAKEN
	}
	s.answer(t, outcome, 0, nil, nil)
}

// answerAllBy cuts short the time of all requests that are open, and of those to come.
func (s *Sentry) answerAllBy(by logic.Micros) {
	s.answerBy = by
	for _, t := range s.open {
		if !t.closed && t.limit > by {
			t.limit = by
			s.alarm(t)
		}
	}
}

func (s *Sentry) event(e *event) {
	switch e.kind {
	case evAsk:
		s.take(e)
	case evDone:
		s.workDone(e)
	case evLeave:
		if t := e.client.open[e.id]; t != nil {
			s.clientLeft(t)
		}
	case evClientGone:
		e.client.gone = true
		// The latest first: what waits for room must not get that of one before it.
		for _, id := range slices.Backward(slices.Sorted(maps.Keys(e.client.open))) {
			if t := e.client.open[id]; t != nil { // one that left may have closed another
				s.clientLeft(t)
			}
		}
	case evWorkerLost:
		s.connLost(e.conn)
	case evDialed:
		s.dialed(e)
	case evWelcome:
		s.welcomed(e.conn)
	case evProbed:
		s.tell(input.Input{Kind: input.ProbeAnswered, Worker: e.conn.worker.id, Held: float64(e.held) - 1})
	case evUpDialed:
		s.upDialed(e.up, e.link, e.err)
	case evUpLost:
		s.upLost(e.up, e.link, e.err)
	case evReport:
		if e.takes == nil || e.takes() {
			s.reported(e.report)
		}
	case evRefused:
		if e.takes() {
			s.listRefused("refused", e.turned)
		}
	case evUnsure:
		if e.takes() {
			s.ListMayBeStale(e.at - e.ago)
		}
	case evNews:
		s.told(e.news)
	case evPeer:
		s.tell(input.Input{Kind: input.PeerMessageReceived, From: e.client.from, Body: e.payload})
	case evComplaint:
		s.tell(input.Input{Kind: input.ComplaintReceived, Complaint: logic.Complaint{
			Profile: logic.ProfileID(e.profile), Worker: logic.WorkerID(e.key), Age: logic.Micros(e.left)}})
	case evUnanswered:
		s.unanswered(e.id)
	case evSaved:
		s.saved(e.err)
	case evStop:
		if !s.stopping {
			s.stopping = true
			s.log.Info().Int("open", s.unclosed).Msg("stopping: nothing new is taken")
		}
	case evAnswerBy:
		s.answerAllBy(e.at + logic.Micros(e.left))
	case evCounts:
		s.counted(e.counts)
	case evInspect:
		e.call()
	}
}

// tell gives the module one input and carries out what it rules. What that brings about at once waits its turn.
func (s *Sentry) tell(in input.Input) {
	s.todo = append(s.todo, in)
	if s.telling {
		return
	}
	s.telling = true
	for i := 0; i < len(s.todo); i++ {
		in := &s.todo[i]
		in.At = s.now
		if in.Kind == input.HandOffEnded {
			t := s.open[in.End.Transaction]
			in.End.TransactionClosed = t == nil || t.closed
		}
		s.result = s.decide(in)
		if s.record != nil {
			s.record(in, &s.result)
		}
		if in.Kind == input.HandOffEnded {
			if t := s.open[in.End.Transaction]; t != nil {
				t.out--
			}
		}
		s.wakeAt = s.result.WakeAt
		done := in.End.Transaction
		s.carryOut(&s.result)
		if t := s.open[done]; t != nil && done != "" {
			s.drop(t)
		}
	}
	clear(s.todo)
	s.todo = s.todo[:0]
	s.telling = false
}

func (s *Sentry) carryOut(r *logic.Result) {
	for i := range r.Actions {
		x := &r.Actions[i]
		t := s.open[x.Transaction]
		if t == nil {
			s.log.Error().Str("transaction", string(x.Transaction)).Msg("ruling on a transaction that is not open")
			continue
		}
		switch x.Kind {
		case logic.HandOff:
			s.handOff(t, x)
			s.breachAfter(t, x)
		case logic.CancelHandOff:
			s.cancel(t, x.HandOffNumber)
		case logic.Defer:
			s.answer(t, pb.Outcome_DEFERRED, x.RetryAfter, nil, nil)
			s.drop(t)
		case logic.WriteOff:
			s.answer(t, pb.Outcome_WRITTEN_OFF, 0, nil, nil)
			s.drop(t)
		}
	}
	for _, v := range r.Votes {
		s.vote(v)
	}
	if r.WatchList {
		s.ends.RequestList(true, s.book.version)
	}
	if r.FetchList {
		s.ends.RequestList(false, s.book.version)
	}
	for _, id := range r.Probes {
		s.probe(id)
	}
	for _, m := range r.Messages {
		s.say(m)
	}
	for _, n := range r.LogLines {
		s.log.Info().Str("from", "module").Msg(n)
	}
}

// Clients.

func (s *Sentry) fromClient(ear ClientHandler, kind wire.Kind, body []byte) error {
	c := ear.c
	if !c.greeted {
		return s.greet(c, kind, body)
	}
	r := s.routing.Load()
	switch {
	case kind == wire.KindAsk && !c.peer:
		var m wire.Ask
		if err := m.Read(body); err != nil {
			return err
		}
		if most := len(r.sheet.ProfileNames); int(m.Profile) >= most {
			return fault("profile "+strconv.Itoa(int(m.Profile)), "one of "+strconv.Itoa(most))
		}
		if most := len(r.sheet.AccountNames); int(m.Account) > most {
			return fault("account "+strconv.Itoa(int(m.Account)), "at most "+strconv.Itoa(most))
		}
		e := ear.asked(&m)
		if m.Attributes == nil {
			e.key = logic.Key(m.Key)
		} else if err := s.judged(r, &e, m.Attributes); err != nil {
			return err
		}
		ear.put(&e, &m)
		return nil
	case kind == wire.KindLeave && !c.peer:
		var m wire.IDMessage
		if err := m.Read(body); err != nil {
			return err
		}
		s.inbox.put(&event{kind: evLeave, client: c, id: m.ID}, true)
		return nil
	case kind == wire.KindComplain && !c.peer:
		var m pb.Complain
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		if most := len(r.sheet.ProfileNames); int(m.Profile) >= most {
			return fault("profile "+strconv.Itoa(int(m.Profile)), "one of "+strconv.Itoa(most))
		}
		s.inbox.put(&event{kind: evComplaint, profile: m.Profile, key: logic.Key(m.Worker), left: m.Age}, true)
		return nil
	case kind == wire.KindSay && c.peer:
		var m pb.Say
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		if len(m.Body) > MaxPeerMessageBytes {
			return fault(strconv.Itoa(len(m.Body))+" bytes between sentries", "at most "+strconv.Itoa(MaxPeerMessageBytes))
		}
		s.inbox.put(&event{kind: evPeer, client: c, payload: m.Body}, true)
		return nil
	}
	return fault("a frame of kind "+strconv.Itoa(int(kind)), "one that this side may send")
}

func (s *Sentry) greet(c *client, kind wire.Kind, body []byte) error {
	if kind != wire.KindHello {
		return fault("a frame of kind "+strconv.Itoa(int(kind)), "a hello first")
	}
	var m pb.Hello
	if err := unmarshal(body, &m); err != nil {
		return err
	}
	if m.Version != wire.ProtocolVersion {
		return fault("protocol version "+strconv.Itoa(int(m.Version)), strconv.Itoa(wire.ProtocolVersion))
	}
	switch m.Role {
	case pb.Hello_CLIENT:
	case pb.Hello_PEER:
		if o := &s.routing.Load().sheet.Policy; int(m.Position) >= o.Sentries || logic.SentryID(m.Position) == o.Position {
			return fault("a peer at position "+strconv.Itoa(int(m.Position)), "that of another sentry")
		}
		c.peer, c.from = true, logic.SentryID(m.Position)
	default:
		return fault("role "+m.Role.String(), "a client or a peer")
	}
	c.greeted = true
	return nil
}

func fault(found, expected string) error { return &wire.FrameError{Found: found, Expected: expected} }

func (s *Sentry) take(e *event) {
	c := e.client
	if c.gone {
		return
	}
	if c.open == nil {
		c.open = map[uint64]*transaction{}
	}
	if c.open[e.id] != nil {
		s.metrics.faults.Inc()
		s.log.Warn().Str("from", c.link.RemoteAddr()).Uint64("id", e.id).
			Msg("connection closed: transaction id used twice, expected a new one")
		c.link.Close(wire.ErrClosed)
		return
	}
	// A profile may have gone since the frame was read.
	if s.stopping || s.answerBy != 0 && e.at >= s.answerBy || s.unclosed >= s.sheet.Bounds.OpenTransactions || e.unrouted == 0 && !s.sheet.AcceptsProfile(int(e.profile)) {
		s.metrics.notTaken.Inc()
		a := &s.scratch.answer
		*a = wire.Answer{ID: e.id, Outcome: uint32(pb.Outcome_NOT_TAKEN)}
		s.put(c, a)
		return
	}
	if e.unrouted != 0 {
		s.metrics.unrouted[e.unrouted].Inc()
		a := &s.scratch.answer
		*a = wire.Answer{ID: e.id, Outcome: uint32(pb.Outcome_NO_ROUTE)}
		s.put(c, a)
		return
	}
	t := s.newTransaction()
	t.client, t.asked, t.profile, t.key, t.mark, t.payload = c, e.id, e.profile, e.key, e.mark, e.payload
	t.hint, t.came, t.buffer = e.hint, e.at, e.buffer
	e.buffer = nil
	t.limit = e.at + min(logic.Micros(min(e.left, 1<<40)), s.orders.Profiles[e.profile].MaxDeadline)
	if s.answerBy != 0 {
		t.limit = min(t.limit, s.answerBy)
	}
	c.open[e.id] = t
	s.open[t.id] = t
	s.unclosed++
	s.metrics.taken[e.profile].Inc()
	s.alarm(t)
	s.tell(input.Input{Kind: input.TransactionArrived, Transaction: logic.Transaction{
		ID: t.id, Profile: logic.ProfileID(e.profile), Account: logic.AccountID(e.account) - 1, Key: e.key,
		Deadline: t.limit, ExpectedWork: logic.Micros(e.hint), IsRetry: e.again}})
}

func (s *Sentry) newTransaction() *transaction {
	var t *transaction
	if n := len(s.spare); n > 0 {
		t, s.spare = s.spare[n-1], s.spare[:n-1]
	} else {
		t = &transaction{}
	}
	s.named++
	s.scratch.name = strconv.AppendUint(append(s.scratch.name[:0], s.run...), s.named, 36)
	t.id = logic.TransactionID(s.scratch.name)
	return t
}

// answer sends the one final answer.
func (s *Sentry) answer(t *transaction, o pb.Outcome, comeBack logic.Micros, payload, worker []byte) {
	if t.closed {
		return
	}
	t.closed = true
	s.unclosed--
	delete(t.client.open, t.asked)
	s.metrics.answered(t, o, s.now)
	if o != pb.Outcome_SATISFIED {
		s.log.Debug().Str("request", string(t.id)).Stringer("outcome", o).Int("attempts", len(t.sends)).
			Dur("after_ms", span(s.now-t.came)).Msg("request ended without a server's answer")
	}
	a := &s.scratch.answer
	*a = wire.Answer{ID: t.asked, Outcome: uint32(o), RetryAfter: uint64(comeBack), Payload: payload, Worker: worker,
		Profile: t.profile}
	s.put(t.client, a)
	s.breachAnswer(t, a)
	s.alarm(t)
}

func (s *Sentry) clientLeft(t *transaction) {
	if t.closed {
		return
	}
	t.closed = true
	s.unclosed--
	delete(t.client.open, t.asked)
	s.metrics.left.Inc()
	s.tell(input.Input{Kind: input.ClientLeft, ID: t.id})
	s.drop(t)
}

// drop forgets a transaction that is closed and has nothing out.
func (s *Sentry) drop(t *transaction) {
	if !t.closed || t.out > 0 || s.open[t.id] != t {
		return
	}
	delete(s.open, t.id)
	s.timers.set(t, 0)
	giveBack(t.buffer)
	sends, gen := t.sends[:0], t.gen+1
	clear(t.sends)
	*t = transaction{gen: gen, sends: sends}
	if len(s.spare) < 4096 {
		s.spare = append(s.spare, t)
	}
}

// put has an answer written at the end of the batch. How much waits for a client by then is no reason to let it go: the links
// judge by the client's socket whether it reads, and stop reading from one for which much waits.
func (s *Sentry) put(c *client, a *wire.Answer) {
	if c.link.Answer(a) {
		s.dirty = append(s.dirty, c.link)
	}
}

// flusher is what has something to be written.
type flusher interface{ Flush() }

func (s *Sentry) flush() {
	for i, l := range s.dirty {
		if i == 0 || l != s.dirty[i-1] {
			l.Flush()
		}
	}
	clear(s.dirty)
	s.dirty = s.dirty[:0]
}

// start is the beginning of the stream: what was remembered of the list, then what the services tell.
func (s *Sentry) start() {
	s.now = s.clock.now()
	s.listAt = s.now
	list := s.remembered()
	s.tell(input.Input{Kind: input.ListReceived, ListKind: logic.CachedList, List: list})
	s.ends.Start()
	s.sweepLater()
}

// end closes everything, after what was answered has been written.
func (s *Sentry) end() {
	if !s.killed.Load() {
		s.flush()
		// What has been read by now or is until reading stops gets its answer: it came too late to be taken.
		for _, e := range s.inbox.close() {
			if e.kind == evAsk {
				ClientHandler{s, e.client}.refuse(&e)
			}
		}
		s.ends.StopReading()
		for i := 0; i < 500 && s.ends.UnwrittenConnections() > 0; i++ {
			time.Sleep(2 * time.Millisecond)
		}
		s.saveLast()
	}
	for _, c := range s.conns {
		c.link.Close(wire.ErrClosed)
	}
	s.ends.Close()
	s.metrics.close()
	s.log.Info().Msg("stopped")
}

// Kill ends the sentry as a crash would: nothing more is answered or saved.
func (s *Sentry) Kill() {
	s.killed.Store(true)
	s.inbox.close()
	<-s.done
}
