package wire

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// The dependency reads a connection for as long as it has it, and knows no way to stop. So a link that is not to be read any
// more, or not further than to the end of a message in part, is taken from it: the socket stays open, answers go on being
// written to it, and a watcher of our own tells when the other side has closed.

// readMode says who reads a link's socket, and how far.
type readMode uint8

const (
	readAll         readMode = iota // the dependency reads what comes
	readMessageRest                 // the watcher reads the rest of a message in part
	readNone                        // nothing is read
)

// mostReadAtOnce bounds one read of the watcher, in bytes.
const maxWatcherReadBytes = 64 << 10

// watchRetry is the wait before the system is asked again to watch a socket, when it could not.
const watchRetryDelay = 10 * time.Millisecond

// watcher tells of detached links whose other side has closed, and reads the rest of messages in part.
type watcher struct {
	epoll  int
	mu     sync.Mutex
	links  map[int32]*Link
	lastID int32
}

var globalWatcher struct {
	sync.Mutex
	*watcher
}

// theWatcher gives the process's watcher, nil if the system is short of what it takes.
func getWatcher() *watcher {
	globalWatcher.Lock()
	defer globalWatcher.Unlock()
	if globalWatcher.watcher != nil {
		return globalWatcher.watcher
	}
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil
	}
	globalWatcher.watcher = &watcher{epoll: epoll, links: map[int32]*Link{}}
	go globalWatcher.watcher.run()
	return globalWatcher.watcher
}

func (w *watcher) run() {
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err != nil && err != unix.EINTR {
			time.Sleep(watchRetryDelay)
		}
		for i := range max(n, 0) {
			w.mu.Lock()
			l := w.links[events[i].Fd]
			w.mu.Unlock()
			if l != nil {
				l.handleEvents(events[i].Events)
			}
		}
	}
}

// interest is what the system is to tell of a link.
func epollEvents(mode readMode) uint32 {
	if mode == readMessageRest {
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
	return unix.EPOLLRDHUP
}

// set has a detached link watched for what its mode asks for. The link's fdMu is held.
func (w *watcher) watch(l *Link) {
	operation := unix.EPOLL_CTL_MOD
	w.mu.Lock()
	if l.watchID == 0 {
		operation = unix.EPOLL_CTL_ADD
		w.lastID++
		l.watchID = w.lastID
		w.links[l.watchID] = l
	}
	w.mu.Unlock()
	// The event's number is ours and not the descriptor's, which may be another's by the time the event is taken up.
	event := unix.EpollEvent{Events: epollEvents(l.mode), Fd: l.watchID}
	err := unix.EpollCtl(w.epoll, operation, l.fd, &event)
	if err == unix.ENOENT {
		err = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, l.fd, &event)
	}
	if err != nil {
		time.AfterFunc(watchRetryDelay, func() {
			l.fdMu.Lock()
			defer l.fdMu.Unlock()
			if l.detached && !l.fdClosed {
				w.watch(l)
			}
		})
	}
}

// drop ends the watch of a link. The link's fdMu is held.
func (w *watcher) unwatch(l *Link) {
	w.mu.Lock()
	delete(w.links, l.watchID)
	l.watchID = 0
	w.mu.Unlock()
	_ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_DEL, l.fd, nil)
}

// detach takes a link from the dependency, on the poller, and says whether it is detached. What had been read by then has
// gone through the reader. The link goes on with a descriptor of its own: the dependency may be closing its one just now, on
// another goroutine, since the other side has ended the connection.
func (l *Link) detach(mode readMode) bool {
	w := getWatcher()
	if w == nil {
		return false
	}
	l.fdMu.Lock()
	if l.fdClosed {
		l.fdMu.Unlock()
		return false
	}
	l.mode = mode
	var previous netpoll.Connection
	if !l.detached {
		duplicated, err := duplicateFD(l.fd)
		if err != nil {
			l.fdMu.Unlock()
			return false
		}
		previous, l.fd, l.detached = l.conn, duplicated, true
	}
	w.watch(l)
	l.fdMu.Unlock()
	if previous != nil {
		_ = previous.Close()
	}
	return true
}

// StopReading has nothing more read than the rest of the message that has come in part. It is called on the poller, once.
// missing gives the bytes that a part lacks at the least. False says that the system can't do it now.
func (l *Link) StopReadingAtMessageEnd(missingBytes func(partial []byte) int) bool {
	l.missingBytes, l.readStopped = missingBytes, true
	mode := readNone
	if len(l.partial) > 0 {
		mode = readMessageRest
	}
	return l.detach(mode)
}

