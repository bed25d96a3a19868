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

func ignoreWork(*wire.Link, *wire.Work) {}

func answerWork(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_ANSWERED) }

// Each ending of a hand-off follows from what happens on a socket. Those that prove that the work has not run are
// distinguished from the others by the outcome.
func TestEndings(t *testing.T) {
	cases := []struct {
		name    string
		plan    rigOptions
		profile uint32
		set     func(r *rig)
		want    logic.Ending
		outcome pb.Outcome
	}{
		{"answered", rigOptions{}, 2, func(r *rig) { r.addWorker("w", answerWork) }, logic.Answered, pb.Outcome_SATISFIED},
		{"errored", rigOptions{}, 2, func(r *rig) {
			r.addWorker("w", func(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_ERRORED) })
		}, logic.Errored, pb.Outcome_WRITTEN_OFF},
		{"turned away", rigOptions{}, 2, func(r *rig) {
			r.addWorker("w", func(l *wire.Link, m *wire.Work) { reply(l, m, pb.Ended_TURNED_AWAY) })
		}, logic.TurnedAway, pb.Outcome_DEFERRED},
		{"timed out", rigOptions{}, 2, func(r *rig) { r.addWorker("w", ignoreWork) }, logic.TimedOut, pb.Outcome_WRITTEN_OFF},
		{"nobody listens", rigOptions{}, 2, func(r *rig) { r.updateList(listLine("w", "127.0.0.1:1")) },
			logic.Unconnected, pb.Outcome_DEFERRED},
		{"accepts and never reads", rigOptions{}, 2, func(r *rig) { r.startWorker("w", false, ignoreWork) },
			logic.Unconnected, pb.Outcome_DEFERRED},
		{"broken", rigOptions{}, 2, func(r *rig) {
			r.addWorker("w", func(l *wire.Link, m *wire.Work) { l.Close(wire.ErrClosed) })
		}, logic.Broken, pb.Outcome_WRITTEN_OFF},
		{"cancelled", rigOptions{hedges: true, handOffs: 2}, 0, func(r *rig) {
			script := func(l *wire.Link, m *wire.Work) {
				if m.HandOffNumber == 1 || string(m.Payload) != "p1" {
					reply(l, m, pb.Ended_ANSWERED)
				}
			}
			r.addWorker("w1", script)
			r.addWorker("w2", script)
		}, logic.Cancelled, pb.Outcome_SATISFIED},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, x.plan)
			x.set(r)
			c := r.testClient()
			if x.want == logic.Cancelled { // hedges need a retry budget, which transactions fill
				for id := uint64(100); id < 140; id++ {
					c.send(id, x.profile)
					c.receive()
				}
			}
			c.send(1, x.profile)
			c.expect(1, x.outcome)
			r.waitFor(x.name, func() bool { return r.hasEnding(x.want) })
			c.expectNone(20 * time.Millisecond)
		})
	}
	t.Run("unsent", func(t *testing.T) {
		t.Parallel()
		r := newRig(t, rigOptions{})
		r.startWorker("w", false, ignoreWork)
		c := r.testClient()
		c.send(1, 0)
		r.waitFor("a hand-off that waits for its connection", func() (waits bool) {
			r.s.Inspect(func() { w := r.s.workers["w"]; waits = w != nil && len(w.queue) == 1 })
			return waits
		})
		c.link.Put(wire.KindLeave, &wire.IDMessage{ID: 1})
		c.link.Flush()
		r.s.Inspect(func() {})
		r.waitFor("the client's leaving", func() bool { return r.seen(input.ClientLeft) == 1 })
		r.s.Inspect(func() { // the connection becomes ready only now
			for _, x := range r.s.conns {
				r.s.handleConnReady(x)
			}
		})
		if !r.hasEnding(logic.Unsent) {
			t.Errorf("endings %v", r.handOffEnds())
		}
	})
}

