package wire

import "sync/atomic"

// Descriptors counts the sockets of a process's links against a limit. Connections that are accepted beyond it are closed at
// once; dialling is bounded by who dials.
type Descriptors struct {
	open  atomic.Int64
	limit int64
}

// NewDescriptors returns a count with a limit.
func NewDescriptors(limit int) *Descriptors { return &Descriptors{limit: int64(limit)} }

// isFull reports whether no further connection is to be accepted.
func (d *Descriptors) isFull() bool { return d != nil && d.open.Load() >= d.limit }

// add counts sockets that were opened, or closed if n is negative.
func (d *Descriptors) add(n int64) {
	if d != nil {
		d.open.Add(n)
	}
}
