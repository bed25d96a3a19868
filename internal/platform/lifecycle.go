package platform

// connState is the state of a client's connection.
type connState uint8

const (
	stateReading     connState = iota // everything that arrives is read
	stateReadingRest                  // nothing is read but the rest of a partial command
	stateAnswering                    // nothing is read; commands that were read await their replies
	stateFinishing                    // all replies are passed on for writing; the stream ends once they are written
	stateClosed
)

// lifecycle is the state machine of a client's connection. It has no locks and does no I/O: clientConn holds its mutex
// for each event, and reports an event together with the change that the event is about, so that no other goroutine sees
// one without the other.
//
//	state       | stopReading              | commandRead | partialRead | replyPassedOn      | abandonPartial     | close
//	reading     | rest, answering or       | reading     | reading     | reading            | -                  | closed
//	            | finishing                |             |             |                    |                    |
//	readingRest | -                        | answering   | readingRest | readingRest        | answering or       | closed
//	            |                          |             |             |                    | finishing          |
//	answering   | -                        | rejected    | -           | answering or       | -                  | closed
//	            |                          |             |             | finishing          |                    |
//	finishing   | -                        | rejected    | -           | -                  | -                  | closed
//	closed      | -                        | rejected    | -           | -                  | -                  | -
//
// Events that may lead to stateFinishing return whether they have: the caller then ends the stream. That happens at
// most once, and only when no command that was read awaits its reply.
type lifecycle struct {
	state        connState
	openCommands int  // commands that were read and whose replies are not passed on for writing yet
	partial      bool // a part of a command was read, and its rest is awaited
	ignoresInput bool // what is read after the current command is ignored: the client sent QUIT or invalid data
}

// commandRead reports that a complete command was read, which may have been partial before. It returns false if the
// command is to be ignored.
func (l *lifecycle) commandRead() bool {
	if l.ignoresInput || l.state > stateReadingRest {
		return false
	}
	l.openCommands++
	l.partial = false
	l.settle()
	return true
}

// partialRead reports that a part of a command was read.
func (l *lifecycle) partialRead() {
	if !l.ignoresInput && l.state <= stateReadingRest {
		l.partial = true
	}
}

// ignoreInput reports that nothing that follows the current command is to be handled.
func (l *lifecycle) ignoreInput() (finished bool) {
	l.ignoresInput, l.partial = true, false
	return l.settle()
}

// replyPassedOn reports that the reply to the oldest open command was passed on for writing.
func (l *lifecycle) replyPassedOn() (finished bool) {
	l.openCommands--
	return l.settle()
}

// stopReading reports that nothing is read any more, except for the rest of a partial command.
func (l *lifecycle) stopReading() (finished bool) {
	if l.state != stateReading {
		return false
	}
	l.state = stateAnswering
	return l.settle()
}

// abandonPartial reports that the rest of a partial command is awaited no longer, and is not read.
func (l *lifecycle) abandonPartial() (finished bool) {
	if l.state != stateReadingRest {
		return false
	}
	l.partial = false
	return l.settle()
}

// close reports that the connection has closed.
func (l *lifecycle) close() { l.state = stateClosed }

// isReading reports whether reading has not been stopped.
func (l *lifecycle) isReading() bool { return l.state == stateReading }

// isQuiet reports whether no command is open or partial.
func (l *lifecycle) isQuiet() bool { return l.openCommands == 0 && !l.partial }

// settle enters the state that the commands require, once reading has stopped, and reports whether that is
// stateFinishing.
func (l *lifecycle) settle() (finished bool) {
	if l.state != stateReadingRest && l.state != stateAnswering {
		return false
	}
	switch {
	case l.partial:
		l.state = stateReadingRest
	case l.openCommands > 0:
		l.state = stateAnswering
	default:
		l.state = stateFinishing
	}
	return l.state == stateFinishing
}
