package platform

// The client of discovery, which serves the list of servers over HTTP, once or as a watch.

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

// Limits for calls to discovery and to the control plane.
const (
	dialTimeout   = time.Second
	minRetryDelay = 100 * time.Millisecond // before randomization
	maxRetryDelay = 800 * time.Millisecond
)

const (
	keepaliveTime = 2 * time.Second // interval of the blank lines that discovery sends on a watch
	maxListBytes  = 8 << 20         // of a list in JSON
	// The time after a new configuration from which the sentry counts as notified of the list at the new address,
	// whatever address that is (DAYS page, New configurations).
	addressChangeDelay = 4 * time.Second
	// A list that is still incomplete this long after its first byte is reported as such: it counts as received, since
	// it may hold a change that the sentry does not know.
	listReadTimeout = 250 * time.Millisecond
)

// silenceTimeout returns the time after which a call without a complete object or blank line is given up. The sentry
// counts as notified of what a watch misses 6 s after the watch fell silent. By then the next call must have been made,
// which may wait up to 2 s at discovery, and been answered, so the timeout is little more than one keepalive. It is
// random, since all watches may fall silent at once.
func silenceTimeout() time.Duration { return keepaliveTime + keepaliveTime/8 + rand.N(keepaliveTime/2) }

// discovery requests the list of servers. Its fields belong to the sentry's event loop. The loop also decides whether
// to accept each response when it handles it (acceptReport): responses of superseded calls, and versions older than the
// last one, are dropped there.
type discovery struct {
	platform     *Platform
	client       http.Client
	address      string
	listsPushed  bool          // by the settings: a watch is kept open without requests by the sentry
	watch        *call         // the open watch, or nil
	addressEpoch int           // number of address changes
	lastVersion  uint64        // last version accepted from this address
	fetchAll     bool          // the next watch requests the whole list
	retryDelay   time.Duration // before a watch for pushed lists is reopened
	callCount    uint64
}

// call is one HTTP request to discovery: for the list once, or for a watch.
type call struct {
	id                uint64 // for the log, from 1
	watch             bool
	addressEpoch      int    // of discovery when the call was made
	fromVersion       uint64 // of a watch; 0 requests the whole list
	acceptsAnyVersion bool   // a watch for the whole list, until its first response is accepted
	versionWentBack   bool   // a response had an older version than the one before it
	cancel            context.CancelFunc
}

// newDiscovery creates a client of the discovery at addr. Each call uses a connection of its own.
func newDiscovery(p *Platform, addr string) *discovery {
	return &discovery{platform: p, address: addr, client: http.Client{Transport: &http.Transport{
		DialContext:       func(_ context.Context, _, addr string) (net.Conn, error) { return wire.DialConn(addr, dialTimeout) },
		DisableKeepAlives: true,
		ReadBufferSize:    4 << 10, WriteBufferSize: 1 << 10}}}
}

// startCall requests the whole list once or, with watch, opens a watch unless one is open. It and all other methods but
// deliver, readLists and readList run on the event loop.
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

// deliver passes a response to the event loop, which drops it if it is outdated by then.
func (d *discovery) deliver(c *call, report *pb.Report) {
	d.platform.sentry.ListReceived(report, func() bool { return d.acceptReport(c, report) })
}

// acceptReport reports whether the event loop is to apply a response, and records its version.
func (d *discovery) acceptReport(c *call, report *pb.Report) bool {
	switch {
	case c.addressEpoch != d.addressEpoch || c.watch && c != d.watch: // superseded
		return false
	case report.Version < d.lastVersion && !c.acceptsAnyVersion: // another call has brought a newer version
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

// acceptFailure reports whether the event loop is to handle the failure of a call. It schedules the next watch if
// needed.
func (d *discovery) acceptFailure(c *call) bool {
	if c.addressEpoch != d.addressEpoch || c.watch && c != d.watch { // superseded
		return false
	}
	if c.watch {
		d.watch, d.fetchAll = nil, d.fetchAll || c.versionWentBack
		d.scheduleWatch()
	}
	return true
}

// ensureWatch opens a watch if the settings have lists pushed and none is open.
func (d *discovery) ensureWatch(config *Config) {
	if d.listsPushed = !config.Settings.Policy.ListOnRequest; d.listsPushed {
		d.startCall(true, 0)
	}
}

// scheduleWatch reopens a watch for pushed lists after a delay. Other watches are requested by package logic.
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

// statusError is the HTTP status of a response that refuses the call.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("found status %d, expected 200", int(s)) }

// readLists makes a call and delivers each list of its response: the first one, or for a watch all until the response
// ends. A blank line between lists is a keepalive and says that nothing has changed.
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
	for started := time.Now(); ; { // discovery writes the HTTP header together with the first list
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

// readList reads one object whose first byte has arrived at started. A list that has begun to arrive counts as
// received, so the sentry is notified if the object is cut off or is incomplete after listReadTimeout.
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

// readObject reads one JSON object of up to maxBytes, on one line or indented over several. For a blank line before an
// object it returns an empty text.
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

// readLine reads up to and including a line feed, or to the end of the data, and at most maxBytes.
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

// setAddress changes the address of discovery and requests the whole list there, since versions of different addresses
// can't be compared.
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

// close cancels the open watch.
func (d *discovery) close() {
	if d.watch != nil {
		d.watch.cancel()
	}
}
