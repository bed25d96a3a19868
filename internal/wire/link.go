package wire

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"google.golang.org/protobuf/proto"
)

func init() {
	netpoll.SetLoggerOutput(io.Discard) // it writes a line for each connection that is reset
	// What arrives is handled on the poller itself: a handler that waits for room stops the reading, so that the
	// senders' sockets fill up and hold them back. (On a goroutine of its own the handler would wait while netpoll went
	// on reading into memory without a bound.) Handlers wait for nothing else. The price: a connection must never be
	// closed by netpoll's Close, which in a handler would wait for the poller that it runs on; see Link.Close.
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: func(_ context.Context, f func()) { f() }})
	if err != nil {
		panic(err) // only wrong figures are refused
	}
}

// ErrClosed is the reason of a link that its own side closed.
var ErrClosed = errors.New("closed here")

// ErrSlowReader is the reason of a link whose other side has taken nothing for slowReaderAfter while something waited for it.
var ErrSlowReader = errors.New("the other side does not read")

// Handler takes a frame. The body is good only during the call. An error closes the link with it as the reason.
type Handler func(l *Link, kind Kind, body []byte) error

// Reader takes what has come, beginning with what it left of it before, and gives back what it can't use yet. An error
// closes the link with it as the reason.
type DataHandler func(l *Link, data []byte) (rest []byte, err error)

// frames reads frames.
func frameDecoder(maxBytes int, handle Handler) DataHandler {
	return func(l *Link, data []byte) ([]byte, error) {
		for {
			kind, body, rest, ok, err := nextFrame(data, maxBytes)
			if err == nil && ok {
				err = handle(l, kind, body)
			}
			if err != nil || !ok {
				return data, err
			}
			data = rest
		}
	}
}

// Link carries frames, or bytes that its reader knows, both ways over one connection. Put, Flush and Close may be called
// from any goroutine. The closed callback is called once, by whoever closes it or on the poller; the handler may still be
// at work then.
type Link struct {
	conn       netpoll.Connection
	handle     DataHandler
	onClosed   func(*Link, error)
	partial    []byte // what has not come whole
	maxPending int
	// the other side's address, empty where this side was dialled
	remote string
	peer   net.Addr

	mu           sync.Mutex
	pending      []byte
	reusable     []byte
	flushing     bool
	closed       bool
	whenWritten  []func() // to be called once all is written
	putBytes     int64    // bytes so far
	buffered     int64    // bytes that the owner holds for the other side and has not put yet
	budgeted     int64    // bytes that the budget was told of
	readPaused   bool     // so much waits that nothing more is to be read
	sendingBytes int64    // of these, up to where the system is being given them
	writtenBytes int64    // and up to where the system has them
	writeFailed  bool     // what was taken last was not written whole
	closeOnce    sync.Once
	flushFn      func()

	fdMu     sync.Mutex
	fd       int
	fdClosed bool     // the descriptor is closed or about to be, and may soon be another's
	detached bool     // the dependency has it no more
	mode     readMode // how far a detached link is read
	watchID  int32    // its number at the watcher, 0 if it has none

	readMu            sync.Mutex // held over a read of the watcher
	missingBytes      func(part []byte) int
	readStopped       bool // reading does not begin again; the poller's
	isServer          bool // of a server: reading stops while too much waits
	budget            *BufferBudget
	slowReaderTimeout time.Duration
	onSocketClosed    func() // called once the socket is closed, nil if nobody asks
}

// Bounds of a link, in bytes.
type Limits struct {
	MaxFrameBytes int // greatest message of a frame
	// What may wait to be written. A dialled link takes no more than that; a server's link takes all that is owed to its client,
	// and reads nothing while more waits.
	MaxPendingBytes int
	Budget          *BufferBudget // of a server's links together, nil if there is none
	// How long the other side may take nothing while something waits for it; slowReaderAfter if 0.
	SlowReaderTimeout time.Duration
}

// DefaultBounds suit every role.
var DefaultLimits = Limits{MaxFrameBytes: MaxFrameBytes, MaxPendingBytes: 8 << 20}

