package wire

import (
	"context"
	"encoding/binary"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// turns are functions that wait for their turn on the poller.
type pollerQueue struct {
	conn    netpoll.Connection // of the eventfd, kept from the collector
	fd      int
	mu      sync.Mutex
	pending []func()
}

var getPollerQueue = sync.OnceValue(func() *pollerQueue {
	fd, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil
	}
	q := &pollerQueue{fd: int(fd)}
	conn, err := netpoll.NewFDConnection(q.fd)
	if err != nil {
		return nil
	}
	q.conn = conn
	if err := conn.SetOnRequest(q.run); err != nil {
		return nil
	}
	return q
})

// OnPoller calls f on the poller, soon. What any connection has brought until then has gone through its reader, or has not
// been read at all: only there can it be told which. f must wait for nothing.
func RunOnPoller(f func()) {
	q := getPollerQueue()
	if q == nil { // no descriptor is left
		go f()
		return
	}
	q.mu.Lock()
	q.pending = append(q.pending, f)
	first := len(q.pending) == 1
	q.mu.Unlock()
	if first {
		one := binary.NativeEndian.AppendUint64(nil, 1)
		_, _ = syscall.Write(q.fd, one) // a counter that is full wakes it as well
	}
}

func (q *pollerQueue) run(_ context.Context, conn netpoll.Connection) error {
	r := conn.Reader()
	if err := r.Skip(r.Len()); err != nil {
		return err
	}
	if err := r.Release(); err != nil {
		return err
	}
	q.mu.Lock()
	pending := q.pending
	q.pending = nil
	q.mu.Unlock()
	for _, f := range pending {
		f()
	}
	return nil
}
