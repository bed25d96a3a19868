package platform

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"scalechute/internal/resp"
	"scalechute/internal/sentry"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
)

const (
	// A client that has sent no whole command so long after connecting, or after beginning one, gets a close.
	firstCommandTimeout = 2700 * time.Millisecond
	// One that has sent commands may take so long over another.
	commandTimeout = 6 * time.Second
	// A connection with nothing open may be closed after this.
	idleTimeout = 10 * time.Second
	// Commands of one connection that wait for their answers at the most.
	maxOpenCommands     = 64
	clientSweepInterval = 100 * time.Millisecond
	// A client for which more waits is read no further until half of it has gone, in bytes.
	maxUnwrittenBytes = 1 << 20
	// Over how many answers the mean of their bytes is taken.
	meanReplyWindow = 16
	// What an entry of a client's queue takes beside its text, in bytes.
	replyOverheadBytes = 64
)

// clientConn is one client's connection. Its commands are answered in their order.
type clientConn struct {
	*wire.Link
	p       *Platform
	handler sentry.ClientHandler
	reader  resp.Reader

	mu             sync.Mutex
	replies        []reply // the first unanswered one first
	firstNumber    uint64  // number of that one
	lastUsed       time.Time
	partialSince   time.Time // the command in hand, or the connection where none has come whole
	hasSentCommand bool      // a whole command has come
	closing        bool      // what comes is not taken any more
	overLimit      bool      // it came beyond the bound: it closes once nothing is owed on it
	readStopped    bool      // nothing is read beyond the command in part
	finishing      bool      // nothing is owed on it, and its end has begun
	payloadBuffer  []byte
	// of a client that is idle and has yet to take an answer; the poller's
	writeProgress wire.ReadProgress
}

type reply struct {
	requestID string // of the transaction, empty if it is none
	text      []byte
	ready     bool
	reserved  bool // its link was told of it

	skipped bool // it is not to be written: a breach on purpose
}

func (r *reply) size() int { return replyOverheadBytes + len(r.text) }

// Open listens for clients.
func (p *Platform) Listen(s *sentry.Sentry) (string, error) {
	p.sentry = s
	server, err := wire.ServeRaw(p.config.Load().Settings.Endpoints.Listen, wire.Limits{MaxFrameBytes: maxValueBytes, MaxPendingBytes: maxUnwrittenBytes, Budget: p.replyBudget},
		func(l *wire.Link) (wire.DataHandler, func(*wire.Link, error)) {
			now := time.Now()
			c := &clientConn{Link: l, p: p, lastUsed: now, partialSince: now, reader: resp.Reader{Limits: commandLimits, CommandsOnly: true}}
			c.handler = s.AddClient(c)
			p.admit(c)
			return c.read, func(*wire.Link, error) {
				p.removeClient(c)
				c.handler.ConnectionClosed(nil)
			}
		})
	if err != nil {
		return "", err
	}
	p.server = server
	go p.sweepClientsUntilDone()
	return server.Address, nil
}

// admit books a client, and closes one where there are too many: one that has said nothing, else the longest idle; never one
// that has sent something which is not answered, nor one whose answer waits. If there is none, the new one is let go as soon as
// nothing is owed on it. It runs on the poller.
func (p *Platform) admit(c *clientConn) {
	p.mu.Lock()
	p.clients[c] = struct{}{}
	overLimit := len(p.clients) > p.config.Load().maxClients()
	p.mu.Unlock()
	if !overLimit {
		return
	}
	type candidate struct {
		*clientConn
		hasSent bool
		used    time.Time
	}
	var candidates []candidate
	for _, other := range p.listClients() {
		other.mu.Lock()
		if other != c && !other.closing && len(other.replies) == 0 && (other.partialSince.IsZero() || !other.hasSentCommand) {
			candidates = append(candidates, candidate{other, other.hasSentCommand, other.lastUsed})
		}
		other.mu.Unlock()
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.hasSent != b.hasSent {
			return map[bool]int{false: -1, true: 1}[a.hasSent]
		}
		return a.used.Compare(b.used)
	})
	for _, other := range candidates {
		if other.CloseIfIdle(wire.ErrClosed, !other.hasSent) {
			return
		}
	}
	// All have something open. What this one may have sent is owed an answer: it closes once that is given.
	c.mu.Lock()
	c.overLimit = true
	c.mu.Unlock()
	wire.RunOnPoller(c.closeIfDue)
}

