// Package orders reads the operator's file: the standing orders of the decision module, and where the sentry
// listens and whom it speaks to.
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

// Sheet is what an operator's file says.
type Settings struct {
	Policy          logic.Config
	ProfileNames    []string
	AccountNames    []string
	RemovedProfiles []bool // places whose profile is no longer taken, by a sentry that runs on
	Zones           []string
	Endpoints       Endpoints
	Bounds          Bounds
	IncludedFiles   []string     // that the sentry's file includes
	Routes          *routes.Book // nil if transactions say themselves what they are
}

// Clash is what a running sentry can't take from a new sheet: the block and value at fault, and what was expected.
type Conflict struct{ Block, Name, Message string }

func (c Conflict) Error() string { return c.Block + ": " + c.Name + ": " + c.Message }

// Clashes lists what a sentry that runs by one sheet can't change over to from it. Everything else it can.
func (s *Settings) Conflicts(updated *Settings) (conflicts []Conflict) {
	check := func(block, name string, current, next any) {
		if !reflect.DeepEqual(current, next) {
			conflicts = append(conflicts, Conflict{block, name, fmt.Sprintf("found %v, expected %v as the sentry runs with: it changes with a new start", next, current)})
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
		kind     string
		was, now []string
	}{{"profile", s.ProfileNames, updated.ProfileNames}, {"account", s.AccountNames, updated.AccountNames}} {
		for i, name := range x.now {
			if i < len(x.was) && x.was[i] != "" && name != "" && x.was[i] != name {
				conflicts = append(conflicts, Conflict{x.kind + " " + name, "place", fmt.Sprintf(
					"found at place %d, expected %s there as clients know it: an empty place or a new one", i, x.was[i])})
			}
		}
	}
	return conflicts
}

// After is the sheet for a sentry that has run by another one: a place that it no longer fills stays with its old
// name, so that no other can take it, and takes nothing.
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

// fill makes places up to one; none has them yet, and they take nothing.
func (s *Settings) growProfiles(slot int) {
	for len(s.ProfileNames) <= slot {
		s.ProfileNames = append(s.ProfileNames, "")
		s.Policy.Profiles = append(s.Policy.Profiles, logic.Profile{DueTime: 1_000_000, MaxDeadline: 1_000_000})
	}
}

// Takes says whether a place has a profile that is taken.
func (s *Settings) AcceptsProfile(slot int) bool {
	return slot < len(s.ProfileNames) && s.ProfileNames[slot] != "" && !(slot < len(s.RemovedProfiles) && s.RemovedProfiles[slot])
}

// OuterLimit is that of the profile with the longest: nothing is open any longer.
func (s *Settings) MaxDeadline() (longest logic.Micros) {
	for _, p := range s.Policy.Profiles {
		longest = max(longest, p.MaxDeadline)
	}
	return longest
}

// Post is where one sentry stands.
type Endpoints struct {
	Listen         string
	Metrics        string // empty if none
	CachedListFile string // file of the last list
	Discovery      string
	ControlPlane   string
	Peers          map[logic.SentryID]string
	Seed           int64
}

// Bounds are what the sentry holds at the most. They are limits of the program, not of the module.
type Bounds struct {
	InboxEvents           int // inputs that wait for the loop
	OpenTransactions      int // transactions open
	ConnectionsPerWorker  int // to one worker
	HandOffsPerConnection int // at one time on a connection
	FrameBytes            int // bytes of a message
	UnwrittenBytes        int // bytes that wait for a socket
	WorkerConnections     int // connections to all workers, 0 for no bound
	IdleTimeoutDivisor    int // an idle one is closed after this part of the orders' time, 0 for all of it
}

// Load reads a sentry's file and checks it whole.
func Load(name string) (*Settings, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f)
}

// Parse is Load for what was read already.
func Parse(name string, source []byte) (*Settings, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f)
}

// LoadBeside is Load for a sentry that runs by another sheet: what it can't change over to is a fault too.
func LoadUpdate(name string, running *Settings) (*Settings, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return readUpdate(f, running)
}

