package logic

import (
	"fmt"
	"math"
	"testing"
)

// stand is a sentry with some workers of build 10 and some of build 11, on trial, served one at a time.
type trialHarness struct {
	sentry           *Sentry
	now              Micros
	transactionCount int
	votedRollBack    bool
	lastResult       Result
}

func newTrialHarness(earlier, trial int) *trialHarness {
	o := Config{
		Sentries: 1, MaxHandOffs: 1, TimerGranularity: 5000, ColdCapacity: 0.4, WarmUp: 4 * second,
		ColdLoadMultiple: 4, ColdLoadWindow: 2 * second,
		StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}, FreeExposure: 2, ExposureWindow: 4 * second,
		ForwardOnly: true, RollBackVotes: 1, AdvanceVotes: 1, VoteTTL: 6 * second, EarlierWorkersStay: true, MayNameRetryAfter: true,
		MaxRetryAfter: second, MayHedge: true,
		Profiles: []Profile{{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1},
			{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1, Repeatability: NonIdempotent}},
	}
	b := &trialHarness{sentry: New(o, 1), now: 1000 * second}
	var list []Worker
	for i := range earlier {
		list = append(list, Worker{ID: WorkerID(fmt.Sprint("e", i)), Build: 10, Size: 1})
	}
	b.sentry.ListReceived(b.now, FullList, list)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	b.serveTransactions(400, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	for i := range trial {
		list = append(list, Worker{ID: WorkerID(fmt.Sprint("t", i)), Build: 11, Size: 1})
	}
	b.sentry.ListReceived(b.now, FullList, list)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5})
	return b
}

func (b *trialHarness) updateRelease(n ReleaseStatus) { b.record(b.sentry.ReleaseUpdated(b.now, n)) }

func (b *trialHarness) record(r Result) {
	b.lastResult = r
	for _, v := range r.Votes {
		b.votedRollBack = b.votedRollBack || v.Verdict == RollBack
	}
}

// serve takes n transactions, 20 ms apart, each ended as the worker's answer says.
func (b *trialHarness) serveTransactions(n int, answer func(w WorkerID, n int) (Ending, Micros)) {
	for range n {
		b.transactionCount++
		b.now += 20_000
		id := TransactionID(fmt.Sprint(b.transactionCount))
		b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: id, Profile: ProfileID(b.transactionCount % 2), Account: NoAccount,
			Key: Key(fmt.Sprintf("%x", b.transactionCount*7919)), Deadline: b.now + 2*second}))
		for _, r := range b.lastResult.Actions {
			if r.Kind != HandOff {
				continue
			}
			e, took := answer(r.Worker, b.transactionCount)
			b.record(b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: r.Worker, Ending: e, Duration: took,
				TransactionClosed: e == Answered, Load: NoLoad}))
		}
	}
}

func isTrialWorker(w WorkerID) bool { return w[0] == 't' }

// The wanted slots were reckoned with md5sum.
func TestSlotOf(t *testing.T) {
	if got := hashSlot("91f03b7c55d20a64", 41, 42); got != 61 {
		t.Errorf("slot %d, want 61", got)
	}
	if got := hashSlot("a", 1, 2); got != 79 {
		t.Errorf("slot %d, want 79", got)
	}
}

