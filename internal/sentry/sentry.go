// Package sentry runs one sentry: it reports what happens on the sockets to the decision module (package logic) and
// executes the actions that the module returns. It makes no routing decision itself.
//
// One goroutine, the event loop, owns the module and the state of all transactions and connections. Everything else
// reaches it through the inbox as a timestamped event. The loop turns events and expired timers into a stream of
// input.Input, which is the only way in which the module receives information. A Transport connects the loop to the
// sockets: frameTransport for the frame protocol, package internal/platform for the platform's protocols.
// docs/sentry.md gives the reasons for this design.
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
	"scalechute/internal/memory"
	"scalechute/internal/orders"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Sentry is one running sentry. Start creates it.
type Sentry struct {
	settings      *orders.Settings
	config        *logic.Config
	log           zerolog.Logger
	clock         clock
	inbox         *inbox
	transport     Transport
	address       string
	metrics       *metrics
	done          chan struct{}
	record        func(*input.Input, *logic.Result)
	injectedFault InjectedFault
	killed        atomic.Bool
	routing       atomic.Pointer[routing]
	lastClientID  atomic.Uint64
	listWrites    sync.WaitGroup // of the worker list's file

	// The fields below are accessed by the event loop only.
	decide              func(*input.Input) logic.Result
	now                 logic.Micros  // time of the current event or timer
	pendingInputs       []input.Input // inputs to deliver, while delivering
	delivering          bool
	result              logic.Result // of the current input; a local variable would be allocated on the heap for each input
	wakeAt              logic.Micros // when the module wants its next TimerFired input; 0 if it wants none
	timers              timerHeap
	transactions        map[logic.TransactionID]*transaction // open, or with open hand-offs
	openCount           int                                  // transactions without a final answer whose client has not left
	transactionSeq      uint64
	idPrefix            string         // makes the transaction ids of this run distinct from those of other runs
	freeTransactions    []*transaction // for reuse
	unflushed           []flusher      // connections with buffered output
	workers             map[logic.WorkerID]*worker
	dialBlockedTimerDue logic.Micros  // when the timer for blockedWorkers is due, 0 if none is set
	conns               []*pooledConn // in the order in which they were established
	dials               int           // connections being opened
	blockedWorkers      []*worker     // whose queued hand-offs need a connection beyond the bounds, in the order in which they met them
	workerList          workerList
	discovery           *upstream
	controlPlane        *upstream
	peers               []*upstream     // by position; nil for a sentry without an address
	pendingVotes        map[uint64]bool // sent, not answered and not timed out, by the vote's id
	voteSeq             uint64
	listSeq             uint64       // changes with each list request and answer: timers of earlier requests then no longer apply
	listConfirmedAt     logic.Micros // when discovery last sent an update of the list; at first, when the sentry started
	// the value of listConfirmedAt for which a hand-off on an old list was last logged at level info
	oldListLoggedFor logic.Micros
	stopping         bool
	answerBy         logic.Micros // deadline of all transactions, set by AnswerWithin; 0 if there is none
	cachedList       *pb.Report   // from Options.CachedList; nil if the list is read from a file
	scratch          struct {
		answer wire.Answer
		work   wire.Work
		name   []byte
		key    []byte
	}
}

// Options are what a caller may set in addition to a sentry's settings.
type Options struct {
	Log           zerolog.Logger
	Record        func(*input.Input, *logic.Result) // called on the event loop for each input with the module's result
	InjectedFault InjectedFault                     // makes the sentry break a rule, to test the audit
	Decide        func(*input.Input) logic.Result   // replaces the decision module, for baselines and tests
	Transport     Transport                         // nil for the frame protocol
	CachedList    *pb.Report                        // initial worker list, used in place of the file
	Memory        *memory.Account                   // of the process; nil if the memory is not bounded
}

