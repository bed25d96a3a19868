package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// leaseHarness is a sentry with one worker, s-1, which a full list names at start.
type leaseHarness struct {
	t                *testing.T
	sentry           *Sentry
	start            Micros
	now              Micros
	transactionCount int
}

const testDrainGrace = 2 * second

// newLeaseHarness returns a sentry that has just received its list. change, if not nil, changes its configuration.
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

// setTime sets the clock to a time after the start.
func (h *leaseHarness) setTime(after Micros) *leaseHarness { h.now = h.start + after; return h }

// arrive has a transaction arrive and returns the hand-off that is made at once, nil if there is none.
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

// serveTransaction has a transaction arrive and its hand-off end, over a connection that was opened at a time after the
// start.
func (h *leaseHarness) serveTransaction(opened Micros, ending Ending) {
	h.t.Helper()
	handOff := h.arrive()
	if handOff == nil {
		h.t.Fatalf("found no hand-off %v us after the start, expected one", h.now-h.start)
	}
	h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: handOff.Transaction, Worker: "s-1", Ending: ending, TransactionClosed: ending == Answered, Load: NoLoad,
		ConnectionOpened: h.start + opened})
}

// expectLeaseUntil expects hand-offs up to a time after the start, and none later.
func (h *leaseHarness) expectLeaseUntil(until Micros) {
	h.t.Helper()
	if sendBy := h.sentry.sendBy(0); sendBy != h.start+until {
		h.t.Errorf("found a lease until %v us after the start, expected %v us", sendBy-h.start, until)
	}
	if handOff := h.setTime(until).arrive(); handOff == nil || handOff.SendBy != h.start+until {
		h.t.Errorf("%v us after the start: found hand-off %+v, expected one with that time as SendBy", until, handOff)
	} else {
		h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: handOff.Transaction, Worker: "s-1", Ending: Unsent, TransactionClosed: true, Load: NoLoad})
	}
	if handOff := h.setTime(until + 1).arrive(); handOff != nil {
		h.t.Errorf("later than %v us after the start: found hand-off %+v, expected none", until, handOff)
	}
}

const (
	listLeaseDuration   = 6*second + testDrainGrace - leaseMargin
	answerLeaseDuration = listLeaseDuration - maxAcceptWhileDraining // from the time that the answered hand-off was sent
)

// A failed request for the list must not extend the lease of the last list. After the lease, transactions are queued
// until a list arrives.
func TestLeaseOfFullList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListRequestFailed(h.now, true)
	h.expectLeaseUntil(listLeaseDuration)
	result := h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "s-1", Build: 10, Size: 1}})
	if len(result.Actions) != 1 || result.Actions[0].Kind != HandOff {
		t.Errorf("found actions %v at a new list, expected a hand-off of the queued transaction", result.Actions)
	}
}

// When no worker has a lease, a transaction must not wait until its deadline: it is answered once it cannot be expected
// to be served in time.
func TestExpiredLeaseAnswersTransactions(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(listLeaseDuration + 1).arrive()
	for range 200 {
		h.now += 10_000
		for _, action := range h.sentry.Wake(h.now).Actions {
			if action.Kind != Defer || action.RetryAfter == 0 {
				t.Errorf("found action %+v, expected a deferral with a time to retry after", action)
			}
			return
		}
	}
	t.Error("found no answer to the transaction within 2 s, expected a deferral")
}

// Without a ListChangeDelay, leases do not expire.
func TestLeaseWithoutListChangeDelay(t *testing.T) {
	h := newLeaseHarness(t, func(config *Config) { config.ListChangeDelay = 0 })
	h.sentry.ListRequestFailed(h.now, true)
	if handOff := h.setTime(1000 * second).arrive(); handOff == nil || handOff.SendBy != 0 {
		t.Errorf("found hand-off %+v, expected one without SendBy", handOff)
	}
}

// A cached list has an unknown age, so its leases last for the drain grace only.
func TestLeaseOfCachedList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.sentry = New(h.sentry.config, 1)
	h.receiveList(CachedList)
	h.sentry.ReleaseUpdated(h.now, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	h.expectLeaseUntil(testDrainGrace - leaseMargin)
}

// Another process may take over the address of a worker that has gone. A lease is renewed only by answers of the listed
// process.
func TestLeaseByAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		do    func(h *leaseHarness)
		until Micros
	}{
		"a connection from before the list": {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(-second, Answered) }, 5*second + answerLeaseDuration},
		"a connection opened later":         {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(2*second, Answered) }, listLeaseDuration},
		"a connection opened later, before the lease was renewed over another one": {func(h *leaseHarness) {
			h.setTime(3*second).serveTransaction(-second, Answered)
			h.setTime(5*second).serveTransaction(2*second, Answered)
		}, 5*second + answerLeaseDuration},
		"a connection opened after another one broke": {func(h *leaseHarness) {
			h.setTime(2*second).serveTransaction(-second, Answered)
			h.setTime(3*second).serveTransaction(0, Broken)
			h.sentry.ejectedUntil[0] = 0
			h.setTime(5*second).serveTransaction(4*second, Answered)
		}, listLeaseDuration},
		"a connection from before another one broke": {func(h *leaseHarness) {
			h.setTime(2*second).serveTransaction(-second, Answered)
			h.setTime(3*second).serveTransaction(0, Broken)
			h.sentry.ejectedUntil[0] = 0
			h.setTime(5*second).serveTransaction(second, Answered)
		}, 5*second + answerLeaseDuration},
		"an error answer":                {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(0, Errored) }, listLeaseDuration},
		"a hand-off that is turned away": {func(h *leaseHarness) { h.setTime(5*second).serveTransaction(0, TurnedAway) }, listLeaseDuration},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaseHarness(t, nil)
			h.sentry.ListRequestFailed(h.now, true)
			c.do(h)
			if sendBy := h.sentry.sendBy(0); sendBy != h.start+c.until {
				t.Errorf("found a lease until %v us after the start, expected %v us", sendBy-h.start, c.until)
			}
		})
	}
}

