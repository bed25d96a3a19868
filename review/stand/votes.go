package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lateanswer"] = caseLateAnswer }

// caseLateAnswer: all that the platform tells comes 1 to 4.5 s later than usual: answers to votes after 1.1 s in place of 0.1 s, where
// the settings wait for 800 ms, and news of a change after 6.5 s in place of 2 s. The answer to a vote that counts tells that the
// build goes back, with the cap 0. From 2.2 s after it was written no attempt may go to the build.
func caseLateAnswer(r *record, trouble bool) bool {
	const (
		trialBuild  = releasedBuild + 1
		capBinds    = 2000*time.Millisecond + 150*time.Millisecond + 50*time.Millisecond // after the answer: the grace for drains, and the slack of the rules on sockets
		moreAllowed = 2                                                                  // attempts that pass
	)
	var mu sync.Mutex
	var trial []time.Time
	answer := func(a *attempt) string {
		if a.worker.build == trialBuild {
			mu.Lock()
			trial = append(trial, a.at)
			mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
		return served("v-" + a.id)
	}
	workers := []*worker{}
	for i := range 8 {
		workers = append(workers, startWorker(fmt.Sprint("s-", i), releasedBuild+i/4, answer))
	}
	d := startDiscovery(r, workers...)
	answerDelay, newsDelay := 100*time.Millisecond, 2*time.Second
	if trouble { // all that the platform tells is later than usual
		answerDelay, newsDelay = answerDelay+time.Second, newsDelay+4500*time.Millisecond
	}
	const before, after = "42 1 Progressing 0.425 ", "42 1 Aborting 0 "
	begin := time.Now()
	var p *platform
	var changed atomic.Bool
	var written atomic.Pointer[time.Time] // when the answer that tells the change was written
	p = startPlatform(r, before+"500", func(words []string) (string, time.Duration) {
		r.line("vote: %v", words)
		switch {
		case time.Since(begin) < 2*time.Second:
			return "ERR too_many_calls", answerDelay
		case changed.CompareAndSwap(false, true):
			r.line("the vote counts; another sentry's vote sends the build back")
			time.AfterFunc(answerDelay, func() {
				now := time.Now()
				written.Store(&now)
			})
			time.AfterFunc(newsDelay, func() { p.tell(after + fmt.Sprint(newsDelay.Milliseconds())) })
			return "OK " + after + "50", answerDelay
		}
		return "ERR out_of_date", answerDelay
	})
	s := newSentry(r)
	s.configure(setup{settings: settings(), discovery: d.address, platform: p.address, known: d.known(),
		news: object{"build": trialBuild, "stage": 1, "phase": "Progressing", "cap": 0.425, "age_ms": 500}})
	s.start()
	s.waitReady()
	begin = time.Now()
	until := begin.Add(20 * time.Second)
	var group sync.WaitGroup
	var answered atomic.Int64
	for i := range 4 {
		group.Go(func() {
			usual(s, i, 50*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				if a.reply.kind == '$' {
					answered.Add(1)
				}
			})
		})
	}
	group.Wait()
	s.copyLog(6)
	told := written.Load()
	if told == nil {
		cannotRun(fmt.Errorf("the sentry sent no vote"))
	}
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for _, at := range trial {
		if at.Sub(*told) > capBinds {
			over++
		}
	}
	r.line("requests served %d, attempts at build %d: %d; of them later than %v after the answer with the cap 0 was written: %d, allowed %d",
		answered.Load(), trialBuild, len(trial), capBinds, over, moreAllowed)
	return over <= moreAllowed
}
