package platform

import (
	"fmt"
	"slices"
	"sync/atomic"

	"scalechute/internal/wire"
)

// InjectedFault is a fault that makes the process violate a guarantee to its clients. It exists only for the soak test,
// which checks that its audit reports each fault.
type InjectedFault uint8

// The faults that can be injected, and NoFault for none.
const (
	NoFault     InjectedFault = iota
	CloseEarly                // close a connection that has open requests
	SkipReply                 // do not write a reply
	SwapReplies               // write two replies in each other's place
)

// faultNames lists the names of the faults on the command line, starting with CloseEarly.
var faultNames = []string{"close", "skip", "swap"}

// faultPeriod is the number of opportunities per injected fault.
const faultPeriod = 40

// ParseFault returns the fault with the given name, or NoFault if the name is empty.
func ParseFault(name string) (InjectedFault, error) {
	if name == "" {
		return NoFault, nil
	}
	index := slices.Index(faultNames, name)
	if index < 0 {
		return NoFault, fmt.Errorf("break: found %q, expected one of %v", name, faultNames)
	}
	return InjectedFault(index + 1), nil
}

// trigger selects the opportunities at which a fault is injected.
type trigger struct {
	fault InjectedFault
	count atomic.Int64
}

// isDue counts an opportunity for a fault, if it is the one to inject, and reports whether to inject it now.
func (t *trigger) isDue(f InjectedFault) bool { return t.fault == f && t.count.Add(1)%faultPeriod == 0 }

// SetInjectedFault sets the fault to inject. It is called before Listen.
func (p *Platform) SetInjectedFault(fault InjectedFault) { p.faultTrigger.fault = fault }

// injectFault is called when the first of a client's replies is about to be written, and injects the fault if it is due.
// The caller holds c.mu.
func (c *clientConn) injectFault(replies []reply) {
	first := &replies[0]
	switch t := &c.platform.faultTrigger; {
	case t.fault == NoFault || first.requestID == "":
	case t.isDue(SkipReply):
		first.skipped = true
	case len(replies) < 2 || replies[1].requestID == "":
	case t.fault == SwapReplies && replies[1].ready && t.isDue(SwapReplies):
		second := &replies[1]
		extraBytes := len(second.text) - len(first.text)
		if first.counted {
			c.AddBuffered(extraBytes)
		}
		if second.counted {
			c.AddBuffered(-extraBytes)
		}
		first.text, second.text = second.text, first.text
	case !replies[1].ready && t.isDue(CloseEarly):
		go c.Close(wire.ErrClosed) // closing takes c.mu
	}
}
