// Package logic holds every decision of a sentry: which build and worker a transaction goes to, what happens
// when a hand-off fails, and how the sentry votes on the build on trial.
//
// How to call it: make one Sentry with New, from its StandingOrders and a seed, then make one call for each
// thing that happens (Arrive, HandOffEnded, Listed, Told, ...), each with the caller's time. Every call
// returns a Result; carry it out in order and call Wake when its WakeAt comes. Nothing else is kept or
// shared. The types are in port.go. Read the chain first (admit, assign, pick, hand off), the judge last.
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

	// From the design page.
	rollBackExcess   = 4.0        // a sum above it votes back
	maxAdvanceExcess = 2.0        // a sum under it may vote on
	minSampleSize    = 20         // outcomes before a vote on
	settleTime       = 3 * second // a worker this young is not judged on time
	observationTime  = 5 * second
	initialMissRate  = 0.05 // assumed before anything was seen

	// Open on the design page.
	releasedLimitIncrease   = 0.5  // more to vote back what is released: it has passed, and to go back costs all
	lastStageWarmUpDivisor  = 2    // part of the warm-up for which the trial carries all before the last vote
	refusedShareSmoothing   = 0.1  // of how many new connections are refused
	newConnectionPenalty    = 20.0 // with which a worker is taken where all are
	zoneLatencySmoothing    = 0.25
	maxZoneLatencyRatio     = 10.0
	toleratedZoneRatio      = 2.0  // times the own zone's, up to which a way is taken for chance
	trialShareFactor        = 1.2  // share sent to the trial build, to its share of what the fleet can do
	overloadLateRate        = 0.2  // the earlier build's rate of late ones from which lateness tells of load alone
	fleetSlowFactor         = 1.6  // a hand-off this many bars of before the trial long counts as late for all
	toleratedFleetSlowShare = 0.2  // excess of these that is let pass
	fleetSlowLatencyRatio   = 1.2  // pace of the quicker workers from which all are slower
	fullWeightPerSecond     = 20.0 // times in a second that count in full
	slowdownPerLoad         = 2.5  // how much the pace rises with load for no fault of a build
	toleratedErrorShare     = 0.01 // excess of errors that is let pass
	errorWeight             = 1.5  // three errors close together reach voteBackAt
	manyTrialWorkers        = 8.0  // from so many of the trial on, a miss at any one says less
	aboveThresholdShare     = 0.2  // share of the earlier build's answers that take longer than the bar
	lateFactor              = 2.5  // a hand-off this many bars long counts as late
	toleratedLateShare      = 0.2  // excess of late ones over twice that rate that is let pass
	lateWeight              = 0.6  // times are noisy: seven late ones close together reach voteBackAt
	rateSmoothing           = 0.02
	latencyRatioSmoothing   = 0.12
	failureRateSmoothing    = 0.25
	otherLoadSmoothing      = 0.4
	downAfterFailures       = 3 // failed tries to reach a worker, seconds apart, after which it has been down
	ejectFailureRate        = 0.5
	nonLoadFailureWeight    = 6.0        // of failures that no load explains, on the load of their worker
	loadTTL                 = 3 * second // for how long what is heard of a worker counts
	slowTTLTransactions     = 20.0       // transactions for which a slow worker is remembered at the least
	toleratedLatencyRatio   = 1.5        // a pace up to it is taken for chance
	initialSubsetSize       = 2          // a working set starts with
	otherZoneRankPenalty    = 1.0        // a worker of another zone joins a working set so much later
	sampledWorkers          = 4          // of the set, to this sentry's share: more would run after the same news
	fewEjectedDivisor       = 4          // one of so many workers
	laterAnswersIfLost      = 4          // so many later ones answered first mean that one is lost
	idleLoad                = 0.5        // up to this load workers are alike, and chance decides
	freeColdHandOffs        = 0.375      // hand-offs to a cold worker that few sentries may send, a second and multiple
	usualLoadSmoothing      = 0.02       // for each quarter second
	coldLoadShare           = 0.5        // of the stated multiple, what a cold worker may get
)

// follow takes over orders. A profile's row is found by its place; what was learnt of it stays.
func (s *Sentry) applyConfig(o Config) {
	o.Sentries = max(1, o.Sentries)
	s.config, s.maxDueTime = o, 0
	for i, p := range o.Profiles {
		if due := float64(p.DueTime); i >= len(s.profiles) {
			s.profiles = append(s.profiles, profileStats{
				expectedDuration: due / 6, latencyThreshold: due / 4, earlierMissRate: [missKinds]float64{initialMissRate, initialMissRate}})
			s.takenTimes, s.exposedTimes = append(s.takenTimes, nil), append(s.exposedTimes, nil)
		}
		s.profiles[i].Profile = &p
		s.maxDueTime, s.maxDeadline = max(s.maxDueTime, p.DueTime), max(s.maxDeadline, p.MaxDeadline)
	}
	s.arrivalWindow = max(o.ExposureWindow, o.ColdLoadWindow, second)
	s.maxRuleWindow = max(s.maxRuleWindow, s.arrivalWindow)
}

// Ordered takes other orders while transactions are open and a build is on trial. What is open keeps its
// profile, what rules count goes on, the bound on exposure so far holds beside the new one for its window.
func (s *Sentry) Reconfigure(now Micros, o Config) Result {
	return s.handleEvent(now, func() {
		old, span := s.config, float64(s.arrivalWindow)
		was := exposureBound{old.FreeExposure, old.ExposureWindow, old.ExposureByProfile, 0}
		s.formerBounds = slices.DeleteFunc(s.formerBounds, func(b exposureBound) bool {
			return b.until <= s.now || exposureBound{b.free, b.window, b.byProfile, 0} == was
		})
		was.until = s.now + old.ExposureWindow + 4*old.TimerGranularity
		s.formerBounds = append(s.formerBounds, was)
		s.applyConfig(o)
		s.usualLoad, s.baselineLoad = s.usualLoad*float64(s.arrivalWindow)/span, s.baselineLoad*float64(s.arrivalWindow)/span
		if len(s.outcomeCounts) != s.countsLen() { // counts by other places: they start anew under another name
			s.outcomeCounts, s.runID = make([]uint64, s.countsLen()), (s.runID+1)%math.MaxUint32
		}
		s.rerankWorkers()
		s.refreshBuilds()
	})
}

// call frames every call.
func (s *Sentry) handleEvent(now Micros, do func()) Result {
	if s.firstCallAt > 0 && now > s.now+second { // it wakes more often than that: it has stood still
		s.stalledAt = now
	}
	s.now, s.result = max(s.now, now), Result{}
	s.firstCallAt = cmp.Or(s.firstCallAt, s.now)
	do()
	if s.config.ListOnRequest && s.now >= s.nextListRequestAt { // keeps the subscription alive
		s.result.WatchList, s.nextListRequestAt = true, s.now+max(second, s.config.MaxListAge/2)
	}
	s.updateVote()
	s.result.WakeAt = s.nextWake()
	return s.result
}

var filterChain []filter

func init() {
	filterChain = []filter{
		{(*Sentry).admit, (*Sentry).closeOrRetry},
		{(*Sentry).assignBuild, (*Sentry).recordBuildOutcome},
		{(*Sentry).pickWorker, (*Sentry).recordWorkerOutcome},
		{(*Sentry).handOff, (*Sentry).recordHandOffEnd},
	}
}

// Wake does what has come due.
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
			case len(t.handOffs) == 1 && s.mayRetry(t): // suspiciously long: a second copy
				s.retryBudget--
				s.runFilters(t, 1)
			}
		}
	})
}

