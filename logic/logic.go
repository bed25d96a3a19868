// Package logic makes every decision of a sentry, which passes transactions from clients on to workers: which build
// and worker a transaction goes to, what happens when a hand-off fails, and how the sentry votes on the build on
// trial. It does no I/O and reads no clock.
//
// To use it, make one Sentry with New, from a Config and a seed. Then make one call for each event
// (TransactionArrived, HandOffEnded, ListReceived, ReleaseUpdated, ...), each with the caller's time. Each call
// returns a Result. Carry out its Actions in order, and call Wake at its WakeAt. A Sentry shares no state with other
// instances.
//
// A transaction passes through a chain of four filters: admit, assignBuild, pickWorker and handOff. The end of each
// hand-off passes back through the chain in reverse order: recordHandOffEnd, recordWorkerOutcome, recordBuildOutcome
// and closeOrRetry.
//
// The mechanisms are usual ones of load balancing and release control:
//
//   - an adaptive concurrency limit with additive increase and decrease (adjustConcurrencyLimit);
//   - a retry budget for retries and hedges (closeOrRetry, Wake);
//   - subsetting, and the least loaded of a few sampled workers (chooseWorker, leastLoaded);
//   - outlier ejection (recordWorkerOutcome, ejectOverdue) and slow start of cold workers (atColdLimit);
//   - an exposure bound over a sliding window for the build on trial (withinExposureBound);
//   - cumulative sums of failed and late hand-offs beyond the earlier build's rates, which decide the votes
//     (judgeOutcomes, judgeFleetLatency, decideVerdict).
//
// The types of inputs and outputs are in port.go, a sentry's state and its helpers in state.go, the decisions in
// logic.go, the queue of transactions that no worker can take in queue.go, the keys at the build on trial in trial_keys.go,
// what must hold when a hand-off is written late in send.go, the rules on stale worker lists in lease.go,
// and the schedule of a planned stop in drain.go.
package logic

import (
	"cmp"
	"crypto/md5"
	"encoding/binary"
	"math"
	"slices"
	"strconv"
)

const (
	second = Micros(1_000_000)

	// Limits that the DESIGN page (DESIGN-scalechute.md) gives.
	rollBackExcess   = 4.0 // a higher excess sum leads to a vote to roll back
	maxAdvanceExcess = 2.0 // a lower excess sum allows a vote to advance
	minSampleSize    = 20  // outcomes to judge before a vote to advance
	// Durations of younger workers are not judged. A vote to advance comes no sooner than this after the stage began
	// and the trial's youngest worker started.
	settleTime = 3 * second
	// At the earliest this long after both, a vote to advance needs no minimum of outcomes. isJudging holds for twice
	// this time after a change of phase.
	observationTime = 5 * second
	initialMissRate = 0.05 // assumed until outcomes have been seen

	// Limits, weights and smoothing factors that the DESIGN page leaves open. A smoothing factor is the weight of a new
	// value in an exponentially weighted moving average.

	// For a released build, the limit for a vote to roll back is higher by this share: it has passed its trial, and
	// rolling it back affects all traffic.
	releasedLimitIncrease = 0.5
	// Before the last vote to advance, the trial carries all traffic for the warm-up time divided by this.
	lastStageWarmUpDivisor = 2
	refusedShareSmoothing  = 0.1 // also the refusedShare above which all candidates are compared
	// The load score of a worker that needs a new connection is multiplied by 1 + this x refusedShare.
	newConnectionPenalty    = 20.0
	zoneLatencySmoothing    = 0.25
	maxZoneLatencyRatio     = 10.0 // also counts for a connection that could not be opened in time
	toleratedZoneRatio      = 2.0  // zone latency relative to the own zone's, up to which it counts as chance
	trialShareFactor        = 1.2  // the trial's share of traffic, relative to its share of the fleet's capacity
	overloadLateRate        = 0.2  // from this late rate of the earlier build on, lateness only shows load
	fleetSlowFactor         = 1.6  // a hand-off this many baseline latency thresholds long is slow for the fleet
	toleratedFleetSlowShare = 0.2  // share of slow hand-offs in the fleet that is tolerated
	fleetSlowLatencyRatio   = 1.2  // lower-quartile latency ratio above which the whole fleet counts as slow
	fullWeightPerSecond     = 20.0 // outcomes in a second up to which each counts in full
	slowdownPerLoad         = 2.5  // slowdown per unit of load above the baseline that is no fault of a build
	toleratedErrorShare     = 0.01 // tolerated beyond the earlier build's error rate
	errorWeight             = 1.5  // three errors close together reach rollBackExcess
	manyTrialWorkers        = 8.0  // with more trial workers than this, a miss of a single one weighs less
	aboveThresholdShare     = 0.2  // share of the earlier build's answers that take longer than latencyThreshold
	lateFactor              = 2.5  // a hand-off this many latency thresholds long counts as late
	toleratedLateShare      = 0.2  // tolerated beyond twice the earlier build's late rate
	lateWeight              = 0.6  // durations are noisy: seven late hand-offs close together reach rollBackExcess
	rateSmoothing           = 0.02
	latencyRatioSmoothing   = 0.12
	failureRateSmoothing    = 0.25
	otherLoadSmoothing      = 0.4
	downAfterFailures       = 3 // failures to reach a worker, seconds apart, after which it counts as having been down
	// Also the refusedShare above which an open connection matters more than load.
	ejectFailureRate      = 0.5
	nonLoadFailureWeight  = 6.0        // weight, in the load score, of the rate of failures that no load explains
	loadTTL               = 3 * second // how long a worker's reported load counts
	slowTTLTransactions   = 20.0       // a slow worker is remembered for at least this many transactions
	toleratedLatencyRatio = 1.5        // latency ratio up to which a worker's slowness counts as chance
	initialSubsetSize     = 2
	// The random rank of a worker in another zone is higher by this share, so that it joins the subset later.
	otherZoneRankPenalty = 1.0
	// Random candidates to compare for a hand-off, scaled with the candidates per sentry. With more, all sentries
	// would send to the same worker after the same load report.
	sampledWorkers     = 4
	fewEjectedDivisor  = 4   // few workers are ejected if fewer than one ready worker in this many is
	laterAnswersIfLost = 4   // a hand-off counts as lost after this many later ones were answered first
	idleLoad           = 0.5 // up to this load workers count as equal, and chance decides
	// Hand-offs per second, and per unit of ColdLoadMultiple, that all sentries together may send to a cold worker
	// beyond its share. They matter where sentries are few.
	freeColdHandOffs   = 0.375
	usualLoadSmoothing = 0.02 // applied each quarter second
	coldLoadShare      = 0.5  // share of ColdLoadMultiple that a cold worker may get
)

// applyConfig takes over a configuration. The statistics of a profile are found by its index, and are kept.
func (s *Sentry) applyConfig(config Config) {
	config.Sentries = max(1, config.Sentries)
	s.config, s.maxDueTime = config, 0
	for i, profile := range config.Profiles {
		if dueTime := float64(profile.DueTime); i >= len(s.profiles) {
			s.profiles = append(s.profiles, profileStats{
				expectedDuration: dueTime / 6, latencyThreshold: dueTime / 4,
				earlierMissRate: [missKinds]float64{initialMissRate, initialMissRate}})
			s.takenTimes, s.exposedTimes = append(s.takenTimes, nil), append(s.exposedTimes, nil)
		}
		s.profiles[i].Profile = &profile
		s.maxDueTime, s.maxDeadline = max(s.maxDueTime, profile.DueTime), max(s.maxDeadline, profile.MaxDeadline)
	}
	s.arrivalWindow = max(config.ExposureWindow, config.ColdLoadWindow, second)
	s.maxRuleWindow = max(s.maxRuleWindow, s.arrivalWindow)
}

// Reconfigure takes over another configuration while transactions are open and a build is on trial. Open transactions
// keep their profile, and what the rules count is kept. The former exposure bound stays in force beside the new one
// until its window has passed.
func (s *Sentry) Reconfigure(now Micros, config Config) Result {
	return s.handleEvent(now, func() {
		oldConfig, oldWindow := s.config, float64(s.arrivalWindow)
		oldBound := exposureBound{oldConfig.FreeExposure, oldConfig.ExposureWindow, oldConfig.ExposureByProfile, 0}
		s.formerBounds = slices.DeleteFunc(s.formerBounds, func(bound exposureBound) bool {
			return bound.until <= s.now || exposureBound{bound.free, bound.window, bound.byProfile, 0} == oldBound
		})
		oldBound.until = s.now + oldConfig.ExposureWindow + 4*oldConfig.TimerGranularity
		s.formerBounds = append(s.formerBounds, oldBound)
		s.applyConfig(config)
		s.usualLoad, s.baselineLoad =
			s.usualLoad*float64(s.arrivalWindow)/oldWindow, s.baselineLoad*float64(s.arrivalWindow)/oldWindow
		// The counts have another layout, so they start anew under another run ID.
		if len(s.outcomeCounts) != s.countsLen() {
			s.outcomeCounts, s.runID = make([]uint64, s.countsLen()), (s.runID+1)%math.MaxUint32
		}
		s.rerankWorkers()
		s.refreshBuilds()
	})
}

