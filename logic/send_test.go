package logic

import (
	"fmt"
	"testing"
)

// Guards against a hand-off being written under conditions that held when it was ordered and hold no more when a connection
// comes free for it.
func TestConditionsChangedBeforeTheWrite(t *testing.T) {
	const dedupProfile = 2
	toTrial := func(h *trialHarness) { h.sentry.trialSlots = 100 }
	toEarlier := func(h *trialHarness) { h.sentry.trialSlots = 0 }
	list := func(change func(*Worker)) func(*trialHarness, WorkerID) {
		return func(h *trialHarness, id WorkerID) {
			w := h.sentry.workers[h.sentry.workerIndex[id]]
			change(&w)
			h.sentry.ListReceived(h.now, ListDelta, []Worker{w})
		}
	}
	release := func(status ReleaseStatus) func(*trialHarness, WorkerID) {
		return func(h *trialHarness, _ WorkerID) { h.updateRelease(status) }
	}
	for name, c := range map[string]struct {
		route   func(*trialHarness)
		profile ProfileID
		change  func(*trialHarness, WorkerID)
		want    bool // the hand-off is withheld
	}{
		"nothing, earlier build":                {toEarlier, 0, func(*trialHarness, WorkerID) {}, false},
		"nothing, trial":                        {toTrial, 0, func(*trialHarness, WorkerID) {}, false},
		"worker drains":                         {toEarlier, 0, list(func(w *Worker) { w.State = Draining }), true},
		"worker gets another build":             {toEarlier, 0, list(func(w *Worker) { w.Build = 11 }), true},
		"worker restarts cold":                  {toEarlier, 0, list(func(w *Worker) { w.Started = 1011 * second }), false},
		"client leaves":                         {toEarlier, 0, func(h *trialHarness, _ WorkerID) { h.sentry.ClientLeft(h.now, "waiting") }, true},
		"release goes back":                     {toTrial, 0, release(ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack}), true},
		"release goes back, earlier":            {toEarlier, 0, release(ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack}), false},
		"release, earlier build":                {toEarlier, 0, release(ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1}), true},
		"release, trial":                        {toTrial, 0, release(ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1}), false},
		"cap falls to 0":                        {toTrial, 0, release(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial}), false}, // two are free
		"stage becomes guarded":                 {toTrial, 1, func(h *trialHarness, _ WorkerID) { h.sentry.config.GuardedStages = 1 }, true},
		"exposure is used up":                   {toTrial, 0, func(h *trialHarness, _ WorkerID) { h.useUpExposure() }, true},
		"trial gets the key":                    {toEarlier, 0, func(h *trialHarness, _ WorkerID) { toTrial(h); h.arrive("other", "key") }, true},
		"trial has answered the key":            {toEarlier, 0, func(h *trialHarness, _ WorkerID) { h.sentry.trialKeys["key"] = 11 }, true},
		"deduplication window ends":             {toEarlier, dedupProfile, func(h *trialHarness, _ WorkerID) { h.now += second }, true},
		"deduplication window continues":        {toEarlier, dedupProfile, func(h *trialHarness, _ WorkerID) { h.now += second / 10 }, false},
		"worker leaves the deduplication scope": {toEarlier, dedupProfile, list(func(w *Worker) { w.Cell = 7 }), true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTrialHarness(4, 4)
			h.now += 10 * second
			h.sentry.Wake(h.now)
			h.sentry.config.MaxHandOffs, h.sentry.config.MayHedge, h.sentry.config.MayCancel, h.sentry.retryBudget = 3, false, true, maxRetryBudget
			h.sentry.config.Profiles = append(h.sentry.config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1,
				Repeatability: Deduplicated, DedupScope: ScopeCell, DedupWindow: second})
			h.sentry.applyConfig(h.sentry.config)
			c.route(h)
			h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "waiting", Profile: c.profile, Key: "key", Account: NoAccount, Deadline: h.now + 2*second}))
			number := 0
			if c.profile == dedupProfile { // its first hand-off may have run
				h.now += second / 10
				h.end("waiting", number, h.handOffs("waiting")[0], Broken)
				number++
			}
			workers := h.handOffs("waiting")
			if len(workers) != 1 {
				t.Fatalf("found hand-offs to %v, expected one", workers)
			}
			h.now += 1000
			c.change(h, workers[0])
			if got := h.sentry.HandOffConnected(h.now, "waiting", number).Withhold; got != c.want {
				t.Errorf("withheld: %v, expected %v", got, c.want)
			}
		})
	}
	h := newTrialHarness(1, 1)
	if !h.sentry.HandOffConnected(h.now, "unknown", 0).Withhold {
		t.Error("a hand-off of an unknown transaction is not withheld")
	}
}

