package sentry

import (
	"fmt"
	"slices"

	"scalechute/internal/wire"
	"scalechute/logic"
)

// InjectedFault is a fault that makes the sentry break a rule, bypassing the decision module. It exists only to test
// that the audit reports the violation.
type InjectedFault int

// NoFault is no fault. The others are in the order of the rules that they break, rules 1 to 5 of package audit.
const (
	NoFault              InjectedFault = iota
	DuplicateAnswer                    // a second final answer
	DuplicateHandOff                   // a second hand-off of a transaction that is not idempotent
	HandOffAfterDrain                  // a hand-off to a worker that drains or is gone, after the drain grace
	HandOffsToColdWorker               // many hand-offs at once to a worker that is still cold
	HandOffsOverTrialCap               // more hand-offs to the build on trial than its cap allows
)

// FaultNames lists the names of the faults, starting with DuplicateAnswer.
var FaultNames = []string{"answer", "effect", "drain", "cold", "exposure"}

// ParseFault returns the fault with the given name, or NoFault if the name is empty.
func ParseFault(name string) (InjectedFault, error) {
	if name == "" {
		return NoFault, nil
	}
	i := slices.Index(FaultNames, name)
	if i < 0 {
		return NoFault, fmt.Errorf("break: found %q, expected one of %v", name, FaultNames)
	}
	return InjectedFault(i + 1), nil
}

// injectDuplicateAnswer answers one transaction in 20 a second time if DuplicateAnswer is injected.
func (s *Sentry) injectDuplicateAnswer(t *transaction, a *wire.Answer) {
	if s.injectedFault == DuplicateAnswer && s.transactionSeq%20 == 0 {
		s.queueAnswer(t.client, a)
	}
}

// injectHandOffFault sends a transaction's work to a worker again, once or many times, after its first hand-off. It
// does so if one of the faults from DuplicateHandOff on is injected.
func (s *Sentry) injectHandOffFault(t *transaction, action *logic.Action) {
	if s.injectedFault < DuplicateHandOff || len(t.handOffs) != 1 || t.closed {
		return
	}
	repeatability := s.config.Profiles[t.profile].Repeatability
	if chosen := s.workers[action.Worker]; chosen == nil || chosen.info.Build >= s.workerList.releaseStatus.Build {
		return // its key has been handed to the trial: a further hand-off to an earlier build would break another rule too
	}
	// A worker whose use breaks no other rule: warm, ready, of a build that is not on trial.
	isOrdinary := func(w *worker) bool {
		return w.info.State == logic.Ready && w.info.Build < s.workerList.releaseStatus.Build && s.isWarm(w)
	}
	switch s.injectedFault {
	case DuplicateHandOff:
		if repeatability == logic.NonIdempotent {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool { return isOrdinary(w) && w.id != action.Worker })
		}
	case HandOffAfterDrain:
		if repeatability == logic.Idempotent {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool {
				return w.info.State != logic.Ready && s.now-w.stateSince > s.config.DrainGrace &&
					w.info.Build < s.workerList.releaseStatus.Build
			})
		}
	case HandOffsToColdWorker:
		if repeatability == logic.Idempotent {
			s.sendExtraHandOffs(t, 20, func(w *worker) bool {
				return w.info.State == logic.Ready && w.info.Build < s.workerList.releaseStatus.Build && !s.isWarm(w)
			})
		}
	case HandOffsOverTrialCap:
		if repeatability == logic.Idempotent && s.workerList.releaseStatus.Phase == logic.OnTrial && s.transactionSeq%2 == 0 {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool {
				return w.info.State == logic.Ready && w.info.Build == s.workerList.releaseStatus.Build && s.isWarm(w)
			})
		}
	}
}

// isWarm reports whether a worker's warm-up has ended.
func (s *Sentry) isWarm(w *worker) bool {
	return w.info.Started == 0 || s.now-w.info.Started > s.config.WarmUp
}

// sendExtraHandOffs sends a transaction's work to a worker that fits, under an id whose answer is ignored.
// If the worker has no connection it only dials one.
func (s *Sentry) sendExtraHandOffs(t *transaction, times int, fits func(*worker) bool) {
	var candidates []*worker
	for _, w := range s.workers {
		if fits(w) && w.address != "" {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	w := candidates[int(s.transactionSeq/2)%len(candidates)]
	if s.injectedFault == HandOffsToColdWorker {
		w = candidates[0]
	}
	if len(w.conns) == 0 {
		if w.dials == 0 {
			w.queue = append(w.queue, queuedHandOff{t, t.gen, 0})
			s.dial(w)
			w.queue = w.queue[:len(w.queue)-1]
		}
		return
	}
	c := w.conns[0]
	for range times {
		m := &wire.Work{ID: 1, Profile: t.profile, Key: []byte(t.key), Timeout: uint64(max(1, t.deadline-s.now)),
			DeduplicationToken: t.dedupToken,
			Payload:            t.payload, Transaction: []byte(t.id), HandOffNumber: uint32(len(t.handOffs)), ExpectedWork: t.expectedWork}
		c.link.SendWork(m)
		s.unflushed = append(s.unflushed, c.link)
	}
}
