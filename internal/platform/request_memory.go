package platform

const (
	// Copies of a request's command that exist at a time: the sentry's own, and one that is being written to a worker.
	commandCopies = 2
	// Memory that an open request takes in addition to its command.
	requestOverheadBytes = 1 << 10
)

// requestBytes returns the memory that a request takes while it is open.
func requestBytes(command []byte) int64 {
	return requestOverheadBytes + commandCopies*int64(len(command))
}
