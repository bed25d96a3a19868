package plan

import (
	"fmt"
	"time"
)

// EventKind is what happened to a release.
type EventKind string

const (
	Ticked   EventKind = "tick"
	Reached  EventKind = "reached"
	Heard    EventKind = "heard"
	Voted    EventKind = "vote"
	Approved EventKind = "approve"
	Held     EventKind = "hold"
	Resumed  EventKind = "resume"
	Backed   EventKind = "back"
)

// Event is one thing that happened, as it is kept on disk. Which fields count depends on its kind.
type Event struct {
	Kind     EventKind `json:"kind"`
	At       time.Time `json:"at"`
	Sentry   Sentry    `json:"sentry,omitempty"`
	Wave     int       `json:"wave,omitempty"`
	Verdict  Verdict   `json:"verdict,omitempty"`
	Approval string    `json:"approval,omitempty"`
	Member   Member    `json:"member,omitempty"`
	Name     string    `json:"name,omitempty"` // of the approval given, its own
	Share    float64   `json:"share,omitempty"`
}

// Step takes an event. The same events from the same state give the same effects and state. One that is refused changes
// nothing but the clock.
func (r *Release) Step(e *Event) ([]Effect, error) {
	switch e.Kind {
	case Ticked:
		return r.Tick(e.At), nil
	case Reached:
		return r.Reached(e.At, e.Share), nil
	case Heard:
		return r.Heard(e.At, e.Share), nil
	case Voted:
		return r.Vote(e.At, e.Sentry, e.Wave, e.Verdict)
	case Approved:
		return r.Approve(e.At, e.Approval, e.Member, e.Name)
	case Held:
		r.Hold(e.At)
		return nil, nil
	case Resumed:
		return r.Resume(e.At), nil
	case Backed:
		return r.Back(e.At)
	}
	return nil, fmt.Errorf("found an event of kind %q, expected one that is known", e.Kind)
}
