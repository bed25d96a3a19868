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

// Transport connects a sentry to its clients, workers, discovery, control plane and peers. frameTransport is one
// implementation, internal/platform has another. An implementation passes what it receives to ClientHandler,
// WorkerConnHandler and the methods of Sentry, from any goroutine. The sentry calls the methods of a Transport from the
// event loop unless stated otherwise, and they must not block. A Transport makes no decisions.
type Transport interface {
	ClientListener
	WorkerDialer
	Discovery
	ControlPlane
	PeerSender
	Start() // called once, before any other call from the event loop
	Close() // called once, when the event loop has ended; closes everything
}

// ClientListener accepts the connections of clients.
type ClientListener interface {
	Listen(s *Sentry) (address string, err error) // called before the event loop starts
	StopListening()                               // may be called from any goroutine
	StopReading()                                 // nothing is read from any connection after it returns
	UnwrittenConnections() int                    // number of connections with unwritten data
}

// ClientConn is a connection from a client or a peer.
type ClientConn interface {
	Answer(*wire.Answer) bool // false if the connection has ended
	Flush()
	IsClosed() bool
	Close(reason error)
	RemoteAddr() string
}

// WorkerDialer opens connections to workers.
type WorkerDialer interface {
	// Dial opens a connection. It may block for up to the timeout and is called on a goroutine of its own.
	Dial(handler WorkerConnHandler, address string, timeout time.Duration) (WorkerConn, error)
	// AnswersInOrder reports whether answers on a connection come in the order of its hand-offs. A hand-off that is
	// given up then closes its connection, so each gets a connection of its own while more may be opened.
	AnswersInOrder() bool
}

// WorkerConn is a connection to a worker.
type WorkerConn interface {
	SendHello()               // called once, before any other call
	SendWork(*wire.Work) bool // false if no byte of it will be sent
	Cancel(id uint64)
	AnswerStarted(id uint64) bool // whether a hand-off's answer has arrived in part, or could not be parsed
	// PutOffset returns how many bytes were written so far; after SendWork it is the offset at which that hand-off ends.
	PutOffset() int64
	MayHaveSent(offset int64) bool    // whether the worker may have received everything up to an offset
	IsAcknowledged(offset int64) bool // whether the worker's system has everything up to an offset
	SendProbe(id uint64)
	Flush()
	IsClosed() bool
	Close(reason error)
}

// Discovery requests the worker list. since is the version of the list that the sentry has.
type Discovery interface {
	RequestList(watch bool, since uint64) // with watch, updates from now on; otherwise the full list once
}

// ControlPlane sends votes to the control plane.
type ControlPlane interface {
	SendVote(*pb.Vote) bool // false if it was not sent
}

// PeerSender sends the module's messages to other sentries.
type PeerSender interface {
	SendMessage(logic.Message) (sent int) // returns the number of peers that it was sent to
}

// ClientHandler receives what arrives on one client's connection.
type ClientHandler struct {
	s *Sentry
	c *client
}

// AddClient registers a new connection as a client.
func (s *Sentry) AddClient(c ClientConn) ClientHandler {
	return ClientHandler{s, &client{id: logic.ClientID(s.lastClientID.Add(1)), link: c}}
}

// TransactionReceived passes on a transaction. Its profile and account must exist. Key, token and payload are copied.
func (h ClientHandler) TransactionReceived(m *wire.Ask) {
	ev := h.newEvent(m)
	ev.key = logic.Key(m.Key)
	h.enqueue(&ev, m)
}

// newEvent returns the event of a transaction, without its key, token and payload.
func (h ClientHandler) newEvent(m *wire.Ask) event {
	return event{kind: eventTransaction, client: h.c, id: m.ID, profile: m.Profile, account: m.Account,
		timeLeft: m.Timeout, expectedWork: m.ExpectedWork,
		isRetry: m.Retry}
}

// enqueue copies the deduplication token and the payload, whose memory the caller reuses, and puts the event into the
// inbox.
func (h ClientHandler) enqueue(ev *event, m *wire.Ask) {
	if len(m.DeduplicationToken)+len(m.Payload) > 0 {
		ev.buffer = getBuffer()
		buffer := append(append((*ev.buffer)[:0], m.DeduplicationToken...), m.Payload...)
		*ev.buffer = buffer
		ev.dedupToken, ev.payload = buffer[:len(m.DeduplicationToken):len(m.DeduplicationToken)], buffer[len(m.DeduplicationToken):]
	}
	if !h.s.inbox.put(ev, true) {
		h.refuse(ev)
	}
}

// refuse answers a transaction that came after the event loop had ended.
func (h ClientHandler) refuse(ev *event) {
	putBuffer(ev.buffer)
	if !h.s.killed.Load() && h.c.link.Answer(&wire.Answer{ID: ev.id, Outcome: uint32(pb.Outcome_NOT_TAKEN)}) {
		h.c.link.Flush()
	}
}

// ConnectionClosed reports that the connection has ended.
func (h ClientHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		h.s.metrics.protocolErrors.Inc()
		h.s.log.Warn().Str("from", h.c.link.RemoteAddr()).Err(reason).Msg("connection closed")
	}
	h.s.inbox.put(&event{kind: eventClientClosed, client: h.c}, false)
}

// WorkerConnHandler receives what arrives on one connection to a worker.
type WorkerConnHandler struct {
	s *Sentry
	c *pooledConn
}

// Ready reports that the connection may carry hand-offs.
func (h WorkerConnHandler) Ready() { h.s.inbox.put(&event{kind: eventConnReady, conn: h.c}, false) }

