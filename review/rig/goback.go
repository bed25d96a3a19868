package main

import (
	"crypto/md5"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["goback"] = playGoBack }

const (
	earlierBuild = 41
	trialBuild   = 42
)

// slot returns the slot of a key by the two-build hash of the design page.
func slot(key string) int {
	sum := md5.Sum(fmt.Appendf(nil, "%s-%d-%d", key, earlierBuild, trialBuild))
	return int(binary.BigEndian.Uint64(sum[:8]) % 100)
}

// keysWith returns distinct keys whose slots satisfy a condition.
func keysWith(n int, want func(slot int) bool) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("%016x", i*7919+1); want(slot(key)) {
			keys = append(keys, key)
		}
	}
	return keys
}

// lossyProxy passes connections on to a server. While losing is set, answers are lost: what the server writes on a
// connection from then on does not arrive, and the connection stays open and silent.
type lossyProxy struct {
	address string
	losing  atomic.Bool
	lost    atomic.Int64 // connections that lost an answer
}

func startLossyProxy(to string) *lossyProxy {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	p := &lossyProxy{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c, to)
		}
	}()
	return p
}

func (p *lossyProxy) pass(c net.Conn, to string) {
	defer c.Close()
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		buffer, silent := make([]byte, 4096), false
		for {
			n, err := s.Read(buffer)
			if err != nil {
				if !silent {
					c.Close()
				}
				return
			}
			if p.losing.Load() && !silent {
				silent = true
				p.lost.Add(1)
			}
			if !silent {
				c.Write(buffer[:n])
			}
		}
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			s.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

// playGoBack sends steady traffic while a build is on trial. For 6 s, answers of the trial's server are lost. Where a
// key may not go back, no request of a key goes to the earlier build once the trial has written a good answer for it.
func playGoBack(r *rig) (broken bool) {
	const (
		slack   = 150 * time.Millisecond // from which a key counts as answered
		extra   = 50 * time.Millisecond  // by which every time limit is longer
		lossAt  = 6 * time.Second
		lossFor = 6 * time.Second
	)
	var mu sync.Mutex
	answered := map[string]time.Duration{} // when the trial first wrote a good answer, by key
	type wayBack struct {
		key   string
		after time.Duration // since the trial wrote a good answer
	}
	var back []wayBack // beyond the times from which a key counts as answered
	handle := func(s *server, q request) []byte {
		r.note("server %s, build %d: got request %s of key %s, class %s, d=%d", s.name, s.build, q.id, q.key, q.class, q.waitMS)
		mu.Lock()
		if at, met := answered[q.key]; met && s.build == earlierBuild && q.at > at+slack+extra {
			back = append(back, wayBack{q.key, q.at - at})
			r.note("key %s went to build %d, %.0f ms after build %d had written a good answer for it", q.key, s.build, float64((q.at-at).Microseconds())/1000, trialBuild)
		}
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		r.note("server %s, build %d: writes a good answer to request %s of key %s", s.name, s.build, q.id, q.key)
		if s.build == trialBuild {
			mu.Lock()
			if _, met := answered[q.key]; !met {
				answered[q.key] = r.now()
			}
			mu.Unlock()
		}
		return good(q.id)
	}
	var targets []target
	for i := range 4 {
		s := r.startServer(fmt.Sprintf("s-old%d", i), earlierBuild, handle)
		targets = append(targets, s.target(s.address))
	}
	trial := r.startServer("s-new0", trialBuild, handle)
	proxy := startLossyProxy(trial.address)
	targets = append(targets, trial.target(proxy.address))
	r.discovery = r.startDiscovery(targets)
	r.desk = r.startDesk(fmt.Sprintf("%d 0 Progressing %g", trialBuild, stageCaps[0]))
	r.configure(settings([]map[string]any{
		class("look", "retryable", 750*time.Millisecond, 3*time.Second, 5*time.Second),
		class("book", "dedup", 750*time.Millisecond, 3*time.Second, 2*time.Second)}, 4, true),
		limits(96, 512), map[string]any{"build": trialBuild, "stage": 0, "phase": "Progressing", "cap": stageCaps[0], "age_ms": 100})
	r.startSentry()
	r.watchHoldUps()

	keys := keysWith(4000, func(int) bool { return true }) // each is used once: most keys are new
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			c := r.dial()
			defer func() { c.close() }()
			for i := 0; r.now() < lossAt+lossFor+3*time.Second; i++ {
				id := fmt.Sprintf("%08x%08x", n, i)
				key := keys[i*4+n]
				words := []string{"Q.ASK", key, id, "c=look,d=2500", "x"}
				if i%3 == 0 {
					words = []string{"Q.DO", key, id, "c=book,d=2500,k=" + id, "x"}
				}
				answer, err := c.do(5*time.Second, words...)
				r.note("client %d: request %s of key %s answered %q %v", n, id, key, answer.text, err)
				if err != nil {
					c.close()
					c = r.dial()
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	if r.trouble {
		time.Sleep(lossAt - r.now())
		r.note("from now on, answers of %s are lost", trial.name)
		proxy.losing.Store(true)
		time.Sleep(lossFor)
		proxy.losing.Store(false)
		r.note("answers of %s arrive again", trial.name)
	}
	clients.Wait()
	breaks := 0
	for _, x := range back {
		if x.after > slack+extra+r.longestHoldUp() {
			breaks++
			r.note("BREAK: key %s went back to build %d, %.0f ms after the good answer", x.key, earlierBuild, float64(x.after.Microseconds())/1000)
		}
	}
	summary := fmt.Sprintf("keys answered by the trial: %d, connections that lost answers: %d, requests that went back: %d; longest hold-up %.1f ms", len(answered), proxy.lost.Load(), breaks, float64(r.heldUp.Load())/1e6)
	r.note("%s", summary)
	fmt.Println(summary)
	if len(answered) == 0 || r.trouble && proxy.lost.Load() == 0 {
		panic(fatal{errors.New("the trial got no requests")})
	}
	return breaks > 0
}
