package logic

// This file holds the state of a sentry, the entry points that decide nothing themselves, and helpers.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"slices"
)

// handOff is one hand-off of a transaction to a worker.
type handOff struct {
	worker        int
	build         BuildID
	sentAt        Micros
	writtenAt     Micros // later than sentAt if it had to wait for a connection
	ended         bool
	newConnection bool // as far as is known, no connection to the worker was open
	timingInvalid bool // the duration says nothing: a connection had to be opened, or the process was stalled
	mayHaveRun    bool // it is not proven that it has not run
	end           HandOffEnd
}

// transaction is a transaction with what the sentry decided on it.
type transaction struct {
	Transaction
	profile        *Profile // as configured when the transaction arrived
	arrivedAt      Micros
	slot           int // 0 to 99, by the two-build hash, or at random without a key
	worker         int // index of the chosen worker, or -1
	turn           int // its place among the open and queued transactions of its client; see sortQueue
	handOffs       []handOff
	closed, queued bool
	// A wake-up at its queueDeadline is set.
	wakesAtQueueDeadline bool
}

// hasOpenHandOff reports whether a hand-off of the transaction has not ended.
func (t *transaction) hasOpenHandOff() bool {
	return slices.ContainsFunc(t.handOffs, func(h handOff) bool { return !h.ended })
}

// profileStats is what a sentry knows of the transactions of one profile. The earlier build and the trial are
// measured separately. A miss is a failed or late outcome. Durations are in microseconds.
type profileStats struct {
	*Profile                 // replaced by a new configuration
	expectedDuration float64 // usual duration of an answer of the earlier build
	latencyThreshold float64 // aboveThresholdShare of the earlier build's answers take longer
	// The earlier build's rates of errors and of late hand-offs, which take longer than lateFactor x latencyThreshold.
	earlierMissRate   [missKinds]float64
	trialExcess       [missKinds]float64 // cumulative sums of the trial's misses beyond the earlier build's rate
	baselineThreshold float64            // latencyThreshold before the trial, 0 if too little was seen
	earlierOutcomes   int                // outcomes of the earlier build
	earlierMean       float64            // mean duration of the earlier build by the platform's counts, 0 if none came
	baselineMean      float64            // earlierMean before the trial
	// Share of the earlier build's hand-offs that failed in the last period of the platform's counts.
	earlierFailedShare float64
}

// valuePerWork returns the value of a transaction relative to its expected duration.
func (p *profileStats) valuePerWork() float64 { return p.Value / p.expectedDuration }

// wakeUp is a time at which a transaction has something due.
type wakeUp struct {
	at          Micros
	transaction *transaction
}

