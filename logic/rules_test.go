package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// simulation is a random deployment that checks the rules of the specification after every step. It does not depend on
// how the package decides.
type simulation struct {
	t                *testing.T
	config           Config
	sentry           *Sentry
	random           *rand.Rand
	now              Micros
	workersByID      map[WorkerID]Worker
	drainKnownSince  map[WorkerID]Micros // since when the sentry knows that a worker is draining or gone
	release          ReleaseStatus       // of the newest build
	open             map[TransactionID]*simTransaction
	openIDs          []TransactionID       // in order of arrival
	takenAt          []Micros              // arrivals of transactions
	exposedAt        []Micros              // hand-offs to the trial in its window
	keysOnTrial      map[Key]bool          // answered by the newest build
	coldHandOffs     map[WorkerID][]Micros // hand-offs to cold workers
	transactionCount int
	answerCount      int
	handOffCount     int
}

// simTransaction is a transaction that has no final answer or has open hand-offs.
type simTransaction struct {
	transaction Transaction
	closed      bool
	handOffs    []*simHandOff
}

type simHandOff struct {
	worker     WorkerID
	sentAt     Micros
	ended      bool
	mayHaveRun bool // false only once it is proven not to have run
	answered   bool // the worker has written a good answer, which the sentry has not read
}

// randomConfig returns a random configuration with one profile of each Repeatability.
func randomConfig(random *rand.Rand) Config {
	oneIn := func(n int) bool { return random.Intn(n) == 0 }
	config := Config{
		Sentries: 1 + random.Intn(5), ListOnRequest: oneIn(2), MaxListAge: 10 * second, MayHedge: oneIn(2),
		MayMessage: oneIn(2),
		MayCancel:  true, MayNameRetryAfter: true, MaxHandOffs: 1 + random.Intn(5), MaxRetryAfter: second, TimerGranularity: 5000,
		AnswerGrace: 20000, DrainGrace: second / 4, ColdCapacity: 0.4, WarmUp: 4 * second, ColdLoadMultiple: 3,
		ColdLoadWindow: second,
		Control:        Control(random.Intn(2)), EarlierWorkersStay: oneIn(2), StageShares: []float64{0.1, 0.4, 1},
		StageCaps: []float64{0.2, 0.6, 1}, FreeExposure: 2, ExposureWindow: 3 * second,
		GuardedStages: random.Intn(2),
		ForwardOnly:   oneIn(2), AdvanceVotes: 1, RollBackVotes: 1, VoteTTL: 6 * second, VoteTimeout: second,
		BakeTime: 3 * second, CrossZonePrice: 0.04,
	}
	for repeatability := Idempotent; repeatability <= NonIdempotent; repeatability++ {
		config.Profiles = append(config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1 + float64(repeatability),
			Repeatability: repeatability, DedupWindow: second, DedupScope: DedupScope(random.Intn(3))})
	}
	return config
}

// newSimulation returns a simulation with eight workers of the released build 10.
func newSimulation(t *testing.T, seed int64) *simulation {
	random := rand.New(rand.NewSource(seed))
	sim := &simulation{t: t, random: random, now: 1000 * second, config: randomConfig(random), workersByID: map[WorkerID]Worker{},
		drainKnownSince: map[WorkerID]Micros{}, open: map[TransactionID]*simTransaction{}, keysOnTrial: map[Key]bool{},
		coldHandOffs: map[WorkerID][]Micros{}}
	sim.sentry = New(sim.config, seed)
	for i := range 8 {
		sim.setWorker(Worker{ID: sim.workerID(i), Build: 10, Size: 1 + float64(i%2), Zone: ZoneID(i % 2), Cell: i % 3})
	}
	sim.checkActions(sim.sentry.ListReceived(sim.now, CachedList, sim.allWorkers()))
	sim.updateRelease(ReleaseStatus{Valid: true, Build: 10, Stage: 2, Phase: Released, Cap: 1})
	return sim
}

func (sim *simulation) workerID(i int) WorkerID { return WorkerID(fmt.Sprintf("w%d", i)) }

// setWorker changes a worker and records since when the sentry knows that it is draining or gone.
func (sim *simulation) setWorker(w Worker) {
	sim.workersByID[w.ID] = w
	if w.State == Ready {
		delete(sim.drainKnownSince, w.ID)
	} else if _, known := sim.drainKnownSince[w.ID]; !known {
		sim.drainKnownSince[w.ID] = sim.now
	}
}

