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
const mostAnswer = 2 << 20

var answerBounds = resp.Limits{MaxLineBytes: 1024, MaxBulkBytes: mostAnswer, MaxValues: 8, MaxDepth: 2, MaxMessageBytes: mostAnswer + 4096}

// way is a connection to a worker. Answers come in the order of the hand-offs.
type way struct {
	*wire.Link
	p      *Platform
	ear    sentry.WorkerConnHandler
	reader resp.Reader

	mu     sync.Mutex
	out    []sent // hand-offs whose answers are still to come
	spoilt bool   // nothing may be written to it any more
	begun  bool   // an answer is not whole, or could not be read
	wait   *time.Timer
	text   []byte
}

// sent is a hand-off and where its last byte stands in what was put on the link.
type sent struct {
	id  uint64
	end int64
}

// Ordered says that answers come in the order of the hand-offs.
func (p *Platform) AnswersInOrder() bool { return true }

// Dial opens a way to a worker.
func (p *Platform) Dial(ear sentry.WorkerConnHandler, address string, limit time.Duration) (sentry.WorkerConn, error) {
	w := &way{p: p, ear: ear, reader: resp.Reader{Limits: answerBounds}}
	link, err := wire.DialRaw(address, limit, wire.Limits{MaxFrameBytes: mostValue, MaxPendingBytes: 4 * mostValue}, w.read,
		func(_ *wire.Link, reason error) {
			w.ended()
			ear.ConnectionClosed(reason)
		})
	if err != nil {
		return nil, err
	}
	w.Link = link
	return w, nil
}

// ended stops the clock of a part.
func (w *way) ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wait != nil {
		w.wait.Stop()
	}
}

// Greet has nothing to say: a connection that stands may carry hand-offs.
func (w *way) SendHello() { w.ear.Ready() }

// MayHave says whether the worker may have all of a hand-off.
func (w *way) MayHaveReceived(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.out, func(x sent) bool { return x.id == id })
	return i < 0 || w.Link.MayHaveSent(w.out[i].end)
}

// Begun says whether a hand-off's answer has begun and is not whole, or could not be read.
func (w *way) AnswerStarted(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun && len(w.out) > 0 && w.out[0].id == id
}

func (w *way) Cancel(uint64)    {} // its connection is closed
func (w *way) SendProbe(uint64) {}

// Work writes a hand-off.
func (w *way) SendWork(m *wire.Work) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spoilt || len(w.out) == 0 && !w.IsReadIdle() {
		return false
	}
	w.text = unpack(w.text[:0], m.Payload, logic.Micros(m.Timeout))
	if !w.PutRaw(w.text) {
		return false
	}
	w.out = append(w.out, sent{m.ID, w.PutOffset()})
	if cap(w.text) > 8<<10 {
		w.text = nil
	}
	return true
}

var errMore = errors.New("found more than the answer, expected nothing behind it")
var errNobody = errors.New("found an answer, expected none: nothing is out")

// read takes the answers that have come. What can't be read ends the way, and with it what is out: it may have run.
func (w *way) read(_ *wire.Link, data []byte) ([]byte, error) {
	for len(data) > 0 {
		w.mu.Lock()
		n := len(w.out)
		w.spoilt = w.spoilt || n == 0
		w.mu.Unlock()
		if n == 0 {
			return nil, errNobody
		}
		m, rest, ok, err := w.reader.Next(data)
		var done wire.Done
		if err == nil && ok {
			done, err = w.done(m)
		}
		if w.halt(err != nil || !ok); err != nil {
			return nil, err
		}
		if !ok {
			return data, nil
		}
		w.mu.Lock()
		done.ID = w.out[0].id
		w.out = w.out[1:]
		if len(w.out) == 0 {
			w.out = nil
		}
		more := len(w.out) == 0 && len(rest) > 0
		w.spoilt = w.spoilt || more
		w.mu.Unlock()
		w.ear.HandOffEnded(&done)
		if more {
			return nil, errMore
		}
		data = rest
	}
	return nil, nil
}

// partShare is the part of the shortest due time for which an answer that has begun may stand still: it is in memory and
// goes over a near network.
const partShare = 2

func (p *Config) partMost() time.Duration {
	shortest := p.Settings.MaxDeadline()
	for _, x := range p.Settings.Policy.Profiles {
		shortest = min(shortest, x.DueTime)
	}
	return time.Duration(shortest/partShare) * time.Microsecond
}

var errPart = errors.New("found a part of an answer, expected the rest of it")

// halt notes whether an answer has begun and is not whole. One that does not go on is as good as spoilt.
func (w *way) halt(begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.begun = begun; {
	case begun && w.wait == nil:
		w.wait = time.AfterFunc(w.p.post.Load().partMost(), w.stands)
	case begun:
		w.wait.Reset(w.p.post.Load().partMost())
	case !begun && w.wait != nil:
		w.wait.Stop()
		w.wait = nil
	}
}

// stands ends a way whose answer does not go on, unless more has come that was not read yet.
func (w *way) stands() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.begun || w.wait == nil:
	case w.IsReadIdle():
		go w.Close(errPart) // its end takes the lock
	default:
		w.wait.Reset(w.p.post.Load().partMost())
	}
}

var errAnswer = errors.New("found another answer, expected an array of a value, a null and a load report, -ERR or -BUSY")

// done reads an answer.
func (w *way) done(m []resp.Value) (d wire.Done, err error) {
	switch {
	case m[0].Kind == resp.Array && len(m) == 4 && m[1].Kind == resp.BulkString && m[2].Kind == resp.Null:
		d.Ending, d.Payload = uint32(pb.Ended_ANSWERED), m[1].Text
		if m[3].Kind == resp.BulkString {
			w.load(&d, m[3].Text)
		}
		return d, nil
	case m[0].Kind == resp.Error:
		word, rest, _ := bytes.Cut(m[0].Text, []byte(" "))
		switch string(word) {
		case "BUSY":
			d.Ending = uint32(pb.Ended_TURNED_AWAY)
		case "ERR":
			d.Ending = uint32(pb.Ended_ERRORED)
		default:
			return d, errAnswer
		}
		if at := bytes.LastIndexByte(rest, ' '); at >= 0 {
			rest = rest[at+1:]
		}
		w.load(&d, rest)
		return d, nil
	}
	return d, errAnswer
}

// load reads a load report; what can't be read is not told.
func (w *way) load(d *wire.Done, text []byte) {
	for field := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(field, []byte("="))
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(v >= 0 && v < 1e6) {
			continue
		}
		switch slices.Index(facts.LoadFieldNames[:], string(name)) {
		case facts.LoadFieldInFlight:
			d.InFlight = uint32(math.Round(v)) + 1
		case facts.LoadFieldBusy:
			d.CPUUse = uint32(math.Round(1000*v)) + 1
		case facts.LoadFieldServed:
			d.ServedRate = uint32(math.Round(1000*v)) + 1
		}
	}
}