// Sentry is one instance of the decision logic. Its calls must not overlap.
type Sentry struct {
	config                     Config
	random                     *rand.Rand
	now                        Micros
	result                     Result
	openTransactions           map[TransactionID]*transaction
	openByKey                  map[Key][]*transaction // the open transactions that have a key
	wakeUps                    []wakeUp               // the earliest first
	queue                      []*transaction
	profiles                   []profileStats  // by ProfileID
	allProfiles                profileStats    // only its trialExcess is used, for all profiles together
	formerBounds               []exposureBound // bounds of former configurations, each in force for its window
	maxRuleWindow              Micros          // the longest window of a rule in any configuration so far
	maxDueTime                 Micros          // the longest due time of the profiles
	maxDeadline                Micros          // the longest MaxDeadline of a profile in any configuration so far
	arrivalWindow              Micros          // how long arrivalTimes and handOffTimes go back
	arrivalTimes               []Micros
	handOffTimes               []Micros
	retryBudget                float64          // retries and hedges that the budget allows now
	openHandOffs, lostHandOffs int              // this sentry's, and how many of them have lost their answer
	concurrencyLimit           float64          // how many may be open
	openByClient               map[ClientID]int // open hand-offs; clients without any are left out
	nextTurns                  map[ClientID]int // reused by sortQueue

	// Workers. Each has an index, called w in the code. Most slices below are indexed by it.
	workerIndex          map[WorkerID]int
	workers              []Worker
	workerOrder          []int               // indexes of all workers in this sentry's own order, by rank
	rank                 []float64           // random, lower ranks first
	byShortID            map[uint64]int      // index by shortID
	ownMisses            [missKinds][]uint64 // those of trialMisses that this sentry saw itself
	openByWorker         []int               // this sentry's open hand-offs
	otherLoad            []float64           // reported load beyond this sentry's open hand-offs
	groupOpen            []float64           // open hand-offs of the other sentries of the group
	groupOpenAt          []Micros            // when groupOpen last changed
	latencyRatio         []float64           // duration of answers to expected duration
	failureRate          []float64           // smoothed share of failures
	nonLoadFailureRate   []float64           // smoothed share of failures that no load explains
	seenAt               []Micros            // time of the last end of a hand-off
	ejectedUntil         []Micros            // used until then only where no other worker will do
	recoveredAt          []Micros            // when it answered after it had been down, 0 if it has not been
	consecutiveFailures  []int               // failures to reach it since its last answer
	coldHandOffs         [][]Micros          // times of hand-offs while it is cold
	randomAllowanceUntil []Micros            // when randomAllowance is drawn anew
	lastAnswerAt         []Micros            // 0 if there is none, or a connection has failed since
	// When the latest hand-offs that were answered had been sent, the earliest first.
	answeredSentTimes [][laterAnswersIfLost]Micros
	goneSince         []Micros             // valid if it is Gone
	randomAllowance   []float64            // random part of what it may get while it is cold
	trialMisses       [missKinds][]float64 // misses counted against it in this trial

	zoneLatencyRatio []float64 // duration of answers to expected duration, by zone
	zoneUpdatedAt    []Micros  // time of the last update, by zone
	maxZoneSlowdown  float64   // the largest zoneSlowdown of another zone, 1 if none is slow
	refusedShare     float64   // smoothed share of new connections that are refused

	usualLoad       float64 // smoothed: this sentry's hand-offs in arrivalWindow per unit of fleet capacity
	buildWorkers    map[BuildID]*buildWorkers
	fleetCapacity   float64 // capacity of all builds together, as in buildWorkers
	usualWorkerLoad float64 // smoothed number of transactions that a worker reports

	// The worker list.
	lease             lease
	workerLeases      []workerLease
	nextListRequestAt Micros

	// The build on trial.
	release      ReleaseStatus
	statusSince  Micros // when the release reached its build, stage and phase
	earlierBuild BuildID
	rolledBack   map[BuildID]bool
	// Slots below trialSlots go to the trial. judgedOutcomes counts the trial's outcomes judged for errors.
	trialSlots, judgedOutcomes int
	trialKeys                  map[Key]BuildID // keys that the trial build may have answered, with that build
	takenTimes                 [][]Micros      // transactions taken: all at index 0, then by profile
	exposedTimes               [][]Micros      // hand-offs to the trial, with the same indexes
	// Of the current period of the platform's counts: of all builds, and of the trial.
	periodMeans          [2]latencyMeans
	baselinePlatformRate float64 // answers in a second by the platform's counts before the trial
	// This sentry's recent hand-offs that ended with an error, and that failed for any reason.
	ownErrors, ownFailures float64
	wrongAnswerSum         float64            // weighted complaints, lowered by answers of the trial; see ComplaintReceived
	platformCountsAt       Micros             // time of the platform's last counts
	earlierOutcomeAt       Micros             // time of the last judged outcome of the earlier build
	totalTrialMisses       [missKinds]float64 // misses of all workers of the trial
	outcomeCounts          []uint64           // outcomes counted in this trial, by countIndex
	runID                  uint64             // distinguishes this run of the sentry from others
	reports                map[SentryID]report
	collectorVerdict       Verdict // the strongest verdict received lately
	collectorVerdictAt     Micros
	collectorVerdictStage  int
	nextReportAt           Micros
	// Rates of the outcomes judged for the fleet's latency, and of the trial's judged for lateness.
	fleetMeter, lateMeter rateMeter
	// Rate of transactions that all sentries together get, and the rate that they would get as before the trial.
	arrivalMeter, baselineArrivalMeter rateMeter
	// By key, transactions given up that have not come again yet: recent ones and older ones.
	givenUp, olderGivenUp map[Key]int
	givenUpRotatedAt      Micros // when givenUp last became olderGivenUp
	newArrivals           uint64 // transactions of this trial that are not retries
	// The time of the first call, and of the start of the trial, when the baseline was taken.
	firstCallAt, baselineAt               Micros
	stalledAt                             Micros  // when the process was last found to have been stalled
	firstStageOutcomes, firstStageSlow    float64 // outcomes in the trial's first stage, and slow ones of these
	baselineArrivalRate, baselineCapacity float64 // arrivals per microsecond, and fleetCapacity, before the trial
	// Cumulative sum of slow outcomes of the whole fleet, and ownLoad before the trial.
	fleetSlowExcess, baselineLoad float64
	lastVote                      Vote
	rollBackDecided               bool // an excess sum has passed the limit in this trial
	lastVoteAt, nextVoteAt        Micros
}

