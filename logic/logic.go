// Package logic holds every decision of a sentry: which build and worker a transaction goes to, what happens
// when a hand-off fails, and how the sentry votes on the build on trial.
//
// How to call it: make one Sentry with New, from its StandingOrders and a seed, then make one call for each
// thing that happens (Arrive, HandOffEnded, Listed, Told, ...), each with the caller's time. Every call
// returns a Result; carry it out in order and call Wake when its WakeAt comes. Nothing else is kept or
// shared. The types are in port.go.
//
// Reading order: the chain (admit, assign, pick, hand off), the workers, the list, the judge.
package logic

import (
	"cmp"
	"crypto/md5"
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
)

const (
	second = Micros(1_000_000)

	// From the design page.
	voteBackAt  = 4.0        // a sum above it votes back
	voteOnBelow = 2.0        // a sum under it may vote on
	leastSample = 20         // outcomes before a vote on
	settleTime  = 3 * second // a worker this young is not judged on time
	noAlarmTime = 5 * second
	firstRate   = 0.05 // assumed before anything was seen

	// Open on the design page.
	lean         = 1.3  // share sent to the trial build, to its share of what the fleet can do
	strained     = 0.2  // the earlier build's rate of late ones from which lateness tells of load alone
	calmTimes    = 1.6  // a hand-off this many bars of before the trial long counts as late for all
	calmSlack    = 0.2  // excess of these that is let pass
	calmPace     = 1.2  // pace of the quicker workers from which all are slower
	allPerSecond = 20.0 // outcomes of a second that count in full there
	loadSlows    = 2.5  // how much the pace rises with load for no fault of a build
	errorSlack   = 0.01 // excess of errors that is let pass
	errorWeight  = 1.5  // three errors close together reach voteBackAt
	manyWorkers  = 8.0  // from so many of the trial on, a miss at any one says less
	barShare     = 0.2  // share of the earlier build's answers that take longer than the bar
	slowTimes    = 2.5  // a hand-off this many bars long counts as late
	lateSlack    = 0.15 // excess of late ones over twice that rate that is let pass
	lateWeight   = 0.6  // times are noisy: seven late ones close together reach voteBackAt
	rateFade     = 0.02
	paceFade     = 0.12
	faultFade    = 0.25
	othersFade   = 0.4
	shunAbove    = 0.5
	freshFor     = 3 * second // for how long what is heard of a worker counts
	slowPace     = 1.5        // a pace up to it is taken for chance
	coldPart     = 0.5        // of the stated multiple, what a cold worker may get
)

type handOff struct {
	worker int
	build  BuildID
	sent   Micros
	over   bool
	mayRun bool // not proven not to have run
	end    HandOffEnd
}

type transaction struct {
	Transaction
	arrived      Micros
	slot         int // 0 to 99, by the two-build hash
	lane         BuildID
	worker       int
	sends        []handOff
	closed, held bool
}

// out says whether a hand-off is still open.
func (t *transaction) out() bool {
	return slices.ContainsFunc(t.sends, func(h handOff) bool { return !h.over })
}

// profileRow is what differs by profile.
type profileRow struct {
	Profile
	expected float64 // usual time of an answer of the earlier build
	bar      float64 // barShare of these take longer
	slow     float64 // the earlier build's rate of hand-offs that take slowTimes the bar
	errors   float64 // the earlier build's rate of errors
	errorSum float64 // sums of the trial's excess
	lateSum  float64
	calm     float64 // the bar before the trial, 0 if it was not learnt
	seen     int     // outcomes of the earlier build
}

// worth is the value for the work.
func (p *profileRow) worth() float64 { return p.Value / p.expected }

type alarm struct {
	at Micros
	t  *transaction
}

// Sentry is one instance. Its calls must not overlap.
type Sentry struct {
	orders   StandingOrders
	chance   *rand.Rand
	now      Micros
	out      Result
	open     map[TransactionID]*transaction
	alarms   []alarm // the earliest first
	held     []*transaction
	profiles []profileRow
	span     Micros // how long arrivals are kept
	arrivals []Micros
	spare    float64 // further hand-offs that the budget still bears
	busy     int     // own open hand-offs
	room     float64 // and how many there may be

	// Workers, under a dense index.
	index   map[WorkerID]int
	workers []Worker
	inHand  []int      // own open hand-offs
	others  []float64  // reported load beyond these
	pace    []float64  // time of answers to what is expected
	faults  []float64  // smoothed share of failures
	heard   []Micros   // last end of a hand-off
	shunned []Micros   // not before then
	revived []Micros   // answered then, after it had been down
	strikes []int      // failed tries to reach it since it last answered
	recent  [][]Micros // hand-offs while cold
	misses  []float64  // what the judge counted against it in this trial

	// The list.
	askAt, askWait Micros

	// The build on trial.
	news              News
	toldAt            Micros
	base              BuildID
	sentBack          map[BuildID]bool
	reach, judged     int // slots under reach go to the trial, outcomes judged
	met               map[Key]BuildID
	again             map[Key]int // given up, and not come again yet
	taken             [][]Micros  // transactions, by profile where exposure counts so, else all in the first
	exposed           [][]Micros  // hand-offs to the trial, likewise
	baseSeen          Micros      // last outcome of the earlier build
	allSum, calmLoad  float64     // excess of slow ones everywhere, and load before the trial
	voted             Vote
	blamed            bool
	votedAt, voteNext Micros
}

