package platform

// Discovery: the list of servers over HTTP, asked for once or watched.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Of calls to discovery and the control plane alike.
const (
	reachMost  = time.Second            // to connect to a service
	pauseLeast = 100 * time.Millisecond // between tries
	pauseMost  = 800 * time.Millisecond
)

const (
	lifeEvery = 2 * time.Second // discovery says so often on a watch that it is there
	mostList  = 8 << 20         // bytes of a list
	// What discovery has to tell counts as told so long after a new configuration, whatever it names (DAYS, New configurations).
	moveNotice = 4 * time.Second
	// A list that has begun to come is whole within this, or it is in doubt.
	wholeWithin = 250 * time.Millisecond
)

// quietMost is how long a call may say nothing whole. What a watch misses counts as told 6 s after it fell silent, and by
// then the next call has to be made, to have waited its turn for up to 2 s, and to be answered: so the time is little more
// than one sign of life. It is drawn for each call, since all watches may fall silent at once.
func quietMost() time.Duration { return lifeEvery + lifeEvery/8 + rand.N(lifeEvery/2) }

// discovery asks for the list. Its fields belong to the loop, which also judges each report in its turn (takes): what an
// outdated call has told, or a version older than the one at hand, is dropped there.
type discovery struct {
	p       *Platform
	client  http.Client
	address string
	pushed  bool          // lists are pushed: a watch stands without being asked for
	watch   *call         // nil if there is none
	moves   int           // to other addresses
	told    uint64        // the newest version taken from this address
	afresh  bool          // the next watch asks for all of the list
	pause   time.Duration // before a pushed watch is opened again
	calls   uint64        // made so far
}

// call is one question to discovery and what comes of it.
type call struct {
	id     uint64 // in the log, from 1
	watch  bool
	moves  int
	since  uint64
	afresh bool // nothing was taken from it yet, and it asked for all: any version goes
	back   bool // its versions went back
	cancel context.CancelFunc
}

func newDiscovery(p *Platform, address string) *discovery {
	return &discovery{p: p, address: address, client: http.Client{Transport: &http.Transport{
		DialContext:       func(_ context.Context, _, address string) (net.Conn, error) { return wire.DialConn(address, reachMost) },
		DisableKeepAlives: true,
		ReadBufferSize:    4 << 10, WriteBufferSize: 1 << 10}}}
}

// ask asks for the whole list once or sees to it that a watch stands. It is called on the loop, as are all but read.
func (d *discovery) ask(watch bool, since uint64) {
	if d.p.over() || watch && d.watch != nil {
		return
	}
	url := "http://" + d.address + "/api/targets"
	ctx, cancel := context.WithCancel(context.Background())
	d.calls++
	c := &call{id: d.calls, watch: watch, moves: d.moves, cancel: cancel}
	if watch {
		if d.afresh {
			since = 0
		}
		c.since, c.afresh, d.afresh, d.watch = since, since == 0, false, c
		url += "?watch=1&from=" + strconv.FormatUint(since, 10)
	}
	go func() {
		defer cancel()
		begun := time.Now()
		if err := d.read(ctx, c, url); err != nil && !d.p.over() {
			d.p.log.Warn().Uint64("call", c.id).Bool("watch", watch).Uint64("from", c.since).Dur("took_ms", time.Since(begun)).
				Err(err).Msg("discovery call ended")
			d.p.sentry.ListRequestFailed(errors.As(err, new(statusFault)), func() bool { return d.failed(c) })
		}
	}()
}

// tell has the loop take what a call has brought, unless it is outdated by then.
func (d *discovery) tell(c *call, m *pb.Report) {
	d.p.sentry.ListReceived(m, func() bool { return d.takes(c, m) })
}

// takes says whether the loop is to take a report now.
func (d *discovery) takes(c *call, m *pb.Report) bool {
	switch {
	case c.moves != d.moves || c.watch && c != d.watch: // gone on from
		return false
	case m.Version < d.told && !c.afresh: // a later call has told more
		d.p.log.Warn().Uint64("call", c.id).Uint64("version", m.Version).Uint64("held", d.told).Msg("outdated list dropped")
		return false
	}
	if m.Version != d.told || len(m.Lines) > 0 {
		d.p.log.Info().Uint64("call", c.id).Uint64("version", m.Version).Uint64("before", d.told).Bool("whole", m.Whole).
			Int("lines", len(m.Lines)).Msg("list taken")
	}
	d.told, c.afresh, d.pause = m.Version, false, 0
	return true
}

