package wire

import (
	"sync/atomic"
	"time"
)

// What waits for a client is bounded by reading no more from it, never by closing it: how much this process has put before
// its writer had a turn says nothing about the client. That a client does not read shows on its own socket alone.

// slowReaderAfter is how long the other side may take nothing while something waits for it, where a link's bounds don't say.
const slowReaderAfter = 10 * time.Second

// Budget bounds what waits on the links of a server together.
type BufferBudget struct {
	used atomic.Int64
	most int64
}

// NewBudget makes a budget of so many bytes.
func NewBufferBudget(most int64) *BufferBudget { return &BufferBudget{most: most} }

// Left is how many bytes more may wait; under 0 if more waits already.
func (b *BufferBudget) Remaining() int64 { return b.most - b.used.Load() }

// Hold says that the owner holds so many bytes more for the other side, or fewer, which it has not put yet.
func (l *Link) AddBuffered(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffered += int64(bytes)
	l.account()
}

// account counts what waits, and has reading stop or go on by it. The lock is held.
func (l *Link) account() {
	waits := l.put - l.written + l.buffered
	if l.dead {
		waits = 0
	}
	if l.budget != nil {
		l.budget.used.Add(waits - l.counted)
	}
	l.counted = waits
	was := l.full
	switch {
	case !l.server || l.dead:
	case waits > int64(l.most):
		l.full = true
	case waits <= int64(l.most)/2:
		l.full = false
	}
	if l.full != was {
		RunOnPoller(l.pauseOrResume)
	}
}

// pauseOrResume has reading stop while too much waits, and go on after it, on the poller.
func (l *Link) pauseOrResume() {
	l.mu.Lock()
	full, dead := l.full, l.dead
	l.mu.Unlock()
	switch {
	case l.stopped || dead:
	case full:
		l.detach(readNone)
	default:
		l.attach()
	}
}

// Progress is how far the other side had come when it was last seen to take something.
type ReadProgress struct {
	arrived int64
	since   time.Time // zero if it was not looked at
}

// Stalled says that the other side does not read: for its link's SlowReaderAfter something has waited for it, its socket took
// nothing of that, and its system acknowledged nothing. A progress of its own belongs to each time that something waits.
func (l *Link) PeerStalled(p *ReadProgress, now time.Time) bool {
	unacknowledged := l.unacknowledged()
	l.mu.Lock()
	defer l.mu.Unlock()
	arrived := l.written - int64(unacknowledged)
	if p.since.IsZero() || arrived != p.arrived || arrived >= l.put {
		p.arrived, p.since = arrived, now
	}
	return now.Sub(p.since) >= l.slowAfter
}
