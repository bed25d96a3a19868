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
	config       atomic.Pointer[Config] // as read last
	log          zerolog.Logger
	sentry       *sentry.Sentry
	server       *wire.Server
	discovery    *discovery
	controlPlane *controlPlane
	peers        *peers
	done         chan struct{}

	drainStart atomic.Pointer[time.Time] // with its monotonic reading; nil if the sentry is not to stop
	// the longest deadline as the stop was asked for, in microseconds; 0 if it was not
	drainDeadlineMicros atomic.Int64
	wallClock           *clock.WallClock

	mu             sync.Mutex
	breachTrigger  trigger
	replyBudget    *wire.BufferBudget // of what waits for clients
	clients        map[*clientConn]struct{}
	openRequests   map[string]struct{} // of open transactions
	meanReplyBytes int64               // bytes of an answer
}

// answersShare is the part of the memory that answers may take which wait for clients.
const replyMemoryDivisor = 4

// New makes the ends that a configuration asks for.
func New(config *Config, log zerolog.Logger) (*Platform, error) {
	p := &Platform{log: log, wallClock: config.wallClock, done: make(chan struct{}), clients: map[*clientConn]struct{}{}, openRequests: map[string]struct{}{}}
	p.config.Store(config)
	p.replyBudget = wire.NewBufferBudget(config.MemoryMB << 20 / replyMemoryDivisor)
	p.discovery = newDiscovery(p, config.DiscoveryAddress)
	p.controlPlane = &controlPlane{platform: p, address: config.ControlPlaneAddress, addressChanged: make(chan struct{}, 1)}
	var err error
	p.peers, err = newPeers(p)
	return p, err
}

func (p *Platform) isDone() bool {
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
	if status := p.config.Load().ReleaseStatus; status != nil {
		p.sentry.ReleaseUpdated(status)
	}
	p.discovery.ensureWatch(p.config.Load())
	go p.controlPlane.run()
	go p.peers.receive()
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
func (p *Platform) Reload(updated *Config) error {
	current := p.config.Load()
	updated.Settings.Endpoints.Seed = current.Settings.Endpoints.Seed // it is for a start
	if !reflect.DeepEqual(current.Settings, updated.Settings) {
		if err := p.sentry.Reload(updated.Settings); err != nil {
			return err
		}
	}
	p.config.Store(updated)
	p.controlPlane.setAddress(updated.ControlPlaneAddress)
	p.sentry.Inspect(func() {
		if p.discovery.ensureWatch(updated); !p.isDone() {
			p.discovery.setAddress(updated.DiscoveryAddress)
		}
	})
	return nil
}

func (p *Platform) StopListening()            { p.server.RejectConnections() }
func (p *Platform) StopReading()              { p.server.StopReading() }
func (p *Platform) UnwrittenConnections() int { return p.server.LinksWithPendingWrites() }

func (p *Platform) RequestList(follow bool, since uint64) { p.discovery.startCall(follow, since) }
func (p *Platform) SendVote(m *pb.Vote) bool              { return p.controlPlane.sendVote(m) }
func (p *Platform) SendMessage(m logic.Message) int       { return p.peers.send(m) }
