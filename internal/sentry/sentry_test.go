package sentry

import (
	"fmt"
	"math"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/orders"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
	"scalechute/standin"
)

func silent(*wire.Link, *wire.Work) {}

func good(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_ANSWERED) }

// Every ending is reached from a socket, and what is proven not to have run is told apart.
func TestEndings(t *testing.T) {
	cases := []struct {
		name    string
		plan    rigPlan
		profile uint32
		set     func(r *rig)
		want    logic.Ending
		outcome pb.Outcome
	}{
		{"answered", rigPlan{}, 2, func(r *rig) { r.worker("w", good) }, logic.Answered, pb.Outcome_SATISFIED},
		{"errored", rigPlan{}, 2, func(r *rig) {
			r.worker("w", func(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_ERRORED) })
		}, logic.Errored, pb.Outcome_WRITTEN_OFF},
		{"turned away", rigPlan{}, 2, func(r *rig) {
			r.worker("w", func(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_TURNED_AWAY) })
		}, logic.TurnedAway, pb.Outcome_DEFERRED},
		{"timed out", rigPlan{}, 2, func(r *rig) { r.worker("w", silent) }, logic.TimedOut, pb.Outcome_WRITTEN_OFF},
		{"nobody listens", rigPlan{}, 2, func(r *rig) { r.tell(line("w", "127.0.0.1:1")) },
			logic.Unconnected, pb.Outcome_DEFERRED},
		{"accepts and never reads", rigPlan{}, 2, func(r *rig) { r.workerThat("w", false, silent) },
			logic.Unconnected, pb.Outcome_DEFERRED},
		{"broken", rigPlan{}, 2, func(r *rig) {
			r.worker("w", func(l *wire.Link, m *wire.Work) { l.Close(wire.ErrClosed) })
		}, logic.Broken, pb.Outcome_WRITTEN_OFF},
		{"cancelled", rigPlan{copies: true, handOffs: 2}, 0, func(r *rig) {
			script := func(l *wire.Link, m *wire.Work) {
				if m.HandOffNumber == 1 || string(m.Payload) != "p1" {
					reply(l, m, pb.Ended_ANSWERED)
				}
			}
			r.worker("w1", script)
			r.worker("w2", script)
		}, logic.Cancelled, pb.Outcome_SATISFIED},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, x.plan)
			x.set(r)
			c := r.caller()
			if x.want == logic.Cancelled { // copies come out of a budget that transactions fill
				for id := uint64(100); id < 140; id++ {
					c.ask(id, x.profile)
					c.answer()
				}
			}
			c.ask(1, x.profile)
			c.want(1, x.outcome)
			r.wait(x.name, func() bool { return r.ended(x.want) })
			c.none(20 * time.Millisecond)
		})
	}
	t.Run("unsent", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigPlan{})
		r.workerThat("w", false, silent)
		c := r.caller()
		c.ask(1, 0)
		r.wait("a hand-off that waits for its connection", func() (waits bool) {
			r.s.Inspect(func() { w := r.s.workers["w"]; waits = w != nil && len(w.queue) == 1 })
			return waits
		})
		c.link.Put(wire.KindLeave, &wire.IDMessage{ID: 1})
		c.link.Flush()
		r.s.Inspect(func() {})
		r.wait("the client's leaving", func() bool { return r.seen(input.ClientLeft) == 1 })
		r.s.Inspect(func() { // the connection is welcomed only now
			for _, x := range r.s.conns {
				r.s.handleConnReady(x)
			}
		})
		if !r.ended(logic.Unsent) {
			t.Errorf("endings %v", r.ends())
		}
	})
}

// What has come in the microsecond of the time-out is an answer; a microsecond later it is late and changes nothing.
func TestAnswerAndTimeOutTogether(t *testing.T) {
	for _, after := range []logic.Micros{0, 1} {
		r := newRig(t, rigPlan{})
		r.worker("w", silent)
		c := r.caller()
		c.ask(1, 2)
		var h handOff
		var in *transaction
		r.wait("the hand-off", func() bool {
			r.s.Inspect(func() {
				for _, x := range r.s.transactions {
					if len(x.handOffs) == 1 && x.handOffs[0].conn != nil {
						in, h = x, x.handOffs[0]
					}
				}
			})
			return in != nil
		})
		r.s.Inspect(func() {
			e := event{at: h.deadline + after, kind: eventWorkerAnswer, conn: h.conn, id: h.id}
			r.s.runTimers(e.at, e.at)
			r.s.now = max(r.s.now, e.at)
			r.s.event(&e)
			r.s.runTimers(e.at+1, e.at)
		})
		want, outcome := logic.Answered, pb.Outcome_SATISFIED
		if after > 0 {
			want, outcome = logic.TimedOut, pb.Outcome_WRITTEN_OFF
		}
		c.want(1, outcome)
		if ends := r.ends(); len(ends) != 1 || ends[0].Ending != want {
			t.Errorf("%d us after the time-out: endings %v, expected one, %v", after, ends, want)
		}
		c.none(30 * time.Millisecond)
	}
}

