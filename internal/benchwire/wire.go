// Package benchwire is the adapter between the benchmark's simulator and the decision module (package logic). It reads
// the simulator's events, one JSON array per line, makes the matching calls of the module, and writes the results as
// actions in the same format. It makes no decisions.
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

// instance is one simulated sentry, with the state that the protocol needs for it.
type instance struct {
	id             int64
	sentry         *logic.Sentry
	names          *facts.Names
	pendingWakeUps []logic.Micros // requested wake-ups that are still due, the earliest last
}

// session is the state of one conversation with the simulator.
type session struct {
	out         *bufio.Writer
	now         logic.Micros
	remainderNs int64 // part of the simulator's clock below one microsecond, in nanoseconds
	instances   map[int64]*instance
	lists       map[int64][]logic.Worker // by census number; each is decoded once and shared by all instances
	zones       map[string]logic.ZoneID
}

// Serve reads events from in and writes actions to out until the input ends. It flushes the output at the end of each
// batch. It returns an error if a line is malformed.
func Serve(in io.Reader, out io.Writer) error {
	s := &session{
		out:       bufio.NewWriterSize(out, 1<<16),
		instances: map[int64]*instance{},
		lists:     map[int64][]logic.Worker{},
		zones:     map[string]logic.ZoneID{},
	}
	reader := bufio.NewReaderSize(in, 1<<16)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			if err := s.handleLine(trimmed); err != nil {
				return fmt.Errorf("line %d: %w", lineNumber, err)
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

// fieldReader decodes the values of one message by their index. It keeps the first error in err and then decodes no more.
type fieldReader struct {
	kind   string
	values []json.RawMessage
	err    error
}

// decode decodes the value at index i. A value that is null or beyond the end leaves target unchanged, and is an error
// if it is required.
func (f *fieldReader) decode(i int, target any, required bool) {
	if f.err != nil {
		return
	}
	if i >= len(f.values) || bytes.Equal(f.values[i], []byte("null")) {
		if required {
			f.err = fmt.Errorf("%s: value %d is missing", f.kind, i)
		}
		return
	}
	if err := json.Unmarshal(f.values[i], target); err != nil {
		f.err = fmt.Errorf("%s: value %d: %w", f.kind, i, err)
	}
}

// The following methods decode the value at index i. A missing value is zero; a missing required string is an error.

func (f *fieldReader) integer(i int) (v int64)         { f.decode(i, &v, false); return v }
func (f *fieldReader) real(i int) (v float64)          { f.decode(i, &v, false); return v }
func (f *fieldReader) boolean(i int) (v bool)          { f.decode(i, &v, false); return v }
func (f *fieldReader) str(i int) (v string)            { f.decode(i, &v, false); return v }
func (f *fieldReader) requiredString(i int) (v string) { f.decode(i, &v, true); return v }
func (f *fieldReader) micros(i int) logic.Micros       { return facts.ToMicros(f.integer(i)) }

// handleLine handles one message.
func (s *session) handleLine(line []byte) error {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil {
		return err
	}
	if len(values) == 0 {
		return errors.New("empty message")
	}
	f := &fieldReader{kind: "message", values: values}
	kind := f.requiredString(0)
	if f.err != nil {
		return f.err
	}
	f.kind = kind
	f.values = values[1:]
	switch kind {
	case "mark":
		f.requireInteger(0)
		clockNs := f.integer(0)
		s.now, s.remainderNs = facts.ToMicros(clockNs), clockNs%1000
	case "your_turn":
		s.out.WriteString("[\"finished\"]\n")
		return s.out.Flush()
	case "census":
		s.storeList(f)
	default:
		return s.handleEvent(f)
	}
	return f.err
}

// requireInteger records an error unless the value at index i is present and an integer.
func (f *fieldReader) requireInteger(i int) {
	var v int64
	f.decode(i, &v, true)
}

// handleEvent passes one event to its instance and writes the result. If the module panics, it writes a "die" message,
// with which the simulator ends the run and names the instance.
func (s *session) handleEvent(f *fieldReader) (err error) {
	f.requireInteger(0)
	id := f.integer(0)
	if f.err != nil {
		return f.err
	}
	if f.kind == "new_instance" {
		return s.createInstance(id, f)
	}
	inst := s.instances[id]
	if inst == nil {
		return fmt.Errorf("%s: no instance %d", f.kind, id)
	}
	if f.kind == "exit" {
		delete(s.instances, id)
		return nil
	}
	defer func() {
		if cause := recover(); cause != nil {
			s.writeMessage("die", id, fmt.Sprint(cause))
			err = nil
		}
	}()
	result, known := s.applyEvent(inst, f)
	if f.err != nil || !known {
		return f.err
	}
	s.writeResult(inst, result)
	return nil
}

// createInstance creates a sentry from its settings and the seed of its random numbers.
func (s *session) createInstance(id int64, f *fieldReader) error {
	var settings json.RawMessage
	f.decode(2, &settings, true)
	var seed uint64
	f.decode(1, &seed, false)
	if f.err != nil {
		return f.err
	}
	config, names, err := facts.DecodeConfig(settings, s.zones)
	if err != nil {
		return err
	}
	s.instances[id] = &instance{id: id, sentry: logic.New(config, int64(seed)), names: names}
	return nil
}

// endingByCode maps the simulator's outcomes of a hand-off.
var endingByCode = map[string]logic.Ending{
	"GOOD": logic.Answered, "BAD": logic.Errored, "FULL": logic.TurnedAway, "LATE": logic.TimedOut,
	"NOCONN": logic.Unconnected, "RST": logic.Broken, "CXL": logic.Cancelled, "NOP": logic.Unsent,
}

// ending decodes the outcome of a hand-off.
func (f *fieldReader) ending(i int) logic.Ending {
	code := f.requiredString(i)
	ending, ok := endingByCode[code]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown outcome %q", f.kind, code)
	}
	return ending
}

// decodeLoad decodes a load report. A figure that is not reported is below 0.
func (inst *instance) decodeLoad(f *fieldReader, i int) (load logic.Load) {
	var reported []*float64
	f.decode(i, &reported, false)
	figures := [facts.LoadFieldCount]*float64{
		facts.LoadFieldInFlight: &load.InFlight, facts.LoadFieldBusy: &load.BusyShare, facts.LoadFieldServed: &load.ServedPerSecond}
	for field, index := range inst.names.LoadFieldIndex {
		*figures[field] = -1
		if index >= 0 && index < len(reported) && reported[index] != nil {
			*figures[field] = *reported[index]
		}
	}
	return load
}

// decodeProfile decodes the name of a profile.
func (inst *instance) decodeProfile(f *fieldReader, i int) logic.ProfileID {
	name := f.requiredString(i)
	id, ok := inst.names.Profiles[name]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown class %q", f.kind, name)
	}
	return id
}

