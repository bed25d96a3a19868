package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Build is the number of a build. A later build has a higher number.
type Build int

// Plan is a release plan. Waves and approvals refer to profiles, windows, approvals and groups by index.
type Plan struct {
	Name      string
	Build     Build
	Sentries  int      // number of sentries that may vote
	Profiles  []string // that waves may guard
	Labels    map[string]string
	Windows   []Window
	Groups    []Group
	Approvals []Approval
	Waves     []Wave
}

// Wave is a step of a release: a share of the fleet runs the build, and it gets traffic up to a cap.
type Wave struct {
	Name      string
	Share     float64 // of the fleet
	Cap       float64 // largest share of each sentry's transactions that the build gets
	Bake      time.Duration
	On        int   // votes needed to advance; 0 if the bake is enough
	Back      int   // votes needed to roll back
	Guarded   []int // profiles that the build does not get yet
	Windows   []int // the wave starts in one of these; at any time if there are none
	Approvals []int // all of these are needed before the wave starts
	Hold      bool  // the wave waits for a manual resume before it starts
}

// Group is a group of people who may approve. Members are the names of their keys.
type Group struct {
	Name    string
	Members []string
}

// Approval requires a number of members of a group to approve.
type Approval struct {
	Name  string
	Group int
	Count int           // of members
	Valid time.Duration // how long a member's approval is valid
}

// Problem is an error in a plan, with the block and the attribute of the plan's file that have to change.
type Problem struct {
	BlockType string
	Index     int    // among the blocks of this type
	Attribute string // empty if the problem concerns the whole block
	Text      string
}

// String returns the block, the attribute and the text.
func (p Problem) String() string {
	return fmt.Sprintf("%s %d, %s: %s", p.BlockType, p.Index, p.Attribute, p.Text)
}

// Check returns the problems of a plan that starts at the given time: conditions that can never be met, waves that go
// backwards or do not end in a complete release, and parts that are declared twice or never used.
func (p *Plan) Check(now time.Time) (problems []Problem) {
	addProblem := func(blockType string, index int, attribute, format string, args ...any) {
		problems = append(problems, Problem{blockType, index, attribute, fmt.Sprintf(format, args...)})
	}
	for i := range p.Windows {
		w := &p.Windows[i]
		if _, opens := w.NextTime(now, true); !opens {
			addProblem("window", i, "", "found a window that does not open within three years, expected days, hours and dates at which it is open")
		}
	}
	for i, g := range p.Groups {
		for j, m := range g.Members {
			if slices.Contains(g.Members[:j], m) {
				addProblem("group", i, "members", "found %q twice, expected each member once", m)
			}
		}
	}
	for i, a := range p.Approvals {
		if members := p.Groups[a.Group].Members; a.Count > len(members) {
			addProblem("approval", i, "count", "found %d, expected at most %d, the number of members of %s", a.Count, len(members),
				p.Groups[a.Group].Name)
		}
		if !slices.ContainsFunc(p.Waves, func(w Wave) bool { return slices.Contains(w.Approvals, i) }) {
			addProblem("approval", i, "", "found an approval that no wave requires, expected at least one wave that does")
		}
	}
	if len(p.Waves) == 0 {
		addProblem("plan", 0, "", "found no wave, expected at least one")
		return problems
	}
	for i := range p.Waves {
		w := &p.Waves[i]
		if i > 0 {
			previous := &p.Waves[i-1]
			for _, limit := range []struct {
				attribute         string
				current, previous float64
			}{{"share", w.Share, previous.Share}, {"cap", w.Cap, previous.Cap}} {
				if limit.current < limit.previous {
					addProblem("wave", i, limit.attribute, "found %g after %g in wave %s, expected no decrease", limit.current, limit.previous, previous.Name)
				}
			}
			for _, g := range w.Guarded {
				if !slices.Contains(previous.Guarded, g) {
					addProblem("wave", i, "guard", "found %s, which wave %s does not guard, expected profiles that it guards", p.Profiles[g], previous.Name)
				}
			}
		}
		if w.On > p.Sentries {
			addProblem("wave", i, "on_votes", "found %d, expected at most %d, the number of sentries", w.On, p.Sentries)
		}
		if w.Back > p.Sentries {
			addProblem("wave", i, "back_votes", "found %d, expected at most %d, the number of sentries", w.Back, p.Sentries)
		}
		if _, opens := p.WaveStart(i, now); !opens {
			addProblem("wave", i, "windows", "found windows that do not open within three years, expected at least one that does")
		}
	}
	if last := &p.Waves[len(p.Waves)-1]; last.Cap < 1 || last.Share < 1 || len(last.Guarded) > 0 {
		addProblem("wave", len(p.Waves)-1, "cap", "found a last wave with share %g, cap %g and %d guarded profiles, expected 1, 1 and none: "+
			"the release would never be complete", last.Share, last.Cap, len(last.Guarded))
	}
	return problems
}

// WaveStart returns the first time from t on at which a wave's windows allow it to start, and false if there is none.
func (p *Plan) WaveStart(wave int, t time.Time) (time.Time, bool) {
	w := &p.Waves[wave]
	if len(w.Windows) == 0 {
		return t, true
	}
	var starts []time.Time
	for _, index := range w.Windows {
		if start, opens := p.Windows[index].NextTime(t, true); opens {
			starts = append(starts, start)
		}
	}
	if len(starts) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(starts, func(a, b time.Time) int { return a.Compare(b) }), true
}

// EarliestSchedule returns when each wave starts and when the release is complete, if votes and approvals come at once and
// no wave takes longer than its bake.
func (p *Plan) EarliestSchedule(from time.Time) (starts []time.Time, end time.Time) {
	t := from
	for i := range p.Waves {
		start, ok := p.WaveStart(i, t)
		if !ok {
			return starts, time.Time{}
		}
		starts = append(starts, start)
		t = start.Add(p.Waves[i].Bake)
	}
	return starts, t
}

// WaveSummary returns in one line what a wave waits for before it starts.
func (p *Plan) WaveSummary(wave int) string {
	w := &p.Waves[wave]
	var parts []string
	addNames := func(prefix string, names []string) {
		if len(names) > 0 {
			parts = append(parts, prefix+" "+strings.Join(names, ", "))
		}
	}
	var windows, approvals, guarded []string
	for _, index := range w.Windows {
		windows = append(windows, p.Windows[index].Name)
	}
	for _, index := range w.Approvals {
		approvals = append(approvals, p.Approvals[index].Name)
	}
	for _, index := range w.Guarded {
		guarded = append(guarded, p.Profiles[index])
	}
	addNames("in", windows)
	addNames("after", approvals)
	addNames("without", guarded)
	if w.Hold {
		parts = append(parts, "held")
	}
	return cmp.Or(strings.Join(parts, "; "), "at once")
}
