package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Phase is where a release stands.
type Phase int

const (
	Pending     Phase = iota // no wave has begun
	OnTrial                  // the last wave that has begun is State.Wave
	RollingBack              // sentries are told to send nothing, and the fleet is moved back after they have heard
	Released
	Withdrawn
)

// Verdict is what a sentry votes for.
type Verdict int

const (
	Advance Verdict = iota + 1
	RollBack
)

type (
	Sentry int    // position of a sentry
	Member string // of a group
)

// State is all that a release remembers. What is told to sentries and asked of the fleet follows from it alone, so that a
// desk that comes back with it says what it said before.
type State struct {
	Phase  Phase
	Wave   int       // the last that has begun, -1 before the first
	Now    time.Time // of the last event; a clock set back does not turn it back
	Ready  time.Time // since when the fleet has the wave's share, zero before; the bake counts from here
	Cap    float64   // last told
	Fleet  float64   // share of the fleet that runs the build, as last heard
	Held   bool
	Waived int // wave whose own hold has been lifted, -1 if none
	Votes  map[Sentry]Vote
	Grants []Grant
	Seen   map[string]bool // grants that came, by their own name: none counts twice
}

// Vote stands until its time is up or the sentry votes anew.
type Vote struct {
	Wave    int
	Verdict Verdict
	Until   time.Time
}

// Grant is one member's yes to an approval.
type Grant struct {
	Approval int
	Member   Member
	Until    time.Time
}

// Effect is what a step asks of the world. Effects are carried out in order, after the state is safe.
type Action struct {
	Kind  ActionKind
	Phase Phase   // Tell
	Wave  int     // Tell
	Cap   float64 // Tell
	Share float64 // Move
}

type ActionKind int

const (
	SendStatus ActionKind = iota // all sentries: phase, wave and cap
	MoveFleet                    // the fleet: have this share run the build
)

// Release is one plan on its way.
type Release struct {
	Plan         *Plan
	VoteLifetime time.Duration
	State        State
}

// New makes a release that has not begun.
func New(p *Plan, voteLife time.Duration) *Release {
	return &Release{Plan: p, VoteLifetime: voteLife,
		State: State{Wave: -1, Waived: -1, Votes: map[Sentry]Vote{}, Seen: map[string]bool{}}}
}

// Tick has the release do what its time has come for.
func (r *Release) Tick(at time.Time) []Action {
	r.clock(at)
	return r.advance()
}

func (r *Release) clock(at time.Time) {
	if at.After(r.State.Now) {
		r.State.Now = at
	}
}

// Reached says which share of the fleet runs the build.
func (r *Release) UpdateFleetShare(at time.Time, share float64) []Action {
	r.clock(at)
	s := &r.State
	s.Fleet = share
	if s.Phase == RollingBack && s.Fleet == 0 {
		s.Phase = Withdrawn
		return []Action{{Kind: SendStatus, Phase: Withdrawn, Wave: s.Wave}}
	}
	return r.advance()
}

// Heard says that no sentry may send the build more than a cap any longer. Going back moves the fleet only then.
func (r *Release) ConfirmCap(at time.Time, most float64) []Action {
	r.clock(at)
	if r.State.Phase == RollingBack && most == 0 {
		return []Action{{Kind: MoveFleet}}
	}
	return nil
}

// Vote takes a sentry's vote. A vote to go on is about one wave; one to go back is about the build.
func (r *Release) Vote(at time.Time, from Sentry, wave int, v Verdict) ([]Action, error) {
	r.clock(at)
	s := &r.State
	switch {
	case from < 0 || int(from) >= r.Plan.Sentries:
		return nil, fmt.Errorf("found a vote of sentry %d, expected one of %d", from, r.Plan.Sentries)
	case v != Advance && v != RollBack:
		return nil, fmt.Errorf("found verdict %d, expected on or back", v)
	case s.Phase != OnTrial && s.Phase != Released:
		return nil, fmt.Errorf("found a vote on a build that is not on trial, expected none")
	case v == Advance && wave != s.Wave:
		return nil, fmt.Errorf("found a vote on wave %d, expected one on %d", wave, s.Wave)
	}
	s.Votes[from] = Vote{wave, v, s.Now.Add(r.VoteLifetime)}
	return r.advance(), nil
}

// Approve takes a member's yes, which carries a name of its own. It counts from now on for as long as the approval is
// valid, once, and for the next wave that asks for it.
func (r *Release) Approve(at time.Time, approval string, by Member, name string) ([]Action, error) {
	r.clock(at)
	s := &r.State
	which := slices.IndexFunc(r.Plan.Approvals, func(a Approval) bool { return a.Name == approval })
	if which < 0 {
		return nil, fmt.Errorf("found approval %q, expected one of this plan", approval)
	}
	a := &r.Plan.Approvals[which]
	switch group := &r.Plan.Groups[a.Group]; {
	case s.Phase != Pending && s.Phase != OnTrial:
		return nil, fmt.Errorf("found an approval for a release that is over, expected none")
	case !slices.Contains(group.Members, string(by)):
		return nil, fmt.Errorf("found an approval by %q, expected a member of %s", by, group.Name)
	case s.Seen[name]:
		return nil, fmt.Errorf("found approval %q twice, expected it once", name)
	case !r.wanted(which):
		return nil, fmt.Errorf("found an approval that no wave to come asks for, expected none")
	}
	s.Seen[name] = true
	s.Grants = slices.DeleteFunc(s.Grants, func(g Grant) bool { return g.Approval == which && g.Member == by })
	s.Grants = append(s.Grants, Grant{which, by, s.Now.Add(a.Valid)})
	return r.advance(), nil
}