// New makes a sentry from its configuration and the seed of its random numbers.
func New(config Config, seed int64) *Sentry {
	s := &Sentry{
		random: rand.New(rand.NewSource(seed)), openTransactions: map[TransactionID]*transaction{},
		openByKey:    map[Key][]*transaction{},
		openByClient: map[ClientID]int{}, nextTurns: map[ClientID]int{},
		workerIndex: map[WorkerID]int{}, byShortID: map[uint64]int{},
		buildWorkers: map[BuildID]*buildWorkers{}, rolledBack: map[BuildID]bool{},
		trialKeys: map[Key]BuildID{}, givenUp: map[Key]int{},
		takenTimes: make([][]Micros, 1), exposedTimes: make([][]Micros, 1),
	}
	s.runID = uint64(s.random.Uint32())
	s.applyConfig(config)
	s.startTrial()
	return s
}

// isOlderThan reports whether a release has passed the state of this status before it reached the other one. Statuses may
// arrive in another order: the answer to a vote brings the present one while an earlier one is on its way.
func (status ReleaseStatus) isOlderThan(other ReleaseStatus) bool {
	if !other.Valid || status.Build != other.Build {
		return other.Valid && status.Build < other.Build
	}
	if status.Phase == OnTrial && other.Phase == OnTrial {
		return status.Stage < other.Stage
	}
	return slices.Index(phaseOrder, status.Phase) < slices.Index(phaseOrder, other.Phase)
}

// phaseOrder is the order in which a release goes through its phases. It may leave out some, and goes back to none.
var phaseOrder = []Phase{OnTrial, Released, RollingBack, Withdrawn}

// buildWorkers is the ready workers of a build, and the subset of them that this sentry uses.
type buildWorkers struct {
	ready      []int   // in this sentry's order, ejected workers last
	subsetSize int     // the subset is the first so many
	capacity   float64 // what the workers can do now: cold ones less, ones that could not be reached last nothing
	// What the trial's share of traffic may rely on: cold workers count only by their progress, since they are
	// mostly at their limit and the warm ones would carry their part.
	warmCapacity  float64
	groupWorkers  int    // how many of the first belong to this sentry's group
	youngestStart Micros // start time of the youngest
}

// report is what one sentry has counted since the trial began.
type report struct {
	runID          uint64
	counts, misses []uint64 // misses: pairs of a worker's short ID with the kind of miss, and the number
}

// previousFor returns the report that next adds to, which is empty after a restart of the reporting sentry, and
// whether next is consistent with it.
func (previous report) previousFor(next report) (report, bool) {
	if previous.runID != next.runID || previous.counts == nil {
		previous = report{counts: make([]uint64, len(next.counts))}
	}
	for i := range next.counts {
		if next.counts[i] < previous.counts[i] || i%2 == 1 && next.counts[i] > next.counts[i-1] {
			return previous, false
		}
	}
	return previous, true
}

// miss is one miss of a worker that a report adds. newOfKind is how many misses of its kind the report adds.
type miss struct {
	worker    int
	kind      missKind
	newOfKind float64
}

// missesSince lists the misses that a report adds to the previous one.
func (s *Sentry) missesSince(previous, next report) (misses []miss) {
	reported, ofKind := map[uint64]uint64{}, [missKinds]float64{}
	for i := 0; i+1 < len(previous.misses); i += 2 {
		reported[previous.misses[i]] = previous.misses[i+1]
	}
	for i := 0; i+1 < len(next.misses); i += 2 {
		kind := missKind(next.misses[i] % uint64(missKinds))
		worker, known := s.byShortID[next.misses[i]/uint64(missKinds)]
		for n := reported[next.misses[i]]; known && n < next.misses[i+1] && len(misses) < 1000; n++ {
			misses = append(misses, miss{worker: worker, kind: kind})
			ofKind[kind]++
		}
	}
	for i := range misses {
		misses[i].newOfKind = ofKind[misses[i].kind]
	}
	return misses
}

