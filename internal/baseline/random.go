// Package baseline holds policies that the decision module is compared with. No product path uses them.
package baseline

import (
	"math/rand"

	"scalechute/internal/input"
	"scalechute/logic"
)

// Random hands each transaction to a random ready worker, whatever its build, and what may run again to another one
// after a failure. It keeps the rule on effects and answers in time; it knows nothing of caps, warmth or load.
type Random struct {
	config       logic.Config
	rng          *rand.Rand
	ready        []logic.WorkerID
	isReady      map[logic.WorkerID]bool
	transactions map[logic.TransactionID]*transaction
}

type transaction struct {
	profile      logic.ProfileID
	deadline     logic.Micros
	handOffs     int
	openHandOffs int
	mayHaveRun   bool
}

// NewRandom makes one.
func NewRandom(config logic.Config, seed int64) *Random {
	return &Random{config: config, rng: rand.New(rand.NewSource(seed)), isReady: map[logic.WorkerID]bool{},
		transactions: map[logic.TransactionID]*transaction{}}
}

// Apply takes an input as the module does.
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

func (r *Random) finish(id logic.TransactionID, t *transaction, result *logic.Result) {
	kind := logic.WriteOff
	if !t.mayHaveRun || r.config.Profiles[t.profile].Repeatability == logic.Idempotent {
		kind = logic.Defer
	}
	result.Actions = append(result.Actions, logic.Action{Kind: kind, Transaction: id})
	delete(r.transactions, id)
}
