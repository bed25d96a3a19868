package logic

import (
	"fmt"
	"math/rand"
	"testing"
)

// sentryTier is the sentries of a tier with one fleet of workers. It delivers their messages and ends each hand-off at
// once.
type sentryTier struct {
	sentries         []*Sentry
	now              Micros
	transactionCount int
	random           *rand.Rand
	workers          []Worker
	messagesLost     bool
	endingOf         func(w WorkerID) Ending  // of the next hand-off to a worker
	handOffTime      Micros                   // duration of a hand-off that is not Broken
	sentAt           map[WorkerID][]Micros    // times of all hand-offs
	voters           map[Verdict]map[int]bool // the sentries that voted so, by position
}

// newSentryTier returns a tier of sentries that may exchange messages, with build 10 released.
func newSentryTier(sentries, earlierWorkers int, seed int64) *sentryTier {
	config := newTrialHarness(1, 0).sentry.config
	config.Sentries, config.MayMessage, config.MaxHandOffs, config.ConnectTimeout = sentries, true, 3, second/4
	tier := &sentryTier{now: 1000 * second, random: rand.New(rand.NewSource(seed)), sentAt: map[WorkerID][]Micros{},
		voters:   map[Verdict]map[int]bool{Advance: {}, RollBack: {}},
		endingOf: func(WorkerID) Ending { return Answered }, handOffTime: 50_000}
	for i := range sentries {
		config.Position = SentryID(i)
		tier.sentries = append(tier.sentries, New(config, seed+int64(i)))
	}
	tier.addWorkers(earlierWorkers, "e", 10, 0)
	tier.updateRelease(ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1})
	return tier
}

// addWorkers adds workers of a build and sends the full list to all sentries.
func (tier *sentryTier) addWorkers(count int, prefix string, build BuildID, started Micros) {
	for i := range count {
		tier.workers = append(tier.workers, Worker{ID: WorkerID(fmt.Sprint(prefix, i)), Build: build, Size: 1, Started: started})
	}
	for i, s := range tier.sentries {
		tier.carryOut(i, s.ListReceived(tier.now, FullList, tier.workers))
	}
}

func (tier *sentryTier) updateRelease(status ReleaseStatus) {
	for i, s := range tier.sentries {
		tier.carryOut(i, s.ReleaseUpdated(tier.now, status))
	}
}

// carryOut records the votes of a result of one sentry, delivers its messages and ends its hand-offs.
func (tier *sentryTier) carryOut(from int, result Result) {
	for _, vote := range result.Votes {
		tier.voters[vote.Verdict][from] = true
	}
	for _, message := range result.Messages {
		for to, s := range tier.sentries {
			if !tier.messagesLost && to != from && (message.To == EverySentry || message.To == SentryID(to)) {
				tier.carryOut(to, s.PeerMessageReceived(tier.now, SentryID(from), message.Body))
			}
		}
	}
	for _, action := range result.Actions {
		if action.Kind == HandOff {
			tier.sentAt[action.Worker] = append(tier.sentAt[action.Worker], tier.now)
			ending, duration := tier.endingOf(action.Worker), tier.handOffTime
			if ending == Broken {
				duration = 1_000
			}
			end := HandOffEnd{Transaction: action.Transaction, HandOffNumber: len(tier.sentries[from].openTransactions[action.Transaction].handOffs) - 1,
				Worker: action.Worker, Ending: ending, Duration: duration, TransactionClosed: ending == Answered, Load: NoLoad}
			tier.carryOut(from, tier.sentries[from].HandOffEnded(tier.now, end))
		}
	}
}

// run has transactions arrive at each sentry at random times, perSecond on average.
func (tier *sentryTier) run(duration Micros, perSecond int) {
	for end := tier.now + duration; tier.now < end; tier.now += 10_000 {
		for i, s := range tier.sentries {
			if tier.random.Intn(100) < perSecond {
				tier.transactionCount++
				transaction := Transaction{ID: TransactionID(fmt.Sprint(tier.transactionCount)), Account: NoAccount, Deadline: tier.now + 2*second,
					Key: Key(fmt.Sprint(tier.transactionCount))}
				tier.carryOut(i, s.TransactionArrived(tier.now, transaction))
			}
			if tier.now%250_000 == 0 {
				tier.carryOut(i, s.Wake(tier.now))
			}
		}
	}
}

