// Package baseline holds simple routing policies that drills compare the decision module with. They are not for
// production.
package baseline

import (
	"math/rand"

	"scalechute/internal/input"
	"scalechute/logic"
)

// Random hands each transaction to a random ready worker of any build. If the hand-off fails and the transaction may
// run again, it hands it to another random worker. It sends no transaction twice that must not run twice, and answers
// each by its deadline. It ignores the caps on trial builds, the warm-up of workers and their load.
type Random struct {
	config       logic.Config
	rng          *rand.Rand
	ready        []logic.WorkerID
	isReady      map[logic.WorkerID]bool
	transactions map[logic.TransactionID]*transaction
}

// transaction is the state of an open transaction.
type transaction struct {
	profile      logic.ProfileID
	deadline     logic.Micros
	handOffs     int
	openHandOffs int
	mayHaveRun   bool
}

// NewRandom returns a Random with the configuration and seed of a sentry.
func NewRandom(config logic.Config, seed int64) *Random {
	return &Random{config: config, rng: rand.New(rand.NewSource(seed)), isReady: map[logic.WorkerID]bool{},
		transactions: map[logic.TransactionID]*transaction{}}
}

// Apply handles one input and returns the resulting actions, in place of the decision module.
func (r *Random) Apply(in *input.Input) (result logic.Result) {
	switch in.Kind {
	case input.ListReceived:
		r.updateWorkers(in)
	case input.ListRequestFailed:
		result.WakeAt = in.At + 500_000
	case input.TimerFired:
		result.WatchList = r.config.ListOnRequest && len(r.ready) == 0
	case input.TransactionArrived:
		t := &transaction{profile: in.Transaction.Profile, deadline: in.Transaction.Deadline}
		r.transactions[in.Transaction.ID] = t
		r.handOff(in.Transaction.ID, t, &result)
	case input.ClientLeft:
		delete(r.transactions, in.ID)
	case input.HandOffEnded:
		t := r.transactions[in.End.Transaction]
		if t == nil {
			break
		}
		t.openHandOffs--
		ending := in.End.Ending
		t.mayHaveRun = t.mayHaveRun || ending != logic.TurnedAway && ending != logic.Unconnected && ending != logic.Unsent
		mayRetry := t.handOffs < r.config.MaxHandOffs && in.At < t.deadline-r.config.TimerGranularity &&
			(!t.mayHaveRun || r.config.Profiles[t.profile].Repeatability == logic.Idempotent)
		switch {
		case in.End.TransactionClosed:
			delete(r.transactions, in.End.Transaction)
		case mayRetry:
			r.handOff(in.End.Transaction, t, &result)
		default:
			r.finish(in.End.Transaction, t, &result)
		}
	}
	if in.Kind == input.ListReceived && in.ListKind == logic.CachedList && r.config.ListOnRequest {
		result.WatchList = true
	}
	return result
}

// updateWorkers updates the ready workers from a received list.
func (r *Random) updateWorkers(in *input.Input) {
	if in.ListKind != logic.ListDelta {
		r.ready, r.isReady = nil, map[logic.WorkerID]bool{}
	}
	for _, w := range in.List {
		ready := w.State == logic.Ready
		if ready && !r.isReady[w.ID] {
			r.ready = append(r.ready, w.ID)
		}
		if !ready {
			for i, id := range r.ready {
				if id == w.ID {
					r.ready = append(r.ready[:i], r.ready[i+1:]...)
					break
				}
			}
		}
		r.isReady[w.ID] = ready
	}
}

// handOff hands a transaction to a random ready worker, or finishes it if there is none.
func (r *Random) handOff(id logic.TransactionID, t *transaction, result *logic.Result) {
	if len(r.ready) == 0 {
		r.finish(id, t, result)
		return
	}
	t.handOffs++
	t.openHandOffs++
	result.Actions = append(result.Actions, logic.Action{Kind: logic.HandOff, Transaction: id, Deadline: t.deadline,
		Worker: r.ready[r.rng.Intn(len(r.ready))]})
}

// finish gives a transaction its final answer: deferred if a retry is harmless, otherwise written off.
func (r *Random) finish(id logic.TransactionID, t *transaction, result *logic.Result) {
	kind := logic.WriteOff
	if !t.mayHaveRun || r.config.Profiles[t.profile].Repeatability == logic.Idempotent {
		kind = logic.Defer
	}
	result.Actions = append(result.Actions, logic.Action{Kind: kind, Transaction: id})
	delete(r.transactions, id)
}