func newLink(conn netpoll.Connection, limits Limits, handle DataHandler, onClosed func(*Link, error)) *Link {
	l := &Link{conn: conn, handle: handle, onClosed: onClosed, maxPending: limits.MaxPendingBytes, slowReaderTimeout: cmp.Or(limits.SlowReaderTimeout, defaultSlowReaderTimeout), budget: limits.Budget, peer: conn.RemoteAddr()}
	l.flushFn = l.flush
	l.fd = -1
	if conn, ok := conn.(netpoll.Conn); ok {
		l.fd = conn.Fd()
	}
	l.setConn(conn)
	return l
}

// Dial opens a link of frames. It blocks for at most the limit.
func Dial(address string, timeout time.Duration, limits Limits, handle Handler, onClosed func(*Link, error)) (*Link, error) {
	return DialRaw(address, timeout, limits, frameDecoder(limits.MaxFrameBytes, handle), onClosed)
}

// DialRaw opens a link whose reader takes the bytes as they come.
func DialRaw(address string, timeout time.Duration, limits Limits, handle DataHandler, onClosed func(*Link, error)) (*Link, error) {
	conn, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	l := newLink(conn, limits, handle, onClosed)
	l.remote = address
	if err := conn.SetOnRequest(l.handleData); err != nil {
		conn.Close()
		return nil, err
	}
	if !conn.IsActive() { // closed before anyone could be told of it
		l.markClosed(net.ErrClosed)
		conn.Close()
	}
	return l, nil
}

// arrivedOn gives the reader what has come. It always takes all that is there and waits for nothing.
func (l *Link) handleData(_ context.Context, conn netpoll.Connection) error {
	r := conn.Reader()
	data, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if len(l.partial) > 0 {
		l.partial = append(l.partial, data...)
		data = l.partial
	}
	rest, err := l.handle(l, data)
	if err != nil {
		l.partial = nil
		r.Release()
		l.Close(err)
		return err
	}
	if len(rest) > 0 && len(l.partial) > 0 && &rest[0] == &l.partial[0] {
		l.partial = l.partial[:len(rest)]
	} else {
		l.partial = append(l.partial[:0], rest...)
	}
	if len(rest) == 0 && cap(l.partial) > 64<<10 {
		l.partial = nil
	}
	return r.Release()
}

// add has something appended to what waits to be written. What is owed is taken however much waits.
func (l *Link) enqueue(unbounded bool, encode func(buf []byte) ([]byte, error)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !unbounded && len(l.pending) > l.maxPending {
		return false
	}
	buf, err := encode(l.pending)
	if err == nil {
		l.putBytes += int64(len(buf) - len(l.pending))
		l.pending = buf
		l.updateBuffered()
	}
	return err == nil
}

// frame is add for a frame of a kind.
func (l *Link) enqueueFrame(unbounded bool, kind Kind, appendMessage func(buf []byte) ([]byte, error)) bool {
	return l.enqueue(unbounded, func(buf []byte) ([]byte, error) {
		buf, start := beginFrame(buf, kind)
		buf, err := appendMessage(buf)
		if err == nil {
			finishFrame(buf, start)
		}
		return buf, err
	})
}

// Put adds a frame to what waits to be written. False says that nothing of it will ever leave: the link has
// closed or too much waits already.
func (l *Link) Put(kind Kind, m Message) bool {
	return l.enqueueFrame(false, kind, func(to []byte) ([]byte, error) { return m.appendTo(to), nil })
}

// PutOwed is Put for an answer: it is refused only where the link has ended.
func (l *Link) PutUnbounded(kind Kind, m Message) bool {
	return l.enqueueFrame(true, kind, func(to []byte) ([]byte, error) { return m.appendTo(to), nil })
}

// PutProto is Put for generated messages.
func (l *Link) PutProto(kind Kind, m proto.Message) bool {
	return l.enqueueFrame(false, kind, func(to []byte) ([]byte, error) { return proto.MarshalOptions{}.MarshalAppend(to, m) })
}

// PutFrame is Put for a message that is encoded already.
func (l *Link) PutEncoded(kind Kind, body []byte) bool {
	return l.enqueueFrame(false, kind, func(to []byte) ([]byte, error) { return append(to, body...), nil })
}

// PutRaw adds bytes that are frames already, or are meant to be none.
func (l *Link) PutRaw(b []byte) bool {
	return l.enqueue(false, func(to []byte) ([]byte, error) { return append(to, b...), nil })
}

// PutRawOwed is PutRaw for an answer: it is refused only where the link has ended.
func (l *Link) PutRawUnbounded(b []byte) bool {
	return l.enqueue(true, func(to []byte) ([]byte, error) { return append(to, b...), nil })
}

