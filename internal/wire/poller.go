package wire

import (
	"context"
	"encoding/binary"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// pollerQueue holds functions that are to run on the poller. An eventfd, which the poller reads, wakes it up.
type pollerQueue struct {
	conn    netpoll.Connection // of the eventfd; keeps it from being garbage collected
	fd      int
	mu      sync.Mutex
	pending []func()
}

// getPollerQueue returns the process's queue, or nil if its eventfd can't be created or passed to netpoll.
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

// RunOnPoller calls f on the poller and does not wait for it. While f runs, no handler runs, except for the
// rest of a partial message that the watcher reads. All data that netpoll has read has passed through the handlers, and all
// other data is still unread in the sockets; only on the poller can the two be distinguished. f must not block.
func RunOnPoller(f func()) {
	q := getPollerQueue()
	if q == nil { // probably no descriptor was left when the queue was first needed
		go f()
		return
	}
	q.mu.Lock()
	q.pending = append(q.pending, f)
	first := len(q.pending) == 1
	q.mu.Unlock()
	if first {
		one := binary.NativeEndian.AppendUint64(nil, 1)
		_, _ = syscall.Write(q.fd, one) // a write fails if the counter is full, which wakes the poller as well
	}
}

// run calls the pending functions, on the poller.
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
