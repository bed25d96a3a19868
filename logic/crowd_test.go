package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// crowd is many sentries before one fleet, which carries their messages and ends each hand-off at once.
type sentryTier struct {
	sentries         []*Sentry
	now              Micros
	transactionCount int
	random           *rand.Rand
	workers          []Worker
	messagesLost     bool // messages are lost
	endingOf         func(w WorkerID) Ending
	handOffTime      Micros
	sentAt           map[WorkerID][]Micros
	voters           map[Verdict]map[int]bool // by sentry
}

func newSentryTier(sentries, earlier int, seed int64) *sentryTier {
	o := newTrialHarness(1, 0).sentry.config
	o.Sentries, o.MayMessage, o.MaxHandOffs, o.ConnectTimeout = sentries, true, 3, second/4
	c := &sentryTier{now: 1000 * second, random: rand.New(rand.NewSource(seed)), sentAt: map[WorkerID][]Micros{},
		voters:   map[Verdict]map[int]bool{Advance: {}, RollBack: {}},
		endingOf: func(WorkerID) Ending { return Answered }, handOffTime: 50_000}
	for i := range sentries {
		o.Position = SentryID(i)
		c.sentries = append(c.sentries, New(o, seed+int64(i)))
	}
	c.addWorkers(earlier, "e", 10, 0)
	c.updateRelease(ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return c
}

func (c *sentryTier) addWorkers(n int, name string, b BuildID, started Micros) {
	for i := range n {
		c.workers = append(c.workers, Worker{ID: WorkerID(fmt.Sprint(name, i)), Build: b, Size: 1, Started: started})
	}
	for i, s := range c.sentries {
		c.record(i, s.ListReceived(c.now, FullList, c.workers))
	}
}

func (c *sentryTier) updateRelease(n ReleaseStatus) {
	for i, s := range c.sentries {
		c.record(i, s.ReleaseUpdated(c.now, n))
	}
}

func (c *sentryTier) record(i int, r Result) {
	for _, v := range r.Votes {
		c.voters[v.Verdict][i] = true
	}
	for _, m := range r.Messages {
		for to, s := range c.sentries {
			if !c.messagesLost && to != i && (m.To == EverySentry || m.To == SentryID(to)) {
				c.record(to, s.PeerMessageReceived(c.now, SentryID(i), m.Body))
			}
		}
	}
	for _, x := range r.Actions {
		if x.Kind == HandOff {
			c.sentAt[x.Worker] = append(c.sentAt[x.Worker], c.now)
			e, took := c.endingOf(x.Worker), c.handOffTime
			if e == Broken {
				took = 1_000
			}
			end := HandOffEnd{Transaction: x.Transaction, HandOffNumber: len(c.sentries[i].openTransactions[x.Transaction].handOffs) - 1,
				Worker: x.Worker, Ending: e, Duration: took, TransactionClosed: e == Answered, Load: NoLoad}
			c.record(i, c.sentries[i].HandOffEnded(c.now, end))
		}
	}
}

// run lets each sentry take a few transactions a second, at times of its own.
func (c *sentryTier) run(span Micros, perSecond int) {
	for end := c.now + span; c.now < end; c.now += 10_000 {
		for i, s := range c.sentries {
			if c.random.Intn(100) < perSecond {
				c.transactionCount++
				in := Transaction{ID: TransactionID(fmt.Sprint(c.transactionCount)), Account: NoAccount, Deadline: c.now + 2*second,
					Key: Key(fmt.Sprint(c.transactionCount))}
				c.record(i, s.TransactionArrived(c.now, in))
			}
			if c.now%250_000 == 0 {
				c.record(i, s.Wake(c.now))
			}
		}
	}
}

// Each of many sentries sees next to nothing of the trial: only together do they judge it, and only the
// collectors need to vote where one vote decides.
func TestSentriesJudgeTogether(t *testing.T) {
	cases := []struct {
		name string
		bad  func(w WorkerID, n int) bool
		back bool
	}{
		{"a build that fails one in ten", func(w WorkerID, n int) bool { return isTrialWorker(w) && n%10 == 0 }, true},
		{"one in two hundred fails on either", func(w WorkerID, n int) bool { return n%200 == 0 }, false},
		{"one machine of the trial fails", func(w WorkerID, n int) bool { return w == "t3" && n%2 == 0 }, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newSentryTier(60, 30, 1)
			c.run(5*second, 3)
			c.addWorkers(10, "t", 11, c.now-10*second)
			c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
			n := 0
			c.endingOf = func(w WorkerID) Ending {
				if n++; x.bad(w, n) {
					return Errored
				}
				return Answered
			}
			c.run(8*second, 3)
			if back := len(c.voters[RollBack]) > 0; back != x.back || len(c.voters[RollBack]) > collectorCount {
				t.Errorf("%d sentries voted back, want some: %v", len(c.voters[RollBack]), x.back)
			}
			if on := len(c.voters[Advance]); !x.back && (on == 0 || on > collectorCount) {
				t.Errorf("%d sentries voted on, want the %d that collect", on, collectorCount)
			}
		})
	}
}

