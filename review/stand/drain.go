package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = caseDrain }

// caseDrain: for 14 s discovery is crowded: the open watch falls silent, and calls wait for 2 s and end with 503. In that time
// it lists a worker as leaving, which finishes what it gets. The change counts as told 6 s after discovery had it, and
// 2 s later nothing may be sent to the worker.
func caseDrain(r *record, trouble bool) bool {
	const (
		crowded = 14 * time.Second
		toldBy  = 6 * time.Second
		grace   = 2*time.Second + 50*time.Millisecond
		reading = 100 * time.Millisecond // until the stand-in has noted an attempt
	)
	var mu sync.Mutex
	var sends []time.Time
	list := []*worker{}
	for i := range 4 {
		list = append(list, startWorker(fmt.Sprint("s-", i), releasedBuild, func(a *attempt) string {
			if a.worker.name == "s-0" {
				mu.Lock()
				sends = append(sends, a.at)
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
			return served("v-" + a.id)
		}))
	}
	d := startDiscovery(r, list...)
	p := startPlatform(r, "41 3 Healthy 1 60000", func([]string) (string, time.Duration) { return "ERR out_of_date", 100 * time.Millisecond })
	s := newSentry(r)
	s.configure(setup{settings: settings(), discovery: d.address, platform: p.address, known: d.known(), news: releasedNews()})
	s.start()
	s.waitReady()
	until := time.Now().Add(22 * time.Second)
	var group sync.WaitGroup
	var answered atomic.Int64
	for i := range 6 {
		group.Go(func() {
			usual(s, i, 50*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				if a.reply.kind == '$' {
					answered.Add(1)
				}
			})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		r.line("discovery is crowded for %v: the open watch falls silent, calls wait for 2 s and end with 503", crowded)
		d.crowd(2 * time.Second)
		time.AfterFunc(crowded, func() {
			r.line("discovery answers again")
			d.crowd(0)
		})
	}
	time.Sleep(500 * time.Millisecond)
	listed := time.Now()
	d.set(list[0].entry("leaving"))
	group.Wait()
	s.copyLog(12)
	mu.Lock()
	defer mu.Unlock()
	after, late, last := 0, 0, 0.0
	for _, at := range sends {
		if since := at.Sub(listed); since > 0 {
			after++
			last = since.Seconds()
			if since > toldBy+grace+reading {
				late++
			}
		}
	}
	r.line("requests served %d; attempts at s-0 after discovery had listed it as leaving: %d, the last after %.3f s; later than %v: %d, allowed 0",
		answered.Load(), after, last, toldBy+grace+reading, late)
	return late == 0
}