// useUpExposure counts so many hand-offs to the trial that the exposure bound allows no other.
func (h *trialHarness) useUpExposure() {
	for counter := range h.sentry.exposedTimes {
		for range 1000 {
			h.sentry.exposedTimes[counter] = append(h.sentry.exposedTimes[counter], h.now)
		}
	}
}

// Guards against the exposure window being counted from the order of a hand-off that waited: it is exposure from its write on.
func TestWaitingHandOffIsExposureFromItsWrite(t *testing.T) {
	h := newTrialHarness(4, 4)
	h.now += 10 * second
	h.sentry.trialSlots = 100
	h.arrive("waiting", "key")
	ordered := h.now
	h.now += 200_000
	if h.sentry.HandOffConnected(h.now, "waiting", 0).Withhold {
		t.Fatal("the hand-off is withheld, expected it to be written")
	}
	if got := h.sentry.exposedTimes[0]; len(got) != 1 || got[0] != h.now {
		t.Errorf("found exposure at %v, expected it at %d, not at %d when the hand-off was ordered", got, h.now, ordered)
	}
}

// Guards against a retry being given up although the workers still remember the transaction: the window of a hand-off that
// waited for a connection begins when it is written.
func TestDedupWindowBeginsWithTheWrite(t *testing.T) {
	h := newTrialHarness(8, 0)
	const window, waited = 600_000, 200_000
	config := &h.sentry.config
	config.MaxHandOffs, config.MayHedge, h.sentry.retryBudget = 2, false, maxRetryBudget
	config.Profiles = append(config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1,
		Repeatability: Deduplicated, DedupWindow: window})
	h.sentry.applyConfig(*config)
	h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "a", Profile: 2, Account: NoAccount, Deadline: h.now + 2*second}))
	worker := h.handOffs("a")[0]
	h.now += waited
	if h.sentry.HandOffConnected(h.now, "a", 0).Withhold {
		t.Fatal("the hand-off is withheld, expected it to be written")
	}
	want := h.now + window - config.TimerGranularity
	h.now += window - 2*config.TimerGranularity
	h.end("a", 0, worker, Broken)
	if got := h.lastResult.Actions; len(got) != 1 || got[0].Kind != HandOff || got[0].SendBy != want {
		t.Errorf("found %+v, expected a retry that may be sent until %d", got, want)
	}
}

// orderStep is an event in the orders that TestForwardOnlyInEveryOrder plays.
type orderStep int

const (
	stepArrive     orderStep = iota // the next transaction of the key arrives
	stepConnect                     // a connection comes free for the oldest hand-off that waits
	stepAnswer                      // the worker of the oldest written hand-off writes its answer
	stepRead                        // the sentry reads the oldest written answer
	stepReset                       // the connection of the oldest open hand-off that was written breaks
	stepError                       // the worker of the oldest written hand-off answers with an error
	stepWait                        // half of the due time passes
	stepListChange                  // the first earlier worker becomes one of the trial, or back
	stepRollBack                    // the release goes back
	stepCount
)

// orderHandOff is a hand-off in orderPlay.
type orderHandOff struct {
	id                       string
	number                   int
	worker                   WorkerID
	written, answered, ended bool
}

// orderPlay plays one order of events for two transactions of one key, with caller and workers.
type orderPlay struct {
	*trialHarness
	handOffsOrdered []*orderHandOff
	counts          map[string]int // hand-offs by transaction
	arrived         int
	keyMet          bool // the trial has written a good answer for the key, and has not gone back
	rolledBack      bool
	broken          string
}

// newOrderPlay returns a play with two workers of build 10 and two of build 11, which is on trial.
func newOrderPlay() *orderPlay {
	sentry := New(Config{Sentries: 1, MaxHandOffs: 3, TimerGranularity: 5000, ExposureWindow: 4 * second, FreeExposure: 2,
		StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}, ForwardOnly: true, EarlierWorkersStay: true, MayHedge: true,
		MayCancel: true, Profiles: []Profile{{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1}}}, 1)
	p := &orderPlay{trialHarness: &trialHarness{sentry: sentry, now: 1000 * second}, counts: map[string]int{}}
	workers := []Worker{{ID: "e0", Build: 10, Size: 1}, {ID: "e1", Build: 10, Size: 1}, {ID: "t0", Build: 11, Size: 1}, {ID: "t1", Build: 11, Size: 1}}
	p.take(sentry.ListReceived(p.now, FullList, workers))
	p.take(sentry.ReleaseUpdated(p.now, ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5}))
	sentry.retryBudget, sentry.trialSlots = maxRetryBudget, 100
	return p
}

