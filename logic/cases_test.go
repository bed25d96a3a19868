package logic

import (
	"fmt"
	"math"
	"testing"
)

// trialHarness is a sentry with workers e0, e1, ... of build 10 and workers t0, t1, ... of build 11, which is on trial.
// It serves one transaction at a time.
type trialHarness struct {
	sentry           *Sentry
	now              Micros
	transactionCount int
	votedRollBack    bool
	lastResult       Result
}

// newTrialHarness returns a sentry whose baseline was taken from 400 transactions before the trial of build 11 began.
func newTrialHarness(earlierWorkers, trialWorkers int) *trialHarness {
	config := Config{
		Sentries: 1, MaxHandOffs: 1, TimerGranularity: 5000, ColdCapacity: 0.4, WarmUp: 4 * second,
		ColdLoadMultiple: 4, ColdLoadWindow: 2 * second,
		StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}, FreeExposure: 2, ExposureWindow: 4 * second,
		ForwardOnly: true, RollBackVotes: 1, AdvanceVotes: 1, VoteTTL: 6 * second, EarlierWorkersStay: true, MayNameRetryAfter: true,
		MaxRetryAfter: second, MayHedge: true,
		Profiles: []Profile{{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1},
			{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1, Repeatability: NonIdempotent}},
	}
	h := &trialHarness{sentry: New(config, 1), now: 1000 * second}
	var workers []Worker
	for i := range earlierWorkers {
		workers = append(workers, Worker{ID: WorkerID(fmt.Sprint("e", i)), Build: 10, Size: 1})
	}
	h.sentry.ListReceived(h.now, FullList, workers)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	h.serveTransactions(400, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	for i := range trialWorkers {
		workers = append(workers, Worker{ID: WorkerID(fmt.Sprint("t", i)), Build: 11, Size: 1})
	}
	h.sentry.ListReceived(h.now, FullList, workers)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5})
	return h
}

func (h *trialHarness) updateRelease(s ReleaseStatus) { h.record(h.sentry.ReleaseUpdated(h.now, s)) }

// record keeps the result, and whether any result so far contained a vote to roll back.
func (h *trialHarness) record(result Result) {
	h.lastResult = result
	for _, vote := range result.Votes {
		h.votedRollBack = h.votedRollBack || vote.Verdict == RollBack
	}
}

// serveTransactions has n transactions arrive, 20 ms apart. Each of their hand-offs ends at once, as outcome says for
// its worker and the number of the transaction.
func (h *trialHarness) serveTransactions(n int, outcome func(w WorkerID, n int) (Ending, Micros)) {
	for range n {
		h.transactionCount++
		h.now += 20_000
		id := TransactionID(fmt.Sprint(h.transactionCount))
		h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: id, Profile: ProfileID(h.transactionCount % 2), Account: NoAccount,
			Key: Key(fmt.Sprintf("%x", h.transactionCount*7919)), Deadline: h.now + 2*second}))
		for _, action := range h.lastResult.Actions {
			if action.Kind != HandOff {
				continue
			}
			ending, duration := outcome(action.Worker, h.transactionCount)
			h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: action.Worker, Ending: ending, Duration: duration,
				TransactionClosed: ending == Answered, Load: NoLoad}))
		}
	}
}

func isTrialWorker(w WorkerID) bool { return w[0] == 't' }

// The expected slots were computed with md5sum.
func TestSlotOf(t *testing.T) {
	if got := hashSlot("91f03b7c55d20a64", 41, 42); got != 61 {
		t.Errorf("found slot %d, expected 61", got)
	}
	if got := hashSlot("a", 1, 2); got != 79 {
		t.Errorf("found slot %d, expected 79", got)
	}
}

