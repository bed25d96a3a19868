package logic

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// newCountsHarness returns a sentry of a large tier that may not exchange messages and receives the platform's counts.
func newCountsHarness() *trialHarness {
	h := newTrialHarness(8, 0)
	config := h.sentry.config
	config.Sentries, config.RollBackVotes, config.CountsPeriod, config.CountsSampleShare, config.ComplaintShare = 130, 33, 2*second, 0.2, 0.15
	h.record(h.sentry.Reconfigure(h.now, config))
	return h
}

// startTrial adds two workers of build 11 and puts it on trial.
func (h *trialHarness) startTrial() {
	h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "t0", Build: 11, Size: 1}, {ID: "t1", Build: 11, Size: 1}})
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5})
}

// receiveCounts delivers the same counts of one period for each profile.
func (h *trialHarness) receiveCounts(build BuildID, handOffs, failed int, meanDuration Micros) {
	for p := range h.sentry.profiles {
		h.record(h.sentry.CountsReceived(h.now, BuildCounts{Build: build, Profile: ProfileID(p), HandOffs: handOffs, Failed: failed, MeanDuration: meanDuration, Age: second}))
	}
}

// Where sentries may not exchange messages, the platform's counts alone must lead to a vote to roll back a bad build.
// They must not do so for trouble that both builds have, for a few failures by chance, or for what comes long after the
// release.
func TestVerdictFromBuildCounts(t *testing.T) {
	for _, c := range []struct {
		name                                 string
		earlierFailed, trialFailed, released int // failures per period; released below 0: the release precedes the periods
		meanDuration                         Micros
		slows, rollBack                      bool
	}{
		{"a good build", 1, 0, 9, 60_000, false, false}, {"a third fails", 1, 4, 9, 60_000, false, true},
		{"a third fails of both builds", 26, 4, 9, 60_000, false, false}, {"one failure per period", 1, 1, 9, 60_000, false, false},
		{"three times as long", 1, 0, 9, 180_000, false, true}, {"a third longer", 1, 0, 9, 80_000, false, false},
		{"all workers get slower", 1, 0, 9, 60_000, true, true}, {"a third fails, without counts of the earlier build for long", 1, 4, -5, 60_000, false, false},
	} {
		h := newCountsHarness()
		for i := range 4 {
			h.now += 2 * second
			h.receiveCounts(10, 90+i, 1, 60_000)
			h.now += second / 2
			h.record(h.sentry.Wake(h.now))
		}
		h.startTrial()
		if c.released < 0 {
			h.receiveCounts(11, 12, 0, 60_000)
			h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1})
			h.now += 10 * second
		}
		for i := range Micros(6) {
			factor := 1 + i*Micros(oneIf(c.slows))
			h.now += 2 * second
			if c.released > 0 {
				h.receiveCounts(10, 80, c.earlierFailed, 60_000*factor)
			}
			h.receiveCounts(11, 12, c.trialFailed, c.meanDuration*factor)
			h.now += second / 2
			h.record(h.sentry.Wake(h.now))
		}
		if h.votedRollBack != c.rollBack {
			t.Errorf("%s: found a vote to roll back: %v (excess sums %.1f), expected the opposite", c.name, h.votedRollBack, h.sentry.excessSums())
		}
	}
}

