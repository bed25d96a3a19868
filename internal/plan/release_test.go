package plan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC) // a Tuesday

func testPlan() *Plan {
	always := [7]bool{true, true, true, true, true, true, true}
	return &Plan{Name: "p", Build: 11, Sentries: 4, Windows: []Window{{Name: "w", Days: always, From: 12 * 60, To: 14 * 60, Zone: time.UTC}},
		Groups: []Group{{"g", []string{"a", "b", "c"}}}, Approvals: []Approval{{"two", 0, 2, time.Hour}},
		Waves: []Wave{{Name: "one", Share: 0.1, Cap: 0.2, Bake: 10 * time.Minute, On: 1, Back: 2},
			{Name: "two", Share: 0.5, Cap: 0.6, Bake: 10 * time.Minute, On: 2, Back: 2, Windows: []int{0}, Approvals: []int{0}},
			{Name: "all", Share: 1, Cap: 1, Bake: 10 * time.Minute, On: 0, Back: 1, Hold: true}}}
}

func at(minutes float64) time.Time { return start.Add(time.Duration(minutes * float64(time.Minute))) }

func show(effects []Action) string {
	var all []string
	for _, e := range effects {
		if e.Kind == MoveFleet {
			all = append(all, fmt.Sprintf("move %g", e.Share))
		} else {
			all = append(all, fmt.Sprintf("tell %d/%d %g", e.Phase, e.Wave, e.Cap))
		}
	}
	return strings.Join(all, ", ")
}

// One release from its first wave to the last, each step waiting for what it must.
func TestAWholeRelease(t *testing.T) {
	r := New(testPlan(), time.Hour)
	approve := func(m float64, by Member, name string) func() ([]Action, error) {
		return func() ([]Action, error) { return r.Approve(at(m), "two", by, name) }
	}
	vote := func(m float64, s Sentry, wave int, v Verdict) func() ([]Action, error) {
		return func() ([]Action, error) { return r.Vote(at(m), s, wave, v) }
	}
	good := func(f func() []Action) func() ([]Action, error) { return func() ([]Action, error) { return f(), nil } }
	for i, x := range []struct {
		step        func() ([]Action, error)
		want, fault string
	}{
		{vote(0, 1, 0, Advance), "", "not on trial"},
		{good(func() []Action { return r.Tick(at(0)) }), "move 0.1", ""},
		{good(func() []Action { return r.Tick(at(30)) }), "", ""}, // the fleet has not moved: no cap, no bake
		{good(func() []Action { return r.UpdateFleetShare(at(31), 0.1) }), "tell 1/0 0.2", ""},
		{vote(32, 9, 0, Advance), "", "one of 4"}, {vote(32, 1, 1, Advance), "", "one on 0"}, {vote(32, 1, 0, 7), "", "expected on or back"},
		{vote(32, 1, 0, Advance), "", ""},
		{approve(33, "d", "n1"), "", "a member of g"}, {approve(33, "a", "n2"), "", ""}, {approve(33, "a", "n2"), "", "twice"},
		{good(func() []Action { return r.Tick(at(42)) }), "", ""}, // baked, but one approval short
		{approve(43, "a", "n3"), "", ""},                          // the same member once more
		{func() ([]Action, error) { return r.Approve(at(43), "of another plan", "b", "n4") }, "", "one of this plan"},
		{good(func() []Action { r.Hold(at(44)); return nil }), "", ""}, {approve(44, "b", "n5"), "", ""}, // all there, but held at that moment
		{good(func() []Action { return r.Resume(at(45)) }), "move 0.5", ""},
		{good(func() []Action { return r.UpdateFleetShare(at(50), 0.5) }), "tell 1/1 0.6", ""},
		{approve(51, "c", "n6"), "", "no wave to come"},
		{vote(51, 1, 1, Advance), "", ""}, {vote(51, 1, 1, Advance), "", ""}, // one sentry is one vote
		{good(func() []Action { return r.Tick(at(60)) }), "", ""},
		{good(func() []Action { return r.Tick(at(20)) }), "", ""}, // a clock set back
		{vote(20, 2, 1, Advance), "", ""},                         // counts as of 60; the next wave holds by itself
		{good(func() []Action { return r.Resume(at(61)) }), "move 1", ""},
		{good(func() []Action { return r.UpdateFleetShare(at(62), 0.9) }), "", ""},
		{good(func() []Action { return r.UpdateFleetShare(at(63), 1) }), "tell 1/2 1", ""},
		{good(func() []Action { return r.Tick(at(73)) }), "tell 3/2 1", ""},
		{approve(74, "a", "n7"), "", "over"},
		{vote(75, 3, 2, RollBack), "tell 2/2 0", ""}, // released, and back all the same
		{good(func() []Action { r.Hold(at(75)); return r.Resume(at(75)) }), "", ""},
		{vote(75, 3, 2, RollBack), "", "not on trial"},
		{func() ([]Action, error) { return r.RollBack(at(76)) }, "", "goes back already"},
		{good(func() []Action { return r.ConfirmCap(at(76), 0.6) }), "", ""}, {good(func() []Action { return r.ConfirmCap(at(77), 0) }), "move 0", ""},
		{good(func() []Action { return r.UpdateFleetShare(at(78), 0.3) }), "", ""}, {good(func() []Action { return r.UpdateFleetShare(at(79), 0) }), "tell 4/2 0", ""},
	} {
		effects, err := x.step()
		if show(effects) != x.want || (err == nil) != (x.fault == "") || err != nil && !strings.Contains(err.Error(), x.fault) {
			t.Fatalf("step %d: %q, %v; expected %q, %q", i, show(effects), err, x.want, x.fault)
		}
	}
}