// applyEvent decodes one event and makes the module's call for it. It reports whether the kind of event is known;
// others are ignored.
func (s *session) applyEvent(inst *instance, f *fieldReader) (result logic.Result, known bool) {
	sentry, now := inst.sentry, s.now
	var apply func() logic.Result
	switch f.kind {
	case "query":
		t := logic.Transaction{
			ID: logic.TransactionID(f.requiredString(1)), Profile: inst.decodeProfile(f, 2), Account: logic.NoAccount,
			Key: logic.Key(f.str(4)), Deadline: f.micros(5),
		}
		var account any
		f.decode(3, &account, false)
		if name, ok := account.(string); ok {
			if id, ok := inst.names.Accounts[name]; ok {
				t.Account = id
			}
		}
		flags := f.integer(7)
		if flags&1 != 0 {
			t.ExpectedWork = f.micros(6)
		}
		t.IsRetry = flags&2 != 0
		apply = func() logic.Result { return sentry.TransactionArrived(now, t) }
	case "ended":
		e := logic.HandOffEnd{
			Transaction: logic.TransactionID(f.requiredString(1)), HandOffNumber: int(f.integer(2)),
			Worker: logic.WorkerID(f.requiredString(3)), Ending: f.ending(4), Duration: f.micros(5), TransactionClosed: f.boolean(6),
			Load: inst.decodeLoad(f, 7),
		}
		apply = func() logic.Result { return sentry.HandOffEnded(now, e) }
	case "ack_first", "left":
		id := logic.TransactionID(f.requiredString(1))
		apply = func() logic.Result { return sentry.ClientLeft(now, id) }
	case "bell":
		token := logic.Micros(f.integer(1))
		apply = func() logic.Result {
			for len(inst.pendingWakeUps) > 0 && inst.pendingWakeUps[len(inst.pendingWakeUps)-1] <= token {
				inst.pendingWakeUps = inst.pendingWakeUps[:len(inst.pendingWakeUps)-1]
			}
			return sentry.Wake(now)
		}
	case "endpoints":
		apply = s.decodeListEvent(inst, f)
	case "promotion":
		voteResult, ok := map[string]logic.VoteResult{
			"GOOD": logic.VoteAccepted, "NOP": logic.VoteObsolete, "FULL": logic.VoteRefused, "BAD": logic.VoteRefused,
			"LATE": logic.VoteTimedOut,
		}[f.requiredString(5)]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("%s: unknown result", f.kind)
		}
		status := logic.ReleaseStatus{
			Valid: voteResult == logic.VoteAccepted, Cap: f.real(1), Age: f.micros(2), Build: logic.BuildID(f.integer(3)),
			Stage: int(f.integer(4)), Phase: logic.Phase(f.integer(7)), VoteResult: voteResult,
		}
		if f.integer(6) == 0 {
			status.VoteResult = logic.NoVote
		}
		apply = func() logic.Result { return sentry.ReleaseUpdated(now, status) }
	case "reported_wrong":
		c := logic.Complaint{Age: f.micros(1), Profile: inst.decodeProfile(f, 2), Worker: logic.WorkerID(f.requiredString(3))}
		apply = func() logic.Result { return sentry.ComplaintReceived(now, c) }
	case "counts_by_build":
		c := logic.BuildCounts{
			HandOffs: int(f.integer(1)), Profile: inst.decodeProfile(f, 2), Failed: int(f.integer(3)),
			Build: logic.BuildID(f.integer(4)), Age: f.micros(5), MeanDuration: f.micros(6),
		}
		apply = func() logic.Result { return sentry.CountsReceived(now, c) }
	case "mail":
		from := logic.SentryID(f.integer(1))
		body, err := base64.StdEncoding.DecodeString(f.str(2))
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("%s: %w", f.kind, err)
		}
		apply = func() logic.Result { return sentry.PeerMessageReceived(now, from, body) }
	default:
		return result, false
	}
	if f.err != nil {
		return result, false
	}
	return apply(), true
}