// Own outcomes are part of the platform's counts and must not count twice: they change no sum while counts arrive, and
// are judged again when the counts stop. One complaint about the trial leads to a vote to roll back until enough right
// answers follow; one about the earlier build cancels it; one before the trial does not count.
func TestOwnOutcomesAndComplaints(t *testing.T) {
	h := newCountsHarness()
	h.record(h.sentry.ComplaintReceived(h.now, Complaint{Worker: "e1"}))
	trialErrors := func(w WorkerID, n int) (Ending, Micros) { return Ending(oneIf(isTrialWorker(w))), 50_000 } // Errored
	h.startTrial()
	for range 10 {
		h.receiveCounts(10, 80, 0, 60_000)
		h.receiveCounts(11, 12, 0, 60_000)
		h.serveTransactions(20, trialErrors)
	}
	if sum := slices.Max(h.sentry.excessSums()); sum > 0 || h.votedRollBack || h.sentry.wrongAnswerSum > 0 {
		t.Errorf("found an excess of %.1f with counts of no failure and %.1f by a complaint before the trial, expected 0 and no vote to roll back", sum, h.sentry.wrongAnswerSum)
	}
	for _, w := range []WorkerID{"t1", "e1", "t1"} {
		h.record(h.sentry.ComplaintReceived(h.now, Complaint{Worker: w}))
		h.votedRollBack, h.now = false, h.now+second
		if h.record(h.sentry.Wake(h.now)); h.sentry.rollBackDecided || (h.sentry.wrongAnswerSum > rollBackExcess) != isTrialWorker(w) || isTrialWorker(w) && !h.votedRollBack {
			t.Errorf("complaint about %s: found an excess of %.1f, a vote to roll back: %v, a permanent one: %v; expected one for a worker of the trial only, and no permanent one", w, h.sentry.wrongAnswerSum, h.votedRollBack, h.sentry.rollBackDecided)
		}
	}
	h.serveTransactions(400, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	if h.sentry.wrongAnswerSum > rollBackExcess {
		t.Errorf("found an excess of %.1f after two hundred right answers of the trial, expected too little to roll back", h.sentry.wrongAnswerSum)
	}
	h.votedRollBack, h.now = false, h.now+9*second
	if h.serveTransactions(200, trialErrors); !h.votedRollBack {
		t.Errorf("found no vote to roll back 9 s after the last counts (excess sums %.1f), expected one by own outcomes", h.sentry.excessSums())
	}
}

// A sentry meets each worker too seldom to learn from it alone that a zone is slow, that connections are refused, or
// that a worker only seems idle because it fails. So a slow zone must be learned from few answers of its workers, and
// forgotten later. While new connections are refused, open ones must be used and the subset must not grow. A worker
// that fails at once must not get more hand-offs, and one with an overdue hand-off must be ejected.
func TestSlowZonesAndBadWorkers(t *testing.T) {
	h := newTrialHarness(1, 0)
	config := h.sentry.config
	config.ConnectTimeout, config.WarmUp, config.MaxHandOffs = second/4, 0, 3
	h.sentry = New(config, 3)
	s, index, workers := h.sentry, map[WorkerID]int{}, []Worker(nil)
	for i, id := range []WorkerID{"n0", "n1", "n2", "f0", "f1", "f2"} {
		workers = append(workers, Worker{ID: id, Size: 1, Zone: ZoneID(i / 3)})
	}
	h.record(s.ListReceived(h.now, FullList, workers))
	h.updateRelease(ReleaseStatus{Valid: true, Phase: Released, Cap: 1})
	endHandOff := func(id WorkerID, ending Ending, duration Micros) {
		s.recordWorkerOutcome(&transaction{}, &handOff{worker: s.workerIndex[id], newConnection: true, end: HandOffEnd{Ending: ending, Duration: duration, Load: NoLoad}})
	}
	for range 4 {
		endHandOff("f0", Answered, 450_000)
		endHandOff("n0", Answered, 50_000)
	}
	if s.zoneSlowdown(1) < 1.5 || s.zoneSlowdown(0) != 1 {
		t.Errorf("found slowdowns of %.1f for the other zone and %.1f for the own one, expected at least 1.5 and exactly 1", s.zoneSlowdown(1), s.zoneSlowdown(0))
	}
	for range 10 {
		endHandOff("n1", Unconnected, 200_000)
	}
	build := s.buildWorkers[0]
	for i, id := range []WorkerID{"n0", "f2", "n1", "f1", "f0", "n2"} {
		build.ready[i], index[id] = s.workerIndex[id], s.workerIndex[id]
	}
	build.subsetSize, s.ejectedUntil[index["n1"]], s.openByWorker[index["n0"]] = 4, 0, 1
	for range 20 {
		if w := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 0); w != index["n0"] || build.subsetSize != 4 {
			t.Fatalf("found %s chosen of a subset of %d, expected n0, the only one of four with an open connection", s.workers[w].ID, build.subsetSize)
		}
	}
	s.openByWorker[index["n0"]], s.refusedShare = 0, 0
	for range 20 {
		endHandOff("n2", Errored, 1_000)
		s.ejectedUntil[index["n2"]] = 0
		if w := s.leastLoaded([]int{index["n2"], index["n0"]}, &transaction{profile: s.profiles[0].Profile}, 0); w == index["n2"] && s.nonLoadFailureRate[w] > 0.9 {
			t.Fatal("found a worker chosen that fails at once, expected the other one")
		}
	}
	s.refreshBuilds()
	h.record(s.TransactionArrived(h.now, Transaction{ID: "hung", Account: NoAccount, Deadline: h.now + 2*second}))
	stuckWorker := s.workerIndex[h.lastResult.Actions[0].Worker]
	h.now += second * 3 / 4 // past the due time, long before the deadline
	if h.record(s.Wake(h.now)); s.ejectedUntil[stuckWorker] <= h.now {
		t.Error("found a worker with an overdue hand-off in use, expected it to be ejected")
	}
	if s.now += 60 * second; s.zoneSlowdown(1) != 1 {
		t.Errorf("found a slowdown of %.1f for the other zone a minute later, expected 1", s.zoneSlowdown(1))
	}
}

