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

// request is one that a client has written whole.
type request struct {
	id       string
	sent     time.Time // of its last byte
	end      uint64    // where its last byte stands on the connection
	answered time.Time // zero if it has no answer
	fate     Outcome
}

// client keeps requests open on one connection at a time.
type client struct {
	run      *run
	name     string
	plan     ClientPlan
	random   *rand.Rand // the writer's
	delays   *rand.Rand // the reader's
	requests int
	filler   string
}

// connection is one of a client's connections.
type connection struct {
	*client
	conn  *net.TCPConn
	acked uint64 // bytes that the system had counted as acknowledged before any were written

	mu       sync.Mutex
	free     *sync.Cond
	open     []*request // not answered, in order
	all      []*request
	values   map[string]bool // ids whose answers came, in whatever place
	ended    bool
	written  uint64
	previous time.Time // of the last answer
}

// play connects again and again for as long as the run wants new connections.
func (c *client) play() {
	for c.run.waitForListener() {
		conn, err := net.DialTimeout("tcp", c.run.address, time.Second)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		x := &connection{client: c, conn: conn.(*net.TCPConn), values: map[string]bool{}, previous: time.Now()}
		x.free = sync.NewCond(&x.mu)
		x.acked = x.info().Bytes_acked
		x.use()
	}
}

const reconnectPause = 10 * time.Millisecond

// use plays one connection to its end, and tells what became of each of its requests.
func (x *connection) use() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.write()
	}()
	reset := x.read()
	x.mu.Lock()
	x.ended = true
	x.free.Broadcast()
	x.mu.Unlock()
	x.conn.SetWriteDeadline(time.Now()) // ends a write that waits
	<-done
	info := x.settle(reset)
	x.conn.Close()
	x.run.audit(x, info)
}

// write keeps requests open until the connection ends.
func (x *connection) write() {
	for {
		x.mu.Lock()
		for len(x.open) >= x.plan.MaxOpenRequests && !x.ended {
			x.free.Wait()
		}
		ended := x.ended
		x.mu.Unlock()
		if ended || x.run.over() {
			return
		}
		if x.plan.MaxPause > 0 {
			time.Sleep(time.Duration(x.random.Int64N(int64(x.plan.MaxPause))))
		}
		if !x.writeOne() {
			return
		}
	}
}

// writeOne writes one request. It is booked before its last byte is written, since its answer may come at once.
func (x *connection) writeOne() bool {
	x.requests++
	id := fmt.Sprintf("%s.%d", x.name, x.requests)
	text := command("Q.ASK", keyFor(id, x.plan.AnswerBytes), id, fmt.Sprintf("c=read,d=%d", x.run.plan.Deadline.Milliseconds()),
		x.filler[:x.plan.BodyBytes])
	for piece := x.plan.ChunkBytes; piece > 0 && len(text) > piece; text = text[piece:] {
		if !x.put(text[:piece]) {
			return false
		}
		time.Sleep(time.Duration(x.random.IntN(300)) * time.Microsecond)
	}
	r := &request{id: id, sent: time.Now(), end: x.written + uint64(len(text))}
	x.mu.Lock()
	x.open, x.all = append(x.open, r), append(x.all, r)
	x.mu.Unlock()
	if !x.put(text) {
		x.mu.Lock()
		r.fate = Unsent
		x.mu.Unlock()
		return false
	}
	return true
}

func (x *connection) put(text string) bool {
	n, err := io.WriteString(x.conn, text)
	x.written += uint64(n)
	return err == nil
}

func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// read takes answers until the connection ends, and says whether it was reset.
func (x *connection) read() (reset bool) {
	in := newMessages(x.conn, false)
	for {
		if x.plan.MaxReadDelay > 0 {
			time.Sleep(time.Duration(x.delays.Int64N(int64(x.plan.MaxReadDelay))))
		}
		values, err := in.next()
		var malformed *resp.ProtocolError
		switch {
		case errors.As(err, &malformed):
			x.run.note(malformedAnswer)
			return false
		case err != nil:
			return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		}
		if !x.answer(&values[0]) {
			return false
		}
	}
}

// answer books an answer as that of the first open request.
func (x *connection) answer(v *resp.Value) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.open) == 0 {
		x.run.note(answerWithoutRequest)
		return false
	}
	r := x.open[0]
	x.open = x.open[1:]
	r.answered = time.Now()
	due := r.sent
	if x.previous.After(due) { // the wait for those before it does not count
		due = x.previous
	}
	x.previous = r.answered
	id, _, _ := strings.Cut(string(v.Text), ":")
	if v.Kind == resp.BulkString {
		x.values[id] = true
	}
	switch {
	case v.Kind == resp.BulkString && id != r.id:
		r.fate = Skipped
	case r.answered.Sub(due) > x.run.plan.Deadline+lateBy && x.plan.MaxReadDelay == 0:
		r.fate = Late
	case v.Kind == resp.BulkString:
		r.fate = Served
	case v.Kind == resp.Error && strings.HasPrefix(string(v.Text), "BUSY"):
		r.fate = Refused
	default:
		r.fate = Failed
	}
	x.free.Signal()
	return true
}

// What the system tells of a connection that has ended.
type ending struct {
	at    time.Time
	reset bool   // the process's end had unread bytes, or went with the process
	acked uint64 // bytes that had come to the process's machine before the end
}

// resetWithin is how long after the end of the stream the reset of a close over unread bytes may come: the process gives the
// client a while to come to its answers, and may be held up.
const resetWithin = 800 * time.Millisecond

// settle waits for a reset that follows the end of the stream.
func (x *connection) settle(reset bool) ending {
	e := ending{at: time.Now(), reset: reset}
	for {
		info := x.info()
		e.reset = e.reset || info.State == unix.BPF_TCP_CLOSE
		e.acked = info.Bytes_acked - x.acked
		if e.reset || time.Since(e.at) > resetWithin || x.run.over() {
			return e
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (x *connection) info() *unix.TCPInfo {
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
