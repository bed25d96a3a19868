// Package standin holds small stand-ins for what sentries work with: workers, the list's service, the desk, clients,
// and the links between zones. They run on loopback in one process, on one clock, and tell a record what they saw on
// their ends of the sockets. Troubles are fields that a drill sets while they run.
package standin

import (
	"math/rand"
	"sync"
	"time"

	"scalechute/internal/audit"
	"scalechute/logic"
)

// Stage is what the stand-ins of one drill share.
type Environment struct {
	Config *logic.Config
	Zones  []string
	base   time.Time
	mu     sync.Mutex
	events []audit.Event
	chance *rand.Rand
	builds map[logic.BuildID]BuildBehavior
	marks  map[string]logic.Micros // labelled transactions that have run, by group and mark
	recent []logic.BuildID         // of the last hand-offs of all workers, for builds that slow all
	at     int
	counts map[countedBy]counted // of the period in hand
	closed bool
}

// countedBy is what the desk counts by, counted what it has.
type (
	countedBy struct {
		build   logic.BuildID
		profile logic.ProfileID
	}
	counted struct {
		n, failed int
		took      logic.Micros
	}
)

// Make is how a build behaves.
type BuildBehavior struct {
	RelativeSpeed  float64         // to that of the first build
	ErrorShare     float64         // share of hand-offs that it fails
	FailingProfile logic.ProfileID // that it fails; -1 for all
	SlowAfterAge   logic.Micros    // a worker of this age turns slow, 0 if never
	SlowFactor     float64
	FleetSlowdown  float64 // how much slower all workers get by its part of the traffic
}

// NewStage begins a drill's clock.
func NewEnvironment(o *logic.Config, zones []string, seed int64) *Environment {
	return &Environment{Config: o, Zones: zones, base: time.Now(), chance: rand.New(rand.NewSource(seed)),
		builds: map[logic.BuildID]BuildBehavior{}, marks: map[string]logic.Micros{}, recent: make([]logic.BuildID, 100),
		counts: map[countedBy]counted{}}
}

// Now is the drill's clock.
func (s *Environment) Now() logic.Micros { return logic.Micros(time.Since(s.base) / time.Microsecond) }

func span(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// See records an event at the present time.
func (s *Environment) Record(e audit.Event) {
	s.mu.Lock()
	e.At = s.Now()
	if !s.closed {
		s.events = append(s.events, e)
	}
	s.mu.Unlock()
}

// SeeAt records an event that carries its time.
func (s *Environment) RecordAt(e audit.Event) {
	s.mu.Lock()
	if !s.closed {
		s.events = append(s.events, e)
	}
	s.mu.Unlock()
}

// Events ends the record and gives it.
func (s *Environment) StopRecording() []audit.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.events
}

// SetBuild says how a build behaves.
func (s *Environment) SetBuildBehavior(b logic.BuildID, m BuildBehavior) {
	s.mu.Lock()
	s.builds[b] = m
	s.mu.Unlock()
}

// count books the end of a hand-off for the desk's counts, in the sample that the orders name.
func (s *Environment) count(b logic.BuildID, p logic.ProfileID, failed bool, took logic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Config.CountsPeriod == 0 || s.chance.Float64() >= s.Config.CountsSampleShare {
		return
	}
	c := s.counts[countedBy{b, p}]
	c.n++
	if failed {
		c.failed++
	} else {
		c.took += took
	}
	s.counts[countedBy{b, p}] = c
}

// takeCounts ends a period.
func (s *Environment) takeCounts() map[countedBy]counted {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.counts
	s.counts = map[countedBy]counted{}
	return was
}

func (s *Environment) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance.Float64()
}

// makeOf is how a build behaves now, slowed by what another one does to all.
func (s *Environment) makeOf(b logic.BuildID) (m BuildBehavior, slowed float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowed = 1
	n := map[logic.BuildID]float64{}
	for _, x := range s.recent {
		n[x]++
	}
	for x, m := range s.builds {
		slowed += m.FleetSlowdown * n[x] / float64(len(s.recent))
	}
	m, known := s.builds[b]
	if !known {
		m.RelativeSpeed = 1
	}
	return m, slowed
}

func (s *Environment) handed(b logic.BuildID) {
	s.mu.Lock()
	s.recent[s.at%len(s.recent)] = b
	s.at++
	s.mu.Unlock()
}

// firstRun says whether a labelled transaction has not run in its group within the window, and books that it has.
func (s *Environment) firstRun(group, mark string, window logic.Micros) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	ran, known := s.marks[group+mark]
	if known && now-ran <= window {
		return false
	}
	s.marks[group+mark] = now
	return true
}
