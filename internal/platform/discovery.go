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
	dialTimeout   = time.Second            // to connect to a service
	minRetryDelay = 100 * time.Millisecond // between tries
	maxRetryDelay = 800 * time.Millisecond
)

const (
	keepaliveTime = 2 * time.Second // discovery says so often on a watch that it is there
	maxListBytes  = 8 << 20         // bytes of a list
	// What discovery has to tell counts as told so long after a new configuration, whatever it names (DAYS, New configurations).
	addressChangeDelay = 4 * time.Second
	// A list that has begun to come is whole within this, or it is in doubt.
	listReadTimeout = 250 * time.Millisecond
)

// quietMost is how long a call may say nothing whole. What a watch misses counts as told 6 s after it fell silent, and by
// then the next call has to be made, to have waited its turn for up to 2 s, and to be answered: so the time is little more
// than one sign of life. It is drawn for each call, since all watches may fall silent at once.
func silenceTimeout() time.Duration { return keepaliveTime + keepaliveTime/8 + rand.N(keepaliveTime/2) }

// discovery asks for the list. Its fields belong to the loop, which also judges each report in its turn (takes): what an
// outdated call has told, or a version older than the one at hand, is dropped there.
type discovery struct {
	platform     *Platform
	client       http.Client
	address      string
	listsPushed  bool          // lists are pushed: a watch stands without being asked for
	watch        *call         // nil if there is none
	addressEpoch int           // to other addresses
	lastVersion  uint64        // the newest version taken from this address
	fetchAll     bool          // the next watch asks for all of the list
	retryDelay   time.Duration // before a pushed watch is opened again
	callCount    uint64        // made so far
}

// call is one question to discovery and what comes of it.
type call struct {
	id                uint64 // in the log, from 1
	watch             bool
	addressEpoch      int
	fromVersion       uint64
	acceptsAnyVersion bool // nothing was taken from it yet, and it asked for all: any version goes
	versionWentBack   bool // its versions went back
	cancel            context.CancelFunc
}

func newDiscovery(p *Platform, addr string) *discovery {
	return &discovery{platform: p, address: addr, client: http.Client{Transport: &http.Transport{
		DialContext:       func(_ context.Context, _, addr string) (net.Conn, error) { return wire.DialConn(addr, dialTimeout) },
		DisableKeepAlives: true,
		ReadBufferSize:    4 << 10, WriteBufferSize: 1 << 10}}}
}

// ask asks for the whole list once or sees to it that a watch stands. It is called on the loop, as are all but read.
func (d *discovery) startCall(watch bool, since uint64) {
	if d.platform.isDone() || watch && d.watch != nil {
		return
	}
	url := "http://" + d.address + "/api/targets"
	ctx, cancel := context.WithCancel(context.Background())
	d.callCount++
	c := &call{id: d.callCount, watch: watch, addressEpoch: d.addressEpoch, cancel: cancel}
	if watch {
		if d.fetchAll {
			since = 0
		}
		c.fromVersion, c.acceptsAnyVersion, d.fetchAll, d.watch = since, since == 0, false, c
		url += "?watch=1&from=" + strconv.FormatUint(since, 10)
	}
	go func() {
		defer cancel()
		started := time.Now()
		if err := d.readLists(ctx, c, url); err != nil && !d.platform.isDone() {
			d.platform.log.Warn().Uint64("call", c.id).Bool("watch", watch).Uint64("from", c.fromVersion).Dur("took_ms", time.Since(started)).
				Err(err).Msg("discovery call ended")
			d.platform.sentry.ListRequestFailed(errors.As(err, new(statusError)), func() bool { return d.acceptFailure(c) })
		}
	}()
}

// tell has the loop take what a call has brought, unless it is outdated by then.
func (d *discovery) deliver(c *call, report *pb.Report) {
	d.platform.sentry.ListReceived(report, func() bool { return d.acceptReport(c, report) })
}

// takes says whether the loop is to take a report now.
func (d *discovery) acceptReport(c *call, report *pb.Report) bool {
	switch {
	case c.addressEpoch != d.addressEpoch || c.watch && c != d.watch: // gone on from
		return false
	case report.Version < d.lastVersion && !c.acceptsAnyVersion: // a later call has told more
		d.platform.log.Warn().Uint64("call", c.id).Uint64("version", report.Version).Uint64("held", d.lastVersion).Msg("outdated list dropped")
		return false
	}
	if report.Version != d.lastVersion || len(report.Lines) > 0 {
		d.platform.log.Info().Uint64("call", c.id).Uint64("version", report.Version).Uint64("before", d.lastVersion).Bool("whole", report.Whole).
			Int("lines", len(report.Lines)).Msg("list taken")
	}
	d.lastVersion, c.acceptsAnyVersion, d.retryDelay = report.Version, false, 0
	return true
}

