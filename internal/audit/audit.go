// Package audit checks the five rules for sentries on a record of events. Clients, workers, discovery and the control
// plane record the events that they observe on their ends of the connections. Check depends on this record alone, and not
// on how sentries decide.
//
// A peer observes a hand-off or a message some time before or after the sentry does. The slack is an upper bound of this
// difference; every time limit of a rule is extended by it in the sentry's favour.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"scalechute/logic"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	TrySent           Kind = iota // a client sent a transaction
	TryAnswered                   // a client received a final answer
	TryNotTaken                   // a client received the answer that its transaction was not taken, or matches no route
	TryAbandoned                  // a client gave up, or its connection was lost
	HandOffReceived               // a worker received a hand-off
	HandOffExecuted               // a worker executed a hand-off: its effect has happened
	HandOffAnswered               // a worker answered a hand-off
	HandOffTurnedAway             // a worker turned a hand-off away: it has not run
	HandOffDropped                // a hand-off was cancelled, expired in the worker's queue, or lost its connection
	WorkerStarted                 // a worker started; the event carries its speed
	WorkerStopped                 // a worker stopped
	WorkerOverloaded              // a cold worker crashed, because it received more work than the cold-load limit
	ListEntrySent                 // an entry of the worker list was sent to a sentry
	WorkerListed                  // discovery lists a worker in this state from now on
	ListWatched                   // a sentry watches the worker list from now on
	ListFetched                   // a sentry requested the whole worker list, and received it
	ListRequestFailed             // a sentry's request for the worker list failed, or its watch ended
	StatusSent                    // the release status of the newest build was sent to a sentry
	SentryStarted                 // a sentry's process started
	SentryExited                  // a sentry's process exited
	SentryPaused                  // a sentry's process was paused (SIGSTOP)
	SentryResumed                 // a sentry's process was resumed (SIGCONT)
	ConfigChanged                 // a sentry was given another configuration, which it applies within Event.Duration
)

// kindNames are the names of the kinds in timelines.
var kindNames = [...]string{"asked", "answered", "not taken", "left", "got", "ran", "ended", "turned away", "dropped",
	"worker up", "worker down", "fell", "list told",
	"listed", "followed", "fetched", "ask failed", "news told", "sentry up", "sentry down", "stopped", "resumed", "ordered"}

// String returns the name of the kind, as timelines print it.
func (k Kind) String() string { return kindNames[k] }

// Outcome is the outcome in a final answer.
type Outcome uint8

// The outcomes.
const (
	Satisfied Outcome = iota
	Deferred
	WrittenOff
)

// Event is an observation on one end of a connection. Which of the fields after Kind are set depends on the kind.
type Event struct {
	At             logic.Micros        `json:"at"`
	Kind           Kind                `json:"kind"`
	Sentry         logic.SentryID      `json:"sentry"`
	Try            string              `json:"try,omitempty"` // the client's name of the try; the hand-offs of the try carry the same name
	Profile        logic.ProfileID     `json:"profile,omitempty"`
	Key            logic.Key           `json:"key,omitempty"`
	Duration       logic.Micros        `json:"span,omitempty"` // TrySent, HandOffReceived: until its deadline; ConfigChanged: until it is applied at the latest
	Outcome        Outcome             `json:"outcome,omitempty"`
	Worker         logic.WorkerID      `json:"worker,omitempty"`
	HandOffNumber  uint64              `json:"hand_off,omitempty"` // number of the hand-off at its worker, the same in all of its events
	Satisfied      bool                `json:"good,omitempty"`     // HandOffAnswered: the answer is satisfied
	Work           logic.Micros        `json:"work,omitempty"`     // HandOffReceived: on a core of speed one
	Build          logic.BuildID       `json:"build,omitempty"`
	Zone           logic.ZoneID        `json:"zone,omitempty"`
	Cell           int                 `json:"cell,omitempty"`
	Speed          float64             `json:"speed,omitempty"` // WorkerStarted: work done in a unit of time, when warm
	ColdSpeedShare float64             `json:"from,omitempty"`  // WorkerStarted: share of this speed that it has at its start
	WarmUp         logic.Micros        `json:"warm,omitempty"`  // WorkerStarted: time until it is warm, 0 if it starts warm
	WorkerState    logic.WorkerState   `json:"state,omitempty"`
	Status         logic.ReleaseStatus `json:"news"`

	Config *logic.Config `json:"orders,omitempty"` // ConfigChanged
}

