package drill

import (
	"encoding/json"
	"fmt"
	"slices"

	"scalechute/logic"
	"scalechute/standin"
)

// benchDay is the part of a bench's day file that is read. Times are in microseconds.
type benchDay struct {
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

// ApplyBenchDay replaces the scenario's releases and faults by those of a bench's day file. Kinds and order are those of
// the day; times are scaled to the scenario's duration, and counts to its numbers of workers and sentries. Faults get the
// default magnitude of their kind, not that of the day.
func (s *Scenario) ApplyBenchDay(data []byte) error {
	var day benchDay
	if err := json.Unmarshal(data, &day); err != nil {
		return fmt.Errorf("found no day file of the bench: %w", err)
	}
	if day.Length <= 0 {
		return fmt.Errorf("found a length of %d us, expected a positive length", day.Length)
	}
	scale := min(1, float64(s.Duration)/float64(day.Length))
	scaleTime := func(m logic.Micros) logic.Micros { return logic.Micros(float64(m) * scale) }
	scaleCount := func(affected, total, available int) int {
		if total == 0 {
			return 1
		}
		return min(available, max(1, (affected*available+total/2)/total))
	}
	s.Faults, s.Releases = nil, nil
	for i, release := range day.Fam.Releases {
		behavior := standin.BuildBehavior{RelativeSpeed: max(0.1, release.Speed), FailingProfile: -1, SlowFactor: 1}
		if release.Bad != "" {
			behavior = badBehavior(release.Bad, release.Strength, behavior.RelativeSpeed,
				logic.ProfileID(min(release.Class, len(s.Settings.ProfileNames)-1)))
		}
		s.Releases = append(s.Releases, Release{Build: logic.BuildID(firstBuild + 1 + i), At: scaleTime(release.At), Behavior: behavior})
	}
	for _, benchFault := range day.Troubles {
		if benchFault.Kind == "bad_build" { // the releases describe it
			continue
		}
		if !slices.Contains(FaultKinds, benchFault.Kind) {
			return fmt.Errorf("found a trouble %q, expected one of %v", benchFault.Kind, FaultKinds)
		}
		fault := Fault{Kind: benchFault.Kind, At: scaleTime(benchFault.At), Duration: max(second, scaleTime(benchFault.Len)),
			First: benchFault.Which, Zone: -1, Magnitude: defaultMagnitude[benchFault.Kind], Delay: 100_000, Mode: "quiet"}
		switch benchFault.Kind {
		case "balancer_crash", "balancer_roll", "balancer_stall":
			fault.Count = scaleCount(len(benchFault.On), len(day.Balancers), s.Settings.Policy.Sentries)
		case "zone_cut", "one_sided", "slow_link", "shift":
			fault.Zone = benchFault.Which % len(s.Settings.Zones)
		default:
			fault.Count = scaleCount(len(benchFault.On), len(day.Servers), s.Fleet.WorkerCount)
		}
		fault.At = min(fault.At, max(0, s.Duration-fault.Duration))
		s.Faults = append(s.Faults, fault)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return nil
}

// badBehavior returns the behavior of a bad build, by the bench's name for its kind.
func badBehavior(kind string, strength, speed float64, profile logic.ProfileID) standin.BuildBehavior {
	behavior := standin.BuildBehavior{RelativeSpeed: speed, FailingProfile: -1, SlowFactor: 1}
	strength = min(1, max(0, strength)) // position within the kind's range, 0 to 1
	errorShare := 0.25 + 0.65*strength
	switch kind {
	case "slow", "load":
		behavior.RelativeSpeed = speed / (1.7 + 2*strength)
	case "late":
		behavior.SlowAfterAge, behavior.SlowFactor, behavior.ErrorShare = 3*second, 2+2*strength, 0.2
	case "shared":
		behavior.FleetSlowdown = 1 + 2*strength
	case "class":
		behavior.ErrorShare, behavior.FailingProfile = errorShare, profile
	default:
		behavior.ErrorShare = errorShare
	}
	return behavior
}
