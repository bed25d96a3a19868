// Package clock computes the age of timestamps from other machines, and detects steps of the wall clock.
//
// Durations (deadlines, windows, delays, grace periods, ages) are measured by the monotonic clock, which can't be set. The wall
// clock may be stepped by an hour at any time; it is used only for times that people read and for timestamps from other machines.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// A wall clock whose offset from the monotonic clock has changed by more than this has been stepped. A clock that is only
	// slewed drifts by at most 0.5 ms a second.
	minStep = 500 * time.Millisecond
	// Maximum number of past offsets that are kept, for timestamps from before a step.
	maxOffsets = 16
)

// Reading is a reading of both clocks.
type Reading struct {
	Wall      time.Time
	Monotonic time.Duration // since an arbitrary fixed time
}

// WallClock tracks the offset between the wall clock and the monotonic clock, and computes the age of timestamps from other
// machines. It is safe for concurrent use.
type WallClock struct {
	read func() Reading

	mu      sync.Mutex
	offsets []time.Time // wall clock time at monotonic time 0, the latest offset last
	steps   int
}

// NewWallClock returns a WallClock that starts with the current offset.
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

// readClocks reads the clocks and records their offset if it is new. It returns by how much the wall clock has been stepped, 0 if
// it has not. It takes the lock.
func (w *WallClock) readClocks() (now Reading, step time.Duration) {
	now = w.read()
	offset := now.Wall.Add(-now.Monotonic)
	w.mu.Lock()
	defer w.mu.Unlock()
	last := len(w.offsets) - 1
	if last >= 0 {
		if step = offset.Sub(w.offsets[last]); step.Abs() <= minStep {
			return now, 0
		}
	}
	w.steps++
	w.offsets = slices.DeleteFunc(w.offsets, func(o time.Time) bool { return o.Sub(offset).Abs() <= minStep })
	w.offsets = append(w.offsets, offset)
	if len(w.offsets) > maxOffsets {
		w.offsets = w.offsets[1:]
	}
	return now, step
}

// DetectStep returns by how much the wall clock has been stepped since the clocks were last read, 0 if it has not.
func (w *WallClock) DetectStep() time.Duration {
	_, step := w.readClocks()
	return step
}

// StepCount returns the number of steps of the wall clock so far.
func (w *WallClock) StepCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps
}

// Age returns the age of a timestamp from another machine. The timestamp may be from before or after a step of the clock, so Age
// uses the offset that gives the lowest age: a server whose age is underestimated gets less traffic than it could take, one whose
// age is overestimated would be overloaded. The age of a timestamp in the future is 0.
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