func TestAnswerAfterTheFinalOne(t *testing.T) {
	r := newRig(t, rigPlan{})
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		id := m.ID
		time.AfterFunc(550*time.Millisecond, func() { reply(l, &wire.Work{ID: id}, pb.Ended_ANSWERED) })
		reply(l, &wire.Work{ID: id + 8}, pb.Ended_ANSWERED) // and one to a hand-off that never was
	})
	c := r.caller()
	c.ask(1, 0)
	c.want(1, pb.Outcome_DEFERRED)
	r.wait("two late ends", func() bool { return r.s.CounterValues("late_ends_total")["0"] == 2 })
	c.none(20 * time.Millisecond)
	c.ask(2, 0)
	c.answer()
}

func TestClientGoneMidHandOff(t *testing.T) {
	r := newRig(t, rigPlan{})
	release := make(chan struct{})
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = nil
		go func() { <-release; reply(l, &work, pb.Ended_ANSWERED) }()
	})
	c, other := r.caller(), r.caller()
	other.ask(1, 2)
	r.wait("a hand-off", func() bool { return r.s.CounterValues("hand_offs_total")["0"] == 1 })
	for id := uint64(1); id <= 5; id++ { // one goes out, the others wait for room
		c.ask(id, 2)
	}
	r.wait("hand-offs", func() bool { return r.s.CounterValues("hand_offs_total")["0"] == 2 })
	r.wait("the others", func() bool { return r.seen(input.TransactionArrived) == 6 }) // what a link has not written goes with it
	c.link.Close(wire.ErrClosed)
	r.wait("five clients that left", func() bool { return r.seen(input.ClientLeft) == 5 })
	close(release)
	other.want(1, pb.Outcome_SATISFIED)
	r.wait("nothing open", func() (none bool) {
		r.s.Inspect(func() { none = len(r.s.transactions) == 0 && r.s.openCount == 0 })
		return none
	})
	if a, c := r.count(logic.Answered), r.count(logic.Cancelled); a != 1 || c != 1 {
		t.Errorf("%d hand-offs answered, %d cancelled, expected the other client's and the one of the client that left", a, c)
	}
	if r.s.CounterValues("hand_offs_total")["0"] != 2 {
		t.Error("a hand-off for clients that had left")
	}
}

func TestSameIDs(t *testing.T) {
	r := newRig(t, rigPlan{})
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = append([]byte(nil), m.Payload...)
		time.AfterFunc(50*time.Millisecond, func() { reply(l, &work, pb.Ended_ANSWERED) })
	})
	a, b, c := r.caller(), r.caller(), r.caller()
	a.ask(7, 0)
	b.ask(7, 0)
	a.want(7, pb.Outcome_SATISFIED)
	b.want(7, pb.Outcome_SATISFIED)
	a.ask(7, 0) // its first use is over
	a.want(7, pb.Outcome_SATISFIED)
	c.ask(9, 0)
	c.ask(9, 0)
	select {
	case <-c.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("an id used twice at once did not close the connection")
	}
	if !r.logged("transaction id used twice, expected a new one") {
		t.Errorf("log: %s", r.log.String())
	}
	b.ask(8, 0)
	b.want(8, pb.Outcome_SATISFIED)
}

