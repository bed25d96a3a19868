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

// still is a fleet that does not move.
type staticFleet struct{}

func (staticFleet) RollOut(logic.BuildID, float64) bool { return true }
func (staticFleet) DrainEarlierBuilds(logic.BuildID)    {}
func (staticFleet) DrainBuild(logic.BuildID)            {}

// Sentry measures a sentry, Relay the bare relay.
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

// Relay measures the bare relay.
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

// addresses are where what is measured listens and serves its metrics.
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

// run starts what is measured, loads it, and reads what it used.
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
	time.Sleep(300 * time.Millisecond) // the list comes
	result.ResidentBytesAtStart = residentBytes(cmd.Process.Pid)
	if err := p.connect(listen); err != nil {
		return nil, err
	}
	defer p.close()
	p.generateLoad(500 * time.Millisecond) // warm
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

// driver is the clients.
type clientPool struct {
	options          Options
	clients          []*client
	completed        atomic.Int64
	satisfied        atomic.Int64
	running          atomic.Bool
	attributeSamples [][]byte // attributes but for the id, nil if transactions say what they are
	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
}

type client struct {
	pool   *clientPool
	link   *wire.Link
	mu     sync.Mutex
	lastID uint64
	sentAt map[uint64]time.Time

	keyBuffer, attributesBuffer []byte
}

var requestPayload = []byte("a reading of 64 bytes, as a gateway of a truck would send it.....")

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
			&match.Carried{Kind: match.Text, Text: string(c.keyBuffer)})
		message.Attributes = c.attributesBuffer
	}
	c.link.Put(wire.KindAsk, message)
}

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

func (p *clientPool) reset() {
	p.completed.Store(0)
	p.satisfied.Store(0)
	p.mu.Lock()
	p.latency = hdrhistogram.New(1, 60_000_000, 3)
	p.mu.Unlock()
}

// load asks for a time and waits for what is out.
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

// counters reads the plain counters of a metrics page.
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

func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Print writes readings as a table.
func PrintResults(w io.Writer, results ...*Result) {
	for _, result := range results {
		fmt.Fprintf(w, "%-7s %7d done, %8.0f a second, %8.0f for a second of one core, %5.1f allocations and %6.0f bytes each, "+
			"p50 %v p99 %v p99.9 %v, %.2f%% satisfied, %.1f MB resident (%.1f before %d connections)\n", result.Name, result.Completed, result.PerSecond,
			result.PerCPUSecond, result.AllocsEach, result.BytesEach, result.P50, result.P99, result.P999, 100*result.SatisfiedShare, float64(result.ResidentBytes)/1e6,
			float64(result.ResidentBytesAtStart)/1e6, result.Connections)
	}
}
