package wire

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Netpoll reads a connection for as long as it owns it, and offers no way to stop. To stop reading a link, or to read no further
// than the end of a partial message, the link is detached from netpoll: the socket stays open, answers can still be written to
// it, and the package's own watcher detects when the peer closes it.

// readMode determines who reads a link's socket, and how far.
type readMode uint8

const (
	readAll     readMode = iota // netpoll reads everything
	readPartial                 // the watcher reads the rest of a partial message
	readNone                    // nothing is read
)

// maxWatcherReadBytes is the maximum size of a read by the watcher.
const maxWatcherReadBytes = 64 << 10

// watchRetryDelay is the delay before a failed epoll call is retried.
const watchRetryDelay = 10 * time.Millisecond

// watcher detects when the peers of detached links close, and reads the rest of partial messages.
type watcher struct {
	epoll  int
	mu     sync.Mutex
	links  map[int32]*Link
	lastID int32
}

// globalWatcher is the process's watcher, once it is created.
var globalWatcher struct {
	sync.Mutex
	*watcher
}

// getWatcher returns the process's watcher, or nil if it can't be created.
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

// run handles epoll events for as long as the process runs, on a goroutine of its own.
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

// epollEvents returns the epoll events to watch for in a mode.
func epollEvents(mode readMode) uint32 {
	if mode == readPartial {
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
	return unix.EPOLLRDHUP
}

// update watches a detached link for the events of its mode. The link's fdMu is held.
func (w *watcher) update(l *Link) {
	operation := unix.EPOLL_CTL_MOD
	w.mu.Lock()
	if l.watchID == 0 {
		operation = unix.EPOLL_CTL_ADD
		w.lastID++
		l.watchID = w.lastID
		w.links[l.watchID] = l
	}
	w.mu.Unlock()
	// The event carries the watch ID and not the descriptor, whose number may be reused by the time the event is handled.
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
				w.update(l)
			}
		})
	}
}

// unwatch stops watching a link. The link's fdMu is held.
func (w *watcher) unwatch(l *Link) {
	w.mu.Lock()
	delete(w.links, l.watchID)
	l.watchID = 0
	w.mu.Unlock()
	_ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_DEL, l.fd, nil)
}

// detach detaches a link from netpoll and reports whether it is detached; it is called on the poller. All data read by then has
// passed through the handler. The link continues with a duplicate of the descriptor: netpoll may be closing its own at the same
// time, on another goroutine, because the peer has closed the connection.
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
	w.update(l)
	l.fdMu.Unlock()
	if previous != nil {
		_ = previous.Close()
	}
	return true
}

// StopReadingAtMessageEnd stops reading after the rest of a partial message. It is called once, on the poller. missingBytes
// returns the minimum number of bytes that a partial message still lacks. StopReadingAtMessageEnd returns false if the link could
// not be detached, because its descriptor is closed or the system has none left; the caller may retry.
func (l *Link) StopReadingAtMessageEnd(missingBytes func(partial []byte) int) bool {
	l.missingBytes, l.readStopped = missingBytes, true
	mode := readNone
	if len(l.partial) > 0 {
		mode = readPartial
	}
	return l.detach(mode)
}

// stopAllReading stops reading for good, whether or not StopReadingAtMessageEnd was called. It is called on the poller, and waits
// for a read in progress.
func (l *Link) stopAllReading() {
	if !l.readStopped {
		l.readStopped = true
		l.detach(readNone)
	}
	l.StopReadingNow()
}

// attach gives a detached link back to netpoll. It is called on the poller.
func (l *Link) attach() {
	l.fdMu.Lock()
	if l.fdClosed || !l.detached {
		l.fdMu.Unlock()
		return
	}
	getWatcher().unwatch(l)
	conn, err := netpoll.NewFDConnection(l.fd)
	if err != nil || !conn.IsActive() { // netpoll has closed the socket
		l.fdClosed = true
		l.fdMu.Unlock()
		l.markClosed(err)
		l.notifySocketClosed()
		return
	}
	l.conn, l.detached = conn, false
	l.fdMu.Unlock()
	l.setConn(conn)
	_ = conn.SetOnRequest(l.handleData) // no data can arrive before the poller's next iteration
}

// StopReadingNow stops all reading, also of a partial message, after StopReadingAtMessageEnd. It waits for a read in progress.
func (l *Link) StopReadingNow() {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.stopPartialRead()
}

