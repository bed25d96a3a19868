package platform

import (
	"time"

	"scalechute/internal/wire"
	"scalechute/logic"
)

// The end of a client's connection while it sends: it is read no further, all that was read is answered, and then it is ended.
// A connection that closed only at a moment with nothing open on it would never close for a client that keeps requests open,
// and SIGKILL would find them unanswered. logic/drain.go says when each step of a planned stop is due.

const (
	stopReadingDelay = time.Duration(logic.StopReadingAfter) * time.Microsecond
	// New connections go on coming for 0.4 s after the process was asked to stop, and may be late.
	listenDuration = 500 * time.Millisecond
	// How often the clients are looked at while the process is to stop.
	drainSweepInterval = 20 * time.Millisecond
	// A client that has acknowledged all and does not close at the end of the stream is closed after this; one that has sent
	// what was not read may have yet to come to its answers, and has longer.
	closeLinger    = 40 * time.Millisecond
	maxCloseLinger = 250 * time.Millisecond
)

// Drain has the sentry serve what still comes, answer all that it has read, and stop before it is killed.
func (p *Platform) Drain() {
	now := time.Now()
	if !p.drainStart.CompareAndSwap(nil, &now) {
		return
	}
	p.drainDeadlineMicros.Store(int64(p.config.Load().Settings.MaxDeadline()))
	p.sentry.AnswerWithin(time.Duration(p.drainSchedule().AnswerBy) * time.Microsecond)
	go func() {
		for range p.ticks(drainSweepInterval) {
			p.sweepClients()
		}
	}()
}

// drainSchedule says when the steps of the stop are due. New settings may shorten the longest deadline, not lengthen it: when
// the kill comes was settled as the stop was asked for.
func (p *Platform) drainSchedule() logic.DrainSchedule {
	longest := p.config.Load().Settings.MaxDeadline()
	if atDrain := logic.Micros(p.drainDeadlineMicros.Load()); atDrain > 0 {
		longest = min(longest, atDrain)
	}
	return logic.DrainScheduleFor(longest)
}

// drainedFor says whether the process was asked to stop so long ago.
func (p *Platform) drainingFor(duration time.Duration) bool {
	start := p.drainStart.Load()
	return start != nil && time.Since(*start) >= duration
}

// drained says whether clients are to go.
func (p *Platform) closingAll() bool { return p.drainingFor(stopReadingDelay) }

// sweepClients has those clients closed that are idle or to leave. Once none is left, a process that is to stop stops.
func (p *Platform) sweepClients() {
	now := time.Now()
	schedule := p.drainSchedule()
	answersDue := p.drainingFor(time.Duration(schedule.AnswerBy) * time.Microsecond)
	closesDue := p.drainingFor(time.Duration(schedule.CloseBy) * time.Microsecond)
	clients := p.listClients()
	for _, c := range clients {
		switch {
		case closesDue:
			c.Close(wire.ErrClosed)
		case c.partialCommandExpired(now, answersDue):
			c.abandonPartialCommand()
		case c.mayNeedClose(now):
			wire.RunOnPoller(c.closeIfDue)
		}
	}
	switch {
	case closesDue:
		p.server.CloseListenerNow()
		p.sentry.Stop()
	case len(clients) == 0 && p.drainingFor(listenDuration):
		p.server.CloseListenerIfIdle(func(closed bool) {
			if closed {
				p.sentry.Stop()
			}
		})
	}
}

// wantsTurn says whether a client may have to be closed, which is for the poller to see.
func (c *clientConn) mayNeedClose(now time.Time) bool {
	c.mu.Lock()
	shouldClose := c.shouldClose() && !c.readStopped
	c.mu.Unlock()
	return shouldClose || c.isIdle(now)
}

// stopReading has a client that is to leave read no further than the command in part, on the poller. One that has nothing
// open is closed at once, unless something of it stands unread: that is read first.
func (c *clientConn) stopReading() {
	c.mu.Lock()
	hasOpen, closing, stopped := len(c.replies) > 0, c.closing, c.readStopped
	c.mu.Unlock()
	if stopped {
		return
	}
	if settled := !hasOpen && !c.HasPartialMessage(); settled && (c.CloseIfIdle(wire.ErrClosed, false) || !closing) {
		return
	}
	if !c.StopReadingAtMessageEnd(c.reader.MissingBytes) { // the system is short of something: the next look tries again
		return
	}
	c.mu.Lock()
	c.readStopped = true
	c.mu.Unlock()
	c.finishIfSettled()
}

// hasRead goes on with a client that is to leave once something of it was read.
func (c *clientConn) afterRead() {
	c.mu.Lock()
	shouldClose, stopped := c.shouldClose(), c.readStopped
	c.mu.Unlock()
	switch {
	case stopped:
		c.finishIfSettled()
	case shouldClose:
		wire.RunOnPoller(c.closeIfDue)
	}
}

// inPart says that a command has come in part on a connection that is read no further. The lock is held.
func (c *clientConn) needsRest() bool { return c.readStopped && !c.closing && !c.partialSince.IsZero() }

// partOver says that a command in part has had its time.
func (c *clientConn) partialCommandExpired(now time.Time, answersDue bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.needsRest() && (answersDue || now.Sub(c.partialSince) > firstCommandTimeout)
}

// giveUpPart ends the wait for the rest of a command: it never came whole.
func (c *clientConn) abandonPartialCommand() {
	c.StopReadingNow()
	c.mu.Lock()
	c.partialSince = time.Time{}
	c.mu.Unlock()
	c.finishIfSettled()
}

// endIfSettled ends the connection of a client that is read no further once it has all its answers.
func (c *clientConn) finishIfSettled() {
	c.mu.Lock()
	settled := c.readStopped && !c.finishing && len(c.replies) == 0 && !c.needsRest()
	c.finishing = c.finishing || settled
	c.mu.Unlock()
	if settled {
		c.FlushAndClose(wire.ErrClosed, closeLinger, maxCloseLinger)
	}
}
