package platform

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// toFirst hands each transaction off to one worker, after a look at what has come.
func toFirst(look func(in *input.Input)) func(*input.Input) logic.Result {
	return func(in *input.Input) (out logic.Result) {
		look(in)
		if in.Kind == input.TransactionArrived {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0"}}
		}
		return out
	}
}

// nobodyBooked says that all clients have gone, as the poller sees it.
func (r *rig) nobodyBooked() bool {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	return len(r.p.clients) == 0
}

// No attempt begins after its client has closed, though the loop has yet to hear of it: while the request, and one behind it
// on the same connection, waits in the inbox; as the module rules; and as the connection for it comes up.
func TestClientGoneBeforeTheLoopHears(t *testing.T) {
	var got sync.Map
	at := worker(t, func(c net.Conn, n int, words []string) {
		got.Store(words[2], true)
		good(c, n, words)
	})
	none := func(t *testing.T, r *rig, ids ...string) {
		t.Helper()
		r.wait("the ends of all attempts", func() bool { return len(r.ends) == r.rulings[logic.HandOff] })
		c := r.dial(t)
		c.say(read("after"))
		c.want("v-after")
		for _, id := range ids {
			if _, sent := got.Load(id); sent {
				t.Errorf("%s was sent on after its client had closed", id)
			}
		}
	}
	t.Run("in the inbox", func(t *testing.T) {
		r := newRig(t, plan{workers: []string{at}, decide: toFirst(func(*input.Input) {})})
		c := r.dial(t)
		c.say(read("first")) // a connection stands
		c.want("v-first")
		time.Sleep(50 * time.Millisecond)
		held, gate := make(chan struct{}), make(chan struct{})
		go r.s.Inspect(func() { close(held); <-gate })
		<-held
		c.say(read("inbox-a") + read("inbox-b"))
		r.wait("both commands", func() bool { r.p.mu.Lock(); defer r.p.mu.Unlock(); return len(r.p.ids) == 2 })
		c.Close()
		r.wait("the close", r.nobodyBooked)
		close(gate)
		none(t, r, "inbox-a", "inbox-b")
	})
	t.Run("as the module rules", func(t *testing.T) {
		came, gate := make(chan struct{}), make(chan struct{})
		n := 0
		r := newRig(t, plan{workers: []string{at}, decide: toFirst(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				if n++; n == 2 {
					close(came)
					<-gate
				}
			}
		})})
		c := r.dial(t)
		c.say(read("standing"))
		c.want("v-standing")
		time.Sleep(50 * time.Millisecond)
		c.say(read("ruled"))
		<-came
		c.Close()
		r.wait("the close", r.nobodyBooked)
		close(gate)
		none(t, r, "ruled")
	})
	t.Run("as its connection comes up", func(t *testing.T) {
		var r *rig
		gate, ready, built := make(chan struct{}), make(chan struct{}), make(chan struct{})
		n := 0
		r = newRig(t, plan{workers: []string{at}, decide: toFirst(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				<-built
				if n++; n == 1 { // before the connection is told of
					go r.s.Inspect(func() { close(ready); <-gate })
					time.Sleep(20 * time.Millisecond)
				}
			}
		})})
		close(built)
		c := r.dial(t)
		c.say(read("dialled"))
		<-ready
		time.Sleep(50 * time.Millisecond) // the connection stands, of which the loop hears next
		held, after := make(chan struct{}), make(chan struct{})
		go r.s.Inspect(func() { close(held); <-after })
		time.Sleep(20 * time.Millisecond)
		close(gate)
		<-held // it has greeted the worker, and hears of its welcome before it hears of the close
		c.Close()
		r.wait("the close", r.nobodyBooked)
		close(after)
		none(t, r, "dialled")
	})
}

