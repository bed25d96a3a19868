package logic

// What a sentry keeps, and helpers that decide nothing.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
)

type handOff struct {
	worker        int
	build         BuildID
	sentAt        Micros
	ended         bool
	newConnection bool // no connection was open, as far as is known
	timingInvalid bool // its time says nothing: a connection had to be opened, or this sentry stood still
	mayHaveRun    bool // not proven not to have run
	end           HandOffEnd
}

type transaction struct {
	Transaction
	profile        *Profile // as the orders had it when this came
	arrivedAt      Micros
	slot           int // 0 to 99, by the two-build hash
	worker         int // chosen, or -1
	handOffs       []handOff
	closed, queued bool
}

// out says whether a hand-off is still open.
func (t *transaction) hasOpenHandOff() bool {
	return slices.ContainsFunc(t.handOffs, func(h handOff) bool { return !h.ended })
}

// profileRow is what differs by profile.
type profileStats struct {
	*Profile                              // other orders bring another one
	expectedDuration   float64            // usual time of an answer of the earlier build
	latencyThreshold   float64            // barShare of these take longer
	earlierMissRate    [missKinds]float64 // the earlier build's rates of errors, and of hand-offs that take slowTimes the bar
	trialExcess        [missKinds]float64 // sums of the trial's excess
	baselineThreshold  float64            // the bar before the trial, 0 if it was not learnt
	earlierOutcomes    int                // outcomes of the earlier build
	earlierMean        float64            // mean time of the earlier build's by the platform's counts, 0 if none came
	baselineMean       float64            // the same before the trial
	earlierFailedShare float64            // share of its hand-offs that failed in the last period
}

// worth is the value for the work.
func (p *profileStats) valuePerWork() float64 { return p.Value / p.expectedDuration }

type wakeUp struct {
	at          Micros
	transaction *transaction
}

