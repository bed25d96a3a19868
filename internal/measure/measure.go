// Package measure compares a sentry, as a process of its own, with a bare netpoll relay that passes the same frames on
// to a random worker: throughput, processor time, allocations, latency. It is no part of the tests, since machines are
// noisy; both sides are measured in one run, turn about, and what counts is their ratio.
package measure

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"scalechute/internal/match"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
	"scalechute/standin"
)

// Plan is what is measured.
type Options struct {
	Program               []string
	Dir                   string
	Workers               int
	Connections           int           // connections
	InFlightPerConnection int           // transactions out on each, when as many as possible are asked
	Rate                  float64       // a second, 0 for as many as possible
	Duration              time.Duration // of each measurement
	MaxProcs              int           // GOMAXPROCS of what is measured
	CPUProfile            string        // file for a processor profile, empty if none
	RouteCount            int           // routes that judge transactions of eight attributes; 0: transactions say what they are
}

// Reading is one measurement.
type Result struct {
	Name                                string
	Completed                           int
	PerSecond, PerCPUSecond             float64 // PerCore: for each second of processor time
	AllocsEach, BytesEach               float64 // a transaction
	P50, P99, P999                      time.Duration
	SatisfiedShare                      float64
	ResidentBytes, ResidentBytesAtStart int64 // bytes
	Connections                         int
}

