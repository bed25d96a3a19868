package plan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Build is a build's number; a later one has a higher.
type Build int

// Plan is how one release goes. Places among windows, approvals and groups are their indexes.
type Plan struct {
	Name      string
	Build     Build
	Sentries  int      // that may vote
	Profiles  []string // that waves may guard
	Labels    map[string]string
	Windows   []Window
	Groups    []Group
	Approvals []Approval
	Waves     []Wave
}

// Wave is one step: a share of the fleet runs the build, and sentries may send it so much.
type Wave struct {
	Name      string
	Share     float64 // of the fleet
	Cap       float64 // of each sentry's transactions
	Bake      time.Duration
	On        int   // votes to go on; 0: the bake alone
	Back      int   // votes to go back
	Guarded   []int // profiles that the build does not get yet
	Windows   []int // it begins in one of these; none: at any time
	Approvals []int // all of these before it begins
	Hold      bool  // it waits for a resume by hand before it begins
}

// Group is people who may approve, by their keys' names.
type Group struct {
	Name    string
	Members []string
}

// Approval is what so many of a group give.
type Approval struct {
	Name  string
	Group int
	Count int
	Valid time.Duration // for how long after it is given
}

// Fault is what is wrong with a part of a plan: a kind of block, which one of them, and its attribute.
type Problem struct {
	BlockType string
	Index     int
	Attribute string // empty: the block as a whole
	Text      string
}

func (f Problem) String() string {
	return fmt.Sprintf("%s %d, %s: %s", f.BlockType, f.Index, f.Attribute, f.Text)
}

// Check finds all that a plan can never come to, as of a moment.
func (p *Plan) Check(now time.Time) (faults []Problem) {
	add := func(kind string, at int, attribute, format string, args ...any) {
		faults = append(faults, Problem{kind, at, attribute, fmt.Sprintf(format, args...)})
	}
	for i := range p.Windows {
		w := &p.Windows[i]
		if _, opens := w.NextTime(now, true); !opens {
			add("window", i, "", "found a window that does not open in three years, expected days, hours and dates that leave it some time")
		}
	}
	for i, g := range p.Groups {
		for j, m := range g.Members {
			if slices.Contains(g.Members[:j], m) {
				add("group", i, "members", "found %q twice, expected each once", m)
			}
		}
	}
	for i, a := range p.Approvals {
		if members := p.Groups[a.Group].Members; a.Count > len(members) {
			add("approval", i, "count", "found %d, expected at most the %d members of %s: nobody may give it", a.Count, len(members),
				p.Groups[a.Group].Name)
		}
		if !slices.ContainsFunc(p.Waves, func(w Wave) bool { return slices.Contains(w.Approvals, i) }) {
			add("approval", i, "", "found an approval that no wave asks for, expected one that does")
		}
	}
	if len(p.Waves) == 0 {
		add("plan", 0, "", "found no wave, expected one at least")
		return faults
	}
	for i := range p.Waves {
		w := &p.Waves[i]
		if i > 0 {
			before := &p.Waves[i-1]
			for _, x := range []struct {
				attribute string
				now, then float64
			}{{"share", w.Share, before.Share}, {"cap", w.Cap, before.Cap}} {
				if x.now < x.then {
					add("wave", i, x.attribute, "found %g after %g of %s, expected none to fall", x.now, x.then, before.Name)
				}
			}
			for _, g := range w.Guarded {
				if !slices.Contains(before.Guarded, g) {
					add("wave", i, "guard", "found %s, which %s does not guard, expected no profile to be guarded again", p.Profiles[g], before.Name)
				}
			}
		}
		if w.On > p.Sentries {
			add("wave", i, "on_votes", "found %d, expected at most the %d sentries: they can never come", w.On, p.Sentries)
		}
		if w.Back > p.Sentries {
			add("wave", i, "back_votes", "found %d, expected at most the %d sentries: they can never come", w.Back, p.Sentries)
		}
		if _, opens := p.WaveStart(i, now); !opens {
			add("wave", i, "windows", "found a wave that no window can reach, expected one that opens")
		}
	}
	if last := &p.Waves[len(p.Waves)-1]; last.Cap < 1 || last.Share < 1 || len(last.Guarded) > 0 {
		add("wave", len(p.Waves)-1, "cap", "found a last wave with share %g, cap %g and %d guarded profiles, expected 1, 1 and none: "+
			"the release would never be whole", last.Share, last.Cap, len(last.Guarded))
	}
	return faults
}

// Begin is the first moment from t on at which a wave's windows let it begin. False if none does.
func (p *Plan) WaveStart(wave int, t time.Time) (time.Time, bool) {
	w := &p.Waves[wave]
	if len(w.Windows) == 0 {
		return t, true
	}
	var moments []time.Time
	for _, at := range w.Windows {
		if m, opens := p.Windows[at].NextTime(t, true); opens {
			moments = append(moments, m)
		}
	}
	if len(moments) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(moments, func(a, b time.Time) int { return a.Compare(b) }), true
}

// Earliest is when each wave begins and when the release is whole, if votes and approvals come at once and every wave
// takes no longer than its bake.
func (p *Plan) EarliestSchedule(from time.Time) (begins []time.Time, whole time.Time) {
	t := from
	for i := range p.Waves {
		begin, ok := p.WaveStart(i, t)
		if !ok {
			return begins, time.Time{}
		}
		begins = append(begins, begin)
		t = begin.Add(p.Waves[i].Bake)
	}
	return begins, t
}

// Summary says in a line what a wave waits for.
func (p *Plan) WaveSummary(wave int) string {
	w := &p.Waves[wave]
	var parts []string
	names := func(what string, all []string) {
		if len(all) > 0 {
			parts = append(parts, what+" "+strings.Join(all, ", "))
		}
	}
	var windows, approvals, guarded []string
	for _, at := range w.Windows {
		windows = append(windows, p.Windows[at].Name)
	}
	for _, at := range w.Approvals {
		approvals = append(approvals, p.Approvals[at].Name)
	}
	for _, at := range w.Guarded {
		guarded = append(guarded, p.Profiles[at])
	}
	names("in", windows)
	names("after", approvals)
	names("without", guarded)
	if w.Hold {
		parts = append(parts, "held")
	}
	return cmp.Or(strings.Join(parts, "; "), "at once")
}
