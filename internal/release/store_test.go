package release

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scalechute/internal/plan"
)

func examplePlan(t testing.TB) *plan.Plan {
	p, err := Load("../../deploy/plan.hcl", now)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func stateJSON(r *plan.Release) string {
	text, _ := json.Marshal(r.State)
	return string(text)
}

// randomEvent returns a random event. The plan rejects some of them.
func randomEvent(random *rand.Rand, at time.Time, grantNumber *int, release *plan.Release) *plan.Event {
	event := &plan.Event{At: at}
	switch random.Intn(12) {
	case 0, 1, 2:
		event.Kind = plan.EventTick
	case 3, 4, 5:
		event.Kind, event.Share = plan.EventFleetShare, []float64{0.1, 0.5, 1}[random.Intn(3)]
	case 6, 7, 8:
		event.Kind, event.Sentry, event.Wave, event.Verdict = plan.EventVote, plan.Sentry(random.Intn(5)), release.State.Wave, plan.Advance
		if random.Intn(30) == 0 {
			event.Verdict = plan.RollBack
		}
	case 9, 10:
		*grantNumber += random.Intn(2)
		event.Kind, event.Approval, event.Member, event.GrantID = plan.EventApproval, "two of the owners",
			plan.Member([]string{"release-1", "release-2", "nobody"}[random.Intn(3)]), string(rune('a'+*grantNumber%26))+time.Duration(*grantNumber).String()
	default:
		event.Kind = []plan.EventKind{plan.EventHold, plan.EventResume, plan.EventResume}[random.Intn(3)]
	}
	return event
}

// A store that is closed and opened again has the same state as a release in memory that gets the same events.
func TestReopen(t *testing.T) {
	phases := map[plan.Phase]bool{}
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		file := filepath.Join(t.TempDir(), "state")
		reference, stored := plan.New(examplePlan(t), time.Hour), plan.New(examplePlan(t), time.Hour)
		s, err := OpenStore(file, stored, 16)
		if err != nil {
			t.Fatal(err)
		}
		at, grantNumber := now, 0
		for range 150 {
			at = at.Add(time.Duration(random.Intn(3600)-120) * time.Second)
			event := randomEvent(random, at, &grantNumber, reference)
			before := reference.State.Now
			want, rejection := reference.Apply(event)
			if rejection != nil || event.Kind == plan.EventTick && len(want) == 0 {
				reference.State.Now = before
			}
			got, rejected, err := s.Apply(event)
			if err != nil || (len(rejected) > 0) != (rejection != nil) || len(got) != len(want) {
				t.Fatalf("%+v: %v, rejected %v, %v; expected %v %v", event, got, rejected, err, want, rejection)
			}
			if random.Intn(12) == 0 {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				stored = plan.New(examplePlan(t), time.Hour)
				if s, err = OpenStore(file, stored, 16); err != nil {
					t.Fatal(err)
				}
			}
			if stateJSON(stored) != stateJSON(reference) {
				t.Fatalf("found\n%s\nexpected\n%s", stateJSON(stored), stateJSON(reference))
			}
		}
		phases[reference.State.Phase] = true
		_ = s.Close()
	}
	if !phases[plan.OnTrial] || len(phases) < 2 {
		t.Errorf("only the phases %v were reached, expected on trial and another", phases)
	}
}