// Each of many sentries sees too little of the trial to judge it. They must judge it by their counts together, and
// where one vote decides only the collectors vote.
func TestSentriesJudgeTogether(t *testing.T) {
	cases := []struct {
		name     string
		fails    func(w WorkerID, n int) bool
		rollBack bool
	}{
		{"a build that fails one in ten", func(w WorkerID, n int) bool { return isTrialWorker(w) && n%10 == 0 }, true},
		{"either build fails one in two hundred", func(w WorkerID, n int) bool { return n%200 == 0 }, false},
		{"one worker of the trial fails", func(w WorkerID, n int) bool { return w == "t3" && n%2 == 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tier := newSentryTier(60, 30, 1)
			tier.run(5*second, 3)
			tier.addWorkers(10, "t", 11, tier.now-10*second)
			tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
			n := 0
			tier.endingOf = func(w WorkerID) Ending {
				if n++; c.fails(w, n) {
					return Errored
				}
				return Answered
			}
			tier.run(8*second, 3)
			if votedRollBack := len(tier.voters[RollBack]) > 0; votedRollBack != c.rollBack || len(tier.voters[RollBack]) > collectorCount {
				t.Errorf("found %d sentries voting to roll back, expected some: %v, and no more than collect", len(tier.voters[RollBack]), c.rollBack)
			}
			if advanceVoters := len(tier.voters[Advance]); !c.rollBack && (advanceVoters == 0 || advanceVoters > collectorCount) {
				t.Errorf("found %d sentries voting to advance, expected 1 to %d, the collectors", advanceVoters, collectorCount)
			}
		})
	}
}

// A build that slows every worker must be rolled back though no sentry gets enough answers of any one worker: all
// answers together show it.
func TestBuildSlowsAllWorkers(t *testing.T) {
	tier := newSentryTier(60, 30, 1)
	tier.run(5*second, 3)
	tier.addWorkers(10, "t", 11, tier.now-10*second)
	tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
	tier.run(4*second, 3)
	tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Stage: 1, Cap: 0.5})
	tier.handOffTime *= 8
	tier.run(4*second, 3)
	if rollBackVoters := len(tier.voters[RollBack]); rollBackVoters == 0 || rollBackVoters > collectorCount {
		t.Errorf("found %d sentries voting to roll back, expected some, all of them collectors", rollBackVoters)
	}
}

// When messages are lost, a sentry that has seen almost nothing of the trial must not vote to advance for a long time.
func TestNoEvidenceDelaysAdvance(t *testing.T) {
	tier := newSentryTier(60, 30, 1)
	tier.messagesLost = true
	tier.run(5*second, 3)
	tier.addWorkers(10, "t", 11, tier.now-10*second)
	tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
	tier.run(2*observationTime, 1)
	if advanceVoters := len(tier.voters[Advance]); advanceVoters > collectorCount {
		t.Errorf("found %d sentries voting to advance without evidence, expected at most the collectors", advanceVoters)
	}
	tier.run(2*observationTime, 1)
	if advanceVoters := len(tier.voters[Advance]); advanceVoters < 30 {
		t.Errorf("found %d sentries voting to advance after the longer wait, expected at least 30", advanceVoters)
	}
}

// Sentries with little traffic must use few workers each, and the hand-offs of all sentries together must be spread
// evenly.
func TestSubsetsAreSmallAndEven(t *testing.T) {
	tier := newSentryTier(200, 40, 1)
	tier.run(10*second, 2)
	maxHandOffs, minHandOffs := 0, tier.transactionCount
	for _, w := range tier.workers {
		maxHandOffs, minHandOffs = max(maxHandOffs, len(tier.sentAt[w.ID])), min(minHandOffs, len(tier.sentAt[w.ID]))
	}
	if mean := tier.transactionCount / len(tier.workers); maxHandOffs > 2*mean || minHandOffs < mean/6 {
		t.Errorf("found %d to %d hand-offs per worker with a mean of %d, expected a sixth of the mean to twice the mean", minHandOffs, maxHandOffs, mean)
	}
	for i, s := range tier.sentries {
		if size := s.buildWorkers[10].subsetSize; size > 4 {
			t.Fatalf("sentry %d: found a subset of %d workers for two transactions per second, expected at most 4", i, size)
		}
	}
}

// The subset of a sentry must grow by one worker whenever all of its workers are occupied.
func TestSubsetGrows(t *testing.T) {
	s := newSentryTier(1, 12, 1).sentries[0]
	used := map[WorkerID]bool{}
	for n := range 6 {
		result := s.TransactionArrived(s.now, Transaction{ID: TransactionID(fmt.Sprint(n)), Account: NoAccount, Deadline: s.now + second})
		used[result.Actions[0].Worker] = true
	}
	if len(used) != 6 || s.buildWorkers[10].subsetSize != 6 {
		t.Errorf("found %d workers for six open hand-offs and a subset of %d, expected 6 and 6", len(used), s.buildWorkers[10].subsetSize)
	}
}