// New makes a sentry from its orders and the seed of its chance.
func New(o StandingOrders, seed int64) *Sentry {
	s := &Sentry{
		orders: o, chance: rand.New(rand.NewSource(seed)), span: max(o.ExposureWindow, o.FallSpan, second),
		open: map[TransactionID]*transaction{}, index: map[WorkerID]int{},
		sentBack: map[BuildID]bool{}, met: map[Key]BuildID{}, again: map[Key]int{},
		taken: make([][]Micros, max(1, len(o.Profiles))), exposed: make([][]Micros, max(1, len(o.Profiles))),
	}
	for _, p := range o.Profiles {
		due := float64(p.DueTime)
		s.profiles = append(s.profiles, profileRow{
			Profile: p, expected: due / 6, bar: due / 4, errors: firstRate, slow: firstRate})
	}
	s.profiles = append(s.profiles, profileRow{}) // the row for all
	return s
}

// call frames every call.
func (s *Sentry) call(now Micros, do func()) Result {
	s.now, s.out = max(s.now, now), Result{}
	do()
	if s.orders.AskForList && s.now >= s.askAt { // keeps the subscription alive
		s.out.Follow, s.askAt = true, s.now+max(second, s.orders.AskWithin/2)
	}
	s.vote()
	for len(s.alarms) > 0 && s.alarms[0].t.closed {
		s.alarms = s.alarms[1:]
	}
	next := [...]Micros{s.askAt, s.voteNext, 0}
	if len(s.alarms) > 0 {
		next[2] = s.alarms[0].at
	}
	for _, at := range next {
		if at > s.now && (s.out.WakeAt == 0 || at < s.out.WakeAt) {
			s.out.WakeAt = at
		}
	}
	return s.out
}

func (s *Sentry) alarm(at Micros, t *transaction) {
	at = max(at, s.now+1)
	later := func(a alarm, at Micros) int { return cmp.Compare(a.at, at) }
	i, _ := slices.BinarySearchFunc(s.alarms, at+1, later)
	s.alarms = slices.Insert(s.alarms, i, alarm{at, t})
}

// ---- The chain ----

// A stage passes a transaction on or keeps or ends it, and sees each ended hand-off on its way back.
type stage struct {
	ahead func(*Sentry, *transaction) bool
	back  func(*Sentry, *transaction, *handOff)
}

var chain []stage

func init() {
	chain = []stage{
		{(*Sentry).admit, (*Sentry).settle},
		{(*Sentry).assign, (*Sentry).learnBuild},
		{(*Sentry).pick, (*Sentry).learnWorker},
		{(*Sentry).handOff, (*Sentry).handOffOver},
	}
}

func (s *Sentry) run(t *transaction, from int) {
	for _, st := range chain[from:] {
		if !st.ahead(s, t) {
			return
		}
	}
}

// Arrive takes a transaction.
func (s *Sentry) Arrive(now Micros, in Transaction) Result {
	return s.call(now, func() {
		s.run(&transaction{Transaction: in, arrived: s.now}, 0)
	})
}

// HandOffEnded takes the end of one hand-off back through the chain.
func (s *Sentry) HandOffEnded(now Micros, e HandOffEnd) Result {
	return s.call(now, func() {
		t := s.open[e.Transaction]
		if t != nil && e.HandOff >= 0 && e.HandOff < len(t.sends) && !t.sends[e.HandOff].over {
			h := &t.sends[e.HandOff]
			h.end = e
			t.closed = t.closed || e.Closed
			for i := len(chain) - 1; i >= 0; i-- {
				chain[i].back(s, t, h)
			}
			s.release()
		}
	})
}

// AnswerBegan notes that a stream has started: the transaction belongs to that worker from here.
func (s *Sentry) AnswerBegan(now Micros, id TransactionID, number int) Result {
	return s.call(now, func() {
		if t := s.open[id]; t != nil {
			t.closed = true
		}
	})
}

// ClientLeft ends what is owed for a transaction.
func (s *Sentry) ClientLeft(now Micros, id TransactionID) Result {
	return s.call(now, func() {
		if t := s.open[id]; t != nil {
			t.closed = true
			s.forget(t)
		}
	})
}

// Wake does what has come due.
func (s *Sentry) Wake(now Micros) Result {
	return s.call(now, func() {
		for len(s.alarms) > 0 && s.alarms[0].at <= s.now {
			t := s.alarms[0].t
			s.alarms = s.alarms[1:]
			switch {
			case t.closed:
			case t.held:
				s.release()
			case len(t.sends) == 1 && s.spare >= 1 && s.mayRepeat(t): // suspiciously long: a second copy
				s.run(t, 1)
			}
		}
	})
}

