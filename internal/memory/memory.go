// Package memory accounts for the memory that grows with what the peers of the process do. Each such byte belongs to one
// purpose, and each purpose has a budget, a share of the process's memory. The package does no I/O and frees nothing:
// who uses a budget decides what happens when it is used up.
package memory

import "sync/atomic"

// Purpose is what memory is used for.
type Purpose uint8

// The purposes.
const (
	Requests        Purpose = iota // commands of open requests
	Replies                        // replies that wait to be written
	PartialCommands                // what has arrived of clients' incomplete commands
	PartialAnswers                 // what has arrived of workers' incomplete answers
	WaitingAnswers                 // workers' answers that wait for the event loop
	purposeCount
)

// purposeNames holds the label values of the purposes.
var purposeNames = [purposeCount]string{"requests", "replies", "partial_commands", "partial_answers", "waiting_answers"}

// divisors set the budgets: each is the process's memory divided by its divisor. Together they are under the six tenths from
// which on the garbage collector works without a pause.
var divisors = [purposeCount]int64{Requests: 8, Replies: 4, PartialCommands: 16, PartialAnswers: 8, WaitingAnswers: 32}

func (p Purpose) String() string { return purposeNames[p] }

// Account holds the budgets of a process.
type Account struct{ budgets [purposeCount]Budget }

// NewAccount divides the memory of a process among the purposes.
func NewAccount(processBytes int64) *Account {
	a := &Account{}
	for purpose, divisor := range divisors {
		a.budgets[purpose].limit = processBytes / divisor
	}
	return a
}

// Budget returns the budget of a purpose.
func (a *Account) Budget(p Purpose) *Budget { return &a.budgets[p] }

// Each calls f with each purpose and its budget.
func (a *Account) Each(f func(Purpose, *Budget)) {
	for purpose := range purposeCount {
		f(purpose, &a.budgets[purpose])
	}
}

// Budget counts the bytes that are used for one purpose against a limit. Its methods may be called from any goroutine.
type Budget struct {
	used, peak, evictions atomic.Int64
	limit                 int64 // bytes
}

// NewBudget returns a budget by itself, outside an account.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Add counts delta bytes, which may be negative, whether or not there is room.
func (b *Budget) Add(delta int64) { b.notePeak(b.used.Add(delta)) }

// Reserve counts bytes for a user that holds some already, and reports whether there was room. A user may take more as long
// as it leaves at least as much as it holds. So a few users with the largest needs leave room for the others, however many
// they are, and one alone may hold half.
func (b *Budget) Reserve(held, bytes int64) bool {
	for {
		used := b.used.Load()
		if used+bytes+held > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			b.notePeak(used + bytes)
			return true
		}
	}
}

// notePeak raises the peak to what is used.
func (b *Budget) notePeak(used int64) {
	for {
		peak := b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// CountEviction counts that something was given up to make room.
func (b *Budget) CountEviction() { b.evictions.Add(1) }

// Used returns the bytes that are used.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns the most bytes that were ever used.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Evictions returns how often something was given up to make room.
func (b *Budget) Evictions() int64 { return b.evictions.Load() }

// Limit returns the budget's limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Remaining returns how many more bytes may be used; it is negative if too many are used already.
func (b *Budget) Remaining() int64 { return b.limit - b.used.Load() }
