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
	// The time from connecting to the first complete command. It also bounds the rest of a partial command once the client
	// is no longer read beyond that command.
	firstCommandTimeout = 2700 * time.Millisecond
	// The time from the first byte of a later command to its last.
	commandTimeout = 6 * time.Second
	// A connection without open commands may be closed after this time.
	idleTimeout = 10 * time.Second
	// Commands of one connection that may await their replies; further ones get BUSY.
	maxOpenCommands     = 64
	clientSweepInterval = 100 * time.Millisecond
	// When more bytes than this wait to be written to a client, reading from it pauses until half of this is left.
	maxUnwrittenBytes = 1 << 20
	// Number of replies over which the mean reply size is averaged, exponentially.
	meanReplyWindow = 16
	// Memory that a queued reply takes in addition to its text.
	replyOverheadBytes = 64
)

// clientConn is a client's connection. Replies are written in the order of the commands.
type clientConn struct {
	*wire.Link
	platform *Platform
	handler  sentry.ClientHandler
	reader   resp.Reader

	mu             sync.Mutex
	replies        []reply // one for each command without a written reply, the oldest first
	firstReplyID   uint64  // transaction ID that belongs to replies[0]; each reply has the next one
	lastUsed       time.Time
	partialSince   time.Time // start of the partial command, or of a connection without a complete one; else zero
	hasSentCommand bool      // a complete command has arrived
	closing        bool      // further commands are ignored
	overLimit      bool      // accepted beyond the client limit: closed once it has no open commands
	readStopped    bool      // nothing is read after the partial command
	finishing      bool      // all replies are queued for writing, and the close has begun
	payloadBuffer  []byte    // reused by handleCommand
	// progress of an idle client that has unread replies; used only on the poller
	readProgress wire.ReadProgress
}

// reply is the reply to one command, possibly still awaited.
type reply struct {
	requestID string // empty if the command is not a transaction
	text      []byte
	ready     bool
	counted   bool // its size is counted as buffered on the link

	skipped bool // not written, because of an injected fault
}

// size returns the memory that the reply takes, in bytes.
func (r *reply) size() int { return replyOverheadBytes + len(r.text) }

// Listen accepts clients of the sentry and returns the listener's address.
func (p *Platform) Listen(s *sentry.Sentry) (string, error) {
	p.sentry = s
	server, err := wire.ServeRaw(p.config.Load().Settings.Endpoints.Listen,
		wire.Limits{MaxFrameBytes: maxValueBytes, MaxPendingBytes: maxUnwrittenBytes, Budget: p.replyBudget},
		func(l *wire.Link) (wire.DataHandler, func(*wire.Link, error)) {
			now := time.Now()
			c := &clientConn{Link: l, platform: p, lastUsed: now, partialSince: now, reader: resp.Reader{Limits: commandLimits, CommandsOnly: true}}
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

// admit registers a new client. Beyond the client limit it closes another one: one that has sent no complete command if
// possible, otherwise the one that has been idle longest. It never closes a client that has open commands, unread data
// or unwritten replies, nor one that has sent part of a command after its first. If there is none to close, the new
// client is closed as soon as it has no open commands. It runs on the poller.
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
	// All others are in use. The new client may have sent a command already, so it is closed only after the reply.
	c.mu.Lock()
	c.overLimit = true
	c.mu.Unlock()
	wire.RunOnPoller(c.closeIfDue)
}

// shouldClose reports whether the client is to be closed once it has all its replies. The caller holds c.mu.
func (c *clientConn) shouldClose() bool { return c.closing || c.overLimit || c.platform.closingAll() }

// listClients returns the connected clients.
func (p *Platform) listClients() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.clients))
}

// removeClient unregisters a client and releases the ids of its open requests.
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

// sweepClientsUntilDone closes idle clients periodically and, while the sentry drains, all clients. It also logs steps
// of the wall clock.
func (p *Platform) sweepClientsUntilDone() {
	for range p.ticks(clientSweepInterval) {
		if step := p.wallClock.DetectStep(); step != 0 {
			p.log.Warn().Dur("by_ms", step).Int("steps", p.wallClock.StepCount()).Msg("the wall clock was stepped")
		}
		p.sweepClients()
	}
}

// isIdle reports whether the client may be closed for inactivity, provided that no unread data has arrived by then.
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

// closeIfDue closes a client that is idle or that shouldClose selects. It runs on the poller, where every command that
// was read is in c.replies; a command that arrives later stays unread, so the client can safely send it again. A
// command that is partial or unread keeps its time limit.
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
	if !c.CloseIfIdle(wire.ErrClosed, overdue) && c.PeerStalled(&c.readProgress, now) {
		c.Close(wire.ErrSlowReader)
	}
}

