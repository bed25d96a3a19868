package sentry

import (
	"fmt"
	"slices"

	"scalechute/internal/wire"
	"scalechute/logic"
)

// Breach has this sentry break one rule on purpose, behind the module's back, so that the auditor can be shown to
// find it. Nothing else in the program uses it.
type Breach int

const (
	NoBreach Breach = iota
	BreachAnswer
	BreachEffect
	BreachDrain
	BreachCold
	BreachExposure
)

// BreachNames are the words for Breach, from BreachAnswer on.
var BreachNames = []string{"answer", "effect", "drain", "cold", "exposure"}

// ParseBreach finds the breach of a word, none for an empty one.
func ParseBreach(word string) (Breach, error) {
	if word == "" {
		return NoBreach, nil
	}
	i := slices.Index(BreachNames, word)
	if i < 0 {
		return NoBreach, fmt.Errorf("break: found %q, expected one of %v", word, BreachNames)
	}
	return Breach(i + 1), nil
}

// breachAnswer answers one transaction in twenty a second time.
func (s *Sentry) breachAnswerRule(t *transaction, a *wire.Answer) {
	if s.breach == BreachAnswer && s.transactionSeq%20 == 0 {
		s.queueAnswer(t.client, a)
	}
}

// breachAfter hands a transaction off once more, or many times, after a ruling was carried out.
func (s *Sentry) breachHandOffRules(t *transaction, r *logic.Action) {
	if s.breach < BreachEffect || len(t.handOffs) != 1 || t.closed {
		return
	}
	repeatability := s.config.Profiles[t.profile].Repeatability
	if chosen := s.workers[r.Worker]; chosen == nil || chosen.info.Build >= s.workerList.releaseStatus.Build {
		return // its key has met the trial: once more at an earlier build would break another rule too
	}
	// What breaks no other rule: warm, ready, of a build that is not on trial.
	isOrdinary := func(w *worker) bool {
		return w.info.State == logic.Ready && w.info.Build < s.workerList.releaseStatus.Build && s.isWarm(w)
	}
	switch s.breach {
	case BreachEffect:
		if repeatability == logic.NonIdempotent {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool { return isOrdinary(w) && w.id != r.Worker })
		}
	case BreachDrain:
		if repeatability == logic.Idempotent {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool {
				return w.info.State != logic.Ready && s.now-w.stateSince > s.config.DrainGrace &&
					w.info.Build < s.workerList.releaseStatus.Build
			})
		}
	case BreachCold:
		if repeatability == logic.Idempotent {
			s.sendExtraHandOffs(t, 20, func(w *worker) bool {
				return w.info.State == logic.Ready && w.info.Build < s.workerList.releaseStatus.Build && !s.isWarm(w)
			})
		}
	case BreachExposure:
		if repeatability == logic.Idempotent && s.workerList.releaseStatus.Phase == logic.OnTrial && s.transactionSeq%2 == 0 {
			s.sendExtraHandOffs(t, 1, func(w *worker) bool {
				return w.info.State == logic.Ready && w.info.Build == s.workerList.releaseStatus.Build && s.isWarm(w)
			})
		}
	}
}

func (s *Sentry) isWarm(w *worker) bool {
	return w.info.Started == 0 || s.now-w.info.Started > s.config.WarmUp
}

// again writes the work to the first connected worker that fits, under an id whose answer nobody awaits.
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
	if s.breach == BreachCold {
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
		m := &wire.Work{ID: 1, Profile: t.profile, Key: []byte(t.key), Timeout: uint64(max(1, t.deadline-s.now)), DeduplicationToken: t.dedupToken,
			Payload: t.payload, Transaction: []byte(t.id), HandOffNumber: uint32(len(t.handOffs)), ExpectedWork: t.expectedWork}
		c.link.SendWork(m)
		s.unflushed = append(s.unflushed, c.link)
	}
}