// appendMisses appends this sentry's misses to a report, for as many workers as allowed. A worker with misses of both
// kinds counts twice.
func (s *Sentry) appendMisses(values []uint64, maxWorkers int) []uint64 {
	for kind := range missKinds {
		for w, count := range s.ownMisses[kind] {
			if count > 0 && maxWorkers > 0 {
				values = append(values, shortID(s.workers[w].ID)*uint64(missKinds)+uint64(kind), count)
				maxWorkers--
			}
		}
	}
	return values
}

// shortID is an ID of at most two bytes in a message. A few workers may share one.
func shortID(id WorkerID) uint64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return uint64(h.Sum32() % (1 << 14))
}

// latencyMeans sums durations by the platform's counts: the number of answers, what they took, what as many answers
// of their profiles took before the trial, and what they take at the earlier build now.
type latencyMeans struct{ answers, duration, baselineDuration, earlierDuration float64 }

// exposureBound is a bound on hand-offs to the trial, and the time until which it is in force.
type exposureBound struct {
	free      float64
	window    Micros
	byProfile bool
	until     Micros
}

// rateMeter measures how many outcomes come in a second.
type rateMeter struct {
	rate float64
	at   Micros
}

// addWorker gives a new worker its place in this sentry's order, and an index: that of a worker that is long gone if
// there is one.
func (s *Sentry) addWorker(listed Worker, rank float64) int {
	w := 0
	for w < len(s.workers) &&
		!(s.workers[w].State == Gone && s.openByWorker[w] == 0 && s.now-s.goneSince[w] > s.maxDeadline) {
		w++
	}
	if w < len(s.workers) {
		delete(s.workerIndex, s.workers[w].ID)
		s.workerOrder = slices.DeleteFunc(s.workerOrder, func(other int) bool { return other == w })
	} else {
		s.workers = append(s.workers, Worker{})
		s.openByWorker, s.otherLoad = append(s.openByWorker, 0), append(s.otherLoad, 0)
		s.latencyRatio, s.failureRate = append(s.latencyRatio, 1), append(s.failureRate, 0)
		s.ejectedUntil, s.recoveredAt = append(s.ejectedUntil, 0), append(s.recoveredAt, 0)
		s.consecutiveFailures, s.coldHandOffs = append(s.consecutiveFailures, 0), append(s.coldHandOffs, nil)
		s.randomAllowance = append(s.randomAllowance, 0)
		s.groupOpen, s.groupOpenAt = append(s.groupOpen, 0), append(s.groupOpenAt, 0)
		for kind := range missKinds {
			s.trialMisses[kind], s.ownMisses[kind] = append(s.trialMisses[kind], 0), append(s.ownMisses[kind], 0)
		}
		s.goneSince, s.workerLeases = append(s.goneSince, 0), append(s.workerLeases, workerLease{})
		s.lastAnswerAt, s.nonLoadFailureRate = append(s.lastAnswerAt, 0), append(s.nonLoadFailureRate, 0)
		s.answeredSentTimes = append(s.answeredSentTimes, [laterAnswersIfLost]Micros{})
		s.seenAt, s.randomAllowanceUntil = append(s.seenAt, 0), append(s.randomAllowanceUntil, 0)
		s.rank = append(s.rank, 0)
	}
	s.workers[w] = Worker{Build: -1} // no build: updateWorker then clears what the index held
	s.workerIndex[listed.ID], s.byShortID[shortID(listed.ID)], s.rank[w] = w, w, rank
	s.seenAt[w], s.randomAllowanceUntil[w], s.answeredSentTimes[w], s.coldHandOffs[w] =
		0, 0, [laterAnswersIfLost]Micros{}, nil
	position, _ := slices.BinarySearchFunc(s.workerOrder, rank,
		func(other int, target float64) int { return cmp.Compare(s.rank[other], target) })
	s.workerOrder = slices.Insert(s.workerOrder, position, w)
	return w
}

// The first byte of a message says its kind.
const messageReport, messageVerdict, messageHandOff, messageHandOffEnded = 1, 2, 3, 4

// encodeMessage returns a message: its kind and whole numbers.
func encodeMessage(kind byte, values []uint64) []byte {
	body := []byte{kind}
	for _, x := range values {
		body = binary.AppendUvarint(body, x)
	}
	return body
}

