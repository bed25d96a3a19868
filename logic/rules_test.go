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

func randomConfig(chance *rand.Rand) Config {
	pick := func(n int) bool { return chance.Intn(n) == 0 }
	o := Config{
		Sentries: 1 + chance.Intn(5), ListOnRequest: pick(2), MaxListAge: 10 * second, MayHedge: pick(2),
		MayMessage: pick(2),
		MayCancel:  true, MayNameRetryAfter: true, MaxHandOffs: 1 + chance.Intn(5), MaxRetryAfter: second, TimerGranularity: 5000,
		AnswerGrace: 20000, DrainGrace: second / 4, ColdCapacity: 0.4, WarmUp: 4 * second, ColdLoadMultiple: 3,
		ColdLoadWindow: second,
		Control:        Control(chance.Intn(2)), EarlierWorkersStay: pick(2), StageShares: []float64{0.1, 0.4, 1},
		StageCaps: []float64{0.2, 0.6, 1}, FreeExposure: 2, ExposureWindow: 3 * second,
		GuardedStages: chance.Intn(2),
		ForwardOnly:   pick(2), AdvanceVotes: 1, RollBackVotes: 1, VoteTTL: 6 * second, VoteTimeout: second,
		BakeTime: 3 * second, CrossZonePrice: 0.04,
	}
	for r := Idempotent; r <= NonIdempotent; r++ {
		o.Profiles = append(o.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1 + float64(r),
			Repeatability: r, DedupWindow: second, DedupScope: DedupScope(chance.Intn(3))})
	}
	return o
}

func newSimulation(t *testing.T, seed int64) *simulation {
	chance := rand.New(rand.NewSource(seed))
	f := &simulation{t: t, random: chance, now: 1000 * second, config: randomConfig(chance), workersByID: map[WorkerID]Worker{},
		drainKnownSince: map[WorkerID]Micros{}, open: map[TransactionID]*simTransaction{}, keysOnTrial: map[Key]bool{},
		coldHandOffs: map[WorkerID][]Micros{}}
	f.sentry = New(f.config, seed)
	for i := range 8 {
		f.setWorker(Worker{ID: f.workerID(i), Build: 10, Size: 1 + float64(i%2), Zone: ZoneID(i % 2), Cell: i % 3})
	}
	f.checkActions(f.sentry.ListReceived(f.now, CachedList, f.allWorkers()))
	f.updateRelease(ReleaseStatus{Valid: true, Build: 10, Stage: 2, Phase: Released, Cap: 1})
	return f
}

func (f *simulation) workerID(i int) WorkerID { return WorkerID(fmt.Sprintf("w%d", i)) }

func (f *simulation) setWorker(w Worker) {
	f.workersByID[w.ID] = w
	if w.State == Ready {
		delete(f.drainKnownSince, w.ID)
	} else if _, known := f.drainKnownSince[w.ID]; !known {
		f.drainKnownSince[w.ID] = f.now
	}
}

func (f *simulation) allWorkers() []Worker {
	var all []Worker
	for i := range 20 {
		if w, ok := f.workersByID[f.workerID(i)]; ok {
			all = append(all, w)
		}
	}
	return all
}

func (f *simulation) updateRelease(n ReleaseStatus) {
	if n.Build != f.release.Build {
		f.exposedAt, f.keysOnTrial = nil, map[Key]bool{}
	}
	if n.Phase == RollingBack || n.Phase == Withdrawn {
		f.keysOnTrial = map[Key]bool{}
	}
	f.release = n
	f.checkActions(f.sentry.ReleaseUpdated(f.now, n))
}

func (f *simulation) fail(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("at %d: %s", f.now, fmt.Sprintf(format, args...))
}