// writeStore writes a store's file with 150 events and returns the state.
func writeStore(t *testing.T, file string) (want string) {
	random, grantNumber := rand.New(rand.NewSource(3)), 0
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 40)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 150 {
		if _, _, err := s.Apply(randomEvent(random, now.Add(time.Duration(i)*time.Minute), &grantNumber, r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return stateJSON(r)
}

// A truncated or changed file is rejected with a message that says what to do, or is read with the state intact.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	intactFile := filepath.Join(dir, "whole")
	want := writeStore(t, intactFile)
	data, err := os.ReadFile(intactFile)
	if err != nil {
		t.Fatal(err)
	}
	isRejected := func(what, message string, bad []byte) (rejected bool) {
		file := filepath.Join(dir, "bad")
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		r := plan.New(examplePlan(t), time.Hour)
		s, err := OpenStore(file, r, 40)
		if err == nil {
			if stateJSON(r) != want {
				t.Errorf("%s: accepted with\n%s\nexpected\n%s", what, stateJSON(r), want)
			}
			_ = s.Close()
			return false
		}
		var corrupt *CorruptStoreError
		if !errors.As(err, &corrupt) || !strings.Contains(err.Error(), "restore a copy") || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: %v, expected %q", what, err, message)
		}
		return true
	}
	firstFreelist := int(binary.NativeEndian.Uint64(data[16+32:])) * os.Getpagesize() // of either meta page, which are written in turn
	secondFreelist := int(binary.NativeEndian.Uint64(data[os.Getpagesize()+16+32:])) * os.Getpagesize()
	replaced := func(old, new string) []byte { return bytes.ReplaceAll(data, []byte(old), []byte(new)) }
	shortFreelists := bytes.Clone(data)
	for _, at := range []int{firstFreelist, secondFreelist} {
		binary.NativeEndian.PutUint16(shortFreelists[at+10:], binary.NativeEndian.Uint16(shortFreelists[at+10:])-1)
	}
	badMeta := bytes.Clone(data)
	badMeta[16+20] ^= 1 // in the sequence of the first meta page's root bucket, which nothing else checks
	for _, x := range []struct {
		what, message string
		bad           []byte
	}{
		{"an event", "missing or with a wrong checksum", replaced(`"at":"2026-12-01T14`, `"at":"2026-12-01T15`)},
		{"the snapshot", "a snapshot with a wrong checksum", replaced(`"Held":false`, `"Held":true `)},
		{"a meta page", "a meta page with a wrong checksum", badMeta}, {"the freelist", "pages neither free nor in use", shortFreelists},
		{"the whole file", "an unreadable meta page", nil},
	} {
		if bytes.Equal(x.bad, data) || !isRejected(x.what, x.message, x.bad) {
			t.Errorf("%s: not changed, or accepted", x.what)
		}
	}
	random, rejected := rand.New(rand.NewSource(4)), 0
	for i := range 300 {
		bad := bytes.Clone(data)
		if i%3 == 0 {
			bad = bad[:random.Intn(len(bad))]
		} else {
			at := random.Intn(len(bad))
			for i%3 == 1 && bad[at] == 0 { // a byte that is not zero
				at = (at + 1) % len(bad)
			}
			bad[at] ^= 1 << random.Intn(8)
		}
		if isRejected(fmt.Sprint("damage ", i), "", bad) {
			rejected++
		}
	}
	t.Logf("%d of 300 rejected", rejected)
	if rejected < 60 {
		t.Errorf("only %d of 300 damaged files are rejected", rejected)
	}
}

// When the disk is full, the release keeps its earlier state in memory and on disk.
func TestDiskFull(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	s.db.MaxSize = 64 << 10
	random, grantNumber, failed := rand.New(rand.NewSource(5)), 0, 0
	for i := range 3000 {
		before, next := stateJSON(r), s.EventCount()
		actions, _, err := s.Apply(randomEvent(random, now.Add(time.Duration(i)*time.Second), &grantNumber, r))
		if err == nil {
			continue
		}
		if failed++; stateJSON(r) != before || s.EventCount() != next || len(actions) > 0 {
			t.Fatalf("%v, but the state changed or there are actions: %v", err, actions)
		}
		if failed == 3 {
			break
		}
	}
	if failed != 3 {
		t.Fatalf("the disk was full %d times", failed)
	}
	want := stateJSON(r)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r = plan.New(examplePlan(t), time.Hour)
	if s, err = OpenStore(file, r, 1_000_000); err != nil || stateJSON(r) != want {
		t.Fatalf("%v\n%s\nexpected\n%s", err, stateJSON(r), want)
	}
	// The file is in use, and then belongs to another plan.
	if _, err := OpenStore(file, plan.New(examplePlan(t), time.Hour), 16); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("two stores with one file: %v", err)
	}
	_ = s.Close()
	otherPlan := examplePlan(t)
	otherPlan.Windows[0].Zone = time.UTC
	if _, err := OpenStore(file, plan.New(otherPlan, time.Hour), 16); err == nil || !strings.Contains(err.Error(), "the state of another plan") {
		t.Errorf("another plan with this file: %v", err)
	}
}