// A worker that drains, or comes back under its id with another address or build: what waits for a connection to it is given back to
// the module unsent, and a connection that comes up to where it was carries nothing.
func TestWorkerComesBackElsewhere(t *testing.T) {
	var old atomic.Int64
	was := worker(t, func(c net.Conn, n int, words []string) {
		old.Add(1)
		good(c, n, words)
	})
	is := worker(t, good)
	for name, line := range map[string]*pb.Line{"address": {Id: "w0", Address: is, Build: 7, Size: 1}, "build": {Id: "w0", Address: was, Build: 8, Size: 1},
		"drain": {Id: "w0", Address: was, Build: 7, Size: 1, State: pb.Line_DRAINING}} {
		var r *rig
		ready, n := make(chan struct{}), 0
		r = newRig(t, plan{workers: []string{was}, decide: toFirst(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				if <-ready; n == 0 { // it is told while a connection is dialled
					r.s.ListReceived(&pb.Report{Version: 50, Lines: []*pb.Line{line}}, nil)
				}
				n++
			}
		})})
		close(ready)
		c := r.dial(t)
		c.say(read("a"))
		r.wait(name+": the attempt given back", func() bool { return r.ended(logic.Unsent) == 1 })
		time.Sleep(50 * time.Millisecond)
		c.Close()
		if c = r.dial(t); name == "address" {
			c.say(read("b"))
			c.want("v-b")
		}
		if n := old.Load(); n != 0 {
			t.Errorf("%s: %d attempts where the worker was, expected none", name, n)
		}
	}
}

// A second copy of an answer that comes as the next attempt could be written is not taken for that one's answer: a
// connection rests after an answer, and what can't wait goes to another one.
func TestSecondCopyComesLate(t *testing.T) {
	at := listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for before := ""; ; {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			io.WriteString(c, before) // once more what was answered before
			before = answer("v-" + words[2])
			io.WriteString(c, before)
		}
	})
	r := newRig(t, plan{workers: []string{at}, other: []string{`"connect_timeout_ns":250000000`, `"connect_timeout_ns":8000000000`}})
	c := r.dial(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		c.say(move(id))
		c.want("v-" + id)
	}
	r.wait("the answers", func() bool { return r.ended(logic.Answered) == 4 })
}

