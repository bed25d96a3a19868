// Package standin implements stand-ins for what sentries communicate with: clients (ClientPool), workers (Worker),
// discovery (Discovery), the control plane (ControlPlane) and the network between zones (Relay, Impairment).
//
// They run on loopback in one process and share an Environment: a clock, the configuration, and a record of the events
// that they observe on their ends of the connections, which package audit checks. A drill injects faults by setting
// fields while they run.
package standin

import (
	"math/rand"
	"sync"
	"time"

	"scalechute/internal/audit"
	"scalechute/logic"
)

// Environment is the state that the stand-ins of a drill share.
type Environment struct {
	Config           *logic.Config
	Zones            []string
	start            time.Time
	mu               sync.Mutex
	events           []audit.Event
	random           *rand.Rand
	builds           map[logic.BuildID]BuildBehavior
	tokenRanAt       map[string]logic.Micros // when deduplicated transactions last ran, by worker group and token
	recentBuilds     []logic.BuildID         // builds of the last hand-offs to all workers, for builds that slow down all workers
	recentCount      int
	counts           map[countKey]countSum // of the current period
	recordingStopped bool
}

// countKey is the key of the control plane's counts, countSum their value.
type (
	countKey struct {
		build   logic.BuildID
		profile logic.ProfileID
	}
	countSum struct {
		handOffs, failed int
		totalTime        logic.Micros
	}
)

// BuildBehavior is how the workers of a build behave.
type BuildBehavior struct {
	RelativeSpeed  float64         // relative to the first build
	ErrorShare     float64         // share of hand-offs that fail
	FailingProfile logic.ProfileID // the profile whose hand-offs fail, -1 for all
	SlowAfterAge   logic.Micros    // age from which a worker is slow, 0 if never
	SlowFactor     float64         // by which a slow worker's hand-offs take longer
	FleetSlowdown  float64         // added to the time factor of all workers, multiplied by the build's share of recent hand-offs
}

// NewEnvironment returns an environment whose clock starts now.
func NewEnvironment(config *logic.Config, zones []string, seed int64) *Environment {
	return &Environment{Config: config, Zones: zones, start: time.Now(), random: rand.New(rand.NewSource(seed)),
		builds: map[logic.BuildID]BuildBehavior{}, tokenRanAt: map[string]logic.Micros{}, recentBuilds: make([]logic.BuildID, 100),
		counts: map[countKey]countSum{}}
}

// Now returns the time since the environment's start.
func (e *Environment) Now() logic.Micros { return logic.Micros(time.Since(e.start) / time.Microsecond) }

func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// Record records an event with the current time.
func (e *Environment) Record(event audit.Event) {
	e.mu.Lock()
	event.At = e.Now()
	if !e.recordingStopped {
		e.events = append(e.events, event)
	}
	e.mu.Unlock()
}

// RecordAt records an event that carries its time.
func (e *Environment) RecordAt(event audit.Event) {
	e.mu.Lock()
	if !e.recordingStopped {
		e.events = append(e.events, event)
	}
	e.mu.Unlock()
}

// StopRecording stops the recording and returns all events.
func (e *Environment) StopRecording() []audit.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordingStopped = true
	return e.events
}

// SetBuildBehavior sets how a build behaves.
func (e *Environment) SetBuildBehavior(build logic.BuildID, behavior BuildBehavior) {
	e.mu.Lock()
	e.builds[build] = behavior
	e.mu.Unlock()
}

// countHandOff adds a finished hand-off to the control plane's counts, in the share of cases that the configuration sets.
func (e *Environment) countHandOff(build logic.BuildID, profile logic.ProfileID, failed bool, took logic.Micros) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Config.CountsPeriod == 0 || e.random.Float64() >= e.Config.CountsSampleShare {
		return
	}
	sum := e.counts[countKey{build, profile}]
	sum.handOffs++
	if failed {
		sum.failed++
	} else {
		sum.totalTime += took
	}
	e.counts[countKey{build, profile}] = sum
}

// takeCounts returns the counts of the current period and starts a new one.
func (e *Environment) takeCounts() map[countKey]countSum {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	e.counts = map[countKey]countSum{}
	return counts
}

func (e *Environment) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// behavior returns how a build behaves, and by what factor all workers are slowed down by the traffic of builds now.
func (e *Environment) behavior(build logic.BuildID) (behavior BuildBehavior, slowdown float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown = 1
	received := map[logic.BuildID]float64{}
	for _, build := range e.recentBuilds {
		received[build]++
	}
	for build, behavior := range e.builds {
		slowdown += behavior.FleetSlowdown * received[build] / float64(len(e.recentBuilds))
	}
	behavior, known := e.builds[build]
	if !known {
		behavior.RelativeSpeed = 1
	}
	return behavior, slowdown
}

// noteHandOff records that a worker of a build has received a hand-off.
func (e *Environment) noteHandOff(build logic.BuildID) {
	e.mu.Lock()
	e.recentBuilds[e.recentCount%len(e.recentBuilds)] = build
	e.recentCount++
	e.mu.Unlock()
}

// isFirstRun reports whether a deduplicated transaction has not run in its worker group within the window, and if so
// records that it runs now.
func (e *Environment) isFirstRun(group, token string, window logic.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	ranAt, known := e.tokenRanAt[group+token]
	if known && now-ranAt <= window {
		return false
	}
	e.tokenRanAt[group+token] = now
	return true
}
