// Package drill runs sentries as processes against stand-ins on loopback through a scripted day of troubles, and has
// the record of what passed on the sockets audited.
package drill

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"scalechute/internal/hclread"
	"scalechute/internal/orders"
	"scalechute/logic"
	"scalechute/standin"
)

// Kinds are the troubles that a day may have.
var FaultKinds = []string{"bad_build", "balancer_crash", "balancer_roll", "balancer_stall", "burst", "control_down", "crash",
	"fast_errors", "handshake_slow", "hot_caller", "hot_key", "neighbour", "one_sided", "peer_down", "probe_fail", "reload",
	"shift", "slow", "slow_link", "zone_cut"}

// Blocks names those of a drill's file that are no sentry's orders.
var Blocks = []string{"drill", "fleet", "load", "release", "trouble"}

// Day is what a drill's file says.
type Scenario struct {
	Name        string
	Settings    *orders.Settings
	shared      []byte // the blocks of orders, as they stand in the file
	Duration    logic.Micros
	Slack       logic.Micros
	Seed        int64
	RunBaseline bool
	Fleet       FleetConfig
	Workload    standin.Workload
	Releases    []Release
	Faults      []Fault
}

// FleetPlan is what the stand-ins are made of.
type FleetConfig struct {
	WorkerCount    int
	CoresPerWorker int
	SpeedSpread    float64 // of the workers' speeds about 1
	WarmUp         logic.Micros
	ColdSpeedShare float64
	StartDelay     logic.Micros
	ListDelay      logic.Micros
	StatusDelay    logic.Micros
	LinkDelay      logic.Micros // one way between zones
}

// Release is a build that is put on trial.
type Release struct {
	Build    logic.BuildID
	At       logic.Micros
	Behavior standin.BuildBehavior
}

// Trouble is one entry of the timeline. What its figures mean depends on its kind; docs/operating.md has a table.
type Fault struct {
	Kind      string
	At        logic.Micros
	Duration  logic.Micros
	Count     int     // workers or sentries
	First     int     // the first of them
	Magnitude float64 // a factor or a share
	Delay     logic.Micros
	Zone      int // -1: none named
	Mode      string
}

const (
	ms     = time.Millisecond
	second = logic.Micros(1_000_000)
)

// Load reads a drill's file and checks it whole.
func Load(name string) (*Scenario, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(name, f)
}

// Parse is Load for what was read already.
func Parse(name string, source []byte) (*Scenario, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(name, f)
}

func read(name string, f *hclread.File) (*Scenario, error) {
	root := f.Root
	d := &Scenario{Name: name, Settings: orders.ReadShared(root), shared: orders.SharedSource(root)}
	b := root.Block("drill", true)
	d.Duration = b.Duration("length", true, 10*time.Second, time.Second, 10*time.Minute)
	d.Slack = b.Duration("slack", false, 60*ms, 0, 5*time.Second)
	d.Seed = int64(b.Int("seed", false, 1, 0, 1<<31))
	d.RunBaseline = b.Bool("baseline", false)
	b.RejectUnknown()

	b = root.Block("fleet", true)
	d.Fleet = FleetConfig{
		WorkerCount: b.Int("workers", true, 4, 1, 256), CoresPerWorker: b.Int("cores", false, 2, 1, 64),
		SpeedSpread: b.Float("spread", false, 0.1, 0, 0.9), WarmUp: b.Duration("warm_up", false, 2*time.Second, 0, time.Minute),
		ColdSpeedShare: b.Float("cold_from", false, 0.5, 0.01, 1), StartDelay: b.Duration("boot", false, 300*ms, 0, time.Minute),
		ListDelay:   b.Duration("list_late", false, 300*ms, 0, time.Minute),
		StatusDelay: b.Duration("news_late", false, 200*ms, 0, time.Minute), LinkDelay: b.Duration("link", false, ms, 0, time.Second),
	}
	b.RejectUnknown()
	if o := &d.Settings.Policy; d.Fleet.WarmUp > o.WarmUp || d.Fleet.ColdSpeedShare < o.ColdCapacity {
		b.Errorf("workers are colder than the rules state: warm_up at most %d us and cold_from at least %g expected",
			o.WarmUp, o.ColdCapacity)
	}
	d.load(root.Block("load", true))
	for _, b := range root.Blocks("release", 1) {
		d.Releases = append(d.Releases, d.release(b))
	}
	for _, b := range root.Blocks("trouble", 1) {
		d.trouble(b)
	}
	root.RejectUnknown()
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return d, f.Err()
}