// workers answers at once whatever it is asked, as a worker of a sentry or as one behind the relay.
func workers(n int) (servers []*wire.Server, err error) {
	for range n {
		s, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
			var work wire.Work
			var ask wire.Ask
			return func(l *wire.Link, kind wire.Kind, body []byte) error {
				switch kind {
				case wire.KindHello:
					l.PutProto(wire.KindWelcome, &pb.Welcome{Version: wire.ProtocolVersion})
				case wire.KindWork:
					if err := work.Read(body); err != nil {
						return err
					}
					l.Put(wire.KindDone, &wire.Done{ID: work.ID, Payload: work.Payload, InFlight: 1})
				case wire.KindAsk:
					if err := ask.Read(body); err != nil {
						return err
					}
					l.Put(wire.KindAnswer, &wire.Answer{ID: ask.ID, Payload: ask.Payload})
				}
				l.Flush()
				return nil
			}, nil
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

const orders = `
sentry {
  position = 0
  zone     = "z"
  listen   = %q
  metrics  = %q
  memory   = %q
  list     = %q
  desk     = %q
  seed     = 1
}
deployment {
  sentries = 1
  zones    = ["z"]
}
profile "reading" {
  due_time    = "1s"
  outer_limit = "4s"
  repeat      = "redoable"
}
allowed {
  hand_offs     = 2
  connect_limit = "500ms"
}
list {
  ask        = true
  ask_within = "10s"
}
rules {
  answer_grace  = "20ms"
  drain_grace   = "2s"
  cold_from     = 0.5
  warm_up       = "1s"
  fall_multiple = 4
  fall_span     = "1s"
}
trial {
  control      = "any"
  stage_shares = [1]
  stage_caps   = [1]
  free         = 2
  window       = "2s"
  on_votes     = 1
  back_votes   = 1
  vote_life    = "4s"
  vote_wait    = "800ms"
  bake         = "1s"
}
bounds {
  hand_offs_per_connection = 256
}
`

// still is a fleet that does not move.
type still struct{}

func (still) RollOut(logic.BuildID, float64) bool { return true }
func (still) DrainEarlierBuilds(logic.BuildID)    {}
func (still) DrainBuild(logic.BuildID)            {}

// Sentry measures a sentry, Relay the bare relay.
func RunSentry(p Options) (*Result, error) {
	servers, err := workers(p.Workers)
	if err != nil {
		return nil, err
	}
	defer closeAll(servers)
	stage := standin.NewEnvironment(&logic.Config{StageCaps: []float64{1}, StageShares: []float64{1}, VotesPerSecond: 10,
		RollBackVotes: 1}, []string{"z"}, 1)
	list, desk := standin.NewDiscovery(stage), standin.NewControlPlane(stage, still{}, 10)
	if err := list.Start(); err != nil {
		return nil, err
	}
	defer list.Stop()
	if err := desk.Start(); err != nil {
		return nil, err
	}
	defer desk.Stop()
	var lines []*pb.Line
	for i, s := range servers {
		lines = append(lines, &pb.Line{Id: fmt.Sprint("w", i), Address: s.Address, Build: 10, Zone: "z", Size: 1, Life: 1})
	}
	list.ReportLines(lines, 0)
	listen, metrics, err := addresses()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.Dir, "measured.hcl")
	text := fmt.Sprintf(orders, listen, metrics, filepath.Join(p.Dir, "measured.list"), list.Address, desk.Address)
	name := "sentry"
	if p.RouteCount > 0 {
		name = "routed"
		text += routesText(p.RouteCount) + rest
	}
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	args := []string{"sentry", "--config", file, "--level", "warn"}
	if p.CPUProfile != "" {
		args = append(args, "--profile", p.CPUProfile)
	}
	return p.run(name, listen, metrics, args)
}

// Relay measures the bare relay.
func RunRelay(p Options) (*Result, error) {
	servers, err := workers(p.Workers)
	if err != nil {
		return nil, err
	}
	defer closeAll(servers)
	listen, metrics, err := addresses()
	if err != nil {
		return nil, err
	}
	args := []string{"measure", "bare", "--listen", listen, "--metrics", metrics}
	for _, s := range servers {
		args = append(args, "--worker", s.Address)
	}
	return p.run("relay", listen, metrics, args)
}

// addresses are where what is measured listens and serves its metrics.
func addresses() (listen, metrics string, err error) {
	if listen, err = standin.FreeAddress(); err == nil {
		metrics, err = standin.FreeAddress()
	}
	return listen, metrics, err
}

func closeAll(servers []*wire.Server) {
	for _, s := range servers {
		s.Close()
	}
}

// run starts what is measured, loads it, and reads what it used.
func (p Options) run(what, listen, metrics string, args []string) (*Result, error) {
	cmd := exec.Command(p.Program[0], append(append([]string(nil), p.Program[1:]...), args...)...)
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(p.MaxProcs))
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			_ = cmd.Process.Signal(syscall.SIGTERM)
			_ = cmd.Wait()
		}
	}
	defer stop()
	r := &Result{Name: what, Connections: p.Connections}
	d := &driver{p: p}
	if p.RouteCount > 0 {
		d.samples = samples(p.RouteCount)
	}
	for try := 0; ; try++ {
		link, err := wire.Dial(listen, time.Second, wire.DefaultLimits, d.answered(nil), nil)
		if err == nil {
			link.Close(wire.ErrClosed)
			break
		}
		if try > 200 {
			return nil, fmt.Errorf("%s does not listen: %w", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // the list comes
	r.ResidentBytesAtStart = resident(cmd.Process.Pid)
	if err := d.connect(listen); err != nil {
		return nil, err
	}
	defer d.close()
	d.load(500 * time.Millisecond) // warm
	d.reset()
	before, _ := counters(metrics)
	cpu := cpuTime(cmd.Process.Pid)
	took := d.load(p.Duration)
	cpu = cpuTime(cmd.Process.Pid) - cpu
	after, err := counters(metrics)
	if err != nil {
		return nil, err
	}
	r.Completed = int(d.done.Load())
	r.ResidentBytes = resident(cmd.Process.Pid)
	n := float64(max(1, r.Completed))
	r.PerSecond, r.PerCPUSecond = n/took.Seconds(), n/max(cpu.Seconds(), 1e-9)
	r.AllocsEach = (after["go_memstats_mallocs_total"] - before["go_memstats_mallocs_total"]) / n
	r.BytesEach = (after["go_memstats_alloc_bytes_total"] - before["go_memstats_alloc_bytes_total"]) / n
	r.SatisfiedShare = float64(d.satisfied.Load()) / n
	d.mu.Lock()
	at := func(q float64) time.Duration { return time.Duration(d.times.ValueAtQuantile(q)) * time.Microsecond }
	r.P50, r.P99, r.P999 = at(50), at(99), at(99.9)
	d.mu.Unlock()
	return r, nil
}

// driver is the clients.
type driver struct {
	p         Options
	links     []*caller
	done      atomic.Int64
	satisfied atomic.Int64
	running   atomic.Bool
	samples   [][]byte // attributes but for the id, nil if transactions say what they are
	mu        sync.Mutex
	times     *hdrhistogram.Histogram
}

type caller struct {
	d    *driver
	link *wire.Link
	mu   sync.Mutex
	id   uint64
	sent map[uint64]time.Time

	key, carried []byte
}

var payload = []byte("a reading of 64 bytes, as a gateway of a truck would send it.....")

func (c *caller) ask() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id++
	c.sent[c.id] = time.Now()
	c.key = strconv.AppendUint(c.key[:0], c.id*0x9e3779b97f4a7c15, 16)
	m := &wire.Ask{ID: c.id, Timeout: 4_000_000, Payload: payload}
	if samples := c.d.samples; samples == nil {
		m.Key = c.key
	} else {
		c.carried = wire.AppendAttribute(append(c.carried[:0], samples[c.id%uint64(len(samples))]...), "id",
			&match.RawValue{Kind: match.Text, Text: string(c.key)})
		m.Attributes = c.carried
	}
	c.link.Put(wire.KindAsk, m)
}

func (d *driver) answered(c *caller) wire.Handler {
	return func(_ *wire.Link, kind wire.Kind, body []byte) error {
		var m wire.Answer
		if kind != wire.KindAnswer || c == nil {
			return nil
		}
		if err := m.Read(body); err != nil {
			return err
		}
		c.mu.Lock()
		took := time.Since(c.sent[m.ID])
		delete(c.sent, m.ID)
		c.mu.Unlock()
		d.done.Add(1)
		if m.Outcome == uint32(pb.Outcome_SATISFIED) {
			d.satisfied.Add(1)
		}
		d.mu.Lock()
		_ = d.times.RecordValue(max(1, took.Microseconds()))
		d.mu.Unlock()
		if d.p.Rate == 0 && d.running.Load() {
			c.ask()
			c.link.Flush()
		}
		return nil
	}
}

func (d *driver) connect(address string) error {
	d.reset()
	for range d.p.Connections {
		c := &caller{d: d, sent: map[uint64]time.Time{}}
		link, err := wire.Dial(address, 5*time.Second, wire.DefaultLimits, d.answered(c), nil)
		if err != nil {
			return fmt.Errorf("client %d: %w", len(d.links), err)
		}
		c.link = link
		link.Send(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion})
		d.links = append(d.links, c)
	}
	return nil
}

