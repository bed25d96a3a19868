package plan

import (
	"fmt"
	"time"
)

// EventKind is what happened to a release.
type EventKind string

const (
	EventTick         EventKind = "tick"
	EventFleetShare   EventKind = "reached"
	EventCapConfirmed EventKind = "heard"
	EventVote         EventKind = "vote"
	EventApproval     EventKind = "approve"
	EventHold         EventKind = "hold"
	EventResume       EventKind = "resume"
	EventRollBack     EventKind = "back"
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
	GrantID  string    `json:"name,omitempty"` // of the approval given, its own
	Share    float64   `json:"share,omitempty"`
}

// Step takes an event. The same events from the same state give the same effects and state. One that is refused changes
// nothing but the clock.
func (r *Release) Apply(e *Event) ([]Action, error) {
	switch e.Kind {
	case EventTick:
		return r.Tick(e.At), nil
	case EventFleetShare:
		return r.UpdateFleetShare(e.At, e.Share), nil
	case EventCapConfirmed:
		return r.ConfirmCap(e.At, e.Share), nil
	case EventVote:
		return r.Vote(e.At, e.Sentry, e.Wave, e.Verdict)
	case EventApproval:
		return r.Approve(e.At, e.Approval, e.Member, e.GrantID)
	case EventHold:
		r.Hold(e.At)
		return nil, nil
	case EventResume:
		return r.Resume(e.At), nil
	case EventRollBack:
		return r.RollBack(e.At)
	}
	return nil, fmt.Errorf("found an event of kind %q, expected one that is known", e.Kind)
}
