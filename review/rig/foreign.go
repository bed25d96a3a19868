package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["foreign"] = playForeign }

// chunk is data on its way, with the time at which it arrives.
type chunk struct {
	due  time.Time
	data []byte
}

// delayedPipe passes data on after a delay, and the end of the stream too.
func delayedPipe(to, from net.Conn, delay time.Duration) {
	queue := make(chan chunk, 4096)
	go func() {
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.data); err != nil {
				break
			}
		}
		to.Close()
		for range queue {
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- chunk{time.Now().Add(delay), append([]byte(nil), buffer[:n]...)}
		}
		if err != nil {
			close(queue)
			return
		}
	}
}

// startDelayProxy passes connections on to a server, each way with a delay.
func startDelayProxy(to string, delay time.Duration) string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go delayedPipe(s, c, delay)
			go delayedPipe(c, s, delay)
		}
	}()
	return l.Addr().String()
}

// queuedServer answers the requests of a connection in their order, each after its work. It begins a request as soon as
// it has come. Of its answers, a share is followed by a second copy right behind, if nothing else waits on the connection.
type queuedServer struct {
	r         *rig
	work      time.Duration
	copyShare float64

	copies, open, most atomic.Int64 // second copies sent, open requests, and the most that were open at a time
	behind             atomic.Int64 // requests that came while another was open on their connection
}

func (s *queuedServer) start(name string) string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(name, c)
		}
	}()
	return l.Addr().String()
}

// hasUnread reports whether the system holds bytes of a connection that were not read.
func hasUnread(c net.Conn) (unread bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err != syscall.EAGAIN
	})
	return unread || err != nil
}

func (s *queuedServer) serve(name string, c net.Conn) {
	defer c.Close()
	var waiting atomic.Int64
	type job struct {
		q   request
		due time.Time
	}
	jobs := make(chan job, 1024)
	defer close(jobs)
	go func() {
		for j := range jobs {
			time.Sleep(time.Until(j.due))
			answer, with := good(j.q.id), ""
			if waiting.Add(-1) == 0 && rand.Float64() < s.copyShare && !hasUnread(c) {
				s.copies.Add(1)
				answer, with = append(answer, answer...), " with a second copy right behind, nothing else waits on the connection"
			}
			s.r.note("server %s: answers request %s%s", name, j.q.id, with)
			s.open.Add(-1)
			c.Write(answer)
		}
	}()
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
		behind := waiting.Add(1) > 1
		if behind {
			s.behind.Add(1)
		}
		s.r.note("server %s: begins request %s, behind another on the connection: %v", name, q.id, behind)
		if n := s.open.Add(1); n > s.most.Load() {
			s.most.Store(n)
		}
		jobs <- job{q, time.Now().Add(s.work)}
	}
}

// playForeign sends steady traffic through a sentry whose connections to servers are all in use: beside the usual
// clients, a few send hundreds of commands at once. Some servers' answers come with a second copy right behind. A client
// must be served the value made for its request, or none.
func playForeign(r *rig) (broken bool) {
	const (
		servers      = 20
		usualClients = 60
		badClients   = 3
		commands     = 300 // that a bad client sends at once
		copyShare    = 0.025
		work         = 200 * time.Millisecond
		pause        = 50 * time.Millisecond // of a usual client, after an answer
		link         = time.Millisecond      // one way between the zones
		length       = 60 * time.Second
	)
	s := &queuedServer{r: r, work: work}
	if r.trouble {
		s.copyShare = copyShare
	}
	var targets []target
	for i := range servers {
		t := target{UID: fmt.Sprintf("s-%d", i), Zone: "north", Model: "m1", Group: 1, State: "active", Hint: 1, Release: earlierBuild}
		if t.Endpoint = s.start(t.UID); i%2 == 1 {
			t.Zone, t.Endpoint = "south", startDelayProxy(t.Endpoint, link)
		}
		targets = append(targets, t)
	}
	r.discovery = r.startDiscovery(targets)
	r.desk = r.startDesk(fmt.Sprintf("%d 2 Healthy 1", earlierBuild))
	r.configure(settings([]map[string]any{class("look", "retryable", 750*time.Millisecond, 3*time.Second, 5*time.Second)}, 3, false),
		limits(96, 256), map[string]any{"build": earlierBuild, "stage": 2, "phase": "Healthy", "cap": 1, "age_ms": 100000})
	r.startSentry()

	var clients sync.WaitGroup
	var served, unserved, foreign, badForeign atomic.Int64
	end := r.now() + length
	for n := range usualClients {
		clients.Go(func() {
			c := r.dial()
			defer func() { c.close() }()
			for i := 0; r.now() < end; i++ {
				id := fmt.Sprintf("%08x%08x", n, i)
				r.note("client %d: sends request %s", n, id)
				answer, err := c.do(5*time.Second, "Q.ASK", id, id, "c=look,d=2500", "x")
				r.note("client %d: request %s was answered %q %v", n, id, answer.text, err)
				switch {
				case err != nil:
					c.close()
					c = r.dial()
				case answer.served && answer.text != id:
					foreign.Add(1)
					r.note("BREAK: client %d: request %s was served with the value made for request %s", n, id, answer.text)
				case answer.served:
					served.Add(1)
				default:
					unserved.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	for n := range badClients {
		clients.Go(func() {
			for round := 0; r.now() < end; round++ {
				c := r.dial()
				r.note("bad client %d: sends %d commands at once", n, commands)
				go func() {
					for i := range commands {
						id := fmt.Sprintf("b%07x%04x%04x", n, round, i)
						c.conn.Write(encode("Q.ASK", id, id, "c=look,d=2500", "x"))
					}
				}()
				for i := range commands {
					answer, err := c.read(6 * time.Second)
					if err != nil {
						r.note("bad client %d: %v", n, err)
						break
					}
					if id := fmt.Sprintf("b%07x%04x%04x", n, round, i); answer.served && answer.text != id {
						badForeign.Add(1)
					}
				}
				c.close()
			}
		})
	}
	clients.Wait()
	summary := fmt.Sprintf("most open at servers %d, requests written behind another %d, second copies %d; usual clients: served %d, refused or failed %d, served with a foreign value %d; bad clients served with one %d",
		s.most.Load(), s.behind.Load(), s.copies.Load(), served.Load(), unserved.Load(), foreign.Load(), badForeign.Load())
	r.note("%s", summary)
	fmt.Println(summary)
	if r.trouble && s.copies.Load() == 0 {
		panic(fatal{fmt.Errorf("no server sent a second copy")})
	}
	return foreign.Load() > 0
}
