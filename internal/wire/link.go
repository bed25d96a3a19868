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

	"scalechute/internal/memory"
)

func init() {
	netpoll.SetLoggerOutput(io.Discard) // netpoll logs a line for each connection that is reset
	// Handlers run on the poller itself: a handler that blocks because a queue is full stops all reading, so that TCP flow
	// control slows down the senders. (If handlers ran on goroutines of their own, netpoll would go on reading into unbounded
	// memory while they block.) Handlers block for no other reason. As a consequence the Close of a netpoll connection may be
	// called on the poller alone, and not by the connection's own handler: it waits until the handler does not run, and if it
	// is called beside the poller and the handler does run, the poller waits for itself for ever. See Link.Close.
	err := netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: func(_ context.Context, f func()) { f() }})
	if err != nil {
		panic(err) // Configure fails only for invalid values
	}
}

// ErrClosed is the reason for closing a link that this process closed.
var ErrClosed = errors.New("closed locally")

// ErrSlowReader is the reason for closing a link whose peer has received nothing for the link's SlowReaderTimeout while data
// waited for it.
var ErrSlowReader = errors.New("peer is not reading")

// Handler handles a received frame. The body is valid only during the call. An error closes the link with it as the reason.
type Handler func(l *Link, kind Kind, body []byte) error

// DataHandler handles received data. The data begins with the rest that the previous call returned; rest is what can't be
// handled until more has arrived. An error closes the link with it as the reason.
type DataHandler func(l *Link, data []byte) (rest []byte, err error)

// frameDecoder returns a DataHandler that splits data into frames.
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

// Link is a connection that carries frames, or bytes that its DataHandler interprets, in both directions. Put, Flush and Close
// may be called from any goroutine. The onClosed callback is called once, on the goroutine that closes the link or on the
// poller; the handler may still be running then.
type Link struct {
	conn       netpoll.Connection
	handle     DataHandler
	onClosed   func(*Link, error)
	partial    []byte // received bytes of an incomplete message
	maxPending int    // bytes
	// empty for an accepted connection
	dialledAddr string
	resets      bool // closing drops what the kernel has not delivered; see dropUndelivered
	peerAddr    net.Addr

	mu           sync.Mutex
	pending      []byte // bytes that were put and are not being written yet
	reusable     []byte // a buffer that was written, for pending to reuse
	flushing     bool   // a goroutine is writing
	closed       bool
	whenWritten  []func() // called once everything is written
	putBytes     int64    // total bytes put
	partialBytes int64    // bytes counted as an incomplete message
	buffered     int64    // bytes that the owner buffers for the peer and has not put yet
	budgeted     int64    // bytes counted against the budget for this link
	readPaused   bool     // reading is to be paused, since too much waits to be written
	memoryPaused bool     // reading is to be paused, since too much of incomplete messages has arrived
	sendingBytes int64    // of putBytes, those passed to the kernel or being passed to it
	writtenBytes int64    // of putBytes, those that the kernel has accepted
	writeEnded   bool     // the kernel accepts nothing more: the last write failed, or the link was closed
	closeOnce    sync.Once
	flushFn      func()

	fdMu     sync.Mutex
	fd       int
	fdClosed bool     // the descriptor is closed or about to be, and its number may be reused
	detached bool     // netpoll no longer owns the connection
	mode     readMode // how far a detached link is read
	watchID  int32    // its ID at the watcher, 0 if it is not watched

	largestWindow int // largest window that the peer was seen to offer, in bytes; guarded by fdMu

	readMu            sync.Mutex // held during a read by the watcher
	missingBytes      func(part []byte) int
	readStopped       bool // reading never resumes; used only on the poller
	isServer          bool // accepted by a server: reading pauses while too much waits to be written
	budget            *memory.Budget
	slowReaderTimeout time.Duration
	partials          *PartialMessages
	partialCounted    bool   // bytes of partial are counted; used where partial is
	onPartialGivenUp  func() // nil unless partials gives messages up
	descriptors       *Descriptors
	onSocketClosed    func() // called once the socket is closed; may be nil
}

