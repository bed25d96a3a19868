package logic

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// countStand is a stand of many sentries without messages, of which the platform's counts tell.
func newCountsHarness() *trialHarness {
	b := newTrialHarness(8, 0)
	o := b.sentry.config
	o.Sentries, o.RollBackVotes, o.CountsPeriod, o.CountsSampleShare, o.ComplaintShare = 130, 33, 2*second, 0.2, 0.15
	b.record(b.sentry.Reconfigure(b.now, o))
	return b
}

func (b *trialHarness) startTrial() {
	b.sentry.ListReceived(b.now, ListDelta, []Worker{{ID: "t0", Build: 11, Size: 1}, {ID: "t1", Build: 11, Size: 1}})
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5})
}

// counts tells one period, of each profile alike, and lets the sentry judge it.
func (b *trialHarness) receiveCounts(build BuildID, n, failed int, mean Micros) {
	for p := range b.sentry.profiles {
		b.record(b.sentry.CountsReceived(b.now, BuildCounts{Build: build, Profile: ProfileID(p), HandOffs: n, Failed: failed, MeanDuration: mean, Age: second}))
	}
}

// Where sentries may not speak, counts judge: bad builds go back on them alone, and what machines do to both builds, chance
// does to a few answers, or comes long after the release sends none back.
func TestVerdictFromBuildCounts(t *testing.T) {
	for _, c := range []struct {
		name                    string
		earlier, trial, release int // failures in a period, and the period of the release
		mean                    Micros
		grows, back             bool
	}{
		{"a good build", 1, 0, 9, 60_000, false, false}, {"a third fails", 1, 4, 9, 60_000, false, true},
		{"a third fails of both", 26, 4, 9, 60_000, false, false}, {"one failure a period", 1, 1, 9, 60_000, false, false},
		{"thrice as long", 1, 0, 9, 180_000, false, true}, {"a third longer", 1, 0, 9, 80_000, false, false},
		{"all get slower", 1, 0, 9, 60_000, true, true}, {"a third fails, beside no earlier one for long", 1, 4, -5, 60_000, false, false},
	} {
		b := newCountsHarness()
		for i := range 4 {
			b.now += 2 * second
			b.receiveCounts(10, 90+i, 1, 60_000)
			b.now += second / 2
			b.record(b.sentry.Wake(b.now))
		}
		b.startTrial()
		if c.release < 0 {
			b.receiveCounts(11, 12, 0, 60_000)
			b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1})
			b.now += 10 * second
		}
		for i := range Micros(6) {
			slower := 1 + i*Micros(oneIf(c.grows))
			b.now += 2 * second
			if c.release > 0 {
				b.receiveCounts(10, 80, c.earlier, 60_000*slower)
			}
			b.receiveCounts(11, 12, c.trial, c.mean*slower)
			b.now += second / 2
			b.record(b.sentry.Wake(b.now))
		}
		if b.votedRollBack != c.back {
			t.Errorf("%s: voted back %v (sums %.1f)", c.name, b.votedRollBack, b.sentry.excessSums())
		}
	}
}

