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
func handOffToFirstWorker(observe func(in *input.Input)) func(*input.Input) logic.Result {
	return func(in *input.Input) (out logic.Result) {
		observe(in)
		if in.Kind == input.TransactionArrived {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0"}}
		}
		return out
	}
}

// nobodyBooked says that all clients have gone, as the poller sees it.
func (e *testEnv) noClients() bool {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	return len(e.p.clients) == 0
}

// No attempt begins after its client has closed, though the loop has yet to hear of it: while the request, and one behind it
// on the same connection, waits in the inbox; as the module rules; and as the connection for it comes up.
func TestNoHandOffAfterClientCloses(t *testing.T) {
	var received sync.Map
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		received.Store(words[2], true)
		answerValue(c, n, words)
	})
	expectNoneSent := func(t *testing.T, env *testEnv, ids ...string) {
		t.Helper()
		env.waitFor("the ends of all attempts", func() bool { return len(env.ends) == env.actions[logic.HandOff] })
		c := env.dial(t)
		c.send(readCmd("after"))
		c.expectReply("v-after")
		for _, id := range ids {
			if _, sent := received.Load(id); sent {
				t.Errorf("%s was sent on after its client had closed", id)
			}
		}
	}
	t.Run("in the inbox", func(t *testing.T) {
		env := newEnv(t, options{workers: []string{address}, decide: handOffToFirstWorker(func(*input.Input) {})})
		c := env.dial(t)
		c.send(readCmd("first")) // a connection stands
		c.expectReply("v-first")
		time.Sleep(50 * time.Millisecond)
		blocked, gate := make(chan struct{}), make(chan struct{})
		go env.sentry.Inspect(func() { close(blocked); <-gate })
		<-blocked
		c.send(readCmd("inbox-a") + readCmd("inbox-b"))
		env.waitFor("both commands", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == 2 })
		c.Close()
		env.waitFor("the close", env.noClients)
		close(gate)
		expectNoneSent(t, env, "inbox-a", "inbox-b")
	})
	t.Run("as the module rules", func(t *testing.T) {
		arrived, gate := make(chan struct{}), make(chan struct{})
		n := 0
		env := newEnv(t, options{workers: []string{address}, decide: handOffToFirstWorker(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				if n++; n == 2 {
					close(arrived)
					<-gate
				}
			}
		})})
		c := env.dial(t)
		c.send(readCmd("standing"))
		c.expectReply("v-standing")
		time.Sleep(50 * time.Millisecond)
		c.send(readCmd("ruled"))
		<-arrived
		c.Close()
		env.waitFor("the close", env.noClients)
		close(gate)
		expectNoneSent(t, env, "ruled")
	})
	t.Run("as its connection comes up", func(t *testing.T) {
		var env *testEnv
		gate, ready, built := make(chan struct{}), make(chan struct{}), make(chan struct{})
		n := 0
		env = newEnv(t, options{workers: []string{address}, decide: handOffToFirstWorker(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				<-built
				if n++; n == 1 { // before the connection is told of
					go env.sentry.Inspect(func() { close(ready); <-gate })
					time.Sleep(20 * time.Millisecond)
				}
			}
		})})
		close(built)
		c := env.dial(t)
		c.send(readCmd("dialled"))
		<-ready
		time.Sleep(50 * time.Millisecond) // the connection stands, of which the loop hears next
		blocked, after := make(chan struct{}), make(chan struct{})
		go env.sentry.Inspect(func() { close(blocked); <-after })
		time.Sleep(20 * time.Millisecond)
		close(gate)
		<-blocked // it has greeted the worker, and hears of its welcome before it hears of the close
		c.Close()
		env.waitFor("the close", env.noClients)
		close(after)
		expectNoneSent(t, env, "dialled")
	})
}

