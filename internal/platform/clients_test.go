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
	"scalechute/logic"
)

// blockPoller blocks the poller until release is called. Data and connections that arrive meanwhile stay in the kernel.
func blockPoller() (release func()) {
	blocked, gate := make(chan struct{}), make(chan struct{})
	wire.RunOnPoller(func() { close(blocked); <-gate })
	<-blocked
	return func() { close(gate) }
}

const stopReadingDelay = time.Duration(logic.StopReadingAfter) * time.Microsecond

// drainPastStopReading starts a drain in the past, so that clients without open commands are to be closed now.
func (e *testEnv) drainPastStopReading() {
	start := time.Now().Add(-stopReadingDelay)
	e.p.drainStart.Store(&start)
}

// onlyClient returns the only connected client.
func (e *testEnv) onlyClient() *clientConn {
	all := e.p.listClients()
	if len(all) != 1 {
		e.t.Fatalf("%d clients, expected 1", len(all))
	}
	return all[0]
}

// A command arrives just as its connection is to be closed as idle. The command gets its reply, and then the connection
// is closed, whether the command is still in the kernel, partly read, or being handled.
func TestCommandArrivesDuringIdleClose(t *testing.T) {
	for _, checkOnce := range []bool{true, false} {
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
		if !checkOnce {
			wire.RunOnPoller(client.closeIfDue)
		}
		release()
		c.expectReply("v-b")
		c.expectReply("closed")
	}
}

// A command that is partial when the drain begins may be completed, wherever it was cut.
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
		wire.RunOnPoller(func() { // the inner call runs after the data that has arrived by now was read
			wire.RunOnPoller(func() { done <- len(env.p.listClients()) })
		})
		return <-done
	}
	env.waitFor("the partial commands", func() bool { return countClientsAfterReads() == len(clients)-1 })
	env.drainPastStopReading()
	time.Sleep(3 * clientSweepInterval)
	for cut := 1; cut < len(clients); cut++ {
		clients[cut].send(text(cut)[cut:])
	}
	for cut := 1; cut < len(clients); cut++ {
		if got := clients[cut].readReply(); got != fmt.Sprintf("v-m%03d", cut) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("cut at %d: %q, expected a reply", cut, got)
		}
		clients[cut].expectReply("closed")
	}
}

// A connection that the kernel has accepted but the sentry has not is served, though the last client has left. A
// connection after the sentry has closed its listener is refused.
func TestAcceptDuringListenerClose(t *testing.T) {
	env := envWith(t, startWorker(t, answerValue))
	env.waitFor("no clients", func() bool { return len(env.p.listClients()) == 0 })
	release := blockPoller()
	c := env.dial(t)
	c.send(readCmd("late"))
	env.drainPastStopReading()
	time.Sleep(3 * clientSweepInterval) // sweeps find no clients
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

// Beyond the client limit, a client with an unread command is not closed, even if it has been idle for longest.
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
	wire.RunOnPoller(func() { // the command of the oldest client is unread when the new client is accepted
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
			t.Error("a client with an unread command was closed")
		}
	})
	go func() { accepted <- env.dial(t) }()
	release()
	clients[0].expectReply("v-oldest")
	c := <-accepted
	c.send(readCmd("new"))
	c.expectReply("v-new")
	env.waitFor("the close of one client", func() bool { return len(env.p.listClients()) == len(clients) })
}

// Pipelined commands arrive in pieces before and after the drain begins. Commands that were read, the partial one, and
// all that a worker has received get their replies, in order, before the connection closes. The client may send the
// unread ones again.
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
	const readAtDrain = 4 // commands that are complete or partial in the first half of the text
	env.waitFor("some commands", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) >= 3 })
	env.drainPastStopReading()
	c.send(text[len(text)/2:])
	time.AfterFunc(100*time.Millisecond, func() { close(unblock) })
	answered := 0
	for got := c.readReply(); got != "closed"; got = c.readReply() {
		if got != fmt.Sprint("v-p", answered) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("reply %d: %q", answered, got)
		}
		answered++
	}
	if answered < readAtDrain {
		t.Errorf("%d replies, expected at least those of the %d commands that were read or partial", answered, readAtDrain)
	}
	for i := answered; i < 8; i++ {
		if _, sent := sentToWorker.Load(fmt.Sprint("p", i)); sent {
			t.Errorf("p%d was sent to a worker and has no reply", i)
		}
	}
}

// While all clients have open commands, a new client beyond the limit is served if it has sent a command and closed
// after the reply. One that has sent nothing is closed at once. No command is read without getting a reply.
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
	late.send(longRequest("late")) // unread when the connection is accepted
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
