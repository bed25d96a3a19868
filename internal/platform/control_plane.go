package platform

// The control plane: votes and news of the release in lines of text, over one connection.

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
	keepaliveTimeout = 3 * time.Second // a sign of life comes every second
	maxLineBytes     = 8 << 10         // bytes of a line
)

// desk takes votes and tells the news, over one connection.
type controlPlane struct {
	platform       *Platform
	mu             sync.Mutex
	address        string
	link           *wire.Link
	pendingReplies []uint64 // what the next answers are to, 0 for the watch
	lastReceived   time.Time
	addressChanged chan struct{}
}

// run keeps a connection open.
func (d *controlPlane) run() {
	for delay := minRetryDelay; !d.platform.isDone(); {
		d.mu.Lock()
		address := d.address
		d.mu.Unlock()
		if d.runConn(address) {
			delay = minRetryDelay
		} else {
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
		}
		select {
		case <-d.platform.done:
		case <-d.addressChanged:
			delay = 0
		case <-time.After(delay/2 + rand.N(delay+1)):
		}
	}
}

// serve holds one connection until it ends, and says whether it was of any use.
func (d *controlPlane) runConn(address string) (useful bool) {
	ended := make(chan struct{})
	link, err := wire.DialRaw(address, dialTimeout, wire.Limits{MaxFrameBytes: maxLineBytes, MaxPendingBytes: maxValueBytes}, d.read,
		func(*wire.Link, error) { close(ended) })
	if err != nil {
		d.platform.log.Warn().Err(err).Msg("desk")
		return false
	}
	d.mu.Lock()
	d.link, d.pendingReplies, d.lastReceived = link, []uint64{0}, time.Now()
	link.PutRaw([]byte("WATCH\r\n"))
	d.mu.Unlock()
	link.Flush()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-d.platform.done:
			link.Close(wire.ErrClosed)
		case <-d.addressChanged: // another address
			link.Close(wire.ErrClosed)
		case <-time.After(keepaliveTimeout / 6):
			d.mu.Lock()
			if time.Since(d.lastReceived) > keepaliveTimeout {
				link.Close(wire.ErrClosed)
			}
			d.mu.Unlock()
		}
	}
	d.mu.Lock()
	unanswered := d.pendingReplies
	d.link, d.pendingReplies = nil, nil
	d.mu.Unlock()
	d.platform.sentry.VotesTimedOut(unanswered)
	return !slices.Contains(unanswered, 0)
}

// read takes what has come. What can't be read ends the connection.
func (d *controlPlane) read(_ *wire.Link, data []byte) ([]byte, error) {
	d.mu.Lock()
	d.lastReceived = time.Now()
	d.mu.Unlock()
	return d.readLines(data, d.platform.sentry.ReleaseUpdated)
}

// lines takes whole lines and tells the news in them.
func (d *controlPlane) readLines(data []byte, onStatus func(*pb.News)) ([]byte, error) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 && len(data) < maxLineBytes {
			return data, nil
		}
		if end < 1 || data[end-1] != '\r' {
			return nil, errors.New("found a line that can't be read, expected one that ends in CRLF")
		}
		status, err := d.readLine(string(data[:end-1]))
		if err != nil {
			return nil, err
		}
		if status != nil {
			onStatus(status)
		}
		data = data[end+1:]
	}
}

// line reads a line: news that it tells, or the answer to a vote.
func (d *controlPlane) readLine(line string) (*pb.News, error) {
	words := strings.Split(line, " ")
	if words[0] == "*" {
		switch {
		case len(words) == 1 || words[1] == "counts" || words[1] == "report": // a sign of life, or not for this sentry
			return nil, nil
		case words[1] == "news":
			return parseReleaseStatus(words[2:])
		}
		return nil, fmt.Errorf("found %.80q, expected news", line)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pendingReplies) == 0 {
		return nil, fmt.Errorf("found %.80q, expected no answer", line)
	}
	status, err := parseVoteReply(d.pendingReplies[0], line, words)
	if err == nil {
		d.pendingReplies = d.pendingReplies[1:]
	}
	return status, err
}

// readAnswer reads the answer to a vote, or with 0 to the watch.
func parseVoteReply(vote uint64, line string, words []string) (status *pb.News, err error) {
	switch {
	case vote == 0 && line == "OK":
		return nil, nil
	case vote == 0:
		return nil, fmt.Errorf("found %.80q, expected to be told the news", line)
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
	status.Vote = vote
	return status, nil
}

var verdictWords = [...]string{logic.NoVerdict: "clear", logic.Advance: "approve", logic.Hold: "wait", logic.RollBack: "reject"}

func (d *controlPlane) sendVote(m *pb.Vote) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link == nil || int(m.Verdict) >= len(verdictWords) {
		return false
	}
	line := fmt.Sprintf("VOTE %d %d %s\r\n", m.Build, m.Stage, verdictWords[m.Verdict])
	if !d.link.PutRaw([]byte(line)) {
		return false
	}
	d.pendingReplies = append(d.pendingReplies, m.Id)
	d.link.Flush()
	return true
}

func (d *controlPlane) setAddress(address string) {
	d.mu.Lock()
	same := d.address == address
	d.address = address
	d.mu.Unlock()
	if same {
		return
	}
	select {
	case d.addressChanged <- struct{}{}:
	default:
	}
}