func TestVerdicts(t *testing.T) {
	type answer func(w WorkerID, n int) (Ending, Micros)
	every := func(n, k int) bool { return n%k == 0 }
	cases := []struct {
		name   string
		answer answer
		back   bool
	}{
		{"a good build", func(w WorkerID, n int) (Ending, Micros) { return Answered, 50_000 }, false},
		{"a build that fails one in ten", func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) && every(n, 10) {
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
		{"one worker of the trial that fails", func(w WorkerID, n int) (Ending, Micros) {
			if w == "t2" && every(n, 2) {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, false},
		{"errors on both builds alike", func(w WorkerID, n int) (Ending, Micros) {
			if every(n*7919, 50) {
				return Errored, 5_000
			}
			return Answered, 50_000
		}, false},
		{"a build that works four times as long", func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) {
				return Answered, 200_000
			}
			return Answered, 50_000
		}, true},
		{"a build that slows every worker, more and more", func(w WorkerID, n int) (Ending, Micros) {
			return Answered, 50_000 + Micros(n-400)*200
		}, true},
		{"neighbours on half of all workers", func(w WorkerID, n int) (Ending, Micros) {
			if w[1]%2 == 0 {
				return Answered, 250_000
			}
			return Answered, 50_000
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTrialHarness(8, 8)
			b.serveTransactions(1200, c.answer)
			if b.votedRollBack != c.back {
				t.Errorf("voted back: %v, want %v", b.votedRollBack, c.back)
			}
		})
	}
}

// A released build is not sent back for slowness that comes long after its release.
func TestLateSlownessAfterRelease(t *testing.T) {
	b := newTrialHarness(8, 8)
	quick := func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 }
	b.serveTransactions(300, quick)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: Released, Cap: 1})
	b.serveTransactions(600, quick)
	b.serveTransactions(600, func(WorkerID, int) (Ending, Micros) { return Answered, 300_000 })
	if b.votedRollBack {
		t.Error("a released build was voted back for late slowness")
	}
}

// Over the exposure counter a key that met the trial is deferred with a time to come back, never sent back.
func TestHotKeyAboveExposureBound(t *testing.T) {
	b := newTrialHarness(8, 8)
	key := Key("hot")
	for n := 0; hashSlot(key, 10, 11) >= 40; n++ {
		key = Key(fmt.Sprint("hot", n))
	}
	deferred := 0
	for n := range 400 {
		b.now += 5_000
		id := TransactionID(fmt.Sprint("h", n))
		r := b.sentry.TransactionArrived(b.now, Transaction{ID: id, Key: key, Account: NoAccount, Deadline: b.now + second})
		for _, x := range r.Actions {
			switch {
			case x.Kind == Defer && x.RetryAfter > 0:
				deferred++
			case n > 0 && !isTrialWorker(x.Worker):
				t.Fatalf("transaction %d of a met key: %v", n, x)
			default:
				b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: x.Worker, TransactionClosed: true, Duration: 50_000,
					Load: NoLoad})
			}
		}
	}
	if deferred < 100 {
		t.Errorf("only %d of 400 deferred over a cap of a half", deferred)
	}
}

// When nothing comes back, what is taken is bounded: the rest is deferred in good time, with a time to
// come back.
func TestOverload(t *testing.T) {
	b := newTrialHarness(4, 0)
	out, deferred := 0, 0
	count := func(r Result) {
		for _, x := range r.Actions {
			if x.Kind == HandOff {
				out++
			} else if x.Kind == Defer && x.RetryAfter > 0 {
				deferred++
			}
		}
	}
	for n := range 500 {
		b.now += 2_000
		count(b.sentry.TransactionArrived(b.now, Transaction{ID: TransactionID(fmt.Sprint("o", n)), Account: NoAccount,
			Deadline: b.now + 2*second}))
		count(b.sentry.Wake(b.now))
	}
	b.now += second / 2
	count(b.sentry.Wake(b.now))
	if out > 100 || deferred < 350 {
		t.Errorf("%d handed off and %d deferred of 500 without an answer", out, deferred)
	}
}

// Without a worker of the earlier build a transaction waits, is handed off when one starts, and else
// deferred in time.
func TestNoWorkerOfTheEarlierBuild(t *testing.T) {
	for _, comes := range []bool{true, false} {
		b := newTrialHarness(4, 4)
		b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack})
		var list []Worker
		b.sentry.ListReceived(b.now, FullList, list)
		r := b.sentry.TransactionArrived(b.now, Transaction{ID: "x", Account: NoAccount, Deadline: b.now + 2*second})
		if len(r.Actions) > 0 || r.WakeAt == 0 {
			t.Fatalf("not held: %v", r)
		}
		b.now += second / 10
		if comes {
			r = b.sentry.ListReceived(b.now, FullList, []Worker{{ID: "n", Build: 10, Size: 1, Started: b.now}})
		} else {
			b.now += second / 2
			r = b.sentry.Wake(b.now)
		}
		if len(r.Actions) != 1 || (r.Actions[0].Kind == HandOff) != comes || (r.Actions[0].Kind == Defer) == comes {
			t.Errorf("worker comes %v: %v", comes, r.Actions)
		}
	}
}

