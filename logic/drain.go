package logic

// The steps of a planned stop. The platform kills the process no sooner than the longest deadline and killAfterDeadline after
// it asked it to stop, and whatever the kill finds unanswered is lost. Clients use their connections for as long as these stay
// open, so the process stops reading each of them in time for what it has read to be answered within the longest deadline:
//
//	stop reading | longest deadline: the last request is answered | last answers leave | held up, and the end | kill
//
// What is not read by then was never taken, and its client sees that.

const (
	// SIGKILL comes no sooner than this after the longest deadline, a longer one than longestCounted counting as that
	// (PROTOCOL page, figures).
	killAfterDeadline  = 700 * millisecond
	maxCountedDeadline = 3 * second

	// The process may be held up for 150 ms (STANDING page), and its end takes a while.
	drainMargin = 200 * millisecond

	// From the last answer to when its connection is closed whatever its client does.
	answerFlushTime = 80 * millisecond

	// StopReadingAfter is when connections are read no more, after the process was asked to stop.
	StopReadingAfter = killAfterDeadline - drainMargin - answerFlushTime
)

// DrainSchedule says when the last steps of a planned stop are due, after the process was asked to stop.
type DrainSchedule struct {
	AnswerBy Micros // each request has its final answer
	CloseBy  Micros // all connections of clients are closed
}

// DrainScheduleFor gives the schedule for the longest deadline of any class.
func DrainScheduleFor(longest Micros) DrainSchedule {
	answerBy := StopReadingAfter + min(longest, maxCountedDeadline)
	return DrainSchedule{AnswerBy: answerBy, CloseBy: answerBy + answerFlushTime}
}

// FinalAnswer rules on a request that has no answer when it must have one: it is refused if nothing of it was ever sent to a
// server, for then a retry is harmless, and has failed otherwise.
func FinalAction(attempts int) ActionKind {
	if attempts == 0 {
		return Defer
	}
	return WriteOff
}