func (s *Sentry) admit(t *transaction) bool {
	t.slot = s.random.Intn(100)
	s.arrivalTimes = dropUpTo(append(s.arrivalTimes, s.now), s.now-s.arrivalWindow)
	s.newArrivals += uint64(oneIf(!s.isRetry(t))) // what comes again is no more load
	t.profile = s.profiles[t.Profile].Profile
	for _, c := range t.exposureCounters() {
		s.takenTimes[c] = dropUpTo(append(s.takenTimes[c], s.now), s.now-s.maxRuleWindow)
	}
	s.retryBudget = min(s.retryBudget+retryBudgetShare, maxRetryBudget)
	s.openTransactions[t.ID] = t
	return s.underConcurrencyLimit(t) || s.queueOrGiveUp(t)
}

// hasRoom says whether one more may be open. A repeat, or a try of a client in a hurry, wants half of the
// room free: such clients would leave nothing to others. Else an idle worker of the group makes room.
func (s *Sentry) underConcurrencyLimit(t *transaction) bool {
	less := t.IsRetry || t.Deadline-t.arrivedAt < t.profile.DueTime
	if fits := float64(s.openHandOffs-s.lostHandOffs) < s.concurrencyLimit*(1-retryReservedShare*oneIf(less)); fits || less || !s.inGroup() {
		return fits
	}
	r := s.buildWorkers[s.earlierBuild]
	idle := func(w int) bool { return !s.isOccupied(w) && s.groupOpenNow(w) < maxIdleGroupOpen }
	return slices.ContainsFunc(r.ready[:r.groupWorkers], idle)
}

const (
	retryBudgetShare = 0.05 // further hand-offs and copies, to transactions taken
	maxRetryBudget   = 10

	minConcurrencyPerWorker                  = 2.0 // open hand-offs to ready workers at the start; the least, to this sentry's share
	maxConcurrencyPerWorker                  = 8.0
	maxIdleGroupOpen                         = 1.0      // hand-offs at a worker of the group under which it takes more
	retryReservedShare                       = 0.5      // of the room that repeats leave free
	minOwnTrafficLimit                       = 9.0      // that any sentry may have open
	concurrencyIncrease, concurrencyDecrease = 0.1, 1.0 // for each answer in time while the room is used, and for each failure
)

// learnRoom bounds the open hand-offs by how answers come, and by what this sentry's own traffic fills in the
// longest due time, since hundreds with a little too much each jam a fleet that none of them has seen late.
// It guards against overload of any cause; it can do harm where failures are quick, hence its floor.
func (s *Sentry) adjustConcurrencyLimit(p *profileStats, w int, e HandOffEnd) {
	ready := float64(max(1, s.readyCount(s.earlierBuild), s.readyCount(s.releaseStatus.Build))) // news come later than lists
	switch {
	case s.consecutiveFailures[w] > 0 || s.failureRate[w] > ejectFailureRate || s.zoneSlowdown(s.workers[w].Zone) > 1: // not the load
	case e.Ending == TimedOut && (e.Duration < p.DueTime || s.answerLost(w, s.now-e.Duration)): // a hurry, or lost
	case e.Ending == TurnedAway || e.Ending == TimedOut || e.Ending == Answered && e.Duration > p.DueTime:
		s.concurrencyLimit -= min(concurrencyDecrease, s.concurrencyLimit/4)
	case e.Ending == Answered && float64(s.openHandOffs) >= 0.7*s.concurrencyLimit:
		s.concurrencyLimit += concurrencyIncrease * max(1, 4/s.concurrencyLimit)
	}
	known := min(s.arrivalWindow, max(second, s.now-s.firstCallAt))
	own := max(minOwnTrafficLimit, float64(s.maxDueTime)*float64(len(s.arrivalTimes))/float64(known))
	// Open at a time by this sentry's usual traffic, in no jam.
	usual := s.usualLoad * s.fleetCapacity / float64(s.arrivalWindow) * min(s.usualDuration(), float64(s.maxDueTime)/8)
	s.concurrencyLimit = min(max(s.concurrencyLimit, minConcurrencyPerWorker*max(ready/float64(s.config.Sentries), usual), 1), maxConcurrencyPerWorker*ready, own)
}

// assign chooses the build: the two-build hash, under the counter, with keys going forward only.
func (s *Sentry) assignBuild(t *transaction) bool {
	trial, onTrial := s.trialBuild()
	met := s.config.ForwardOnly && onTrial && t.Key != "" && s.trialKeys[t.Key] == trial
	t.worker = -1
	if onTrial {
		if t.Key != "" {
			t.slot = hashSlot(t.Key, s.earlierBuild, trial)
		}
		failedThere := len(t.handOffs) > 0 && t.handOffs[len(t.handOffs)-1].build == trial
		guarded := s.releaseStatus.Stage < s.config.GuardedStages && t.profile.Repeatability != Idempotent
		if met || t.slot < s.trialSlots && !guarded && !failedThere {
			if !guarded && s.withinExposureBound(t, met) {
				t.worker = s.chooseWorker(t, trial)
			}
			return t.worker >= 0 || !met || s.giveUp(t)
		}
	}
	return true
}

// holdBack keeps a transaction while no worker of its build is ready, until an answer in time is unlikely.
func (s *Sentry) queueOrGiveUp(t *transaction) bool {
	until := s.queueDeadline(t)
	switch {
	case t.hasOpenHandOff(): // a copy that finds no worker is let go
	case s.now >= until:
		return s.giveUp(t)
	case !t.queued:
		t.queued = true
		s.queue = append(s.queue, t)
		s.wakeUp(until, t)
	}
	return false
}

// patience is how long a transaction is held: until an answer in time is no longer likely.
func (s *Sentry) queueDeadline(t *transaction) Micros {
	return min(t.arrivedAt+t.profile.DueTime/4, t.Deadline-s.config.TimerGranularity)
}

// release runs what was held again, when the workers or the news have changed.
func (s *Sentry) runQueued() {
	held := s.queue
	s.queue = nil
	slices.SortStableFunc(held, func(a, b *transaction) int {
		return cmp.Compare(s.profiles[b.Profile].valuePerWork(), s.profiles[a.Profile].valuePerWork())
	})
	for _, t := range held {
		switch {
		case t.closed || !t.queued:
		case s.underConcurrencyLimit(t):
			t.queued = false
			s.runFilters(t, 1)
		case s.now >= s.queueDeadline(t):
			s.giveUp(t)
		default:
			s.queue = append(s.queue, t)
		}
	}
}

// giveUp answers at once: a deferral where a retry is harmless, else a write-off.
func (s *Sentry) giveUp(t *transaction) bool {
	p := t.profile
	ran := slices.ContainsFunc(t.handOffs, func(h handOff) bool { return h.mayHaveRun })
	r := Action{Kind: WriteOff, Transaction: t.ID}
	if !ran || p.Repeatability == Idempotent || p.Repeatability == Deduplicated && p.DedupScope == ScopeAll {
		r.Kind = Defer
		if s.config.MayNameRetryAfter {
			r.RetryAfter = min(p.DueTime/2, s.config.MaxRetryAfter)
		}
	}
	s.result.Actions = append(s.result.Actions, r)
	s.givenUp[t.Key]++
	if len(t.handOffs) == 0 && s.releaseStatus.Phase == OnTrial && !s.platformCountsAreCurrent() { // under the bound, slowness shows in these
		s.judgeFleetLatency(&s.profiles[t.Profile], float64(p.MaxDeadline))
	}
	t.closed = true
	s.removeTransaction(t)
	return false
}

func (s *Sentry) pickWorker(t *transaction) bool {
	if t.worker < 0 {
		t.worker = s.chooseWorker(t, s.earlierBuild)
	}
	return t.worker >= 0 || s.queueOrGiveUp(t)
}