// A worker that welcomes and then reads nothing: what its socket took may run; what never left is proven not to.
func TestWorkerThatNeverReads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			conn.Read(make([]byte, 64))                                  // the hello
			conn.Write([]byte{0, 0, 0, 3, byte(wire.KindWelcome), 8, 1}) // and nothing more
		}
	}()
	r := newRig(t, rigPlan{connections: 1})
	r.tell(line("w", listener.Addr().String()))
	c := r.caller()
	big := make([]byte, 256<<10)
	for id := uint64(1); id < 200 && !r.ended(logic.Unconnected); id++ {
		c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Profile: 2, Timeout: 250_000, Payload: big})
		c.link.Flush()
		if a := c.answer(); a.Outcome == uint32(pb.Outcome_SATISFIED) {
			t.Fatal("satisfied by a worker that reads nothing")
		}
	}
	if !r.ended(logic.TimedOut) || !r.ended(logic.Unconnected) {
		t.Errorf("endings %v", r.ends())
	}
	r.worker("w2", good)
	r.wait("an answer by the other worker", func() bool {
		c.ask(uint64(1000+r.seen(input.TransactionArrived)), 0)
		return c.answer().Outcome == uint32(pb.Outcome_SATISFIED)
	})
}

// Messages between sentries go out and come in, with their senders; complaints reach the module; probes are sent.
func TestPeersComplaintsProbes(t *testing.T) {
	type said struct {
		from uint32
		role pb.Hello_Role
		body int
	}
	heard := make(chan said, 100)
	peer, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
		hello := &pb.Hello{}
		return func(_ *wire.Link, kind wire.Kind, body []byte) error {
			m := &pb.Say{}
			if kind == wire.KindHello {
				return unmarshal(body, hello)
			}
			if err := unmarshal(body, m); err != nil {
				return err
			}
			heard <- said{hello.Position, hello.Role, len(m.Body)}
			return nil
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	probed := make(chan struct{}, 1)
	decide := func(in *input.Input) (out logic.Result) {
		switch in.Kind {
		case input.TransactionArrived:
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w", Deadline: in.Transaction.Deadline}}
		case input.HandOffEnded:
			out.Probes = []logic.WorkerID{"w", "nobody"}
			out.Messages = []logic.Message{{To: logic.EverySentry, Body: []byte("to all")}, {To: 1, Body: make([]byte, 256)},
				{To: 1, Body: make([]byte, 257)}, {To: 0, Body: []byte("to itself")}}
		case input.ListReceived:
			out.WatchList = in.ListKind == logic.CachedList
		case input.ProbeAnswered:
			select {
			case probed <- struct{}{}:
			default:
			}
		}
		return out
	}
	r := newRig(t, rigPlan{peer: peer.Address, decide: decide})
	server, err := wire.Serve("127.0.0.1:0", wire.DefaultLimits, func(*wire.Link) (wire.Handler, func(*wire.Link, error)) {
		return func(l *wire.Link, kind wire.Kind, body []byte) error {
			var m wire.Work
			switch kind {
			case wire.KindHello:
				l.Send(wire.KindWelcome, &pb.Welcome{Version: 1})
			case wire.KindWork:
				if err := m.Read(body); err != nil {
					return err
				}
				reply(l, &m, pb.Ended_ANSWERED)
			case wire.KindProbe:
				l.Send(wire.KindProbed, &pb.Probed{Held: 4})
			}
			return nil
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	r.tell(line("w", server.Address))
	c := r.caller()
	id := uint64(0)
	r.wait("messages at the peer", func() bool { // the first are lost: nothing is open yet
		id++
		c.ask(id, 0)
		c.want(id, pb.Outcome_SATISFIED)
		return len(heard) >= 2
	})
	for _, want := range []said{{0, pb.Hello_PEER, 6}, {0, pb.Hello_PEER, 256}} {
		if got := <-heard; got != want {
			t.Errorf("heard %+v, expected %+v", got, want)
		}
	}
	select {
	case <-probed:
	case <-time.After(2 * time.Second):
		t.Error("no probe came back")
	}
	if !r.logged("message between sentries dropped") {
		t.Error("nothing said of a message of 257 bytes")
	}
	from := r.caller() // a client may not speak as a peer does, and a peer says who it is
	from.link.Put(wire.KindLeave, &wire.IDMessage{ID: 1})
	other, err := wire.Dial(r.s.Address(), time.Second, wire.DefaultLimits, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close(wire.ErrClosed)
	other.PutProto(wire.KindHello, &pb.Hello{Version: 1, Role: pb.Hello_PEER, Position: 1})
	other.Send(wire.KindSay, &pb.Say{Body: []byte("hello")})
	c.link.Send(wire.KindComplain, &pb.Complain{Profile: 0, Worker: "w", Age: 5})
	r.wait("a message and a complaint", func() bool { return r.seen(input.PeerMessageReceived) == 1 && r.seen(input.ComplaintReceived) == 1 })
}

// Workers that are gone are forgotten once nothing of them can be out any more.
func TestGoneWorkersAreForgotten(t *testing.T) {
	r := newRig(t, rigPlan{idle: 200})
	address := r.worker("w", good).Address
	var lines []*pb.Line
	for i := range 300 {
		lines = append(lines, line(fmt.Sprint("old", i), address))
	}
	r.tell(lines...)
	for _, x := range lines[:150] {
		x.State = pb.Line_GONE
	}
	r.tell(lines[:150]...)
	r.s.Inspect(func() { // the others are missing from a whole list
		r.s.handleReport(&pb.Report{Whole: true, Version: 99, Lines: []*pb.Line{line("w", address)}})
	})
	r.wait("one worker known", func() (one bool) {
		r.s.Inspect(func() { one = len(r.s.workers) == 1 && len(r.s.workerList.instances) == 1 })
		return one
	})
}

// Whatever a connection brings that is no good frame closes it, says so in the log, and disturbs nobody else.
func TestBadFrames(t *testing.T) {
	r := newRig(t, rigPlan{})
	r.worker("w", good)
	steady := r.caller()
	hello := func(c *caller) *caller { return c }
	cases := []struct {
		name string
		send func(c *caller)
		want string
	}{
		{"length 0", func(c *caller) { c.link.PutRaw([]byte{0, 0, 0, 0, 2}) }, "found length 0"},
		{"a length beyond the bound", func(c *caller) { c.link.PutRaw([]byte{9, 0, 0, 0, 2}) }, "found length 150994944"},
		{"an unknown kind", func(c *caller) { c.link.PutRaw([]byte{0, 0, 0, 1, 77}) }, "found kind 77"},
		{"a kind that clients do not send", func(c *caller) { c.link.Put(wire.KindDone, &wire.Done{ID: 1}) }, "found a frame of kind 7"},
		{"an unknown profile", func(c *caller) { c.ask(1, 55) }, "found profile 55"},
		{"an unknown account", func(c *caller) { c.link.Put(wire.KindAsk, &wire.Ask{ID: 1, Account: 3}) }, "found account 3"},
		{"a message that is none", func(c *caller) { c.link.PutRaw([]byte{0, 0, 0, 3, 2, 0xff, 0xff}) }, "connection closed"},
		{"a second hello", func(c *caller) { c.link.PutProto(wire.KindHello, &pb.Hello{Version: 1}) }, "found a frame of kind 1"},
		{"a message of 257 bytes between sentries", func(c *caller) {
			c.link.PutProto(wire.KindSay, &pb.Say{Body: make([]byte, 257)})
		}, "found a frame of kind 15"},
	}
	for i, x := range cases {
		c := hello(r.caller())
		x.send(c)
		c.link.Flush()
		select {
		case <-c.closed:
		case <-time.After(2 * time.Second):
			t.Fatalf("%s: the connection stays", x.name)
		}
		r.wait(x.name+": "+x.want, func() bool { return r.logged(x.want) })
		steady.ask(uint64(i+1), 0)
		steady.want(uint64(i+1), pb.Outcome_SATISFIED)
	}
	half := r.caller()
	half.link.PutRaw([]byte{0, 0, 0, 20, 2, 8, 1})
	half.link.Flush()
	time.Sleep(10 * time.Millisecond)
	half.link.Close(wire.ErrClosed)
	steady.ask(99, 0)
	steady.want(99, pb.Outcome_SATISFIED)

	// Random bytes, from a fixed seed.
	chance := rand.New(rand.NewSource(3))
	for range 50 {
		c := r.caller()
		noise := make([]byte, 1+chance.Intn(300))
		chance.Read(noise)
		c.link.PutRaw(noise)
		c.link.Flush()
		c.link.Close(wire.ErrClosed)
	}
	steady.ask(100, 0)
	steady.want(100, pb.Outcome_SATISFIED)
}

func TestListDownFromTheStart(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) { listDown(t, pushed) })
	}
}

func listDown(t *testing.T, pushed bool) {
	r := newRig(t, rigPlan{noList: true, pushed: pushed})
	c := r.caller()
	c.ask(1, 2)
	c.want(1, pb.Outcome_DEFERRED) // nothing has run
	r.wait("refusals", func() bool { return r.seen(input.ListRequestFailed) >= 2 })
	if err := r.list.Start(); err != nil {
		t.Fatal(err)
	}
	r.worker("w", good)
	c.ask(2, 2)
	c.want(2, pb.Outcome_SATISFIED)
}

// A restarted sentry has its last list and serves by it while the list's service is down.
func TestRestartWithTheLastList(t *testing.T) {
	memory := filepath.Join(t.TempDir(), "list")
	first := newRig(t, rigPlan{memory: memory})
	server := first.worker("w", good)
	young := line("cold", server.Address)
	young.Young, young.Age, young.Life = true, 1000, 4
	first.list.ReportLines([]*pb.Line{young}, first.stage.Now())
	first.wait("the saved list", func() bool {
		data, err := os.ReadFile(memory)
		if err != nil {
			return false
		}
		m, err := decodeListFile(data)
		return err == nil && len(m.Lines) == 2
	})
	first.s.Kill()
	second := newRig(t, rigPlan{memory: memory, noList: true})
	c := second.caller()
	c.ask(1, 2)
	c.want(1, pb.Outcome_SATISFIED)
	second.s.Inspect(func() {
		if w := second.s.workers["cold"]; w == nil || w.info.Started == 0 || w.info.Started > second.s.now {
			t.Errorf("the start of a worker remembered: %+v", w)
		}
	})

	// A damaged file costs the memory and nothing else.
	data, _ := os.ReadFile(memory)
	for _, cut := range []int{0, 5, 20, len(data) - 1} {
		if _, err := decodeListFile(data[:cut]); err == nil {
			t.Errorf("a list cut at %d is taken", cut)
		}
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(memory, data, 0o644); err != nil {
		t.Fatal(err)
	}
	third := newRig(t, rigPlan{memory: memory, noList: true})
	third.wait("a word on the damage", func() bool { return third.logged("found a damaged file") })
	third.caller().ask(1, 0)
}

func TestDeskRefusesVotes(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		t.Run(fmt.Sprint("quiet ", quiet), func(t *testing.T) { deskRefuses(t, quiet) })
	}
}

func deskRefuses(t *testing.T, quiet bool) {
	t.Parallel()
	{
		r := newRig(t, rigPlan{})
		r.desk.Set(func(d *standin.ControlPlane) { d.Deny, d.Silent = true, quiet })
		r.worker("w", good)
		trial := line("t", r.worker("w2", good).Address)
		trial.Build = 11
		r.tell(trial)
		r.desk.StartTrial(11)
		c := r.caller()
		id, asked := uint64(0), r.s.CounterValues("votes_total")["0"]
		r.wait("votes that are asked again", func() bool {
			id++
			c.ask(id, 0)
			c.want(id, pb.Outcome_SATISFIED)
			return r.s.CounterValues("votes_total")["0"] >= asked+2
		})
		if s := r.desk.Status(); s.Phase != logic.OnTrial || s.Stage != 0 {
			t.Errorf("refused votes moved the build: %+v", s)
		}
		r.desk.Set(func(d *standin.ControlPlane) { d.Deny, d.Silent = false, false })
		r.wait("the next stage", func() bool {
			id++
			c.ask(id, 0)
			c.want(id, pb.Outcome_SATISFIED)
			return r.desk.Status().Stage == 1
		})
	}
}

func TestManyChangesAtOnce(t *testing.T) {
	r := newRig(t, rigPlan{})
	address := r.worker("w", good).Address
	var lines []*pb.Line
	for i := range 200 {
		lines = append(lines, line(fmt.Sprintf("m%03d", i), address))
	}
	r.tell(lines...)
	for _, x := range lines[1:] {
		x.State = pb.Line_GONE
	}
	r.tell(lines...)
	r.s.Inspect(func() {
		if n := len(r.s.workerList.lines); n != 2 {
			t.Errorf("%d workers remembered, expected 2", n)
		}
	})
	c := r.caller()
	for id := range uint64(50) {
		c.ask(id+1, 0)
		c.want(id+1, pb.Outcome_SATISFIED)
	}
}

// Under full load a stop takes nothing new, answers all that was taken, and ends.
func TestStopUnderLoad(t *testing.T) {
	r := newRig(t, rigPlan{inbox: 64})
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = nil
		time.AfterFunc(30*time.Millisecond, func() { reply(l, &work, pb.Ended_ANSWERED) })
	})
	const callers, each = 8, 400
	type tally struct{ satisfied, deferred, writtenOff, notTaken, asked int }
	counts := make(chan tally)
	stop := make(chan struct{})
	for range callers {
		c := r.caller()
		go func() {
			var n tally
			count := func(a wire.Answer) {
				switch pb.Outcome(a.Outcome) {
				case pb.Outcome_SATISFIED:
					n.satisfied++
				case pb.Outcome_DEFERRED:
					n.deferred++
				case pb.Outcome_WRITTEN_OFF:
					n.writtenOff++
				case pb.Outcome_NOT_TAKEN:
					n.notTaken++
				}
			}
			for id := uint64(1); id <= each; id++ {
				c.ask(id, uint32(id%3))
				n.asked++
				if id == each/2 {
					<-stop
				}
			}
			for {
				select {
				case a := <-c.answers:
					count(a)
					continue
				default:
				}
				select {
				case a := <-c.answers:
					count(a)
				case <-c.closed:
					for len(c.answers) > 0 {
						count(<-c.answers)
					}
					counts <- n
					return
				}
			}
		}()
	}
	r.wait("load", func() bool {
		return r.s.CounterValues("clients_left_total")["0"] == 0 && r.seen(input.TransactionArrived) >= callers*each/2
	})
	r.s.Stop()
	close(stop)
	total := tally{}
	for range callers {
		n := <-counts
		total.satisfied, total.deferred = total.satisfied+n.satisfied, total.deferred+n.deferred
		total.writtenOff, total.notTaken = total.writtenOff+n.writtenOff, total.notTaken+n.notTaken
	}
	<-r.s.Done()
	if taken := r.seen(input.TransactionArrived); total.satisfied+total.deferred+total.writtenOff != taken {
		t.Errorf("%d taken, answers %+v", taken, total)
	}
	if total.satisfied == 0 {
		t.Error("nothing was served")
	}
	if n := r.s.CounterValues("overdue_total")["0"]; n != 0 {
		t.Errorf("%g were overdue", n)
	}
}

