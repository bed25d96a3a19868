package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// leased is a process with one server, whose clock starts at the list.
type leaseHarness struct {
	t                *testing.T
	sentry           *Sentry
	start            Micros
	now              Micros
	transactionCount int
}

const testDrainGrace = 2 * second

// newLeased has the server s-1 listed at its start.
func newLeaseHarness(t *testing.T, change func(*Config)) *leaseHarness {
	o := newTrialHarness(1, 0).sentry.config
	o.ListChangeDelay, o.DrainGrace, o.ListOnRequest, o.MaxListAge = 6*second, testDrainGrace, true, 10*second
	o.MayHedge, o.WarmUp = false, 0
	if change != nil {
		change(&o)
	}
	l := &leaseHarness{t: t, sentry: New(o, 1), start: 1000 * second}
	l.now = l.start
	l.receiveList(FullList)
	l.sentry.ReleaseUpdated(l.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return l
}

func (l *leaseHarness) receiveList(kind ListKind) {
	l.sentry.ListReceived(l.now, kind, []Worker{{ID: "s-1", Build: 10, Size: 1}})
}

func (l *leaseHarness) setTime(after Micros) *leaseHarness { l.now = l.start + after; return l }

// arrive has a request come and gives the attempt that is made for it at once, nil if there is none.
func (l *leaseHarness) arrive() *Action {
	l.transactionCount++
	r := l.sentry.TransactionArrived(l.now, Transaction{ID: TransactionID(fmt.Sprint(l.transactionCount)), Account: NoAccount, Deadline: l.now + 2*second})
	for i := range r.Actions {
		if r.Actions[i].Kind == HandOff {
			return &r.Actions[i]
		}
	}
	return nil
}

// serve has a request come and its attempt end, over a connection that had come up some time after the start.
func (l *leaseHarness) serveTransaction(opened Micros, ending Ending) {
	l.t.Helper()
	r := l.arrive()
	if r == nil {
		l.t.Fatalf("no attempt at %v", l.now-l.start)
	}
	l.sentry.HandOffEnded(l.now, HandOffEnd{Transaction: r.Transaction, Worker: "s-1", Ending: ending, TransactionClosed: ending == Answered, Load: NoLoad,
		ConnectionOpened: l.start + opened})
}

// lasts wants attempts up to a time after the start, and none after it.
func (l *leaseHarness) expectLeaseUntil(until Micros) {
	l.t.Helper()
	if by := l.sentry.sendBy(0); by != l.start+until {
		l.t.Errorf("attempts may be written up to %v after the start, expected %v", by-l.start, until)
	}
	if r := l.setTime(until).arrive(); r == nil || r.SendBy != l.start+until {
		l.t.Errorf("at %v: attempt %+v, expected one with that limit", until, r)
	} else {
		l.sentry.HandOffEnded(l.now, HandOffEnd{Transaction: r.Transaction, Worker: "s-1", Ending: Unsent, TransactionClosed: true, Load: NoLoad})
	}
	if r := l.setTime(until + 1).arrive(); r != nil {
		l.t.Errorf("after %v: attempt %+v, expected none", until, r)
	}
}

const (
	listLeaseDuration   = 6*second + testDrainGrace - leaseMargin
	answerLeaseDuration = listLeaseDuration - maxAcceptWhileDraining // of an answer
)

func TestLeaseOfAList(t *testing.T) {
	l := newLeaseHarness(t, nil)
	l.setTime(second).sentry.ListRequestFailed(l.now, true)
	l.expectLeaseUntil(listLeaseDuration)
	r := l.sentry.ListReceived(l.now, ListDelta, []Worker{{ID: "s-1", Build: 10, Size: 1}}) // what is held goes out
	if len(r.Actions) != 1 || r.Actions[0].Kind != HandOff {
		t.Errorf("rulings %v at a list, expected an attempt for what was held", r.Actions)
	}
}

// A request that no server may get is answered, once it can't be expected to be served in time.
func TestLeaseOverAnswersRequests(t *testing.T) {
	l := newLeaseHarness(t, nil)
	l.setTime(listLeaseDuration + 1).arrive()
	for range 200 {
		l.now += 10_000
		for _, r := range l.sentry.Wake(l.now).Actions {
			if r.Kind != Defer || r.RetryAfter == 0 {
				t.Errorf("ruling %+v, expected a refusal with a time to come back", r)
			}
			return
		}
	}
	t.Error("a request was not answered in 2 s")
}

func TestLeaseWithoutListChangeDelay(t *testing.T) {
	l := newLeaseHarness(t, func(o *Config) { o.ListChangeDelay = 0 })
	l.sentry.ListRequestFailed(l.now, true)
	if r := l.setTime(1000 * second).arrive(); r == nil || r.SendBy != 0 {
		t.Errorf("attempt %+v, expected one with no limit", r)
	}
}

func TestLeaseOfCachedList(t *testing.T) {
	l := newLeaseHarness(t, nil)
	l.sentry = New(l.sentry.config, 1)
	l.receiveList(CachedList)
	l.sentry.ReleaseUpdated(l.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	l.expectLeaseUntil(testDrainGrace - leaseMargin)
}

// A server renews its own lease by answers of the process that was listed, and by no others.
func TestLeaseByAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(l *leaseHarness)
		until Micros
	}{
		"a connection from before the list": {func(l *leaseHarness) { l.setTime(5*second).serveTransaction(-second, Answered) }, 5*second + answerLeaseDuration},
		"one opened later":                  {func(l *leaseHarness) { l.setTime(5*second).serveTransaction(2*second, Answered) }, listLeaseDuration},
		"one opened later, vouched for by one from before": {func(l *leaseHarness) {
			l.setTime(3*second).serveTransaction(-second, Answered)
			l.setTime(5*second).serveTransaction(2*second, Answered)
		}, 5*second + answerLeaseDuration},
		"one opened after a break": {func(l *leaseHarness) {
			l.setTime(2*second).serveTransaction(-second, Answered)
			l.setTime(3*second).serveTransaction(0, Broken)
			l.sentry.ejectedUntil[0] = 0
			l.setTime(5*second).serveTransaction(4*second, Answered)
		}, listLeaseDuration},
		"one from before a break of another": {func(l *leaseHarness) {
			l.setTime(2*second).serveTransaction(-second, Answered)
			l.setTime(3*second).serveTransaction(0, Broken)
			l.sentry.ejectedUntil[0] = 0
			l.setTime(5*second).serveTransaction(second, Answered)
		}, 5*second + answerLeaseDuration},
		"an error":      {func(l *leaseHarness) { l.setTime(5*second).serveTransaction(0, Errored) }, listLeaseDuration},
		"a turned away": {func(l *leaseHarness) { l.setTime(5*second).serveTransaction(0, TurnedAway) }, listLeaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaseHarness(t, nil)
			l.sentry.ListRequestFailed(l.now, true)
			c.do(l)
			if by := l.sentry.sendBy(0); by != l.start+c.until {
				t.Errorf("lease until %v, expected %v", by-l.start, c.until)
			}
		})
	}
}

