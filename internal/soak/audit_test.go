package soak

import "testing"

// The audit reports a request that must not be repeated if it reached servers twice, or was refused though one had it.
func TestAuditNotRepeatable(t *testing.T) {
	for _, c := range []struct {
		attempts int
		outcome  Outcome
		want     map[Violation]int
	}{
		{0, Refused, nil}, {1, Served, nil}, {1, Failed, nil}, {1, Refused, map[Violation]int{refusedThoughSent: 1}},
		{2, Served, map[Violation]int{ranTwice: 1}}, {2, Refused, map[Violation]int{ranTwice: 1, refusedThoughSent: 1}},
	} {
		x := &run{attempts: &attemptCounts{counts: map[string]int{"a": c.attempts}}, result: &Result{Violations: map[Violation]int{}}}
		x.auditNotRepeatable(&request{id: "a", outcome: c.outcome})
		if got := x.result.Violations; len(got) != len(c.want) || got[ranTwice] != c.want[ranTwice] || got[refusedThoughSent] != c.want[refusedThoughSent] {
			t.Errorf("%d attempts, %v: %v, expected %v", c.attempts, c.outcome, got, c.want)
		}
	}
}
