package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Links write to their sockets themselves. Netpoll's writer closes a connection, and loses the answers that wait on it, when a
// call is interrupted (EINTR) or the system is short of buffers (ENOBUFS, ENOMEM); both errors are transient. It also does not
// report how much of a write the kernel accepted.

const (
	// Delays before a write to a full socket is retried; the delay doubles up to the maximum. Only the link's writing goroutine
	// waits, not the code that puts frames.
	minSendBackoff = 500 * time.Microsecond
	maxSendBackoff = 10 * time.Millisecond
	// A write that is interrupted more often than this in a row is retried after a delay.
	maxInterruptions = 16
)

// sendCall is the signature of the system call that writes to a socket.
type sendCall func(fd int, p []byte) (int, error)

// sendSyscall is the system call that links use. Tests replace it to inject faults.
var sendSyscall atomic.Pointer[sendCall]

func init() {
	call := sendCall(func(fd int, p []byte) (int, error) {
		return syscall.SendmsgN(fd, p, nil, nil, syscall.MSG_NOSIGNAL|syscall.MSG_DONTWAIT)
	})
	sendSyscall.Store(&call)
}

// sendAll writes all of out, retrying after partial writes and transient errors. It returns an error once the connection has
// failed or closed, or the peer has stalled.
func (l *Link) sendAll(out []byte) error {
	backoff, interruptions := minSendBackoff, 0
	var progress ReadProgress
	for len(out) > 0 {
		n, err := l.sendOnce(out)
		if n > 0 {
			out = out[n:]
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
		case l.IsClosed():
			return net.ErrClosed
		case l.PeerStalled(&progress, time.Now()):
			return ErrSlowReader
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxSendBackoff)
	}
	return nil
}

// sendOnce makes one call, unless the descriptor is closed and its number may be reused. It counts what the kernel has accepted
// before Close can end the connection.
func (l *Link) sendOnce(out []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0, net.ErrClosed
	}
	n, err := (*sendSyscall.Load())(l.fd, out)
	if n <= 0 {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writtenBytes += int64(n)
	l.updateBuffered()
	return n, err
}

// isTransient reports whether a system call on a socket that failed with the error may succeed later.
func isTransient(err error) bool {
	for _, transient := range []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