func (s *Sentry) admit(t *transaction) bool {
	t.slot = s.chance.Intn(100)
	if s.again[t.Key] > 0 { // what was given up comes again, which is no more load
		s.again[t.Key]--
	} else {
		s.arrivals = append(s.arrivals, s.now)
	}
	s.arrivals = trim(s.arrivals, s.now-s.span)
	c := s.counter(t)
	s.taken[c] = trim(append(s.taken[c], s.now), s.now-s.orders.ExposureWindow)
	s.spare = min(s.spare+spareShare, spareMost)
	s.open[t.ID] = t
	return float64(s.busy) < s.room || s.holdBack(t)
}

const (
	spareShare = 0.1 // further hand-offs and copies, to transactions taken
	spareMost  = 10

	roomLeast        = 2.0 // open hand-offs to ready workers at the start; the least, to this sentry's share
	roomMost         = 8.0
	roomUp, roomDown = 0.1, 1.0 // for each answer in time while the room is used, and for each failure
)

// learnRoom bounds the open hand-offs by how answers come, so that a fleet that is short of capacity serves
// what it can in time instead of everything late. It guards against overload of any cause, bursts and storms
// of repeats included; it can do harm where failures are quick and not due to load, hence its floor.
func (s *Sentry) learnRoom(p *profileRow, w int, e HandOffEnd) {
	ready := float64(max(1, s.readyCount(s.base)))
	switch {
	case s.shunned[w] > s.now:
	case e.Ending == TurnedAway || e.Ending == TimedOut || e.Ending == Answered && e.Took > p.DueTime:
		s.room -= roomDown
	case e.Ending == Answered && float64(s.busy) >= 0.7*s.room:
		s.room += roomUp
	}
	s.room = min(max(s.room, roomLeast*ready/float64(max(1, s.orders.Sentries)), 2), roomMost*ready)
}

// assign chooses the build: the two-build hash, under the counter, with keys going forward only.
func (s *Sentry) assign(t *transaction) bool {
	trial, onTrial := s.trial()
	met := s.orders.ForwardOnly && onTrial && t.Key != "" && s.met[t.Key] == trial
	t.lane = s.base
	if onTrial {
		if t.Key != "" {
			t.slot = slotOf(t.Key, s.base, trial)
		}
		failedThere := len(t.sends) > 0 && t.sends[len(t.sends)-1].build == trial
		guarded := s.news.Stage < s.orders.GuardedStages && s.profiles[t.Profile].Repeat != Redoable
		if met || t.slot < s.reach && !guarded && !failedThere {
			switch {
			case !guarded && s.mayExpose(t) && len(s.fitFor(t, trial)) > 0:
				t.lane = trial
			case met:
				return s.giveUp(t)
			}
		}
	}
	return true
}

// holdBack keeps a transaction while no worker of its build is ready, for as long as an answer in time is
// likely.
func (s *Sentry) holdBack(t *transaction) bool {
	until := s.patience(t)
	switch {
	case t.out(): // a copy that finds no worker is let go
	case s.now >= until:
		return s.giveUp(t)
	case !t.held:
		t.held = true
		s.held = append(s.held, t)
		s.alarm(until, t)
	}
	return false
}

// patience is how long a transaction is held: until an answer in time is no longer likely.
func (s *Sentry) patience(t *transaction) Micros {
	return min(t.arrived+s.profiles[t.Profile].DueTime/4, t.Limit-s.orders.Tick)
}

// release runs what was held again, when the workers or the news have changed.
func (s *Sentry) release() {
	held := s.held
	s.held = nil
	slices.SortStableFunc(held, func(a, b *transaction) int {
		return cmp.Compare(s.profiles[b.Profile].worth(), s.profiles[a.Profile].worth())
	})
	for _, t := range held {
		if t.closed || !t.held {
			continue
		}
		if float64(s.busy) < s.room {
			t.held = false
			s.run(t, 1)
		} else if s.now >= s.patience(t) {
			s.giveUp(t)
		} else {
			s.held = append(s.held, t)
		}
	}
}

// giveUp answers at once: a deferral where a retry is harmless, else a write-off.
func (s *Sentry) giveUp(t *transaction) bool {
	p := &s.profiles[t.Profile]
	ran := slices.ContainsFunc(t.sends, func(h handOff) bool { return h.mayRun })
	harmless := !ran || p.Repeat == Redoable || p.Repeat == Labelled && p.Scope == ScopeAll
	r := Ruling{Kind: WriteOff, Transaction: t.ID}
	if harmless {
		r.Kind = Defer
		if s.orders.MayNameReturn {
			r.ComeBack = min(p.DueTime/2, s.orders.MostReturn)
		}
	}
	s.out.Rulings = append(s.out.Rulings, r)
	s.again[t.Key]++
	if len(t.sends) == 0 && s.news.Phase == OnTrial { // under the bound, slowness shows in these
		s.judgeAll(p, float64(p.OuterLimit))
	}
	t.closed = true
	s.forget(t)
	return false
}

