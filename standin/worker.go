package standin

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"scalechute/internal/audit"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Worker is a stand-in for a worker. It keeps its address when it is restarted.
type Worker struct {
	Entry          logic.Worker
	Cores          int
	Speed          float64
	WarmUp         logic.Micros // time from a start until the worker has its full speed
	ColdSpeedShare float64      // share of the speed that the worker has at a start
	MaxQueue       int          // max hand-offs that wait for a core; more are turned away

	// Injected faults.
	SlowFactor     float64 // multiplies the time of hand-offs; 1 without a fault
	FastErrorShare float64 // share of hand-offs that fail at once
	HandshakeDelay time.Duration
	IgnoresFrames  bool // accepts connections and ignores all frames
	IgnoresProbes  bool

	env           *Environment
	Address       string
	mu            sync.Mutex
	server        *wire.Server
	runNumber     uint64
	up            bool
	draining      bool
	overloaded    bool
	started       logic.Micros
	busyCores     int
	queue         []*job
	running       map[*job]struct{}
	handOffCount  uint64
	arrivals      []arrival
	recentEnds    []logic.Micros // times of the hand-offs that ended in the last second
	OmitsInFlight bool           // load reports carry the CPU use and the served rate only
}

// arrival is a received hand-off.
type arrival struct {
	at   logic.Micros
	work float64
}

// job is a hand-off at a worker.
type job struct {
	w          *Worker
	runNumber  uint64
	link       *wire.Link
	sentry     logic.SentryID
	id         uint64
	number     uint64 // sequence number at this worker
	try        string
	token      string
	work       float64
	profile    logic.ProfileID
	receivedAt logic.Micros
	deadline   logic.Micros
	ended      bool
}

// NewWorker returns a worker that is not running.
func NewWorker(env *Environment, entry logic.Worker, cores int, speed float64) *Worker {
	return &Worker{Entry: entry, Cores: cores, Speed: speed, ColdSpeedShare: 1, MaxQueue: 16 * cores, SlowFactor: 1, env: env}
}

// Start starts the worker. With warm, it counts as started long enough ago to have its full speed.
func (w *Worker) Start(warm bool) error {
	w.mu.Lock()
	if w.up {
		w.mu.Unlock()
		return nil
	}
	w.runNumber++
	address := w.Address
	w.mu.Unlock() // RunState must not wait for the socket
	var err error
	if address == "" {
		if address, err = FreeAddress(); err != nil {
			return err
		}
	}
	server, err := wire.Serve(address, wire.DefaultLimits, w.accept)
	for try := 0; err != nil && try < 50; try++ { // the old socket may not be closed yet
		time.Sleep(10 * time.Millisecond)
		server, err = wire.Serve(address, wire.DefaultLimits, w.accept)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server, w.Address, w.up, w.draining, w.overloaded = server, server.Address, true, false, false
	w.busyCores, w.queue, w.arrivals, w.running = 0, nil, nil, map[*job]struct{}{}
	w.started = w.env.Now()
	e := audit.Event{Kind: audit.WorkerStarted, Worker: w.Entry.ID, Build: w.Entry.Build, Speed: w.Speed * float64(w.Cores),
		ColdSpeedShare: w.ColdSpeedShare, WarmUp: w.WarmUp}
	if warm {
		w.started -= w.WarmUp
		e.WarmUp = 0
	}
	w.env.Record(e)
	return nil
}

// Stop stops the worker at once. Its hand-offs are lost.
func (w *Worker) Stop() {
	w.mu.Lock()
	server := w.server
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up, w.server = false, nil
	w.runNumber++
	w.mu.Unlock()
	w.env.Record(audit.Event{Kind: audit.WorkerStopped, Worker: w.Entry.ID})
	server.Close()
}

// Drain makes the worker turn away new hand-offs.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
}

// RunState returns whether the worker is running, when it was started, and the number of its current run.
func (w *Worker) RunState() (up bool, started logic.Micros, runNumber uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up, w.started, w.runNumber
}

// Set calls f with the lock held, to change the injected faults.
func (w *Worker) Set(f func(*Worker)) {
	w.mu.Lock()
	f(w)
	w.mu.Unlock()
}

// relativeSpeed returns the share of its speed that the worker has while it warms up.
func (w *Worker) relativeSpeed(now logic.Micros) float64 {
	if w.WarmUp <= 0 {
		return 1
	}
	return w.ColdSpeedShare + (1-w.ColdSpeedShare)*min(1, float64(now-w.started)/float64(w.WarmUp))
}