// transaction is one that a client sent and the sentry accepted.
type transaction struct {
	id           logic.TransactionID
	gen          uint32 // incremented each time this struct is reused
	client       *client
	idAtClient   uint64 // that the client chose; unique among the open ones of its connection
	profile      uint32
	key          logic.Key
	dedupToken   []byte
	payload      []byte
	expectedWork uint64
	arrivedAt    logic.Micros
	deadline     logic.Micros
	handOffs     []handOff
	openHandOffs int
	closed       bool // it has its final answer, or its client has left
	timerSlot    int  // its index in the timer heap plus one; 0 if it has no timer
	buffer       *[]byte
}

// handOff is one attempt to have a worker process a transaction.
type handOff struct {
	worker    *worker
	conn      *pooledConn // nil while it is queued for a connection
	id        uint64
	startedAt logic.Micros
	deadline  logic.Micros
	sendBy    logic.Micros // it must not be written after this time; 0 if there is no such limit
	connectBy logic.Micros // it ends if it has no connection by this time
	endOffset int64        // of its connection, after its last byte
	ended     bool
}

// client is a connection from a client or a peer.
type client struct {
	id            logic.ClientID
	link          ClientConn
	helloReceived bool
	isPeer        bool
	position      logic.SentryID
	disconnected  bool
	transactions  map[uint64]*transaction // by the client's id; accessed by the event loop only
}

// Start opens the sockets and starts the event loop.
func Start(settings *orders.Settings, opts Options) (*Sentry, error) {
	s := &Sentry{
		settings: settings, config: &settings.Policy, log: opts.Log, clock: newClock(), done: make(chan struct{}),
		record: opts.Record, injectedFault: opts.InjectedFault,
		transactions: map[logic.TransactionID]*transaction{}, workers: map[logic.WorkerID]*worker{}, pendingVotes: map[uint64]bool{},
		idPrefix: strconv.FormatInt(time.Now().UnixMicro(), 36) + "-" + strconv.Itoa(int(settings.Policy.Position)) + "-", // wall clock: a name
	}
	seed := settings.Endpoints.Seed
	if seed == 0 {
		seed = time.Now().UnixNano() // wall clock: a seed
	}
	var waitingAnswers *memory.Budget
	if opts.Memory != nil {
		waitingAnswers = opts.Memory.Budget(memory.WaitingAnswers)
	}
	s.inbox = newInbox(settings.Bounds.InboxEvents, waitingAnswers, s.clock)
	s.decide = opts.Decide
	if s.decide == nil {
		module := logic.New(settings.Policy, seed)
		s.decide = func(in *input.Input) logic.Result { return input.Apply(module, in) }
	}
	s.routing.Store(newRouting(settings))
	s.metrics = newMetrics(s)
	if opts.Memory != nil {
		s.metrics.registry.MustRegister(memoryCollector{opts.Memory})
	}
	s.metrics.setProfiles(settings.ProfileNames)
	s.now = s.clock.now()
	s.workerList = newWorkerList(settings.Zones)
	s.setPeers(settings)
	s.discovery = &upstream{name: "list", address: settings.Endpoints.Discovery, role: pb.Hello_SENTRY,
		persistent: !s.config.ListOnRequest}
	s.controlPlane = &upstream{name: "desk", address: settings.Endpoints.ControlPlane, role: pb.Hello_SENTRY, persistent: true}

	s.cachedList = opts.CachedList
	s.transport = opts.Transport
	if s.transport == nil {
		s.transport = &frameTransport{Sentry: s}
	}
	address, err := s.transport.Listen(s)
	if err != nil {
		return nil, err
	}
	s.address = address
	if err := s.metrics.serve(settings.Endpoints.Metrics); err != nil {
		s.transport.Close()
		return nil, fmt.Errorf("metrics on %s: %w", settings.Endpoints.Metrics, err)
	}
	s.log.Info().Str("address", s.address).Int64("seed", seed).Msg("listening")
	go s.loop()
	return s, nil
}

func (s *Sentry) linkLimits() wire.Limits {
	return wire.Limits{MaxFrameBytes: s.settings.Bounds.FrameBytes, MaxPendingBytes: s.settings.Bounds.UnwrittenBytes}
}

// Address returns the address that the sentry listens on.
func (s *Sentry) Address() string { return s.address }