// forget drops a transaction that is closed and has nothing out.
func (s *Sentry) forget(t *transaction) {
	if !t.out() {
		delete(s.open, t.ID)
	}
}

func (s *Sentry) pick(t *transaction) bool {
	fit := s.fitFor(t, t.lane)
	if len(fit) == 0 {
		return s.holdBack(t)
	}
	t.worker = fit[0]
	for n, from := 0, s.chance.Intn(len(fit)); n < len(fit); n++ {
		if w := fit[(n+from)%len(fit)]; n == 0 || s.score(w) < s.score(t.worker) {
			t.worker = w
		}
	}
	return true
}

// fresh is how much of what is known of a worker still counts: one that was slow or full once is tried again.
func (s *Sentry) fresh(w int) float64 { return max(0, 1-float64(s.now-s.heard[w])/float64(freshFor)) }

// score is the load of a worker for its size: the lowest wins.
func (s *Sentry) score(w int) float64 {
	fresh := s.fresh(w)
	load := (float64(s.inHand[w]) + fresh*s.others[w] + 1) / (s.workers[w].Size * s.warmth(w))
	load *= 1 + fresh*max(0, s.pace[w]/slowPace-1)
	if s.workers[w].Zone != s.orders.Zone {
		load *= 1 + 8*s.orders.CrossPrice
	}
	if s.shunned[w] > s.now {
		load *= 100
	}
	return load
}

// ready says whether a worker of the build may get this transaction now.
func (s *Sentry) ready(w int, b BuildID, t *transaction) bool {
	if s.workers[w].Build != b || s.workers[w].State != Ready || s.tooCold(w) {
		return false
	}
	p := &s.profiles[t.Profile]
	for i := range t.sends {
		h := &t.sends[i]
		if h.worker == w && (!h.over || len(t.sends) < s.readyCount(b)) {
			return false
		}
		if !h.mayRun || p.Repeat != Labelled {
			continue
		}
		first, this := &s.workers[h.worker], &s.workers[w]
		if p.Scope == ScopeZone && first.Zone != this.Zone || p.Scope == ScopeCell && first.Cell != this.Cell {
			return false
		}
	}
	return true
}

func (s *Sentry) readyCount(b BuildID) int {
	n := 0
	for w := range s.workers {
		if s.workers[w].Build == b && s.workers[w].State == Ready {
			n++
		}
	}
	return n
}

// fitFor lists the workers of a build that may get this transaction now.
func (s *Sentry) fitFor(t *transaction, b BuildID) []int {
	var fit []int
	for w := range s.workers {
		if s.ready(w, b, t) {
			fit = append(fit, w)
		}
	}
	return fit
}

func (s *Sentry) handOff(t *transaction) bool {
	p, w := &s.profiles[t.Profile], t.worker
	last := len(t.sends)+1 >= s.orders.MostHandOffs || p.Repeat == Irreversible
	if len(t.sends) > 0 {
		s.spare--
	}
	t.sends = append(t.sends, handOff{worker: w, build: s.workers[w].Build, sent: s.now, mayRun: true})
	s.inHand[w]++
	s.busy++
	s.recent[w] = append(s.recent[w], s.now)
	if trial, onTrial := s.trial(); onTrial && s.workers[w].Build == trial {
		c := s.counter(t)
		s.exposed[c] = append(s.exposed[c], s.now)
	}
	r := Ruling{Kind: HandOff, Transaction: t.ID, Worker: s.workers[w].ID, Until: t.Limit}
	s.out.Rulings = append(s.out.Rulings, r)
	if s.orders.MayCopy && p.Repeat != Irreversible && !last && len(t.sends) == 1 {
		s.alarm(s.now+p.DueTime/3, t)
	}
	return false
}

// mayRepeat is rule 2 and the limits on hand-offs.
func (s *Sentry) mayRepeat(t *transaction) bool {
	if len(t.sends) >= s.orders.MostHandOffs || t.Limit-s.now < s.orders.Tick {
		return false
	}
	p := &s.profiles[t.Profile]
	for i := range t.sends {
		h := &t.sends[i]
		if !h.over && !s.orders.MayCopy {
			return false
		}
		old := p.Repeat == Labelled && s.now >= h.sent+p.Window-s.orders.Tick
		if h.mayRun && (p.Repeat == Irreversible || old) {
			return false
		}
	}
	return true
}

func (s *Sentry) handOffOver(t *transaction, h *handOff) {
	h.over = true
	h.mayRun = h.end.Ending != TurnedAway && h.end.Ending != Unconnected && h.end.Ending != Unsent
	s.inHand[h.worker] = max(0, s.inHand[h.worker]-1)
	s.busy--
	s.learnRoom(&s.profiles[t.Profile], h.worker, h.end)
}

