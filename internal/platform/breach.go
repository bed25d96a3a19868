package platform

import (
	"fmt"
	"slices"
	"sync/atomic"

	"scalechute/internal/wire"
)

// Breach has the process break one promise to its clients on purpose, so that the soak's auditor can be shown to find it.
// Nothing else in the program uses it.
type Fault uint8

// The breaches.
const (
	NoFault     Fault = iota
	CloseEarly        // a connection is closed with requests open on it
	SkipReply         // an answer is not written
	SwapReplies       // two answers are written in each other's place
)

// breachNames are the words for a Breach, from CloseEarly on.
var breachNames = []string{"close", "skip", "swap"}

// breachEvery is one in how many occasions is taken.
const breachEvery = 40

// ParseBreach finds the breach of a word, none for an empty one.
func ParseFault(word string) (Fault, error) {
	if word == "" {
		return NoFault, nil
	}
	i := slices.Index(breachNames, word)
	if i < 0 {
		return NoFault, fmt.Errorf("break: found %q, expected one of %v", word, breachNames)
	}
	return Fault(i + 1), nil
}

// breaker counts the occasions for a breach.
type breaker struct {
	breach    Fault
	occasions atomic.Int64
}

// takes says whether this occasion is taken.
func (b *breaker) takes(of Fault) bool { return b.breach == of && b.occasions.Add(1)%breachEvery == 0 }

// Break has a promise broken from now on.
func (p *Platform) InjectFault(b Fault) { p.breaker.breach = b }

// breachBefore breaks a promise as the first of a client's replies is to be written. The lock is held.
func (c *clientConn) breachBefore(queue []reply) {
	first := &queue[0]
	switch b := &c.p.breaker; {
	case b.breach == NoFault || first.id == "":
	case b.takes(SkipReply):
		first.skipped = true
	case len(queue) < 2 || queue[1].id == "":
	case b.breach == SwapReplies && queue[1].done && b.takes(SwapReplies):
		second := &queue[1]
		difference := len(second.text) - len(first.text)
		if first.held {
			c.AddBuffered(difference)
		}
		if second.held {
			c.AddBuffered(-difference)
		}
		first.text, second.text = second.text, first.text
	case !queue[1].done && b.takes(CloseEarly):
		go c.Close(wire.ErrClosed) // its end takes the lock
	}
}
