package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is a plan that is played.
type run struct {
	plan    *Plan
	address string
	seen    *attempts
	finish  chan struct{} // closed once nothing more is to be written

	mu         sync.Mutex
	changed    *sync.Cond
	accepting  bool // new connections may be made
	finished   bool
	terminated time.Time // the last SIGTERM of the life at hand that began its end
	killedAt   time.Time // zero if that life has not been killed
	result     *Result
}

// Options are how a plan is played.
type Options struct {
	Program []string // what runs the program, with arguments before its own
	Log     io.Writer
}

// Play plays a plan.
func Run(p *Plan, o Options) (*Result, error) {
	x := &run{plan: p, seen: &attempts{counts: map[string]int{}}, finish: make(chan struct{}), result: &Result{Plan: p, Violations: map[Violation]int{}}}
	x.changed = sync.NewCond(&x.mu)
	servers := []*server{}
	for _, plan := range p.Servers {
		s, err := startServer(plan, x.seen)
		if err != nil {
			return nil, err
		}
		defer s.listener.Close()
		servers = append(servers, s)
	}
	known := list(servers)
	discovery, discoveryAddress, err := startDiscovery(known)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	if x.address, err = freeAddress(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	file := configurationFile(dir)
	if err := configure(file, p, x.address, discoveryAddress, known); err != nil {
		return nil, err
	}
	return x.result, x.play(o, file)
}

// delaysStream is the first stream of random numbers for the delays of clients' reads.
const delaysStream = 1 << 33

// play has the clients go on through all lives of the process.
func (x *run) play(o Options, file string) error {
	var clients sync.WaitGroup
	filler := strings.Repeat("y", greatestValue)
	for i, plan := range x.plan.Clients {
		c := &client{run: x, name: fmt.Sprint("c", i), plan: plan, filler: filler,
			random: rand.New(rand.NewPCG(x.plan.Seed, uint64(i+1))), delays: rand.New(rand.NewPCG(x.plan.Seed, delaysStream+uint64(i)))}
		clients.Go(c.play)
	}
	defer clients.Wait()
	defer x.end()
	for _, life := range x.plan.Processes {
		p, err := start(o.Program, x.plan, file, x.address, o.Log)
		if err != nil {
			return err
		}
		x.live(p, life)
	}
	return nil
}

// live plays one life of the process to its end.
func (x *run) live(p *process, life ProcessPlan) {
	x.mu.Lock()
	x.killedAt = time.Time{}
	x.mu.Unlock()
	x.accept(true)
	x.during(p, life.ReloadTimes, syscall.SIGHUP)
	select {
	case <-p.ended:
		x.note(crash)
		x.accept(false)
		return
	case <-time.After(life.TerminateAfter):
	}
	x.mu.Lock()
	x.terminated = time.Now()
	terminated := x.terminated
	x.mu.Unlock()
	p.signal(syscall.SIGTERM)
	x.during(p, life.ReloadsInShutdown, syscall.SIGHUP)
	x.during(p, life.RepeatedTerminates, syscall.SIGTERM)
	if life.PauseAfter > 0 {
		x.during(p, []time.Duration{life.PauseAfter}, syscall.SIGSTOP)
		x.during(p, []time.Duration{life.PauseAfter + heldUp}, syscall.SIGCONT)
	}
	newConnections := leastNewConnections + time.Duration(x.plan.Seed%2)*(mostNewConnections-leastNewConnections)
	time.AfterFunc(newConnections, func() { x.accept(false) })
	select {
	case <-p.ended:
	case <-time.After(time.Until(terminated.Add(x.plan.killAfter()))):
		x.mu.Lock()
		x.killedAt = time.Now()
		x.result.Violations[notEnded]++
		x.mu.Unlock()
		p.kill()
	}
	ended := time.Since(terminated)
	time.Sleep(time.Until(terminated.Add(newConnections + reconnectPause)))
	time.Sleep(resetWithin) // connections that the end has cut are told of as of this life
	x.mu.Lock()
	x.result.ShutdownTimes = append(x.result.ShutdownTimes, ended)
	x.result.MaxMemory = max(x.result.MaxMemory, p.memory.Load())
	x.mu.Unlock()
}

// during sends signals at times from now on, for as long as the process lives.
func (x *run) during(p *process, times []time.Duration, s syscall.Signal) {
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

// accept says whether clients may make new connections.
func (x *run) accept(now bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.accepting = now
	x.changed.Broadcast()
}

// waitForListener waits until new connections may be made; false says that the run is over.
func (x *run) waitForListener() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for !x.accepting && !x.finished {
		x.changed.Wait()
	}
	return !x.finished
}

func (x *run) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	close(x.finish)
	x.changed.Broadcast()
}

func (x *run) over() bool {
	select {
	case <-x.finish:
		return true
	default:
		return false
	}
}
