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
	lifeMost = 3 * time.Second // a sign of life comes every second
	mostLine = 8 << 10         // bytes of a line
)

// desk takes votes and tells the news, over one connection.
type desk struct {
	p       *Platform
	mu      sync.Mutex
	address string
	link    *wire.Link
	waits   []uint64 // what the next answers are to, 0 for the watch
	heard   time.Time
	wake    chan struct{}
}

// run keeps a connection open.
func (d *desk) run() {
	for pause := pauseLeast; !d.p.over(); {
		d.mu.Lock()
		address := d.address
		d.mu.Unlock()
		if d.serve(address) {
			pause = pauseLeast
		} else {
			pause = min(max(2*pause, pauseLeast), pauseMost)
		}
		select {
		case <-d.p.done:
		case <-d.wake:
			pause = 0
		case <-time.After(pause/2 + rand.N(pause+1)):
		}
	}
}

// serve holds one connection until it ends, and says whether it was of any use.
func (d *desk) serve(address string) (good bool) {
	ended := make(chan struct{})
	link, err := wire.DialRaw(address, reachMost, wire.Limits{MaxFrameBytes: mostLine, MaxPendingBytes: mostValue}, d.read,
		func(*wire.Link, error) { close(ended) })
	if err != nil {
		d.p.log.Warn().Err(err).Msg("desk")
		return false
	}
	d.mu.Lock()
	d.link, d.waits, d.heard = link, []uint64{0}, time.Now()
	link.PutRaw([]byte("WATCH\r\n"))
	d.mu.Unlock()
	link.Flush()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-d.p.done:
			link.Close(wire.ErrClosed)
		case <-d.wake: // another address
			link.Close(wire.ErrClosed)
		case <-time.After(lifeMost / 6):
			d.mu.Lock()
			if time.Since(d.heard) > lifeMost {
				link.Close(wire.ErrClosed)
			}
			d.mu.Unlock()
		}
	}
	d.mu.Lock()
	waits := d.waits
	d.link, d.waits = nil, nil
	d.mu.Unlock()
	d.p.sentry.VotesTimedOut(waits)
	return !slices.Contains(waits, 0)
}

// read takes what has come. What can't be read ends the connection.
func (d *desk) read(_ *wire.Link, data []byte) ([]byte, error) {
	d.mu.Lock()
	d.heard = time.Now()
	d.mu.Unlock()
	return d.lines(data, d.p.sentry.ReleaseUpdated)
}

// lines takes whole lines and tells the news in them.
func (d *desk) lines(data []byte, tell func(*pb.News)) ([]byte, error) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 && len(data) < mostLine {
			return data, nil
		}
		if end < 1 || data[end-1] != '\r' {
			return nil, errors.New("found a line that can't be read, expected one that ends in CRLF")
		}
		n, err := d.line(string(data[:end-1]))
		if err != nil {
			return nil, err
		}
		if n != nil {
			tell(n)
		}
		data = data[end+1:]
	}
}

// line reads a line: news that it tells, or the answer to a vote.
func (d *desk) line(line string) (*pb.News, error) {
	words := strings.Split(line, " ")
	if words[0] == "*" {
		switch {
		case len(words) == 1 || words[1] == "counts" || words[1] == "report": // a sign of life, or not for this sentry
			return nil, nil
		case words[1] == "news":
			return readNews(words[2:])
		}
		return nil, fmt.Errorf("found %.80q, expected news", line)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waits) == 0 {
		return nil, fmt.Errorf("found %.80q, expected no answer", line)
	}
	n, err := readAnswer(d.waits[0], line, words)
	if err == nil {
		d.waits = d.waits[1:]
	}
	return n, err
}

// readAnswer reads the answer to a vote, or with 0 to the watch.
func readAnswer(vote uint64, line string, words []string) (n *pb.News, err error) {
	switch {
	case vote == 0 && line == "OK":
		return nil, nil
	case vote == 0:
		return nil, fmt.Errorf("found %.80q, expected to be told the news", line)
	case words[0] == "OK":
		if n, err = readNews(words[1:]); err != nil {
			return nil, err
		}
	case line == "ERR out_of_date":
		n = &pb.News{Fate: pb.News_MOOT}
	case line == "ERR too_many_calls" || line == "ERR unavailable" || line == "ERR bad_request":
		n = &pb.News{Fate: pb.News_REFUSED}
	default:
		return nil, fmt.Errorf("found %.80q, expected OK or ERR with a known word", line)
	}
	n.Vote = vote
	return n, nil
}

var verdicts = [...]string{logic.NoVerdict: "clear", logic.Advance: "approve", logic.Hold: "wait", logic.RollBack: "reject"}

func (d *desk) vote(m *pb.Vote) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link == nil || int(m.Verdict) >= len(verdicts) {
		return false
	}
	line := fmt.Sprintf("VOTE %d %d %s\r\n", m.Build, m.Stage, verdicts[m.Verdict])
	if !d.link.PutRaw([]byte(line)) {
		return false
	}
	d.waits = append(d.waits, m.Id)
	d.link.Flush()
	return true
}

func (d *desk) move(address string) {
	d.mu.Lock()
	same := d.address == address
	d.address = address
	d.mu.Unlock()
	if same {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