// Sentry is one instance. Its calls must not overlap.
type Sentry struct {
	config                     Config
	random                     *rand.Rand
	now                        Micros
	result                     Result
	openTransactions           map[TransactionID]*transaction
	wakeUps                    []wakeUp // the earliest first
	queue                      []*transaction
	profiles                   []profileStats  // by place
	allProfiles                profileStats    // of all profiles together: its sums
	formerBounds               []exposureBound // of orders before these
	maxRuleWindow              Micros          // the longest window of a rule so far
	maxDueTime                 Micros          // due time
	maxDeadline                Micros          // limit of any transaction
	arrivalWindow              Micros          // how long arrivals are kept
	arrivalTimes               []Micros
	handOffTimes               []Micros // hand-offs, as long
	retryBudget                float64  // further hand-offs that the budget still bears
	openHandOffs, lostHandOffs int      // own open hand-offs, and of these whose answers are lost
	concurrencyLimit           float64  // and how many there may be

	// Workers, under a dense index.
	workerIndex          map[WorkerID]int
	workers              []Worker
	workerOrder          []int // all of them in an order of this sentry's own, by rank
	rank                 []float64
	byShortID            map[uint64]int      // by short name
	ownMisses            [missKinds][]uint64 // of these misses, what this sentry saw itself
	openByWorker         []int               // own open hand-offs
	otherLoad            []float64           // reported load beyond these
	groupOpen            []float64           // hand-offs of the neighbours that it still has
	groupOpenAt          []Micros
	latencyRatio         []float64  // time of answers to what is expected
	failureRate          []float64  // smoothed share of failures
	nonLoadFailureRate   []float64  // of failures that no load explains
	seenAt               []Micros   // last end of a hand-off
	ejectedUntil         []Micros   // not before then
	recoveredAt          []Micros   // answered then, after it had been down
	consecutiveFailures  []int      // failed tries to reach it since it last answered
	coldHandOffs         [][]Micros // hand-offs while cold
	randomAllowanceUntil []Micros
	lastAnswerAt         []Micros                     // last
	answeredSentTimes    [][laterAnswersIfLost]Micros // when the latest that were answered had been sent, the earliest first
	goneSince            []Micros                     // since when, if it is
	randomAllowance      []float64                    // what chance adds to their bound
	trialMisses          [missKinds][]float64         // what the judge counted against it in this trial

	zoneLatencyRatio []float64 // time of answers to what is expected, by zone
	zoneUpdatedAt    []Micros  // last
	maxZoneSlowdown  float64   // of the ways to other zones, beside the own, 1 if none is slow
	refusedShare     float64   // share of new connections that are refused

	usualLoad       float64 // load of the fleet by this sentry's traffic, as it was lately
	buildWorkers    map[BuildID]*buildWorkers
	fleetCapacity   float64 // what all ready workers can do by now
	usualWorkerLoad float64 // usual reported load of a worker

	// The list.
	lease             lease
	workerLeases      []workerLease
	nextListRequestAt Micros

	// The build on trial.
	releaseStatus                         ReleaseStatus
	statusSince                           Micros
	earlierBuild                          BuildID
	rolledBack                            map[BuildID]bool
	trialSlots, judgedOutcomes            int // slots under reach go to the trial, outcomes judged
	trialKeys                             map[Key]BuildID
	takenTimes                            [][]Micros         // transactions: all in the first, then by profile
	exposedTimes                          [][]Micros         // hand-offs to the trial, likewise
	periodMeans                           [2]latencyMeans    // of the period in hand: of all, of the trial
	baselinePlatformRate                  float64            // counted in a second before the trial
	ownErrors, ownFailures                float64            // own hand-offs of late that a worker failed, and that failed for any reason
	wrongAnswerSum                        float64            // sum of reports of wrong answers, where each judges by itself
	platformCountsAt                      Micros             // the platform's last count
	earlierOutcomeAt                      Micros             // last outcome of the earlier build
	totalTrialMisses                      [missKinds]float64 // all misses of the trial's workers
	outcomeCounts                         []uint64           // outcomes counted
	runID                                 uint64             // tells this run of the sentry from others
	reports                               map[SentryID]report
	collectorVerdict                      Verdict // of the collectors
	collectorVerdictAt                    Micros
	collectorVerdictStage                 int // stage
	nextReportAt                          Micros
	fleetMeter, lateMeter                 rateMeter
	arrivalMeter, baselineArrivalMeter    rateMeter   // transactions that came to all, and that would have as before the trial
	givenUp, olderGivenUp                 map[Key]int // given up, and not come again yet: lately, and some time ago
	givenUpRotatedAt                      Micros      // when the older ones were set apart
	newArrivals                           uint64
	firstCallAt, baselineAt               Micros
	stalledAt                             Micros  // when it last found that it had stood still
	firstStageOutcomes, firstStageSlow    float64 // answers in the first stage
	baselineArrivalRate, baselineCapacity float64
	fleetSlowExcess, baselineLoad         float64 // excess of slow ones everywhere, and load before the trial
	lastVote                              Vote
	rollBackDecided                       bool
	lastVoteAt, nextVoteAt                Micros
}

// New makes a sentry from its orders and the seed of its chance.
func New(o Config, seed int64) *Sentry {
	s := &Sentry{
		random: rand.New(rand.NewSource(seed)), openTransactions: map[TransactionID]*transaction{}, workerIndex: map[WorkerID]int{},
		byShortID: map[uint64]int{}, buildWorkers: map[BuildID]*buildWorkers{}, rolledBack: map[BuildID]bool{},
		trialKeys: map[Key]BuildID{}, givenUp: map[Key]int{}, takenTimes: make([][]Micros, 1), exposedTimes: make([][]Micros, 1),
	}
	s.runID = uint64(s.random.Uint32())
	s.applyConfig(o)
	s.startTrial()
	return s
}

// roster is the ready workers of a build, and the few of them that this sentry uses.
type buildWorkers struct {
	ready         []int   // in this sentry's order, the shunned last
	subsetSize    int     // so many of them are its working set
	capacity      float64 // what they can do by now
	warmCapacity  float64 // what a trial may count on of it: the cold are mostly closed, and the warm would bear their part
	groupWorkers  int     // how many of the first are this sentry's group's
	youngestStart Micros  // start of the youngest
}

// report is what one sentry has counted since the trial began, and the run of that sentry.
type report struct {
	runID          uint64
	counts, misses []uint64 // misses: short names of workers, each followed by how many
}

// before is what the report r adds to, nothing after a restart of its sentry, and whether r can follow it.
func (old report) previousFor(r report) (report, bool) {
	if old.runID != r.runID || old.counts == nil {
		old = report{counts: make([]uint64, len(r.counts))}
	}
	for i := range r.counts {
		if r.counts[i] < old.counts[i] || i%2 == 1 && r.counts[i] > r.counts[i-1] {
			return old, false
		}
	}
	return old, true
}

