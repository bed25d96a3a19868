package logic

import (
	"fmt"
	"testing"
)

// arriveFrom has a transaction of a client arrive, and returns the actions that follow.
func (h *trialHarness) arriveFrom(client ClientID, id string) []Action {
	h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: TransactionID(id), Account: NoAccount, Deadline: h.now + 2*second, Client: client}))
	return h.lastResult.Actions
}

// Guards against a client with hundreds of transactions at once leaving no hand-offs to the others: its transactions
// must wait behind the first one of each other client.
func TestClientWithManyTransactionsDelaysItsOwn(t *testing.T) {
	h := newTrialHarness(8, 0)
	h.sentry.config.MaxOpenHandOffs = 3
	h.sentry.concurrencyLimit = 3
	var open []Action
	for i := range 20 {
		open = append(open, h.arriveFrom(1, fmt.Sprint("many-", i))...)
	}
	if len(open) != 3 {
		t.Fatalf("found %d hand-offs, expected as many as the caller can have open", len(open))
	}
	for client := ClientID(2); client <= 4; client++ {
		if got := h.arriveFrom(client, fmt.Sprint("single-", client)); len(got) != 0 {
			t.Fatalf("found %v, expected the transaction to wait: the caller can have no more open", got)
		}
	}
	for i, action := range open {
		h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: action.Transaction, Worker: action.Worker, Ending: Answered,
			Duration: 50_000, TransactionClosed: true, Load: NoLoad}))
		want := TransactionID(fmt.Sprint("single-", i+2))
		if got := h.lastResult.Actions; len(got) != 1 || got[0].Transaction != want {
			t.Errorf("found %v after %d hand-offs have ended, expected a hand-off of %s", got, i+1, want)
		}
	}
}

// Guards against the first transaction of a client being kept waiting by another client that fills the concurrency limit:
// the limit counts one hand-off for each client then.
func TestFirstHandOffOfClientCountsClients(t *testing.T) {
	h := newTrialHarness(8, 0)
	h.sentry.concurrencyLimit = 3
	for i := range 10 {
		h.arriveFrom(1, fmt.Sprint("many-", i))
	}
	for client := ClientID(2); client <= 4; client++ {
		got := h.arriveFrom(client, fmt.Sprint("single-", client))
		if handedOff := len(got) == 1; handedOff != (client <= 3) {
			t.Errorf("client %d: found %v, expected hand-offs of three clients at most", client, got)
		}
	}
}