func (sim *simulation) allWorkers() []Worker {
	var all []Worker
	for i := range 20 {
		if w, ok := sim.workersByID[sim.workerID(i)]; ok {
			all = append(all, w)
		}
	}
	return all
}

// updateRelease reports a release status to the sentry and resets what the rules count for a former build.
func (sim *simulation) updateRelease(status ReleaseStatus) {
	if status.Build != sim.release.Build {
		sim.exposedAt, sim.keysOnTrial = nil, map[Key]bool{}
	}
	if status.Phase == RollingBack || status.Phase == Withdrawn {
		sim.keysOnTrial = map[Key]bool{}
	}
	sim.release = status
	sim.checkActions(sim.sentry.ReleaseUpdated(sim.now, status))
}

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("at %d: %s", sim.now, fmt.Sprintf(format, args...))
}

// checkActions checks every action against the wording of the rules.
func (sim *simulation) checkActions(result Result) {
	sim.t.Helper()
	for _, action := range result.Actions {
		tx := sim.open[action.Transaction]
		if action.Kind == CancelHandOff {
			if tx == nil || action.HandOffNumber >= len(tx.handOffs) || tx.handOffs[action.HandOffNumber].ended {
				sim.fail("rule 1: found %v, expected it to cancel an open hand-off", action)
			}
			continue
		}
		if tx == nil || tx.closed {
			sim.fail("rule 1: found %v on a transaction that is not open, expected no action", action)
		}
		mayHaveRun, openHandOffs := false, 0
		for _, h := range tx.handOffs {
			mayHaveRun = mayHaveRun || h.mayHaveRun
			if !h.ended {
				openHandOffs++
			}
		}
		profile := sim.config.Profiles[tx.transaction.Profile]
		switch action.Kind {
		case HandOff:
			sim.checkHandOff(tx, action, profile, mayHaveRun, openHandOffs)
		case Defer:
			if mayHaveRun && (profile.Repeatability == NonIdempotent || profile.Repeatability == Deduplicated && profile.DedupScope != ScopeAll) {
				sim.fail("rule 2: found %v of a transaction that may have run, expected a write-off", action)
			}
			tx.closed = true
			sim.answerCount++
		case WriteOff:
			tx.closed = true
			sim.answerCount++
		}
	}
}