// ParseBeside is LoadBeside for what was read already.
func ParseUpdate(name string, source []byte, running *Settings) (*Settings, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return readUpdate(f, running)
}

func read(f *hclread.File) (*Settings, error) { return readUpdate(f, nil) }

func readUpdate(f *hclread.File, running *Settings) (*Settings, error) {
	s := ReadShared(f.Root)
	s.IncludedFiles = f.Files
	s.readEndpoints(f.Root.Block("sentry", true))
	f.Root.Done()
	if running != nil && f.Err() == nil {
		for _, c := range running.Conflicts(s) {
			kind, label, _ := strings.Cut(c.Block, " ")
			for _, b := range f.Root.Blocks(kind, labelCounts[kind]) {
				if label == "" || b.Labels[0] == label {
					b.FaultAt(c.Name, "%s", c.Message)
				}
			}
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// SharedBlocks names the blocks that all sentries of a deployment have in common.
var SharedBlocks = []string{"deployment", "profile", "account", "allowed", "list", "rules", "trial", "prices", "bounds",
	"matching", "set", "measure", "attribute", "let", "route", "case"}

const (
	ms   = time.Millisecond
	hour = time.Hour
)

// Shared reads what all sentries of a deployment have in common. Faults are booked with the file.
func ReadShared(root *hclread.Body) *Settings {
	s := &Settings{}
	o := &s.Policy
	deployment := root.Block("deployment", true)
	o.Sentries = deployment.Whole("sentries", true, 1, 1, 10_000)
	s.Zones = deployment.Texts("zones", true)
	deployment.Done()
	for i, z := range s.Zones {
		for _, other := range s.Zones[:i] {
			if other == z {
				deployment.FaultAt("zones", "found %q twice, expected each zone once", z)
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
	o.StaleBuildPrice = prices.Figure("behind", false, 0, 0, 10)
	o.HarmPrice = prices.Figure("harm", false, 0, 0, 100)
	o.CrossZonePrice = prices.Figure("cross", false, 0, 0, 1)
	o.WastePrice = prices.Figure("waste", false, 0, 0, 1)
	o.OverShareValue = prices.Figure("over_share_value", false, 1, 0, 1)
	prices.Done()
	bounds := root.Block("bounds", false)
	s.Bounds = Bounds{
		InboxEvents: bounds.Whole("inbox", false, 16384, 64, 1<<20), OpenTransactions: bounds.Whole("open", false, 20_000, 1, 1<<20),
		ConnectionsPerWorker:  bounds.Whole("connections_per_worker", false, 8, 1, 1024),
		HandOffsPerConnection: bounds.Whole("hand_offs_per_connection", false, 32, 1, 1<<16),
		FrameBytes:            bounds.Whole("frame_bytes", false, 4<<20, 4096, 64<<20),
		UnwrittenBytes:        bounds.Whole("unwritten_bytes", false, 1<<20, 4096, 256<<20),
	}
	bounds.Done()
	s.Routes = routes.Read(root, s.ProfileNames, s.AccountNames)
	return s
}

func (s *Settings) readProfiles(root *hclread.Body) {
	for i, b := range root.Blocks("profile", 1) {
		p := logic.Profile{
			DueTime:        b.Span("due_time", true, ms, ms, hour),
			MaxDeadline:    b.Span("outer_limit", true, hour, ms, 24*hour),
			Value:          b.Figure("value", false, 1, 0, 1e9),
			LateValueShare: b.Figure("late_share", false, 0, 0, 1),
			Repeatability:  logic.Repeatability(b.Word("repeat", true, int(logic.NonIdempotent), "redoable", "labelled", "irreversible")),
		}
		deduplicated := p.Repeatability == logic.Deduplicated
		p.DedupScope = logic.DedupScope(b.Word("scope", deduplicated, 0, "all", "zone", "cell"))
		p.DedupWindow = b.Span("window", deduplicated, 0, ms, hour)
		if !deduplicated && (b.Has("scope") || b.Has("window")) {
			b.Fault("profile %s has a scope or window, expected them with repeat = \"labelled\" only", b.Labels[0])
		}
		if p.MaxDeadline < p.DueTime {
			b.FaultAt("outer_limit", "found less than due_time, expected at least as much")
		}
		for _, other := range s.ProfileNames {
			if other == b.Labels[0] {
				b.Fault("profile %s stands twice, expected once", other)
			}
		}
		slot := b.Whole("place", false, min(i, 255), 0, 255)
		b.Done()
		if b.Labels[0] == "" {
			b.Fault("profile without a name, expected one")
		}
		s.growProfiles(slot)
		if other := s.ProfileNames[slot]; other != "" {
			b.FaultAt("place", "found %d, expected one that %s does not have", slot, other)
			continue
		}
		s.ProfileNames[slot], s.Policy.Profiles[slot] = b.Labels[0], p
	}
	if len(s.ProfileNames) == 0 {
		root.Fault("no block profile, expected at least one")
	}
}

func (s *Settings) readAccounts(root *hclread.Body) {
	total := 0.0
	for _, b := range root.Blocks("account", 1) {
		a := logic.Account{Share: b.Figure("share", true, 0, 0, 1), Quota: b.Figure("quota", true, 0, 0, 1e9)}
		b.Done()
		if total += a.Share; total > 1+1e-9 {
			b.FaultAt("share", "found %g over all accounts so far, expected at most 1", total)
		}
		s.AccountNames = append(s.AccountNames, b.Labels[0])
		s.Policy.Accounts = append(s.Policy.Accounts, a)
	}
}

func (s *Settings) readAllowed(b *hclread.Body) {
	o := &s.Policy
	o.MayProbe, o.MayCancel = b.Flag("probes", false), b.Flag("cancel", true)
	o.MayHedge, o.MayMessage = b.Flag("copies", false), b.Flag("messages", false)
	o.MayNameRetryAfter = b.Flag("name_return", true)
	o.MaxHandOffs = b.Whole("hand_offs", false, 3, 1, 100)
	o.MaxRetryAfter = b.Span("most_return", false, time.Second, 0, hour)
	o.ConnectTimeout = b.Span("connect_limit", false, 250*ms, ms, time.Minute)
	o.IdleTimeout = b.Span("idle_close", false, 30*time.Second, 0, 24*hour)
	b.Done()
}

func (s *Settings) readList(b *hclread.Body) {
	o := &s.Policy
	o.ListOnRequest = b.Flag("ask", false)
	o.MaxListAge = b.Span("ask_within", o.ListOnRequest, 10*time.Second, 100*ms, hour)
	b.Done()
}

func (s *Settings) readRules(b *hclread.Body) {
	o := &s.Policy
	o.TimerGranularity = b.Span("tick", false, 5*ms, time.Microsecond, time.Second)
	o.AnswerGrace = b.Span("answer_grace", true, 20*ms, 0, time.Minute)
	o.DrainGrace = b.Span("drain_grace", true, 2*time.Second, 0, time.Minute)
	o.ColdCapacity = b.Figure("cold_from", true, 1, 0.01, 1)
	o.WarmUp = b.Span("warm_up", true, 0, 0, hour)
	o.ColdLoadMultiple = b.Figure("fall_multiple", true, 4, 1, 1000)
	o.ColdLoadWindow = b.Span("fall_span", true, time.Second, 10*ms, time.Minute)
	b.Done()
}

func (s *Settings) readTrial(b *hclread.Body) {
	o := &s.Policy
	o.Control = logic.Control(b.Word("control", true, 0, "any", "share", "timer"))
	o.EarlierWorkersStay = b.Word("layout", false, 0, "beside", "in_place") == 0
	o.StageShares = b.Figures("stage_shares", true, 0, 1)
	o.StageCaps = b.Figures("stage_caps", true, 0, 1)
	o.FreeExposure = b.Figure("free", true, 0, 0, 1e6)
	o.ExposureWindow = b.Span("window", true, 4*time.Second, 10*ms, hour)
	o.ExposureByProfile = b.Flag("by_profile", false)
	o.GuardedStages = b.Whole("guarded_stages", false, 0, 0, 100)
	o.ForwardOnly = b.Flag("forward_only", false)
	timer := o.Control == logic.ControlTimer
	o.AdvanceVotes = b.Whole("on_votes", !timer, 0, 0, 10_000)
	o.HoldVotes = b.Whole("hold_votes", timer, 0, 0, 10_000)
	o.RollBackVotes = b.Whole("back_votes", true, 1, 1, 10_000)
	o.VoteTTL = b.Span("vote_life", true, 6*time.Second, 10*ms, hour)
	o.VoteTimeout = b.Span("vote_wait", true, time.Second, 10*ms, time.Minute)
	o.VotesPerSecond = b.Figure("votes_per_second", false, 100, 0.01, 1e6)
	o.BakeTime = b.Span("bake", true, time.Second, 0, 24*hour)
	o.ComplaintShare = b.Figure("complaint_share", false, 0, 0, 1)
	o.CountsPeriod = b.Span("counts_every", false, 0, 0, hour)
	o.CountsSampleShare = b.Figure("counts_share", o.CountsPeriod > 0, 0, 0, 1)
	if o.CountsSampleShare > 0 && o.CountsPeriod == 0 {
		b.FaultAt("counts_share", "found %g without counts_every, expected both or none", o.CountsSampleShare)
	}
	b.Done()
	if len(o.StageCaps) != len(o.StageShares) || len(o.StageCaps) == 0 {
		b.FaultAt("stage_caps", "found %d, expected as many as stage_shares (%d) and one at least",
			len(o.StageCaps), len(o.StageShares))
	}
	for name, list := range map[string][]float64{"stage_caps": o.StageCaps, "stage_shares": o.StageShares} {
		for i := 1; i < len(list); i++ {
			if list[i] < list[i-1] {
				b.FaultAt(name, "found %g after %g, expected none to fall", list[i], list[i-1])
			}
		}
	}
	if o.AdvanceVotes > o.Sentries || o.RollBackVotes > o.Sentries {
		b.Fault("more votes wanted than there are sentries (%d)", o.Sentries)
	}
}

func (s *Settings) readEndpoints(b *hclread.Body) {
	o, p := &s.Policy, &s.Endpoints
	o.Position = logic.SentryID(b.Whole("position", true, 0, 0, max(0, o.Sentries-1)))
	zones := s.Zones
	if len(zones) == 0 {
		zones = []string{"(none)"}
	}
	o.Zone = logic.ZoneID(b.Word("zone", true, 0, zones...))
	p.Listen = readAddress(b, "listen", true)
	p.Metrics = readAddress(b, "metrics", false)
	p.Discovery = readAddress(b, "list", true)
	p.ControlPlane = readAddress(b, "desk", true)
	p.CachedListFile = b.Text("memory", true, "")
	p.Seed = int64(b.Whole("seed", false, 0, 0, 1<<53))
	p.Peers = map[logic.SentryID]string{}
	for _, x := range b.Blocks("peer", 1) {
		n, err := strconv.Atoi(x.Labels[0])
		if err != nil || n < 0 || n >= o.Sentries || logic.SentryID(n) == o.Position {
			x.Fault("peer %q, expected the position of another sentry, 0 to %d", x.Labels[0], o.Sentries-1)
		}
		p.Peers[logic.SentryID(n)] = readAddress(x, "address", true)
		x.Done()
	}
	b.Done()
}

func readAddress(b *hclread.Body, name string, required bool) string {
	text := b.Text(name, required, "")
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if n, bad := strconv.Atoi(port); err != nil || bad != nil || n < 0 || n > 65535 || host == "" {
		b.FaultAt(name, "found %q, expected host:port", text)
	}
	return text
}

// labels are how many a kind of block has, if any.
var labelCounts = map[string]int{"profile": 1, "account": 1, "set": 1, "measure": 1, "attribute": 1, "let": 1, "route": 1, "case": 1}

// SharedSource is the blocks that Shared reads, as they stand in the file.
func SharedSource(root *hclread.Body) (source []byte) {
	for _, kind := range SharedBlocks {
		for _, b := range root.Blocks(kind, labelCounts[kind]) {
			source = append(append(source, b.Source()...), '\n')
		}
	}
	return source
}
