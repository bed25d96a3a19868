package drill

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"scalechute/internal/audit"
	"scalechute/logic"
	"scalechute/standin"
)

// Plan is how a day is run.
type Options struct {
	Program       []string // runs this program; `sentry --config F` follows
	Dir           string   // for the sentries' files and logs
	BrokenRule    string   // rule that the first sentry breaks on purpose, empty if none
	RandomWorkers bool     // sentries choose workers at random instead of by the module
	Logf          func(format string, args ...any)
}

// process is one sentry's.
type process struct {
	position int
	zone     int
	listen   string
	config   string
	cmd      *exec.Cmd
	exited   chan struct{}
	trouble  sync.Mutex // held by the one trouble that it is in
}

type runner struct {
	d        *Scenario
	p        Options
	stage    *standin.Environment
	list     *standin.Discovery
	desk     *standin.ControlPlane
	fleet    *fleet
	mu       sync.Mutex
	sentries []*process
	callers  []*standin.ClientPool // by zone
	linkMu   sync.Mutex            // of relays and reach alone
	relays   []*standin.Relay
	reach    map[string]string
	weather  [][]*standin.Impairment // between zones, one way
	peers    *standin.Impairment     // on all links between sentries
	hiccup   time.Duration
	restart  sync.WaitGroup
}

// Run plays a day and gives what became of it.
func Run(d *Scenario, p Options) (*Result, error) {
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	r := &runner{d: d, p: p, reach: map[string]string{}, peers: &standin.Impairment{}}
	r.prepare()
	defer r.close()
	if err := r.set(); err != nil {
		return nil, err
	}
	watched := make(chan struct{})
	go r.watch(watched)
	r.play()
	close(watched)
	return r.result()
}

// prepare makes the stage and the links between zones.
func (r *runner) prepare() {
	d := r.d
	r.stage = standin.NewEnvironment(&d.Settings.Policy, d.Settings.Zones, d.Seed)
	for range d.Settings.Zones {
		row := make([]*standin.Impairment, len(d.Settings.Zones))
		for j := range row {
			row[j] = &standin.Impairment{}
		}
		r.weather = append(r.weather, row)
	}
	r.calm()
}

// calm has every link carry what it usually does.
func (r *runner) calm() {
	for i, row := range r.weather {
		for j, w := range row {
			if i != j {
				w.Set(span(r.d.Fleet.LinkDelay), false)
			}
		}
	}
}