// choose takes the least loaded of the working set: the first few ready workers in this sentry's own order,
// one more whenever all are busy. The orders are drawn by size, so that hundreds with little to do spread
// over the fleet; it can harm where the few happen to be shared with busy sentries and nothing tells so.
func (s *Sentry) chooseWorker(t *transaction, b BuildID) int {
	r := s.buildWorkers[b]
	if r == nil {
		return -1
	}
	best := s.leastLoaded(r.ready[:min(max(r.subsetSize, r.groupWorkers), len(r.ready))], t, b)
	near := r.groupWorkers >= minGroupWorkers && best >= 0 && s.loadScore(best) < maxGroupWorkerLoad/s.workers[best].Size
	open := best >= 0 && (!s.isOccupied(best) || s.likelyConnected(best) && s.refusedShare > ejectFailureRate)
	if near || open || r.subsetSize >= len(r.ready) {
		return best
	}
	r.subsetSize++
	for _, w := range r.ready[r.subsetSize-1:] {
		if s.isEligible(w, b, t) {
			return w
		}
	}
	return best
}

func (s *Sentry) leastLoaded(of []int, t *transaction, b BuildID) int {
	best, least := -1, 0.0
	look := max(sampledWorkers, sampledWorkers*len(of)/s.config.Sentries)
	if s.refusedShare > refusedShareSmoothing || s.maxZoneSlowdown > 1 || s.inGroup() { // few will do, or all are known
		look = len(of)
	}
	for i, w := range of {
		if look < len(of) {
			w = of[s.random.Intn(len(of))]
		}
		if i >= look && best >= 0 {
			break
		}
		if !s.isEligible(w, b, t) {
			continue
		}
		load := s.loadScore(w) * (1 + nonLoadFailureWeight*s.nonLoadFailureRate[w]*s.slowRecency(w))
		if len(t.handOffs)+1 >= s.config.MaxHandOffs { // the last one wants a worker that does not fail
			load *= 1 + 20*s.nonLoadFailureRate[w]
		}
		if best < 0 || load < least {
			best, least = w, load
		}
	}
	return best
}

// occupied says whether a worker of the set has as much to do as it should get.
func (s *Sentry) isOccupied(w int) bool {
	slow := s.slowRecency(w)*s.latencyRatio[w] > toleratedLatencyRatio
	return slow || s.openByWorker[w] > 0 || s.ejectedUntil[w] > s.now || s.recency(w)*s.otherLoad[w] > s.usualWorkerLoad
}

// fresh is how much of what is known of a worker's load still counts: one that was full once is tried again.
func (s *Sentry) recency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/float64(loadTTL)) }

// learnWay books how long answers take by zone: the way to one may be slow or lose what is sent, though each
// of its workers is met too seldom to tell.
func (s *Sentry) recordZoneLatency(w int, p *profileStats, h *handOff) {
	z, took := s.workers[w].Zone, float64(h.end.Duration)/p.expectedDuration
	switch {
	case h.end.Ending == Unconnected && !s.failedFast(h):
		took = maxZoneLatencyRatio
	case h.end.Ending != Answered && h.end.Ending != TimedOut:
		return
	}
	for len(s.zoneLatencyRatio) <= int(z) {
		s.zoneLatencyRatio, s.zoneUpdatedAt = append(s.zoneLatencyRatio, 1), append(s.zoneUpdatedAt, 0)
	}
	s.zoneLatencyRatio[z] += zoneLatencySmoothing * (min(maxZoneLatencyRatio, took) - s.zoneLatencyRatio[z])
	s.zoneUpdatedAt[z], s.maxZoneSlowdown = s.now, 1
	for z := range s.zoneLatencyRatio {
		s.maxZoneSlowdown = max(s.maxZoneSlowdown, s.zoneSlowdown(ZoneID(z)))
	}
}

// farther is how much slower than the own zone another one is, beyond chance, 1 at the least.
func (s *Sentry) zoneSlowdown(z ZoneID) float64 {
	own := s.config.Zone
	if z == own || int(z) >= len(s.zoneLatencyRatio) || int(own) >= len(s.zoneLatencyRatio) {
		return 1
	}
	fresh := max(0, 1-float64(s.now-s.zoneUpdatedAt[z])/s.slowTTL())
	return 1 + fresh*max(0, s.zoneLatencyRatio[z]/max(1, s.zoneLatencyRatio[own])/toleratedZoneRatio-1)
}

// recalled is the same for how slow it was, which a sentry with little to do remembers longer.
func (s *Sentry) slowRecency(w int) float64 { return max(0, 1-float64(s.now-s.seenAt[w])/s.slowTTL()) }

func (s *Sentry) slowTTL() float64 {
	return max(float64(loadTTL), slowTTLTransactions*float64(s.arrivalWindow)/float64(1+len(s.arrivalTimes)))
}

// score is the load of a worker for its size: the lowest wins. Among equals chance decides, by size.
func (s *Sentry) loadScore(w int) float64 {
	fresh, size := s.recency(w), s.workers[w].Size*s.warmUpCapacity(w, s.now)
	load := float64(s.openByWorker[w]) + max(fresh*s.otherLoad[w], s.groupOpenNow(w))
	if load < idleLoad {
		load = idleLoad * (s.random.ExpFloat64() - 1)
	}
	load = (load + 1) / size
	slower := 1 + s.slowRecency(w)*max(0, s.latencyRatio[w]/toleratedLatencyRatio-1)
	load *= math.Pow(slower, 1+oneIf(s.usualWorkerLoad == 0)) // where no load is reported, slowness stands for it too
	if z := s.workers[w].Zone; z != s.config.Zone {
		load *= (1 + 8*s.config.CrossZonePrice) * math.Pow(s.zoneSlowdown(z), 2)
	}
	if !s.likelyConnected(w) {
		load *= 1 + newConnectionPenalty*s.refusedShare
	}
	if s.ejectedUntil[w] > s.now {
		load *= 100
	}
	return load
}

// ready says whether a worker of the build may get this transaction now.
func (s *Sentry) isEligible(w int, b BuildID, t *transaction) bool {
	if s.workers[w].Build != b || s.workers[w].State != Ready || !s.hasLease(w) || s.atColdLimit(w) {
		return false
	}
	p := t.profile
	for i := range t.handOffs {
		h := &t.handOffs[i]
		if h.worker == w && (!h.ended || len(t.handOffs) < s.readyCount(b)) {
			return false
		}
		if !h.mayHaveRun || p.Repeatability != Deduplicated {
			continue
		}
		first, this := &s.workers[h.worker], &s.workers[w]
		if p.DedupScope == ScopeZone && first.Zone != this.Zone || p.DedupScope == ScopeCell && first.Cell != this.Cell {
			return false
		}
	}
	return true
}

func (s *Sentry) handOff(t *transaction) bool {
	w, p := t.worker, t.profile
	h := handOff{worker: w, build: s.workers[w].Build, sentAt: s.now, mayHaveRun: true, newConnection: !s.likelyConnected(w)}
	h.timingInvalid = h.newConnection
	t.handOffs = append(t.handOffs, h)
	s.openByWorker[w]++
	s.openHandOffs++
	s.coldHandOffs[w], s.handOffTimes = append(s.coldHandOffs[w], s.now), append(s.handOffTimes, s.now)
	if trial, onTrial := s.trialBuild(); onTrial && s.workers[w].Build == trial {
		for _, c := range t.exposureCounters() {
			s.exposedTimes[c] = dropUpTo(append(s.exposedTimes[c], s.now), s.now-s.maxRuleWindow-4*s.config.TimerGranularity)
		}
	}
	s.notifyGroup(w, messageHandOff)
	r := Action{Kind: HandOff, Transaction: t.ID, Worker: s.workers[w].ID, Deadline: t.Deadline, SendBy: s.sendBy(w)}
	s.result.Actions = append(s.result.Actions, r)
	if o := &s.config; o.MayHedge && len(t.handOffs) == 1 || !o.MayHedge && o.MayCancel && p.Repeatability != NonIdempotent {
		s.wakeUp(s.now+p.DueTime/2, t)
	}
	return false
}