// do checks every ruling against the rules as they are worded.
func (f *simulation) checkActions(r Result) {
	f.t.Helper()
	for _, x := range r.Actions {
		o := f.open[x.Transaction]
		if x.Kind == CancelHandOff {
			if o == nil || x.HandOffNumber >= len(o.handOffs) || o.handOffs[x.HandOffNumber].ended {
				f.fail("rule 1: %v cancels what is not out", x)
			}
			continue
		}
		if o == nil || o.closed {
			f.fail("rule 1: ruling %v on a transaction that is not open", x)
		}
		mayRun, out := false, 0
		for _, h := range o.handOffs {
			mayRun = mayRun || h.mayHaveRun
			if !h.ended {
				out++
			}
		}
		p := f.config.Profiles[o.transaction.Profile]
		switch x.Kind {
		case HandOff:
			f.checkHandOff(o, x, p, mayRun, out)
		case Defer:
			if mayRun && (p.Repeatability == NonIdempotent || p.Repeatability == Deduplicated && p.DedupScope != ScopeAll) {
				f.fail("rule 2: %v deferred though it may have run", x)
			}
			o.closed = true
			f.answerCount++
		case WriteOff:
			o.closed = true
			f.answerCount++
		}
	}
}

func (f *simulation) checkHandOff(o *simTransaction, x Action, p Profile, mayRun bool, out int) {
	f.t.Helper()
	f.handOffCount++
	w, known := f.workersByID[x.Worker]
	if !known || f.now > o.transaction.Deadline || x.Deadline > o.transaction.Deadline {
		f.fail("rule 1: %v to an unknown worker or past its limit", x)
	}
	if out > 0 && !f.config.MayHedge || len(o.handOffs) >= f.config.MaxHandOffs {
		f.fail("rule 2: hand-off %v with %d out of %d", x, out, len(o.handOffs))
	}
	for _, h := range o.handOffs {
		if !h.mayHaveRun {
			continue
		}
		first := f.workersByID[h.worker]
		apart := p.DedupScope == ScopeZone && first.Zone != w.Zone || p.DedupScope == ScopeCell && first.Cell != w.Cell
		if p.Repeatability == NonIdempotent || p.Repeatability == Deduplicated && (apart || f.now >= h.sentAt+p.DedupWindow) {
			f.fail("rule 2: %v sent again", x)
		}
	}
	if since, bad := f.drainKnownSince[x.Worker]; bad && f.now > since+f.config.DrainGrace {
		f.fail("rule 3: %v to a worker that drains or is gone", x)
	}
	trial := f.release.Build == w.Build && f.release.Phase != Released
	switch {
	case w.Build > f.release.Build:
		f.fail("rule 5: %v to a build not announced", x)
	case trial && f.release.Phase != OnTrial:
		f.fail("rule 5: %v to a build that goes back", x)
	case trial && f.release.Stage < f.config.GuardedStages && p.Repeatability != Idempotent:
		f.fail("rule 5: %v to the trial in a guarded stage", x)
	case trial:
		from := f.now - f.config.ExposureWindow
		f.exposedAt = append(dropUpTo(f.exposedAt, from), f.now)
		if taken := countAfter(f.takenAt,
			from); float64(len(f.exposedAt)) > f.config.FreeExposure+f.release.Cap*float64(taken)+1e-9 {
			f.fail("rule 5: %d hand-offs to the trial, %d taken, cap %v", len(f.exposedAt), taken, f.release.Cap)
		}
	}
	if f.config.ForwardOnly && f.keysOnTrial[o.transaction.Key] && w.Build < f.release.Build && f.release.Phase != Withdrawn {
		f.fail("rule 5: %v takes a key back", x)
	}
	if age := f.now - w.Started; w.Started > 0 && age < f.config.ColdLoadWindow {
		f.coldHandOffs[w.ID] = append(dropUpTo(f.coldHandOffs[w.ID], f.now-f.config.ColdLoadWindow), f.now)
		most := 3 + f.config.ColdLoadMultiple*float64(countAfter(f.takenAt, f.now-f.config.ColdLoadWindow))/2
		if float64(len(f.coldHandOffs[w.ID])) > most {
			f.fail("rule 4: %d hand-offs to one cold worker", len(f.coldHandOffs[w.ID]))
		}
	}
	o.handOffs = append(o.handOffs, &simHandOff{worker: x.Worker, sentAt: f.now, mayHaveRun: true})
}

