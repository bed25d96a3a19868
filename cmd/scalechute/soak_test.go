package main

import (
	"os"
	"testing"
	"time"

	"scalechute/internal/soak"
)

// soaked plays a plan on this program, and fails the test if a promise was broken.
func soaked(t *testing.T, plan *soak.Plan) {
	t.Helper()
	result, err := soak.Play(plan, soak.Options{Program: []string{os.Args[0]}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	if !result.Good() {
		t.Errorf("a promise was broken: %q", result.Examples)
	}
}

// Clients that keep their pipelines full go on using their connections after SIGTERM for as long as these stay open, and
// SIGKILL comes at the earliest time that the protocol allows. It must find nothing: every request has its answer, or was
// not read and its client sees that.
func TestPipelinesEndBeforeTheKill(t *testing.T) {
	for _, c := range []struct {
		open  int
		pause time.Duration
	}{{1, 0}, {2, 0}, {4, 20 * time.Millisecond}, {8, 0}, {8, 20 * time.Millisecond}} {
		soaked(t, soak.Pipelines(1, 20, c.open, c.pause))
	}
}

// Runs drawn from fixed seeds, one in three with more clients than there may be connections.
func TestSoak(t *testing.T) {
	const first, runs = 1, 14
	for seed := uint64(first); seed < first+runs; seed++ {
		soaked(t, soak.Draw(seed))
	}
}
