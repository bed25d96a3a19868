package platform

import (
	"slices"
	"strconv"
	"time"

	"scalechute/internal/resp"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
)

const (
	// Number of replies over which the mean reply size is averaged, exponentially.
	meanReplyWindow = 16
	// Memory that a queued reply takes in addition to its text.
	replyOverheadBytes = 64
)

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

// replyWithLine replies to an open command with one line.
func (c *clientConn) replyWithLine(id uint64, line string) {
	c.mu.Lock()
	r := c.awaitedReply(id)
	if r == nil {
		c.mu.Unlock()
		return
	}
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
	if r != &c.replies[0] { // it has to wait for earlier replies
		r.counted = true
		c.AddBuffered(r.size())
	}
	return c.writeReady()
}

// writeReady passes the leading replies that are ready to the link. written is false if the link has closed, and
// finished reports whether the stream is to end now. The caller holds c.mu.
func (c *clientConn) writeReady() (written, finished bool) {
	passedOn := 0
	written = true
	for passedOn < len(c.replies) && c.replies[passedOn].ready {
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
	return written, finished
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
