//go:build review

// Package second runs the cases of the second review. Build the program and the stand-ins first: see review/REPORT-2.md.
package second

import (
	"errors"
	"os/exec"
	"testing"
)

// play runs a case, which must not break its rule.
func play(t *testing.T, script string) {
	t.Helper()
	out, err := exec.Command("sh", script).CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	case err != nil:
		t.Fatalf("could not be run: %v", err)
	}
}

func TestReviewGivenUpAttemptRunsLate(t *testing.T)  { play(t, "../6/run.sh") }
func TestReviewLateCopyIsServed(t *testing.T)        { play(t, "../7/run.sh") }
func TestReviewHangsWithoutDescriptors(t *testing.T) { play(t, "../8/run.sh") }
func TestReviewMemoryOfAnswersInPart(t *testing.T)   { play(t, "../9/run.sh") }
func TestReviewNewsInLateVoteAnswer(t *testing.T)    { play(t, "../10/run.sh") }