// A full inbox stops the reading; nothing is dropped.
//
// This test failed now and then: the client got no answer in 3 s. What happened: the process closed its connection, with "the
// other side does not read" in the log, though the client read all the time. Why: a link refused an answer once more than a
// bound (here 16 KiB) waited to be written, and the sentry took that for a client that does not read. But what waits grows by
// what the loop puts, and the link's writer may not have had a turn since: once the inbox is free the loop answers hundreds
// of requests in one go. The evidence: 6 of 48 runs, 8 at once, failed, each with that line and no send that waited.
func TestFullInboxStopsReading(t *testing.T) {
	r := newRig(t, rigPlan{inbox: 64})
	r.worker("w", good)
	c := r.caller()
	held := make(chan struct{})
	go r.s.Inspect(func() { <-held })
	const n = 2000
	for id := uint64(1); id <= n; id++ {
		c.ask(id, 0)
	}
	r.wait("reading that stopped", func() bool { _, waits := r.s.inbox.stats(); return waits > 0 })
	time.Sleep(50 * time.Millisecond)
	if waiting, _ := r.s.inbox.stats(); waiting > 64+8 {
		t.Errorf("%d wait in an inbox of 64", waiting)
	}
	close(held)
	for range n {
		c.answer()
	}
}

func TestIdleConnectionsClose(t *testing.T) {
	r := newRig(t, rigPlan{idle: 100})
	r.worker("w", good)
	c := r.caller()
	c.ask(1, 0)
	c.want(1, pb.Outcome_SATISFIED)
	r.wait("the idle connection's end", func() (closed bool) {
		r.s.Inspect(func() { closed = len(r.s.conns) == 0 })
		return closed
	})
	c.ask(2, 0)
	c.want(2, pb.Outcome_SATISFIED)
	if n := r.count(logic.Broken); n != 0 {
		t.Errorf("%d hand-offs broke", n)
	}
}