// checkHandOff checks a hand-off against the rules and records it.
func (sim *simulation) checkHandOff(tx *simTransaction, action Action, profile Profile, mayHaveRun bool, openHandOffs int) {
	sim.t.Helper()
	sim.handOffCount++
	w, known := sim.workersByID[action.Worker]
	if !known || sim.now > tx.transaction.Deadline || action.Deadline > tx.transaction.Deadline {
		sim.fail("rule 1: found %v to an unknown worker or past the deadline, expected a listed worker and a time before it", action)
	}
	if openHandOffs > 0 && !sim.config.MayHedge || len(tx.handOffs) >= sim.config.MaxHandOffs {
		sim.fail("rule 2: found %v with %d open of %d hand-offs, expected no more than the configuration allows", action, openHandOffs, len(tx.handOffs))
	}
	for _, h := range tx.handOffs {
		if !h.mayHaveRun {
			continue
		}
		earlier := sim.workersByID[h.worker]
		outsideScope := profile.DedupScope == ScopeZone && earlier.Zone != w.Zone || profile.DedupScope == ScopeCell && earlier.Cell != w.Cell
		if profile.Repeatability == NonIdempotent || profile.Repeatability == Deduplicated && (outsideScope || sim.now >= h.sentAt+profile.DedupWindow) {
			sim.fail("rule 2: found %v as a retry, expected none where the transaction could run twice", action)
		}
	}
	if since, notReady := sim.drainKnownSince[action.Worker]; notReady && sim.now > since+sim.config.DrainGrace {
		sim.fail("rule 3: found %v to a draining or gone worker, expected none after the drain grace", action)
	}
	toTrial := sim.release.Build == w.Build && sim.release.Phase != Released
	switch {
	case w.Build > sim.release.Build:
		sim.fail("rule 5: found %v to a build that is not announced, expected the newest or an earlier one", action)
	case toTrial && sim.release.Phase != OnTrial:
		sim.fail("rule 5: found %v to a build that is rolled back, expected an earlier one", action)
	case toTrial && sim.release.Stage < sim.config.GuardedStages && profile.Repeatability != Idempotent:
		sim.fail("rule 5: found %v to the trial in a guarded stage, expected idempotent transactions only", action)
	case toTrial:
		from := sim.now - sim.config.ExposureWindow
		sim.exposedAt = append(dropUpTo(sim.exposedAt, from), sim.now)
		if taken := countAfter(sim.takenAt,
			from); float64(len(sim.exposedAt)) > sim.config.FreeExposure+sim.release.Cap*float64(taken)+1e-9 {
			sim.fail("rule 5: found %d hand-offs to the trial with %d transactions taken, expected no more than the free ones and a share of %v", len(sim.exposedAt), taken, sim.release.Cap)
		}
	}
	if sim.config.ForwardOnly && sim.keysOnTrial[tx.transaction.Key] && w.Build < sim.release.Build && sim.release.Phase != Withdrawn {
		sim.fail("rule 5: found %v to an earlier build for a key that the newest one has answered, expected the newest", action)
	}
	if age := sim.now - w.Started; w.Started > 0 && age < sim.config.ColdLoadWindow {
		sim.coldHandOffs[w.ID] = append(dropUpTo(sim.coldHandOffs[w.ID], sim.now-sim.config.ColdLoadWindow), sim.now)
		limit := 3 + sim.config.ColdLoadMultiple*float64(countAfter(sim.takenAt, sim.now-sim.config.ColdLoadWindow))/2
		if float64(len(sim.coldHandOffs[w.ID])) > limit {
			sim.fail("rule 4: found %d hand-offs to one cold worker, expected no more than its part allows", len(sim.coldHandOffs[w.ID]))
		}
	}
	tx.handOffs = append(tx.handOffs, &simHandOff{worker: action.Worker, sentAt: sim.now, mayHaveRun: true})
}

// arrive has a random transaction arrive.
func (sim *simulation) arrive() {
	sim.transactionCount++
	transaction := Transaction{ID: TransactionID(fmt.Sprint(sim.transactionCount)), Profile: ProfileID(sim.random.Intn(3)),
		Account:  NoAccount,
		Key:      Key(fmt.Sprintf("%x", sim.random.Intn(60))),
		Deadline: sim.now + second/2 + Micros(sim.random.Int63n(int64(second)))}
	switch sim.random.Intn(8) {
	case 0:
		transaction.Key = ""
	case 1, 2, 3:
		transaction.Key = Key(fmt.Sprint(sim.transactionCount / 100)) // a hot key, sometimes in the slots of the trial
	}
	sim.open[transaction.ID] = &simTransaction{transaction: transaction}
	sim.openIDs = append(sim.openIDs, transaction.ID)
	sim.takenAt = append(sim.takenAt, sim.now)
	sim.checkActions(sim.sentry.TransactionArrived(sim.now, transaction))
}

// endHandOff ends one hand-off if it is open.
func (sim *simulation) endHandOff(tx *simTransaction, number int, ending Ending) {
	h := tx.handOffs[number]
	if h.ended {
		return
	}
	h.ended = true
	if h.answered && (ending == Errored || ending == TurnedAway || ending == Unconnected || ending == Unsent) {
		ending = Broken // an answer that was written may be lost, but it is no other one
	}
	h.mayHaveRun = ending != TurnedAway && ending != Unconnected && ending != Unsent
	closed := tx.closed || ending == Answered
	if ending == Answered && !tx.closed {
		sim.answerCount++
		if w := sim.workersByID[h.worker]; w.Build == sim.release.Build && sim.release.Phase <= Released && sim.release.Phase != RollingBack {
			sim.keysOnTrial[tx.transaction.Key] = tx.transaction.Key != ""
		}
	}
	tx.closed = closed
	sim.checkActions(sim.sentry.HandOffEnded(sim.now, HandOffEnd{Transaction: tx.transaction.ID, HandOffNumber: number, Worker: h.worker, Ending: ending,
		Duration: sim.now - h.sentAt, TransactionClosed: closed, Load: Load{float64(sim.random.Intn(4) - 1), -1, -1}}))
}

