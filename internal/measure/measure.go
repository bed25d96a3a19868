// Package measure compares a sentry with a bare netpoll relay that forwards the same frames to a random worker:
// throughput, CPU time, allocations and latency. Each runs as a process of its own under the load of a client pool in
// this process. The measurements are not part of the tests, because machines are noisy. A run measures the two in
// alternation, and the result is their ratio.
//
// It also compares the route index of package match with a linear search and with cel-go (RunMatch).
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

// Options are the parameters of a measurement.
type Options struct {
	Program               []string // command line of this program
	Dir                   string   // for the sentry's files
	Workers               int
	Connections           int           // client connections
	InFlightPerConnection int           // open transactions per connection if Rate is 0
	Rate                  float64       // transactions per second; 0: as many as possible
	Duration              time.Duration // of the measurement, without warm-up
	MaxProcs              int           // GOMAXPROCS of the measured process
	CPUProfile            string        // file for the sentry's CPU profile, empty for none
	RouteCount            int           // number of routes for transactions of eight attributes; 0: transactions state their profile
}

// Result is the result of one measurement.
type Result struct {
	Name                                string
	Completed                           int
	PerSecond, PerCPUSecond             float64 // transactions per second, and per second of CPU time
	AllocsEach, BytesEach               float64 // per transaction
	P50, P99, P999                      time.Duration
	SatisfiedShare                      float64
	ResidentBytes, ResidentBytesAtStart int64
	Connections                         int
}

