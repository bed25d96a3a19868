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

// Workload describes the transactions that clients send.
type Workload struct {
	PerSecond       float64       // transactions
	Profiles        []ProfileLoad // by profile
	KeyCount        int
	ZipfExponent    float64 // the n-th key's share is proportional to n to the power of minus this
	MaxRetries      int
	Backoff         time.Duration
	TryTimeoutShare float64   // timeout of a try, as a share of the profile's maximum deadline
	AbandonShare    float64   // share of tries that are abandoned at a random time before their timeout
	AccountShares   []float64 // by account; the rest of the transactions have none

	UseAttributes bool // transactions carry only attributes, from which the sentries' routes derive profile, account and key
	ProfileNames  []string
	AccountNames  []string
}

// ProfileLoad is a profile's share of the workload.
type ProfileLoad struct {
	Share    float64
	MeanWork logic.Micros // on a core of speed one
}

// ClientPool is an open-loop load generator that sends transactions to a zone's sentries: new transactions start
// whether or not earlier ones have been answered.
type ClientPool struct {
	// Injected faults.
	LoadFactor      float64 // multiplies the workload; 1 without a fault
	HotKeyShare     float64 // share of transactions that carry the same key
	HotAccountShare float64 // share of transactions that belong to the first account

	env             *Environment
	workload        Workload
	loadShare       float64 // of the workload that this pool generates
	addresses       map[logic.SentryID]string
	sentryIDs       []logic.SentryID
	mu              sync.Mutex
	random          *rand.Rand
	keyWeights      []float64 // cumulative
	connections     []*sentryConn
	dialing         map[logic.SentryID]bool
	name            string
	lastTransaction int
	transactions    []*Transaction
	done            chan struct{}
	running         sync.WaitGroup
}

// Transaction is a transaction from the user's view, with all its tries.
type Transaction struct {
	Profile        logic.ProfileID
	StartedAt      logic.Micros
	SatisfiedAfter logic.Micros // time until the first satisfied answer, 0 if there was none
	Outcomes       [4]int       // number of tries that ended satisfied, deferred, written off, or otherwise
	Tries          int
	key            logic.Key
	token          string
	account        int
	work           float64
}

// sentryConn is a connection to a sentry.
type sentryConn struct {
	sentry   logic.SentryID
	link     *wire.Link
	lastID   uint64
	open     map[uint64]*clientTry
	tryNames map[uint64]string // names of all tries by ID, to record a second answer under the right name
}

// clientTry is one request for a transaction to a sentry.
type clientTry struct {
	name        string
	transaction *Transaction
	conn        *sentryConn
	id          uint64
	ended       bool
	timer       *time.Timer
}

// NewClientPool returns a pool that generates a share of the workload for the given sentries at the given addresses.
func NewClientPool(env *Environment, name string, workload Workload, loadShare float64, addresses map[logic.SentryID]string, sentryIDs []logic.SentryID,
	seed int64) *ClientPool {
	c := &ClientPool{LoadFactor: 1, env: env, workload: workload, loadShare: loadShare, addresses: addresses, sentryIDs: sentryIDs, name: name,
		random: rand.New(rand.NewSource(seed)), done: make(chan struct{}), dialing: map[logic.SentryID]bool{}}
	sum := 0.0
	for n := 1; n <= max(1, workload.KeyCount); n++ {
		sum += math.Pow(float64(n), -workload.ZipfExponent)
		c.keyWeights = append(c.keyWeights, sum)
	}
	return c
}

// Set calls f with the lock held, to change the injected faults.
func (c *ClientPool) Set(f func(*ClientPool)) {
	c.mu.Lock()
	f(c)
	c.mu.Unlock()
}

// SetLoadShare sets the share of the workload that the pool generates.
func (c *ClientPool) SetLoadShare(share float64) { c.Set(func(c *ClientPool) { c.loadShare = share }) }