// A sentry must vote to roll back a build that errs or is slow, and not for trouble of single machines, for errors that
// both builds have, or for programs that share machines with the workers.
func TestVerdicts(t *testing.T) {
	type outcome func(w WorkerID, n int) (Ending, Micros)
	isMultiple := func(n, k int) bool { return n%k == 0 }
	cases := []struct {
		name     string
		outcome  outcome
		rollBack bool
	}{
		{"a good build", func(w WorkerID, n int) (Ending, Micros) { return Answered, 50_000 }, false},
		{"a build that fails one in ten", func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) && isMultiple(n, 10) {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, true},
		{"a build that fails half of one profile", func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) && n%4 == 1 {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, true},
		{"one failing worker of the trial", func(w WorkerID, n int) (Ending, Micros) {
			if w == "t2" && isMultiple(n, 2) {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, false},
		{"errors on both builds alike", func(w WorkerID, n int) (Ending, Micros) {
			if isMultiple(n*7919, 50) {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, false},
		{"a build that takes four times as long", func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) {
				return Answered, 200_000
			}
			return Answered, 50_000
		}, true},
		{"a build that increasingly slows every worker", func(w WorkerID, n int) (Ending, Micros) {
			return Answered, 50_000 + Micros(n-400)*200
		}, true},
		{"other programs slow half of all workers", func(w WorkerID, n int) (Ending, Micros) {
			if w[1]%2 == 0 {
				return Answered, 250_000
			}
			return Answered, 50_000
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTrialHarness(8, 8)
			h.serveTransactions(1200, c.outcome)
			if h.votedRollBack != c.rollBack {
				t.Errorf("found a vote to roll back: %v, expected %v", h.votedRollBack, c.rollBack)
			}
		})
	}
}

// Slowness that comes long after the release has another cause than the build, so no sentry may vote to roll it back.
func TestLateSlownessAfterRelease(t *testing.T) {
	h := newTrialHarness(8, 8)
	answerFast := func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 }
	h.serveTransactions(300, answerFast)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: Released, Cap: 1})
	h.serveTransactions(600, answerFast)
	h.serveTransactions(600, func(WorkerID, int) (Ending, Micros) { return Answered, 300_000 })
	if h.votedRollBack {
		t.Error("found a vote to roll back a released build that became slow much later, expected none")
	}
}

// With ForwardOnly, a key that the trial has answered must not go to the earlier build again. When the bound on
// exposure is reached, its transactions are deferred with a time to retry after.
func TestHotKeyAboveExposureBound(t *testing.T) {
	h := newTrialHarness(8, 8)
	key := Key("hot")
	for n := 0; hashSlot(key, 10, 11) >= 40; n++ {
		key = Key(fmt.Sprint("hot", n))
	}
	deferred := 0
	for n := range 400 {
		h.now += 5_000
		id := TransactionID(fmt.Sprint("h", n))
		result := h.sentry.TransactionArrived(h.now, Transaction{ID: id, Key: key, Account: NoAccount, Deadline: h.now + second})
		for _, action := range result.Actions {
			switch {
			case action.Kind == Defer && action.RetryAfter > 0:
				deferred++
			case n > 0 && !isTrialWorker(action.Worker):
				t.Fatalf("transaction %d of a key that the trial has answered: found %v, expected a hand-off to the trial or a deferral", n, action)
			default:
				h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: action.Worker, TransactionClosed: true, Duration: 50_000,
					Load: NoLoad})
			}
		}
	}
	if deferred < 100 {
		t.Errorf("found %d of 400 transactions deferred with a cap of 0.5, expected at least 100", deferred)
	}
}

// When no hand-off ends, a sentry without a bound would hand off everything. It must bound its open hand-offs and defer
// the other transactions before their due time, with a time to retry after.
func TestOverload(t *testing.T) {
	h := newTrialHarness(4, 0)
	handedOff, deferred := 0, 0
	count := func(result Result) {
		for _, action := range result.Actions {
			if action.Kind == HandOff {
				handedOff++
			} else if action.Kind == Defer && action.RetryAfter > 0 {
				deferred++
			}
		}
	}
	for n := range 500 {
		h.now += 2_000
		count(h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(fmt.Sprint("o", n)), Account: NoAccount,
			Deadline: h.now + 2*second}))
		count(h.sentry.Wake(h.now))
	}
	h.now += second / 2
	count(h.sentry.Wake(h.now))
	if handedOff > 100 || deferred < 350 {
		t.Errorf("found %d handed off and %d deferred of 500 while no hand-off ends, expected at most 100 and at least 350", handedOff, deferred)
	}
}

// A transaction for the earlier build that finds none of its workers must not be lost: it is queued, handed off when
// such a worker starts, and otherwise deferred before its due time.
func TestNoWorkerOfTheEarlierBuild(t *testing.T) {
	for _, workerStarts := range []bool{true, false} {
		h := newTrialHarness(4, 4)
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack})
		var noWorkers []Worker
		h.sentry.ListReceived(h.now, FullList, noWorkers)
		result := h.sentry.TransactionArrived(h.now, Transaction{ID: "x", Account: NoAccount, Deadline: h.now + 2*second})
		if len(result.Actions) > 0 || result.WakeAt == 0 {
			t.Fatalf("found %v, expected no action and a wake-up: the transaction is queued", result)
		}
		h.now += second / 10
		if workerStarts {
			result = h.sentry.ListReceived(h.now, FullList, []Worker{{ID: "n", Build: 10, Size: 1, Started: h.now}})
		} else {
			h.now += second / 2
			result = h.sentry.Wake(h.now)
		}
		if len(result.Actions) != 1 || (result.Actions[0].Kind == HandOff) != workerStarts || (result.Actions[0].Kind == Defer) == workerStarts {
			t.Errorf("a worker of the earlier build starts: %v; found %v, expected a hand-off if one starts, else a deferral", workerStarts, result.Actions)
		}
	}
}

