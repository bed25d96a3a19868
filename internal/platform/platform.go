package platform

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"scalechute/internal/clock"
	"scalechute/internal/sentry"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Platform is the ends of one sentry.
type Platform struct {
	post      atomic.Pointer[Config] // as read last
	log       zerolog.Logger
	sentry    *sentry.Sentry
	server    *wire.Server
	discovery *discovery
	desk      *desk
	peers     *peers
	done      chan struct{}

	drainAt atomic.Pointer[time.Time] // with its monotonic reading; nil if the sentry is not to stop
	// the longest deadline as the stop was asked for, in microseconds; 0 if it was not
	drainLongest atomic.Int64
	wall         *clock.WallClock

	mu         sync.Mutex
	breaker    breaker
	budget     *wire.BufferBudget // of what waits for clients
	clients    map[*clientConn]struct{}
	ids        map[string]struct{} // of open transactions
	meanAnswer int64               // bytes of an answer
}

// answersShare is the part of the memory that answers may take which wait for clients.
const answersShare = 4

// New makes the ends that a configuration asks for.
func New(post *Config, log zerolog.Logger) (*Platform, error) {
	p := &Platform{log: log, wall: post.wall, done: make(chan struct{}), clients: map[*clientConn]struct{}{}, ids: map[string]struct{}{}}
	p.post.Store(post)
	p.budget = wire.NewBufferBudget(post.MemoryMB << 20 / answersShare)
	p.discovery = newDiscovery(p, post.DiscoveryAddress)
	p.desk = &desk{p: p, address: post.ControlPlaneAddress, wake: make(chan struct{}, 1)}
	var err error
	p.peers, err = newPeers(p)
	return p, err
}

func (p *Platform) over() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ticks ticks until the end.
func (p *Platform) ticks(every time.Duration) func(func() bool) {
	return func(yield func() bool) {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-p.done:
				return
			case <-t.C:
				if !yield() {
					return
				}
			}
		}
	}
}

// Begin connects to the services.
func (p *Platform) Start() {
	if n := p.post.Load().ReleaseStatus; n != nil {
		p.sentry.ReleaseUpdated(n)
	}
	p.discovery.keep(p.post.Load())
	go p.desk.run()
	go p.peers.run()
}

// End closes everything.
func (p *Platform) Close() {
	close(p.done)
	p.discovery.close()
	if p.peers.conn != nil {
		p.peers.conn.Close()
	}
	p.server.Close()
}

// Reload takes a configuration that was read anew: its orders by the sentry's own step, if they are others, and its
// addresses. If the sentry can't take it, the old one stays whole.
func (p *Platform) Reload(now *Config) error {
	old := p.post.Load()
	now.Settings.Endpoints.Seed = old.Settings.Endpoints.Seed // it is for a start
	if !reflect.DeepEqual(old.Settings, now.Settings) {
		if err := p.sentry.Reload(now.Settings); err != nil {
			return err
		}
	}
	p.post.Store(now)
	p.desk.move(now.ControlPlaneAddress)
	p.sentry.Inspect(func() {
		if p.discovery.keep(now); !p.over() {
			p.discovery.move(now.DiscoveryAddress)
		}
	})
	return nil
}

func (p *Platform) StopListening()            { p.server.RejectConnections() }
func (p *Platform) StopReading()              { p.server.StopReading() }
func (p *Platform) UnwrittenConnections() int { return p.server.LinksWithPendingWrites() }

func (p *Platform) RequestList(follow bool, since uint64) { p.discovery.ask(follow, since) }
func (p *Platform) SendVote(m *pb.Vote) bool              { return p.desk.vote(m) }
func (p *Platform) SendMessage(m logic.Message) int       { return p.peers.say(m) }