// Whatever frames a client sends, each is either refused or becomes an event within the orders' bounds.
func FuzzClientFrames(f *testing.F) {
	f.Add(uint8(wire.KindAsk), []byte{8, 1, 16, 2})
	f.Add(uint8(wire.KindComplain), []byte{8, 9})
	f.Add(uint8(wire.KindSay), make([]byte, 300))
	f.Add(uint8(wire.KindHello), []byte{8, 1, 16, 2, 24, 1})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		o := &logic.Config{Sentries: 2, Profiles: make([]logic.Profile, 3), Accounts: make([]logic.Account, 1)}
		for _, c := range []*client{{}, {helloReceived: true}, {helloReceived: true, isPeer: true, position: 1}} {
			s := &Sentry{config: o, inbox: newInbox(8, newClock())}
			s.routing.Store(newRouting(&orders.Settings{Policy: *o, ProfileNames: make([]string, 3), AccountNames: make([]string, 1)}))
			err := s.handleClientFrame(ClientHandler{s, c}, wire.Kind(kind), body)
			for _, e := range s.inbox.take(nil) {
				if err != nil || int(e.profile) >= len(o.Profiles) || int(e.account) > len(o.Accounts) || len(e.payload) > len(body) {
					t.Errorf("event %+v from %d %x, error %v", e, kind, body, err)
				}
			}
		}
	})
}