// miss is one failed or late outcome of a worker that a report tells, of so many new ones of its kind.
type miss struct {
	worker    int
	kind      missKind
	newOfKind float64
}

// newMisses lists the misses that a report tells and the one before it did not.
func (s *Sentry) missesSince(old, r report) (at []miss) {
	before, of := map[uint64]uint64{}, [missKinds]float64{}
	for i := 0; i+1 < len(old.misses); i += 2 {
		before[old.misses[i]] = old.misses[i+1]
	}
	for i := 0; i+1 < len(r.misses); i += 2 {
		k := missKind(r.misses[i] % uint64(missKinds))
		w, known := s.byShortID[r.misses[i]/uint64(missKinds)]
		for n := before[r.misses[i]]; known && n < r.misses[i+1] && len(at) < 1000; n++ {
			at = append(at, miss{worker: w, kind: k})
			of[k]++
		}
	}
	for i := range at {
		at[i].newOfKind = of[at[i].kind]
	}
	return at
}

// appendMisses appends the misses of the workers that have any, for a report.
func (s *Sentry) appendMisses(values []uint64, most int) []uint64 {
	for k := range missKinds {
		for w, n := range s.ownMisses[k] {
			if n > 0 && most > 0 {
				values = append(values, shortID(s.workers[w].ID)*uint64(missKinds)+uint64(k), n)
				most--
			}
		}
	}
	return values
}

// shortName tells workers from each other, in all but a few cases, in two bytes of a message.
func shortID(id WorkerID) uint64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint64(h.Sum32() % (1 << 14))
}

// means are mean times by the platform's counts: the answers, and the sums of what they took, of what as many
// of their profiles took before the trial, and of what they take at the earlier build now.
type latencyMeans struct{ answers, duration, baselineDuration, earlierDuration float64 }

// exposure is a bound on hand-offs to the trial, and until when it holds.
type exposureBound struct {
	free      float64
	window    Micros
	byProfile bool
	until     Micros
}

// meter follows how many outcomes come in a second.
type rateMeter struct {
	rate float64
	at   Micros
}

// addWorker gives a new worker a row, one of a worker long gone if there is one, and its place in this sentry's
// order.
func (s *Sentry) addWorker(in Worker, rank float64) int {
	w := 0
	for w < len(s.workers) && !(s.workers[w].State == Gone && s.openByWorker[w] == 0 && s.now-s.goneSince[w] > s.maxDeadline) {
		w++
	}
	if w < len(s.workers) {
		delete(s.workerIndex, s.workers[w].ID)
		s.workerOrder = slices.DeleteFunc(s.workerOrder, func(v int) bool { return v == w })
	} else {
		s.workers = append(s.workers, Worker{})
		s.openByWorker, s.otherLoad = append(s.openByWorker, 0), append(s.otherLoad, 0)
		s.latencyRatio, s.failureRate = append(s.latencyRatio, 1), append(s.failureRate, 0)
		s.ejectedUntil, s.recoveredAt = append(s.ejectedUntil, 0), append(s.recoveredAt, 0)
		s.consecutiveFailures, s.coldHandOffs = append(s.consecutiveFailures, 0), append(s.coldHandOffs, nil)
		s.randomAllowance = append(s.randomAllowance, 0)
		s.groupOpen, s.groupOpenAt = append(s.groupOpen, 0), append(s.groupOpenAt, 0)
		for k := range missKinds {
			s.trialMisses[k], s.ownMisses[k] = append(s.trialMisses[k], 0), append(s.ownMisses[k], 0)
		}
		s.goneSince, s.workerLeases = append(s.goneSince, 0), append(s.workerLeases, workerLease{})
		s.lastAnswerAt, s.nonLoadFailureRate = append(s.lastAnswerAt, 0), append(s.nonLoadFailureRate, 0)
		s.answeredSentTimes = append(s.answeredSentTimes, [laterAnswersIfLost]Micros{})
		s.seenAt, s.randomAllowanceUntil = append(s.seenAt, 0), append(s.randomAllowanceUntil, 0)
		s.rank = append(s.rank, 0)
	}
	s.workers[w] = Worker{Build: -1} // none: the line that renews the row clears it
	s.workerIndex[in.ID], s.byShortID[shortID(in.ID)], s.rank[w] = w, w, rank
	s.seenAt[w], s.randomAllowanceUntil[w], s.answeredSentTimes[w], s.coldHandOffs[w] = 0, 0, [laterAnswersIfLost]Micros{}, nil
	at, _ := slices.BinarySearchFunc(s.workerOrder, rank, func(v int, r float64) int { return cmp.Compare(s.rank[v], r) })
	s.workerOrder = slices.Insert(s.workerOrder, at, w)
	return w
}

