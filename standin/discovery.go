package standin

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"scalechute/internal/audit"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

func unmarshal(body []byte, m proto.Message) error { return proto.Unmarshal(body, m) }

// Discovery is a stand-in for discovery: it keeps the worker list, and sends its changes to the sentries that watch it.
type Discovery struct {
	Delay          time.Duration // until a reported worker is listed
	RefuseRequests bool          // every request for the list fails
	// AddressFrom returns the address under which the zone from reaches an address in another zone. It is called with the
	// lock held, and must not take a fleet's lock.
	AddressFrom func(address, zone, from string) string

	env         *Environment
	mu          sync.Mutex
	server      *wire.Server
	Address     string
	version     uint64
	entries     []*listEntry // in the order in which they were first listed
	subscribers map[*wire.Link]*subscriber
}

// listEntry is a line of the worker list, with the version of the list that changed it last.
type listEntry struct {
	line    *pb.Line
	started logic.Micros
	version uint64
}

// subscriber is a sentry that is connected.
type subscriber struct {
	sentry      logic.SentryID
	zone        string
	sentVersion uint64
	watching    bool
}

// NewDiscovery returns a discovery service that does not listen yet.
func NewDiscovery(env *Environment) *Discovery {
	return &Discovery{env: env, subscribers: map[*wire.Link]*subscriber{}, version: 1,
		AddressFrom: func(address, _, _ string) string { return address }}
}

// Start starts the listener, on the same address after a restart.
func (d *Discovery) Start() error {
	address := d.Address
	if address == "" {
		var err error
		if address, err = FreeAddress(); err != nil {
			return err
		}
	}
	server, err := wire.Serve(address, wire.DefaultLimits, d.accept)
	if err != nil {
		return err
	}
	d.server, d.Address = server, server.Address
	return nil
}

// Stop closes the listener and all connections.
func (d *Discovery) Stop() { d.server.Close() }

// Set calls f with the lock held, to change the injected faults.
func (d *Discovery) Set(f func(*Discovery)) {
	d.mu.Lock()
	f(d)
	d.mu.Unlock()
}

// ReportWorker lists a worker in its current state after the delay. A ready worker that is not running is not listed.
func (d *Discovery) ReportWorker(w *Worker, state logic.WorkerState) {
	d.mu.Lock()
	delay := d.Delay
	d.mu.Unlock()
	up, started, runNumber := w.RunState()
	if state == logic.Ready && !up {
		return
	}
	line := &pb.Line{Id: string(w.Entry.ID), Address: w.Address, Build: uint32(w.Entry.Build),
		Zone: d.env.Zones[w.Entry.Zone], Cell: uint32(w.Entry.Cell), Size: w.Entry.Size, Life: runNumber,
		State: pb.Line_State(state)}
	time.AfterFunc(delay, func() { d.ReportLines([]*pb.Line{line}, started) })
}

// ReportLines updates lines of the list at once, as one new version of it.
func (d *Discovery) ReportLines(lines []*pb.Line, started logic.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, line := range lines {
		var entry *listEntry
		for _, existing := range d.entries {
			if existing.line.Id == line.Id {
				entry = existing
			}
		}
		if entry == nil {
			entry = &listEntry{}
			d.entries = append(d.entries, entry)
		}
		entry.line, entry.started, entry.version = line, started, d.version
		d.env.Record(audit.Event{Kind: audit.WorkerListed, Worker: logic.WorkerID(line.Id), Build: logic.BuildID(line.Build),
			WorkerState: logic.WorkerState(line.State)})
	}
	for link, s := range d.subscribers {
		if s.watching {
			d.send(link, s, false)
		}
	}
}

// accept handles a sentry's connection: it answers requests for the list, and notes whether the sentry watches it.
func (d *Discovery) accept(link *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	s := &subscriber{}
	return func(link *wire.Link, kind wire.Kind, body []byte) error {
			d.mu.Lock()
			defer d.mu.Unlock()
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				s.sentry, s.zone = logic.SentryID(m.Position), m.Zone
				d.subscribers[link] = s
			case wire.KindListAsk:
				m := &pb.ListAsk{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				if d.RefuseRequests {
					d.env.Record(audit.Event{Kind: audit.ListRequestFailed, Sentry: s.sentry})
					link.Send(wire.KindReport, &pb.Report{Refused: true})
					return nil
				}
				request := audit.Event{Kind: audit.ListFetched, Sentry: s.sentry}
				if m.Follow {
					request.Kind = audit.ListWatched
				}
				d.env.Record(request)
				s.watching, s.sentVersion = s.watching || m.Follow, m.Version
				d.send(link, s, !m.Follow || m.Version == 0)
			}
			return nil
		}, func(link *wire.Link, _ error) {
			d.mu.Lock()
			if s.watching {
				d.env.Record(audit.Event{Kind: audit.ListRequestFailed, Sentry: s.sentry})
			}
			delete(d.subscribers, link)
			d.mu.Unlock()
		}
}

// send sends a subscriber the full list, or the changes since the version that it has.
func (d *Discovery) send(link *wire.Link, to *subscriber, full bool) {
	report := &pb.Report{Whole: full, Version: d.version}
	now := d.env.Now()
	for _, entry := range d.entries {
		if full && entry.line.State == pb.Line_GONE || !full && entry.version <= to.sentVersion {
			continue
		}
		line := proto.Clone(entry.line).(*pb.Line)
		line.Address = d.AddressFrom(line.Address, line.Zone, to.zone)
		if entry.started > 0 {
			line.Young, line.Age = true, uint64(now-entry.started)
		}
		report.Lines = append(report.Lines, line)
		d.env.Record(audit.Event{Kind: audit.ListEntrySent, Sentry: to.sentry, Worker: logic.WorkerID(line.Id),
			Build: logic.BuildID(line.Build), WorkerState: logic.WorkerState(line.State)})
	}
	to.sentVersion = d.version
	link.Send(wire.KindReport, report)
}
