package drill

import (
	"encoding/json"
	"fmt"
	"slices"

	"scalechute/logic"
	"scalechute/standin"
)

// dayFile is what is read of a day that the bench has drawn. Times are in microseconds.
type dayFile struct {
	Length   logic.Micros
	Zones    []string
	Troubles []struct {
		Kind  string
		At    logic.Micros
		Len   logic.Micros
		Size  float64
		Extra float64
		On    []int
		Which int
	}
	Servers   []json.RawMessage
	Balancers []json.RawMessage
	Fam       struct {
		Releases []struct {
			At       logic.Micros
			Bad      string
			Class    int
			Speed    float64
			Strength float64
		}
	}
}

// Take replaces the drill's releases and troubles by those of a day of the bench: the kinds and their order in time,
// at the drill's length and the drill's numbers of workers and sentries. The day's own sizes stay where they are.
func (d *Scenario) ApplyBenchDay(data []byte) error {
	var f dayFile
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("found no day as the bench draws them: %w", err)
	}
	if f.Length <= 0 {
		return fmt.Errorf("found a length of %d us, expected a day as the bench draws them", f.Length)
	}
	scale := min(1, float64(d.Duration)/float64(f.Length))
	at := func(m logic.Micros) logic.Micros { return logic.Micros(float64(m) * scale) }
	part := func(n, of, have int) int {
		if of == 0 {
			return 1
		}
		return min(have, max(1, (n*have+of/2)/of))
	}
	d.Faults, d.Releases = nil, nil
	for i, r := range f.Fam.Releases {
		m := standin.BuildBehavior{RelativeSpeed: max(0.1, r.Speed), FailingProfile: -1, SlowFactor: 1}
		if r.Bad != "" {
			m = bad(r.Bad, r.Strength, m.RelativeSpeed, logic.ProfileID(min(r.Class, len(d.Settings.ProfileNames)-1)))
		}
		d.Releases = append(d.Releases, Release{Build: logic.BuildID(firstBuild + 1 + i), At: at(r.At), Behavior: m})
	}
	for _, x := range f.Troubles {
		if x.Kind == "bad_build" { // the releases say how
			continue
		}
		if !slices.Contains(FaultKinds, x.Kind) {
			return fmt.Errorf("found a trouble %q, expected one of %v", x.Kind, FaultKinds)
		}
		t := Fault{Kind: x.Kind, At: at(x.At), Duration: max(second, at(x.Len)), First: x.Which,
			Zone: -1, Magnitude: defaultSize[x.Kind], Delay: 100_000, Mode: "quiet"}
		switch x.Kind {
		case "balancer_crash", "balancer_roll", "balancer_stall":
			t.Count = part(len(x.On), len(f.Balancers), d.Settings.Policy.Sentries)
		case "zone_cut", "one_sided", "slow_link", "shift":
			t.Zone = x.Which % len(d.Settings.Zones)
		default:
			t.Count = part(len(x.On), len(f.Servers), d.Fleet.WorkerCount)
		}
		t.At = min(t.At, max(0, d.Duration-t.Duration))
		d.Faults = append(d.Faults, t)
	}
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return nil
}

// bad is a build that is bad in one of the ways of the bench, by the words that it may use for them.
func bad(how string, strength, speed float64, p logic.ProfileID) standin.BuildBehavior {
	m := standin.BuildBehavior{RelativeSpeed: speed, FailingProfile: -1, SlowFactor: 1}
	strength = min(1, max(0, strength)) // how far within its range the day has drawn it
	failing := 0.25 + 0.65*strength
	switch how {
	case "slow", "load":
		m.RelativeSpeed = speed / (1.7 + 2*strength)
	case "late":
		m.SlowAfterAge, m.SlowFactor, m.ErrorShare = 3*second, 2+2*strength, 0.2
	case "shared":
		m.FleetSlowdown = 1 + 2*strength
	case "class":
		m.ErrorShare, m.FailingProfile = failing, p
	default:
		m.ErrorShare = failing
	}
	return m
}
