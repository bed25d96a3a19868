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
	config := newTrialHarness(1, 0).sentry.config
	config.ListChangeDelay, config.DrainGrace, config.ListOnRequest, config.MaxListAge = 6*second, testDrainGrace, true, 10*second
	config.MayHedge, config.WarmUp = false, 0
	if change != nil {
		change(&config)
	}
	h := &leaseHarness{t: t, sentry: New(config, 1), start: 1000 * second}
	h.now = h.start
	h.receiveList(FullList)
	h.sentry.ReleaseUpdated(h.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return h
}

func (h *leaseHarness) receiveList(kind ListKind) {
	h.sentry.ListReceived(h.now, kind, []Worker{{ID: "s-1", Build: 10, Size: 1}})
}

func (h *leaseHarness) setTime(after Micros) *leaseHarness { h.now = h.start + after; return h }

// arrive has a request come and gives the attempt that is made for it at once, nil if there is none.
func (h *leaseHarness) arrive() *Action {
	h.transactionCount++
	result := h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(fmt.Sprint(h.transactionCount)), Account: NoAccount, Deadline: h.now + 2*second})
	for i := range result.Actions {
		if result.Actions[i].Kind == HandOff {
			return &result.Actions[i]
		}
	}
	return nil
}

// serve has a request come and its attempt end, over a connection that had come up some time after the start.
func (h *leaseHarness) serveTransaction(opened Micros, ending Ending) {
	h.t.Helper()
	handOff := h.arrive()
	if handOff == nil {
		h.t.Fatalf("no attempt at %v", h.now-h.start)
	}
	h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: handOff.Transaction, Worker: "s-1", Ending: ending, TransactionClosed: ending == Answered, Load: NoLoad,
		ConnectionOpened: h.start + opened})
}

// lasts wants attempts up to a time after the start, and none after it.
func (h *leaseHarness) expectLeaseUntil(until Micros) {
	h.t.Helper()
	if sendBy := h.sentry.sendBy(0); sendBy != h.start+until {
		h.t.Errorf("attempts may be written up to %v after the start, expected %v", sendBy-h.start, until)
	}
	if handOff := h.setTime(until).arrive(); handOff == nil || handOff.SendBy != h.start+until {
		h.t.Errorf("at %v: attempt %+v, expected one with that limit", until, handOff)
	} else {
		h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: handOff.Transaction, Worker: "s-1", Ending: Unsent, TransactionClosed: true, Load: NoLoad})
	}
	if handOff := h.setTime(until + 1).arrive(); handOff != nil {
		h.t.Errorf("after %v: attempt %+v, expected none", until, handOff)
	}
}

const (
	listLeaseDuration   = 6*second + testDrainGrace - leaseMargin
	answerLeaseDuration = listLeaseDuration - maxAcceptWhileDraining // of an answer
)

func TestLeaseOfAList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListRequestFailed(h.now, true)
	h.expectLeaseUntil(listLeaseDuration)
	result := h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "s-1", Build: 10, Size: 1}}) // what is held goes out
	if len(result.Actions) != 1 || result.Actions[0].Kind != HandOff {
		t.Errorf("rulings %v at a list, expected an attempt for what was held", result.Actions)
	}
}

// A request that no server may get is answered, once it can't be expected to be served in time.
func TestLeaseOverAnswersRequests(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(listLeaseDuration + 1).arrive()
	for range 200 {
		h.now += 10_000
		for _, action := range h.sentry.Wake(h.now).Actions {
			if action.Kind != Defer || action.RetryAfter == 0 {
				t.Errorf("ruling %+v, expected a refusal with a time to come back", action)
			}
			return
		}
	}
	t.Error("a request was not answered in 2 s")
}

func TestLeaseWithoutListChangeDelay(t *testing.T) {
	h := newLeaseHarness(t, func(config *Config) { config.ListChangeDelay = 0 })
	h.sentry.ListRequestFailed(h.now, true)
	if handOff := h.setTime(1000 * second).arrive(); handOff == nil || handOff.SendBy != 0 {
		t.Errorf("attempt %+v, expected one with no limit", handOff)
	}
}

