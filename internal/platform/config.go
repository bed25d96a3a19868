// Package platform is the ends of a sentry on the operators' platform: clients and workers in RESP2, discovery over
// HTTP, votes and news in lines of text, peers in datagrams. It decides nothing.
package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"scalechute/internal/clock"
	"scalechute/internal/facts"
	"scalechute/internal/orders"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// Post is what the platform's configuration tells a sentry.
type Config struct {
	Name                 string
	DiscoveryAddress     string
	ControlPlaneAddress  string
	PeerListenAddress    string
	PeerBroadcastAddress string
	PeerAddresses        []string // by position
	MemoryMB             int64
	Cores                float64
	MaxSockets           int
	ReleaseStatus        *pb.News
	InitialList          *pb.Report
	Settings             *orders.Settings
	names                *facts.Names
	wall                 *clock.WallClock
}

// ReadPost reads the configuration that the environment names.
func ReadConfig(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p, err := parsePost(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

// news is where a build stands, as the configuration and the desk's lines tell it alike.
type news struct {
	Build uint32
	Stage uint32
	Phase string
	Cap   float64
	AgeMS float64 `json:"age_ms"`
}

func parsePost(raw []byte) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int
		}
		PeerListen string `json:"peer_listen"`
		Peers      []string
		PeersAll   string `json:"peers_all"`
		Desk       struct {
			Address string
			News    *news
		} `json:"release_api"`
		Known    *targets
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("found no configuration, expected one in JSON: %w", err)
	}
	for _, x := range []struct{ name, address string }{{"listen", f.Listen}, {"discovery", f.Discovery},
		{"release_api.address", f.Desk.Address}} {
		if _, _, err := net.SplitHostPort(x.address); err != nil {
			return nil, fmt.Errorf("%s: found %q, expected an address and a port", x.name, x.address)
		}
	}
	if f.Limits.MemoryMB < 1 || f.Limits.Sockets < 4*ownSockets || !(f.Limits.Cores > 0) {
		return nil, fmt.Errorf("limits: found %+v, expected cores, megabytes, and at least %d sockets", f.Limits, 4*ownSockets)
	}
	zones := map[string]logic.ZoneID{}
	standing, names, err := facts.DecodeConfig(f.Settings, zones)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(names.Profiles) == 0 || standing.Position < 0 || int(standing.Position) >= standing.Sentries ||
		standing.MaxHandOffs < 1 || standing.ConnectTimeout < 1 {
		return nil, fmt.Errorf("settings: found %d classes, position %d of %d, %d attempts, %d us to connect, expected each",
			len(names.Profiles), standing.Position, standing.Sentries, standing.MaxHandOffs, standing.ConnectTimeout)
	}
	if err := sound(standing, names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	standing.ListChangeDelay = logic.Micros(noticeWithin / time.Microsecond)
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: found %q, expected a number of 16 digits", f.Seed)
	}
	p := &Config{Name: f.Name, DiscoveryAddress: f.Discovery, ControlPlaneAddress: f.Desk.Address, PeerListenAddress: f.PeerListen, PeerAddresses: f.Peers,
		PeerBroadcastAddress: f.PeersAll, MemoryMB: f.Limits.MemoryMB, Cores: f.Limits.Cores, MaxSockets: f.Limits.Sockets, names: names,
		InitialList: &pb.Report{Whole: true}, wall: clock.NewWallClock()}
	if f.Known != nil {
		if p.InitialList, err = f.Known.report(p.wall); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if f.Desk.News != nil {
		if p.ReleaseStatus, err = f.Desk.News.told(); err != nil {
			return nil, fmt.Errorf("release_api: %w", err)
		}
	}
	p.Settings = &orders.Settings{Policy: standing, Endpoints: orders.Endpoints{Listen: f.Listen, Seed: int64(seed)},
		ProfileNames: byPlace(names.Profiles), AccountNames: byPlace(names.Accounts), Zones: byPlace(zones)}
	ways := p.MaxSockets - p.clientLimit() - ownSockets
	p.Settings.Bounds = orders.Bounds{InboxEvents: 1024, OpenTransactions: p.MaxSockets, ConnectionsPerWorker: ways, HandOffsPerConnection: max(1, names.StreamsPerConnection),
		WorkerConnections: ways, IdleTimeoutDivisor: 2}
	return p, nil
}

