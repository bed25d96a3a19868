// Package platform implements sentry.Transport for the operators' platform and reads the platform's configuration.
// Clients and workers use RESP2 over TCP, discovery serves the list of servers over HTTP, the control plane takes votes
// and reports the release status in lines of text over TCP, and peers exchange UDP datagrams. A Platform connects one
// sentry to all of them; it makes no routing or release decisions.
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

// Config is the platform's configuration for one sentry.
type Config struct {
	Name                 string
	DiscoveryAddress     string
	ControlPlaneAddress  string
	PeerListenAddress    string
	PeerBroadcastAddress string
	PeerAddresses        []string // by the peers' positions
	MemoryMB             int64
	Cores                float64
	MaxSockets           int        // file descriptors of the process
	ReleaseStatus        *pb.News   // as of the configuration; nil if it has none
	InitialList          *pb.Report // the worker list as of the configuration
	Settings             *orders.Settings
	names                *facts.Names
	wallClock            *clock.WallClock
}

// ReadConfig reads the configuration from a JSON file.
func ReadConfig(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	config, err := parseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return config, nil
}

// releaseStatus is the state of a release, as both the configuration and the control plane's lines give it.
type releaseStatus struct {
	Build uint32
	Stage uint32
	Phase string
	Cap   float64
	AgeMS float64 `json:"age_ms"`
}

// parseConfig parses and checks the JSON text of a configuration.
func parseConfig(raw []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int
		}
		PeerListen   string `json:"peer_listen"`
		Peers        []string
		PeersAll     string `json:"peers_all"`
		ControlPlane struct {
			Address string
			News    *releaseStatus
		} `json:"release_api"`
		Known    *targetList
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("found no configuration, expected one in JSON: %w", err)
	}
	for _, endpoint := range []struct{ name, address string }{{"listen", file.Listen}, {"discovery", file.Discovery},
		{"release_api.address", file.ControlPlane.Address}} {
		if _, _, err := net.SplitHostPort(endpoint.address); err != nil {
			return nil, fmt.Errorf("%s: found %q, expected an address and a port", endpoint.name, endpoint.address)
		}
	}
	if file.Limits.MemoryMB < 1 || file.Limits.Sockets < 4*reservedSockets || !(file.Limits.Cores > 0) {
		return nil, fmt.Errorf("limits: found %+v, expected cores, megabytes, and at least %d sockets", file.Limits, 4*reservedSockets)
	}
	zones := map[string]logic.ZoneID{}
	policy, names, err := facts.DecodeConfig(file.Settings, zones)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(names.Profiles) == 0 || policy.Position < 0 || int(policy.Position) >= policy.Sentries ||
		policy.MaxHandOffs < 1 || policy.ConnectTimeout < 1 {
		return nil, fmt.Errorf("settings: found %d classes, position %d of %d, %d attempts, %d us to connect, expected each",
			len(names.Profiles), policy.Position, policy.Sentries, policy.MaxHandOffs, policy.ConnectTimeout)
	}
	if err := validateSettings(policy, names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	policy.ListChangeDelay = logic.Micros(listChangeDelay / time.Microsecond)
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: found %q, expected a number of 16 digits", file.Seed)
	}
	config := &Config{Name: file.Name, DiscoveryAddress: file.Discovery, ControlPlaneAddress: file.ControlPlane.Address,
		PeerListenAddress: file.PeerListen, PeerAddresses: file.Peers, PeerBroadcastAddress: file.PeersAll,
		MemoryMB: file.Limits.MemoryMB, Cores: file.Limits.Cores, MaxSockets: file.Limits.Sockets, names: names,
		InitialList: &pb.Report{Whole: true}, wallClock: clock.NewWallClock()}
	if file.Known != nil {
		if config.InitialList, err = file.Known.toReport(config.wallClock); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if file.ControlPlane.News != nil {
		if config.ReleaseStatus, err = file.ControlPlane.News.toProto(); err != nil {
			return nil, fmt.Errorf("release_api: %w", err)
		}
	}
	config.Settings = &orders.Settings{Policy: policy, Endpoints: orders.Endpoints{Listen: file.Listen, Seed: int64(seed)},
		ProfileNames: namesByIndex(names.Profiles), AccountNames: namesByIndex(names.Accounts), Zones: namesByIndex(zones)}
	maxWorkerConns := config.MaxSockets - config.maxClients() - reservedSockets
	config.Settings.Policy.MaxOpenHandOffs = maxWorkerConns // each has a connection of its own
	config.Settings.Bounds = orders.Bounds{InboxEvents: 1024, OpenTransactions: config.MaxSockets, ConnectionsPerWorker: maxWorkerConns,
		HandOffsPerConnection: max(1, names.StreamsPerConnection), WorkerConnections: maxWorkerConns, IdleTimeoutDivisor: 2}
	return config, nil
}