// An answer in the same microsecond as the timeout counts. One that arrives a microsecond later is ignored.
func TestAnswerAndTimeOutTogether(t *testing.T) {
	for _, after := range []logic.Micros{0, 1} {
		r := newRig(t, rigOptions{})
		r.addWorker("w", ignoreWork)
		c := r.testClient()
		c.send(1, 2)
		var h handOff
		var open *transaction
		r.waitFor("the hand-off", func() bool {
			r.s.Inspect(func() {
				for _, x := range r.s.transactions {
					if len(x.handOffs) == 1 && x.handOffs[0].conn != nil {
						open, h = x, x.handOffs[0]
					}
				}
			})
			return open != nil
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
		c.expect(1, outcome)
		if ends := r.handOffEnds(); len(ends) != 1 || ends[0].Ending != want {
			t.Errorf("%d us after the timeout: endings %v, expected one, %v", after, ends, want)
		}
		c.expectNone(30 * time.Millisecond)
	}
}

func TestAnswerAfterTheFinalOne(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		id := m.ID
		time.AfterFunc(550*time.Millisecond, func() { reply(l, &wire.Work{ID: id}, pb.Ended_ANSWERED) })
		reply(l, &wire.Work{ID: id + 8}, pb.Ended_ANSWERED) // and one to a hand-off that does not exist
	})
	c := r.testClient()
	c.send(1, 0)
	c.expect(1, pb.Outcome_DEFERRED)
	r.waitFor("two late ends", func() bool { return r.s.CounterValues("late_ends_total")["0"] == 2 })
	c.expectNone(20 * time.Millisecond)
	c.send(2, 0)
	c.receive()
}

func TestClientGoneMidHandOff(t *testing.T) {
	r := newRig(t, rigOptions{})
	release := make(chan struct{})
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = nil
		go func() { <-release; reply(l, &work, pb.Ended_ANSWERED) }()
	})
	c, other := r.testClient(), r.testClient()
	other.send(1, 2)
	r.waitFor("a hand-off", func() bool { return r.s.CounterValues("hand_offs_total")["0"] == 1 })
	for id := uint64(1); id <= 5; id++ { // one is sent, the others are queued
		c.send(id, 2)
	}
	r.waitFor("hand-offs", func() bool { return r.s.CounterValues("hand_offs_total")["0"] == 2 })
	r.waitFor("the others", func() bool { return r.seen(input.TransactionArrived) == 6 }) // closing a link discards its unwritten data
	c.link.Close(wire.ErrClosed)
	r.waitFor("five clients that left", func() bool { return r.seen(input.ClientLeft) == 5 })
	close(release)
	other.expect(1, pb.Outcome_SATISFIED)
	r.waitFor("nothing open", func() (none bool) {
		r.s.Inspect(func() { none = len(r.s.transactions) == 0 && r.s.openCount == 0 })
		return none
	})
	if a, c := r.countEndings(logic.Answered), r.countEndings(logic.Cancelled); a != 1 || c != 1 {
		t.Errorf("%d hand-offs answered, %d cancelled, expected one answered of the other client and one cancelled of the client that left", a, c)
	}
	if r.s.CounterValues("hand_offs_total")["0"] != 2 {
		t.Error("a hand-off for a client that had left")
	}
}

func TestSameIDs(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = append([]byte(nil), m.Payload...)
		time.AfterFunc(50*time.Millisecond, func() { reply(l, &work, pb.Ended_ANSWERED) })
	})
	a, b, c := r.testClient(), r.testClient(), r.testClient()
	a.send(7, 0)
	b.send(7, 0)
	a.expect(7, pb.Outcome_SATISFIED)
	b.expect(7, pb.Outcome_SATISFIED)
	a.send(7, 0) // the transaction that used the id before has ended
	a.expect(7, pb.Outcome_SATISFIED)
	c.send(9, 0)
	c.send(9, 0)
	select {
	case <-c.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("an id used twice at once did not close the connection")
	}
	if !r.hasLogged("transaction id used twice, expected a new one") {
		t.Errorf("log: %s", r.log.String())
	}
	b.send(8, 0)
	b.expect(8, pb.Outcome_SATISFIED)
}

