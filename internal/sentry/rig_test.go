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

const sheetText = `
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

// rig is a sentry with a list and a desk, workers as the test scripts them, and a log to read.
type rig struct {
	t       *testing.T
	s       *Sentry
	stage   *standin.Environment
	list    *standin.Discovery
	desk    *standin.ControlPlane
	sheet   *orders.Settings
	text    string // of the sheet, without routes
	log     *logBuffer
	mu      sync.Mutex
	endings []logic.HandOffEnd
	rulings map[logic.ActionKind]int
	inputs  []input.Kind
}

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

type still struct{}

func (still) RollOut(logic.BuildID, float64) bool { return true }
func (still) DrainEarlierBuilds(logic.BuildID)    {}
func (still) DrainBuild(logic.BuildID)            {}

type rigPlan struct {
	copies, noList, pushed bool
	handOffs, idle, inbox  int
	connections            int
	peer                   string
	decide                 func(*input.Input) logic.Result
	memory                 string
	routes                 string // matching blocks
}

func newRig(t *testing.T, p rigPlan) *rig {
	t.Helper()
	if p.handOffs == 0 {
		p.handOffs = 1
	}
	if p.idle == 0 {
		p.idle = 10_000
	}
	if p.inbox == 0 {
		p.inbox = 1024
	}
	if p.connections == 0 {
		p.connections = 8
	}
	sentries, peer := 1, ""
	if p.peer != "" {
		sentries, peer = 2, fmt.Sprintf("  peer \"1\" {\n    address = %q\n  }\n", p.peer)
	}
	if p.memory == "" {
		p.memory = filepath.Join(t.TempDir(), "list")
	}
	r := &rig{t: t, log: &logBuffer{}, rulings: map[logic.ActionKind]int{}}
	o := &logic.Config{StageCaps: []float64{0.5, 1}, StageShares: []float64{0.5, 1}, VotesPerSecond: 100,
		VoteTTL: 2_000_000, AdvanceVotes: 1, RollBackVotes: 1, BakeTime: 1_000_000, ColdLoadMultiple: 4, ColdLoadWindow: 1_000_000, CountsPeriod: 200_000, CountsSampleShare: 0.5,
		Profiles: []logic.Profile{{DueTime: 200_000, MaxDeadline: 600_000},
			{DueTime: 200_000, MaxDeadline: 600_000, Repeatability: logic.Deduplicated, DedupWindow: 500_000},
			{DueTime: 200_000, MaxDeadline: 600_000, Repeatability: logic.NonIdempotent}}}
	r.stage = standin.NewEnvironment(o, []string{"here", "there"}, 1)
	r.list = standin.NewDiscovery(r.stage)
	r.desk = standin.NewControlPlane(r.stage, still{}, 10)
	if err := r.list.Start(); err != nil {
		t.Fatal(err)
	}
	if err := r.desk.Start(); err != nil {
		t.Fatal(err)
	}
	list := r.list.Address
	t.Cleanup(func() { r.list.Stop(); r.desk.Stop() })
	if p.noList {
		r.list.Stop()
	}
	text := fmt.Sprintf(sheetText, p.memory, list, r.desk.Address, peer, sentries, p.handOffs, p.copies, p.idle, !p.pushed,
		p.inbox, p.connections)
	r.text = text
	sheet, err := orders.Parse("rig.hcl", []byte(text+p.routes))
	if err != nil {
		t.Fatal(err)
	}
	r.sheet = sheet
	r.start(p.decide)
	return r
}

func (r *rig) start(decide func(*input.Input) logic.Result) {
	r.t.Helper()
	s, err := Start(r.sheet, Options{Log: zerolog.New(r.log), Record: r.record, Decide: decide})
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
		r.rulings[x.Kind]++
	}
}

// wait polls until something holds.
func (r *rig) wait(what string, holds func() bool) {
	r.t.Helper()
	for range 1500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("in 15 s not seen: %s\n%s", what, r.log.String())
}

func (r *rig) ends() []logic.HandOffEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.endings)
}

func (r *rig) ended(e logic.Ending) bool { return r.count(e) > 0 }

func (r *rig) count(e logic.Ending) (n int) {
	for _, x := range r.ends() {
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

func (r *rig) logged(what string) bool { return strings.Contains(r.log.String(), what) }

// worker serves as a worker that does with each hand-off what the script says, and lists it.
func (r *rig) worker(id string, script func(l *wire.Link, m *wire.Work)) *wire.Server {
	return r.workerThat(id, true, script)
}

func (r *rig) workerThat(id string, welcomes bool, script func(l *wire.Link, m *wire.Work)) *wire.Server {
	r.t.Helper()
	server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
		return func(l *wire.Link, kind wire.Kind, body []byte) error {
			switch {
			case kind == wire.KindHello && welcomes:
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
	r.tell(line(id, server.Address))
	return server
}

func line(id, address string) *pb.Line {
	return &pb.Line{Id: id, Address: address, Build: 10, Zone: "here", Size: 1, Life: 1}
}

// tell lists workers and waits until the sentry knows.
func (r *rig) tell(lines ...*pb.Line) {
	r.t.Helper()
	r.list.ReportLines(lines, 0)
	if r.s == nil {
		return
	}
	r.wait("the list at the sentry", func() (known bool) {
		r.s.Inspect(func() {
			w := r.s.workers[logic.WorkerID(lines[len(lines)-1].Id)]
			known = w != nil && w.info.State == logic.WorkerState(lines[len(lines)-1].State)
		})
		return known
	})
}

func reply(l *wire.Link, m *wire.Work, ended pb.Ended) {
	l.Put(wire.KindDone, &wire.Done{ID: m.ID, Ending: uint32(ended), Payload: m.Payload})
	l.Flush()
}

// caller is a client's connection.
type caller struct {
	r       *rig
	link    *wire.Link
	answers chan wire.Answer
	closed  chan error
}

func (r *rig) caller() *caller {
	r.t.Helper()
	c := &caller{r: r, answers: make(chan wire.Answer, 10_000), closed: make(chan error, 1)}
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

func (c *caller) ask(id uint64, profile uint32) {
	c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Profile: profile, Key: []byte(fmt.Sprint("k", id)), Timeout: 400_000,
		Payload: []byte(fmt.Sprint("p", id))})
	c.link.Flush()
}

func (c *caller) answer() wire.Answer {
	c.r.t.Helper()
	select {
	case a := <-c.answers:
		return a
	case <-time.After(3 * time.Second):
		c.r.t.Fatalf("no answer in 3 s\n%s", c.r.log.String())
		return wire.Answer{}
	}
}

func (c *caller) want(id uint64, o pb.Outcome) {
	c.r.t.Helper()
	if a := c.answer(); a.ID != id || a.Outcome != uint32(o) {
		c.r.t.Fatalf("answer %d %v, expected %d %v\n%s", a.ID, pb.Outcome(a.Outcome), id, o, c.r.log.String())
	}
}

// none checks that no answer comes for a while.
func (c *caller) none(d time.Duration) {
	c.r.t.Helper()
	select {
	case a := <-c.answers:
		c.r.t.Fatalf("answer %d %v, expected none", a.ID, pb.Outcome(a.Outcome))
	case <-time.After(d):
	}
}
