package logic

import (
	"fmt"
	"testing"
)

// trialKeyGenerator returns a function that makes keys with a hash slot below slots. With slots at the cap, only the
// bound on exposure keeps them from the trial.
func trialKeyGenerator(slots int) func() Key {
	n := 0
	return func() Key {
		for {
			n++
			if k := Key(fmt.Sprintf("%06x", n)); hashSlot(k, 10, 11) < slots {
				return k
			}
		}
	}
}

// Within a window, exactly FreeExposure + cap x (transactions taken) hand-offs may go to the trial, and the count
// starts anew after the window.
func TestExposureBoundExactly(t *testing.T) {
	for _, c := range []struct {
		free, cap float64
		window    Micros
	}{{2, 0.5, 4 * second}, {0, 0.5, 4 * second}, {5, 0.1, 2 * second}, {1, 0.3, second}} {
		h := newTrialHarness(8, 8)
		h.sentry.config.FreeExposure, h.sentry.config.ExposureWindow = c.free, c.window
		h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: c.cap})
		nextKey, tick := trialKeyGenerator(percent(c.cap)), h.sentry.config.TimerGranularity
		for round := range 3 {
			h.now += c.window + 10*tick // past the window of the last round
			sent := 0
			for taken := 1; taken <= 60; taken++ {
				h.transactionCount++
				id := TransactionID(fmt.Sprint("x", h.transactionCount))
				h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: id, Key: nextKey(), Account: NoAccount, Deadline: h.now + second}))
				if len(h.lastResult.Actions) != 1 || h.lastResult.Actions[0].Kind != HandOff {
					t.Fatalf("free %g cap %g round %d, transaction %d: found actions %v, expected one hand-off", c.free, c.cap, round, taken, h.lastResult.Actions)
				}
				w := h.lastResult.Actions[0].Worker
				wantTrial := float64(sent+1) <= c.free+c.cap*float64(taken)
				if isTrialWorker(w) != wantTrial {
					t.Fatalf("free %g cap %g round %d: of %d transactions taken %d went to the trial; found one more: %v, expected %v",
						c.free, c.cap, round, taken, sent, isTrialWorker(w), wantTrial)
				}
				if isTrialWorker(w) {
					sent++
				}
				h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: w, TransactionClosed: true, Duration: 1, Load: NoLoad}))
			}
		}
	}
}

// A hand-off to the trial must count until its whole window has passed, whatever was taken meanwhile.
func TestExposureWindowEdge(t *testing.T) {
	h := newTrialHarness(8, 8)
	config := &h.sentry.config
	nextKey := trialKeyGenerator(1)
	sentToTrial := func() bool {
		h.transactionCount++
		id := TransactionID(fmt.Sprint("e", h.transactionCount))
		h.record(h.sentry.TransactionArrived(h.now, Transaction{ID: id, Key: nextKey(), Account: NoAccount, Deadline: h.now + second}))
		w := h.lastResult.Actions[0].Worker
		h.record(h.sentry.HandOffEnded(h.now, HandOffEnd{Transaction: id, Worker: w, TransactionClosed: true, Duration: 1, Load: NoLoad}))
		return isTrialWorker(w)
	}
	config.FreeExposure, h.sentry.release.Cap = 2, 0.01
	h.now += 2 * config.ExposureWindow
	if !sentToTrial() || !sentToTrial() || sentToTrial() {
		t.Fatal("found another number of hand-offs to the trial, expected two and no third")
	}
	h.now += config.ExposureWindow
	if sentToTrial() {
		t.Error("found a third hand-off to the trial within the window, edge included, expected none")
	}
	h.now += 4 * config.TimerGranularity
	if !sentToTrial() {
		t.Error("found no hand-off to the trial after the window has passed, expected one")
	}
}
