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

func describe(actions []Action) string {
	var all []string
	for _, action := range actions {
		if action.Kind == MoveFleet {
			all = append(all, fmt.Sprintf("move %g", action.Share))
		} else {
			all = append(all, fmt.Sprintf("status %d/%d %g", action.Phase, action.Wave, action.Cap))
		}
	}
	return strings.Join(all, ", ")
}

// A release goes from its first wave to the last and then back. Each step waits for all of its conditions.
func TestAWholeRelease(t *testing.T) {
	r := New(testPlan(), time.Hour)
	approve := func(minute float64, member Member, grantID string) func() ([]Action, error) {
		return func() ([]Action, error) { return r.Approve(at(minute), "two", member, grantID) }
	}
	vote := func(minute float64, sentry Sentry, wave int, verdict Verdict) func() ([]Action, error) {
		return func() ([]Action, error) { return r.Vote(at(minute), sentry, wave, verdict) }
	}
	withoutError := func(f func() []Action) func() ([]Action, error) { return func() ([]Action, error) { return f(), nil } }
	for i, x := range []struct {
		step          func() ([]Action, error)
		want, wantErr string
	}{
		{vote(0, 1, 0, Advance), "", "not on trial"},
		{withoutError(func() []Action { return r.Tick(at(0)) }), "move 0.1", ""},
		{withoutError(func() []Action { return r.Tick(at(30)) }), "", ""}, // the fleet has not moved: no cap, no bake
		{withoutError(func() []Action { return r.UpdateFleetShare(at(31), 0.1) }), "status 1/0 0.2", ""},
		{vote(32, 9, 0, Advance), "", "one of 4 sentries"}, {vote(32, 1, 1, Advance), "", "expected wave 0"},
		{vote(32, 1, 0, 7), "", "expected advance or roll back"},
		{vote(32, 1, 0, Advance), "", ""},
		{approve(33, "d", "n1"), "", "a member of g"}, {approve(33, "a", "n2"), "", ""}, {approve(33, "a", "n2"), "", "twice"},
		{withoutError(func() []Action { return r.Tick(at(42)) }), "", ""}, // baked, but an approval is missing
		{approve(43, "a", "n3"), "", ""},                                  // the same member again
		{func() ([]Action, error) { return r.Approve(at(43), "of another plan", "b", "n4") }, "", "one of this plan"},
		{withoutError(func() []Action { r.Hold(at(44)); return nil }), "", ""},
		{approve(44, "b", "n5"), "", ""}, // all conditions hold, but the release is held
		{withoutError(func() []Action { return r.Resume(at(45)) }), "move 0.5", ""},
		{withoutError(func() []Action { return r.UpdateFleetShare(at(50), 0.5) }), "status 1/1 0.6", ""},
		{approve(51, "c", "n6"), "", "no later wave requires"},
		{vote(51, 1, 1, Advance), "", ""}, {vote(51, 1, 1, Advance), "", ""}, // a sentry has one vote
		{withoutError(func() []Action { return r.Tick(at(60)) }), "", ""},
		{withoutError(func() []Action { return r.Tick(at(20)) }), "", ""}, // the clock is set back
		{vote(20, 2, 1, Advance), "", ""},                                 // counts as of minute 60; the next wave has its own hold
		{withoutError(func() []Action { return r.Resume(at(61)) }), "move 1", ""},
		{withoutError(func() []Action { return r.UpdateFleetShare(at(62), 0.9) }), "", ""},
		{withoutError(func() []Action { return r.UpdateFleetShare(at(63), 1) }), "status 1/2 1", ""},
		{withoutError(func() []Action { return r.Tick(at(73)) }), "status 3/2 1", ""},
		{approve(74, "a", "n7"), "", "has ended"},
		{vote(75, 3, 2, RollBack), "status 2/2 0", ""}, // a released build can be rolled back too
		{withoutError(func() []Action { r.Hold(at(75)); return r.Resume(at(75)) }), "", ""},
		{vote(75, 3, 2, RollBack), "", "not on trial"},
		{func() ([]Action, error) { return r.RollBack(at(76)) }, "", "rolling back or withdrawn"},
		{withoutError(func() []Action { return r.ConfirmCap(at(76), 0.6) }), "", ""},
		{withoutError(func() []Action { return r.ConfirmCap(at(77), 0) }), "move 0", ""},
		{withoutError(func() []Action { return r.UpdateFleetShare(at(78), 0.3) }), "", ""},
		{withoutError(func() []Action { return r.UpdateFleetShare(at(79), 0) }), "status 4/2 0", ""},
	} {
		actions, err := x.step()
		if describe(actions) != x.want || (err == nil) != (x.wantErr == "") || err != nil && !strings.Contains(err.Error(), x.wantErr) {
			t.Fatalf("step %d: %q, %v; expected %q, %q", i, describe(actions), err, x.want, x.wantErr)
		}
	}
}

