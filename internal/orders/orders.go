// Package orders reads a sentry's settings file: the configuration of the decision module, the addresses that the
// sentry listens on and connects to, its bounds and its routes. It also says which settings a reload may change.
package orders

import (
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"scalechute/internal/hclread"
	"scalechute/internal/routes"
	"scalechute/logic"
)

// Settings is the content of a sentry's settings file.
type Settings struct {
	Policy          logic.Config // of the decision module
	ProfileNames    []string     // by slot; empty for an unused slot
	AccountNames    []string     // by account number
	RemovedProfiles []bool       // by profile slot: a reload has removed the profile, and it is no longer accepted
	Zones           []string
	Endpoints       Endpoints
	Bounds          Bounds
	IncludedFiles   []string         // files that the settings file includes
	Routes          *routes.RouteSet // nil if clients send profile, account and key themselves
}

// Conflict is a change that a running sentry cannot apply: the block and setting in conflict, and what was expected.
type Conflict struct{ Block, Name, Message string }

// Error returns the block, the setting and the message.
func (c Conflict) Error() string { return c.Block + ": " + c.Name + ": " + c.Message }

// Conflicts lists the changes from s to updated that a running sentry cannot apply. It can apply all others.
func (s *Settings) Conflicts(updated *Settings) (conflicts []Conflict) {
	check := func(block, name string, current, next any) {
		if !reflect.DeepEqual(current, next) {
			conflicts = append(conflicts, Conflict{block, name,
				fmt.Sprintf("found %v, expected %v as the sentry runs with; it changes only at a restart", next, current)})
		}
	}
	current, next := &s.Endpoints, &updated.Endpoints
	check("sentry", "position", s.Policy.Position, updated.Policy.Position)
	check("sentry", "listen", current.Listen, next.Listen)
	check("sentry", "metrics", current.Metrics, next.Metrics)
	check("sentry", "memory", current.CachedListFile, next.CachedListFile)
	check("sentry", "list", current.Discovery, next.Discovery)
	check("sentry", "desk", current.ControlPlane, next.ControlPlane)
	check("sentry", "seed", current.Seed, next.Seed)
	check("sentry", "zone", s.Policy.Zone, updated.Policy.Zone)
	check("deployment", "zones", s.Zones, updated.Zones[:min(len(s.Zones), len(updated.Zones))])
	check("bounds", "inbox", s.Bounds.InboxEvents, updated.Bounds.InboxEvents)
	check("bounds", "hand_offs_per_connection", s.Bounds.HandOffsPerConnection, updated.Bounds.HandOffsPerConnection)
	check("bounds", "frame_bytes", s.Bounds.FrameBytes, updated.Bounds.FrameBytes)
	check("bounds", "unwritten_bytes", s.Bounds.UnwrittenBytes, updated.Bounds.UnwrittenBytes)
	for _, x := range []struct {
		kind             string
		current, updated []string
	}{{"profile", s.ProfileNames, updated.ProfileNames}, {"account", s.AccountNames, updated.AccountNames}} {
		for i, name := range x.updated {
			if i < len(x.current) && x.current[i] != "" && name != "" && x.current[i] != name {
				conflicts = append(conflicts, Conflict{x.kind + " " + name, "place", fmt.Sprintf(
					"found at place %d, expected %s there, as clients know it: use an empty place or a new one", i, x.current[i])})
			}
		}
	}
	return conflicts
}

// KeepSlots returns the settings for a sentry that has run with previous ones: a profile slot that the new settings
// leave empty keeps its old name, so that no other profile gets it, and accepts no transactions. Removed accounts at
// the end of the list are kept too.
func (s *Settings) KeepSlots(previous *Settings) *Settings {
	merged := *s
	merged.ProfileNames, merged.Policy.Profiles = slices.Clone(s.ProfileNames), slices.Clone(s.Policy.Profiles)
	merged.RemovedProfiles = make([]bool, max(len(s.ProfileNames), len(previous.ProfileNames)))
	for i, name := range previous.ProfileNames {
		merged.growProfiles(i)
		if name != "" && merged.ProfileNames[i] == "" {
			merged.ProfileNames[i], merged.Policy.Profiles[i], merged.RemovedProfiles[i] = name, previous.Policy.Profiles[i], true
		}
	}
	if n := len(s.AccountNames); n < len(previous.AccountNames) {
		merged.AccountNames = append(slices.Clone(s.AccountNames), previous.AccountNames[n:]...)
		merged.Policy.Accounts = append(slices.Clone(s.Policy.Accounts), previous.Policy.Accounts[n:]...)
	}
	return &merged
}

