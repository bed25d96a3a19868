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
func (s *Sentry) breachAnswer(t *transaction, a *wire.Answer) {
	if s.breach == BreachAnswer && s.named%20 == 0 {
		s.put(t.client, a)
	}
}

// breachAfter hands a transaction off once more, or many times, after a ruling was carried out.
func (s *Sentry) breachAfter(t *transaction, r *logic.Action) {
	if s.breach < BreachEffect || len(t.sends) != 1 || t.closed {
		return
	}
	repeat := s.orders.Profiles[t.profile].Repeatability
	if ruled := s.workers[r.Worker]; ruled == nil || ruled.line.Build >= s.book.news.Build {
		return // its key has met the trial: once more at an earlier build would break another rule too
	}
	// What breaks no other rule: warm, ready, of a build that is not on trial.
	plain := func(w *worker) bool {
		return w.line.State == logic.Ready && w.line.Build < s.book.news.Build && s.warm(w)
	}
	switch s.breach {
	case BreachEffect:
		if repeat == logic.NonIdempotent {
			s.again(t, 1, func(w *worker) bool { return plain(w) && w.id != r.Worker })
		}
	case BreachDrain:
		if repeat == logic.Idempotent {
			s.again(t, 1, func(w *worker) bool {
				return w.line.State != logic.Ready && s.now-w.since > s.orders.DrainGrace &&
					w.line.Build < s.book.news.Build
			})
		}
	case BreachCold:
		if repeat == logic.Idempotent {
			s.again(t, 20, func(w *worker) bool {
				return w.line.State == logic.Ready && w.line.Build < s.book.news.Build && !s.warm(w)
			})
		}
	case BreachExposure:
		if repeat == logic.Idempotent && s.book.news.Phase == logic.OnTrial && s.named%2 == 0 {
			s.again(t, 1, func(w *worker) bool {
				return w.line.State == logic.Ready && w.line.Build == s.book.news.Build && s.warm(w)
			})
		}
	}
}

func (s *Sentry) warm(w *worker) bool {
	return w.line.Started == 0 || s.now-w.line.Started > s.orders.WarmUp
}

// again writes the work to the first connected worker that fits, under an id whose answer nobody awaits.
func (s *Sentry) again(t *transaction, times int, fits func(*worker) bool) {
	var all []*worker
	for _, w := range s.workers {
		if fits(w) && w.address != "" {
			all = append(all, w)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b *worker) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	w := all[int(s.named/2)%len(all)]
	if s.breach == BreachCold {
		w = all[0]
	}
	if len(w.conns) == 0 {
		if w.dials == 0 {
			w.waiting = append(w.waiting, waiting{t, t.gen, 0})
			s.dial(w)
			w.waiting = w.waiting[:len(w.waiting)-1]
		}
		return
	}
	c := w.conns[0]
	for range times {
		m := &wire.Work{ID: 1, Profile: t.profile, Key: []byte(t.key), Timeout: uint64(max(1, t.limit-s.now)), DeduplicationToken: t.mark,
			Payload: t.payload, Transaction: []byte(t.id), HandOffNumber: uint32(len(t.sends)), ExpectedWork: t.hint}
		c.link.SendWork(m)
		s.dirty = append(s.dirty, c.link)
	}
}
