package sentry

import (
	"sync"
	"time"

	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// clock counts whole microseconds on the monotonic clock. It does not begin at 0, so that a worker's start before
// this sentry's has a time of its own; what started earlier still counts as long ago.
type clock struct{ base time.Time }

const clockStart = logic.Micros(3_600_000_000)

func newClock() clock { return clock{time.Now()} }

func (c clock) now() logic.Micros {
	return clockStart + logic.Micros(time.Since(c.base)/time.Microsecond)
}

func span(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

type eventKind uint8

const (
	evAsk eventKind = iota
	evDone
	evLeave
	evClientGone
	evWorkerLost
	evDialed
	evWelcome
	evProbed
	evUpDialed
	evUpLost
	evReport
	evRefused
	evUnsure
	evNews
	evPeer
	evComplaint
	evSaved
	evStop
	evInspect
	evCounts
	evUnanswered
	evAnswerBy
)

// event is what a socket has brought, stamped when it was taken into the inbox.
type event struct {
	at      logic.Micros
	kind    eventKind
	profile uint32
	account uint32
	ended   uint32
	held    uint32
	busy    uint32
	served  uint32
	again   bool
	turned  bool // away: discovery was busy

	unrouted uint8 // why no route takes it, 0 if one does or none is asked
	id       uint64
	left     uint64
	hint     uint64
	key      logic.Key
	mark     []byte
	payload  []byte
	buffer   *[]byte // that mark and payload lie in
	client   *client
	conn     *conn
	worker   *worker
	up       *upstream
	link     *wire.Link // of an upstream
	way      WorkerConn
	err      error
	report   *pb.Report
	ago      logic.Micros // of a list that is not whole: since its first byte
	takes    func() bool  // whether the report is to be taken, nil if it always is
	news     *pb.News
	counts   *pb.Counts
	call     func()
}

// buffers hold what came in frames until the loop is done with it. A large one is not kept.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func borrow() *[]byte { return buffers.Get().(*[]byte) }

func giveBack(b *[]byte) {
	if b != nil && cap(*b) <= 64<<10 {
		buffers.Put(b)
	}
}

// inbox holds what waits for the loop, in the order taken. What clients and peers send waits for room; what ends
// or answers something does not, since its number is bounded by what is open.
type inbox struct {
	mu     sync.Mutex
	room   *sync.Cond
	items  []event
	most   int
	closed bool
	clock  clock
	wake   chan struct{}
	waits  int // puts that had to wait, for the metrics
}

func newInbox(most int, c clock) *inbox {
	q := &inbox{most: most, clock: c, wake: make(chan struct{}, 1)}
	q.room = sync.NewCond(&q.mu)
	return q
}

// put takes an event, and says whether it did: not once the inbox is closed.
func (q *inbox) put(e *event, wait bool) bool {
	q.mu.Lock()
	if wait && len(q.items) >= q.most && !q.closed {
		q.waits++
		for len(q.items) >= q.most && !q.closed {
			q.room.Wait()
		}
	}
	if q.closed {
		q.mu.Unlock()
		return false
	}
	e.at = q.clock.now()
	q.items = append(q.items, *e)
	first := len(q.items) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// take swaps what waits for an empty slice.
func (q *inbox) take(empty []event) []event {
	q.mu.Lock()
	items := q.items
	q.items = empty[:0]
	if len(items) >= q.most {
		q.room.Broadcast()
	}
	q.mu.Unlock()
	return items
}

// close takes nothing more, and gives what was not taken from it.
func (q *inbox) close() []event {
	q.mu.Lock()
	left := q.items
	q.closed, q.items = true, nil
	q.mu.Unlock()
	q.room.Broadcast()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return left
}

func (q *inbox) load() (waiting, waits int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items), q.waits
}
