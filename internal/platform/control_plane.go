package platform

// The client of the control plane, which takes votes and reports the release status in lines of text over one
// connection.

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

const (
	keepaliveTimeout = 3 * time.Second // the control plane sends a keepalive line every second
	maxLineBytes     = 8 << 10         // of a line with its CRLF
)

// controlPlane keeps a connection to the control plane, sends votes over it, and passes the release status to the
// sentry.
type controlPlane struct {
	platform       *Platform
	mu             sync.Mutex // guards address, link, pendingReplies and lastReceived
	address        string
	link           *wire.Link
	pendingReplies []uint64 // vote IDs in the order of the replies to come, 0 for WATCH
	lastReceived   time.Time
	addressChanged chan struct{}
}

// run keeps a connection open until the platform is closed. It retries with an exponential, randomized delay.
func (cp *controlPlane) run() {
	for delay := minRetryDelay; !cp.platform.isDone(); {
		cp.mu.Lock()
		address := cp.address
		cp.mu.Unlock()
		if cp.runConn(address) {
			delay = minRetryDelay
		} else {
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
		}
		select {
		case <-cp.platform.done:
		case <-cp.addressChanged:
			delay = 0
		case <-time.After(delay/2 + rand.N(delay+1)):
		}
	}
}

// runConn dials address and serves the connection until it ends. useful reports whether WATCH was answered on it.
func (cp *controlPlane) runConn(address string) (useful bool) {
	ended := make(chan struct{})
	link, err := wire.DialRaw(address, dialTimeout, wire.Limits{MaxFrameBytes: maxLineBytes, MaxPendingBytes: maxValueBytes, Descriptors: cp.platform.descriptors}, cp.read,
		func(*wire.Link, error) { close(ended) })
	if err != nil {
		cp.platform.log.Warn().Err(err).Msg("desk")
		return false
	}
	cp.mu.Lock()
	cp.link, cp.pendingReplies, cp.lastReceived = link, []uint64{0}, time.Now()
	link.PutRaw([]byte("WATCH\r\n"))
	cp.mu.Unlock()
	link.Flush()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-cp.platform.done:
			link.Close(wire.ErrClosed)
		case <-cp.addressChanged: // run connects to the new address
			link.Close(wire.ErrClosed)
		case <-time.After(keepaliveTimeout / 6):
			cp.mu.Lock()
			if time.Since(cp.lastReceived) > keepaliveTimeout {
				link.Close(wire.ErrClosed)
			}
			cp.mu.Unlock()
		}
	}
	cp.mu.Lock()
	unanswered := cp.pendingReplies
	cp.link, cp.pendingReplies = nil, nil
	cp.mu.Unlock()
	cp.platform.sentry.VotesTimedOut(unanswered)
	return !slices.Contains(unanswered, 0)
}

// read handles data that has arrived. A line that can't be parsed ends the connection.
func (cp *controlPlane) read(_ *wire.Link, data []byte) ([]byte, error) {
	cp.mu.Lock()
	cp.lastReceived = time.Now()
	cp.mu.Unlock()
	return cp.readLines(data, cp.platform.sentry.ReleaseUpdated)
}

// readLines handles complete lines, calls onStatus for each release status in them, and returns the incomplete rest.
func (cp *controlPlane) readLines(data []byte, onStatus func(*pb.News)) ([]byte, error) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 && len(data) < maxLineBytes {
			return data, nil
		}
		if end < 1 || data[end-1] != '\r' {
			return nil, errors.New("found a line that can't be read, expected one that ends in CRLF")
		}
		status, err := cp.readLine(string(data[:end-1]))
		if err != nil {
			return nil, err
		}
		if status != nil {
			onStatus(status)
		}
		data = data[end+1:]
	}
}

// readLine handles one line: an event, which begins with *, or the reply to a vote or to WATCH. It returns the release
// status that the line carries, or nil.
func (cp *controlPlane) readLine(line string) (*pb.News, error) {
	words := strings.Split(line, " ")
	if words[0] == "*" {
		switch {
		case len(words) == 1 || words[1] == "counts" || words[1] == "report": // a keepalive, or an event that is not for sentries
			return nil, nil
		case words[1] == "news":
			return parseReleaseStatus(words[2:])
		}
		return nil, fmt.Errorf("found %.80q, expected an event of a known kind", line)
	}
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if len(cp.pendingReplies) == 0 {
		return nil, fmt.Errorf("found %.80q, expected no reply", line)
	}
	status, err := parseReply(cp.pendingReplies[0], line, words)
	if err == nil {
		cp.pendingReplies = cp.pendingReplies[1:]
	}
	return status, err
}

// parseReply parses the reply to a vote, or with voteID 0 to WATCH. Any other reply is an error.
func parseReply(voteID uint64, line string, words []string) (status *pb.News, err error) {
	switch {
	case voteID == 0 && line == "OK":
		return nil, nil
	case voteID == 0:
		return nil, fmt.Errorf("found %.80q, expected OK in reply to WATCH", line)
	case words[0] == "OK":
		if status, err = parseReleaseStatus(words[1:]); err != nil {
			return nil, err
		}
	case line == "ERR out_of_date":
		status = &pb.News{Fate: pb.News_MOOT}
	case line == "ERR too_many_calls" || line == "ERR unavailable" || line == "ERR bad_request":
		status = &pb.News{Fate: pb.News_REFUSED}
	default:
		return nil, fmt.Errorf("found %.80q, expected OK or ERR with a known word", line)
	}
	status.Vote = voteID
	return status, nil
}

// verdictWords are the protocol's words for the verdicts.
var verdictWords = [...]string{logic.NoVerdict: "clear", logic.Advance: "approve", logic.Hold: "wait", logic.RollBack: "reject"}

// sendVote sends a vote. It returns false if there is no connection or the vote can't be written to it.
func (cp *controlPlane) sendVote(vote *pb.Vote) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if cp.link == nil || int(vote.Verdict) >= len(verdictWords) {
		return false
	}
	line := fmt.Sprintf("VOTE %d %d %s\r\n", vote.Build, vote.Stage, verdictWords[vote.Verdict])
	if !cp.link.PutRaw([]byte(line)) {
		return false
	}
	cp.pendingReplies = append(cp.pendingReplies, vote.Id)
	cp.link.Flush()
	return true
}

// setAddress changes the address to connect to, and replaces the connection if there is one.
func (cp *controlPlane) setAddress(address string) {
	cp.mu.Lock()
	same := cp.address == address
	cp.address = address
	cp.mu.Unlock()
	if same {
		return
	}
	select {
	case cp.addressChanged <- struct{}{}:
	default:
	}
}
