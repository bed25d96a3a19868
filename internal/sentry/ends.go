package sentry

import (
	"errors"
	"fmt"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Ends are all that a sentry writes to and hears from. Frames are one implementation, internal/platform another. What
// they hear goes to the sentry's ears from any goroutine; calls out come from the loop, unless said otherwise, and must
// not wait. Ends decide nothing.
type Transport interface {
	ClientListener
	WorkerDialer
	Discovery
	ControlPlane
	PeerSender
	Start() // once, before anything else is called by the loop
	Close() // once, when the loop has ended: everything is closed
}

// Clients come to a door.
type ClientListener interface {
	Listen(s *Sentry) (address string, err error) // before the loop begins
	StopListening()                               // from any goroutine
	StopReading()                                 // no more of any connection, from when it returns
	UnwrittenConnections() int                    // connections on which something waits to be written
}

// Caller is a connection of a client or of a peer.
type ClientConn interface {
	Answer(*wire.Answer) bool // false if the connection has ended
	Flush()
	Dead() bool
	Close(reason error)
	RemoteAddr() string
}

// Workers are reached by ways, each a connection.
type WorkerDialer interface {
	// Dial blocks for at most the limit, on a goroutine of its own.
	Dial(ear WorkerConnHandler, address string, limit time.Duration) (WorkerConn, error)
	// Ordered says that answers on a way come in the order of its hand-offs: one that is given up costs the way, so each gets
	// one of its own while there may be more.
	AnswersInOrder() bool
}

// Way is a connection to a worker.
type WorkerConn interface {
	SendHello()               // the first call
	SendWork(*wire.Work) bool // false if nothing of it will ever leave
	Cancel(id uint64)
	MayHaveReceived(id uint64) bool // the worker may have all of a hand-off
	AnswerStarted(id uint64) bool   // its answer has begun to come and is not whole, or could not be read
	SendProbe(id uint64)
	Flush()
	Dead() bool
	Close(reason error)
}

// List is asked for the workers.
type Discovery interface {
	RequestList(follow bool, since uint64) // for changes from now on, or for all of it once
}

// Desk takes votes.
type ControlPlane interface {
	SendVote(*pb.Vote) bool // false if it was not sent
}

// Peers are told what the module says to them.
type PeerSender interface {
	SendMessage(logic.Message) (sent int)
}

// ClientEar hears what comes on one client's connection.
type ClientHandler struct {
	s *Sentry
	c *client
}

// Joined makes a client of a connection.
func (s *Sentry) AddClient(c ClientConn) ClientHandler { return ClientHandler{s, &client{link: c}} }

// Asked hears a transaction. Its profile and account are ones that there are; key and payload are copied.
func (e ClientHandler) TransactionReceived(m *wire.Ask) {
	ev := e.asked(m)
	ev.key = logic.Key(m.Key)
	e.put(&ev, m)
}

func (e ClientHandler) asked(m *wire.Ask) event {
	return event{kind: evAsk, client: e.c, id: m.ID, profile: m.Profile, account: m.Account, left: m.Timeout, hint: m.ExpectedWork,
		again: m.Retry}
}

// put keeps mark and payload beyond what they came in.
func (e ClientHandler) put(ev *event, m *wire.Ask) {
	if len(m.DeduplicationToken)+len(m.Payload) > 0 {
		ev.buffer = borrow()
		both := append(append((*ev.buffer)[:0], m.DeduplicationToken...), m.Payload...)
		*ev.buffer = both
		ev.mark, ev.payload = both[:len(m.DeduplicationToken):len(m.DeduplicationToken)], both[len(m.DeduplicationToken):]
	}
	if !e.s.inbox.put(ev, true) {
		e.refuse(ev)
	}
}

// refuse answers a request that the loop did not take and will not: it has ended.
func (e ClientHandler) refuse(ev *event) {
	giveBack(ev.buffer)
	if !e.s.killed.Load() && e.c.link.Answer(&wire.Answer{ID: ev.id, Outcome: uint32(pb.Outcome_NOT_TAKEN)}) {
		e.c.link.Flush()
	}
}

// Gone hears that the connection has ended.
func (e ClientHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		e.s.metrics.faults.Inc()
		e.s.log.Warn().Str("from", e.c.link.RemoteAddr()).Err(reason).Msg("connection closed")
	}
	e.s.inbox.put(&event{kind: evClientGone, client: e.c}, false)
}