// writeAnswer has the worker of a hand-off write a good answer, which the sentry reads later or not at all. If it is a
// trial worker's, its key has met the trial from then on.
func (sim *simulation) writeAnswer(tx *simTransaction, h *simHandOff) {
	if w := sim.workersByID[h.worker]; !h.ended && w.Build == sim.release.Build && sim.release.Phase == OnTrial {
		h.answered = true
		sim.keysOnTrial[tx.transaction.Key] = tx.transaction.Key != ""
	}
}

// checkDeadlines ends the hand-offs of transactions past their deadline and checks that no final answer is overdue.
func (sim *simulation) checkDeadlines() {
	kept := sim.openIDs[:0]
	for _, id := range sim.openIDs {
		tx := sim.open[id]
		hasOpenHandOff := false
		for number, h := range tx.handOffs {
			if !h.ended && sim.now >= tx.transaction.Deadline {
				sim.endHandOff(tx, number, TimedOut)
			}
			hasOpenHandOff = hasOpenHandOff || !h.ended
		}
		if !tx.closed && sim.now > tx.transaction.Deadline+sim.config.AnswerGrace {
			sim.fail("rule 1: found no final answer to %s, expected one within the grace after its deadline", id)
		}
		if tx.closed && !hasOpenHandOff {
			delete(sim.open, id)
			continue
		}
		kept = append(kept, id)
	}
	sim.openIDs = kept
}

// step advances the clock by 5 ms, has up to two transactions arrive, ends up to two hand-offs, and sometimes changes a
// worker or the release.
func (sim *simulation) step() {
	sim.now += 5000
	sim.checkActions(sim.sentry.Wake(sim.now))
	sim.checkDeadlines()
	for range sim.random.Intn(3) {
		sim.arrive()
	}
	for range 2 {
		if len(sim.openIDs) == 0 {
			break
		}
		tx := sim.open[sim.openIDs[sim.random.Intn(len(sim.openIDs))]]
		if len(tx.handOffs) > 0 {
			ending := Answered
			if sim.random.Intn(4) == 0 {
				ending = Ending(sim.random.Intn(8))
			}
			number := sim.random.Intn(len(tx.handOffs))
			if sim.random.Intn(3) == 0 {
				sim.writeAnswer(tx, tx.handOffs[number])
			} else {
				sim.endHandOff(tx, number, ending)
			}
		}
	}
	switch sim.random.Intn(150) {
	case 0, 1, 2, 3:
		sim.changeWorker()
	case 4:
		sim.changeRelease()
	case 5:
		sim.sendIrregularCalls()
	}
}

// changeWorker starts, restarts, drains or ends a worker and sends the sentry a full list or the change.
func (sim *simulation) changeWorker() {
	w := Worker{ID: sim.workerID(sim.random.Intn(16)), Build: sim.release.Build + BuildID(sim.random.Intn(3)-1), Size: 1,
		Started: sim.now - Micros(sim.random.Int63n(int64(second))), State: WorkerState(sim.random.Intn(4) % 3)}
	if old, known := sim.workersByID[w.ID]; known && w.State != Ready {
		old.State = w.State
		w = old
	}
	sim.setWorker(w)
	if sim.random.Intn(2) == 0 {
		sim.checkActions(sim.sentry.ListReceived(sim.now, ListDelta, []Worker{w}))
	} else {
		sim.checkActions(sim.sentry.ListReceived(sim.now, FullList, sim.allWorkers()))
	}
}

// changeRelease moves the release to a possible next state and reports it to the sentry.
func (sim *simulation) changeRelease() {
	status := sim.release
	status.Valid, status.Age = true, 0
	switch {
	case status.Phase == Released || status.Phase == Withdrawn:
		status.Build, status.Phase, status.Stage = status.Build+1, OnTrial, 0
	case status.Phase == RollingBack:
		status.Phase = Withdrawn
	case sim.random.Intn(3) == 0:
		status.Phase = RollingBack
	case status.Stage < 2:
		status.Stage++
	default:
		status.Phase = Released
	}
	status.Cap = sim.config.StageCaps[status.Stage]
	if status.Phase == RollingBack || status.Phase == Withdrawn {
		status.Cap = 0
	}
	sim.updateRelease(status)
}

