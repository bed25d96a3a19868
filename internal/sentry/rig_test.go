package sentry

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"scalechute/internal/input"
	"scalechute/internal/orders"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
	"scalechute/standin"
)

const settingsTemplate = `
sentry {
  position = 0
  zone     = "here"
  listen   = "127.0.0.1:0"
  memory   = %q
  list     = %q
  desk     = %q
  seed     = 5
%s}
deployment {
  sentries = %d
  zones    = ["here", "there"]
}
profile "read" {
  due_time    = "200ms"
  outer_limit = "600ms"
  repeat      = "redoable"
}
profile "note" {
  due_time    = "200ms"
  outer_limit = "600ms"
  repeat      = "labelled"
  scope       = "all"
  window      = "500ms"
}
profile "move" {
  due_time    = "200ms"
  outer_limit = "600ms"
  repeat      = "irreversible"
}
allowed {
  hand_offs     = %d
  copies        = %v
  messages      = true
  connect_limit = "100ms"
  idle_close    = "%dms"
}
list {
  ask        = %v
  ask_within = "2s"
}
rules {
  answer_grace  = "50ms"
  drain_grace   = "500ms"
  cold_from     = 0.5
  warm_up       = "1s"
  fall_multiple = 4
  fall_span     = "1s"
}
trial {
  control      = "any"
  stage_shares = [0.5, 1]
  stage_caps   = [0.5, 1]
  free         = 2
  window       = "2s"
  on_votes     = 1
  back_votes   = 1
  vote_life    = "2s"
  vote_wait    = "300ms"
  bake         = "1s"
}
bounds {
  inbox                    = %d
  hand_offs_per_connection = 8
  connections_per_worker   = %d
  unwritten_bytes          = 16384
}
`

// rig runs a sentry with a discovery service, a control plane and workers that the test scripts. It records the
// sentry's log, the ends of hand-offs, the module's actions and the kinds of inputs.
type rig struct {
	t            *testing.T
	s            *Sentry
	environment  *standin.Environment
	discovery    *standin.Discovery
	controlPlane *standin.ControlPlane
	settings     *orders.Settings
	settingsText string // of the settings file, without routes
	log          *logBuffer
	mu           sync.Mutex
	endings      []logic.HandOffEnd
	actions      map[logic.ActionKind]int
	inputs       []input.Kind
}

// logBuffer is a buffer that may be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// noopDeployer deploys nothing.
type noopDeployer struct{}

func (noopDeployer) RollOut(logic.BuildID, float64) bool { return true }
func (noopDeployer) DrainEarlierBuilds(logic.BuildID)    {}
func (noopDeployer) DrainBuild(logic.BuildID)            {}

// rigOptions are the settings of a rig that tests vary. newRig replaces zero values by defaults.
type rigOptions struct {
	hedges, noDiscovery, pushed              bool
	handOffs, idleTimeoutMillis, inboxEvents int
	connections                              int
	peer                                     string
	decide                                   func(*input.Input) logic.Result
	cachedListFile                           string
	routes                                   string // the blocks of the routes
}

func newRig(t *testing.T, options rigOptions) *rig {
	t.Helper()
	if options.handOffs == 0 {
		options.handOffs = 1
	}
	if options.idleTimeoutMillis == 0 {
		options.idleTimeoutMillis = 10_000
	}
	if options.inboxEvents == 0 {
		options.inboxEvents = 1024
	}
	if options.connections == 0 {
		options.connections = 8
	}
	sentries, peer := 1, ""
	if options.peer != "" {
		sentries, peer = 2, fmt.Sprintf("  peer \"1\" {\n    address = %q\n  }\n", options.peer)
	}
	if options.cachedListFile == "" {
		options.cachedListFile = filepath.Join(t.TempDir(), "list")
	}
	r := &rig{t: t, log: &logBuffer{}, actions: map[logic.ActionKind]int{}}
	config := &logic.Config{StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}, VotesPerSecond: 100,
		VoteTTL: 2_000_000, AdvanceVotes: 1, RollBackVotes: 1, BakeTime: 1_000_000,
		ColdLoadMultiple: 4, ColdLoadWindow: 1_000_000, CountsPeriod: 200_000,
		CountsSampleShare: 0.5,
		Profiles: []logic.Profile{{DueTime: 200_000, MaxDeadline: 600_000},
			{DueTime: 200_000, MaxDeadline: 600_000, Repeatability: logic.Deduplicated, DedupWindow: 500_000},
			{DueTime: 200_000, MaxDeadline: 600_000, Repeatability: logic.NonIdempotent}}}
	r.environment = standin.NewEnvironment(config, []string{"here", "there"}, 1)
	r.discovery = standin.NewDiscovery(r.environment)
	r.controlPlane = standin.NewControlPlane(r.environment, noopDeployer{}, 10)
	if err := r.discovery.Start(); err != nil {
		t.Fatal(err)
	}
	if err := r.controlPlane.Start(); err != nil {
		t.Fatal(err)
	}
	discoveryAddress := r.discovery.Address
	t.Cleanup(func() { r.discovery.Stop(); r.controlPlane.Stop() })
	if options.noDiscovery {
		r.discovery.Stop()
	}
	text := fmt.Sprintf(settingsTemplate, options.cachedListFile, discoveryAddress, r.controlPlane.Address, peer, sentries,
		options.handOffs, options.hedges, options.idleTimeoutMillis, !options.pushed,
		options.inboxEvents, options.connections)
	r.settingsText = text
	settings, err := orders.Parse("rig.hcl", []byte(text+options.routes))
	if err != nil {
		t.Fatal(err)
	}
	r.settings = settings
	r.start(options.decide)
	return r
}

