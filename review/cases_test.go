//go:build review

// Package review runs the cases of the review. Build the program and the stand-ins first: see REPORT.md.
package review

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// play runs a command that plays a case, which must not break its rule.
func play(t *testing.T, command ...string) {
	t.Helper()
	out, err := exec.Command(command[0], command[1:]...).CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	case err != nil:
		t.Fatalf("could not be run: %v", err)
	}
}

func TestReviewForeignValue(t *testing.T) { play(t, "sh", "1/run.sh") }
func TestReviewRunsTwice(t *testing.T)    { play(t, "sh", "2/run.sh") }
func TestReviewKeyGoesBack(t *testing.T)  { play(t, "sh", "3/run.sh") }

// The fourth fault of the report is no case of its own.
func TestReviewMemoryLimit(t *testing.T) {
	play(t, "bin/rig", "memory", "..", filepath.Join(t.TempDir(), "record.txt"))
}