// An outcome counts once: own ones change no sum while counts come, and judge again when these stay away. One report of a wrong
// answer votes back for some answers, one on the earlier build takes it away, and before a trial none counts.
func TestOwnOutcomesAndComplaints(t *testing.T) {
	b := newCountsHarness()
	b.record(b.sentry.ComplaintReceived(b.now, Complaint{Worker: "e1"}))
	fails := func(w WorkerID, n int) (Ending, Micros) { return Ending(oneIf(isTrialWorker(w))), 50_000 } // Errored
	b.startTrial()
	for range 10 {
		b.receiveCounts(10, 80, 0, 60_000)
		b.receiveCounts(11, 12, 0, 60_000)
		b.serveTransactions(20, fails)
	}
	if sum := slices.Max(b.sentry.excessSums()); sum > 0 || b.votedRollBack || b.sentry.wrongAnswerSum > 0 {
		t.Errorf("sum %.1f of own outcomes beside counts of no failure, %.1f of a report before the trial", sum, b.sentry.wrongAnswerSum)
	}
	for _, w := range []WorkerID{"t1", "e1", "t1"} {
		b.record(b.sentry.ComplaintReceived(b.now, Complaint{Worker: w}))
		b.votedRollBack, b.now = false, b.now+second
		if b.record(b.sentry.Wake(b.now)); b.sentry.rollBackDecided || (b.sentry.wrongAnswerSum > rollBackExcess) != isTrialWorker(w) || isTrialWorker(w) && !b.votedRollBack {
			t.Errorf("a report on %s: sum %.1f, voted back %v, for good %v", w, b.sentry.wrongAnswerSum, b.votedRollBack, b.sentry.rollBackDecided)
		}
	}
	b.serveTransactions(400, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	if b.sentry.wrongAnswerSum > rollBackExcess {
		t.Errorf("sum %.1f after two hundred right answers of the trial", b.sentry.wrongAnswerSum)
	}
	b.votedRollBack, b.now = false, b.now+9*second
	if b.serveTransactions(200, fails); !b.votedRollBack {
		t.Errorf("no counts for 9 s and no vote back on own outcomes (sums %.1f)", b.sentry.excessSums())
	}
}

// A way is known by its zone from few answers, and forgotten; while new connections are refused those that are open are used and
// the set does not grow; a worker that fails at once draws nothing, and one with an overdue hand-off is left out.
func TestSlowZonesAndBadWorkers(t *testing.T) {
	b := newTrialHarness(1, 0)
	o := b.sentry.config
	o.ConnectTimeout, o.WarmUp, o.MaxHandOffs = second/4, 0, 3
	b.sentry = New(o, 3)
	s, row, list := b.sentry, map[WorkerID]int{}, []Worker(nil)
	for i, id := range []WorkerID{"n0", "n1", "n2", "f0", "f1", "f2"} {
		list = append(list, Worker{ID: id, Size: 1, Zone: ZoneID(i / 3)})
	}
	b.record(s.ListReceived(b.now, FullList, list))
	b.updateRelease(ReleaseStatus{Valid: true, Phase: Released, Cap: 1})
	ended := func(id WorkerID, e Ending, took Micros) {
		s.recordWorkerOutcome(&transaction{}, &handOff{worker: s.workerIndex[id], newConnection: true, end: HandOffEnd{Ending: e, Duration: took, Load: NoLoad}})
	}
	for range 4 {
		ended("f0", Answered, 450_000)
		ended("n0", Answered, 50_000)
	}
	if s.zoneSlowdown(1) < 1.5 || s.zoneSlowdown(0) != 1 {
		t.Errorf("the other zone is %.1f times as far, the own one %.1f", s.zoneSlowdown(1), s.zoneSlowdown(0))
	}
	for range 10 {
		ended("n1", Unconnected, 200_000)
	}
	r := s.buildWorkers[0]
	for i, id := range []WorkerID{"n0", "f2", "n1", "f1", "f0", "n2"} {
		r.ready[i], row[id] = s.workerIndex[id], s.workerIndex[id]
	}
	r.subsetSize, s.ejectedUntil[row["n1"]], s.openByWorker[row["n0"]] = 4, 0, 1
	for range 20 {
		if w := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 0); w != row["n0"] || r.subsetSize != 4 {
			t.Fatalf("%s chosen of a set of %d, expected n0, the only open connection of four", s.workers[w].ID, r.subsetSize)
		}
	}
	s.openByWorker[row["n0"]], s.refusedShare = 0, 0
	for range 20 {
		ended("n2", Errored, 1_000)
		s.ejectedUntil[row["n2"]] = 0
		if w := s.leastLoaded([]int{row["n2"], row["n0"]}, &transaction{profile: s.profiles[0].Profile}, 0); w == row["n2"] && s.nonLoadFailureRate[w] > 0.9 {
			t.Fatal("a worker that fails at once is taken for idle")
		}
	}
	s.refreshBuilds()
	b.record(s.TransactionArrived(b.now, Transaction{ID: "hung", Account: NoAccount, Deadline: b.now + 2*second}))
	hung := s.workerIndex[b.lastResult.Actions[0].Worker]
	b.now += second * 3 / 4 // past its due time, far from its limit
	if b.record(s.Wake(b.now)); s.ejectedUntil[hung] <= b.now {
		t.Error("a worker with an overdue hand-off is not left out")
	}
	if s.now += 60 * second; s.zoneSlowdown(1) != 1 {
		t.Errorf("a minute later the other zone is still %.1f times as far", s.zoneSlowdown(1))
	}
}

// What narrows the room, and what keeps it open.
func TestConcurrencyLimit(t *testing.T) {
	b := newTrialHarness(8, 0)
	b.sentry.config.Sentries, b.sentry.usualLoad = 100, 0
	for _, c := range []struct {
		e              Ending
		took           Micros
		usual, atLeast float64
		atMost         float64
	}{{TimedOut, 100_000, 0, 8, 8}, {TimedOut, 600_000, 0, 1, 4}, {Answered, 600_000, 0, 1, 4}, {Answered, 600_000, 60, 10, 13}} {
		b.sentry.concurrencyLimit, b.sentry.usualLoad = 8, c.usual
		for range 5 {
			b.sentry.adjustConcurrencyLimit(&b.sentry.profiles[0], 0, HandOffEnd{Ending: c.e, Duration: c.took})
		}
		if b.sentry.concurrencyLimit < c.atLeast || b.sentry.concurrencyLimit > c.atMost {
			t.Errorf("%+v: room %.1f", c, b.sentry.concurrencyLimit)
		}
	}
	b.sentry.concurrencyLimit, b.sentry.openHandOffs = 8, 4
	first, due := transaction{Transaction: Transaction{Deadline: second}}, Profile{DueTime: second / 2}
	again, hurried := first, first
	first.profile, again.profile, again.IsRetry, hurried.profile, hurried.Deadline = &due, &due, true, &due, second/4
	if !b.sentry.underConcurrencyLimit(&first) || b.sentry.underConcurrencyLimit(&again) || b.sentry.underConcurrencyLimit(&hurried) {
		t.Error("half of the room is for first tries of clients that wait")
	}
	for _, c := range []struct{ multiple, seconds, free float64 }{{4, 2, 2}, {4, 1, 1}, {2, 1, 0}} { // cold, and never used before
		b.sentry.config.ColdLoadMultiple, b.sentry.config.ColdLoadWindow, b.sentry.usualLoad, b.sentry.config.Sentries = c.multiple, Micros(c.seconds*float64(second)), 0, 1
		b.sentry.workers[0].Started, b.sentry.randomAllowance[0], b.sentry.randomAllowanceUntil[0], b.sentry.coldHandOffs[0] = b.now-1, 0, b.now+second, nil
		for ; !b.sentry.atColdLimit(0); b.sentry.coldHandOffs[0] = append(b.sentry.coldHandOffs[0], b.now) {
		}
		if n := float64(len(b.sentry.coldHandOffs[0])); n != c.free {
			t.Errorf("%+v: %v hand-offs to a cold worker", c, n)
		}
	}
	h := &handOff{end: HandOffEnd{Load: Load{InFlight: -1, BusyShare: 0.8, ServedPerSecond: 40}}}
	if got, want := b.sentry.reportedInFlight(0, h), 40*b.sentry.latencyRatio[0]*b.sentry.usualDuration()/1e6; got != want || got <= 0 {
		t.Errorf("holds %.2f, expected %.2f", got, want)
	}
}

