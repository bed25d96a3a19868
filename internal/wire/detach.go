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
	readAll  readMode = iota // the dependency reads what comes
	readRest                 // the watcher reads the rest of a message in part
	readNone                 // nothing is read
)

// mostReadAtOnce bounds one read of the watcher, in bytes.
const mostReadAtOnce = 64 << 10

// watchRetry is the wait before the system is asked again to watch a socket, when it could not.
const watchRetry = 10 * time.Millisecond

// watcher tells of detached links whose other side has closed, and reads the rest of messages in part.
type watcher struct {
	epoll int
	mu    sync.Mutex
	links map[int32]*Link
	last  int32
}

var watching struct {
	sync.Mutex
	*watcher
}

// theWatcher gives the process's watcher, nil if the system is short of what it takes.
func theWatcher() *watcher {
	watching.Lock()
	defer watching.Unlock()
	if watching.watcher != nil {
		return watching.watcher
	}
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil
	}
	watching.watcher = &watcher{epoll: epoll, links: map[int32]*Link{}}
	go watching.watcher.run()
	return watching.watcher
}

func (w *watcher) run() {
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err != nil && err != unix.EINTR {
			time.Sleep(watchRetry)
		}
		for i := range max(n, 0) {
			w.mu.Lock()
			l := w.links[events[i].Fd]
			w.mu.Unlock()
			if l != nil {
				l.watched(events[i].Events)
			}
		}
	}
}

// interest is what the system is to tell of a link.
func interest(mode readMode) uint32 {
	if mode == readRest {
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
	return unix.EPOLLRDHUP
}

// set has a detached link watched for what its mode asks for. The link's fdMu is held.
func (w *watcher) set(l *Link) {
	call := unix.EPOLL_CTL_MOD
	w.mu.Lock()
	if l.watch == 0 {
		call = unix.EPOLL_CTL_ADD
		w.last++
		l.watch = w.last
		w.links[l.watch] = l
	}
	w.mu.Unlock()
	// The event's number is ours and not the descriptor's, which may be another's by the time the event is taken up.
	event := unix.EpollEvent{Events: interest(l.mode), Fd: l.watch}
	err := unix.EpollCtl(w.epoll, call, l.fd, &event)
	if err == unix.ENOENT {
		err = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, l.fd, &event)
	}
	if err != nil {
		time.AfterFunc(watchRetry, func() {
			l.fdMu.Lock()
			defer l.fdMu.Unlock()
			if l.detached && !l.gone {
				w.set(l)
			}
		})
	}
}

// drop ends the watch of a link. The link's fdMu is held.
func (w *watcher) drop(l *Link) {
	w.mu.Lock()
	delete(w.links, l.watch)
	l.watch = 0
	w.mu.Unlock()
	_ = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_DEL, l.fd, nil)
}

// detach takes a link from the dependency, on the poller, and says whether it is detached. What had been read by then has
// gone through the reader. The link goes on with a descriptor of its own: the dependency may be closing its one just now, on
// another goroutine, since the other side has ended the connection.
func (l *Link) detach(mode readMode) bool {
	w := theWatcher()
	if w == nil {
		return false
	}
	l.fdMu.Lock()
	if l.gone {
		l.fdMu.Unlock()
		return false
	}
	l.mode = mode
	var given netpoll.Connection
	if !l.detached {
		own, err := duplicate(l.fd)
		if err != nil {
			l.fdMu.Unlock()
			return false
		}
		given, l.fd, l.detached = l.conn, own, true
	}
	w.set(l)
	l.fdMu.Unlock()
	if given != nil {
		_ = given.Close()
	}
	return true
}

// StopReading has nothing more read than the rest of the message that has come in part. It is called on the poller, once.
// missing gives the bytes that a part lacks at the least. False says that the system can't do it now.
func (l *Link) StopReadingAtMessageEnd(missing func(part []byte) int) bool {
	l.missing, l.stopped = missing, true
	mode := readNone
	if len(l.carry) > 0 {
		mode = readRest
	}
	return l.detach(mode)
}

// stopReadingNow has nothing more read at all, on the poller. It waits for a read in hand.
func (l *Link) stopAllReading() {
	if !l.stopped {
		l.stopped = true
		l.detach(readNone)
	}
	l.StopReadingNow()
}

