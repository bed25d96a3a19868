package logic

import (
	"fmt"
	"testing"
)

// arrive has a transaction of a key arrive.
func (h *trialHarness) arrive(id string, key Key) {
	h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(id), Key: key, Account: NoAccount, Deadline: h.now + 2*second}))
}

// end ends a hand-off of a transaction.
func (h *trialHarness) end(id string, number int, w WorkerID, ending Ending) {
	h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: TransactionID(id), HandOffNumber: number, Worker: w, Ending: ending,
		Duration: 50_000, TransactionClosed: ending == Answered, Load: NoLoad}))
}

// handOffs returns the workers to which the last result hands a transaction off.
func (h *trialHarness) handOffs(id string) (workers []WorkerID) {
	for _, action := range h.lastResult.Actions {
		if action.Kind == HandOff && action.Transaction == TransactionID(id) {
			workers = append(workers, action.Worker)
		}
	}
	return workers
}

// newKeyHarness returns a harness with warm workers of both builds, in which a transaction of a key is open at the trial and
// the exposure bound is used up, so that no other may go there.
func newKeyHarness(t *testing.T) (h *trialHarness, trialWorker WorkerID) {
	t.Helper()
	h = newTrialHarness(4, 4)
	h.now += 10 * second
	h.sentry.Wake(h.now)
	h.sentry.config.MaxHandOffs, h.sentry.retryBudget = 3, maxRetryBudget
	h.sentry.trialSlots = 100
	h.arrive("first", "key")
	workers := h.handOffs("first")
	if len(workers) != 1 || !isTrialWorker(workers[0]) {
		t.Fatalf("found hand-offs to %v, expected one to the trial", workers)
	}
	h.useUpExposure()
	return h, workers[0]
}

// Guards against a key going back to the earlier build while a hand-off of it is open at the trial, which may have answered
// it already: neither a hedge of that transaction nor another transaction of the key may be handed off.
func TestKeyInFlightAtTrialStaysThere(t *testing.T) {
	h, worker := newKeyHarness(t)
	h.arrive("second", "key")
	if got := h.handOffs("second"); len(got) > 0 {
		t.Errorf("found the second transaction handed off to %v, expected it to wait", got)
	}
	h.now += second/4 + 1000 // half of the due time, when a hedge is due; the second transaction no longer waits
	h.record(h.sentry.Wake(h.now))
	if len(h.handOffs("first")) > 0 {
		t.Errorf("found a hedge to %v, expected none", h.handOffs("first"))
	}
	for _, action := range h.lastResult.Actions {
		if action.Transaction == "first" {
			t.Errorf("found %+v, expected the first transaction to go on: its hand-off is open", action)
		}
	}
	h.end("first", 0, worker, Answered)
	h.arrive("third", "key")
	if got := h.handOffs("third"); len(got) > 0 && !isTrialWorker(got[0]) {
		t.Errorf("found the third transaction handed off to %v, expected the trial or none", got)
	}
}

// Guards against a key being kept from the earlier build for ever by a hand-off that the trial cannot have answered: a
// transaction that waits for such a key goes on once that hand-off has ended.
func TestKeyIsFreeAfterFailedHandOff(t *testing.T) {
	for ending, wantFree := range map[Ending]bool{Answered: false, Errored: true, TurnedAway: true, TimedOut: false, Unconnected: true,
		Broken: false, Cancelled: false, Unsent: true, Unreadable: false} {
		h, worker := newKeyHarness(t)
		h.sentry.config.MaxHandOffs = 1 // the first transaction is not retried
		h.arrive("second", "key")
		h.now += 10_000
		h.end("first", 0, worker, ending)
		got := h.handOffs("second")
		if isFree := len(got) == 1 && !isTrialWorker(got[0]); isFree != wantFree {
			t.Errorf("after ending %d: found hand-offs of the second transaction to %v, expected the earlier build: %v", ending, got, wantFree)
		}
	}
}

// Guards against a hand-off that is open at a worker whose listed build has become the trial's: either build may answer it.
func TestKeyInFlightAtWorkerOfChangedBuild(t *testing.T) {
	h := newTrialHarness(4, 4)
	h.now += 10 * second
	h.sentry.trialSlots = 0
	h.arrive("first", "key")
	worker := h.handOffs("first")[0]
	h.sentry.ListReceived(h.now, ListDelta, []Worker{{ID: worker, Build: 11, Size: 1, Started: h.now}})
	h.sentry.trialSlots = 0
	h.sentry.exposedTimes = [][]Micros{{}, {}, {}}
	h.useUpExposure()
	for i := range 5 {
		id := fmt.Sprint("other-", i)
		h.arrive(id, "key")
		if got := h.handOffs(id); len(got) > 0 {
			t.Fatalf("found a hand-off to %v, expected the transaction to wait", got)
		}
	}
}