// stopReadingNow has nothing more read at all, on the poller. It waits for a read in hand.
func (l *Link) stopAllReading() {
	if !l.readStopped {
		l.readStopped = true
		l.detach(readNone)
	}
	l.StopReadingNow()
}

// attach gives a detached link back to the dependency, on the poller.
func (l *Link) attach() {
	l.fdMu.Lock()
	if l.fdClosed || !l.detached {
		l.fdMu.Unlock()
		return
	}
	getWatcher().unwatch(l)
	conn, err := netpoll.NewFDConnection(l.fd)
	if err != nil || !conn.IsActive() { // the dependency has closed the socket
		l.fdClosed = true
		l.fdMu.Unlock()
		l.markClosed(err)
		l.socketClosed()
		return
	}
	l.conn, l.detached = conn, false
	l.fdMu.Unlock()
	l.setConn(conn)
	_ = conn.SetOnRequest(l.handleData) // nothing can have come before the poller's next turn
}

// EndReading has nothing more read at all, after StopReading. It waits for a read in hand.
func (l *Link) StopReadingNow() {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.stopRestRead()
}

func (l *Link) stopRestRead() {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.mode == readMessageRest {
		l.mode = readNone
		if !l.fdClosed {
			getWatcher().watch(l)
		}
	}
}

// watched takes what the system tells of a detached link, on the watcher.
func (l *Link) handleEvents(events uint32) {
	if events&unix.EPOLLIN != 0 && l.readMessageRest() {
		return
	}
	if events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.closeDetached(nil)
	}
}

// readRest reads more of the message in part, never beyond its end, and says whether the link goes on.
func (l *Link) readMessageRest() (open bool) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if !l.isReadingRest() {
		return true
	}
	part := make([]byte, min(maxWatcherReadBytes, max(1, l.missingBytes(l.partial))))
	n, err := l.receive(part)
	switch {
	case err != nil:
		return isTransient(err)
	case n <= 0:
		return false
	}
	rest, err := l.handle(l, append(l.partial, part[:n]...))
	l.partial = append([]byte(nil), rest...)
	if err != nil {
		l.Close(err)
	}
	if len(l.partial) == 0 {
		l.stopRestRead()
	}
	return true
}

func (l *Link) isReadingRest() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.detached && !l.fdClosed && l.mode == readMessageRest
}

// receive reads what there is, without waiting.
func (l *Link) receive(into []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0, net.ErrClosed
	}
	n, _, err := syscall.Recvfrom(l.fd, into, syscall.MSG_DONTWAIT)
	return n, err
}

// Finish ends this side's stream once all is written, so that the other side sees that no more comes, and closes once the
// other side has ended its own. It is called after StopReading. A close over what stands unread resets the connection, and
// would take answers with it that have not arrived: where the other side goes on, the close waits until it has acknowledged
// all and linger has passed, and where something of it stands unread for most.
func (l *Link) FlushAndClose(reason error, linger, maxLinger time.Duration) {
	l.WhenWritten(func() {
		l.fdMu.Lock()
		if !l.fdClosed {
			_ = syscall.Shutdown(l.fd, syscall.SHUT_WR)
		}
		l.fdMu.Unlock()
		start := time.Now()
		var closeWhenReceived func()
		closeWhenReceived = func() {
			if l.unacknowledgedBytes() > 0 || !l.IsReadIdle() && !l.isFDClosed() && time.Since(start) < maxLinger {
				time.AfterFunc(linger, closeWhenReceived)
				return
			}
			l.Close(reason)
		}
		time.AfterFunc(linger, closeWhenReceived)
	})
}

// unacknowledged is how many bytes of what was written the other side's system has not acknowledged; 0 if the system can't
// tell, or the link is gone.
func (l *Link) unacknowledgedBytes() int {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0
	}
	n, err := unix.IoctlGetInt(l.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// release closes a detached link's socket, once.
func (l *Link) closeDetached(reason error) {
	l.fdMu.Lock()
	if l.fdClosed || !l.detached {
		l.fdMu.Unlock()
		return
	}
	l.fdClosed = true
	getWatcher().unwatch(l)
	_ = syscall.Close(l.fd)
	l.fdMu.Unlock()
	l.markClosed(reason)
	l.socketClosed()
}

// adopt makes a connection of the dependency's the link's.
func (l *Link) setConn(conn netpoll.Connection) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		l.fdMu.Lock()
		if l.detached || l.conn != conn { // the link goes on without it
			l.fdMu.Unlock()
			return nil
		}
		l.fdClosed = true
		l.fdMu.Unlock()
		l.markClosed(nil)
		l.socketClosed()
		return nil
	})
}

// closed tells that the socket is closed.
func (l *Link) socketClosed() {
	if l.onSocketClosed != nil {
		l.onSocketClosed()
	}
}