// A worker to which every other connection breaks at once must not be taken for down; one that never answers must be.
func TestBrokenConnections(t *testing.T) {
	for _, down := range []bool{false, true} {
		tier := newSentryTier(1, 1, 1)
		tier.run(3*second, 50)
		n := 0
		tier.endingOf = func(w WorkerID) Ending {
			if n++; down || n%2 == 0 {
				return Broken
			}
			return Answered
		}
		tier.run(10*second, 50)
		if s := tier.sentries[0]; (s.consecutiveFailures[0] >= downAfterFailures) != down {
			t.Errorf("worker down: %v; found %d consecutive failures, expected enough to count as down only if it is", down, s.consecutiveFailures[0])
		}
	}
}

// A message of a peer that is malformed, of another build or inconsistent must change no count and no verdict.
func FuzzPeerMessages(f *testing.F) {
	for seed := range 30 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		tier := newSentryTier(5, 8, seed)
		tier.addWorkers(2, "t", 11, 0)
		tier.updateRelease(ReleaseStatus{Valid: true, Build: 11, Cap: 0.5})
		s := tier.sentries[int(tier.sentries[0].collectors()[0])]
		for range 500 {
			body := make([]byte, tier.random.Intn(80))
			tier.random.Read(body)
			from := SentryID(tier.random.Intn(12) - 3)
			if tier.random.Intn(2) == 0 { // well-formed, but of another build or length or with falling counts
				values := make([]uint64, 1+tier.random.Intn(2*len(s.outcomeCounts)))
				values[0] = uint64(9 + 3*tier.random.Intn(2))
				if len(values) > 2 {
					values[2] = uint64(len(values) - 3)
				}
				body = encodeMessage(byte(1+tier.random.Intn(2)), values)
			}
			s.PeerMessageReceived(tier.now, from, body)
		}
		if s.judgedOutcomes != 0 || s.fleetSlowExcess != 0 || len(s.reports) > 0 || s.collectorVerdict != NoVerdict {
			t.Fatalf("found %d outcomes, a fleet excess of %v and collector verdict %v after invalid messages, expected none", s.judgedOutcomes, s.fleetSlowExcess, s.collectorVerdict)
		}
		values := append([]uint64{11, 7, uint64(len(s.outcomeCounts))}, make([]uint64, len(s.outcomeCounts))...)
		values[3+countIndex(0, errorMiss, true)], values[4+countIndex(0, errorMiss, true)] = 30, 10
		from := (s.config.Position + 1) % 5
		for range 3 { // a repeated report adds nothing
			s.PeerMessageReceived(tier.now, from, encodeMessage(messageReport, values))
		}
		if s.judgedOutcomes != 30 || s.profiles[0].trialExcess[errorMiss] < rollBackExcess {
			t.Errorf("a valid report: found %d outcomes and an excess of errors of %v, expected 30 and enough to roll back", s.judgedOutcomes, s.profiles[0].trialExcess[errorMiss])
		}
	})
}

// Each sentry knows only its own traffic, so many sentries together could overload a cold worker. They must keep it
// under ColdLoadMultiple of its part in bursts, after silence, with late wake-ups and when only few workers are left.
func FuzzColdWorkers(f *testing.F) {
	for seed := range 8 {
		f.Add(int64(seed))
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		tier := newSentryTier(60+int(seed&63), 20, seed)
		tier.run(12*second, 3)
		usualRate := float64(tier.transactionCount) / 12 / 20 // per second and worker
		tier.workers = tier.workers[:4+tier.random.Intn(8)]
		started := tier.now
		tier.addWorkers(4, "c", 10, started)
		clear(tier.sentAt)
		tier.run(2*second, 3+tier.random.Intn(6)) // up to three times the usual rate
		config := tier.sentries[0].config
		for i := range 4 {
			id := WorkerID(fmt.Sprint("c", i))
			handOffs := float64(len(tier.sentAt[id]))
			if limit := config.ColdLoadMultiple * config.ColdCapacity * usualRate * 2 / 0.6; handOffs > limit*1.5 { // of a fleet at a load of 0.6
				t.Errorf("cold worker %s: found %v hand-offs in two seconds, expected at most 1.5 times %v", id, handOffs, limit)
			}
		}
	})
}