// decodeMessage returns what encodeMessage took, or no values if the body is no such message.
func decodeMessage(body []byte) (kind byte, values []uint64) {
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

// wakeUp asks for a wake-up for a transaction.
func (s *Sentry) wakeUp(at Micros, t *transaction) {
	at = max(at, s.now+1)
	compare := func(pending wakeUp, at Micros) int { return cmp.Compare(pending.at, at) }
	position, _ := slices.BinarySearchFunc(s.wakeUps, at+1, compare)
	s.wakeUps = slices.Insert(s.wakeUps, position, wakeUp{at, t})
}

// percent converts a share to whole percent, rounded down.
func percent(share float64) int { return int(100*share + 1e-9) }

// oneIf returns 1 if the condition holds, else 0.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// dropUpTo drops the times up to and including until. The times must be in ascending order.
func dropUpTo(times []Micros, until Micros) []Micros {
	expired := 0
	for expired < len(times) && times[expired] <= until { // cheap: each time is passed once, mostly one per call
		expired++
	}
	return times[expired:]
}

// countAfter counts the times after start. The times must be in ascending order.
func countAfter(times []Micros, start Micros) int {
	position, _ := slices.BinarySearchFunc(times, start+1, cmp.Compare[Micros])
	return len(times) - position
}

// readyCount returns how many workers of a build are ready.
func (s *Sentry) readyCount(build BuildID) int {
	if workers := s.buildWorkers[build]; workers != nil {
		return len(workers.ready)
	}
	return 0
}

// capacity returns what the ready workers of a build can do now, without those that could not be reached last.
func (s *Sentry) capacity(build BuildID) float64 {
	if workers := s.buildWorkers[build]; workers != nil {
		return workers.capacity
	}
	return 0
}

// excessSums returns the cumulative sums that decide a vote: of slow outcomes in the whole fleet, then of errors and of
// late outcomes for each profile, then of both for all profiles.
func (s *Sentry) excessSums() []float64 {
	sums := []float64{s.fleetSlowExcess}
	for i := range s.profiles {
		sums = append(sums, s.profiles[i].trialExcess[:]...)
	}
	return append(sums, s.allProfiles.trialExcess[:]...)
}

// logVote logs a vote with the sums behind it, in the order of excessSums.
func (s *Sentry) logVote(verdict Verdict) {
	text := [...]string{Advance: "voting to advance", Hold: "voting to hold", RollBack: "voting to roll back"}[verdict]
	s.result.LogLines = append(s.result.LogLines, fmt.Sprintf(
		"%s build %d, stage %d: %d outcomes, relative load %.2f, excess sums %.1f (fleet, errors and late by profile and in total), complaints %.1f",
		text, s.release.Build, s.release.Stage, s.judgedOutcomes, s.relativeLoad(), s.excessSums(), s.wrongAnswerSum))
}

// countIndex returns where the outcomes of a kind are counted. The next index counts the misses among them. The last
// four indexes hold the outcomes of all workers, the slow ones of these, the sum of expected and actual arrivals of
// transactions, and the actual arrivals.
func countIndex(profileID ProfileID, kind missKind, ofTrial bool) int {
	return ((int(profileID)*int(missKinds)+int(kind))*2 + int(oneIf(ofTrial))) * 2
}

// removeTransaction forgets a closed transaction that has no open hand-off.
func (s *Sentry) removeTransaction(t *transaction) {
	if !t.hasOpenHandOff() {
		s.removeOpen(t)
	}
}

// workerStart returns when a worker started, or answered again after it had been down.
func (s *Sentry) workerStart(w int) Micros { return max(s.workers[w].Started, s.recoveredAt[w]) }

// missKind is the kind of a miss: an error, or an answer that came late or not at all.
type missKind int

const (
	errorMiss missKind = iota
	lateMiss
	missKinds // the number of kinds
)

// nextWake returns the earliest time still to come at which something is due, or 0.
func (s *Sentry) nextWake() (wakeAt Micros) {
	for len(s.wakeUps) > 0 && s.wakeUps[0].transaction.closed {
		s.wakeUps = s.wakeUps[1:]
	}
	next := []Micros{s.nextListRequestAt, s.nextVoteAt}
	if len(s.wakeUps) > 0 {
		next = append(next, s.wakeUps[0].at)
	}
	for _, at := range next {
		if at > s.now && (wakeAt == 0 || at < wakeAt) {
			wakeAt = at
		}
	}
	return wakeAt
}

// exposureCounters returns the indexes at which a transaction counts for exposure: for all, and for its profile.
func (t *transaction) exposureCounters() [2]int { return [2]int{0, 1 + int(t.Profile)} }

// countsLen returns the length of outcomeCounts.
func (s *Sentry) countsLen() int { return countIndex(ProfileID(len(s.profiles)), errorMiss, false) + 4 }

// usualDuration returns the usual duration of an answer of the earlier build, as the mean of all profiles.
func (s *Sentry) usualDuration() (mean float64) {
	for i := range s.profiles {
		mean += s.profiles[i].expectedDuration / float64(len(s.profiles))
	}
	return mean
}

// ownLoad returns this sentry's arrivals in arrivalWindow per unit of fleet capacity.
func (s *Sentry) ownLoad() float64 { return float64(len(s.arrivalTimes)) / max(s.fleetCapacity, 1e-9) }

// decodeCountIndex returns what is counted at an index of counts of the given length.
func decodeCountIndex(index, length int) (profileID ProfileID, kind missKind, ofTrial, ofFleet bool) {
	return ProfileID(index / 4 / int(missKinds)), missKind(index / 4 % int(missKinds)), index/2%2 == 1, index == length-4
}

// updateWorker takes over an entry of the list, and forgets what was known of a worker that has restarted.
func (s *Sentry) updateWorker(w int, listed Worker) {
	if listed.State == Gone {
		s.goneSince[w] = s.now
	}
	if old := s.workers[w]; old.Build != listed.Build || old.Started != listed.Started {
		for kind := range missKinds {
			s.totalTrialMisses[kind] -= s.trialMisses[kind][w]
			s.trialMisses[kind][w], s.ownMisses[kind][w] = 0, 0
		}
		s.otherLoad[w], s.latencyRatio[w], s.failureRate[w], s.groupOpen[w] = 0, 1, 0, 0
		s.ejectedUntil[w], s.recoveredAt[w], s.consecutiveFailures[w], s.lastAnswerAt[w] = 0, 0, 0, 0
		s.nonLoadFailureRate[w], s.answeredSentTimes[w] = 0, [laterAnswersIfLost]Micros{}
		s.workerLeases[w] = workerLease{}
	}
	s.workers[w] = listed
}

// resetTrial forgets what was counted in the last trial.
func (s *Sentry) resetTrial() {
	s.trialSlots, s.judgedOutcomes, s.fleetSlowExcess, s.rollBackDecided, s.totalTrialMisses =
		0, 0, 0, false, [missKinds]float64{}
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
	for kind := range missKinds {
		clear(s.trialMisses[kind])
		clear(s.ownMisses[kind])
	}
	s.outcomeCounts = make([]uint64, s.countsLen())
	s.reports, s.collectorVerdict, s.collectorVerdictAt = map[SentryID]report{}, NoVerdict, 0
}

// likelyConnected reports whether a connection to a worker is probably open.
func (s *Sentry) likelyConnected(w int) bool {
	return s.lastAnswerAt[w] > 0 && (s.config.IdleTimeout == 0 || s.now-s.lastAnswerAt[w] < s.config.IdleTimeout)
}

// isRetry reports whether a transaction comes again after it was given up, or was marked as a retry by its client. It
// uses up one of the key's transactions that were given up, if there is one.
func (s *Sentry) isRetry(t *transaction) bool {
	if s.now-s.givenUpRotatedAt > 4*s.maxDeadline { // what has not come again by then will not
		s.givenUp, s.olderGivenUp, s.givenUpRotatedAt = map[Key]int{}, s.givenUp, s.now
	}
	for _, counts := range []map[Key]int{s.givenUp, s.olderGivenUp} {
		if n := counts[t.Key]; n > 1 {
			counts[t.Key] = n - 1
			return true
		} else if n == 1 {
			delete(counts, t.Key)
			return true
		}
	}
	return t.IsRetry
}

// markAllGone marks every worker as gone, until a list names it.
func (s *Sentry) markAllGone() {
	for w := range s.workers {
		if s.workers[w].State != Gone {
			s.workers[w].State, s.goneSince[w] = Gone, s.now
		}
	}
}

// countOutcome counts one outcome at an index, and whether it was a miss.
func (s *Sentry) countOutcome(index int, missed bool) {
	s.outcomeCounts[index]++
	s.outcomeCounts[index+1] += uint64(oneIf(missed))
}

// runFilters passes a transaction through the filter chain, from the given filter on.
func (s *Sentry) runFilters(t *transaction, first int) {
	for _, f := range filterChain[first:] {
		if !f.onTransaction(s, t) {
			return
		}
	}
}

// TransactionArrived takes a new transaction.
func (s *Sentry) TransactionArrived(now Micros, in Transaction) Result {
	return s.handleEvent(now, func() {
		s.runFilters(&transaction{Transaction: in, arrivedAt: s.now}, 0)
	})
}

// HandOffEnded takes the end of one hand-off back through the filter chain.
func (s *Sentry) HandOffEnded(now Micros, end HandOffEnd) Result {
	return s.handleEvent(now, func() {
		t := s.openTransactions[end.Transaction]
		if t != nil && end.HandOffNumber >= 0 && end.HandOffNumber < len(t.handOffs) &&
			!t.handOffs[end.HandOffNumber].ended {
			h := &t.handOffs[end.HandOffNumber]
			h.end, h.timingInvalid = end, h.timingInvalid || h.sentAt < s.stalledAt
			t.closed = t.closed || end.TransactionClosed
			for i := len(filterChain) - 1; i >= 0; i-- {
				filterChain[i].onHandOffEnd(s, t, h)
			}
			s.runQueued()
		}
	})
}

// ClientLeft ends what is owed for a transaction: its client has gone, or its answer has begun to stream.
func (s *Sentry) ClientLeft(now Micros, id TransactionID) Result {
	return s.handleEvent(now, func() {
		if t := s.openTransactions[id]; t != nil {
			s.givenUp[t.Key] += int(oneIf(!t.closed))
			if t.closed = true; t.profile.Streamed { // an answer that has begun to stream goes on
				s.removeTransaction(t)
			} else {
				s.cancelOpenHandOffs(t)
			}
		}
	})
}

// mergeReport judges what another sentry has counted since its last report.
func (s *Sentry) mergeReport(from SentryID, next report) {
	previous, consistent := s.reports[from].previousFor(next)
	if !consistent {
		return
	}
	s.reports[from] = next
	// The mean weight of the new misses applies to all misses of their kind.
	weights, newMisses := [missKinds]float64{1, 1}, s.missesSince(previous, next)
	for _, m := range newMisses {
		weights[m.kind] += (s.missWeight(m.worker, m.kind, true) - 1) / m.newOfKind
	}
	for i := 0; i < len(next.counts); i += 2 {
		outcomes, misses := float64(next.counts[i]-previous.counts[i]), float64(next.counts[i+1]-previous.counts[i+1])
		if profileID, kind, ofTrial, ofFleet := decodeCountIndex(i, len(next.counts)); i == len(next.counts)-2 {
			s.arrivalMeter.addAndWeigh(s.now, misses)
			s.baselineArrivalMeter.addAndWeigh(s.now, outcomes-misses)
		} else if outcomes > 0 && ofFleet && s.cooperates() {
			// Where sentries are few, each sees the fleet's slowness by itself, and sooner.
			s.addFleetOutcomes(outcomes, misses)
		} else if outcomes > 0 && !ofFleet {
			s.judgeOutcomes(profileID, kind, ofTrial, outcomes, misses*(1-oneIf(ofTrial)*(1-weights[kind])))
		}
	}
}

// filter is one step in the handling of a transaction. onTransaction reports whether the transaction passes on to the
// next filter; otherwise the filter has kept or ended it. onHandOffEnd sees each ended hand-off on its way back.
type filter struct {
	onTransaction func(*Sentry, *transaction) bool
	onHandOffEnd  func(*Sentry, *transaction, *handOff)
}

// ListReceived takes a list of workers, full or with changes only.
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
		for _, listed := range list {
			listed.Size = max(listed.Size, 1e-3)
			w, known := s.workerIndex[listed.ID]
			if !known {
				w = s.addWorker(listed, s.drawRank(listed))
			}
			s.updateWorker(w, listed)
		}
		s.refreshBuilds()
	})
}

