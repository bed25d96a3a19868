// Package benchwire turns the bench's wire into calls of the decision module and the module's results back into the
// wire. It decides nothing.
package benchwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"scalechute/internal/facts"
	"scalechute/logic"
)

// instance is one sentry of the bench with what the wire needs beside it.
type instance struct {
	number int64
	sentry *logic.Sentry
	names  *facts.Names
	wakes  []logic.Micros // outstanding wake-ups, the earliest last
}

type link struct {
	out       *bufio.Writer
	clock     logic.Micros
	origin    int64 // nanoseconds of the clock beyond whole microseconds
	instances map[int64]*instance
	lists     map[int64][]logic.Worker // decoded once for all instances
	zones     map[string]logic.ZoneID
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	l := &link{
		out:       bufio.NewWriterSize(out, 1<<16),
		instances: map[int64]*instance{},
		lists:     map[int64][]logic.Worker{},
		zones:     map[string]logic.ZoneID{},
	}
	r := bufio.NewReaderSize(in, 1<<16)
	for number := 1; ; number++ {
		line, err := r.ReadBytes('\n')
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			if err := l.line(trimmed); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fields are the values of one message. The first wrong one is kept in err.
type fields struct {
	kind   string
	values []json.RawMessage
	err    error
}

func (f *fields) read(i int, into any, must bool) {
	if f.err != nil {
		return
	}
	if i >= len(f.values) || bytes.Equal(f.values[i], []byte("null")) {
		if must {
			f.err = fmt.Errorf("%s: value %d is missing", f.kind, i)
		}
		return
	}
	if err := json.Unmarshal(f.values[i], into); err != nil {
		f.err = fmt.Errorf("%s: value %d: %w", f.kind, i, err)
	}
}

func (f *fields) integer(i int) (v int64) { f.read(i, &v, false); return v }
func (f *fields) real(i int) (v float64)  { f.read(i, &v, false); return v }
func (f *fields) truth(i int) (v bool)    { f.read(i, &v, false); return v }
func (f *fields) text(i int) (v string)   { f.read(i, &v, false); return v }
func (f *fields) must(i int) (v string)   { f.read(i, &v, true); return v }
func (f *fields) time(i int) logic.Micros { return facts.ToMicros(f.integer(i)) }

func (l *link) line(line []byte) error {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil {
		return err
	}
	if len(values) == 0 {
		return errors.New("empty message")
	}
	f := &fields{kind: "message", values: values}
	name := f.must(0)
	if f.err != nil {
		return f.err
	}
	f.kind = name
	f.values = values[1:]
	switch name {
	case "mark":
		f.must64(0)
		now := f.integer(0)
		l.clock, l.origin = facts.ToMicros(now), now%1000
	case "your_turn":
		l.out.WriteString("[\"finished\"]\n")
		return l.out.Flush()
	case "census":
		l.census(f)
	default:
		return l.event(f)
	}
	return f.err
}

func (f *fields) must64(i int) {
	var v int64
	f.read(i, &v, true)
}

// event hands one event to its instance and writes what comes back. A panic of the module ends the day by name.
func (l *link) event(f *fields) (err error) {
	f.must64(0)
	who := f.integer(0)
	if f.err != nil {
		return f.err
	}
	if f.kind == "new_instance" {
		return l.start(who, f)
	}
	in := l.instances[who]
	if in == nil {
		return fmt.Errorf("%s: no instance %d", f.kind, who)
	}
	if f.kind == "exit" {
		delete(l.instances, who)
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			l.write("die", who, fmt.Sprint(p))
			err = nil
		}
	}()
	res, known := l.call(in, f)
	if f.err != nil || !known {
		return f.err
	}
	l.carryOut(in, res)
	return nil
}

func (l *link) start(who int64, f *fields) error {
	var settings json.RawMessage
	f.read(2, &settings, true)
	var seed uint64
	f.read(1, &seed, false)
	if f.err != nil {
		return f.err
	}
	o, n, err := facts.DecodeConfig(settings, l.zones)
	if err != nil {
		return err
	}
	l.instances[who] = &instance{number: who, sentry: logic.New(o, int64(seed)), names: n}
	return nil
}

var endings = map[string]logic.Ending{
	"GOOD": logic.Answered, "BAD": logic.Errored, "FULL": logic.TurnedAway, "LATE": logic.TimedOut,
	"NOCONN": logic.Unconnected, "RST": logic.Broken, "CXL": logic.Cancelled, "NOP": logic.Unsent,
}

func (f *fields) ending(i int) logic.Ending {
	word := f.must(i)
	e, ok := endings[word]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown outcome %q", f.kind, word)
	}
	return e
}

