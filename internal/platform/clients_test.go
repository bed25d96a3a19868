package platform

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/wire"
)

// heldPoller holds the poller until the test says so: what comes meanwhile stays in the system, unread and not taken up.
func blockPoller() (release func()) {
	blocked, gate := make(chan struct{}), make(chan struct{})
	wire.RunOnPoller(func() { close(blocked); <-gate })
	<-blocked
	return func() { close(gate) }
}

// drainedAt has a sentry asked to stop so long ago that clients with nothing open are to go.
func (e *testEnv) drainPastStopReading() {
	start := time.Now().Add(-stopReadingDelay)
	e.p.drainStart.Store(&start)
}

func (e *testEnv) onlyClient() *clientConn {
	all := e.p.listClients()
	if len(all) != 1 {
		e.t.Fatalf("%d clients, expected 1", len(all))
	}
	return all[0]
}

// The only client's connection is to be closed as idle just as a command comes on it: the command is answered, and the
// connection closes after it. It was in the system, unread; in part; or read and in hand.
func TestCommandArrivesDuringIdleClose(t *testing.T) {
	for _, first := range []bool{true, false} {
		env := envWith(t, startWorker(t, answerValue))
		c := env.dial(t)
		c.send(readCmd("a"))
		c.expectReply("v-a")
		client := env.onlyClient()
		release := blockPoller()
		wire.RunOnPoller(client.closeIfDue)
		c.send(readCmd("b"))
		time.Sleep(20 * time.Millisecond)
		env.drainPastStopReading()
		if !first {
			wire.RunOnPoller(client.closeIfDue)
		}
		release()
		c.expectReply("v-b")
		c.expectReply("closed")
	}
}

// A command of which a part has come when the sentry is to stop gets its time, at every place where it may be cut.
func TestPartialCommandsDuringDrain(t *testing.T) {
	env := newEnv(t, options{sockets: 1024, workers: []string{startWorker(t, answerValue)}})
	text := func(cut int) string { return moveCmd(fmt.Sprintf("m%03d", cut)) }
	clients := make([]testClient, len(text(0)))
	for cut := 1; cut < len(clients); cut++ {
		clients[cut] = env.dial(t)
		clients[cut].send(text(cut)[:cut])
	}
	countClientsAfterReads := func() (n int) {
		done := make(chan int)
		wire.RunOnPoller(func() { // what has come by now has been read, or will be by the next turn
			wire.RunOnPoller(func() { done <- len(env.p.listClients()) })
		})
		return <-done
	}
	env.waitFor("the parts", func() bool { return countClientsAfterReads() == len(clients)-1 })
	env.drainPastStopReading()
	time.Sleep(3 * clientSweepInterval)
	for cut := 1; cut < len(clients); cut++ {
		clients[cut].send(text(cut)[cut:])
	}
	for cut := 1; cut < len(clients); cut++ {
		if got := clients[cut].readReply(); got != fmt.Sprintf("v-m%03d", cut) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("cut at %d: %q, expected an answer", cut, got)
		}
		clients[cut].expectReply("closed")
	}
}

// A connection that the system has accepted when the last client leaves, and the sentry has not taken up, is served; one that
// comes once the sentry has stopped listening is refused.
func TestAcceptDuringListenerClose(t *testing.T) {
	env := envWith(t, startWorker(t, answerValue))
	env.waitFor("looks at no clients", func() bool { return len(env.p.listClients()) == 0 })
	release := blockPoller()
	c := env.dial(t)
	c.send(readCmd("late"))
	env.drainPastStopReading()
	time.Sleep(3 * clientSweepInterval) // it finds no clients
	release()
	c.expectReply("v-late")
	c.expectReply("closed")
	select {
	case <-env.sentry.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the sentry did not end")
	}
	if c, err := net.DialTimeout("tcp", env.sentry.Address(), time.Second); err == nil {
		c.Close()
		t.Error("a connection was accepted after the end")
	}
}