// handleEvent handles one event: it advances the sentry's time, applies the event, requests the list and updates the
// vote when these are due, and returns the result.
func (s *Sentry) handleEvent(now Micros, apply func()) Result {
	if s.firstCallAt > 0 && now > s.now+second { // the process was stalled: calls come more often otherwise
		s.stalledAt = now
	}
	s.now, s.result = max(s.now, now), Result{}
	s.firstCallAt = cmp.Or(s.firstCallAt, s.now)
	apply()
	if s.config.ListOnRequest && s.now >= s.nextListRequestAt { // keeps the subscription alive
		s.result.WatchList, s.nextListRequestAt = true, s.now+max(second, s.config.MaxListAge/2)
	}
	s.updateVote()
	s.result.WakeAt = s.nextWake()
	return s.result
}

// filterChain lists the filters in the order in which a transaction passes through them.
var filterChain []filter

func init() {
	filterChain = []filter{
		{(*Sentry).admit, (*Sentry).closeOrRetry},
		{(*Sentry).assignBuild, (*Sentry).recordBuildOutcome},
		{(*Sentry).pickWorker, (*Sentry).recordWorkerOutcome},
		{(*Sentry).handOff, (*Sentry).recordHandOffEnd},
	}
}

// Wake handles the wake-ups that are due.
func (s *Sentry) Wake(now Micros) Result {
	return s.handleEvent(now, func() {
		for len(s.wakeUps) > 0 && s.wakeUps[0].at <= s.now {
			t := s.wakeUps[0].transaction
			s.wakeUps = s.wakeUps[1:]
			switch {
			case t.closed:
			case t.queued:
				s.runQueued()
			case s.retryBudget < 1:
			case !s.config.MayHedge:
				s.cancelIfLost(t)
			case len(t.handOffs) == 1 && s.mayRetry(t): // takes suspiciously long: hedge
				s.retryBudget--
				s.runFilters(t, 1)
			}
		}
	})
}

// admit takes in a new transaction. It passes the transaction on if the concurrency limit allows, and otherwise queues
// it or gives it up.
func (s *Sentry) admit(t *transaction) bool {
	t.slot = s.random.Intn(100)
	s.arrivalTimes = dropUpTo(append(s.arrivalTimes, s.now), s.now-s.arrivalWindow)
	s.newArrivals += uint64(oneIf(!s.isRetry(t))) // a retry adds no load
	t.profile = s.profiles[t.Profile].Profile
	for _, c := range t.exposureCounters() {
		s.takenTimes[c] = dropUpTo(append(s.takenTimes[c], s.now), s.now-s.maxRuleWindow)
	}
	s.retryBudget = min(s.retryBudget+retryBudgetShare, maxRetryBudget)
	s.addOpen(t)
	return s.underConcurrencyLimit(t) || s.queueOrGiveUp(t)
}

// underConcurrencyLimit reports whether one more transaction may have an open hand-off. A retry, or a transaction
// with a deadline before its due time, must leave half of the limit free, since the clients that send these would
// leave nothing to others. Other transactions may exceed the limit if a worker of the sentry's group is idle. None may
// exceed what the caller can have open: it would wait for a connection to its worker while others are free.
func (s *Sentry) underConcurrencyLimit(t *transaction) bool {
	if s.config.MaxOpenHandOffs > 0 && s.openHandOffs >= s.config.MaxOpenHandOffs {
		return false
	}
	lowPriority := t.IsRetry || t.Deadline-t.arrivedAt < t.profile.DueTime
	if fits := s.openForLimit(t, lowPriority) <
		s.concurrencyLimit*(1-retryReservedShare*oneIf(lowPriority)); fits || lowPriority || !s.inGroup() {
		return fits
	}
	workers := s.buildWorkers[s.earlierBuild]
	idle := func(w int) bool { return !s.isOccupied(w) && s.groupOpenNow(w) < maxIdleGroupOpen }
	return slices.ContainsFunc(workers.ready[:workers.groupWorkers], idle)
}

// openForLimit returns how many open hand-offs the concurrency limit is compared with: those of all clients, or for the
// first hand-off of a client, one for each client. A client with many transactions at once thus delays its own.
func (s *Sentry) openForLimit(t *transaction, lowPriority bool) float64 {
	open := s.openHandOffs - s.lostHandOffs
	if t.Client != NoClient && s.openByClient[t.Client] == 0 && !lowPriority {
		open = min(open, len(s.openByClient))
	}
	return float64(open)
}

const (
	retryBudgetShare = 0.05 // retries and hedges allowed per transaction taken
	maxRetryBudget   = 10

	// Open hand-offs per ready worker in the limit at the start. The limit's lower bound is this times the sentry's part
	// of the workers, or times the hand-offs that its usual traffic has open if these are more.
	minConcurrencyPerWorker = 2.0
	// Open hand-offs per ready worker: the upper bound of the limit.
	maxConcurrencyPerWorker = 8.0
	// The limit may be exceeded while the other sentries of the group have fewer open hand-offs than this at a worker.
	maxIdleGroupOpen   = 1.0
	retryReservedShare = 0.5 // share of the limit that retries leave free
	// Lower bound, in open hand-offs, of the limit that follows from a sentry's own traffic.
	minOwnTrafficLimit = 9.0
	// Change of the limit for each answer in time while most of the limit is used, and for each sign of overload.
	concurrencyIncrease, concurrencyDecrease = 0.1, 1.0
)

// adjustConcurrencyLimit adapts the limit on open hand-offs to how answers come: it rises with answers in time and
// falls with signs of overload. The limit is also bounded by the number of transactions that this sentry receives in the
// longest due time: hundreds of sentries that each send a little too much congest the fleet before any of them has seen
// late answers. The limit guards against overload of any cause. It can do harm where failures are quick, hence its lower
// bound.
func (s *Sentry) adjustConcurrencyLimit(stats *profileStats, w int, end HandOffEnd) {
	// Lists arrive before the release status that explains them, so either build may be gone from the list already.
	readyWorkers := float64(max(1, s.readyCount(s.earlierBuild), s.readyCount(s.release.Build)))
	switch {
	case s.consecutiveFailures[w] > 0 || s.failureRate[w] > ejectFailureRate || s.zoneSlowdown(s.workers[w].Zone) > 1:
		// The worker or its zone explains the outcome, not the load.
	case end.Ending == TimedOut && (end.Duration < stats.DueTime || s.answerLost(w, s.now-end.Duration)):
		// The client's deadline was early, or the answer was lost.
	case end.Ending == TurnedAway || end.Ending == TimedOut || end.Ending == Answered && end.Duration > stats.DueTime:
		s.concurrencyLimit -= min(concurrencyDecrease, s.concurrencyLimit/4)
	case end.Ending == Answered && float64(s.openHandOffs) >= 0.7*s.concurrencyLimit:
		s.concurrencyLimit += concurrencyIncrease * max(1, 4/s.concurrencyLimit)
	}
	observed := min(s.arrivalWindow, max(second, s.now-s.firstCallAt))
	ownTrafficLimit := max(minOwnTrafficLimit, float64(s.maxDueTime)*float64(len(s.arrivalTimes))/float64(observed))
	// Hand-offs that this sentry's usual traffic has open at a time without congestion.
	usualOpen := s.usualLoad * s.fleetCapacity / float64(s.arrivalWindow) * min(s.usualDuration(), float64(s.maxDueTime)/8)
	s.concurrencyLimit = min(
		max(s.concurrencyLimit, minConcurrencyPerWorker*max(readyWorkers/float64(s.config.Sentries), usualOpen), 1),
		maxConcurrencyPerWorker*readyWorkers, ownTrafficLimit)
}

// assignBuild chooses the build. A transaction goes to the trial if its slot, by the two-build hash of its key or at
// random without a key, is one of the trial's and the exposure bound allows it. A transaction whose last hand-off went
// to the trial does not go there again, and in guarded stages only idempotent transactions do. With ForwardOnly, a key
// that the trial has or may have answered stays there (see keyState). All others go to the earlier build, which
// pickWorker uses where no worker is chosen here.
func (s *Sentry) assignBuild(t *transaction) bool {
	trial, onTrial := s.trialBuild()
	t.worker = -1
	if !onTrial {
		return true
	}
	if t.Key != "" {
		t.slot = hashSlot(t.Key, s.earlierBuild, trial)
	}
	state := s.keyStateOf(t, nil)
	keyOnTrial := state != keyUnknown
	lastOnTrial := len(t.handOffs) > 0 && t.handOffs[len(t.handOffs)-1].build == trial
	guarded := s.release.Stage < s.config.GuardedStages && t.profile.Repeatability != Idempotent
	mayUseTrial := !guarded && (keyOnTrial || t.slot < s.trialSlots && !lastOnTrial)
	if mayUseTrial && s.withinExposureBound(t, keyOnTrial) {
		t.worker = s.chooseWorker(t, trial)
	}
	switch {
	case t.worker >= 0 || !keyOnTrial:
		return true
	case t.hasOpenHandOff(): // the hedge is dropped
		return false
	case state == keyInFlight:
		return s.queueOrGiveUp(t)
	}
	return s.giveUp(t)
}

// giveUp answers a transaction at once: it is deferred if a retry by the client is harmless, and written off
// otherwise.
func (s *Sentry) giveUp(t *transaction) bool {
	profile := t.profile
	action, retryAfter := Action{Kind: WriteOff, Transaction: t.ID}, Micros(0)
	if s.config.MayNameRetryAfter {
		retryAfter = min(profile.DueTime/2, s.config.MaxRetryAfter)
	}
	if s.clientMayRetry(t, s.now+retryAfter) {
		action.Kind, action.RetryAfter = Defer, retryAfter
	}
	s.result.Actions = append(s.result.Actions, action)
	s.givenUp[t.Key]++
	// Under the concurrency limit, slowness of the fleet shows in transactions that no worker gets.
	if len(t.handOffs) == 0 && s.release.Phase == OnTrial && !s.platformCountsAreCurrent() {
		s.judgeFleetLatency(&s.profiles[t.Profile], float64(profile.MaxDeadline))
	}
	t.closed = true
	s.removeTransaction(t)
	return false
}

