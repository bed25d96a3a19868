// Package drill runs sentries as processes against stand-ins on loopback, and injects faults by a scripted timeline. A
// Scenario is read from a drill's file; Run plays it, has package audit check the recorded events, and returns a Result.
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

// FaultKinds lists the kinds of faults that a scenario may contain.
var FaultKinds = []string{"bad_build", "balancer_crash", "balancer_roll", "balancer_stall", "burst", "control_down", "crash",
	"fast_errors", "handshake_slow", "hot_caller", "hot_key", "neighbour", "one_sided", "peer_down", "probe_fail", "reload",
	"shift", "slow", "slow_link", "zone_cut"}

// Blocks lists the types of the blocks of a drill's file that are not part of a sentry's settings.
var Blocks = []string{"drill", "fleet", "load", "release", "trouble"}

// Scenario is the content of a drill's file.
type Scenario struct {
	Name         string
	Settings     *orders.Settings
	sharedSource []byte // the blocks of sentry settings as they are in the file
	Duration     logic.Micros
	Slack        logic.Micros // of the audit
	Seed         int64
	RunBaseline  bool // the scenario is also run with random workers
	Fleet        FleetConfig
	Workload     standin.Workload
	Releases     []Release
	Faults       []Fault
}

// FleetConfig configures the stand-in workers and the delays between the stand-ins.
type FleetConfig struct {
	WorkerCount    int
	CoresPerWorker int
	SpeedSpread    float64      // largest deviation of the workers' speeds from 1
	WarmUp         logic.Micros // from a worker's start until it is warm
	ColdSpeedShare float64      // a worker's speed at its start, as a share of its speed when warm
	StartDelay     logic.Micros // until a new worker listens
	ListDelay      logic.Micros // until discovery lists a change
	StatusDelay    logic.Micros // of the control plane's messages
	LinkDelay      logic.Micros // one way between zones
}

// Release is the release of a build that is put on trial at a time.
type Release struct {
	Build    logic.BuildID
	At       logic.Micros
	Behavior standin.BuildBehavior
}

// Fault is an injected fault of the timeline. What its fields mean depends on its kind; docs/operating.md has a table.
type Fault struct {
	Kind      string
	At        logic.Micros
	Duration  logic.Micros
	Count     int     // of workers or sentries
	First     int     // index of the first of them
	Magnitude float64 // a factor or a share
	Delay     logic.Micros
	Zone      int // -1 if no zone is given
	Mode      string
}

const (
	ms     = time.Millisecond
	second = logic.Micros(1_000_000)
)

// Load reads and checks a drill's file.
func Load(name string) (*Scenario, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return readScenario(name, f)
}

// Parse is Load for a file that has already been read.
func Parse(name string, source []byte) (*Scenario, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return readScenario(name, f)
}

// readScenario reads all blocks of a drill's file.
func readScenario(name string, f *hclread.File) (*Scenario, error) {
	root := f.Root
	s := &Scenario{Name: name, Settings: orders.ReadShared(root), sharedSource: orders.SharedSource(root)}
	b := root.Block("drill", true)
	s.Duration = b.Duration("length", true, 10*time.Second, time.Second, 10*time.Minute)
	s.Slack = b.Duration("slack", false, 60*ms, 0, 5*time.Second)
	s.Seed = int64(b.Int("seed", false, 1, 0, 1<<31))
	s.RunBaseline = b.Bool("baseline", false)
	b.RejectUnknown()

	b = root.Block("fleet", true)
	s.Fleet = FleetConfig{
		WorkerCount: b.Int("workers", true, 4, 1, 256), CoresPerWorker: b.Int("cores", false, 2, 1, 64),
		SpeedSpread: b.Float("spread", false, 0.1, 0, 0.9), WarmUp: b.Duration("warm_up", false, 2*time.Second, 0, time.Minute),
		ColdSpeedShare: b.Float("cold_from", false, 0.5, 0.01, 1), StartDelay: b.Duration("boot", false, 300*ms, 0, time.Minute),
		ListDelay:   b.Duration("list_late", false, 300*ms, 0, time.Minute),
		StatusDelay: b.Duration("news_late", false, 200*ms, 0, time.Minute), LinkDelay: b.Duration("link", false, ms, 0, time.Second),
	}
	b.RejectUnknown()
	if config := &s.Settings.Policy; s.Fleet.WarmUp > config.WarmUp || s.Fleet.ColdSpeedShare < config.ColdCapacity {
		b.Errorf("workers are colder than the settings allow, expected warm_up of at most %d us and cold_from of at least %g",
			config.WarmUp, config.ColdCapacity)
	}
	s.readWorkload(root.Block("load", true))
	for _, b := range root.Blocks("release", 1) {
		s.Releases = append(s.Releases, s.readRelease(b))
	}
	for _, b := range root.Blocks("trouble", 1) {
		s.readFault(b)
	}
	root.RejectUnknown()
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s, f.Err()
}