// decodeListEvent decodes an "endpoints" event, which refers to a census, and returns the module's call for it.
func (s *session) decodeListEvent(inst *instance, f *fieldReader) func() logic.Result {
	sentry, now := inst.sentry, s.now
	kinds := map[string]logic.ListKind{
		"changes": logic.ListDelta, "all": logic.FullList, "remembered": logic.CachedList,
	}
	code := f.requiredString(1)
	kind, ok := kinds[code]
	if !ok {
		if code != "refused" && f.err == nil {
			f.err = fmt.Errorf("%s: unknown mode %q", f.kind, code)
		}
		return func() logic.Result { return sentry.ListRequestFailed(now, true) }
	}
	list, ok := s.lists[f.integer(3)]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: no census %d", f.kind, f.integer(3))
	}
	return func() logic.Result { return sentry.ListReceived(now, kind, list) }
}

// workerStateByCode maps the simulator's health of a worker.
var workerStateByCode = map[string]logic.WorkerState{"live": logic.Ready, "quiescing": logic.Draining, "dead": logic.Gone}

// storeList decodes a worker list and stores it under its number. Events for any instance may refer to it.
func (s *session) storeList(f *fieldReader) {
	var rows [][]json.RawMessage
	f.decode(1, &rows, false)
	workers := make([]logic.Worker, 0, len(rows))
	for _, row := range rows {
		entry := &fieldReader{kind: "census entry", values: row}
		w := logic.Worker{
			Cell: int(entry.integer(0)), Started: entry.micros(1), Size: entry.real(2), Zone: facts.AssignZone(s.zones, entry.str(3)),
			Build: logic.BuildID(entry.real(5)), ID: logic.WorkerID(entry.requiredString(7)),
		}
		health, ok := entry.requiredString(6), false
		if w.State, ok = workerStateByCode[health]; !ok && entry.err == nil {
			entry.err = fmt.Errorf("census entry: unknown health %q", health)
		}
		if entry.err != nil {
			f.err = entry.err
			return
		}
		workers = append(workers, w)
	}
	if f.err == nil {
		s.lists[f.integer(0)] = workers
	}
}

