// Package input is the one definition of what a sentry's decision module is told: a stream of typed inputs, each
// with its time, in the order in which they were taken. Whatever drives the module (the running sentry, a replay,
// an emulator) does it with this stream and nothing else.
package input

import "scalechute/logic"

// Kind says what happened.
type Kind uint8

const (
	TransactionArrived Kind = iota
	HandOffEnded
	ClientLeft
	TimerFired
	ListReceived
	ListRequestFailed
	ListMayBeStale
	ReleaseUpdated
	ComplaintReceived
	PeerMessageReceived
	CountsReceived
	Reconfigured
	ProbeAnswered // tells the module nothing; it is kept for the record
)

// Input is one thing that happened. Of the fields after Kind only those that belong to it count.
type Input struct {
	At            logic.Micros // never falls within a stream
	Kind          Kind
	Transaction   logic.Transaction   // TransactionCame
	End           logic.HandOffEnd    // HandOffEnded
	ID            logic.TransactionID // ClientLeft
	ListKind      logic.ListKind      // ListCame
	List          []logic.Worker
	Busy          bool         // ListRefused: discovery turned the call away
	StaleSince    logic.Micros // ListUnsure
	ReleaseStatus logic.ReleaseStatus
	Complaint     logic.Complaint
	Counts        logic.BuildCounts // Counted
	Config        *logic.Config     // Ordered
	From          logic.SentryID    // PeerSaid
	Body          []byte
	Worker        logic.WorkerID // Probed
	Held          float64
}

// Apply makes the module's call for an input.
func Apply(s *logic.Sentry, in *Input) logic.Result {
	switch in.Kind {
	case TransactionArrived:
		return s.TransactionArrived(in.At, in.Transaction)
	case HandOffEnded:
		return s.HandOffEnded(in.At, in.End)
	case ClientLeft:
		return s.ClientLeft(in.At, in.ID)
	case TimerFired:
		return s.Wake(in.At)
	case ListReceived:
		return s.ListReceived(in.At, in.ListKind, in.List)
	case ListRequestFailed:
		return s.ListRequestFailed(in.At, in.Busy)
	case ListMayBeStale:
		return s.ListMayBeStale(in.At, in.StaleSince)
	case ReleaseUpdated:
		return s.ReleaseUpdated(in.At, in.ReleaseStatus)
	case ComplaintReceived:
		return s.ComplaintReceived(in.At, in.Complaint)
	case PeerMessageReceived:
		return s.PeerMessageReceived(in.At, in.From, in.Body)
	case CountsReceived:
		return s.CountsReceived(in.At, in.Counts)
	case Reconfigured:
		return s.Reconfigure(in.At, *in.Config)
	default:
		return logic.Result{}
	}
}