func TestLeaseOfCachedList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.sentry = New(h.sentry.config, 1)
	h.receiveList(CachedList)
	h.sentry.ReleaseUpdated(h.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	h.expectLeaseUntil(testDrainGrace - leaseMargin)
}

// A server renews its own lease by answers of the process that was listed, and by no others.
func TestLeaseByAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(h *leaseHarness)
		until Micros
	}{
		"a connection from before the list": {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(-second, Answered) }, 5*second + answerLeaseDuration},
		"one opened later":                  {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(2*second, Answered) }, listLeaseDuration},
		"one opened later, vouched for by one from before": {func(h *leaseHarness) {
			h.setTime(3*second).serveTransaction(-second, Answered)
			h.setTime(5*second).serveTransaction(2*second, Answered)
		}, 5*second + answerLeaseDuration},
		"one opened after a break": {func(h *leaseHarness) {
			h.setTime(2*second).serveTransaction(-second, Answered)
			h.setTime(3*second).serveTransaction(0, Broken)
			h.sentry.ejectedUntil[0] = 0
			h.setTime(5*second).serveTransaction(4*second, Answered)
		}, listLeaseDuration},
		"one from before a break of another": {func(h *leaseHarness) {
			h.setTime(2*second).serveTransaction(-second, Answered)
			h.setTime(3*second).serveTransaction(0, Broken)
			h.sentry.ejectedUntil[0] = 0
			h.setTime(5*second).serveTransaction(second, Answered)
		}, 5*second + answerLeaseDuration},
		"an error":      {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(0, Errored) }, listLeaseDuration},
		"a turned away": {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(0, TurnedAway) }, listLeaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.sentry.ListRequestFailed(h.now, true)
			c.do(h)
			if sendBy := h.sentry.sendBy(0); sendBy != h.start+c.until {
				t.Errorf("lease until %v, expected %v", sendBy-h.start, c.until)
			}
		})
	}
}

// A server that comes back as another life begins without what the earlier one had earned.
func TestLeaseAfterWorkerRestart(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(5*second).serveTransaction(0, Answered)
	h.now = h.start + 5*second
	h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "s-1", Build: 11, Size: 1}})
	if sentAt := h.sentry.workerLeases[0].sentAt; sentAt != 0 {
		t.Errorf("an answer at %v counts for another build", sentAt-h.start)
	}
}

// What has begun to come counts as told, and what a move of discovery leaves untold counts at a set time.
func TestLeaseOfPossiblyStaleList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListMayBeStale(h.now, h.start+second)
	h.sentry.ListMayBeStale(h.now, h.start+3*second) // a later doubt doesn't put off the earlier one
	h.expectLeaseUntil(second + testDrainGrace - leaseMargin)

	h = newLeaseHarness(t, nil)
	h.setTime(6*second).serveTransaction(0, Answered) // it had not begun to drain at 2 s
	h.sentry.ListMayBeStale(h.now, h.start+second)
	h.expectLeaseUntil(6*second + answerLeaseDuration)

	h = newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListMayBeStale(h.now, h.start+second)
	h.receiveList(ListDelta)
	h.expectLeaseUntil(second + listLeaseDuration)
}

// Where lists are pushed, what discovery has counts as told at once while no watch stands.
func TestLeaseOfAPushedList(t *testing.T) {
	h := newLeaseHarness(t, func(config *Config) { config.ListOnRequest = false })
	h.setTime(3*second).sentry.ListRequestFailed(h.now, false)
	h.setTime(4*second).sentry.ListRequestFailed(h.now, false)
	h.expectLeaseUntil(3*second + testDrainGrace - leaseMargin)

	h = newLeaseHarness(t, func(config *Config) { config.ListOnRequest = false })
	h.setTime(2*second).sentry.ListMayBeStale(h.now, h.now) // begun to come, and then broken off
	h.setTime(3*second).sentry.ListRequestFailed(h.now, false)
	h.expectLeaseUntil(2*second + testDrainGrace - leaseMargin)
	h.receiveList(ListDelta)
	h.expectLeaseUntil(h.now - h.start + listLeaseDuration)
}

