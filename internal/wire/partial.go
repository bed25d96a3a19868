package wire

import (
	"sync"

	"scalechute/internal/memory"
)

// WhenFull is what happens when the memory for incomplete messages is used up.
type WhenFull uint8

const (
	// GiveUpOldest gives up the message that has been incomplete for longest. It suits messages that may be refused: one
	// whose rest is on its way is completed within moments, so the oldest is one that does not come.
	GiveUpOldest WhenFull = iota
	// PauseNewest stops reading from all links but that of the oldest message, once they have a part of a message and until
	// there is room again. It suits messages that must not be lost. The owner ends those that make no progress.
	PauseNewest
)

// PartialMessages bounds the memory of the incomplete messages of several links together.
type PartialMessages struct {
	budget   *memory.Budget
	whenFull WhenFull
	mu       sync.Mutex
	begun    map[*Link]uint64 // the order in which the messages of links began
	last     uint64
}

// NewPartialMessages returns a bound of the size of a budget.
func NewPartialMessages(budget *memory.Budget, whenFull WhenFull) *PartialMessages {
	return &PartialMessages{budget: budget, whenFull: whenFull, begun: map[*Link]uint64{}}
}

// count notes how many bytes a link holds of an incomplete message.
func (p *PartialMessages) count(l *Link, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.mu.Lock()
	if l.closed {
		bytes = 0
	}
	p.budget.Add(bytes - l.partialBytes)
	l.partialBytes = bytes
	l.mu.Unlock()
	_, known := p.begun[l]
	switch {
	case bytes > 0 && !known:
		p.last++
		p.begun[l] = p.last
	case bytes == 0 && known:
		delete(p.begun, l)
		p.resume()
	}
}

// makeRoom is called on the poller after a link has received data. It acts if the budget is exceeded.
func (p *PartialMessages) makeRoom(l *Link) {
	for p.budget.Remaining() < 0 {
		if p.whenFull == PauseNewest {
			p.pauseUnlessOldest(l)
			return
		}
		oldest := p.oldest()
		if oldest == nil {
			return
		}
		p.budget.CountEviction()
		oldest.givePartialUp()
	}
}

// pauseUnlessOldest stops reading from a link with an incomplete message, unless that is the oldest.
func (p *PartialMessages) pauseUnlessOldest(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, incomplete := p.begun[l]; incomplete && p.oldestOf(func(*Link) bool { return true }) != l {
		l.setMemoryPaused(true)
	}
}

// resume has the oldest message read again, and one more if there is room. p.mu is held.
func (p *PartialMessages) resume() {
	if oldest := p.oldestOf(func(*Link) bool { return true }); oldest != nil {
		oldest.setMemoryPaused(false)
	}
	if p.budget.Remaining() <= 0 {
		return
	}
	if paused := p.oldestOf((*Link).IsMemoryPaused); paused != nil {
		paused.setMemoryPaused(false)
	}
}

// oldest returns the link whose message has been incomplete for longest, nil if there is none. It passes over links that the
// watcher reads.
func (p *PartialMessages) oldest() *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.oldestOf(func(l *Link) bool { return !l.isReadingPartial() })
}

// oldestOf returns the link whose message has been incomplete for longest, among those for which a condition holds. p.mu is held.
func (p *PartialMessages) oldestOf(holds func(*Link) bool) (oldest *Link) {
	for l, order := range p.begun {
		if (oldest == nil || order < p.begun[oldest]) && holds(l) {
			oldest = l
		}
	}
	return oldest
}

// OnPartialGivenUp sets what is called, on the poller, when the link's incomplete message was given up to make room. It is called
// before data can arrive.
func (l *Link) OnPartialGivenUp(f func()) { l.onPartialGivenUp = f }

// givePartialUp drops the incomplete message, on the poller.
func (l *Link) givePartialUp() {
	l.partial = nil
	l.partials.count(l, 0)
	l.onPartialGivenUp()
}

// countPartial notes the memory of the link's incomplete message, if it has a bound.
func (l *Link) countPartial() {
	if l.partials == nil || len(l.partial) == 0 && !l.partialCounted {
		return
	}
	bytes := 0
	if len(l.partial) > 0 {
		bytes = cap(l.partial)
	}
	l.partialCounted = bytes > 0
	l.partials.count(l, int64(bytes))
}

// setMemoryPaused sets whether the link is not read for want of memory.
func (l *Link) setMemoryPaused(paused bool) {
	l.mu.Lock()
	changed := l.memoryPaused != paused
	l.memoryPaused = paused
	l.mu.Unlock()
	if changed {
		RunOnPoller(l.pauseOrResume)
	}
}

// IsMemoryPaused reports whether the link is not read for want of memory.
func (l *Link) IsMemoryPaused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memoryPaused
}
