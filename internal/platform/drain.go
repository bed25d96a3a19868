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
	stopReadingAfter = time.Duration(logic.StopReadingAfter) * time.Microsecond
	// New connections go on coming for 0.4 s after the process was asked to stop, and may be late.
	listenFor = 500 * time.Millisecond
	// How often the clients are looked at while the process is to stop.
	drainSweepEvery = 20 * time.Millisecond
	// A client that has acknowledged all and does not close at the end of the stream is closed after this; one that has sent
	// what was not read may have yet to come to its answers, and has longer.
	linger     = 40 * time.Millisecond
	lingerMost = 250 * time.Millisecond
)

// Drain has the sentry serve what still comes, answer all that it has read, and stop before it is killed.
func (p *Platform) Drain() {
	now := time.Now()
	if !p.drainAt.CompareAndSwap(nil, &now) {
		return
	}
	p.drainLongest.Store(int64(p.post.Load().Settings.MaxDeadline()))
	p.sentry.AnswerWithin(time.Duration(p.drainSchedule().AnswerBy) * time.Microsecond)
	go func() {
		for range p.ticks(drainSweepEvery) {
			p.sweepClients()
		}
	}()
}

// drainSchedule says when the steps of the stop are due. New settings may shorten the longest deadline, not lengthen it: when
// the kill comes was settled as the stop was asked for.
func (p *Platform) drainSchedule() logic.DrainSchedule {
	longest := p.post.Load().Settings.MaxDeadline()
	if before := logic.Micros(p.drainLongest.Load()); before > 0 {
		longest = min(longest, before)
	}
	return logic.DrainScheduleFor(longest)
}

// drainedFor says whether the process was asked to stop so long ago.
func (p *Platform) drainedFor(span time.Duration) bool {
	at := p.drainAt.Load()
	return at != nil && time.Since(*at) >= span
}

// drained says whether clients are to go.
func (p *Platform) drained() bool { return p.drainedFor(stopReadingAfter) }

// sweepClients has those clients closed that are idle or to leave. Once none is left, a process that is to stop stops.
func (p *Platform) sweepClients() {
	now := time.Now()
	schedule := p.drainSchedule()
	answered := p.drainedFor(time.Duration(schedule.AnswerBy) * time.Microsecond)
	over := p.drainedFor(time.Duration(schedule.CloseBy) * time.Microsecond)
	all := p.clientList()
	for _, c := range all {
		switch {
		case over:
			c.Close(wire.ErrClosed)
		case c.partOver(now, answered):
			c.giveUpPart()
		case c.wantsTurn(now):
			wire.RunOnPoller(c.closeIfDue)
		}
	}
	switch {
	case over:
		p.server.CloseListenerNow()
		p.sentry.Stop()
	case len(all) == 0 && p.drainedFor(listenFor):
		p.server.CloseListenerIfIdle(func(closed bool) {
			if closed {
				p.sentry.Stop()
			}
		})
	}
}

// wantsTurn says whether a client may have to be closed, which is for the poller to see.
func (c *clientConn) wantsTurn(now time.Time) bool {
	c.mu.Lock()
	closes := c.shouldClose() && !c.stopped
	c.mu.Unlock()
	return closes || c.idle(now)
}

// stopReading has a client that is to leave read no further than the command in part, on the poller. One that has nothing
// open is closed at once, unless something of it stands unread: that is read first.
func (c *clientConn) stopReading() {
	c.mu.Lock()
	open, closing, stopped := len(c.queue) > 0, c.closing, c.stopped
	c.mu.Unlock()
	if stopped {
		return
	}
	if rests := !open && !c.HasPartialMessage(); rests && (c.CloseIfIdle(wire.ErrClosed, false) || !closing) {
		return
	}
	if !c.StopReadingAtMessageEnd(c.reader.MissingBytes) { // the system is short of something: the next look tries again
		return
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.endIfSettled()
}

// hasRead goes on with a client that is to leave once something of it was read.
func (c *clientConn) hasRead() {
	c.mu.Lock()
	closes, stopped := c.shouldClose(), c.stopped
	c.mu.Unlock()
	switch {
	case stopped:
		c.endIfSettled()
	case closes:
		wire.RunOnPoller(c.closeIfDue)
	}
}

// inPart says that a command has come in part on a connection that is read no further. The lock is held.
func (c *clientConn) inPart() bool { return c.stopped && !c.closing && !c.partialSince.IsZero() }

// partOver says that a command in part has had its time.
func (c *clientConn) partOver(now time.Time, answered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inPart() && (answered || now.Sub(c.partialSince) > firstCommandTimeout)
}

// giveUpPart ends the wait for the rest of a command: it never came whole.
func (c *clientConn) giveUpPart() {
	c.StopReadingNow()
	c.mu.Lock()
	c.partialSince = time.Time{}
	c.mu.Unlock()
	c.endIfSettled()
}

// endIfSettled ends the connection of a client that is read no further once it has all its answers.
func (c *clientConn) endIfSettled() {
	c.mu.Lock()
	settled := c.stopped && !c.ending && len(c.queue) == 0 && !c.inPart()
	c.ending = c.ending || settled
	c.mu.Unlock()
	if settled {
		c.FlushAndClose(wire.ErrClosed, linger, lingerMost)
	}
}