// settle closes the transaction or sends it again.
func (s *Sentry) settle(t *transaction, h *handOff) {
	switch {
	case t.closed:
		for n := range t.sends {
			if !t.sends[n].over && s.orders.MayCancel { // a copy that is no longer wanted
				s.out.Rulings = append(s.out.Rulings, Ruling{Kind: CancelHandOff, Transaction: t.ID, Number: n})
			}
		}
		s.forget(t)
	case t.out():
	case !s.mayRepeat(t) || h.mayRun && s.spare < 1:
		s.giveUp(t)
	default:
		s.run(t, 1)
	}
}

// ---- The workers ----

func (s *Sentry) start(w int) Micros { return max(s.workers[w].Started, s.revived[w]) }

// warmth is the least part of its work that a worker can do by now.
func (s *Sentry) warmth(w int) float64 {
	start := s.start(w)
	if start <= 0 || s.orders.WarmUp <= 0 {
		return 1
	}
	age := float64(s.now-start) / float64(s.orders.WarmUp)
	return s.orders.ColdFrom + (1-s.orders.ColdFrom)*min(1, max(0, age))
}

// tooCold keeps this sentry's part of what all may send a cold worker: half the stated multiple of what a
// worker of its size gets of this sentry's traffic. It guards against bursts and retries that fall on one
// cold worker.
func (s *Sentry) tooCold(w int) bool {
	warmth := s.warmth(w)
	if warmth >= 1 {
		s.recent[w] = nil
		return false
	}
	s.recent[w] = trim(s.recent[w], s.now-s.orders.FallSpan)
	part := s.workers[w].Size / max(s.capacity(everyBuild), s.workers[w].Size)
	fair := part * float64(since(s.arrivals, s.now-s.orders.FallSpan))
	return float64(len(s.recent[w])) >= 2+coldPart*s.orders.FallMultiple*warmth*fair
}

const everyBuild = BuildID(-1)

// capacity is what the ready workers of a build that are not known to be down can do by now.
func (s *Sentry) capacity(b BuildID) float64 {
	sum := 0.0
	for w := range s.workers {
		if (b == everyBuild || s.workers[w].Build == b) && s.workers[w].State == Ready && s.strikes[w] == 0 {
			sum += s.workers[w].Size * s.warmth(w)
		}
	}
	return sum
}

// learnWorker books what an ended hand-off says of its worker.
func (s *Sentry) learnWorker(t *transaction, h *handOff) {
	w, p := h.worker, &s.profiles[t.Profile]
	renew := max(paceFade, (1-s.fresh(w))/2)
	s.heard[w] = s.now
	if h.end.Held >= 0 {
		s.others[w] += othersFade * (max(0, h.end.Held-float64(s.inHand[w])) - s.others[w])
	}
	if h.end.Ending == Cancelled || h.end.Ending == Unsent {
		return
	}
	s.faults[w] += faultFade * (one(h.end.Ending != Answered) - s.faults[w])
	if h.end.Ending == Answered || h.end.Ending == TimedOut {
		ratio := min(10, float64(h.end.Took)/p.expected)
		s.pace[w] += renew * (ratio - s.pace[w])
	}
	switch h.end.Ending {
	case Unconnected, Broken:
		if s.now >= s.shunned[w] { // tried again after growing waits, for the list tells seconds late
			s.strikes[w] = min(s.strikes[w]+1, 4)
			s.shunned[w] = s.now + second/2<<s.strikes[w]
		}
	case Answered:
		if s.strikes[w] > 0 {
			s.strikes[w], s.revived[w], s.shunned[w] = 0, s.now, 0
		}
	default:
		if s.faults[w] > shunAbove {
			s.shunned[w] = s.now + second
		}
	}
}

// ---- The list ----

// Listed takes a report on the workers.
func (s *Sentry) Listed(now Micros, kind ListKind, list []Worker) Result {
	return s.call(now, func() {
		if kind != ListRemembered {
			s.askWait, s.askAt = 0, s.now+s.orders.AskWithin/2
		}
		if kind != ListChanges {
			for w := range s.workers {
				s.workers[w].State = Gone
			}
		}
		for _, in := range list {
			in.Size = max(in.Size, 1e-3)
			w, known := s.index[in.ID]
			if !known {
				w = len(s.workers)
				s.index[in.ID] = w
				s.workers = append(s.workers, in)
				s.inHand, s.others = append(s.inHand, 0), append(s.others, 0)
				s.pace, s.faults = append(s.pace, 1), append(s.faults, 0)
				s.shunned, s.revived = append(s.shunned, 0), append(s.revived, 0)
				s.strikes, s.recent = append(s.strikes, 0), append(s.recent, nil)
				s.misses = append(s.misses, 0)
				s.heard = append(s.heard, 0)
			}
			if old := s.workers[w]; old.Build != in.Build || old.Started != in.Started {
				s.others[w], s.pace[w], s.faults[w], s.misses[w] = 0, 1, 0, 0
				s.shunned[w], s.revived[w], s.strikes[w] = 0, 0, 0
			}
			s.workers[w] = in
		}
		s.lookAround()
	})
}

