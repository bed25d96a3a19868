package platform

import "sync"

const (
	// requestMemoryDivisor sets the memory for requests that are open: the process's memory divided by it.
	requestMemoryDivisor = 8
	// Copies of a request's command that exist at a time: the sentry's own, and one that is being written to a worker.
	commandCopies = 2
	// Memory that an open request takes in addition to its command.
	requestOverheadBytes = 1 << 10
)

// requestMemory bounds the memory of the requests that are open, and shares it among the clients: a client may take more
// as long as it leaves at least as much free as it holds. So a few clients with the largest requests leave room for the
// others, however many they are, and one client alone may hold half.
type requestMemory struct {
	mu   sync.Mutex
	used int64
	max  int64
}

// requestBytes returns the memory that a request takes while it is open.
func requestBytes(command []byte) int64 {
	return requestOverheadBytes + commandCopies*int64(len(command))
}

// reserve takes the memory for a request of a client that holds some already, and reports whether there was room.
func (m *requestMemory) reserve(held, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+bytes+held > m.max {
		return false
	}
	m.used += bytes
	return true
}

// release gives back the memory of requests that have ended.
func (m *requestMemory) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
}