// Stop makes the sentry accept no new transactions, answer all open ones and end. Done is closed then.
func (s *Sentry) Stop() {
	s.transport.StopListening()
	s.inbox.put(&event{kind: eventStop}, false)
}

// AnswerWithin makes the sentry answer every transaction, open or future, within a duration from now.
func (s *Sentry) AnswerWithin(d time.Duration) {
	s.inbox.put(&event{kind: eventAnswerWithin, timeLeft: uint64(d / time.Microsecond)}, false)
}

// Done returns a channel that is closed when the sentry has ended.
func (s *Sentry) Done() <-chan struct{} { return s.done }

// Inspect calls f on the event loop, between two inputs, and waits for it to return or for the sentry to end.
func (s *Sentry) Inspect(f func()) {
	returned := make(chan struct{})
	s.inbox.put(&event{kind: eventCall, call: func() { f(); close(returned) }}, false)
	select {
	case <-returned:
	case <-s.done:
	}
}

// accept registers a new connection as a client. Its frames are decoded on the poller, which blocks while the inbox is
// full.
func (s *Sentry) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	handler := s.AddClient(frameClientConn{l})
	return func(l *wire.Link, kind wire.Kind, body []byte) error { return s.handleClientFrame(handler, kind, body) },
		func(_ *wire.Link, reason error) { handler.ConnectionClosed(reason) }
}

// Event loop and timers.

// loop is the event loop. It ends once the sentry is stopping and no transaction is open, or when it is killed.
func (s *Sentry) loop() {
	defer close(s.done)
	defer s.shutDown()
	s.start()
	var batch []event
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	for {
		now := s.clock.now() // read before take: the batch then holds every event that was put up to this time
		batch = s.inbox.take(batch)
		if s.killed.Load() {
			return
		}
		for i := range batch {
			s.runTimers(batch[i].at, batch[i].at)
			s.now = max(s.now, batch[i].at)
			s.event(&batch[i])
			s.inbox.release(&batch[i])
			batch[i] = event{}
		}
		s.runTimers(now+1, now)
		s.flush()
		if s.stopping && s.openCount == 0 {
			return
		}
		if len(batch) > 0 {
			continue
		}
		next := s.timers.nextDue()
		if s.wakeAt > 0 && (next == 0 || s.wakeAt < next) {
			next = s.wakeAt
		}
		wait := time.Hour
		if next > 0 {
			wait = max(0, toDuration(next-s.clock.now()))
		}
		wakeUp.Reset(wait)
		select {
		case <-s.inbox.wakeUp:
		case <-wakeUp.C:
		}
	}
}

// runTimers handles all timers that are due before a time, and advances the loop's time to at if any is due. An event
// of the same microsecond as a timeout is thus handled before the timeout.
func (s *Sentry) runTimers(before, at logic.Micros) {
	for {
		due := s.timers.nextDue()
		wake := s.wakeAt > 0 && s.wakeAt < before && (due == 0 || s.wakeAt <= due)
		if !wake && (due == 0 || due >= before) {
			return
		}
		s.now = max(s.now, at)
		if wake {
			s.wakeAt = 0
			s.deliver(input.Input{Kind: input.TimerFired})
			continue
		}
		t := s.timers.pop()
		s.timer(&t)
	}
}

// timer handles a timer that is due.
func (s *Sentry) timer(t *timer) {
	switch t.kind {
	case timerTransaction:
		s.handleTransactionTimer(t.transaction, t.due)
	case timerConnReady:
		if !t.conn.ready && !t.conn.closed {
			t.conn.link.Close(wire.ErrClosed)
			s.dropConn(t.conn)
		}
	case timerVote:
		s.voteTimedOut(t.id)
	case timerList:
		switch {
		case s.listSeq != t.id || !s.discovery.awaitsList:
		case s.discovery.persistent && s.discovery.link != nil:
			s.discovery.link.Close(wire.ErrClosed) // it is then dialed again and the watch is restarted
		default:
			s.listRequestFailed("no answer", false)
		}
	case timerRedial:
		t.upstream.redialPending = false
		s.connect(t.upstream)
	case timerSweep:
		s.sweep()
	case timerSave:
		s.save()
	case timerDelivery:
		s.dropIfUndelivered(t.conn, int64(t.id))
	case timerDialBlocked:
		s.dialBlockedTimerDue = 0
		s.dialBlocked()
	case timerCooldownEnd:
		t.worker.cooldownTimerDue = 0
		s.sendQueued(t.worker)
	}
}