// attach gives a detached link back to the dependency, on the poller.
func (l *Link) attach() {
	l.fdMu.Lock()
	if l.gone || !l.detached {
		l.fdMu.Unlock()
		return
	}
	theWatcher().drop(l)
	conn, err := netpoll.NewFDConnection(l.fd)
	if err != nil || !conn.IsActive() { // the dependency has closed the socket
		l.gone = true
		l.fdMu.Unlock()
		l.over(err)
		l.closed()
		return
	}
	l.conn, l.detached = conn, false
	l.fdMu.Unlock()
	l.adopt(conn)
	_ = conn.SetOnRequest(l.arrivedOn) // nothing can have come before the poller's next turn
}

// EndReading has nothing more read at all, after StopReading. It waits for a read in hand.
func (l *Link) StopReadingNow() {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.endReading()
}

func (l *Link) endReading() {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.mode == readRest {
		l.mode = readNone
		if !l.gone {
			theWatcher().set(l)
		}
	}
}

// watched takes what the system tells of a detached link, on the watcher.
func (l *Link) watched(events uint32) {
	if events&unix.EPOLLIN != 0 && l.readRest() {
		return
	}
	if events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.release(nil)
	}
}

// readRest reads more of the message in part, never beyond its end, and says whether the link goes on.
func (l *Link) readRest() (goesOn bool) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if !l.readsRest() {
		return true
	}
	part := make([]byte, min(mostReadAtOnce, max(1, l.missing(l.carry))))
	n, err := l.receive(part)
	switch {
	case err != nil:
		return passes(err)
	case n <= 0:
		return false
	}
	rest, err := l.read(l, append(l.carry, part[:n]...))
	l.carry = append([]byte(nil), rest...)
	if err != nil {
		l.Close(err)
	}
	if len(l.carry) == 0 {
		l.endReading()
	}
	return true
}

func (l *Link) readsRest() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.detached && !l.gone && l.mode == readRest
}

// receive reads what there is, without waiting.
func (l *Link) receive(into []byte) (int, error) {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.gone {
		return 0, net.ErrClosed
	}
	n, _, err := syscall.Recvfrom(l.fd, into, syscall.MSG_DONTWAIT)
	return n, err
}

// Finish ends this side's stream once all is written, so that the other side sees that no more comes, and closes once the
// other side has ended its own. It is called after StopReading. A close over what stands unread resets the connection, and
// would take answers with it that have not arrived: where the other side goes on, the close waits until it has acknowledged
// all and linger has passed, and where something of it stands unread for most.
func (l *Link) FlushAndClose(reason error, linger, most time.Duration) {
	l.WhenWritten(func() {
		l.fdMu.Lock()
		if !l.gone {
			_ = syscall.Shutdown(l.fd, syscall.SHUT_WR)
		}
		l.fdMu.Unlock()
		began := time.Now()
		var lingered func()
		lingered = func() {
			if l.unacknowledged() > 0 || !l.IsReadIdle() && !l.isGone() && time.Since(began) < most {
				time.AfterFunc(linger, lingered)
				return
			}
			l.Close(reason)
		}
		time.AfterFunc(linger, lingered)
	})
}

// unacknowledged is how many bytes of what was written the other side's system has not acknowledged; 0 if the system can't
// tell, or the link is gone.
func (l *Link) unacknowledged() int {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.gone {
		return 0
	}
	n, err := unix.IoctlGetInt(l.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// release closes a detached link's socket, once.
func (l *Link) release(reason error) {
	l.fdMu.Lock()
	if l.gone || !l.detached {
		l.fdMu.Unlock()
		return
	}
	l.gone = true
	theWatcher().drop(l)
	_ = syscall.Close(l.fd)
	l.fdMu.Unlock()
	l.over(reason)
	l.closed()
}

// adopt makes a connection of the dependency's the link's.
func (l *Link) adopt(conn netpoll.Connection) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		l.fdMu.Lock()
		if l.detached || l.conn != conn { // the link goes on without it
			l.fdMu.Unlock()
			return nil
		}
		l.gone = true
		l.fdMu.Unlock()
		l.over(nil)
		l.closed()
		return nil
	})
}

// closed tells that the socket is closed.
func (l *Link) closed() {
	if l.onClosed != nil {
		l.onClosed()
	}
}
