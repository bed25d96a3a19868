package platform

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"scalechute/internal/clock"
	"scalechute/internal/memory"
	"scalechute/internal/sentry"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Platform is the sentry.Transport of one sentry.
type Platform struct {
	config       atomic.Pointer[Config] // the configuration in use
	log          zerolog.Logger
	sentry       *sentry.Sentry
	server       *wire.Server
	discovery    *discovery
	controlPlane *controlPlane
	peers        *peers
	done         chan struct{} // closed by Close

	drainStart atomic.Pointer[time.Time] // with its monotonic reading; nil unless draining
	// longest deadline in the settings when the drain began, in microseconds; 0 unless draining
	drainDeadlineMicros atomic.Int64
	// time since the drain began at which a sweep first saw that answers are due, in microseconds; 0 before
	answersDueSeenMicros atomic.Int64
	wallClock            *clock.WallClock

	mu              sync.Mutex // guards clients, openRequests and meanReplyBytes
	faultTrigger    trigger
	memory          *memory.Account
	descriptors     *wire.Descriptors // of the connections to clients, workers and the control plane
	partialAnswers  *wire.PartialMessages
	partialCommands *wire.PartialMessages
	clients         map[*clientConn]struct{}
	openRequests    map[string]struct{} // ids of open requests
	meanReplyBytes  int64               // mean size of a reply
}

// New creates the Platform of a configuration. Of its sockets it opens only the one for peers.
func New(config *Config, log zerolog.Logger) (*Platform, error) {
	p := &Platform{log: log, wallClock: config.wallClock, done: make(chan struct{}),
		clients: map[*clientConn]struct{}{}, openRequests: map[string]struct{}{}}
	p.config.Store(config)
	p.memory = memory.NewAccount(config.MemoryMB << 20)
	p.descriptors = wire.NewDescriptors(config.MaxSockets - unlinkedSockets)
	p.partialCommands = wire.NewPartialMessages(p.memory.Budget(memory.PartialCommands), wire.GiveUpOldest)
	p.partialAnswers = wire.NewPartialMessages(p.memory.Budget(memory.PartialAnswers), wire.PauseNewest)
	p.discovery = newDiscovery(p, config.DiscoveryAddress)
	p.controlPlane = &controlPlane{platform: p, address: config.ControlPlaneAddress, addressChanged: make(chan struct{}, 1)}
	var err error
	p.peers, err = newPeers(p)
	return p, err
}

// Memory returns the account of the process's memory.
func (p *Platform) Memory() *memory.Account { return p.memory }

// isDone reports whether Close was called.
func (p *Platform) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ticks returns a sequence that yields at each interval until Close is called.
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

// Start passes on the configured release status and connects to discovery, the control plane and peers.
func (p *Platform) Start() {
	if status := p.config.Load().ReleaseStatus; status != nil {
		p.sentry.ReleaseUpdated(status)
	}
	p.discovery.ensureWatch(p.config.Load())
	go p.controlPlane.run()
	go p.peers.receive()
}

// Close closes all connections and the listener.
func (p *Platform) Close() {
	close(p.done)
	p.discovery.close()
	if p.peers.conn != nil {
		p.peers.conn.Close()
	}
	p.server.Close()
}

// Reload applies a new configuration: changed settings, by the sentry's Reload, and the addresses of discovery and the
// control plane. If the sentry rejects the settings, the old configuration stays in use.
func (p *Platform) Reload(updated *Config) error {
	current := p.config.Load()
	updated.Settings.Endpoints.Seed = current.Settings.Endpoints.Seed // the seed only matters at the start
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

// StopListening closes new client connections at once and keeps those that are open.
func (p *Platform) StopListening() { p.server.RejectConnections() }

// StopReading stops reading from all clients. When it returns, all data that was read has been handled.
func (p *Platform) StopReading() { p.server.StopReading() }

// UnwrittenConnections returns the number of client connections on which data waits to be written.
func (p *Platform) UnwrittenConnections() int { return p.server.LinksWithPendingWrites() }

// RequestList requests the worker list: the changes after version since, as a watch, or the whole list once.
func (p *Platform) RequestList(follow bool, since uint64) { p.discovery.startCall(follow, since) }

// SendVote sends a vote to the control plane. It returns false if the vote was not sent.
func (p *Platform) SendVote(vote *pb.Vote) bool { return p.controlPlane.sendVote(vote) }

// SendMessage sends a message to one or all peers and returns the number of datagrams sent.
func (p *Platform) SendMessage(message logic.Message) int { return p.peers.send(message) }
