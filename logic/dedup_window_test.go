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