// Limits are the limits of a link.
type Limits struct {
	MaxFrameBytes int // maximum size of a frame's message
	// Maximum number of bytes that wait to be written. A dialled link refuses to put more. A server's link accepts every answer
	// put with PutUnbounded or PutRawUnbounded, but pauses reading while more than this waits.
	MaxPendingBytes int
	Budget          *memory.Budget   // of the bytes that wait to be written on a server's links; nil if there is none
	Descriptors     *Descriptors     // counts the links' sockets; nil if nothing does
	Partials        *PartialMessages // bounds incomplete messages together with those of other links; nil if nothing does
	// How long the peer may receive nothing while data waits for it; 0 means defaultSlowReaderTimeout.
	SlowReaderTimeout time.Duration
}

// DefaultLimits are limits that suit every role.
var DefaultLimits = Limits{MaxFrameBytes: MaxFrameBytes, MaxPendingBytes: 8 << 20}

// newLink makes a link of a connection. Its handler may be set later, but before data can arrive.
func newLink(conn netpoll.Connection, limits Limits, handle DataHandler, onClosed func(*Link, error)) *Link {
	l := &Link{conn: conn, handle: handle, onClosed: onClosed, maxPending: limits.MaxPendingBytes, slowReaderTimeout: cmp.Or(limits.SlowReaderTimeout, defaultSlowReaderTimeout), budget: limits.Budget, partials: limits.Partials, descriptors: limits.Descriptors, peerAddr: conn.RemoteAddr()}
	l.flushFn = l.flush
	l.fd = -1
	if conn, ok := conn.(netpoll.Conn); ok {
		l.fd = conn.Fd()
	}
	l.descriptors.add(1)
	l.setConn(conn)
	return l
}

// Dial opens a link that carries frames. It blocks for at most the timeout.
func Dial(address string, timeout time.Duration, limits Limits, handle Handler, onClosed func(*Link, error)) (*Link, error) {
	return DialRaw(address, timeout, limits, frameDecoder(limits.MaxFrameBytes, handle), onClosed)
}

// DialRaw is Dial for a link whose DataHandler handles plain bytes.
func DialRaw(address string, timeout time.Duration, limits Limits, handle DataHandler, onClosed func(*Link, error)) (*Link, error) {
	if err := startPoller(); err != nil {
		return nil, err
	}
	conn, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	l := newLink(conn, limits, handle, onClosed)
	l.dialledAddr = address
	l.resets = setResetOnClose(l.fd, true)
	if err := conn.SetOnRequest(l.handleData); err != nil {
		conn.Close()
		return nil, err
	}
	if !conn.IsActive() { // closed before the close callback was set
		l.markClosed(net.ErrClosed)
		conn.Close()
	}
	return l, nil
}

// handleData passes all received data to the handler, on the poller. It never blocks itself.
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
	l.keepPartial(rest)
	err = r.Release()
	if l.countPartial(); l.partials != nil {
		l.partials.makeRoom(l)
	}
	return err
}

// maxKeptBytes bounds a buffer that a link keeps for reuse. A process has hundreds of links.
const maxKeptBytes = 16 << 10

// keepPartial keeps the bytes of an incomplete message.
func (l *Link) keepPartial(rest []byte) {
	switch {
	case len(rest) > 0 && len(l.partial) > 0 && &rest[0] == &l.partial[0]:
		l.partial = l.partial[:len(rest)]
	case cap(l.partial) > maxKeptBytes && len(rest) == 0:
		l.partial = nil
	default:
		l.partial = append(l.partial[:0], rest...)
	}
}

// enqueue lets encode append to the bytes that wait to be written. Without unbounded, it refuses once more than maxPending
// bytes wait.
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

// enqueueFrame is enqueue for a frame, whose message appendMessage appends.
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

// Put appends a frame to the bytes that wait to be written. It returns false if the link has closed or too many bytes wait
// already; nothing of the frame is sent then.
func (l *Link) Put(kind Kind, m Message) bool {
	return l.enqueueFrame(false, kind, func(buf []byte) ([]byte, error) { return m.appendTo(buf), nil })
}

// PutUnbounded is Put for an answer: it ignores the limit on pending bytes, and returns false only if the link has closed.
func (l *Link) PutUnbounded(kind Kind, m Message) bool {
	return l.enqueueFrame(true, kind, func(buf []byte) ([]byte, error) { return m.appendTo(buf), nil })
}

// PutProto is Put for generated messages.
func (l *Link) PutProto(kind Kind, m proto.Message) bool {
	return l.enqueueFrame(false, kind, func(buf []byte) ([]byte, error) { return proto.MarshalOptions{}.MarshalAppend(buf, m) })
}

