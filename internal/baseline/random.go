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
	orders logic.Config
	chance *rand.Rand
	ready  []logic.WorkerID
	known  map[logic.WorkerID]bool
	open   map[logic.TransactionID]*held
}

type held struct {
	profile logic.ProfileID
	limit   logic.Micros
	sends   int
	out     int
	mayRun  bool
}

// NewRandom makes one.
func NewRandom(o logic.Config, seed int64) *Random {
	return &Random{orders: o, chance: rand.New(rand.NewSource(seed)), known: map[logic.WorkerID]bool{},
		open: map[logic.TransactionID]*held{}}
}

// Apply takes an input as the module does.
func (r *Random) Apply(in *input.Input) (out logic.Result) {
	switch in.Kind {
	case input.ListReceived:
		r.listed(in)
	case input.ListRequestFailed:
		out.WakeAt = in.At + 500_000
	case input.TimerFired:
		out.WatchList = r.orders.ListOnRequest && len(r.ready) == 0
	case input.TransactionArrived:
		h := &held{profile: in.Transaction.Profile, limit: in.Transaction.Deadline}
		r.open[in.Transaction.ID] = h
		r.send(in.Transaction.ID, h, &out)
	case input.ClientLeft:
		delete(r.open, in.ID)
	case input.HandOffEnded:
		h := r.open[in.End.Transaction]
		if h == nil {
			break
		}
		h.out--
		e := in.End.Ending
		h.mayRun = h.mayRun || e != logic.TurnedAway && e != logic.Unconnected && e != logic.Unsent
		again := h.sends < r.orders.MaxHandOffs && in.At < h.limit-r.orders.TimerGranularity &&
			(!h.mayRun || r.orders.Profiles[h.profile].Repeatability == logic.Idempotent)
		switch {
		case in.End.TransactionClosed:
			delete(r.open, in.End.Transaction)
		case again:
			r.send(in.End.Transaction, h, &out)
		default:
			r.giveUp(in.End.Transaction, h, &out)
		}
	}
	if in.Kind == input.ListReceived && in.ListKind == logic.CachedList && r.orders.ListOnRequest {
		out.WatchList = true
	}
	return out
}

func (r *Random) listed(in *input.Input) {
	if in.ListKind != logic.ListDelta {
		r.ready, r.known = nil, map[logic.WorkerID]bool{}
	}
	for _, w := range in.List {
		ready := w.State == logic.Ready
		if ready && !r.known[w.ID] {
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
		r.known[w.ID] = ready
	}
}

func (r *Random) send(id logic.TransactionID, h *held, out *logic.Result) {
	if len(r.ready) == 0 {
		r.giveUp(id, h, out)
		return
	}
	h.sends++
	h.out++
	out.Actions = append(out.Actions, logic.Action{Kind: logic.HandOff, Transaction: id, Deadline: h.limit,
		Worker: r.ready[r.chance.Intn(len(r.ready))]})
}

func (r *Random) giveUp(id logic.TransactionID, h *held, out *logic.Result) {
	kind := logic.WriteOff
	if !h.mayRun || r.orders.Profiles[h.profile].Repeatability == logic.Idempotent {
		kind = logic.Defer
	}
	out.Actions = append(out.Actions, logic.Action{Kind: kind, Transaction: id})
	delete(r.open, id)
}