// Mark is how many bytes were put so far, for MayHave.
func (l *Link) PutOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.putBytes
}

// MayHave says whether the other side may have all that was put up to a mark. It has not, as is proven, while the system was
// not given the last byte, or once it has refused it.
func (l *Link) MayHaveSent(offset int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return offset <= l.writtenBytes || offset <= l.sendingBytes && !l.writeFailed
}

// Send is PutProto and Flush.
func (l *Link) Send(kind Kind, m proto.Message) bool {
	ok := l.PutProto(kind, m)
	l.Flush()
	return ok
}

// Waiting says whether something waits to be written.
func (l *Link) HasPendingWrites() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && (l.flushing || len(l.pending) > 0)
}

// Flush has written what waits, on a goroutine of its own, since a socket that is full makes the writer wait.
func (l *Link) Flush() {
	l.mu.Lock()
	start := !l.flushing && !l.closed && len(l.pending) > 0
	l.flushing = l.flushing || start
	l.mu.Unlock()
	if start {
		go l.flushFn()
	}
}

func (l *Link) flush() {
	for {
		l.mu.Lock()
		if l.closed || len(l.pending) == 0 {
			l.flushing = false
			then := l.whenWritten
			l.whenWritten = nil
			l.mu.Unlock()
			for _, f := range then {
				f()
			}
			return
		}
		out := l.pending
		l.pending, l.reusable = l.reusable[:0], nil
		l.sendingBytes = l.putBytes
		l.mu.Unlock()
		err := l.sendAll(out)
		l.mu.Lock()
		if cap(out) <= 256<<10 {
			l.reusable = out[:0]
		}
		l.writeFailed = err != nil
		l.mu.Unlock()
		if err != nil {
			l.Close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// WhenWritten calls a function once what waits has been written, or the link has ended.
func (l *Link) WhenWritten(then func()) {
	l.mu.Lock()
	written := !l.flushing && (l.closed || len(l.pending) == 0)
	if !written {
		l.whenWritten = append(l.whenWritten, then)
	}
	l.mu.Unlock()
	if written {
		then()
	} else {
		l.Flush()
	}
}

// CloseUnread ends the link at once, on the poller, and says whether it did: not if something stands unread, has come in part
// (unless parts are given up), waits to be written or has not arrived: what comes after a close resets the connection, and what
// is on its way to the other side is gone with it. What comes from then on is never read, and its sender sees that.
func (l *Link) CloseIfIdle(reason error, discardPartial bool) bool {
	if l.isDetached() || !discardPartial && len(l.partial) > 0 || l.HasPendingWrites() || l.unacknowledgedBytes() > 0 || !l.IsReadIdle() {
		return false
	}
	l.markClosed(reason)
	_ = l.conn.Close() // not of the connection whose handler is at work, if any: see init
	return true
}

// Close ends the link for a reason. What waits to be written may be lost. The handler may still be at work on another
// goroutine, and must take what it does then for nothing. The socket is shut down and left to the poller to close.
func (l *Link) Close(reason error) {
	l.markClosed(reason)
	if l.isDetached() {
		l.closeDetached(reason)
		return
	}
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if !l.fdClosed {
		_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
}

func (l *Link) isFDClosed() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.fdClosed
}

func (l *Link) isDetached() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	return l.detached
}

func (l *Link) markClosed(reason error) {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.updateBuffered()
		l.mu.Unlock()
		if l.onClosed != nil {
			l.onClosed(l, reason)
		}
	})
}

// InPart says that a message has come in part, on the poller.
func (l *Link) HasPartialMessage() bool { return len(l.partial) > 0 }

// Dead says whether the link has ended.
func (l *Link) Dead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Quiet says that nothing stands in the socket unread and the other side has not ended it, as far as has come here.
func (l *Link) IsReadIdle() bool {
	l.fdMu.Lock()
	defer l.fdMu.Unlock()
	if l.fdClosed {
		return false
	}
	var one [1]byte
	for range maxInterruptions {
		if _, _, err := syscall.Recvfrom(l.fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
	return false // it could not be told
}

// RemoteAddr names the other side.
func (l *Link) RemoteAddr() string {
	if l.remote != "" {
		return l.remote
	}
	return l.peer.String()
}