// LoadShare returns the share of the workload that the pool generates.
func (c *ClientPool) LoadShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadShare
}

// Start connects to the sentries and starts sending transactions.
func (c *ClientPool) Start() {
	for _, id := range c.sentryIDs {
		c.dial(id)
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		next := time.Now()
		for {
			c.mu.Lock()
			rate := c.workload.PerSecond * c.loadShare * c.LoadFactor
			gap := time.Hour
			if rate > 0 {
				gap = time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
			}
			c.mu.Unlock()
			next = next.Add(min(gap, 100*time.Millisecond))
			if wait := time.Until(next); wait > 0 {
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
				c.startTransaction()
			}
		}
	}()
}

// Stop ends the load: no transaction or retry is started any more. Open tries may still be answered.
func (c *ClientPool) Stop() {
	close(c.done)
	c.running.Wait()
}

// Close closes the connections.
func (c *ClientPool) Close() {
	c.mu.Lock()
	connections := c.connections
	c.connections = nil
	c.mu.Unlock()
	for _, conn := range connections {
		conn.link.Close(wire.ErrClosed)
	}
}

// Transactions returns all transactions so far.
func (c *ClientPool) Transactions() []*Transaction {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transactions
}

// OpenTries returns the number of tries without an answer.
func (c *ClientPool) OpenTries() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections {
		n += len(conn.open)
	}
	return n
}

// startTransaction draws a transaction's profile, work, key and account, and sends its first try.
func (c *ClientPool) startTransaction() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Transaction{StartedAt: c.env.Now()}
	draw := c.random.Float64()
	for i, m := range c.workload.Profiles {
		if draw -= m.Share; draw < 0 || i == len(c.workload.Profiles)-1 {
			t.Profile = logic.ProfileID(i)
			break
		}
	}
	t.work = max(200, float64(c.workload.Profiles[t.Profile].MeanWork)*min(4, c.random.ExpFloat64()*0.5+0.5))
	weight := c.random.Float64() * c.keyWeights[len(c.keyWeights)-1]
	key := 0
	for lo, hi := 0, len(c.keyWeights)-1; lo <= hi; {
		if mid := (lo + hi) / 2; c.keyWeights[mid] < weight {
			lo = mid + 1
			key = lo
		} else {
			hi = mid - 1
		}
	}
	if c.random.Float64() < c.HotKeyShare {
		key = 0
	}
	t.key = logic.Key(fmt.Sprintf("%016x", uint64(key+1)*0x9e3779b97f4a7c15))
	draw = c.random.Float64()
	if c.random.Float64() < c.HotAccountShare {
		draw = 0
	}
	for i, share := range c.workload.AccountShares {
		if draw -= share; draw < 0 {
			t.account = i + 1
			break
		}
	}
	c.lastTransaction++
	t.token = fmt.Sprintf("%s%d", c.name, c.lastTransaction)
	c.transactions = append(c.transactions, t)
	c.sendTry(t)
}

// pickConn returns an open connection to a random sentry, or nil if there is none. It dials missing connections on
// other goroutines: a dial under the lock would wait for the poller, while the handling of answers on the poller waits
// for the lock.
func (c *ClientPool) pickConn() (found *sentryConn) {
	for _, i := range c.random.Perm(len(c.sentryIDs)) {
		id, connected := c.sentryIDs[i], false
		for _, conn := range c.connections {
			if conn.sentry == id && !conn.link.IsClosed() {
				connected = true
				if found == nil {
					found = conn
				}
			}
		}
		if !connected && !c.dialing[id] {
			c.dialing[id] = true
			go c.dial(id)
		}
	}
	return found
}

