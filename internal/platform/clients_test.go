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
func heldPoller() (release func()) {
	held, gate := make(chan struct{}), make(chan struct{})
	wire.RunOnPoller(func() { close(held); <-gate })
	<-held
	return func() { close(gate) }
}

// drainedAt has a sentry asked to stop so long ago that clients with nothing open are to go.
func (r *rig) drainedAt() {
	asked := time.Now().Add(-stopReadingAfter)
	r.p.drainAt.Store(&asked)
}

func (r *rig) onlyClient() *clientConn {
	all := r.p.clientList()
	if len(all) != 1 {
		r.t.Fatalf("%d clients, expected 1", len(all))
	}
	return all[0]
}

// The only client's connection is to be closed as idle just as a command comes on it: the command is answered, and the
// connection closes after it. It was in the system, unread; in part; or read and in hand.
func TestCommandCrossesTheClose(t *testing.T) {
	for _, first := range []bool{true, false} {
		r := served(t, worker(t, good))
		c := r.dial(t)
		c.say(read("a"))
		c.want("v-a")
		x := r.onlyClient()
		release := heldPoller()
		wire.RunOnPoller(x.closeIfDue)
		c.say(read("b"))
		time.Sleep(20 * time.Millisecond)
		r.drainedAt()
		if !first {
			wire.RunOnPoller(x.closeIfDue)
		}
		release()
		c.want("v-b")
		c.want("closed")
	}
}

// A command of which a part has come when the sentry is to stop gets its time, at every place where it may be cut.
func TestPartsCrossTheStop(t *testing.T) {
	r := newRig(t, plan{sockets: 1024, workers: []string{worker(t, good)}})
	text := func(at int) string { return move(fmt.Sprintf("m%03d", at)) }
	clients := make([]testClient, len(text(0)))
	for at := 1; at < len(clients); at++ {
		clients[at] = r.dial(t)
		clients[at].say(text(at)[:at])
	}
	parts := func() (n int) {
		done := make(chan int)
		wire.RunOnPoller(func() { // what has come by now has been read, or will be by the next turn
			wire.RunOnPoller(func() { done <- len(r.p.clientList()) })
		})
		return <-done
	}
	r.wait("the parts", func() bool { return parts() == len(clients)-1 })
	r.drainedAt()
	time.Sleep(3 * sweepEvery)
	for at := 1; at < len(clients); at++ {
		clients[at].say(text(at)[at:])
	}
	for at := 1; at < len(clients); at++ {
		if got := clients[at].line(); got != fmt.Sprintf("v-m%03d", at) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("cut at %d: %q, expected an answer", at, got)
		}
		clients[at].want("closed")
	}
}

// A connection that the system has accepted when the last client leaves, and the sentry has not taken up, is served; one that
// comes once the sentry has stopped listening is refused.
func TestAcceptedAsTheLastLeaves(t *testing.T) {
	r := served(t, worker(t, good))
	r.wait("looks at no clients", func() bool { return len(r.p.clientList()) == 0 })
	release := heldPoller()
	c := r.dial(t)
	c.say(read("late"))
	r.drainedAt()
	time.Sleep(3 * sweepEvery) // it finds no clients
	release()
	c.want("v-late")
	c.want("closed")
	select {
	case <-r.s.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the sentry did not end")
	}
	if c, err := net.DialTimeout("tcp", r.s.Address(), time.Second); err == nil {
		c.Close()
		t.Error("a connection was accepted after the end")
	}
}

