package clock

import (
	"testing"
	"time"
)

// clocks are two clocks that a test moves.
type clocks struct{ now Reading }

func (c *clocks) read() Reading { return c.now }

func (c *clocks) pass(d time.Duration) {
	c.now.Monotonic += d
	c.now.Wall = c.now.Wall.Add(d)
}

func (c *clocks) step(d time.Duration) { c.now.Wall = c.now.Wall.Add(d) }

func newClocks() (*clocks, *WallClock) {
	c := &clocks{Reading{time.Unix(1_800_000_000, 0), 5 * time.Second}}
	return c, newWallClock(c.read)
}

// An age is right for stamps from before a step and from after it, whichever way and however far the clock was stepped, and
// is never too old.
func TestAgeOverSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Second, -time.Second, time.Hour, -time.Hour} {
		c, w := newClocks()
		before := c.now.Wall
		c.pass(700 * time.Millisecond)
		c.step(step)
		if got := w.DetectStep(); got != step {
			t.Errorf("step of %v: told %v", step, got)
		}
		if w.DetectStep() != 0 || w.StepCount() != 1 {
			t.Errorf("step of %v: told again, or %d steps", step, w.StepCount())
		}
		c.pass(100 * time.Millisecond)
		after := c.now.Wall
		c.pass(100 * time.Millisecond)
		if got := w.Age(before); got != 900*time.Millisecond {
			t.Errorf("step of %v: a stamp from before it is %v old, expected 900ms", step, got)
		}
		if got := w.Age(after); got != 100*time.Millisecond {
			t.Errorf("step of %v: a stamp from after it is %v old, expected 100ms", step, got)
		}
	}
}

// The step is seen by whoever asks first, also by a question for an age.
func TestAgeSeesAStep(t *testing.T) {
	c, w := newClocks()
	stamp := c.now.Wall
	c.pass(2 * time.Second)
	c.step(time.Hour)
	if got := w.Age(stamp); got != 2*time.Second {
		t.Errorf("found %v, expected 2s", got)
	}
	if w.StepCount() != 1 {
		t.Errorf("%d steps, expected 1", w.StepCount())
	}
}

func TestAgeOfTheFuture(t *testing.T) {
	c, w := newClocks()
	if got := w.Age(c.now.Wall.Add(time.Minute)); got != 0 {
		t.Errorf("found %v, expected 0", got)
	}
}

// A clock that is only slewed has not been stepped, and offsets stay bounded however often it is.
func TestSlewAndManySteps(t *testing.T) {
	c, w := newClocks()
	for range 1000 {
		c.pass(time.Second)
		c.step(400 * time.Microsecond)
		w.DetectStep()
	}
	if w.StepCount() > 1 { // 0.4 s in all
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

// The clock of the machine is read as it is.
func TestRealClock(t *testing.T) {
	w := NewWallClock()
	if age := w.Age(time.Now().Add(-time.Minute)); age < time.Minute || age > 2*time.Minute {
		t.Errorf("found %v, expected a minute", age)
	}
}
