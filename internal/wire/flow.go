package wire

import (
	"sync/atomic"
	"time"
)

// The data that waits to be written to a client is bounded by pausing the reads from it, never by closing its connection: how
// much has been put before the writing goroutine ran says nothing about the client. Only the client's socket shows that it is not
// reading.

// defaultSlowReaderTimeout is how long a peer may receive nothing while data waits for it, unless the link's limits set it.
const defaultSlowReaderTimeout = 10 * time.Second

// BufferBudget counts the bytes that wait to be written on all links of a server against a maximum. It does not stop links from
// buffering more: the server's owner checks Remaining.
type BufferBudget struct {
	used atomic.Int64
	max  int64
}

// NewBufferBudget returns a budget of maxBytes.
func NewBufferBudget(maxBytes int64) *BufferBudget { return &BufferBudget{max: maxBytes} }

// Remaining returns how many more bytes may wait; it is negative if too many wait already.
func (b *BufferBudget) Remaining() int64 { return b.max - b.used.Load() }

// AddBuffered adds delta, which may be negative, to the bytes that the owner buffers for the peer and has not put yet.
func (l *Link) AddBuffered(delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffered += int64(delta)
	l.updateBuffered()
}

// updateBuffered counts the bytes that wait, and pauses or resumes reading accordingly. l.mu is held.
func (l *Link) updateBuffered() {
	unsent := l.putBytes - l.writtenBytes + l.buffered
	if l.closed {
		unsent = 0
	}
	if l.budget != nil {
		l.budget.used.Add(unsent - l.budgeted)
	}
	l.budgeted = unsent
	wasPaused := l.readPaused
	switch {
	case !l.isServer || l.closed:
	case unsent > int64(l.maxPending):
		l.readPaused = true
	case unsent <= int64(l.maxPending)/2:
		l.readPaused = false
	}
	if l.readPaused != wasPaused {
		RunOnPoller(l.pauseOrResume)
	}
}

// pauseOrResume pauses reading while too many bytes wait, and resumes it afterwards. It runs on the poller.
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

// ReadProgress is how much the peer had acknowledged when it was last seen to make progress.
type ReadProgress struct {
	acknowledged int64
	since        time.Time // zero before the first check
}

// PeerStalled reports whether the peer is not reading: for the link's SlowReaderTimeout, data has waited for it, the link's
// socket has accepted none of it, and the peer's kernel has acknowledged nothing. Each period in which data waits needs a
// new ReadProgress.
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