// load reads a load report: what it does not tell is below 0.
func (in *instance) load(f *fields, i int) (load logic.Load) {
	var row []*float64
	f.read(i, &row, false)
	figures := [facts.LoadFieldCount]*float64{
		facts.LoadFieldInFlight: &load.InFlight, facts.LoadFieldBusy: &load.BusyShare, facts.LoadFieldServed: &load.ServedPerSecond}
	for n, at := range in.names.LoadFieldIndex {
		*figures[n] = -1
		if at >= 0 && at < len(row) && row[at] != nil {
			*figures[n] = *row[at]
		}
	}
	return load
}

func (in *instance) profile(f *fields, i int) logic.ProfileID {
	name := f.must(i)
	id, ok := in.names.Profiles[name]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown class %q", f.kind, name)
	}
	return id
}

// call decodes one event and makes the module's call for it. Unknown kinds of event are passed over.
func (l *link) call(in *instance, f *fields) (res logic.Result, known bool) {
	s, now := in.sentry, l.clock
	var do func() logic.Result
	switch f.kind {
	case "query":
		t := logic.Transaction{
			ID: logic.TransactionID(f.must(1)), Profile: in.profile(f, 2), Account: logic.NoAccount,
			Key: logic.Key(f.text(4)), Deadline: f.time(5),
		}
		var account any
		f.read(3, &account, false)
		if name, ok := account.(string); ok {
			if id, ok := in.names.Accounts[name]; ok {
				t.Account = id
			}
		}
		bits := f.integer(7)
		if bits&1 != 0 {
			t.ExpectedWork = f.time(6)
		}
		t.IsRetry = bits&2 != 0
		do = func() logic.Result { return s.TransactionArrived(now, t) }
	case "ended":
		e := logic.HandOffEnd{
			Transaction: logic.TransactionID(f.must(1)), HandOffNumber: int(f.integer(2)),
			Worker: logic.WorkerID(f.must(3)), Ending: f.ending(4), Duration: f.time(5), TransactionClosed: f.truth(6),
			Load: in.load(f, 7),
		}
		do = func() logic.Result { return s.HandOffEnded(now, e) }
	case "ack_first", "left":
		id := logic.TransactionID(f.must(1))
		do = func() logic.Result { return s.ClientLeft(now, id) }
	case "bell":
		token := logic.Micros(f.integer(1))
		do = func() logic.Result {
			for len(in.wakes) > 0 && in.wakes[len(in.wakes)-1] <= token {
				in.wakes = in.wakes[:len(in.wakes)-1]
			}
			return s.Wake(now)
		}
	case "endpoints":
		do = l.listCall(in, f)
	case "promotion":
		fate, ok := map[string]logic.VoteResult{
			"GOOD": logic.VoteAccepted, "NOP": logic.VoteObsolete, "FULL": logic.VoteRefused, "BAD": logic.VoteRefused,
			"LATE": logic.VoteTimedOut,
		}[f.must(5)]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("%s: unknown result", f.kind)
		}
		n := logic.ReleaseStatus{
			Valid: fate == logic.VoteAccepted, Cap: f.real(1), Age: f.time(2), Build: logic.BuildID(f.integer(3)),
			Stage: int(f.integer(4)), Phase: logic.Phase(f.integer(7)), VoteResult: fate,
		}
		if f.integer(6) == 0 {
			n.VoteResult = logic.NoVote
		}
		do = func() logic.Result { return s.ReleaseUpdated(now, n) }
	case "reported_wrong":
		c := logic.Complaint{Age: f.time(1), Profile: in.profile(f, 2), Worker: logic.WorkerID(f.must(3))}
		do = func() logic.Result { return s.ComplaintReceived(now, c) }
	case "counts_by_build":
		c := logic.BuildCounts{
			HandOffs: int(f.integer(1)), Profile: in.profile(f, 2), Failed: int(f.integer(3)),
			Build: logic.BuildID(f.integer(4)), Age: f.time(5), MeanDuration: f.time(6),
		}
		do = func() logic.Result { return s.CountsReceived(now, c) }
	case "mail":
		from := logic.SentryID(f.integer(1))
		body, err := base64.StdEncoding.DecodeString(f.text(2))
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("%s: %w", f.kind, err)
		}
		do = func() logic.Result { return s.PeerMessageReceived(now, from, body) }
	default:
		return res, false
	}
	if f.err != nil {
		return res, false
	}
	return do(), true
}