func (r *Release) wanted(approval int) bool {
	return slices.ContainsFunc(r.Plan.Waves[r.State.Wave+1:], func(w Wave) bool { return slices.Contains(w.Approvals, approval) })
}

// Hold keeps any wave from beginning, until Resume. Neither changes a wave that has begun, or a way back.
func (r *Release) Hold(at time.Time) {
	r.clock(at)
	r.State.Held = true
}

// Resume lifts the hold, and that of the next wave's own.
func (r *Release) Resume(at time.Time) []Action {
	r.clock(at)
	r.State.Held, r.State.Waived = false, r.State.Wave+1
	return r.advance()
}

// Back begins the way back by hand.
func (r *Release) RollBack(at time.Time) ([]Action, error) {
	r.clock(at)
	if p := r.State.Phase; p == RollingBack || p == Withdrawn {
		return nil, fmt.Errorf("found a release that goes back already, expected one that does not")
	}
	return r.back(), nil
}

func (r *Release) back() []Action {
	s := &r.State
	s.Phase, s.Cap, s.Grants = RollingBack, 0, nil
	clear(s.Votes)
	return []Action{{Kind: SendStatus, Phase: RollingBack, Wave: s.Wave}} // first the cap; the fleet moves when it is heard
}

// advance goes as far as votes, approvals, windows and the fleet allow.
func (r *Release) advance() (effects []Action) {
	s := &r.State
	if s.Phase == OnTrial || s.Phase == Released {
		if r.votes(RollBack) >= r.Plan.Waves[s.Wave].Back {
			return r.back()
		}
	}
	if s.Phase == OnTrial && s.Ready.IsZero() && s.Fleet >= r.Plan.Waves[s.Wave].Share { // the fleet can bear the cap now
		s.Ready, s.Cap = s.Now, r.Plan.Waves[s.Wave].Cap
		effects = append(effects, Action{Kind: SendStatus, Phase: OnTrial, Wave: s.Wave, Cap: s.Cap})
	}
	if s.Phase == OnTrial && !r.done() || s.Phase != Pending && s.Phase != OnTrial {
		return effects
	}
	if s.Wave == len(r.Plan.Waves)-1 {
		s.Phase, s.Cap = Released, 1
		return append(effects, Action{Kind: SendStatus, Phase: Released, Wave: s.Wave, Cap: 1})
	}
	if !r.mayBegin(s.Wave + 1) {
		return effects
	}
	s.Wave++
	s.Phase, s.Ready = OnTrial, time.Time{}
	s.Grants = slices.DeleteFunc(s.Grants, func(g Grant) bool { // used, and not to be used again
		return slices.Contains(r.Plan.Waves[s.Wave].Approvals, g.Approval)
	})
	effects = append(effects, Action{Kind: MoveFleet, Share: r.Plan.Waves[s.Wave].Share})
	return append(effects, r.advance()...) // the fleet may have the share already
}

// done says that the present wave has baked and has its votes, and that the fleet has not lost its share meanwhile.
func (r *Release) done() bool {
	s, w := &r.State, &r.Plan.Waves[r.State.Wave]
	return !s.Ready.IsZero() && s.Fleet >= w.Share && s.Now.Sub(s.Ready) >= w.Bake && r.votes(Advance) >= w.On
}

func (r *Release) votes(v Verdict) (n int) {
	for _, x := range r.State.Votes {
		if x.Verdict == v && r.State.Now.Before(x.Until) && (v == RollBack || x.Wave == r.State.Wave) {
			n++
		}
	}
	return n
}

func (r *Release) mayBegin(wave int) bool {
	s, w := &r.State, &r.Plan.Waves[wave]
	if s.Held || w.Hold && s.Waived != wave {
		return false
	}
	if len(w.Windows) > 0 && !slices.ContainsFunc(w.Windows, func(at int) bool { return r.Plan.Windows[at].IsOpen(s.Now) }) {
		return false
	}
	for _, a := range w.Approvals {
		given := 0
		for _, g := range s.Grants {
			if g.Approval == a && s.Now.Before(g.Until) {
				given++
			}
		}
		if given < r.Plan.Approvals[a].Count {
			return false
		}
	}
	return true
}

// Standing is what holds at present: what a desk that comes back tells again and asks of the fleet again.
func (r *Release) CurrentActions() []Action {
	s := &r.State
	tell := Action{Kind: SendStatus, Phase: s.Phase, Wave: s.Wave, Cap: s.Cap}
	switch s.Phase {
	case OnTrial, Released:
		return []Action{tell, {Kind: MoveFleet, Share: r.Plan.Waves[s.Wave].Share}}
	case RollingBack, Withdrawn: // the fleet is moved when Heard says so
		return []Action{tell}
	}
	return nil
}

// Clone is a copy that shares nothing with its original.
func (s *State) Clone() State {
	c := *s
	c.Votes, c.Grants, c.Seen = maps.Clone(s.Votes), slices.Clone(s.Grants), maps.Clone(s.Seen)
	return c
}
