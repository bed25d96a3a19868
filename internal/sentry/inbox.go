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

const clockStartMicros = logic.Micros(3_600_000_000)

func newClock() clock { return clock{time.Now()} }

func (c clock) now() logic.Micros {
	return clockStartMicros + logic.Micros(time.Since(c.base)/time.Microsecond)
}

func toDuration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

type eventKind uint8

const (
	eventTransaction eventKind = iota
	eventWorkerAnswer
	eventClientLeft
	eventClientClosed
	eventConnClosed
	eventDialed
	eventConnReady
	eventProbeAnswer
	eventUpstreamDialed
	eventUpstreamClosed
	eventList
	eventListRequestFailed
	eventListPartlyReceived
	eventRelease
	eventPeerMessage
	eventComplaint
	eventListSaved
	eventStop
	eventCall
	eventCounts
	eventVoteTimedOut
	eventAnswerWithin
)

// event is what a socket has brought, stamped when it was taken into the inbox.
type event struct {
	at         logic.Micros
	kind       eventKind
	profile    uint32
	account    uint32
	ended      uint32
	held       uint32
	busy       uint32
	served     uint32
	isRetry    bool
	overloaded bool // away: discovery was busy

	noRouteReason uint8 // why no route takes it, 0 if one does or none is asked
	id            uint64
	timeLeft      uint64
	expectedWork  uint64
	key           logic.Key
	dedupToken    []byte
	payload       []byte
	buffer        *[]byte // that mark and payload lie in
	client        *client
	conn          *pooledConn
	worker        *worker
	upstream      *upstream
	upstreamLink  *wire.Link // of an upstream
	workerLink    WorkerConn
	err           error
	report        *pb.Report
	startedAgo    logic.Micros // of a list that is not whole: since its first byte
	stillWanted   func() bool  // whether the report is to be taken, nil if it always is
	status        *pb.News
	counts        *pb.Counts
	call          func()
}

// buffers hold what came in frames until the loop is done with it. A large one is not kept.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) {
	if b != nil && cap(*b) <= 64<<10 {
		buffers.Put(b)
	}
}

// inbox holds what waits for the loop, in the order taken. What clients and peers send waits for room; what ends
// or answers something does not, since its number is bounded by what is open.
type inbox struct {
	mu        sync.Mutex
	notFull   *sync.Cond
	events    []event
	capacity  int
	closed    bool
	clock     clock
	wakeUp    chan struct{}
	fullWaits int // puts that had to wait, for the metrics
}

func newInbox(capacity int, c clock) *inbox {
	q := &inbox{capacity: capacity, clock: c, wakeUp: make(chan struct{}, 1)}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// put takes an event, and says whether it did: not once the inbox is closed.
func (q *inbox) put(e *event, mayWait bool) bool {
	q.mu.Lock()
	if mayWait && len(q.events) >= q.capacity && !q.closed {
		q.fullWaits++
		for len(q.events) >= q.capacity && !q.closed {
			q.notFull.Wait()
		}
	}
	if q.closed {
		q.mu.Unlock()
		return false
	}
	e.at = q.clock.now()
	q.events = append(q.events, *e)
	first := len(q.events) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wakeUp <- struct{}{}:
		default:
		}
	}
	return true
}

// take swaps what waits for an empty slice.
func (q *inbox) take(empty []event) []event {
	q.mu.Lock()
	events := q.events
	q.events = empty[:0]
	if len(events) >= q.capacity {
		q.notFull.Broadcast()
	}
	q.mu.Unlock()
	return events
}

// close takes nothing more, and gives what was not taken from it.
func (q *inbox) close() []event {
	q.mu.Lock()
	remaining := q.events
	q.closed, q.events = true, nil
	q.mu.Unlock()
	q.notFull.Broadcast()
	select {
	case q.wakeUp <- struct{}{}:
	default:
	}
	return remaining
}

func (q *inbox) stats() (waiting, fullWaits int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.events), q.fullWaits
}
