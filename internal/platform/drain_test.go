package platform

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/input"
)

// A client keeps its pipeline full, so that there is never a moment with nothing open on its connection. After the stop the
// connection is read no further, has its answers, and ends in bounded time; the command that it cuts is read to its end.
func TestFullPipelineDrains(t *testing.T) {
	var workerCommands atomic.Int64
	env := newEnv(t, options{decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(c net.Conn, n int, words []string) {
		workerCommands.Add(1)
		time.Sleep(5 * time.Millisecond) // they come in one by one, and so do the answers
		answerValue(c, n, words)
	})}})
	c := env.dial(t)
	sent := 0
	send := func() { c.send(readCmd(fmt.Sprint("r", sent))); sent++ }
	for range 6 {
		send()
	}
	answered, stopped := 0, time.Time{}
	for {
		got := c.readReply()
		if got == "closed" {
			break
		}
		if got != fmt.Sprint("v-r", answered) {
			t.Fatalf("answer %d is %q", answered, got)
		}
		if answered++; answered == 40 {
			env.drainPastStopReading()
			stopped = time.Now()
		}
		if !stopped.IsZero() && time.Since(stopped) > time.Second {
			t.Fatal("the connection is still read a second after the stop")
		}
		send()
	}
	if int64(answered) != workerCommands.Load() {
		t.Errorf("%d answers, %d commands were read and sent to the worker", answered, workerCommands.Load())
	}
}

// A command in part when the sentry is to stop, whose rest does not come, holds the end up no longer than until the last
// answers are due.
func TestPartialCommandAbandonedAtDrain(t *testing.T) {
	env := newEnv(t, options{workers: []string{startWorker(t, answerValue)}, replacements: []string{`"deadline_ns":900000000`, `"deadline_ns":400000000`}})
	c := env.dial(t)
	c.send(encode("PING") + moveCmd("half")[:30])
	c.expectReply("+PONG")
	env.p.Drain()
	env.p.Drain() // a second SIGTERM
	drainStart := time.Now()
	c.expectReply("closed")
	select {
	case <-env.sentry.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the sentry did not end")
	}
	const kill = 1100 * time.Millisecond // the deadline and 0.7 s
	if took := time.Since(drainStart); took > kill {
		t.Errorf("it ended after %v, expected before the kill at %v", took, kill)
	}
}

// A client that is answered and reads nothing, with more commands unread, does not hold up the end either. What it was sent
// is not taken back by the close.
func TestRepliesAcknowledgedBeforeClose(t *testing.T) {
	env := envWith(t, startWorker(t, answerValue))
	c := env.dial(t)
	c.send(readCmd("a"))
	c.expectReply("v-a")
	release := blockPoller()
	env.drainPastStopReading()
	text := ""
	for i := range 4 {
		text += readCmd(fmt.Sprint("r", i))
	}
	c.send(text)
	release()
	time.Sleep(3 * clientSweepInterval) // it ends the stream, and waits for this side's end
	c.send(readCmd("unread"))
	for i := range 4 {
		c.expectReply(fmt.Sprint("v-r", i))
	}
	c.expectReply("closed")
	if _, err := io.WriteString(c, "x"); err == nil {
		time.Sleep(2 * closeLinger)
	}
	env.waitFor("no client", env.noClients)
}
