package platform

import (
	"net"
	"testing"
	"time"

	"scalechute/internal/wire"
)

// closeIfDueNow runs closeIfDue on the poller and waits for it.
func (c *clientConn) closeIfDueNow() {
	done := make(chan struct{})
	wire.RunOnPoller(func() { c.closeIfDue(); close(done) })
	<-done
}

// lastUse returns when the client was last used.
func (c *clientConn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed
}

// The rest of a partial command is read after reading has stopped, at the moment at which the reply to the only earlier
// command is written. The command gets its reply before the stream ends.
//
// It guards against a stream that ends between two steps of reading a command: once it is no longer partial, and before
// its reply is queued. The platform's lock holds the reader between the two.
func TestRestOfCommandCrossesEarlierReply(t *testing.T) {
	answerFirst := make(chan struct{})
	env := envWith(t, startWorker(t, func(c net.Conn, n int, words []string) {
		if words[2] == "first" {
			<-answerFirst
		}
		answerValue(c, n, words)
	}))
	c := env.dial(t)
	rest := readCmd("second")
	c.send(readCmd("first") + rest[:30])
	env.waitFor("the first command", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == 1 })
	client := env.onlyClient()
	env.drainPastStopReading()
	client.closeIfDueNow()
	waitForUse := func(what string, since time.Time) {
		env.waitFor(what, func() bool { return client.lastUse().After(since) })
	}
	env.p.mu.Lock()
	used := client.lastUse()
	close(answerFirst)
	waitForUse("the reply to the first command", used)
	used = client.lastUse()
	c.send(rest[30:])
	waitForUse("the rest of the second command", used)
	env.p.mu.Unlock()
	c.expectReply("v-first")
	c.expectReply("v-second")
	c.expectReply("closed")
}

// A connection closes while a command of it is being handled. The id of the request is free again afterwards.
//
// It guards against ids that stay open for ever: the close released the ids of the connection's requests before the
// command's id was noted there. Each such id took a share of the reply budget, and a request that used it again was
// refused.
func TestCloseCrossesCommand(t *testing.T) {
	env := envWith(t, startWorker(t, answerValue))
	c := env.dial(t)
	c.send(readCmd("before"))
	c.expectReply("v-before")
	client := env.onlyClient()
	used := client.lastUse()
	env.p.mu.Lock() // holds the reader before it registers the id
	c.send(readCmd("crossing"))
	env.waitFor("the command", func() bool { return client.lastUse().After(used) })
	go client.Close(wire.ErrClosed)
	env.waitFor("the close", func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.lifecycle.state == stateClosed
	})
	env.p.mu.Unlock()
	env.waitFor("no client", env.noClients)
	env.waitFor("no open id", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == 0 })
}