// warmUpProgress returns the share of its warm-up that a worker had completed by the given time, from 0 to 1.
func (s *Sentry) warmUpProgress(w int, at Micros) float64 {
	start := s.workerStart(w)
	if start <= 0 || s.config.WarmUp <= 0 {
		return 1
	}
	return min(1, max(0, float64(at-start)/float64(s.config.WarmUp)))
}

// warmUpCapacity returns the share of its full capacity that a worker had at least at the given time.
func (s *Sentry) warmUpCapacity(w int, at Micros) float64 {
	return s.config.ColdCapacity + (1-s.config.ColdCapacity)*s.warmUpProgress(w, at)
}

// buildWarmUpCapacity returns the same for a build: the mean of its ready workers that ran then, weighted by size.
func (s *Sentry) buildWarmUpCapacity(build BuildID, at Micros) float64 {
	capacity, size := 0.0, 0.0
	for _, w := range s.workerOrder {
		if worker := &s.workers[w]; worker.Build == build && worker.State == Ready && s.workerStart(w) < at {
			capacity, size = capacity+worker.Size*s.warmUpCapacity(w, at), size+worker.Size
		}
	}
	return capacity / max(size, 1e-9)
}

// rerankWorkers sorts the workers again after the groups have changed.
func (s *Sentry) rerankWorkers() {
	for w := range s.rank {
		s.rank[w] = math.Mod(s.rank[w], otherGroupRank) + otherGroupRank*oneIf(!s.inOwnGroup(s.workers[w].ID))
	}
	slices.SortFunc(s.workerOrder, func(a, b int) int { return cmp.Compare(s.rank[a], s.rank[b]) })
}