// silent says that a worker has answered several that were sent after a hand-off: the answer to that, or its
// connection, is lost, and tells nothing of load or health. (Few may pass a long one; reports come too late.)
func (s *Sentry) answerLost(w int, sent Micros) bool { return s.answeredSentTimes[w][0] > sent }

// endSilent gives up a hand-off that takes suspiciously long and seems lost, where it may be sent again. It
// does harm where one is only very long: it runs twice.
func (s *Sentry) cancelIfLost(t *transaction) {
	n := len(t.handOffs) - 1
	switch h := &t.handOffs[n]; {
	case h.ended || !s.mayRetry(t):
	case s.answerLost(h.worker, h.sentAt):
		s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: n})
	default:
		s.wakeUp(s.now+t.profile.DueTime/8, t)
	}
}

// mayRepeat is rule 2 and the limits on hand-offs, where none is out or copies are allowed.
func (s *Sentry) mayRetry(t *transaction) bool {
	if len(t.handOffs) >= s.config.MaxHandOffs || t.Deadline-s.now < s.config.TimerGranularity {
		return false
	}
	p := t.profile
	for _, h := range t.handOffs {
		old := p.Repeatability == Deduplicated && s.now >= h.sentAt+p.DedupWindow-s.config.TimerGranularity
		if h.mayHaveRun && (p.Repeatability == NonIdempotent || old) {
			return false
		}
	}
	return true
}

func (s *Sentry) recordHandOffEnd(t *transaction, h *handOff) {
	h.ended = true
	h.mayHaveRun = h.end.Ending != TurnedAway && h.end.Ending != Unconnected && h.end.Ending != Unsent
	s.openByWorker[h.worker] = max(0, s.openByWorker[h.worker]-1)
	s.openHandOffs--
	s.renewLease(h)
	s.notifyGroup(h.worker, messageHandOffEnded)
	s.adjustConcurrencyLimit(&s.profiles[t.Profile], h.worker, h.end)
}

