package platform

import (
	"slices"
	"strconv"
	"time"

	"scalechute/internal/memory"
	"scalechute/internal/resp"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
)

const (
	// Number of replies over which the mean reply size is averaged, exponentially.
	meanReplyWindow = 16
	// Memory that a queued reply takes in addition to its text.
	replyOverheadBytes = 64
	// A reply of at most this size is passed on to the link even if the link has no room.
	smallReplyBytes = 128
	// A client counts as behind once replies have been waiting for it for this long.
	behindAfter = 40 * time.Millisecond
	// Delays before it is checked again whether the link has room; the delay doubles up to the maximum.
	minRoomBackoff = 500 * time.Microsecond
	maxRoomBackoff = 20 * time.Millisecond
	// A client whose window has been too small for this long, without a change in what it has taken, is taken to have a
	// smaller one for good.
	smallWindowAfter = 250 * time.Millisecond
)

// reply is the reply to one command, possibly still awaited.
type reply struct {
	requestID string // empty if the command is not a transaction
	memory    int64  // reserved for the request while it is open
	text      []byte
	ready     bool
	counted   bool // its size is counted as buffered on the link

	skipped bool // not written, because of an injected fault
}

// size returns the memory that the reply takes, in bytes.
func (r *reply) size() int { return replyOverheadBytes + len(r.text) }

// replyWithLine replies to an open command with one line.
func (c *clientConn) replyWithLine(id uint64, line string) {
	c.mu.Lock()
	r := c.awaitedReply(id)
	if r == nil {
		c.mu.Unlock()
		return
	}
	c.releaseMemory(r)
	r.text = resp.AppendLine(r.text, resp.Kind(line[0]), line[1:])
	_, finished := c.completeReply(r)
	c.mu.Unlock()
	c.Flush()
	if finished {
		c.endStream()
	}
}

// Answer queues the reply to a transaction and writes it once all earlier commands have their replies. It returns false
// if the connection has ended or awaits no such reply.
func (c *clientConn) Answer(a *wire.Answer) bool {
	c.mu.Lock()
	r := c.awaitedReply(a.ID)
	if r == nil {
		c.mu.Unlock()
		return false
	}
	r.text = appendOutcome(r.text, a)
	requestID, size := r.requestID, len(r.text)
	c.releaseMemory(r)
	c.lastUsed = time.Now()
	written, finished := c.completeReply(r)
	closes := c.lifecycle.isReading() && c.lifecycle.openCommands == 0 && c.shouldClose()
	c.mu.Unlock()
	c.platform.finishRequest(requestID, size)
	if closes {
		c.WhenWritten(func() { wire.RunOnPoller(c.closeIfDue) })
	}
	if finished {
		c.endStream()
	}
	return written
}

// releaseMemory gives back the memory that was reserved for the request of a reply. The caller holds c.mu.
func (c *clientConn) releaseMemory(r *reply) {
	c.requestBytes -= r.memory
	c.platform.memory.Budget(memory.Requests).Add(-r.memory)
	r.memory = 0
}

// appendOutcome appends a transaction's answer in the form in which the client gets it.
func appendOutcome(text []byte, a *wire.Answer) []byte {
	switch pb.Outcome(a.Outcome) {
	case pb.Outcome_SATISFIED:
		return resp.AppendBulkString(text, a.Payload)
	case pb.Outcome_DEFERRED:
		line := "BUSY"
		if a.RetryAfter > 0 {
			line += " " + strconv.FormatUint(max(1, a.RetryAfter/1000), 10)
		}
		return resp.AppendLine(text, resp.Error, line)
	case pb.Outcome_NOT_TAKEN: // no hand-off was made, so a retry is safe
		return resp.AppendLine(text, resp.Error, "BUSY")
	}
	return resp.AppendLine(text, resp.Error, "ERR written off")
}

// awaitedReply returns the reply with an ID, or nil if the connection has ended or awaits no such reply. The caller
// holds c.mu.
func (c *clientConn) awaitedReply(id uint64) *reply {
	index := id - c.firstReplyID
	if index >= uint64(len(c.replies)) || c.replies[index].ready || c.IsClosed() {
		return nil
	}
	return &c.replies[index]
}

// completeReply marks a reply as ready, and passes on those that have to wait for no other. written is false if the link
// has closed, and finished reports whether the stream is to end now. The caller holds c.mu.
func (c *clientConn) completeReply(r *reply) (written, finished bool) {
	r.ready = true
	if r != &c.replies[0] || !c.mayPassOn(r) {
		r.counted = true
		c.AddBuffered(r.size())
	}
	return c.writeReady()
}

// mayPassOn reports whether a reply whose turn it is may be passed on to the link. A large one is held back until the
// client's kernel takes it at once, so that none is on its way to a client that reads late when the connection closes,
// and the drain can still replace it. If such replies use up the reply budget, they are passed on all the same, since the
// kernel has room for some. The caller holds c.mu.
func (c *clientConn) mayPassOn(r *reply) bool {
	return len(r.text) <= smallReplyBytes || c.HasWindowFor(len(r.text)) || c.platform.memory.Budget(memory.Replies).Remaining() <= 0
}