// clientMayRetry reports whether it is harmless that a client sends a transaction again at a time, whichever worker gets
// it then.
func (s *Sentry) clientMayRetry(t *transaction, at Micros) bool {
	if !slices.ContainsFunc(t.handOffs, func(h handOff) bool { return h.mayHaveRun }) {
		return true
	}
	switch t.profile.Repeatability {
	case Idempotent:
		return true
	case Deduplicated:
		return t.profile.DedupScope == ScopeAll && at < t.dedupUntil(s.config.TimerGranularity)
	}
	return false
}

// pickWorker chooses a worker of the earlier build unless assignBuild has chosen one of the trial.
func (s *Sentry) pickWorker(t *transaction) bool {
	if t.worker < 0 {
		t.worker = s.chooseWorker(t, s.earlierBuild)
	}
	return t.worker >= 0 || s.queueOrGiveUp(t)
}

// chooseWorker returns the least loaded worker of the subset, or -1. The subset is the first ready workers in this
// sentry's own order, at least those of its group. Whenever all its workers are busy, it grows by one, and an eligible
// worker from there on is returned. The orders are drawn at random, weighted by worker size, so that hundreds of
// sentries with little traffic spread over the fleet. Subsetting can do harm where the subset happens to be shared with
// busy sentries and no load report shows that.
func (s *Sentry) chooseWorker(t *transaction, build BuildID) int {
	workers := s.buildWorkers[build]
	if workers == nil {
		return -1
	}
	best := s.leastLoaded(
		workers.ready[:min(max(workers.subsetSize, workers.groupWorkers), len(workers.ready))], t, build)
	groupHasCapacity := workers.groupWorkers >= minGroupWorkers && best >= 0 &&
		s.loadScore(best) < maxGroupWorkerLoad/s.workers[best].Size
	// Where most new connections are refused, a busy worker with an open connection is good enough.
	subsetHasCapacity := best >= 0 && (!s.isOccupied(best) || s.likelyConnected(best) && s.refusedShare > ejectFailureRate)
	if groupHasCapacity || subsetHasCapacity || workers.subsetSize >= len(workers.ready) {
		return best
	}
	workers.subsetSize++
	for _, w := range workers.ready[workers.subsetSize-1:] {
		if s.isEligible(w, build, t) {
			return w
		}
	}
	return best
}

// leastLoaded returns the eligible candidate with the lowest load score, or -1. It compares a random sample if the
// candidates are many.
func (s *Sentry) leastLoaded(candidates []int, t *transaction, build BuildID) int {
	best, lowest := -1, 0.0
	samples := max(sampledWorkers, sampledWorkers*len(candidates)/s.config.Sentries)
	// Few candidates may be usable, or the load of all is known from the group: compare all.
	if s.refusedShare > refusedShareSmoothing || s.maxZoneSlowdown > 1 || s.inGroup() {
		samples = len(candidates)
	}
	for i, w := range candidates {
		if samples < len(candidates) {
			w = candidates[s.random.Intn(len(candidates))]
		}
		if i >= samples && best >= 0 {
			break
		}
		if !s.isEligible(w, build, t) {
			continue
		}
		load := s.loadScore(w) * (1 + nonLoadFailureWeight*s.nonLoadFailureRate[w]*s.slowRecency(w))
		// The last allowed hand-off prefers a worker that does not fail.
		if len(t.handOffs)+1 >= s.config.MaxHandOffs {
			load *= 1 + 20*s.nonLoadFailureRate[w]
		}
		if best < 0 || load < lowest {
			best, lowest = w, load
		}
	}
	return best
}

// isOccupied reports whether a worker of the subset has as much work as it should get.
func (s *Sentry) isOccupied(w int) bool {
	slow := s.slowRecency(w)*s.latencyRatio[w] > toleratedLatencyRatio
	return slow || s.openByWorker[w] > 0 || s.ejectedUntil[w] > s.now || s.recency(w)*s.otherLoad[w] > s.usualWorkerLoad
}

// recency returns how much of what is known of a worker's load still counts, from 1 down to 0. It falls with time, so
// that a worker that was full once is tried again.
func (s *Sentry) recency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/float64(loadTTL)) }

// recordZoneLatency tracks how long answers take by zone. The network to a zone may be slow or lose messages although
// each of its workers is used too rarely to show it.
func (s *Sentry) recordZoneLatency(w int, stats *profileStats, h *handOff) {
	zone, ratio := s.workers[w].Zone, float64(h.end.Duration)/stats.expectedDuration
	switch {
	case h.end.Ending == Unconnected && !s.failedFast(h):
		ratio = maxZoneLatencyRatio
	case h.end.Ending != Answered && h.end.Ending != TimedOut:
		return
	}
	for len(s.zoneLatencyRatio) <= int(zone) {
		s.zoneLatencyRatio, s.zoneUpdatedAt = append(s.zoneLatencyRatio, 1), append(s.zoneUpdatedAt, 0)
	}
	s.zoneLatencyRatio[zone] += zoneLatencySmoothing * (min(maxZoneLatencyRatio, ratio) - s.zoneLatencyRatio[zone])
	s.zoneUpdatedAt[zone], s.maxZoneSlowdown = s.now, 1
	for zone := range s.zoneLatencyRatio {
		s.maxZoneSlowdown = max(s.maxZoneSlowdown, s.zoneSlowdown(ZoneID(zone)))
	}
}

// zoneSlowdown returns how much slower a zone is than the own zone, beyond chance. It is at least 1.
func (s *Sentry) zoneSlowdown(zone ZoneID) float64 {
	ownZone := s.config.Zone
	if zone == ownZone || int(zone) >= len(s.zoneLatencyRatio) || int(ownZone) >= len(s.zoneLatencyRatio) {
		return 1
	}
	recency := max(0, 1-float64(s.now-s.zoneUpdatedAt[zone])/s.slowTTL())
	return 1 + recency*max(0, s.zoneLatencyRatio[zone]/max(1, s.zoneLatencyRatio[ownZone])/toleratedZoneRatio-1)
}

// slowRecency returns how much of what is known of a worker's latency still counts, from 1 down to 0.
func (s *Sentry) slowRecency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/s.slowTTL()) }

// slowTTL returns how long a slow worker is remembered, in microseconds: longer for a sentry with little traffic.
func (s *Sentry) slowTTL() float64 {
	return max(float64(loadTTL), slowTTLTransactions*float64(s.arrivalWindow)/float64(1+len(s.arrivalTimes)))
}

// loadScore returns a worker's load relative to its size. The worker with the lowest score is chosen. Among workers
// with next to no load, chance decides, weighted by size.
func (s *Sentry) loadScore(w int) float64 {
	recency, capacity := s.recency(w), s.workers[w].Size*s.warmUpCapacity(w, s.now)
	load := float64(s.openByWorker[w]) + max(recency*s.otherLoad[w], s.groupOpenNow(w))
	if load < idleLoad {
		load = idleLoad * (s.random.ExpFloat64() - 1)
	}
	load = (load + 1) / capacity
	slowdown := 1 + s.slowRecency(w)*max(0, s.latencyRatio[w]/toleratedLatencyRatio-1)
	load *= math.Pow(slowdown, 1+oneIf(s.usualWorkerLoad == 0)) // where no load is reported, latency stands in for it
	if zone := s.workers[w].Zone; zone != s.config.Zone {
		load *= (1 + 8*s.config.CrossZonePrice) * math.Pow(s.zoneSlowdown(zone), 2)
	}
	if !s.likelyConnected(w) {
		load *= 1 + newConnectionPenalty*s.refusedShare
	}
	if s.ejectedUntil[w] > s.now {
		load *= 100
	}
	return load
}

// isEligible reports whether a worker of the build may get this transaction now.
//
// It must be ready, have a lease, and not have reached its limit as a cold worker. A worker that had the transaction
// before gets it again only after that hand-off has ended and there were at least as many hand-offs as ready workers. If
// a deduplicated transaction may have run before, only workers in the same deduplication scope are eligible.
func (s *Sentry) isEligible(w int, build BuildID, t *transaction) bool {
	if s.workers[w].Build != build || s.workers[w].State != Ready || !s.hasLease(w) || s.atColdLimit(w) {
		return false
	}
	profile := t.profile
	for i := range t.handOffs {
		h := &t.handOffs[i]
		if h.worker == w && (!h.ended || len(t.handOffs) < s.readyCount(build)) {
			return false
		}
		if !h.mayHaveRun || profile.Repeatability != Deduplicated {
			continue
		}
		if !s.sharesDedupScope(profile, h.worker, w) {
			return false
		}
	}
	return true
}