// AskFailed notes that the list could not be had.
func (s *Sentry) AskFailed(now Micros) Result {
	return s.call(now, func() {
		s.askWait = min(max(second/2, s.askWait*2), s.orders.AskWithin/4)
		s.askAt = s.now + s.askWait/2 + Micros(s.chance.Int63n(int64(s.askWait)+1))
	})
}

// ---- The build on trial ----

// trial is the build on trial, if there is one that may be sent to.
func (s *Sentry) trial() (BuildID, bool) {
	return s.news.Build, s.news.Valid && s.news.Phase == OnTrial
}

// Told takes the platform's news and the answer to a vote.
func (s *Sentry) Told(now Micros, n News) Result {
	return s.call(now, func() {
		if n.Fate == VoteRefused || n.Fate == VoteUnanswered {
			s.votedAt = 0
			s.voteNext = s.now + second/4 + Micros(s.chance.Int63n(int64(second)/2))
		}
		if n.Valid {
			if n.Build != s.news.Build || !s.news.Valid {
				s.newTrial()
			}
			if n.Build != s.news.Build || n.Stage != s.news.Stage || n.Phase != s.news.Phase {
				s.toldAt = s.now - n.Age
			}
			if n.Phase == GoingBack || n.Phase == Withdrawn {
				s.sentBack[n.Build] = true
				clear(s.met)
			}
			s.news = n
			s.lookAround()
		}
	})
}

func (s *Sentry) newTrial() {
	s.reach, s.judged, s.allSum, s.blamed, s.calmLoad = 0, 0, 0, false, s.load()
	s.calmLoad += 1e9 * one(s.calmLoad == 0) // not known: then no load explains anything
	s.voted, s.votedAt = Vote{}, 0
	for i := range s.profiles {
		p := &s.profiles[i]
		p.errorSum, p.lateSum, p.calm = 0, 0, 0
		if p.seen >= 2*leastSample {
			p.calm = p.bar
		}
	}
	for i := range s.exposed {
		s.exposed[i] = nil
	}
	clear(s.misses)
}

// lookAround finds the earlier build and how far the trial reaches, after news or a list.
func (s *Sentry) lookAround() {
	s.base = s.findBase()
	if s.room == 0 {
		s.room = roomLeast * float64(s.readyCount(s.base))
	}
	s.ramp()
	s.release()
}

// findBase is the released build, or else the build below the trial that most of the ready workers run.
func (s *Sentry) findBase() BuildID {
	if s.news.Valid && s.news.Phase == Released {
		return s.news.Build
	}
	best, most := BuildID(-1), 0.0
	for w := range s.workers {
		b := s.workers[w].Build
		if s.news.Valid && b >= s.news.Build || s.sentBack[b] {
			continue
		}
		sum := s.capacity(b)
		if sum > most || sum == most && sum > 0 && b > best {
			best, most = b, sum
		}
	}
	return best
}

// ramp raises the trial's slots with what its workers can do by now, up to the cap, and never lowers them
// while the cap stands: a key that was sent to the trial stays there.
func (s *Sentry) ramp() {
	trial, on := s.trial()
	if !on {
		s.reach = 0
		return
	}
	trialCan, fleet := s.capacity(trial), s.capacity(s.base)
	// Where the earlier workers all stay, they have little to do: the trial's would carry far more than they.
	fleet += trialCan * (1 - one(s.orders.BesideEarlier && fleet > 0)*2/3)
	share := 0.0
	if trialCan > 0 {
		strain := 0.0
		for i := range s.profiles {
			strain = max(strain, min(1, s.profiles[i].slow/strained))
		}
		share = min(s.news.Cap, (lean-(lean-1)*strain)*trialCan/fleet)
	}
	s.reach = min(max(s.reach, percent(share)), percent(s.news.Cap))
}

func percent(share float64) int { return int(100*share + 1e-9) }

// slotOf is the two-build hash of the design page.
func slotOf(k Key, earlier, trial BuildID) int {
	sum := md5.Sum([]byte(string(k) + "-" + strconv.Itoa(int(earlier)) + "-" + strconv.Itoa(int(trial))))
	return int(binary.BigEndian.Uint64(sum[:8]) % 100)
}

func (s *Sentry) counter(t *transaction) int {
	return int(t.Profile) * int(one(s.orders.ExposureByProfile))
}

// mayExpose is the window counter: one more hand-off to the trial keeps within free + cap x taken.
func (s *Sentry) mayExpose(t *transaction) bool {
	c, from := s.counter(t), s.now-s.orders.ExposureWindow+s.orders.Tick
	s.exposed[c] = trim(s.exposed[c], from-3*s.orders.Tick)
	taken := float64(since(s.taken[c], from))
	return float64(len(s.exposed[c])+1) <= s.orders.FreeExposure+s.news.Cap*taken
}