// An answer that came before the time-out is one, though the loop stood still until long after it.
func TestAnswerDuringAStall(t *testing.T) {
	r := newRig(t, rigPlan{})
	works := make(chan func(), 1)
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		work := wire.Work{ID: m.ID}
		works <- func() { reply(l, &work, pb.Ended_ANSWERED) }
	})
	c := r.caller()
	c.ask(1, 2) // given up after 400 ms
	answer := <-works
	r.s.Inspect(func() {
		answer()
		time.Sleep(600 * time.Millisecond)
	})
	c.want(1, pb.Outcome_SATISFIED)
	r.s.Inspect(func() {}) // the loop has told the module by then
	if ends := r.ends(); len(ends) != 1 || ends[0].Ending != logic.Answered {
		t.Errorf("endings %v", ends)
	}
}

// What is no number is passed over and said; the rest of the list and the desk's next news count.
func TestFiguresThatAreNone(t *testing.T) {
	r := newRig(t, rigPlan{})
	address := r.worker("w", good).Address
	bad := line("bad", address)
	bad.Size = math.NaN()
	r.tell(bad, line("", address), line("good", address))
	r.s.Inspect(func() {
		if r.s.workers["bad"] != nil || r.s.workers["good"] == nil || len(r.s.workerList.lines) != 2 {
			t.Errorf("workers %v", r.s.workers)
		}
		before := r.s.workerList.releaseStatus
		for _, m := range []*pb.News{{Valid: true, Cap: math.NaN()}, {Valid: true, Cap: 1.5}, {Valid: true, Cap: -1}, {Valid: true, Phase: 4}} {
			r.s.handleReleaseStatus(m)
		}
		if r.s.workerList.releaseStatus != before {
			t.Errorf("news taken: %+v", r.s.workerList.releaseStatus)
		}
	})
	if !r.logged("lines of the worker list ignored") || !r.logged("release status ignored") {
		t.Errorf("log: %s", r.log.String())
	}
}