// handOff sends the transaction to the chosen worker, and asks for the wake-up at which a late answer leads to a
// hedge or a cancellation.
func (s *Sentry) handOff(t *transaction) bool {
	w, profile := t.worker, t.profile
	sendBy := earliestLimit(s.sendBy(w), t.dedupUntil(s.config.TimerGranularity))
	h := handOff{worker: w, build: s.workers[w].Build, sentAt: s.now, writtenAt: s.now, mayHaveRun: true,
		newConnection: !s.likelyConnected(w)}
	h.timingInvalid = h.newConnection
	t.handOffs = append(t.handOffs, h)
	s.openByWorker[w]++
	s.openHandOffs++
	s.openByClient[t.Client]++
	s.coldHandOffs[w], s.handOffTimes = append(s.coldHandOffs[w], s.now), append(s.handOffTimes, s.now)
	if trial, onTrial := s.trialBuild(); onTrial && s.workers[w].Build == trial {
		for _, c := range t.exposureCounters() {
			s.exposedTimes[c] = dropUpTo(append(s.exposedTimes[c], s.now), s.now-s.maxRuleWindow-4*s.config.TimerGranularity)
		}
	}
	s.notifyGroup(w, messageHandOff)
	action := Action{Kind: HandOff, Transaction: t.ID, Worker: s.workers[w].ID, Deadline: t.Deadline,
		SendBy: sendBy}
	s.result.Actions = append(s.result.Actions, action)
	if config := &s.config; config.MayHedge && len(t.handOffs) == 1 ||
		!config.MayHedge && config.MayCancel && profile.Repeatability != NonIdempotent {
		s.wakeUp(s.now+profile.DueTime/2, t)
	}
	return false
}

// answerLost reports whether a worker has answered several hand-offs that were sent after the given time. The answer
// to a hand-off of that time, or its connection, is then lost, which shows nothing about load or health. One later
// answer is not enough, since a few hand-offs may overtake one that merely takes long. Load reports cannot show the loss
// either: they are snapshots that are older than the latest hand-offs.
func (s *Sentry) answerLost(w int, sentAt Micros) bool { return s.answeredSentTimes[w][0] > sentAt }

// dedupWindowRunsOut reports whether a hand-off of a deduplicated transaction is overdue, and half of the window is over in
// which the transaction may be sent again: its answer is too late already, and a retry still has time to find a connection.
// It guards against lost answers that show only when the connection breaks, after the window. It can do harm where many
// answers are overdue; the retry budget bounds that.
func (s *Sentry) dedupWindowRunsOut(t *transaction, h *handOff) bool {
	return t.profile.Repeatability == Deduplicated && s.now >= h.writtenAt+max(t.profile.DueTime, t.profile.DedupWindow/2)
}

// cancelIfLost cancels a hand-off that takes suspiciously long and seems lost, if the transaction may be sent again.
// It does harm if the hand-off merely takes very long: the transaction then runs twice.
func (s *Sentry) cancelIfLost(t *transaction) {
	number := len(t.handOffs) - 1
	switch h := &t.handOffs[number]; {
	case h.ended || !s.mayRetry(t):
	case s.answerLost(h.worker, h.sentAt) || s.dedupWindowRunsOut(t, h):
		s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: number})
	default:
		s.wakeUp(s.now+t.profile.DueTime/8, t)
	}
}

// mayRetry reports whether rule 2 (nothing runs twice that must not) and the limits on hand-offs allow one more. The
// caller makes sure that no other hand-off is open, or that hedging is allowed.
func (s *Sentry) mayRetry(t *transaction) bool {
	if len(t.handOffs) >= s.config.MaxHandOffs || t.Deadline-s.now < s.config.TimerGranularity {
		return false
	}
	mayHaveRun := slices.ContainsFunc(t.handOffs, func(h handOff) bool { return h.mayHaveRun })
	if t.profile.Repeatability == NonIdempotent && mayHaveRun {
		return false
	}
	dedupUntil := t.dedupUntil(s.config.TimerGranularity)
	return dedupUntil == 0 || s.now < dedupUntil
}

// dedupUntil returns until when workers certainly drop a repetition of a deduplicated transaction that may have run, 0 if
// no limit applies.
func (t *transaction) dedupUntil(granularity Micros) (until Micros) {
	if t.profile.Repeatability != Deduplicated {
		return 0
	}
	for i := range t.handOffs {
		if h := &t.handOffs[i]; h.mayHaveRun {
			until = earliestLimit(until, max(1, h.writtenAt+t.profile.DedupWindow-granularity))
		}
	}
	return until
}

// earliestLimit returns the earlier of two limits, of which 0 means none.
func earliestLimit(a, b Micros) Micros {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// recordHandOffEnd frees what the hand-off occupied, and updates the worker's lease and the concurrency limit.
func (s *Sentry) recordHandOffEnd(t *transaction, h *handOff) {
	h.ended = true
	h.mayHaveRun = h.end.Ending != TurnedAway && h.end.Ending != Unconnected && h.end.Ending != Unsent
	s.openByWorker[h.worker] = max(0, s.openByWorker[h.worker]-1)
	s.openHandOffs--
	if s.openByClient[t.Client]--; s.openByClient[t.Client] <= 0 {
		delete(s.openByClient, t.Client)
	}
	s.renewLease(h)
	s.notifyGroup(h.worker, messageHandOffEnded)
	s.adjustConcurrencyLimit(&s.profiles[t.Profile], h.worker, h.end)
}

// closeOrRetry closes the transaction or hands it off again. A retry costs retry budget unless the hand-off failed
// fast. After a hand-off that found no connection, a retry is made even if no budget is left.
func (s *Sentry) closeOrRetry(t *transaction, h *handOff) {
	if h.end.Ending == Unsent && len(t.handOffs) > 1 { // a retry or hedge that no worker got costs nothing
		s.retryBudget = min(s.retryBudget+1, maxRetryBudget)
	}
	switch {
	case t.closed:
		s.cancelOpenHandOffs(t)
	case t.hasOpenHandOff():
	case !s.mayRetry(t) || h.end.Ending != Unconnected && !s.failedFast(h) && s.retryBudget < 1:
		s.giveUp(t)
	default:
		s.retryBudget -= oneIf(!s.failedFast(h))
		s.runFilters(t, 1)
	}
}

// cancelOpenHandOffs cancels the hand-offs of a closed transaction: a hedge, or all if its client left.
func (s *Sentry) cancelOpenHandOffs(t *transaction) {
	for n := range t.handOffs {
		if !t.handOffs[n].ended && s.config.MayCancel {
			s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: n})
		}
	}
	s.removeTransaction(t)
}

// failedFast reports whether a hand-off was broken or refused at once, which costs next to nothing, or its answer was
// unreadable, which no load explains.
func (s *Sentry) failedFast(h *handOff) bool {
	ending, atOnce := h.end.Ending, h.end.Duration < s.config.ConnectTimeout/8
	return ending == Unreadable || atOnce && (ending == Broken || ending == Unconnected)
}

// atColdLimit reports whether a cold worker has got this sentry's part of what all sentries together may send it.
// That is half of ColdLoadMultiple times what a worker of its size and warm-up usually gets of this sentry's traffic. A
// random allowance stands in for fractions of a hand-off. The limit guards against bursts, retries and newly started
// fleets that hit a few workers, however many sentries there are.
func (s *Sentry) atColdLimit(w int) bool {
	capacity := s.warmUpCapacity(w, s.now)
	if capacity >= 1 {
		s.coldHandOffs[w] = nil
		return false
	}
	s.coldHandOffs[w] = dropUpTo(s.coldHandOffs[w], s.now-s.maxRuleWindow)
	if s.now >= s.randomAllowanceUntil[w] {
		s.randomAllowance[w], s.randomAllowanceUntil[w] = s.random.Float64(), s.now+s.config.ColdLoadWindow
	}
	fairShare := s.workers[w].Size * s.usualLoad * float64(s.config.ColdLoadWindow) / float64(s.arrivalWindow)
	// Other sentries use the workers outside the subset.
	if workers := s.buildWorkers[s.workers[w].Build]; workers != nil && workers.subsetSize < len(workers.ready) {
		fairShare *= float64(len(workers.ready)) / float64(workers.subsetSize)
	}
	freeHandOffs := freeColdHandOffs * s.config.ColdLoadMultiple * float64(s.config.ColdLoadWindow) / float64(second)
	allowance := min(2, s.randomAllowance[w]+freeHandOffs/float64(s.config.Sentries))
	sent := float64(countAfter(s.coldHandOffs[w], s.now-s.config.ColdLoadWindow))
	return sent+1 > allowance+coldLoadShare*s.config.ColdLoadMultiple*capacity*fairShare
}

// reportedInFlight returns how many transactions a worker has in flight by its report, or less than 0 if that is
// unknown. If the worker reports its throughput only, the number is throughput times duration, which holds as long as
// some share of its cores is busy.
func (s *Sentry) reportedInFlight(w int, h *handOff) float64 {
	load := h.end.Load
	if load.InFlight >= 0 || load.ServedPerSecond < 0 {
		return load.InFlight
	}
	return load.ServedPerSecond * s.latencyRatio[w] * s.usualDuration() / float64(second)
}