// take carries out a result: hand-offs wait for a connection, cancelled ones end.
func (p *orderPlay) take(result Result) {
	p.record(result)
	for _, action := range result.Actions {
		id := string(action.Transaction)
		switch action.Kind {
		case HandOff:
			p.handOffsOrdered = append(p.handOffsOrdered, &orderHandOff{id: id, number: p.counts[id], worker: action.Worker})
			p.counts[id]++
		case CancelHandOff:
			for _, x := range p.handOffsOrdered {
				if x.id == id && x.number == action.HandOffNumber && !x.ended {
					p.finish(x, map[bool]Ending{true: Cancelled, false: Unsent}[x.written])
				}
			}
		}
	}
}

// finish ends a hand-off.
func (p *orderPlay) finish(x *orderHandOff, ending Ending) {
	x.ended = true
	p.take(p.sentry.HandOffEnded(p.now, HandOffEnd{Transaction: TransactionID(x.id), HandOffNumber: x.number, Worker: x.worker, Ending: ending,
		Duration: 1000, TransactionClosed: ending == Answered, Load: NoLoad}))
}

// build returns the listed build of a worker.
func (p *orderPlay) build(w WorkerID) BuildID { return p.sentry.workers[p.sentry.workerIndex[w]].Build }

// oldest returns the oldest hand-off that has not ended in a state, or nil.
func (p *orderPlay) oldest(written, answered bool) *orderHandOff {
	for _, x := range p.handOffsOrdered {
		if !x.ended && x.written == written && x.answered == answered {
			return x
		}
	}
	return nil
}

// apply plays one event, and reports whether it can occur.
func (p *orderPlay) apply(step orderStep) bool {
	p.now += 1000
	waiting, working, answered := p.oldest(false, false), p.oldest(true, false), p.oldest(true, true)
	switch {
	case step == stepArrive && p.arrived < 2:
		p.arrived++
		p.take(p.sentry.TransactionArrived(p.now, Transaction{ID: TransactionID(fmt.Sprint(p.arrived)), Key: "key", Account: NoAccount, Deadline: p.now + 2*second}))
	case step == stepConnect && waiting != nil:
		if p.sentry.HandOffConnected(p.now, TransactionID(waiting.id), waiting.number).Withhold {
			p.finish(waiting, Unsent)
			break
		}
		waiting.written = true
		if p.keyMet && p.build(waiting.worker) < 11 {
			p.broken = fmt.Sprintf("hand-off %d of transaction %s was written to %s of an earlier build", waiting.number, waiting.id, waiting.worker)
		}
	case step == stepAnswer && working != nil:
		working.answered = true
		p.keyMet = p.keyMet || p.build(working.worker) == 11 && !p.rolledBack
	case step == stepRead && answered != nil:
		p.finish(answered, Answered)
	case step == stepReset && answered != nil:
		p.finish(answered, Broken)
	case step == stepReset && working != nil:
		p.finish(working, Broken)
	case step == stepError && working != nil:
		p.finish(working, Errored)
	case step == stepWait:
		p.now += second / 4
		p.take(p.sentry.Wake(p.now))
	case step == stepListChange:
		p.take(p.sentry.ListReceived(p.now, ListDelta, []Worker{{ID: "e0", Build: 21 - p.build("e0"), Size: 1}}))
	case step == stepRollBack && !p.rolledBack:
		p.rolledBack, p.keyMet = true, false
		p.take(p.sentry.ReleaseUpdated(p.now, ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack}))
	default:
		return false
	}
	return true
}

// maxOrderSteps is how many events TestForwardOnlyInEveryOrder plays after one another.
const maxOrderSteps = 7

// Guards against any order of events in which a key that the trial has answered is written to an earlier build: all orders of
// up to maxOrderSteps events are played for two transactions of the key.
func TestForwardOnlyInEveryOrder(t *testing.T) {
	played := 0
	var extend func(order []orderStep)
	extend = func(order []orderStep) {
		for step := range stepCount {
			next := append(order[:len(order):len(order)], step)
			p := newOrderPlayFrom(order)
			if !p.apply(step) {
				continue
			}
			played++
			if p.broken != "" {
				t.Fatalf("after %v: %s, expected the trial", next, p.broken)
			}
			if len(next) < maxOrderSteps {
				extend(next)
			}
		}
	}
	extend([]orderStep{stepArrive})
	t.Logf("%d orders", played)
	if played < 10_000 {
		t.Errorf("found %d orders, expected tens of thousands", played)
	}
}

// newOrderPlayFrom plays an order of events.
func newOrderPlayFrom(order []orderStep) *orderPlay {
	p := newOrderPlay()
	for _, step := range order {
		p.apply(step)
	}
	return p
}