// A worker that was slow or full once is tried again when nothing was heard of it for a while.
func TestOldWorkerReportsExpire(t *testing.T) {
	b := newTrialHarness(2, 0)
	b.serveTransactions(40, func(w WorkerID, _ int) (Ending, Micros) {
		if w == "e0" {
			return Answered, 450_000
		}
		return Answered, 50_000
	})
	tries := map[WorkerID]int{}
	b.serveTransactions(400, func(w WorkerID, _ int) (Ending, Micros) {
		tries[w]++
		return Answered, 50_000
	})
	if tries["e0"] < 100 {
		t.Errorf("a recovered worker got %d of 400", tries["e0"])
	}
}

// Under the bound a fleet that a build slows shows in what is deferred unsent, not in the times of the rest.
func TestDeferralsCountAsSlowAnswers(t *testing.T) {
	b := newTrialHarness(8, 8)
	b.serveTransactions(40, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	for w := range b.sentry.latencyRatio {
		b.sentry.latencyRatio[w] = 3
	}
	for n := range 300 {
		b.now += 20_000
		in := Transaction{ID: TransactionID(fmt.Sprint("d", n)), Account: NoAccount, Deadline: b.now + 2*second}
		b.record(b.sentry.TransactionArrived(b.now, in))
		b.record(b.sentry.Wake(b.now))
	}
	if !b.votedRollBack {
		t.Error("not voted back though nearly all is deferred and every worker is slow")
	}
}

// A few workers of many that begin to fail fast, late in the trial, are not held against the build.
func TestFewFailingWorkersOfMany(t *testing.T) {
	b := newTrialHarness(4, 16)
	b.serveTransactions(800, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	b.serveTransactions(400, func(w WorkerID, n int) (Ending, Micros) {
		if (w == "t1" || w == "t2" || w == "t3") && n%4 > 0 {
			return Errored, 5_000
		}
		return Answered, 50_000
	})
	if b.votedRollBack {
		t.Error("voted back for three workers of sixteen")
	}
}

// The last vote waits until the trial has carried its share with all workers warm for a while.
func TestLastVoteWaits(t *testing.T) {
	for stage, wait := range []Micros{3 * second, 5 * second} {
		b := newTrialHarness(4, 0)
		began := b.now
		var list []Worker
		for i := range 4 {
			list = append(list, Worker{ID: WorkerID(fmt.Sprint("t", i)), Build: 11, Size: 1, Started: began})
		}
		b.record(b.sentry.ListReceived(b.now, ListDelta, list))
		b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: stage, Phase: OnTrial, Cap: 1})
		voted := Micros(0)
		for range 400 {
			b.serveTransactions(1, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
			if b.sentry.lastVote.Verdict == Advance && voted == 0 {
				voted = b.now - began
			}
		}
		if voted < wait || voted > wait+second {
			t.Errorf("stage %d: voted on after %d, expected about %d", stage, voted, wait)
		}
	}
}

// What a sentry has seen since its start tells its own traffic: the room of a young one is not narrowed by the seconds
// before it.
func TestConcurrencyLimitAfterStart(t *testing.T) {
	b := newTrialHarness(10, 0)
	now := b.now
	s := New(b.sentry.config, 2)
	s.ListReceived(now, FullList, []Worker{{ID: "e0", Build: 10, Size: 1}, {ID: "e1", Build: 10, Size: 1}, {ID: "e2", Build: 10, Size: 1},
		{ID: "e3", Build: 10, Size: 1}, {ID: "e4", Build: 10, Size: 1}, {ID: "e5", Build: 10, Size: 1}})
	s.ReleaseUpdated(now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	for n := range 100 { // 100 in a second, with a due time of half of one: 50 may be open
		now += 10_000
		id := TransactionID(fmt.Sprint(n))
		for _, r := range s.TransactionArrived(now, Transaction{ID: id, Key: "k", Account: NoAccount, Deadline: now + 2*second}).Actions {
			s.HandOffEnded(now, HandOffEnd{Transaction: id, Worker: r.Worker, Duration: 50_000, TransactionClosed: true, Load: NoLoad})
		}
	}
	if s.concurrencyLimit < 11.9 {
		t.Errorf("room for %.1f after a second, expected two for each of six workers", s.concurrencyLimit)
	}
}

// Where a hot key sends the trial more than its slots, lateness of its workers counts for less.
func TestHotKeyOnTheTrial(t *testing.T) {
	var sums [2]float64
	for hot := range sums {
		b := newTrialHarness(20, 2)
		b.now += 10 * second // all warm
		b.serveTransactions(200, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
		for range 20 * hot { // within a second, of 50
			b.sentry.exposedTimes[0] = append(b.sentry.exposedTimes[0], b.now)
		}
		b.sentry.judgeOutcomes(0, lateMiss, true, 20, 20)
		sums[hot] = b.sentry.allProfiles.trialExcess[lateMiss]
	}
	if sums[0] < 2 || sums[1] > sums[0]/2 {
		t.Errorf("sums of lateness %.2f, expected the second less than half of the first", sums)
	}
}

// A released build goes back at half as much again in its sums as one on trial.
func TestReleasedBuildNeedsMoreToRollBack(t *testing.T) {
	for _, c := range []struct {
		phase Phase
		sum   float64
		back  bool
	}{{OnTrial, 0.9, false}, {OnTrial, 1.1, true}, {Released, 1.1, false}, {Released, 1.4, false}, {Released, 1.6, true}} {
		b := newTrialHarness(4, 4)
		b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: c.phase, Cap: 1})
		limit := rollBackExcess + math.Log(1.1) // of a sentry alone
		b.sentry.allProfiles.trialExcess[lateMiss] = c.sum * limit
		if v := b.sentry.decideVerdict(); (v == RollBack) != c.back {
			t.Errorf("phase %d, sum %.1f of the limit: verdict %d, expected back: %v", c.phase, c.sum, v, c.back)
		}
	}
}

// Once as much goes to the trial as its workers can carry, keys new to it go to the earlier build, though the cap would
// let them through; those that it has answered stay.
func TestNewKeysLimitedByTrialCapacity(t *testing.T) {
	b := newTrialHarness(20, 2)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: OnTrial, Cap: 1})
	b.now += 10 * second // all warm
	b.serveTransactions(100, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	fresh, met := Key(""), Key("")
	for n := 0; fresh == "" || met == ""; n++ {
		if k := Key(fmt.Sprint("key", n)); hashSlot(k, 10, 11) < b.sentry.trialSlots {
			fresh, met = met, k
		}
	}
	b.sentry.trialKeys[met] = 11
	for _, full := range []bool{false, true} {
		if full { // as by a hot key: twice its part of a hundred
			for range 2 * b.sentry.trialSlots {
				b.sentry.exposedTimes[0] = append(b.sentry.exposedTimes[0], b.now)
			}
		}
		for _, k := range []Key{fresh, met} {
			b.now += 1000
			id := TransactionID(fmt.Sprint(k, full))
			b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: id, Key: k, Account: NoAccount, Deadline: b.now + 2*second}))
			if len(b.lastResult.Actions) != 1 || b.lastResult.Actions[0].Kind != HandOff {
				t.Fatalf("ruled %+v", b.lastResult.Actions)
			}
			w := b.lastResult.Actions[0].Worker
			if want := !full || k == met; isTrialWorker(w) != want {
				t.Errorf("full %v, met %v: to %s, expected the trial: %v", full, k == met, w, want)
			}
			b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: w, Ending: Errored, Duration: 1000, Load: NoLoad})
		}
	}
}
