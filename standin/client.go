package standin

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"time"

	"scalechute/internal/audit"
	"scalechute/internal/match"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Load is what clients do.
type Workload struct {
	PerSecond       float64
	Profiles        []ProfileLoad // by profile
	KeyCount        int
	ZipfExponent    float64 // popularity of the n-th key falls with this power of n
	MaxRetries      int
	Backoff         time.Duration
	TryTimeoutShare float64 // of the outer limit, after which a try is given up
	AbandonShare    float64 // share of tries that are given up early, at a random time
	AccountShares   []float64

	UseAttributes bool // transactions carry attributes only, and routes must make of them what the client means
	ProfileNames  []string
	AccountNames  []string
}

// Mix is one profile's part of the load.
type ProfileLoad struct {
	Share    float64
	MeanWork logic.Micros // mean, on a core of speed one
}

// Callers are the clients of a zone's sentries: transactions come whether or not earlier ones are answered.
type ClientPool struct {
	// Troubles.
	LoadFactor      float64 // times the load, 1 if none
	HotKeyShare     float64 // share of transactions that carry one key
	HotAccountShare float64 // share of transactions that are of the first account

	env          *Environment
	load         Workload
	loadShare    float64 // of the whole load that these make
	reach        map[logic.SentryID]string
	order        []logic.SentryID
	mu           sync.Mutex
	chance       *rand.Rand
	zipf         []float64 // cumulative
	lines        []*callLine
	dialing      map[logic.SentryID]bool
	name         string
	seq          int
	transactions []*Transaction
	done         chan struct{}
	ended        sync.WaitGroup
}

// First is a transaction as the user sees it, with all its tries.
type Transaction struct {
	Profile        logic.ProfileID
	StartedAt      logic.Micros
	SatisfiedAfter logic.Micros // to satisfaction, 0 if none came
	Outcomes       [4]int       // tries that ended satisfied, deferred, written off, otherwise
	Tries          int
	key            logic.Key
	mark           string
	account        int
	work           float64
}

// callLine is a connection to a sentry.
type callLine struct {
	to   logic.SentryID
	link *wire.Link
	seq  uint64
	open map[uint64]*callTry
	all  map[uint64]string // names of all tries, so that a second answer is told of the right one
}

type callTry struct {
	name  string
	first *Transaction
	line  *callLine
	id    uint64
	over  bool
	timer *time.Timer
}

// NewCallers makes clients that reach the given sentries.
func NewClientPool(s *Environment, name string, load Workload, part float64, reach map[logic.SentryID]string, order []logic.SentryID,
	seed int64) *ClientPool {
	c := &ClientPool{LoadFactor: 1, env: s, load: load, loadShare: part, reach: reach, order: order, name: name,
		chance: rand.New(rand.NewSource(seed)), done: make(chan struct{}), dialing: map[logic.SentryID]bool{}}
	sum := 0.0
	for n := 1; n <= max(1, load.KeyCount); n++ {
		sum += math.Pow(float64(n), -load.ZipfExponent)
		c.zipf = append(c.zipf, sum)
	}
	return c
}

// Set changes their troubles.
func (c *ClientPool) Set(f func(*ClientPool)) {
	c.mu.Lock()
	f(c)
	c.mu.Unlock()
}

// SetPart changes their part of the whole load.
func (c *ClientPool) SetLoadShare(part float64) { c.Set(func(c *ClientPool) { c.loadShare = part }) }

// Part is their part of the whole load.
func (c *ClientPool) LoadShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadShare
}

// Start has them begin.
func (c *ClientPool) Start() {
	for _, to := range c.order {
		c.dial(to)
	}
	c.ended.Add(1)
	go func() {
		defer c.ended.Done()
		at := time.Now()
		for {
			c.mu.Lock()
			rate := c.load.PerSecond * c.loadShare * c.LoadFactor
			gap := time.Hour
			if rate > 0 {
				gap = time.Duration(c.chance.ExpFloat64() / rate * float64(time.Second))
			}
			c.mu.Unlock()
			at = at.Add(min(gap, 100*time.Millisecond))
			if wait := time.Until(at); wait > 0 {
				select {
				case <-time.After(wait):
				case <-c.done:
					return
				}
			} else {
				select {
				case <-c.done:
					return
				default:
				}
			}
			if gap <= 100*time.Millisecond {
				c.begin()
			}
		}
	}()
}

// Stop ends the arrivals; Firsts then tells what became of them.
func (c *ClientPool) Stop() {
	close(c.done)
	c.ended.Wait()
}

// Close ends the connections.
func (c *ClientPool) Close() {
	c.mu.Lock()
	lines := c.lines
	c.lines = nil
	c.mu.Unlock()
	for _, l := range lines {
		l.link.Close(wire.ErrClosed)
	}
}

