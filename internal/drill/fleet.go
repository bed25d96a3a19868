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

// place is where a machine of the fleet stands, and the workers that it has there.
type place struct {
	zone, cell int
	speed      float64
	workers    []*spot
}

type spot struct {
	w        *standin.Worker
	build    logic.BuildID
	draining bool
	starting bool
}

// fleet starts and drains workers for the desk.
type fleet struct {
	d      *Scenario
	stage  *standin.Environment
	list   *standin.Discovery
	mu     sync.Mutex
	places []*place
	all    []*standin.Worker // in the order in which they first started
	since  map[*standin.Worker]*spot
}

func newFleet(d *Scenario, stage *standin.Environment, list *standin.Discovery) *fleet {
	f := &fleet{d: d, stage: stage, list: list, since: map[*standin.Worker]*spot{}}
	chance := rand.New(rand.NewSource(d.Seed))
	zones := len(d.Settings.Zones)
	for i := range d.Fleet.WorkerCount {
		speed := 1 + d.Fleet.SpeedSpread*(2*chance.Float64()-1)
		f.places = append(f.places, &place{zone: i % zones, cell: i / 4, speed: speed})
	}
	return f
}

// start has a place run a build.
func (f *fleet) start(at *place, i int, b logic.BuildID, warm bool) *spot {
	cores := f.d.Fleet.CoresPerWorker
	w := standin.NewWorker(f.stage, logic.Worker{ID: logic.WorkerID(fmt.Sprintf("w%02d-b%d", i, b)), Build: b,
		Zone: logic.ZoneID(at.zone), Cell: at.cell, Size: float64(cores)}, cores, at.speed)
	w.WarmUp, w.ColdSpeedShare = f.d.Fleet.WarmUp, f.d.Fleet.ColdSpeedShare
	s := &spot{w: w, build: b}
	at.workers = append(at.workers, s)
	f.all = append(f.all, w)
	f.since[w] = s
	if warm {
		_ = w.Start(true)
		return s
	}
	s.starting = true
	time.AfterFunc(span(f.d.Fleet.StartDelay), func() {
		if err := w.Start(false); err == nil {
			f.list.ReportWorker(w, logic.Ready)
		}
		f.mu.Lock()
		s.starting = false
		f.mu.Unlock()
	})
	return s
}

// Reach implements standin.Fleet.
func (f *fleet) RollOut(b logic.BuildID, share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := int(math.Ceil(share * float64(len(f.places))))
	reached := true
	for i, at := range f.places[:min(want, len(f.places))] {
		var mine *spot
		for _, s := range at.workers {
			if s.build == b && !s.draining {
				mine = s
			}
		}
		switch {
		case mine == nil:
			f.start(at, i, b, false)
			reached = false
		case mine.starting:
			reached = false
		case !f.d.Settings.Policy.EarlierWorkersStay:
			f.drainAt(at, func(x logic.BuildID) bool { return x < b })
		}
	}
	return reached
}

// Release implements standin.Fleet.
func (f *fleet) DrainEarlierBuilds(b logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.places {
		f.drainAt(at, func(x logic.BuildID) bool { return x < b })
	}
}

// Recall implements standin.Fleet. Places whose earlier worker was drained get a new one.
func (f *fleet) DrainBuild(b logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier := logic.BuildID(0)
	for _, at := range f.places {
		for _, s := range at.workers {
			if s.build < b {
				earlier = max(earlier, s.build)
			}
		}
	}
	for i, at := range f.places {
		f.drainAt(at, func(x logic.BuildID) bool { return x == b })
		has := false
		for _, s := range at.workers {
			has = has || s.build < b && !s.draining
		}
		if !has {
			f.start(at, 100+i, earlier, false)
		}
	}
}

// drainAt drains some workers of a place: listed as draining, turning new work away once sentries must know, stopped
// when what it holds must be over.
func (f *fleet) drainAt(at *place, which func(logic.BuildID) bool) {
	o := &f.d.Settings.Policy
	for _, s := range at.workers {
		if s.draining || !which(s.build) {
			continue
		}
		s.draining = true
		w := s.w
		f.list.ReportWorker(w, logic.Draining)
		grace := span(f.d.Fleet.ListDelay + o.DrainGrace)
		time.AfterFunc(grace, w.Drain)
		time.AfterFunc(grace+span(f.d.Settings.MaxDeadline())+time.Second, func() {
			f.list.ReportWorker(w, logic.Gone)
			w.Stop()
		})
	}
}

// some are workers that run and are not drained, from the first given on.
func (f *fleet) some(first, count, zone int) (found []*standin.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.places {
		at := f.places[(first+i)%len(f.places)]
		if zone >= 0 && at.zone != zone {
			continue
		}
		for _, s := range at.workers {
			if up, _, _ := s.w.RunState(); up && !s.draining && len(found) < count {
				found = append(found, s.w)
				break
			}
		}
	}
	return found
}

func (f *fleet) draining(w *standin.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since[w] != nil && f.since[w].draining
}

func (f *fleet) stop() {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, w := range all {
		w.Stop()
	}
}
