// Package soak plays the real program against stand-in clients, servers and discovery on loopback while it is sent SIGHUP and
// SIGTERM in series, and audits on the sockets what became of every request. Clients go on using the connections that they
// have for as long as these stay open, and SIGKILL comes at the earliest time that the platform's protocol allows.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// What the platform's protocol states about a planned restart.
const (
	// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM.
	killAfterDeadline = 700 * time.Millisecond
	// A longer deadline counts as this long.
	longestCountedDeadline = 3 * time.Second
	// What the kill finds unanswered is lost if it came so long after SIGTERM.
	lostFrom = 700 * time.Millisecond
	// New connections go on coming for this long after SIGTERM, at the least and at the most.
	leastNewConnections = 200 * time.Millisecond
	mostNewConnections  = 400 * time.Millisecond
	// A process may be held up for so long.
	heldUp = 150 * time.Millisecond
	// An answer that is later than its deadline by this much is lost.
	lateBy = 500 * time.Millisecond
)

// Plan is one run, drawn from its seed.
type Plan struct {
	Seed           uint64
	Deadline       time.Duration // of every request
	Servers        []ServerPlan
	Clients        []ClientPlan
	MaxDescriptors int
	Processes      []ProcessPlan // one for each start of the process
	InjectedFault  string        // how the process is to break a promise, empty if not at all
}

// ServerPlan is how one server answers.
type ServerPlan struct {
	FastDelay    time.Duration // how long most answers take
	SlowDelay    time.Duration
	SlowPerMille uint64
	HangDelay    time.Duration // longer than any deadline
	HangPerMille uint64
}

// ClientPlan is how one client behaves.
type ClientPlan struct {
	MaxOpenRequests int           // requests that it keeps open on its connection
	MaxPause        time.Duration // before the next request, at the most
	ChunkBytes      int           // bytes that it writes at a time, 0 for whole commands
	BodyBytes       int           // bytes of a request's body
	AnswerBytes     int           // bytes of an answer
	MaxReadDelay    time.Duration // before each read, at the most
}

// LifePlan is one life of the process, counted from when it was ready.
type ProcessPlan struct {
	ReloadTimes        []time.Duration // SIGHUP
	TerminateAfter     time.Duration   // SIGTERM
	RepeatedTerminates []time.Duration // after it: further SIGTERM
	ReloadsInShutdown  []time.Duration // after it: further SIGHUP
	PauseAfter         time.Duration   // after it: the process stands still for heldUp from then on, 0 if it never does
}

// Bounds of what is drawn.
const (
	mostClients     = 20
	mostOpen        = 32
	mostPause       = 50 * time.Millisecond
	greatestValue   = 64 << 10
	smallAnswer     = 64 // bytes
	crowdClients    = 300
	fewDescriptors  = 256
	manyDescriptors = 1024
	crowdOneIn      = 3
)

// Draw makes the plan of a seed.
func RandomPlan(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := &Plan{Seed: seed, MaxDescriptors: manyDescriptors, Deadline: []time.Duration{600, 900, 900, 1500, 5000}[r.IntN(5)] * time.Millisecond}
	for range 2 + r.IntN(4) {
		p.Servers = append(p.Servers, drawServer(r))
	}
	for range 4 + r.IntN(mostClients-3) {
		p.Clients = append(p.Clients, drawClient(r))
	}
	if seed%crowdOneIn == 0 {
		p.MaxDescriptors = fewDescriptors
		for range crowdClients {
			p.Clients = append(p.Clients, ClientPlan{MaxOpenRequests: 1, MaxPause: mostPause, AnswerBytes: smallAnswer})
		}
	}
	for range 1 + r.IntN(2) {
		p.Processes = append(p.Processes, drawLife(r))
	}
	p.drawHolds()
	return p
}

// holdsStream is the stream of random numbers of its own that the times of being held up come from.
const holdsStream = 1 << 32

// drawHolds has the process held up once in about half of its ends, up to the time at which it is killed.
func (p *Plan) drawHolds() {
	r := rand.New(rand.NewPCG(p.Seed, holdsStream))
	for i := range p.Processes {
		if r.IntN(2) == 0 {
			p.Processes[i].PauseAfter = time.Duration(1 + r.Int64N(int64(p.killAfter()-heldUp)))
		}
	}
}

func drawServer(r *rand.Rand) ServerPlan {
	return ServerPlan{FastDelay: time.Millisecond, SlowDelay: 250 * time.Millisecond, SlowPerMille: r.Uint64N(100),
		HangDelay: 2 * time.Second, HangPerMille: r.Uint64N(30)}
}

func drawClient(r *rand.Rand) ClientPlan {
	c := ClientPlan{MaxOpenRequests: []int{1, 2, 4, 8, mostOpen}[r.IntN(5)], AnswerBytes: smallAnswer}
	if r.IntN(2) == 0 {
		c.MaxPause = time.Duration(r.Int64N(int64(mostPause)))
	}
	if r.IntN(4) == 0 {
		c.ChunkBytes = 1 + r.IntN(40)
	}
	switch r.IntN(6) {
	case 0:
		c.AnswerBytes = 1 + r.IntN(greatestValue-64)
	case 1:
		c.BodyBytes = 1 + r.IntN(greatestValue)
		c.ChunkBytes *= 1024
	}
	if r.IntN(5) == 0 {
		c.MaxReadDelay = time.Duration(r.Int64N(int64(100 * time.Millisecond)))
	}
	return c
}

func drawLife(r *rand.Rand) ProcessPlan {
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

// killAfter is when SIGKILL comes, after SIGTERM.
func (p *Plan) killAfter() time.Duration {
	return min(p.Deadline, longestCountedDeadline) + killAfterDeadline
}

func (p *Plan) String() string {
	return fmt.Sprintf("seed %d: %d clients, %d servers, deadline %v, %d descriptors, %d lives",
		p.Seed, len(p.Clients), len(p.Servers), p.Deadline, p.MaxDescriptors, len(p.Processes))
}

// Pipelines is a plan of clients that keep the same number of requests open on a connection, with one life and no reloads.
func PipelinePlan(seed uint64, clients, open int, pause time.Duration, answer int) *Plan {
	p := &Plan{Seed: seed, Deadline: 900 * time.Millisecond, MaxDescriptors: manyDescriptors, Processes: []ProcessPlan{{TerminateAfter: 2 * time.Second}}}
	for range 4 {
		p.Servers = append(p.Servers, ServerPlan{FastDelay: time.Millisecond, SlowDelay: 250 * time.Millisecond, SlowPerMille: 2, HangDelay: 2 * time.Second, HangPerMille: 1})
	}
	for range clients {
		p.Clients = append(p.Clients, ClientPlan{MaxOpenRequests: open, MaxPause: pause, AnswerBytes: answer})
	}
	return p
}

// Breaking is a plan on which the process has every occasion to break a promise: full pipelines, and servers that answer out
// of turn now and then.
func FaultPlan(seed uint64, breach string) *Plan {
	p := PipelinePlan(seed, 8, 8, 0, smallAnswer)
	for i := range p.Servers {
		p.Servers[i].SlowPerMille = 50
	}
	p.InjectedFault = breach
	return p
}