// The concurrency limit must fall with late answers and timeouts of workers. It must not fall with timeouts at a client's
// deadline before the due time, nor below what this sentry's usual traffic needs. Retries and transactions with such a
// deadline must leave half of it free for others. The test also checks the free hand-offs to a cold worker, and the number
// of transactions in flight that follows from a report without it.
func TestConcurrencyLimit(t *testing.T) {
	h := newTrialHarness(8, 0)
	h.sentry.config.Sentries, h.sentry.usualLoad = 100, 0
	for _, c := range []struct {
		ending              Ending
		duration            Micros
		usualLoad, minLimit float64
		maxLimit            float64
	}{{TimedOut, 100_000, 0, 8, 8}, {TimedOut, 600_000, 0, 1, 4}, {Answered, 600_000, 0, 1, 4}, {Answered, 600_000, 60, 10, 13}} {
		h.sentry.concurrencyLimit, h.sentry.usualLoad = 8, c.usualLoad
		for range 5 {
			h.sentry.adjustConcurrencyLimit(&h.sentry.profiles[0], 0, HandOffEnd{Ending: c.ending, Duration: c.duration})
		}
		if h.sentry.concurrencyLimit < c.minLimit || h.sentry.concurrencyLimit > c.maxLimit {
			t.Errorf("%+v: found a concurrency limit of %.1f, expected one between minLimit and maxLimit", c, h.sentry.concurrencyLimit)
		}
	}
	h.sentry.concurrencyLimit, h.sentry.openHandOffs = 8, 4
	first, profile := transaction{Transaction: Transaction{Deadline: second}}, Profile{DueTime: second / 2}
	retry, shortDeadline := first, first
	first.profile, retry.profile, retry.IsRetry, shortDeadline.profile, shortDeadline.Deadline = &profile, &profile, true, &profile, second/4
	if !h.sentry.underConcurrencyLimit(&first) || h.sentry.underConcurrencyLimit(&retry) || h.sentry.underConcurrencyLimit(&shortDeadline) {
		t.Error("found another result, expected half of the concurrency limit to be kept for first tries of clients that wait")
	}
	for _, c := range []struct{ multiple, seconds, free float64 }{{4, 2, 2}, {4, 1, 1}, {2, 1, 0}} { // of a cold worker never used before
		h.sentry.config.ColdLoadMultiple, h.sentry.config.ColdLoadWindow, h.sentry.usualLoad, h.sentry.config.Sentries = c.multiple, Micros(c.seconds*float64(second)), 0, 1
		h.sentry.workers[0].Started, h.sentry.randomAllowance[0], h.sentry.randomAllowanceUntil[0], h.sentry.coldHandOffs[0] = h.now-1, 0, h.now+second, nil
		for ; !h.sentry.atColdLimit(0); h.sentry.coldHandOffs[0] = append(h.sentry.coldHandOffs[0], h.now) {
		}
		if handOffs := float64(len(h.sentry.coldHandOffs[0])); handOffs != c.free {
			t.Errorf("%+v: found %v hand-offs to a cold worker, expected as many as free", c, handOffs)
		}
	}
	ended := &handOff{end: HandOffEnd{Load: Load{InFlight: -1, BusyShare: 0.8, ServedPerSecond: 40}}}
	if got, want := h.sentry.reportedInFlight(0, ended), 40*h.sentry.latencyRatio[0]*h.sentry.usualDuration()/1e6; got != want || got <= 0 {
		t.Errorf("found %.2f transactions in flight, expected %.2f and more than 0", got, want)
	}
}

