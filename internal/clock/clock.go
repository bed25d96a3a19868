// Package clock keeps the two kinds of time apart. Spans (deadlines, windows, waits, graces, ages) are told by the monotonic
// clock, which nobody can set. The wall clock may be stepped by an hour at any time; it serves for what people read and for
// stamps that another machine has made.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// A wall clock that has moved against the monotonic one by more than this has been stepped. Clocks that are only slewed
	// drift by at most 0.5 ms a second.
	minStep = 500 * time.Millisecond
	// So many offsets of the wall clock are kept, for stamps from before a step.
	maxOffsets = 16
)

// Reading is one look at both clocks.
type Reading struct {
	Wall      time.Time
	Monotonic time.Duration // since any fixed moment
}

// Wall reads both clocks, remembers how far apart they have been, and tells how old another machine's stamp is. It is safe
// for use by several goroutines.
type WallClock struct {
	read func() Reading

	mu      sync.Mutex
	offsets []time.Time // what the wall clock would have shown as the monotonic one began, the latest last
	steps   int
}

// NewWall begins with the offset that the clocks have now.
func NewWallClock() *WallClock {
	start := time.Now()
	return newWallClock(func() Reading {
		now := time.Now()
		return Reading{now.Round(0), now.Sub(start)}
	})
}

func newWallClock(read func() Reading) *WallClock {
	w := &WallClock{read: read}
	w.readClocks()
	w.steps = 0
	return w
}

// look reads the clocks, and keeps their offset if it is a new one. The lock need not be held.
func (w *WallClock) readClocks() (now Reading, stepped time.Duration) {
	now = w.read()
	offset := now.Wall.Add(-now.Monotonic)
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.offsets) - 1
	if last >= 0 {
		if stepped = offset.Sub(w.offsets[last]); stepped.Abs() <= minStep {
			return now, 0
		}
	}
	w.steps++
	w.offsets = slices.DeleteFunc(w.offsets, func(o time.Time) bool { return o.Sub(offset).Abs() <= minStep })
	w.offsets = append(w.offsets, offset)
	if len(w.offsets) > maxOffsets {
		w.offsets = w.offsets[1:]
	}
	return now, stepped
}

// Step tells by how much the wall clock has been stepped since the last look, 0 if it has not.
func (w *WallClock) DetectStep() time.Duration {
	_, stepped := w.readClocks()
	return stepped
}

// Steps counts the steps of the wall clock so far.
func (w *WallClock) StepCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps
}

// Age is how long ago something happened that another machine has stamped. The stamp may be from before a step of the clock
// or from after it, so it counts by the offset that makes it the youngest: taken for too young, a server is spared; taken
// for too old, it would be overloaded. A stamp from the future is of now.
func (w *WallClock) Age(stamp time.Time) time.Duration {
	now, _ := w.readClocks()
	w.mu.Lock()
	defer w.mu.Unlock()
	youngest, found := time.Duration(0), false
	for _, offset := range w.offsets {
		age := offset.Add(now.Monotonic).Sub(stamp)
		if age >= 0 && (!found || age < youngest) {
			youngest, found = age, true
		}
	}
	return youngest
}