// settle closes the transaction or sends it again.
func (s *Sentry) closeOrRetry(t *transaction, h *handOff) {
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

// letGo ends the hand-offs of a closed transaction, no longer wanted: a copy, or all where its client left.
func (s *Sentry) cancelOpenHandOffs(t *transaction) {
	for n := range t.handOffs {
		if !t.handOffs[n].ended && s.config.MayCancel {
			s.result.Actions = append(s.result.Actions, Action{Kind: CancelHandOff, Transaction: t.ID, HandOffNumber: n})
		}
	}
	s.removeTransaction(t)
}

// quick says that a hand-off was broken or refused at once, which costs next to nothing, or that its answer
// was spoilt, which no load explains.
func (s *Sentry) failedFast(h *handOff) bool {
	e, soon := h.end.Ending, h.end.Duration < s.config.ConnectTimeout/8
	return e == Unreadable || soon && (e == Broken || e == Unconnected)
}

// tooCold keeps this sentry's part of what all may send a cold worker: half the stated multiple of what one
// of its size usually gets of this sentry's traffic, chance standing in for what is less than one. It guards
// against bursts, retries and fleets that start anew falling on a few, however many sentries there are.
func (s *Sentry) atColdLimit(w int) bool {
	warmth := s.warmUpCapacity(w, s.now)
	if warmth >= 1 {
		s.coldHandOffs[w] = nil
		return false
	}
	s.coldHandOffs[w] = dropUpTo(s.coldHandOffs[w], s.now-s.maxRuleWindow)
	if s.now >= s.randomAllowanceUntil[w] {
		s.randomAllowance[w], s.randomAllowanceUntil[w] = s.random.Float64(), s.now+s.config.ColdLoadWindow
	}
	fair := s.workers[w].Size * s.usualLoad * float64(s.config.ColdLoadWindow) / float64(s.arrivalWindow)
	if r := s.buildWorkers[s.workers[w].Build]; r != nil && r.subsetSize < len(r.ready) { // the rest is for other sentries
		fair *= float64(len(r.ready)) / float64(r.subsetSize)
	}
	free := freeColdHandOffs * s.config.ColdLoadMultiple * float64(s.config.ColdLoadWindow) / float64(second)
	extra := min(2, s.randomAllowance[w]+free/float64(s.config.Sentries))
	sent := float64(countAfter(s.coldHandOffs[w], s.now-s.config.ColdLoadWindow))
	return sent+1 > extra+coldLoadShare*s.config.ColdLoadMultiple*warmth*fair
}

// holds is how many transactions a worker has by its report, below 0 if that can't be told. What is not told
// follows from what is served in a second and the time of one, as long as some share of its cores is busy.
func (s *Sentry) reportedInFlight(w int, h *handOff) float64 {
	load := h.end.Load
	if load.InFlight >= 0 || load.ServedPerSecond < 0 {
		return load.InFlight
	}
	return load.ServedPerSecond * s.latencyRatio[w] * s.usualDuration() / float64(second)
}

// learnWorker books what an ended hand-off says of its worker.
func (s *Sentry) recordWorkerOutcome(t *transaction, h *handOff) {
	w, p := h.worker, &s.profiles[t.Profile]
	silent := h.end.Ending == TimedOut && s.answerLost(w, h.sentAt)
	renew := max(latencyRatioSmoothing, (1-s.recency(w))/2)
	s.seenAt[w] = s.now
	if held := s.reportedInFlight(w, h); held >= 0 {
		s.usualWorkerLoad += rateSmoothing * (held - s.usualWorkerLoad)
		s.otherLoad[w] += otherLoadSmoothing * (max(0, held-float64(s.openByWorker[w])) - s.otherLoad[w])
	}
	if silent || h.end.Ending == Cancelled || h.end.Ending == Unsent || h.end.Ending == Unreadable {
		return
	}
	if h.end.Ending != Answered {
		s.ownErrors += ownFailureSmoothing * (oneIf(h.end.Ending == Errored)*ownFailureWindow - s.ownErrors)
		s.ownFailures += ownFailureSmoothing * (ownFailureWindow - s.ownFailures)
	}
	hurried := h.end.Ending == TimedOut && h.end.Duration < p.DueTime // the client's patience, not the worker
	s.failureRate[w] += failureRateSmoothing * (oneIf(h.end.Ending != Answered && !hurried) - s.failureRate[w])
	full := h.end.Ending == TurnedAway || h.end.Ending == TimedOut
	s.nonLoadFailureRate[w] += failureRateSmoothing * (oneIf(h.end.Ending != Answered && !full) - s.nonLoadFailureRate[w])
	if h.end.Ending == Answered && !h.timingInvalid || h.end.Ending == TimedOut {
		ratio := min(10, float64(h.end.Duration)/p.expectedDuration)
		s.latencyRatio[w] += renew * (ratio - s.latencyRatio[w])
	}
	if h.newConnection && (h.end.Ending == Answered || h.end.Ending == Unconnected) {
		s.refusedShare += refusedShareSmoothing * (oneIf(h.end.Ending == Unconnected) - s.refusedShare)
	}
	s.recordZoneLatency(w, p, h)
	switch h.end.Ending {
	case Unconnected, Broken: // one that still answers some is not dead: only this sentry's way to it is bad
		if s.now >= s.ejectedUntil[w] && !(s.failedFast(h) && s.now-s.lastAnswerAt[w] < loadTTL) {
			s.lastAnswerAt[w], s.consecutiveFailures[w] = 0, min(s.consecutiveFailures[w]+1, 4) // tried after growing waits
			s.ejectedUntil[w] = s.now + second/2<<s.consecutiveFailures[w]
		}
	case Answered:
		latest := s.answeredSentTimes[w][:]
		latest[0] = max(latest[0], h.sentAt)
		slices.Sort(latest)
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

func (s *Sentry) eject(w int) {
	s.ejectedUntil[w] = max(s.ejectedUntil[w], s.now+max(second, Micros(s.slowTTL()/4)))
}

// shunOverdue leaves out workers that take work and do not answer, which a time-out would tell much later,
// and counts lost hand-offs: they are no load. Once many are out, one that answered what came later stays.
func (s *Sentry) ejectOverdue() {
	s.lostHandOffs = 0
	few := s.ejectedCount()*fewEjectedDivisor < s.readyCount(s.earlierBuild)
	for _, t := range s.openTransactions {
		for i := range t.handOffs {
			switch h := &t.handOffs[i]; {
			case h.ended || s.now < h.sentAt+t.profile.DueTime:
			case s.answerLost(h.worker, h.sentAt):
				s.lostHandOffs++
			case few || s.lastAnswerAt[h.worker] <= h.sentAt:
				s.eject(h.worker)
			}
		}
	}
}

// rankOf draws a worker's place in this sentry's order: its group's first, by size, the own zone's sooner.
func (s *Sentry) drawRank(in Worker) float64 {
	return s.random.ExpFloat64()/in.Size*(1+otherZoneRankPenalty*oneIf(in.Zone != s.config.Zone)) + otherGroupRank*oneIf(!s.inOwnGroup(in.ID))
}

// ---- The build on trial ----

// Told takes the platform's news and the answer to a vote.
func (s *Sentry) ReleaseUpdated(now Micros, n ReleaseStatus) Result {
	return s.handleEvent(now, func() {
		if n.VoteResult == VoteRefused || n.VoteResult == VoteTimedOut {
			s.lastVoteAt = 0
			s.nextVoteAt = s.now + second/4 + Micros(s.random.Int63n(int64(second)/2))
		}
		if n.Valid {
			if n.Build != s.releaseStatus.Build || !s.releaseStatus.Valid {
				s.startTrial()
			}
			if n.Build != s.releaseStatus.Build || n.Stage != s.releaseStatus.Stage || n.Phase != s.releaseStatus.Phase {
				s.statusSince = s.now - n.Age
			}
			if n.Phase != OnTrial { // sent back, or no earlier build is used any more
				s.rolledBack[n.Build] = n.Phase != Released
				clear(s.trialKeys)
			}
			s.releaseStatus = n
			s.refreshBuilds()
		}
	})
}

func (s *Sentry) startTrial() {
	s.resetTrial()
	if len(s.arrivalTimes) >= minSampleSize {
		s.baselineLoad = s.ownLoad()
	}
	if s.baselineAt, s.baselineCapacity = s.now, s.fleetCapacity; s.now-s.firstCallAt > s.arrivalWindow {
		s.baselineArrivalRate = float64(len(s.arrivalTimes)) / float64(s.arrivalWindow)
	}
	for i := range s.profiles {
		if p := &s.profiles[i]; p.earlierOutcomes >= max(1, 10*minSampleSize/s.config.Sentries) {
			p.baselineThreshold = p.latencyThreshold
		}
	}
}

// lookAround finds the earlier build and how far the trial reaches, after news or a list.
func (s *Sentry) refreshBuilds() {
	s.refreshReadyWorkers()
	s.earlierBuild = s.findEarlierBuild()
	s.concurrencyLimit = cmp.Or(s.concurrencyLimit, minConcurrencyPerWorker*float64(s.readyCount(s.earlierBuild)))
	s.rampTrialSlots()
	s.runQueued()
}

// findBase is the released build, or else the build below the trial that most of the ready workers run.
func (s *Sentry) findEarlierBuild() BuildID {
	if s.releaseStatus.Valid && s.releaseStatus.Phase == Released {
		return s.releaseStatus.Build
	}
	best, most := BuildID(-1), 0.0
	for b, r := range s.buildWorkers {
		if s.releaseStatus.Valid && b >= s.releaseStatus.Build || s.rolledBack[b] {
			continue
		}
		if r.capacity > most || r.capacity == most && r.capacity > 0 && b > best {
			best, most = b, r.capacity
		}
	}
	return best
}

// ramp raises the trial's slots with what its workers can do by now, up to the cap, and never lowers them
// while the cap stands: a key that was sent to the trial stays there.
func (s *Sentry) rampTrialSlots() {
	trial, on := s.trialBuild()
	if !on {
		s.trialSlots = 0
		return
	}
	trialCan, fleet := 0.0, s.capacity(s.earlierBuild)
	if r := s.buildWorkers[trial]; r != nil {
		trialCan = r.warmCapacity
	}
	// Where the earlier workers all stay, they have little to do: the trial's would carry far more than they.
	fleet += trialCan * (1 - oneIf(s.config.EarlierWorkersStay && fleet > 0)*2/3)
	share := trialShareFactor * trialCan / max(fleet, 1e-9)
	s.trialSlots = min(max(s.trialSlots, percent(share)), percent(s.releaseStatus.Cap))
}

// trial is the build on trial, if there is one that may be sent to: also one that goes back, until its cap is
// down or an earlier worker is ready.
func (s *Sentry) trialBuild() (BuildID, bool) {
	last := s.releaseStatus.Phase == RollingBack && s.releaseStatus.Cap > 0 && s.earlierBuild < 0
	return s.releaseStatus.Build, s.releaseStatus.Valid && (s.releaseStatus.Phase == OnTrial || last)
}

// slotOf is the two-build hash of the design page.
func hashSlot(k Key, earlier, trial BuildID) int {
	sum := md5.Sum([]byte(string(k) + "-" + strconv.Itoa(int(earlier)) + "-" + strconv.Itoa(int(trial))))
	return int(binary.BigEndian.Uint64(sum[:8]) % 100)
}

// mayExpose is the window counter: one more hand-off to the trial keeps within free + cap x taken, by the
// orders and by those before them whose window is not past. For keys new to it the cap is what its workers
// can carry: a hot one makes few of them slow, which looks like a fault of the build.
func (s *Sentry) withinExposureBound(t *transaction, met bool) bool {
	o, most := &s.config, min(s.releaseStatus.Cap, max(oneIf(met), float64(s.trialSlots)/100))
	over := func(b exposureBound) bool {
		c, from := t.exposureCounters()[int(oneIf(b.byProfile))], s.now-b.window+s.config.TimerGranularity
		sent, taken := countAfter(s.exposedTimes[c], from-3*s.config.TimerGranularity), countAfter(s.takenTimes[c], from)
		return b.until > s.now && float64(sent+1) > b.free+most*float64(taken)
	}
	now := exposureBound{o.FreeExposure, o.ExposureWindow, o.ExposureByProfile, s.now + 1}
	return !over(now) && !slices.ContainsFunc(s.formerBounds, over)
}

// learnBuild books an ended hand-off with the builds: the trial's failures beyond the earlier's rate add up.
func (s *Sentry) recordBuildOutcome(t *transaction, h *handOff) {
	p := &s.profiles[t.Profile]
	_, onTrial := s.trialBuild()
	newest := s.releaseStatus.Valid && (onTrial || s.releaseStatus.Phase == Released) && h.build == s.releaseStatus.Build
	// What may have run may have been answered, unread, by either build that the list gave the worker meanwhile.
	answered := h.mayHaveRun && h.end.Ending != Errored
	if answered && onTrial && (newest || s.workers[h.worker].Build == s.releaseStatus.Build) {
		s.trialKeys[t.Key] = s.releaseStatus.Build
	}
	took, failed, bar := float64(h.end.Duration), h.end.Ending == Errored, min(lateFactor*p.latencyThreshold, float64(p.DueTime))
	seen := failed || h.end.Ending == Answered || h.end.Ending == TimedOut && !s.answerLost(h.worker, h.sentAt)
	if !seen || !newest && h.build != s.earlierBuild {
		return
	}
	age := s.now - s.workerStart(h.worker)
	warm := !failed && !h.timingInvalid && age >= max(settleTime, s.config.WarmUp)
	slow := !failed && (h.end.Ending == TimedOut || took > bar)
	k, miss := missKind(oneIf(slow)), newest && (failed || slow)
	weight := s.missWeight(h.worker, k, miss)
	s.ownMisses[k][h.worker] += uint64(oneIf(miss))
	if newest && h.end.Ending == Answered {
		s.wrongAnswerSum = max(0, s.wrongAnswerSum-complaintDecayPerAnswer)
	}
	if !s.platformCountsAreCurrent() {
		if warm {
			s.judgeFleetLatency(p, took)
		}
		trial := h.build != s.earlierBuild || newest && s.judgedOutcomes > 0 // also just released
		s.recordOutcome(t.Profile, errorMiss, trial, failed, weight)
		if warm {
			s.recordOutcome(t.Profile, lateMiss, h.build != s.earlierBuild, slow, weight)
		}
	}
	if h.build != s.earlierBuild {
		return
	}
	p.earlierOutcomes++
	if warm {
		rate := max(rateSmoothing, 1/float64(p.earlierOutcomes)) // quick at first, for a trial may begin soon
		if !s.isJudging() {                                      // paces are to what was usual before the trial
			p.expectedDuration += rate * (took - p.expectedDuration)
		}
		p.latencyThreshold += 4 * rate * (oneIf(took > p.latencyThreshold) - aboveThresholdShare) * p.expectedDuration
	}
}

// observe books one outcome, judges it and keeps it for the sentries that collect.
func (s *Sentry) recordOutcome(id ProfileID, k missKind, trial, hit bool, weight float64) {
	s.countOutcome(countIndex(id, k, trial), hit)
	s.judgeOutcomes(id, k, trial, 1, oneIf(hit)*weight)
}

// judge takes n outcomes of one build of which so many failed or were late. The earlier build's go into its
// rate, the trial's excess over that adds up.
func (s *Sentry) judgeOutcomes(id ProfileID, k missKind, trial bool, n, hits float64) {
	own, all := &s.profiles[id], &s.allProfiles
	if !trial {
		s.earlierOutcomeAt = s.now
		own.earlierMissRate[k] += (1 - math.Pow(1-rateSmoothing, n)) * (hits/n - own.earlierMissRate[k])
		return
	}
	by := errorWeight * (hits - n*(own.earlierMissRate[errorMiss]+toleratedErrorShare))
	if k == lateMiss {
		if s.now-s.earlierOutcomeAt >= second || own.earlierMissRate[lateMiss] >= overloadLateRate {
			return
		}
		load := max(1, s.fleetCapacity*s.trialShare()/max(s.capacity(s.releaseStatus.Build), 1e-9)) * s.relativeLoad()
		by = lateWeight * (hits - n*(2*own.earlierMissRate[lateMiss]+toleratedLateShare*s.expectedSlowdown(load))) * s.lateMeter.addAndWeigh(s.now, n)
	} else {
		s.judgedOutcomes += int(n)
	}
	own.trialExcess[k], all.trialExcess[k] = max(0, own.trialExcess[k]+by), max(0, all.trialExcess[k]+by)
}

// judgeAll compares all workers, of either build, with what answers took before the trial began: a build may
// slow the whole fleet. Nothing is held against it where the fleet bears clearly more than then (a burst,
// workers lost), where a quarter of the workers (of many sentries' answers, half) is as quick as ever, or
// long after the release. It can harm a build when all slow down for a reason that no load shows.
func (s *Sentry) judgeFleetLatency(p *profileStats, took float64) {
	if !s.isJudging() || p.baselineThreshold == 0 {
		return
	}
	slow := took > min(fleetSlowFactor*p.baselineThreshold, float64(p.DueTime)) &&
		(s.cooperates() || s.lowerQuartileLatencyRatio() > fleetSlowLatencyRatio*s.expectedSlowdown(s.relativeLoad()))
	s.countOutcome(len(s.outcomeCounts)-4, slow)
	s.addFleetOutcomes(1, oneIf(slow))
}

func (s *Sentry) addFleetOutcomes(n, slow float64) {
	slack := toleratedFleetSlowShare
	if s.cooperates() {
		first := oneIf(s.releaseStatus.Stage == 0) // what is slow with next to no trial is no fault of it
		s.firstStageOutcomes, s.firstStageSlow = s.firstStageOutcomes+first*n, s.firstStageSlow+first*slow
		slack = max(minToleratedSlowShare, min(maxToleratedSlowShare, 0.8*minToleratedSlowShare+s.firstStageSlow/max(1, s.firstStageOutcomes)))
		slack *= s.expectedSlowdown(s.relativeLoad())
	}
	s.fleetSlowExcess = max(0, s.fleetSlowExcess+(slow-n*slack)*s.fleetMeter.addAndWeigh(s.now, n))
}

// part is how much n more outcomes count each: times of one second hang together in a jam.
func (m *rateMeter) addAndWeigh(now Micros, n float64) float64 {
	m.rate, m.at = m.rate*math.Exp(-float64(now-m.at)/float64(second))+n, now
	return fullWeightPerSecond / max(m.rate, fullWeightPerSecond)
}

// byLoad is how much slower than before the trial workers may be for this load alone.
func (s *Sentry) expectedSlowdown(load float64) float64 { return 1 + slowdownPerLoad*max(0, load-1) }

// loadNow is the load to that before the trial, taken for no other where too little was seen then.
func (s *Sentry) relativeLoad() float64 {
	if s.cooperates() && s.baselineArrivalMeter.rate > 0 {
		return s.arrivalMeter.rate / s.baselineArrivalMeter.rate * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	}
	if s.baselineLoad == 0 {
		return 1
	}
	return s.ownLoad() / s.baselineLoad
}

// watched says whether the newest build is on trial or freshly released; hundreds of sentries see what is
// slow everywhere long before each has met the trial itself.
func (s *Sentry) isJudging() bool {
	on := s.releaseStatus.Phase == OnTrial
	return (s.judgedOutcomes > 0 || on && s.cooperates()) && (on || s.now-s.statusSince <= 2*observationTime)
}

// quickPace is the pace that a quarter of the ready workers keeps or beats.
func (s *Sentry) lowerQuartileLatencyRatio() float64 {
	paces := []float64{1}
	for b, r := range s.buildWorkers {
		for _, w := range r.ready[:min(r.subsetSize, len(r.ready))] {
			if (b == s.earlierBuild || b == s.releaseStatus.Build) && s.warmUpCapacity(w, s.now) == 1 && s.slowRecency(w) > 0 {
				paces = append(paces, s.latencyRatio[w])
			}
		}
	}
	slices.Sort(paces[1:])
	return paces[min(len(paces)-1, (len(paces)+3)/4)]
}

// weigh counts a miss of a worker of the trial for less the more this worker has missed beyond its even part
// of all. It guards against a machine's own trouble (failing fast, slow, shared with another program); it
// costs time where a bad build has very few workers of which one gets most of the traffic.
func (s *Sentry) missWeight(w int, k missKind, miss bool) float64 {
	if !miss {
		return 1
	}
	n := max(1, float64(s.readyCount(s.workers[w].Build)))
	prior, part := n, min(1, manyTrialWorkers/n)
	if s.cooperates() { // so many misses a second that a few workers' first ones would do
		prior, part = n*part, 1
	}
	even := min(1, (s.totalTrialMisses[k]+prior)/(n*(s.trialMisses[k][w]+1)))
	s.totalTrialMisses[k]++
	s.trialMisses[k][w]++
	return even * even * part
}

// Complained takes a client's word that an answer was wrong as an error of that build. Where each judges by
// itself and no count shows it, one votes back for some answers, since many must do so at a time: false ones
// are too few. One on the earlier build takes one away. It can harm a build where few votes send it back.
func (s *Sentry) ComplaintReceived(now Micros, c Complaint) Result {
	return s.handleEvent(now, func() {
		if w, known := s.workerIndex[c.Worker]; known && c.Profile >= 0 && int(c.Profile) < len(s.profiles) {
			newest := s.releaseStatus.Valid && s.workers[w].Build == s.releaseStatus.Build
			if s.judgesByPlatformCounts() { // they do not see it, and nobody else will tell
				s.wrongAnswerSum = max(0, s.wrongAnswerSum+complaintWeight*(2*oneIf(newest && s.isJudging())-1))
				return
			}
			s.recordOutcome(c.Profile, errorMiss, newest, true, s.missWeight(w, errorMiss, newest))
		}
	})
}

const (
	ownFailureSmoothing, ownFailureWindow = 0.1, 10.0 // of a sentry's own failures, about so many count
	platformCountsValidPeriods            = 4         // periods for which the platform's counts hold
	meanSmoothing                         = 0.2       // for each of its periods
	toleratedMeanIncrease                 = 0.5       // share by which a mean may be longer
	toleratedFailureIncrease              = 0.1       // and of failures, beyond twice the earlier build's

	complaintWeight         = 2 * rollBackExcess
	complaintDecayPerAnswer = rollBackExcess / 30 // for each answer of the trial

	manySentries                                 = 20
	minToleratedSlowShare, maxToleratedSlowShare = 0.45, 0.9  // share of slow answers let pass there: at the least and the most
	collectorCount                               = 3          // sentries that judge what all have seen
	maxReportedWorkers                           = 20         // workers that a report names with their misses
	collectorVerdictLifetime                     = 3 * second // for how long what a collector says counts
)

// together says whether so many judge that only all of them see enough.
func (s *Sentry) cooperates() bool { return s.config.MayMessage && s.config.Sentries >= manySentries }

// collectorsAt names the sentries that collect in this trial, by position.
func (s *Sentry) collectors() (at []SentryID) {
	for i := range collectorCount {
		at = append(at, SentryID((int(s.releaseStatus.Build)+i*s.config.Sentries/collectorCount)%s.config.Sentries))
	}
	return at
}

func (s *Sentry) isCollector() bool { return slices.Contains(s.collectors(), s.config.Position) }

// pool sends what this sentry has counted to the collectors, and what a collector makes of all to all. Counts
// are sent whole each time, so that a lost message or a restart of either side loses nothing for long. It
// guards against judging on very little; where messages are lost each judges by itself.
func (s *Sentry) sendReports(v Verdict) {
	if !s.config.MayMessage || s.now < s.nextReportAt {
		return
	}
	s.nextReportAt = s.now + second*3/4
	if s.isCollector() {
		body := encodeMessage(messageVerdict, []uint64{uint64(s.releaseStatus.Build), uint64(s.releaseStatus.Stage), uint64(v)})
		s.result.Messages = append(s.result.Messages, Message{To: EverySentry, Body: body})
	}
	values := s.ownReport(maxReportedWorkers)
	for _, to := range s.collectors() {
		if to != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: to, Body: encodeMessage(messageReport, values)})
		}
	}
}

