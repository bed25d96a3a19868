package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// leased is a process with one server, whose clock starts at the list.
type leasedStand struct {
	t     *testing.T
	s     *Sentry
	start Micros
	now   Micros
	n     int
}

const testGrace = 2 * second

// newLeased has the server s-1 listed at its start.
func newLeased(t *testing.T, change func(*StandingOrders)) *leasedStand {
	o := newStand(1, 0).s.orders
	o.NoticeWithin, o.DrainGrace, o.AskForList, o.AskWithin = 6*second, testGrace, true, 10*second
	o.MayCopy, o.WarmUp = false, 0
	if change != nil {
		change(&o)
	}
	l := &leasedStand{t: t, s: New(o, 1), start: 1000 * second}
	l.now = l.start
	l.list(ListWhole)
	l.s.Told(l.now, News{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return l
}

func (l *leasedStand) list(kind ListKind) {
	l.s.Listed(l.now, kind, []Worker{{ID: "s-1", Build: 10, Size: 1}})
}

func (l *leasedStand) at(after Micros) *leasedStand { l.now = l.start + after; return l }

// arrive has a request come and gives the attempt that is made for it at once, nil if there is none.
func (l *leasedStand) arrive() *Ruling {
	l.n++
	r := l.s.Arrive(l.now, Transaction{ID: TransactionID(fmt.Sprint(l.n)), Account: NoAccount, Limit: l.now + 2*second})
	for i := range r.Rulings {
		if r.Rulings[i].Kind == HandOff {
			return &r.Rulings[i]
		}
	}
	return nil
}

// serve has a request come and its attempt end, over a connection that had come up some time after the start.
func (l *leasedStand) serve(opened Micros, ending Ending) {
	l.t.Helper()
	r := l.arrive()
	if r == nil {
		l.t.Fatalf("no attempt at %v", l.now-l.start)
	}
	l.s.HandOffEnded(l.now, HandOffEnd{Transaction: r.Transaction, Worker: "s-1", Ending: ending, Closed: ending == Answered, Load: NoLoad,
		Opened: l.start + opened})
}

// lasts wants attempts up to a time after the start, and none after it.
func (l *leasedStand) lasts(until Micros) {
	l.t.Helper()
	if by := l.s.sendBy(0); by != l.start+until {
		l.t.Errorf("attempts may be written up to %v after the start, expected %v", by-l.start, until)
	}
	if r := l.at(until).arrive(); r == nil || r.SendBy != l.start+until {
		l.t.Errorf("at %v: attempt %+v, expected one with that limit", until, r)
	} else {
		l.s.HandOffEnded(l.now, HandOffEnd{Transaction: r.Transaction, Worker: "s-1", Ending: Unsent, Closed: true, Load: NoLoad})
	}
	if r := l.at(until + 1).arrive(); r != nil {
		l.t.Errorf("after %v: attempt %+v, expected none", until, r)
	}
}

const (
	leaseSpan  = 6*second + testGrace - leaseMargin
	answerSpan = leaseSpan - drainingTakes // of an answer
)

func TestLeaseOfAList(t *testing.T) {
	l := newLeased(t, nil)
	l.at(second).s.AskFailed(l.now, true)
	l.lasts(leaseSpan)
	r := l.s.Listed(l.now, ListChanges, []Worker{{ID: "s-1", Build: 10, Size: 1}}) // what is held goes out
	if len(r.Rulings) != 1 || r.Rulings[0].Kind != HandOff {
		t.Errorf("rulings %v at a list, expected an attempt for what was held", r.Rulings)
	}
}

// A request that no server may get is answered, once it can't be expected to be served in time.
func TestLeaseOverAnswersRequests(t *testing.T) {
	l := newLeased(t, nil)
	l.at(leaseSpan + 1).arrive()
	for range 200 {
		l.now += 10_000
		for _, r := range l.s.Wake(l.now).Rulings {
			if r.Kind != Defer || r.ComeBack == 0 {
				t.Errorf("ruling %+v, expected a refusal with a time to come back", r)
			}
			return
		}
	}
	t.Error("a request was not answered in 2 s")
}

func TestLeaseWithoutNotice(t *testing.T) {
	l := newLeased(t, func(o *StandingOrders) { o.NoticeWithin = 0 })
	l.s.AskFailed(l.now, true)
	if r := l.at(1000 * second).arrive(); r == nil || r.SendBy != 0 {
		t.Errorf("attempt %+v, expected one with no limit", r)
	}
}

func TestLeaseOfARememberedList(t *testing.T) {
	l := newLeased(t, nil)
	l.s = New(l.s.orders, 1)
	l.list(ListRemembered)
	l.s.Told(l.now, News{Valid: true, Build: 10, Phase: Released, Cap: 1})
	l.lasts(testGrace - leaseMargin)
}

// A server renews its own lease by answers of the process that was listed, and by no others.
func TestLeaseByAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(l *leasedStand)
		until Micros
	}{
		"a connection from before the list": {func(l *leasedStand) { l.at(5*second).serve(-second, Answered) }, 5*second + answerSpan},
		"one opened later":                  {func(l *leasedStand) { l.at(5*second).serve(2*second, Answered) }, leaseSpan},
		"one opened later, vouched for by one from before": {func(l *leasedStand) {
			l.at(3*second).serve(-second, Answered)
			l.at(5*second).serve(2*second, Answered)
		}, 5*second + answerSpan},
		"one opened after a break": {func(l *leasedStand) {
			l.at(2*second).serve(-second, Answered)
			l.at(3*second).serve(0, Broken)
			l.s.shunned[0] = 0
			l.at(5*second).serve(4*second, Answered)
		}, leaseSpan},
		"one from before a break of another": {func(l *leasedStand) {
			l.at(2*second).serve(-second, Answered)
			l.at(3*second).serve(0, Broken)
			l.s.shunned[0] = 0
			l.at(5*second).serve(second, Answered)
		}, 5*second + answerSpan},
		"an error":      {func(l *leasedStand) { l.at(5*second).serve(0, Errored) }, leaseSpan},
		"a turned away": {func(l *leasedStand) { l.at(5*second).serve(0, TurnedAway) }, leaseSpan},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeased(t, nil)
			l.s.AskFailed(l.now, true)
			c.do(l)
			if by := l.s.sendBy(0); by != l.start+c.until {
				t.Errorf("lease until %v, expected %v", by-l.start, c.until)
			}
		})
	}
}

