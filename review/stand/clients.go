package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// released is the state of a build that all workers run and that was released long ago.
const releasedBuild = 41

func releasedNews() object {
	return object{"build": releasedBuild, "stage": 3, "phase": "Healthy", "cap": 1.0, "age_ms": 60000}
}

// fleet starts workers of the released build, discovery and the platform, and configures a sentry for them.
func fleet(r *record, workers int, u setup, answer func(a *attempt) string) (*sentry, *discovery) {
	list := []*worker{}
	for i := range workers {
		list = append(list, startWorker(fmt.Sprint("s-", i), releasedBuild, answer))
	}
	d := startDiscovery(r, list...)
	p := startPlatform(r, "41 3 Healthy 1 60000", func([]string) (string, time.Duration) { return "ERR out_of_date", 100 * time.Millisecond })
	s := newSentry(r)
	u.settings, u.discovery, u.platform, u.known, u.news = settings(), d.address, p.address, d.known(), releasedNews()
	s.configure(u)
	return s, d
}

// asked is a usual client's request and what became of it.
type asked struct {
	client, number int
	id, class      string
	sent           time.Time
	took           time.Duration
	reply          reply
	timedOut       bool // no answer within its time and half a second
}

// usual runs a client that keeps one connection and has one request open at a time, until a time. When its connection
// has ended it opens another one.
func usual(s *sentry, client int, pause time.Duration, until time.Time, command, class, deadline, more string, note func(asked)) {
	var c net.Conn
	var in *bufio.Reader
	var wait time.Duration
	fmt.Sscan(deadline, (*int64)(&wait))
	wait *= time.Millisecond
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(pause)
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", s.address, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		a := asked{client: client, number: n, id: fmt.Sprintf("a%07x%08x", client, n), class: class, sent: time.Now()}
		words := []string{command, fmt.Sprintf("%016x", client*1000+n%500), a.id, fmt.Sprintf("c=%s,t=seabreeze-fish,d=%s%s", class, deadline, more)}
		io.WriteString(c, encode(words...))
		c.SetReadDeadline(a.sent.Add(wait + 550*time.Millisecond))
		a.reply = readReply(in)
		a.took = time.Since(a.sent)
		var timeout net.Error
		a.timedOut = errors.As(a.reply.err, &timeout) && timeout.Timeout()
		played.line("request %s, sent %.3f s ago: %s", a.id, a.took.Seconds(), a.reply)
		note(a)
		if a.reply.kind == 0 {
			c.Close()
			c = nil
		}
	}
}

func (s *sentry) descriptorCount() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.command.Process.Pid))
	return len(list)
}

// watchMemory does what the platform does: it kills the sentry once its memory is over the limit. It counts anonymous
// memory alone, without the pages of files. It returns the most that it saw, in KiB.
func (s *sentry) watchMemory(limitMB int64, until time.Time, note func() string) (most int64, killed bool) {
	for time.Now().Before(until) && !s.hasEnded() {
		time.Sleep(100 * time.Millisecond)
		memory := s.memory("RssAnon")
		if memory/1024 > most/1024 {
			s.record.line("anonymous memory %d KiB, with the pages of files %d KiB; %s", memory, s.memory("VmRSS"), note())
		}
		most = max(most, memory)
		if memory > limitMB<<10 && !killed {
			killed = true
			s.record.line("over %d MB: the platform kills the sentry", limitMB)
			s.kill()
		}
	}
	return most, killed
}

func init() {
	cases["halves"] = caseHalves
	cases["repeaters"] = caseRepeaters
	cases["oversize"] = caseOversize
}

// caseRepeaters: for 8 s, 300 bad clients ask for a class that does not exist, again as soon as they are turned away. Then they leave. The
// usual clients have to be answered, at the latest once the bad ones have gone.
func caseRepeaters(r *record, trouble bool) bool {
	const badClients, usualClients = 300, 20
	s, _ := fleet(r, 8, setup{memoryMB: 64, sockets: 256}, func(a *attempt) string {
		time.Sleep(100 * time.Millisecond)
		return served("v-" + a.id)
	})
	s.descriptors = 256
	s.start()
	s.waitReady()
	badUntil := time.Now().Add(8 * time.Second)
	until := badUntil.Add(20 * time.Second)
	var group sync.WaitGroup
	var answered, closed, lost, answeredAfter, lostAfter, badSent atomic.Int64
	for i := range usualClients {
		group.Go(func() {
			usual(s, i, 200*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				after := a.sent.Sub(badUntil) > 3*time.Second
				switch {
				case a.timedOut:
					lost.Add(1)
					r.line("usual client %d: request %s, sent %.3f s ago, has no answer", a.client, a.id, a.took.Seconds())
					if after {
						lostAfter.Add(1)
					}
				case a.reply.kind == 0:
					closed.Add(1)
				default:
					answered.Add(1)
					if after {
						answeredAfter.Add(1)
					}
				}
			})
		})
	}
	if trouble {
		for i := range badClients {
			group.Go(func() {
				for n := 0; time.Now().Before(badUntil); n++ {
					c, err := net.DialTimeout("tcp", s.address, time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					in := bufio.NewReader(c)
					c.SetDeadline(badUntil)
					for k := 0; time.Now().Before(badUntil); k++ {
						badSent.Add(1)
						io.WriteString(c, encode("Q.ASK", fmt.Sprintf("%016x", i), fmt.Sprintf("b%05x%05x%05x", i, n, k), "c=nothing,t=seabreeze-fish,d=2500"))
						if readReply(in).kind == 0 {
							break
						}
					}
					c.Close()
				}
			})
		}
	}
	most := 0
	for time.Now().Before(until) && !s.hasEnded() {
		time.Sleep(time.Second)
		most = max(most, s.descriptorCount())
		r.line("descriptors %d, usual requests answered %d, without answer %d, connection closed %d; bad requests sent %d",
			s.descriptorCount(), answered.Load(), lost.Load(), closed.Load(), badSent.Load())
	}
	group.Wait()
	r.line("most descriptors %d; sent later than 3 s after the bad clients had gone: answered %d, without answer %d",
		most, answeredAfter.Load(), lostAfter.Load())
	s.copyLog(4)
	return lostAfter.Load() == 0 && answeredAfter.Load() > 0
}