// ---- The judge ----

// learnBuild books an ended hand-off with the builds: what the trial fails beyond the earlier build's rate
// adds up.
func (s *Sentry) learnBuild(t *transaction, h *handOff) {
	p := &s.profiles[t.Profile]
	stands := s.news.Valid && (s.news.Phase == OnTrial || s.news.Phase == Released)
	newest := stands && h.build == s.news.Build
	// The list may have changed its mind on the worker's build meanwhile: either counts as met.
	if is := s.workers[h.worker].Build; h.end.Ending == Answered && stands && (newest || is == s.news.Build) {
		s.met[t.Key] = s.news.Build
	}
	took, failed, bar := float64(h.end.Took), h.end.Ending == Errored, min(slowTimes*p.bar, float64(p.DueTime))
	if !failed && h.end.Ending != Answered && h.end.Ending != TimedOut {
		return
	}
	if !newest && h.build != s.base {
		return
	}
	age := s.now - s.start(h.worker)
	warm := !failed && age >= max(settleTime, s.orders.WarmUp)
	late := !failed && (h.end.Ending == TimedOut || took > bar)
	weight := s.weigh(h.worker, failed || late)
	if warm {
		s.judgeAll(p, took)
	}
	switch h.build {
	default:
		s.judged++
		s.judgeErrors(t.Profile, failed, weight)
		if warm && s.now-s.baseSeen < second && p.slow < strained {
			s.judgeLate(t.Profile, late, weight)
		}
	case s.base:
		s.baseSeen = s.now
		p.seen++
		if newest && s.judged > 0 { // released after a trial that this sentry saw
			s.judgeErrors(t.Profile, failed, weight)
		} else {
			fade(&p.errors, failed)
		}
		if warm {
			fade(&p.slow, late)
			rate := max(rateFade, 1/float64(p.seen)) // quick at first, for a trial may begin soon
			if !s.watched() {                        // paces are to what was usual before the trial
				p.expected += rate * (took - p.expected)
			}
			p.bar += 4 * rate * (one(took > p.bar) - barShare) * p.expected
		}
	}
}

// rows are the profile's own row and the one for all profiles.
func (s *Sentry) rows(p ProfileID) (own, all *profileRow) {
	return &s.profiles[p], &s.profiles[len(s.profiles)-1]
}

func fade(rate *float64, hit bool) { *rate += rateFade * (one(hit) - *rate) }

func one(hit bool) float64 {
	if hit {
		return 1
	}
	return 0
}

func (s *Sentry) judgeErrors(id ProfileID, failed bool, weight float64) {
	own, all := s.rows(id)
	by := errorWeight * (one(failed)*weight - own.errors - errorSlack)
	own.errorSum, all.errorSum = max(0, own.errorSum+by), max(0, all.errorSum+by)
}

func (s *Sentry) judgeLate(id ProfileID, late bool, weight float64) {
	own, all := s.rows(id)
	load := float64(len(s.arrivals)*s.reach) / max(100*s.capacity(s.news.Build), 1e-9) // of the trial's workers
	by := lateWeight * (one(late)*weight - 2*own.slow - lateSlack*s.byLoad(max(load, s.load())))
	own.lateSum, all.lateSum = max(0, own.lateSum+by), max(0, all.lateSum+by)
}

// judgeAll compares all workers, of either build, with what answers took before the trial began: a build may
// slow the whole fleet, and then the earlier build beside it is no measure. Nothing is held against the build
// where the fleet bears clearly more than it did then (a burst, workers lost), where a quarter of the workers
// is as quick as ever (neighbours, slow machines), or long after the release. Weighed per second, since a jam
// makes many late at once. It can harm a build when the whole fleet slows down for a reason that no load
// shows.
func (s *Sentry) judgeAll(p *profileRow, took float64) {
	if !s.watched() || p.calm == 0 {
		return
	}
	late := took > min(calmTimes*p.calm, float64(p.DueTime)) && s.quickPace() > calmPace*s.byLoad(s.load())
	perSecond := float64(len(s.arrivals)) * float64(second) / float64(s.span)
	s.allSum = max(0, s.allSum+(one(late)-calmSlack)*allPerSecond/max(perSecond, allPerSecond))
}

// byLoad is how much slower than before the trial workers may be for this load alone.
func (s *Sentry) byLoad(load float64) float64 { return 1 + loadSlows*max(0, load/s.calmLoad-1) }

// watched says whether the newest build is on trial or freshly released.
func (s *Sentry) watched() bool {
	return s.judged > 0 && (s.news.Phase == OnTrial || s.now-s.toldAt <= 2*noAlarmTime)
}