// growProfiles adds empty profile slots up to and including the given one. Empty slots accept no transactions.
func (s *Settings) growProfiles(slot int) {
	for len(s.ProfileNames) <= slot {
		s.ProfileNames = append(s.ProfileNames, "")
		s.Policy.Profiles = append(s.Policy.Profiles, logic.Profile{DueTime: 1_000_000, MaxDeadline: 1_000_000})
	}
}

// AcceptsProfile reports whether a slot has a profile whose transactions are accepted.
func (s *Settings) AcceptsProfile(slot int) bool {
	return slot < len(s.ProfileNames) && s.ProfileNames[slot] != "" && !(slot < len(s.RemovedProfiles) && s.RemovedProfiles[slot])
}

// MaxDeadline returns the longest max deadline of all profiles: no transaction is open for longer.
func (s *Settings) MaxDeadline() (longest logic.Micros) {
	for _, p := range s.Policy.Profiles {
		longest = max(longest, p.MaxDeadline)
	}
	return longest
}

// Endpoints holds the addresses and files of one sentry.
type Endpoints struct {
	Listen         string
	Metrics        string // empty for no metrics endpoint
	CachedListFile string // file that the last worker list is saved to; empty for none
	Discovery      string
	ControlPlane   string
	Peers          map[logic.SentryID]string
	Seed           int64 // of the decision module's random numbers; 0 to choose one at the start
}

// Bounds limits the resources of the sentry process. The decision module does not know them.
type Bounds struct {
	InboxEvents           int // events that wait for the event loop
	OpenTransactions      int
	ConnectionsPerWorker  int
	HandOffsPerConnection int // open at a time
	FrameBytes            int // of one message
	UnwrittenBytes        int // of one connection
	WorkerConnections     int // to all workers; 0 for no bound
	IdleTimeoutDivisor    int // the idle timeout of worker connections is divided by this; 0 means 1
}

// Load reads and checks a sentry's settings file. Its error lists all errors of the file.
func Load(name string) (*Settings, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f)
}

// Parse is Load for the content of a file.
func Parse(name string, source []byte) (*Settings, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f)
}

// LoadUpdate is Load for a sentry that runs with other settings: changes that it cannot apply are errors too.
func LoadUpdate(name string, running *Settings) (*Settings, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return readUpdate(f, running)
}

// ParseUpdate is LoadUpdate for the content of a file.
func ParseUpdate(name string, source []byte, running *Settings) (*Settings, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return readUpdate(f, running)
}

func read(f *hclread.File) (*Settings, error) { return readUpdate(f, nil) }

