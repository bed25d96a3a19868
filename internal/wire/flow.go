package wire

import (
	"sync/atomic"
	"time"
)

// What waits for a client is bounded by reading no more from it, never by closing it: how much this process has put before
// its writer had a turn says nothing about the client. That a client does not read shows on its own socket alone.

// slowReaderAfter is how long the other side may take nothing while something waits for it, where a link's bounds don't say.
const defaultSlowReaderTimeout = 10 * time.Second

// Budget bounds what waits on the links of a server together.
type BufferBudget struct {
	used atomic.Int64
	max  int64
}

// NewBudget makes a budget of so many bytes.
func NewBufferBudget(maxBytes int64) *BufferBudget { return &BufferBudget{max: maxBytes} }

// Left is how many bytes more may wait; under 0 if more waits already.
func (b *BufferBudget) Remaining() int64 { return b.max - b.used.Load() }

// Hold says that the owner holds so many bytes more for the other side, or fewer, which it has not put yet.
func (l *Link) AddBuffered(delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffered += int64(delta)
	l.updateBuffered()
}

// account counts what waits, and has reading stop or go on by it. The lock is held.
func (l *Link) updateBuffered() {
	unsent := l.putBytes - l.writtenBytes + l.buffered
	if l.closed {
		unsent = 0
	}
	if l.budget != nil {
		l.budget.used.Add(unsent - l.budgeted)
	}
	l.budgeted = unsent
	wasFull := l.readPaused
	switch {
	case !l.isServer || l.closed:
	case unsent > int64(l.maxPending):
		l.readPaused = true
	case unsent <= int64(l.maxPending)/2:
		l.readPaused = false
	}
	if l.readPaused != wasFull {
		RunOnPoller(l.pauseOrResume)
	}
}

// pauseOrResume has reading stop while too much waits, and go on after it, on the poller.
func (l *Link) pauseOrResume() {
	l.mu.Lock()
	pause, closed := l.readPaused, l.closed
	l.mu.Unlock()
	switch {
	case l.readStopped || closed:
	case pause:
		l.detach(readNone)
	default:
		l.attach()
	}
}

// Progress is how far the other side had come when it was last seen to take something.
type ReadProgress struct {
	acknowledged int64
	since        time.Time // zero if it was not looked at
}

// Stalled says that the other side does not read: for its link's SlowReaderAfter something has waited for it, its socket took
// nothing of that, and its system acknowledged nothing. A progress of its own belongs to each time that something waits.
func (l *Link) PeerStalled(progress *ReadProgress, now time.Time) bool {
	unacknowledged := l.unacknowledgedBytes()
	l.mu.Lock()
	defer l.mu.Unlock()
	acknowledged := l.writtenBytes - int64(unacknowledged)
	if progress.since.IsZero() || acknowledged != progress.acknowledged || acknowledged >= l.putBytes {
		progress.acknowledged, progress.since = acknowledged, now
	}
	return now.Sub(progress.since) >= l.slowReaderTimeout
}
