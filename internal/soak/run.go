package soak

import (
	"fmt"
	"io"
	"iter"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"scalechute/standin"
)

// run is a plan that is being executed.
type run struct {
	plan     *Plan
	address  string
	attempts *attemptCounts
	done     chan struct{} // closed once clients must stop writing

	checkMemory bool

	servers   []*server
	discovery *http.Server

	mu                 sync.Mutex
	changed            *sync.Cond
	connectionsAllowed bool // clients may open new connections
	finished           bool
	terminatedAt       time.Time // first SIGTERM to the current process, or to the previous one until then
	killedAt           time.Time // zero if the current process has not been killed
	result             *Result
}

// Options are the options of Run.
type Options struct {
	Program []string  // the program and its first arguments
	Log     io.Writer // receives the process's log; may be nil
	// Whether the process must keep within its memory limit. One built with the race detector can't.
	CheckMemory bool
}

// RunAll executes plans, so many at once, and yields their results in the order of the plans. It stops at an error.
func RunAll(plans []*Plan, o Options, atOnce int) iter.Seq2[*Result, error] {
	return func(yield func(*Result, error) bool) {
		type outcome struct {
			result *Result
			err    error
		}
		outcomes := make([]chan outcome, len(plans))
		slots := make(chan struct{}, max(1, atOnce))
		stopped := make(chan struct{})
		defer close(stopped)
		for i := range plans {
			outcomes[i] = make(chan outcome, 1)
		}
		go func() {
			for i, plan := range plans {
				select {
				case <-stopped:
					return
				case slots <- struct{}{}:
				}
				go func() {
					result, err := Run(plan, o)
					<-slots
					outcomes[i] <- outcome{result, err}
				}()
			}
		}()
		for i := range plans {
			done := <-outcomes[i]
			if !yield(done.result, done.err) || done.err != nil {
				return
			}
		}
	}
}

// Run executes a plan and returns its result.
func Run(p *Plan, o Options) (*Result, error) {
	x := &run{plan: p, checkMemory: o.CheckMemory, attempts: &attemptCounts{counts: map[string]int{}}, done: make(chan struct{}), result: &Result{Plan: p, Violations: map[Violation]int{}}}
	x.changed = sync.NewCond(&x.mu)
	servers, ledger := []*server{}, newLedger(x.noteViolation)
	for index := range p.Servers {
		s, err := startServer(p, index, x.attempts, ledger)
		if err != nil {
			return nil, err
		}
		defer s.close()
		servers = append(servers, s)
	}
	known := encodeWorkerList(servers)
	discovery, discoveryAddress, err := startDiscovery(known)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	x.servers, x.discovery = servers, discovery
	held, err := standin.HoldAddress()
	if err != nil {
		return nil, err
	}
	defer held.Release()
	x.address = held.Address
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	file := configPath(dir)
	if err := writeConfig(file, p, x.address, discoveryAddress, known); err != nil {
		return nil, err
	}
	return x.result, x.runProcesses(o, file)
}

// readDelayStream is the first random stream for the read delays of clients.
const readDelayStream = 1 << 33

// runProcesses runs the plan's processes one after the other, while the clients keep running.
func (x *run) runProcesses(o Options, file string) error {
	var clients sync.WaitGroup
	filler := strings.Repeat("y", maxValueBytes)
	for i, plan := range x.plan.Clients {
		c := &client{run: x, name: fmt.Sprint("c", i), plan: plan, filler: filler,
			writeRandom: rand.New(rand.NewPCG(x.plan.Seed, uint64(i+1))), readRandom: rand.New(rand.NewPCG(x.plan.Seed, readDelayStream+uint64(i)))}
		clients.Go(c.runClient)
	}
	defer clients.Wait()
	defer x.finish()
	x.runOutageClients()
	for _, plan := range x.plan.Processes {
		p, err := startProcess(o.Program, x.plan, file, x.address, o.Log)
		if err != nil {
			return err
		}
		x.runProcess(p, plan)
	}
	return nil
}