// writeMessage writes one action.
func (s *session) writeMessage(values ...any) {
	line, err := json.Marshal(values)
	if err != nil {
		panic(err) // not reached: all values written are of plain types
	}
	s.out.Write(line)
	s.out.WriteByte('\n')
}

// toNanos converts a time of the module to the simulator's clock.
func (s *session) toNanos(t logic.Micros) int64 { return int64(t)*1000 + s.remainderNs }

// writeResult writes a result as actions. It requests a wake-up only if no pending one is due as early.
func (s *session) writeResult(inst *instance, result logic.Result) {
	id := inst.id
	for _, action := range result.Actions {
		switch action.Kind {
		case logic.HandOff:
			s.writeMessage("route", id, action.Transaction, action.Worker, s.toNanos(action.Deadline))
		case logic.CancelHandOff:
			s.writeMessage("revoke", id, action.Transaction, action.HandOffNumber)
		case logic.Defer:
			s.writeMessage("bounce", id, action.Transaction, int64(action.RetryAfter)*1000)
		case logic.WriteOff:
			s.writeMessage("fail", id, action.Transaction)
		}
	}
	for _, vote := range result.Votes {
		s.writeMessage("say_so", id, vote.Build, vote.Stage, map[logic.Verdict]int{
			logic.NoVerdict: 0, logic.Advance: 1, logic.Hold: 2, logic.RollBack: 3}[vote.Verdict])
	}
	if result.WatchList {
		s.writeMessage("watch", id, true)
	}
	if result.FetchList {
		s.writeMessage("read_list", id)
	}
	for _, probe := range result.Probes {
		s.writeMessage("sample", id, probe)
	}
	for _, message := range result.Messages {
		var recipient any = message.To
		if message.To == logic.EverySentry {
			recipient = "*"
		}
		s.writeMessage("publish", id, recipient, base64.StdEncoding.EncodeToString(message.Body))
	}
	for _, logLine := range result.LogLines {
		s.writeMessage("say_log", id, logLine)
	}
	if wakeAt := result.WakeAt; wakeAt > 0 &&
		(len(inst.pendingWakeUps) == 0 || wakeAt < inst.pendingWakeUps[len(inst.pendingWakeUps)-1]) {
		if wakeAt <= s.now {
			wakeAt = s.now + 1
		}
		inst.pendingWakeUps = append(inst.pendingWakeUps, wakeAt)
		s.writeMessage("sleep", id, s.toNanos(wakeAt), int64(wakeAt))
	}
}
