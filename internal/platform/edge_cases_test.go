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

// handOffToFirstWorker returns a decision module that hands each transaction off to worker w0, after it has called
// observe.
func handOffToFirstWorker(observe func(in *input.Input)) func(*input.Input) logic.Result {
	return func(in *input.Input) (out logic.Result) {
		observe(in)
		if in.Kind == input.TransactionArrived {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0"}}
		}
		return out
	}
}

// noClients reports whether the platform has removed all clients.
func (e *testEnv) noClients() bool {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	return len(e.p.clients) == 0
}

// No hand-off is sent after its client has closed, even if the event loop has not handled the close yet: while the
// request and another one on the same connection wait in the inbox, during the decision, and while a connection to the
// worker is dialed.
func TestNoHandOffAfterClientCloses(t *testing.T) {
	var received sync.Map
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		received.Store(words[2], true)
		answerValue(c, n, words)
	})
	expectNoneSent := func(t *testing.T, env *testEnv, ids ...string) {
		t.Helper()
		env.waitFor("the ends of all hand-offs", func() bool { return len(env.ends) == env.actions[logic.HandOff] })
		c := env.dial(t)
		c.send(readCmd("after"))
		c.expectReply("v-after")
		for _, id := range ids {
			if _, sent := received.Load(id); sent {
				t.Errorf("%s was sent to the worker after its client had closed", id)
			}
		}
	}
	t.Run("in the inbox", func(t *testing.T) {
		env := newEnv(t, options{workers: []string{address}, decide: handOffToFirstWorker(func(*input.Input) {})})
		c := env.dial(t)
		c.send(readCmd("first")) // opens a connection to the worker
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
	t.Run("during the decision", func(t *testing.T) {
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
		c.send(readCmd("before"))
		c.expectReply("v-before")
		time.Sleep(50 * time.Millisecond)
		c.send(readCmd("undecided"))
		<-arrived
		c.Close()
		env.waitFor("the close", env.noClients)
		close(gate)
		expectNoneSent(t, env, "undecided")
	})
	t.Run("while dialing", func(t *testing.T) {
		var env *testEnv
		gate, ready, built := make(chan struct{}), make(chan struct{}), make(chan struct{})
		n := 0
		env = newEnv(t, options{workers: []string{address}, decide: handOffToFirstWorker(func(in *input.Input) {
			if in.Kind == input.TransactionArrived {
				<-built
				if n++; n == 1 { // blocks the loop before it handles the new connection
					go env.sentry.Inspect(func() { close(ready); <-gate })
					time.Sleep(20 * time.Millisecond)
				}
			}
		})})
		close(built)
		c := env.dial(t)
		c.send(readCmd("dialed"))
		<-ready
		time.Sleep(50 * time.Millisecond) // the connection is open, and the loop handles it next
		blocked, after := make(chan struct{}), make(chan struct{})
		go env.sentry.Inspect(func() { close(blocked); <-after })
		time.Sleep(20 * time.Millisecond)
		close(gate)
		<-blocked // the loop has called SendHello, and handles the ready event before the close
		c.Close()
		env.waitFor("the close", env.noClients)
		close(after)
		expectNoneSent(t, env, "dialed")
	})
}

// When a worker drains, or its id gets another address or build, the hand-offs that wait for a connection to it end as
// unsent, and a connection to the old address that is established later carries none.
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
				if <-ready; n == 0 { // the change arrives while a connection is dialed
					env.sentry.ListReceived(&pb.Report{Version: 50, Lines: []*pb.Line{line}}, nil)
				}
				n++
			}
		})})
		close(ready)
		c := env.dial(t)
		c.send(readCmd("a"))
		env.waitFor(name+": the unsent hand-off", func() bool { return env.countEnded(logic.Unsent) == 1 })
		time.Sleep(50 * time.Millisecond)
		c.Close()
		if c = env.dial(t); name == "address" {
			c.send(readCmd("b"))
			c.expectReply("v-b")
		}
		if n := oldCommands.Load(); n != 0 {
			t.Errorf("%s: %d commands at the old address, expected none", name, n)
		}
	}
}