// A server that comes back as another life begins without what the earlier one had earned.
func TestLeaseOfAnotherLife(t *testing.T) {
	l := newLeased(t, nil)
	l.at(5*second).serve(0, Answered)
	l.now = l.start + 5*second
	l.s.Listed(l.now, ListChanges, []Worker{{ID: "s-1", Build: 11, Size: 1}})
	if a := l.s.serverLeases[0].answered; a != 0 {
		t.Errorf("an answer at %v counts for another build", a-l.start)
	}
}

// What has begun to come counts as told, and what a move of discovery leaves untold counts at a set time.
func TestLeaseInDoubt(t *testing.T) {
	l := newLeased(t, nil)
	l.at(second).s.ListUnsure(l.now, l.start+second)
	l.s.ListUnsure(l.now, l.start+3*second) // a later doubt doesn't put off the earlier one
	l.lasts(second + testGrace - leaseMargin)

	l = newLeased(t, nil)
	l.at(6*second).serve(0, Answered) // it had not begun to drain at 2 s
	l.s.ListUnsure(l.now, l.start+second)
	l.lasts(6*second + answerSpan)

	l = newLeased(t, nil)
	l.at(second).s.ListUnsure(l.now, l.start+second)
	l.list(ListChanges)
	l.lasts(second + leaseSpan)
}

// Where lists are pushed, what discovery has counts as told at once while no watch stands.
func TestLeaseOfAPushedList(t *testing.T) {
	l := newLeased(t, func(o *StandingOrders) { o.AskForList = false })
	l.at(3*second).s.AskFailed(l.now, false)
	l.at(4*second).s.AskFailed(l.now, false)
	l.lasts(3*second + testGrace - leaseMargin)

	l = newLeased(t, func(o *StandingOrders) { o.AskForList = false })
	l.at(2*second).s.ListUnsure(l.now, l.now) // begun to come, and then broken off
	l.at(3*second).s.AskFailed(l.now, false)
	l.lasts(2*second + testGrace - leaseMargin)
	l.list(ListChanges)
	l.lasts(l.now - l.start + leaseSpan)
}