// A worker sends its welcome and then reads nothing. Hand-offs that its socket received may run; those of which not
// all bytes were sent are proven not to run.
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
			conn.Read(make([]byte, 64))                                  // the Hello message
			conn.Write([]byte{0, 0, 0, 3, byte(wire.KindWelcome), 8, 1}) // the Welcome message, and nothing more
		}
	}()
	r := newRig(t, rigOptions{connections: 1})
	r.updateList(listLine("w", listener.Addr().String()))
	c := r.testClient()
	// The second hand-off does not fit into the sockets behind the first and is still being written when that times out.
	const count, payloadBytes = 2, 4_000_000
	for id := uint64(1); id <= count; id++ {
		c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Profile: 2, Timeout: 250_000 * id, Payload: make([]byte, payloadBytes)})
		c.link.Flush()
	}
	for range count {
		if a := c.receive(); a.Outcome == uint32(pb.Outcome_SATISFIED) {
			t.Fatal("satisfied by a worker that reads nothing")
		}
	}
	if !r.hasEnding(logic.TimedOut) || !r.hasEnding(logic.Unconnected) {
		t.Errorf("endings %v", r.handOffEnds())
	}
	r.addWorker("w2", answerWork)
	r.waitFor("an answer by the other worker", func() bool {
		c.send(uint64(1000+r.seen(input.TransactionArrived)), 0)
		return c.receive().Outcome == uint32(pb.Outcome_SATISFIED)
	})
}

