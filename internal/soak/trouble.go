package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Trouble is what goes wrong with the servers and the network of a run, beside the process's own signals.
type Trouble struct {
	// Good answers that a second copy follows, while nothing else waits on the connection.
	CopiesPerMille uint64
	// The answers of the first servers get lost for a while, counted from the start of the run.
	LosingServers int
	LossFrom      time.Duration
	LossFor       time.Duration
	// The connection of a lost answer is reset at a time in this span after the request came; it stays open and silent if
	// the span is empty.
	ResetFrom time.Duration
	ResetTo   time.Duration
	// Connections that a server holds, 0 for any number. Further ones never come up.
	ConnectionsPerServer int
	// The last servers run a build on trial, and a key that it has answered must not go to the earlier build again.
	TrialServers int
}

// Times of the settings and the rules of plans with troubles.
const (
	troubleDeadline       = 2500 * time.Millisecond
	troubleDueTime        = 1200 * time.Millisecond
	troubleConnectTimeout = 800 * time.Millisecond
	dedupWindow           = 1500 * time.Millisecond // for which all servers remember the idempotency key of a request
	// Every time limit is longer by this, and the process may be held up for pauseDuration.
	timeLimitSlack = 50 * time.Millisecond
	// A key counts as answered this long after a server of the trial has written a good answer.
	answeredAfter = 150 * time.Millisecond
)

// The builds of the servers. The second is on trial in plans with TrialServers.
const (
	earlierBuild = 7
	trialBuild   = 8
)

// troubleStream is the random stream of TroublePlan.
const troubleStream = 1 << 35

// TroublePlan returns the plan of a seed with troubles of servers and network. There are few descriptors, so that all
// connections to servers are in use; requests of each class, some with keys that several clients ask for; and in one plan
// of two, clients that send as many of the largest requests as they can.
func TroublePlan(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, troubleStream))
	work := time.Duration(100+r.IntN(150)) * time.Millisecond
	p := &Plan{Seed: seed, MaxDescriptors: fewDescriptors, MemoryMB: leastMemoryMB, Deadline: troubleDeadline,
		Processes: []ProcessPlan{{TerminateAfter: 5 * time.Second}},
		Trouble: &Trouble{CopiesPerMille: r.Uint64N(60), LosingServers: 2, LossFrom: time.Duration(500+r.IntN(1000)) * time.Millisecond,
			LossFor: time.Duration(1500+r.IntN(1500)) * time.Millisecond}}
	if r.IntN(2) == 0 {
		p.Trouble.ResetFrom, p.Trouble.ResetTo = dedupWindow-100*time.Millisecond, dedupWindow-20*time.Millisecond
		p.Trouble.ConnectionsPerServer = 4
	}
	for range 8 + r.IntN(8) {
		p.Servers = append(p.Servers, ServerPlan{FastDelay: work, SlowDelay: work, HangDelay: work})
	}
	if r.IntN(2) == 0 {
		p.Trouble.TrialServers = 2
		p.Trouble.LosingServers = len(p.Servers) // the trial's among them
	}
	for range 20 + r.IntN(20) {
		c := ClientPlan{MaxOpenRequests: 1 + r.IntN(10), MaxPause: maxPause, AnswerBytes: smallAnswerBytes}
		switch r.IntN(4) {
		case 0:
			c.NotRepeatable = true
		case 1, 2:
			c.Deduplicated = true
		}
		c.SharedKeys = p.Trouble.TrialServers > 0 && r.IntN(2) == 0
		p.Clients = append(p.Clients, c)
	}
	if r.IntN(2) == 0 {
		for range 16 {
			p.Clients = append(p.Clients, ClientPlan{Floods: true, MaxOpenRequests: 300, BodyBytes: maxValueBytes, AnswerBytes: smallAnswerBytes})
		}
	}
	return p
}

// ledger records what reaches the servers of a run, and finds what the rules forbid there.
type ledger struct {
	mu           sync.Mutex
	firstRuns    map[string]time.Time // by idempotency key
	trialAnswers map[string]time.Time // by key: when a server of the trial first wrote a good answer
	note         func(Violation)
}

func newLedger(note func(Violation)) *ledger {
	return &ledger{firstRuns: map[string]time.Time{}, trialAnswers: map[string]time.Time{}, note: note}
}

// received records a request that has reached a server of a build.
func (l *ledger) received(token, key string, build int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token != "" {
		if first, known := l.firstRuns[token]; !known {
			l.firstRuns[token] = at
		} else if at.Sub(first) > dedupWindow+timeLimitSlack+pauseDuration {
			l.note(ranAfterWindow)
		}
	}
	answered, known := l.trialAnswers[key]
	if known && build == earlierBuild && at.Sub(answered) > answeredAfter+timeLimitSlack+pauseDuration {
		l.note(keyWentBack)
	}
}

// answered records a good answer that a server of the trial has written, whether or not it arrives.
func (l *ledger) answered(key string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.trialAnswers[key]; !known {
		l.trialAnswers[key] = at
	}
}

// isLosing reports whether a server's answers get lost now.
func (s *server) isLosing(now time.Time) bool {
	t := s.trouble
	if t == nil || s.index >= t.LosingServers {
		return false
	}
	elapsed := now.Sub(s.started)
	return elapsed >= t.LossFrom && elapsed < t.LossFrom+t.LossFor
}

// sendsCopy reports whether a second copy follows an answer.
func (s *server) sendsCopy(c net.Conn, waiting int64) bool {
	return s.trouble != nil && waiting == 0 && rand.Uint64N(1000) < s.trouble.CopiesPerMille && !hasUnread(c)
}

// lingerer is a connection whose close can be made a reset.
type lingerer interface{ SetLinger(seconds int) error }

// loseAnswer resets the connection of a lost answer when it is due, and reports whether it did.
func (s *server) loseAnswer(c net.Conn, receivedAt time.Time) bool {
	t := s.trouble
	if t.ResetTo <= t.ResetFrom {
		return false
	}
	time.Sleep(time.Until(receivedAt.Add(t.ResetFrom + rand.N(t.ResetTo-t.ResetFrom))))
	c.(lingerer).SetLinger(0)
	c.Close()
	return true
}

// hasUnread reports whether the kernel holds bytes of a connection that were not read, or its end.
func hasUnread(c net.Conn) (unread bool) {
	raw, err := c.(syscall.Conn).SyscallConn()
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