// A build that slows every worker shows in the answers of all, though no sentry hears enough of any worker.
func TestBuildSlowsAllWorkers(t *testing.T) {
	c := newSentryTier(60, 30, 1)
	c.run(5*second, 3)
	c.addWorkers(10, "t", 11, c.now-10*second)
	c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
	c.run(4*second, 3)
	c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Cap: 0.5})
	c.handOffTime *= 8
	c.run(4*second, 3)
	if back := len(c.voters[RollBack]); back == 0 || back > collectorCount {
		t.Errorf("%d sentries voted back, want those that collect", back)
	}
}

// Where messages are lost, a sentry that has seen next to nothing does not wave a build on for a long while.
func TestNoEvidenceDelaysAdvance(t *testing.T) {
	c := newSentryTier(60, 30, 1)
	c.messagesLost = true
	c.run(5*second, 3)
	c.addWorkers(10, "t", 11, c.now-10*second)
	c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
	c.run(2*observationTime, 1)
	if on := len(c.voters[Advance]); on > collectorCount {
		t.Errorf("%d sentries voted on unseen", on)
	}
	c.run(2*observationTime, 1)
	if on := len(c.voters[Advance]); on < 30 {
		t.Errorf("only %d sentries voted on after all", on)
	}
}

// Sentries with little to do use few workers each, and all workers alike together.
func TestSubsetsAreSmallAndEven(t *testing.T) {
	c := newSentryTier(200, 40, 1)
	c.run(10*second, 2)
	most, least := 0, c.transactionCount
	for _, w := range c.workers {
		most, least = max(most, len(c.sentAt[w.ID])), min(least, len(c.sentAt[w.ID]))
	}
	if mean := c.transactionCount / len(c.workers); most > 2*mean || least < mean/6 {
		t.Errorf("a worker got %d hand-offs, another %d, the mean is %d", least, most, mean)
	}
	for i, s := range c.sentries {
		if use := s.buildWorkers[10].subsetSize; use > 4 {
			t.Fatalf("sentry %d uses %d workers for two transactions a second", i, use)
		}
	}
}

// A set that is busy gains one at a time; workers that start with a new list get their part at once.
func TestSubsetGrows(t *testing.T) {
	s := newSentryTier(1, 12, 1).sentries[0]
	used := map[WorkerID]bool{}
	for n := range 6 {
		r := s.TransactionArrived(s.now, Transaction{ID: TransactionID(fmt.Sprint(n)), Account: NoAccount, Deadline: s.now + second})
		used[r.Actions[0].Worker] = true
	}
	if len(used) != 6 || s.buildWorkers[10].subsetSize != 6 {
		t.Errorf("%d workers for six open hand-offs, a set of %d", len(used), s.buildWorkers[10].subsetSize)
	}
}