// Messages between sentries are sent and received with their senders' positions. Complaints reach the module, and
// probes are sent.
func TestPeersComplaintsProbes(t *testing.T) {
	type peerMessage struct {
		from uint32
		role pb.Hello_Role
		body int
	}
	received := make(chan peerMessage, 100)
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
			received <- peerMessage{hello.Position, hello.Role, len(m.Body)}
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
	r := newRig(t, rigOptions{peer: peer.Address, decide: decide})
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
	r.updateList(listLine("w", server.Address))
	c := r.testClient()
	id := uint64(0)
	r.waitFor("messages at the peer", func() bool { // the first messages are dropped: the connection is not open yet
		id++
		c.send(id, 0)
		c.expect(id, pb.Outcome_SATISFIED)
		return len(received) >= 2
	})
	for _, want := range []peerMessage{{0, pb.Hello_PEER, 6}, {0, pb.Hello_PEER, 256}} {
		if got := <-received; got != want {
			t.Errorf("received %+v, expected %+v", got, want)
		}
	}
	select {
	case <-probed:
	case <-time.After(2 * time.Second):
		t.Error("no answer to the probe")
	}
	if !r.hasLogged("message between sentries dropped") {
		t.Error("no log line about a message of 257 bytes")
	}
	from := r.testClient() // a client may not send messages as a peer does; a peer sends its position in its Hello message
	from.link.Put(wire.KindLeave, &wire.IDMessage{ID: 1})
	other, err := wire.Dial(r.s.Address(), time.Second, wire.DefaultLimits, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close(wire.ErrClosed)
	other.PutProto(wire.KindHello, &pb.Hello{Version: 1, Role: pb.Hello_PEER, Position: 1})
	other.Send(wire.KindSay, &pb.Say{Body: []byte("hello")})
	c.link.Send(wire.KindComplain, &pb.Complain{Profile: 0, Worker: "w", Age: 5})
	r.waitFor("a message and a complaint", func() bool { return r.seen(input.PeerMessageReceived) == 1 && r.seen(input.ComplaintReceived) == 1 })
}

// Workers that are gone are deleted once they can have no open hand-offs.
func TestGoneWorkersAreForgotten(t *testing.T) {
	r := newRig(t, rigOptions{idleTimeoutMillis: 200})
	address := r.addWorker("w", answerWork).Address
	var lines []*pb.Line
	for i := range 300 {
		lines = append(lines, listLine(fmt.Sprint("old", i), address))
	}
	r.updateList(lines...)
	for _, x := range lines[:150] {
		x.State = pb.Line_GONE
	}
	r.updateList(lines[:150]...)
	r.s.Inspect(func() { // the full list does not contain the others
		r.s.handleReport(&pb.Report{Whole: true, Version: 99, Lines: []*pb.Line{listLine("w", address)}})
	})
	r.waitFor("one worker known", func() (one bool) {
		r.s.Inspect(func() { one = len(r.s.workers) == 1 && len(r.s.workerList.instances) == 1 })
		return one
	})
}

// An invalid frame closes its connection with a log line, and does not affect other connections.
func TestBadFrames(t *testing.T) {
	r := newRig(t, rigOptions{})
	r.addWorker("w", answerWork)
	steady := r.testClient()
	hello := func(c *testClient) *testClient { return c }
	cases := []struct {
		name string
		send func(c *testClient)
		want string
	}{
		{"length 0", func(c *testClient) { c.link.PutRaw([]byte{0, 0, 0, 0, 2}) }, "found length 0"},
		{"a length beyond the bound", func(c *testClient) { c.link.PutRaw([]byte{9, 0, 0, 0, 2}) }, "found length 150994944"},
		{"an unknown kind", func(c *testClient) { c.link.PutRaw([]byte{0, 0, 0, 1, 77}) }, "found kind 77"},
		{"a kind that clients do not send", func(c *testClient) { c.link.Put(wire.KindDone, &wire.Done{ID: 1}) }, "found a frame of kind 7"},
		{"an unknown profile", func(c *testClient) { c.send(1, 55) }, "found profile 55"},
		{"an unknown account", func(c *testClient) { c.link.Put(wire.KindAsk, &wire.Ask{ID: 1, Account: 3}) }, "found account 3"},
		{"a message that is none", func(c *testClient) { c.link.PutRaw([]byte{0, 0, 0, 3, 2, 0xff, 0xff}) }, "connection closed"},
		{"a second hello", func(c *testClient) { c.link.PutProto(wire.KindHello, &pb.Hello{Version: 1}) }, "found a frame of kind 1"},
		{"a message of 257 bytes between sentries", func(c *testClient) {
			c.link.PutProto(wire.KindSay, &pb.Say{Body: make([]byte, 257)})
		}, "found a frame of kind 15"},
	}
	for i, x := range cases {
		c := hello(r.testClient())
		x.send(c)
		c.link.Flush()
		select {
		case <-c.closed:
		case <-time.After(2 * time.Second):
			t.Fatalf("%s: the connection stays open", x.name)
		}
		r.waitFor(x.name+": "+x.want, func() bool { return r.hasLogged(x.want) })
		steady.send(uint64(i+1), 0)
		steady.expect(uint64(i+1), pb.Outcome_SATISFIED)
	}
	half := r.testClient()
	half.link.PutRaw([]byte{0, 0, 0, 20, 2, 8, 1})
	half.link.Flush()
	time.Sleep(10 * time.Millisecond)
	half.link.Close(wire.ErrClosed)
	steady.send(99, 0)
	steady.expect(99, pb.Outcome_SATISFIED)

	// Random bytes, from a fixed seed.
	random := rand.New(rand.NewSource(3))
	for range 50 {
		c := r.testClient()
		noise := make([]byte, 1+random.Intn(300))
		random.Read(noise)
		c.link.PutRaw(noise)
		c.link.Flush()
		c.link.Close(wire.ErrClosed)
	}
	steady.send(100, 0)
	steady.expect(100, pb.Outcome_SATISFIED)
}

func TestListDownFromTheStart(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) { testListDown(t, pushed) })
	}
}

func testListDown(t *testing.T, pushed bool) {
	r := newRig(t, rigOptions{noDiscovery: true, pushed: pushed})
	c := r.testClient()
	c.send(1, 2)
	c.expect(1, pb.Outcome_DEFERRED) // no hand-off has run
	r.waitFor("failed list requests", func() bool { return r.seen(input.ListRequestFailed) >= 2 })
	if err := r.discovery.Start(); err != nil {
		t.Fatal(err)
	}
	r.addWorker("w", answerWork)
	c.send(2, 2)
	c.expect(2, pb.Outcome_SATISFIED)
}

