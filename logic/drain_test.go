package logic

import "testing"

// A process that stops reading too late is killed before it has answered all that it read. For any longest deadline,
// what is read until reading stops can be answered within that deadline, and after a stall of 150 ms the process still
// ends before the earliest kill.
func TestDrainSchedule(t *testing.T) {
	const stall = 150 * millisecond
	for _, longestDeadline := range []Micros{1, 50 * millisecond, 900 * millisecond, 3 * second, 6 * second, 60 * second} {
		kill := min(longestDeadline, 3*second) + 700*millisecond
		schedule := DrainScheduleFor(longestDeadline)
		if StopReadingAfter <= 400*millisecond {
			t.Errorf("reading stops after %d us, expected more than 400000 us, by which time no new connections arrive", StopReadingAfter)
		}
		if schedule.AnswerBy < StopReadingAfter+min(longestDeadline, 3*second) || schedule.CloseBy <= schedule.AnswerBy || schedule.CloseBy+stall >= kill {
			t.Errorf("longest deadline %d us: found %+v, expected AnswerBy to leave that deadline, and CloseBy after it and 150 ms before the kill at %d us", longestDeadline, schedule, kill)
		}
	}
	if FinalAction(0) != Defer || FinalAction(1) != WriteOff {
		t.Error("found another action, expected to defer a transaction without a hand-off and to write off any other")
	}
}

// A process that was not stalled over AnswerBy closes connections at CloseBy. One that was gives its last answers first,
// and closes connections before the earliest kill all the same.
func TestCloseDueAfterStall(t *testing.T) {
	const stall = 150 * millisecond
	s := DrainScheduleFor(900 * millisecond)
	if s.CloseDue(s.CloseBy-1, s.AnswerBy) || !s.CloseDue(s.CloseBy, s.AnswerBy) {
		t.Error("without a stall, connections are not closed just at CloseBy")
	}
	resumed := s.AnswerBy - 1 + stall
	if s.CloseDue(resumed, resumed) || s.CloseDue(resumed+answerFlushTime-1, resumed) {
		t.Error("connections are closed before the answers that were due during the stall are flushed")
	}
	if last := s.CloseBy + stall; !s.CloseDue(last, last) || last >= 1600*millisecond {
		t.Error("connections may be open at the earliest kill")
	}
}