// recordWorkerOutcome updates what is known of the worker's load, latency and failures, and ejects it if it fails.
func (s *Sentry) recordWorkerOutcome(t *transaction, h *handOff) {
	w, stats := h.worker, &s.profiles[t.Profile]
	lost := h.end.Ending == TimedOut && s.answerLost(w, h.sentAt)
	smoothing := max(latencyRatioSmoothing, (1-s.recency(w))/2)
	s.seenAt[w] = s.now
	if inFlight := s.reportedInFlight(w, h); inFlight >= 0 {
		s.usualWorkerLoad += rateSmoothing * (inFlight - s.usualWorkerLoad)
		s.otherLoad[w] += otherLoadSmoothing * (max(0, inFlight-float64(s.openByWorker[w])) - s.otherLoad[w])
	}
	if lost || h.end.Ending == Cancelled || h.end.Ending == Unsent || h.end.Ending == Unreadable {
		return
	}
	if h.end.Ending != Answered {
		s.ownErrors += ownFailureSmoothing * (oneIf(h.end.Ending == Errored)*ownFailureWindow - s.ownErrors)
		s.ownFailures += ownFailureSmoothing * (ownFailureWindow - s.ownFailures)
	}
	// The client's deadline was early, which is not the worker's fault.
	earlyDeadline := h.end.Ending == TimedOut && h.end.Duration < stats.DueTime
	s.failureRate[w] += failureRateSmoothing * (oneIf(h.end.Ending != Answered && !earlyDeadline) - s.failureRate[w])
	overloaded := h.end.Ending == TurnedAway || h.end.Ending == TimedOut
	s.nonLoadFailureRate[w] += failureRateSmoothing *
		(oneIf(h.end.Ending != Answered && !overloaded) - s.nonLoadFailureRate[w])
	if h.end.Ending == Answered && !h.timingInvalid || h.end.Ending == TimedOut {
		ratio := min(10, float64(h.end.Duration)/stats.expectedDuration)
		s.latencyRatio[w] += smoothing * (ratio - s.latencyRatio[w])
	}
	if h.newConnection && (h.end.Ending == Answered || h.end.Ending == Unconnected) {
		s.refusedShare += refusedShareSmoothing * (oneIf(h.end.Ending == Unconnected) - s.refusedShare)
	}
	s.recordZoneLatency(w, stats, h)
	switch h.end.Ending {
	case Unconnected, Broken:
		// A worker that still answers some hand-offs is not down: only this sentry's connection to it is bad.
		if s.now >= s.ejectedUntil[w] && !(s.failedFast(h) && s.now-s.lastAnswerAt[w] < loadTTL) {
			// The ejection lasts longer after each failure, from 1 s up to 8 s.
			s.lastAnswerAt[w], s.consecutiveFailures[w] = 0, min(s.consecutiveFailures[w]+1, 4)
			s.ejectedUntil[w] = s.now + second/2<<s.consecutiveFailures[w]
		}
	case Answered:
		sentTimes := s.answeredSentTimes[w][:]
		sentTimes[0] = max(sentTimes[0], h.sentAt)
		slices.Sort(sentTimes)
		if s.consecutiveFailures[w] >= downAfterFailures {
			s.recoveredAt[w] = s.now
		}
		s.consecutiveFailures[w], s.ejectedUntil[w], s.lastAnswerAt[w] = 0, 0, s.now
	default:
		if s.failureRate[w] > ejectFailureRate {
			s.eject(w)
		}
	}
}

// eject ejects a worker for a second, or longer for a sentry with little traffic. The worker then comes last in the
// order, and is chosen only where no other worker will do.
func (s *Sentry) eject(w int) {
	s.ejectedUntil[w] = max(s.ejectedUntil[w], s.now+max(second, Micros(s.slowTTL()/4)))
}

// ejectOverdue ejects workers that take work and do not answer, which a time-out would show much later. It also
// counts lost hand-offs, which load no worker. Once many workers are ejected, a worker that has answered since the
// overdue hand-off was sent stays in use.
func (s *Sentry) ejectOverdue() {
	s.lostHandOffs = 0
	fewEjected := s.ejectedCount()*fewEjectedDivisor < s.readyCount(s.earlierBuild)
	for _, t := range s.openTransactions {
		for i := range t.handOffs {
			switch h := &t.handOffs[i]; {
			case h.ended || s.now < h.sentAt+t.profile.DueTime:
			case s.answerLost(h.worker, h.sentAt):
				s.lostHandOffs++
			case fewEjected || s.lastAnswerAt[h.worker] <= h.sentAt:
				s.eject(h.worker)
			}
		}
	}
}

// drawRank draws a worker's random rank in this sentry's order. Workers of the sentry's group come first. Large
// workers and those of the own zone tend to come early.
func (s *Sentry) drawRank(worker Worker) float64 {
	return s.random.ExpFloat64()/worker.Size*(1+otherZoneRankPenalty*oneIf(worker.Zone != s.config.Zone)) +
		otherGroupRank*oneIf(!s.inOwnGroup(worker.ID))
}

// ---- The build on trial ----

// ReleaseUpdated takes the release status from the platform, and the result of a vote.
func (s *Sentry) ReleaseUpdated(now Micros, status ReleaseStatus) Result {
	return s.handleEvent(now, func() {
		if status.VoteResult == VoteRefused || status.VoteResult == VoteTimedOut {
			s.lastVoteAt = 0
			s.nextVoteAt = s.now + second/4 + Micros(s.random.Int63n(int64(second)/2))
		}
		switch {
		case !status.Valid:
		case status.isOlderThan(s.release):
			if status.Build == s.release.Build { // the cap that was told last binds; all else of it is out of date
				s.release.Cap = min(s.release.Cap, status.Cap)
				s.refreshBuilds()
			}
		default:
			if status.Build != s.release.Build || !s.release.Valid {
				s.startTrial()
			}
			if status.Build != s.release.Build || status.Stage != s.release.Stage || status.Phase != s.release.Phase {
				s.statusSince = s.now - status.Age
			}
			if status.Phase != OnTrial { // rolling back or withdrawn; or released, and no earlier build is used
				s.rolledBack[status.Build] = status.Phase != Released
				clear(s.trialKeys)
			}
			s.release = status
			s.refreshBuilds()
		}
	})
}

// startTrial resets the counts of the last trial and records the load and latency before this one as its baseline.
func (s *Sentry) startTrial() {
	s.resetTrial()
	if len(s.arrivalTimes) >= minSampleSize {
		s.baselineLoad = s.ownLoad()
	}
	if s.baselineAt, s.baselineCapacity = s.now, s.fleetCapacity; s.now-s.firstCallAt > s.arrivalWindow {
		s.baselineArrivalRate = float64(len(s.arrivalTimes)) / float64(s.arrivalWindow)
	}
	for i := range s.profiles {
		if stats := &s.profiles[i]; stats.earlierOutcomes >= max(1, 10*minSampleSize/s.config.Sentries) {
			stats.baselineThreshold = stats.latencyThreshold
		}
	}
}

// refreshBuilds finds the earlier build, updates the trial's share and runs the queue, after a release status, a list or
// a new configuration.
func (s *Sentry) refreshBuilds() {
	s.refreshReadyWorkers()
	s.earlierBuild = s.findEarlierBuild()
	s.concurrencyLimit = cmp.Or(s.concurrencyLimit, minConcurrencyPerWorker*float64(s.readyCount(s.earlierBuild)))
	s.rampTrialSlots()
	s.runQueued()
}

// findEarlierBuild returns the newest build if it is released. Otherwise it returns, of the older builds that were not
// rolled back, the one whose ready workers have the most capacity, or -1 if there is none.
func (s *Sentry) findEarlierBuild() BuildID {
	if s.release.Valid && s.release.Phase == Released {
		return s.release.Build
	}
	best, maxCapacity := BuildID(-1), 0.0
	for build, workers := range s.buildWorkers {
		if s.release.Valid && build >= s.release.Build || s.rolledBack[build] {
			continue
		}
		if workers.capacity > maxCapacity || workers.capacity == maxCapacity && workers.capacity > 0 && build > best {
			best, maxCapacity = build, workers.capacity
		}
	}
	return best
}

// rampTrialSlots raises the number of slots that go to the trial with the capacity of its workers, up to the cap. It
// lowers it only when the cap falls, so that a key that was sent to the trial stays there.
func (s *Sentry) rampTrialSlots() {
	trial, onTrial := s.trialBuild()
	if !onTrial {
		s.trialSlots = 0
		return
	}
	trialCapacity, totalCapacity := 0.0, s.capacity(s.earlierBuild)
	if workers := s.buildWorkers[trial]; workers != nil {
		trialCapacity = workers.warmCapacity
	}
	// Where the earlier workers all stay, they have little to do. If the total left out the trial's capacity, the trial's
	// workers would carry far more than these, and a good build would look late. A third of it counts there.
	totalCapacity += trialCapacity * (1 - oneIf(s.config.EarlierWorkersStay && totalCapacity > 0)*2/3)
	share := trialShareFactor * trialCapacity / max(totalCapacity, 1e-9)
	s.trialSlots = min(max(s.trialSlots, percent(share)), percent(s.release.Cap))
}

// trialBuild returns the newest build and whether hand-offs may go to it as the trial: while it is on trial, and
// while it is being rolled back if its cap is above 0 and there is no earlier build to use.
func (s *Sentry) trialBuild() (BuildID, bool) {
	lastResort := s.release.Phase == RollingBack && s.release.Cap > 0 && s.earlierBuild < 0
	return s.release.Build, s.release.Valid && (s.release.Phase == OnTrial || lastResort)
}

// hashSlot is the two-build hash of the DESIGN page. It returns a slot from 0 to 99.
func hashSlot(key Key, earlier, trial BuildID) int {
	sum := md5.Sum([]byte(string(key) + "-" + strconv.Itoa(int(earlier)) + "-" + strconv.Itoa(int(trial))))
	return int(binary.BigEndian.Uint64(sum[:8]) % 100)
}

