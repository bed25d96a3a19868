package logic

import "testing"

// Guards against a deduplicated transaction being written after its window, since only the decision looked at it: each
// further hand-off must carry the end of the window of every earlier one that may have run.
func TestSendByEndsWithDedupWindow(t *testing.T) {
	h := newTrialHarness(8, 0)
	config, granularity := &h.sentry.config, h.sentry.config.TimerGranularity
	config.MaxHandOffs, config.MayHedge = 4, false
	const window = 600_000
	config.Profiles = append(config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1,
		Repeatability: Deduplicated, DedupWindow: window})
	h.sentry.applyConfig(*config)
	h.sentry.retryBudget = maxRetryBudget
	h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "a", Profile: 2, Account: NoAccount, Deadline: h.now + 2*second}))
	started, wanted := h.now, Micros(0) // the first hand-off has no limit
	for number, ending := range []Ending{Unsent, Broken, TurnedAway, Answered} {
		actions := h.lastResult.Actions
		if len(actions) != 1 || actions[0].Kind != HandOff || actions[0].SendBy != wanted {
			t.Fatalf("hand-off %d: found %+v, expected one that may be sent until %d", number, actions, wanted)
		}
		if ending == Broken { // the first one that may have run, sent 100 ms after the transaction arrived
			wanted = started + 100_000 + window - granularity
		}
		h.now += 100_000
		h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: "a", HandOffNumber: number, Worker: actions[0].Worker, Ending: ending,
			Duration: 100_000, TransactionClosed: ending == Answered, Load: NoLoad}))
	}
}

// Guards against a client being told that a retry is harmless when the workers will have forgotten the transaction by then: a
// deduplicated transaction that may have run is deferred only if the client comes again within its window.
func TestDeferralWithinDedupWindow(t *testing.T) {
	for _, c := range []struct {
		ending Ending
		after  Micros // the end of the only hand-off
		want   ActionKind
	}{{Broken, 100_000, Defer}, {Broken, 340_000, Defer}, {Broken, 360_000, WriteOff}, {Broken, 900_000, WriteOff}, {TurnedAway, 900_000, Defer}} {
		h := newTrialHarness(8, 0)
		config := &h.sentry.config
		config.MaxHandOffs, config.MayHedge = 1, false
		config.Profiles = append(config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 2 * second, Value: 1,
			Repeatability: Deduplicated, DedupWindow: 600_000})
		h.sentry.applyConfig(*config)
		h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "a", Profile: 2, Account: NoAccount, Deadline: h.now + 2*second}))
		worker := h.handOffs("a")[0]
		h.now += c.after
		h.end("a", 0, worker, c.ending)
		if got := h.lastResult.Actions; len(got) != 1 || got[0].Kind != c.want {
			t.Errorf("after ending %d, %d us after the hand-off: found %+v, expected kind %d: the client is told to come again after 250 ms",
				c.ending, c.after, got, c.want)
		}
	}
}

// Guards against a deduplicated transaction being lost with an answer that never comes: its connection breaks only after the
// window, when the transaction may not be sent again. Once it is overdue and half of the window is over, the hand-off is
// cancelled for a retry, unless there is no budget for one.
func TestOverdueHandOffIsRetriedWithinDedupWindow(t *testing.T) {
	for budget, wantCancel := range map[float64]bool{maxRetryBudget: true, 0: false} {
		h := newTrialHarness(8, 0)
		config := &h.sentry.config
		config.MaxHandOffs, config.MayHedge, config.MayCancel = 2, false, true
		config.Profiles = append(config.Profiles, Profile{DueTime: second / 2, MaxDeadline: 3 * second, Value: 1,
			Repeatability: Deduplicated, DedupWindow: 3 * second / 2})
		h.sentry.applyConfig(*config)
		h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: "a", Profile: 2, Account: NoAccount, Deadline: h.now + 3*second}))
		h.sentry.retryBudget = budget
		started, cancelledAt := h.now, Micros(0)
		for h.now < started+3*second/2 && cancelledAt == 0 {
			h.now += 10_000
			h.record(h.sentry.Wake(h.now))
			for _, action := range h.lastResult.Actions {
				if action.Kind == CancelHandOff {
					cancelledAt = h.now - started
				}
			}
		}
		if cancelled := cancelledAt > 0; cancelled != wantCancel {
			t.Errorf("with a retry budget of %v: cancelled after %d us, expected a cancellation: %v", budget, cancelledAt, wantCancel)
		}
		if wantCancel && (cancelledAt < 750_000 || cancelledAt > 900_000) {
			t.Errorf("cancelled after %d us, expected half of the window of 1.5 s", cancelledAt)
		}
	}
}

// Guards against retries that were never written using up the retry budget.
func TestUnsentRetryCostsNoBudget(t *testing.T) {
	h := newTrialHarness(8, 0)
	h.sentry.config.MaxHandOffs, h.sentry.config.MayHedge = 2, false
	h.arrive("a", "key")
	h.sentry.retryBudget = 2
	worker := h.handOffs("a")[0]
	h.now += second / 10
	h.end("a", 0, worker, Broken)
	retry := h.handOffs("a")
	if len(retry) != 1 || h.sentry.retryBudget != 1 {
		t.Fatalf("found hand-offs to %v and a budget of %v, expected a retry that costs 1", retry, h.sentry.retryBudget)
	}
	h.end("a", 1, retry[0], Unsent)
	if h.sentry.retryBudget != 2 {
		t.Errorf("found a budget of %v after the retry ended unsent, expected 2", h.sentry.retryBudget)
	}
}
