package logic

import (
	"fmt"
	"testing"
)

// trialKeys makes keys whose slot is under the cap, so that the counter alone keeps them off the trial.
func trialKeyGenerator(under int) func() Key {
	n := 0
	return func() Key {
		for {
			n++
			if k := Key(fmt.Sprintf("%06x", n)); hashSlot(k, 10, 11) < under {
				return k
			}
		}
	}
}

// The counter lets through free + cap x taken, neither one more nor one less, and counts anew after its window.
func TestExposureBoundExactly(t *testing.T) {
	for _, c := range []struct {
		free, cap float64
		window    Micros
	}{{2, 0.5, 4 * second}, {0, 0.5, 4 * second}, {5, 0.1, 2 * second}, {1, 0.3, second}} {
		b := newTrialHarness(8, 8)
		b.sentry.config.FreeExposure, b.sentry.config.ExposureWindow = c.free, c.window
		b.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: c.cap})
		next, tick := trialKeyGenerator(percent(c.cap)), b.sentry.config.TimerGranularity
		for round := range 3 {
			b.now += c.window + 10*tick // nothing of the last round is in the window
			sent := 0
			for taken := 1; taken <= 60; taken++ {
				b.transactionCount++
				id := TransactionID(fmt.Sprint("x", b.transactionCount))
				b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: id, Key: next(), Account: NoAccount, Deadline: b.now + second}))
				if len(b.lastResult.Actions) != 1 || b.lastResult.Actions[0].Kind != HandOff {
					t.Fatalf("free %g cap %g round %d, transaction %d: %v", c.free, c.cap, round, taken, b.lastResult.Actions)
				}
				w := b.lastResult.Actions[0].Worker
				may := float64(sent+1) <= c.free+c.cap*float64(taken)
				if isTrialWorker(w) != may {
					t.Fatalf("free %g cap %g round %d: of %d taken %d were sent to the trial; one more: %v, expected %v",
						c.free, c.cap, round, taken, sent, isTrialWorker(w), may)
				}
				if isTrialWorker(w) {
					sent++
				}
				b.record(b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: w, TransactionClosed: true, Duration: 1, Load: NoLoad}))
			}
		}
	}
}

// What was sent to the trial counts until its whole window has passed, whatever was taken meanwhile.
func TestExposureWindowEdge(t *testing.T) {
	b := newTrialHarness(8, 8)
	o := &b.sentry.config
	next := trialKeyGenerator(1)
	send := func() bool {
		b.transactionCount++
		id := TransactionID(fmt.Sprint("e", b.transactionCount))
		b.record(b.sentry.TransactionArrived(b.now, Transaction{ID: id, Key: next(), Account: NoAccount, Deadline: b.now + second}))
		w := b.lastResult.Actions[0].Worker
		b.record(b.sentry.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: w, TransactionClosed: true, Duration: 1, Load: NoLoad}))
		return isTrialWorker(w)
	}
	o.FreeExposure, b.sentry.release.Cap = 2, 0.01
	b.now += 2 * o.ExposureWindow
	if !send() || !send() || send() {
		t.Fatal("expected two to the trial, and no third")
	}
	b.now += o.ExposureWindow
	if send() {
		t.Error("one more within the window, edge included")
	}
	b.now += 4 * o.TimerGranularity
	if !send() {
		t.Error("none after the window has passed")
	}
}