func (d *driver) reset() {
	d.done.Store(0)
	d.satisfied.Store(0)
	d.mu.Lock()
	d.times = hdrhistogram.New(1, 60_000_000, 3)
	d.mu.Unlock()
}

// load asks for a time and waits for what is out.
func (d *driver) load(span time.Duration) time.Duration {
	start := time.Now()
	d.running.Store(true)
	if d.p.Rate == 0 {
		for _, c := range d.links {
			for range d.p.InFlightPerConnection {
				c.ask()
			}
			c.link.Flush()
		}
		time.Sleep(span)
	} else {
		chance := rand.New(rand.NewSource(1))
		for at := start; time.Since(start) < span; {
			at = at.Add(time.Duration(chance.ExpFloat64() / d.p.Rate * float64(time.Second)))
			if wait := time.Until(at); wait > 50*time.Microsecond {
				time.Sleep(wait)
			}
			c := d.links[chance.Intn(len(d.links))]
			c.ask()
			c.link.Flush()
		}
	}
	d.running.Store(false)
	took := time.Since(start)
	for range 500 {
		out := 0
		for _, c := range d.links {
			c.mu.Lock()
			out += len(c.sent)
			c.mu.Unlock()
		}
		if out == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return took
}

func (d *driver) close() {
	for _, c := range d.links {
		c.link.Close(wire.ErrClosed)
	}
}

// counters reads the plain counters of a metrics page.
func counters(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	found := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			found[name] = v
		}
	}
	return found, lines.Err()
}

// cpuTime is what a process has used, in ticks of 10 ms.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Print writes readings as a table.
func PrintResults(w io.Writer, rs ...*Result) {
	for _, r := range rs {
		fmt.Fprintf(w, "%-7s %7d done, %8.0f a second, %8.0f for a second of one core, %5.1f allocations and %6.0f bytes each, "+
			"p50 %v p99 %v p99.9 %v, %.2f%% satisfied, %.1f MB resident (%.1f before %d connections)\n", r.Name, r.Completed, r.PerSecond,
			r.PerCPUSecond, r.AllocsEach, r.BytesEach, r.P50, r.P99, r.P999, 100*r.SatisfiedShare, float64(r.ResidentBytes)/1e6,
			float64(r.ResidentBytesAtStart)/1e6, r.Connections)
	}
}
