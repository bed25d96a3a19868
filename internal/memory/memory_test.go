package memory

import (
	"sync"
	"testing"
)

// All budgets together leave four tenths of the memory to the rest of the process and to garbage.
func TestBudgetsFitTheProcess(t *testing.T) {
	const processBytes = 32 << 20
	var total int64
	NewAccount(processBytes).Each(func(_ Purpose, b *Budget) { total += b.Limit() })
	if total > processBytes*6/10 {
		t.Errorf("the budgets are %d bytes together, expected at most six tenths of %d", total, processBytes)
	}
}

// Reservations from several goroutines never exceed the limit, and one user holds half at the most.
func TestReserve(t *testing.T) {
	const limit, users = 1000, 8
	b := NewBudget(limit)
	var held int64
	for b.Reserve(held, 1) {
		held++
	}
	if held != limit/2 {
		t.Errorf("one user holds %d, expected half of %d", held, limit)
	}
	var group sync.WaitGroup
	for range users {
		group.Go(func() {
			for b.Reserve(0, 3) {
				if b.Remaining() < 0 {
					t.Error("more is reserved than the limit")
				}
			}
		})
	}
	group.Wait()
	if b.Used() > limit || b.Peak() != b.Used() {
		t.Errorf("used %d, peak %d, expected at most %d and the same peak", b.Used(), b.Peak(), limit)
	}
	b.Add(-b.Used())
	if b.Remaining() != limit || b.Peak() == 0 {
		t.Errorf("remaining %d, peak %d after everything was given back", b.Remaining(), b.Peak())
	}
}