// A worker that has been restarted must not keep the lease that answers of its earlier process renewed.
func TestLeaseAfterWorkerRestart(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(5*second).serveTransaction(0, Answered)
	h.now = h.start + 5*second
	h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: "s-1", Build: 11, Size: 1}})
	if sentAt := h.sentry.workerLeases[0].sentAt; sentAt != 0 {
		t.Errorf("found a lease by an answer to a hand-off sent %v us after the start by another build, expected none", sentAt-h.start)
	}
}

// A list that has begun to arrive counts as known, and a change that discovery did not deliver because it moved counts
// as known from a given time. Leases must end accordingly until the next list.
func TestLeaseOfPossiblyStaleList(t *testing.T) {
	h := newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListMayBeStale(h.now, h.start+second)
	h.sentry.ListMayBeStale(h.now, h.start+3*second) // a later call does not replace an earlier time
	h.expectLeaseUntil(second + testDrainGrace - leaseMargin)

	h = newLeaseHarness(t, nil)
	h.setTime(6*second).serveTransaction(0, Answered) // it was not draining at 2 s
	h.sentry.ListMayBeStale(h.now, h.start+second)
	h.expectLeaseUntil(6*second + answerLeaseDuration)

	h = newLeaseHarness(t, nil)
	h.setTime(second).sentry.ListMayBeStale(h.now, h.start+second)
	h.receiveList(ListDelta)
	h.expectLeaseUntil(second + listLeaseDuration)
}

// Where discovery pushes lists, a sentry without a watch misses every change, so each counts as known at once.
func TestLeaseOfPushedList(t *testing.T) {
	h := newLeaseHarness(t, func(config *Config) { config.ListOnRequest = false })
	h.setTime(3*second).sentry.ListRequestFailed(h.now, false)
	h.setTime(4*second).sentry.ListRequestFailed(h.now, false)
	h.expectLeaseUntil(3*second + testDrainGrace - leaseMargin)

	h = newLeaseHarness(t, func(config *Config) { config.ListOnRequest = false })
	h.setTime(2*second).sentry.ListMayBeStale(h.now, h.now) // a list begins to arrive, then the watch ends
	h.setTime(3*second).sentry.ListRequestFailed(h.now, false)
	h.expectLeaseUntil(2*second + testDrainGrace - leaseMargin)
	h.receiveList(ListDelta)
	h.expectLeaseUntil(h.now - h.start + listLeaseDuration)
}

// Many processes that retry at the same time or too often starve each other of answers from discovery. Delays must
// start at a longer value where discovery is busy, double after each failure up to a bound, be spread over 0.5 to 1.5
// times their mean, and start anew after an answer.
func TestListRequestBackoff(t *testing.T) {
	for busy, initialDelay := range map[bool]Micros{false: initialRetryDelay, true: initialBusyRetryDelay} {
		h := newLeaseHarness(t, nil)
		for round := range 2 {
			for delay := initialDelay; delay <= 4*maxRetryDelay; delay *= 2 {
				meanDelay := min(delay, maxRetryDelay)
				h.sentry.ListRequestFailed(h.now, busy)
				if got := h.sentry.nextListRequestAt - h.now; got < meanDelay/2 || got > meanDelay*3/2 {
					t.Errorf("round %d, busy %v: found a delay of %v us, expected 0.5 to 1.5 times %v us", round, busy, got, meanDelay)
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
		t.Errorf("found delays of %v to %v us over 200 processes, expected them spread over at least 0.6 to 1.4 times the mean", shortest, longest)
	}
}

// A process that loses discovery for 40 s must keep serving, by workers whose answers renew their leases, at any rate
// of transactions.
func TestServiceDuringLongOutage(t *testing.T) {
	const lossAt, endAt = 10 * second, 50 * second
	// At 2 per second the time between two transactions may be longer than the lease by an answer.
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
				sim.carryOut(sim.sentry.ListReceived(sim.now, ListDelta, nil)) // a keep-alive
			}
			if sim.now >= nextArrival {
				sim.arrive()
				nextArrival = sim.now + Micros(sim.random.ExpFloat64()/perSecond*float64(second))
			}
			sim.endDueHandOffs()
		}
		if share := float64(sim.served) / float64(sim.arrived); share < minShare {
			t.Errorf("at %v transactions per second: found a share of %.3f of %d served, expected at least %v", perSecond, share, sim.arrived, minShare)
		}
	}
}

// outageSimulation answers each hand-off 60 to 120 ms after it was sent, over one connection to each worker.
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

// carryOut opens the hand-offs of a result.
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

// endDueHandOffs ends the hand-offs whose time has come.
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
