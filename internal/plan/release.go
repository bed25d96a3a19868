package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Phase is the phase of a release.
type Phase int

// The phases of a release.
const (
	Pending     Phase = iota // no wave has started
	OnTrial                  // the wave State.Wave is the last that has started
	RollingBack              // the cap is 0; the fleet is moved back once all sentries have confirmed the cap
	Released                 // the last wave is done
	Withdrawn                // the roll-back has ended
)

// Verdict is what a sentry votes for.
type Verdict int

// The verdicts.
const (
	Advance  Verdict = iota + 1 // the release may advance to the next wave
	RollBack                    // the build is to be rolled back
)

type (
	// Sentry is the index of a sentry, from 0 to Plan.Sentries-1.
	Sentry int
	// Member is the name of a member of a group.
	Member string
)

// State is the whole state of a release. The status for the sentries and the share of the fleet follow from it alone, so
// a control plane that restarts with it sends what it sent before.
type State struct {
	Phase  Phase
	Wave   int       // the last wave that has started, -1 before the first
	Now    time.Time // time of the last event; it does not go back when the clock is set back
	Ready  time.Time // when the fleet reached the wave's share, zero before; the bake counts from here
	Cap    float64   // in the last status
	Fleet  float64   // share of the fleet that runs the build, as last reported
	Held   bool      // by Hold
	Waived int       // wave whose own hold has been lifted, -1 if none
	Votes  map[Sentry]Vote
	Grants []Grant
	Seen   map[string]bool // IDs of the grants received so far; a grant does not count twice
}

// Vote is a sentry's vote. It counts until it expires or the sentry votes again.
type Vote struct {
	Wave    int
	Verdict Verdict
	Until   time.Time
}

// Grant is a member's grant of an approval.
type Grant struct {
	Approval int
	Member   Member
	Until    time.Time
}