// nextDue returns when the next deadline of a transaction or of its hand-offs expires, 0 if there is none.
func (t *transaction) nextDue(grace logic.Micros) (due logic.Micros) {
	if !t.closed {
		due = t.deadline + grace
	}
	for i := range t.handOffs {
		h := &t.handOffs[i]
		at := h.deadline
		if h.conn == nil {
			at = min(at, h.connectBy)
			if h.sendBy > 0 {
				at = min(at, h.sendBy+1)
			}
		}
		if !h.ended && (due == 0 || at < due) {
			due = at
		}
	}
	return due
}

// setTimer sets a transaction's timer to its next deadline.
func (s *Sentry) setTimer(t *transaction) { s.timers.set(t, t.nextDue(s.config.AnswerGrace)) }

// handleTransactionTimer ends the hand-offs whose deadline has passed, and answers the transaction if its final answer
// is overdue.
func (s *Sentry) handleTransactionTimer(t *transaction, due logic.Micros) {
	gen := t.gen
	for index := 0; t.gen == gen && index < len(t.handOffs); index++ {
		h := &t.handOffs[index]
		switch {
		case h.ended:
		case h.conn != nil && h.deadline <= due:
			s.endHandOff(t, index, logic.TimedOut, logic.NoLoad)
		case h.conn == nil && (h.deadline <= due || h.sendBy > 0 && h.sendBy < due): // no byte of it was written
			s.endHandOff(t, index, logic.Unsent, logic.NoLoad)
		case h.conn == nil && h.connectBy <= due && s.waitsForOwnHandOffs(h.worker): // up to its deadline
			h.connectBy = s.now + s.config.ConnectTimeout
		case h.conn == nil && h.connectBy <= due:
			s.endHandOff(t, index, logic.Unconnected, logic.NoLoad)
		}
	}
	if t.gen != gen {
		return
	}
	if !t.closed && t.deadline+s.config.AnswerGrace <= due {
		s.answerOverdue(t)
		s.deliver(input.Input{Kind: input.ClientLeft, ID: t.id})
		s.releaseIfDone(t)
	}
	if t.gen == gen {
		s.setTimer(t)
	}
}

// answerOverdue sends the final answer of a transaction that the module has not ended in time. This is an error of the
// module, unless AnswerWithin shortened the deadline after the module had received the transaction. In that case a
// transaction that was not handed off is answered as not taken.
func (s *Sentry) answerOverdue(t *transaction) {
	outcome := pb.Outcome_WRITTEN_OFF
	switch {
	case t.deadline != s.answerBy:
		s.metrics.overdue.Inc()
		s.log.Error().Str("transaction", string(t.id)).Msg("no final answer before the deadline; transaction written off")
	case logic.FinalAction(len(t.handOffs)) == logic.Defer:
		outcome = pb.Outcome_NOT_TAKEN
	}
	s.sendAnswer(t, outcome, 0, nil, nil)
}

// shortenDeadlines limits the deadlines of all open and all future transactions.
func (s *Sentry) shortenDeadlines(by logic.Micros) {
	s.answerBy = by
	for _, t := range s.transactions {
		if !t.closed && t.deadline > by {
			t.deadline = by
			s.setTimer(t)
		}
	}
}