// readWorkload reads the block load.
func (s *Scenario) readWorkload(b *hclread.Body) {
	s.Workload = standin.Workload{
		PerSecond: b.Float("per_second", true, 100, 0.1, 100_000), KeyCount: b.Int("keys", false, 1000, 1, 1<<20),
		ZipfExponent: b.Float("zipf", false, 0.7, 0, 3), MaxRetries: b.Int("retries", false, 2, 0, 10),
		Backoff: duration(b.Duration("backoff", false, 30*ms, 0, time.Minute)), UseAttributes: b.Bool("attributes", false),
		ProfileNames: s.Settings.ProfileNames, AccountNames: s.Settings.AccountNames,
		TryTimeoutShare: b.Float("try_share", false, 0.9, 0.1, 1), AbandonShare: b.Float("leaves", false, 0, 0, 1),
	}
	s.Workload.Profiles = make([]standin.ProfileLoad, len(s.Settings.ProfileNames))
	totalShare := 0.0
	for _, mixBlock := range b.Blocks("mix", 1) {
		index := slices.Index(s.Settings.ProfileNames, mixBlock.Labels[0])
		mix := standin.ProfileLoad{Share: mixBlock.Float("share", true, 0, 0, 1),
			MeanWork: mixBlock.Duration("work", true, ms, 10*time.Microsecond, time.Minute)}
		mixBlock.RejectUnknown()
		if index < 0 {
			mixBlock.Errorf("mix %q, expected one of the profiles %v", mixBlock.Labels[0], s.Settings.ProfileNames)
			continue
		}
		s.Workload.Profiles[index] = mix
		totalShare += mix.Share
	}
	if totalShare < 0.999 || totalShare > 1.001 {
		b.Errorf("the shares of all mixes add up to %g, expected 1", totalShare)
	}
	if s.Workload.UseAttributes && s.Settings.Routes == nil {
		b.AttributeErrorf("attributes", "transactions carry attributes only, expected routes for them")
	}
	for _, a := range s.Settings.Policy.Accounts {
		s.Workload.AccountShares = append(s.Workload.AccountShares, a.Share)
	}
	b.RejectUnknown()
}

// readRelease reads a block release.
func (s *Scenario) readRelease(b *hclread.Body) Release {
	build, err := strconv.Atoi(b.Labels[0])
	if err != nil || build <= firstBuild || build > 65535 {
		b.Errorf("release %q, expected a whole number above %d", b.Labels[0], firstBuild)
	}
	release := Release{Build: logic.BuildID(build), At: b.Duration("at", true, 0, 0, 10*time.Minute)}
	release.Behavior = s.make(b)
	b.RejectUnknown()
	return release
}

// make reads the behavior of a build from a block release, or from a block trouble of the kind bad_build.
func (s *Scenario) make(b *hclread.Body) standin.BuildBehavior {
	behavior := standin.BuildBehavior{
		RelativeSpeed: b.Float("speed", false, 1, 0.01, 10), ErrorShare: b.Float("errors", false, 0, 0, 1), FailingProfile: -1,
		SlowAfterAge: b.Duration("slow_after", false, 0, 0, 10*time.Minute), SlowFactor: b.Float("slow_by", false, 1, 1, 100),
		FleetSlowdown: b.Float("slows_all", false, 0, 0, 100),
	}
	if b.Has("profile") {
		behavior.FailingProfile = logic.ProfileID(b.Enum("profile", true, 0, s.Settings.ProfileNames...))
	}
	return behavior
}

// readFault reads a block trouble.
func (s *Scenario) readFault(b *hclread.Body) {
	fault := Fault{Kind: b.Labels[0], Zone: -1}
	if !slices.Contains(FaultKinds, fault.Kind) {
		b.Errorf("trouble %q, expected one of %v", fault.Kind, FaultKinds)
	}
	fault.At = b.Duration("at", true, 0, 0, 10*time.Minute)
	if fault.Kind == "bad_build" { // the release of a build with faults
		fault.Mode = b.Text("build", true, "")
		build, err := strconv.Atoi(fault.Mode)
		if err != nil || build <= firstBuild || build > 65535 {
			b.AttributeErrorf("build", "found %q, expected a whole number above %d", fault.Mode, firstBuild)
		}
		s.Releases = append(s.Releases, Release{Build: logic.BuildID(build), At: fault.At, Behavior: s.make(b)})
		b.RejectUnknown()
		return
	}
	fault.Duration = b.Duration("for", true, 0, 0, 10*time.Minute)
	fault.Count = b.Int("count", false, 1, 1, 256)
	fault.First = b.Int("first", false, 0, 0, 255)
	fault.Magnitude = b.Float("size", false, defaultMagnitude[fault.Kind], 0, 1000)
	fault.Delay = b.Duration("delay", false, 100*ms, 0, time.Minute)
	if b.Has("zone") && len(s.Settings.Zones) > 0 {
		fault.Zone = b.Enum("zone", true, 0, s.Settings.Zones...)
	}
	if fault.Kind == "control_down" {
		fault.Mode = []string{"quiet", "deny", "late"}[b.Enum("how", false, 0, "quiet", "deny", "late")]
	}
	b.RejectUnknown()
	s.Faults = append(s.Faults, fault)
}

// defaultMagnitude is the default magnitude by kind of fault.
var defaultMagnitude = map[string]float64{"burst": 2, "fast_errors": 0.6, "hot_caller": 0.5, "hot_key": 0.3, "neighbour": 2,
	"shift": 0.8, "slow": 4}

// firstBuild is the build that runs when the drill starts.
const firstBuild = 10

func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// sentrySettings returns the settings file of a sentry.
func (s *Scenario) sentrySettings(position int, zone, address, listFile, discovery, controlPlane string, peers map[int]string) []byte {
	text := fmt.Appendf(nil, "sentry {\n  position = %d\n  zone = %q\n  listen = %q\n  memory = %q\n  list = %q\n  desk = %q\n  seed = %d\n",
		position, zone, address, listFile, discovery, controlPlane, s.Seed*1000+int64(position)+1)
	for i := range s.Settings.Policy.Sentries {
		if peers[i] != "" {
			text = fmt.Appendf(text, "  peer \"%d\" {\n    address = %q\n  }\n", i, peers[i])
		}
	}
	return append(append(text, "}\n\n"...), s.sharedSource...)
}

func seconds(m logic.Micros) float64 { return float64(m) / float64(second) }
