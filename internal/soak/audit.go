package soak

import (
	"fmt"
	"time"
)

// Fate is what became of a request.
type Outcome uint8

// The fates of a request. Those from late on break a promise.
const (
	Unanswered Outcome = iota // to be told by how its connection ended
	Unsent                    // not written whole
	Served                    // by its own answer
	Refused                   // a later try is harmless
	Failed                    // answered, not served
	Unread                    // the process did not read it, and its client sees that
	Cut                       // found by the kill, and so old that the protocol allows it
	Late                      // answered after its deadline and the half second
	Skipped                   // got another request's answer, and its own came nowhere
	Swapped                   // got another request's answer, and its own came in another place
	Dropped                   // read, or come, and its connection ended by the process with no answer
	Killed                    // found unanswered by the kill
	fates
)

var fateNames = [fates]string{"unanswered", "unsent", "served", "refused", "failed", "unread", "cut", "late", "skipped", "swapped", "dropped", "killed"}

func (f Outcome) String() string { return fateNames[f] }

// Breach is a broken promise that is no request's fate.
type Violation string

// The breaches.
const (
	malformedAnswer      Violation = "an answer that can't be read"
	answerWithoutRequest Violation = "an answer without a request"
	crash                Violation = "the process ended without SIGTERM"
	notEnded             Violation = "the process had not ended when the kill was due"
)

// Result is what one run came to.
type Result struct {
	Plan                *Plan
	Requests            [fates]int
	Violations          map[Violation]int
	Connections         int             // that ended
	ConnectionsWithLoss int             // of these, such with a request dropped or found by the kill
	ShutdownTimes       []time.Duration // after SIGTERM, in each life
	MaxMemory           int64           // most that a process had, in bytes
	Examples            []string        // the first few requests with a broken promise
}

// Good says that no promise was broken.
func (r *Result) Passed() bool {
	for f := Late; f < fates; f++ {
		if r.Requests[f] > 0 {
			return false
		}
	}
	return len(r.Violations) == 0
}

func (r *Result) String() string {
	text := r.Plan.String() + ";"
	for f := Unsent + 1; f < fates; f++ {
		text += fmt.Sprintf(" %v %d,", f, r.Requests[f])
	}
	text += fmt.Sprintf(" connections %d, with a loss %d; ended", r.Connections, r.ConnectionsWithLoss)
	for _, d := range r.ShutdownTimes {
		text += fmt.Sprintf(" %.2f", d.Seconds())
	}
	text += fmt.Sprintf(" s after SIGTERM, kill due at %.2f", r.Plan.killAfter().Seconds())
	text += fmt.Sprintf("; %d MB", r.MaxMemory>>20)
	for b, n := range r.Violations {
		text += fmt.Sprintf("; %s (%d)", b, n)
	}
	return text
}

// mostExamples is how many broken promises are told of one by one.
const mostExamples = 5

// audit tells what became of the requests of a connection that has ended.
func (x *run) audit(c *connection, e ending) {
	x.mu.Lock()
	defer x.mu.Unlock()
	lost := false
	for _, r := range c.all {
		switch {
		case r.fate == Unanswered:
			r.fate = x.fate(r, e)
		case r.fate == Skipped && c.values[r.id]:
			r.fate = Swapped
		}
		x.result.Requests[r.fate]++
		lost = lost || r.fate == Dropped || r.fate == Killed
		if r.fate >= Late && len(x.result.Examples) < mostExamples {
			x.result.Examples = append(x.result.Examples, fmt.Sprintf("%s (open %d): %v; sent %.3f s, connection ended %.3f s, after SIGTERM; reset %v, %d attempts",
				r.id, c.plan.MaxOpenRequests, r.fate, r.sent.Sub(x.terminated).Seconds(), e.at.Sub(x.terminated).Seconds(), e.reset, x.seen.of(r.id)))
		}
	}
	x.result.Connections++
	if lost {
		x.result.ConnectionsWithLoss++
	}
}

// fate tells what became of a request that has no answer. One that a server saw was read. One that had come to the process's
// machine was read too, unless the close drew a reset, as it does over what is unread.
func (x *run) fate(r *request, e ending) Outcome {
	switch {
	case x.killedAt != (time.Time{}) && !e.at.Before(x.killedAt):
		if r.sent.Sub(x.terminated) > lostFrom {
			return Killed
		}
		return Cut
	case x.seen.of(r.id) > 0:
		return Dropped
	case e.acked >= r.end && !e.reset:
		return Dropped
	}
	return Unread
}

// note counts a breach.
func (x *run) note(b Violation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.result.Violations[b]++
}