// Neighbours. Where sentries are about as many as workers, each learns of a worker's load once in seconds:
// most go to busy workers while others idle. Some sentries then share some workers, which all prefer, and
// tell each other of every hand-off to these, in three bytes.
const (
	sentriesPerGroup   = 8
	minGroupWorkers    = 6   // workers in a group, else there is none
	maxGroupWorkerLoad = 3.0 // load from which others are tried, who do not hear of it
	otherGroupRank     = 1e6
	groupOpenTTL       = 20.0 // usual times for which a hand-off counts whose end was not heard of
)

func (s *Sentry) groupCount() int { return max(1, s.config.Sentries/sentriesPerGroup) }

// shares says whether this sentry is in a group with others.
func (s *Sentry) inGroup() bool {
	r := s.buildWorkers[s.earlierBuild]
	return s.cooperates() && r != nil && r.groupWorkers >= minGroupWorkers
}

// ours says whether a worker is one of this sentry's group.
func (s *Sentry) inOwnGroup(id WorkerID) bool {
	return s.cooperates() && int(shortID(id))%s.groupCount() == int(s.config.Position)%s.groupCount()
}

// tellNear tells the others of the group what became of a hand-off to one of its workers.
func (s *Sentry) notifyGroup(w int, what byte) {
	if !s.inGroup() || s.rank[w] >= otherGroupRank {
		return
	}
	body, g := encodeMessage(what, []uint64{shortID(s.workers[w].ID)}), s.groupCount()
	for i := int(s.config.Position) % g; i < s.config.Sentries; i += g {
		if SentryID(i) != s.config.Position {
			s.result.Messages = append(s.result.Messages, Message{To: SentryID(i), Body: body})
		}
	}
}

