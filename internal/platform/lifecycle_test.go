package platform

import (
	"fmt"
	"slices"
	"testing"
)

// connModel is a model of a client's connection: what has arrived, what was read, and the state machine under test. It
// holds no pointers, so that a copy is independent.
type connModel struct {
	lifecycle lifecycle
	// completesInTwoSteps injects a fault: a command stops being partial in one step and is queued in a later one.
	completesInTwoSteps bool

	read, replied   int  // commands
	partsRead       int  // parts of the current command that were read, of partsPerCommand
	queueDue        bool // with the injected fault: the second step is due
	stopped         bool
	abandoned       bool // the partial command's rest is not read
	quit            bool
	ended           int // times that the stream was ended
	lost            int // commands that were read and not replied to when the stream ended
	closed, peerEnd bool
}

const partsPerCommand = 3

// linkReads reports whether the link reads what arrives: everything until it is stopped, then the rest of a partial
// command.
func (m *connModel) linkReads() bool {
	return !m.closed && !m.queueDue && !m.quit && (!m.stopped || m.partsRead > 0 && !m.abandoned)
}

// end notes the end of the stream.
func (m *connModel) end(finished bool) {
	if finished {
		m.ended++
		m.lost += m.read - m.replied
	}
}

// A connEvent is an event that may occur in a model for which it is possible.
type connEvent struct {
	name     string
	possible func(m *connModel) bool
	apply    func(m *connModel)
}

var connEvents = []connEvent{
	{"a part of a command arrives", (*connModel).linkReads, func(m *connModel) {
		if m.partsRead++; m.partsRead < partsPerCommand {
			m.lifecycle.partialRead()
			return
		}
		m.partsRead = 0
		m.read++
		if m.completesInTwoSteps {
			m.lifecycle.partial = false
			m.end(m.lifecycle.settle())
			m.queueDue = true
			return
		}
		m.lifecycle.commandRead()
	}},
	{"the injected second step", func(m *connModel) bool { return m.queueDue }, func(m *connModel) {
		m.queueDue = false
		m.lifecycle.commandRead()
	}},
	{"a whole command arrives", func(m *connModel) bool { return m.linkReads() && !m.stopped && m.partsRead == 0 }, func(m *connModel) {
		m.read++
		m.lifecycle.commandRead()
	}},
	{"QUIT arrives", func(m *connModel) bool { return m.linkReads() && !m.stopped && m.partsRead == 0 }, func(m *connModel) {
		m.read++
		m.lifecycle.commandRead()
		m.quit = true
		m.end(m.lifecycle.ignoreInput())
	}},
	{"the oldest reply is passed on", func(m *connModel) bool { return !m.closed && m.lifecycle.openCommands > 0 }, func(m *connModel) {
		m.replied++
		m.end(m.lifecycle.replyPassedOn())
	}},
	{"reading stops", func(m *connModel) bool { return !m.closed && !m.stopped }, func(m *connModel) {
		m.stopped = true
		m.end(m.lifecycle.stopReading())
	}},
	{"the rest is abandoned", func(m *connModel) bool { return !m.closed && m.stopped && !m.abandoned }, func(m *connModel) {
		m.abandoned = true
		m.end(m.lifecycle.abandonPartial())
	}},
	{"the connection closes", func(m *connModel) bool { return !m.closed }, func(m *connModel) {
		m.closed = true
		m.lifecycle.close()
	}},
}

// violation describes what a model violates, and is empty if that is nothing.
func (m *connModel) violation() string {
	state := m.lifecycle.state
	awaitsRest := m.stopped && m.partsRead > 0 && !m.abandoned && !m.quit
	settled := m.stopped && m.read == m.replied && !awaitsRest && !m.queueDue
	switch {
	case m.lost > 0:
		return fmt.Sprint(m.lost, " commands were read and have no reply at the end of the stream")
	case m.ended > 1:
		return "the stream ended twice"
	case m.closed != (state == stateClosed):
		return "closed only in the model or only in the state machine"
	case m.closed:
		return ""
	case m.stopped == m.lifecycle.isReading():
		return "reads after the stop, or stopped without one"
	case awaitsRest != (state == stateReadingRest):
		return "the rest of a command is read though it is not awaited, or the other way round"
	case settled != (state == stateFinishing), settled != (m.ended == 1):
		return "everything is replied to and the stream does not end, or the other way round"
	case m.ended == 1 && m.linkReads():
		return "commands are read after the end of the stream"
	}
	return ""
}

// explore plays all orders of at most depth further events on a model, and returns the first order that violates
// something, with what it violates, and the number of models that it has seen.
func explore(m connModel, order []string, depth int) (violation string, seen int) {
	if what := m.violation(); what != "" {
		return fmt.Sprintf("%s after %q", what, order), 1
	}
	seen = 1
	for _, event := range connEvents {
		if depth == 0 || !event.possible(&m) {
			continue
		}
		next := m
		event.apply(&next)
		what, n := explore(next, append(slices.Clone(order), event.name), depth-1)
		seen += n
		if what != "" {
			return what, seen
		}
	}
	return "", seen
}

// In every order of up to exploredEvents events on a connection, each command that was read has its reply before the
// stream ends, the stream ends as soon as that is so after reading has stopped, and nothing is read afterwards.
//
// The second part shows that the search finds a command that stops being partial before it is queued: a reply that is
// passed on in between ended the stream, and the command's own reply was lost.
func TestLifecycleInEveryOrder(t *testing.T) {
	const exploredEvents = 13
	violation, seen := explore(connModel{}, nil, exploredEvents)
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d orders", seen)
	if violation, _ := explore(connModel{completesInTwoSteps: true}, nil, exploredEvents); violation == "" {
		t.Error("the search does not find a command that is queued after it stops being partial")
	} else {
		t.Log("with the injected fault: ", violation)
	}
}