// model checks the actions of a release against the events that it got, with a state of its own.
type model struct {
	plan          *Plan
	wave          int
	fleetShare    float64
	cap           float64
	readyAt       time.Time // when the cap of this wave was sent
	held          bool
	rollingBack   bool // or withdrawn
	released      bool
	waivedWave    int
	capConfirmed  bool
	advanceVotes  map[Sentry]time.Time // until when they count; for this wave
	rollBackVotes map[Sentry]time.Time
	grants        map[Member]time.Time
	now           time.Time
	problem       string
}

// observe checks actions, and sets problem if one is not allowed.
func (m *model) observe(actions []Action) {
	fail := func(format string, args ...any) { m.problem = fmt.Sprintf(format, args...) }
	count := func(votes map[Sentry]time.Time) (n int) {
		for _, until := range votes {
			if m.now.Before(until) {
				n++
			}
		}
		return n
	}
	for _, action := range actions {
		switch {
		case action.Kind == MoveFleet && m.rollingBack:
			if action.Share != 0 || !m.capConfirmed {
				fail("the fleet moves to %g in a roll-back, cap 0 confirmed: %v", action.Share, m.capConfirmed)
			}
		case action.Kind == MoveFleet: // a wave starts
			if m.wave >= 0 {
				done := !m.readyAt.IsZero() && m.now.Sub(m.readyAt) >= m.plan.Waves[m.wave].Bake && count(m.advanceVotes) >= m.plan.Waves[m.wave].On
				if !done {
					fail("wave %d starts before the previous one is done", m.wave+1)
				}
			}
			m.wave++
			next := &m.plan.Waves[m.wave]
			if m.held || next.Hold && m.waivedWave != m.wave || len(next.Windows) > 0 && !m.plan.Windows[0].IsOpen(m.now) || action.Share != next.Share {
				fail("wave %d starts held, outside its window or with share %g", m.wave, action.Share)
			}
			if len(next.Approvals) > 0 {
				grantCount := 0
				for _, until := range m.grants {
					if m.now.Before(until) {
						grantCount++
					}
				}
				if grantCount < m.plan.Approvals[0].Count {
					fail("wave %d starts with %d approvals", m.wave, grantCount)
				}
				clear(m.grants)
			}
			m.readyAt = time.Time{}
			clear(m.advanceVotes)
		case action.Cap > 0:
			if m.rollingBack || action.Cap > m.plan.Waves[m.wave].Cap || m.fleetShare < m.plan.Waves[m.wave].Share ||
				action.Cap < m.cap || action.Wave != m.wave {
				fail("cap %g sent for wave %d with fleet share %g, rolling back: %v", action.Cap, m.wave, m.fleetShare, m.rollingBack)
			}
			if m.cap, m.released = action.Cap, action.Phase == Released; !m.released {
				m.readyAt = m.now
			}
		case action.Phase == RollingBack:
			m.rollingBack, m.cap, m.capConfirmed = true, 0, false
		case action.Phase == Withdrawn && !m.rollingBack:
			fail("withdrawn without a roll-back")
		}
	}
	if !m.rollingBack && m.wave >= 0 && m.now.After(start) && count(m.rollBackVotes) >= m.plan.Waves[m.wave].Back {
		fail("there are enough votes to roll back, but no roll-back starts")
	}
}