func (r *rig) start(decide func(*input.Input) logic.Result) {
	r.t.Helper()
	s, err := Start(r.settings, Options{Log: zerolog.New(r.log), Record: r.record, Decide: decide})
	if err != nil {
		r.t.Fatal(err)
	}
	r.s = s
	r.t.Cleanup(func() {
		s.Stop()
		select {
		case <-s.Done():
		case <-time.After(5 * time.Second):
			r.t.Error("the sentry did not stop")
		}
	})
}

func (r *rig) record(in *input.Input, out *logic.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inputs = append(r.inputs, in.Kind)
	if in.Kind == input.HandOffEnded {
		r.endings = append(r.endings, in.End)
	}
	for _, x := range out.Actions {
		r.actions[x.Kind]++
	}
}

// waitFor polls until a condition holds, and fails the test if it does not within 15 s.
func (r *rig) waitFor(what string, holds func() bool) {
	r.t.Helper()
	for range 1500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("not seen within 15 s: %s\n%s", what, r.log.String())
}

func (r *rig) handOffEnds() []logic.HandOffEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.endings)
}

func (r *rig) hasEnding(e logic.Ending) bool { return r.countEndings(e) > 0 }

func (r *rig) countEndings(e logic.Ending) (n int) {
	for _, x := range r.handOffEnds() {
		if x.Ending == e {
			n++
		}
	}
	return n
}

func (r *rig) seen(k input.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.inputs {
		if x == k {
			n++
		}
	}
	return n
}

func (r *rig) hasLogged(what string) bool { return strings.Contains(r.log.String(), what) }

// addWorker starts a worker that calls the script for each hand-off, and lists it.
func (r *rig) addWorker(id string, script func(l *wire.Link, m *wire.Work)) *wire.Server {
	return r.startWorker(id, true, script)
}

// startWorker is addWorker for a worker that may not send the welcome, without which a connection carries no hand-offs.
func (r *rig) startWorker(id string, sendsWelcome bool, script func(l *wire.Link, m *wire.Work)) *wire.Server {
	r.t.Helper()
	server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
		return func(l *wire.Link, kind wire.Kind, body []byte) error {
			switch {
			case kind == wire.KindHello && sendsWelcome:
				l.Send(wire.KindWelcome, &pb.Welcome{Version: wire.ProtocolVersion})
			case kind == wire.KindWork:
				var m wire.Work
				if err := m.Read(body); err != nil {
					return err
				}
				script(l, &m)
			}
			return nil
		}, nil
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(server.Close)
	r.updateList(listLine(id, server.Address))
	return server
}

func listLine(id, address string) *pb.Line {
	return &pb.Line{Id: id, Address: address, Build: 10, Zone: "here", Size: 1, Life: 1}
}

// updateList sends a list update from discovery and waits until the sentry has applied it.
func (r *rig) updateList(lines ...*pb.Line) {
	r.t.Helper()
	r.discovery.ReportLines(lines, 0)
	if r.s == nil {
		return
	}
	r.waitFor("the list at the sentry", func() (applied bool) {
		r.s.Inspect(func() {
			w := r.s.workers[logic.WorkerID(lines[len(lines)-1].Id)]
			applied = w != nil && w.info.State == logic.WorkerState(lines[len(lines)-1].State)
		})
		return applied
	})
}

func reply(l *wire.Link, m *wire.Work, ended pb.Ended) {
	l.Put(wire.KindDone, &wire.Done{ID: m.ID, Ending: uint32(ended), Payload: m.Payload})
	l.Flush()
}

// testClient is a client's connection.
type testClient struct {
	r       *rig
	link    *wire.Link
	answers chan wire.Answer
	closed  chan error
}

func (r *rig) testClient() *testClient {
	r.t.Helper()
	c := &testClient{r: r, answers: make(chan wire.Answer, 10_000), closed: make(chan error, 1)}
	link, err := wire.Dial(r.s.Address(), time.Second, wire.DefaultLimits,
		func(_ *wire.Link, _ wire.Kind, body []byte) error {
			var m wire.Answer
			err := m.Read(body)
			m.Payload = append([]byte(nil), m.Payload...)
			c.answers <- m
			return err
		}, func(_ *wire.Link, err error) { c.closed <- err })
	if err != nil {
		r.t.Fatal(err)
	}
	c.link = link
	r.t.Cleanup(func() { link.Close(wire.ErrClosed) })
	link.Send(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion})
	return c
}

func (c *testClient) send(id uint64, profile uint32) {
	c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Profile: profile, Key: []byte(fmt.Sprint("k", id)), Timeout: 400_000,
		Payload: []byte(fmt.Sprint("p", id))})
	c.link.Flush()
}

func (c *testClient) receive() wire.Answer {
	c.r.t.Helper()
	select {
	case a := <-c.answers:
		return a
	case <-time.After(3 * time.Second):
		c.r.t.Fatalf("no answer in 3 s\n%s", c.r.log.String())
		return wire.Answer{}
	}
}

func (c *testClient) expect(id uint64, o pb.Outcome) {
	c.r.t.Helper()
	if a := c.receive(); a.ID != id || a.Outcome != uint32(o) {
		c.r.t.Fatalf("answer %d %v, expected %d %v\n%s", a.ID, pb.Outcome(a.Outcome), id, o, c.r.log.String())
	}
}

// expectNone checks that no answer arrives within a duration.
func (c *testClient) expectNone(d time.Duration) {
	c.r.t.Helper()
	select {
	case a := <-c.answers:
		c.r.t.Fatalf("answer %d %v, expected none", a.ID, pb.Outcome(a.Outcome))
	case <-time.After(d):
	}
}
