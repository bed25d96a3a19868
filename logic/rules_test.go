package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// fleet is a made-up deployment that checks the rules after every step. It knows nothing of how the module
// decides.
type simulation struct {
	t                *testing.T
	config           Config
	sentry           *Sentry
	random           *rand.Rand
	now              Micros
	workersByID      map[WorkerID]Worker
	drainKnownSince  map[WorkerID]Micros // since when the sentry knows that a worker drains or is gone
	release          ReleaseStatus
	open             map[TransactionID]*simTransaction
	openIDs          []TransactionID
	takenAt          []Micros
	exposedAt        []Micros
	keysOnTrial      map[Key]bool
	coldHandOffs     map[WorkerID][]Micros
	transactionCount int
	answerCount      int
	handOffCount     int
}

type simTransaction struct {
	transaction Transaction
	closed      bool
	handOffs    []*simHandOff
}

type simHandOff struct {
	worker     WorkerID
	sentAt     Micros
	ended      bool
	mayHaveRun bool
}

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

// do checks every ruling against the rules as they are worded.
func (sim *simulation) checkActions(result Result) {
	sim.t.Helper()
	for _, action := range result.Actions {
		tx := sim.open[action.Transaction]
		if action.Kind == CancelHandOff {
			if tx == nil || action.HandOffNumber >= len(tx.handOffs) || tx.handOffs[action.HandOffNumber].ended {
				sim.fail("rule 1: %v cancels what is not out", action)
			}
			continue
		}
		if tx == nil || tx.closed {
			sim.fail("rule 1: ruling %v on a transaction that is not open", action)
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
				sim.fail("rule 2: %v deferred though it may have run", action)
			}
			tx.closed = true
			sim.answerCount++
		case WriteOff:
			tx.closed = true
			sim.answerCount++
		}
	}
}

func (sim *simulation) checkHandOff(tx *simTransaction, action Action, profile Profile, mayHaveRun bool, openHandOffs int) {
	sim.t.Helper()
	sim.handOffCount++
	w, known := sim.workersByID[action.Worker]
	if !known || sim.now > tx.transaction.Deadline || action.Deadline > tx.transaction.Deadline {
		sim.fail("rule 1: %v to an unknown worker or past its limit", action)
	}
	if openHandOffs > 0 && !sim.config.MayHedge || len(tx.handOffs) >= sim.config.MaxHandOffs {
		sim.fail("rule 2: hand-off %v with %d out of %d", action, openHandOffs, len(tx.handOffs))
	}
	for _, h := range tx.handOffs {
		if !h.mayHaveRun {
			continue
		}
		earlier := sim.workersByID[h.worker]
		outsideScope := profile.DedupScope == ScopeZone && earlier.Zone != w.Zone || profile.DedupScope == ScopeCell && earlier.Cell != w.Cell
		if profile.Repeatability == NonIdempotent || profile.Repeatability == Deduplicated && (outsideScope || sim.now >= h.sentAt+profile.DedupWindow) {
			sim.fail("rule 2: %v sent again", action)
		}
	}
	if since, notReady := sim.drainKnownSince[action.Worker]; notReady && sim.now > since+sim.config.DrainGrace {
		sim.fail("rule 3: %v to a worker that drains or is gone", action)
	}
	toTrial := sim.release.Build == w.Build && sim.release.Phase != Released
	switch {
	case w.Build > sim.release.Build:
		sim.fail("rule 5: %v to a build not announced", action)
	case toTrial && sim.release.Phase != OnTrial:
		sim.fail("rule 5: %v to a build that goes back", action)
	case toTrial && sim.release.Stage < sim.config.GuardedStages && profile.Repeatability != Idempotent:
		sim.fail("rule 5: %v to the trial in a guarded stage", action)
	case toTrial:
		from := sim.now - sim.config.ExposureWindow
		sim.exposedAt = append(dropUpTo(sim.exposedAt, from), sim.now)
		if taken := countAfter(sim.takenAt,
			from); float64(len(sim.exposedAt)) > sim.config.FreeExposure+sim.release.Cap*float64(taken)+1e-9 {
			sim.fail("rule 5: %d hand-offs to the trial, %d taken, cap %v", len(sim.exposedAt), taken, sim.release.Cap)
		}
	}
	if sim.config.ForwardOnly && sim.keysOnTrial[tx.transaction.Key] && w.Build < sim.release.Build && sim.release.Phase != Withdrawn {
		sim.fail("rule 5: %v takes a key back", action)
	}
	if age := sim.now - w.Started; w.Started > 0 && age < sim.config.ColdLoadWindow {
		sim.coldHandOffs[w.ID] = append(dropUpTo(sim.coldHandOffs[w.ID], sim.now-sim.config.ColdLoadWindow), sim.now)
		limit := 3 + sim.config.ColdLoadMultiple*float64(countAfter(sim.takenAt, sim.now-sim.config.ColdLoadWindow))/2
		if float64(len(sim.coldHandOffs[w.ID])) > limit {
			sim.fail("rule 4: %d hand-offs to one cold worker", len(sim.coldHandOffs[w.ID]))
		}
	}
	tx.handOffs = append(tx.handOffs, &simHandOff{worker: action.Worker, sentAt: sim.now, mayHaveRun: true})
}

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
		transaction.Key = Key(fmt.Sprint(sim.transactionCount / 100)) // a hot key, now and then in the trial's slots
	}
	sim.open[transaction.ID] = &simTransaction{transaction: transaction}
	sim.openIDs = append(sim.openIDs, transaction.ID)
	sim.takenAt = append(sim.takenAt, sim.now)
	sim.checkActions(sim.sentry.TransactionArrived(sim.now, transaction))
}