// Waits double from failure to failure, sooner where discovery is busy, up to a bound, each spread over half to three halves
// of its length, and begin anew after an answer.
func TestWaitsBetweenCalls(t *testing.T) {
	for busy, least := range map[bool]Micros{false: firstRetry, true: firstBusyRetry} {
		l := newLeased(t, nil)
		for round := range 2 {
			for wait := least; wait <= 4*mostRetry; wait *= 2 {
				usual := min(wait, mostRetry)
				l.s.AskFailed(l.now, busy)
				if got := l.s.askAt - l.now; got < usual/2 || got > usual*3/2 {
					t.Errorf("round %d, busy %v: waits %v, expected about %v", round, busy, got, usual)
				}
				l.now = l.s.askAt
			}
			l.list(ListWhole)
		}
	}
	shortest, longest := mostRetry, Micros(0)
	for seed := range 200 {
		s := New(newLeased(t, nil).s.orders, int64(seed))
		s.AskFailed(second, true)
		shortest, longest = min(shortest, s.askAt-second), max(longest, s.askAt-second)
	}
	if shortest > firstBusyRetry*6/10 || longest < firstBusyRetry*14/10 {
		t.Errorf("processes wait %v to %v, expected them spread", shortest, longest)
	}
}

// A process that loses discovery for 40 s goes on serving by servers that answer it, at any rate of requests.
func TestServiceThroughALongOutage(t *testing.T) {
	const lost, end = 10 * second, 50 * second
	// At 2 a second a pause may be longer than the lease of an answer.
	for perSecond, least := range map[float64]float64{2: 0.9, 7: 0.97, 20: 0.97} {
		o := newLeased(t, nil).s.orders
		o.Sentries, o.MostHandOffs = 100, 3
		f := &outageFleet{s: New(o, 3), chance: rand.New(rand.NewSource(1)), now: 1000 * second, opened: map[WorkerID]Micros{}}
		start := f.now
		var list []Worker
		for i := range 60 {
			list = append(list, Worker{ID: WorkerID(fmt.Sprint("s-", i)), Build: 10, Size: 1})
		}
		f.take(f.s.Listed(f.now, ListWhole, list))
		f.take(f.s.Told(f.now, News{Valid: true, Build: 10, Phase: Released, Cap: 1}))
		for next := f.now; f.now < start+end; f.now += millisecond {
			if f.now < start+lost && f.now%(2*second) == 0 {
				f.take(f.s.Listed(f.now, ListChanges, nil)) // a sign of life
			}
			if f.now >= next {
				f.arrive()
				next = f.now + Micros(f.chance.ExpFloat64()/perSecond*float64(second))
			}
			f.step()
		}
		if share := float64(f.served) / float64(f.came); share < least {
			t.Errorf("at %v requests a second: %.3f of %d served, expected %v at the least", perSecond, share, f.came, least)
		}
	}
}

// outageFleet answers each attempt some time after it was made, over one connection to each server.
type outageFleet struct {
	s            *Sentry
	chance       *rand.Rand
	now          Micros
	opened       map[WorkerID]Micros
	out          []outageAttempt
	came, served int
}

type outageAttempt struct {
	ends Micros
	made Ruling
}

func (f *outageFleet) arrive() {
	f.came++
	f.take(f.s.Arrive(f.now, Transaction{ID: TransactionID(fmt.Sprint(f.came)), Account: NoAccount, Limit: f.now + 2*second}))
}

func (f *outageFleet) take(r Result) {
	for _, x := range r.Rulings {
		if x.Kind != HandOff {
			continue
		}
		if _, open := f.opened[x.Worker]; !open {
			f.opened[x.Worker] = f.now
		}
		f.out = append(f.out, outageAttempt{f.now + 60*millisecond + Micros(f.chance.Intn(60_000)), x})
	}
}

// step ends the attempts whose time has come.
func (f *outageFleet) step() {
	due := f.out
	f.out = nil
	for _, a := range due {
		if a.ends > f.now {
			f.out = append(f.out, a)
			continue
		}
		f.served++
		f.take(f.s.HandOffEnded(f.now, HandOffEnd{Transaction: a.made.Transaction, Worker: a.made.Worker, Ending: Answered, Closed: true,
			Load: NoLoad, Opened: f.opened[a.made.Worker], Took: 80 * millisecond}))
	}
	f.take(f.s.Wake(f.now))
}
