package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
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

// globalPollerQueue is the process's queue, once it is created.
var globalPollerQueue struct {
	sync.Mutex
	*pollerQueue
}

// startPoller creates the process's queue and watcher, unless they exist. It is called before any link exists, so that links never
// lack them for want of a descriptor.
func startPoller() error {
	globalPollerQueue.Lock()
	defer globalPollerQueue.Unlock()
	if globalPollerQueue.pollerQueue == nil {
		q, err := newPollerQueue()
		if err != nil {
			return fmt.Errorf("poller: %w", err)
		}
		globalPollerQueue.pollerQueue = q
	}
	if getWatcher() == nil {
		return errors.New("poller: found no descriptor for the watcher, expected one")
	}
	return nil
}

// newPollerQueue creates a queue that the poller reads.
func newPollerQueue() (*pollerQueue, error) {
	fd, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return nil, errno
	}
	q := &pollerQueue{fd: int(fd)}
	conn, err := netpoll.NewFDConnection(q.fd)
	if err != nil {
		syscall.Close(q.fd)
		return nil, err
	}
	q.conn = conn
	return q, conn.SetOnRequest(q.run)
}

// getPollerQueue returns the process's queue, nil before startPoller.
func getPollerQueue() *pollerQueue {
	globalPollerQueue.Lock()
	defer globalPollerQueue.Unlock()
	return globalPollerQueue.pollerQueue
}

// RunOnPoller calls f on the poller and does not wait for it. While f runs, no handler runs, except for the
// rest of a partial message that the watcher reads. All data that netpoll has read has passed through the handlers, and all
// other data is still unread in the sockets; only on the poller can the two be distinguished. f must not block. There must be a
// server or a link, or have been one.
func RunOnPoller(f func()) {
	q := getPollerQueue()
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