// failed says whether the loop is to take the end of a call now.
func (d *discovery) failed(c *call) bool {
	if c.moves != d.moves || c.watch && c != d.watch { // gone on from
		return false
	}
	if c.watch {
		d.watch, d.afresh = nil, d.afresh || c.back
		d.again()
	}
	return true
}

// keep sees to it that a watch stands where the settings have lists pushed.
func (d *discovery) keep(post *Config) {
	if d.pushed = !post.Settings.Policy.ListOnRequest; d.pushed {
		d.ask(true, 0)
	}
}

// again opens a pushed watch anew after a while: the module asks for others.
func (d *discovery) again() {
	if !d.pushed {
		return
	}
	d.pause = min(max(2*d.pause, pauseLeast), pauseMost)
	since := d.told
	time.AfterFunc(d.pause/2+rand.N(d.pause), func() {
		d.p.sentry.Inspect(func() { d.ask(true, since) })
	})
}

// statusFault is an answer of discovery's that refuses the call.
type statusFault int

func (f statusFault) Error() string { return fmt.Sprintf("found status %d, expected 200", int(f)) }

// read takes lists until the answer ends. A blank line between them says that nothing has changed.
func (d *discovery) read(ctx context.Context, c *call, url string) error {
	quiet := time.AfterFunc(quietMost(), c.cancel)
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return statusFault(answer.StatusCode)
	}
	lines, since := bufio.NewReader(answer.Body), c.since
	for begun := time.Now(); ; { // the header is written with the first list
		text, err := d.whole(c, lines, begun)
		if err != nil {
			return err
		}
		m := &pb.Report{Version: since}
		if len(text) > 0 {
			var t targets
			if err := json.Unmarshal(text, &t); err != nil {
				return err
			}
			if m, err = t.report(d.p.wall); err != nil {
				return err
			}
			if m.Version < since {
				c.back = true
				return fmt.Errorf("found version %d after %d, expected none that goes back", m.Version, since)
			}
			since = m.Version
		}
		if !quiet.Reset(quietMost()) {
			return context.Canceled
		}
		d.tell(c, m)
		if !c.watch {
			return nil
		}
		if _, err := lines.Peek(1); err != nil {
			return err
		}
		begun = time.Now()
	}
}

// whole reads one object that has begun to come. What has begun counts as told, so the loop hears of it when it does not
// come whole, or not soon.
func (d *discovery) whole(c *call, lines *bufio.Reader, begun time.Time) ([]byte, error) {
	doubt := func() {
		d.p.sentry.ListPartlyReceived(time.Since(begun), func() bool { return c.moves == d.moves && (!c.watch || c == d.watch) })
	}
	slow := time.AfterFunc(wholeWithin, doubt)
	text, err := readObject(lines, mostList)
	if slow.Stop() && err != nil {
		doubt()
	}
	return text, err
}

// readObject reads one JSON object, on one line or indented over several, in bounds. A blank line before it is given as
// nothing.
func readObject(r *bufio.Reader, most int) (text []byte, err error) {
	depth, quoted, escaped := 0, false, false
	for {
		line, err := readLine(r, most-len(text))
		if err != nil && (len(line) == 0 || !errors.Is(err, io.EOF)) {
			if len(text) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		for _, b := range line {
			switch {
			case escaped:
				escaped = false
			case quoted:
				escaped, quoted = b == '\\', b != '"'
			case b == '"':
				quoted = true
			case b == '{' || b == '[':
				depth++
			case b == '}' || b == ']':
				depth--
			}
		}
		if text = append(text, line...); depth <= 0 {
			return bytes.TrimSpace(text), nil
		}
	}
}

// readLine reads up to a line feed, or to the end, in bounds.
func readLine(r *bufio.Reader, most int) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > most {
			return nil, fmt.Errorf("found a line of over %d bytes, expected less", most)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// move goes on at another address, and asks for all there: what was told may be in no order with what that one tells.
func (d *discovery) move(address string) {
	if d.address == address {
		return
	}
	d.close()
	d.address, d.watch, d.told, d.afresh = address, nil, 0, true
	d.moves++
	d.p.sentry.ListMayBeStale(d.p.sentry.Now() + logic.Micros(moveNotice/time.Microsecond))
	d.ask(true, 0)
}

func (d *discovery) close() {
	if d.watch != nil {
		d.watch.cancel()
	}
}