// A worker that answers elsewhere is reached there, though connections to its old place are open.
func TestChangedAddress(t *testing.T) {
	r := newRig(t, rigPlan{})
	var old, moved atomic.Int32
	r.worker("w", func(l *wire.Link, m *wire.Work) { old.Add(1); good(l, m) })
	c := r.caller()
	c.ask(1, 0)
	c.want(1, pb.Outcome_SATISFIED)
	elsewhere := r.worker("other", func(l *wire.Link, m *wire.Work) { moved.Add(1); good(l, m) })
	gone := line("other", elsewhere.Address)
	gone.State = pb.Line_GONE
	r.tell(gone)
	r.list.ReportLines([]*pb.Line{line("w", elsewhere.Address)}, 0)
	r.wait("the new address", func() (known bool) {
		r.s.Inspect(func() { known = r.s.workers["w"].address == elsewhere.Address })
		return known
	})
	before := old.Load()
	for id := uint64(2); id < 12; id++ {
		c.ask(id, 0)
		c.want(id, pb.Outcome_SATISFIED)
	}
	if old.Load() != before || moved.Load() != 10 {
		t.Errorf("%d went to the old place, %d to the new", old.Load()-before, moved.Load())
	}
}

// neverWhole is the ends on frames with ways of which no last byte leaves, as their links know.
type neverWhole struct{ *frameTransport }