// caseOversize: one answer in eight is spoilt: a value that is said to have 2 MB and keeps coming. The platform kills a
// sentry whose memory goes over memory_mb.
func caseOversize(r *record, trouble bool) bool {
	const memoryMB, clients, share = 48, 60, 8
	chunk := strings.Repeat("x", 64<<10)
	var attempts, spoilt atomic.Int64
	s, _ := fleet(r, 4, setup{memoryMB: memoryMB, sockets: 512}, func(a *attempt) string {
		time.Sleep(30 * time.Millisecond)
		if attempts.Add(1)%share != 0 || !trouble {
			return served("v-" + a.id)
		}
		spoilt.Add(1)
		io.WriteString(a.conn, "*3\r\n$2000000\r\n")
		for range 30 { // 1.97 MB in 0.6 s
			if _, err := io.WriteString(a.conn, chunk); err != nil {
				return ""
			}
			time.Sleep(20 * time.Millisecond)
		}
		for {
			if _, err := io.WriteString(a.conn, "x"); err != nil {
				return ""
			}
			time.Sleep(80 * time.Millisecond)
		}
	})
	s.start()
	s.waitReady()
	until := time.Now().Add(20 * time.Second)
	var group sync.WaitGroup
	var answered, failed, lost atomic.Int64
	for i := range clients {
		group.Go(func() {
			usual(s, i, 230*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				switch {
				case a.reply.kind == '$':
					answered.Add(1)
				case a.reply.kind == '-':
					failed.Add(1)
				default:
					lost.Add(1)
				}
			})
		})
	}
	most, killed := s.watchMemory(memoryMB, until, func() string {
		return fmt.Sprintf("attempts %d, spoilt answers %d; served %d, failed or refused %d", attempts.Load(), spoilt.Load(), answered.Load(), failed.Load())
	})
	group.Wait()
	r.line("most anonymous memory %d KiB of %d; attempts %d, spoilt %d; served %d, failed or refused %d, connection ended %d", most,
		memoryMB<<10, attempts.Load(), spoilt.Load(), answered.Load(), failed.Load(), lost.Load())
	s.copyLog(3)
	return !killed && !s.hasEnded()
}

// caseHalves: 330 bad clients send a command but for its last bytes, and stay. The platform kills a sentry whose memory goes
// over memory_mb.
func caseHalves(r *record, trouble bool) bool {
	const memoryMB, badClients, usualClients = 32, 330, 10
	s, _ := fleet(r, 4, setup{memoryMB: memoryMB, sockets: 1024}, func(a *attempt) string {
		time.Sleep(30 * time.Millisecond)
		return served("v-" + a.id)
	})
	s.start()
	s.waitReady()
	until := time.Now().Add(12 * time.Second)
	var group sync.WaitGroup
	var answered, other, halves atomic.Int64
	for i := range usualClients {
		group.Go(func() {
			usual(s, i, 100*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				if a.reply.kind == '$' {
					answered.Add(1)
				} else {
					other.Add(1)
				}
			})
		})
	}
	if trouble {
		whole := encode("Q.ASK", "0123456789abcdef", "b123456789abcdef", "c=reading,t=seabreeze-fish,d=2500", strings.Repeat("y", 64<<10))
		half := whole[:len(whole)-10]
		for range badClients {
			group.Go(func() {
				for time.Now().Before(until) && !s.hasEnded() {
					c, err := net.DialTimeout("tcp", s.address, time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					c.SetDeadline(until)
					halves.Add(1)
					io.WriteString(c, half)
					io.Copy(io.Discard, c) // until it is closed
					c.Close()
				}
			})
		}
	}
	most, killed := s.watchMemory(memoryMB, until, func() string {
		return fmt.Sprintf("halves of commands sent %d; served %d, not served %d", halves.Load(), answered.Load(), other.Load())
	})
	group.Wait()
	r.line("most anonymous memory %d KiB of %d; halves of commands sent %d; served %d, not served %d", most, memoryMB<<10, halves.Load(),
		answered.Load(), other.Load())
	s.copyLog(3)
	return !killed && !s.hasEnded()
}
