package soak

import (
	"fmt"
	"time"
)

// Outcome is the outcome of a request.
type Outcome uint8

// The outcomes of a request. Those from Late on violate a guarantee of the platform's protocol.
const (
	Unanswered Outcome = iota // not answered; replaced by another outcome when its connection ends
	Unsent                    // not written completely
	Served                    // answered with its own value
	Refused                   // answered with BUSY: it can be retried safely
	Failed                    // answered with an error
	Unread                    // not read by the process, and the client can tell
	Cut                       // unanswered at the kill, but sent so early that the protocol allows it
	Late                      // answered more than maxLateness after its deadline
	Skipped                   // answered with another request's value; its own value never arrived on the connection
	Swapped                   // answered with another request's value; its own value arrived for another request on the connection
	Dropped                   // read or received by the process, which closed the connection without an answer
	Killed                    // unanswered at the kill
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"unanswered", "unsent", "served", "refused", "failed", "unread", "cut", "late", "skipped", "swapped", "dropped", "killed"}

// String returns the name of the outcome, as reports print it.
func (o Outcome) String() string { return outcomeNames[o] }

// Violation is a violation of a guarantee that does not concern a single request.
type Violation string

// The violations.
const (
	malformedAnswer      Violation = "a malformed answer"
	answerWithoutRequest Violation = "an answer without a request"
	unexpectedExit       Violation = "the process ended without SIGTERM"
	exitTooLate          Violation = "the process had not ended when the kill was due"
	ranTwice             Violation = "a request that must not be repeated reached servers twice"
	refusedThoughSent    Violation = "a request that must not be repeated was refused although a server had it"
	ranAfterWindow       Violation = "a request with an idempotency key reached a server again after the window"
	keyWentBack          Violation = "a key that the build on trial had answered reached the earlier build"
	tooMuchMemory        Violation = "the process took more memory than its limit"
)

// Result is the result of a run.
type Result struct {
	Plan                *Plan
	Requests            [outcomeCount]int
	Violations          map[Violation]int
	Connections         int             // that ended
	ConnectionsWithLoss int             // of these, those with a dropped or killed request
	ShutdownTimes       []time.Duration // from SIGTERM to the end, for each process
	MaxMemory           int64           // of any process, in bytes
	MaxAnonymous        int64           // the anonymous part, at its peak
	Examples            []string        // the first requests whose outcome violates a guarantee
}

// Passed reports whether no guarantee was violated.
func (r *Result) Passed() bool {
	for outcome := Late; outcome < outcomeCount; outcome++ {
		if r.Requests[outcome] > 0 {
			return false
		}
	}
	return len(r.Violations) == 0
}

// String returns the plan and the result in one line.
func (r *Result) String() string {
	text := r.Plan.String() + ";"
	for outcome := Unsent + 1; outcome < outcomeCount; outcome++ {
		text += fmt.Sprintf(" %v %d,", outcome, r.Requests[outcome])
	}
	text += fmt.Sprintf(" connections %d, with a loss %d; ended", r.Connections, r.ConnectionsWithLoss)
	for _, d := range r.ShutdownTimes {
		text += fmt.Sprintf(" %.2f", d.Seconds())
	}
	text += fmt.Sprintf(" s after SIGTERM, kill due at %.2f", r.Plan.killAfter().Seconds())
	text += fmt.Sprintf("; %d MB, %d MB of them anonymous", r.MaxMemory>>20, r.MaxAnonymous>>20)
	for violation, n := range r.Violations {
		text += fmt.Sprintf("; %s (%d)", violation, n)
	}
	return text
}

// maxExamples is the maximum number of requests that are reported one by one.
const maxExamples = 5

// auditConnection determines the outcomes of the requests of a connection that has ended.
func (x *run) auditConnection(c *connection, end connectionEnd) {
	x.mu.Lock()
	defer x.mu.Unlock()
	lost := false
	for _, r := range c.requests {
		switch {
		case r.outcome == Unanswered:
			r.outcome = x.classifyUnanswered(r, end)
		case r.outcome == Skipped && c.answeredIDs[r.id]:
			r.outcome = Swapped
		}
		x.result.Requests[r.outcome]++
		if c.plan.NotRepeatable {
			x.auditNotRepeatable(r)
		}
		lost = lost || r.outcome == Dropped || r.outcome == Killed
		if r.outcome >= Late && len(x.result.Examples) < maxExamples {
			x.result.Examples = append(x.result.Examples, fmt.Sprintf("%s (open %d): %v; sent %.3f s, connection ended %.3f s, after SIGTERM; reset %v, %d attempts",
				r.id, c.plan.MaxOpenRequests, r.outcome, r.sentAt.Sub(x.terminatedAt).Seconds(), end.at.Sub(x.terminatedAt).Seconds(), end.reset, x.attempts.of(r.id)))
		}
	}
	x.result.Connections++
	if lost {
		x.result.ConnectionsWithLoss++
	}
}

// auditNotRepeatable checks that a request which must not be repeated reached a server at most once, and not at all if it
// was refused: a refusal promises that a retry is harmless. x.mu is held.
func (x *run) auditNotRepeatable(r *request) {
	attempts := x.attempts.of(r.id)
	if attempts > 1 {
		x.result.Violations[ranTwice]++
	}
	if attempts > 0 && r.outcome == Refused {
		x.result.Violations[refusedThoughSent]++
	}
}

// classifyUnanswered returns the outcome of a request without an answer. A request that reached a server was read. One
// whose bytes the kernel of the process has acknowledged was read too, unless the connection was reset, as it is when
// it is closed with unread data.
func (x *run) classifyUnanswered(r *request, end connectionEnd) Outcome {
	switch {
	case x.killedAt != (time.Time{}) && !end.at.Before(x.killedAt):
		if r.sentAt.Sub(x.terminatedAt) > lostIfSentAfter {
			return Killed
		}
		return Cut
	case x.attempts.of(r.id) > 0:
		return Dropped
	case end.ackedBytes >= r.endOffset && !end.reset:
		return Dropped
	}
	return Unread
}

// noteViolation counts a violation.
func (x *run) noteViolation(violation Violation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.result.Violations[violation]++
}