// PutEncoded is Put for a message that is already encoded.
func (l *Link) PutEncoded(kind Kind, body []byte) bool {
	return l.enqueueFrame(false, kind, func(buf []byte) ([]byte, error) { return append(buf, body...), nil })
}

// PutRaw is Put for bytes that are not to be framed.
func (l *Link) PutRaw(b []byte) bool {
	return l.enqueue(false, func(buf []byte) ([]byte, error) { return append(buf, b...), nil })
}

// PutAppended is PutRaw for bytes that a function appends to a buffer.
func (l *Link) PutAppended(appendTo func(buf []byte) []byte) bool {
	return l.enqueue(false, func(buf []byte) ([]byte, error) { return appendTo(buf), nil })
}

// PutRawUnbounded is PutRaw for an answer: it ignores the limit on pending bytes, and returns false only if the link has closed.
func (l *Link) PutRawUnbounded(b []byte) bool {
	return l.enqueue(true, func(buf []byte) ([]byte, error) { return append(buf, b...), nil })
}

// PutOffset returns how many bytes were put so far, for MayHaveSent and IsAcknowledged.
func (l *Link) PutOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.putBytes
}

// MayHaveSent reports whether the peer may have received everything that was put up to an offset. It returns false only if
// that is impossible: the last byte was not passed to the kernel yet, or is not going to be.
func (l *Link) MayHaveSent(offset int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return offset <= l.writtenBytes || offset <= l.sendingBytes && !l.writeEnded
}

// IsAcknowledged reports whether the peer's kernel has acknowledged everything that was put up to an offset. Once it has, nothing
// of it can arrive later than it has already.
func (l *Link) IsAcknowledged(offset int64) bool {
	l.mu.Lock()
	written := l.writtenBytes // read first: what is written meanwhile counts as unacknowledged
	l.mu.Unlock()
	return offset <= written-int64(l.unacknowledgedBytes())
}

// Send calls PutProto and Flush.
func (l *Link) Send(kind Kind, m proto.Message) bool {
	ok := l.PutProto(kind, m)
	l.Flush()
	return ok
}

// HasPendingWrites reports whether bytes wait to be written or are being written.
func (l *Link) HasPendingWrites() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && (l.flushing || len(l.pending) > 0)
}

// Flush starts writing the pending bytes and returns. The writing has a goroutine of its own, since it blocks while the socket's
// buffer is full.
func (l *Link) Flush() {
	l.mu.Lock()
	start := !l.flushing && !l.closed && len(l.pending) > 0
	l.flushing = l.flushing || start
	l.mu.Unlock()
	if start {
		go l.flushFn()
	}
}

// flush writes until nothing is pending, and then calls the functions passed to WhenWritten.
func (l *Link) flush() {
	for {
		l.mu.Lock()
		if l.closed || len(l.pending) == 0 {
			l.flushing = false
			callbacks := l.whenWritten
			l.whenWritten = nil
			l.mu.Unlock()
			for _, f := range callbacks {
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
		if cap(out) <= maxKeptBytes {
			l.reusable = out[:0]
		}
		l.writeEnded = l.writeEnded || err != nil
		l.mu.Unlock()
		if err != nil {
			l.Close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// WhenWritten calls a function once all pending bytes have been written or the link has closed.
func (l *Link) WhenWritten(f func()) {
	l.mu.Lock()
	written := !l.flushing && (l.closed || len(l.pending) == 0)
	if !written {
		l.whenWritten = append(l.whenWritten, f)
	}
	l.mu.Unlock()
	if written {
		f()
	} else {
		l.Flush()
	}
}

// HasPartialMessage reports whether an incomplete message has been received. It is called on the poller.
func (l *Link) HasPartialMessage() bool { return len(l.partial) > 0 }

// IsClosed reports whether the link has closed.
func (l *Link) IsClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// WillRead reports whether the socket holds unread data, or the end of the stream, that the poller is going to read. It is called
// on the poller.
func (l *Link) WillRead() bool { return !l.isDetached() && !l.isFDClosed() && !l.IsReadIdle() }

// IsReadIdle reports whether the socket holds no unread data and no end of the stream from the peer.
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
	return false // unknown
}

// RemoteAddr returns the address that was dialled, or that the connection was accepted from.
func (l *Link) RemoteAddr() string {
	if l.dialledAddr != "" {
		return l.dialledAddr
	}
	return l.peerAddr.String()
}