func (f *simulation) arrive() {
	f.transactionCount++
	in := Transaction{ID: TransactionID(fmt.Sprint(f.transactionCount)), Profile: ProfileID(f.random.Intn(3)),
		Account:  NoAccount,
		Key:      Key(fmt.Sprintf("%x", f.random.Intn(60))),
		Deadline: f.now + second/2 + Micros(f.random.Int63n(int64(second)))}
	switch f.random.Intn(8) {
	case 0:
		in.Key = ""
	case 1, 2, 3:
		in.Key = Key(fmt.Sprint(f.transactionCount / 100)) // a hot key, now and then in the trial's slots
	}
	f.open[in.ID] = &simTransaction{transaction: in}
	f.openIDs = append(f.openIDs, in.ID)
	f.takenAt = append(f.takenAt, f.now)
	f.checkActions(f.sentry.TransactionArrived(f.now, in))
}

// end ends one open hand-off, or all that have passed their transaction's limit.
func (f *simulation) endHandOff(o *simTransaction, n int, e Ending) {
	h := o.handOffs[n]
	if h.ended {
		return
	}
	h.ended = true
	h.mayHaveRun = e != TurnedAway && e != Unconnected && e != Unsent
	closed := o.closed || e == Answered
	if e == Answered && !o.closed {
		f.answerCount++
		if w := f.workersByID[h.worker]; w.Build == f.release.Build && f.release.Phase <= Released && f.release.Phase != RollingBack {
			f.keysOnTrial[o.transaction.Key] = o.transaction.Key != ""
		}
	}
	o.closed = closed
	f.checkActions(f.sentry.HandOffEnded(f.now, HandOffEnd{Transaction: o.transaction.ID, HandOffNumber: n, Worker: h.worker, Ending: e,
		Duration: f.now - h.sentAt, TransactionClosed: closed, Load: Load{float64(f.random.Intn(4) - 1), -1, -1}}))
}

// sweep ends what has run out and sees that nothing open is overdue.
func (f *simulation) checkDeadlines() {
	kept := f.openIDs[:0]
	for _, id := range f.openIDs {
		o := f.open[id]
		out := false
		for n, h := range o.handOffs {
			if !h.ended && f.now >= o.transaction.Deadline {
				f.endHandOff(o, n, TimedOut)
			}
			out = out || !h.ended
		}
		if !o.closed && f.now > o.transaction.Deadline+f.config.AnswerGrace {
			f.fail("rule 1: %s has no final answer", id)
		}
		if o.closed && !out {
			delete(f.open, id)
			continue
		}
		kept = append(kept, id)
	}
	f.openIDs = kept
}

func (f *simulation) step() {
	f.now += 5000
	f.checkActions(f.sentry.Wake(f.now))
	f.checkDeadlines()
	for range f.random.Intn(3) {
		f.arrive()
	}
	for range 2 {
		if len(f.openIDs) == 0 {
			break
		}
		o := f.open[f.openIDs[f.random.Intn(len(f.openIDs))]]
		if len(o.handOffs) > 0 {
			e := Answered
			if f.random.Intn(4) == 0 {
				e = Ending(f.random.Intn(8))
			}
			f.endHandOff(o, f.random.Intn(len(o.handOffs)), e)
		}
	}
	switch f.random.Intn(150) {
	case 0, 1, 2, 3:
		f.changeWorker()
	case 4:
		f.changeRelease()
	case 5:
		f.sendIrregularCalls()
	}
}

// change starts, restarts, drains or ends a worker and tells the sentry, wholly or by changes.
func (f *simulation) changeWorker() {
	w := Worker{ID: f.workerID(f.random.Intn(16)), Build: f.release.Build + BuildID(f.random.Intn(3)-1), Size: 1,
		Started: f.now - Micros(f.random.Int63n(int64(second))), State: WorkerState(f.random.Intn(4) % 3)}
	if old, known := f.workersByID[w.ID]; known && w.State != Ready {
		old.State = w.State
		w = old
	}
	f.setWorker(w)
	if f.random.Intn(2) == 0 {
		f.checkActions(f.sentry.ListReceived(f.now, ListDelta, []Worker{w}))
	} else {
		f.checkActions(f.sentry.ListReceived(f.now, FullList, f.allWorkers()))
	}
}