// withinExposureBound reports whether one more hand-off to the trial keeps within free + cap x taken over the sliding
// window, by the configuration and by the former ones whose window has not passed. For keys that are new to the
// trial, the cap is at most what its workers can carry: a hot key would slow the few workers, which looks like a
// fault of the build.
func (s *Sentry) withinExposureBound(t *transaction, keyOnTrial bool) bool {
	config, maxShare := &s.config, min(s.release.Cap, max(oneIf(keyOnTrial), float64(s.trialSlots)/100))
	exceeds := func(bound exposureBound) bool {
		counter, windowStart := t.exposureCounters()[int(oneIf(bound.byProfile))],
			s.now-bound.window+s.config.TimerGranularity
		exposed, taken := countAfter(s.exposedTimes[counter], windowStart-3*s.config.TimerGranularity),
			countAfter(s.takenTimes[counter], windowStart)
		return bound.until > s.now && float64(exposed+1) > bound.free+maxShare*float64(taken)
	}
	current := exposureBound{config.FreeExposure, config.ExposureWindow, config.ExposureByProfile, s.now + 1}
	return !exceeds(current) && !slices.ContainsFunc(s.formerBounds, exceeds)
}

// recordBuildOutcome counts an ended hand-off for its build. The trial's misses beyond the earlier build's rate are
// added up.
func (s *Sentry) recordBuildOutcome(t *transaction, h *handOff) {
	stats := &s.profiles[t.Profile]
	_, onTrial := s.trialBuild()
	ofNewest := s.release.Valid && (onTrial || s.release.Phase == Released) && h.build == s.release.Build
	s.noteTrialAnswer(t, h)
	duration, failed, lateThreshold := float64(h.end.Duration), h.end.Ending == Errored,
		min(lateFactor*stats.latencyThreshold, float64(stats.DueTime))
	conclusive := failed || h.end.Ending == Answered || h.end.Ending == TimedOut && !s.answerLost(h.worker, h.sentAt)
	if !conclusive || !ofNewest && h.build != s.earlierBuild {
		return
	}
	age := s.now - s.workerStart(h.worker)
	warm := !failed && !h.timingInvalid && age >= max(settleTime, s.config.WarmUp)
	isLate := !failed && (h.end.Ending == TimedOut || duration > lateThreshold)
	kind, missed := missKind(oneIf(isLate)), ofNewest && (failed || isLate)
	weight := s.missWeight(h.worker, kind, missed)
	s.ownMisses[kind][h.worker] += uint64(oneIf(missed))
	if ofNewest && h.end.Ending == Answered {
		s.wrongAnswerSum = max(0, s.wrongAnswerSum-complaintDecayPerAnswer)
	}
	if !s.platformCountsAreCurrent() {
		if warm {
			s.judgeFleetLatency(stats, duration)
		}
		// After a release the new build is itself the earlier one. Its errors still count as the trial's if it was judged.
		ofTrial := h.build != s.earlierBuild || ofNewest && s.judgedOutcomes > 0
		s.recordOutcome(t.Profile, errorMiss, ofTrial, failed, weight)
		if warm {
			s.recordOutcome(t.Profile, lateMiss, h.build != s.earlierBuild, isLate, weight)
		}
	}
	if h.build != s.earlierBuild {
		return
	}
	stats.earlierOutcomes++
	if warm {
		// Fast at first, since a trial may begin soon.
		smoothing := max(rateSmoothing, 1/float64(stats.earlierOutcomes))
		// During a trial, latency ratios stay relative to the duration that was usual before it.
		if !s.isJudging() {
			stats.expectedDuration += smoothing * (duration - stats.expectedDuration)
		}
		stats.latencyThreshold += 4 * smoothing *
			(oneIf(duration > stats.latencyThreshold) - aboveThresholdShare) * stats.expectedDuration
	}
}

// recordOutcome counts one outcome for the collectors' report and judges it.
func (s *Sentry) recordOutcome(profileID ProfileID, kind missKind, ofTrial, missed bool, weight float64) {
	s.countOutcome(countIndex(profileID, kind, ofTrial), missed)
	s.judgeOutcomes(profileID, kind, ofTrial, 1, oneIf(missed)*weight)
}

// judgeOutcomes takes a number of outcomes of one build and how many of them were misses. Those of the earlier build
// update its miss rate. The trial's excess over that rate is added to the excess sums, which do not fall below 0.
func (s *Sentry) judgeOutcomes(profileID ProfileID, kind missKind, ofTrial bool, outcomes, misses float64) {
	stats, total := &s.profiles[profileID], &s.allProfiles
	if !ofTrial {
		s.earlierOutcomeAt = s.now
		stats.earlierMissRate[kind] += (1 - math.Pow(1-rateSmoothing, outcomes)) *
			(misses/outcomes - stats.earlierMissRate[kind])
		return
	}
	excess := errorWeight * (misses - outcomes*(stats.earlierMissRate[errorMiss]+toleratedErrorShare))
	if kind == lateMiss {
		// Lateness shows nothing where the earlier build gives nothing to compare with, or is late itself.
		if s.now-s.earlierOutcomeAt >= second || stats.earlierMissRate[lateMiss] >= overloadLateRate {
			return
		}
		load := max(1, s.fleetCapacity*s.trialShare()/max(s.capacity(s.release.Build), 1e-9)) * s.relativeLoad()
		excess = lateWeight *
			(misses - outcomes*(2*stats.earlierMissRate[lateMiss]+toleratedLateShare*s.expectedSlowdown(load))) *
			s.lateMeter.addAndWeigh(s.now, outcomes)
	} else {
		s.judgedOutcomes += int(outcomes)
	}
	stats.trialExcess[kind], total.trialExcess[kind] =
		max(0, stats.trialExcess[kind]+excess), max(0, total.trialExcess[kind]+excess)
}

// judgeFleetLatency compares all workers, of either build, with what answers took before the trial began: a build may
// slow the whole fleet. Slowness does not count against the build where the fleet clearly carries more load than then (a
// burst, or lost workers), where a quarter of the workers is as fast as before (where sentries cooperate: about half of
// all answers), or long after the release. It can do harm to a build when all workers slow down for a reason that no
// load shows.
func (s *Sentry) judgeFleetLatency(stats *profileStats, duration float64) {
	if !s.isJudging() || stats.baselineThreshold == 0 {
		return
	}
	slow := duration > min(fleetSlowFactor*stats.baselineThreshold, float64(stats.DueTime)) &&
		(s.cooperates() || s.lowerQuartileLatencyRatio() > fleetSlowLatencyRatio*s.expectedSlowdown(s.relativeLoad()))
	s.countOutcome(len(s.outcomeCounts)-4, slow)
	s.addFleetOutcomes(1, oneIf(slow))
}

// addFleetOutcomes adds outcomes of all workers, of which slowOutcomes were slow, to the fleet's excess sum.
func (s *Sentry) addFleetOutcomes(outcomes, slowOutcomes float64) {
	tolerated := toleratedFleetSlowShare
	if s.cooperates() {
		// What is slow in the first stage, with next to no trial traffic, is not the build's fault.
		inFirstStage := oneIf(s.release.Stage == 0)
		s.firstStageOutcomes, s.firstStageSlow =
			s.firstStageOutcomes+inFirstStage*outcomes, s.firstStageSlow+inFirstStage*slowOutcomes
		tolerated = max(minToleratedSlowShare, min(maxToleratedSlowShare,
			0.8*minToleratedSlowShare+s.firstStageSlow/max(1, s.firstStageOutcomes)))
		tolerated *= s.expectedSlowdown(s.relativeLoad())
	}
	s.fleetSlowExcess = max(0, s.fleetSlowExcess+
		(slowOutcomes-outcomes*tolerated)*s.fleetMeter.addAndWeigh(s.now, outcomes))
}

// addAndWeigh adds outcomes to the rate and returns how much each of them counts: less the more there are in a
// second, since durations of the same second are correlated under congestion.
func (meter *rateMeter) addAndWeigh(now Micros, outcomes float64) float64 {
	meter.rate, meter.at = meter.rate*math.Exp(-float64(now-meter.at)/float64(second))+outcomes, now
	return fullWeightPerSecond / max(meter.rate, fullWeightPerSecond)
}

// expectedSlowdown returns how much slower than before the trial workers may be because of this relative load alone.
func (s *Sentry) expectedSlowdown(load float64) float64 { return 1 + slowdownPerLoad*max(0, load-1) }

// relativeLoad returns the load relative to the load before the trial, or 1 if too little was seen then.
func (s *Sentry) relativeLoad() float64 {
	if s.cooperates() && s.baselineArrivalMeter.rate > 0 {
		return s.arrivalMeter.rate / s.baselineArrivalMeter.rate * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	}
	if s.baselineLoad == 0 {
		return 1
	}
	return s.ownLoad() / s.baselineLoad
}

// isJudging reports whether the newest build is on trial, or its phase changed recently (to released, for instance), and
// there is something to judge.
// Hundreds of sentries together see what is slow in the fleet long before each of them has seen the trial itself.
func (s *Sentry) isJudging() bool {
	onTrial := s.release.Phase == OnTrial
	return (s.judgedOutcomes > 0 || onTrial && s.cooperates()) && (onTrial || s.now-s.statusSince <= 2*observationTime)
}

// lowerQuartileLatencyRatio returns the lower quartile of the latency ratios of the subsets' workers that are warm and
// were used recently, or 1 if there are none.
func (s *Sentry) lowerQuartileLatencyRatio() float64 {
	ratios := []float64{1}
	for build, workers := range s.buildWorkers {
		for _, w := range workers.ready[:min(workers.subsetSize, len(workers.ready))] {
			if (build == s.earlierBuild || build == s.release.Build) &&
				s.warmUpCapacity(w, s.now) == 1 && s.slowRecency(w) > 0 {
				ratios = append(ratios, s.latencyRatio[w])
			}
		}
	}
	slices.Sort(ratios[1:])
	return ratios[min(len(ratios)-1, (len(ratios)+3)/4)]
}

