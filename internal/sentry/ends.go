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
	Dial(handler WorkerConnHandler, address string, timeout time.Duration) (WorkerConn, error)
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
	RequestList(watch bool, since uint64) // for changes from now on, or for all of it once
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
	ev := e.newEvent(m)
	ev.key = logic.Key(m.Key)
	e.enqueue(&ev, m)
}

func (e ClientHandler) newEvent(m *wire.Ask) event {
	return event{kind: eventTransaction, client: e.c, id: m.ID, profile: m.Profile, account: m.Account, timeLeft: m.Timeout, expectedWork: m.ExpectedWork,
		isRetry: m.Retry}
}

// put keeps mark and payload beyond what they came in.
func (e ClientHandler) enqueue(ev *event, m *wire.Ask) {
	if len(m.DeduplicationToken)+len(m.Payload) > 0 {
		ev.buffer = getBuffer()
		buffer := append(append((*ev.buffer)[:0], m.DeduplicationToken...), m.Payload...)
		*ev.buffer = buffer
		ev.dedupToken, ev.payload = buffer[:len(m.DeduplicationToken):len(m.DeduplicationToken)], buffer[len(m.DeduplicationToken):]
	}
	if !e.s.inbox.put(ev, true) {
		e.refuse(ev)
	}
}

// refuse answers a request that the loop did not take and will not: it has ended.
func (e ClientHandler) refuse(ev *event) {
	putBuffer(ev.buffer)
	if !e.s.killed.Load() && e.c.link.Answer(&wire.Answer{ID: ev.id, Outcome: uint32(pb.Outcome_NOT_TAKEN)}) {
		e.c.link.Flush()
	}
}

// Gone hears that the connection has ended.
func (e ClientHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		e.s.metrics.protocolErrors.Inc()
		e.s.log.Warn().Str("from", e.c.link.RemoteAddr()).Err(reason).Msg("connection closed")
	}
	e.s.inbox.put(&event{kind: eventClientClosed, client: e.c}, false)
}

// WayEar hears what comes on one way.
type WorkerConnHandler struct {
	s *Sentry
	c *pooledConn
}

// Welcome hears that the way may carry hand-offs.
func (e WorkerConnHandler) Ready() { e.s.inbox.put(&event{kind: eventConnReady, conn: e.c}, false) }

// Done hears the end of a hand-off; the payload is copied.
func (e WorkerConnHandler) HandOffEnded(m *wire.Done) {
	ev := event{kind: eventWorkerAnswer, conn: e.c, id: m.ID, ended: m.Ending, held: m.InFlight, busy: m.CPUUse, served: m.ServedRate}
	if len(m.Payload) > 0 {
		ev.buffer = getBuffer()
		*ev.buffer = append((*ev.buffer)[:0], m.Payload...)
		ev.payload = *ev.buffer
	}
	e.s.inbox.put(&ev, false)
}

// Lost hears that the way has ended.
func (e WorkerConnHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		e.s.metrics.protocolErrors.Inc()
		e.s.log.Warn().Str("worker", string(e.c.worker.id)).Err(reason).Msg("connection closed")
	}
	e.s.inbox.put(&event{kind: eventConnClosed, conn: e.c}, false)
}

// MostSaid bounds a message between sentries, in bytes.
const MaxPeerMessageBytes = 256

// Reported hears a list or what has changed of it, or that it was refused. When its turn comes, the loop asks whether it is
// still to be taken: what has told it may be outdated by then.
func (s *Sentry) ListReceived(m *pb.Report, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventList, report: m, stillWanted: stillWanted}, true)
}

// ReportRefused hears that a call for the list has failed or a watch has ended; busy says that the call was turned away.
func (s *Sentry) ListRequestFailed(busy bool, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventListRequestFailed, overloaded: busy, stillWanted: stillWanted}, true)
}

// ReportBegun hears that a list has begun to come some time ago and is not whole yet. When its turn comes, the loop asks
// whether that still matters.
func (s *Sentry) ListPartlyReceived(ago time.Duration, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventListPartlyReceived, startedAgo: logic.Micros(ago / time.Microsecond), stillWanted: stillWanted}, true)
}

// ListUnsure tells the module that what discovery tells from a time on counts as told and may not arrive. It is called on
// the loop.
func (s *Sentry) ListMayBeStale(since logic.Micros) {
	s.log.Warn().Dur("since_ms", toDuration(since-s.now)).Msg("list in doubt: discovery may have told what has not arrived")
	s.deliver(input.Input{Kind: input.ListMayBeStale, StaleSince: since})
}

// Now is the loop's time. It is called on the loop.
func (s *Sentry) Now() logic.Micros { return s.now }