// Waits double from failure to failure, sooner where discovery is busy, up to a bound, each spread over half to three
// halves of its length, and begin anew after an answer.
func TestListRequestBackoff(t *testing.T) {
	for busy, initialDelay := range map[bool]Micros{false: initialRetryDelay, true: initialBusyRetryDelay} {
		h := newLeaseHarness(t, nil)
		for round := range 2 {
			for delay := initialDelay; delay <= 4*maxRetryDelay; delay *= 2 {
				meanDelay := min(delay, maxRetryDelay)
				h.sentry.ListRequestFailed(h.now, busy)
				if got := h.sentry.nextListRequestAt - h.now; got < meanDelay/2 || got > meanDelay*3/2 {
					t.Errorf("round %d, busy %v: waits %v, expected about %v", round, busy, got, meanDelay)
				}
				h.now = h.sentry.nextListRequestAt
			}
			h.receiveList(FullList)
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
	const lossAt, endAt = 10 * second, 50 * second
	// At 2 a second a pause may be longer than the lease of an answer.
	for perSecond, minShare := range map[float64]float64{2: 0.9, 7: 0.97, 20: 0.97} {
		config := newLeaseHarness(t, nil).sentry.config
		config.Sentries, config.MaxHandOffs = 100, 3
		sim := &outageSimulation{sentry: New(config, 3), random: rand.New(rand.NewSource(1)), now: 1000 * second, connectionOpened: map[WorkerID]Micros{}}
		start := sim.now
		var workers []Worker
		for i := range 60 {
			workers = append(workers, Worker{ID: WorkerID(fmt.Sprint("s-", i)), Build: 10, Size: 1})
		}
		sim.carryOut(sim.sentry.ListReceived(sim.now, FullList, workers))
		sim.carryOut(sim.sentry.ReleaseUpdated(sim.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1}))
		for nextArrival := sim.now; sim.now < start+endAt; sim.now += millisecond {
			if sim.now < start+lossAt && sim.now%(2*second) == 0 {
				sim.carryOut(sim.sentry.ListReceived(sim.now, ListDelta, nil)) // a sign of life
			}
			if sim.now >= nextArrival {
				sim.arrive()
				nextArrival = sim.now + Micros(sim.random.ExpFloat64()/perSecond*float64(second))
			}
			sim.endDueHandOffs()
		}
		if share := float64(sim.served) / float64(sim.arrived); share < minShare {
			t.Errorf("at %v requests a second: %.3f of %d served, expected %v at the least", perSecond, share, sim.arrived, minShare)
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

func (sim *outageSimulation) arrive() {
	sim.arrived++
	sim.carryOut(sim.sentry.TransactionArrived(sim.now, Transaction{ID: TransactionID(fmt.Sprint(sim.arrived)), Account: NoAccount, Deadline: sim.now + 2*second}))
}

func (sim *outageSimulation) carryOut(result Result) {
	for _, action := range result.Actions {
		if action.Kind != HandOff {
			continue
		}
		if _, open := sim.connectionOpened[action.Worker]; !open {
			sim.connectionOpened[action.Worker] = sim.now
		}
		sim.openHandOffs = append(sim.openHandOffs, outageHandOff{sim.now + 60*millisecond + Micros(sim.random.Intn(60_000)), action})
	}
}

// step ends the attempts whose time has come.
func (sim *outageSimulation) endDueHandOffs() {
	candidates := sim.openHandOffs
	sim.openHandOffs = nil
	for _, handOff := range candidates {
		if handOff.endsAt > sim.now {
			sim.openHandOffs = append(sim.openHandOffs, handOff)
			continue
		}
		sim.served++
		sim.carryOut(sim.sentry.HandOffEnded(sim.now, HandOffEnd{Transaction: handOff.action.Transaction, Worker: handOff.action.Worker, Ending: Answered, TransactionClosed: true,
			Load: NoLoad, ConnectionOpened: sim.connectionOpened[handOff.action.Worker], Duration: 80 * millisecond}))
	}
	sim.carryOut(sim.sentry.Wake(sim.now))
}