// missWeight returns the weight of one outcome. A miss of a trial worker is counted, and weighs less the more this
// worker has missed beyond its even share of all misses. The weight guards against a machine's own trouble (fast
// failures, slowness, a machine shared with another program). It costs time where a bad build has very few workers and
// one of them gets most of the traffic.
func (s *Sentry) missWeight(w int, kind missKind, missed bool) float64 {
	if !missed {
		return 1
	}
	workers := max(1, float64(s.readyCount(s.workers[w].Build)))
	prior, workerWeight := workers, min(1, manyTrialWorkers/workers)
	// With so many sentries, misses are so frequent that the first ones of a few workers would be enough for a vote.
	if s.cooperates() {
		prior, workerWeight = workers*workerWeight, 1
	}
	evenShare := min(1, (s.totalTrialMisses[kind]+prior)/(workers*(s.trialMisses[kind][w]+1)))
	s.totalTrialMisses[kind]++
	s.trialMisses[kind][w]++
	return evenShare * evenShare * workerWeight
}

// ComplaintReceived takes a client's report that an answer was wrong, and counts it as an error of the worker's build.
// The platform's counts do not show wrong answers. Where sentries judge by these, a complaint makes the sentry vote to
// roll back until enough answers of the trial have followed: many sentries must do so at the same time, and false
// complaints are too few for that. A complaint about the earlier build cancels one about the trial. It can do harm to a
// build where few votes are enough to roll it back.
func (s *Sentry) ComplaintReceived(now Micros, complaint Complaint) Result {
	return s.handleEvent(now, func() {
		if w, known := s.workerIndex[complaint.Worker]; known &&
			complaint.Profile >= 0 && int(complaint.Profile) < len(s.profiles) {
			ofNewest := s.release.Valid && s.workers[w].Build == s.release.Build
			// The counts do not show it, and no other sentry reports it.
			if s.judgesByPlatformCounts() {
				s.wrongAnswerSum = max(0, s.wrongAnswerSum+complaintWeight*(2*oneIf(ofNewest && s.isJudging())-1))
				return
			}
			s.recordOutcome(complaint.Profile, errorMiss, ofNewest, true, s.missWeight(w, errorMiss, ofNewest))
		}
	})
}

const (
	ownFailureSmoothing, ownFailureWindow = 0.1, 10.0 // window: recent failures that ownErrors and ownFailures cover
	platformCountsValidPeriods            = 4         // periods for which the platform's counts stay valid
	meanSmoothing                         = 0.2       // for each period of the counts
	toleratedMeanIncrease                 = 0.5       // share by which a mean duration may be longer
	toleratedFailureIncrease              = 0.1       // tolerated share of failures beyond twice the earlier build's

	complaintWeight         = 2 * rollBackExcess  // of one complaint
	complaintDecayPerAnswer = rollBackExcess / 30 // for each answer of the trial

	manySentries = 20 // from this number on, the sentries cooperate
	// Bounds of the share of slow answers that is tolerated where sentries cooperate.
	minToleratedSlowShare, maxToleratedSlowShare = 0.45, 0.9
	collectorCount                               = 3 // sentries that judge the counts of all
	// Workers in a report, with their misses. A worker with misses of both kinds counts twice.
	maxReportedWorkers       = 20
	collectorVerdictLifetime = 3 * second // how long a collector's verdict counts
)

// cooperates reports whether the sentries judge together and share load in groups: there are so many that only all of
// them together see enough.
func (s *Sentry) cooperates() bool { return s.config.MayMessage && s.config.Sentries >= manySentries }

// collectors returns the positions of the sentries that collect the reports in this trial.
func (s *Sentry) collectors() (positions []SentryID) {
	for i := range collectorCount {
		positions = append(positions,
			SentryID((int(s.release.Build)+i*s.config.Sentries/collectorCount)%s.config.Sentries))
	}
	return positions
}

func (s *Sentry) isCollector() bool { return slices.Contains(s.collectors(), s.config.Position) }

// sendReports sends this sentry's counts to the collectors, and if it is one of them, its verdict to all. A report
// holds all counts of the trial each time, so that a lost message or a restart of either side loses nothing for long.
// Pooling the counts guards against judging on very little. Where messages are lost, each sentry judges by itself.
func (s *Sentry) sendReports(verdict Verdict) {
	if !s.config.MayMessage || s.now < s.nextReportAt {
		return
	}
	s.nextReportAt = s.now + second*3/4
	if s.isCollector() {
		body := encodeMessage(messageVerdict,
			[]uint64{uint64(s.release.Build), uint64(s.release.Stage), uint64(verdict)})
		s.result.Messages = append(s.result.Messages, Message{To: EverySentry, Body: body})
	}
	values := s.ownReport(maxReportedWorkers)
	for _, to := range s.collectors() {
		if to != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: to, Body: encodeMessage(messageReport, values)})
		}
	}
}

// Groups of sentries and workers. Where there are about as many sentries as workers, each sentry learns of a worker's
// load only every few seconds, so that most hand-offs go to busy workers while others are idle. Therefore the sentries
// of a group prefer the same workers, and notify each other of every hand-off to these, in three bytes.
const (
	sentriesPerGroup = 8
	minGroupWorkers  = 6 // with fewer workers there is no group
	// From this load on, workers outside the group are tried too, although the sentries of their group are not
	// notified of it.
	maxGroupWorkerLoad = 3.0
	// Added to the rank of workers of other groups, so that they come last.
	otherGroupRank = 1e6
	// In usual answer durations: how long a hand-off counts if no message reports its end.
	groupOpenTTL = 20.0
)

func (s *Sentry) groupCount() int { return max(1, s.config.Sentries/sentriesPerGroup) }

// inGroup reports whether this sentry is in a group with enough workers.
func (s *Sentry) inGroup() bool {
	workers := s.buildWorkers[s.earlierBuild]
	return s.cooperates() && workers != nil && workers.groupWorkers >= minGroupWorkers
}

// inOwnGroup reports whether a worker belongs to this sentry's group.
func (s *Sentry) inOwnGroup(id WorkerID) bool {
	return s.cooperates() && int(shortID(id))%s.groupCount() == int(s.config.Position)%s.groupCount()
}

// notifyGroup notifies the other sentries of the group of the start or end of a hand-off to one of its workers.
func (s *Sentry) notifyGroup(w int, kind byte) {
	if !s.inGroup() || s.rank[w] >= otherGroupRank {
		return
	}
	body, groups := encodeMessage(kind, []uint64{shortID(s.workers[w].ID)}), s.groupCount()
	for i := int(s.config.Position) % groups; i < s.config.Sentries; i += groups {
		if SentryID(i) != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: SentryID(i), Body: body})
		}
	}
}

// groupOpenNow returns how many hand-offs of the other sentries of the group a worker still has. Hand-offs whose end
// was not reported count less with time.
func (s *Sentry) groupOpenNow(w int) float64 {
	if s.groupOpen[w] == 0 {
		return 0
	}
	return max(0, s.groupOpen[w]-float64(s.now-s.groupOpenAt[w])/max(1, groupOpenTTL*s.usualDuration()))
}

// PeerMessageReceived takes a message from another sentry. It ignores messages that are malformed or of another
// trial.
func (s *Sentry) PeerMessageReceived(now Micros, from SentryID, body []byte) Result {
	return s.handleEvent(now, func() {
		kind, values := decodeMessage(body)
		validSender := from >= 0 && int(from) < s.config.Sentries && from != s.config.Position
		switch {
		case validSender && (kind == messageHandOff || kind == messageHandOffEnded) && len(values) == 1:
			if w, known := s.byShortID[values[0]]; known {
				change := 1 - 2*oneIf(kind == messageHandOffEnded)
				s.groupOpen[w], s.groupOpenAt[w] = max(0, s.groupOpenNow(w)+change), s.now
			}
		case !validSender || len(values) == 0 || !s.release.Valid || BuildID(values[0]) != s.release.Build:
		case kind == messageVerdict && len(values) == 3 && values[2] <= uint64(RollBack):
			if verdict := Verdict(values[2]); verdict >= s.collectorVerdict ||
				s.now-s.collectorVerdictAt >= collectorVerdictLifetime {
				// Keep the strongest verdict received lately.
				s.collectorVerdict, s.collectorVerdictAt, s.collectorVerdictStage = verdict, s.now, int(values[1])
			}
		case kind == messageReport && len(values) >= len(s.outcomeCounts)+3 &&
			values[2] == uint64(len(s.outcomeCounts)) && s.isCollector():
			s.mergeReport(from, report{values[1], values[3 : len(s.outcomeCounts)+3], values[len(s.outcomeCounts)+3:]})
		}
	})
}