// First byte of a message.
const messageReport, messageVerdict, messageHandOff, messageHandOffEnded = 1, 2, 3, 4

// pack makes a message of one kind of whole numbers; unpack gives none where it is not such a message.
func encodeMessage(what byte, values []uint64) []byte {
	body := []byte{what}
	for _, x := range values {
		body = binary.AppendUvarint(body, x)
	}
	return body
}

func decodeMessage(body []byte) (what byte, values []uint64) {
	if len(body) == 0 {
		return 0, nil
	}
	for rest := body[1:]; len(rest) > 0; {
		x, n := binary.Uvarint(rest)
		if n <= 0 || x > math.MaxUint32 {
			return 0, nil
		}
		values, rest = append(values, x), rest[n:]
	}
	return body[0], values
}

func (s *Sentry) wakeUp(at Micros, t *transaction) {
	at = max(at, s.now+1)
	later := func(a wakeUp, at Micros) int { return cmp.Compare(a.at, at) }
	i, _ := slices.BinarySearchFunc(s.wakeUps, at+1, later)
	s.wakeUps = slices.Insert(s.wakeUps, i, wakeUp{at, t})
}

func percent(share float64) int { return int(100*share + 1e-9) }

func oneIf(hit bool) float64 {
	if hit {
		return 1
	}
	return 0
}

// trim drops the times up to and including from; since counts those after it. Both want them in order.
func dropUpTo(times []Micros, from Micros) []Micros {
	n := 0
	for n < len(times) && times[n] <= from { // each is passed once, mostly one at a time
		n++
	}
	return times[n:]
}

func countAfter(times []Micros, from Micros) int {
	i, _ := slices.BinarySearchFunc(times, from+1, cmp.Compare[Micros])
	return len(times) - i
}

func (s *Sentry) readyCount(b BuildID) int {
	if r := s.buildWorkers[b]; r != nil {
		return len(r.ready)
	}
	return 0
}

// capacity is what the ready workers of a build that are not known to be down can do by now.
func (s *Sentry) capacity(b BuildID) float64 {
	if r := s.buildWorkers[b]; r != nil {
		return r.capacity
	}
	return 0
}

func (s *Sentry) excessSums() []float64 {
	sums := []float64{s.fleetSlowExcess}
	for i := range s.profiles {
		sums = append(sums, s.profiles[i].trialExcess[:]...)
	}
	return append(sums, s.allProfiles.trialExcess[:]...)
}

// note says in the log what the judge's sums were.
func (s *Sentry) logVote(v Verdict) {
	what := [...]string{Advance: "voting on", Hold: "voting to hold", RollBack: "voting back"}[v]
	s.result.LogLines = append(s.result.LogLines, fmt.Sprintf(
		"%s build %d stage %d: of %d at load %.2f: all slower, then errors and late by profile and in all %.1f, wrong %.1f",
		what, s.releaseStatus.Build, s.releaseStatus.Stage, s.judgedOutcomes, s.relativeLoad(), s.excessSums(), s.wrongAnswerSum))
}

// place is where the outcomes of a kind are counted, and after it those that failed or were late. The last
// four places are for all workers, and for what would have come and came with that.
func countIndex(id ProfileID, k missKind, trial bool) int {
	return ((int(id)*int(missKinds)+int(k))*2 + int(oneIf(trial))) * 2
}

// forget drops a transaction that is closed and has nothing out.
func (s *Sentry) removeTransaction(t *transaction) {
	if !t.hasOpenHandOff() {
		delete(s.openTransactions, t.ID)
	}
}

func (s *Sentry) workerStart(w int) Micros { return max(s.workers[w].Started, s.recoveredAt[w]) }

type missKind int

const (
	errorMiss missKind = iota
	lateMiss
	missKinds
)

// nextWake is the earliest time still to come at which something is due.
func (s *Sentry) nextWake() (wake Micros) {
	for len(s.wakeUps) > 0 && s.wakeUps[0].transaction.closed {
		s.wakeUps = s.wakeUps[1:]
	}
	next := []Micros{s.nextListRequestAt, s.nextVoteAt}
	if len(s.wakeUps) > 0 {
		next = append(next, s.wakeUps[0].at)
	}
	for _, at := range next {
		if at > s.now && (wake == 0 || at < wake) {
			wake = at
		}
	}
	return wake
}

