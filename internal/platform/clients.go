package platform

import (
	"maps"
	"slices"
	"sync"
	"time"

	"scalechute/internal/memory"
	"scalechute/internal/resp"
	"scalechute/internal/sentry"
	"scalechute/internal/wire"
)

const (
	// The time from connecting to the first complete command. It also bounds the rest of a partial command once the client
	// is no longer read beyond that command.
	firstCommandTimeout = 2500 * time.Millisecond
	// The time from the first byte of a later command to its last.
	commandTimeout = 6 * time.Second
	// A connection without open commands may be closed after this time.
	idleTimeout = 10 * time.Second
	// Commands of one connection that may await their replies; further ones get BUSY.
	maxOpenCommands     = 64
	clientSweepInterval = 100 * time.Millisecond
	// When more bytes than this wait to be written to a client, reading from it pauses until half of this is left.
	maxUnwrittenBytes = 1 << 20
)

// clientConn is a client's connection. Replies are written in the order of the commands.
type clientConn struct {
	*wire.Link
	platform *Platform
	handler  sentry.ClientHandler
	reader   resp.Reader

	mu             sync.Mutex
	replies        []reply // one for each open command, the oldest first
	firstReplyID   uint64  // transaction ID that belongs to replies[0]; each reply has the next one
	lifecycle      lifecycle
	lastUsed       time.Time
	partialSince   time.Time // start of the partial command, or of a connection without a complete one; else zero
	hasSentCommand bool      // a complete command has arrived
	overLimit      bool      // accepted beyond the client limit: closed once it has no open commands
	requestBytes   int64     // memory reserved for its open requests
	waitingSince   time.Time // since when replies have been waiting for room on the link, zero if none does
	awaitsRoom     bool      // a goroutine passes them on as there is room
	// progress of an idle client that has unread replies; used only on the poller
	readProgress wire.ReadProgress
}

// Listen accepts clients of the sentry and returns the listener's address.
func (p *Platform) Listen(s *sentry.Sentry) (string, error) {
	p.sentry = s
	server, err := wire.ServeRaw(p.config.Load().Settings.Endpoints.Listen,
		wire.Limits{MaxFrameBytes: maxValueBytes, MaxPendingBytes: maxUnwrittenBytes, Budget: p.memory.Budget(memory.Replies), Descriptors: p.descriptors, Partials: p.partialCommands},
		func(l *wire.Link) (wire.DataHandler, func(*wire.Link, error)) {
			now := time.Now()
			c := &clientConn{Link: l, platform: p, lastUsed: now, partialSince: now, reader: resp.Reader{Limits: commandLimits, CommandsOnly: true}}
			c.handler = s.AddClient(c)
			c.OnPartialGivenUp(c.refusePartialCommand)
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
		if other != c && other.lifecycle.isReading() && other.lifecycle.openCommands == 0 && (other.partialSince.IsZero() || !other.hasSentCommand) {
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
func (c *clientConn) shouldClose() bool {
	return c.lifecycle.ignoresInput || c.overLimit || c.platform.closingAll() || c.platform.isDraining() && c.isBehind()
}

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
	for i := range c.replies {
		r := &c.replies[i]
		if r.requestID != "" && !r.ready {
			ids = append(ids, r.requestID)
		}
		c.releaseMemory(r)
	}
	c.lifecycle.close()
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
	case c.lifecycle.ignoresInput || c.lifecycle.state == stateClosed || c.lifecycle.openCommands > 0:
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