// nearNow is how much of what the neighbours handed to a worker it still has.
func (s *Sentry) groupOpenNow(w int) float64 {
	if s.groupOpen[w] == 0 {
		return 0
	}
	return max(0, s.groupOpen[w]-float64(s.now-s.groupOpenAt[w])/max(1, groupOpenTTL*s.usualDuration()))
}

// PeerSaid takes a message. What does not hold together is dropped.
func (s *Sentry) PeerMessageReceived(now Micros, from SentryID, body []byte) Result {
	return s.handleEvent(now, func() {
		what, values := decodeMessage(body)
		known := from >= 0 && int(from) < s.config.Sentries && from != s.config.Position
		switch {
		case known && (what == messageHandOff || what == messageHandOffEnded) && len(values) == 1:
			if w, named := s.byShortID[values[0]]; named {
				more := 1 - 2*oneIf(what == messageHandOffEnded)
				s.groupOpen[w], s.groupOpenAt[w] = max(0, s.groupOpenNow(w)+more), s.now
			}
		case !known || len(values) == 0 || !s.releaseStatus.Valid || BuildID(values[0]) != s.releaseStatus.Build:
		case what == messageVerdict && len(values) == 3 && values[2] <= uint64(RollBack):
			if v := Verdict(values[2]); v >= s.collectorVerdict || s.now-s.collectorVerdictAt >= collectorVerdictLifetime {
				s.collectorVerdict, s.collectorVerdictAt, s.collectorVerdictStage = v, s.now, int(values[1]) // the strongest heard lately
			}
		case what == messageReport && len(values) >= len(s.outcomeCounts)+3 && values[2] == uint64(len(s.outcomeCounts)) && s.isCollector():
			s.mergeReport(from, report{values[1], values[3 : len(s.outcomeCounts)+3], values[len(s.outcomeCounts)+3:]})
		}
	})
}