// What waits for the only connection that there may be is sent once it has rested; so is what would not wait, if no other
// connection can be had.
func TestRested(t *testing.T) {
	only := newRig(t, plan{workers: []string{worker(t, good)}, decide: toFirst(func(*input.Input) {})})
	only.s.Inspect(func() { only.p.post.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() {
		c, err := l.Accept()
		l.Close() // and no other
		for in := bufio.NewReader(c); err == nil; {
			var words []string
			if words, err = readCommand(in); err == nil {
				good(c, 0, words)
			}
		}
	}()
	refused := newRig(t, plan{workers: []string{l.Addr().String()}, decide: toFirst(func(*input.Input) {}),
		other: []string{`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`}})
	for _, r := range []*rig{only, refused} {
		c := r.dial(t)
		for _, id := range []string{"a", "b"} {
			c.say(commandOf("Q.ASK", "k", id, "c=read,t=acme,d=890"))
			c.want("v-" + id)
		}
	}
}

// Two sentries of other customers in one process: each takes its own classes and tenants, with its own deadlines and
// commands, and refuses the other's names; a reload of one changes nothing for the other.
func TestTwoCustomers(t *testing.T) {
	at := worker(t, func(c net.Conn, n int, words []string) {
		if words[2] != "silent" {
			good(c, n, words)
		}
	})
	other := []string{`"name":"read"`, `"name":"look"`, `"name":"note"`, `"name":"book"`, `"name":"move"`, `"name":"pay"`, `"name":"acme"`,
		`"name":"river"`, `"deadline_ns":900000000`, `"deadline_ns":300000000`, `"effect":"fragile"`, `"effect":"retryable"`, `"max_attempts":3`, `"max_attempts":1`}
	one, two := newRig(t, plan{workers: []string{at}}), newRig(t, plan{workers: []string{at}, other: other})
	ask := func(command, id, facts string) string { return commandOf(command, "k", id, facts) }
	for _, x := range []struct {
		r    *rig
		say  string
		want string
	}{
		{one, ask("Q.ASK", "a", "c=read,t=acme,d=800"), "v-a"}, {two, ask("Q.ASK", "a", "c=look,t=river,d=800"), "v-a"},
		{one, ask("Q.ASK", "b", "c=look,t=acme,d=800"), "-ERR found a class"}, {two, ask("Q.ASK", "b", "c=read,t=river,d=800"), "-ERR found a class"},
		{one, ask("Q.ASK", "c", "c=read,t=river,d=800"), "-ERR found a tenant"}, {two, ask("Q.ASK", "c", "c=look,t=acme,d=800"), "-ERR found a tenant"},
		{one, ask("Q.DO", "d", "c=move,t=acme,d=800"), "v-d"}, {two, ask("Q.ASK", "d", "c=pay,t=river,d=800"), "v-d"},
		{one, ask("Q.ASK", "e", "c=move,t=acme,d=800"), "-ERR found a command"}, {two, ask("Q.DO", "e", "c=pay,t=river,d=800"), "-ERR found a command"},
	} {
		c := x.r.dial(t)
		c.say(x.say)
		c.want(x.want)
	}
	began := time.Now()
	c := two.dial(t)
	c.say(ask("Q.ASK", "silent", "c=look,t=river,d=5000"))
	c.want("-BUSY") // by its own deadline
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("given up after %v, expected the second customer's deadline", took)
	}
	if err := two.p.Reload(must(parsePost(configuration(256, closed(), closed(), []string{at}, append(other, `"free":2`, `"free":7`)...)))); err != nil {
		t.Fatal(err)
	}
	if a, b := one.p.post.Load().Settings.Policy.FreeExposure, two.p.post.Load().Settings.Policy.FreeExposure; a != 2 || b != 7 {
		t.Errorf("free exposure %v and %v, expected 2 and 7", a, b)
	}
}

// A worker's connection that ends at each step of an attempt, in order or with a reset: its client gets one answer, never
// another's, and what comes next is served.
func TestWorkerEndsAtEachStep(t *testing.T) {
	command, whole := len(move("a")), answer("v-a")
	ends := map[string]func(net.Conn){
		"in order":     func(c net.Conn) { c.Close() },
		"with a reset": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	}
	for name, end := range ends {
		for step := 0; step <= command+len(whole); step += 3 {
			var n, again atomic.Int64
			r := served(t, listen(t, func(c net.Conn) {
				if n.Add(1) > 1 {
					for in := bufio.NewReader(c); ; {
						words, err := readCommand(in)
						if err != nil {
							return
						}
						if words[2] == "a" {
							again.Add(1)
						}
						good(c, 0, words)
					}
				}
				io.ReadFull(c, make([]byte, min(step, command)))
				io.WriteString(c, whole[:max(0, step-command)])
				end(c)
			}))
			c := r.dial(t)
			c.say(move("a"))
			// What may have run is written off; a refusal says that it has not.
			if got := c.line(); got != "v-a" && !strings.HasPrefix(got, "-ERR") && !(strings.HasPrefix(got, "-BUSY") && step == 0) {
				t.Errorf("%s after %d of %d and %d bytes: answer %q", name, step, command, len(whole), got)
			}
			if step > 0 && again.Load() > 0 { // it was written whole, since something of it was read
				t.Errorf("%s after %d of %d and %d bytes: sent again, though it may have run", name, step, command, len(whole))
			}
			c.say(commandOf("PING"))
			c.want("+PONG")
			c.say(read("b"))
			if got := c.line(); got != "v-b" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("%s after %d bytes: next answer %q", name, step, got)
			}
		}
	}
}