// CountsReceived takes what the platform counted of a build. The counts replace messages between sentries: where
// their sample is larger than what this sentry sees itself, they drive the excess sums instead of its own outcomes,
// so that nothing counts twice. All sentries then make the same errors. Own outcomes are judged again when no counts
// have come for some periods.
func (s *Sentry) CountsReceived(now Micros, counts BuildCounts) Result {
	return s.handleEvent(now, func() {
		if counts.Profile < 0 || int(counts.Profile) >= len(s.profiles) || counts.HandOffs <= 0 ||
			!s.judgesByPlatformCounts() {
			return
		}
		s.platformCountsAt = s.now
		stats, handOffs, failed := &s.profiles[counts.Profile], float64(counts.HandOffs),
			float64(min(counts.HandOffs, counts.Failed))
		ofNewest := s.release.Valid && counts.Build == s.release.Build &&
			(counts.Build != s.earlierBuild || s.judgedOutcomes > 0)
		if !ofNewest && counts.Build != s.earlierBuild {
			return
		}
		// The counts hold failures of any kind, also of a worker that died. This sentry's own failures show which share of
		// them are errors.
		if ofNewest {
			failed = max(0, failed*(s.ownErrors+1)/(s.ownFailures+1)-
				handOffs*(toleratedFailureIncrease+max(stats.earlierMissRate[errorMiss], stats.earlierFailedShare)))
		} else {
			stats.earlierFailedShare = failed / handOffs
		}
		// Without recent outcomes of the earlier build, nothing shows what is usual now.
		if !ofNewest || s.now-s.earlierOutcomeAt <= platformCountsValidPeriods*s.config.CountsPeriod {
			s.judgeOutcomes(counts.Profile, errorMiss, ofNewest, handOffs, failed)
		}
		periodMiddle := s.now - counts.Age - s.config.CountsPeriod/2
		s.addPeriodMean(stats, handOffs-float64(counts.Failed), float64(counts.MeanDuration), ofNewest, periodMiddle)
	})
}

// judgesByPlatformCounts reports whether this sentry uses the platform's counts to judge.
func (s *Sentry) judgesByPlatformCounts() bool {
	config := &s.config
	return config.CountsPeriod > 0 && !config.MayMessage && config.CountsSampleShare*float64(config.Sentries) > 1
}

// platformCountsAreCurrent reports whether it does so now, because counts came recently.
func (s *Sentry) platformCountsAreCurrent() bool {
	return s.judgesByPlatformCounts() && s.platformCountsAt > 0 &&
		s.now-s.platformCountsAt < platformCountsValidPeriods*s.config.CountsPeriod
}

// addPeriodMean adds a mean duration to the means of its period over all profiles: of the trial, corrected for the
// warm-up of its workers, and of all builds. A mean of the earlier build also updates what is usual for the profile.
func (s *Sentry) addPeriodMean(stats *profileStats, answers, mean float64, ofNewest bool, at Micros) {
	if answers <= 0 || mean <= 0 {
		return
	}
	if ofNewest {
		mean *= s.buildWarmUpCapacity(s.release.Build, at)
	} else if stats.earlierMean += max(meanSmoothing, oneIf(stats.earlierMean == 0)) *
		(mean - stats.earlierMean); !s.isJudging() {
		stats.baselineMean = stats.earlierMean
	}
	for i := range s.periodMeans[:1+int(oneIf(ofNewest))] {
		if means := &s.periodMeans[i]; stats.baselineMean > 0 {
			means.answers, means.duration, means.baselineDuration, means.earlierDuration =
				means.answers+answers, means.duration+answers*mean,
				means.baselineDuration+answers*stats.baselineMean, means.earlierDuration+answers*stats.earlierMean
		}
	}
}

// judgePeriodMeans judges the mean durations of a period. A mean that is longer by some share counts as that share of
// late hand-offs. The trial's mean is compared with the earlier build's or the baseline, whichever is longer, and
// that of both builds with the baseline, in both cases beyond what the load explains.
func (s *Sentry) judgePeriodMeans() {
	all, trial := s.periodMeans[0], s.periodMeans[1]
	s.periodMeans = [2]latencyMeans{}
	perSecond := all.answers * float64(second) / float64(s.config.CountsPeriod)
	if !s.isJudging() {
		s.baselinePlatformRate += max(meanSmoothing, oneIf(s.baselinePlatformRate == 0)) *
			(perSecond - s.baselinePlatformRate)
		return
	}
	load := max(1, perSecond/max(s.baselinePlatformRate, 1e-9)) * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	if all.answers > 0 {
		slowShare := min(1, max(0, all.duration/all.baselineDuration/s.expectedSlowdown(load)-1))
		s.fleetSlowExcess = max(0, s.fleetSlowExcess+
			lateWeight*all.answers*(slowShare-toleratedMeanIncrease)*s.fleetMeter.addAndWeigh(s.now, all.answers))
	}
	if trial.answers > 0 {
		load *= max(1, s.baselineCapacity*float64(s.trialSlots)/max(100*s.capacity(s.release.Build), 1e-9))
		ratio := trial.duration / max(trial.earlierDuration, trial.baselineDuration*s.expectedSlowdown(load))
		weight := lateWeight * trial.answers * s.lateMeter.addAndWeigh(s.now, trial.answers)
		s.allProfiles.trialExcess[lateMiss] = max(0, s.allProfiles.trialExcess[lateMiss]+
			weight*(min(1, max(0, ratio-1))-toleratedMeanIncrease))
	}
}

// updateVote forms this sentry's verdict, and votes when it has changed or its last vote is about to expire. It runs each
// quarter second, and first brings up to date what changes with time: ejections, ready workers, the log
// of leases, the platform's means and the usual load.
func (s *Sentry) updateVote() {
	if s.now < s.nextVoteAt {
		return
	}
	s.nextVoteAt = s.now + second/4
	s.ejectOverdue()
	s.refreshReadyWorkers()
	s.logLease()
	if s.periodMeans[0].answers > 0 && s.now > s.platformCountsAt {
		s.judgePeriodMeans()
	}
	if s.usualLoad == 0 || s.release.Phase != RollingBack {
		// Hand-offs are counted, not arrivals: under overload more arrives than workers can take.
		s.handOffTimes = dropUpTo(s.handOffTimes, s.now-s.arrivalWindow)
		s.usualLoad += max(usualLoadSmoothing, oneIf(s.usualLoad == 0)) *
			(float64(len(s.handOffTimes))/max(s.fleetCapacity, 1e-9) - s.usualLoad)
	}
	if !s.release.Valid || s.release.Phase != OnTrial && s.release.Phase != Released {
		return
	}
	s.rampTrialSlots()
	vote := Vote{Build: s.release.Build, Stage: s.release.Stage, Verdict: s.decideVerdict()}
	s.sendReports(vote.Verdict)
	if vote.Verdict != NoVerdict &&
		(vote != s.lastVote || s.lastVoteAt == 0 || s.now-s.lastVoteAt >= s.config.VoteTTL*6/10) {
		if vote != s.lastVote && (s.isCollector() || s.config.Sentries < manySentries) {
			s.logVote(vote.Verdict)
		}
		s.result.Votes = append(s.result.Votes, vote)
		s.lastVote, s.lastVoteAt = vote, s.now
	}
}

// decideVerdict returns what this sentry votes for:
//
//   - the collectors' verdict if one came recently, or nothing if the collectors' own votes are enough;
//   - RollBack once an excess sum has passed the limit, and then until the next trial, or while complaints count enough;
//   - NoVerdict if the build is released or has no ready worker;
//   - with ControlTimer, Hold while an excess sum is too high to advance;
//   - without it, Advance if the excess sums are low and the trial has been observed for long enough;
//   - NoVerdict otherwise.
func (s *Sentry) decideVerdict() Verdict {
	config, minObservation, limit, excesses, isCollector :=
		&s.config, observationTime, rollBackExcess, s.excessSums(), s.isCollector()
	// The more sentries may vote, the less a sum that is high by chance may decide.
	if !config.MayMessage || !isCollector {
		limit += math.Log(1 + float64(config.Sentries)/float64(10*max(1, config.RollBackVotes)))
		// A single sentry of many does not see what is slow in the whole fleet.
		excesses = excesses[int(oneIf(s.cooperates())):]
	}
	limit *= 1 + releasedLimitIncrease*oneIf(s.release.Phase == Released)
	if s.collectorVerdictAt > s.now-collectorVerdictLifetime && !isCollector &&
		(s.cooperates() || s.fleetSlowExcess <= limit) {
		if max(config.AdvanceVotes, config.RollBackVotes, config.HoldVotes) <= collectorCount ||
			s.collectorVerdictStage != s.release.Stage {
			return NoVerdict // the collectors' votes are enough, or their verdict is on another stage
		}
		return s.collectorVerdict
	}
	maxExcess := slices.Max(excesses)
	if s.rollBackDecided = s.rollBackDecided || maxExcess > limit; s.rollBackDecided || s.wrongAnswerSum > limit {
		return RollBack
	}
	minObservation *= 1 + Micros(2*oneIf(config.MayMessage && !isCollector)) // other sentries may know more
	workers := s.buildWorkers[s.release.Build]
	switch timerControl := config.Control == ControlTimer; {
	case s.release.Phase == Released || workers == nil || len(workers.ready) == 0:
		return NoVerdict
	case timerControl && maxExcess > maxAdvanceExcess:
		return Hold
	case timerControl || maxExcess >= maxAdvanceExcess:
		return NoVerdict
	}
	// The release removes the earlier workers. Before it, the trial is observed under full load for a while.
	lastStage := config.EarlierWorkersStay && s.release.Stage+1 >= len(config.StageCaps)
	observed := s.now - max(s.statusSince, workers.youngestStart) -
		Micros(oneIf(lastStage))*config.WarmUp/lastStageWarmUpDivisor
	if observed >= minObservation || observed >= settleTime && s.judgedOutcomes >= minSampleSize {
		return Advance
	}
	return NoVerdict
}