// watcher holds what a release asks for against what it was told, by books of its own.
type watcher struct {
	p       *Plan
	wave    int
	fleet   float64
	cap     float64
	since   time.Time // of the cap of this wave
	held    bool
	back    bool // going back or withdrawn
	over    bool // released
	waived  int
	heard   bool
	yes     map[Sentry]time.Time // on, this wave
	no      map[Sentry]time.Time
	grants  map[Member]time.Time
	now     time.Time
	problem string
}

func (w *watcher) see(effects []Action) {
	fail := func(format string, args ...any) { w.problem = fmt.Sprintf(format, args...) }
	count := func(m map[Sentry]time.Time) (n int) {
		for _, until := range m {
			if w.now.Before(until) {
				n++
			}
		}
		return n
	}
	for _, e := range effects {
		switch {
		case e.Kind == MoveFleet && w.back:
			if e.Share != 0 || !w.heard {
				fail("the fleet moves to %g going back, heard %v", e.Share, w.heard)
			}
		case e.Kind == MoveFleet: // a wave begins
			if w.wave >= 0 {
				done := !w.since.IsZero() && w.now.Sub(w.since) >= w.p.Waves[w.wave].Bake && count(w.yes) >= w.p.Waves[w.wave].On
				if !done {
					fail("wave %d begins before the one before is done", w.wave+1)
				}
			}
			w.wave++
			next := &w.p.Waves[w.wave]
			if w.held || next.Hold && w.waived != w.wave || len(next.Windows) > 0 && !w.p.Windows[0].IsOpen(w.now) || e.Share != next.Share {
				fail("wave %d begins held, outside its window or with share %g", w.wave, e.Share)
			}
			if len(next.Approvals) > 0 {
				given := 0
				for _, until := range w.grants {
					if w.now.Before(until) {
						given++
					}
				}
				if given < w.p.Approvals[0].Count {
					fail("wave %d begins with %d approvals", w.wave, given)
				}
				clear(w.grants)
			}
			w.since = time.Time{}
			clear(w.yes)
		case e.Cap > 0:
			if w.back || e.Cap > w.p.Waves[w.wave].Cap || w.fleet < w.p.Waves[w.wave].Share || e.Cap < w.cap || e.Wave != w.wave {
				fail("cap %g told of wave %d with fleet %g, back %v", e.Cap, w.wave, w.fleet, w.back)
			}
			if w.cap, w.over = e.Cap, e.Phase == Released; !w.over {
				w.since = w.now
			}
		case e.Phase == RollingBack:
			w.back, w.cap, w.heard = true, 0, false
		case e.Phase == Withdrawn && !w.back:
			fail("withdrawn without going back")
		}
	}
	if !w.back && w.wave >= 0 && w.now.After(start) && count(w.no) >= w.p.Waves[w.wave].Back {
		fail("votes to go back, and it does not")
	}
}