// Where there are too many clients, one whose command has come and was not read yet is not the one that is closed, though it
// has been idle for longest.
func TestClientLimitSparesUnreadCommand(t *testing.T) {
	env := newEnv(t, options{sockets: 160, workers: []string{startWorker(t, answerValue)}})
	clients := make([]testClient, env.p.config.Load().maxClients())
	for i := range clients {
		clients[i] = env.dial(t)
		clients[i].send(readCmd(fmt.Sprint("r", i)))
		clients[i].expectReply(fmt.Sprint("v-r", i))
	}
	release := blockPoller()
	accepted := make(chan testClient, 1)
	wire.RunOnPoller(func() { // the oldest's command stands in the system as the new one is taken up
		clients[0].send(readCmd("oldest"))
		time.Sleep(20 * time.Millisecond)
		oldest, since := (*clientConn)(nil), time.Time{}
		for _, client := range env.p.listClients() {
			client.mu.Lock()
			if oldest == nil || client.lastUsed.Before(since) {
				oldest, since = client, client.lastUsed
			}
			client.mu.Unlock()
		}
		if oldest.CloseIfIdle(wire.ErrClosed, false) {
			t.Error("a client was closed over a command that had come")
		}
	})
	go func() { accepted <- env.dial(t) }()
	release()
	clients[0].expectReply("v-oldest")
	c := <-accepted
	c.send(readCmd("new"))
	c.expectReply("v-new")
	env.waitFor("one closed", func() bool { return len(env.p.listClients()) == len(clients) })
}

// Pipelined commands come in pieces around the stop. Those that had been read, the one in part, and whatever a worker has seen
// are answered, in order, before the connection closes; what was not read by then is left to the client to send again.
func TestPipelineDuringDrain(t *testing.T) {
	unblock := make(chan struct{})
	var sentToWorker sync.Map
	env := envWith(t, startWorker(t, func(c net.Conn, n int, words []string) {
		sentToWorker.Store(words[2], true)
		if words[2] == "p0" {
			<-unblock
		}
		answerValue(c, n, words)
	}))
	c := env.dial(t)
	text := ""
	for i := range 8 {
		text += readCmd(fmt.Sprint("p", i))
	}
	c.send(text[:len(text)/2])
	const readAtDrain = 4 // commands whole or in part in the first half
	env.waitFor("some commands", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) >= 3 })
	env.drainPastStopReading()
	c.send(text[len(text)/2:])
	time.AfterFunc(100*time.Millisecond, func() { close(unblock) })
	answered := 0
	for got := c.readReply(); got != "closed"; got = c.readReply() {
		if got != fmt.Sprint("v-p", answered) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("answer %d: %q", answered, got)
		}
		answered++
	}
	if answered < readAtDrain {
		t.Errorf("%d answers, expected at least those of the %d commands that had been read or were in part", answered, readAtDrain)
	}
	for i := answered; i < 8; i++ {
		if _, sent := sentToWorker.Load(fmt.Sprint("p", i)); sent {
			t.Errorf("p%d was sent to a worker and has no answer", i)
		}
	}
}

// Where all clients have something open, a new one beyond the bound is served if it has sent something, and closed then; one
// that has sent nothing is closed at once. Neither is read and then closed with no answer.
func TestClientLimitWithAllBusy(t *testing.T) {
	unblock := make(chan struct{})
	env := newEnv(t, options{sockets: 160, workers: []string{startWorker(t, func(c net.Conn, n int, words []string) {
		<-unblock
		answerValue(c, n, words)
	})}, decide: handOffToFirstWorker(func(*input.Input) {}),
		replacements: []string{`"deadline_ns":900000000`, `"deadline_ns":20000000000`}})
	limit := env.p.config.Load().maxClients()
	clients := make([]testClient, limit)
	longRequest := func(id string) string { return encode("Q.ASK", "key-"+id, id, "c=read,t=acme,d=20000") }
	for i := range clients {
		clients[i] = env.dial(t)
		clients[i].send(longRequest(fmt.Sprint("r", i)))
	}
	env.waitFor("all commands", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == limit })
	release := blockPoller()
	late := env.dial(t)
	late.send(longRequest("late")) // stands in the system as the connection is taken up
	release()
	env.waitFor("its command", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == limit+1 })
	silent := env.dial(t)
	silent.expectReply("closed")
	close(unblock)
	late.expectReply("v-late")
	late.expectReply("closed")
	for i := range clients {
		clients[i].expectReply(fmt.Sprint("v-r", i))
	}
}