var errIgnoresFrames = errors.New("reads nothing")

// accept handles a sentry's connection. Hand-offs that are queued or run when the connection is lost are recorded as
// dropped.
func (w *Worker) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	w.mu.Lock()
	runNumber, sentry := w.runNumber, logic.SentryID(-1)
	w.mu.Unlock()
	return func(l *wire.Link, kind wire.Kind, body []byte) error {
			w.mu.Lock()
			ignoresFrames, handshakeDelay, ignoresProbes := w.IgnoresFrames, w.HandshakeDelay, w.IgnoresProbes
			w.mu.Unlock()
			if ignoresFrames {
				return nil
			}
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				sentry = logic.SentryID(m.Position)
				time.AfterFunc(handshakeDelay, func() { l.Send(wire.KindWelcome, &pb.Welcome{Version: wire.ProtocolVersion}) })
			case wire.KindWork:
				var m wire.Work
				if err := m.Read(body); err != nil {
					return err
				}
				return w.handleWork(l, runNumber, sentry, &m)
			case wire.KindCancel:
				var m wire.IDMessage
				if err := m.Read(body); err != nil {
					return err
				}
				w.cancelJob(l, m.ID)
			case wire.KindProbe:
				var m wire.IDMessage
				if err := m.Read(body); err != nil {
					return err
				}
				if !ignoresProbes {
					l.Send(wire.KindProbed, &pb.Probed{Id: m.ID, Held: w.inFlight() + 1})
				}
			default:
				return fmt.Errorf("worker: unexpected frame of kind %d", kind)
			}
			return nil
		}, func(l *wire.Link, _ error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, j := range w.queue {
				if j.link == l && !j.ended {
					j.ended = true
					w.env.Record(j.event(audit.HandOffDropped))
				}
			}
			for j := range w.running { // it runs to its end, but the sentry no longer waits for it
				if j.link == l {
					w.env.Record(j.event(audit.HandOffDropped))
				}
			}
		}
}

// inFlight returns the number of hand-offs that run or are queued.
func (w *Worker) inFlight() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return uint32(w.busyCores + len(w.queue))
}

// event returns an event of the hand-off.
func (j *job) event(k audit.Kind) audit.Event {
	return audit.Event{Kind: k, Try: j.try, Worker: j.w.Entry.ID, HandOffNumber: j.number, Sentry: j.sentry, Profile: j.profile}
}

// handleWork handles a hand-off. The payload consists of the client's try and the work, in microseconds on a core of
// speed one.
func (w *Worker) handleWork(l *wire.Link, runNumber uint64, sentry logic.SentryID, message *wire.Work) error {
	j := &job{w: w, runNumber: runNumber, link: l, sentry: sentry, id: message.ID, profile: logic.ProfileID(message.Profile), token: string(message.DeduplicationToken),
		receivedAt: w.env.Now()}
	j.deadline = j.receivedAt + logic.Micros(message.Timeout)
	if _, err := fmt.Sscan(string(message.Payload), &j.try, &j.work); err != nil || int(message.Profile) >= len(w.env.Config.Profiles) {
		return fmt.Errorf("worker: payload %q, expected the name of a try and its work", message.Payload)
	}
	w.env.noteHandOff(w.Entry.Build)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.runNumber != runNumber || w.overloaded {
		return nil
	}
	w.handOffCount++
	j.number = w.handOffCount
	e := j.event(audit.HandOffReceived)
	e.Key, e.Duration, e.Work, e.Build = logic.Key(message.Key), logic.Micros(message.Timeout), logic.Micros(j.work), w.Entry.Build
	e.Zone, e.Cell = w.Entry.Zone, w.Entry.Cell
	w.env.Record(e)
	now := w.env.Now()
	if w.isOverloaded(now, j.work) {
		w.overloaded = true
		w.env.Record(audit.Event{Kind: audit.WorkerOverloaded, Worker: w.Entry.ID})
		go w.Stop()
		return nil
	}
	switch {
	case w.draining || len(w.queue) >= w.MaxQueue:
		w.endJob(j, pb.Ended_TURNED_AWAY)
	case w.env.randomFloat() < w.FastErrorShare:
		w.endJob(j, pb.Ended_ERRORED)
	case w.busyCores < w.Cores:
		w.runJob(j)
	default:
		w.queue = append(w.queue, j)
	}
	return nil
}