// counters are where a transaction counts for exposure: over all, and by its profile.
func (t *transaction) exposureCounters() [2]int { return [2]int{0, 1 + int(t.Profile)} }

// places is how many figures this sentry counts for the collectors.
func (s *Sentry) countsLen() int { return countIndex(ProfileID(len(s.profiles)), errorMiss, false) + 4 }

// usualTime is what answers of the earlier build usually take, over all profiles.
func (s *Sentry) usualDuration() (usual float64) {
	for i := range s.profiles {
		usual += s.profiles[i].expectedDuration / float64(len(s.profiles))
	}
	return usual
}

// load is what this sentry takes for what the fleet can do.
func (s *Sentry) ownLoad() float64 { return float64(len(s.arrivalTimes)) / max(s.fleetCapacity, 1e-9) }

// placed is what is counted at a place, of so many.
func decodeCountIndex(i, of int) (id ProfileID, k missKind, trial, all bool) {
	return ProfileID(i / 4 / int(missKinds)), missKind(i / 4 % int(missKinds)), i/2%2 == 1, i == of-4
}

// renew takes over a line of the list, and forgets what was known of a worker that has started anew.
func (s *Sentry) updateWorker(w int, in Worker) {
	if in.State == Gone {
		s.goneSince[w] = s.now
	}
	if old := s.workers[w]; old.Build != in.Build || old.Started != in.Started {
		for k := range missKinds {
			s.totalTrialMisses[k] -= s.trialMisses[k][w]
			s.trialMisses[k][w], s.ownMisses[k][w] = 0, 0
		}
		s.otherLoad[w], s.latencyRatio[w], s.failureRate[w], s.groupOpen[w] = 0, 1, 0, 0
		s.ejectedUntil[w], s.recoveredAt[w], s.consecutiveFailures[w], s.lastAnswerAt[w] = 0, 0, 0, 0
		s.nonLoadFailureRate[w], s.answeredSentTimes[w] = 0, [laterAnswersIfLost]Micros{}
		s.workerLeases[w] = workerLease{}
	}
	s.workers[w] = in
}

// clearTrial forgets what was counted of the last trial.
func (s *Sentry) resetTrial() {
	s.trialSlots, s.judgedOutcomes, s.fleetSlowExcess, s.rollBackDecided, s.totalTrialMisses = 0, 0, 0, false, [missKinds]float64{}
	s.baselineLoad, s.baselineArrivalRate, s.newArrivals, s.firstStageOutcomes, s.firstStageSlow = 0, 0, 0, 0, 0
	s.arrivalMeter, s.baselineArrivalMeter = rateMeter{}, rateMeter{}
	clear(s.givenUp)
	clear(s.olderGivenUp)
	s.lastVote, s.lastVoteAt, s.wrongAnswerSum = Vote{}, 0, 0
	for i := range s.profiles {
		s.profiles[i].trialExcess, s.profiles[i].baselineThreshold = [missKinds]float64{}, 0
	}
	s.allProfiles = profileStats{}
	for i := range s.exposedTimes {
		s.exposedTimes[i] = nil
	}
	clear(s.trialKeys)
	for k := range missKinds {
		clear(s.trialMisses[k])
		clear(s.ownMisses[k])
	}
	s.outcomeCounts = make([]uint64, s.countsLen())
	s.reports, s.collectorVerdict, s.collectorVerdictAt = map[SentryID]report{}, NoVerdict, 0
}

// connected says whether a connection to a worker is likely open.
func (s *Sentry) likelyConnected(w int) bool {
	return s.lastAnswerAt[w] > 0 && (s.config.IdleTimeout == 0 || s.now-s.lastAnswerAt[w] < s.config.IdleTimeout)
}

// repeated says whether a transaction comes again after it was given up, or was marked so by its client.
func (s *Sentry) isRetry(t *transaction) bool {
	if s.now-s.givenUpRotatedAt > 4*s.maxDeadline { // who has not come again by then will not
		s.givenUp, s.olderGivenUp, s.givenUpRotatedAt = map[Key]int{}, s.givenUp, s.now
	}
	for _, m := range []map[Key]int{s.givenUp, s.olderGivenUp} {
		if n := m[t.Key]; n > 1 {
			m[t.Key] = n - 1
			return true
		} else if n == 1 {
			delete(m, t.Key)
			return true
		}
	}
	return t.IsRetry
}