// startWorkers starts n workers, which answer each request at once. They serve a sentry (KindWork) as well as the
// relay, which forwards the clients' frames (KindAsk).
func startWorkers(n int) (servers []*wire.Server, err error) {
	for range n {
		server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
			var work wire.Work
			var request wire.Ask
			return func(link *wire.Link, kind wire.Kind, body []byte) error {
				switch kind {
				case wire.KindHello:
					link.PutProto(wire.KindWelcome, &pb.Welcome{Version: wire.ProtocolVersion})
				case wire.KindWork:
					if err := work.Read(body); err != nil {
						return err
					}
					link.Put(wire.KindDone, &wire.Done{ID: work.ID, Payload: work.Payload, InFlight: 1})
				case wire.KindAsk:
					if err := request.Read(body); err != nil {
						return err
					}
					link.Put(wire.KindAnswer, &wire.Answer{ID: request.ID, Payload: request.Payload})
				}
				link.Flush()
				return nil
			}, nil
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// settingsTemplate is the sentry's settings, with verbs for the addresses and the file of the cached list.
const settingsTemplate = `
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

// staticFleet is a fleet whose builds do not change.
type staticFleet struct{}

func (staticFleet) RollOut(logic.BuildID, float64) bool { return true }
func (staticFleet) DrainEarlierBuilds(logic.BuildID)    {}
func (staticFleet) DrainBuild(logic.BuildID)            {}

// RunSentry measures a sentry.
func RunSentry(o Options) (*Result, error) {
	servers, err := startWorkers(o.Workers)
	if err != nil {
		return nil, err
	}
	defer closeServers(servers)
	environment := standin.NewEnvironment(&logic.Config{StageCaps: []float64{1}, StageShares: []float64{1}, VotesPerSecond: 10,
		RollBackVotes: 1}, []string{"z"}, 1)
	discovery, controlPlane := standin.NewDiscovery(environment), standin.NewControlPlane(environment, staticFleet{}, 10)
	if err := discovery.Start(); err != nil {
		return nil, err
	}
	defer discovery.Stop()
	if err := controlPlane.Start(); err != nil {
		return nil, err
	}
	defer controlPlane.Stop()
	var lines []*pb.Line
	for i, server := range servers {
		lines = append(lines, &pb.Line{Id: fmt.Sprint("w", i), Address: server.Address, Build: 10, Zone: "z", Size: 1, Life: 1})
	}
	discovery.ReportLines(lines, 0)
	listen, metrics, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Dir, "measured.hcl")
	settings := fmt.Sprintf(settingsTemplate, listen, metrics, filepath.Join(o.Dir, "measured.list"), discovery.Address, controlPlane.Address)
	name := "sentry"
	if o.RouteCount > 0 {
		name = "routed"
		settings += routesSource(o.RouteCount) + catchAllRoute
	}
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	args := []string{"sentry", "--config", file, "--level", "warn"}
	if o.CPUProfile != "" {
		args = append(args, "--profile", o.CPUProfile)
	}
	return o.run(name, listen, metrics, args)
}

// RunRelay measures the bare relay.
func RunRelay(o Options) (*Result, error) {
	servers, err := startWorkers(o.Workers)
	if err != nil {
		return nil, err
	}
	defer closeServers(servers)
	listen, metrics, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	args := []string{"measure", "bare", "--listen", listen, "--metrics", metrics}
	for _, s := range servers {
		args = append(args, "--worker", s.Address)
	}
	return o.run("relay", listen, metrics, args)
}

// freeAddresses returns addresses for the measured process's listener and metrics page.
func freeAddresses() (listen, metrics string, err error) {
	if listen, err = standin.FreeAddress(); err == nil {
		metrics, err = standin.FreeAddress()
	}
	return listen, metrics, err
}

func closeServers(servers []*wire.Server) {
	for _, s := range servers {
		s.Close()
	}
}

// run starts this program with the arguments, puts the load on it and measures it.
func (o Options) run(name, listen, metrics string, args []string) (*Result, error) {
	cmd := exec.Command(o.Program[0], append(append([]string(nil), o.Program[1:]...), args...)...)
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.MaxProcs))
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
	result := &Result{Name: name, Connections: o.Connections}
	p := &clientPool{options: o}
	if o.RouteCount > 0 {
		p.attributeSamples = encodedSamples(o.RouteCount)
	}
	for attempt := 0; ; attempt++ {
		link, err := wire.Dial(listen, time.Second, wire.DefaultLimits, p.answerHandler(nil), nil)
		if err == nil {
			link.Close(wire.ErrClosed)
			break
		}
		if attempt > 200 {
			return nil, fmt.Errorf("%s does not listen: %w", name, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // for the sentry to receive the worker list
	result.ResidentBytesAtStart = residentBytes(cmd.Process.Pid)
	if err := p.connect(listen); err != nil {
		return nil, err
	}
	defer p.close()
	p.generateLoad(500 * time.Millisecond) // warm-up
	p.reset()
	before, _ := readCounters(metrics)
	cpu := cpuTime(cmd.Process.Pid)
	elapsed := p.generateLoad(o.Duration)
	cpu = cpuTime(cmd.Process.Pid) - cpu
	after, err := readCounters(metrics)
	if err != nil {
		return nil, err
	}
	result.Completed = int(p.completed.Load())
	result.ResidentBytes = residentBytes(cmd.Process.Pid)
	n := float64(max(1, result.Completed))
	result.PerSecond, result.PerCPUSecond = n/elapsed.Seconds(), n/max(cpu.Seconds(), 1e-9)
	result.AllocsEach = (after["go_memstats_mallocs_total"] - before["go_memstats_mallocs_total"]) / n
	result.BytesEach = (after["go_memstats_alloc_bytes_total"] - before["go_memstats_alloc_bytes_total"]) / n
	result.SatisfiedShare = float64(p.satisfied.Load()) / n
	p.mu.Lock()
	quantile := func(q float64) time.Duration { return time.Duration(p.latency.ValueAtQuantile(q)) * time.Microsecond }
	result.P50, result.P99, result.P999 = quantile(50), quantile(99), quantile(99.9)
	p.mu.Unlock()
	return result, nil
}

// clientPool generates load over many client connections and records the answers.
type clientPool struct {
	options          Options
	clients          []*client
	completed        atomic.Int64
	satisfied        atomic.Int64
	running          atomic.Bool
	attributeSamples [][]byte // encoded attributes without the id, nil if transactions state their profile
	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
}

// client is one connection of the pool.
type client struct {
	pool   *clientPool
	link   *wire.Link
	mu     sync.Mutex
	lastID uint64
	sentAt map[uint64]time.Time

	keyBuffer, attributesBuffer []byte
}

var requestPayload = []byte("a reading of 64 bytes, as a gateway of a truck would send it.....")

// putRequest buffers one request. The caller flushes the link.
func (c *client) putRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.sentAt[c.lastID] = time.Now()
	c.keyBuffer = strconv.AppendUint(c.keyBuffer[:0], c.lastID*0x9e3779b97f4a7c15, 16)
	message := &wire.Ask{ID: c.lastID, Timeout: 4_000_000, Payload: requestPayload}
	if samples := c.pool.attributeSamples; samples == nil {
		message.Key = c.keyBuffer
	} else {
		c.attributesBuffer = wire.AppendAttribute(append(c.attributesBuffer[:0], samples[c.lastID%uint64(len(samples))]...), "id",
			&match.RawValue{Kind: match.Text, Text: string(c.keyBuffer)})
		message.Attributes = c.attributesBuffer
	}
	c.link.Put(wire.KindAsk, message)
}

// answerHandler returns the handler of a client's frames, which ignores all frames if c is nil. Without a rate, it
// replaces each answered request by another one.
func (p *clientPool) answerHandler(c *client) wire.Handler {
	return func(_ *wire.Link, kind wire.Kind, body []byte) error {
		var answer wire.Answer
		if kind != wire.KindAnswer || c == nil {
			return nil
		}
		if err := answer.Read(body); err != nil {
			return err
		}
		c.mu.Lock()
		latency := time.Since(c.sentAt[answer.ID])
		delete(c.sentAt, answer.ID)
		c.mu.Unlock()
		p.completed.Add(1)
		if answer.Outcome == uint32(pb.Outcome_SATISFIED) {
			p.satisfied.Add(1)
		}
		p.mu.Lock()
		_ = p.latency.RecordValue(max(1, latency.Microseconds()))
		p.mu.Unlock()
		if p.options.Rate == 0 && p.running.Load() {
			c.putRequest()
			c.link.Flush()
		}
		return nil
	}
}

// connect opens the connections of the pool.
func (p *clientPool) connect(address string) error {
	p.reset()
	for range p.options.Connections {
		c := &client{pool: p, sentAt: map[uint64]time.Time{}}
		link, err := wire.Dial(address, 5*time.Second, wire.DefaultLimits, p.answerHandler(c), nil)
		if err != nil {
			return fmt.Errorf("client %d: %w", len(p.clients), err)
		}
		c.link = link
		link.Send(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion})
		p.clients = append(p.clients, c)
	}
	return nil
}

// reset sets the counts and the latencies to zero.
func (p *clientPool) reset() {
	p.completed.Store(0)
	p.satisfied.Store(0)
	p.mu.Lock()
	p.latency = hdrhistogram.New(1, 60_000_000, 3)
	p.mu.Unlock()
}

// generateLoad sends requests for the duration, then waits up to 5 s for the open ones. It returns the time in which it
// sent.
func (p *clientPool) generateLoad(duration time.Duration) time.Duration {
	start := time.Now()
	p.running.Store(true)
	if p.options.Rate == 0 {
		for _, c := range p.clients {
			for range p.options.InFlightPerConnection {
				c.putRequest()
			}
			c.link.Flush()
		}
		time.Sleep(duration)
	} else {
		rng := rand.New(rand.NewSource(1))
		for next := start; time.Since(start) < duration; {
			next = next.Add(time.Duration(rng.ExpFloat64() / p.options.Rate * float64(time.Second)))
			if wait := time.Until(next); wait > 50*time.Microsecond {
				time.Sleep(wait)
			}
			c := p.clients[rng.Intn(len(p.clients))]
			c.putRequest()
			c.link.Flush()
		}
	}
	p.running.Store(false)
	elapsed := time.Since(start)
	for range 500 {
		unanswered := 0
		for _, c := range p.clients {
			c.mu.Lock()
			unanswered += len(c.sentAt)
			c.mu.Unlock()
		}
		if unanswered == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return elapsed
}

func (p *clientPool) close() {
	for _, c := range p.clients {
		c.link.Close(wire.ErrClosed)
	}
}

// readCounters reads the metrics without labels from a metrics page.
func readCounters(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	byName := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			byName[name] = v
		}
	}
	return byName, lines.Err()
}

// cpuTime returns the CPU time that a process has used. The kernel counts it in ticks of 10 ms.
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

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// PrintResults writes results as a table.
func PrintResults(w io.Writer, results ...*Result) {
	for _, result := range results {
		fmt.Fprintf(w, "%-7s %7d completed, %8.0f per second, %8.0f per CPU second, %5.1f allocations and %6.0f bytes per transaction, "+
			"p50 %v p99 %v p99.9 %v, %.2f%% satisfied, %.1f MB resident (%.1f before %d connections)\n", result.Name, result.Completed,
			result.PerSecond, result.PerCPUSecond, result.AllocsEach, result.BytesEach, result.P50, result.P99, result.P999,
			100*result.SatisfiedShare, float64(result.ResidentBytes)/1e6,
			float64(result.ResidentBytesAtStart)/1e6, result.Connections)
	}
}
