package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// crowd is many sentries before one fleet, which carries their messages and ends each hand-off at once.
type crowd struct {
	all    []*Sentry
	now    Micros
	n      int
	chance *rand.Rand
	list   []Worker
	mute   bool // messages are lost
	answer func(w WorkerID) Ending
	took   Micros
	sent   map[WorkerID][]Micros
	votes  map[Verdict]map[int]bool // by sentry
}

func newCrowd(sentries, earlier int, seed int64) *crowd {
	o := newStand(1, 0).s.orders
	o.Sentries, o.MayMessage, o.MostHandOffs, o.ConnectLimit = sentries, true, 3, second/4
	c := &crowd{now: 1000 * second, chance: rand.New(rand.NewSource(seed)), sent: map[WorkerID][]Micros{},
		votes:  map[Verdict]map[int]bool{GoOn: {}, GoBack: {}},
		answer: func(WorkerID) Ending { return Answered }, took: 50_000}
	for i := range sentries {
		o.Position = SentryID(i)
		c.all = append(c.all, New(o, seed+int64(i)))
	}
	c.add(earlier, "e", 10, 0)
	c.tell(News{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return c
}

func (c *crowd) add(n int, name string, b BuildID, started Micros) {
	for i := range n {
		c.list = append(c.list, Worker{ID: WorkerID(fmt.Sprint(name, i)), Build: b, Size: 1, Started: started})
	}
	for i, s := range c.all {
		c.see(i, s.Listed(c.now, ListWhole, c.list))
	}
}

func (c *crowd) tell(n News) {
	for i, s := range c.all {
		c.see(i, s.Told(c.now, n))
	}
}

func (c *crowd) see(i int, r Result) {
	for _, v := range r.Votes {
		c.votes[v.Verdict][i] = true
	}
	for _, m := range r.Messages {
		for to, s := range c.all {
			if !c.mute && to != i && (m.To == EverySentry || m.To == SentryID(to)) {
				c.see(to, s.PeerSaid(c.now, SentryID(i), m.Body))
			}
		}
	}
	for _, x := range r.Rulings {
		if x.Kind == HandOff {
			c.sent[x.Worker] = append(c.sent[x.Worker], c.now)
			e, took := c.answer(x.Worker), c.took
			if e == Broken {
				took = 1_000
			}
			end := HandOffEnd{Transaction: x.Transaction, HandOff: len(c.all[i].open[x.Transaction].sends) - 1,
				Worker: x.Worker, Ending: e, Took: took, Closed: e == Answered, Load: NoLoad}
			c.see(i, c.all[i].HandOffEnded(c.now, end))
		}
	}
}

// run lets each sentry take a few transactions a second, at times of its own.
func (c *crowd) run(span Micros, perSecond int) {
	for end := c.now + span; c.now < end; c.now += 10_000 {
		for i, s := range c.all {
			if c.chance.Intn(100) < perSecond {
				c.n++
				in := Transaction{ID: TransactionID(fmt.Sprint(c.n)), Account: NoAccount, Limit: c.now + 2*second,
					Key: Key(fmt.Sprint(c.n))}
				c.see(i, s.Arrive(c.now, in))
			}
			if c.now%250_000 == 0 {
				c.see(i, s.Wake(c.now))
			}
		}
	}
}

// Each of many sentries sees next to nothing of the trial: only together do they judge it, and only the
// collectors need to vote where one vote decides.
func TestJudgingTogether(t *testing.T) {
	cases := []struct {
		name string
		bad  func(w WorkerID, n int) bool
		back bool
	}{
		{"a build that fails one in ten", func(w WorkerID, n int) bool { return trialWorker(w) && n%10 == 0 }, true},
		{"one in two hundred fails on either", func(w WorkerID, n int) bool { return n%200 == 0 }, false},
		{"one machine of the trial fails", func(w WorkerID, n int) bool { return w == "t3" && n%2 == 0 }, false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newCrowd(60, 30, 1)
			c.run(5*second, 3)
			c.add(10, "t", 11, c.now-10*second)
			c.tell(News{Valid: true, Build: 11, Cap: 0.5})
			n := 0
			c.answer = func(w WorkerID) Ending {
				if n++; x.bad(w, n) {
					return Errored
				}
				return Answered
			}
			c.run(8*second, 3)
			if back := len(c.votes[GoBack]) > 0; back != x.back || len(c.votes[GoBack]) > collectors {
				t.Errorf("%d sentries voted back, want some: %v", len(c.votes[GoBack]), x.back)
			}
			if on := len(c.votes[GoOn]); !x.back && (on == 0 || on > collectors) {
				t.Errorf("%d sentries voted on, want the %d that collect", on, collectors)
			}
		})
	}
}

// A build that slows every worker shows in the answers of all, though no sentry hears enough of any worker.
func TestAllSlowerTogether(t *testing.T) {
	c := newCrowd(60, 30, 1)
	c.run(5*second, 3)
	c.add(10, "t", 11, c.now-10*second)
	c.tell(News{Valid: true, Build: 11, Cap: 0.5})
	c.run(4*second, 3)
	c.tell(News{Valid: true, Build: 11, Stage: 1, Cap: 0.5})
	c.took *= 8
	c.run(4*second, 3)
	if back := len(c.votes[GoBack]); back == 0 || back > collectors {
		t.Errorf("%d sentries voted back, want those that collect", back)
	}
}

// Where messages are lost, a sentry that has seen next to nothing does not wave a build on for a long while.
func TestNothingHeardNothingSeen(t *testing.T) {
	c := newCrowd(60, 30, 1)
	c.mute = true
	c.run(5*second, 3)
	c.add(10, "t", 11, c.now-10*second)
	c.tell(News{Valid: true, Build: 11, Cap: 0.5})
	c.run(2*noAlarmTime, 1)
	if on := len(c.votes[GoOn]); on > collectors {
		t.Errorf("%d sentries voted on unseen", on)
	}
	c.run(2*noAlarmTime, 1)
	if on := len(c.votes[GoOn]); on < 30 {
		t.Errorf("only %d sentries voted on after all", on)
	}
}

// Sentries with little to do use few workers each, and all workers alike together.
func TestWorkingSetsAreFewAndEven(t *testing.T) {
	c := newCrowd(200, 40, 1)
	c.run(10*second, 2)
	most, least := 0, c.n
	for _, w := range c.list {
		most, least = max(most, len(c.sent[w.ID])), min(least, len(c.sent[w.ID]))
	}
	if mean := c.n / len(c.list); most > 2*mean || least < mean/6 {
		t.Errorf("a worker got %d hand-offs, another %d, the mean is %d", least, most, mean)
	}
	for i, s := range c.all {
		if use := s.rosters[10].use; use > 4 {
			t.Fatalf("sentry %d uses %d workers for two transactions a second", i, use)
		}
	}
}

// A set that is busy gains one at a time; workers that start with a new list get their part at once.
func TestWorkingSetGrows(t *testing.T) {
	s := newCrowd(1, 12, 1).all[0]
	used := map[WorkerID]bool{}
	for n := range 6 {
		r := s.Arrive(s.now, Transaction{ID: TransactionID(fmt.Sprint(n)), Account: NoAccount, Limit: s.now + second})
		used[r.Rulings[0].Worker] = true
	}
	if len(used) != 6 || s.rosters[10].use != 6 {
		t.Errorf("%d workers for six open hand-offs, a set of %d", len(used), s.rosters[10].use)
	}
}

// A worker to which every other try breaks at once is not taken for dead; one that never answers is.
func TestBrokenTries(t *testing.T) {
	for _, dead := range []bool{false, true} {
		c := newCrowd(1, 1, 1)
		c.run(3*second, 50)
		n := 0
		c.answer = func(w WorkerID) Ending {
			if n++; dead || n%2 == 0 {
				return Broken
			}
			return Answered
		}
		c.run(10*second, 50)
		if s := c.all[0]; (s.strikes[0] >= deadStrikes) != dead {
			t.Errorf("dead %v: %d strikes", dead, s.strikes[0])
		}
	}
}

// What peers say is taken only where it holds together: any other message changes no sum and no advice.
func FuzzPeers(f *testing.F) {
	for seed := range 30 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		c := newCrowd(5, 8, seed)
		c.add(2, "t", 11, 0)
		c.tell(News{Valid: true, Build: 11, Cap: 0.5})
		s := c.all[int(c.all[0].collectorsAt()[0])]
		for range 500 {
			body := make([]byte, c.chance.Intn(80))
			c.chance.Read(body)
			from := SentryID(c.chance.Intn(12) - 3)
			if c.chance.Intn(2) == 0 { // well formed, of another build, another length or falling counts
				values := make([]uint64, 1+c.chance.Intn(2*len(s.mine)))
				values[0] = uint64(9 + 3*c.chance.Intn(2))
				if len(values) > 2 {
					values[2] = uint64(len(values) - 3)
				}
				body = pack(byte(1+c.chance.Intn(2)), values)
			}
			s.PeerSaid(c.now, from, body)
		}
		if s.judged != 0 || s.allSum != 0 || len(s.reports) > 0 || s.advice != NoVerdict {
			t.Fatalf("judged %d, all %v, advice %v", s.judged, s.allSum, s.advice)
		}
		values := append([]uint64{11, 7, uint64(len(s.mine))}, make([]uint64, len(s.mine))...)
		values[3+place(0, errs, true)], values[4+place(0, errs, true)] = 30, 10
		from := (s.orders.Position + 1) % 5
		for range 3 { // the same report again adds nothing
			s.PeerSaid(c.now, from, pack(asCounts, values))
		}
		if s.judged != 30 || s.profiles[0].sum[errs] < voteBackAt {
			t.Errorf("a sound report: judged %d, sum %v", s.judged, s.profiles[0].sum[errs])
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
		c := newCrowd(60+int(seed&63), 20, seed)
		c.run(12*second, 3)
		usual := float64(c.n) / 12 / 20 // a second and worker
		c.list = c.list[:4+c.chance.Intn(8)]
		started := c.now
		c.add(4, "c", 10, started)
		clear(c.sent)
		c.run(2*second, 3+c.chance.Intn(6)) // up to three times the usual
		o := c.all[0].orders
		for i := range 4 {
			id := WorkerID(fmt.Sprint("c", i))
			got := float64(len(c.sent[id]))
			if most := o.FallMultiple * o.ColdFrom * usual * 2 / 0.6; got > most*1.5 { // a fleet loaded to 0.6
				t.Errorf("cold worker %s got %v hand-offs in two seconds, limit %v", id, got, most)
			}
		}
	})
}