func (l *link) listCall(in *instance, f *fields) func() logic.Result {
	s, now := in.sentry, l.clock
	kinds := map[string]logic.ListKind{
		"changes": logic.ListDelta, "all": logic.FullList, "remembered": logic.CachedList,
	}
	word := f.must(1)
	kind, ok := kinds[word]
	if !ok {
		if word != "refused" && f.err == nil {
			f.err = fmt.Errorf("%s: unknown mode %q", f.kind, word)
		}
		return func() logic.Result { return s.ListRequestFailed(now, true) }
	}
	list, ok := l.lists[f.integer(3)]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: no census %d", f.kind, f.integer(3))
	}
	return func() logic.Result { return s.ListReceived(now, kind, list) }
}

var states = map[string]logic.WorkerState{"live": logic.Ready, "quiescing": logic.Draining, "dead": logic.Gone}

// census decodes a list that all instances may be referred to.
func (l *link) census(f *fields) {
	var rows [][]json.RawMessage
	f.read(1, &rows, false)
	workers := make([]logic.Worker, 0, len(rows))
	for _, row := range rows {
		e := &fields{kind: "census entry", values: row}
		w := logic.Worker{
			Cell: int(e.integer(0)), Started: e.time(1), Size: e.real(2), Zone: facts.AssignZone(l.zones, e.text(3)),
			Build: logic.BuildID(e.real(5)), ID: logic.WorkerID(e.must(7)),
		}
		health, ok := e.must(6), false
		if w.State, ok = states[health]; !ok && e.err == nil {
			e.err = fmt.Errorf("census entry: unknown health %q", health)
		}
		if e.err != nil {
			f.err = e.err
			return
		}
		workers = append(workers, w)
	}
	if f.err == nil {
		l.lists[f.integer(0)] = workers
	}
}

func (l *link) write(values ...any) {
	line, err := json.Marshal(values)
	if err != nil {
		panic(err) // only plain values are ever written
	}
	l.out.Write(line)
	l.out.WriteByte('\n')
}

func (l *link) ns(t logic.Micros) int64 { return int64(t)*1000 + l.origin }

// carryOut writes a result. A wake-up is asked for only if none that stands comes as early.
func (l *link) carryOut(in *instance, res logic.Result) {
	who := in.number
	for _, r := range res.Actions {
		switch r.Kind {
		case logic.HandOff:
			l.write("route", who, r.Transaction, r.Worker, l.ns(r.Deadline))
		case logic.CancelHandOff:
			l.write("revoke", who, r.Transaction, r.HandOffNumber)
		case logic.Defer:
			l.write("bounce", who, r.Transaction, int64(r.RetryAfter)*1000)
		case logic.WriteOff:
			l.write("fail", who, r.Transaction)
		}
	}
	for _, v := range res.Votes {
		l.write("say_so", who, v.Build, v.Stage, map[logic.Verdict]int{
			logic.NoVerdict: 0, logic.Advance: 1, logic.Hold: 2, logic.RollBack: 3}[v.Verdict])
	}
	if res.WatchList {
		l.write("watch", who, true)
	}
	if res.FetchList {
		l.write("read_list", who)
	}
	for _, id := range res.Probes {
		l.write("sample", who, id)
	}
	for _, m := range res.Messages {
		var to any = m.To
		if m.To == logic.EverySentry {
			to = "*"
		}
		l.write("publish", who, to, base64.StdEncoding.EncodeToString(m.Body))
	}
	for _, n := range res.LogLines {
		l.write("say_log", who, n)
	}
	if at := res.WakeAt; at > 0 && (len(in.wakes) == 0 || at < in.wakes[len(in.wakes)-1]) {
		if at <= l.clock {
			at = l.clock + 1
		}
		in.wakes = append(in.wakes, at)
		l.write("sleep", who, l.ns(at), int64(at))
	}
}
