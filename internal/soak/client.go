package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"scalechute/internal/resp"
)

// request is a request that a client has written completely, except possibly for its last write.
type request struct {
	id         string
	sentAt     time.Time // just before its last part was written
	endOffset  uint64    // offset of its end in the bytes written to the connection
	answeredAt time.Time // zero if it has no answer
	outcome    Outcome
}

// client keeps requests open on one connection at a time.
type client struct {
	run          *run
	name         string
	plan         ClientPlan
	writeRandom  *rand.Rand // used by the writing goroutine
	readRandom   *rand.Rand // used by the reading goroutine
	requestCount int
	filler       string
}

// connection is one of a client's connections.
type connection struct {
	*client
	conn         *net.TCPConn
	initialAcked uint64 // value of the kernel's counter of acknowledged bytes before any were written

	mu           sync.Mutex
	changed      *sync.Cond
	openRequests []*request // without an answer, in order
	requests     []*request
	answeredIDs  map[string]bool // IDs of the requests whose values arrived, for whichever request
	ended        bool
	writtenBytes uint64
	lastAnswerAt time.Time
}

// runClient opens one connection after another, for as long as the run allows new ones.
func (c *client) runClient() {
	for c.run.waitUntilAllowed() {
		conn, err := net.DialTimeout("tcp", c.run.address, time.Second)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		x := &connection{client: c, conn: conn.(*net.TCPConn), answeredIDs: map[string]bool{}, lastAnswerAt: time.Now()}
		x.changed = sync.NewCond(&x.mu)
		x.initialAcked = x.tcpInfo().Bytes_acked
		x.runConnection()
	}
}

// reconnectDelay is the delay after a failed dial.
const reconnectDelay = 10 * time.Millisecond

// runConnection uses a connection until it ends, and has its requests audited.
func (x *connection) runConnection() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.writeRequests()
	}()
	reset := x.readAnswers()
	x.mu.Lock()
	x.ended = true
	x.changed.Broadcast()
	x.mu.Unlock()
	x.conn.SetWriteDeadline(time.Now()) // aborts a blocked write
	<-done
	end := x.awaitReset(reset)
	x.conn.Close()
	x.run.auditConnection(x, end)
}

// writeRequests writes requests until the connection ends, and keeps at most MaxOpenRequests open.
func (x *connection) writeRequests() {
	for {
		x.mu.Lock()
		for len(x.openRequests) >= x.plan.MaxOpenRequests && !x.ended {
			x.changed.Wait()
		}
		ended := x.ended
		x.mu.Unlock()
		if ended || x.run.isDone() {
			return
		}
		if x.plan.MaxPause > 0 {
			time.Sleep(time.Duration(x.writeRandom.Int64N(int64(x.plan.MaxPause))))
		}
		if !x.writeRequest() {
			return
		}
	}
}

// writeRequest writes one request and reports whether it was written completely. The request is recorded before its
// last part is written, since its answer may arrive at once.
func (x *connection) writeRequest() bool {
	x.requestCount++
	id := fmt.Sprintf("%s.%d", x.name, x.requestCount)
	command, class := "Q.ASK", repeatableClass
	token := ""
	switch {
	case x.plan.NotRepeatable:
		command, class = "Q.DO", notRepeatableClass
	case x.plan.Deduplicated:
		command, class, token = "Q.DO", deduplicatedClass, ",k="+id
	}
	key := id
	if x.plan.SharedKeys {
		key = fmt.Sprint("shared-", x.requestCount)
	}
	text := encodeCommand(command, encodeKey(key, x.plan.AnswerBytes), id, fmt.Sprintf("c=%s,d=%d%s", class, x.run.plan.Deadline.Milliseconds(), token),
		x.filler[:x.plan.BodyBytes])
	for chunk := x.plan.ChunkBytes; chunk > 0 && len(text) > chunk; text = text[chunk:] {
		if !x.writeText(text[:chunk]) {
			return false
		}
		time.Sleep(time.Duration(x.writeRandom.IntN(300)) * time.Microsecond)
	}
	r := &request{id: id, sentAt: time.Now(), endOffset: x.writtenBytes + uint64(len(text))}
	x.mu.Lock()
	x.openRequests, x.requests = append(x.openRequests, r), append(x.requests, r)
	x.mu.Unlock()
	if !x.writeText(text) {
		x.mu.Lock()
		r.outcome = Unsent
		x.mu.Unlock()
		return false
	}
	return true
}