// A restarted sentry loads its last worker list from the file and uses it while discovery is down.
func TestRestartWithTheLastList(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	first := newRig(t, rigOptions{cachedListFile: file})
	server := first.addWorker("w", answerWork)
	young := listLine("cold", server.Address)
	young.Young, young.Age, young.Life = true, 1000, 4
	first.discovery.ReportLines([]*pb.Line{young}, first.environment.Now())
	first.waitFor("the saved list", func() bool {
		data, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		m, err := decodeListFile(data)
		return err == nil && len(m.Lines) == 2
	})
	first.s.Kill()
	second := newRig(t, rigOptions{cachedListFile: file, noDiscovery: true})
	c := second.testClient()
	c.send(1, 2)
	c.expect(1, pb.Outcome_SATISFIED)
	second.s.Inspect(func() {
		if w := second.s.workers["cold"]; w == nil || w.info.Started == 0 || w.info.Started > second.s.now {
			t.Errorf("start time of a worker from the cached list: %+v", w)
		}
	})

	// A damaged file is ignored with a log line.
	data, _ := os.ReadFile(file)
	for _, cut := range []int{0, 5, 20, len(data) - 1} {
		if _, err := decodeListFile(data[:cut]); err == nil {
			t.Errorf("a list file truncated at byte %d is accepted", cut)
		}
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(file, data, 0o644); err != nil {
		t.Fatal(err)
	}
	third := newRig(t, rigOptions{cachedListFile: file, noDiscovery: true})
	third.waitFor("the log line on the damaged file", func() bool { return third.hasLogged("found a damaged file") })
	third.testClient().send(1, 0)
}

func TestControlPlaneRefusesVotes(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		t.Run(fmt.Sprint("quiet ", quiet), func(t *testing.T) { testVotesRefused(t, quiet) })
	}
}

func testVotesRefused(t *testing.T, quiet bool) {
	t.Parallel()
	{
		r := newRig(t, rigOptions{})
		r.controlPlane.Set(func(d *standin.ControlPlane) { d.Deny, d.Silent = true, quiet })
		r.addWorker("w", answerWork)
		trial := listLine("t", r.addWorker("w2", answerWork).Address)
		trial.Build = 11
		r.updateList(trial)
		r.controlPlane.StartTrial(11)
		c := r.testClient()
		id, before := uint64(0), r.s.CounterValues("votes_total")["0"]
		r.waitFor("votes that are sent again", func() bool {
			id++
			c.send(id, 0)
			c.expect(id, pb.Outcome_SATISFIED)
			return r.s.CounterValues("votes_total")["0"] >= before+2
		})
		if s := r.controlPlane.Status(); s.Phase != logic.OnTrial || s.Stage != 0 {
			t.Errorf("refused votes moved the build: %+v", s)
		}
		r.controlPlane.Set(func(d *standin.ControlPlane) { d.Deny, d.Silent = false, false })
		r.waitFor("the next stage", func() bool {
			id++
			c.send(id, 0)
			c.expect(id, pb.Outcome_SATISFIED)
			return r.controlPlane.Status().Stage == 1
		})
	}
}

func TestManyChangesAtOnce(t *testing.T) {
	r := newRig(t, rigOptions{})
	address := r.addWorker("w", answerWork).Address
	var lines []*pb.Line
	for i := range 200 {
		lines = append(lines, listLine(fmt.Sprintf("m%03d", i), address))
	}
	r.updateList(lines...)
	for _, x := range lines[1:] {
		x.State = pb.Line_GONE
	}
	r.updateList(lines...)
	r.s.Inspect(func() {
		if n := len(r.s.workerList.lines); n != 2 {
			t.Errorf("%d workers in the list, expected 2", n)
		}
	})
	c := r.testClient()
	for id := range uint64(50) {
		c.send(id+1, 0)
		c.expect(id+1, pb.Outcome_SATISFIED)
	}
}

