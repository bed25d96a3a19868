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
func TestFullPipelineEnds(t *testing.T) {
	var seen atomic.Int64
	r := newRig(t, plan{decide: toFirst(func(*input.Input) {}), workers: []string{worker(t, func(c net.Conn, n int, words []string) {
		seen.Add(1)
		time.Sleep(5 * time.Millisecond) // they come in one by one, and so do the answers
		good(c, n, words)
	})}})
	c := r.dial(t)
	sent := 0
	send := func() { c.say(read(fmt.Sprint("r", sent))); sent++ }
	for range 6 {
		send()
	}
	answered, stopped := 0, time.Time{}
	for {
		got := c.line()
		if got == "closed" {
			break
		}
		if got != fmt.Sprint("v-r", answered) {
			t.Fatalf("answer %d is %q", answered, got)
		}
		if answered++; answered == 40 {
			r.drainedAt()
			stopped = time.Now()
		}
		if !stopped.IsZero() && time.Since(stopped) > time.Second {
			t.Fatal("the connection is still read a second after the stop")
		}
		send()
	}
	if int64(answered) != seen.Load() {
		t.Errorf("%d answers, %d commands were read and sent to the worker", answered, seen.Load())
	}
}

// A command in part when the sentry is to stop, whose rest does not come, holds the end up no longer than until the last
// answers are due.
func TestPartGivenUpAtTheStop(t *testing.T) {
	r := newRig(t, plan{workers: []string{worker(t, good)}, other: []string{`"deadline_ns":900000000`, `"deadline_ns":400000000`}})
	c := r.dial(t)
	c.say(commandOf("PING") + move("half")[:30])
	c.want("+PONG")
	r.p.Drain()
	r.p.Drain() // a second SIGTERM
	asked := time.Now()
	c.want("closed")
	select {
	case <-r.s.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the sentry did not end")
	}
	const kill = 1100 * time.Millisecond // the deadline and 0.7 s
	if took := time.Since(asked); took > kill {
		t.Errorf("it ended after %v, expected before the kill at %v", took, kill)
	}
}

// A client that is answered and reads nothing, with more commands unread, does not hold up the end either. What it was sent
// is not taken back by the close.
func TestAnswersAreAcknowledgedBeforeTheClose(t *testing.T) {
	r := served(t, worker(t, good))
	c := r.dial(t)
	c.say(read("a"))
	c.want("v-a")
	release := heldPoller()
	r.drainedAt()
	text := ""
	for i := range 4 {
		text += read(fmt.Sprint("r", i))
	}
	c.say(text)
	release()
	time.Sleep(3 * sweepEvery) // it ends the stream, and waits for this side's end
	c.say(read("unread"))
	for i := range 4 {
		c.want(fmt.Sprint("v-r", i))
	}
	c.want("closed")
	if _, err := io.WriteString(c, "x"); err == nil {
		time.Sleep(2 * linger)
	}
	r.wait("no client", r.nobodyBooked)
}