// HandOffEnded reports the end of a hand-off. The payload is copied.
func (h WorkerConnHandler) HandOffEnded(m *wire.Done) {
	ev := event{kind: eventWorkerAnswer, conn: h.c, id: m.ID, ending: m.Ending,
		inFlight: m.InFlight, busyShare: m.CPUUse, servedRate: m.ServedRate}
	if len(m.Payload) > 0 {
		ev.buffer = getBuffer()
		*ev.buffer = append((*ev.buffer)[:0], m.Payload...)
		ev.payload = *ev.buffer
	}
	h.s.inbox.put(&ev, false)
}

// ConnectionClosed reports that the connection has ended.
func (h WorkerConnHandler) ConnectionClosed(reason error) {
	if reason != nil && !errors.Is(reason, wire.ErrClosed) {
		h.s.metrics.protocolErrors.Inc()
		h.s.log.Warn().Str("worker", string(h.c.worker.id)).Err(reason).Msg("connection closed")
	}
	h.s.inbox.put(&event{kind: eventConnClosed, conn: h.c}, false)
}

// MaxPeerMessageBytes bounds a message between sentries.
const MaxPeerMessageBytes = 256

// ListReceived passes on a full list, an update of it, or its refusal. When the event loop reaches the event it calls
// stillWanted and ignores the report if that is false: the request that it answers may have been replaced since.
func (s *Sentry) ListReceived(m *pb.Report, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventList, report: m, stillWanted: stillWanted}, true)
}

// ListRequestFailed reports that a request for the list has failed or a watch has ended. busy means that discovery
// turned the request away.
func (s *Sentry) ListRequestFailed(busy bool, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventListRequestFailed, discoveryBusy: busy, stillWanted: stillWanted}, true)
}

// ListPartlyReceived reports that a list started to arrive some time ago and is not complete yet. The event loop
// ignores it if stillWanted returns false.
func (s *Sentry) ListPartlyReceived(ago time.Duration, stillWanted func() bool) {
	s.inbox.put(&event{kind: eventListPartlyReceived, startedAgo: logic.Micros(ago / time.Microsecond), stillWanted: stillWanted}, true)
}

// ListMayBeStale reports to the module that updates which discovery has sent since a time may not arrive, although
// discovery counts them as delivered. It must be called on the event loop.
func (s *Sentry) ListMayBeStale(since logic.Micros) {
	s.log.Warn().Dur("since_ms", toDuration(since-s.now)).Msg("worker list may be stale: updates that discovery has sent may not have arrived")
	s.deliver(input.Input{Kind: input.ListMayBeStale, StaleSince: since})
}

// Now returns the event loop's time. It must be called on the event loop.
func (s *Sentry) Now() logic.Micros { return s.now }

// ReleaseUpdated passes on a release status from the platform.
func (s *Sentry) ReleaseUpdated(m *pb.News) { s.inbox.put(&event{kind: eventRelease, status: m}, true) }

// PeerMessageReceived passes on a message of a peer.
func (s *Sentry) PeerMessageReceived(from logic.SentryID, body []byte) {
	s.inbox.put(&event{kind: eventPeerMessage, client: &client{position: from}, payload: body}, true)
}

// VotesTimedOut reports that no answers will come to some votes.
func (s *Sentry) VotesTimedOut(votes []uint64) {
	for _, id := range votes {
		s.inbox.put(&event{kind: eventVoteTimedOut, id: id}, false)
	}
}

// voteTimedOut reports to the module that a vote has timed out, unless it was answered or has timed out before.
func (s *Sentry) voteTimedOut(id uint64) {
	if s.pendingVotes[id] {
		delete(s.pendingVotes, id)
		s.deliver(input.Input{Kind: input.ReleaseUpdated, ReleaseStatus: logic.ReleaseStatus{VoteResult: logic.VoteTimedOut}})
	}
}

// frameTransport is the Transport for the frame protocol of package wire.
type frameTransport struct {
	*Sentry
	server *wire.Server
	limits wire.Limits // fixed at the start: a reload does not change them
}

// Listen opens the listener. Its limits are those of the settings at the start.
func (f *frameTransport) Listen(s *Sentry) (string, error) {
	f.limits = s.linkLimits()
	server, err := wire.Serve(s.settings.Endpoints.Listen, f.limits, s.accept)
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

// How long Close waits for clients to close their connections.
const (
	// A client that has acknowledged all data and does not close its connection at the end of the stream is closed
	// after this.
	lingerTime = 20 * time.Millisecond
	// A client that has sent data which was not read may not have read its answers yet, and gets more time.
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

func (f *frameTransport) Dial(handler WorkerConnHandler, address string, timeout time.Duration) (WorkerConn, error) {
	link, err := wire.Dial(address, timeout, f.limits,
		func(_ *wire.Link, kind wire.Kind, body []byte) error { return f.handleWorkerFrame(handler, kind, body) },
		func(_ *wire.Link, reason error) { handler.ConnectionClosed(reason) })
	if err != nil {
		return nil, err
	}
	return &frameWorkerConn{link, f.Sentry}, nil
}

// frameClientConn is a ClientConn on the frame protocol.
type frameClientConn struct{ *wire.Link }

func (f frameClientConn) Answer(a *wire.Answer) bool { return f.PutUnbounded(wire.KindAnswer, a) }

// frameWorkerConn is a WorkerConn on the frame protocol: answers come in any order, and the worker is sent
// cancellations.
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

func (f *frameWorkerConn) Cancel(id uint64)          { f.Put(wire.KindCancel, &wire.IDMessage{ID: id}) }
func (f *frameWorkerConn) AnswerStarted(uint64) bool { return false }
