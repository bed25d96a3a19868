package wire

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The kernel goes on sending what was written to a connection after the connection is shut down or closed, and after the process
// has ended, for as long as it takes. On a link that was dialled this would deliver what has been given up: a request whose time is
// over, or a vote. Such a link is therefore reset if anything is undelivered when it closes. On a link that was accepted it delivers
// answers, which are wanted.

// CloseIfIdle closes the link and reports whether it did; it is called on the poller. It does not close the link if there is
// unread data in the socket, a partial message (unless discardPartial is set), a pending write, or written data that the peer
// has not acknowledged: data that arrives after the close resets the connection, and data on its way to the peer would be lost
// with it. Data that arrives after the close is never read, and the reset tells its sender so. A detached link is not closed
// either.
func (l *Link) CloseIfIdle(reason error, discardPartial bool) bool {
	if l.isDetached() || !discardPartial && len(l.partial) > 0 || l.HasPendingWrites() || l.unacknowledgedBytes() > 0 || !l.IsReadIdle() {
		return false
	}
	l.markClosed(reason)
	_ = l.conn.Close() // must not be the connection whose handler is running, see init
	return true
}

// Close closes the link for a reason. Pending writes may be lost, and on a dialled link also everything that the peer's kernel has
// not acknowledged. The handler may still be running on another goroutine, and what it does then has no effect. The connection is
// ended here, and its descriptor closed by the poller.
func (l *Link) Close(reason error) {
	l.markClosed(reason)
	if l.isDetached() {
		l.closeDetached(reason)
		return
	}
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return
	}
	if !l.dropUndelivered() {
		_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeEnded = true
}

// dropUndelivered resets a dialled link if the peer's kernel has not acknowledged everything, and reports whether it did. Nothing is
// sent from then on, also if the reset itself is lost. Otherwise the peer is going to see an ordinary end of the stream. l.fdMu is
// held, so that nothing can be written in between.
func (l *Link) dropUndelivered() bool {
	if !l.resets {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(l.fd, unix.SIOCOUTQ)
	if err == nil && unacknowledged == 0 {
		setResetOnClose(l.fd, false)
		return false
	}
	return disconnect(l.fd) == nil
}

// setResetOnClose sets whether the kernel resets a connection and drops its unsent data when the last descriptor of it is closed, also
// by the end of the process. It reports whether that succeeded.
func setResetOnClose(fd int, on bool) bool {
	linger := syscall.Linger{}
	if on {
		linger.Onoff = 1
	}
	return syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &linger) == nil
}

// disconnect resets a connection at once and drops its unsent data. The descriptor stays open; the poller sees that the connection
// has ended. (A shutdown would send the unsent data first, if the peer has room for it before the poller closes the descriptor.)
func disconnect(fd int) error {
	unspecified := syscall.RawSockaddr{Family: syscall.AF_UNSPEC}
	_, _, errno := syscall.Syscall(syscall.SYS_CONNECT, uintptr(fd), uintptr(unsafe.Pointer(&unspecified)), unsafe.Sizeof(unspecified))
	if errno != 0 {
		return errno
	}
	return nil
}

// isFDClosed reports whether the descriptor is closed or about to be.
func (l *Link) isFDClosed() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.fdClosed
}

// isDetached reports whether netpoll no longer owns the connection.
func (l *Link) isDetached() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.detached
}

// markClosed marks the link as closed and calls onClosed, once.
func (l *Link) markClosed(reason error) {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.updateBuffered()
		l.mu.Unlock()
		if l.partials != nil {
			l.partials.count(l, 0)
		}
		if l.onClosed != nil {
			l.onClosed(l, reason)
		}
	})
}