// ownReport returns the values of a report to the collectors: all counts since the trial began, and the misses of
// some workers.
func (s *Sentry) ownReport(maxWorkers int) []uint64 {
	if s.baselineArrivalRate > 0 {
		expected := uint64(s.baselineArrivalRate * float64(s.now-s.baselineAt))
		s.outcomeCounts[len(s.outcomeCounts)-2], s.outcomeCounts[len(s.outcomeCounts)-1] =
			expected+s.newArrivals, s.newArrivals
	}
	values := append([]uint64{uint64(s.release.Build), s.runID, uint64(len(s.outcomeCounts))}, s.outcomeCounts...)
	return s.appendMisses(values, maxWorkers)
}

// ejectedCount returns how many ready workers are ejected.
func (s *Sentry) ejectedCount() (count int) {
	for w := range s.workers {
		count += int(oneIf(s.ejectedUntil[w] > s.now && s.workers[w].State == Ready))
	}
	return count
}

// trialShare returns the share of traffic that goes to the trial: by the slots, or by what went there in the last
// second if that is more, for instance when a hot key falls to the trial.
func (s *Sentry) trialShare() float64 {
	from := s.now - second
	return max(float64(s.trialSlots)/100,
		float64(countAfter(s.exposedTimes[0], from))/float64(max(1, countAfter(s.takenTimes[0], from))))
}