func (d *Scenario) load(b *hclread.Body) {
	d.Workload = standin.Workload{
		PerSecond: b.Float("per_second", true, 100, 0.1, 100_000), KeyCount: b.Int("keys", false, 1000, 1, 1<<20),
		ZipfExponent: b.Float("zipf", false, 0.7, 0, 3), MaxRetries: b.Int("retries", false, 2, 0, 10),
		Backoff: span(b.Duration("backoff", false, 30*ms, 0, time.Minute)), UseAttributes: b.Bool("attributes", false),
		ProfileNames: d.Settings.ProfileNames, AccountNames: d.Settings.AccountNames,
		TryTimeoutShare: b.Float("try_share", false, 0.9, 0.1, 1), AbandonShare: b.Float("leaves", false, 0, 0, 1),
	}
	d.Workload.Profiles = make([]standin.ProfileLoad, len(d.Settings.ProfileNames))
	total := 0.0
	for _, m := range b.Blocks("mix", 1) {
		at := slices.Index(d.Settings.ProfileNames, m.Labels[0])
		mix := standin.ProfileLoad{Share: m.Float("share", true, 0, 0, 1), MeanWork: m.Duration("work", true, ms, 10*time.Microsecond, time.Minute)}
		m.RejectUnknown()
		if at < 0 {
			m.Errorf("mix %q, expected one of the profiles %v", m.Labels[0], d.Settings.ProfileNames)
			continue
		}
		d.Workload.Profiles[at] = mix
		total += mix.Share
	}
	if total < 0.999 || total > 1.001 {
		b.Errorf("shares of all mixes are %g together, expected 1", total)
	}
	if d.Workload.UseAttributes && d.Settings.Routes == nil {
		b.AttributeErrorf("attributes", "transactions carry attributes only, expected routes for them")
	}
	for _, a := range d.Settings.Policy.Accounts {
		d.Workload.AccountShares = append(d.Workload.AccountShares, a.Share)
	}
	b.RejectUnknown()
}

func (d *Scenario) release(b *hclread.Body) Release {
	n, err := strconv.Atoi(b.Labels[0])
	if err != nil || n <= firstBuild || n > 65535 {
		b.Errorf("release %q, expected a whole number above %d", b.Labels[0], firstBuild)
	}
	r := Release{Build: logic.BuildID(n), At: b.Duration("at", true, 0, 0, 10*time.Minute)}
	r.Behavior = d.make(b)
	b.RejectUnknown()
	return r
}

// make reads how a build behaves.
func (d *Scenario) make(b *hclread.Body) standin.BuildBehavior {
	m := standin.BuildBehavior{
		RelativeSpeed: b.Float("speed", false, 1, 0.01, 10), ErrorShare: b.Float("errors", false, 0, 0, 1), FailingProfile: -1,
		SlowAfterAge: b.Duration("slow_after", false, 0, 0, 10*time.Minute), SlowFactor: b.Float("slow_by", false, 1, 1, 100),
		FleetSlowdown: b.Float("slows_all", false, 0, 0, 100),
	}
	if b.Has("profile") {
		m.FailingProfile = logic.ProfileID(b.Enum("profile", true, 0, d.Settings.ProfileNames...))
	}
	return m
}

func (d *Scenario) trouble(b *hclread.Body) {
	t := Fault{Kind: b.Labels[0], Zone: -1}
	if !slices.Contains(FaultKinds, t.Kind) {
		b.Errorf("trouble %q, expected one of %v", t.Kind, FaultKinds)
	}
	t.At = b.Duration("at", true, 0, 0, 10*time.Minute)
	if t.Kind == "bad_build" { // another word for a release that is bad
		t.Mode = b.Text("build", true, "")
		n, err := strconv.Atoi(t.Mode)
		if err != nil || n <= firstBuild || n > 65535 {
			b.AttributeErrorf("build", "found %q, expected a whole number above %d", t.Mode, firstBuild)
		}
		d.Releases = append(d.Releases, Release{Build: logic.BuildID(n), At: t.At, Behavior: d.make(b)})
		b.RejectUnknown()
		return
	}
	t.Duration = b.Duration("for", true, 0, 0, 10*time.Minute)
	t.Count = b.Int("count", false, 1, 1, 256)
	t.First = b.Int("first", false, 0, 0, 255)
	t.Magnitude = b.Float("size", false, defaultSize[t.Kind], 0, 1000)
	t.Delay = b.Duration("delay", false, 100*ms, 0, time.Minute)
	if b.Has("zone") && len(d.Settings.Zones) > 0 {
		t.Zone = b.Enum("zone", true, 0, d.Settings.Zones...)
	}
	if t.Kind == "control_down" {
		t.Mode = []string{"quiet", "deny", "late"}[b.Enum("how", false, 0, "quiet", "deny", "late")]
	}
	b.RejectUnknown()
	d.Faults = append(d.Faults, t)
}

// defaultSize is a kind's usual strength.
var defaultSize = map[string]float64{"burst": 2, "fast_errors": 0.6, "hot_caller": 0.5, "hot_key": 0.3, "neighbour": 2,
	"shift": 0.8, "slow": 4}

const firstBuild = 10

func span(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// sentryFile is the orders of one sentry of the drill.
func (d *Scenario) sentryFile(position int, zone, listen, memory, list, desk string, peers map[int]string) []byte {
	s := fmt.Appendf(nil, "sentry {\n  position = %d\n  zone = %q\n  listen = %q\n  memory = %q\n  list = %q\n  desk = %q\n  seed = %d\n",
		position, zone, listen, memory, list, desk, d.Seed*1000+int64(position)+1)
	for i := range d.Settings.Policy.Sentries {
		if peers[i] != "" {
			s = fmt.Appendf(s, "  peer \"%d\" {\n    address = %q\n  }\n", i, peers[i])
		}
	}
	return append(append(s, "}\n\n"...), d.shared...)
}

func seconds(m logic.Micros) float64 { return float64(m) / float64(second) }