// writeReady passes the leading replies that are ready to the link, as far as it has room. written is false if the link
// has closed, and finished reports whether the stream is to end now. The caller holds c.mu.
func (c *clientConn) writeReady() (written, finished bool) {
	passedOn := 0
	written = true
	for passedOn < len(c.replies) && c.replies[passedOn].ready && c.mayPassOn(&c.replies[passedOn]) {
		c.injectFault(c.replies[passedOn:])
		r := &c.replies[passedOn]
		if r.counted {
			c.AddBuffered(-r.size())
		}
		if !r.skipped {
			written = c.PutRawUnbounded(r.text) && written
		}
		passedOn++
		finished = c.lifecycle.replyPassedOn() || finished
	}
	c.firstReplyID += uint64(passedOn)
	c.replies = slices.Delete(c.replies, 0, passedOn)
	c.noteWaiting()
	return written, finished
}

// noteWaiting notes whether replies wait for room on the link, and starts a goroutine that passes them on if so. The
// caller holds c.mu.
func (c *clientConn) noteWaiting() {
	waiting := len(c.replies) > 0 && c.replies[0].ready && c.lifecycle.state != stateClosed
	switch {
	case !waiting:
		c.waitingSince = time.Time{}
	case c.waitingSince.IsZero():
		c.waitingSince = time.Now()
		if !c.awaitsRoom {
			c.awaitsRoom = true
			go c.writeWhenRoom()
		}
	}
}

// writeWhenRoom passes on the replies that wait for room on the link, until none does. It closes a client that takes
// nothing.
func (c *clientConn) writeWhenRoom() {
	var progress wire.ReadProgress
	lastPassedOn := time.Now()
	for backoff := minRoomBackoff; c.stillAwaitsRoom(); backoff = min(2*backoff, maxRoomBackoff) {
		time.Sleep(backoff)
		before := c.PutOffset()
		c.writeWaiting()
		now := time.Now()
		switch {
		case c.PutOffset() > before:
			backoff, lastPassedOn = minRoomBackoff, now
		case c.TakesNothing(&progress, now):
			c.Close(wire.ErrSlowReader)
		case now.Sub(lastPassedOn) >= smallWindowAfter && !c.platform.isDraining():
			c.ForgetLargestWindow()
		}
	}
}

// stillAwaitsRoom reports whether replies wait for room on the link. If none does, writeWhenRoom is started anew when
// one does.
func (c *clientConn) stillAwaitsRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRoom = !c.waitingSince.IsZero()
	return c.awaitsRoom
}

// writeWaiting passes on replies that wait for room on the link, as far as it has room.
func (c *clientConn) writeWaiting() {
	c.mu.Lock()
	_, finished := c.writeReady()
	c.mu.Unlock()
	c.Flush()
	if finished {
		c.endStream()
	}
}

// leadingReady returns the number of replies that wait for nothing but room on the link. The caller holds c.mu.
func (c *clientConn) leadingReady() (n int) {
	for n < len(c.replies) && c.replies[n].ready {
		n++
	}
	return n
}

// isBehind reports whether the client takes its replies more slowly than they come. The caller holds c.mu.
func (c *clientConn) isBehind() bool {
	return !c.waitingSince.IsZero() && time.Since(c.waitingSince) >= behindAfter
}

// replaceWaitingValues replaces the replies that wait for room on the link, or for earlier ones, by short errors, if the
// client is behind: it can't take the values before its connection closes. Their requests may have run.
func (c *clientConn) replaceWaitingValues() {
	replaced := 0
	c.mu.Lock()
	if c.isBehind() {
		for i := range c.replies {
			if c.replaceValue(&c.replies[i]) {
				replaced++
			}
		}
	}
	c.mu.Unlock()
	if replaced > 0 {
		c.platform.log.Warn().Str("from", c.RemoteAddr()).Int("replies", replaced).Msg("client reads too slowly for the drain; values replaced by errors")
	}
	c.writeWaiting()
}

// replaceValue replaces a large reply that is ready by an error, and reports whether it did. The caller holds c.mu.
func (c *clientConn) replaceValue(r *reply) bool {
	if !r.ready || len(r.text) <= smallReplyBytes {
		return false
	}
	before := r.size()
	r.text = appendOutcome(nil, &wire.Answer{Outcome: uint32(pb.Outcome_WRITTEN_OFF)})
	if r.counted {
		c.AddBuffered(r.size() - before)
	}
	return true
}

// hasReplyBudget reports whether the memory for replies suffices for one more request. Replies that wait to be written
// count with their size, those of open requests and of the new one with the mean size.
func (p *Platform) hasReplyBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.openRequests)+1)*p.meanReplyBytes <= p.memory.Budget(memory.Replies).Remaining()
}

// finishRequest releases the id of an open request and updates the mean reply size.
func (p *Platform) finishRequest(id string, replyBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openRequests, id)
	p.meanReplyBytes += (int64(replyBytes) - p.meanReplyBytes) / meanReplyWindow
}