// A stop under full load accepts no new transactions, answers all accepted ones, and ends.
func TestStopUnderLoad(t *testing.T) {
	r := newRig(t, rigOptions{inboxEvents: 64})
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		work := *m
		work.Payload = nil
		time.AfterFunc(30*time.Millisecond, func() { reply(l, &work, pb.Ended_ANSWERED) })
	})
	const clients, each = 8, 400
	type tally struct{ satisfied, deferred, writtenOff, notTaken, sent int }
	counts := make(chan tally)
	stop := make(chan struct{})
	for range clients {
		c := r.testClient()
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
				c.send(id, uint32(id%3))
				n.sent++
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
	r.waitFor("load", func() bool {
		return r.s.CounterValues("clients_left_total")["0"] == 0 && r.seen(input.TransactionArrived) >= clients*each/2
	})
	r.s.Stop()
	close(stop)
	total := tally{}
	for range clients {
		n := <-counts
		total.satisfied, total.deferred = total.satisfied+n.satisfied, total.deferred+n.deferred
		total.writtenOff, total.notTaken = total.writtenOff+n.writtenOff, total.notTaken+n.notTaken
	}
	<-r.s.Done()
	if taken := r.seen(input.TransactionArrived); total.satisfied+total.deferred+total.writtenOff != taken {
		t.Errorf("%d transactions accepted, answers %+v", taken, total)
	}
	if total.satisfied == 0 {
		t.Error("nothing was served")
	}
	if n := r.s.CounterValues("overdue_total")["0"]; n != 0 {
		t.Errorf("%g transactions were overdue", n)
	}
}

// A full inbox stops reading from clients; nothing is dropped.
//
// The test also guards against closing the connection of a client that reads. Once the inbox has room again, the event
// loop answers hundreds of transactions in one batch, and more than the bound of unwritten bytes (here 16 KiB) waits
// before the link's writer runs. The link once refused an answer in this case, and the sentry took that for a client that
// does not read: it closed the connection with "the other side does not read" in the log. 6 of 48 runs, 8 at a time,
// failed this way, each with that line and without a send that waited.
func TestFullInboxStopsReading(t *testing.T) {
	r := newRig(t, rigOptions{inboxEvents: 64})
	r.addWorker("w", answerWork)
	c := r.testClient()
	release := make(chan struct{})
	go r.s.Inspect(func() { <-release })
	const n = 2000
	for id := uint64(1); id <= n; id++ {
		c.send(id, 0)
	}
	r.waitFor("reading that stopped", func() bool { _, waits := r.s.inbox.stats(); return waits > 0 })
	time.Sleep(50 * time.Millisecond)
	if waiting, _ := r.s.inbox.stats(); waiting > 64+8 {
		t.Errorf("%d events wait in an inbox of 64", waiting)
	}
	close(release)
	for range n {
		c.receive()
	}
}

func TestIdleConnectionsClose(t *testing.T) {
	r := newRig(t, rigOptions{idleTimeoutMillis: 100})
	r.addWorker("w", answerWork)
	c := r.testClient()
	c.send(1, 0)
	c.expect(1, pb.Outcome_SATISFIED)
	r.waitFor("the idle connection's end", func() (closed bool) {
		r.s.Inspect(func() { closed = len(r.s.conns) == 0 })
		return closed
	})
	c.send(2, 0)
	c.expect(2, pb.Outcome_SATISFIED)
	if n := r.countEndings(logic.Broken); n != 0 {
		t.Errorf("%d hand-offs ended as broken", n)
	}
}

// Each frame that a client sends is either refused or becomes an event within the bounds of the settings.
func FuzzClientFrames(f *testing.F) {
	f.Add(uint8(wire.KindAsk), []byte{8, 1, 16, 2})
	f.Add(uint8(wire.KindComplain), []byte{8, 9})
	f.Add(uint8(wire.KindSay), make([]byte, 300))
	f.Add(uint8(wire.KindHello), []byte{8, 1, 16, 2, 24, 1})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		config := &logic.Config{Sentries: 2, Profiles: make([]logic.Profile, 3), Accounts: make([]logic.Account, 1)}
		for _, c := range []*client{{}, {helloReceived: true}, {helloReceived: true, isPeer: true, position: 1}} {
			s := &Sentry{config: config, inbox: newInbox(8, nil, newClock())}
			s.routing.Store(newRouting(&orders.Settings{Policy: *config, ProfileNames: make([]string, 3), AccountNames: make([]string, 1)}))
			err := s.handleClientFrame(ClientHandler{s, c}, wire.Kind(kind), body)
			for _, e := range s.inbox.take(nil) {
				if err != nil || int(e.profile) >= len(config.Profiles) || int(e.account) > len(config.Accounts) || len(e.payload) > len(body) {
					t.Errorf("event %+v from %d %x, error %v", e, kind, body, err)
				}
			}
		}
	})
}

