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

// mostAnswer is the greatest value of an answer that is passed on. Workers give some that are several times the greatest
// value of a command.
const maxAnswerValueBytes = 2 << 20

var answerLimits = resp.Limits{MaxLineBytes: 1024, MaxBulkBytes: maxAnswerValueBytes, MaxValues: 8, MaxDepth: 2, MaxMessageBytes: maxAnswerValueBytes + 4096}

// way is a connection to a worker. Answers come in the order of the hand-offs.
type workerConn struct {
	*wire.Link
	platform *Platform
	handler  sentry.WorkerConnHandler
	reader   resp.Reader

	mu            sync.Mutex
	pending       []sentHandOff // hand-offs whose answers are still to come
	unusable      bool          // nothing may be written to it any more
	partialAnswer bool          // an answer is not whole, or could not be read
	stallTimer    *time.Timer
	buffer        []byte
}

// sent is a hand-off and where its last byte stands in what was put on the link.
type sentHandOff struct {
	id        uint64
	endOffset int64
}

// Ordered says that answers come in the order of the hand-offs.
func (p *Platform) AnswersInOrder() bool { return true }

// Dial opens a way to a worker.
func (p *Platform) Dial(handler sentry.WorkerConnHandler, address string, limit time.Duration) (sentry.WorkerConn, error) {
	w := &workerConn{platform: p, handler: handler, reader: resp.Reader{Limits: answerLimits}}
	link, err := wire.DialRaw(address, limit, wire.Limits{MaxFrameBytes: maxValueBytes, MaxPendingBytes: 4 * maxValueBytes}, w.read,
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

// ended stops the clock of a part.
func (w *workerConn) stopStallTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stallTimer != nil {
		w.stallTimer.Stop()
	}
}

// Greet has nothing to say: a connection that stands may carry hand-offs.
func (w *workerConn) SendHello() { w.handler.Ready() }

// MayHave says whether the worker may have all of a hand-off.
func (w *workerConn) MayHaveReceived(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.pending, func(x sentHandOff) bool { return x.id == id })
	return i < 0 || w.Link.MayHaveSent(w.pending[i].endOffset)
}

// Begun says whether a hand-off's answer has begun and is not whole, or could not be read.
func (w *workerConn) AnswerStarted(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partialAnswer && len(w.pending) > 0 && w.pending[0].id == id
}

func (w *workerConn) Cancel(uint64)    {} // its connection is closed
func (w *workerConn) SendProbe(uint64) {}

// Work writes a hand-off.
func (w *workerConn) SendWork(m *wire.Work) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unusable || len(w.pending) == 0 && !w.IsReadIdle() {
		return false
	}
	w.buffer = appendCommand(w.buffer[:0], m.Payload, logic.Micros(m.Timeout))
	if !w.PutRaw(w.buffer) {
		return false
	}
	w.pending = append(w.pending, sentHandOff{m.ID, w.PutOffset()})
	if cap(w.buffer) > 8<<10 {
		w.buffer = nil
	}
	return true
}

var errTrailingData = errors.New("found more than the answer, expected nothing behind it")
var errUnexpectedAnswer = errors.New("found an answer, expected none: nothing is out")

// read takes the answers that have come. What can't be read ends the way, and with it what is out: it may have run.
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
		done.ID = w.pending[0].id
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

// partShare is the part of the shortest due time for which an answer that has begun may stand still: it is in memory and
// goes over a near network.
const answerStallDivisor = 2

func (c *Config) answerStallTimeout() time.Duration {
	shortest := c.Settings.MaxDeadline()
	for _, profile := range c.Settings.Policy.Profiles {
		shortest = min(shortest, profile.DueTime)
	}
	return time.Duration(shortest/answerStallDivisor) * time.Microsecond
}

var errStalledAnswer = errors.New("found a part of an answer, expected the rest of it")

// halt notes whether an answer has begun and is not whole. One that does not go on is as good as spoilt.
func (w *workerConn) setPartialAnswer(partial bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.partialAnswer = partial; {
	case partial && w.stallTimer == nil:
		w.stallTimer = time.AfterFunc(w.platform.config.Load().answerStallTimeout(), w.closeIfStalled)
	case partial:
		w.stallTimer.Reset(w.platform.config.Load().answerStallTimeout())
	case !partial && w.stallTimer != nil:
		w.stallTimer.Stop()
		w.stallTimer = nil
	}
}

// stands ends a way whose answer does not go on, unless more has come that was not read yet.
func (w *workerConn) closeIfStalled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.partialAnswer || w.stallTimer == nil:
	case w.IsReadIdle():
		go w.Close(errStalledAnswer) // its end takes the lock
	default:
		w.stallTimer.Reset(w.platform.config.Load().answerStallTimeout())
	}
}

var errMalformedAnswer = errors.New("found another answer, expected an array of a value, a null and a load report, -ERR or -BUSY")

// done reads an answer.
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

// load reads a load report; what can't be read is not told.
func (w *workerConn) parseLoadReport(d *wire.Done, text []byte) {
	for field := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(field, []byte("="))
		number, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(number >= 0 && number < 1e6) {
			continue
		}
		switch slices.Index(facts.LoadFieldNames[:], string(name)) {
		case facts.LoadFieldHeld:
			d.InFlight = uint32(math.Round(number)) + 1
		case facts.LoadFieldBusy:
			d.CPUUse = uint32(math.Round(1000*number)) + 1
		case facts.LoadFieldServed:
			d.ServedRate = uint32(math.Round(1000*number)) + 1
		}
	}
}