// For random events in random order, waves start only when all of their conditions hold, caps rise only when the fleet
// has the wave's share and never after a roll-back has started, and the fleet moves back only when no sentry sends to the build.
func TestSchedules(t *testing.T) {
	released, withdrawn := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		plan := testPlan()
		for i := range plan.Waves {
			plan.Waves[i].On = rapid.IntRange(0, 2).Draw(t, "on")
			plan.Waves[i].Back = rapid.IntRange(1, 4).Draw(t, "back")
			plan.Waves[i].Hold = rapid.IntRange(0, 3).Draw(t, "hold") == 0
		}
		if rapid.Bool().Draw(t, "approved twice") {
			plan.Waves[2].Approvals = []int{0}
		}
		r := New(plan, 20*time.Minute)
		m := &model{plan: plan, wave: -1, waivedWave: -1,
			advanceVotes: map[Sentry]time.Time{}, rollBackVotes: map[Sentry]time.Time{}, grants: map[Member]time.Time{}}
		minute, grantNumber := 0.0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			minute += float64(rapid.IntRange(-2, 6).Draw(t, "minutes")) // the clock goes back sometimes
			now := at(minute)
			if now.After(m.now) {
				m.now = now
			}
			var actions []Action
			var err error
			eventKind := rapid.IntRange(0, 15).Draw(t, "event kind")
			if eventKind == 10 && rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
				eventKind = 0
			}
			switch eventKind {
			case 0, 1, 2:
				actions = r.Tick(now)
			case 3, 4, 5, 6:
				m.fleetShare = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1}).Draw(t, "share")
				actions = r.UpdateFleetShare(now, m.fleetShare)
			case 7, 8, 9:
				sentry, wave := Sentry(rapid.IntRange(0, 3).Draw(t, "sentry")), rapid.IntRange(max(0, m.wave-1), max(0, m.wave)).Draw(t, "wave")
				if actions, err = r.Vote(now, sentry, wave, Advance); err == nil {
					m.advanceVotes[sentry] = m.now.Add(20 * time.Minute)
					delete(m.rollBackVotes, sentry)
				}
			case 10:
				sentry := Sentry(rapid.IntRange(0, 3).Draw(t, "sentry"))
				if actions, err = r.Vote(now, sentry, 0, RollBack); err == nil {
					m.rollBackVotes[sentry] = m.now.Add(20 * time.Minute)
					delete(m.advanceVotes, sentry)
				}
			case 11, 12, 13:
				member := rapid.SampledFrom([]Member{"a", "b", "c", "d"}).Draw(t, "member")
				grantNumber += rapid.IntRange(0, 1).Draw(t, "new grant")
				grantID := fmt.Sprint(grantNumber)
				seen := r.State.Seen[grantID]
				if actions, err = r.Approve(now, "two", member, grantID); err == nil {
					if seen || member == "d" {
						t.Fatalf("an approval by %s, seen before: %v, is accepted", member, seen)
					}
					m.grants[member] = m.now.Add(time.Hour)
				}
			case 14:
				if rapid.Bool().Draw(t, "resume") {
					m.held, m.waivedWave = false, m.wave+1
					actions = r.Resume(now)
				} else {
					m.held = true
					r.Hold(now)
				}
			case 15:
				maxCap := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "max cap")
				m.capConfirmed = m.capConfirmed || m.rollingBack && maxCap == 0
				actions = r.ConfirmCap(now, maxCap)
				if rapid.IntRange(0, 19).Draw(t, "manual roll-back") == 0 {
					actions, _ = r.RollBack(now)
				}
			}
			if m.observe(actions); m.problem != "" {
				t.Fatalf("%s\n%+v", m.problem, r.State)
			}
			if m.wave != r.State.Wave || m.cap != r.State.Cap {
				t.Fatalf("wave %d and cap %g, expected %d and %g", r.State.Wave, r.State.Cap, m.wave, m.cap)
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
		t.Error("no release was withdrawn: the test shows nothing about roll-backs")
	}
}