// An answer that arrives before the timeout counts, even if the event loop is stalled until long after the timeout.
func TestAnswerDuringAStall(t *testing.T) {
	r := newRig(t, rigOptions{})
	works := make(chan func(), 1)
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		work := wire.Work{ID: m.ID}
		works <- func() { reply(l, &work, pb.Ended_ANSWERED) }
	})
	c := r.testClient()
	c.send(1, 2) // its deadline is 400 ms
	answer := <-works
	r.s.Inspect(func() {
		answer()
		time.Sleep(600 * time.Millisecond)
	})
	c.expect(1, pb.Outcome_SATISFIED)
	r.s.Inspect(func() {}) // the loop has delivered the end to the module by then
	if ends := r.handOffEnds(); len(ends) != 1 || ends[0].Ending != logic.Answered {
		t.Errorf("endings %v", ends)
	}
}

// Invalid numbers are ignored with a log line. The rest of the list and later release statuses are applied.
func TestFiguresThatAreNone(t *testing.T) {
	r := newRig(t, rigOptions{})
	address := r.addWorker("w", answerWork).Address
	bad := listLine("bad", address)
	bad.Size = math.NaN()
	r.updateList(bad, listLine("", address), listLine("good", address))
	r.s.Inspect(func() {
		if r.s.workers["bad"] != nil || r.s.workers["good"] == nil || len(r.s.workerList.lines) != 2 {
			t.Errorf("workers %v", r.s.workers)
		}
		before := r.s.workerList.releaseStatus
		for _, m := range []*pb.News{{Valid: true, Cap: math.NaN()}, {Valid: true, Cap: 1.5}, {Valid: true, Cap: -1}, {Valid: true, Phase: 4}} {
			r.s.handleReleaseStatus(m)
		}
		if r.s.workerList.releaseStatus != before {
			t.Errorf("release status applied: %+v", r.s.workerList.releaseStatus)
		}
	})
	if !r.hasLogged("lines of the worker list ignored") || !r.hasLogged("release status ignored") {
		t.Errorf("log: %s", r.log.String())
	}
}

// A worker whose address has changed receives hand-offs at its new address, even if connections to the old one are
// open.
func TestChangedAddress(t *testing.T) {
	r := newRig(t, rigOptions{})
	var old, moved atomic.Int32
	r.addWorker("w", func(l *wire.Link, m *wire.Work) { old.Add(1); answerWork(l, m) })
	c := r.testClient()
	c.send(1, 0)
	c.expect(1, pb.Outcome_SATISFIED)
	elsewhere := r.addWorker("other", func(l *wire.Link, m *wire.Work) { moved.Add(1); answerWork(l, m) })
	gone := listLine("other", elsewhere.Address)
	gone.State = pb.Line_GONE
	r.updateList(gone)
	r.discovery.ReportLines([]*pb.Line{listLine("w", elsewhere.Address)}, 0)
	r.waitFor("the new address", func() (known bool) {
		r.s.Inspect(func() { known = r.s.workers["w"].address == elsewhere.Address })
		return known
	})
	before := old.Load()
	for id := uint64(2); id < 12; id++ {
		c.send(id, 0)
		c.expect(id, pb.Outcome_SATISFIED)
	}
	if old.Load() != before || moved.Load() != 10 {
		t.Errorf("%d hand-offs went to the old address, %d to the new one", old.Load()-before, moved.Load())
	}
}

// incompleteTransport is a frameTransport whose connections report that no hand-off was sent completely.
type incompleteTransport struct{ *frameTransport }

type incompleteConn struct{ WorkerConn }

