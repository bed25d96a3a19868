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

// Fleet is the set of workers that the control plane rolls builds out to.
type Fleet interface {
	// RollOut starts the build on a share of the worker slots, and reports whether all of these run it.
	RollOut(b logic.BuildID, share float64) bool
	// DrainEarlierBuilds drains the workers of builds before this one.
	DrainEarlierBuilds(b logic.BuildID)
	// DrainBuild drains the workers of this build.
	DrainBuild(b logic.BuildID)
}

// ControlPlane is a stand-in for the control plane: it moves a trial through its stages and caps, counts votes, and
// sends the release status to sentries, delayed if a drill says so.
type ControlPlane struct {
	Delay          time.Duration // of status and counts messages
	StatusInterval time.Duration // between status messages to all sentries
	Silent         bool          // votes are counted and not answered
	Deny           bool          // votes are refused and not counted

	env            *Environment
	fleet          Fleet
	mu             sync.Mutex
	server         *wire.Server
	Address        string
	links          map[*wire.Link]logic.SentryID
	status         logic.ReleaseStatus
	statusSince    logic.Micros // when the status last changed
	bakingSince    logic.Micros // when all workers of the stage were running, 0 before that
	votes          map[logic.SentryID]activeVote
	voteTokens     float64 // votes that VotesPerSecond still allows
	tokensFilledAt logic.Micros
	done           chan struct{}
	History        []StatusChange // all changes of the status, in order
}

// StatusChange is the newest build's status from a time on.
type StatusChange struct {
	At     logic.Micros
	Status logic.ReleaseStatus
}

// activeVote is a sentry's last vote, which counts until it expires.
type activeVote struct {
	vote    logic.Vote
	expires logic.Micros
}

// NewControlPlane returns a control plane with a released build.
func NewControlPlane(env *Environment, fleet Fleet, released logic.BuildID) *ControlPlane {
	stages := len(env.Config.StageCaps)
	return &ControlPlane{env: env, fleet: fleet, links: map[*wire.Link]logic.SentryID{}, votes: map[logic.SentryID]activeVote{},
		StatusInterval: time.Second, done: make(chan struct{}),
		status: logic.ReleaseStatus{Valid: true, Build: released, Stage: stages - 1, Phase: logic.Released, Cap: 1}}
}

// Start starts the listener and the processing of trials.
func (c *ControlPlane) Start() error {
	server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, c.accept)
	if err != nil {
		return err
	}
	c.server, c.Address = server, server.Address
	go func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		statusDue := c.env.Now()
		countsDue := statusDue + c.env.Config.CountsPeriod
		for {
			select {
			case <-c.done:
				return
			case <-tick.C:
			}
			c.mu.Lock()
			c.update()
			if now := c.env.Now(); now >= statusDue {
				statusDue = now + logic.Micros(c.StatusInterval/time.Microsecond)
				c.broadcastStatus()
			}
			if period := c.env.Config.CountsPeriod; period > 0 && c.env.Now() >= countsDue {
				countsDue += period
				c.broadcastCounts()
			}
			c.mu.Unlock()
		}
	}()
	return nil
}

// Stop stops the control plane and closes its connections.
func (c *ControlPlane) Stop() {
	close(c.done)
	c.server.Close()
}

// Set calls f with the lock held, to change the injected faults.
func (c *ControlPlane) Set(f func(*ControlPlane)) {
	c.mu.Lock()
	f(c)
	c.mu.Unlock()
}

// Status returns the newest build's status.
func (c *ControlPlane) Status() logic.ReleaseStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// StatusChanges returns a copy of History.
func (c *ControlPlane) StatusChanges() []StatusChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.History)
}

// StartTrial puts a build on trial. A build that is still on trial is drained.
func (c *ControlPlane) StartTrial(build logic.BuildID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status.Phase == logic.OnTrial {
		c.fleet.DrainBuild(c.status.Build)
	}
	c.setStatus(logic.ReleaseStatus{Valid: true, Build: build, Phase: logic.OnTrial, Cap: c.env.Config.StageCaps[0]})
}

// setStatus changes the release status and sends it to all sentries. The lock is held.
func (c *ControlPlane) setStatus(status logic.ReleaseStatus) {
	c.status, c.statusSince, c.bakingSince = status, c.env.Now(), 0
	c.History = append(c.History, StatusChange{c.statusSince, status})
	if status.Phase == logic.OnTrial && status.Stage == 0 {
		clear(c.votes)
	}
	c.broadcastStatus()
}

