package drill

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"time"

	"scalechute/logic"
	"scalechute/standin"
)

// machine is a machine of the fleet, with the workers that run or have run on it.
type machine struct {
	zone, cell int
	speed      float64
	workers    []*instance
}

// instance is a worker on a machine.
type instance struct {
	worker   *standin.Worker
	build    logic.BuildID
	draining bool
	starting bool
}

// fleet starts and drains workers for the control plane. It implements standin.Fleet.
type fleet struct {
	scenario    *Scenario
	environment *standin.Environment
	discovery   *standin.Discovery
	mu          sync.Mutex
	machines    []*machine
	workers     []*standin.Worker // in the order in which they first started
	instances   map[*standin.Worker]*instance
}

// newFleet returns a fleet whose machines run no workers yet.
func newFleet(scenario *Scenario, environment *standin.Environment, discovery *standin.Discovery) *fleet {
	f := &fleet{scenario: scenario, environment: environment, discovery: discovery, instances: map[*standin.Worker]*instance{}}
	random := rand.New(rand.NewSource(scenario.Seed))
	zoneCount := len(scenario.Settings.Zones)
	for i := range scenario.Fleet.WorkerCount {
		speed := 1 + scenario.Fleet.SpeedSpread*(2*random.Float64()-1)
		f.machines = append(f.machines, &machine{zone: i % zoneCount, cell: i / 4, speed: speed})
	}
	return f
}

// startWorker starts a worker of a build on a machine. A cold worker starts after the start delay. The lock is held.
func (f *fleet) startWorker(m *machine, number int, build logic.BuildID, warm bool) *instance {
	cores := f.scenario.Fleet.CoresPerWorker
	worker := standin.NewWorker(f.environment, logic.Worker{ID: logic.WorkerID(fmt.Sprintf("w%02d-b%d", number, build)), Build: build,
		Zone: logic.ZoneID(m.zone), Cell: m.cell, Size: float64(cores)}, cores, m.speed)
	worker.WarmUp, worker.ColdSpeedShare = f.scenario.Fleet.WarmUp, f.scenario.Fleet.ColdSpeedShare
	started := &instance{worker: worker, build: build}
	m.workers = append(m.workers, started)
	f.workers = append(f.workers, worker)
	f.instances[worker] = started
	if warm {
		_ = worker.Start(true)
		return started
	}
	started.starting = true
	time.AfterFunc(duration(f.scenario.Fleet.StartDelay), func() {
		if err := worker.Start(false); err == nil {
			f.discovery.ReportWorker(worker, logic.Ready)
		}
		f.mu.Lock()
		started.starting = false
		f.mu.Unlock()
	})
	return started
}

// RollOut implements standin.Fleet: it starts workers of the build on a share of the machines, and drains earlier builds
// there unless they stay until the release. It reports whether all of these workers run.
func (f *fleet) RollOut(build logic.BuildID, share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wantCount := int(math.Ceil(share * float64(len(f.machines))))
	reached := true
	for i, m := range f.machines[:min(wantCount, len(f.machines))] {
		var current *instance
		for _, other := range m.workers {
			if other.build == build && !other.draining {
				current = other
			}
		}
		switch {
		case current == nil:
			f.startWorker(m, i, build, false)
			reached = false
		case current.starting:
			reached = false
		case !f.scenario.Settings.Policy.EarlierWorkersStay:
			f.drainWorkers(m, func(x logic.BuildID) bool { return x < build })
		}
	}
	return reached
}

// DrainEarlierBuilds implements standin.Fleet: it drains all workers of builds before a build.
func (f *fleet) DrainEarlierBuilds(build logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		f.drainWorkers(m, func(x logic.BuildID) bool { return x < build })
	}
}

// DrainBuild implements standin.Fleet: it drains all workers of a build. Machines without a worker of an earlier build
// get a new one.
func (f *fleet) DrainBuild(build logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlierBuild := logic.BuildID(0)
	for _, m := range f.machines {
		for _, other := range m.workers {
			if other.build < build {
				earlierBuild = max(earlierBuild, other.build)
			}
		}
	}
	for i, m := range f.machines {
		f.drainWorkers(m, func(x logic.BuildID) bool { return x == build })
		hasEarlier := false
		for _, other := range m.workers {
			hasEarlier = hasEarlier || other.build < build && !other.draining
		}
		if !hasEarlier {
			f.startWorker(m, 100+i, earlierBuild, false)
		}
	}
}

// drainWorkers drains the workers of a machine whose builds match. Each is listed as draining at once, turns hand-offs
// away once the sentries must know, and stops once its hand-offs must have ended. The lock is held.
func (f *fleet) drainWorkers(m *machine, matches func(logic.BuildID) bool) {
	config := &f.scenario.Settings.Policy
	for _, drained := range m.workers {
		if drained.draining || !matches(drained.build) {
			continue
		}
		drained.draining = true
		worker := drained.worker
		f.discovery.ReportWorker(worker, logic.Draining)
		grace := duration(f.scenario.Fleet.ListDelay + config.DrainGrace)
		time.AfterFunc(grace, worker.Drain)
		time.AfterFunc(grace+duration(f.scenario.Settings.MaxDeadline())+time.Second, func() {
			f.discovery.ReportWorker(worker, logic.Gone)
			worker.Stop()
		})
	}
}

// runningWorkers returns up to count workers that run and do not drain, in a zone or in all zones (-1), one for each
// machine from the first given on.
func (f *fleet) runningWorkers(first, count, zone int) (found []*standin.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.machines {
		m := f.machines[(first+i)%len(f.machines)]
		if zone >= 0 && m.zone != zone {
			continue
		}
		for _, candidate := range m.workers {
			if isUp, _, _ := candidate.worker.RunState(); isUp && !candidate.draining && len(found) < count {
				found = append(found, candidate.worker)
				break
			}
		}
	}
	return found
}

// isDraining reports whether a worker drains or has been drained.
func (f *fleet) isDraining(w *standin.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[w] != nil && f.instances[w].draining
}

// stop stops all workers.
func (f *fleet) stop() {
	f.mu.Lock()
	workers := f.workers
	f.mu.Unlock()
	for _, w := range workers {
		w.Stop()
	}
}
