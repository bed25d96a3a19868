package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["remainder"] = caseRemainder }

// group is a group of workers that drop a repeat of a labelled request for a time.
type group struct {
	window time.Duration

	mu   sync.Mutex
	runs map[string][]run // by label
}

// run is an attempt that a worker has had whole.
type run struct {
	worker  string
	at      time.Time
	dropped bool // as a repeat
}

// begin notes an attempt, and reports whether it is dropped as a repeat.
func (g *group) begin(worker, label string) (dropped bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := run{worker: worker, at: time.Now()}
	for _, before := range g.runs[label] {
		x.dropped = x.dropped || !before.dropped && x.at.Sub(before.at) < g.window
	}
	g.runs[label] = append(g.runs[label], x)
	return x.dropped
}

// site is where workers are that can be cut off. Connections to its workers lead through a proxy that takes little
// before it passes it on. While it is cut off the proxy takes nothing from either side and passes on nothing: what a side
// has sent lies in that side's machine, but for what the proxy's small buffer had room for. New connections do not come up, and what
// has come up meanwhile is reset once the site is back.
type site struct {
	mu    sync.Mutex
	back  *sync.Cond
	isCut bool
	doors []*net.TCPListener
}

// smallBuffer is the proxy's receive buffer in bytes; the system doubles it.
const smallBuffer = 4 << 10

func newSite() *site {
	s := &site{}
	s.back = sync.NewCond(&s.mu)
	return s
}

// add opens a door to a worker and returns its listener, which has room for one connection that is not accepted.
func (s *site) add(to string) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", ownHost+":0")
	if err != nil {
		cannotRun(err)
	}
	l := listener.(*net.TCPListener)
	s.doors = append(s.doors, l)
	go s.serve(l, to)
	return l
}

// room sets how many connections a door's queue has room for, beside one.
func room(l *net.TCPListener, connections int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), connections) })
	}
}

