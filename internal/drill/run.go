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

// Options are the options of a run.
type Options struct {
	Program       []string                         // command of this program, which `sentry --config FILE` follows
	Dir           string                           // for the sentries' files and logs
	InjectedFault string                           // of the first sentry, named as its --break flag takes it; empty if none
	RandomWorkers bool                             // sentries choose workers at random instead of by the decision module
	Logf          func(format string, args ...any) // prints the timeline
}

// sentryProcess is the process of a sentry.
type sentryProcess struct {
	position     int
	zone         int
	address      string
	settingsFile string
	cmd          *exec.Cmd
	exited       chan struct{}
	faultMu      sync.Mutex // held by the fault that affects the process; there is at most one
}

// runner runs a scenario.
type runner struct {
	scenario       *Scenario
	options        Options
	environment    *standin.Environment
	discovery      *standin.Discovery
	control        *standin.ControlPlane
	fleet          *fleet
	mu             sync.Mutex // guards the sentries' processes while the timeline runs
	sentries       []*sentryProcess
	clientPools    []*standin.ClientPool // by zone
	linkMu         sync.Mutex            // guards relays, relayAddresses and maxStall only
	relays         []*standin.Relay
	relayAddresses map[string]string       // by zone and worker address
	impairments    [][]*standin.Impairment // of the links between zones, in one direction each
	peerImpairment *standin.Impairment     // of all links between sentries
	maxStall       time.Duration
	pendingEnds    sync.WaitGroup // faults that have not ended
}

// Run runs a scenario and returns the result.
func Run(scenario *Scenario, options Options) (*Result, error) {
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	r := &runner{scenario: scenario, options: options, relayAddresses: map[string]string{}, peerImpairment: &standin.Impairment{}}
	r.prepare()
	defer r.close()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go r.measureStalls(done)
	r.runTimeline()
	close(done)
	return r.makeResult()
}

// prepare creates the environment of the stand-ins and the links between zones.
func (r *runner) prepare() {
	scenario := r.scenario
	r.environment = standin.NewEnvironment(&scenario.Settings.Policy, scenario.Settings.Zones, scenario.Seed)
	for range scenario.Settings.Zones {
		row := make([]*standin.Impairment, len(scenario.Settings.Zones))
		for j := range row {
			row[j] = &standin.Impairment{}
		}
		r.impairments = append(r.impairments, row)
	}
	r.resetLinks()
}

// resetLinks gives every link between zones its usual delay, and ends interruptions.
func (r *runner) resetLinks() {
	for i, row := range r.impairments {
		for j, impairment := range row {
			if i != j {
				impairment.Set(duration(r.scenario.Fleet.LinkDelay), false)
			}
		}
	}
}