// sendIrregularCalls makes calls that are legal, with unknown names, invalid messages or odd values. They must
// not make the sentry violate a rule.
func (sim *simulation) sendIrregularCalls() {
	body := make([]byte, sim.random.Intn(300))
	sim.random.Read(body)
	sim.checkActions(sim.sentry.PeerMessageReceived(sim.now, SentryID(sim.random.Intn(9)-2), body))
	sim.checkActions(sim.sentry.ComplaintReceived(sim.now, Complaint{Profile: ProfileID(sim.random.Intn(9) - 2),
		Worker: sim.workerID(sim.random.Intn(30))}))
	sim.checkActions(sim.sentry.ListRequestFailed(sim.now, true))
	sim.checkActions(sim.sentry.ClientLeft(sim.now, "nobody"))
	sim.checkActions(sim.sentry.HandOffEnded(sim.now, HandOffEnd{Transaction: "nobody", HandOffNumber: -3, Worker: "nobody"}))
	sim.checkActions(sim.sentry.ReleaseUpdated(sim.now, ReleaseStatus{VoteResult: VoteTimedOut}))
	sim.checkActions(sim.sentry.ReleaseUpdated(sim.now, ReleaseStatus{VoteResult: VoteObsolete}))
	odd := Worker{ID: "w19", Build: 0, Size: -1, Started: sim.now * 5, State: Ready}
	sim.setWorker(odd)
	sim.checkActions(sim.sentry.ListReceived(sim.now, ListDelta, []Worker{odd}))
	if len(sim.openIDs) > 0 {
		tx := sim.open[sim.openIDs[0]]
		tx.closed = true
		sim.checkActions(sim.sentry.ClientLeft(sim.now, tx.transaction.ID))
	}
}

// In random deployments, every action must keep the rules, and every transaction must get its final answer in time.
func FuzzRules(f *testing.F) {
	for seed := range 60 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		sim := newSimulation(t, seed)
		for range 4000 {
			sim.step()
		}
		if sim.answerCount < 1000 || sim.handOffCount < 300 {
			t.Fatalf("found %d answers and %d hand-offs in the whole run, expected at least 1000 and 300", sim.answerCount, sim.handOffCount)
		}
	})
}

// With ForwardOnly, a key that the trial may have answered must not go to an earlier build again, even if the answer
// could not be read or was lost. A key goes back to it after an error or a failed connection.
func TestUnreadableAnswersKeepKeysOnTrial(t *testing.T) {
	for _, c := range []struct {
		ending       Ending
		staysOnTrial bool
	}{{Unreadable, true}, {Broken, true}, {TimedOut, true}, {Errored, false}, {Unconnected, false}} {
		h := newTrialHarness(4, 4)
		h.now += 10 * second // warm
		sent := map[Key]bool{}
		h.serveTransactions(60, func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) {
				sent[Key(fmt.Sprintf("%x", n*7919))] = true
				return c.ending, 50_000
			}
			return Answered, 50_000
		})
		if len(sent) == 0 {
			t.Fatal("found no hand-off to the trial, expected some")
		}
		h.sentry.trialSlots = 0 // by their hash slots all keys would go to the earlier build
		for k := range sent {
			h.now += second / 10
			h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(k), Key: k, Account: NoAccount, Deadline: h.now + 2*second}))
			for _, action := range h.lastResult.Actions {
				if toEarlier := action.Kind == HandOff && !isTrialWorker(action.Worker); toEarlier == c.staysOnTrial {
					t.Errorf("after ending %d: found %+v, expected the earlier build: %v", c.ending, action, !c.staysOnTrial)
				}
			}
			h.sentry.trialSlots = 0
		}
	}
}