// dial connects to a sentry, if it can.
func (c *ClientPool) dial(id logic.SentryID) {
	conn := &sentryConn{sentry: id, open: map[uint64]*clientTry{}, tryNames: map[uint64]string{}}
	link, err := wire.Dial(c.addresses[id], 100*time.Millisecond, wire.DefaultLimits,
		func(_ *wire.Link, kind wire.Kind, body []byte) error { return c.handleFrame(conn, kind, body) },
		func(*wire.Link, error) { go c.connectionLost(conn) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing[id] = false
	if err != nil {
		return
	}
	conn.link = link
	link.PutProto(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: pb.Hello_CLIENT})
	c.connections = append(c.connections, conn)
}

// sendTry sends a try to a sentry. The lock is held.
func (c *ClientPool) sendTry(transaction *Transaction) {
	profile := &c.env.Config.Profiles[transaction.Profile]
	transaction.Tries++
	conn := c.pickConn()
	if conn == nil {
		transaction.Outcomes[3]++
		c.retry(transaction, true)
		return
	}
	now := c.env.Now()
	timeout := min(logic.Micros(float64(profile.MaxDeadline)*c.workload.TryTimeoutShare), transaction.StartedAt+profile.MaxDeadline-now)
	if timeout <= 0 {
		return
	}
	conn.lastID++
	t := &clientTry{name: fmt.Sprintf("%s.%d", transaction.token, transaction.Tries), transaction: transaction, conn: conn, id: conn.lastID}
	conn.open[t.id], conn.tryNames[t.id] = t, t.name
	c.env.Record(audit.Event{Kind: audit.TrySent, Sentry: conn.sentry, Try: t.name, Profile: transaction.Profile, Key: transaction.key, Duration: timeout})
	m := &wire.Ask{ID: t.id, Timeout: uint64(timeout), ExpectedWork: uint64(transaction.work), Retry: transaction.Tries > 1,
		Payload: []byte(fmt.Sprintf("%s %d", t.name, int(transaction.work)))}
	if c.workload.UseAttributes {
		m.Attributes = c.encodeAttributes(transaction)
	} else {
		m.Profile, m.Account, m.Key = uint32(transaction.Profile), uint32(transaction.account), []byte(transaction.key)
	}
	if profile.Repeatability == logic.Deduplicated {
		m.DeduplicationToken = []byte(transaction.token)
	}
	conn.link.Put(wire.KindAsk, m)
	conn.link.Flush()
	wait := duration(timeout + profile.MaxDeadline/2 + c.env.Config.AnswerGrace) // a late answer is still recorded
	if c.random.Float64() < c.workload.AbandonShare {
		wait = time.Duration(c.random.Float64() * float64(duration(timeout)))
	}
	t.timer = time.AfterFunc(wait, func() { c.abandon(t) })
}

// encodeAttributes returns the eight attributes from which routes derive a transaction's profile, account and key. The
// lock is held.
func (c *ClientPool) encodeAttributes(t *Transaction) (b []byte) {
	add := func(name string, v match.RawValue) { b = wire.AppendAttribute(b, name, &v) }
	add("kind", match.RawValue{Text: c.workload.ProfileNames[t.Profile]})
	add("truck", match.RawValue{Text: string(t.key)})
	if t.account > 0 {
		add("region", match.RawValue{Text: c.workload.AccountNames[t.account-1]})
	}
	add("temp", match.RawValue{Kind: match.Measure, Float: float64(c.random.Intn(30)), Unit: "celsius"})
	add("urgent", match.RawValue{Kind: match.Bool, Int: int64(c.random.Intn(2))})
	add("size", match.RawValue{Kind: match.Int, Int: int64(t.work)})
	add("age", match.RawValue{Kind: match.Duration, Int: int64(c.env.Now() - t.StartedAt)})
	add("legs", match.RawValue{Kind: match.List, Items: []match.RawValue{{Kind: match.Int, Int: 4}, {Kind: match.Int, Int: 9}}})
	return b
}

// abandon ends a try whose client no longer waits for the answer.
func (c *ClientPool) abandon(t *clientTry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.ended {
		return
	}
	c.close(t)
	c.env.Record(audit.Event{Kind: audit.TryAbandoned, Sentry: t.conn.sentry, Try: t.name})
	t.conn.link.Put(wire.KindLeave, &wire.IDMessage{ID: t.id})
	t.conn.link.Flush()
	t.transaction.Outcomes[3]++
}

// close marks a try as ended. The lock is held.
func (c *ClientPool) close(t *clientTry) {
	t.ended = true
	t.timer.Stop()
	delete(t.conn.open, t.id)
}

// connectionLost ends the open tries of a connection that has closed, and retries their transactions.
func (c *ClientPool) connectionLost(conn *sentryConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.connections {
		if other == conn {
			c.connections = append(c.connections[:i:i], c.connections[i+1:]...)
			break
		}
	}
	for _, t := range conn.open {
		c.close(t)
		c.env.Record(audit.Event{Kind: audit.TryAbandoned, Sentry: conn.sentry, Try: t.name})
		t.transaction.Outcomes[3]++
		c.retry(t.transaction, false)
	}
}

// handleFrame handles a frame from a sentry, which must be an answer.
func (c *ClientPool) handleFrame(conn *sentryConn, kind wire.Kind, body []byte) error {
	if kind != wire.KindAnswer {
		return fmt.Errorf("client: unexpected frame of kind %d", kind)
	}
	var m wire.Answer
	if err := m.Read(body); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := conn.open[m.ID]
	if t == nil {
		// A second answer, or an answer to an abandoned try; the auditor finds it in the record.
		c.env.Record(audit.Event{Kind: audit.TryAnswered, Sentry: conn.sentry, Try: conn.tryNames[m.ID], Outcome: audit.Outcome(m.Outcome % 3)})
		return nil
	}
	c.close(t)
	transaction := t.transaction
	if m.Outcome == uint32(pb.Outcome_NOT_TAKEN) || m.Outcome == uint32(pb.Outcome_NO_ROUTE) {
		c.env.Record(audit.Event{Kind: audit.TryNotTaken, Sentry: conn.sentry, Try: t.name})
		transaction.Outcomes[3]++
		c.retry(transaction, true)
		return nil
	}
	c.env.Record(audit.Event{Kind: audit.TryAnswered, Sentry: conn.sentry, Try: t.name, Outcome: audit.Outcome(m.Outcome % 3)})
	transaction.Outcomes[m.Outcome%3]++
	if m.Outcome == uint32(pb.Outcome_SATISFIED) {
		if transaction.SatisfiedAfter == 0 {
			transaction.SatisfiedAfter = max(1, c.env.Now()-transaction.StartedAt)
		}
		return nil
	}
	wait := duration(logic.Micros(m.RetryAfter))
	deferred := m.Outcome == uint32(pb.Outcome_DEFERRED)
	time.AfterFunc(wait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.retry(transaction, deferred)
	})
	return nil
}

// retry schedules another try of a transaction if the client may retry it. notRun means that no worker has run the last
// try: the sentry said so, or was not reached. The lock is held.
func (c *ClientPool) retry(t *Transaction, notRun bool) {
	profile := &c.env.Config.Profiles[t.Profile]
	deduplicated := profile.Repeatability == logic.Deduplicated && profile.DedupScope == logic.ScopeAll && c.env.Now()-t.StartedAt < profile.DedupWindow/2
	allowed := profile.Repeatability == logic.Idempotent || profile.Repeatability == logic.NonIdempotent && notRun || deduplicated
	select {
	case <-c.done:
		return
	default:
	}
	if !allowed || t.SatisfiedAfter > 0 || t.Tries > c.workload.MaxRetries || c.env.Now()+logic.Micros(c.workload.Backoff/time.Microsecond) >= t.StartedAt+profile.MaxDeadline {
		return
	}
	time.AfterFunc(c.workload.Backoff, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.SatisfiedAfter == 0 && c.env.Now() < t.StartedAt+profile.MaxDeadline {
			c.sendTry(t)
		}
	})
}