// A worker to which every other try breaks at once is not taken for dead; one that never answers is.
func TestBrokenConnections(t *testing.T) {
	for _, dead := range []bool{false, true} {
		c := newSentryTier(1, 1, 1)
		c.run(3*second, 50)
		n := 0
		c.endingOf = func(w WorkerID) Ending {
			if n++; dead || n%2 == 0 {
				return Broken
			}
			return Answered
		}
		c.run(10*second, 50)
		if s := c.sentries[0]; (s.consecutiveFailures[0] >= downAfterFailures) != dead {
			t.Errorf("dead %v: %d strikes", dead, s.consecutiveFailures[0])
		}
	}
}

// What peers say is taken only where it holds together: any other message changes no sum and no advice.
func FuzzPeerMessages(f *testing.F) {
	for seed := range 30 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		c := newSentryTier(5, 8, seed)
		c.addWorkers(2, "t", 11, 0)
		c.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
		s := c.sentries[int(c.sentries[0].collectors()[0])]
		for range 500 {
			body := make([]byte, c.random.Intn(80))
			c.random.Read(body)
			from := SentryID(c.random.Intn(12) - 3)
			if c.random.Intn(2) == 0 { // well formed, of another build, another length or falling counts
				values := make([]uint64, 1+c.random.Intn(2*len(s.outcomeCounts)))
				values[0] = uint64(9 + 3*c.random.Intn(2))
				if len(values) > 2 {
					values[2] = uint64(len(values) - 3)
				}
				body = encodeMessage(byte(1+c.random.Intn(2)), values)
			}
			s.PeerMessageReceived(c.now, from, body)
		}
		if s.judgedOutcomes != 0 || s.fleetSlowExcess != 0 || len(s.reports) > 0 || s.collectorVerdict != NoVerdict {
			t.Fatalf("judged %d, all %v, advice %v", s.judgedOutcomes, s.fleetSlowExcess, s.collectorVerdict)
		}
		values := append([]uint64{11, 7, uint64(len(s.outcomeCounts))}, make([]uint64, len(s.outcomeCounts))...)
		values[3+countIndex(0, errorMiss, true)], values[4+countIndex(0, errorMiss, true)] = 30, 10
		from := (s.config.Position + 1) % 5
		for range 3 { // the same report again adds nothing
			s.PeerMessageReceived(c.now, from, encodeMessage(messageReport, values))
		}
		if s.judgedOutcomes != 30 || s.profiles[0].trialExcess[errorMiss] < rollBackExcess {
			t.Errorf("a sound report: judged %d, sum %v", s.judgedOutcomes, s.profiles[0].trialExcess[errorMiss])
		}
	})
}

// All sentries together keep a cold worker under the stated multiple of its part, in bursts, after silence,
// late wake-ups and when only few workers are left, though each knows only its own traffic.
func FuzzColdWorkers(f *testing.F) {
	for seed := range 8 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		c := newSentryTier(60+int(seed&63), 20, seed)
		c.run(12*second, 3)
		usual := float64(c.transactionCount) / 12 / 20 // a second and worker
		c.workers = c.workers[:4+c.random.Intn(8)]
		started := c.now
		c.addWorkers(4, "c", 10, started)
		clear(c.sentAt)
		c.run(2*second, 3+c.random.Intn(6)) // up to three times the usual
		o := c.sentries[0].config
		for i := range 4 {
			id := WorkerID(fmt.Sprint("c", i))
			got := float64(len(c.sentAt[id]))
			if most := o.ColdLoadMultiple * o.ColdCapacity * usual * 2 / 0.6; got > most*1.5 { // a fleet loaded to 0.6
				t.Errorf("cold worker %s got %v hand-offs in two seconds, limit %v", id, got, most)
			}
		}
	})
}