// refreshReadyWorkers updates the ready workers of each build: after a change of the list, and each quarter second
// because of cold and ejected workers. Ejected workers come last.
func (s *Sentry) refreshReadyWorkers() {
	for build, workers := range s.buildWorkers {
		if len(workers.ready) == 0 {
			delete(s.buildWorkers, build)
		}
		workers.ready, workers.capacity, workers.warmCapacity, workers.youngestStart, workers.groupWorkers =
			workers.ready[:0], 0, 0, 0, 0
	}
	s.fleetCapacity = 0
	for _, ejected := range []bool{false, true} {
		for _, w := range s.workerOrder {
			worker := &s.workers[w]
			if worker.State != Ready || s.ejectedUntil[w] > s.now != ejected {
				continue
			}
			workers := s.buildWorkers[worker.Build]
			if workers == nil {
				workers = &buildWorkers{subsetSize: initialSubsetSize}
				s.buildWorkers[worker.Build] = workers
			}
			workers.ready = append(workers.ready, w)
			workers.youngestStart = max(workers.youngestStart, worker.Started)
			workers.groupWorkers += int(oneIf(!ejected && s.rank[w] < otherGroupRank))
			if s.consecutiveFailures[w] == 0 {
				workers.capacity += worker.Size * s.warmUpCapacity(w, s.now)
				workers.warmCapacity += worker.Size * s.warmUpProgress(w, s.now)
				s.fleetCapacity += worker.Size * s.warmUpCapacity(w, s.now)
			}
		}
	}
}
