package logic

// The schedule of a planned stop.
//
// The platform kills the process no sooner than killAfterDeadline plus the longest deadline after the request to stop,
// and the kill loses every transaction that has no answer. Clients use their connections for as long as these stay open.
// So the process stops reading from them early enough to answer all that it has read within the longest deadline:
//
//	reading stops | longest deadline: last answer is written | answers are flushed | stall margin, process ends | kill
//
// A transaction that was not read by then was never accepted, and its client can see that.

const (
	// SIGKILL comes no sooner than killAfterDeadline after the longest deadline. A deadline longer than
	// maxCountedDeadline counts as maxCountedDeadline (PROTOCOL page, figures).
	killAfterDeadline  = 700 * millisecond
	maxCountedDeadline = 3 * second

	// The process may be stalled for this long (STANDING page).
	maxStall = 150 * millisecond
	// Time for a stall and for the exit.
	drainMargin = maxStall + 50*millisecond

	// From the last answer until its connection is closed, even if the client has not read the answer.
	answerFlushTime = 80 * millisecond

	// From the time at which a client that is behind is sent no further values until its connection is closed: it takes
	// what is on its way in this time.
	lastValuesTime = 400 * millisecond

	// StopReadingAfter is the time from the request to stop until the process stops reading from its clients.
	StopReadingAfter = killAfterDeadline - drainMargin - answerFlushTime
)

// DrainSchedule is when the last steps of a planned stop are due, measured from the request to stop.
type DrainSchedule struct {
	LastValuesBy Micros // values that wait for a client that is behind are replaced by errors
	AnswerBy     Micros // each transaction has its final answer
	CloseBy      Micros // all client connections are closed, unless the process was stalled (CloseDue)
}

// DrainScheduleFor returns the schedule for the longest deadline of any profile.
func DrainScheduleFor(longestDeadline Micros) DrainSchedule {
	answerBy := StopReadingAfter + min(longestDeadline, maxCountedDeadline)
	closeBy := answerBy + answerFlushTime
	return DrainSchedule{LastValuesBy: closeBy - lastValuesTime, AnswerBy: answerBy, CloseBy: closeBy}
}

// CloseDue reports whether client connections are to be closed now. answersDueSeen is when the process first saw that
// answers were due, both counted from the request to stop. A process that was stalled over AnswerBy still has its last
// answers to give, so it closes connections answerFlushTime after it has seen that, within the time for the stall.
func (s DrainSchedule) CloseDue(now, answersDueSeen Micros) bool {
	return now >= s.CloseBy && now >= answersDueSeen+answerFlushTime || now >= s.CloseBy+maxStall
}

// FinalAction returns the action for a transaction that must be answered now and has no answer. If no hand-off was ever
// sent, the transaction is deferred, because a retry is harmless. Otherwise it is written off.
func FinalAction(handOffs int) ActionKind {
	if handOffs == 0 {
		return Defer
	}
	return WriteOff
}