// event handles an event of the inbox.
func (s *Sentry) event(e *event) {
	switch e.kind {
	case eventTransaction:
		s.acceptTransaction(e)
	case eventWorkerAnswer:
		s.handleWorkerAnswer(e)
	case eventClientLeft:
		if t := e.client.transactions[e.id]; t != nil {
			s.handleClientLeft(t)
		}
	case eventClientClosed:
		e.client.disconnected = true
		// The latest transaction first: ending an earlier one may free capacity, which a later one of this client must
		// not get.
		for _, id := range slices.Backward(slices.Sorted(maps.Keys(e.client.transactions))) {
			if t := e.client.transactions[id]; t != nil { // ending one transaction may have ended another
				s.handleClientLeft(t)
			}
		}
	case eventConnClosed:
		s.dropConn(e.conn)
	case eventDialed:
		s.handleDialed(e)
	case eventConnReady:
		s.handleConnReady(e.conn)
	case eventProbeAnswer:
		s.deliver(input.Input{Kind: input.ProbeAnswered, Worker: e.conn.worker.id, InFlight: float64(e.inFlight) - 1})
	case eventUpstreamDialed:
		s.handleUpstreamDialed(e.upstream, e.upstreamLink, e.err)
	case eventUpstreamClosed:
		s.handleUpstreamClosed(e.upstream, e.upstreamLink, e.err)
	case eventList:
		if e.stillWanted == nil || e.stillWanted() {
			s.handleReport(e.report)
		}
	case eventListRequestFailed:
		if e.stillWanted() {
			s.listRequestFailed("refused", e.discoveryBusy)
		}
	case eventListPartlyReceived:
		if e.stillWanted() {
			s.ListMayBeStale(e.at - e.startedAgo)
		}
	case eventRelease:
		s.handleReleaseStatus(e.status)
	case eventPeerMessage:
		s.deliver(input.Input{Kind: input.PeerMessageReceived, From: e.client.position, Body: e.payload})
	case eventComplaint:
		s.deliver(input.Input{Kind: input.ComplaintReceived, Complaint: logic.Complaint{
			Profile: logic.ProfileID(e.profile), Worker: logic.WorkerID(e.key), Age: logic.Micros(e.timeLeft)}})
	case eventVoteTimedOut:
		s.voteTimedOut(e.id)
	case eventListSaved:
		s.handleSaved(e.err)
	case eventStop:
		if !s.stopping {
			s.stopping = true
			s.log.Info().Int("open", s.openCount).Msg("stopping: no new transactions are accepted")
		}
	case eventAnswerWithin:
		s.shortenDeadlines(e.at + logic.Micros(e.timeLeft))
	case eventCounts:
		s.handleCounts(e.counts)
	case eventCall:
		e.call()
	}
}

// deliver passes one input to the module and executes the resulting actions. Inputs that these actions cause are
// queued and delivered afterwards, in order.
func (s *Sentry) deliver(in input.Input) {
	s.pendingInputs = append(s.pendingInputs, in)
	if s.delivering {
		return
	}
	s.delivering = true
	for i := 0; i < len(s.pendingInputs); i++ {
		in := &s.pendingInputs[i]
		in.At = s.now
		if in.Kind == input.HandOffEnded {
			t := s.transactions[in.End.Transaction]
			in.End.TransactionClosed = t == nil || t.closed
		}
		s.result = s.decide(in)
		if s.record != nil {
			s.record(in, &s.result)
		}
		if in.Kind == input.HandOffEnded {
			if t := s.transactions[in.End.Transaction]; t != nil {
				t.openHandOffs--
			}
		}
		s.wakeAt = s.result.WakeAt
		done := in.End.Transaction
		s.execute(&s.result)
		if t := s.transactions[done]; t != nil && done != "" {
			s.releaseIfDone(t)
		}
	}
	clear(s.pendingInputs)
	s.pendingInputs = s.pendingInputs[:0]
	s.delivering = false
}

