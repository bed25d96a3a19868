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

func state(r *plan.Release) string {
	text, _ := json.Marshal(r.State)
	return string(text)
}

// draw is an event as a day may have it, some of them such that the plan refuses them.
func draw(chance *rand.Rand, at time.Time, names *int, r *plan.Release) *plan.Event {
	e := &plan.Event{At: at}
	switch chance.Intn(12) {
	case 0, 1, 2:
		e.Kind = plan.EventTick
	case 3, 4, 5:
		e.Kind, e.Share = plan.EventFleetShare, []float64{0.1, 0.5, 1}[chance.Intn(3)]
	case 6, 7, 8:
		e.Kind, e.Sentry, e.Wave, e.Verdict = plan.EventVote, plan.Sentry(chance.Intn(5)), r.State.Wave, plan.Advance
		if chance.Intn(30) == 0 {
			e.Verdict = plan.RollBack
		}
	case 9, 10:
		*names += chance.Intn(2)
		e.Kind, e.Approval, e.Member, e.GrantID = plan.EventApproval, "two of the owners", plan.Member([]string{"release-1", "release-2", "nobody"}[chance.Intn(3)]),
			string(rune('a'+*names%26))+time.Duration(*names).String()
	default:
		e.Kind = []plan.EventKind{plan.EventHold, plan.EventResume, plan.EventResume}[chance.Intn(3)]
	}
	return e
}

// However often it is opened anew, the store has the release exactly where one that never stopped is.
func TestComesBack(t *testing.T) {
	phases := map[plan.Phase]bool{}
	for seed := range int64(20) {
		chance := rand.New(rand.NewSource(seed))
		file := filepath.Join(t.TempDir(), "state")
		twin, kept := plan.New(examplePlan(t), time.Hour), plan.New(examplePlan(t), time.Hour)
		s, err := OpenStore(file, kept, 16)
		if err != nil {
			t.Fatal(err)
		}
		at, names := now, 0
		for range 150 {
			at = at.Add(time.Duration(chance.Intn(3600)-120) * time.Second)
			e := draw(chance, at, &names, twin)
			before := twin.State.Now
			want, no := twin.Apply(e)
			if no != nil || e.Kind == plan.EventTick && len(want) == 0 {
				twin.State.Now = before
			}
			got, refused, err := s.Apply(e)
			if err != nil || (len(refused) > 0) != (no != nil) || len(got) != len(want) {
				t.Fatalf("%+v: %v, refused %v, %v; expected %v %v", e, got, refused, err, want, no)
			}
			if chance.Intn(12) == 0 {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				kept = plan.New(examplePlan(t), time.Hour)
				if s, err = OpenStore(file, kept, 16); err != nil {
					t.Fatal(err)
				}
			}
			if state(kept) != state(twin) {
				t.Fatalf("kept\n%s\nexpected\n%s", state(kept), state(twin))
			}
		}
		phases[twin.State.Phase] = true
		_ = s.Close()
	}
	if !phases[plan.OnTrial] || len(phases) < 2 {
		t.Errorf("too little happened: %v", phases)
	}
}

