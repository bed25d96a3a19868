package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Links write to their sockets themselves. The dependency's writer ends a connection when a call is interrupted (EINTR) or the
// system is short of buffers (ENOBUFS, ENOMEM), and with it the answers that are owed on it; both pass. It also tells no one
// how much of a write the system took.

const (
	// Waits while a socket takes nothing more, doubled up to the longest. The loop that fills the link never waits.
	minSendBackoff = 500 * time.Microsecond
	maxSendBackoff = 10 * time.Millisecond
	// A call that is interrupted so often in a row is made again after a wait.
	maxInterruptions = 16
)

// sendCall is a system call that writes to a socket.
type sendCall func(fd int, p []byte) (int, error)

// sendTo is the one that links make; tests put faults into it.
var sendSyscall atomic.Pointer[sendCall]

func init() {
	call := sendCall(func(fd int, p []byte) (int, error) {
		return syscall.SendmsgN(fd, p, nil, nil, syscall.MSG_NOSIGNAL|syscall.MSG_DONTWAIT)
	})
	sendSyscall.Store(&call)
}

// sendAll writes what a link has put, however the system takes it, and ends with an error once the connection has.
func (l *Link) sendAll(out []byte) error {
	backoff, interruptions := minSendBackoff, 0
	var progress ReadProgress
	for len(out) > 0 {
		n, err := l.sendOnce(out)
		if n > 0 {
			out = out[n:]
			l.mu.Lock()
			l.writtenBytes += int64(n)
			l.updateBuffered()
			l.mu.Unlock()
			backoff, interruptions = minSendBackoff, 0
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.EINTR) && interruptions < maxInterruptions:
			interruptions++
			continue
		case !isTransient(err):
			return err
		case l.Dead():
			return net.ErrClosed
		case l.PeerStalled(&progress, time.Now()):
			return ErrSlowReader
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxSendBackoff)
	}
	return nil
}

// sendSome makes one call, unless the descriptor may be another's by now.
func (l *Link) sendOnce(out []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0, net.ErrClosed
	}
	n, err := (*sendSyscall.Load())(l.fd, out)
	return max(0, n), err
}

// passes says of an error of a system call on a socket that a later call may do better.
func isTransient(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