// Firsts are all transactions that were asked for.
func (c *ClientPool) Transactions() []*Transaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transactions
}

// Open counts the tries that await an answer.
func (c *ClientPool) OpenTries() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lines {
		n += len(l.open)
	}
	return n
}

func (c *ClientPool) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Transaction{StartedAt: c.env.Now()}
	x := c.chance.Float64()
	for i, m := range c.load.Profiles {
		if x -= m.Share; x < 0 || i == len(c.load.Profiles)-1 {
			f.Profile = logic.ProfileID(i)
			break
		}
	}
	f.work = max(200, float64(c.load.Profiles[f.Profile].MeanWork)*min(4, c.chance.ExpFloat64()*0.5+0.5))
	k := c.chance.Float64() * c.zipf[len(c.zipf)-1]
	n := 0
	for lo, hi := 0, len(c.zipf)-1; lo <= hi; {
		if mid := (lo + hi) / 2; c.zipf[mid] < k {
			lo = mid + 1
			n = lo
		} else {
			hi = mid - 1
		}
	}
	if c.chance.Float64() < c.HotKeyShare {
		n = 0
	}
	f.key = logic.Key(fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15))
	x = c.chance.Float64()
	if c.chance.Float64() < c.HotAccountShare {
		x = 0
	}
	for i, share := range c.load.AccountShares {
		if x -= share; x < 0 {
			f.account = i + 1
			break
		}
	}
	c.seq++
	f.mark = fmt.Sprintf("%s%d", c.name, c.seq)
	c.transactions = append(c.transactions, f)
	c.try(f)
}

// line is an open connection to one of the sentries, or nil. One that is missing is opened behind its back: a dial under
// the lock would wait for the poller, and answers that come there wait for the lock.
func (c *ClientPool) line() (found *callLine) {
	for _, at := range c.chance.Perm(len(c.order)) {
		to, has := c.order[at], false
		for _, l := range c.lines {
			if l.to == to && !l.link.Dead() {
				has = true
				if found == nil {
					found = l
				}
			}
		}
		if !has && !c.dialing[to] {
			c.dialing[to] = true
			go c.dial(to)
		}
	}
	return found
}

func (c *ClientPool) dial(to logic.SentryID) {
	l := &callLine{to: to, open: map[uint64]*callTry{}, all: map[uint64]string{}}
	link, err := wire.Dial(c.reach[to], 100*time.Millisecond, wire.DefaultLimits,
		func(_ *wire.Link, kind wire.Kind, body []byte) error { return c.answered(l, kind, body) },
		func(*wire.Link, error) { go c.lost(l) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing[to] = false
	if err != nil {
		return
	}
	l.link = link
	link.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: pb.Hello_CLIENT})
	c.lines = append(c.lines, l)
}

// try asks a sentry, with the lock held.
func (c *ClientPool) try(f *Transaction) {
	p := &c.env.Config.Profiles[f.Profile]
	f.Tries++
	l := c.line()
	if l == nil {
		f.Outcomes[3]++
		c.again(f, true)
		return
	}
	now := c.env.Now()
	left := min(logic.Micros(float64(p.MaxDeadline)*c.load.TryTimeoutShare), f.StartedAt+p.MaxDeadline-now)
	if left <= 0 {
		return
	}
	l.seq++
	t := &callTry{name: fmt.Sprintf("%s.%d", f.mark, f.Tries), first: f, line: l, id: l.seq}
	l.open[t.id], l.all[t.id] = t, t.name
	c.env.Record(audit.Event{Kind: audit.Asked, Sentry: l.to, Try: t.name, Profile: f.Profile, Key: f.key, Span: left})
	m := &wire.Ask{ID: t.id, Timeout: uint64(left), ExpectedWork: uint64(f.work), Retry: f.Tries > 1,
		Payload: []byte(fmt.Sprintf("%s %d", t.name, int(f.work)))}
	if c.load.UseAttributes {
		m.Attributes = c.attributes(f)
	} else {
		m.Profile, m.Account, m.Key = uint32(f.Profile), uint32(f.account), []byte(f.key)
	}
	if p.Repeatability == logic.Deduplicated {
		m.DeduplicationToken = []byte(f.mark)
	}
	l.link.Put(wire.KindAsk, m)
	l.link.Flush()
	wait := span(left + p.MaxDeadline/2 + c.env.Config.AnswerGrace) // an answer that comes late is still seen
	if c.chance.Float64() < c.load.AbandonShare {
		wait = time.Duration(c.chance.Float64() * float64(span(left)))
	}
	t.timer = time.AfterFunc(wait, func() { c.leave(t) })
}