type brokenWay struct{ WorkerConn }

func (n neverWhole) Dial(ear WorkerConnHandler, address string, limit time.Duration) (WorkerConn, error) {
	way, err := n.frameTransport.Dial(ear, address, limit)
	return brokenWay{way}, err
}

func (brokenWay) MayHaveReceived(uint64) bool { return false }

// A hand-off whose last byte never left when its connection broke has not run: an irreversible transaction is deferred.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	for whole, want := range map[bool]pb.Outcome{true: pb.Outcome_WRITTEN_OFF, false: pb.Outcome_DEFERRED} {
		r := newRig(t, rigPlan{})
		r.worker("w", func(l *wire.Link, _ *wire.Work) { l.Close(wire.ErrClosed) })
		r.s.Inspect(func() {
			if !whole {
				r.s.transport = neverWhole{r.s.transport.(*frameTransport)}
			}
		})
		c := r.caller()
		c.ask(1, 2)
		c.want(1, want)
	}
}

// Once all requests are to be answered within a span, one that hangs at its server has failed by then, one of which nothing
// was sent is refused, and one that comes later is refused at once.
func TestAnswerWithin(t *testing.T) {
	toServer := true
	r := newRig(t, rigPlan{decide: func(in *input.Input) (out logic.Result) {
		if in.Kind == input.TransactionArrived && toServer {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w"}}
		}
		toServer = toServer && in.Kind != input.TransactionArrived
		out.WatchList = in.Kind == input.ListReceived && in.ListKind == logic.CachedList
		return out
	}})
	r.worker("w", func(*wire.Link, *wire.Work) {})
	c := r.caller()
	c.ask(1, 0)
	c.ask(2, 0)
	r.wait("both requests", func() bool { return r.seen(input.TransactionArrived) == 2 })
	r.s.AnswerWithin(50 * time.Millisecond)
	outcomes := map[uint64]uint32{}
	for range 2 {
		a := c.answer()
		outcomes[a.ID] = a.Outcome
	}
	if outcomes[1] != uint32(pb.Outcome_WRITTEN_OFF) || outcomes[2] != uint32(pb.Outcome_NOT_TAKEN) {
		t.Errorf("outcomes %v", outcomes)
	}
	c.ask(3, 0)
	c.want(3, pb.Outcome_NOT_TAKEN)
	if n := r.s.CounterValues("overdue_total")["0"]; n != 0 {
		t.Errorf("%g were counted as overdue", n)
	}
}

// Requests that are read while the loop takes its last step have their answer before their connection closes: they came too
// late to be taken, and are refused.
//
// What happened: they got nothing but the close. Why: the loop ends once nothing is open, and what had come into the inbox
// since it last took from there was thrown away with it; what was read after that never came into it. The evidence: three
// requests that stand in the inbox as the last answer is given got none.
func TestAskedAtTheEnd(t *testing.T) {
	var c *caller
	var r *rig
	more, stop := make(chan struct{}), make(chan struct{})
	last := uint64(1)
	r = newRig(t, rigPlan{decide: func(in *input.Input) (out logic.Result) {
		switch {
		case in.Kind == input.TransactionArrived:
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w"}}
		case in.Kind == input.ListReceived:
			out.WatchList = in.ListKind == logic.CachedList
		case in.Kind == input.HandOffEnded:
			close(more)
			<-stop
		}
		return out
	}})
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		go func() {
			r.s.Stop()
			reply(l, m, pb.Ended_ANSWERED)
		}()
	})
	c = r.caller()
	c.ask(last, 0)
	<-more // the loop is in its last step
	for range 3 {
		last++
		c.ask(last, 0)
	}
	r.wait("requests in the inbox", func() bool { waiting, _ := r.s.inbox.stats(); return waiting >= 3 })
	close(stop)
	answers := map[uint64]uint32{}
	for len(answers) < int(last) {
		select {
		case a := <-c.answers:
			answers[a.ID] = a.Outcome
		case <-time.After(3 * time.Second):
			t.Fatalf("answers %v to %d requests that were read", answers, last)
		}
	}
	for id := uint64(2); id <= last; id++ {
		if answers[id] != uint32(pb.Outcome_NOT_TAKEN) {
			t.Errorf("request %d: %v, expected a refusal", id, pb.Outcome(answers[id]))
		}
	}
}