// stopPartialRead stops reading the rest of a partial message. The link's readMu is held.
func (l *Link) stopPartialRead() {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.mode == readPartial {
		l.mode = readNone
		if !l.fdClosed {
			getWatcher().update(l)
		}
	}
}

// handleEvents handles the epoll events of a detached link, on the watcher's goroutine.
func (l *Link) handleEvents(events uint32) {
	if events&unix.EPOLLIN != 0 && l.readPartialMessage() {
		return
	}
	if events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.closeDetached(nil)
	}
}

// readPartialMessage reads more of a partial message, never beyond its end, and reports whether the connection is still open.
func (l *Link) readPartialMessage() (open bool) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if !l.isReadingPartial() {
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
	l.countPartial()
	if err != nil {
		l.Close(err)
	}
	if len(l.partial) == 0 {
		l.stopPartialRead()
	}
	return true
}

// isReadingPartial reports whether the watcher is to read the rest of a partial message.
func (l *Link) isReadingPartial() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.detached && !l.fdClosed && l.mode == readPartial
}

// receive reads available data without blocking.
func (l *Link) receive(buf []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0, net.ErrClosed
	}
	n, _, err := syscall.Recvfrom(l.fd, buf, syscall.MSG_DONTWAIT)
	return n, err
}

// FlushAndClose shuts down the write direction once everything is written, so that the peer sees the end of the stream, and
// closes the link once the peer closes its end. It is called after reading has stopped. Closing a socket with unread data resets
// the connection, and loses answers that have not arrived. If the peer keeps its end open, the link is therefore closed only
// after linger, once the peer has acknowledged everything and there is no unread data. Unread data delays the close for at most
// maxLinger, and a peer that acknowledges nothing for at most the link's SlowReaderTimeout.
func (l *Link) FlushAndClose(reason error, linger, maxLinger time.Duration) {
	l.WhenWritten(func() {
		l.fdMu.Lock()
		if !l.fdClosed {
			_ = syscall.Shutdown(l.fd, syscall.SHUT_WR)
		}
		l.fdMu.Unlock()
		start := time.Now()
		var progress ReadProgress
		var closeWhenReceived func()
		closeWhenReceived = func() {
			if l.PeerStalled(&progress, time.Now()) {
				l.Close(ErrSlowReader)
				return
			}
			if l.unacknowledgedBytes() > 0 || !l.IsReadIdle() && !l.isFDClosed() && time.Since(start) < maxLinger {
				time.AfterFunc(linger, closeWhenReceived)
				return
			}
			l.Close(reason)
		}
		time.AfterFunc(linger, closeWhenReceived)
	})
}

// unacknowledgedBytes returns how many written bytes the peer's kernel has not acknowledged, 0 if that is unknown or the
// descriptor is closed.
func (l *Link) unacknowledgedBytes() int { return l.socketQueue(unix.SIOCOUTQ) }

// socketQueue returns the length of one of the socket's queues in bytes, 0 if that is unknown or the descriptor is closed.
func (l *Link) socketQueue(request uint) int {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return 0
	}
	n, err := unix.IoctlGetInt(l.fd, request)
	if err != nil {
		return 0
	}
	return n
}

// closeDetached closes a detached link's socket, once.
func (l *Link) closeDetached(reason error) {
	l.fdMu.Lock()
	if l.fdClosed || !l.detached {
		l.fdMu.Unlock()
		return
	}
	l.fdClosed = true
	getWatcher().unwatch(l)
	l.dropUndelivered()
	_ = syscall.Close(l.fd)
	l.fdMu.Unlock()
	l.markClosed(reason)
	l.notifySocketClosed()
}

// setConn sets the close callback of the link's netpoll connection.
func (l *Link) setConn(conn netpoll.Connection) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		l.fdMu.Lock()
		if l.detached || l.conn != conn { // the link no longer uses conn
			l.fdMu.Unlock()
			return nil
		}
		l.fdClosed = true
		l.fdMu.Unlock()
		l.markClosed(nil)
		l.notifySocketClosed()
		return nil
	})
}

// notifySocketClosed counts that the socket is closed, and calls onSocketClosed.
func (l *Link) notifySocketClosed() {
	l.descriptors.add(-1)
	if l.onSocketClosed != nil {
		l.onSocketClosed()
	}
}