// attributes are eight that say what a transaction is without naming it, with the lock held.
func (c *ClientPool) attributes(f *Transaction) (b []byte) {
	add := func(name string, v match.Carried) { b = wire.AppendAttribute(b, name, &v) }
	add("kind", match.Carried{Text: c.load.ProfileNames[f.Profile]})
	add("truck", match.Carried{Text: string(f.key)})
	if f.account > 0 {
		add("region", match.Carried{Text: c.load.AccountNames[f.account-1]})
	}
	add("temp", match.Carried{Kind: match.Measure, Fig: float64(c.chance.Intn(30)), Unit: "celsius"})
	add("urgent", match.Carried{Kind: match.Flag, Num: int64(c.chance.Intn(2))})
	add("size", match.Carried{Kind: match.Whole, Num: int64(f.work)})
	add("age", match.Carried{Kind: match.Span, Num: int64(c.env.Now() - f.StartedAt)})
	add("legs", match.Carried{Kind: match.List, Items: []match.Carried{{Kind: match.Whole, Num: 4}, {Kind: match.Whole, Num: 9}}})
	return b
}

func (c *ClientPool) leave(t *callTry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.over {
		return
	}
	c.close(t)
	c.env.Record(audit.Event{Kind: audit.Left, Sentry: t.line.to, Try: t.name})
	t.line.link.Put(wire.KindLeave, &wire.IDMessage{ID: t.id})
	t.line.link.Flush()
	t.first.Outcomes[3]++
}

func (c *ClientPool) close(t *callTry) {
	t.over = true
	t.timer.Stop()
	delete(t.line.open, t.id)
}

// lost ends what was open on a connection.
func (c *ClientPool) lost(l *callLine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, x := range c.lines {
		if x == l {
			c.lines = append(c.lines[:i:i], c.lines[i+1:]...)
			break
		}
	}
	for _, t := range l.open {
		c.close(t)
		c.env.Record(audit.Event{Kind: audit.Left, Sentry: l.to, Try: t.name})
		t.first.Outcomes[3]++
		c.again(t.first, false)
	}
}

func (c *ClientPool) answered(l *callLine, kind wire.Kind, body []byte) error {
	if kind != wire.KindAnswer {
		return fmt.Errorf("client: frame of kind %d", kind)
	}
	var m wire.Answer
	if err := m.Read(body); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := l.open[m.ID]
	if t == nil {
		// The record shows it: the second answer of a try, or one to a try that was left.
		c.env.Record(audit.Event{Kind: audit.Answered, Sentry: l.to, Try: l.all[m.ID], Outcome: audit.Outcome(m.Outcome % 3)})
		return nil
	}
	c.close(t)
	f := t.first
	if m.Outcome == uint32(pb.Outcome_NOT_TAKEN) || m.Outcome == uint32(pb.Outcome_NO_ROUTE) {
		c.env.Record(audit.Event{Kind: audit.NotTaken, Sentry: l.to, Try: t.name})
		f.Outcomes[3]++
		c.again(f, true)
		return nil
	}
	c.env.Record(audit.Event{Kind: audit.Answered, Sentry: l.to, Try: t.name, Outcome: audit.Outcome(m.Outcome % 3)})
	f.Outcomes[m.Outcome%3]++
	if m.Outcome == uint32(pb.Outcome_SATISFIED) {
		if f.SatisfiedAfter == 0 {
			f.SatisfiedAfter = max(1, c.env.Now()-f.StartedAt)
		}
		return nil
	}
	wait := span(logic.Micros(m.RetryAfter))
	deferred := m.Outcome == uint32(pb.Outcome_DEFERRED)
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.again(f, deferred)
	})
	return nil
}

// again tries once more where a client may, with the lock held. Harmless says that nothing has run, by the word of
// the sentry or since it was not reached.
func (c *ClientPool) again(f *Transaction, harmless bool) {
	p := &c.env.Config.Profiles[f.Profile]
	labelled := p.Repeatability == logic.Deduplicated && p.DedupScope == logic.ScopeAll && c.env.Now()-f.StartedAt < p.DedupWindow/2
	may := p.Repeatability == logic.Idempotent || p.Repeatability == logic.NonIdempotent && harmless || labelled
	select {
	case <-c.done:
		return
	default:
	}
	if !may || f.SatisfiedAfter > 0 || f.Tries > c.load.MaxRetries || c.env.Now()+logic.Micros(c.load.Backoff/time.Microsecond) >= f.StartedAt+p.MaxDeadline {
		return
	}
	time.AfterFunc(c.load.Backoff, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if f.SatisfiedAfter == 0 && c.env.Now() < f.StartedAt+p.MaxDeadline {
			c.try(f)
		}
	})
}