// Sentries of a group share workers and would overload them together. So each must count the hand-offs of the others
// and their ends. Each must also judge a trial from which it has no outcome yet.
func TestGroupHandOffs(t *testing.T) {
	tier := newSentryTier(24, 24, 5)
	tier.run(8*second, 3)
	s := tier.sentries[0]
	w := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 10)
	for i := range 40 {
		kind := byte(messageHandOff + i/20*(messageHandOffEnded-messageHandOff)) // twenty hand-offs, then twenty ends
		s.PeerMessageReceived(tier.now, SentryID(s.groupCount()), encodeMessage(kind, []uint64{shortID(s.workers[w].ID)}))
		if got := s.chooseWorker(&transaction{profile: s.profiles[0].Profile}, 10); got == w && i > 0 && i < 30 {
			t.Fatalf("found a worker chosen that has %.1f hand-offs of the group, expected another worker", s.groupOpenNow(w))
		}
	}
	if tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.1}); !s.inGroup() || s.groupOpenNow(w) > 0.1 || !s.isJudging() {
		t.Errorf("found in a group: %v, %.1f hand-offs of the group left, judging: %v; expected true, at most 0.1, true", s.inGroup(), s.groupOpenNow(w), s.isJudging())
	}
}

// The configuration changes in the middle of a trial, also between one bound on exposure for all and one per profile,
// and the cap falls. A change must not reset the counts: within any window, hand-offs to the trial must keep every
// bound that held at some time in it.
func FuzzReconfigure(f *testing.F) {
	for seed := range 30 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		random, h := rand.New(rand.NewSource(seed)), newTrialHarness(8, 8)
		config, countedFrom, capShare, nextKey := h.sentry.config, h.now, 0.5, trialKeyGenerator(10)
		taken, sent := [][]Micros{nil, nil, nil}, [][]Micros{nil, nil, nil} // of all, then by profile
		bounds := []exposureBound{{config.FreeExposure, config.ExposureWindow, config.ExposureByProfile, 1 << 60}}
		h.now += 2 * config.ExposureWindow
		for i := range 600 {
			if h.now += Micros(1 + random.Intn(40_000)); random.Intn(20) == 0 {
				bounds[len(bounds)-1].until = h.now + bounds[len(bounds)-1].window
				config.FreeExposure, config.ExposureByProfile = float64(random.Intn(4)), random.Intn(2) == 0
				config.ExposureWindow, config.DrainGrace = Micros(1+random.Intn(4))*second, Micros(random.Intn(2))*second
				h.record(h.sentry.Reconfigure(h.now, config))
				bounds = append(bounds, exposureBound{config.FreeExposure, config.ExposureWindow, config.ExposureByProfile, 1 << 60})
			}
			if i == 400 {
				countedFrom, capShare = h.now, 0.1 // the new cap holds for hand-offs after this time
				h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: capShare})
			}
			profile, id := random.Intn(2), TransactionID(fmt.Sprint("o", i))
			taken[0], taken[profile+1] = append(taken[0], h.now), append(taken[profile+1], h.now)
			h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: id, Profile: ProfileID(profile), Account: NoAccount, Key: nextKey(), Deadline: h.now + second}))
			for _, action := range h.lastResult.Actions {
				if action.Kind != HandOff {
					continue
				}
				if h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: action.Worker, TransactionClosed: true, Duration: 1, Load: NoLoad})); !isTrialWorker(action.Worker) {
					continue
				}
				sent[0], sent[profile+1] = append(sent[0], h.now), append(sent[profile+1], h.now)
				for _, bound := range bounds {
					counter := int(oneIf(bound.byProfile)) * (1 + profile)
					sentCount, takenCount := countAfter(sent[counter], max(countedFrom, h.now-bound.window)), countAfter(taken[counter], h.now-bound.window)
					if bound.until >= h.now && float64(sentCount) > bound.free+capShare*float64(takenCount) {
						t.Fatalf("transaction %d: found %d sent to the trial of %d taken, expected no more than bound %+v", i, sentCount, takenCount, bound)
					}
				}
			}
		}
		if len(sent[0]) < 30 {
			t.Fatalf("found only %d sent to the trial, expected at least 30: too few to test the bounds", len(sent[0]))
		}
	})
}
