// Package input defines the inputs of the decision module: a stream of typed, timestamped inputs in the order in which
// they were received. Every driver of the module (the running sentry, a replay, an emulator) uses only this stream.
package input

import "scalechute/logic"

// Kind says what an input reports.
type Kind uint8

// The kinds of inputs.
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
	ProbeAnswered    // not passed to the module; only recorded
	HandOffConnected // a connection has come free for a hand-off that had to wait for one
)

// Input is one input. After Kind only the fields of its kind are used.
type Input struct {
	At            logic.Micros // does not decrease within a stream
	Kind          Kind
	Transaction   logic.Transaction   // TransactionArrived
	End           logic.HandOffEnd    // HandOffEnded
	ID            logic.TransactionID // ClientLeft, HandOffConnected
	HandOffNumber int                 // HandOffConnected: among the hand-offs of the transaction, from 0
	ListKind      logic.ListKind      // ListReceived
	List          []logic.Worker      // ListReceived
	Busy          bool                // ListRequestFailed: discovery turned the request away
	StaleSince    logic.Micros        // ListMayBeStale
	ReleaseStatus logic.ReleaseStatus // ReleaseUpdated
	Complaint     logic.Complaint     // ComplaintReceived
	Counts        logic.BuildCounts   // CountsReceived
	Config        *logic.Config       // Reconfigured
	From          logic.SentryID      // PeerMessageReceived
	Body          []byte              // PeerMessageReceived
	Worker        logic.WorkerID      // ProbeAnswered
	InFlight      float64             // of the worker, negative if not reported
}

// Apply calls the module's method for an input.
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
	case HandOffConnected:
		return s.HandOffConnected(in.At, in.ID, in.HandOffNumber)
	case Reconfigured:
		return s.Reconfigure(in.At, *in.Config)
	default:
		return logic.Result{}
	}
}
