package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"scalechute/internal/audit"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Fleet is what the desk moves.
type Fleet interface {
	// Reach has a share of the places run the build, and says whether they do.
	RollOut(b logic.BuildID, share float64) bool
	// Release drains what runs an earlier build; Recall drains the build itself.
	DrainEarlierBuilds(b logic.BuildID)
	DrainBuild(b logic.BuildID)
}

// Desk is a stand-in for the release desk: stages, caps, votes, and late news.
type ControlPlane struct {
	Delay          time.Duration // of news
	StatusInterval time.Duration
	Silent         bool // votes get no answer, though they count
	Deny           bool // votes are refused and do not count

	env     *Environment
	fleet   Fleet
	mu      sync.Mutex
	server  *wire.Server
	Address string
	links   map[*wire.Link]logic.SentryID
	now     logic.ReleaseStatus
	since   logic.Micros // of this state
	baking  logic.Micros // since all machines of the stage run, 0 before
	votes   map[logic.SentryID]standing
	budget  float64
	filled  logic.Micros
	done    chan struct{}
	History []StatusChange
}

// Turn is one change of the newest build's state.
type StatusChange struct {
	At     logic.Micros
	Status logic.ReleaseStatus
}

type standing struct {
	vote  logic.Vote
	until logic.Micros
}

// NewDesk makes a desk with a released build.
func NewControlPlane(s *Environment, fleet Fleet, first logic.BuildID) *ControlPlane {
	stages := len(s.Config.StageCaps)
	return &ControlPlane{env: s, fleet: fleet, links: map[*wire.Link]logic.SentryID{}, votes: map[logic.SentryID]standing{},
		StatusInterval: time.Second, done: make(chan struct{}),
		now: logic.ReleaseStatus{Valid: true, Build: first, Stage: stages - 1, Phase: logic.Released, Cap: 1}}
}

// Start has it listen and move.
func (d *ControlPlane) Start() error {
	server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, d.accept)
	if err != nil {
		return err
	}
	d.server, d.Address = server, server.Address
	go func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		next := d.env.Now()
		period := next + d.env.Config.CountsPeriod
		for {
			select {
			case <-d.done:
				return
			case <-tick.C:
			}
			d.mu.Lock()
			d.advance()
			if now := d.env.Now(); now >= next {
				next = now + logic.Micros(d.StatusInterval/time.Microsecond)
				d.tellAll()
			}
			if every := d.env.Config.CountsPeriod; every > 0 && d.env.Now() >= period {
				period += every
				d.tellCounts()
			}
			d.mu.Unlock()
		}
	}()
	return nil
}

// Stop ends it.
func (d *ControlPlane) Stop() {
	close(d.done)
	d.server.Close()
}

// Set changes its troubles.
func (d *ControlPlane) Set(f func(*ControlPlane)) {
	d.mu.Lock()
	f(d)
	d.mu.Unlock()
}

// State is where the newest build stands.
func (d *ControlPlane) Status() logic.ReleaseStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

// Turns are the changes so far.
func (d *ControlPlane) StatusChanges() []StatusChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.History)
}

// Offer puts a build on trial. One that is still on trial is withdrawn.
func (d *ControlPlane) StartTrial(b logic.BuildID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now.Phase == logic.OnTrial {
		d.fleet.DrainBuild(d.now.Build)
	}
	d.enter(logic.ReleaseStatus{Valid: true, Build: b, Phase: logic.OnTrial, Cap: d.env.Config.StageCaps[0]})
}

func (d *ControlPlane) enter(n logic.ReleaseStatus) {
	d.now, d.since, d.baking = n, d.env.Now(), 0
	d.History = append(d.History, StatusChange{d.since, n})
	if n.Phase == logic.OnTrial && n.Stage == 0 {
		clear(d.votes)
	}
	d.tellAll()
}

