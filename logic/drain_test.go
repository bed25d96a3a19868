package logic

import "testing"

// Whatever the deadlines, what is read until reading stops can be answered within the longest of them, and 0.15 s of being
// held up still leave the process time to end before the earliest kill.
func TestDrainSchedule(t *testing.T) {
	const heldUp = 150 * millisecond
	for _, longest := range []Micros{1, 50 * millisecond, 900 * millisecond, 3 * second, 6 * second, 60 * second} {
		kill := min(longest, 3*second) + 700*millisecond
		s := DrainScheduleFor(longest)
		if StopReadingAfter <= 400*millisecond {
			t.Errorf("reading stops after %d us, expected later than new connections come", StopReadingAfter)
		}
		if s.AnswerBy < StopReadingAfter+min(longest, 3*second) || s.CloseBy <= s.AnswerBy || s.CloseBy+heldUp >= kill {
			t.Errorf("deadline %d: %+v, kill at %d", longest, s, kill)
		}
	}
	if FinalAction(0) != Defer || FinalAction(1) != WriteOff {
		t.Error("a request of which nothing was sent is refused, any other has failed")
	}
}