// sound refuses settings that contradict themselves.
func sound(o logic.Config, names *facts.Names) error {
	for _, x := range [...]struct {
		what         string
		named, given int
	}{{"classes", len(names.Profiles), len(o.Profiles)}, {"tenants", len(names.Accounts), len(o.Accounts)}} {
		if x.named != x.given {
			return fmt.Errorf("found %d names of %d %s, expected one of its own for each", x.named, x.given, x.what)
		}
	}
	for name, i := range names.Profiles {
		if p := o.Profiles[i]; name == "" || p.DueTime <= 0 || p.MaxDeadline <= 0 {
			return fmt.Errorf("class %q: found an aim of %d us and a deadline of %d us, expected a name and both", name, p.DueTime, p.MaxDeadline)
		}
	}
	return nil
}

// byPlace lists names by their numbers.
func byPlace[ID ~int](names map[string]ID) []string {
	list := make([]string, len(names))
	for name, i := range names {
		list[i] = name
	}
	return list
}

// ownSockets are descriptors for all but clients and workers: the listener, pollers, discovery, desk, peers, standard ones,
// and connections that close while others are accepted.
const ownSockets = 40

// clientLimit is how many clients may be connected: those that ask need a third of the descriptors at the most.
func (p *Config) clientLimit() int { return p.MaxSockets / 3 }

// noticeWithin is how long after discovery had a change it counts as told, whether or not it arrived (PROTOCOL, Figures).
const noticeWithin = 6 * time.Second

// targets is what discovery tells.
type targets struct {
	Rev     uint64
	All     bool
	Targets []struct {
		UID      string
		Endpoint string
		AZ       string
		PodGroup uint32 `json:"pod_group"`
		State    string
		Hint     float64 `json:"capacity_hint"`
		BootMS   int64   `json:"boot_ms"`
		Release  uint32
	}
}

var states = map[string]pb.Line_State{"active": pb.Line_READY, "leaving": pb.Line_DRAINING, "left": pb.Line_GONE}

// report gives what discovery told in the sentry's terms. A server's start comes as a stamp of the platform's clock.
func (t *targets) report(wall *clock.WallClock) (*pb.Report, error) {
	m := &pb.Report{Whole: t.All, Version: t.Rev}
	for _, x := range t.Targets {
		state, ok := states[x.State]
		if !ok {
			return nil, fmt.Errorf("target %s: found state %q, expected active, leaving or left", x.UID, x.State)
		}
		if _, _, err := net.SplitHostPort(x.Endpoint); x.UID == "" || err != nil && state != pb.Line_GONE {
			return nil, fmt.Errorf("target %q: found endpoint %q, expected an id and an address with a port", x.UID, x.Endpoint)
		}
		line := &pb.Line{Id: x.UID, Address: x.Endpoint, Build: x.Release, Zone: x.AZ, Cell: x.PodGroup, Size: x.Hint,
			State: state, Life: uint64(x.BootMS)<<20 ^ uint64(x.Release)} // another build is another life
		if x.BootMS > 0 {
			line.Young, line.Age = true, uint64(wall.Age(time.UnixMilli(x.BootMS))/time.Microsecond)
		}
		m.Lines = append(m.Lines, line)
	}
	return m, nil
}

var phases = map[string]logic.Phase{"Progressing": logic.OnTrial, "Aborting": logic.RollingBack, "Healthy": logic.Released,
	"Aborted": logic.Withdrawn}

// told is the news, if it holds together.
func (n *news) told() (*pb.News, error) {
	phase, known := phases[n.Phase]
	if !known || !(n.Cap >= 0 && n.Cap <= 1) || !(n.AgeMS >= 0 && n.AgeMS < 1e12) {
		return nil, fmt.Errorf("news: found %+v, expected a phase, a cap from 0 to 1 and an age", *n)
	}
	return &pb.News{Valid: true, Build: n.Build, Stage: n.Stage, Phase: uint32(phase), Cap: n.Cap, Age: uint64(n.AgeMS * 1000)}, nil
}

// readNews reads a line's words: build, stage, phase, cap and age.
func readNews(words []string) (*pb.News, error) {
	if len(words) != 5 {
		return nil, fmt.Errorf("news: found %d words, expected 5", len(words))
	}
	build, err1 := strconv.ParseUint(words[0], 10, 31)
	stage, err2 := strconv.ParseUint(words[1], 10, 16)
	share, err3 := strconv.ParseFloat(words[3], 64)
	age, err4 := strconv.ParseUint(words[4], 10, 40)
	if err := cmp.Or(err1, err2, err3, err4); err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return (&news{uint32(build), uint32(stage), words[2], share, float64(age)}).told()
}