// execute carries out the actions and requests in a result of the module.
func (s *Sentry) execute(r *logic.Result) {
	for i := range r.Actions {
		action := &r.Actions[i]
		t := s.transactions[action.Transaction]
		if t == nil {
			s.log.Error().Str("transaction", string(action.Transaction)).Msg("action for a transaction that is not open")
			continue
		}
		switch action.Kind {
		case logic.HandOff:
			s.handOff(t, action)
			s.injectHandOffFault(t, action)
		case logic.CancelHandOff:
			s.cancelHandOff(t, action.HandOffNumber)
		case logic.Defer:
			s.sendAnswer(t, pb.Outcome_DEFERRED, action.RetryAfter, nil, nil)
			s.releaseIfDone(t)
		case logic.WriteOff:
			s.sendAnswer(t, pb.Outcome_WRITTEN_OFF, 0, nil, nil)
			s.releaseIfDone(t)
		}
	}
	for _, v := range r.Votes {
		s.castVote(v)
	}
	if r.WatchList {
		s.transport.RequestList(true, s.workerList.version)
	}
	if r.FetchList {
		s.transport.RequestList(false, s.workerList.version)
	}
	for _, id := range r.Probes {
		s.probeWorker(id)
	}
	for _, m := range r.Messages {
		s.sendToPeers(m)
	}
	for _, line := range r.LogLines {
		s.log.Info().Str("from", "module").Msg(line)
	}
}

// Clients.

// handleClientFrame decodes a frame of a client or a peer. It runs on the poller.
func (s *Sentry) handleClientFrame(handler ClientHandler, kind wire.Kind, body []byte) error {
	c := handler.c
	if !c.helloReceived {
		return s.handleHello(c, kind, body)
	}
	r := s.routing.Load()
	switch {
	case kind == wire.KindAsk && !c.isPeer:
		var m wire.Ask
		if err := m.Read(body); err != nil {
			return err
		}
		if count := len(r.settings.ProfileNames); int(m.Profile) >= count {
			return invalid("profile "+strconv.Itoa(int(m.Profile)), "a number below "+strconv.Itoa(count))
		}
		if count := len(r.settings.AccountNames); int(m.Account) > count {
			return invalid("account "+strconv.Itoa(int(m.Account)), "at most "+strconv.Itoa(count))
		}
		e := handler.newEvent(&m)
		if m.Attributes == nil {
			e.key = logic.Key(m.Key)
		} else if err := s.routeTransaction(r, &e, m.Attributes); err != nil {
			return err
		}
		handler.enqueue(&e, &m)
		return nil
	case kind == wire.KindLeave && !c.isPeer:
		var m wire.IDMessage
		if err := m.Read(body); err != nil {
			return err
		}
		s.inbox.put(&event{kind: eventClientLeft, client: c, id: m.ID}, true)
		return nil
	case kind == wire.KindComplain && !c.isPeer:
		var m pb.Complain
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		if count := len(r.settings.ProfileNames); int(m.Profile) >= count {
			return invalid("profile "+strconv.Itoa(int(m.Profile)), "a number below "+strconv.Itoa(count))
		}
		s.inbox.put(&event{kind: eventComplaint, profile: m.Profile, key: logic.Key(m.Worker), timeLeft: m.Age}, true)
		return nil
	case kind == wire.KindSay && c.isPeer:
		var m pb.Say
		if err := unmarshal(body, &m); err != nil {
			return err
		}
		if len(m.Body) > MaxPeerMessageBytes {
			return invalid(strconv.Itoa(len(m.Body))+" bytes between sentries", "at most "+strconv.Itoa(MaxPeerMessageBytes))
		}
		s.inbox.put(&event{kind: eventPeerMessage, client: c, payload: m.Body}, true)
		return nil
	}
	return invalid("a frame of kind "+strconv.Itoa(int(kind)), "one that this role may send")
}

// handleHello checks the first frame of a connection, and sets the connection's role.
func (s *Sentry) handleHello(c *client, kind wire.Kind, body []byte) error {
	if kind != wire.KindHello {
		return invalid("a frame of kind "+strconv.Itoa(int(kind)), "a hello first")
	}
	var m pb.Hello
	if err := unmarshal(body, &m); err != nil {
		return err
	}
	if m.Version != wire.ProtocolVersion {
		return invalid("protocol version "+strconv.Itoa(int(m.Version)), strconv.Itoa(wire.ProtocolVersion))
	}
	switch m.Role {
	case pb.Hello_CLIENT:
	case pb.Hello_PEER:
		if config := &s.routing.Load().settings.Policy; int(m.Position) >= config.Sentries || logic.SentryID(m.Position) == config.Position {
			return invalid("a peer at position "+strconv.Itoa(int(m.Position)), "that of another sentry")
		}
		c.isPeer, c.position = true, logic.SentryID(m.Position)
	default:
		return invalid("role "+m.Role.String(), "a client or a peer")
	}
	c.helloReceived = true
	return nil
}

