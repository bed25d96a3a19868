package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["repeat"] = playRepeat }

// When connections are reset under a request whose answer was lost, counted from when the server got it.
const resetFrom, resetTo = 1450 * time.Millisecond, 1480 * time.Millisecond

// memory is what all servers together remember of idempotency keys: each drops repeats of one for a time.
type memory struct {
	mu   sync.Mutex
	runs map[string]time.Duration // when a key's request first ran
}

// limitedServer is a server that holds a number of connections. Beyond it, new connections never come up: its queue of
// connections is full, so the system drops them.
type limitedServer struct {
	r           *rig
	name        string
	connections int
	work        time.Duration
	run         func(name string, q request)
	losing      *atomic.Bool // its answers are lost, and connections are reset under requests; nil for never
	address     string
}

// start listens. While the server holds as many connections as it can, a connection of the rig's own fills the queue of
// the listener, so that the system drops further ones: they never come up.
func (s *limitedServer) start() {
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	s.address = l.Addr().String()
	raw := must(l.SyscallConn())
	must(0, raw.Control(func(fd uintptr) { must(0, syscall.Listen(int(fd), 0)) }))
	ended := make(chan struct{}, s.connections)
	go func() {
		for open := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open++
			go func() {
				s.serve(c)
				ended <- struct{}{}
			}()
			for open >= s.connections {
				filler := s.fill(l)
				<-ended
				open--
				if c, err := l.Accept(); err == nil { // the filler, first in the queue
					c.Close()
				}
				filler.Close()
			}
			for len(ended) > 0 {
				<-ended
				open--
			}
		}
	}()
}

// fill fills the queue of the listener. A connection that came in between is turned away.
func (s *limitedServer) fill(l *net.TCPListener) net.Conn {
	for {
		filler, err := net.DialTimeout("tcp", s.address, 20*time.Millisecond)
		if err == nil {
			return filler
		}
		if c, err := l.Accept(); err == nil {
			s.r.note("server %s: turns away a connection beyond its number", s.name)
			c.Write([]byte("-BUSY\r\n"))
			c.Close()
		}
	}
}

func (s *limitedServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		q, ok := parseRequest(words)
		if !ok {
			return
		}
		q.at = s.r.now()
		s.r.note("server %s: got request %s, class %s, mark %s, d=%d", s.name, q.id, q.class, q.token, q.waitMS)
		s.run(s.name, q)
		time.Sleep(s.work)
		if s.losing != nil && s.losing.Load() { // the reset falls within the time of the trouble
			s.r.note("network: the answer of %s to request %s is lost", s.name, q.id)
			time.Sleep(q.at + resetFrom + rand.N(resetTo-resetFrom) - s.r.now())
			s.r.note("network: the connection to %s is reset under request %s", s.name, q.id)
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := c.Write(good(q.id)); err != nil {
			return
		}
		s.r.note("server %s: answered request %s", s.name, q.id)
	}
}

