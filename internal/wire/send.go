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
	firstSendWait   = 500 * time.Microsecond
	longestSendWait = 10 * time.Millisecond
	// A call that is interrupted so often in a row is made again after a wait.
	mostInterrupts = 16
)

// sendCall is a system call that writes to a socket.
type sendCall func(fd int, p []byte) (int, error)

// sendTo is the one that links make; tests put faults into it.
var sendTo atomic.Pointer[sendCall]

func init() {
	call := sendCall(func(fd int, p []byte) (int, error) {
		return syscall.SendmsgN(fd, p, nil, nil, syscall.MSG_NOSIGNAL|syscall.MSG_DONTWAIT)
	})
	sendTo.Store(&call)
}

// sendAll writes what a link has put, however the system takes it, and ends with an error once the connection has.
func (l *Link) sendAll(out []byte) error {
	wait, interrupts := firstSendWait, 0
	var progress ReadProgress
	for len(out) > 0 {
		n, err := l.sendSome(out)
		if n > 0 {
			out = out[n:]
			l.mu.Lock()
			l.written += int64(n)
			l.account()
			l.mu.Unlock()
			wait, interrupts = firstSendWait, 0
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, syscall.EINTR) && interrupts < mostInterrupts:
			interrupts++
			continue
		case !passes(err):
			return err
		case l.Dead():
			return net.ErrClosed
		case l.PeerStalled(&progress, time.Now()):
			return ErrSlowReader
		}
		time.Sleep(wait)
		wait = min(2*wait, longestSendWait)
	}
	return nil
}

// sendSome makes one call, unless the descriptor may be another's by now.
func (l *Link) sendSome(out []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.gone {
		return 0, net.ErrClosed
	}
	n, err := (*sendTo.Load())(l.fd, out)
	return max(0, n), err
}

// passes says of an error of a system call on a socket that a later call may do better.
func passes(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