// A server that comes back as another life begins without what the earlier one had earned.
func TestLeaseAfterWorkerRestart(t *testing.T) {
	l := newLeaseHarness(t, nil)
	l.setTime(5*second).serveTransaction(0, Answered)
	l.now = l.start + 5*second
	l.sentry.ListReceived(l.now, ListDelta, []Worker{{ID: "s-1", Build: 11, Size: 1}})
	if a := l.sentry.workerLeases[0].sentAt; a != 0 {
		t.Errorf("an answer at %v counts for another build", a-l.start)
	}
}

// What has begun to come counts as told, and what a move of discovery leaves untold counts at a set time.
func TestLeaseOfPossiblyStaleList(t *testing.T) {
	l := newLeaseHarness(t, nil)
	l.setTime(second).sentry.ListMayBeStale(l.now, l.start+second)
	l.sentry.ListMayBeStale(l.now, l.start+3*second) // a later doubt doesn't put off the earlier one
	l.expectLeaseUntil(second + testDrainGrace - leaseMargin)

	l = newLeaseHarness(t, nil)
	l.setTime(6*second).serveTransaction(0, Answered) // it had not begun to drain at 2 s
	l.sentry.ListMayBeStale(l.now, l.start+second)
	l.expectLeaseUntil(6*second + answerLeaseDuration)

	l = newLeaseHarness(t, nil)
	l.setTime(second).sentry.ListMayBeStale(l.now, l.start+second)
	l.receiveList(ListDelta)
	l.expectLeaseUntil(second + listLeaseDuration)
}

// Where lists are pushed, what discovery has counts as told at once while no watch stands.
func TestLeaseOfAPushedList(t *testing.T) {
	l := newLeaseHarness(t, func(o *Config) { o.ListOnRequest = false })
	l.setTime(3*second).sentry.ListRequestFailed(l.now, false)
	l.setTime(4*second).sentry.ListRequestFailed(l.now, false)
	l.expectLeaseUntil(3*second + testDrainGrace - leaseMargin)

	l = newLeaseHarness(t, func(o *Config) { o.ListOnRequest = false })
	l.setTime(2*second).sentry.ListMayBeStale(l.now, l.now) // begun to come, and then broken off
	l.setTime(3*second).sentry.ListRequestFailed(l.now, false)
	l.expectLeaseUntil(2*second + testDrainGrace - leaseMargin)
	l.receiveList(ListDelta)
	l.expectLeaseUntil(l.now - l.start + listLeaseDuration)
}

