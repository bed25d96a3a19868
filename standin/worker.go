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

// Worker is a stand-in for one worker. Its address stays over a restart.
type Worker struct {
	Entry          logic.Worker
	Cores          int
	Speed          float64
	WarmUp         logic.Micros // until warm after a start
	ColdSpeedShare float64      // of its speed, at a start
	MaxQueue       int

	// Troubles.
	SlowFactor     float64 // 1 if none
	FastErrorShare float64 // share that fails at once
	HandshakeDelay time.Duration
	IgnoresFrames  bool // takes connections and reads nothing of them
	IgnoresProbes  bool

	env           *Environment
	Address       string
	mu            sync.Mutex
	server        *wire.Server
	life          uint64
	up            bool
	drain         bool
	fell          bool
	started       logic.Micros
	busy          int
	queue         []*job
	running       map[*job]struct{}
	got           uint64
	recent        []arrival
	ended         []logic.Micros // answers of the last second
	OmitsInFlight bool           // tells what it serves and how busy it is, not how many it has
}

type arrival struct {
	at   logic.Micros
	work float64
}

type job struct {
	w      *Worker
	life   uint64
	link   *wire.Link
	from   logic.SentryID
	id     uint64
	number uint64 // at this worker
	try    string
	mark   string
	work   float64
	p      logic.ProfileID
	came   logic.Micros
	until  logic.Micros
	over   bool
}

// NewWorker makes a worker that is down.
func NewWorker(s *Environment, line logic.Worker, cores int, speed float64) *Worker {
	return &Worker{Entry: line, Cores: cores, Speed: speed, ColdSpeedShare: 1, MaxQueue: 16 * cores, SlowFactor: 1, env: s}
}

// Start has it listen. A worker that has run before comes back cold, one whose start is given as old is warm.
func (w *Worker) Start(warm bool) error {
	w.mu.Lock()
	if w.up {
		w.mu.Unlock()
		return nil
	}
	w.life++
	address := w.Address
	w.mu.Unlock() // whoever asks whether it is up does not wait for the socket
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
	w.server, w.Address, w.up, w.drain, w.fell = server, server.Address, true, false, false
	w.busy, w.queue, w.recent, w.running = 0, nil, nil, map[*job]struct{}{}
	w.started = w.env.Now()
	e := audit.Event{Kind: audit.WorkerUp, Worker: w.Entry.ID, Build: w.Entry.Build, Speed: w.Speed * float64(w.Cores),
		From: w.ColdSpeedShare, Warm: w.WarmUp}
	if warm {
		w.started -= w.WarmUp
		e.Warm = 0
	}
	w.env.Record(e)
	return nil
}

// Stop ends it at once: what it holds is lost.
func (w *Worker) Stop() {
	w.mu.Lock()
	server := w.server
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up, w.server = false, nil
	w.life++
	w.mu.Unlock()
	w.env.Record(audit.Event{Kind: audit.WorkerDown, Worker: w.Entry.ID})
	server.Close()
}

// Drain has it take nothing new.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.drain = true
	w.mu.Unlock()
}

// Up says whether it runs, since when, and which run that is.
func (w *Worker) RunState() (up bool, started logic.Micros, life uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up, w.started, w.life
}

// Set changes its troubles.
func (w *Worker) Set(f func(*Worker)) {
	w.mu.Lock()
	f(w)
	w.mu.Unlock()
}

func (w *Worker) warmth(now logic.Micros) float64 {
	if w.WarmUp <= 0 {
		return 1
	}
	return w.ColdSpeedShare + (1-w.ColdSpeedShare)*min(1, float64(now-w.started)/float64(w.WarmUp))
}

var errDeaf = errors.New("reads nothing")

func (w *Worker) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	w.mu.Lock()
	life, from := w.life, logic.SentryID(-1)
	w.mu.Unlock()
	return func(l *wire.Link, kind wire.Kind, body []byte) error {
			w.mu.Lock()
			deaf, welcome, noProbes := w.IgnoresFrames, w.HandshakeDelay, w.IgnoresProbes
			w.mu.Unlock()
			if deaf {
				return nil
			}
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				from = logic.SentryID(m.Position)
				time.AfterFunc(welcome, func() { l.Send(wire.KindWelcome, &pb.Welcome{Version: wire.ProtocolVersion}) })
			case wire.KindWork:
				var m wire.Work
				if err := m.Read(body); err != nil {
					return err
				}
				return w.work(l, life, from, &m)
			case wire.KindCancel:
				var m wire.IDMessage
				if err := m.Read(body); err != nil {
					return err
				}
				w.cancel(l, m.ID)
			case wire.KindProbe:
				var m wire.IDMessage
				if err := m.Read(body); err != nil {
					return err
				}
				if !noProbes {
					l.Send(wire.KindProbed, &pb.Probed{Id: m.ID, Held: w.held() + 1})
				}
			default:
				return fmt.Errorf("worker: frame of kind %d", kind)
			}
			return nil
		}, func(l *wire.Link, _ error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, j := range w.queue {
				if j.link == l && !j.over {
					j.over = true
					w.env.Record(j.event(audit.Dropped))
				}
			}
			for j := range w.running { // it runs on, but the sentry awaits it no longer
				if j.link == l {
					w.env.Record(j.event(audit.Dropped))
				}
			}
		}
}

func (w *Worker) held() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return uint32(w.busy + len(w.queue))
}

func (j *job) event(k audit.Kind) audit.Event {
	return audit.Event{Kind: k, Try: j.try, Worker: j.w.Entry.ID, HandOff: j.number, Sentry: j.from, Profile: j.p}
}