// validateSettings checks that each class and tenant has a name of its own, and that each class has a due time and a
// deadline.
func validateSettings(config logic.Config, names *facts.Names) error {
	for _, count := range [...]struct {
		what         string
		named, given int
	}{{"classes", len(names.Profiles), len(config.Profiles)}, {"tenants", len(names.Accounts), len(config.Accounts)}} {
		if count.named != count.given {
			return fmt.Errorf("found %d names of %d %s, expected one of its own for each", count.named, count.given, count.what)
		}
	}
	for name, i := range names.Profiles {
		if profile := config.Profiles[i]; name == "" || profile.DueTime <= 0 || profile.MaxDeadline <= 0 {
			return fmt.Errorf("class %q: found an aim of %d us and a deadline of %d us, expected a name and both",
				name, profile.DueTime, profile.MaxDeadline)
		}
	}
	return nil
}

// namesByIndex turns a map from names to indexes into a slice of names.
func namesByIndex[ID ~int](names map[string]ID) []string {
	list := make([]string, len(names))
	for name, i := range names {
		list[i] = name
	}
	return list
}

// reservedSockets is the number of descriptors for other uses than clients and workers: the listener, pollers,
// discovery, the control plane, peers, standard streams, and connections that are closing while others are accepted.
const reservedSockets = 40

// unlinkedSockets is the part of reservedSockets for what is no connection to a client, a worker or the control plane, and for
// sockets that are duplicated while they are dialled.
const unlinkedSockets = 20

// maxClients returns the limit on client connections. Clients that send requests need at most a third of the
// descriptors.
func (c *Config) maxClients() int { return c.MaxSockets / 3 }

// listChangeDelay is the time after a change at discovery from which a sentry counts as notified of it, whether or not
// the change arrived (PROTOCOL page, Figures).
const listChangeDelay = 6 * time.Second

// targetList is a response of discovery: the list of servers, or what changed in it.
type targetList struct {
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

// targetStates maps discovery's states of a server to those of a worker.
var targetStates = map[string]pb.Line_State{"active": pb.Line_READY, "leaving": pb.Line_DRAINING, "left": pb.Line_GONE}

// toReport converts a response to the sentry's form. Discovery gives a server's start time by the platform's clock.
func (t *targetList) toReport(wall *clock.WallClock) (*pb.Report, error) {
	report := &pb.Report{Whole: t.All, Version: t.Rev}
	for _, target := range t.Targets {
		state, ok := targetStates[target.State]
		if !ok {
			return nil, fmt.Errorf("target %s: found state %q, expected active, leaving or left", target.UID, target.State)
		}
		if _, _, err := net.SplitHostPort(target.Endpoint); target.UID == "" || err != nil && state != pb.Line_GONE {
			return nil, fmt.Errorf("target %q: found endpoint %q, expected an id and an address with a port", target.UID, target.Endpoint)
		}
		line := &pb.Line{Id: target.UID, Address: target.Endpoint, Build: target.Release, Zone: target.AZ,
			Cell: target.PodGroup, Size: target.Hint, State: state, Life: uint64(target.BootMS)<<20 ^ uint64(target.Release)} // a new build is a new process
		if target.BootMS > 0 {
			line.Young, line.Age = true, uint64(wall.Age(time.UnixMilli(target.BootMS))/time.Microsecond)
		}
		report.Lines = append(report.Lines, line)
	}
	return report, nil
}

// phasesByName maps the platform's names for the phases of a release.
var phasesByName = map[string]logic.Phase{"Progressing": logic.OnTrial, "Aborting": logic.RollingBack, "Healthy": logic.Released,
	"Aborted": logic.Withdrawn}

// toProto converts the status to the sentry's form and checks its values.
func (s *releaseStatus) toProto() (*pb.News, error) {
	phase, known := phasesByName[s.Phase]
	if !known || !(s.Cap >= 0 && s.Cap <= 1) || !(s.AgeMS >= 0 && s.AgeMS < 1e12) {
		return nil, fmt.Errorf("news: found %+v, expected a phase, a cap from 0 to 1 and an age", *s)
	}
	return &pb.News{Valid: true, Build: s.Build, Stage: s.Stage, Phase: uint32(phase), Cap: s.Cap, Age: uint64(s.AgeMS * 1000)}, nil
}

// parseReleaseStatus parses the words of a line: build, stage, phase, cap and age in milliseconds.
func parseReleaseStatus(words []string) (*pb.News, error) {
	if len(words) != 5 {
		return nil, fmt.Errorf("news: found %d words, expected 5", len(words))
	}
	build, err1 := strconv.ParseUint(words[0], 10, 31)
	stage, err2 := strconv.ParseUint(words[1], 10, 16)
	exposureCap, err3 := strconv.ParseFloat(words[3], 64)
	age, err4 := strconv.ParseUint(words[4], 10, 40)
	if err := cmp.Or(err1, err2, err3, err4); err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return (&releaseStatus{uint32(build), uint32(stage), words[2], exposureCap, float64(age)}).toProto()
}
