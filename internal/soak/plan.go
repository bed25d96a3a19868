// Package soak runs the real program against stand-in clients, servers and discovery on loopback, sends it SIGHUP and
// SIGTERM repeatedly, and determines the outcome of every request from the clients' connections.
//
// A Plan, drawn from a seed, describes the clients, the servers and the signals; Run executes it and returns a Result.
// Clients use their connections for as long as these stay open, and SIGKILL is sent at the earliest time that the
// platform's protocol allows.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Rules of the platform's protocol for a planned restart.
const (
	// SIGKILL is sent no earlier than the longest deadline plus this after SIGTERM.
	killAfterDeadline = 700 * time.Millisecond
	// A longer deadline counts as this long.
	maxCountedDeadline = 3 * time.Second
	// A request that is unanswered at the kill counts as lost if it was sent more than this after SIGTERM.
	lostIfSentAfter = 700 * time.Millisecond
	// Clients go on opening new connections for at least and at most this long after SIGTERM.
	minNewConnectionsPeriod = 200 * time.Millisecond
	maxNewConnectionsPeriod = 400 * time.Millisecond
	// The process may be paused for this long.
	pauseDuration = 150 * time.Millisecond
	// An answer that arrives more than this after its deadline counts as lost; its outcome is Late.
	maxLateness = 500 * time.Millisecond
)

// Plan is the plan of one run, drawn from a seed.
type Plan struct {
	Seed           uint64
	Deadline       time.Duration // of every request
	Servers        []ServerPlan
	Clients        []ClientPlan
	MaxDescriptors int
	MemoryMB       int           // limit of the process's memory
	Processes      []ProcessPlan // one for each start of the process, in order
	InjectedFault  string        // violates a guarantee of the process, named as its --break flag takes it; empty if none
	Trouble        *Trouble      // of servers and network; nil if none
	Outage         *Outage       // nil if none; only with Trouble
}

// ServerPlan is how one server answers.
type ServerPlan struct {
	FastDelay    time.Duration // delay of most answers
	SlowDelay    time.Duration
	SlowPerMille uint64
	HangDelay    time.Duration // delay of the slowest answers, longer than the deadlines of most plans
	HangPerMille uint64
}

// ClientPlan is how one client behaves.
type ClientPlan struct {
	MaxOpenRequests int           // on its connection
	MaxPause        time.Duration // before the next request
	ChunkBytes      int           // size of a write, 0 to write whole commands
	BodyBytes       int           // size of a request's body
	AnswerBytes     int           // size of an answer
	MaxReadDelay    time.Duration // before each read
	NotRepeatable   bool          // its requests must run at most once
	Deduplicated    bool          // its requests carry an idempotency key; only with Trouble
	SharedKeys      bool          // other clients ask for the same keys
	Floods          bool          // it sends as much as it can, so its requests wait unread, and its answers have no deadline
}

// ProcessPlan is the plan of one run of the process, from its start to its end. Times count from when it is ready.
type ProcessPlan struct {
	ReloadTimes        []time.Duration // SIGHUP
	TerminateAfter     time.Duration   // SIGTERM
	RepeatedTerminates []time.Duration // further SIGTERM, counted from the first
	ReloadsInShutdown  []time.Duration // further SIGHUP, counted from SIGTERM
	ServerEndsAfter    time.Duration   // when the first server ends, counted from SIGTERM; 0 if never
	DiscoveryEndsAfter time.Duration   // when discovery ends, counted from SIGTERM; 0 if never
	PauseAfter         time.Duration   // when the process is paused for pauseDuration, counted from SIGTERM; 0 if never
}

// Limits and values of random plans. Plans whose seed is a multiple of extraClientsSeedInterval have more clients than
// there may be connections.
const (
	maxClients               = 20
	maxOpenRequests          = 32
	maxPause                 = 50 * time.Millisecond
	maxValueBytes            = 64 << 10
	smallAnswerBytes         = 64
	extraClients             = 300
	fewDescriptors           = 256
	manyDescriptors          = 1024
	usualMemoryMB            = 64
	leastMemoryMB            = 32
	extraClientsSeedInterval = 3
)

// RandomPlan returns the plan of a seed.
func RandomPlan(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := &Plan{Seed: seed, MaxDescriptors: manyDescriptors, MemoryMB: usualMemoryMB, Deadline: []time.Duration{600, 900, 900, 1500, 5000}[r.IntN(5)] * time.Millisecond}
	for range 2 + r.IntN(4) {
		p.Servers = append(p.Servers, randomServer(r))
	}
	for range 4 + r.IntN(maxClients-3) {
		p.Clients = append(p.Clients, randomClient(r))
	}
	if seed%extraClientsSeedInterval == 0 {
		p.MaxDescriptors = fewDescriptors
		for range extraClients {
			p.Clients = append(p.Clients, ClientPlan{MaxOpenRequests: 1, MaxPause: maxPause, AnswerBytes: smallAnswerBytes})
		}
	}
	for range 1 + r.IntN(2) {
		p.Processes = append(p.Processes, randomProcess(r))
	}
	p.addRandomPauses()
	return p
}

// pauseStream is the random stream from which the times of pauses are drawn. It is a separate one, so that pauses do
// not change the rest of a plan.
const pauseStream = 1 << 32