// quickPace is the pace that a quarter of the ready workers keeps or beats.
func (s *Sentry) quickPace() float64 {
	paces := []float64{1}
	for w := range s.workers {
		judged := s.workers[w].Build == s.base || s.workers[w].Build == s.news.Build
		if judged && s.workers[w].State == Ready && s.warmth(w) == 1 {
			paces = append(paces, s.pace[w])
		}
	}
	slices.Sort(paces[1:])
	return paces[min(len(paces)-1, (len(paces)+3)/4)]
}

// load is what this sentry takes for what the fleet can do.
func (s *Sentry) load() float64 { return float64(len(s.arrivals)) / max(s.capacity(everyBuild), 1e-9) }

// weigh counts a miss of a worker of the trial for less the more this worker has missed beyond its even part
// of all. It guards against a machine's own trouble (failing fast, slow, shared with another program) being
// held against the build; it costs time where a bad build has very few workers of which one gets most of the
// traffic.
func (s *Sentry) weigh(w int, miss bool) float64 {
	if !miss {
		return 1
	}
	n, total := 0.0, 0.0
	for v := range s.workers {
		if s.workers[v].Build == s.workers[w].Build && s.workers[v].State == Ready {
			n++
			total += s.misses[v]
		}
	}
	even := min(1, (total+n)/(max(1, n)*(s.misses[w]+1)))
	s.misses[w]++
	return even * even * min(1, manyWorkers/max(1, n))
}

func (s *Sentry) sums() []float64 {
	sums := []float64{s.allSum}
	for _, p := range s.profiles {
		sums = append(sums, p.errorSum, p.lateSum)
	}
	return sums
}

// Complained takes a client's word that an answer was wrong: it counts as an error of that build.
func (s *Sentry) Complained(now Micros, c Complaint) Result {
	return s.call(now, func() {
		w, known := s.index[c.Worker]
		switch {
		case !known || c.Profile < 0 || int(c.Profile) >= len(s.profiles)-1:
		case s.news.Valid && s.workers[w].Build == s.news.Build:
			s.judgeErrors(c.Profile, true, s.weigh(w, true))
		default:
			fade(&s.profiles[c.Profile].errors, true)
		}
	})
}

func nothing() {}

// Tallied, Probed and PeerSaid take what no decision uses yet.
func (s *Sentry) Tallied(now Micros, _ Tally) Result { return s.call(now, nothing) }

func (s *Sentry) Probed(now Micros, _ WorkerID, _ Ending, _ Micros, _ float64) Result {
	return s.call(now, nothing)
}

func (s *Sentry) PeerSaid(now Micros, _ SentryID, _ []byte) Result { return s.call(now, nothing) }

// vote forms this sentry's verdict and sends it when it has changed or is about to lapse.
func (s *Sentry) vote() {
	if s.now < s.voteNext || !s.news.Valid || s.news.Phase != OnTrial && s.news.Phase != Released {
		return
	}
	s.ramp()
	v := Vote{Build: s.news.Build, Stage: s.news.Stage, Verdict: s.verdict()}
	renew := s.votedAt == 0 || s.now-s.votedAt >= s.orders.VoteLife*6/10
	if v.Verdict != NoVerdict && (v != s.voted || renew) {
		if v != s.voted {
			s.note([...]string{GoOn: "voting on", Hold: "voting to hold", GoBack: "voting back"}[v.Verdict])
		}
		s.out.Votes = append(s.out.Votes, v)
		s.voted, s.votedAt = v, s.now
	}
	s.voteNext = s.now + second/4
}

// note says in the log what the judge's sums were.
func (s *Sentry) note(what string) {
	s.out.Notes = append(s.out.Notes, fmt.Sprintf(
		"%s build %d stage %d: of %d at load %.2f: all slower, then errors and late by profile and in all %.1f",
		what, s.news.Build, s.news.Stage, s.judged, s.load()/s.calmLoad, s.sums()))
}

func (s *Sentry) verdict() Verdict {
	sum := slices.Max(s.sums())
	if s.blamed = s.blamed || sum > voteBackAt; s.blamed {
		return GoBack
	}
	if s.news.Phase == Released {
		return NoVerdict
	}
	if s.orders.Control == ControlTimer {
		if sum > voteOnBelow {
			return Hold
		}
		return NoVerdict
	}
	newest, any := s.toldAt, false
	for w := range s.workers {
		if s.workers[w].Build == s.news.Build && s.workers[w].State == Ready {
			newest, any = max(newest, s.workers[w].Started), true
		}
	}
	if settled := s.now - newest; any && sum < voteOnBelow {
		if settled >= noAlarmTime || settled >= settleTime && s.judged >= leastSample {
			return GoOn
		}
	}
	return NoVerdict
}

// trim drops the times up to and including from; since counts those after it. Both want them in order.
func trim(times []Micros, from Micros) []Micros {
	return times[len(times)-since(times, from):]
}

func since(times []Micros, from Micros) int {
	i, _ := slices.BinarySearchFunc(times, from+1, cmp.Compare[Micros])
	return len(times) - i
}