// dropAll holds every worker for gone, until a whole list names it.
func (s *Sentry) markAllGone() {
	for w := range s.workers {
		if s.workers[w].State != Gone {
			s.workers[w].State, s.goneSince[w] = Gone, s.now
		}
	}
}

// mark counts one outcome at a place.
func (s *Sentry) countOutcome(at int, hit bool) {
	s.outcomeCounts[at]++
	s.outcomeCounts[at+1] += uint64(oneIf(hit))
}

func (s *Sentry) runFilters(t *transaction, from int) {
	for _, st := range filterChain[from:] {
		if !st.onTransaction(s, t) {
			return
		}
	}
}

// Arrive takes a transaction.
func (s *Sentry) TransactionArrived(now Micros, in Transaction) Result {
	return s.handleEvent(now, func() {
		s.runFilters(&transaction{Transaction: in, arrivedAt: s.now}, 0)
	})
}

// HandOffEnded takes the end of one hand-off back through the chain.
func (s *Sentry) HandOffEnded(now Micros, e HandOffEnd) Result {
	return s.handleEvent(now, func() {
		t := s.openTransactions[e.Transaction]
		if t != nil && e.HandOffNumber >= 0 && e.HandOffNumber < len(t.handOffs) && !t.handOffs[e.HandOffNumber].ended {
			h := &t.handOffs[e.HandOffNumber]
			h.end, h.timingInvalid = e, h.timingInvalid || h.sentAt < s.stalledAt
			t.closed = t.closed || e.TransactionClosed
			for i := len(filterChain) - 1; i >= 0; i-- {
				filterChain[i].onHandOffEnd(s, t, h)
			}
			s.runQueued()
		}
	})
}

// ClientLeft ends what is owed for a transaction: the client has gone, or its answer has begun to stream.
func (s *Sentry) ClientLeft(now Micros, id TransactionID) Result {
	return s.handleEvent(now, func() {
		if t := s.openTransactions[id]; t != nil {
			s.givenUp[t.Key] += int(oneIf(!t.closed))
			if t.closed = true; t.profile.Streamed { // what has begun goes on
				s.removeTransaction(t)
			} else {
				s.cancelOpenHandOffs(t)
			}
		}
	})
}

// gather judges what a peer has counted since its last report.
func (s *Sentry) mergeReport(from SentryID, r report) {
	old, holds := s.reports[from].previousFor(r)
	if !holds {
		return
	}
	s.reports[from] = r
	weight, misses := [missKinds]float64{1, 1}, s.missesSince(old, r) // their mean counts for all hits
	for _, m := range misses {
		weight[m.kind] += (s.missWeight(m.worker, m.kind, true) - 1) / m.newOfKind
	}
	for i := 0; i < len(r.counts); i += 2 {
		n, hits := float64(r.counts[i]-old.counts[i]), float64(r.counts[i+1]-old.counts[i+1])
		if id, k, trial, all := decodeCountIndex(i, len(r.counts)); i == len(r.counts)-2 {
			s.arrivalMeter.addAndWeigh(s.now, hits)
			s.baselineArrivalMeter.addAndWeigh(s.now, n-hits)
		} else if n > 0 && all && s.cooperates() { // few sentries see it each by itself, and sooner
			s.addFleetOutcomes(n, hits)
		} else if n > 0 && !all {
			s.judgeOutcomes(id, k, trial, n, hits*(1-oneIf(trial)*(1-weight[k])))
		}
	}
}

// A stage passes a transaction on or keeps or ends it, and sees each ended hand-off on its way back.
type filter struct {
	onTransaction func(*Sentry, *transaction) bool
	onHandOffEnd  func(*Sentry, *transaction, *handOff)
}

// Listed takes a report on the workers.
func (s *Sentry) ListReceived(now Micros, kind ListKind, list []Worker) Result {
	return s.handleEvent(now, func() {
		if kind == CachedList {
			s.useCachedList()
		} else {
			s.confirmList()
		}
		if kind != ListDelta {
			s.markAllGone()
		}
		for _, in := range list {
			in.Size = max(in.Size, 1e-3)
			w, known := s.workerIndex[in.ID]
			if !known {
				w = s.addWorker(in, s.drawRank(in))
			}
			s.updateWorker(w, in)
		}
		s.refreshBuilds()
	})
}