// Whatever comes in whatever order, waves begin only when all that they wait for is there, caps rise only when the fleet
// bears them and never after going back, and the fleet moves back only when nobody sends to it.
func TestSchedules(t *testing.T) {
	released, withdrawn := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := testPlan()
		for i := range p.Waves {
			p.Waves[i].On = rapid.IntRange(0, 2).Draw(t, "on")
			p.Waves[i].Back = rapid.IntRange(1, 4).Draw(t, "back")
			p.Waves[i].Hold = rapid.IntRange(0, 3).Draw(t, "hold") == 0
		}
		if rapid.Bool().Draw(t, "approved twice") {
			p.Waves[2].Approvals = []int{0}
		}
		r := New(p, 20*time.Minute)
		w := &watcher{p: p, wave: -1, waived: -1, yes: map[Sentry]time.Time{}, no: map[Sentry]time.Time{}, grants: map[Member]time.Time{}}
		minute, names := 0.0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			minute += float64(rapid.IntRange(-2, 6).Draw(t, "minutes")) // the clock goes back at times
			now := at(minute)
			if now.After(w.now) {
				w.now = now
			}
			var effects []Action
			var err error
			what := rapid.IntRange(0, 15).Draw(t, "what")
			if what == 10 && rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
				what = 0
			}
			switch what {
			case 0, 1, 2:
				effects = r.Tick(now)
			case 3, 4, 5, 6:
				w.fleet = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1}).Draw(t, "share")
				effects = r.UpdateFleetShare(now, w.fleet)
			case 7, 8, 9:
				from, wave := Sentry(rapid.IntRange(0, 3).Draw(t, "from")), rapid.IntRange(max(0, w.wave-1), max(0, w.wave)).Draw(t, "wave")
				if effects, err = r.Vote(now, from, wave, Advance); err == nil {
					w.yes[from] = w.now.Add(20 * time.Minute)
					delete(w.no, from)
				}
			case 10:
				from := Sentry(rapid.IntRange(0, 3).Draw(t, "from"))
				if effects, err = r.Vote(now, from, 0, RollBack); err == nil {
					w.no[from] = w.now.Add(20 * time.Minute)
					delete(w.yes, from)
				}
			case 11, 12, 13:
				by := rapid.SampledFrom([]Member{"a", "b", "c", "d"}).Draw(t, "by")
				names += rapid.IntRange(0, 1).Draw(t, "new")
				name := fmt.Sprint(names)
				seen := r.State.Seen[name]
				if effects, err = r.Approve(now, "two", by, name); err == nil {
					if seen || by == "d" {
						t.Fatalf("an approval by %s, seen before %v, is taken", by, seen)
					}
					w.grants[by] = w.now.Add(time.Hour)
				}
			case 14:
				if rapid.Bool().Draw(t, "resume") {
					w.held, w.waived = false, w.wave+1
					effects = r.Resume(now)
				} else {
					w.held = true
					r.Hold(now)
				}
			case 15:
				most := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "most")
				w.heard = w.heard || w.back && most == 0
				effects = r.ConfirmCap(now, most)
				if rapid.IntRange(0, 19).Draw(t, "by hand") == 0 {
					effects, _ = r.RollBack(now)
				}
			}
			if w.see(effects); w.problem != "" {
				t.Fatalf("%s\n%+v", w.problem, r.State)
			}
			if w.wave != r.State.Wave || w.cap != r.State.Cap {
				t.Fatalf("wave %d and cap %g, by the books %d and %g", r.State.Wave, r.State.Cap, w.wave, w.cap)
			}
		}
		switch r.State.Phase {
		case Released:
			released++
		case Withdrawn:
			withdrawn++
		}
	})
	t.Logf("%d released, %d withdrawn", released, withdrawn)
	if withdrawn == 0 {
		t.Error("no schedule went all the way back: too little for this to say anything")
	}
}