// invalid returns an error that closes the connection.
func invalid(found, expected string) error { return &wire.FrameError{Found: found, Expected: expected} }

// acceptTransaction creates the transaction of an event and delivers it to the module. It answers one that it cannot
// accept.
func (s *Sentry) acceptTransaction(e *event) {
	c := e.client
	if c.disconnected {
		return
	}
	if c.transactions == nil {
		c.transactions = map[uint64]*transaction{}
	}
	if c.transactions[e.id] != nil {
		s.metrics.protocolErrors.Inc()
		s.log.Warn().Str("from", c.link.RemoteAddr()).Uint64("id", e.id).
			Msg("connection closed: transaction id used twice, expected a new one")
		c.link.Close(wire.ErrClosed)
		return
	}
	// The profile may have been removed since the frame was read.
	if s.stopping || s.answerBy != 0 && e.at >= s.answerBy ||
		s.openCount >= s.settings.Bounds.OpenTransactions ||
		e.noRouteReason == 0 && !s.settings.AcceptsProfile(int(e.profile)) {
		s.metrics.notTaken.Inc()
		a := &s.scratch.answer
		*a = wire.Answer{ID: e.id, Outcome: uint32(pb.Outcome_NOT_TAKEN)}
		s.queueAnswer(c, a)
		return
	}
	if e.noRouteReason != 0 {
		s.metrics.noRoute[e.noRouteReason].Inc()
		a := &s.scratch.answer
		*a = wire.Answer{ID: e.id, Outcome: uint32(pb.Outcome_NO_ROUTE)}
		s.queueAnswer(c, a)
		return
	}
	t := s.newTransaction()
	t.client, t.idAtClient, t.profile, t.key, t.dedupToken, t.payload = c, e.id, e.profile, e.key, e.dedupToken, e.payload
	t.expectedWork, t.arrivedAt, t.buffer = e.expectedWork, e.at, e.buffer
	e.buffer = nil
	t.deadline = e.at + min(logic.Micros(min(e.timeLeft, 1<<40)), s.config.Profiles[e.profile].MaxDeadline)
	if s.answerBy != 0 {
		t.deadline = min(t.deadline, s.answerBy)
	}
	c.transactions[e.id] = t
	s.transactions[t.id] = t
	s.openCount++
	s.metrics.taken[e.profile].Inc()
	s.setTimer(t)
	s.deliver(input.Input{Kind: input.TransactionArrived, Transaction: logic.Transaction{
		ID: t.id, Profile: logic.ProfileID(e.profile), Account: logic.AccountID(e.account) - 1, Key: e.key,
		Deadline: t.deadline, ExpectedWork: logic.Micros(e.expectedWork), IsRetry: e.isRetry, Client: c.id}})
}

// newTransaction returns an empty transaction with a new id.
func (s *Sentry) newTransaction() *transaction {
	var t *transaction
	if n := len(s.freeTransactions); n > 0 {
		t, s.freeTransactions = s.freeTransactions[n-1], s.freeTransactions[:n-1]
	} else {
		t = &transaction{}
	}
	s.transactionSeq++
	s.scratch.name = strconv.AppendUint(append(s.scratch.name[:0], s.idPrefix...), s.transactionSeq, 36)
	t.id = logic.TransactionID(s.scratch.name)
	return t
}

