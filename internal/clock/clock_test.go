package clock

import (
	"testing"
	"time"
)

// fakeClocks are a wall clock and a monotonic clock that a test controls.
type fakeClocks struct{ now Reading }

func (c *fakeClocks) read() Reading { return c.now }

func (c *fakeClocks) advance(d time.Duration) {
	c.now.Monotonic += d
	c.now.Wall = c.now.Wall.Add(d)
}

func (c *fakeClocks) step(d time.Duration) { c.now.Wall = c.now.Wall.Add(d) }

func newFakeClocks() (*fakeClocks, *WallClock) {
	c := &fakeClocks{Reading{time.Unix(1_800_000_000, 0), 5 * time.Second}}
	return c, newWallClock(c.read)
}

// Age is correct for timestamps from before a step and from after it, in either direction and for any size of the
// step, and is never overestimated.
func TestAgeOverSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Second, -time.Second, time.Hour, -time.Hour} {
		c, w := newFakeClocks()
		before := c.now.Wall
		c.advance(700 * time.Millisecond)
		c.step(step)
		if got := w.DetectStep(); got != step {
			t.Errorf("step of %v: detected %v", step, got)
		}
		if w.DetectStep() != 0 || w.StepCount() != 1 {
			t.Errorf("step of %v: detected twice, or %d steps", step, w.StepCount())
		}
		c.advance(100 * time.Millisecond)
		after := c.now.Wall
		c.advance(100 * time.Millisecond)
		if got := w.Age(before); got != 900*time.Millisecond {
			t.Errorf("step of %v: a stamp from before it is %v old, expected 900ms", step, got)
		}
		if got := w.Age(after); got != 100*time.Millisecond {
			t.Errorf("step of %v: a stamp from after it is %v old, expected 100ms", step, got)
		}
	}
}

// A step is detected by the next call of any method that reads the clocks, including Age.
func TestAgeSeesAStep(t *testing.T) {
	c, w := newFakeClocks()
	stamp := c.now.Wall
	c.advance(2 * time.Second)
	c.step(time.Hour)
	if got := w.Age(stamp); got != 2*time.Second {
		t.Errorf("found %v, expected 2s", got)
	}
	if w.StepCount() != 1 {
		t.Errorf("%d steps, expected 1", w.StepCount())
	}
}

func TestAgeOfTheFuture(t *testing.T) {
	c, w := newFakeClocks()
	if got := w.Age(c.now.Wall.Add(time.Minute)); got != 0 {
		t.Errorf("found %v, expected 0", got)
	}
}

// Slewing a clock is not counted as a step, and the number of offsets stays bounded however often the clock is stepped.
func TestSlewAndManySteps(t *testing.T) {
	c, w := newFakeClocks()
	for range 1000 {
		c.advance(time.Second)
		c.step(400 * time.Microsecond)
		w.DetectStep()
	}
	if w.StepCount() > 1 { // 0.4 s in total
		t.Errorf("%d steps for a slew, expected none", w.StepCount())
	}
	for i := range 100 {
		c.step(time.Duration(i+1) * time.Minute)
		w.DetectStep()
	}
	if len(w.offsets) > maxOffsets {
		t.Errorf("%d offsets kept, expected %d at most", len(w.offsets), maxOffsets)
	}
}

// Age is correct with the machine's clocks.
func TestRealClock(t *testing.T) {
	w := NewWallClock()
	if age := w.Age(time.Now().Add(-time.Minute)); age < time.Minute || age > 2*time.Minute {
		t.Errorf("found %v, expected a minute", age)
	}
}