func (f *simulation) changeRelease() {
	n := f.release
	n.Valid, n.Age = true, 0
	switch {
	case n.Phase == Released || n.Phase == Withdrawn:
		n.Build, n.Phase, n.Stage = n.Build+1, OnTrial, 0
	case n.Phase == RollingBack:
		n.Phase = Withdrawn
	case f.random.Intn(3) == 0:
		n.Phase = RollingBack
	case n.Stage < 2:
		n.Stage++
	default:
		n.Phase = Released
	}
	n.Cap = f.config.StageCaps[n.Stage]
	if n.Phase == RollingBack || n.Phase == Withdrawn {
		n.Cap = 0
	}
	f.updateRelease(n)
}

// oddities are calls that are legal and should change nothing but what they must.
func (f *simulation) sendIrregularCalls() {
	body := make([]byte, f.random.Intn(300))
	f.random.Read(body)
	f.checkActions(f.sentry.PeerMessageReceived(f.now, SentryID(f.random.Intn(9)-2), body))
	f.checkActions(f.sentry.ComplaintReceived(f.now, Complaint{Profile: ProfileID(f.random.Intn(9) - 2),
		Worker: f.workerID(f.random.Intn(30))}))
	f.checkActions(f.sentry.ListRequestFailed(f.now, true))
	f.checkActions(f.sentry.ClientLeft(f.now, "nobody"))
	f.checkActions(f.sentry.HandOffEnded(f.now, HandOffEnd{Transaction: "nobody", HandOffNumber: -3, Worker: "nobody"}))
	f.checkActions(f.sentry.ReleaseUpdated(f.now, ReleaseStatus{VoteResult: VoteTimedOut}))
	f.checkActions(f.sentry.ReleaseUpdated(f.now, ReleaseStatus{VoteResult: VoteObsolete}))
	odd := Worker{ID: "w19", Build: 0, Size: -1, Started: f.now * 5, State: Ready}
	f.setWorker(odd)
	f.checkActions(f.sentry.ListReceived(f.now, ListDelta, []Worker{odd}))
	if len(f.openIDs) > 0 {
		o := f.open[f.openIDs[0]]
		o.closed = true
		f.checkActions(f.sentry.ClientLeft(f.now, o.transaction.ID))
	}
}