// sendAnswer sends the final answer of a transaction, unless it has one or its client has left.
func (s *Sentry) sendAnswer(t *transaction, o pb.Outcome, retryAfter logic.Micros, payload, worker []byte) {
	if t.closed {
		return
	}
	t.closed = true
	s.openCount--
	delete(t.client.transactions, t.idAtClient)
	s.metrics.recordAnswer(t, o, s.now)
	if o != pb.Outcome_SATISFIED {
		s.log.Debug().Str("request", string(t.id)).Stringer("outcome", o).Int("attempts", len(t.handOffs)).
			Dur("after_ms", toDuration(s.now-t.arrivedAt)).Msg("transaction ended without a worker's answer")
	}
	a := &s.scratch.answer
	*a = wire.Answer{ID: t.idAtClient, Outcome: uint32(o), RetryAfter: uint64(retryAfter), Payload: payload, Worker: worker,
		Profile: t.profile}
	s.queueAnswer(t.client, a)
	s.injectDuplicateAnswer(t, a)
	s.setTimer(t)
}

// handleClientLeft closes a transaction whose client no longer waits for its answer.
func (s *Sentry) handleClientLeft(t *transaction) {
	if t.closed {
		return
	}
	t.closed = true
	s.openCount--
	delete(t.client.transactions, t.idAtClient)
	s.metrics.clientsLeft.Inc()
	s.deliver(input.Input{Kind: input.ClientLeft, ID: t.id})
	s.releaseIfDone(t)
}

// releaseIfDone releases a transaction that is closed and has no open hand-offs, and keeps its struct for reuse.
func (s *Sentry) releaseIfDone(t *transaction) {
	if !t.closed || t.openHandOffs > 0 || s.transactions[t.id] != t {
		return
	}
	delete(s.transactions, t.id)
	s.timers.set(t, 0)
	putBuffer(t.buffer)
	handOffs, gen := t.handOffs[:0], t.gen+1
	clear(t.handOffs)
	*t = transaction{gen: gen, handOffs: handOffs}
	if len(s.freeTransactions) < 4096 {
		s.freeTransactions = append(s.freeTransactions, t)
	}
}

// queueAnswer queues an answer, to be written at the end of the batch. The amount of unwritten data is no reason to
// close a client's connection here: the link detects by the client's socket whether the client reads, and
// stops reading from a client with much unwritten data.
func (s *Sentry) queueAnswer(c *client, a *wire.Answer) {
	if c.link.Answer(a) {
		s.unflushed = append(s.unflushed, c.link)
	}
}

// flusher is a connection with buffered output.
type flusher interface{ Flush() }

// flush writes the buffered output of all connections.
func (s *Sentry) flush() {
	for i, l := range s.unflushed {
		if i == 0 || l != s.unflushed[i-1] {
			l.Flush()
		}
	}
	clear(s.unflushed)
	s.unflushed = s.unflushed[:0]
}

// start delivers the cached worker list, the first input of the stream. Then it starts the transport and schedules the
// first sweep.
func (s *Sentry) start() {
	s.now = s.clock.now()
	s.listConfirmedAt = s.now
	list := s.loadCachedList()
	s.deliver(input.Input{Kind: input.ListReceived, ListKind: logic.CachedList, List: list})
	s.transport.Start()
	s.scheduleSweep()
}

// shutDown closes everything, after the answers have been written.
func (s *Sentry) shutDown() {
	if !s.killed.Load() {
		s.flush()
		// Transactions in the inbox, and those read before reading stops, came too late: each is answered as not taken.
		for _, e := range s.inbox.close() {
			if e.kind == eventTransaction {
				ClientHandler{s, e.client}.refuse(&e)
			}
		}
		s.transport.StopReading()
		for i := 0; i < 500 && s.transport.UnwrittenConnections() > 0; i++ {
			time.Sleep(2 * time.Millisecond)
		}
		s.saveFinal()
	}
	for _, c := range s.conns {
		c.link.Close(wire.ErrClosed)
	}
	s.transport.Close()
	s.metrics.close()
	s.log.Info().Msg("stopped")
}

// Kill ends the sentry as a crash would, and returns once it has ended. The sentry answers and saves nothing more.
func (s *Sentry) Kill() {
	s.killed.Store(true)
	s.inbox.close()
	<-s.done
}
