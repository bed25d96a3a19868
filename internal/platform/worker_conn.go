package platform

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"scalechute/internal/facts"
	"scalechute/internal/resp"
	"scalechute/internal/sentry"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// answerLimits bounds the answers of workers. As in commands, a value holds at most maxValueBytes.
var answerLimits = resp.Limits{MaxLineBytes: 1024, MaxBulkBytes: maxValueBytes, MaxValues: 8, MaxDepth: 2,
	MaxMessageBytes: maxValueBytes + 4096}

// workerConn is a connection to a worker. Answers come in the order of the hand-offs.
type workerConn struct {
	*wire.Link
	platform *Platform
	handler  sentry.WorkerConnHandler
	reader   resp.Reader

	mu            sync.Mutex
	pending       []uint64    // ids of hand-offs that await their answers, the oldest first
	unusable      bool        // no further hand-off may be written
	partialAnswer bool        // the answer to pending[0] is incomplete or can't be parsed
	stallTimer    *time.Timer // runs while an answer is incomplete
	partialSince  time.Time   // when the incomplete answer began to arrive
}

// AnswersInOrder reports that the answers on a connection come in the order of its hand-offs.
func (p *Platform) AnswersInOrder() bool { return true }

// Dial connects to a worker.
func (p *Platform) Dial(handler sentry.WorkerConnHandler, address string, limit time.Duration) (sentry.WorkerConn, error) {
	w := &workerConn{platform: p, handler: handler, reader: resp.Reader{Limits: answerLimits}}
	link, err := wire.DialRaw(address, limit, wire.Limits{MaxFrameBytes: maxValueBytes, MaxPendingBytes: 4 * maxValueBytes, Descriptors: p.descriptors, Partials: p.partialAnswers}, w.read,
		func(_ *wire.Link, reason error) {
			w.stopStallTimer()
			handler.ConnectionClosed(reason)
		})
	if err != nil {
		return nil, err
	}
	w.Link = link
	return w, nil
}

// stopStallTimer stops the timer when the connection has ended.
func (w *workerConn) stopStallTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stallTimer != nil {
		w.stallTimer.Stop()
	}
}

// SendHello sends nothing: RESP2 has no handshake, and the connection is ready for hand-offs.
func (w *workerConn) SendHello() { w.handler.Ready() }

// AnswerStarted reports whether the answer to a hand-off has begun to arrive and is incomplete or can't be parsed.
func (w *workerConn) AnswerStarted(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partialAnswer && len(w.pending) > 0 && w.pending[0] == id
}

// Cancel does nothing: RESP2 has no cancel, so the sentry closes the connection.
func (w *workerConn) Cancel(uint64) {}

// SendProbe does nothing: the platform's workers take no probes.
func (w *workerConn) SendProbe(uint64) {}

// SendWork writes a hand-off. It returns false if nothing of it will be sent.
func (w *workerConn) SendWork(work *wire.Work) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unusable || len(w.pending) == 0 && !w.IsReadIdle() {
		return false
	}
	encode := func(buffer []byte) []byte { return appendCommand(buffer, work.Payload, logic.Micros(work.Timeout)) }
	if !w.PutAppended(encode) {
		return false
	}
	w.pending = append(w.pending, work.ID)
	return true
}

var errTrailingData = errors.New("found data after the answer, expected none: no hand-off is open")
var errUnexpectedAnswer = errors.New("found an answer, expected none: no hand-off is open")

// read handles the answers that have arrived. An answer that can't be parsed ends the connection and its open
// hand-offs, which may have run.
func (w *workerConn) read(_ *wire.Link, data []byte) ([]byte, error) {
	for len(data) > 0 {
		w.mu.Lock()
		openHandOffs := len(w.pending)
		w.unusable = w.unusable || openHandOffs == 0
		w.mu.Unlock()
		if openHandOffs == 0 {
			return nil, errUnexpectedAnswer
		}
		message, rest, complete, err := w.reader.Next(data)
		var done wire.Done
		if err == nil && complete {
			done, err = w.parseAnswer(message)
		}
		if w.setPartialAnswer(err != nil || !complete); err != nil {
			return nil, err
		}
		if !complete {
			return data, nil
		}
		w.mu.Lock()
		done.ID = w.pending[0]
		w.pending = w.pending[1:]
		if len(w.pending) == 0 {
			w.pending = nil
		}
		trailing := len(w.pending) == 0 && len(rest) > 0
		w.unusable = w.unusable || trailing
		w.mu.Unlock()
		w.handler.HandOffEnded(&done)
		if trailing {
			return nil, errTrailingData
		}
		data = rest
	}
	return nil, nil
}

