package logic

import (
	"fmt"
	"testing"
)

// trialKeys makes keys whose slot is under the cap, so that the counter alone keeps them off the trial.
func trialKeys(under int) func() Key {
	n := 0
	return func() Key {
		for {
			n++
			if k := Key(fmt.Sprintf("%06x", n)); slotOf(k, 10, 11) < under {
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
		b := newStand(8, 8)
		b.s.orders.FreeExposure, b.s.orders.ExposureWindow = c.free, c.window
		b.tell(News{Valid: true, Build: 11, Phase: OnTrial, Cap: c.cap})
		next, tick := trialKeys(percent(c.cap)), b.s.orders.Tick
		for round := range 3 {
			b.now += c.window + 10*tick // nothing of the last round is in the window
			sent := 0
			for taken := 1; taken <= 60; taken++ {
				b.n++
				id := TransactionID(fmt.Sprint("x", b.n))
				b.see(b.s.Arrive(b.now, Transaction{ID: id, Key: next(), Account: NoAccount, Limit: b.now + second}))
				if len(b.last.Rulings) != 1 || b.last.Rulings[0].Kind != HandOff {
					t.Fatalf("free %g cap %g round %d, transaction %d: %v", c.free, c.cap, round, taken, b.last.Rulings)
				}
				w := b.last.Rulings[0].Worker
				may := float64(sent+1) <= c.free+c.cap*float64(taken)
				if trialWorker(w) != may {
					t.Fatalf("free %g cap %g round %d: of %d taken %d were sent to the trial; one more: %v, expected %v",
						c.free, c.cap, round, taken, sent, trialWorker(w), may)
				}
				if trialWorker(w) {
					sent++
				}
				b.see(b.s.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: w, Closed: true, Took: 1, Load: NoLoad}))
			}
		}
	}
}

// What was sent to the trial counts until its whole window has passed, whatever was taken meanwhile.
func TestExposureWindowEdge(t *testing.T) {
	b := newStand(8, 8)
	o := &b.s.orders
	next := trialKeys(1)
	send := func() bool {
		b.n++
		id := TransactionID(fmt.Sprint("e", b.n))
		b.see(b.s.Arrive(b.now, Transaction{ID: id, Key: next(), Account: NoAccount, Limit: b.now + second}))
		w := b.last.Rulings[0].Worker
		b.see(b.s.HandOffEnded(b.now, HandOffEnd{Transaction: id, Worker: w, Closed: true, Took: 1, Load: NoLoad}))
		return trialWorker(w)
	}
	o.FreeExposure, b.s.news.Cap = 2, 0.01
	b.now += 2 * o.ExposureWindow
	if !send() || !send() || send() {
		t.Fatal("expected two to the trial, and no third")
	}
	b.now += o.ExposureWindow
	if send() {
		t.Error("one more within the window, edge included")
	}
	b.now += 4 * o.Tick
	if !send() {
		t.Error("none after the window has passed")
	}
}