// Told hears the platform's news.
func (s *Sentry) ReleaseUpdated(m *pb.News) { s.inbox.put(&event{kind: eventRelease, status: m}, true) }

// Said hears a peer's message.
func (s *Sentry) PeerMessageReceived(from logic.SentryID, body []byte) {
	s.inbox.put(&event{kind: eventPeerMessage, client: &client{position: from}, payload: body}, true)
}

// Unanswered hears that no answer will come to some votes any more.
func (s *Sentry) VotesTimedOut(votes []uint64) {
	for _, id := range votes {
		s.inbox.put(&event{kind: eventVoteTimedOut, id: id}, false)
	}
}

func (s *Sentry) voteTimedOut(id uint64) {
	if s.pendingVotes[id] {
		delete(s.pendingVotes, id)
		s.deliver(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: logic.ReleaseStatus{VoteResult: logic.VoteTimedOut}})
	}
}

// frames are the ends on the frame layer.
type frameTransport struct {
	*Sentry
	server *wire.Server
	bounds wire.Limits // no new orders change them
}

func (f *frameTransport) Listen(s *Sentry) (string, error) {
	f.bounds = s.linkBounds()
	server, err := wire.Serve(s.settings.Endpoints.Listen, f.bounds, s.accept)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", s.settings.Endpoints.Listen, err)
	}
	f.server = server
	return server.Address, nil
}

func (f *frameTransport) StopListening()            { f.server.RejectConnections() }
func (f *frameTransport) StopReading()              { f.server.StopReading() }
func (f *frameTransport) UnwrittenConnections() int { return f.server.LinksWithPendingWrites() }

func (f *frameTransport) Start() {
	f.connect(f.controlPlane)
	if f.discovery.persistent {
		f.requestList(true)
	}
}

func (f *frameTransport) Close() {
	for _, u := range append([]*upstream{f.discovery, f.controlPlane}, f.peers...) {
		if u != nil && u.link != nil {
			u.link.Close(wire.ErrClosed)
		}
	}
	f.server.FlushAndClose(lingerTime, maxLingerTime)
	f.server.Close()
}

const (
	// A client that has acknowledged all and does not close at the end of the stream is closed after this.
	lingerTime = 20 * time.Millisecond
	// One that has sent what was not read may have yet to come to its answers, and has longer.
	maxLingerTime = 250 * time.Millisecond
)

func (f *frameTransport) RequestList(watch bool, _ uint64) { f.requestList(watch) }

func (f *frameTransport) SendVote(m *pb.Vote) bool {
	if f.controlPlane.link == nil || !f.controlPlane.link.PutProto(wire.KindVote, m) {
		return false
	}
	f.unflushed = append(f.unflushed, f.controlPlane.link)
	return true
}

func (f *frameTransport) SendMessage(m logic.Message) (sent int) {
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
			f.unflushed = append(f.unflushed, u.link)
		}
	}
	return sent
}

func (f *frameTransport) AnswersInOrder() bool { return false }

func (f *frameTransport) Dial(handler WorkerConnHandler, address string, limit time.Duration) (WorkerConn, error) {
	link, err := wire.Dial(address, limit, f.bounds,
		func(_ *wire.Link, kind wire.Kind, body []byte) error { return f.handleWorkerFrame(handler, kind, body) },
		func(_ *wire.Link, reason error) { handler.ConnectionClosed(reason) })
	if err != nil {
		return nil, err
	}
	return &frameWorkerConn{link, f.Sentry}, nil
}

// frameCaller is a Caller on frames.
type frameClientConn struct{ *wire.Link }

func (f frameClientConn) Answer(a *wire.Answer) bool { return f.PutUnbounded(wire.KindAnswer, a) }

// frameWay is a Way on frames: hand-offs in any order, and a worker told of what is given up.
type frameWorkerConn struct {
	*wire.Link
	s *Sentry
}

func (f *frameWorkerConn) SendHello() {
	f.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: pb.Hello_SENTRY, Position: uint32(f.s.config.Position),
		Zone: f.s.workerList.zoneName(f.s.config.Zone)})
}

func (f *frameWorkerConn) SendWork(m *wire.Work) bool { return f.Put(wire.KindWork, m) }
func (f *frameWorkerConn) SendProbe(id uint64)        { f.Put(wire.KindProbe, &wire.IDMessage{ID: id}) }

func (f *frameWorkerConn) Cancel(id uint64)            { f.Put(wire.KindCancel, &wire.IDMessage{ID: id}) }
func (f *frameWorkerConn) MayHaveReceived(uint64) bool { return true }
func (f *frameWorkerConn) AnswerStarted(uint64) bool   { return false }