// Action is an action that the caller carries out after an event. Actions are carried out in order, once the state is stored.
type Action struct {
	Kind  ActionKind
	Phase Phase   // SendStatus
	Wave  int     // SendStatus
	Cap   float64 // SendStatus
	Share float64 // MoveFleet
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions.
const (
	SendStatus ActionKind = iota // send phase, wave and cap to all sentries
	MoveFleet                    // have a share of the fleet run the build
)

// Release is a release: a plan and its state. It is a state machine without I/O; each event returns the actions to take.
type Release struct {
	Plan         *Plan
	VoteLifetime time.Duration
	State        State
}

// New returns a release that has not started.
func New(plan *Plan, voteLifetime time.Duration) *Release {
	return &Release{Plan: plan, VoteLifetime: voteLifetime,
		State: State{Wave: -1, Waived: -1, Votes: map[Sentry]Vote{}, Seen: map[string]bool{}}}
}

// Tick handles the passing of time.
func (r *Release) Tick(at time.Time) []Action {
	r.advanceClock(at)
	return r.proceed()
}

// advanceClock sets the time of the last event, which never goes back.
func (r *Release) advanceClock(at time.Time) {
	if at.After(r.State.Now) {
		r.State.Now = at
	}
}

// UpdateFleetShare handles a report of the share of the fleet that runs the build.
func (r *Release) UpdateFleetShare(at time.Time, share float64) []Action {
	r.advanceClock(at)
	state := &r.State
	state.Fleet = share
	if state.Phase == RollingBack && state.Fleet == 0 {
		state.Phase = Withdrawn
		return []Action{{Kind: SendStatus, Phase: Withdrawn, Wave: state.Wave}}
	}
	return r.proceed()
}

// ConfirmCap handles the confirmation that no sentry sends the build more than a cap any longer. A roll-back moves the
// fleet only after the confirmation of cap 0.
func (r *Release) ConfirmCap(at time.Time, maxCap float64) []Action {
	r.advanceClock(at)
	if r.State.Phase == RollingBack && maxCap == 0 {
		return []Action{{Kind: MoveFleet}}
	}
	return nil
}

// Vote handles a sentry's vote. A vote to advance concerns one wave; a vote to roll back concerns the build.
func (r *Release) Vote(at time.Time, sentry Sentry, wave int, verdict Verdict) ([]Action, error) {
	r.advanceClock(at)
	state := &r.State
	switch {
	case sentry < 0 || int(sentry) >= r.Plan.Sentries:
		return nil, fmt.Errorf("found a vote of sentry %d, expected one of %d sentries", sentry, r.Plan.Sentries)
	case verdict != Advance && verdict != RollBack:
		return nil, fmt.Errorf("found verdict %d, expected advance or roll back", verdict)
	case state.Phase != OnTrial && state.Phase != Released:
		return nil, fmt.Errorf("found a vote on a build that is not on trial, expected none")
	case verdict == Advance && wave != state.Wave:
		return nil, fmt.Errorf("found a vote on wave %d, expected wave %d", wave, state.Wave)
	}
	state.Votes[sentry] = Vote{wave, verdict, state.Now.Add(r.VoteLifetime)}
	return r.proceed(), nil
}

// Approve handles a member's grant of an approval, which carries its own ID. The grant counts from now on for as long as
// the approval is valid, and is used up by the next wave that requires it.
func (r *Release) Approve(at time.Time, approval string, member Member, grantID string) ([]Action, error) {
	r.advanceClock(at)
	state := &r.State
	index := slices.IndexFunc(r.Plan.Approvals, func(definition Approval) bool { return definition.Name == approval })
	if index < 0 {
		return nil, fmt.Errorf("found approval %q, expected one of this plan", approval)
	}
	definition := &r.Plan.Approvals[index]
	switch group := &r.Plan.Groups[definition.Group]; {
	case state.Phase != Pending && state.Phase != OnTrial:
		return nil, fmt.Errorf("found an approval for a release that has ended, expected none")
	case !slices.Contains(group.Members, string(member)):
		return nil, fmt.Errorf("found an approval by %q, expected a member of %s", member, group.Name)
	case state.Seen[grantID]:
		return nil, fmt.Errorf("found approval %q twice, expected it once", grantID)
	case !r.isNeeded(index):
		return nil, fmt.Errorf("found an approval that no later wave requires, expected none")
	}
	state.Seen[grantID] = true
	state.Grants = slices.DeleteFunc(state.Grants, func(g Grant) bool { return g.Approval == index && g.Member == member })
	state.Grants = append(state.Grants, Grant{index, member, state.Now.Add(definition.Valid)})
	return r.proceed(), nil
}

// isNeeded reports whether a later wave requires an approval.
func (r *Release) isNeeded(approval int) bool {
	return slices.ContainsFunc(r.Plan.Waves[r.State.Wave+1:], func(w Wave) bool { return slices.Contains(w.Approvals, approval) })
}

// Hold keeps waves from starting until Resume. Neither affects a wave that has started, or a roll-back.
func (r *Release) Hold(at time.Time) {
	r.advanceClock(at)
	r.State.Held = true
}

// Resume lifts the hold, and the next wave's own hold.
func (r *Release) Resume(at time.Time) []Action {
	r.advanceClock(at)
	r.State.Held, r.State.Waived = false, r.State.Wave+1
	return r.proceed()
}

// RollBack starts a roll-back manually.
func (r *Release) RollBack(at time.Time) ([]Action, error) {
	r.advanceClock(at)
	if phase := r.State.Phase; phase == RollingBack || phase == Withdrawn {
		return nil, fmt.Errorf("found a release that is rolling back or withdrawn, expected one that is not")
	}
	return r.startRollBack(), nil
}

// startRollBack sets the cap to 0. The fleet is moved when ConfirmCap reports that cap.
func (r *Release) startRollBack() []Action {
	state := &r.State
	state.Phase, state.Cap, state.Grants = RollingBack, 0, nil
	clear(state.Votes)
	return []Action{{Kind: SendStatus, Phase: RollingBack, Wave: state.Wave}}
}

// proceed takes the release as far as votes, approvals, windows and the fleet allow.
func (r *Release) proceed() (actions []Action) {
	state := &r.State
	if state.Phase == OnTrial || state.Phase == Released {
		if r.countVotes(RollBack) >= r.Plan.Waves[state.Wave].Back {
			return r.startRollBack()
		}
	}
	if state.Phase == OnTrial && state.Ready.IsZero() && state.Fleet >= r.Plan.Waves[state.Wave].Share { // the fleet has the capacity for the cap from now on
		state.Ready, state.Cap = state.Now, r.Plan.Waves[state.Wave].Cap
		actions = append(actions, Action{Kind: SendStatus, Phase: OnTrial, Wave: state.Wave, Cap: state.Cap})
	}
	if state.Phase == OnTrial && !r.isWaveDone() || state.Phase != Pending && state.Phase != OnTrial {
		return actions
	}
	if state.Wave == len(r.Plan.Waves)-1 {
		state.Phase, state.Cap = Released, 1
		return append(actions, Action{Kind: SendStatus, Phase: Released, Wave: state.Wave, Cap: 1})
	}
	if !r.canStart(state.Wave + 1) {
		return actions
	}
	state.Wave++
	state.Phase, state.Ready = OnTrial, time.Time{}
	state.Grants = slices.DeleteFunc(state.Grants, func(g Grant) bool { // the wave uses up its grants
		return slices.Contains(r.Plan.Waves[state.Wave].Approvals, g.Approval)
	})
	actions = append(actions, Action{Kind: MoveFleet, Share: r.Plan.Waves[state.Wave].Share})
	return append(actions, r.proceed()...) // the fleet may have the share already
}

// isWaveDone reports whether the current wave has baked and has its votes, and the fleet still has the wave's share.
func (r *Release) isWaveDone() bool {
	state, wave := &r.State, &r.Plan.Waves[r.State.Wave]
	return !state.Ready.IsZero() && state.Fleet >= wave.Share && state.Now.Sub(state.Ready) >= wave.Bake && r.countVotes(Advance) >= wave.On
}

// countVotes counts the votes for a verdict that have not expired. Votes to advance count for the current wave only.
func (r *Release) countVotes(verdict Verdict) (count int) {
	for _, vote := range r.State.Votes {
		if vote.Verdict == verdict && r.State.Now.Before(vote.Until) && (verdict == RollBack || vote.Wave == r.State.Wave) {
			count++
		}
	}
	return count
}

// canStart reports whether no hold keeps a wave from starting, one of its windows is open, and its approvals are granted.
func (r *Release) canStart(wave int) bool {
	state, w := &r.State, &r.Plan.Waves[wave]
	if state.Held || w.Hold && state.Waived != wave {
		return false
	}
	if len(w.Windows) > 0 && !slices.ContainsFunc(w.Windows, func(index int) bool { return r.Plan.Windows[index].IsOpen(state.Now) }) {
		return false
	}
	for _, a := range w.Approvals {
		grantCount := 0
		for _, g := range state.Grants {
			if g.Approval == a && state.Now.Before(g.Until) {
				grantCount++
			}
		}
		if grantCount < r.Plan.Approvals[a].Count {
			return false
		}
	}
	return true
}

// CurrentActions returns the actions that follow from the state. A control plane carries them out after a restart.
func (r *Release) CurrentActions() []Action {
	state := &r.State
	sendStatus := Action{Kind: SendStatus, Phase: state.Phase, Wave: state.Wave, Cap: state.Cap}
	switch state.Phase {
	case OnTrial, Released:
		return []Action{sendStatus, {Kind: MoveFleet, Share: r.Plan.Waves[state.Wave].Share}}
	case RollingBack, Withdrawn: // ConfirmCap moves the fleet
		return []Action{sendStatus}
	}
	return nil
}

// Clone returns a deep copy.
func (s *State) Clone() State {
	c := *s
	c.Votes, c.Grants, c.Seen = maps.Clone(s.Votes), slices.Clone(s.Grants), maps.Clone(s.Seen)
	return c
}