// Violation is a violation of a rule.
type Violation struct {
	Rule        int          `json:"rule"`
	At          logic.Micros `json:"at"`
	Description string       `json:"what"`
	Timeline    []string     `json:"timeline"`
}

// String returns the violation and its timeline, with one line for each event.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s: %s\n  %s", v.Rule, float64(v.At)/1e6, v.Description, strings.Join(v.Timeline, "\n  "))
}

// RuleNames lists the names of the rules from rule 1 on, as the flag --break of a sentry takes them.
var RuleNames = []string{"answer", "effect", "drain", "cold", "exposure"}

// Report is the result of an audit.
type Report struct {
	Violations     []Violation `json:"breaches"`
	TriesSent      int         `json:"asked"`
	TriesAnswered  int         `json:"answered"`
	TriesAbandoned int         `json:"left"`
	TriesNotTaken  int         `json:"not_taken"`
	TriesUnclosed  int         `json:"unclosed"` // tries of which the client recorded neither an answer nor an end
	HandOffs       int         `json:"hand_offs"`
	Executions     int         `json:"ran"`

	// Misrouted counts hand-offs with another profile or key than their client intended: routes were applied wrongly.
	Misrouted int `json:"misjudged"`
}

// ViolatedRules lists the numbers of the violated rules in ascending order, each once.
func (r Report) ViolatedRules() (rules []int) {
	for _, violation := range r.Violations {
		if !slices.Contains(rules, violation.Rule) {
			rules = append(rules, violation.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

// maxViolations bounds the number of violations in a report.
const maxViolations = 200

// handOff is a hand-off as its worker observed it, with the event of its receipt.
type handOff struct {
	Event
	endedAt    logic.Micros // 0 if no end was recorded
	turnedAway bool
	satisfied  bool
}

// tryRecord collects the events of a try of a transaction.
type tryRecord struct {
	sent      *Event
	answers   []*Event
	abandoned *Event
	notTaken  *Event
	handOffs  []*handOff
}

// interval is a half-open time interval.
type interval struct{ from, to logic.Micros }

// listAccess is the state of a sentry's access to the worker list from a time on.
type listAccess struct {
	at       logic.Micros
	watching bool
	maxAge   logic.Micros // without a watch, what was listed this long ago counts as known to the sentry
}

// auditor holds the events of a record, indexed as the checks need them.
type auditor struct {
	config           *logic.Config
	slack            logic.Micros
	events           []Event
	tries            map[string]*tryRecord
	tryNames         []string // in the order of their first events
	handOffsByWorker map[logic.WorkerID][]*handOff
	handOffs         []*handOff
	runs             map[logic.SentryID][]interval                 // of the sentry's process, from start to exit
	pauses           map[logic.SentryID][]interval                 // of the sentry's process
	statuses         map[logic.SentryID][]Event                    // of kind StatusSent
	listEntries      map[logic.SentryID]map[logic.WorkerID][]Event // entries that were sent to each sentry, or count as known to it
	listings         []Event                                       // of kind WorkerListed
	listAccesses     map[logic.SentryID][]listAccess
	configChanges    map[logic.SentryID][]Event
	report           Report
}

// Check checks the rules on events, with the limits that the configuration sets. Events may come in any order.
func Check(config *logic.Config, slack logic.Micros, events []Event) Report {
	a := &auditor{config: config, slack: slack, events: slices.Clone(events), tries: map[string]*tryRecord{},
		handOffsByWorker: map[logic.WorkerID][]*handOff{}, runs: map[logic.SentryID][]interval{},
		pauses: map[logic.SentryID][]interval{}, statuses: map[logic.SentryID][]Event{},
		listEntries: map[logic.SentryID]map[logic.WorkerID][]Event{}, listAccesses: map[logic.SentryID][]listAccess{},
		configChanges: map[logic.SentryID][]Event{}}
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	a.indexEvents()
	a.addAssumedEntries()
	for _, name := range a.tryNames {
		t := a.tries[name]
		switch {
		case t.sent == nil && len(t.handOffs) > 0:
			a.addViolation(1, t.handOffs[0].At, t, "a hand-off of a transaction that no client sent")
			continue
		case t.sent == nil && len(t.answers) > 0:
			a.addViolation(1, t.answers[0].At, t, "an answer to a transaction that no client sent")
			continue
		case t.sent == nil:
			continue
		}
		if t.abandoned == nil && t.notTaken == nil && len(t.answers) == 0 {
			a.report.TriesUnclosed++
		}
		a.checkUnderConfigs(t.sent.Sentry, t.sent.At, t.sent.At+t.sent.Duration, func() { a.checkAnswer(t) })
		a.checkUnderConfigs(t.sent.Sentry, t.sent.At, t.sent.At, func() { a.checkEffect(t) })
		for _, h := range t.handOffs {
			if h.Profile != t.sent.Profile || t.sent.Key != "" && h.Key != t.sent.Key {
				a.report.Misrouted++
			}
		}
	}
	a.checkDrain()
	a.checkColdLoad()
	a.checkExposure()
	slices.SortStableFunc(a.report.Violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return a.report
}

// checkUnderConfigs runs a check under each configuration that a sentry may have had between two times. Violations count
// only if every one of these configurations has some; those under the last configuration are then reported.
func (a *auditor) checkUnderConfigs(sentry logic.SentryID, from, to logic.Micros, check func()) {
	configs := []*logic.Config{a.config}
	for i := range a.configChanges[sentry] {
		e := &a.configChanges[sentry][i]
		if to < e.At-a.slack {
			break
		}
		if from > e.At+e.Duration+a.slack {
			configs = configs[:0]
		}
		configs = append(configs, e.Config)
	}
	savedConfig, savedViolations := a.config, a.report.Violations
	var violations []Violation
	for _, config := range configs {
		a.config, a.report.Violations = config, nil
		check()
		if violations = a.report.Violations; len(violations) == 0 {
			break
		}
	}
	a.config, a.report.Violations = savedConfig, savedViolations
	if len(savedViolations) < maxViolations {
		a.report.Violations = append(savedViolations, violations...)
	}
}

// never is later than the time of any event.
const never = logic.Micros(1) << 60

// tryRecord returns the record of a try, which it adds if there is none.
func (a *auditor) tryRecord(name string) *tryRecord {
	t := a.tries[name]
	if t == nil {
		t = &tryRecord{}
		a.tries[name] = t
		a.tryNames = append(a.tryNames, name)
	}
	return t
}

// indexEvents sorts the events into the tables of the auditor and counts them.
func (a *auditor) indexEvents() {
	type handOffID struct {
		worker logic.WorkerID
		number uint64
	}
	open := map[handOffID]*handOff{}
	report := &a.report
	for i := range a.events {
		e := &a.events[i]
		switch e.Kind {
		case TrySent:
			a.tryRecord(e.Try).sent = e
			report.TriesSent++
		case TryAnswered:
			t := a.tryRecord(e.Try)
			t.answers = append(t.answers, e)
			report.TriesAnswered++
		case TryNotTaken:
			a.tryRecord(e.Try).notTaken = e
			report.TriesNotTaken++
		case TryAbandoned:
			a.tryRecord(e.Try).abandoned = e
			report.TriesAbandoned++
		case HandOffReceived:
			h := &handOff{Event: *e}
			open[handOffID{e.Worker, e.HandOffNumber}] = h
			t := a.tryRecord(e.Try)
			t.handOffs = append(t.handOffs, h)
			a.handOffsByWorker[e.Worker] = append(a.handOffsByWorker[e.Worker], h)
			a.handOffs = append(a.handOffs, h)
			report.HandOffs++
		case HandOffExecuted:
			report.Executions++
		case HandOffAnswered, HandOffTurnedAway, HandOffDropped:
			if h := open[handOffID{e.Worker, e.HandOffNumber}]; h != nil && h.endedAt == 0 {
				h.endedAt, h.turnedAway, h.satisfied = e.At, e.Kind == HandOffTurnedAway, e.Satisfied
			}
		case ListEntrySent:
			entries := a.listEntries[e.Sentry]
			if entries == nil {
				entries = map[logic.WorkerID][]Event{}
				a.listEntries[e.Sentry] = entries
			}
			entries[e.Worker] = append(entries[e.Worker], *e)
		case WorkerListed:
			a.listings = append(a.listings, *e)
		case ListWatched, ListFetched:
			a.listAccesses[e.Sentry] = append(a.listAccesses[e.Sentry],
				listAccess{e.At, e.Kind == ListWatched || a.watchesList(e.Sentry), a.config.MaxListAge})
		case ListRequestFailed:
			a.listAccesses[e.Sentry] = append(a.listAccesses[e.Sentry], listAccess{e.At, false, 4 * a.config.MaxListAge})
		case StatusSent:
			a.statuses[e.Sentry] = append(a.statuses[e.Sentry], *e)
		case SentryStarted:
			a.runs[e.Sentry] = append(a.runs[e.Sentry], interval{e.At, never})
			a.listAccesses[e.Sentry] = append(a.listAccesses[e.Sentry], listAccess{e.At, false, a.config.MaxListAge})
		case SentryExited:
			if l := a.runs[e.Sentry]; len(l) > 0 {
				l[len(l)-1].to = e.At
			}
		case ConfigChanged:
			a.configChanges[e.Sentry] = append(a.configChanges[e.Sentry], *e)
		case SentryPaused:
			a.pauses[e.Sentry] = append(a.pauses[e.Sentry], interval{e.At, never})
		case SentryResumed:
			if l := a.pauses[e.Sentry]; len(l) > 0 {
				l[len(l)-1].to = e.At
			}
		}
	}
}

// watchesList reports whether a sentry watches the worker list, as of the events indexed so far.
func (a *auditor) watchesList(sentry logic.SentryID) bool {
	accesses := a.listAccesses[sentry]
	return len(accesses) > 0 && accesses[len(accesses)-1].watching
}

// addAssumedEntries adds the list entries that count as known to a sentry although none was sent to it. A sentry that
// does not watch the list, and has not requested it for listAccess.maxAge, is assumed to know what was listed that long
// ago.
func (a *auditor) addAssumedEntries() {
	if !a.config.ListOnRequest {
		return
	}
	for sentry := range logic.SentryID(a.config.Sentries) {
		for _, e := range a.listings {
			at := a.assumedKnownAt(sentry, e.At)
			if at == never {
				continue
			}
			if a.listEntries[sentry] == nil {
				a.listEntries[sentry] = map[logic.WorkerID][]Event{}
			}
			known := Event{At: at, Kind: ListEntrySent, Sentry: sentry, Worker: e.Worker, WorkerState: e.WorkerState, Build: e.Build}
			a.listEntries[sentry][e.Worker] = append(a.listEntries[sentry][e.Worker], known)
		}
		for _, entries := range a.listEntries[sentry] {
			slices.SortStableFunc(entries, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
		}
	}
}

// assumedKnownAt returns the time from which an entry listed at a time counts as known to a sentry. It returns never if
// the sentry watches the list or requests it in time.
func (a *auditor) assumedKnownAt(sentry logic.SentryID, listed logic.Micros) logic.Micros {
	for i, access := range a.listAccesses[sentry] {
		until := never
		if i+1 < len(a.listAccesses[sentry]) {
			until = a.listAccesses[sentry][i+1].at
		}
		if at := max(listed, access.at) + access.maxAge; !access.watching && until > listed && at < until {
			return at
		}
	}
	return never
}

// latestReceipt returns the time by which a sentry has read a message that was sent at a time. A sentry reads nothing
// while its process is paused.
func (a *auditor) latestReceipt(sentry logic.SentryID, sent logic.Micros) logic.Micros {
	at := sent + a.slack
	for _, pause := range a.pauses[sentry] {
		if at >= pause.from && sent < pause.to {
			at = max(at, min(pause.to, never-a.slack)+a.slack)
		}
	}
	return at
}

// addViolation adds a violation to the report, up to maxViolations.
func (a *auditor) addViolation(rule int, at logic.Micros, t *tryRecord, format string, args ...any) {
	if len(a.report.Violations) >= maxViolations {
		return
	}
	violation := Violation{Rule: rule, At: at, Description: fmt.Sprintf(format, args...)}
	if t != nil {
		violation.Timeline = a.timeline(t)
	}
	a.report.Violations = append(a.report.Violations, violation)
}

// timeline returns a line for each event of a try.
func (a *auditor) timeline(t *tryRecord) (lines []string) {
	name := ""
	if t.sent != nil {
		name = t.sent.Try
	} else if len(t.handOffs) > 0 {
		name = t.handOffs[0].Try
	} else if len(t.answers) > 0 {
		name = t.answers[0].Try
	}
	for i := range a.events {
		e := &a.events[i]
		if e.Try != name {
			continue
		}
		line := fmt.Sprintf("%10.6f %s", float64(e.At)/1e6, e.Kind)
		switch e.Kind {
		case TrySent:
			line += fmt.Sprintf(" %s sent to sentry %d: profile %d, key %q, deadline in %d us", e.Try, e.Sentry, e.Profile, e.Key, e.Duration)
		case TryAnswered:
			line += fmt.Sprintf(" %s", [...]string{"satisfied", "deferred", "written off"}[e.Outcome])
		case HandOffReceived:
			line += fmt.Sprintf(" by %s (build %d) from sentry %d as hand-off %d, deadline in %d us", e.Worker, e.Build, e.Sentry,
				e.HandOffNumber, e.Duration)
		case HandOffExecuted, HandOffAnswered, HandOffTurnedAway, HandOffDropped:
			line += fmt.Sprintf(" at %s, hand-off %d", e.Worker, e.HandOffNumber)
		}
		lines = append(lines, line)
	}
	return lines
}

// checkAnswer checks rule 1: a transaction gets one final answer in time, and is not handed off after it.
func (a *auditor) checkAnswer(t *tryRecord) {
	sent := t.sent
	if t.notTaken != nil {
		if len(t.answers) > 0 || len(t.handOffs) > 0 {
			a.addViolation(1, t.notTaken.At, t, "%s: not taken, but answered or handed off", sent.Try)
		}
		return
	}
	if len(t.answers) > 1 {
		a.addViolation(1, t.answers[1].At, t, "%s: %d final answers, expected one", sent.Try, len(t.answers))
		return
	}
	latest := sent.At + sent.Duration + a.config.AnswerGrace
	for _, pause := range a.pauses[sent.Sentry] { // a paused process takes what it was sent once it is resumed
		if sent.At >= pause.from-a.slack && sent.At < pause.to && pause.to < never {
			latest = max(latest, pause.to+sent.Duration+a.config.AnswerGrace)
		}
	}
	closedAt := never
	switch {
	case len(t.answers) == 1:
		closedAt = t.answers[0].At
		if closedAt > a.latestReceipt(sent.Sentry, latest) {
			a.addViolation(1, closedAt, t, "%s: answered %d us late", sent.Try, closedAt-latest)
		}
	case t.abandoned != nil:
		closedAt = t.abandoned.At
		if closedAt > a.latestReceipt(sent.Sentry, latest) {
			a.addViolation(1, closedAt, t, "%s: no answer by its deadline plus the answer grace", sent.Try)
		}
	default:
		if a.ranThroughout(sent.Sentry, sent.At, latest) {
			a.addViolation(1, latest, t, "%s: no final answer", sent.Try)
		}
	}
	for _, h := range t.handOffs {
		if closedAt < never && h.At > a.latestReceipt(sent.Sentry, closedAt) {
			a.addViolation(1, h.At, t, "%s: handed off %d us after it was closed", sent.Try, h.At-closedAt)
		}
	}
}

// ranThroughout reports whether one run of a sentry's process covers the time between two times, and the slack after it.
func (a *auditor) ranThroughout(sentry logic.SentryID, from, to logic.Micros) bool {
	for _, run := range a.runs[sentry] {
		if run.from <= from && run.to > to+a.slack {
			return true
		}
	}
	return false
}

// checkEffect checks rule 2: after a hand-off that may have run, a transaction is handed off again or deferred only as
// its profile allows, and two hand-offs are in flight at once only if hedging is allowed.
func (a *auditor) checkEffect(t *tryRecord) {
	if int(t.sent.Profile) >= len(a.config.Profiles) {
		return // it was taken under another configuration
	}
	profile := &a.config.Profiles[t.sent.Profile]
	for j, h := range t.handOffs {
		for _, earlier := range t.handOffs[:j] {
			if earlier.turnedAway && earlier.endedAt <= h.At {
				continue
			}
			pending := earlier.endedAt == 0 || earlier.endedAt > h.At
			if pending && !a.config.MayHedge && h.At+a.slack < earlier.At+earlier.Duration {
				a.addViolation(2, h.At, t, "%s: two hand-offs in flight at once, though hedging is not allowed", t.sent.Try)
				return
			}
			switch profile.Repeatability {
			case logic.NonIdempotent:
				a.addViolation(2, h.At, t, "%s: not idempotent, handed off again after a hand-off that may have run", t.sent.Try)
				return
			case logic.Deduplicated:
				if profile.DedupScope == logic.ScopeZone && earlier.Zone != h.Zone || profile.DedupScope == logic.ScopeCell && earlier.Cell != h.Cell {
					a.addViolation(2, h.At, t, "%s: deduplicated, handed off again outside its deduplication scope", t.sent.Try)
					return
				}
				if h.At-earlier.At > profile.DedupWindow+a.slack {
					a.addViolation(2, h.At, t, "%s: deduplicated, handed off again %d us after a hand-off that may have run, window %d us",
						t.sent.Try, h.At-earlier.At, profile.DedupWindow)
					return
				}
			}
		}
	}
	if len(t.answers) == 0 || t.answers[0].Outcome != Deferred || profile.Repeatability == logic.Idempotent ||
		profile.Repeatability == logic.Deduplicated && profile.DedupScope == logic.ScopeAll {
		return
	}
	for _, h := range t.handOffs {
		if !h.turnedAway {
			a.addViolation(2, t.answers[0].At, t, "%s: deferred, though a hand-off may have run", t.sent.Try)
			return
		}
	}
}

// checkDrain checks rule 3: once the drain grace is over, a worker that drains or is gone gets no new hand-offs.
func (a *auditor) checkDrain() {
	for _, h := range a.handOffs {
		a.checkUnderConfigs(h.Sentry, h.At, h.At, func() { a.checkDrained(h) })
	}
}

// checkDrained checks rule 3 for a hand-off.
func (a *auditor) checkDrained(h *handOff) {
	entries := a.listEntries[h.Sentry][h.Worker]
	since := never
	for _, e := range entries {
		if e.At > h.At {
			break
		}
		switch {
		case e.WorkerState == logic.Ready:
			since = never
		case since == never:
			since = e.At
		}
	}
	if since == never || a.startedAfter(h.Sentry, since, h.At) {
		return
	}
	// A hand-off that the sentry decided on in time may wait for its connection.
	if latest := a.latestReceipt(h.Sentry, since) + a.config.DrainGrace + a.config.ConnectTimeout; h.At > latest {
		a.addViolation(3, h.At, a.tries[h.Try], "%s: handed off to %s %d us after sentry %d was informed that it drains or is gone",
			h.Try, h.Worker, h.At-since, h.Sentry)
	}
}

// startedAfter reports whether the run of a sentry's process at a time started after another time.
func (a *auditor) startedAfter(sentry logic.SentryID, since, at logic.Micros) bool {
	for _, run := range a.runs[sentry] {
		if run.from <= at && at < run.to+a.slack {
			return run.from > since
		}
	}
	return false
}

// checkColdLoad checks rule 4: over the cold-load window all sentries together send a cold worker at most the configured
// multiple of the work that it can do. A violation counts only if sentries that knew of its start sent at least two
// thirds of the work.
func (a *auditor) checkColdLoad() {
	for i := range a.events {
		start := &a.events[i]
		if start.Kind != WorkerStarted || start.WarmUp == 0 {
			continue
		}
		warmAt := start.At + start.WarmUp
		capacityAt := func(at logic.Micros) float64 {
			return start.Speed * (start.ColdSpeedShare + (1-start.ColdSpeedShare)*min(1, float64(at-start.At)/float64(start.WarmUp)))
		}
		handOffs := a.handOffsByWorker[start.Worker]
		first, work := 0, 0.0
		for j, h := range handOffs {
			if h.At < start.At || h.At > warmAt {
				if h.At < start.At {
					first = j + 1
				}
				continue
			}
			work += float64(h.Work)
			for handOffs[first].At <= h.At-a.config.ColdLoadWindow {
				work -= float64(handOffs[first].Work)
				first++
			}
			if work <= a.config.ColdLoadMultiple*capacityAt(h.At)*float64(a.config.ColdLoadWindow) {
				continue
			}
			knownWork := 0.0
			for _, counted := range handOffs[first : j+1] {
				if a.knewOfStart(counted.Sentry, start, counted.At) {
					knownWork += float64(counted.Work)
				}
			}
			if knownWork >= work*2/3 {
				a.addViolation(4, h.At, a.tries[h.Try], "%s, started %d us earlier, received %.0f us of work within %d us, "+
					"can do %.0f us", start.Worker, h.At-start.At, work, a.config.ColdLoadWindow, capacityAt(h.At)*float64(a.config.ColdLoadWindow))
				break
			}
		}
	}
}

// knewOfStart reports whether a sentry had received, by a time, a list entry that was sent after a worker's start and
// says that the worker is ready.
func (a *auditor) knewOfStart(sentry logic.SentryID, start *Event, at logic.Micros) bool {
	return slices.ContainsFunc(a.listEntries[sentry][start.Worker], func(e Event) bool {
		return e.At >= start.At && e.At <= at && e.WorkerState == logic.Ready
	})
}

// checkExposure checks rule 5. In any exposure window a sentry hands off no more to a build on trial than the free
// exposure plus the cap's share of the transactions that it took. A guarded stage gets idempotent transactions only, and
// a key that the trial has answered does not go to an earlier build again.
func (a *auditor) checkExposure() {
	rowCount := 1
	for i := range a.events {
		rowCount = max(rowCount, int(a.events[i].Profile)+2)
	}
	for position := range a.config.Sentries {
		sentry := logic.SentryID(position)
		// Row 0 is for all profiles together; the others are for one profile each.
		taken, sent := make([][]logic.Micros, rowCount), make([][]*handOff, rowCount)
		for i := range a.events {
			if e := &a.events[i]; e.Kind == TrySent && e.Sentry == sentry && a.tries[e.Try].notTaken == nil {
				for _, row := range []int{0, 1 + int(e.Profile)} {
					taken[row] = append(taken[row], e.At)
				}
			}
		}
		trialAnswers := map[logic.Key]trialAnswer{}
		for _, h := range a.handOffs {
			if h.Sentry != sentry {
				continue
			}
			status := a.statusAt(sentry, h.At)
			a.checkUnderConfigs(sentry, h.At, h.At, func() { a.checkForwardOnly(trialAnswers, h, status) })
			if onTrial, _, _ := a.trialLimits(sentry, h); onTrial {
				for _, row := range []int{0, 1 + int(h.Profile)} {
					sent[row] = append(sent[row], h)
				}
				a.checkUnderConfigs(sentry, h.At, h.At, func() {
					row := 0
					if a.config.ExposureByProfile {
						row = 1 + int(h.Profile)
					}
					a.checkExposureBound(sentry, h, sent[row], taken[row])
				})
			}
		}
	}
}

// statusAt returns the latest valid status that had been sent to a sentry by a time, nil if there was none.
func (a *auditor) statusAt(sentry logic.SentryID, at logic.Micros) *Event {
	var latest *Event
	for i := range a.statuses[sentry] {
		if e := &a.statuses[sentry][i]; e.At <= at && e.Status.Valid {
			latest = e
		}
	}
	return latest
}

// trialLimits reports whether a hand-off went to a build on trial, the largest cap that may have applied to it, and the
// time since which hand-offs count against that cap. A later build than that of the latest status counts as on trial in
// its first stage.
func (a *auditor) trialLimits(sentry logic.SentryID, h *handOff) (onTrial bool, maxCap float64, since logic.Micros) {
	latest := a.statusAt(sentry, h.At)
	if latest == nil {
		return false, 0, 0
	}
	if h.Build > latest.Status.Build {
		if len(a.config.StageCaps) > 0 {
			maxCap = a.config.StageCaps[0]
		}
		return true, maxCap, 0
	}
	if h.Build != latest.Status.Build {
		return false, 0, 0
	}
	// The sentry may not have read a recent status yet, and a lower cap applies only after the drain grace.
	earliest := h.At - a.slack - a.config.DrainGrace
	for i := range a.statuses[sentry] {
		e := &a.statuses[sentry][i]
		if e.At > h.At || !e.Status.Valid || e.Status.Build != h.Build {
			continue
		}
		until := never
		for j := i + 1; j < len(a.statuses[sentry]); j++ {
			if next := &a.statuses[sentry][j]; next.Status.Valid {
				until = a.latestReceipt(sentry, next.At) + a.config.DrainGrace
				break
			}
		}
		if until <= earliest {
			continue
		}
		if e.Status.Phase == logic.Released && until > h.At-a.slack {
			return false, 0, 0
		}
		if statusCap := e.Status.Cap; until > h.At && statusCap >= maxCap {
			maxCap = statusCap
		}
	}
	// The count of hand-offs restarts when a lower cap comes into force.
	for i := 1; i < len(a.statuses[sentry]); i++ {
		next, previous := &a.statuses[sentry][i], &a.statuses[sentry][i-1]
		if next.Status.Valid && next.Status.Build == h.Build && next.Status.Cap < previous.Status.Cap {
			if from := a.latestReceipt(sentry, next.At) + a.config.DrainGrace; from <= h.At {
				since = from
			}
		}
	}
	return true, maxCap, since
}

// checkExposureBound checks the bound of rule 5 and the guarded stages for a hand-off. The lists sent and taken hold the
// sentry's hand-offs to trials up to this one, and the times of all transactions that it took.
func (a *auditor) checkExposureBound(sentry logic.SentryID, h *handOff, sent []*handOff, taken []logic.Micros) {
	_, maxCap, since := a.trialLimits(sentry, h)
	from := max(h.At-a.config.ExposureWindow, since)
	for _, run := range a.runs[sentry] {
		if run.from <= h.At {
			from = max(from, run.from)
		}
	}
	sentCount := 0
	for i := len(sent) - 1; i >= 0 && sent[i].At > from; i-- {
		if sent[i].Build == h.Build {
			sentCount++
		}
	}
	takenCount := 0
	first, _ := slices.BinarySearch(taken, h.At-a.config.ExposureWindow-a.slack)
	for _, at := range taken[first:] {
		if at > h.At+a.slack {
			break
		}
		takenCount++
	}
	if maxCap == 0 && sentCount > 0 {
		a.addViolation(5, h.At, a.tries[h.Try], "sentry %d handed off to build %d at cap 0", sentry, h.Build)
	} else if float64(sentCount) > a.config.FreeExposure+maxCap*float64(takenCount) {
		a.addViolation(5, h.At, a.tries[h.Try], "sentry %d made %d hand-offs to build %d within %d us and took %d transactions; free exposure %g, cap %g",
			sentry, sentCount, h.Build, a.config.ExposureWindow, takenCount, a.config.FreeExposure, maxCap)
	}
	latest := a.statusAt(sentry, h.At)
	settled := a.statusAt(sentry, h.At-a.slack-a.config.DrainGrace)
	isGuarded := func(e *Event) bool {
		isLaterBuild := e != nil && e.Status.Build < h.Build // without a status a build counts as in its first stage
		return isLaterBuild && a.config.GuardedStages > 0 ||
			e != nil && e.Status.Build == h.Build && e.Status.Phase == logic.OnTrial && e.Status.Stage < a.config.GuardedStages
	}
	if int(h.Profile) < len(a.config.Profiles) && a.config.Profiles[h.Profile].Repeatability != logic.Idempotent &&
		isGuarded(latest) && isGuarded(settled) {
		a.addViolation(5, h.At, a.tries[h.Try], "sentry %d handed off a transaction that is not idempotent to build %d at a guarded stage",
			sentry, h.Build)
	}
}

// trialAnswer is the build on trial that answered a key, and the time from which the client had the answer.
type trialAnswer struct {
	build logic.BuildID
	at    logic.Micros
}

// checkForwardOnly checks that a key which the trial has answered does not go to an earlier build, and keeps the trial's
// answers in trialAnswers.
func (a *auditor) checkForwardOnly(trialAnswers map[logic.Key]trialAnswer, h *handOff, status *Event) {
	if !a.config.ForwardOnly || h.Key == "" || status == nil {
		return
	}
	answer, known := trialAnswers[h.Key]
	settled := a.statusAt(h.Sentry, h.At-a.slack-a.config.DrainGrace)
	applies := settled != nil && settled.Status.Build == answer.build && status.Status.Build == answer.build &&
		isForwardOnlyPhase(status.Status.Phase) && isForwardOnlyPhase(settled.Status.Phase)
	if known && applies && h.Build < answer.build && h.At > a.latestReceipt(h.Sentry, answer.at) &&
		!a.startedAfter(h.Sentry, answer.at, h.At) {
		a.addViolation(5, h.At, a.tries[h.Try], "sentry %d handed off key %q to build %d after build %d had answered it", h.Sentry, h.Key,
			h.Build, answer.build)
	}
	if h.satisfied && h.Build == status.Status.Build && status.Status.Phase == logic.OnTrial && (!known || h.Build > answer.build) {
		t := a.tries[h.Try]
		for _, clientAnswer := range t.answers {
			if clientAnswer.Outcome == Satisfied {
				trialAnswers[h.Key] = trialAnswer{h.Build, max(clientAnswer.At, h.endedAt)}
			}
		}
	}
}

// isForwardOnlyPhase reports whether keys do not go to an earlier build again in a phase.
func isForwardOnlyPhase(p logic.Phase) bool { return p == logic.OnTrial || p == logic.Released }