// update counts the valid votes and moves the newest build to its next stage or phase if it is due. The lock is held.
func (c *ControlPlane) update() {
	config, now := c.env.Config, c.env.Now()
	advance, rollBack, hold := 0, 0, 0
	for _, active := range c.votes {
		if now >= active.expires || active.vote.Build != c.status.Build {
			continue
		}
		switch {
		case active.vote.Verdict == logic.RollBack:
			rollBack++
		case active.vote.Verdict == logic.Advance && active.vote.Stage == c.status.Stage:
			advance++
		case active.vote.Verdict == logic.Hold:
			hold++
		}
	}
	switch c.status.Phase {
	case logic.RollingBack:
		c.fleet.DrainBuild(c.status.Build)
		status := c.status
		status.Phase = logic.Withdrawn
		c.setStatus(status)
	case logic.OnTrial, logic.Released:
		if rollBack >= config.RollBackVotes && len(c.History) > 0 {
			status := c.status
			status.Phase, status.Cap = logic.RollingBack, 0
			c.setStatus(status)
			return
		}
		if c.status.Phase == logic.Released {
			return
		}
		if c.fleet.RollOut(c.status.Build, config.StageShares[c.status.Stage]) && c.bakingSince == 0 {
			c.bakingSince = now
		}
		voted := advance >= max(1, config.AdvanceVotes) || config.Control == logic.ControlTimer && hold < max(1, config.HoldVotes)
		if c.bakingSince == 0 || now-c.bakingSince < config.BakeTime || !voted {
			return
		}
		status := c.status
		if status.Stage++; status.Stage == len(config.StageCaps) {
			status.Stage, status.Phase, status.Cap = len(config.StageCaps)-1, logic.Released, 1
			c.fleet.DrainEarlierBuilds(status.Build)
		} else {
			status.Cap = config.StageCaps[status.Stage]
		}
		c.setStatus(status)
	}
}

// broadcastStatus sends the current status, after the delay, to all sentries that are connected then. The lock is held.
func (c *ControlPlane) broadcastStatus() {
	status, since := c.status, c.statusSince
	time.AfterFunc(c.Delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		links := make([]*wire.Link, 0, len(c.links))
		for l := range c.links {
			links = append(links, l)
		}
		slices.SortFunc(links, func(a, b *wire.Link) int { return cmp.Compare(c.links[a], c.links[b]) })
		for _, l := range links {
			c.sendStatus(l, status, since, 0, pb.News_STANDS)
		}
	})
}

// broadcastCounts sends the counts of the period that has ended, after the delay, to all sentries that are connected
// then. The lock is held.
func (c *ControlPlane) broadcastCounts() {
	m, ended := &pb.Counts{}, c.env.Now()
	for key, sum := range c.env.takeCounts() {
		row := &pb.Counts_Row{Build: uint32(key.build), Profile: uint32(key.profile), HandOffs: uint32(sum.handOffs), Failed: uint32(sum.failed)}
		if sum.handOffs > sum.failed {
			row.Mean = uint64(sum.totalTime) / uint64(sum.handOffs-sum.failed)
		}
		m.Rows = append(m.Rows, row)
	}
	slices.SortFunc(m.Rows, func(a, b *pb.Counts_Row) int {
		return cmp.Or(cmp.Compare(a.Build, b.Build), cmp.Compare(a.Profile, b.Profile))
	})
	time.AfterFunc(c.Delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.Age = uint64(c.env.Now() - ended)
		for l := range c.links {
			l.Send(wire.KindCounts, m)
		}
	})
}

// sendStatus sends a release status to a sentry, as the answer to a vote if vote is not 0.
func (c *ControlPlane) sendStatus(l *wire.Link, status logic.ReleaseStatus, since logic.Micros, vote uint64, result pb.News_Fate) {
	if status.Valid {
		c.env.Record(audit.Event{Kind: audit.StatusSent, Sentry: c.links[l], Status: status})
	}
	l.Send(wire.KindNews, &pb.News{Vote: vote, Valid: status.Valid, Build: uint32(status.Build), Stage: uint32(status.Stage),
		Phase: uint32(status.Phase), Cap: status.Cap, Age: uint64(c.env.Now() - since), Fate: result})
}

// accept handles a sentry's connection: it sends the status at a hello, and answers votes.
func (c *ControlPlane) accept(l *wire.Link) (wire.Handler, func(*wire.Link, error)) {
	return func(l *wire.Link, kind wire.Kind, body []byte) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			switch kind {
			case wire.KindHello:
				m := &pb.Hello{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				c.links[l] = logic.SentryID(m.Position)
				c.sendStatus(l, c.status, c.statusSince, 0, pb.News_STANDS)
			case wire.KindVote:
				m := &pb.Vote{}
				if err := unmarshal(body, m); err != nil {
					return err
				}
				c.handleVote(l, m)
			}
			return nil
		}, func(l *wire.Link, _ error) {
			c.mu.Lock()
			delete(c.links, l)
			c.mu.Unlock()
		}
}

// handleVote counts a vote unless it is stale or exceeds VotesPerSecond, and answers it.
func (c *ControlPlane) handleVote(l *wire.Link, m *pb.Vote) {
	config, now := c.env.Config, c.env.Now()
	c.voteTokens = min(2*config.VotesPerSecond, c.voteTokens+config.VotesPerSecond*float64(now-c.tokensFilledAt)/1e6)
	c.tokensFilledAt = now
	vote := logic.Vote{Build: logic.BuildID(m.Build), Stage: int(m.Stage), Verdict: logic.Verdict(m.Verdict)}
	result := pb.News_STANDS
	switch {
	case c.Deny || c.voteTokens < 1:
		result = pb.News_REFUSED
	case vote.Build != c.status.Build || vote.Verdict == logic.Advance && vote.Stage != c.status.Stage:
		result = pb.News_MOOT
	default:
		c.voteTokens--
		c.votes[c.links[l]] = activeVote{vote, now + config.VoteTTL}
	}
	if c.Silent {
		return
	}
	status := c.status
	status.Valid = result == pb.News_STANDS
	c.sendStatus(l, status, c.statusSince, m.Id, result)
}