// WayEar hears what comes on one way.
type WorkerConnHandler struct {
	s *Sentry
	c *conn
}

// Welcome hears that the way may carry hand-offs.
func (e WorkerConnHandler) Ready() { e.s.inbox.put(&event{kind: evWelcome, conn: e.c}, false) }

// Done hears the end of a hand-off; the payload is copied.
func (e WorkerConnHandler) HandOffEnded(m *wire.Done) {
	ev := event{kind: evDone, conn: e.c, id: m.ID, ended: m.Ending, held: m.InFlight, busy: m.CPUUse, served: m.ServedRate}
	if len(m.Payload) > 0 {
		ev.buffer = borrow()
		*ev.buffer = append((*ev.buffer)[:0], m.Payload...)
		ev.payload = *ev.buffer
	}
	e.s.inbox.put(&ev, false)
}

// Lost hears that the way has ended.
func (e WorkerConnHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		e.s.metrics.faults.Inc()
		e.s.log.Warn().Str("worker", string(e.c.worker.id)).Err(reason).Msg("connection closed")
	}
	e.s.inbox.put(&event{kind: evWorkerLost, conn: e.c}, false)
}

// MostSaid bounds a message between sentries, in bytes.
const MaxPeerMessageBytes = 256

// Reported hears a list or what has changed of it, or that it was refused. When its turn comes, the loop asks whether it is
// still to be taken: what has told it may be outdated by then.
func (s *Sentry) ListReceived(m *pb.Report, takes func() bool) {
	s.inbox.put(&event{kind: evReport, report: m, takes: takes}, true)
}

// ReportRefused hears that a call for the list has failed or a watch has ended; busy says that the call was turned away.
func (s *Sentry) ListRequestFailed(busy bool, takes func() bool) {
	s.inbox.put(&event{kind: evRefused, turned: busy, takes: takes}, true)
}

// ReportBegun hears that a list has begun to come some time ago and is not whole yet. When its turn comes, the loop asks
// whether that still matters.
func (s *Sentry) ListPartlyReceived(ago time.Duration, takes func() bool) {
	s.inbox.put(&event{kind: evUnsure, ago: logic.Micros(ago / time.Microsecond), takes: takes}, true)
}

// ListUnsure tells the module that what discovery tells from a time on counts as told and may not arrive. It is called on
// the loop.
func (s *Sentry) ListMayBeStale(since logic.Micros) {
	s.log.Warn().Dur("since_ms", span(since-s.now)).Msg("list in doubt: discovery may have told what has not arrived")
	s.tell(input.Input{Kind: input.ListMayBeStale, StaleSince: since})
}

// Now is the loop's time. It is called on the loop.
func (s *Sentry) Now() logic.Micros { return s.now }

// Told hears the platform's news.
func (s *Sentry) ReleaseUpdated(m *pb.News) { s.inbox.put(&event{kind: evNews, news: m}, true) }

// Said hears a peer's message.
func (s *Sentry) PeerMessageReceived(from logic.SentryID, body []byte) {
	s.inbox.put(&event{kind: evPeer, client: &client{from: from}, payload: body}, true)
}

// Unanswered hears that no answer will come to some votes any more.
func (s *Sentry) VotesTimedOut(votes []uint64) {
	for _, id := range votes {
		s.inbox.put(&event{kind: evUnanswered, id: id}, false)
	}
}

