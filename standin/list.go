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

// List is a stand-in for the list's service: it learns of changes late and tells those that follow it.
type Discovery struct {
	Delay          time.Duration
	RefuseRequests bool                                    // every call fails
	AddressFrom    func(address, zone, from string) string // how one zone reaches an address in another; takes no lock of a fleet

	env     *Environment
	mu      sync.Mutex
	server  *wire.Server
	Address string
	version uint64
	lines   []*listed // in the order in which they were first listed
	follow  map[*wire.Link]*follower
}

type listed struct {
	line    *pb.Line
	started logic.Micros
	version uint64
}

type follower struct {
	sentry logic.SentryID
	zone   string
	has    uint64
	on     bool
}

// NewList makes a list that nobody can reach yet.
func NewDiscovery(s *Environment) *Discovery {
	return &Discovery{env: s, follow: map[*wire.Link]*follower{}, version: 1,
		AddressFrom: func(address, _, _ string) string { return address }}
}

// Start has it listen.
func (l *Discovery) Start() error {
	address := l.Address
	if address == "" {
		var err error
		if address, err = FreeAddress(); err != nil {
			return err
		}
	}
	server, err := wire.Serve(address, wire.DefaultLimits, l.accept)
	if err != nil {
		return err
	}
	l.server, l.Address = server, server.Address
	return nil
}

// Stop ends it.
func (l *Discovery) Stop() { l.server.Close() }

// Set changes its troubles.
func (l *Discovery) Set(f func(*Discovery)) {
	l.mu.Lock()
	f(l)
	l.mu.Unlock()
}

// Tell lists a worker as it is now, after the delay.
func (l *Discovery) ReportWorker(w *Worker, state logic.WorkerState) {
	l.mu.Lock()
	late := l.Delay
	l.mu.Unlock()
	up, started, life := w.RunState()
	if state == logic.Ready && !up {
		return
	}
	line := &pb.Line{Id: string(w.Entry.ID), Address: w.Address, Build: uint32(w.Entry.Build),
		Zone: l.env.Zones[w.Entry.Zone], Cell: uint32(w.Entry.Cell), Size: w.Entry.Size, Life: life,
		State: pb.Line_State(state)}
	time.AfterFunc(late, func() { l.ReportLines([]*pb.Line{line}, started) })
}

// TellNow lists lines at once, in one report.
func (l *Discovery) ReportLines(lines []*pb.Line, started logic.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, line := range lines {
		var at *listed
		for _, x := range l.lines {
			if x.line.Id == line.Id {
				at = x
			}
		}
		if at == nil {
			at = &listed{}
			l.lines = append(l.lines, at)
		}
		at.line, at.started, at.version = line, started, l.version
		l.env.Record(audit.Event{Kind: audit.Listed, Worker: logic.WorkerID(line.Id), Build: logic.BuildID(line.Build),
			State: logic.WorkerState(line.State)})
	}
	for link, f := range l.follow {
		if f.on {
			l.send(link, f, false)
		}
	}
}

func (l *Discovery) accept(link *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	f := &follower{}
	return func(link *wire.Link, kind wire.Kind, body []byte) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				f.sentry, f.zone = logic.SentryID(m.Position), m.Zone
				l.follow[link] = f
			case wire.KindListAsk:
				m := &pb.ListAsk{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				if l.RefuseRequests {
					l.env.Record(audit.Event{Kind: audit.AskFailed, Sentry: f.sentry})
					link.Send(wire.KindReport, &pb.Report{Refused: true})
					return nil
				}
				asked := audit.Event{Kind: audit.Fetched, Sentry: f.sentry}
				if m.Follow {
					asked.Kind = audit.Followed
				}
				l.env.Record(asked)
				f.on, f.has = f.on || m.Follow, m.Version
				l.send(link, f, !m.Follow || m.Version == 0)
			}
			return nil
		}, func(link *wire.Link, _ error) {
			l.mu.Lock()
			if f.on {
				l.env.Record(audit.Event{Kind: audit.AskFailed, Sentry: f.sentry})
			}
			delete(l.follow, link)
			l.mu.Unlock()
		}
}

// send tells what has changed since a follower's version, or everything.
func (l *Discovery) send(link *wire.Link, f *follower, whole bool) {
	r := &pb.Report{Whole: whole, Version: l.version}
	now := l.env.Now()
	for _, x := range l.lines {
		if whole && x.line.State == pb.Line_GONE || !whole && x.version <= f.has {
			continue
		}
		line := proto.Clone(x.line).(*pb.Line)
		line.Address = l.AddressFrom(line.Address, line.Zone, f.zone)
		if x.started > 0 {
			line.Young, line.Age = true, uint64(now-x.started)
		}
		r.Lines = append(r.Lines, line)
		l.env.Record(audit.Event{Kind: audit.ListTold, Sentry: f.sentry, Worker: logic.WorkerID(line.Id),
			Build: logic.BuildID(line.Build), State: logic.WorkerState(line.State)})
	}
	f.has = l.version
	link.Send(wire.KindReport, r)
}