// readUpdate reads the settings of a file. With running settings, changes that their sentry cannot apply are errors.
func readUpdate(f *hclread.File, running *Settings) (*Settings, error) {
	s := ReadShared(f.Root)
	s.IncludedFiles = f.IncludedFiles
	s.readEndpoints(f.Root.Block("sentry", true))
	f.Root.RejectUnknown()
	if running != nil && f.Err() == nil {
		for _, conflict := range running.Conflicts(s) {
			kind, label, _ := strings.Cut(conflict.Block, " ")
			for _, b := range f.Root.Blocks(kind, labelCounts[kind]) {
				if label == "" || b.Labels[0] == label {
					b.AttributeErrorf(conflict.Name, "%s", conflict.Message)
				}
			}
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// SharedBlocks lists the kinds of blocks that are the same for all sentries of a deployment.
var SharedBlocks = []string{"deployment", "profile", "account", "allowed", "list", "rules", "trial", "prices", "bounds",
	"matching", "set", "measure", "attribute", "let", "route", "case"}

const (
	ms   = time.Millisecond
	hour = time.Hour
)

// ReadShared reads the blocks that are the same for all sentries of a deployment. Errors are recorded in the file.
func ReadShared(root *hclread.Body) *Settings {
	s := &Settings{}
	config := &s.Policy
	deployment := root.Block("deployment", true)
	config.Sentries = deployment.Int("sentries", true, 1, 1, 10_000)
	s.Zones = deployment.Texts("zones", true)
	deployment.RejectUnknown()
	for i, z := range s.Zones {
		for _, other := range s.Zones[:i] {
			if other == z {
				deployment.AttributeErrorf("zones", "found %q twice, expected each zone once", z)
			}
		}
	}
	s.readProfiles(root)
	s.readAccounts(root)
	s.readAllowed(root.Block("allowed", true))
	s.readList(root.Block("list", true))
	s.readRules(root.Block("rules", true))
	s.readTrial(root.Block("trial", true))
	prices := root.Block("prices", false)
	config.StaleBuildPrice = prices.Float("behind", false, 0, 0, 10)
	config.HarmPrice = prices.Float("harm", false, 0, 0, 100)
	config.CrossZonePrice = prices.Float("cross", false, 0, 0, 1)
	config.WastePrice = prices.Float("waste", false, 0, 0, 1)
	config.OverShareValue = prices.Float("over_share_value", false, 1, 0, 1)
	prices.RejectUnknown()
	bounds := root.Block("bounds", false)
	s.Bounds = Bounds{
		InboxEvents: bounds.Int("inbox", false, 16384, 64, 1<<20), OpenTransactions: bounds.Int("open", false, 20_000, 1, 1<<20),
		ConnectionsPerWorker:  bounds.Int("connections_per_worker", false, 8, 1, 1024),
		HandOffsPerConnection: bounds.Int("hand_offs_per_connection", false, 32, 1, 1<<16),
		FrameBytes:            bounds.Int("frame_bytes", false, 4<<20, 4096, 64<<20),
		UnwrittenBytes:        bounds.Int("unwritten_bytes", false, 1<<20, 4096, 256<<20),
	}
	bounds.RejectUnknown()
	s.Routes = routes.Read(root, s.ProfileNames, s.AccountNames)
	return s
}

// readProfiles reads the profile blocks into their slots. A block without a place gets the slot of its index
// among the profile blocks.
func (s *Settings) readProfiles(root *hclread.Body) {
	for i, b := range root.Blocks("profile", 1) {
		profile := logic.Profile{
			DueTime:        b.Duration("due_time", true, ms, ms, hour),
			MaxDeadline:    b.Duration("outer_limit", true, hour, ms, 24*hour),
			Value:          b.Float("value", false, 1, 0, 1e9),
			LateValueShare: b.Float("late_share", false, 0, 0, 1),
			Repeatability:  logic.Repeatability(b.Enum("repeat", true, int(logic.NonIdempotent), "redoable", "labelled", "irreversible")),
		}
		deduplicated := profile.Repeatability == logic.Deduplicated
		profile.DedupScope = logic.DedupScope(b.Enum("scope", deduplicated, 0, "all", "zone", "cell"))
		profile.DedupWindow = b.Duration("window", deduplicated, 0, ms, hour)
		if !deduplicated && (b.Has("scope") || b.Has("window")) {
			b.Errorf("profile %s has a scope or window, expected them with repeat = \"labelled\" only", b.Labels[0])
		}
		if profile.MaxDeadline < profile.DueTime {
			b.AttributeErrorf("outer_limit", "found less than due_time, expected at least as much")
		}
		for _, other := range s.ProfileNames {
			if other == b.Labels[0] {
				b.Errorf("profile %s is declared twice, expected once", other)
			}
		}
		slot := b.Int("place", false, min(i, 255), 0, 255)
		b.RejectUnknown()
		if b.Labels[0] == "" {
			b.Errorf("profile without a name, expected one")
		}
		s.growProfiles(slot)
		if other := s.ProfileNames[slot]; other != "" {
			b.AttributeErrorf("place", "found %d, expected one that profile %s does not have", slot, other)
			continue
		}
		s.ProfileNames[slot], s.Policy.Profiles[slot] = b.Labels[0], profile
	}
	if len(s.ProfileNames) == 0 {
		root.Errorf("no block profile, expected at least one")
	}
}

func (s *Settings) readAccounts(root *hclread.Body) {
	total := 0.0
	for _, b := range root.Blocks("account", 1) {
		account := logic.Account{Share: b.Float("share", true, 0, 0, 1), Quota: b.Float("quota", true, 0, 0, 1e9)}
		b.RejectUnknown()
		if total += account.Share; total > 1+1e-9 {
			b.AttributeErrorf("share", "found %g over all accounts so far, expected at most 1", total)
		}
		s.AccountNames = append(s.AccountNames, b.Labels[0])
		s.Policy.Accounts = append(s.Policy.Accounts, account)
	}
}

func (s *Settings) readAllowed(b *hclread.Body) {
	config := &s.Policy
	config.MayProbe, config.MayCancel = b.Bool("probes", false), b.Bool("cancel", true)
	config.MayHedge, config.MayMessage = b.Bool("copies", false), b.Bool("messages", false)
	config.MayNameRetryAfter = b.Bool("name_return", true)
	config.MaxHandOffs = b.Int("hand_offs", false, 3, 1, 100)
	config.MaxRetryAfter = b.Duration("most_return", false, time.Second, 0, hour)
	config.ConnectTimeout = b.Duration("connect_limit", false, 250*ms, ms, time.Minute)
	config.IdleTimeout = b.Duration("idle_close", false, 30*time.Second, 0, 24*hour)
	b.RejectUnknown()
}

func (s *Settings) readList(b *hclread.Body) {
	config := &s.Policy
	config.ListOnRequest = b.Bool("ask", false)
	config.MaxListAge = b.Duration("ask_within", config.ListOnRequest, 10*time.Second, 100*ms, hour)
	b.RejectUnknown()
}

func (s *Settings) readRules(b *hclread.Body) {
	config := &s.Policy
	config.TimerGranularity = b.Duration("tick", false, 5*ms, time.Microsecond, time.Second)
	config.AnswerGrace = b.Duration("answer_grace", true, 20*ms, 0, time.Minute)
	config.DrainGrace = b.Duration("drain_grace", true, 2*time.Second, 0, time.Minute)
	config.ColdCapacity = b.Float("cold_from", true, 1, 0.01, 1)
	config.WarmUp = b.Duration("warm_up", true, 0, 0, hour)
	config.ColdLoadMultiple = b.Float("fall_multiple", true, 4, 1, 1000)
	config.ColdLoadWindow = b.Duration("fall_span", true, time.Second, 10*ms, time.Minute)
	b.RejectUnknown()
}

func (s *Settings) readTrial(b *hclread.Body) {
	config := &s.Policy
	config.Control = logic.Control(b.Enum("control", true, 0, "any", "share", "timer"))
	config.EarlierWorkersStay = b.Enum("layout", false, 0, "beside", "in_place") == 0
	config.StageShares = b.Floats("stage_shares", true, 0, 1)
	config.StageCaps = b.Floats("stage_caps", true, 0, 1)
	config.FreeExposure = b.Float("free", true, 0, 0, 1e6)
	config.ExposureWindow = b.Duration("window", true, 4*time.Second, 10*ms, hour)
	config.ExposureByProfile = b.Bool("by_profile", false)
	config.GuardedStages = b.Int("guarded_stages", false, 0, 0, 100)
	config.ForwardOnly = b.Bool("forward_only", false)
	timer := config.Control == logic.ControlTimer
	config.AdvanceVotes = b.Int("on_votes", !timer, 0, 0, 10_000)
	config.HoldVotes = b.Int("hold_votes", timer, 0, 0, 10_000)
	config.RollBackVotes = b.Int("back_votes", true, 1, 1, 10_000)
	config.VoteTTL = b.Duration("vote_life", true, 6*time.Second, 10*ms, hour)
	config.VoteTimeout = b.Duration("vote_wait", true, time.Second, 10*ms, time.Minute)
	config.VotesPerSecond = b.Float("votes_per_second", false, 100, 0.01, 1e6)
	config.BakeTime = b.Duration("bake", true, time.Second, 0, 24*hour)
	config.ComplaintShare = b.Float("complaint_share", false, 0, 0, 1)
	config.CountsPeriod = b.Duration("counts_every", false, 0, 0, hour)
	config.CountsSampleShare = b.Float("counts_share", config.CountsPeriod > 0, 0, 0, 1)
	if config.CountsSampleShare > 0 && config.CountsPeriod == 0 {
		b.AttributeErrorf("counts_share", "found %g without counts_every, expected both or none", config.CountsSampleShare)
	}
	b.RejectUnknown()
	if len(config.StageCaps) != len(config.StageShares) || len(config.StageCaps) == 0 {
		b.AttributeErrorf("stage_caps", "found %d, expected as many as stage_shares (%d) and at least one",
			len(config.StageCaps), len(config.StageShares))
	}
	for name, values := range map[string][]float64{"stage_caps": config.StageCaps, "stage_shares": config.StageShares} {
		for i := 1; i < len(values); i++ {
			if values[i] < values[i-1] {
				b.AttributeErrorf(name, "found %g after %g, expected values that do not decrease", values[i], values[i-1])
			}
		}
	}
	if config.AdvanceVotes > config.Sentries || config.RollBackVotes > config.Sentries {
		b.Errorf("on_votes or back_votes is more than the number of sentries (%d)", config.Sentries)
	}
}

// readEndpoints reads the block of one sentry: its position, zone, addresses, file and seed.
func (s *Settings) readEndpoints(b *hclread.Body) {
	config, endpoints := &s.Policy, &s.Endpoints
	config.Position = logic.SentryID(b.Int("position", true, 0, 0, max(0, config.Sentries-1)))
	zones := s.Zones
	if len(zones) == 0 {
		zones = []string{"(none)"}
	}
	config.Zone = logic.ZoneID(b.Enum("zone", true, 0, zones...))
	endpoints.Listen = readAddress(b, "listen", true)
	endpoints.Metrics = readAddress(b, "metrics", false)
	endpoints.Discovery = readAddress(b, "list", true)
	endpoints.ControlPlane = readAddress(b, "desk", true)
	endpoints.CachedListFile = b.Text("memory", true, "")
	endpoints.Seed = int64(b.Int("seed", false, 0, 0, 1<<53))
	endpoints.Peers = map[logic.SentryID]string{}
	for _, peer := range b.Blocks("peer", 1) {
		position, err := strconv.Atoi(peer.Labels[0])
		if err != nil || position < 0 || position >= config.Sentries || logic.SentryID(position) == config.Position {
			peer.Errorf("peer %q, expected the position of another sentry, 0 to %d", peer.Labels[0], config.Sentries-1)
		}
		endpoints.Peers[logic.SentryID(position)] = readAddress(peer, "address", true)
		peer.RejectUnknown()
	}
	b.RejectUnknown()
}

// readAddress reads an attribute of the form host:port. It returns an empty text for a missing one.
func readAddress(b *hclread.Body, name string, required bool) string {
	text := b.Text(name, required, "")
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if number, portErr := strconv.Atoi(port); err != nil || portErr != nil || number < 0 || number > 65535 || host == "" {
		b.AttributeErrorf(name, "found %q, expected host:port", text)
	}
	return text
}

// labelCounts holds the number of labels of each kind of block that has any.
var labelCounts = map[string]int{"profile": 1, "account": 1, "set": 1, "measure": 1, "attribute": 1, "let": 1, "route": 1, "case": 1}

// SharedSource returns the source text of the blocks that ReadShared reads.
func SharedSource(root *hclread.Body) (source []byte) {
	for _, kind := range SharedBlocks {
		for _, b := range root.Blocks(kind, labelCounts[kind]) {
			source = append(append(source, b.Source()...), '\n')
		}
	}
	return source
}