// A worker that drains, or comes back under its id with another address or build: what waits for a connection to it is given back to
// the module unsent, and a connection that comes up to where it was carries nothing.
func TestQueuedHandOffsOfChangedWorker(t *testing.T) {
	var oldCommands atomic.Int64
	oldAddress := startWorker(t, func(c net.Conn, n int, words []string) {
		oldCommands.Add(1)
		answerValue(c, n, words)
	})
	newAddress := startWorker(t, answerValue)
	for name, line := range map[string]*pb.Line{"address": {Id: "w0", Address: newAddress, Build: 7, Size: 1}, "build": {Id: "w0", Address: oldAddress, Build: 8, Size: 1},
		"drain": {Id: "w0", Address: oldAddress, Build: 7, Size: 1, State: pb.Line_DRAINING}} {
		var env *testEnv
		ready, n := make(chan struct{}), 0
		env = newEnv(t, options{workers: []string{oldAddress}, decide: handOffToFirstWorker(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				if <-ready; n == 0 { // it is told while a connection is dialled
					env.sentry.ListReceived(&pb.Report{Version: 50, Lines: []*pb.Line{line}}, nil)
				}
				n++
			}
		})})
		close(ready)
		c := env.dial(t)
		c.send(readCmd("a"))
		env.waitFor(name+": the attempt given back", func() bool { return env.countEnded(logic.Unsent) == 1 })
		time.Sleep(50 * time.Millisecond)
		c.Close()
		if c = env.dial(t); name == "address" {
			c.send(readCmd("b"))
			c.expectReply("v-b")
		}
		if n := oldCommands.Load(); n != 0 {
			t.Errorf("%s: %d attempts where the worker was, expected none", name, n)
		}
	}
}

// A second copy of an answer that comes as the next attempt could be written is not taken for that one's answer: a
// connection rests after an answer, and what can't wait goes to another one.
func TestDuplicateAnswerIgnored(t *testing.T) {
	address := serveConns(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for previous := ""; ; {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			io.WriteString(c, previous) // once more what was answered before
			previous = newAnswer("v-" + words[2])
			io.WriteString(c, previous)
		}
	})
	env := newEnv(t, options{workers: []string{address}, replacements: []string{`"connect_timeout_ns":250000000`, `"connect_timeout_ns":8000000000`}})
	c := env.dial(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		c.send(moveCmd(id))
		c.expectReply("v-" + id)
	}
	env.waitFor("the answers", func() bool { return env.countEnded(logic.Answered) == 4 })
}