// Counted takes what the platform counted of a build. It stands in for messages: where its sample is more
// than this sentry sees itself, the sums go by it and not by this sentry's own outcomes, so that none counts
// twice. All sentries then err alike; own outcomes judge again when no counts have come for some periods.
func (s *Sentry) CountsReceived(now Micros, c BuildCounts) Result {
	return s.handleEvent(now, func() {
		if c.Profile < 0 || int(c.Profile) >= len(s.profiles) || c.HandOffs <= 0 || !s.judgesByPlatformCounts() {
			return
		}
		s.platformCountsAt = s.now
		p, n, failed := &s.profiles[c.Profile], float64(c.HandOffs), float64(min(c.HandOffs, c.Failed))
		newest := s.releaseStatus.Valid && c.Build == s.releaseStatus.Build && (c.Build != s.earlierBuild || s.judgedOutcomes > 0)
		if !newest && c.Build != s.earlierBuild {
			return
		}
		if newest { // of any kind, a worker's death too; this sentry's own tell how many are errors
			failed = max(0, failed*(s.ownErrors+1)/(s.ownFailures+1)-n*(toleratedFailureIncrease+max(p.earlierMissRate[errorMiss], p.earlierFailedShare)))
		} else {
			p.earlierFailedShare = failed / n
		}
		if !newest || s.now-s.earlierOutcomeAt <= platformCountsValidPeriods*s.config.CountsPeriod { // else nothing tells what is usual now
			s.judgeOutcomes(c.Profile, errorMiss, newest, n, failed)
		}
		at := s.now - c.Age - s.config.CountsPeriod/2
		s.addPeriodMean(p, n-float64(c.Failed), float64(c.MeanDuration), newest, at)
	})
}

// countsRule says whether the platform's counts drive the sums.
func (s *Sentry) judgesByPlatformCounts() bool {
	o := &s.config
	return o.CountsPeriod > 0 && !o.MayMessage && o.CountsSampleShare*float64(o.Sentries) > 1
}

// counted says whether they do so now.
func (s *Sentry) platformCountsAreCurrent() bool {
	return s.judgesByPlatformCounts() && s.platformCountsAt > 0 && s.now-s.platformCountsAt < platformCountsValidPeriods*s.config.CountsPeriod
}

// tellMeans adds a mean time to those of its period, over all profiles: of the trial, the warmth of its
// workers then allowed for, and of all.
func (s *Sentry) addPeriodMean(p *profileStats, n, mean float64, newest bool, at Micros) {
	if n <= 0 || mean <= 0 {
		return
	}
	if newest {
		mean *= s.buildWarmUpCapacity(s.releaseStatus.Build, at)
	} else if p.earlierMean += max(meanSmoothing, oneIf(p.earlierMean == 0)) * (mean - p.earlierMean); !s.isJudging() {
		p.baselineMean = p.earlierMean
	}
	for i := range s.periodMeans[:1+int(oneIf(newest))] {
		if m := &s.periodMeans[i]; p.baselineMean > 0 {
			m.answers, m.duration, m.baselineDuration, m.earlierDuration = m.answers+n, m.duration+n*mean, m.baselineDuration+n*p.baselineMean, m.earlierDuration+n*p.earlierMean
		}
	}
}

// judgeMeans judges what came of a period. A mean that is so many times as long counts as so many late ones:
// the trial's beside the earlier build's or the time before, whichever is longer, those of both beside the
// time before, in both cases by more than the load explains.
func (s *Sentry) judgePeriodMeans() {
	all, trial := s.periodMeans[0], s.periodMeans[1]
	s.periodMeans = [2]latencyMeans{}
	perSecond := all.answers * float64(second) / float64(s.config.CountsPeriod)
	if !s.isJudging() {
		s.baselinePlatformRate += max(meanSmoothing, oneIf(s.baselinePlatformRate == 0)) * (perSecond - s.baselinePlatformRate)
		return
	}
	load := max(1, perSecond/max(s.baselinePlatformRate, 1e-9)) * max(1, s.baselineCapacity/max(s.fleetCapacity, 1e-9))
	if all.answers > 0 {
		slow := min(1, max(0, all.duration/all.baselineDuration/s.expectedSlowdown(load)-1))
		s.fleetSlowExcess = max(0, s.fleetSlowExcess+lateWeight*all.answers*(slow-toleratedMeanIncrease)*s.fleetMeter.addAndWeigh(s.now, all.answers))
	}
	if trial.answers > 0 {
		load *= max(1, s.baselineCapacity*float64(s.trialSlots)/max(100*s.capacity(s.releaseStatus.Build), 1e-9))
		longer := trial.duration / max(trial.earlierDuration, trial.baselineDuration*s.expectedSlowdown(load))
		weight := lateWeight * trial.answers * s.lateMeter.addAndWeigh(s.now, trial.answers)
		s.allProfiles.trialExcess[lateMiss] = max(0, s.allProfiles.trialExcess[lateMiss]+weight*(min(1, max(0, longer-1))-toleratedMeanIncrease))
	}
}

// vote forms this sentry's verdict and sends it when it has changed or is about to lapse.
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
	if s.usualLoad == 0 || s.releaseStatus.Phase != RollingBack {
		s.handOffTimes = dropUpTo(s.handOffTimes, s.now-s.arrivalWindow) // not what comes: under overload that is more than workers bear
		s.usualLoad += max(usualLoadSmoothing, oneIf(s.usualLoad == 0)) * (float64(len(s.handOffTimes))/max(s.fleetCapacity, 1e-9) - s.usualLoad)
	}
	if !s.releaseStatus.Valid || s.releaseStatus.Phase != OnTrial && s.releaseStatus.Phase != Released {
		return
	}
	s.rampTrialSlots()
	v := Vote{Build: s.releaseStatus.Build, Stage: s.releaseStatus.Stage, Verdict: s.decideVerdict()}
	s.sendReports(v.Verdict)
	if v.Verdict != NoVerdict && (v != s.lastVote || s.lastVoteAt == 0 || s.now-s.lastVoteAt >= s.config.VoteTTL*6/10) {
		if v != s.lastVote && (s.isCollector() || s.config.Sentries < manySentries) {
			s.logVote(v.Verdict)
		}
		s.result.Votes = append(s.result.Votes, v)
		s.lastVote, s.lastVoteAt = v, s.now
	}
}

func (s *Sentry) decideVerdict() Verdict {
	o, patience, limit, sums, collects := &s.config, observationTime, rollBackExcess, s.excessSums(), s.isCollector()
	if !o.MayMessage || !collects { // the more may vote, the less a chance sum may decide
		limit += math.Log(1 + float64(o.Sentries)/float64(10*max(1, o.RollBackVotes)))
		sums = sums[int(oneIf(s.cooperates())):] // what is slow among all it does not see
	}
	limit *= 1 + releasedLimitIncrease*oneIf(s.releaseStatus.Phase == Released)
	if s.collectorVerdictAt > s.now-collectorVerdictLifetime && !collects && (s.cooperates() || s.fleetSlowExcess <= limit) {
		if max(o.AdvanceVotes, o.RollBackVotes, o.HoldVotes) <= collectorCount || s.collectorVerdictStage != s.releaseStatus.Stage {
			return NoVerdict // theirs are enough, or not yet of this stage
		}
		return s.collectorVerdict
	}
	sum := slices.Max(sums)
	if s.rollBackDecided = s.rollBackDecided || sum > limit; s.rollBackDecided || s.wrongAnswerSum > limit {
		return RollBack
	}
	patience *= 1 + Micros(2*oneIf(o.MayMessage && !collects)) // others may know more
	r := s.buildWorkers[s.releaseStatus.Build]
	switch timer := o.Control == ControlTimer; {
	case s.releaseStatus.Phase == Released || r == nil || len(r.ready) == 0:
		return NoVerdict
	case timer && sum > maxAdvanceExcess:
		return Hold
	case timer || sum >= maxAdvanceExcess:
		return NoVerdict
	}
	// The release takes the earlier workers away: before it, all is looked at under full load for a while.
	last := o.EarlierWorkersStay && s.releaseStatus.Stage+1 >= len(o.StageCaps)
	settled := s.now - max(s.statusSince, r.youngestStart) - Micros(oneIf(last))*o.WarmUp/lastStageWarmUpDivisor
	if settled >= patience || settled >= settleTime && s.judgedOutcomes >= minSampleSize {
		return Advance
	}
	return NoVerdict
}