// runProcess runs one process to its end.
func (x *run) runProcess(p *process, plan ProcessPlan) {
	x.mu.Lock()
	x.killedAt = time.Time{}
	x.mu.Unlock()
	x.allowConnections(true)
	x.scheduleSignals(p, plan.ReloadTimes, syscall.SIGHUP)
	select {
	case <-p.ended:
		x.noteViolation(unexpectedExit)
		x.allowConnections(false)
		return
	case <-time.After(plan.TerminateAfter):
	}
	x.mu.Lock()
	x.terminatedAt = time.Now()
	terminated := x.terminatedAt
	x.mu.Unlock()
	p.signal(syscall.SIGTERM)
	x.scheduleSignals(p, plan.ReloadsInShutdown, syscall.SIGHUP)
	x.scheduleSignals(p, plan.RepeatedTerminates, syscall.SIGTERM)
	x.scheduleEnds(plan)
	if plan.PauseAfter > 0 {
		x.scheduleSignals(p, []time.Duration{plan.PauseAfter}, syscall.SIGSTOP)
		x.scheduleSignals(p, []time.Duration{plan.PauseAfter + pauseDuration}, syscall.SIGCONT)
	}
	connectionsPeriod := minNewConnectionsPeriod + time.Duration(x.plan.Seed%2)*(maxNewConnectionsPeriod-minNewConnectionsPeriod)
	time.AfterFunc(connectionsPeriod, func() { x.allowConnections(false) })
	select {
	case <-p.ended:
	case <-time.After(time.Until(terminated.Add(x.plan.killAfter()))):
		x.mu.Lock()
		x.killedAt = time.Now()
		x.result.Violations[exitTooLate]++
		x.mu.Unlock()
		p.kill()
	}
	shutdownTime := time.Since(terminated)
	time.Sleep(time.Until(terminated.Add(connectionsPeriod + reconnectDelay)))
	time.Sleep(resetTimeout) // connections that ended with this process are audited before the next one starts
	x.mu.Lock()
	x.result.ShutdownTimes = append(x.result.ShutdownTimes, shutdownTime)
	x.result.MaxMemory = max(x.result.MaxMemory, p.maxMemory.Load())
	x.result.MaxAnonymous = max(x.result.MaxAnonymous, p.maxAnonymous.Load())
	if x.checkMemory && p.maxAnonymous.Load() > int64(x.plan.MemoryMB)<<20 {
		x.result.Violations[tooMuchMemory]++
	}
	x.mu.Unlock()
}

// scheduleSignals sends signals at the given times from now, as long as the process is running.
func (x *run) scheduleSignals(p *process, times []time.Duration, s syscall.Signal) {
	for _, at := range times {
		time.AfterFunc(at, func() {
			select {
			case <-p.ended:
			default:
				p.signal(s)
			}
		})
	}
}

// scheduleEnds ends the first server and discovery when the plan has it, counted from SIGTERM.
func (x *run) scheduleEnds(plan ProcessPlan) {
	if plan.ServerEndsAfter > 0 {
		time.AfterFunc(plan.ServerEndsAfter, x.servers[0].close)
	}
	if plan.DiscoveryEndsAfter > 0 {
		time.AfterFunc(plan.DiscoveryEndsAfter, func() { x.discovery.Close() })
	}
}

// allowConnections sets whether clients may open new connections.
func (x *run) allowConnections(allowed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connectionsAllowed = allowed
	x.changed.Broadcast()
}

// waitUntilAllowed waits until clients may open new connections. It returns false if the run is done.
func (x *run) waitUntilAllowed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for !x.connectionsAllowed && !x.finished {
		x.changed.Wait()
	}
	return !x.finished
}

// finish ends the run: clients write no more requests and open no more connections.
func (x *run) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	close(x.done)
	x.changed.Broadcast()
}

func (x *run) isDone() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}