// read handles the commands that have arrived. It reads no further once the connection is closing.
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
			c.replyWithLine("-ERR Protocol error: "+err.Error(), true)
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
		if openCommands >= maxOpenCommands { // it was read, so it gets a reply; closing would also drop the commands after it
			c.replyWithLine("-BUSY", false)
			data = rest
			continue
		}
		c.handleCommand(message)
		data = rest
	}
	return nil, nil
}

// replyWithLine queues a one-line reply after those of earlier commands. With closeAfter it then closes the connection.
func (c *clientConn) replyWithLine(line string, closeAfter bool) {
	c.mu.Lock()
	c.replies = append(c.replies, reply{text: resp.AppendLine(nil, resp.Kind(line[0]), line[1:]), ready: true})
	c.countBuffered(&c.replies[len(c.replies)-1])
	if closeAfter {
		c.closing = true
	}
	c.writeReady()
	c.mu.Unlock()
	c.Flush()
}

// handleCommand replies to a command or passes its transaction to the sentry.
func (c *clientConn) handleCommand(message []resp.Value) {
	switch string(message[1].Text) {
	case "Q.ASK", "Q.DO":
	case "PING":
		c.replyWithLine("+PONG", false)
		return
	case "CLIENT", "SELECT":
		c.replyWithLine("+OK", false)
		return
	case "QUIT":
		c.replyWithLine("+OK", true)
		return
	default:
		c.replyWithLine("-ERR unknown command", false)
		return
	}
	parsed, problem := c.platform.config.Load().parseCommand(message, c.payloadBuffer[:0])
	if problem != "" {
		c.replyWithLine("-ERR "+problem, false)
		return
	}
	c.payloadBuffer = parsed.transaction.Payload
	if !c.platform.hasReplyBudget() {
		c.replyWithLine("-BUSY", false)
		return
	}
	id := string(parsed.requestID)
	if !c.platform.claimRequestID(id) {
		c.replyWithLine("-ERR found the id of an open request, expected a new one", false)
		return
	}
	c.mu.Lock()
	parsed.transaction.ID = c.firstReplyID + uint64(len(c.replies))
	c.replies = append(c.replies, reply{requestID: id})
	c.mu.Unlock()
	c.handler.TransactionReceived(&parsed.transaction)
}

// hasReplyBudget reports whether the memory for replies suffices for one more request. Replies that wait to be written
// count with their size, those of open requests and of the new one with the mean size.
func (p *Platform) hasReplyBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.openRequests)+1)*p.meanReplyBytes <= p.replyBudget.Remaining()
}

// finishRequest releases the id of an open request and updates the mean reply size.
func (p *Platform) finishRequest(id string, replyBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openRequests, id)
	p.meanReplyBytes += (int64(replyBytes) - p.meanReplyBytes) / meanReplyWindow
}

// claimRequestID registers the id of a request. It returns false if a request with that id is open.
func (p *Platform) claimRequestID(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.openRequests[id]; open {
		return false
	}
	p.openRequests[id] = struct{}{}
	return true
}

// Answer queues the reply to a transaction and writes it once all earlier commands have their replies. It returns false
// if the connection has ended or awaits no such reply.
func (c *clientConn) Answer(a *wire.Answer) bool {
	c.mu.Lock()
	index := a.ID - c.firstReplyID
	if index >= uint64(len(c.replies)) || c.replies[index].ready || c.IsClosed() {
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
	case pb.Outcome_NOT_TAKEN: // no hand-off was made, so a retry is safe
		r.text = resp.AppendLine(r.text, resp.Error, "BUSY")
	default:
		r.text = resp.AppendLine(r.text, resp.Error, "ERR written off")
	}
	c.countBuffered(r)
	size := len(r.text)
	c.lastUsed = time.Now()
	written := c.writeReady()
	closes := len(c.replies) == 0 && !c.readStopped && c.shouldClose()
	c.mu.Unlock()
	c.platform.finishRequest(id, size)
	if closes {
		c.WhenWritten(func() { wire.RunOnPoller(c.closeIfDue) })
	}
	c.finishIfSettled()
	return written
}

// countBuffered counts a reply that has to wait for earlier ones as buffered on the link. The caller holds c.mu.
func (c *clientConn) countBuffered(r *reply) {
	if r != &c.replies[0] {
		r.counted = true
		c.AddBuffered(r.size())
	}
}

// writeReady passes the leading replies that are ready to the link. It returns false if the link has closed. The caller
// holds c.mu.
func (c *clientConn) writeReady() (ok bool) {
	written := 0
	ok = true
	for written < len(c.replies) && c.replies[written].ready {
		c.injectFault(c.replies[written:])
		r := &c.replies[written]
		if r.counted {
			c.AddBuffered(-r.size())
		}
		if !r.skipped {
			ok = c.PutRawUnbounded(r.text) && ok
		}
		written++
	}
	c.firstReplyID += uint64(written)
	c.replies = slices.Delete(c.replies, 0, written)
	return ok
}