// failed says whether the loop is to take the end of a call now.
func (d *discovery) acceptFailure(c *call) bool {
	if c.addressEpoch != d.addressEpoch || c.watch && c != d.watch { // gone on from
		return false
	}
	if c.watch {
		d.watch, d.fetchAll = nil, d.fetchAll || c.versionWentBack
		d.scheduleWatch()
	}
	return true
}

// keep sees to it that a watch stands where the settings have lists pushed.
func (d *discovery) ensureWatch(config *Config) {
	if d.listsPushed = !config.Settings.Policy.ListOnRequest; d.listsPushed {
		d.startCall(true, 0)
	}
}

// again opens a pushed watch anew after a while: the module asks for others.
func (d *discovery) scheduleWatch() {
	if !d.listsPushed {
		return
	}
	d.retryDelay = min(max(2*d.retryDelay, minRetryDelay), maxRetryDelay)
	since := d.lastVersion
	time.AfterFunc(d.retryDelay/2+rand.N(d.retryDelay), func() {
		d.platform.sentry.Inspect(func() { d.startCall(true, since) })
	})
}

// statusFault is an answer of discovery's that refuses the call.
type statusError int

func (f statusError) Error() string { return fmt.Sprintf("found status %d, expected 200", int(f)) }

// read takes lists until the answer ends. A blank line between them says that nothing has changed.
func (d *discovery) readLists(ctx context.Context, c *call, url string) error {
	silenceTimer := time.AfterFunc(silenceTimeout(), c.cancel)
	defer silenceTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode)
	}
	body, version := bufio.NewReader(response.Body), c.fromVersion
	for started := time.Now(); ; { // the header is written with the first list
		text, err := d.readList(c, body, started)
		if err != nil {
			return err
		}
		report := &pb.Report{Version: version}
		if len(text) > 0 {
			var list targetList
			if err := json.Unmarshal(text, &list); err != nil {
				return err
			}
			if report, err = list.toReport(d.platform.wallClock); err != nil {
				return err
			}
			if report.Version < version {
				c.versionWentBack = true
				return fmt.Errorf("found version %d after %d, expected none that goes back", report.Version, version)
			}
			version = report.Version
		}
		if !silenceTimer.Reset(silenceTimeout()) {
			return context.Canceled
		}
		d.deliver(c, report)
		if !c.watch {
			return nil
		}
		if _, err := body.Peek(1); err != nil {
			return err
		}
		started = time.Now()
	}
}

// whole reads one object that has begun to come. What has begun counts as told, so the loop hears of it when it does not
// come whole, or not soon.
func (d *discovery) readList(c *call, body *bufio.Reader, started time.Time) ([]byte, error) {
	reportIncomplete := func() {
		d.platform.sentry.ListPartlyReceived(time.Since(started), func() bool { return c.addressEpoch == d.addressEpoch && (!c.watch || c == d.watch) })
	}
	timer := time.AfterFunc(listReadTimeout, reportIncomplete)
	text, err := readObject(body, maxListBytes)
	if timer.Stop() && err != nil {
		reportIncomplete()
	}
	return text, err
}

// readObject reads one JSON object, on one line or indented over several, in bounds. A blank line before it is given as
// nothing.
func readObject(r *bufio.Reader, maxBytes int) (text []byte, err error) {
	depth, inString, escaped := 0, false, false
	for {
		line, err := readLine(r, maxBytes-len(text))
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
			case inString:
				escaped, inString = b == '\\', b != '"'
			case b == '"':
				inString = true
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
func readLine(r *bufio.Reader, maxBytes int) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxBytes {
			return nil, fmt.Errorf("found a line of over %d bytes, expected less", maxBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// move goes on at another address, and asks for all there: what was told may be in no order with what that one tells.
func (d *discovery) setAddress(address string) {
	if d.address == address {
		return
	}
	d.close()
	d.address, d.watch, d.lastVersion, d.fetchAll = address, nil, 0, true
	d.addressEpoch++
	d.platform.sentry.ListMayBeStale(d.platform.sentry.Now() + logic.Micros(addressChangeDelay/time.Microsecond))
	d.startCall(true, 0)
}

func (d *discovery) close() {
	if d.watch != nil {
		d.watch.cancel()
	}
}