// What waits for the only connection that there may be is sent once it has rested; so is what would not wait, if no other
// connection can be had.
func TestConnectionReuseAfterAnswer(t *testing.T) {
	singleConnection := newEnv(t, options{workers: []string{startWorker(t, answerValue)}, decide: handOffToFirstWorker(func(*input.Input) {})})
	singleConnection.sentry.Inspect(func() { singleConnection.p.config.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() {
		c, err := listener.Accept()
		listener.Close() // and no other
		for in := bufio.NewReader(c); err == nil; {
			var words []string
			if words, err = readCommand(in); err == nil {
				answerValue(c, 0, words)
			}
		}
	}()
	oneAccepted := newEnv(t, options{workers: []string{listener.Addr().String()}, decide: handOffToFirstWorker(func(*input.Input) {}),
		replacements: []string{`"connect_timeout_ns":250000000`, `"connect_timeout_ns":4000000000`}})
	for _, env := range []*testEnv{singleConnection, oneAccepted} {
		c := env.dial(t)
		for _, id := range []string{"a", "b"} {
			c.send(encode("Q.ASK", "k", id, "c=read,t=acme,d=890"))
			c.expectReply("v-" + id)
		}
	}
}

// Two sentries of other customers in one process: each takes its own classes and tenants, with its own deadlines and
// commands, and refuses the other's names; a reload of one changes nothing for the other.
func TestTwoSentriesInOneProcess(t *testing.T) {
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		if words[2] != "silent" {
			answerValue(c, n, words)
		}
	})
	replacements := []string{`"name":"read"`, `"name":"look"`, `"name":"note"`, `"name":"book"`, `"name":"move"`, `"name":"pay"`, `"name":"acme"`,
		`"name":"river"`, `"deadline_ns":900000000`, `"deadline_ns":300000000`, `"effect":"fragile"`, `"effect":"retryable"`, `"max_attempts":3`, `"max_attempts":1`}
	first, second := newEnv(t, options{workers: []string{address}}), newEnv(t, options{workers: []string{address}, replacements: replacements})
	request := func(command, id, facts string) string { return encode(command, "k", id, facts) }
	for _, step := range []struct {
		r    *testEnv
		say  string
		want string
	}{
		{first, request("Q.ASK", "a", "c=read,t=acme,d=800"), "v-a"}, {second, request("Q.ASK", "a", "c=look,t=river,d=800"), "v-a"},
		{first, request("Q.ASK", "b", "c=look,t=acme,d=800"), "-ERR found a class"}, {second, request("Q.ASK", "b", "c=read,t=river,d=800"), "-ERR found a class"},
		{first, request("Q.ASK", "c", "c=read,t=river,d=800"), "-ERR found a tenant"}, {second, request("Q.ASK", "c", "c=look,t=acme,d=800"), "-ERR found a tenant"},
		{first, request("Q.DO", "d", "c=move,t=acme,d=800"), "v-d"}, {second, request("Q.ASK", "d", "c=pay,t=river,d=800"), "v-d"},
		{first, request("Q.ASK", "e", "c=move,t=acme,d=800"), "-ERR found a command"}, {second, request("Q.DO", "e", "c=pay,t=river,d=800"), "-ERR found a command"},
	} {
		c := step.r.dial(t)
		c.send(step.say)
		c.expectReply(step.want)
	}
	started := time.Now()
	c := second.dial(t)
	c.send(request("Q.ASK", "silent", "c=look,t=river,d=5000"))
	c.expectReply("-BUSY") // by its own deadline
	if took := time.Since(started); took < 250*time.Millisecond {
		t.Errorf("given up after %v, expected the second customer's deadline", took)
	}
	if err := second.p.Reload(must(parseConfig(configJSON(256, closedAddress(), closedAddress(), []string{address}, append(replacements, `"free":2`, `"free":7`)...)))); err != nil {
		t.Fatal(err)
	}
	if a, b := first.p.config.Load().Settings.Policy.FreeExposure, second.p.config.Load().Settings.Policy.FreeExposure; a != 2 || b != 7 {
		t.Errorf("free exposure %v and %v, expected 2 and 7", a, b)
	}
}

// A worker's connection that ends at each step of an attempt, in order or with a reset: its client gets one answer, never
// another's, and what comes next is served.
func TestWorkerClosesAtEachStep(t *testing.T) {
	command, fullAnswer := len(moveCmd("a")), newAnswer("v-a")
	closers := map[string]func(net.Conn){
		"in order":     func(c net.Conn) { c.Close() },
		"with a reset": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	}
	for name, closeConn := range closers {
		for step := 0; step <= command+len(fullAnswer); step += 3 {
			var conns, resent atomic.Int64
			env := envWith(t, serveConns(t, func(c net.Conn) {
				if conns.Add(1) > 1 {
					for in := bufio.NewReader(c); ; {
						words, err := readCommand(in)
						if err != nil {
							return
						}
						if words[2] == "a" {
							resent.Add(1)
						}
						answerValue(c, 0, words)
					}
				}
				io.ReadFull(c, make([]byte, min(step, command)))
				io.WriteString(c, fullAnswer[:max(0, step-command)])
				closeConn(c)
			}))
			c := env.dial(t)
			c.send(moveCmd("a"))
			// What may have run is written off; a refusal says that it has not.
			if got := c.readReply(); got != "v-a" && !strings.HasPrefix(got, "-ERR") && !(strings.HasPrefix(got, "-BUSY") && step == 0) {
				t.Errorf("%s after %d of %d and %d bytes: answer %q", name, step, command, len(fullAnswer), got)
			}
			if step > 0 && resent.Load() > 0 { // it was written whole, since something of it was read
				t.Errorf("%s after %d of %d and %d bytes: sent again, though it may have run", name, step, command, len(fullAnswer))
			}
			c.send(encode("PING"))
			c.expectReply("+PONG")
			c.send(readCmd("b"))
			if got := c.readReply(); got != "v-b" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("%s after %d bytes: next answer %q", name, step, got)
			}
		}
	}
}