// work takes a hand-off. The payload names the client's try, the work, and how long it takes on a core of speed one.
func (w *Worker) work(l *wire.Link, life uint64, from logic.SentryID, m *wire.Work) error {
	j := &job{w: w, life: life, link: l, from: from, id: m.ID, p: logic.ProfileID(m.Profile), mark: string(m.DeduplicationToken),
		came: w.env.Now()}
	j.until = j.came + logic.Micros(m.Timeout)
	if _, err := fmt.Sscan(string(m.Payload), &j.try, &j.work); err != nil || int(m.Profile) >= len(w.env.Config.Profiles) {
		return fmt.Errorf("worker: payload %q: expected a try and its work", m.Payload)
	}
	w.env.handed(w.Entry.Build)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life || w.fell {
		return nil
	}
	w.got++
	j.number = w.got
	e := j.event(audit.Got)
	e.Key, e.Span, e.Work, e.Build = logic.Key(m.Key), logic.Micros(m.Timeout), logic.Micros(j.work), w.Entry.Build
	e.Zone, e.Cell = w.Entry.Zone, w.Entry.Cell
	w.env.Record(e)
	now := w.env.Now()
	if w.falls(now, j.work) {
		w.fell = true
		w.env.Record(audit.Event{Kind: audit.Fell, Worker: w.Entry.ID})
		go w.Stop()
		return nil
	}
	switch {
	case w.drain || len(w.queue) >= w.MaxQueue:
		w.end(j, pb.Ended_TURNED_AWAY)
	case w.env.draw() < w.FastErrorShare:
		w.end(j, pb.Ended_ERRORED)
	case w.busy < w.Cores:
		w.run(j)
	default:
		w.queue = append(w.queue, j)
	}
	return nil
}

// falls books what has come and says whether it pushes a cold worker over.
func (w *Worker) falls(now logic.Micros, work float64) bool {
	if now-w.started >= w.WarmUp {
		w.recent = nil
		return false
	}
	o := w.env.Config
	w.recent = append(w.recent, arrival{now, work})
	sum := 0.0
	for len(w.recent) > 0 && w.recent[0].at <= now-o.ColdLoadWindow {
		w.recent = w.recent[1:]
	}
	for _, a := range w.recent {
		sum += a.work
	}
	return sum > o.ColdLoadMultiple*w.Speed*float64(w.Cores)*w.warmth(now)*float64(o.ColdLoadWindow)
}

func (w *Worker) run(j *job) {
	now := w.env.Now()
	m, slowed := w.env.makeOf(w.Entry.Build)
	if m.SlowAfterAge > 0 && now-w.started > m.SlowAfterAge {
		slowed *= m.SlowFactor
	}
	w.busy++
	w.running[j] = struct{}{}
	took := j.work * w.SlowFactor * slowed / (w.Speed * m.RelativeSpeed * w.warmth(now))
	time.AfterFunc(span(logic.Micros(took)), func() { w.finish(j, m) })
}

func (w *Worker) finish(j *job, m BuildBehavior) {
	fails := (m.FailingProfile < 0 || m.FailingProfile == j.p) && w.env.draw() < m.ErrorShare
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != j.life {
		return
	}
	w.busy--
	delete(w.running, j)
	p := &w.env.Config.Profiles[j.p]
	if p.Repeatability != logic.Deduplicated || w.env.firstRun(w.group(p), j.mark, p.DedupWindow) {
		w.env.Record(j.event(audit.Ran))
	}
	if fails {
		w.end(j, pb.Ended_ERRORED)
	} else {
		w.end(j, pb.Ended_ANSWERED)
	}
	for len(w.queue) > 0 && w.busy < w.Cores {
		next := w.queue[0]
		w.queue = w.queue[1:]
		switch {
		case next.over:
		case w.env.Now() >= next.until: // nobody waits for it any more
			next.over = true
			w.env.Record(next.event(audit.Dropped))
		default:
			w.run(next)
		}
	}
}

func (w *Worker) group(p *logic.Profile) string {
	switch p.DedupScope {
	case logic.ScopeZone:
		return fmt.Sprintf("zone %d ", w.Entry.Zone)
	case logic.ScopeCell:
		return fmt.Sprintf("cell %d ", w.Entry.Cell)
	}
	return ""
}

func (w *Worker) end(j *job, how pb.Ended) {
	j.over = true
	e := j.event(audit.Ended)
	if how == pb.Ended_TURNED_AWAY {
		e.Kind = audit.Turned
	}
	e.Good, e.Build = how == pb.Ended_ANSWERED, w.Entry.Build
	w.env.Record(e)
	now := w.env.Now()
	w.env.count(w.Entry.Build, j.p, how != pb.Ended_ANSWERED, now-j.came)
	w.ended = append(w.ended, now)
	for w.ended[0] <= now-1_000_000 {
		w.ended = w.ended[1:]
	}
	done := &wire.Done{ID: j.id, Ending: uint32(how), InFlight: uint32(w.busy+len(w.queue)) + 1,
		CPUUse: uint32(1000*w.busy/w.Cores) + 1, ServedRate: uint32(1000*len(w.ended)) + 1}
	if w.OmitsInFlight {
		done.InFlight = 0
	}
	j.link.Put(wire.KindDone, done)
	j.link.Flush()
}

// cancel drops a hand-off that still waits.
func (w *Worker) cancel(l *wire.Link, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.queue {
		if j.link == l && j.id == id && !j.over {
			j.over = true
			w.env.Record(j.event(audit.Dropped))
		}
	}
}
