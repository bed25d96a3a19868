package platform

import (
	"fmt"
	"slices"
	"sync/atomic"

	"scalechute/internal/wire"
)

// Breach has the process break one promise to its clients on purpose, so that the soak's auditor can be shown to find it.
// Nothing else in the program uses it.
type Breach uint8

// The breaches.
const (
	NoBreach    Breach = iota
	CloseEarly         // a connection is closed with requests open on it
	SkipReply          // an answer is not written
	SwapReplies        // two answers are written in each other's place
)

// breachNames are the words for a Breach, from CloseEarly on.
var breachWords = []string{"close", "skip", "swap"}

// breachEvery is one in how many occasions is taken.
const breachInterval = 40

// ParseBreach finds the breach of a word, none for an empty one.
func ParseBreach(word string) (Breach, error) {
	if word == "" {
		return NoBreach, nil
	}
	index := slices.Index(breachWords, word)
	if index < 0 {
		return NoBreach, fmt.Errorf("break: found %q, expected one of %v", word, breachWords)
	}
	return Breach(index + 1), nil
}

// breaker counts the occasions for a breach.
type trigger struct {
	breach Breach
	checks atomic.Int64
}

// takes says whether this occasion is taken.
func (t *trigger) isDue(b Breach) bool { return t.breach == b && t.checks.Add(1)%breachInterval == 0 }

// Break has a promise broken from now on.
func (p *Platform) SetBreach(b Breach) { p.breachTrigger.breach = b }

// breachBefore breaks a promise as the first of a client's replies is to be written. The lock is held.
func (c *clientConn) applyBreach(replies []reply) {
	first := &replies[0]
	switch t := &c.p.breachTrigger; {
	case t.breach == NoBreach || first.requestID == "":
	case t.isDue(SkipReply):
		first.skipped = true
	case len(replies) < 2 || replies[1].requestID == "":
	case t.breach == SwapReplies && replies[1].ready && t.isDue(SwapReplies):
		second := &replies[1]
		extraBytes := len(second.text) - len(first.text)
		if first.reserved {
			c.AddBuffered(extraBytes)
		}
		if second.reserved {
			c.AddBuffered(-extraBytes)
		}
		first.text, second.text = second.text, first.text
	case !replies[1].ready && t.isDue(CloseEarly):
		go c.Close(wire.ErrClosed) // its end takes the lock
	}
}