// shouldClose says whether a client is to close as soon as nothing is owed to it. The lock is held.
func (c *clientConn) shouldClose() bool { return c.closing || c.overLimit || c.p.shouldCloseClients() }

// clientList lists the clients.
func (p *Platform) listClients() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.clients))
}

func (p *Platform) removeClient(c *clientConn) {
	c.mu.Lock()
	ids := make([]string, 0, len(c.replies))
	for _, r := range c.replies {
		if r.requestID != "" && !r.ready {
			ids = append(ids, r.requestID)
		}
	}
	c.closing = true
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, c)
	for _, id := range ids {
		delete(p.openRequests, id)
	}
}

// watchClients has those clients closed that say nothing and, once the sentry is to stop, all of them.
func (p *Platform) sweepClientsUntilDone() {
	for range p.ticks(clientSweepInterval) {
		if step := p.wallClock.DetectStep(); step != 0 {
			p.log.Warn().Dur("by_ms", step).Int("steps", p.wallClock.StepCount()).Msg("the wall clock was stepped")
		}
		p.sweepClients()
	}
}

// idle says whether a client may be closed if nothing has come of it by then.
func (c *clientConn) isIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing || len(c.replies) > 0:
		return false
	case c.partialSince.IsZero():
		return now.Sub(c.lastUsed) > idleTimeout
	case !c.hasSentCommand:
		return now.Sub(c.partialSince) > firstCommandTimeout
	}
	return now.Sub(c.partialSince) > commandTimeout
}

// closeIfDue closes a client that is idle or is to leave, on the poller: there a command that was read is in the queue, and one that
// comes later is not read, so that the client sends it again. One in part, or unread, is given its time.
func (c *clientConn) closeIfDue() {
	c.mu.Lock()
	shouldClose := c.shouldClose()
	c.mu.Unlock()
	if shouldClose {
		c.stopReading()
		return
	}
	now := time.Now()
	if !c.isIdle(now) {
		return
	}
	c.mu.Lock()
	overdue := !c.partialSince.IsZero() && now.Sub(c.partialSince) > firstCommandTimeout
	c.mu.Unlock()
	if !c.CloseIfIdle(wire.ErrClosed, overdue) && c.PeerStalled(&c.writeProgress, now) {
		c.Close(wire.ErrSlowReader)
	}
}

// read takes the commands that have come. A client that is to leave is read no further than that.
func (c *clientConn) read(_ *wire.Link, data []byte) ([]byte, error) {
	defer c.afterRead()
	for len(data) > 0 {
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return nil, nil
		}
		message, rest, complete, err := c.reader.Next(data)
		if err != nil {
			c.replyLine("-ERR Protocol error: "+err.Error(), true)
			return nil, nil
		}
		c.mu.Lock()
		now := time.Now()
		if !complete {
			if c.partialSince.IsZero() {
				c.partialSince = now
			}
			c.mu.Unlock()
			return data, nil
		}
		c.lastUsed, c.partialSince, c.hasSentCommand = now, time.Time{}, true
		openCommands := len(c.replies)
		c.mu.Unlock()
		if openCommands >= maxOpenCommands { // read, so it is owed an answer; a close would lose those behind it too
			c.replyLine("-BUSY", false)
			data = rest
			continue
		}
		c.handleCommand(message)
		data = rest
	}
	return nil, nil
}

// refuse answers with a line, in its turn, and may close then.
func (c *clientConn) replyLine(line string, closeAfter bool) {
	c.mu.Lock()
	c.replies = append(c.replies, reply{text: resp.AppendLine(nil, resp.Kind(line[0]), line[1:]), ready: true})
	c.reserve(&c.replies[len(c.replies)-1])
	if closeAfter {
		c.closing = true
	}
	c.writeReady()
	c.mu.Unlock()
	c.Flush()
}