// Waits double from failure to failure, sooner where discovery is busy, up to a bound, each spread over half to three halves
// of its length, and begin anew after an answer.
func TestListRequestBackoff(t *testing.T) {
	for busy, least := range map[bool]Micros{false: initialRetryDelay, true: initialBusyRetryDelay} {
		l := newLeaseHarness(t, nil)
		for round := range 2 {
			for wait := least; wait <= 4*maxRetryDelay; wait *= 2 {
				usual := min(wait, maxRetryDelay)
				l.sentry.ListRequestFailed(l.now, busy)
				if got := l.sentry.nextListRequestAt - l.now; got < usual/2 || got > usual*3/2 {
					t.Errorf("round %d, busy %v: waits %v, expected about %v", round, busy, got, usual)
				}
				l.now = l.sentry.nextListRequestAt
			}
			l.receiveList(FullList)
		}
	}
	shortest, longest := maxRetryDelay, Micros(0)
	for seed := range 200 {
		s := New(newLeaseHarness(t, nil).sentry.config, int64(seed))
		s.ListRequestFailed(second, true)
		shortest, longest = min(shortest, s.nextListRequestAt-second), max(longest, s.nextListRequestAt-second)
	}
	if shortest > initialBusyRetryDelay*6/10 || longest < initialBusyRetryDelay*14/10 {
		t.Errorf("processes wait %v to %v, expected them spread", shortest, longest)
	}
}

// A process that loses discovery for 40 s goes on serving by servers that answer it, at any rate of requests.
func TestServiceThroughALongOutage(t *testing.T) {
	const lost, end = 10 * second, 50 * second
	// At 2 a second a pause may be longer than the lease of an answer.
	for perSecond, least := range map[float64]float64{2: 0.9, 7: 0.97, 20: 0.97} {
		o := newLeaseHarness(t, nil).sentry.config
		o.Sentries, o.MaxHandOffs = 100, 3
		f := &outageSimulation{sentry: New(o, 3), random: rand.New(rand.NewSource(1)), now: 1000 * second, connectionOpened: map[WorkerID]Micros{}}
		start := f.now
		var list []Worker
		for i := range 60 {
			list = append(list, Worker{ID: WorkerID(fmt.Sprint("s-", i)), Build: 10, Size: 1})
		}
		f.carryOut(f.sentry.ListReceived(f.now, FullList, list))
		f.carryOut(f.sentry.ReleaseUpdated(f.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1}))
		for next := f.now; f.now < start+end; f.now += millisecond {
			if f.now < start+lost && f.now%(2*second) == 0 {
				f.carryOut(f.sentry.ListReceived(f.now, ListDelta, nil)) // a sign of life
			}
			if f.now >= next {
				f.arrive()
				next = f.now + Micros(f.random.ExpFloat64()/perSecond*float64(second))
			}
			f.endDueHandOffs()
		}
		if share := float64(f.served) / float64(f.arrived); share < least {
			t.Errorf("at %v requests a second: %.3f of %d served, expected %v at the least", perSecond, share, f.arrived, least)
		}
	}
}

// outageFleet answers each attempt some time after it was made, over one connection to each server.
type outageSimulation struct {
	sentry           *Sentry
	random           *rand.Rand
	now              Micros
	connectionOpened map[WorkerID]Micros
	openHandOffs     []outageHandOff
	arrived, served  int
}

type outageHandOff struct {
	endsAt Micros
	action Action
}

func (f *outageSimulation) arrive() {
	f.arrived++
	f.carryOut(f.sentry.TransactionArrived(f.now, Transaction{ID: TransactionID(fmt.Sprint(f.arrived)), Account: NoAccount, Deadline: f.now + 2*second}))
}

func (f *outageSimulation) carryOut(r Result) {
	for _, x := range r.Actions {
		if x.Kind != HandOff {
			continue
		}
		if _, open := f.connectionOpened[x.Worker]; !open {
			f.connectionOpened[x.Worker] = f.now
		}
		f.openHandOffs = append(f.openHandOffs, outageHandOff{f.now + 60*millisecond + Micros(f.random.Intn(60_000)), x})
	}
}

// step ends the attempts whose time has come.
func (f *outageSimulation) endDueHandOffs() {
	due := f.openHandOffs
	f.openHandOffs = nil
	for _, a := range due {
		if a.endsAt > f.now {
			f.openHandOffs = append(f.openHandOffs, a)
			continue
		}
		f.served++
		f.carryOut(f.sentry.HandOffEnded(f.now, HandOffEnd{Transaction: a.action.Transaction, Worker: a.action.Worker, Ending: Answered, TransactionClosed: true,
			Load: NoLoad, ConnectionOpened: f.connectionOpened[a.action.Worker], Duration: 80 * millisecond}))
	}
	f.carryOut(f.sentry.Wake(f.now))
}
