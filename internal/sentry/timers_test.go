package sentry

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"scalechute/logic"
)

// Timers are popped in the order of their due times, and those with the same due time in the order in which they were
// added.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		var all []logic.Micros
		for i, due := range rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 200).Draw(t, "due") {
			h.add(timer{due: logic.Micros(due), id: uint64(i)})
			all = append(all, logic.Micros(due))
			if rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				at := h.pop().due
				if at != slices.Min(all) {
					t.Fatalf("popped %d of %v", at, all)
				}
				all = slices.Delete(all, slices.Index(all, at), slices.Index(all, at)+1)
			}
		}
		last := timer{}
		for h.nextDue() != 0 {
			x := h.pop()
			if x.due < last.due || x.due == last.due && x.id < last.id {
				t.Fatalf("%d of %d after %d of %d", x.id, x.due, last.id, last.due)
			}
			last = x
			all = all[:len(all)-1]
		}
		if len(all) != 0 {
			t.Fatalf("%d timers lost", len(all))
		}
	})
}