func (c *clientConn) handleCommand(message []resp.Value) {
	switch string(message[1].Text) {
	case "Q.ASK", "Q.DO":
	case "PING":
		c.replyLine("+PONG", false)
		return
	case "CLIENT", "SELECT":
		c.replyLine("+OK", false)
		return
	case "QUIT":
		c.replyLine("+OK", true)
		return
	default:
		c.replyLine("-ERR unknown command", false)
		return
	}
	parsed, problem := c.p.config.Load().parseCommand(message, c.payloadBuffer[:0])
	if problem != "" {
		c.replyLine("-ERR "+problem, false)
		return
	}
	c.payloadBuffer = parsed.transaction.Payload
	if !c.p.hasReplyBudget() {
		c.replyLine("-BUSY", false)
		return
	}
	id := string(parsed.requestID)
	if !c.p.claimRequestID(id) {
		c.replyLine("-ERR found the id of an open request, expected a new one", false)
		return
	}
	c.mu.Lock()
	parsed.transaction.ID = c.firstNumber + uint64(len(c.replies))
	c.replies = append(c.replies, reply{requestID: id})
	c.mu.Unlock()
	c.handler.TransactionReceived(&parsed.transaction)
}

// fits says whether the answers that wait for clients and those that are to be expected leave room for one more.
func (p *Platform) hasReplyBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.openRequests)+1)*p.meanReplyBytes <= p.replyBudget.Remaining()
}

// answered forgets an open id, and learns how great answers are.
func (p *Platform) finishRequest(id string, replyBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openRequests, id)
	p.meanReplyBytes += (int64(replyBytes) - p.meanReplyBytes) / meanReplyWindow
}

// claim books an id that is not in use.
func (p *Platform) claimRequestID(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.openRequests[id]; open {
		return false
	}
	p.openRequests[id] = struct{}{}
	return true
}

// Answer answers a transaction; what was asked before it goes first.
func (c *clientConn) Answer(a *wire.Answer) bool {
	c.mu.Lock()
	index := a.ID - c.firstNumber
	if index >= uint64(len(c.replies)) || c.replies[index].ready || c.Dead() {
		c.mu.Unlock()
		return false
	}
	r := &c.replies[index]
	id := r.requestID
	r.ready = true
	switch pb.Outcome(a.Outcome) {
	case pb.Outcome_SATISFIED:
		r.text = resp.AppendBulkString(r.text, a.Payload)
	case pb.Outcome_DEFERRED:
		line := "BUSY"
		if a.RetryAfter > 0 {
			line += " " + strconv.FormatUint(max(1, a.RetryAfter/1000), 10)
		}
		r.text = resp.AppendLine(r.text, resp.Error, line)
	case pb.Outcome_NOT_TAKEN: // nothing of it was handed off
		r.text = resp.AppendLine(r.text, resp.Error, "BUSY")
	default:
		r.text = resp.AppendLine(r.text, resp.Error, "ERR written off")
	}
	c.reserve(r)
	size := len(r.text)
	c.lastUsed = time.Now()
	written := c.writeReady()
	closes := len(c.replies) == 0 && !c.readStopped && c.shouldClose()
	c.mu.Unlock()
	c.p.finishRequest(id, size)
	if closes {
		c.WhenWritten(func() { wire.RunOnPoller(c.closeIfDue) })
	}
	c.finishIfSettled()
	return written
}

// hold tells the link of an answer that has to wait for those before it. The lock is held.
func (c *clientConn) reserve(r *reply) {
	if r != &c.replies[0] {
		r.reserved = true
		c.AddBuffered(r.size())
	}
}

// write gives the link the answers whose turn it is. The lock is held.
func (c *clientConn) writeReady() (ok bool) {
	written := 0
	ok = true
	for written < len(c.replies) && c.replies[written].ready {
		c.applyBreach(c.replies[written:])
		r := &c.replies[written]
		if r.reserved {
			c.AddBuffered(-r.size())
		}
		if !r.skipped {
			ok = c.PutRawUnbounded(r.text) && ok
		}
		written++
	}
	c.firstNumber += uint64(written)
	c.replies = slices.Delete(c.replies, 0, written)
	return ok
}