func (s *site) serve(l *net.TCPListener, to string) {
	for {
		s.wait()
		c, err := l.Accept()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		late := s.isCut
		s.mu.Unlock()
		if late {
			s.wait()
			reset(c)
			continue
		}
		w, err := net.Dial("tcp", to)
		if err != nil {
			c.Close()
			continue
		}
		w.(*net.TCPConn).SetReadBuffer(smallBuffer)
		go s.pass(c.(*net.TCPConn), w.(*net.TCPConn))
		go s.pass(w.(*net.TCPConn), c.(*net.TCPConn))
	}
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// pass passes on what comes from one side, and its end.
func (s *site) pass(from, to *net.TCPConn) {
	for buffer := make([]byte, 1<<10); ; {
		s.wait()
		n, err := from.Read(buffer)
		s.wait()
		to.Write(buffer[:n])
		switch {
		case err == io.EOF:
			to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// wait waits while the site is cut off.
func (s *site) wait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.isCut {
		s.back.Wait()
	}
}

// cut cuts the site off for a time. It fills the queue of each door, so that the system lets no further connection come up.
func (s *site) cut(length time.Duration) {
	end := time.Now().Add(length)
	s.mu.Lock()
	s.isCut = true
	s.mu.Unlock()
	var fillers sync.WaitGroup
	for _, l := range s.doors {
		fillers.Go(func() {
			l.SetDeadline(time.Now()) // ends an accept that waits
			room(l, 0)
			for range 8 {
				c, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond)
				if err != nil {
					return
				}
				time.AfterFunc(time.Until(end)+time.Second, func() { c.Close() })
			}
		})
	}
	fillers.Wait()
	time.AfterFunc(time.Until(end), func() {
		for _, l := range s.doors { // what has come up meanwhile is reset
			l.SetDeadline(time.Now().Add(10 * time.Millisecond))
			for {
				c, err := l.Accept()
				if err != nil {
					break
				}
				reset(c)
			}
			l.SetDeadline(time.Time{})
			room(l, 128)
		}
		s.mu.Lock()
		s.isCut = false
		s.back.Broadcast()
		s.mu.Unlock()
	})
}

// caseRemainder: the sentry's site, with five of fifteen workers, is cut off from the two others for 6 s. Labelled requests have bodies of 32 KiB. No attempt may come
// to a worker whole after the final answer and later than the workers remember the label.
func caseRemainder(r *record, trouble bool) bool {
	const (
		window  = 1500 * time.Millisecond
		slack   = 200 * time.Millisecond // 50 ms of the rules on sockets, and 150 ms for a sentry that is held up
		cutTime = 6 * time.Second
	)
	g := &group{window: window, runs: map[string][]run{}}
	zones, there := []string{"kingston", "mandeville", "may-pen"}, newSite()
	list := []*worker{}
	for i := range 15 {
		w := startWorker(fmt.Sprint("s-", i), releasedBuild, nil)
		w.answer = func(a *attempt) string {
			dropped := g.begin(w.name, a.facts["k"])
			if dropped {
				r.line("%s drops request %s as a repeat", w.name, a.id)
			}
			time.Sleep(30 * time.Millisecond)
			return served("v-" + a.id)
		}
		if w.zone = zones[i%3]; i%3 != 0 {
			w.listener = there.add(w.listener.Addr().String())
		}
		list = append(list, w)
	}
	d := startDiscovery(r, list...)
	p := startPlatform(r, "41 3 Healthy 1 60000", func([]string) (string, time.Duration) { return "ERR out_of_date", 100 * time.Millisecond })
	s := newSentry(r)
	set := settings()
	set["azs"] = zones
	s.configure(setup{settings: set, discovery: d.address, platform: p.address, known: d.known(), news: releasedNews()})
	s.start()
	s.waitReady()
	until := time.Now().Add(14 * time.Second)
	body := strings.Repeat("y", 32<<10)
	var clients sync.WaitGroup
	var good, other atomic.Int64
	var finals sync.Map // when a label's client had its final answer
	for i := range 20 {
		clients.Go(func() {
			labelled(s, i, 200*time.Millisecond, until, body, func(id string, a reply, took time.Duration) {
				if a.kind == '$' {
					good.Add(1)
				} else {
					other.Add(1)
				}
				if a.kind != 0 {
					finals.Store(id, time.Now())
				}
				r.line("request %s is answered with %c after %.3f s", id, a.kind, took.Seconds())
			})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		r.line("kingston is cut off from the other sites for %v", cutTime)
		there.cut(cutTime)
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	s.copyLog(6)
	g.mu.Lock()
	defer g.mu.Unlock()
	twice := 0
	for label, runs := range g.runs {
		for i, x := range runs {
			for _, before := range runs[:i] {
				final, answered := finals.Load(label) // the label is the request's id
				if after := x.at.Sub(before.at); !before.dropped && !x.dropped && after > window+slack && answered && x.at.Sub(final.(time.Time)) > slack {
					twice++
					r.line("BREAK: label %s: %s has it whole %.3f s after %s, and runs it again", label, x.worker, after.Seconds(), before.worker)
				}
			}
		}
	}
	r.line("labels %d; served %d, not served %d; run twice %d", len(g.runs), good.Load(), other.Load(), twice)
	return twice == 0
}

// labelled runs a client as usual does, with labelled requests that have a body, and pauses of up to a length.
func labelled(s *sentry, client int, pause time.Duration, until time.Time, body string, note func(id string, a reply, took time.Duration)) {
	var c net.Conn
	var in *bufio.Reader
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rand.Int63n(int64(pause))))
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", s.address, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		id, sent := fmt.Sprintf("a%07x%08x", client, n), time.Now()
		c.SetDeadline(sent.Add(3050 * time.Millisecond))
		io.WriteString(c, encode("Q.DO", fmt.Sprintf("%016x", client*1000+n%500), id, "c=excursion,t=seabreeze-fish,d=2500,k="+id, body))
		a := readReply(in)
		note(id, a, time.Since(sent))
		if a.kind == 0 {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}