// end ends one open hand-off, or all that have passed their transaction's limit.
func (sim *simulation) endHandOff(tx *simTransaction, number int, ending Ending) {
	h := tx.handOffs[number]
	if h.ended {
		return
	}
	h.ended = true
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

// sweep ends what has run out and sees that nothing open is overdue.
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
			sim.fail("rule 1: %s has no final answer", id)
		}
		if tx.closed && !hasOpenHandOff {
			delete(sim.open, id)
			continue
		}
		kept = append(kept, id)
	}
	sim.openIDs = kept
}

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
			sim.endHandOff(tx, sim.random.Intn(len(tx.handOffs)), ending)
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

// change starts, restarts, drains or ends a worker and tells the sentry, wholly or by changes.
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

// oddities are calls that are legal and should change nothing but what they must.
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
			t.Fatalf("only %d answers and %d hand-offs in the whole run", sim.answerCount, sim.handOffCount)
		}
	})
}

// A key whose hand-off to the trial may have been answered, though nothing of that could be read, goes to no earlier
// build again; one that was errored does.
func TestUnreadableAnswersKeepKeysOnTrial(t *testing.T) {
	for _, c := range []struct {
		ending Ending
		met    bool
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
			t.Fatal("nothing went to the trial")
		}
		h.sentry.trialSlots = 0 // by the hash alone all would go to the earlier build
		for k := range sent {
			h.now += second / 10
			h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(k), Key: k, Account: NoAccount, Deadline: h.now + 2*second}))
			for _, action := range h.lastResult.Actions {
				if toEarlier := action.Kind == HandOff && !isTrialWorker(action.Worker); toEarlier == c.met {
					t.Errorf("after ending %d: %+v, expected the earlier build: %v", c.ending, action, !c.met)
				}
			}
			h.sentry.trialSlots = 0
		}
	}
}

// A hand-off whose answer is lost, as several later ones of its worker tell, is given up for another where that does no
// harm, and takes no room from others; a worker that answers is not left out.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		profile ProfileID
		later   int // that the worker answers
		again   bool
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
					t.Fatalf("ruled %+v", action)
				}
			}
			ejected, maxLost = ejected || h.sentry.ejectedUntil[0] > h.now, max(maxLost, h.sentry.lostHandOffs)
		}
		if cancelled != c.again || retried != c.again || ejected != (c.later < laterAnswersIfLost) || c.profile == 1 && maxLost == 0 ||
			c.later < laterAnswersIfLost && maxLost > 0 {
			t.Errorf("profile %d, %d later: cancelled %v, handed off again %v, left out %v, %d lost", c.profile, c.later, cancelled,
				retried, ejected, maxLost)
		}
	}
}

// A build that goes back serves on within its cap while no earlier worker is ready, and no longer.
func TestRollBackWithoutEarlierWorkers(t *testing.T) {
	h := newTrialHarness(2, 4)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: Released, Cap: 1})
	h.record(h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: Gone}, {ID: "e1", Build: 10, Size: 1, State: Gone}}))
	for _, c := range []struct {
		cap   float64
		at    string // where the earlier build is again
		trial bool
	}{{1, "", true}, {1, "e0", false}, {0, "", false}} {
		h.now += 10 * second
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: RollingBack, Cap: c.cap})
		state := Gone
		if c.at != "" {
			state = Ready
		}
		h.record(h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: state}}))
		got := 0
		h.serveTransactions(50, func(w WorkerID, _ int) (Ending, Micros) { got += int(oneIf(isTrialWorker(w))); return Answered, 50_000 })
		if got > 0 != c.trial {
			t.Errorf("cap %v, earlier worker %q: %d to the build that goes back", c.cap, c.at, got)
		}
	}
}

// While the news of a release is still to come and the earlier build has gone, the trial's workers make the room.
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
		t.Errorf("room for %.1f, expected that of ten workers", h.sentry.concurrencyLimit)
	}
}