func FuzzRules(f *testing.F) {
	for seed := range 60 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		fl := newSimulation(t, seed)
		for range 4000 {
			fl.step()
		}
		if fl.answerCount < 1000 || fl.handOffCount < 300 {
			t.Fatalf("only %d answers and %d hand-offs in the whole run", fl.answerCount, fl.handOffCount)
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
		b := newTrialHarness(4, 4)
		b.now += 10 * second // warm
		sent := map[Key]bool{}
		b.serveTransactions(60, func(w WorkerID, n int) (Ending, Micros) {
			if isTrialWorker(w) {
				sent[Key(fmt.Sprintf("%x", n*7919))] = true
				return c.ending, 50_000
			}
			return Answered, 50_000
		})
		if len(sent) == 0 {
			t.Fatal("nothing went to the trial")
		}
		b.sentry.trialSlots = 0 // by the hash alone all would go to the earlier build
		for k := range sent {
			b.now += second / 10
			b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: TransactionID(k), Key: k, Account: NoAccount, Deadline: b.now + 2*second}))
			for _, r := range b.lastResult.Actions {
				if earlier := r.Kind == HandOff && !isTrialWorker(r.Worker); earlier == c.met {
					t.Errorf("after ending %d: %+v, expected the earlier build: %v", c.ending, r, !c.met)
				}
			}
			b.sentry.trialSlots = 0
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
		b := newTrialHarness(1, 0)
		b.sentry.config.MayHedge, b.sentry.config.MayCancel, b.sentry.config.MaxHandOffs = false, true, 3
		b.sentry.retryBudget = 2
		b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: "lost", Profile: c.profile, Key: "k", Account: NoAccount, Deadline: b.now + 2*second}))
		cancelled, again, shunned, lost := false, false, false, 0
		for n := range 80 {
			b.now += 20_000
			id := TransactionID(fmt.Sprint("later", n))
			if n < c.later {
				b.sentry.TransactionArrived(b.now, Transaction{ID: id, Key: "k", Account: NoAccount, Deadline: b.now + 2*second})
				b.sentry.HandOffEnded(b.now+10_000, HandOffEnd{Transaction: id, Worker: "e0", Duration: 10_000, TransactionClosed: true, Load: NoLoad})
			}
			for b.record(b.sentry.Wake(b.now + 10_000)); len(b.lastResult.Actions) > 0; {
				x := b.lastResult.Actions[0]
				b.lastResult.Actions = b.lastResult.Actions[1:]
				switch {
				case x.Kind == CancelHandOff && x.Transaction == "lost":
					cancelled = true
					b.record(b.sentry.HandOffEnded(b.now+10_000, HandOffEnd{Transaction: "lost", Worker: "e0", Ending: Cancelled, Load: NoLoad}))
				case x.Kind == HandOff:
					again = x.Transaction == "lost"
				default:
					t.Fatalf("ruled %+v", x)
				}
			}
			shunned, lost = shunned || b.sentry.ejectedUntil[0] > b.now, max(lost, b.sentry.lostHandOffs)
		}
		if cancelled != c.again || again != c.again || shunned != (c.later < laterAnswersIfLost) || c.profile == 1 && lost == 0 ||
			c.later < laterAnswersIfLost && lost > 0 {
			t.Errorf("profile %d, %d later: cancelled %v, handed off again %v, left out %v, %d lost", c.profile, c.later, cancelled,
				again, shunned, lost)
		}
	}
}

// A build that goes back serves on within its cap while no earlier worker is ready, and no longer.
func TestRollBackWithoutEarlierWorkers(t *testing.T) {
	b := newTrialHarness(2, 4)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: Released, Cap: 1})
	b.record(b.sentry.ListReceived(b.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: Gone}, {ID: "e1", Build: 10, Size: 1, State: Gone}}))
	for _, c := range []struct {
		cap   float64
		at    string // where the earlier build is again
		trial bool
	}{{1, "", true}, {1, "e0", false}, {0, "", false}} {
		b.now += 10 * second
		b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: RollingBack, Cap: c.cap})
		state := Gone
		if c.at != "" {
			state = Ready
		}
		b.record(b.sentry.ListReceived(b.now, ListDelta, []Worker{{ID: "e0", Build: 10, Size: 1, State: state}}))
		met := 0
		b.serveTransactions(50, func(w WorkerID, _ int) (Ending, Micros) { met += int(oneIf(isTrialWorker(w))); return Answered, 50_000 })
		if met > 0 != c.trial {
			t.Errorf("cap %v, earlier worker %q: %d to the build that goes back", c.cap, c.at, met)
		}
	}
}

// While the news of a release is still to come and the earlier build has gone, the trial's workers make the room.
func TestConcurrencyLimitWithoutEarlierWorkers(t *testing.T) {
	b := newTrialHarness(10, 10)
	b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Phase: OnTrial, Cap: 1})
	b.now += 10 * second
	b.serveTransactions(300, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	b.sentry.concurrencyLimit = 30
	var gone []Worker
	for i := range 10 {
		gone = append(gone, Worker{ID: WorkerID(fmt.Sprint("e", i)), Build: 10, Size: 1, State: Draining})
	}
	b.record(b.sentry.ListReceived(b.now, ListDelta, gone))
	b.serveTransactions(50, func(WorkerID, int) (Ending, Micros) { return Answered, 50_000 })
	if b.sentry.concurrencyLimit < 20 {
		t.Errorf("room for %.1f, expected that of ten workers", b.sentry.concurrencyLimit)
	}
}
