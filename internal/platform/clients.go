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
	maxOpenCommands = 64
	sweepEvery      = 100 * time.Millisecond
	// A client for which more waits is read no further until half of it has gone, in bytes.
	maxUnwritten = 1 << 20
	// Over how many answers the mean of their bytes is taken.
	meanAnswerOver = 16
	// What an entry of a client's queue takes beside its text, in bytes.
	replyOverhead = 64
)

// clientConn is one client's connection. Its commands are answered in their order.
type clientConn struct {
	*wire.Link
	p      *Platform
	ear    sentry.ClientHandler
	reader resp.Reader

	mu           sync.Mutex
	queue        []reply // the first unanswered one first
	first        uint64  // number of that one
	used         time.Time
	partialSince time.Time // the command in hand, or the connection where none has come whole
	hasSent      bool      // a whole command has come
	closing      bool      // what comes is not taken any more
	overLimit    bool      // it came beyond the bound: it closes once nothing is owed on it
	stopped      bool      // nothing is read beyond the command in part
	ending       bool      // nothing is owed on it, and its end has begun
	scratch      []byte
	// of a client that is idle and has yet to take an answer; the poller's
	progress wire.ReadProgress
}

type reply struct {
	id   string // of the transaction, empty if it is none
	text []byte
	done bool
	held bool // its link was told of it

	skipped bool // it is not to be written: a breach on purpose
}

func (r *reply) size() int { return replyOverhead + len(r.text) }

// Open listens for clients.
func (p *Platform) Listen(s *sentry.Sentry) (string, error) {
	p.sentry = s
	server, err := wire.ServeRaw(p.post.Load().Settings.Endpoints.Listen, wire.Limits{MaxFrameBytes: mostValue, MaxPendingBytes: maxUnwritten, Budget: p.budget},
		func(l *wire.Link) (wire.DataHandler, func(*wire.Link, error)) {
			now := time.Now()
			c := &clientConn{Link: l, p: p, used: now, partialSince: now, reader: resp.Reader{Limits: commandBounds, CommandsOnly: true}}
			c.ear = s.AddClient(c)
			p.admit(c)
			return c.read, func(*wire.Link, error) {
				p.forget(c)
				c.ear.ConnectionClosed(nil)
			}
		})
	if err != nil {
		return "", err
	}
	p.server = server
	go p.watchClients()
	return server.Address, nil
}

// admit books a client, and closes one where there are too many: one that has said nothing, else the longest idle; never one
// that has sent something which is not answered, nor one whose answer waits. If there is none, the new one is let go as soon as
// nothing is owed on it. It runs on the poller.
func (p *Platform) admit(c *clientConn) {
	p.mu.Lock()
	p.clients[c] = struct{}{}
	over := len(p.clients) > p.post.Load().clientLimit()
	p.mu.Unlock()
	if !over {
		return
	}
	type candidate struct {
		*clientConn
		hasSent bool
		used    time.Time
	}
	var out []candidate
	for _, x := range p.clientList() {
		x.mu.Lock()
		if x != c && !x.closing && len(x.queue) == 0 && (x.partialSince.IsZero() || !x.hasSent) {
			out = append(out, candidate{x, x.hasSent, x.used})
		}
		x.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b candidate) int {
		if a.hasSent != b.hasSent {
			return map[bool]int{false: -1, true: 1}[a.hasSent]
		}
		return a.used.Compare(b.used)
	})
	for _, x := range out {
		if x.CloseIfIdle(wire.ErrClosed, !x.hasSent) {
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
func (c *clientConn) shouldClose() bool { return c.closing || c.overLimit || c.p.drained() }

// clientList lists the clients.
func (p *Platform) clientList() []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.clients))
}

func (p *Platform) forget(c *clientConn) {
	c.mu.Lock()
	ids := make([]string, 0, len(c.queue))
	for _, r := range c.queue {
		if r.id != "" && !r.done {
			ids = append(ids, r.id)
		}
	}
	c.closing = true
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, c)
	for _, id := range ids {
		delete(p.ids, id)
	}
}

// watchClients has those clients closed that say nothing and, once the sentry is to stop, all of them.
func (p *Platform) watchClients() {
	for range p.ticks(sweepEvery) {
		if step := p.wall.DetectStep(); step != 0 {
			p.log.Warn().Dur("by_ms", step).Int("steps", p.wall.StepCount()).Msg("the wall clock was stepped")
		}
		p.sweepClients()
	}
}

// idle says whether a client may be closed if nothing has come of it by then.
func (c *clientConn) idle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing || len(c.queue) > 0:
		return false
	case c.partialSince.IsZero():
		return now.Sub(c.used) > idleTimeout
	case !c.hasSent:
		return now.Sub(c.partialSince) > firstCommandTimeout
	}
	return now.Sub(c.partialSince) > commandTimeout
}