func (d *ControlPlane) advance() {
	o, now := d.env.Config, d.env.Now()
	on, back, hold := 0, 0, 0
	for _, v := range d.votes {
		if now >= v.until || v.vote.Build != d.now.Build {
			continue
		}
		switch {
		case v.vote.Verdict == logic.RollBack:
			back++
		case v.vote.Verdict == logic.Advance && v.vote.Stage == d.now.Stage:
			on++
		case v.vote.Verdict == logic.Hold:
			hold++
		}
	}
	switch d.now.Phase {
	case logic.RollingBack:
		d.fleet.DrainBuild(d.now.Build)
		n := d.now
		n.Phase = logic.Withdrawn
		d.enter(n)
	case logic.OnTrial, logic.Released:
		if back >= o.RollBackVotes && len(d.History) > 0 {
			n := d.now
			n.Phase, n.Cap = logic.RollingBack, 0
			d.enter(n)
			return
		}
		if d.now.Phase == logic.Released {
			return
		}
		if d.fleet.RollOut(d.now.Build, o.StageShares[d.now.Stage]) && d.baking == 0 {
			d.baking = now
		}
		enough := on >= max(1, o.AdvanceVotes) || o.Control == logic.ControlTimer && hold < max(1, o.HoldVotes)
		if d.baking == 0 || now-d.baking < o.BakeTime || !enough {
			return
		}
		n := d.now
		if n.Stage++; n.Stage == len(o.StageCaps) {
			n.Stage, n.Phase, n.Cap = len(o.StageCaps)-1, logic.Released, 1
			d.fleet.DrainEarlierBuilds(n.Build)
		} else {
			n.Cap = o.StageCaps[n.Stage]
		}
		d.enter(n)
	}
}

// tellAll sends the present state to all, late.
func (d *ControlPlane) tellAll() {
	n, since := d.now, d.since
	time.AfterFunc(d.Delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		links := make([]*wire.Link, 0, len(d.links))
		for l := range d.links {
			links = append(links, l)
		}
		slices.SortFunc(links, func(a, b *wire.Link) int { return cmp.Compare(d.links[a], d.links[b]) })
		for _, l := range links {
			d.tell(l, n, since, 0, pb.News_STANDS)
		}
	})
}

// tellCounts sends all sentries what was counted in the period that has ended, late.
func (d *ControlPlane) tellCounts() {
	m, ended := &pb.Counts{}, d.env.Now()
	for by, c := range d.env.takeCounts() {
		row := &pb.Counts_Row{Build: uint32(by.build), Profile: uint32(by.profile), HandOffs: uint32(c.n), Failed: uint32(c.failed)}
		if c.n > c.failed {
			row.Mean = uint64(c.took) / uint64(c.n-c.failed)
		}
		m.Rows = append(m.Rows, row)
	}
	slices.SortFunc(m.Rows, func(a, b *pb.Counts_Row) int {
		return cmp.Or(cmp.Compare(a.Build, b.Build), cmp.Compare(a.Profile, b.Profile))
	})
	time.AfterFunc(d.Delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		m.Age = uint64(d.env.Now() - ended)
		for l := range d.links {
			l.Send(wire.KindCounts, m)
		}
	})
}

func (d *ControlPlane) tell(l *wire.Link, n logic.ReleaseStatus, since logic.Micros, vote uint64, fate pb.News_Fate) {
	if n.Valid {
		d.env.Record(audit.Event{Kind: audit.NewsTold, Sentry: d.links[l], News: n})
	}
	l.Send(wire.KindNews, &pb.News{Vote: vote, Valid: n.Valid, Build: uint32(n.Build), Stage: uint32(n.Stage),
		Phase: uint32(n.Phase), Cap: n.Cap, Age: uint64(d.env.Now() - since), Fate: fate})
}

func (d *ControlPlane) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	return func(l *wire.Link, kind wire.Kind, body []byte) error {
			d.mu.Lock()
			defer d.mu.Unlock()
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				d.links[l] = logic.SentryID(m.Position)
				d.tell(l, d.now, d.since, 0, pb.News_STANDS)
			case wire.KindVote:
				m := &pb.Vote{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				d.vote(l, m)
			}
			return nil
		}, func(l *wire.Link, _ error) {
			d.mu.Lock()
			delete(d.links, l)
			d.mu.Unlock()
		}
}

func (d *ControlPlane) vote(l *wire.Link, m *pb.Vote) {
	o, now := d.env.Config, d.env.Now()
	d.budget = min(2*o.VotesPerSecond, d.budget+o.VotesPerSecond*float64(now-d.filled)/1e6)
	d.filled = now
	v := logic.Vote{Build: logic.BuildID(m.Build), Stage: int(m.Stage), Verdict: logic.Verdict(m.Verdict)}
	fate := pb.News_STANDS
	switch {
	case d.Deny || d.budget < 1:
		fate = pb.News_REFUSED
	case v.Build != d.now.Build || v.Verdict == logic.Advance && v.Stage != d.now.Stage:
		fate = pb.News_MOOT
	default:
		d.budget--
		d.votes[d.links[l]] = standing{v, now + o.VoteTTL}
	}
	if d.Silent {
		return
	}
	n := d.now
	n.Valid = fate == pb.News_STANDS
	d.tell(l, n, d.since, m.Id, fate)
}