// warmed is how much of its warming up a worker had behind it at a time, 0 to 1.
func (s *Sentry) warmUpProgress(w int, at Micros) float64 {
	start := s.workerStart(w)
	if start <= 0 || s.config.WarmUp <= 0 {
		return 1
	}
	return min(1, max(0, float64(at-start)/float64(s.config.WarmUp)))
}

// warmth is the least part of its work that a worker could do at a time.
func (s *Sentry) warmUpCapacity(w int, at Micros) float64 {
	return s.config.ColdCapacity + (1-s.config.ColdCapacity)*s.warmUpProgress(w, at)
}

// warmthOf is the same for all ready workers of a build that ran then.
func (s *Sentry) buildWarmUpCapacity(b BuildID, at Micros) float64 {
	can, size := 0.0, 0.0
	for _, w := range s.workerOrder {
		if in := &s.workers[w]; in.Build == b && in.State == Ready && s.workerStart(w) < at {
			can, size = can+in.Size*s.warmUpCapacity(w, at), size+in.Size
		}
	}
	return can / max(size, 1e-9)
}

// regroup puts the workers in order again after the groups have changed.
func (s *Sentry) rerankWorkers() {
	for w := range s.rank {
		s.rank[w] = math.Mod(s.rank[w], otherGroupRank) + otherGroupRank*oneIf(!s.inOwnGroup(s.workers[w].ID))
	}
	slices.SortFunc(s.workerOrder, func(a, b int) int { return cmp.Compare(s.rank[a], s.rank[b]) })
}

// report is what a message to the collectors tells: all counts since the trial began, and the misses of some workers.
func (s *Sentry) ownReport(most int) []uint64 {
	if s.baselineArrivalRate > 0 {
		due := uint64(s.baselineArrivalRate * float64(s.now-s.baselineAt))
		s.outcomeCounts[len(s.outcomeCounts)-2], s.outcomeCounts[len(s.outcomeCounts)-1] = due+s.newArrivals, s.newArrivals
	}
	values := append([]uint64{uint64(s.releaseStatus.Build), s.runID, uint64(len(s.outcomeCounts))}, s.outcomeCounts...)
	return s.appendMisses(values, most)
}

// leftOut counts the workers that are shunned.
func (s *Sentry) ejectedCount() (n int) {
	for w := range s.workers {
		n += int(oneIf(s.ejectedUntil[w] > s.now && s.workers[w].State == Ready))
	}
	return n
}

// trialShare is the part of what comes that goes to the trial: by the slots, or by what went there in the last second if
// that is more, as where a hot key falls to it.
func (s *Sentry) trialShare() float64 {
	from := s.now - second
	return max(float64(s.trialSlots)/100, float64(countAfter(s.exposedTimes[0], from))/float64(max(1, countAfter(s.takenTimes[0], from))))
}

// survey brings the rosters up to date: after a change of the list, and each quarter second for the cold and
// the shunned, which stand last.
func (s *Sentry) refreshReadyWorkers() {
	for b, r := range s.buildWorkers {
		if len(r.ready) == 0 {
			delete(s.buildWorkers, b)
		}
		r.ready, r.capacity, r.warmCapacity, r.youngestStart, r.groupWorkers = r.ready[:0], 0, 0, 0, 0
	}
	s.fleetCapacity = 0
	for _, shunned := range []bool{false, true} {
		for _, w := range s.workerOrder {
			in := &s.workers[w]
			if in.State != Ready || s.ejectedUntil[w] > s.now != shunned {
				continue
			}
			r := s.buildWorkers[in.Build]
			if r == nil {
				r = &buildWorkers{subsetSize: initialSubsetSize}
				s.buildWorkers[in.Build] = r
			}
			r.ready = append(r.ready, w)
			r.youngestStart = max(r.youngestStart, in.Started)
			r.groupWorkers += int(oneIf(!shunned && s.rank[w] < otherGroupRank))
			if s.consecutiveFailures[w] == 0 {
				r.capacity += in.Size * s.warmUpCapacity(w, s.now)
				r.warmCapacity += in.Size * s.warmUpProgress(w, s.now)
				s.fleetCapacity += in.Size * s.warmUpCapacity(w, s.now)
			}
		}
	}
}
