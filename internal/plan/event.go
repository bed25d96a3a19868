package plan

import (
	"fmt"
	"time"
)

// EventKind is the kind of an event. Its text is stored.
type EventKind string

// The kinds of events.
const (
	EventTick         EventKind = "tick"    // time has passed
	EventFleetShare   EventKind = "reached" // a share of the fleet runs the build
	EventCapConfirmed EventKind = "heard"   // no sentry sends the build more than a cap any longer
	EventVote         EventKind = "vote"    // a sentry has voted
	EventApproval     EventKind = "approve" // a member has granted an approval
	EventHold         EventKind = "hold"    // no wave may start until a resume
	EventResume       EventKind = "resume"  // waves may start, the next one despite its own hold
	EventRollBack     EventKind = "back"    // a manual roll-back
)

// Event is an event of a release, as it is stored on disk. Which fields are set depends on the kind.
type Event struct {
	Kind     EventKind `json:"kind"`
	At       time.Time `json:"at"`
	Sentry   Sentry    `json:"sentry,omitempty"`
	Wave     int       `json:"wave,omitempty"`
	Verdict  Verdict   `json:"verdict,omitempty"`
	Approval string    `json:"approval,omitempty"`
	Member   Member    `json:"member,omitempty"`
	GrantID  string    `json:"name,omitempty"`  // the grant's own ID
	Share    float64   `json:"share,omitempty"` // of the fleet; for EventCapConfirmed, the cap
}

// Apply applies an event and returns the actions to take. The same events on the same state always give the same actions
// and the same state. An event that is rejected changes nothing but the time of the last event.
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
	return nil, fmt.Errorf("found an event of kind %q, expected a known kind", e.Kind)
}
