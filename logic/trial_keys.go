package logic

import "slices"

// Keys at the build on trial. With ForwardOnly, a key that the trial may have answered does not go to an earlier build
// again. The rule binds from the moment of the answer, which the sentry learns later or not at all, so what counts is
// whether a hand-off of the key is open at the trial, not only how hand-offs have ended:
//
//	state             a hand-off of the key         what another transaction, hedge or retry of the key does
//	keyUnknown        is and was at no trial worker  goes where its slot says
//	keyInFlight       is open at a trial worker      goes to the trial, or waits until the state changes; a hedge is dropped
//	keyMayBeAnswered  has ended, may be answered     goes to the trial, or is given up; a hedge is dropped
//
// A hand-off makes its key keyInFlight when it is ordered. Its end leads to keyMayBeAnswered if the transaction may have
// run and has not failed with an error. Otherwise the key is in the state that its other hand-offs give it. All keys are
// keyUnknown again once the build is no longer on trial, and after a restart of the sentry.

// keyState is what a sentry knows of a key at the build on trial.
type keyState int

const (
	keyUnknown keyState = iota
	keyInFlight
	keyMayBeAnswered
)

// keyStateOf returns the state of a transaction's key. Of its hand-offs it leaves out the one given, if there is one: a
// hand-off that was not written has not made the trial meet the key.
func (s *Sentry) keyStateOf(t *transaction, except *handOff) keyState {
	trial, onTrial := s.trialBuild()
	switch {
	case !s.config.ForwardOnly || !onTrial || t.Key == "":
		return keyUnknown
	case s.trialKeys[t.Key] == trial:
		return keyMayBeAnswered
	}
	for _, other := range s.openByKey[t.Key] {
		for i := range other.handOffs {
			if h := &other.handOffs[i]; h != except && !h.ended && s.isAtBuild(h, trial) {
				return keyInFlight
			}
		}
	}
	return keyUnknown
}

// isAtBuild reports whether a build may have a hand-off: its worker runs that build, or did when it was chosen. If the list
// has changed the worker's build meanwhile, either build may have it.
func (s *Sentry) isAtBuild(h *handOff, build BuildID) bool {
	return h.build == build || s.workers[h.worker].Build == build
}

// noteTrialAnswer notes the key of an ended hand-off that the trial may have answered, although no answer may have been
// read.
func (s *Sentry) noteTrialAnswer(t *transaction, h *handOff) {
	trial, onTrial := s.trialBuild()
	if onTrial && h.mayHaveRun && h.end.Ending != Errored && s.isAtBuild(h, trial) {
		s.trialKeys[t.Key] = trial
	}
}

// addOpen and removeOpen keep the index of the open transactions by ID and key.
func (s *Sentry) addOpen(t *transaction) {
	s.openTransactions[t.ID] = t
	if t.Key != "" {
		s.openByKey[t.Key] = append(s.openByKey[t.Key], t)
	}
}

func (s *Sentry) removeOpen(t *transaction) {
	delete(s.openTransactions, t.ID)
	if t.Key == "" {
		return
	}
	rest := slices.DeleteFunc(s.openByKey[t.Key], func(other *transaction) bool { return other == t })
	if s.openByKey[t.Key] = rest; len(rest) == 0 {
		delete(s.openByKey, t.Key)
	}
}