func (s *Sentry) unanswered(id uint64) {
	if s.votes[id] {
		delete(s.votes, id)
		s.tell(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: logic.ReleaseStatus{VoteResult: logic.VoteTimedOut}})
	}
}

// frames are the ends on the frame layer.
type frames struct {
	*Sentry
	server *wire.Server
	bounds wire.Limits // no new orders change them
}

func (f *frames) Listen(s *Sentry) (string, error) {
	f.bounds = s.bounds()
	server, err := wire.Serve(s.sheet.Endpoints.Listen, f.bounds, s.accept)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", s.sheet.Endpoints.Listen, err)
	}
	f.server = server
	return server.Address, nil
}

func (f *frames) StopListening()            { f.server.RejectConnections() }
func (f *frames) StopReading()              { f.server.StopReading() }
func (f *frames) UnwrittenConnections() int { return f.server.LinksWithPendingWrites() }

func (f *frames) Start() {
	f.connect(f.desk)
	if f.list.keep {
		f.askList(true)
	}
}

func (f *frames) Close() {
	for _, u := range append([]*upstream{f.list, f.desk}, f.peers...) {
		if u != nil && u.link != nil {
			u.link.Close(wire.ErrClosed)
		}
	}
	f.server.FlushAndClose(linger, lingerMost)
	f.server.Close()
}

const (
	// A client that has acknowledged all and does not close at the end of the stream is closed after this.
	linger = 20 * time.Millisecond
	// One that has sent what was not read may have yet to come to its answers, and has longer.
	lingerMost = 250 * time.Millisecond
)

func (f *frames) RequestList(follow bool, _ uint64) { f.askList(follow) }

func (f *frames) SendVote(m *pb.Vote) bool {
	if f.desk.link == nil || !f.desk.link.PutProto(wire.KindVote, m) {
		return false
	}
	f.dirty = append(f.dirty, f.desk.link)
	return true
}

func (f *frames) SendMessage(m logic.Message) (sent int) {
	for i, u := range f.peers {
		if u == nil || m.To != logic.EverySentry && m.To != logic.SentryID(i) {
			continue
		}
		if u.link == nil {
			f.connect(u)
			continue
		}
		if u.link.PutProto(wire.KindSay, &pb.Say{Body: m.Body}) {
			sent++
			f.dirty = append(f.dirty, u.link)
		}
	}
	return sent
}

func (f *frames) AnswersInOrder() bool { return false }

func (f *frames) Dial(ear WorkerConnHandler, address string, limit time.Duration) (WorkerConn, error) {
	link, err := wire.Dial(address, limit, f.bounds,
		func(_ *wire.Link, kind wire.Kind, body []byte) error { return f.fromWorker(ear, kind, body) },
		func(_ *wire.Link, reason error) { ear.ConnectionClosed(reason) })
	if err != nil {
		return nil, err
	}
	return &frameWay{link, f.Sentry}, nil
}

// frameCaller is a Caller on frames.
type frameCaller struct{ *wire.Link }

func (f frameCaller) Answer(a *wire.Answer) bool { return f.PutUnbounded(wire.KindAnswer, a) }

// frameWay is a Way on frames: hand-offs in any order, and a worker told of what is given up.
type frameWay struct {
	*wire.Link
	s *Sentry
}

func (f *frameWay) SendHello() {
	f.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: pb.Hello_SENTRY, Position: uint32(f.s.orders.Position),
		Zone: f.s.book.zoneName(f.s.orders.Zone)})
}

func (f *frameWay) SendWork(m *wire.Work) bool { return f.Put(wire.KindWork, m) }
func (f *frameWay) SendProbe(id uint64)        { f.Put(wire.KindProbe, &wire.IDMessage{ID: id}) }

func (f *frameWay) Cancel(id uint64)            { f.Put(wire.KindCancel, &wire.IDMessage{ID: id}) }
func (f *frameWay) MayHaveReceived(uint64) bool { return true }
func (f *frameWay) AnswerStarted(uint64) bool   { return false }