func (n incompleteTransport) Dial(handler WorkerConnHandler, address string, timeout time.Duration) (WorkerConn, error) {
	conn, err := n.frameTransport.Dial(handler, address, timeout)
	return incompleteConn{conn}, err
}

func (incompleteConn) MayHaveSent(int64) bool { return false }

// If a connection breaks before the last byte of a hand-off was sent, the hand-off has not run: even a transaction
// that is not idempotent is deferred.
func TestBrokenBeforeTheLastByte(t *testing.T) {
	for complete, want := range map[bool]pb.Outcome{true: pb.Outcome_WRITTEN_OFF, false: pb.Outcome_DEFERRED} {
		r := newRig(t, rigOptions{})
		r.addWorker("w", func(l *wire.Link, _ *wire.Work) { l.Close(wire.ErrClosed) })
		r.s.Inspect(func() {
			if !complete {
				r.s.transport = incompleteTransport{r.s.transport.(*frameTransport)}
			}
		})
		c := r.testClient()
		c.send(1, 2)
		c.expect(1, want)
	}
}

// After AnswerWithin, a transaction whose worker does not answer is written off within the duration, one that was not
// handed off is not taken, and one that arrives later is not taken at once.
func TestAnswerWithin(t *testing.T) {
	handOffNext := true
	r := newRig(t, rigOptions{decide: func(in *input.Input) (out logic.Result) {
		if in.Kind == input.TransactionArrived && handOffNext {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w"}}
		}
		handOffNext = handOffNext && in.Kind != input.TransactionArrived
		out.WatchList = in.Kind == input.ListReceived && in.ListKind == logic.CachedList
		return out
	}})
	r.addWorker("w", func(*wire.Link, *wire.Work) {})
	c := r.testClient()
	c.send(1, 0)
	c.send(2, 0)
	r.waitFor("both transactions", func() bool { return r.seen(input.TransactionArrived) == 2 })
	r.s.AnswerWithin(50 * time.Millisecond)
	outcomes := map[uint64]uint32{}
	for range 2 {
		a := c.receive()
		outcomes[a.ID] = a.Outcome
	}
	if outcomes[1] != uint32(pb.Outcome_WRITTEN_OFF) || outcomes[2] != uint32(pb.Outcome_NOT_TAKEN) {
		t.Errorf("outcomes %v", outcomes)
	}
	c.send(3, 0)
	c.expect(3, pb.Outcome_NOT_TAKEN)
	if n := r.s.CounterValues("overdue_total")["0"]; n != 0 {
		t.Errorf("%g transactions were counted as overdue", n)
	}
}

// Transactions that are read during the event loop's last iteration are answered as not taken before their connection
// closes.
//
// Without this they were discarded: the loop ends once no transaction is open, and the events left in the inbox, as
// well as frames read after that, were lost. Three transactions in the inbox at the time of the last answer got none.
func TestAskedAtTheEnd(t *testing.T) {
	var c *testClient
	var r *rig
	more, stop := make(chan struct{}), make(chan struct{})
	last := uint64(1)
	r = newRig(t, rigOptions{decide: func(in *input.Input) (out logic.Result) {
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
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		go func() {
			r.s.Stop()
			reply(l, m, pb.Ended_ANSWERED)
		}()
	})
	c = r.testClient()
	c.send(last, 0)
	<-more // the loop is in its last iteration
	for range 3 {
		last++
		c.send(last, 0)
	}
	r.waitFor("transactions in the inbox", func() bool { waiting, _ := r.s.inbox.stats(); return waiting >= 3 })
	close(stop)
	answers := map[uint64]uint32{}
	for len(answers) < int(last) {
		select {
		case a := <-c.answers:
			answers[a.ID] = a.Outcome
		case <-time.After(3 * time.Second):
			t.Fatalf("answers %v to %d transactions that were read", answers, last)
		}
	}
	for id := uint64(2); id <= last; id++ {
		if answers[id] != uint32(pb.Outcome_NOT_TAKEN) {
			t.Errorf("transaction %d: %v, expected a refusal", id, pb.Outcome(answers[id]))
		}
	}
}
