// Package audit holds a record of what clients, workers, the list's service and the desk saw on their ends of the
// sockets against the five rules. It is a function of that record alone, and knows nothing of how sentries decide.
//
// The ends of the sockets see a hand-off or a telling some time before or after the sentry does. Slack is the most
// that may lie between; each window of a rule is taken as it is written and given this slack to the sentry's favour.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"scalechute/logic"
)

// Kind says what an end of a socket saw.
type Kind uint8

const (
	TrySent           Kind = iota // a client sent a transaction
	TryAnswered                   // a client got a final answer
	TryNotTaken                   // a client was told that it was not taken
	TryAbandoned                  // a client gave up, or its connection was lost
	HandOffReceived               // a worker got a hand-off
	HandOffExecuted               // a worker let its effect happen
	HandOffAnswered               // a worker answered a hand-off
	HandOffTurnedAway             // a worker turned a hand-off away: it has not run
	HandOffDropped                // the hand-off was cancelled, or its connection was lost
	WorkerStarted                 // a worker started, with what it can do
	WorkerStopped                 // a worker stopped
	WorkerOverloaded              // a cold worker was pushed over
	ListEntrySent                 // a sentry was sent a line of the list
	WorkerListed                  // the list's service lists a worker so from now on
	ListWatched                   // a sentry follows the list from now on
	ListFetched                   // a sentry asked for the whole list, and got it
	ListRequestFailed             // a call of a sentry for the list failed, or it follows it no longer
	StatusSent                    // a sentry was sent news of the newest build
	SentryStarted                 // a sentry's process began
	SentryExited                  // a sentry's process was killed
	SentryPaused                  // a sentry's process was stopped
	SentryResumed                 // and goes on
	ConfigChanged                 // a sentry was given other orders, which it has taken after a span at the latest
)

