package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

// anonymousKB returns the sentry's resident anonymous memory in kilobytes: what its pages of files take is left out.
func (r *rig) anonymousKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.sentry.command.Process.Pid))
	_, after, found := strings.Cut(string(text), "RssAnon:")
	fields := strings.Fields(after)
	if !found || len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fields[0])
	return n
}

// playMemory sends steady traffic through a sentry, while a few bad clients send hundreds of commands at once, each of the
// greatest size. A sentry that takes more memory than its limit is killed, as the platform does it.
func playMemory(r *rig) (broken bool) {
	const (
		memoryMB     = 64
		sockets      = 1024
		servers      = 12
		usualClients = 8
		badClients   = 16
		commands     = 300 // that a bad client sends at once
		bodyBytes    = 64 << 10
		work         = 100 * time.Millisecond
		pause        = 50 * time.Millisecond
		length       = 30 * time.Second
	)
	handle := func(s *server, q request) []byte {
		r.note("server %s: begins request %s", s.name, q.id)
		time.Sleep(work)
		return good(q.id)
	}
	var targets []target
	for i := range servers {
		s := r.startServer(fmt.Sprintf("s-%d", i), earlierBuild, handle)
		targets = append(targets, s.target(s.address))
	}
	r.discovery = r.startDiscovery(targets)
	r.desk = r.startDesk(fmt.Sprintf("%d 2 Healthy 1", earlierBuild))
	r.configure(settings([]map[string]any{class("look", "retryable", 750*time.Millisecond, 3*time.Second, 5*time.Second)}, 3, false),
		limits(memoryMB, sockets), map[string]any{"build": earlierBuild, "stage": 2, "phase": "Healthy", "cap": 1, "age_ms": 100000})
	r.startSentry()

	var clients sync.WaitGroup
	var answered, unanswered atomic.Int64
	end := r.now() + length
	playing := func() bool { return r.now() < end && !r.sentry.hasEnded() }
	for n := range usualClients {
		clients.Go(func() {
			c, err := dialClient(r.address)
			for i := 0; err == nil && playing(); i++ {
				id := fmt.Sprintf("%08x%08x", n, i)
				r.note("client %d: sends request %s", n, id)
				var answer reply
				answer, err = c.do(5*time.Second, "Q.ASK", id, id, "c=look,d=2500", "x")
				r.note("client %d: request %s was answered %q %v", n, id, answer.text, err)
				if err == nil {
					answered.Add(1)
				} else {
					unanswered.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	body := strings.Repeat("x", bodyBytes)
	for n := 0; r.trouble && n < badClients; n++ {
		clients.Go(func() {
			for round := 0; playing(); round++ {
				c, err := dialClient(r.address)
				if err != nil {
					return
				}
				r.note("bad client %d: sends %d commands with %d bytes each at once", n, commands, bodyBytes)
				go func() {
					for i := range commands {
						id := fmt.Sprintf("b%07x%04x%04x", n, round, i)
						if _, err := c.conn.Write(encode("Q.ASK", id, id, "c=look,d=2500", body)); err != nil {
							return
						}
					}
				}()
				served, refused := 0, 0
				for range commands {
					answer, err := c.read(6 * time.Second)
					if err != nil {
						r.note("bad client %d: %v", n, err)
						break
					}
					if answer.served {
						served++
					} else {
						refused++
					}
				}
				r.note("bad client %d: %d served, %d refused or failed", n, served, refused)
				c.close()
			}
		})
	}
	peak := 0
	for ; playing(); time.Sleep(20 * time.Millisecond) {
		kb := r.anonymousKB()
		r.note("memory of the sentry: %d kB", kb)
		if peak = max(peak, kb); kb > memoryMB<<10 {
			broken = true
			r.note("BREAK: the sentry takes %d kB of anonymous memory, its limit is %d kB: the platform kills it", kb, memoryMB<<10)
			r.sentry.kill()
		}
	}
	crashed := r.sentry.hasEnded()
	clients.Wait()
	summary := fmt.Sprintf("peak of the anonymous memory %d kB of %d kB; usual clients: %d requests answered, %d found no answer", peak, memoryMB<<10, answered.Load(), unanswered.Load())
	r.note("%s", summary)
	fmt.Println(summary)
	if peak == 0 {
		panic(fatal{errors.New("the system does not tell the sentry's memory")})
	}
	return broken || crashed
}