// startServices starts discovery, the control plane and the first workers.
func (r *runner) startServices() error {
	scenario := r.scenario
	r.discovery = standin.NewDiscovery(r.environment)
	r.discovery.AddressFrom = r.addressFrom
	r.fleet = newFleet(scenario, r.environment, r.discovery)
	r.control = standin.NewControlPlane(r.environment, r.fleet, firstBuild)
	r.control.Delay = duration(scenario.Fleet.StatusDelay)
	if err := errors.Join(r.discovery.Start(), r.control.Start()); err != nil {
		return err
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for i, m := range r.fleet.machines { // the first workers are listed without delay
		r.discovery.ReportWorker(r.fleet.startWorker(m, i, firstBuild, true).worker, logic.Ready)
	}
	r.discovery.Set(func(d *standin.Discovery) { d.Delay = duration(scenario.Fleet.ListDelay) })
	return nil
}

// startAll starts the services and the sentries, and creates the client pools.
func (r *runner) startAll() error {
	scenario := r.scenario
	if err := r.startServices(); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	for i := range scenario.Settings.Policy.Sentries {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		r.sentries = append(r.sentries, &sentryProcess{position: i, zone: i % len(scenario.Settings.Zones), address: address,
			settingsFile: filepath.Join(r.options.Dir, fmt.Sprintf("sentry-%d.hcl", i))})
	}
	for _, s := range r.sentries {
		peerAddresses := map[int]string{}
		for _, to := range r.sentries {
			if s == to || !scenario.Settings.Policy.MayMessage {
				continue
			}
			relay, err := standin.NewRelay(to.address, r.peerImpairment, r.peerImpairment)
			if err != nil {
				return err
			}
			r.linkMu.Lock()
			r.relays = append(r.relays, relay)
			r.linkMu.Unlock()
			peerAddresses[to.position] = relay.Address
		}
		listFile := filepath.Join(r.options.Dir, fmt.Sprintf("sentry-%d.list", s.position))
		os.Remove(listFile)
		settings := scenario.sentrySettings(s.position, scenario.Settings.Zones[s.zone], s.address, listFile, r.discovery.Address,
			r.control.Address, peerAddresses)
		if err := os.WriteFile(s.settingsFile, settings, 0o644); err != nil {
			return err
		}
		if err := r.startSentry(s); err != nil {
			return err
		}
	}
	for zone := range scenario.Settings.Zones {
		addresses, sentryIDs := map[logic.SentryID]string{}, []logic.SentryID(nil)
		for _, s := range r.sentries {
			if s.zone == zone {
				addresses[logic.SentryID(s.position)] = s.address
				sentryIDs = append(sentryIDs, logic.SentryID(s.position))
			}
		}
		loadShare := float64(len(sentryIDs)) / float64(len(r.sentries))
		r.clientPools = append(r.clientPools, standin.NewClientPool(r.environment, fmt.Sprintf("z%d/", zone), scenario.Workload,
			loadShare, addresses, sentryIDs, scenario.Seed*100+int64(zone)))
	}
	return nil
}

// addressFrom returns the address under which the zone from reaches a worker: its own address within its zone,
// otherwise that of a relay. It is called on the poller with discovery's lock held. It therefore takes no lock that is
// ever held for long, and none under which changes are reported to discovery.
func (r *runner) addressFrom(address, zone, from string) string {
	fromIndex, toIndex := slices.Index(r.scenario.Settings.Zones, from), slices.Index(r.scenario.Settings.Zones, zone)
	if fromIndex == toIndex || fromIndex < 0 || toIndex < 0 {
		return address
	}
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	key := from + " " + address
	if r.relayAddresses[key] == "" {
		relay, err := standin.NewRelay(address, r.impairments[fromIndex][toIndex], r.impairments[toIndex][fromIndex])
		if err != nil {
			return address
		}
		r.relays = append(r.relays, relay)
		r.relayAddresses[key] = relay.Address
	}
	return r.relayAddresses[key]
}

// startSentry starts a sentry's process and waits until it listens.
func (r *runner) startSentry(s *sentryProcess) error {
	args := append(append([]string(nil), r.options.Program[1:]...), "sentry", "--config", s.settingsFile)
	if r.options.InjectedFault != "" && s.position == 0 {
		args = append(args, "--break", r.options.InjectedFault)
	}
	if r.options.RandomWorkers {
		args = append(args, "--random")
	}
	logFile, err := os.OpenFile(filepath.Join(r.options.Dir, fmt.Sprintf("sentry-%d.log", s.position)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.options.Program[0], args...)
	cmd.Stderr, cmd.Stdout = logFile, logFile
	r.environment.Record(audit.Event{Kind: audit.SentryStarted, Sentry: logic.SentryID(s.position)})
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		r.environment.Record(audit.Event{Kind: audit.SentryExited, Sentry: logic.SentryID(s.position)})
		logFile.Close()
		close(exited)
	}()
	s.cmd, s.exited = cmd, exited
	for range 500 {
		conn, err := net.DialTimeout("tcp", s.address, 100*time.Millisecond)
		if err == nil {
			conn.Close()
			return nil
		}
		select {
		case <-exited:
			return fmt.Errorf("sentry %d exited during startup; see %s", s.position, logFile.Name())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("sentry %d does not listen on %s", s.position, s.address)
}

// signal sends a signal to a sentry's process.
func (r *runner) signal(s *sentryProcess, sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = s.cmd.Process.Signal(sig)
}

// measureStalls measures the longest stall of this process. Recorded times can be late by as much.
func (r *runner) measureStalls(done chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		r.linkMu.Lock()
		r.maxStall = max(r.maxStall, time.Since(before)-2*time.Millisecond)
		r.linkMu.Unlock()
	}
}

// runTimeline runs the releases and faults, then waits until all tries are closed and stops the sentries.
func (r *runner) runTimeline() {
	t0 := time.Now()
	schedule := func(m logic.Micros, f func()) *time.Timer { return time.AfterFunc(time.Until(t0.Add(duration(m))), f) }
	for _, pool := range r.clientPools {
		pool.Start()
	}
	for _, release := range r.scenario.Releases {
		r.environment.SetBuildBehavior(release.Build, release.Behavior)
		schedule(release.At, func() {
			r.options.Logf("%6.1f s  trial of build %d starts", seconds(release.At), release.Build)
			r.control.StartTrial(release.Build)
		})
	}
	for _, fault := range r.scenario.Faults {
		schedule(fault.At, func() {
			r.options.Logf("%6.1f s  %s for %.1f s", seconds(fault.At), fault.Kind, seconds(fault.Duration))
			end := r.beginFault(fault)
			if end != nil {
				r.pendingEnds.Add(1)
				time.AfterFunc(duration(fault.Duration), func() { defer r.pendingEnds.Done(); end() })
			}
		})
	}
	time.Sleep(time.Until(t0.Add(duration(r.scenario.Duration))))
	for _, pool := range r.clientPools {
		pool.Stop()
	}
	r.pendingEnds.Wait()
	maxDeadline := r.scenario.Settings.MaxDeadline()
	// Every try closes by its deadline; a client waits half as long again for a late answer.
	for end := time.Now().Add(duration(maxDeadline)*3/2 + time.Second); time.Now().Before(end) && r.openTries() > 0; {
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range r.sentries {
		r.signal(s, syscall.SIGTERM)
	}
	for _, s := range r.sentries {
		select {
		case <-s.exited:
		case <-time.After(duration(maxDeadline) + 2*time.Second):
			r.signal(s, syscall.SIGKILL)
		}
	}
}

// openTries returns the number of tries that have neither an answer nor an end.
func (r *runner) openTries() (n int) {
	for _, pool := range r.clientPools {
		n += pool.OpenTries()
	}
	return n
}

// close stops all processes and stand-ins.
func (r *runner) close() {
	for _, s := range r.sentries {
		if s.cmd != nil {
			_ = s.cmd.Process.Kill()
			<-s.exited
		}
	}
	for _, pool := range r.clientPools {
		pool.Close()
	}
	if r.control != nil && r.control.Address != "" {
		r.control.Stop()
	}
	if r.discovery != nil && r.discovery.Address != "" {
		r.discovery.Stop()
	}
	if r.fleet != nil {
		r.fleet.stop()
	}
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	for _, relay := range r.relays {
		relay.Close()
	}
}
