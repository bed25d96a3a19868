package sentry

import (
	"sync"
	"time"

	"scalechute/internal/memory"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// clock counts whole microseconds on the monotonic clock. It starts at clockStartMicros rather than 0, so that the
// start of a worker up to an hour before the sentry's still has a positive time; earlier starts count as long ago.
type clock struct{ base time.Time }

const clockStartMicros = logic.Micros(3_600_000_000)

func newClock() clock { return clock{time.Now()} }

func (c clock) now() logic.Micros {
	return clockStartMicros + logic.Micros(time.Since(c.base)/time.Microsecond)
}

func toDuration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// eventKind says what an event reports.
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

// event is an item of the inbox, with the time at which it was put there. Most events report what arrived on a socket.
type event struct {
	at            logic.Micros
	kind          eventKind
	profile       uint32
	account       uint32 // index plus one, 0 if none
	ending        uint32
	inFlight      uint32
	busyShare     uint32
	servedRate    uint32
	isRetry       bool
	discoveryBusy bool // discovery turned the request away

	noRouteReason uint8 // why no route applies; 0 if one does, or if the transaction has no attributes
	id            uint64
	timeLeft      uint64 // microseconds to the deadline; eventComplaint: its age; eventAnswerWithin: the duration
	expectedWork  uint64
	key           logic.Key // eventComplaint: the worker's id
	dedupToken    []byte
	payload       []byte  // eventPeerMessage: the message
	buffer        *[]byte // holds dedupToken and payload
	client        *client
	conn          *pooledConn
	worker        *worker
	upstream      *upstream
	upstreamLink  *wire.Link // of an upstream connection
	workerLink    WorkerConn
	err           error
	report        *pb.Report
	startedAgo    logic.Micros // of an incomplete list: time since its first byte
	stillWanted   func() bool  // reports whether the event still applies; nil if it always does
	status        *pb.News
	counts        *pb.Counts
	call          func() // eventCall: the function to call on the event loop
}

// buffers is a pool of buffers for payloads and deduplication tokens, which are needed until the event loop has handled
// their event or released their transaction.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

// maxPooledBytes bounds a buffer that is reused: one that holds the largest payload of 64 KiB.
const maxPooledBytes = 96 << 10

// putBuffer returns a buffer for reuse, unless it is larger than payloads need.
func putBuffer(b *[]byte) {
	if b != nil && cap(*b) <= maxPooledBytes {
		buffers.Put(b)
	}
}

// inbox is the queue of events for the event loop, in order of arrival. Events that others initiate (clients, peers,
// discovery, the control plane) wait while it is full. Events that end or answer something do not wait: their number
// is bounded by that of open hand-offs, dials and requests. Workers' answers also wait while the memory of those in the inbox
// is used up: they are not read from the connections meanwhile.
type inbox struct {
	mu        sync.Mutex
	notFull   *sync.Cond
	events    []event
	capacity  int
	closed    bool
	clock     clock
	wakeUp    chan struct{}
	fullWaits int            // number of puts that had to wait, for the metrics
	answers   *memory.Budget // of the answers in the inbox; nil if they are not bounded
}

func newInbox(capacity int, answers *memory.Budget, c clock) *inbox {
	q := &inbox{capacity: capacity, answers: answers, clock: c, wakeUp: make(chan struct{}, 1)}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// put appends an event and reports whether it did. It does not once the inbox is closed. With mayWait it blocks while
// the inbox is full.
func (q *inbox) put(e *event, mayWait bool) bool {
	q.mu.Lock()
	if q.hasToWait(e, mayWait) {
		q.fullWaits++
		for q.hasToWait(e, mayWait) {
			q.notFull.Wait()
		}
	}
	if q.closed {
		q.mu.Unlock()
		return false
	}
	if size := q.answerBytes(e); size > 0 {
		q.answers.Add(size)
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

// hasToWait reports whether there is no room for an event. q.mu is held.
func (q *inbox) hasToWait(e *event, mayWait bool) bool {
	if q.closed {
		return false
	}
	size := q.answerBytes(e)
	noMemory := size > 0 && q.answers.Used() > 0 && size > q.answers.Remaining()
	return noMemory || mayWait && len(q.events) >= q.capacity
}

// answerBytes returns the memory of an event that counts as that of an answer.
func (q *inbox) answerBytes(e *event) int64 {
	if q.answers == nil || e.kind != eventWorkerAnswer {
		return 0
	}
	return int64(len(e.payload))
}

// release gives back the memory of an event that was handled.
func (q *inbox) release(e *event) {
	putBuffer(e.buffer)
	if size := q.answerBytes(e); size > 0 {
		q.mu.Lock()
		q.answers.Add(-size)
		q.mu.Unlock()
		q.notFull.Broadcast()
	}
}

// take returns all waiting events. It stores new ones in the memory of the given slice, whose events must have been
// handled.
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

// close makes the inbox reject further events, and returns those that were not taken.
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

// stats returns the number of waiting events, and how often a put had to wait.
func (q *inbox) stats() (waiting, fullWaits int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.events), q.fullWaits
}