// writeText writes text to the connection and reports whether all of it was written.
func (x *connection) writeText(text string) bool {
	n, err := io.WriteString(x.conn, text)
	x.writtenBytes += uint64(n)
	return err == nil
}

// encodeCommand encodes a RESP2 command.
func encodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// readAnswers reads answers until the connection ends, and reports whether it was reset.
func (x *connection) readAnswers() (reset bool) {
	in := newMessageReader(x.conn, false)
	for {
		if x.plan.MaxReadDelay > 0 {
			time.Sleep(time.Duration(x.readRandom.Int64N(int64(x.plan.MaxReadDelay))))
		}
		values, err := in.next()
		var malformed *resp.ProtocolError
		switch {
		case errors.As(err, &malformed):
			x.run.noteViolation(malformedAnswer)
			return false
		case err != nil:
			return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		}
		if !x.handleAnswer(&values[0]) {
			return false
		}
	}
}

// handleAnswer records an answer for the first open request. It reports false if no request is open.
func (x *connection) handleAnswer(value *resp.Value) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.openRequests) == 0 {
		x.run.noteViolation(answerWithoutRequest)
		return false
	}
	r := x.openRequests[0]
	x.openRequests = x.openRequests[1:]
	r.answeredAt = time.Now()
	waitingSince := r.sentAt
	if x.lastAnswerAt.After(waitingSince) { // the time spent waiting for earlier answers does not count
		waitingSince = x.lastAnswerAt
	}
	x.lastAnswerAt = r.answeredAt
	id, _, _ := strings.Cut(string(value.Text), ":")
	if value.Kind == resp.BulkString {
		x.answeredIDs[id] = true
	}
	switch {
	case value.Kind == resp.BulkString && id != r.id:
		r.outcome = Skipped
	case r.answeredAt.Sub(waitingSince) > x.run.plan.Deadline+maxLateness && x.plan.MaxReadDelay == 0 && !x.plan.Floods:
		r.outcome = Late
	case value.Kind == resp.BulkString:
		r.outcome = Served
	case value.Kind == resp.Error && strings.HasPrefix(string(value.Text), "BUSY"):
		r.outcome = Refused
	default:
		r.outcome = Failed
	}
	x.changed.Signal()
	return true
}

// connectionEnd is what the kernel reports of a connection that has ended.
type connectionEnd struct {
	at         time.Time
	reset      bool   // the process had unread data when it closed the connection, or was killed
	ackedBytes uint64 // bytes that the process's kernel had acknowledged before the end
}

// resetTimeout is how long after the end of the stream a reset because of unread data may arrive: the process lingers
// so that the client can read its answers, and may be paused.
const resetTimeout = 800 * time.Millisecond

// awaitReset waits for a reset after the end of the stream.
func (x *connection) awaitReset(reset bool) connectionEnd {
	end := connectionEnd{at: time.Now(), reset: reset}
	for {
		info := x.tcpInfo()
		end.reset = end.reset || info.State == unix.BPF_TCP_CLOSE
		end.ackedBytes = info.Bytes_acked - x.initialAcked
		if end.reset || time.Since(end.at) > resetTimeout || x.run.isDone() {
			return end
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// tcpInfo returns the kernel's figures for the connection, zero if it has none.
func (x *connection) tcpInfo() *unix.TCPInfo {
	info := &unix.TCPInfo{}
	if raw, err := x.conn.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				info = got
			}
		})
	}
	return info
}