// A worker that was slow or full once must not stay unused: what is known of its load and latency expires.
func TestOldWorkerReportsExpire(t *testing.T) {
	h := newTrialHarness(2, 0)
	h.serveTransactions(40, func(w WorkerID, _ int) (Ending, Micros) {
		if w == "e0" {
			return Answered, 450_000
		}
		return Answered, 50_000
	})
	handOffs := map[WorkerID]int{}
	h.serveTransactions(400, func(w WorkerID, _ int) (Ending, Micros) {
		handOffs[w]++
		return Answered, 50_000
	})
	if handOffs["e0"] < 100 {
		t.Errorf("found %d of 400 hand-offs to a worker that is no longer slow, expected at least 100", handOffs["e0"])
	}
}

// When a build slows the whole fleet, the concurrency limit keeps the hand-offs that are made fast: the slowness shows
// only in transactions that are deferred without a hand-off. So these must count as slow answers.
func TestDeferralsCountAsSlowAnswers(t *testing.T) {
	h := newTrialHarness(8, 8)
	h.serveTransactions(40, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	for w := range h.sentry.latencyRatio {
		h.sentry.latencyRatio[w] = 3
	}
	for n := range 300 {
		h.now += 20_000
		transaction := Transaction{ID: TransactionID(fmt.Sprint("d", n)), Account: NoAccount, Deadline: h.now + 2*second}
		h.record(h.sentry.TransactionArrived(h.now, transaction))
		h.record(h.sentry.Wake(h.now))
	}
	if !h.votedRollBack {
		t.Error("found no vote to roll back, expected one: nearly all transactions are deferred and every worker is slow")
	}
}

// A few of many workers that begin to fail fast, late in the trial, are trouble of their machines and must not count
// against the build.
func TestFewFailingWorkersOfMany(t *testing.T) {
	h := newTrialHarness(4, 16)
	h.serveTransactions(800, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	h.serveTransactions(400, func(w WorkerID, n int) (Ending, Micros) {
		if (w == "t1" || w == "t2" || w == "t3") && n%4 > 0 {
			return Errored, 5_000
		}
		return Answered, 50_000
	})
	if h.votedRollBack {
		t.Error("found a vote to roll back, expected none: only three of sixteen workers fail")
	}
}

// The release takes the earlier workers away. So at the last stage a sentry votes to advance only after the trial has
// had its full share for some time with all workers warm.
func TestLastVoteWaits(t *testing.T) {
	for stage, minWait := range []Micros{3 * second, 5 * second} {
		h := newTrialHarness(4, 0)
		start := h.now
		var workers []Worker
		for i := range 4 {
			workers = append(workers, Worker{ID: WorkerID(fmt.Sprint("t", i)), Build: 11, Size: 1, Started: start})
		}
		h.record(h.sentry.ListReceived(h.now, ListDelta, workers))
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: stage, Phase: OnTrial, Cap: 1})
		advancedAfter := Micros(0)
		for range 400 {
			h.serveTransactions(1, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
			if h.sentry.lastVote.Verdict == Advance && advancedAfter == 0 {
				advancedAfter = h.now - start
			}
		}
		if advancedAfter < minWait || advancedAfter > minWait+second {
			t.Errorf("stage %d: found a vote to advance after %d us, expected one within a second after %d us", stage, advancedAfter, minWait)
		}
	}
}

// The concurrency limit follows the sentry's own traffic. A sentry that has just started must measure it over the time
// since its start, else the empty seconds before it would lower the limit.
func TestConcurrencyLimitAfterStart(t *testing.T) {
	h := newTrialHarness(10, 0)
	now := h.now
	s := New(h.sentry.config, 2)
	s.ListReceived(now, FullList, []Worker{{ID: "e0", Build: 10, Size: 1}, {ID: "e1", Build: 10, Size: 1}, {ID: "e2", Build: 10, Size: 1},
		{ID: "e3", Build: 10, Size: 1}, {ID: "e4", Build: 10, Size: 1}, {ID: "e5", Build: 10, Size: 1}})
	s.ReleaseUpdated(now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	for n := range 100 { // 100 per second with a due time of 0.5 s: 50 may be open
		now += 10_000
		id := TransactionID(fmt.Sprint(n))
		for _, action := range s.TransactionArrived(now, Transaction{ID: id, Key: "k", Account: NoAccount, Deadline: now + 2*second}).Actions {
			s.HandOffEnded(now, HandOffEnd{Transaction: id, Worker: action.Worker, Duration: 50_000, TransactionClosed: true, Load: NoLoad})
		}
	}
	if s.concurrencyLimit < 11.9 {
		t.Errorf("found a concurrency limit of %.1f after one second, expected at least 11.9: two for each of six workers", s.concurrencyLimit)
	}
}

// A hot key can send the trial more traffic than its slots stand for, and its workers get slow by that load alone. Then
// their late answers must count less.
func TestHotKeyOnTheTrial(t *testing.T) {
	var lateExcess [2]float64
	for hot := range lateExcess {
		h := newTrialHarness(20, 2)
		h.now += 10 * second // all warm
		h.serveTransactions(200, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
		for range 20 * hot { // 20 of the 50 transactions of the last second
			h.sentry.exposedTimes[0] = append(h.sentry.exposedTimes[0], h.now)
		}
		h.sentry.judgeOutcomes(0, lateMiss, true, 20, 20)
		lateExcess[hot] = h.sentry.allProfiles.trialExcess[lateMiss]
	}
	if lateExcess[0] < 2 || lateExcess[1] > lateExcess[0]/2 {
		t.Errorf("found excess of late answers %.2f without and with a hot key, expected the first at least 2, the second at most half of it", lateExcess)
	}
}

// To roll back a released build costs more than to roll back one on trial, so its excess of misses must be 1.5 times as
// large.
func TestReleasedBuildNeedsMoreToRollBack(t *testing.T) {
	for _, c := range []struct {
		phase    Phase
		excess   float64
		rollBack bool
	}{{OnTrial, 0.9, false}, {OnTrial, 1.1, true}, {Released, 1.1, false}, {Released, 1.4, false}, {Released, 1.6, true}} {
		h := newTrialHarness(4, 4)
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: c.phase, Cap: 1})
		limit := rollBackExcess + math.Log(1.1) // of a tier of one sentry
		h.sentry.allProfiles.trialExcess[lateMiss] = c.excess * limit
		if verdict := h.sentry.decideVerdict(); (verdict == RollBack) != c.rollBack {
			t.Errorf("phase %d, excess %.1f times the limit: found verdict %d, expected a vote to roll back: %v", c.phase, c.excess, verdict, c.rollBack)
		}
	}
}

// More traffic than the trial's workers can carry makes them slow, which looks like a fault of the build. Once they
// have that much, new keys go to the earlier build, even below the cap. Keys that the trial has answered stay there.
func TestNewKeysLimitedByTrialCapacity(t *testing.T) {
	h := newTrialHarness(20, 2)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: OnTrial, Cap: 1})
	h.now += 10 * second // all warm
	h.serveTransactions(100, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	newKey, trialKey := Key(""), Key("")
	for n := 0; newKey == "" || trialKey == ""; n++ {
		if k := Key(fmt.Sprint("key", n)); hashSlot(k, 10, 11) < h.sentry.trialSlots {
			newKey, trialKey = trialKey, k
		}
	}
	h.sentry.trialKeys[trialKey] = 11
	for _, full := range []bool{false, true} {
		if full { // as by a hot key: twice the trial's slots of 100
			for range 2 * h.sentry.trialSlots {
				h.sentry.exposedTimes[0] = append(h.sentry.exposedTimes[0], h.now)
			}
		}
		for _, k := range []Key{newKey, trialKey} {
			h.now += 1000
			id := TransactionID(fmt.Sprint(k, full))
			h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: id, Key: k, Account: NoAccount, Deadline: h.now + 2*second}))
			if len(h.lastResult.Actions) != 1 || h.lastResult.Actions[0].Kind != HandOff {
				t.Fatalf("found actions %+v, expected one hand-off", h.lastResult.Actions)
			}
			w := h.lastResult.Actions[0].Worker
			if wantTrial := !full || k == trialKey; isTrialWorker(w) != wantTrial {
				t.Errorf("trial full: %v, key answered by the trial: %v; found a hand-off to %s, expected the trial: %v", full, k == trialKey, w, wantTrial)
			}
			h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: w, Ending: Errored, Duration: 1000, Load: NoLoad})
		}
	}
}