// When an answer is lost, its hand-off would stay open until the deadline. Several later answers of the same worker
// show the loss. Then the hand-off must be cancelled and retried where the transaction may run again, it must not count
// towards the concurrency limit, and the worker must not be ejected.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		profile ProfileID
		later   int // transactions that the worker answers
		retried bool
	}{{0, 80, true}, {0, laterAnswersIfLost - 1, false}, {0, 0, false}, {1, 80, false}} {
		h := newTrialHarness(1, 0)
		h.sentry.config.MayHedge, h.sentry.config.MayCancel, h.sentry.config.MaxHandOffs = false, true, 3
		h.sentry.retryBudget = 2
		h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "lost", Profile: c.profile, Key: "k", Account: NoAccount, Deadline: h.now + 2*second}))
		cancelled, retried, ejected, maxLost := false, false, false, 0
		for n := range 80 {
			h.now += 20_000
			id := TransactionID(fmt.Sprint("later", n))
			if n < c.later {
				h.sentry.TransactionArrived(h.now, Transaction{ID: id, Key: "k", Account: NoAccount, Deadline: h.now + 2*second})
				h.sentry.HandOffEnded(h.now+10_000, HandOffEnd{Transaction: id, Worker: "e0", Duration: 10_000, TransactionClosed: true, Load: NoLoad})
			}
			for h.record(h.sentry.Wake(h.now + 10_000)); len(h.lastResult.Actions) > 0; {
				action := h.lastResult.Actions[0]
				h.lastResult.Actions = h.lastResult.Actions[1:]
				switch {
				case action.Kind == CancelHandOff && action.Transaction == "lost":
					cancelled = true
					h.record(h.sentry.HandOffEnded(h.now+10_000, HandOffEnd{Transaction: "lost", Worker: "e0", Ending: Cancelled, Load: NoLoad}))
				case action.Kind == HandOff:
					retried = action.Transaction == "lost"
				default:
					t.Fatalf("found action %+v, expected a hand-off or the cancellation of the lost one", action)
				}
			}
			ejected, maxLost = ejected || h.sentry.ejectedUntil[0] > h.now, max(maxLost, h.sentry.lostHandOffs)
		}
		if cancelled != c.retried || retried != c.retried || ejected != (c.later < laterAnswersIfLost) || c.profile == 1 && maxLost == 0 ||
			c.later < laterAnswersIfLost && maxLost > 0 {
			t.Errorf("profile %d, %d later answers: found cancelled %v, retried %v, worker ejected %v, %d hand-offs lost, expected a cancellation and a retry as in the case, an ejection only with too few later answers, a lost hand-off only with enough", c.profile, c.later, cancelled,
				retried, ejected, maxLost)
		}
	}
}

// During a roll-back there may be no ready worker of the earlier build yet. Until there is one, the build that is
// rolled back must serve if its cap allows it, and after that no more.
func TestRollBackWithoutEarlierWorkers(t *testing.T) {
	h := newTrialHarness(2, 4)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: Released, Cap: 1})
	h.record(h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: Gone}, {ID: "e1", Build: 10, Size: 1, State: Gone}}))
	for _, c := range []struct {
		cap           float64
		earlierWorker string // worker that runs the earlier build again, if any
		toTrial       bool
	}{{1, "", true}, {1, "e0", false}, {0, "", false}} {
		h.now += 10 * second
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: RollingBack, Cap: c.cap})
		state := Gone
		if c.earlierWorker != "" {
			state = Ready
		}
		h.record(h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: state}}))
		got := 0
		h.serveTransactions(50, func(w WorkerID, _ int) (Ending, Micros) { got += int(oneIf(isTrialWorker(w))); return Answered, 50_000 })
		if got > 0 != c.toTrial {
			t.Errorf("cap %v, earlier worker %q: found %d hand-offs to the build that is rolled back, expected some only with a cap and no earlier worker", c.cap, c.earlierWorker, got)
		}
	}
}

// The release status can arrive later than the list that takes the earlier workers away. The concurrency limit must
// then follow the workers of the trial and not fall.
func TestConcurrencyLimitWithoutEarlierWorkers(t *testing.T) {
	h := newTrialHarness(10, 10)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: OnTrial, Cap: 1})
	h.now += 10 * second
	h.serveTransactions(300, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	h.sentry.concurrencyLimit = 30
	var draining []Worker
	for i := range 10 {
		draining = append(draining, Worker{ID: WorkerID(fmt.Sprint("e", i)), Build: 10, Size: 1, State: Draining})
	}
	h.record(h.sentry.ListReceived(h.now, ListDelta, draining))
	h.serveTransactions(50, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	if h.sentry.concurrencyLimit < 20 {
		t.Errorf("found a concurrency limit of %.1f, expected at least 20 with ten workers", h.sentry.concurrencyLimit)
	}
}