// answerStallDivisor sets the time for which an incomplete answer may make no progress: the shortest due time divided
// by it. A worker has the answer in memory and sends it over a nearby network.
const answerStallDivisor = 2

// shortestDueTime returns the shortest due time of any class. It bounds the time from the first byte of an answer to its
// last.
func (c *Config) shortestDueTime() time.Duration {
	shortest := c.Settings.MaxDeadline()
	for _, profile := range c.Settings.Policy.Profiles {
		shortest = min(shortest, profile.DueTime)
	}
	return time.Duration(shortest) * time.Microsecond
}

var (
	errStalledAnswer = errors.New("found an incomplete answer, expected its rest within the stall timeout")
	errSlowAnswer    = errors.New("found an answer that goes on, expected its end within the shortest due time")
)

// setPartialAnswer records whether an answer is incomplete or can't be parsed, and runs the stall timer meanwhile. An
// answer that makes no progress, or goes on for too long, is treated like one that can't be parsed.
func (w *workerConn) setPartialAnswer(partial bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.partialAnswer = partial; {
	case partial && w.stallTimer == nil:
		w.partialSince = time.Now()
		w.stallTimer = time.AfterFunc(w.stallTimeout(), w.closeIfStalled)
	case partial:
		w.stallTimer.Reset(w.stallTimeout())
	case !partial && w.stallTimer != nil:
		w.stallTimer.Stop()
		w.stallTimer = nil
	}
}

// stallTimeout returns after which time without progress an incomplete answer is to be looked at. The caller holds w.mu.
func (w *workerConn) stallTimeout() time.Duration {
	shortest := w.platform.config.Load().shortestDueTime()
	return max(0, min(shortest/answerStallDivisor, shortest-time.Since(w.partialSince)))
}

// closeIfStalled closes a connection whose answer makes no progress, unless it has unread data, or whose answer goes on for
// too long. The time during which it is not read for want of memory does not count.
func (w *workerConn) closeIfStalled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch { // closing takes w.mu
	case !w.partialAnswer || w.stallTimer == nil:
	case w.IsMemoryPaused():
		w.partialSince = time.Now()
		w.stallTimer.Reset(w.stallTimeout())
	case time.Since(w.partialSince) >= w.platform.config.Load().shortestDueTime():
		go w.Close(errSlowAnswer)
	case w.IsReadIdle():
		go w.Close(errStalledAnswer)
	default:
		w.stallTimer.Reset(w.stallTimeout())
	}
}

var errMalformedAnswer = errors.New("found an answer of another form, expected an array of a value, a null and a load report, -ERR or -BUSY")

// parseAnswer converts a worker's answer to the sentry's form.
func (w *workerConn) parseAnswer(message []resp.Value) (d wire.Done, err error) {
	switch {
	case message[0].Kind == resp.Array && len(message) == 4 && message[1].Kind == resp.BulkString && message[2].Kind == resp.Null:
		d.Ending, d.Payload = uint32(pb.Ended_ANSWERED), message[1].Text
		if message[3].Kind == resp.BulkString {
			w.parseLoadReport(&d, message[3].Text)
		}
		return d, nil
	case message[0].Kind == resp.Error:
		word, rest, _ := bytes.Cut(message[0].Text, []byte(" "))
		switch string(word) {
		case "BUSY":
			d.Ending = uint32(pb.Ended_TURNED_AWAY)
		case "ERR":
			d.Ending = uint32(pb.Ended_ERRORED)
		default:
			return d, errMalformedAnswer
		}
		if lastSpace := bytes.LastIndexByte(rest, ' '); lastSpace >= 0 {
			rest = rest[lastSpace+1:]
		}
		w.parseLoadReport(&d, rest)
		return d, nil
	}
	return d, errMalformedAnswer
}

// parseLoadReport adds the fields of a load report to d. It skips fields that can't be parsed.
func (w *workerConn) parseLoadReport(d *wire.Done, text []byte) {
	for field := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(field, []byte("="))
		number, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(number >= 0 && number < 1e6) {
			continue
		}
		switch slices.Index(facts.LoadFieldNames[:], string(name)) {
		case facts.LoadFieldInFlight:
			d.InFlight = uint32(math.Round(number)) + 1
		case facts.LoadFieldBusy:
			d.CPUUse = uint32(math.Round(1000*number)) + 1
		case facts.LoadFieldServed:
			d.ServedRate = uint32(math.Round(1000*number)) + 1
		}
	}
}