// services brings up the list, the desk and the fleet.
func (r *runner) services() error {
	d := r.d
	r.list = standin.NewDiscovery(r.stage)
	r.list.AddressFrom = r.reached
	r.fleet = newFleet(d, r.stage, r.list)
	r.desk = standin.NewControlPlane(r.stage, r.fleet, firstBuild)
	r.desk.Delay = span(d.Fleet.StatusDelay)
	if err := errors.Join(r.list.Start(), r.desk.Start()); err != nil {
		return err
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for i, at := range r.fleet.places { // these are listed at once
		r.list.ReportWorker(r.fleet.start(at, i, firstBuild, true).w, logic.Ready)
	}
	r.list.Set(func(l *standin.Discovery) { l.Delay = span(d.Fleet.ListDelay) })
	return nil
}

// set brings everything up.
func (r *runner) set() error {
	d := r.d
	if err := r.services(); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	for i := range d.Settings.Policy.Sentries {
		listen, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		r.sentries = append(r.sentries, &process{position: i, zone: i % len(d.Settings.Zones), listen: listen,
			config: filepath.Join(r.p.Dir, fmt.Sprintf("sentry-%d.hcl", i))})
	}
	for _, s := range r.sentries {
		peers := map[int]string{}
		for _, to := range r.sentries {
			if s == to || !d.Settings.Policy.MayMessage {
				continue
			}
			relay, err := standin.NewRelay(to.listen, r.peers, r.peers)
			if err != nil {
				return err
			}
			r.linkMu.Lock()
			r.relays = append(r.relays, relay)
			r.linkMu.Unlock()
			peers[to.position] = relay.Address
		}
		memory := filepath.Join(r.p.Dir, fmt.Sprintf("sentry-%d.list", s.position))
		os.Remove(memory)
		file := d.sentryFile(s.position, d.Settings.Zones[s.zone], s.listen, memory, r.list.Address, r.desk.Address, peers)
		if err := os.WriteFile(s.config, file, 0o644); err != nil {
			return err
		}
		if err := r.launch(s); err != nil {
			return err
		}
	}
	for z := range d.Settings.Zones {
		reach, order := map[logic.SentryID]string{}, []logic.SentryID(nil)
		for _, s := range r.sentries {
			if s.zone == z {
				reach[logic.SentryID(s.position)] = s.listen
				order = append(order, logic.SentryID(s.position))
			}
		}
		part := float64(len(order)) / float64(len(r.sentries))
		r.callers = append(r.callers, standin.NewClientPool(r.stage, fmt.Sprintf("z%d/", z), d.Workload, part, reach, order,
			d.Seed*100+int64(z)))
	}
	return nil
}

// reached is how a zone reaches a worker: directly at home, else over the relay of that link. It is called with the
// list's lock held, on the poller: it takes no lock that is ever held for long, nor one under which the list is told.
func (r *runner) reached(address, zone, from string) string {
	at, to := slices.Index(r.d.Settings.Zones, from), slices.Index(r.d.Settings.Zones, zone)
	if at == to || at < 0 || to < 0 {
		return address
	}
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	key := from + " " + address
	if r.reach[key] == "" {
		relay, err := standin.NewRelay(address, r.weather[at][to], r.weather[to][at])
		if err != nil {
			return address
		}
		r.relays = append(r.relays, relay)
		r.reach[key] = relay.Address
	}
	return r.reach[key]
}

// launch starts a sentry's process and waits until it listens.
func (r *runner) launch(s *process) error {
	args := append(append([]string(nil), r.p.Program[1:]...), "sentry", "--config", s.config)
	if r.p.BrokenRule != "" && s.position == 0 {
		args = append(args, "--break", r.p.BrokenRule)
	}
	if r.p.RandomWorkers {
		args = append(args, "--random")
	}
	log, err := os.OpenFile(filepath.Join(r.p.Dir, fmt.Sprintf("sentry-%d.log", s.position)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.p.Program[0], args...)
	cmd.Stderr, cmd.Stdout = log, log
	r.stage.Record(audit.Event{Kind: audit.SentryStarted, Sentry: logic.SentryID(s.position)})
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		r.stage.Record(audit.Event{Kind: audit.SentryExited, Sentry: logic.SentryID(s.position)})
		log.Close()
		close(exited)
	}()
	s.cmd, s.exited = cmd, exited
	for range 500 {
		conn, err := net.DialTimeout("tcp", s.listen, 100*time.Millisecond)
		if err == nil {
			conn.Close()
			return nil
		}
		select {
		case <-exited:
			return fmt.Errorf("sentry %d ended at its start; see %s", s.position, log.Name())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("sentry %d does not listen on %s", s.position, s.listen)
}

func (r *runner) signal(s *process, sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = s.cmd.Process.Signal(sig)
}

// watch measures by how much this process is late at the worst: the record's clock is no better than that.
func (r *runner) watch(done chan struct{}) {
	for {
		at := time.Now()
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		r.linkMu.Lock()
		r.hiccup = max(r.hiccup, time.Since(at)-2*time.Millisecond)
		r.linkMu.Unlock()
	}
}

// play runs the timeline.
func (r *runner) play() {
	start := time.Now()
	at := func(m logic.Micros, f func()) *time.Timer { return time.AfterFunc(time.Until(start.Add(span(m))), f) }
	for _, c := range r.callers {
		c.Start()
	}
	for _, x := range r.d.Releases {
		r.stage.SetBuildBehavior(x.Build, x.Behavior)
		at(x.At, func() {
			r.p.Logf("%6.1f s  build %d offered", seconds(x.At), x.Build)
			r.desk.StartTrial(x.Build)
		})
	}
	for _, t := range r.d.Faults {
		at(t.At, func() {
			r.p.Logf("%6.1f s  %s for %.1f s", seconds(t.At), t.Kind, seconds(t.Duration))
			end := r.begin(t)
			if end != nil {
				r.restart.Add(1)
				time.AfterFunc(span(t.Duration), func() { defer r.restart.Done(); end() })
			}
		})
	}
	time.Sleep(time.Until(start.Add(span(r.d.Duration))))
	for _, c := range r.callers {
		c.Stop()
	}
	r.restart.Wait()
	longest := r.d.Settings.MaxDeadline()
	// What is open closes by its limit; a client waits half as long again for an answer that is late.
	for end := time.Now().Add(span(longest)*3/2 + time.Second); time.Now().Before(end) && r.open() > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range r.sentries {
		r.signal(s, syscall.SIGTERM)
	}
	for _, s := range r.sentries {
		select {
		case <-s.exited:
		case <-time.After(span(longest) + 2*time.Second):
			r.signal(s, syscall.SIGKILL)
		}
	}
}

func (r *runner) open() (n int) {
	for _, c := range r.callers {
		n += c.OpenTries()
	}
	return n
}

func (r *runner) close() {
	for _, s := range r.sentries {
		if s.cmd != nil {
			_ = s.cmd.Process.Kill()
			<-s.exited
		}
	}
	for _, c := range r.callers {
		c.Close()
	}
	if r.desk != nil && r.desk.Address != "" {
		r.desk.Stop()
	}
	if r.list != nil && r.list.Address != "" {
		r.list.Stop()
	}
	if r.fleet != nil {
		r.fleet.stop()
	}
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	for _, x := range r.relays {
		x.Close()
	}
}