// Sentries of a group know of each other's hand-offs, and of their ends; all watch a trial that they have not met.
func TestGroupHandOffs(t *testing.T) {
	c := newSentryTier(24, 24, 5)
	c.run(8*second, 3)
	s := c.sentries[0]
	w := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 10)
	for i := range 40 {
		what := byte(messageHandOff + i/20*(messageHandOffEnded-messageHandOff)) // twenty times handed to it, then twenty ended
		s.PeerMessageReceived(c.now, SentryID(s.groupCount()), encodeMessage(what, []uint64{shortID(s.workers[w].ID)}))
		if got := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 10); got == w && i > 0 && i < 30 {
			t.Fatalf("a worker with %.1f of the neighbours is chosen", s.groupOpenNow(w))
		}
	}
	if c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.1}); !s.inGroup() || s.groupOpenNow(w) > 0.1 || !s.isJudging() {
		t.Errorf("shares %v, %.1f of the neighbours left, watches %v", s.inGroup(), s.groupOpenNow(w), s.isJudging())
	}
}

// Orders change in the middle of a trial, exposure by profile on and off, and the cap falls: within any window the hand-offs to
// the trial keep every bound that held in it, and no count starts anew.
func FuzzReconfigure(f *testing.F) {
	for seed := range 30 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		chance, b := rand.New(rand.NewSource(seed)), newTrialHarness(8, 8)
		o, from, share, next := b.sentry.config, b.now, 0.5, trialKeyGenerator(10)
		taken, sent := [][]Micros{nil, nil, nil}, [][]Micros{nil, nil, nil} // over all, and by profile
		in := []exposureBound{{o.FreeExposure, o.ExposureWindow, o.ExposureByProfile, 1 << 60}}
		b.now += 2 * o.ExposureWindow
		for i := range 600 {
			if b.now += Micros(1 + chance.Intn(40_000)); chance.Intn(20) == 0 {
				in[len(in)-1].until = b.now + in[len(in)-1].window
				o.FreeExposure, o.ExposureByProfile = float64(chance.Intn(4)), chance.Intn(2) == 0
				o.ExposureWindow, o.DrainGrace = Micros(1+chance.Intn(4))*second, Micros(chance.Intn(2))*second
				b.record(b.sentry.Reconfigure(b.now, o))
				in = append(in, exposureBound{o.FreeExposure, o.ExposureWindow, o.ExposureByProfile, 1 << 60})
			}
			if i == 400 {
				from, share = b.now, 0.1 // counted anew from there
				b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: share})
			}
			p, id := chance.Intn(2), TransactionID(fmt.Sprint("o", i))
			taken[0], taken[p+1] = append(taken[0], b.now), append(taken[p+1], b.now)
			b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: id, Profile: ProfileID(p), Account: NoAccount, Key: next(), Deadline: b.now + second}))
			for _, r := range b.lastResult.Actions {
				if r.Kind != HandOff {
					continue
				}
				if b.record(b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: r.Worker, TransactionClosed: true, Duration: 1, Load: NoLoad})); !isTrialWorker(r.Worker) {
					continue
				}
				sent[0], sent[p+1] = append(sent[0], b.now), append(sent[p+1], b.now)
				for _, x := range in {
					row := int(oneIf(x.byProfile)) * (1 + p)
					n, of := countAfter(sent[row], max(from, b.now-x.window)), countAfter(taken[row], b.now-x.window)
					if x.until >= b.now && float64(n) > x.free+share*float64(of) {
						t.Fatalf("transaction %d: %d sent to the trial of %d taken, bound %+v", i, n, of, x)
					}
				}
			}
		}
		if len(sent[0]) < 30 {
			t.Fatalf("only %d sent to the trial: this says nothing", len(sent[0]))
		}
	})
}