// closeIfDue closes a client that is idle or is to leave, on the poller: there a command that was read is in the queue, and one that
// comes later is not read, so that the client sends it again. One in part, or unread, is given its time.
func (c *clientConn) closeIfDue() {
	c.mu.Lock()
	closes := c.shouldClose()
	c.mu.Unlock()
	if closes {
		c.stopReading()
		return
	}
	now := time.Now()
	if !c.idle(now) {
		return
	}
	c.mu.Lock()
	late := !c.partialSince.IsZero() && now.Sub(c.partialSince) > firstCommandTimeout
	c.mu.Unlock()
	if !c.CloseIfIdle(wire.ErrClosed, late) && c.PeerStalled(&c.progress, now) {
		c.Close(wire.ErrSlowReader)
	}
}

// read takes the commands that have come. A client that is to leave is read no further than that.
func (c *clientConn) read(_ *wire.Link, data []byte) ([]byte, error) {
	defer c.hasRead()
	for len(data) > 0 {
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if closing {
			return nil, nil
		}
		m, rest, ok, err := c.reader.Next(data)
		if err != nil {
			c.refuse("-ERR Protocol error: "+err.Error(), true)
			return nil, nil
		}
		c.mu.Lock()
		now := time.Now()
		if !ok {
			if c.partialSince.IsZero() {
				c.partialSince = now
			}
			c.mu.Unlock()
			return data, nil
		}
		c.used, c.partialSince, c.hasSent = now, time.Time{}, true
		behind := len(c.queue)
		c.mu.Unlock()
		if behind >= maxOpenCommands { // read, so it is owed an answer; a close would lose those behind it too
			c.refuse("-BUSY", false)
			data = rest
			continue
		}
		c.command(m)
		data = rest
	}
	return nil, nil
}

// refuse answers with a line, in its turn, and may close then.
func (c *clientConn) refuse(line string, end bool) {
	c.mu.Lock()
	c.queue = append(c.queue, reply{text: resp.AppendLine(nil, resp.Kind(line[0]), line[1:]), done: true})
	c.hold(&c.queue[len(c.queue)-1])
	if end {
		c.closing = true
	}
	c.write()
	c.mu.Unlock()
	c.Flush()
}

func (c *clientConn) command(m []resp.Value) {
	switch string(m[1].Text) {
	case "Q.ASK", "Q.DO":
	case "PING":
		c.refuse("+PONG", false)
		return
	case "CLIENT", "SELECT":
		c.refuse("+OK", false)
		return
	case "QUIT":
		c.refuse("+OK", true)
		return
	default:
		c.refuse("-ERR unknown command", false)
		return
	}
	x, wrong := c.p.post.Load().parse(m, c.scratch[:0])
	if wrong != "" {
		c.refuse("-ERR "+wrong, false)
		return
	}
	c.scratch = x.ask.Payload
	if !c.p.fits() {
		c.refuse("-BUSY", false)
		return
	}
	id := string(x.id)
	if !c.p.claim(id) {
		c.refuse("-ERR found the id of an open request, expected a new one", false)
		return
	}
	c.mu.Lock()
	x.ask.ID = c.first + uint64(len(c.queue))
	c.queue = append(c.queue, reply{id: id})
	c.mu.Unlock()
	c.ear.TransactionReceived(&x.ask)
}

// fits says whether the answers that wait for clients and those that are to be expected leave room for one more.
func (p *Platform) fits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.ids)+1)*p.meanAnswer <= p.budget.Remaining()
}

// answered forgets an open id, and learns how great answers are.
func (p *Platform) answered(id string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
	p.meanAnswer += (int64(bytes) - p.meanAnswer) / meanAnswerOver
}

// claim books an id that is not in use.
func (p *Platform) claim(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, used := p.ids[id]; used {
		return false
	}
	p.ids[id] = struct{}{}
	return true
}

// Answer answers a transaction; what was asked before it goes first.
func (c *clientConn) Answer(a *wire.Answer) bool {
	c.mu.Lock()
	at := a.ID - c.first
	if at >= uint64(len(c.queue)) || c.queue[at].done || c.Dead() {
		c.mu.Unlock()
		return false
	}
	r := &c.queue[at]
	id := r.id
	r.done = true
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
	c.hold(r)
	size := len(r.text)
	c.used = time.Now()
	good := c.write()
	idle := len(c.queue) == 0 && !c.stopped && c.shouldClose()
	c.mu.Unlock()
	c.p.answered(id, size)
	if idle {
		c.WhenWritten(func() { wire.RunOnPoller(c.closeIfDue) })
	}
	c.endIfSettled()
	return good
}

// hold tells the link of an answer that has to wait for those before it. The lock is held.
func (c *clientConn) hold(r *reply) {
	if r != &c.queue[0] {
		r.held = true
		c.AddBuffered(r.size())
	}
}

// write gives the link the answers whose turn it is. The lock is held.
func (c *clientConn) write() (good bool) {
	n := 0
	good = true
	for n < len(c.queue) && c.queue[n].done {
		c.breachBefore(c.queue[n:])
		r := &c.queue[n]
		if r.held {
			c.AddBuffered(-r.size())
		}
		if !r.skipped {
			good = c.PutRawUnbounded(r.text) && good
		}
		n++
	}
	c.first += uint64(n)
	c.queue = slices.Delete(c.queue, 0, n)
	return good
}