// full is a store's file after a day.
func full(t *testing.T, file string) (want string) {
	chance, names := rand.New(rand.NewSource(3)), 0
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 40)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 150 {
		if _, _, err := s.Apply(draw(chance, now.Add(time.Duration(i)*time.Minute), &names, r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return state(r)
}

// A file that was cut or changed is refused with what to do, or nothing that counts was changed: never anything between.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	whole := filepath.Join(dir, "whole")
	want := full(t, whole)
	data, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	damaged := func(what, found string, bad []byte) (refused bool) {
		file := filepath.Join(dir, "bad")
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		r := plan.New(examplePlan(t), time.Hour)
		s, err := OpenStore(file, r, 40)
		if err == nil {
			if state(r) != want {
				t.Errorf("%s: taken, with\n%s\nexpected\n%s", what, state(r), want)
			}
			_ = s.Close()
			return false
		}
		var f *CorruptStoreError
		if !errors.As(err, &f) || !strings.Contains(err.Error(), "put back a copy") || !strings.Contains(err.Error(), found) {
			t.Errorf("%s: %v, expected %q", what, err, found)
		}
		return true
	}
	free := int(binary.NativeEndian.Uint64(data[16+32:])) * os.Getpagesize() // of either head: the page is used in turn
	other := int(binary.NativeEndian.Uint64(data[os.Getpagesize()+16+32:])) * os.Getpagesize()
	swap := func(old, new string) []byte { return bytes.ReplaceAll(data, []byte(old), []byte(new)) }
	less := bytes.Clone(data)
	for _, at := range []int{free, other} {
		binary.NativeEndian.PutUint16(less[at+10:], binary.NativeEndian.Uint16(less[at+10:])-1)
	}
	head := bytes.Clone(data)
	head[16+20] ^= 1 // in the sequence of the first head's root, which nothing else looks at
	for _, x := range []struct {
		what, found string
		bad         []byte
	}{
		{"an event", "not in agreement with its sum", swap(`"at":"2026-12-01T14`, `"at":"2026-12-01T15`)}, {"the snapshot", "a snapshot that does not agree", swap(`"Held":false`, `"Held":true `)},
		{"a head", "a head that does not agree", head}, {"the free pages", "pages neither free nor in use", less}, {"all of it", "a head that can't be read", nil},
	} {
		if bytes.Equal(x.bad, data) || !damaged(x.what, x.found, x.bad) {
			t.Errorf("%s: changed and taken", x.what)
		}
	}
	chance, refused := rand.New(rand.NewSource(4)), 0
	for i := range 300 {
		bad := bytes.Clone(data)
		if i%3 == 0 {
			bad = bad[:chance.Intn(len(bad))]
		} else {
			at := chance.Intn(len(bad))
			for i%3 == 1 && bad[at] == 0 { // where something is
				at = (at + 1) % len(bad)
			}
			bad[at] ^= 1 << chance.Intn(8)
		}
		if damaged(fmt.Sprint("damage ", i), "", bad) {
			refused++
		}
	}
	t.Logf("%d of 300 refused", refused)
	if refused < 60 {
		t.Errorf("only %d of 300 damaged files are refused", refused)
	}
}

// A disk that takes nothing more changes nothing: the release stands where it stood, here and on disk.
func TestDiskFull(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	s.db.MaxSize = 64 << 10
	chance, names, failed := rand.New(rand.NewSource(5)), 0, 0
	for i := range 3000 {
		before, next := state(r), s.EventCount()
		effects, _, err := s.Apply(draw(chance, now.Add(time.Duration(i)*time.Second), &names, r))
		if err == nil {
			continue
		}
		if failed++; state(r) != before || s.EventCount() != next || len(effects) > 0 {
			t.Fatalf("%v, and yet %v was done", err, effects)
		}
		if failed == 3 {
			break
		}
	}
	if failed != 3 {
		t.Fatalf("the disk was full %d times", failed)
	}
	want := state(r)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	r = plan.New(examplePlan(t), time.Hour)
	if s, err = OpenStore(file, r, 1_000_000); err != nil || state(r) != want {
		t.Fatalf("%v\n%s\nexpected\n%s", err, state(r), want)
	}
	// Another desk, and another plan.
	if _, err := OpenStore(file, plan.New(examplePlan(t), time.Hour), 16); err == nil || !strings.Contains(err.Error(), "in use by another desk") {
		t.Errorf("two desks with one file: %v", err)
	}
	_ = s.Close()
	other := examplePlan(t)
	other.Windows[0].Zone = time.UTC
	if _, err := OpenStore(file, plan.New(other, time.Hour), 16); err == nil || !strings.Contains(err.Error(), "the state of another plan") {
		t.Errorf("another plan with this file: %v", err)
	}
}
