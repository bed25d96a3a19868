package platform

import (
	"sync"
	"time"

	"scalechute/internal/memory"
	"scalechute/internal/resp"
	"scalechute/internal/wire"
)

// read handles the commands that have arrived. It reads no further once the client's input is ignored.
func (c *clientConn) read(_ *wire.Link, data []byte) ([]byte, error) {
	defer c.afterRead()
	for len(data) > 0 && c.readsCommands() {
		message, rest, complete, err := c.reader.Next(data)
		if err != nil {
			c.rejectInput(err)
			return nil, nil
		}
		if !complete {
			c.notePartialCommand()
			return data, nil
		}
		id, awaitedBefore, accepted := c.openCommand()
		switch {
		case !accepted: // the connection has closed
			return nil, nil
		case awaitedBefore >= maxOpenCommands: // it was read, so it gets a reply; closing would also drop the commands after it
			c.replyWithLine(id, "-BUSY")
		default:
			c.handleCommand(id, message)
		}
		data = rest
	}
	return nil, nil
}

// readsCommands reports whether commands that arrive are to be handled.
func (c *clientConn) readsCommands() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lifecycle.ignoresInput && c.lifecycle.state <= stateReadingRest
}

// openCommand queues the reply of a command that was read completely, and returns the ID under which the reply is to be
// given. From then on the connection does not end before that reply. awaitedBefore is the number of earlier commands that
// await their replies or those of others. accepted is false if the connection has closed.
func (c *clientConn) openCommand() (id uint64, awaitedBefore int, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	openBefore := len(c.replies)
	awaitedBefore = openBefore - c.leadingReady()
	if !c.lifecycle.commandRead() {
		return 0, awaitedBefore, false
	}
	c.replies = append(c.replies, reply{})
	c.lastUsed, c.partialSince, c.hasSentCommand = time.Now(), time.Time{}, true
	return c.firstReplyID + uint64(openBefore), awaitedBefore, true
}

// notePartialCommand notes that a part of a command was read.
func (c *clientConn) notePartialCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.partialRead()
	if c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
}

// rejectInput replies to data that is no command with an error. Whatever follows is ignored.
func (c *clientConn) rejectInput(problem error) {
	id, _, accepted := c.openCommand()
	if accepted {
		c.ignoreInput()
		c.replyWithLine(id, "-ERR Protocol error: "+problem.Error())
	}
}

// refusePartialCommand replies with BUSY to a command whose first part was dropped to make room for others. Its rest and
// whatever follows are ignored, and the connection closes after the reply. It runs on the poller.
func (c *clientConn) refusePartialCommand() {
	id, _, accepted := c.openCommand()
	if !accepted {
		return
	}
	c.ignoreInput()
	c.replyWithLine(id, "-BUSY")
	wire.RunOnPoller(c.closeIfDue)
}

// ignoreInput has everything ignored that follows the command that is being handled. Its reply is still awaited.
func (c *clientConn) ignoreInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.ignoreInput()
}

// handleCommand replies to a command or passes its transaction to the sentry.
func (c *clientConn) handleCommand(id uint64, message []resp.Value) {
	switch string(message[1].Text) {
	case "Q.ASK", "Q.DO":
		c.handleTransaction(id, message)
	case "PING":
		c.replyWithLine(id, "+PONG")
	case "CLIENT", "SELECT":
		c.replyWithLine(id, "+OK")
	case "QUIT":
		c.ignoreInput()
		c.replyWithLine(id, "+OK")
	default:
		c.replyWithLine(id, "-ERR unknown command")
	}
}

// handleTransaction passes a transaction to the sentry, unless its command is invalid or there is no room for it.
func (c *clientConn) handleTransaction(id uint64, message []resp.Value) {
	scratch := payloadBuffers.Get().(*[]byte)
	defer payloadBuffers.Put(scratch)
	parsed, problem := c.platform.config.Load().parseCommand(message, (*scratch)[:0])
	if problem != "" {
		c.replyWithLine(id, "-ERR "+problem)
		return
	}
	*scratch = parsed.transaction.Payload // may have grown
	if !c.platform.hasReplyBudget() || !c.reserveMemory(id, requestBytes(parsed.transaction.Payload)) {
		c.replyWithLine(id, "-BUSY")
		return
	}
	requestID := string(parsed.requestID)
	if !c.platform.claimRequestID(requestID) {
		c.replyWithLine(id, "-ERR found the id of an open request, expected a new one")
		return
	}
	if !c.noteRequestID(id, requestID) {
		c.platform.releaseRequestID(requestID)
		return
	}
	parsed.transaction.ID = id
	c.handler.TransactionReceived(&parsed.transaction)
}

// payloadBuffers holds buffers for payloads, which are needed only while a command is handled.
var payloadBuffers = sync.Pool{New: func() any { return new([]byte) }}

// reserveMemory reserves the memory for the request of an open command, until it has its reply or the connection closes.
// It returns false if there is none to be had.
func (c *clientConn) reserveMemory(id uint64, bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.state == stateClosed || !c.platform.memory.Budget(memory.Requests).Reserve(c.requestBytes, bytes) {
		return false
	}
	c.requestBytes += bytes
	c.replies[id-c.firstReplyID].memory = bytes
	return true
}

// noteRequestID notes the request ID of an open command, which removeClient releases if the connection closes. It
// returns false if the connection has closed already.
func (c *clientConn) noteRequestID(id uint64, requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.state == stateClosed {
		return false
	}
	c.replies[id-c.firstReplyID].requestID = requestID
	return true
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

// releaseRequestID releases the id of a request that will get no reply.
func (p *Platform) releaseRequestID(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openRequests, id)
}