// isOverloaded records an arrival and reports whether the work that arrived within the cold-load window makes a cold
// worker crash. A warm worker never crashes.
func (w *Worker) isOverloaded(now logic.Micros, work float64) bool {
	if now-w.started >= w.WarmUp {
		w.arrivals = nil
		return false
	}
	config := w.env.Config
	w.arrivals = append(w.arrivals, arrival{now, work})
	totalWork := 0.0
	for len(w.arrivals) > 0 && w.arrivals[0].at <= now-config.ColdLoadWindow {
		w.arrivals = w.arrivals[1:]
	}
	for _, a := range w.arrivals {
		totalWork += a.work
	}
	return totalWork > config.ColdLoadMultiple*w.Speed*float64(w.Cores)*w.relativeSpeed(now)*float64(config.ColdLoadWindow)
}

// runJob runs a hand-off on a free core. The lock is held.
func (w *Worker) runJob(j *job) {
	now := w.env.Now()
	behavior, slowdown := w.env.behavior(w.Entry.Build)
	if behavior.SlowAfterAge > 0 && now-w.started > behavior.SlowAfterAge {
		slowdown *= behavior.SlowFactor
	}
	w.busyCores++
	w.running[j] = struct{}{}
	runTime := j.work * w.SlowFactor * slowdown / (w.Speed * behavior.RelativeSpeed * w.relativeSpeed(now))
	time.AfterFunc(duration(logic.Micros(runTime)), func() { w.finishJob(j, behavior) })
}

// finishJob ends a hand-off that has run, and runs the next ones in the queue.
func (w *Worker) finishJob(j *job, behavior BuildBehavior) {
	failed := (behavior.FailingProfile < 0 || behavior.FailingProfile == j.profile) && w.env.randomFloat() < behavior.ErrorShare
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.runNumber != j.runNumber {
		return
	}
	w.busyCores--
	delete(w.running, j)
	profile := &w.env.Config.Profiles[j.profile]
	if profile.Repeatability != logic.Deduplicated || w.env.isFirstRun(w.dedupGroup(profile), j.token, profile.DedupWindow) {
		w.env.Record(j.event(audit.HandOffExecuted))
	}
	if failed {
		w.endJob(j, pb.Ended_ERRORED)
	} else {
		w.endJob(j, pb.Ended_ANSWERED)
	}
	for len(w.queue) > 0 && w.busyCores < w.Cores {
		next := w.queue[0]
		w.queue = w.queue[1:]
		switch {
		case next.ended:
		case w.env.Now() >= next.deadline: // the sentry no longer waits for it
			next.ended = true
			w.env.Record(next.event(audit.HandOffDropped))
		default:
			w.runJob(next)
		}
	}
}

// dedupGroup names the group of workers within which a profile's retries are deduplicated.
func (w *Worker) dedupGroup(profile *logic.Profile) string {
	switch profile.DedupScope {
	case logic.ScopeZone:
		return fmt.Sprintf("zone %d ", w.Entry.Zone)
	case logic.ScopeCell:
		return fmt.Sprintf("cell %d ", w.Entry.Cell)
	}
	return ""
}

// endJob reports the end of a hand-off to the sentry. The lock is held.
func (w *Worker) endJob(j *job, ending pb.Ended) {
	j.ended = true
	e := j.event(audit.HandOffAnswered)
	if ending == pb.Ended_TURNED_AWAY {
		e.Kind = audit.HandOffTurnedAway
	}
	e.Satisfied, e.Build = ending == pb.Ended_ANSWERED, w.Entry.Build
	w.env.Record(e)
	now := w.env.Now()
	w.env.countHandOff(w.Entry.Build, j.profile, ending != pb.Ended_ANSWERED, now-j.receivedAt)
	w.recentEnds = append(w.recentEnds, now)
	for w.recentEnds[0] <= now-1_000_000 {
		w.recentEnds = w.recentEnds[1:]
	}
	done := &wire.Done{ID: j.id, Ending: uint32(ending), InFlight: uint32(w.busyCores+len(w.queue)) + 1,
		CPUUse: uint32(1000*w.busyCores/w.Cores) + 1, ServedRate: uint32(1000*len(w.recentEnds)) + 1}
	if w.OmitsInFlight {
		done.InFlight = 0
	}
	j.link.Put(wire.KindDone, done)
	j.link.Flush()
}

// cancelJob drops a hand-off that is still queued.
func (w *Worker) cancelJob(l *wire.Link, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.queue {
		if j.link == l && j.id == id && !j.ended {
			j.ended = true
			w.env.Record(j.event(audit.HandOffDropped))
		}
	}
}