// A duplicate of an answer that arrives when the next hand-off could be written is not taken for the answer to that
// one: a connection is left unused for a while after an answer, and a hand-off that can't wait uses another connection.
func TestDuplicateAnswerIgnored(t *testing.T) {
	address := serveConns(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for previous := ""; ; {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			io.WriteString(c, previous) // a duplicate of the previous answer
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

// A hand-off that waits for the only permitted connection is sent once the pause after an answer is over. So is a
// hand-off that would not wait, if no other connection can be opened.
func TestConnectionReuseAfterAnswer(t *testing.T) {
	singleConnection := newEnv(t, options{workers: []string{startWorker(t, answerValue)}, decide: handOffToFirstWorker(func(*input.Input) {})})
	singleConnection.sentry.Inspect(func() { singleConnection.p.config.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	go func() {
		c, err := listener.Accept()
		listener.Close() // accepts no other connection
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

// Two sentries with different settings run in one process. Each accepts its own classes and tenants, with its own
// deadlines and commands, and rejects the names of the other. A reload of one changes nothing for the other.
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
		env     *testEnv
		command string
		want    string
	}{
		{first, request("Q.ASK", "a", "c=read,t=acme,d=800"), "v-a"}, {second, request("Q.ASK", "a", "c=look,t=river,d=800"), "v-a"},
		{first, request("Q.ASK", "b", "c=look,t=acme,d=800"), "-ERR found a class"}, {second, request("Q.ASK", "b", "c=read,t=river,d=800"), "-ERR found a class"},
		{first, request("Q.ASK", "c", "c=read,t=river,d=800"), "-ERR found a tenant"}, {second, request("Q.ASK", "c", "c=look,t=acme,d=800"), "-ERR found a tenant"},
		{first, request("Q.DO", "d", "c=move,t=acme,d=800"), "v-d"}, {second, request("Q.ASK", "d", "c=pay,t=river,d=800"), "v-d"},
		{first, request("Q.ASK", "e", "c=move,t=acme,d=800"), "-ERR found a command"}, {second, request("Q.DO", "e", "c=pay,t=river,d=800"), "-ERR found a command"},
	} {
		c := step.env.dial(t)
		c.send(step.command)
		c.expectReply(step.want)
	}
	started := time.Now()
	c := second.dial(t)
	c.send(request("Q.ASK", "silent", "c=look,t=river,d=5000"))
	c.expectReply("-BUSY") // at the deadline of its own class
	if took := time.Since(started); took < 250*time.Millisecond {
		t.Errorf("given up after %v, expected the second sentry's deadline", took)
	}
	if err := second.p.Reload(must(parseConfig(configJSON(256, closedAddress(t), closedAddress(t), []string{address}, append(replacements, `"free":2`, `"free":7`)...)))); err != nil {
		t.Fatal(err)
	}
	if a, b := first.p.config.Load().Settings.Policy.FreeExposure, second.p.config.Load().Settings.Policy.FreeExposure; a != 2 || b != 7 {
		t.Errorf("free exposure %v and %v, expected 2 and 7", a, b)
	}
}

// A worker's connection is closed or reset at each step of a hand-off. The client gets one reply and never that of
// another request, and the next request is served.
func TestWorkerClosesAtEachStep(t *testing.T) {
	command, fullAnswer := len(moveCmd("a")), newAnswer("v-a")
	closers := map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
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
			// A hand-off that may have run is written off; BUSY states that it has not run.
			if got := c.readReply(); got != "v-a" && !strings.HasPrefix(got, "-ERR") && !(strings.HasPrefix(got, "-BUSY") && step == 0) {
				t.Errorf("%s after %d of %d and %d bytes: reply %q", name, step, command, len(fullAnswer), got)
			}
			if step > 0 && resent.Load() > 0 { // it was written completely, since the worker has read a part
				t.Errorf("%s after %d of %d and %d bytes: sent again, though it may have run", name, step, command, len(fullAnswer))
			}
			c.send(encode("PING"))
			c.expectReply("+PONG")
			c.send(readCmd("b"))
			if got := c.readReply(); got != "v-b" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("%s after %d bytes: next reply %q", name, step, got)
			}
		}
	}
}