// playRepeat sends steady traffic to servers that hold few connections each. For 6 s, answers of the servers of one zone are
// lost, and their connections are reset under the requests. A request with an idempotency key that may have run must not
// be sent again after the time for which the servers remember the key.
func playRepeat(r *rig) (broken bool) {
	const (
		servers     = 10
		inZone      = 2 // servers in the zone whose answers get lost: a fifth
		connections = 4 // that a server holds
		clients     = 40
		work        = 250 * time.Millisecond
		pause       = 20 * time.Millisecond
		window      = 1500 * time.Millisecond // for which the servers remember a key
		extra       = 50 * time.Millisecond   // by which every time limit is longer
		lossAt      = 5 * time.Second
		troubleFor  = 6 * time.Second
		lossFor     = troubleFor - resetTo // a request that comes later is not reset within the time of the trouble
		end         = lossAt + troubleFor + 3*time.Second
	)
	mem := memory{runs: map[string]time.Duration{}}
	dropped := 0
	type repeat struct {
		server, id string
		after      time.Duration // since the request ran first
	}
	var late []repeat // beyond the window and what every time limit is longer
	run := func(name string, q request) {
		if q.token == "" {
			return
		}
		mem.mu.Lock()
		defer mem.mu.Unlock()
		first, met := mem.runs[q.token]
		switch again := q.at - first; {
		case !met:
			mem.runs[q.token] = q.at
		case again <= window+extra:
			dropped++
			r.note("server %s: idempotency key %s is remembered, the repeat is dropped", name, q.token)
		default:
			late = append(late, repeat{name, q.id, again})
			r.note("server %s: request %s with idempotency key %s came %.0f ms after it ran first, the key is forgotten: it runs twice", name, q.id, q.token, float64(again.Microseconds())/1000)
		}
	}
	var losing atomic.Bool
	var targets []target
	for i := range servers {
		s := &limitedServer{r: r, name: fmt.Sprintf("s-%d", i), connections: connections, work: work, run: run}
		zone := "north"
		if i < inZone {
			zone, s.losing = "south", &losing
		}
		s.start()
		targets = append(targets, target{UID: s.name, Endpoint: s.address, Zone: zone, Model: "m1", Group: 1, State: "active", Hint: 1, Release: earlierBuild})
	}
	r.discovery = r.startDiscovery(targets)
	r.desk = r.startDesk(fmt.Sprintf("%d 2 Healthy 1", earlierBuild))
	r.configure(settings([]map[string]any{
		class("look", "retryable", 750*time.Millisecond, 2500*time.Millisecond, 5*time.Second),
		class("alarm", "dedup", 600*time.Millisecond, 2500*time.Millisecond, window)}, 3, false),
		limits(96, 512), map[string]any{"build": earlierBuild, "stage": 2, "phase": "Healthy", "cap": 1, "age_ms": 100000})
	r.startSentry()
	r.watchHoldUps()

	var playing sync.WaitGroup
	var served, unserved atomic.Int64
	for n := range clients {
		playing.Go(func() {
			c := r.dial()
			defer func() { c.close() }()
			for i := 0; r.now() < end; i++ {
				id := fmt.Sprintf("%08x%08x", n, i)
				words := []string{"Q.ASK", id, id, "c=look,d=2500", "x"}
				if i%3 > 0 {
					words = []string{"Q.DO", id, id, "c=alarm,d=2500,k=" + id, "x"}
				}
				r.note("client %d: sends request %s, %s", n, id, words[3])
				answer, err := c.do(5*time.Second, words...)
				r.note("client %d: request %s was answered %q %v", n, id, answer.text, err)
				if answer.served {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
				if err != nil {
					c.close()
					c = r.dial()
				}
				time.Sleep(pause)
			}
		})
	}
	if r.trouble {
		time.Sleep(lossAt - r.now())
		r.note("from now on, answers of the zone south are lost and its connections are reset under requests")
		losing.Store(true)
		time.Sleep(lossFor)
		losing.Store(false)
		r.note("answers of the zone south arrive again; the last resets come within 6 s of the beginning")
	}
	playing.Wait()
	twice := 0
	for _, x := range late {
		if x.after > window+extra+r.longestHoldUp() {
			twice++
			r.note("BREAK: server %s: request %s was sent again %.0f ms after it ran first", x.server, x.id, float64(x.after.Microseconds())/1000)
		}
	}
	summary := fmt.Sprintf("requests sent again after the window, 50 ms and the longest hold-up: %d, after the window and 50 ms: %d; longest hold-up %.1f ms; repeats dropped: %d; served %d, refused or failed %d",
		twice, len(late), float64(r.heldUp.Load())/1e6, dropped, served.Load(), unserved.Load())
	r.note("%s", summary)
	fmt.Println(summary)
	if len(mem.runs) == 0 || r.trouble && dropped+len(late) == 0 {
		panic(fatal{errors.New("no request was sent again")})
	}
	return twice > 0
}
