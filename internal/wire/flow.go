package wire

import (
	"time"

	"golang.org/x/sys/unix"
)

// The data that waits to be written to a client is bounded by pausing the reads from it, never by closing its connection: how
// much has been put before the writing goroutine ran says nothing about the client. Only the client's socket shows that it is not
// reading.

// What the kernel has accepted can't be taken back, and what the peer has not acknowledged when the connection closes may be lost.
// So the owner of a link may hold back what it has for the peer until HasWindowFor reports that it would not have to wait in the
// kernel, and decide until then what is sent.

// windowReserveBytes is how much of its window a peer must have left after what HasWindowFor is asked for.
const windowReserveBytes = 2 << 10

// defaultSlowReaderTimeout is how long a peer may receive nothing while data waits for it, unless the link's limits set it.
const defaultSlowReaderTimeout = 10 * time.Second

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
		l.budget.Add(unsent - l.budgeted)
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

// pauseOrResume pauses reading while too many bytes wait or memory is short, and resumes it afterwards. It runs on the poller.
func (l *Link) pauseOrResume() {
	l.mu.Lock()
	pause, closed := l.readPaused || l.memoryPaused, l.closed
	l.mu.Unlock()
	switch {
	case l.readStopped || closed:
	case pause:
		l.detach(readNone)
	default:
		l.attach()
	}
}

// HasWindowFor reports whether the peer has a window for so many bytes more than what was put, or at least half of the largest
// window that it has had, and the kernel holds nothing that it could not send. The peer's kernel then takes them at once, even if
// the peer itself does not read.
func (l *Link) HasWindowFor(bytes int) bool {
	pending := int(l.pendingBytes())
	if l.socketQueue(unix.SIOCOUTQNSD) > 0 {
		return false
	}
	window, largest := l.peerWindow()
	if largest == 0 { // unknown
		return true
	}
	return window-l.unacknowledgedBytes()-pending >= min(bytes+windowReserveBytes, largest/2)
}

// ForgetLargestWindow makes HasWindowFor accept the window that the peer offers now as its largest, unless that is 0. It is for a
// peer whose window has become smaller for good.
func (l *Link) ForgetLargestWindow() {
	window, _ := l.peerWindow()
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if window > 0 {
		l.largestWindow = window
	}
}

// pendingBytes returns how many bytes were put that the kernel has not accepted.
func (l *Link) pendingBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.putBytes - l.writtenBytes
}

// peerWindow returns the window that the peer offers, and the largest that it was seen to offer, in bytes. Both are 0 if that is
// unknown.
func (l *Link) peerWindow() (window, largest int) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0, 0
	}
	info, err := unix.GetsockoptTCPInfo(l.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, 0
	}
	l.largestWindow = max(l.largestWindow, int(info.Snd_wnd))
	return int(info.Snd_wnd), l.largestWindow
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
	acknowledged, put := l.acknowledgedBytes()
	if acknowledged >= put {
		progress.since = time.Time{}
	}
	return progress.stalledFor(acknowledged, now) >= l.slowReaderTimeout
}

// TakesNothing is PeerStalled for a link whose owner holds data back for want of a window: the peer is not reading either if it has
// acknowledged everything and its window stays too small.
func (l *Link) TakesNothing(progress *ReadProgress, now time.Time) bool {
	acknowledged, _ := l.acknowledgedBytes()
	return progress.stalledFor(acknowledged, now) >= l.slowReaderTimeout
}

// acknowledgedBytes returns how many bytes the peer has acknowledged, and how many were put.
func (l *Link) acknowledgedBytes() (acknowledged, put int64) {
	unacknowledged := l.unacknowledgedBytes()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writtenBytes - int64(unacknowledged), l.putBytes
}

// stalledFor notes what the peer has acknowledged, and returns for how long that has not changed.
func (p *ReadProgress) stalledFor(acknowledged int64, now time.Time) time.Duration {
	if p.since.IsZero() || acknowledged != p.acknowledged {
		p.acknowledged, p.since = acknowledged, now
	}
	return now.Sub(p.since)
}