// addRandomPauses pauses the process once in about half of its shutdowns, at a time before it would be killed.
func (p *Plan) addRandomPauses() {
	r := rand.New(rand.NewPCG(p.Seed, pauseStream))
	for i := range p.Processes {
		if r.IntN(2) == 0 {
			p.Processes[i].PauseAfter = time.Duration(1 + r.Int64N(int64(p.killAfter()-pauseDuration)))
		}
	}
}

// mixedStream is the random stream of what MixedPlan adds to a plan.
const mixedStream = 1 << 34

// MixedPlan returns the plan of RandomPlan with further troubles: half of the clients send requests that must not be
// repeated, half of them send commands in pieces, and servers and discovery end while the process stops for the last
// time.
func MixedPlan(seed uint64) *Plan {
	p := RandomPlan(seed)
	r := rand.New(rand.NewPCG(seed, mixedStream))
	for i := range p.Clients {
		c := &p.Clients[i]
		c.NotRepeatable = r.IntN(2) == 0
		if r.IntN(2) == 0 {
			c.ChunkBytes = 1 + r.IntN(40) + c.BodyBytes/40
		}
	}
	last := &p.Processes[len(p.Processes)-1]
	if r.IntN(2) == 0 {
		last.ServerEndsAfter = time.Duration(1 + r.Int64N(int64(p.killAfter())))
	}
	if r.IntN(2) == 0 {
		last.DiscoveryEndsAfter = time.Duration(1 + r.Int64N(int64(p.killAfter())))
	}
	return p
}

func randomServer(r *rand.Rand) ServerPlan {
	return ServerPlan{FastDelay: time.Millisecond, SlowDelay: 250 * time.Millisecond, SlowPerMille: r.Uint64N(100),
		HangDelay: 2 * time.Second, HangPerMille: r.Uint64N(30)}
}

func randomClient(r *rand.Rand) ClientPlan {
	c := ClientPlan{MaxOpenRequests: []int{1, 2, 4, 8, maxOpenRequests}[r.IntN(5)], AnswerBytes: smallAnswerBytes}
	if r.IntN(2) == 0 {
		c.MaxPause = time.Duration(r.Int64N(int64(maxPause)))
	}
	if r.IntN(4) == 0 {
		c.ChunkBytes = 1 + r.IntN(40)
	}
	switch r.IntN(6) {
	case 0:
		c.AnswerBytes = 1 + r.IntN(maxValueBytes-64)
	case 1:
		c.BodyBytes = 1 + r.IntN(maxValueBytes)
		c.ChunkBytes *= 1024
	}
	if r.IntN(5) == 0 {
		c.MaxReadDelay = time.Duration(r.Int64N(int64(100 * time.Millisecond)))
	}
	return c
}

func randomProcess(r *rand.Rand) ProcessPlan {
	var l ProcessPlan
	l.TerminateAfter = 300*time.Millisecond + time.Duration(r.Int64N(int64(700*time.Millisecond)))
	for range r.IntN(4) {
		l.ReloadTimes = append(l.ReloadTimes, time.Duration(r.Int64N(int64(l.TerminateAfter))))
	}
	for range r.IntN(3) {
		l.ReloadsInShutdown = append(l.ReloadsInShutdown, time.Duration(r.Int64N(int64(time.Second))))
	}
	if r.IntN(3) == 0 {
		l.RepeatedTerminates = append(l.RepeatedTerminates, time.Duration(r.Int64N(int64(time.Second))))
	}
	return l
}

// killAfter returns the time from SIGTERM to SIGKILL.
func (p *Plan) killAfter() time.Duration {
	return min(p.Deadline, maxCountedDeadline) + killAfterDeadline
}

// String returns the plan's sizes in one line.
func (p *Plan) String() string {
	return fmt.Sprintf("seed %d: %d clients, %d servers, deadline %v, %d descriptors, %d processes",
		p.Seed, len(p.Clients), len(p.Servers), p.Deadline, p.MaxDescriptors, len(p.Processes))
}

// PipelinePlan returns a plan in which all clients keep the same number of requests open, with one process and no
// reloads.
func PipelinePlan(seed uint64, clients, openRequests int, pause time.Duration, answer int) *Plan {
	p := &Plan{Seed: seed, Deadline: 900 * time.Millisecond, MaxDescriptors: manyDescriptors, MemoryMB: usualMemoryMB, Processes: []ProcessPlan{{TerminateAfter: 2 * time.Second}}}
	for range 4 {
		p.Servers = append(p.Servers, ServerPlan{FastDelay: time.Millisecond, SlowDelay: 250 * time.Millisecond, SlowPerMille: 2, HangDelay: 2 * time.Second, HangPerMille: 1})
	}
	for range clients {
		p.Clients = append(p.Clients, ClientPlan{MaxOpenRequests: openRequests, MaxPause: pause, AnswerBytes: answer})
	}
	return p
}

// FaultPlan returns a plan with a fault injected into the process, in which the fault is likely to show: pipelines are
// full, and servers answer out of order at times.
func FaultPlan(seed uint64, fault string) *Plan {
	p := PipelinePlan(seed, 8, 8, 0, smallAnswerBytes)
	for i := range p.Servers {
		p.Servers[i].SlowPerMille = 50
	}
	p.InjectedFault = fault
	return p
}