var kindNames = [...]string{"asked", "answered", "not taken", "left", "got", "ran", "ended", "turned away", "dropped",
	"worker up", "worker down", "fell", "list told",
	"listed", "followed", "fetched", "ask failed", "news told", "sentry up", "sentry down", "stopped", "resumed", "ordered"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is a final answer.
type Outcome uint8

const (
	Satisfied Outcome = iota
	Deferred
	WrittenOff
)

// Event is one thing seen. Of the fields after Kind those count that belong to it.
type Event struct {
	At             logic.Micros        `json:"at"`
	Kind           Kind                `json:"kind"`
	Sentry         logic.SentryID      `json:"sentry"`
	Try            string              `json:"try,omitempty"` // the client's name for this try, the same at both ends
	Profile        logic.ProfileID     `json:"profile,omitempty"`
	Key            logic.Key           `json:"key,omitempty"`
	Duration       logic.Micros        `json:"span,omitempty"` // Asked, Got: until given up
	Outcome        Outcome             `json:"outcome,omitempty"`
	Worker         logic.WorkerID      `json:"worker,omitempty"`
	HandOffNumber  uint64              `json:"hand_off,omitempty"` // which at this worker: the same from Got to its end
	Satisfied      bool                `json:"good,omitempty"`     // Ended: satisfied
	Work           logic.Micros        `json:"work,omitempty"`     // Got: on a core of speed one
	Build          logic.BuildID       `json:"build,omitempty"`
	Zone           logic.ZoneID        `json:"zone,omitempty"`
	Cell           int                 `json:"cell,omitempty"`
	Speed          float64             `json:"speed,omitempty"` // WorkerUp: work done in a unit of time, when warm
	ColdSpeedShare float64             `json:"from,omitempty"`  // WorkerUp: the part of it at its start
	WarmUp         logic.Micros        `json:"warm,omitempty"`  // WorkerUp: until warm, 0 if it starts so
	WorkerState    logic.WorkerState   `json:"state,omitempty"`
	Status         logic.ReleaseStatus `json:"news"`

	Config *logic.Config `json:"orders,omitempty"` // Ordered
}

// Breach is a rule that was broken.
type Violation struct {
	Rule        int          `json:"rule"`
	At          logic.Micros `json:"at"`
	Description string       `json:"what"`
	Timeline    []string     `json:"timeline"`
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s: %s\n  %s", b.Rule, float64(b.At)/1e6, b.Description, strings.Join(b.Timeline, "\n  "))
}

// RuleNames are what the rules are about, from rule 1 on, in the words of a sentry's --break.
var RuleNames = []string{"answer", "effect", "drain", "cold", "exposure"}

// Finding is what the record shows.
type Report struct {
	Violations     []Violation `json:"breaches"`
	TriesSent      int         `json:"asked"`
	TriesAnswered  int         `json:"answered"`
	TriesAbandoned int         `json:"left"`
	TriesNotTaken  int         `json:"not_taken"`
	TriesUnclosed  int         `json:"unclosed"` // tries with neither answer nor end on the client's side
	HandOffs       int         `json:"hand_offs"`
	Executions     int         `json:"ran"`

	// Misjudged counts hand-offs that had another profile or key than their client meant: routes went wrong.
	Misrouted int `json:"misjudged"`
}

// Rules lists the rules that were broken, each once.
func (f Report) ViolatedRules() (rules []int) {
	for _, b := range f.Violations {
		if !slices.Contains(rules, b.Rule) {
			rules = append(rules, b.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

const mostBreaches = 200

type handOff struct {
	Event
	end    logic.Micros // 0 if none was seen
	turned bool
	good   bool
}

type try struct {
	asked    *Event
	answers  []*Event
	left     *Event
	notTaken *Event
	handOffs []*handOff
}

type life struct{ from, to logic.Micros }

// asking is how a sentry stands to the list from a time on.
type asking struct {
	at      logic.Micros
	follows bool
	within  logic.Micros // what was listed so long ago it is held to know, unless it follows
}

type auditor struct {
	o       *logic.Config
	slack   logic.Micros
	events  []Event
	tries   map[string]*try
	names   []string
	byWork  map[logic.WorkerID][]*handOff
	all     []*handOff
	lives   map[logic.SentryID][]life
	stalls  map[logic.SentryID][]life
	news    map[logic.SentryID][]Event
	lists   map[logic.SentryID]map[logic.WorkerID][]Event // what each was told, or is held to know
	listed  []Event
	asks    map[logic.SentryID][]asking
	orders  map[logic.SentryID][]Event
	finding Report
}

// Check holds events against the rules of the orders. Events may come in any order.
func Check(o *logic.Config, slack logic.Micros, events []Event) Report {
	a := &auditor{o: o, slack: slack, events: slices.Clone(events), tries: map[string]*try{},
		byWork: map[logic.WorkerID][]*handOff{}, lives: map[logic.SentryID][]life{},
		stalls: map[logic.SentryID][]life{}, news: map[logic.SentryID][]Event{},
		lists: map[logic.SentryID]map[logic.WorkerID][]Event{}, asks: map[logic.SentryID][]asking{},
		orders: map[logic.SentryID][]Event{}}
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	a.gather()
	a.deem()
	for _, name := range a.names {
		t := a.tries[name]
		switch {
		case t.asked == nil && len(t.handOffs) > 0:
			a.breach(1, t.handOffs[0].At, t, "a hand-off of a transaction that no client asked for")
			continue
		case t.asked == nil && len(t.answers) > 0:
			a.breach(1, t.answers[0].At, t, "an answer that no client asked for")
			continue
		case t.asked == nil:
			continue
		}
		if t.left == nil && t.notTaken == nil && len(t.answers) == 0 {
			a.finding.TriesUnclosed++
		}
		a.either(t.asked.Sentry, t.asked.At, t.asked.At+t.asked.Duration, func() { a.answer(t) })
		a.either(t.asked.Sentry, t.asked.At, t.asked.At, func() { a.effect(t) })
		for _, h := range t.handOffs {
			if h.Profile != t.asked.Profile || t.asked.Key != "" && h.Key != t.asked.Key {
				a.finding.Misrouted++
			}
		}
	}
	a.drain()
	a.cold()
	a.exposure()
	slices.SortStableFunc(a.finding.Violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return a.finding
}

// either holds a check against all orders that a sentry may have had within a time. Only what is a breach by each of
// them is one.
func (a *auditor) either(s logic.SentryID, from, to logic.Micros, check func()) {
	all := []*logic.Config{a.o}
	for i := range a.orders[s] {
		e := &a.orders[s][i]
		if to < e.At-a.slack {
			break
		}
		if from > e.At+e.Duration+a.slack {
			all = all[:0]
		}
		all = append(all, e.Config)
	}
	was, before := a.o, a.finding.Violations
	var found []Violation
	for _, o := range all {
		a.o, a.finding.Violations = o, nil
		check()
		if found = a.finding.Violations; len(found) == 0 {
			break
		}
	}
	a.o, a.finding.Violations = was, before
	if len(before) < mostBreaches {
		a.finding.Violations = append(before, found...)
	}
}

const never = logic.Micros(1) << 60

func (a *auditor) try(name string) *try {
	t := a.tries[name]
	if t == nil {
		t = &try{}
		a.tries[name] = t
		a.names = append(a.names, name)
	}
	return t
}

func (a *auditor) gather() {
	type ref struct {
		worker logic.WorkerID
		n      uint64
	}
	out := map[ref]*handOff{}
	f := &a.finding
	for i := range a.events {
		e := &a.events[i]
		switch e.Kind {
		case TrySent:
			a.try(e.Try).asked = e
			f.TriesSent++
		case TryAnswered:
			t := a.try(e.Try)
			t.answers = append(t.answers, e)
			f.TriesAnswered++
		case TryNotTaken:
			a.try(e.Try).notTaken = e
			f.TriesNotTaken++
		case TryAbandoned:
			a.try(e.Try).left = e
			f.TriesAbandoned++
		case HandOffReceived:
			h := &handOff{Event: *e}
			out[ref{e.Worker, e.HandOffNumber}] = h
			t := a.try(e.Try)
			t.handOffs = append(t.handOffs, h)
			a.byWork[e.Worker] = append(a.byWork[e.Worker], h)
			a.all = append(a.all, h)
			f.HandOffs++
		case HandOffExecuted:
			f.Executions++
		case HandOffAnswered, HandOffTurnedAway, HandOffDropped:
			if h := out[ref{e.Worker, e.HandOffNumber}]; h != nil && h.end == 0 {
				h.end, h.turned, h.good = e.At, e.Kind == HandOffTurnedAway, e.Satisfied
			}
		case ListEntrySent:
			m := a.lists[e.Sentry]
			if m == nil {
				m = map[logic.WorkerID][]Event{}
				a.lists[e.Sentry] = m
			}
			m[e.Worker] = append(m[e.Worker], *e)
		case WorkerListed:
			a.listed = append(a.listed, *e)
		case ListWatched, ListFetched:
			a.asks[e.Sentry] = append(a.asks[e.Sentry], asking{e.At, e.Kind == ListWatched || a.follows(e.Sentry), a.o.MaxListAge})
		case ListRequestFailed:
			a.asks[e.Sentry] = append(a.asks[e.Sentry], asking{e.At, false, 4 * a.o.MaxListAge})
		case StatusSent:
			a.news[e.Sentry] = append(a.news[e.Sentry], *e)
		case SentryStarted:
			a.lives[e.Sentry] = append(a.lives[e.Sentry], life{e.At, never})
			a.asks[e.Sentry] = append(a.asks[e.Sentry], asking{e.At, false, a.o.MaxListAge})
		case SentryExited:
			if l := a.lives[e.Sentry]; len(l) > 0 {
				l[len(l)-1].to = e.At
			}
		case ConfigChanged:
			a.orders[e.Sentry] = append(a.orders[e.Sentry], *e)
		case SentryPaused:
			a.stalls[e.Sentry] = append(a.stalls[e.Sentry], life{e.At, never})
		case SentryResumed:
			if l := a.stalls[e.Sentry]; len(l) > 0 {
				l[len(l)-1].to = e.At
			}
		}
	}
}

func (a *auditor) follows(s logic.SentryID) bool {
	all := a.asks[s]
	return len(all) > 0 && all[len(all)-1].follows
}

// deem adds what sentries are held to know of the list without having been told: one that follows nothing, and has not
// asked for so long, knows what was listed that long ago.
func (a *auditor) deem() {
	if !a.o.ListOnRequest {
		return
	}
	for s := range logic.SentryID(a.o.Sentries) {
		for _, e := range a.listed {
			at := a.deemed(s, e.At)
			if at == never {
				continue
			}
			if a.lists[s] == nil {
				a.lists[s] = map[logic.WorkerID][]Event{}
			}
			known := Event{At: at, Kind: ListEntrySent, Sentry: s, Worker: e.Worker, WorkerState: e.WorkerState, Build: e.Build}
			a.lists[s][e.Worker] = append(a.lists[s][e.Worker], known)
		}
		for _, told := range a.lists[s] {
			slices.SortStableFunc(told, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
		}
	}
}

// deemed is when a sentry is held to know what was listed at a time, never if it follows the list or asks in time.
func (a *auditor) deemed(s logic.SentryID, listed logic.Micros) logic.Micros {
	for i, x := range a.asks[s] {
		until := never
		if i+1 < len(a.asks[s]) {
			until = a.asks[s][i+1].at
		}
		if at := max(listed, x.at) + x.within; !x.follows && until > listed && at < until {
			return at
		}
	}
	return never
}

// informed is when a sentry can have read what was sent to it: not while its process was stopped.
func (a *auditor) informed(s logic.SentryID, sent logic.Micros) logic.Micros {
	at := sent + a.slack
	for _, l := range a.stalls[s] {
		if at >= l.from && sent < l.to {
			at = max(at, min(l.to, never-a.slack)+a.slack)
		}
	}
	return at
}

func (a *auditor) breach(rule int, at logic.Micros, t *try, format string, args ...any) {
	if len(a.finding.Violations) >= mostBreaches {
		return
	}
	b := Violation{Rule: rule, At: at, Description: fmt.Sprintf(format, args...)}
	if t != nil {
		b.Timeline = a.timeline(t)
	}
	a.finding.Violations = append(a.finding.Violations, b)
}

// timeline is all that was seen of a transaction.
func (a *auditor) timeline(t *try) (lines []string) {
	name := ""
	if t.asked != nil {
		name = t.asked.Try
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
			line += fmt.Sprintf(" %s of sentry %d: profile %d, key %q, gives up after %d us", e.Try, e.Sentry, e.Profile, e.Key, e.Duration)
		case TryAnswered:
			line += fmt.Sprintf(" %s", [...]string{"satisfied", "deferred", "written off"}[e.Outcome])
		case HandOffReceived:
			line += fmt.Sprintf(" by %s (build %d) from sentry %d as its %d, given up after %d us", e.Worker, e.Build, e.Sentry, e.HandOffNumber, e.Duration)
		case HandOffExecuted, HandOffAnswered, HandOffTurnedAway, HandOffDropped:
			line += fmt.Sprintf(" at %s, its %d", e.Worker, e.HandOffNumber)
		}
		lines = append(lines, line)
	}
	return lines
}

// answer is rule 1: one final answer in time, and nothing sent after it.
func (a *auditor) answer(t *try) {
	q := t.asked
	if t.notTaken != nil {
		if len(t.answers) > 0 || len(t.handOffs) > 0 {
			a.breach(1, t.notTaken.At, t, "%s: not taken, and yet answered or handed off", q.Try)
		}
		return
	}
	if len(t.answers) > 1 {
		a.breach(1, t.answers[1].At, t, "%s: %d final answers, expected one", q.Try, len(t.answers))
		return
	}
	last := q.At + q.Duration + a.o.AnswerGrace
	for _, l := range a.stalls[q.Sentry] { // what comes to a stopped process is taken when it runs again
		if q.At >= l.from-a.slack && q.At < l.to && l.to < never {
			last = max(last, l.to+q.Duration+a.o.AnswerGrace)
		}
	}
	closed := never
	switch {
	case len(t.answers) == 1:
		closed = t.answers[0].At
		if closed > a.informed(q.Sentry, last) {
			a.breach(1, closed, t, "%s: answered %d us late", q.Try, closed-last)
		}
	case t.left != nil:
		closed = t.left.At
		if closed > a.informed(q.Sentry, last) {
			a.breach(1, closed, t, "%s: no answer by its limit", q.Try)
		}
	default:
		if a.running(q.Sentry, q.At, last) {
			a.breach(1, last, t, "%s: no final answer", q.Try)
		}
	}
	for _, h := range t.handOffs {
		if closed < never && h.At > a.informed(q.Sentry, closed) {
			a.breach(1, h.At, t, "%s: handed off %d us after it was closed", q.Try, h.At-closed)
		}
	}
}

// running says whether a sentry's process ran from before a time until after another.
func (a *auditor) running(s logic.SentryID, from, to logic.Micros) bool {
	for _, l := range a.lives[s] {
		if l.from <= from && l.to > to+a.slack {
			return true
		}
	}
	return false
}

// effect is rule 2: nothing runs twice that must not.
func (a *auditor) effect(t *try) {
	if int(t.asked.Profile) >= len(a.o.Profiles) {
		return // it was taken by other orders
	}
	p := &a.o.Profiles[t.asked.Profile]
	for j, h := range t.handOffs {
		for _, first := range t.handOffs[:j] {
			if first.turned && first.end <= h.At {
				continue
			}
			pending := first.end == 0 || first.end > h.At
			if pending && !a.o.MayHedge && h.At+a.slack < first.At+first.Duration {
				a.breach(2, h.At, t, "%s: two hand-offs out at once, where copies are not allowed", t.asked.Try)
				return
			}
			switch p.Repeatability {
			case logic.NonIdempotent:
				a.breach(2, h.At, t, "%s: irreversible, handed off again after one that may have run", t.asked.Try)
				return
			case logic.Deduplicated:
				if p.DedupScope == logic.ScopeZone && first.Zone != h.Zone || p.DedupScope == logic.ScopeCell && first.Cell != h.Cell {
					a.breach(2, h.At, t, "%s: labelled, handed off again outside its group", t.asked.Try)
					return
				}
				if h.At-first.At > p.DedupWindow+a.slack {
					a.breach(2, h.At, t, "%s: labelled, handed off again %d us after one that may have run, window %d us",
						t.asked.Try, h.At-first.At, p.DedupWindow)
					return
				}
			}
		}
	}
	if len(t.answers) == 0 || t.answers[0].Outcome != Deferred || p.Repeatability == logic.Idempotent ||
		p.Repeatability == logic.Deduplicated && p.DedupScope == logic.ScopeAll {
		return
	}
	for _, h := range t.handOffs {
		if !h.turned {
			a.breach(2, t.answers[0].At, t, "%s: deferred, though a hand-off may have run", t.asked.Try)
			return
		}
	}
}

// drain is rule 3: nothing new to a worker that drains or is gone, past the grace.
func (a *auditor) drain() {
	for _, h := range a.all {
		a.either(h.Sentry, h.At, h.At, func() { a.drained(h) })
	}
}

func (a *auditor) drained(h *handOff) {
	told := a.lists[h.Sentry][h.Worker]
	since := never
	for _, e := range told {
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
	if since == never || a.bornAfter(h.Sentry, since, h.At) {
		return
	}
	// What was ruled in time may wait for its connection.
	if last := a.informed(h.Sentry, since) + a.o.DrainGrace + a.o.ConnectTimeout; h.At > last {
		a.breach(3, h.At, a.tries[h.Try], "%s: handed off to %s %d us after sentry %d was told that it drains or is gone",
			h.Try, h.Worker, h.At-since, h.Sentry)
	}
}

// bornAfter says whether a sentry's run at one time began after another.
func (a *auditor) bornAfter(s logic.SentryID, told, at logic.Micros) bool {
	for _, l := range a.lives[s] {
		if l.from <= at && at < l.to+a.slack {
			return l.from > told
		}
	}
	return false
}

// cold is rule 4: no cold worker gets more than the multiple of what it can do, over the span, by all together.
func (a *auditor) cold() {
	for i := range a.events {
		up := &a.events[i]
		if up.Kind != WorkerStarted || up.WarmUp == 0 {
			continue
		}
		end := up.At + up.WarmUp
		can := func(at logic.Micros) float64 {
			return up.Speed * (up.ColdSpeedShare + (1-up.ColdSpeedShare)*min(1, float64(at-up.At)/float64(up.WarmUp)))
		}
		hs := a.byWork[up.Worker]
		from, work := 0, 0.0
		for j, h := range hs {
			if h.At < up.At || h.At > end {
				if h.At < up.At {
					from = j + 1
				}
				continue
			}
			work += float64(h.Work)
			for hs[from].At <= h.At-a.o.ColdLoadWindow {
				work -= float64(hs[from].Work)
				from++
			}
			if work <= a.o.ColdLoadMultiple*can(h.At)*float64(a.o.ColdLoadWindow) {
				continue
			}
			known := 0.0
			for _, x := range hs[from : j+1] {
				if a.knew(x.Sentry, up, x.At) {
					known += float64(x.Work)
				}
			}
			if known >= work*2/3 {
				a.breach(4, h.At, a.tries[h.Try], "%s, started %d us before, was sent %.0f us of work within %d us, "+
					"can do %.0f us", up.Worker, h.At-up.At, work, a.o.ColdLoadWindow, can(h.At)*float64(a.o.ColdLoadWindow))
				break
			}
		}
	}
}

// knew says whether a sentry had been told of a worker's start.
func (a *auditor) knew(s logic.SentryID, up *Event, at logic.Micros) bool {
	return slices.ContainsFunc(a.lists[s][up.Worker], func(e Event) bool {
		return e.At >= up.At && e.At <= at && e.WorkerState == logic.Ready
	})
}

// exposure is rule 5: what a sentry hands off to a build on trial stays within the free allowance and the cap's
// part of what it took, in any window; guarded stages and keys that go forward only.
func (a *auditor) exposure() {
	rows := 1
	for i := range a.events {
		rows = max(rows, int(a.events[i].Profile)+2)
	}
	for s := range a.o.Sentries {
		id := logic.SentryID(s)
		taken, sent := make([][]logic.Micros, rows), make([][]*handOff, rows) // over all first, then by profile
		for i := range a.events {
			if e := &a.events[i]; e.Kind == TrySent && e.Sentry == id && a.tries[e.Try].notTaken == nil {
				for _, row := range []int{0, 1 + int(e.Profile)} {
					taken[row] = append(taken[row], e.At)
				}
			}
		}
		met := map[logic.Key]met{}
		for _, h := range a.all {
			if h.Sentry != id {
				continue
			}
			n := a.newsAt(id, h.At)
			a.either(id, h.At, h.At, func() { a.forward(met, h, n) })
			if onTrial, _, _ := a.trial(id, h); onTrial {
				for _, row := range []int{0, 1 + int(h.Profile)} {
					sent[row] = append(sent[row], h)
				}
				a.either(id, h.At, h.At, func() {
					row := 0
					if a.o.ExposureByProfile {
						row = 1 + int(h.Profile)
					}
					a.exposed(id, h, sent[row], taken[row])
				})
			}
		}
	}
}

// newsAt is what a sentry had last been sent.
func (a *auditor) newsAt(s logic.SentryID, at logic.Micros) *Event {
	var last *Event
	for i := range a.news[s] {
		if e := &a.news[s][i]; e.At <= at && e.Status.Valid {
			last = e
		}
	}
	return last
}

// trial says whether a hand-off went to a build on trial, what cap may have counted for it, and since when.
func (a *auditor) trial(s logic.SentryID, h *handOff) (onTrial bool, most float64, since logic.Micros) {
	latest := a.newsAt(s, h.At)
	if latest == nil {
		return false, 0, 0
	}
	if h.Build > latest.Status.Build {
		if len(a.o.StageCaps) > 0 {
			most = a.o.StageCaps[0]
		}
		return true, most, 0
	}
	if h.Build != latest.Status.Build {
		return false, 0, 0
	}
	// What was sent lately may not have been read, and a lower cap counts only after the grace.
	earliest := h.At - a.slack - a.o.DrainGrace
	for i := range a.news[s] {
		e := &a.news[s][i]
		if e.At > h.At || !e.Status.Valid || e.Status.Build != h.Build {
			continue
		}
		until := never
		for j := i + 1; j < len(a.news[s]); j++ {
			if n := &a.news[s][j]; n.Status.Valid {
				until = a.informed(s, n.At) + a.o.DrainGrace
				break
			}
		}
		if until <= earliest {
			continue
		}
		if e.Status.Phase == logic.Released && until > h.At-a.slack {
			return false, 0, 0
		}
		if c := e.Status.Cap; until > h.At && c >= most {
			most = c
		}
	}
	// Recounted from the last time that a lower cap came into force.
	for i := 1; i < len(a.news[s]); i++ {
		n, old := &a.news[s][i], &a.news[s][i-1]
		if n.Status.Valid && n.Status.Build == h.Build && n.Status.Cap < old.Status.Cap {
			if from := a.informed(s, n.At) + a.o.DrainGrace; from <= h.At {
				since = from
			}
		}
	}
	return true, most, since
}

func (a *auditor) exposed(s logic.SentryID, h *handOff, sent []*handOff, taken []logic.Micros) {
	_, most, since := a.trial(s, h)
	from := max(h.At-a.o.ExposureWindow, since)
	for _, l := range a.lives[s] {
		if l.from <= h.At {
			from = max(from, l.from)
		}
	}
	n := 0
	for i := len(sent) - 1; i >= 0 && sent[i].At > from; i-- {
		if sent[i].Build == h.Build {
			n++
		}
	}
	came := 0
	low, _ := slices.BinarySearch(taken, h.At-a.o.ExposureWindow-a.slack)
	for _, at := range taken[low:] {
		if at > h.At+a.slack {
			break
		}
		came++
	}
	if most == 0 && n > 0 {
		a.breach(5, h.At, a.tries[h.Try], "sentry %d sent to build %d at cap 0", s, h.Build)
	} else if float64(n) > a.o.FreeExposure+most*float64(came) {
		a.breach(5, h.At, a.tries[h.Try], "sentry %d handed off %d to build %d within %d us, took %d; free %g, cap %g",
			s, n, h.Build, a.o.ExposureWindow, came, a.o.FreeExposure, most)
	}
	latest := a.newsAt(s, h.At)
	before := a.newsAt(s, h.At-a.slack-a.o.DrainGrace)
	guarded := func(e *Event) bool {
		later := e != nil && e.Status.Build < h.Build // one that nothing was told of is held to be in the first stage
		return later && a.o.GuardedStages > 0 ||
			e != nil && e.Status.Build == h.Build && e.Status.Phase == logic.OnTrial && e.Status.Stage < a.o.GuardedStages
	}
	if int(h.Profile) < len(a.o.Profiles) && a.o.Profiles[h.Profile].Repeatability != logic.Idempotent && guarded(latest) && guarded(before) {
		a.breach(5, h.At, a.tries[h.Try], "sentry %d handed off what is not redoable to build %d at a guarded stage", s, h.Build)
	}
}

// met is the build that has answered a key, and since when its client has that.
type met struct {
	build logic.BuildID
	at    logic.Micros
}

// forward checks that a key which the trial has answered goes to no earlier build.
func (a *auditor) forward(keys map[logic.Key]met, h *handOff, n *Event) {
	if !a.o.ForwardOnly || h.Key == "" || n == nil {
		return
	}
	m, known := keys[h.Key]
	settled := a.newsAt(h.Sentry, h.At-a.slack-a.o.DrainGrace)
	stands := settled != nil && settled.Status.Build == m.build && n.Status.Build == m.build &&
		forwardIn(n.Status.Phase) && forwardIn(settled.Status.Phase)
	if known && stands && h.Build < m.build && h.At > a.informed(h.Sentry, m.at) && !a.bornAfter(h.Sentry, m.at, h.At) {
		a.breach(5, h.At, a.tries[h.Try], "sentry %d handed key %q to build %d, after build %d had answered it", h.Sentry, h.Key,
			h.Build, m.build)
	}
	if h.good && h.Build == n.Status.Build && n.Status.Phase == logic.OnTrial && (!known || h.Build > m.build) {
		t := a.tries[h.Try]
		for _, e := range t.answers {
			if e.Outcome == Satisfied {
				keys[h.Key] = met{h.Build, max(e.At, h.end)}
			}
		}
	}
}

// forwardIn says whether keys go forward only in a phase.
func forwardIn(p logic.Phase) bool { return p == logic.OnTrial || p == logic.Released }
