package platform

import (
	"time"

	"scalechute/internal/wire"
	"scalechute/logic"
)

// Draining: from logic.StopReadingAfter after SIGTERM, client connections are read no further, except for the rest of a partial
// command. All commands that were read get their replies, and then the connection is closed. Closing a connection only
// while it has no open commands would not do: a client that keeps requests open would never be closed, and SIGKILL
// would find its requests unanswered. logic/drain.go sets the times of the steps.
//
// A client that takes its replies more slowly than they come is read no further from SIGTERM on. Values wait for it here
// and not in the kernel (mayPassOn), and those that are not passed on by LastValuesBy are replaced by short errors, so
// that each command that was read gets its reply before the connection closes.

const (
	// New connections still arrive for 0.4 s after SIGTERM, and may be delayed.
	listenDuration = logic.Micros(500 * time.Millisecond / time.Microsecond)
	// Interval at which client connections are checked while draining.
	drainSweepInterval = 20 * time.Millisecond
	// After the end of the stream, a client that has acknowledged all data and does not close is closed after
	// closeLinger. One that has sent unread data may still have to read its replies, and is closed after
	// maxCloseLinger.
	closeLinger    = 40 * time.Millisecond
	maxCloseLinger = 250 * time.Millisecond
)

// Drain begins a graceful stop: the sentry serves requests that still arrive, replies to all that it has read, and
// stops before SIGKILL. Later calls have no effect.
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

// drainSchedule returns the times of the drain steps. New settings may shorten the longest deadline but not lengthen
// it, since the time of the SIGKILL is fixed when the drain begins.
func (p *Platform) drainSchedule() logic.DrainSchedule {
	longest := p.config.Load().Settings.MaxDeadline()
	if atDrain := logic.Micros(p.drainDeadlineMicros.Load()); atDrain > 0 {
		longest = min(longest, atDrain)
	}
	return logic.DrainScheduleFor(longest)
}

// drainTime returns the time since the drain began, and false if it has not.
func (p *Platform) drainTime() (elapsed logic.Micros, draining bool) {
	start := p.drainStart.Load()
	if start == nil {
		return 0, false
	}
	return logic.Micros(time.Since(*start) / time.Microsecond), true
}

// isDraining reports whether the drain has begun.
func (p *Platform) isDraining() bool { return p.drainStart.Load() != nil }

// closingAll reports whether the drain has reached the step at which all client connections are to be closed.
func (p *Platform) closingAll() bool {
	elapsed, draining := p.drainTime()
	return draining && elapsed >= logic.StopReadingAfter
}

// drainSteps are the steps that a drain has reached.
type drainSteps struct {
	listened   bool // long enough for all new connections
	lastValues bool // a client that is behind gets no values
	answersDue bool // each transaction has its final answer
	closesDue  bool // all connections are closed
}

// drainStepsReached returns the steps that the drain has reached, none unless draining.
func (p *Platform) drainStepsReached() drainSteps {
	elapsed, draining := p.drainTime()
	if !draining {
		return drainSteps{}
	}
	schedule := p.drainSchedule()
	steps := drainSteps{listened: elapsed >= listenDuration, lastValues: elapsed >= schedule.LastValuesBy, answersDue: elapsed >= schedule.AnswerBy}
	if steps.answersDue {
		p.answersDueSeenMicros.CompareAndSwap(0, int64(elapsed))
		steps.closesDue = schedule.CloseDue(elapsed, logic.Micros(p.answersDueSeenMicros.Load()))
	}
	return steps
}

// sweepClients closes the clients that are idle or to be closed. While draining, it stops the sentry once no client is
// left or the time is over.
func (p *Platform) sweepClients() {
	now := time.Now()
	steps := p.drainStepsReached()
	clients := p.listClients()
	for _, c := range clients {
		if steps.lastValues {
			c.replaceWaitingValues()
		}
		switch {
		case steps.closesDue:
			c.Close(wire.ErrClosed)
		case c.partialCommandExpired(now, steps.answersDue):
			c.abandonPartialCommand()
		case c.mayNeedClose(now):
			wire.RunOnPoller(c.closeIfDue)
		}
	}
	switch {
	case steps.closesDue:
		p.server.CloseListenerNow()
		p.sentry.Stop()
	case len(clients) == 0 && steps.listened:
		p.server.CloseListenerIfIdle(func(closed bool) {
			if closed {
				p.sentry.Stop()
			}
		})
	}
}

// mayNeedClose reports whether closeIfDue should run on the poller to decide whether the client is closed.
func (c *clientConn) mayNeedClose(now time.Time) bool {
	c.mu.Lock()
	shouldClose := c.shouldClose() && c.lifecycle.isReading()
	c.mu.Unlock()
	return shouldClose || c.isIdle(now)
}

// stopReading stops reading from a client that is to be closed, after its partial command if there is one. A client
// without open commands is closed at once instead, unless it has unread data, which is read first. It runs on the
// poller.
func (c *clientConn) stopReading() {
	c.mu.Lock()
	reading, quiet, ignoresInput := c.lifecycle.isReading(), c.lifecycle.isQuiet(), c.lifecycle.ignoresInput
	c.mu.Unlock()
	if !reading {
		return
	}
	if quiet && (c.CloseIfIdle(wire.ErrClosed, false) || !ignoresInput && c.WillRead()) {
		return
	}
	if !c.StopReadingAtMessageEnd(c.reader.MissingBytes) { // the system lacks a resource: the next sweep retries
		return
	}
	// The rest of a partial command may have been read by now; the state machine knows it by then.
	c.mu.Lock()
	finished := c.lifecycle.stopReading()
	c.mu.Unlock()
	if finished {
		c.endStream()
	}
}

// afterRead continues the close of a client that is to be closed, after data of it was read.
func (c *clientConn) afterRead() {
	c.mu.Lock()
	stops := c.lifecycle.isReading() && c.shouldClose()
	c.mu.Unlock()
	if stops {
		wire.RunOnPoller(c.closeIfDue)
	}
}

// partialCommandExpired reports whether the time for the rest of a partial command is over, once nothing else is read.
func (c *clientConn) partialCommandExpired(now time.Time, answersDue bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifecycle.state == stateReadingRest && (answersDue || now.Sub(c.partialSince) > firstCommandTimeout)
}

// abandonPartialCommand stops waiting for the rest of a partial command.
func (c *clientConn) abandonPartialCommand() {
	c.StopReadingNow()
	c.mu.Lock()
	finished := c.lifecycle.abandonPartial()
	c.mu.Unlock()
	if finished {
		c.endStream()
	}
}

// endStream ends the stream to a client that is no longer read, once everything is written, and then closes the
// connection. It is called once, when the state machine enters stateFinishing.
func (c *clientConn) endStream() { c.FlushAndClose(wire.ErrClosed, closeLinger, maxCloseLinger) }
