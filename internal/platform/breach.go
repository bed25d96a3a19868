package platform

import (
	"fmt"
	"slices"
	"sync/atomic"

	"scalechute/internal/wire"
)

// Breach names a guarantee to clients that the process violates on purpose, and how. The soak test injects breaches to
// show that its auditor finds them; nothing else uses them.
type Breach uint8

// The breaches that can be injected.
const (
	NoBreach    Breach = iota
	CloseEarly         // close a connection that has open requests
	SkipReply          // do not write a reply
	SwapReplies        // write two replies in each other's place
)

// breachWords are the command line's words for the breaches, from CloseEarly on.
var breachWords = []string{"close", "skip", "swap"}

// breachInterval is the number of opportunities per injected breach.
const breachInterval = 40

// ParseBreach returns the breach that a word names, NoBreach for an empty word.
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

// trigger selects the opportunities at which a breach is injected.
type trigger struct {
	breach Breach
	checks atomic.Int64
}

// isDue counts an opportunity for a breach and reports whether to inject it now.
func (t *trigger) isDue(b Breach) bool { return t.breach == b && t.checks.Add(1)%breachInterval == 0 }

// SetBreach sets the breach to inject. It is called before Listen.
func (p *Platform) SetBreach(b Breach) { p.breachTrigger.breach = b }

// applyBreach may inject a breach when the first of a client's replies is about to be written. The caller holds c.mu.
func (c *clientConn) applyBreach(replies []reply) {
	first := &replies[0]
	switch t := &c.platform.breachTrigger; {
	case t.breach == NoBreach || first.requestID == "":
	case t.isDue(SkipReply):
		first.skipped = true
	case len(replies) < 2 || replies[1].requestID == "":
	case t.breach == SwapReplies && replies[1].ready && t.isDue(SwapReplies):
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