// Where there are too many clients, one whose command has come and was not read yet is not the one that is closed, though it
// has been idle for longest.
func TestBoundCrossesACommand(t *testing.T) {
	r := newRig(t, plan{sockets: 160, workers: []string{worker(t, good)}})
	all := make([]testClient, r.p.post.Load().clientLimit())
	for i := range all {
		all[i] = r.dial(t)
		all[i].say(read(fmt.Sprint("r", i)))
		all[i].want(fmt.Sprint("v-r", i))
	}
	release := heldPoller()
	more := make(chan testClient, 1)
	wire.RunOnPoller(func() { // the oldest's command stands in the system as the new one is taken up
		all[0].say(read("oldest"))
		time.Sleep(20 * time.Millisecond)
		oldest, since := (*clientConn)(nil), time.Time{}
		for _, x := range r.p.clientList() {
			x.mu.Lock()
			if oldest == nil || x.used.Before(since) {
				oldest, since = x, x.used
			}
			x.mu.Unlock()
		}
		if oldest.CloseIfIdle(wire.ErrClosed, false) {
			t.Error("a client was closed over a command that had come")
		}
	})
	go func() { more <- r.dial(t) }()
	release()
	all[0].want("v-oldest")
	c := <-more
	c.say(read("new"))
	c.want("v-new")
	r.wait("one closed", func() bool { return len(r.p.clientList()) == len(all) })
}

// Pipelined commands come in pieces around the stop. Those that had been read, the one in part, and whatever a worker has seen
// are answered, in order, before the connection closes; what was not read by then is left to the client to send again.
func TestPipelineAroundTheStop(t *testing.T) {
	hold := make(chan struct{})
	var seen sync.Map
	r := served(t, worker(t, func(c net.Conn, n int, words []string) {
		seen.Store(words[2], true)
		if words[2] == "p0" {
			<-hold
		}
		good(c, n, words)
	}))
	c := r.dial(t)
	text := ""
	for i := range 8 {
		text += read(fmt.Sprint("p", i))
	}
	c.say(text[:len(text)/2])
	const inHand = 4 // commands whole or in part in the first half
	r.wait("some commands", func() bool { r.p.mu.Lock(); defer r.p.mu.Unlock(); return len(r.p.ids) >= 3 })
	r.drainedAt()
	c.say(text[len(text)/2:])
	time.AfterFunc(100*time.Millisecond, func() { close(hold) })
	answered := 0
	for got := c.line(); got != "closed"; got = c.line() {
		if got != fmt.Sprint("v-p", answered) && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("answer %d: %q", answered, got)
		}
		answered++
	}
	if answered < inHand {
		t.Errorf("%d answers, expected at least those of the %d commands that had been read or were in part", answered, inHand)
	}
	for i := answered; i < 8; i++ {
		if _, saw := seen.Load(fmt.Sprint("p", i)); saw {
			t.Errorf("p%d was sent to a worker and has no answer", i)
		}
	}
}

// Where all clients have something open, a new one beyond the bound is served if it has sent something, and closed then; one
// that has sent nothing is closed at once. Neither is read and then closed with no answer.
func TestBeyondTheBound(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, plan{sockets: 160, workers: []string{worker(t, func(c net.Conn, n int, words []string) {
		<-hold
		good(c, n, words)
	})}, decide: toFirst(func(*input.Input) {}),
		other: []string{`"deadline_ns":900000000`, `"deadline_ns":20000000000`}})
	bound := r.p.post.Load().clientLimit()
	all := make([]testClient, bound)
	patient := func(id string) string { return commandOf("Q.ASK", "key-"+id, id, "c=read,t=acme,d=20000") }
	for i := range all {
		all[i] = r.dial(t)
		all[i].say(patient(fmt.Sprint("r", i)))
	}
	r.wait("all commands", func() bool { r.p.mu.Lock(); defer r.p.mu.Unlock(); return len(r.p.ids) == bound })
	release := heldPoller()
	late := r.dial(t)
	late.say(patient("late")) // stands in the system as the connection is taken up
	release()
	r.wait("its command", func() bool { r.p.mu.Lock(); defer r.p.mu.Unlock(); return len(r.p.ids) == bound+1 })
	silent := r.dial(t)
	silent.want("closed")
	close(hold)
	late.want("v-late")
	late.want("closed")
	for i := range all {
		all[i].want(fmt.Sprint("v-r", i))
	}
}
