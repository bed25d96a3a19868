package platform

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/logic"
)

// A client keeps its pipeline full, so that its connection always has open commands. After the drain begins, the
// connection is read no further than the end of the partial command, gets its replies, and closes within a second.
func TestFullPipelineDrains(t *testing.T) {
	var workerCommands atomic.Int64
	env := newEnv(t, options{decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(c net.Conn, n int, words []string) {
		workerCommands.Add(1)
		time.Sleep(5 * time.Millisecond) // commands and answers follow one by one
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
			t.Fatalf("reply %d is %q", answered, got)
		}
		if answered++; answered == 40 {
			env.drainPastStopReading()
			stopped = time.Now()
		}
		if !stopped.IsZero() && time.Since(stopped) > time.Second {
			t.Fatal("the connection is still read a second after the drain began")
		}
		send()
	}
	if int64(answered) != workerCommands.Load() {
		t.Errorf("%d replies, but %d commands were read and sent to the worker", answered, workerCommands.Load())
	}
}

// A partial command whose rest does not arrive delays the drain no longer than until the last replies are due.
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
	const kill = 1100 * time.Millisecond // SIGKILL: 0.7 s after the deadline
	if took := time.Since(drainStart); took > kill {
		t.Errorf("it ended after %v, expected before the kill at %v", took, kill)
	}
}

// A client that does not read its replies and has sent more commands does not block the drain. The close does not
// discard the replies that were written.
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
	time.Sleep(3 * clientSweepInterval) // the sentry ends its stream and waits for the client to close
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

// The process is stalled from before the last answers are due until after the connections are to be closed. An open
// request gets its final answer before its connection closes.
//
// It guards against a sweep that closes all connections as soon as the process goes on, before the event loop has given
// the answers that became due meanwhile.
func TestAnswersAfterStall(t *testing.T) {
	env := newEnv(t, options{decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(net.Conn, int, []string) {})}})
	c := env.dial(t)
	c.send(readCmd("open"))
	env.waitFor("the hand-off", func() bool { return env.actions[logic.HandOff] == 1 })
	start := time.Now().Add(-time.Duration(env.p.drainSchedule().CloseBy) * time.Microsecond)
	env.p.drainStart.Store(&start)
	env.p.sweepClients() // runs before the event loop
	env.sentry.AnswerWithin(time.Millisecond)
	c.expectReply("-")
	c.expectReply("closed")
	select {
	case <-env.sentry.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the sentry did not end")
	}
}
