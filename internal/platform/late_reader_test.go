package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/logic"
)

// dialWithSmallBuffer connects a client whose kernel takes little more than the client reads.
func (e *testEnv) dialWithSmallBuffer(t *testing.T) testClient {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	conn := must(dialer.Dial("tcp", e.sentry.Address()))
	t.Cleanup(func() { conn.Close() })
	return newTestClient(t, conn)
}

// A client with a full pipeline of large values reads them all the time, but too slowly for the time that a drain has,
// and sends a further command at each reply. Every command that was sent to a worker gets its reply, the last ones an
// error in place of the value, and the sentry ends before SIGKILL.
//
// It guards against a close that takes the last values with it: the kernel held all of them for the client, and unread
// commands of the client made the close reset the connection.
func TestDrainOfLateReader(t *testing.T) {
	const (
		openCommands = 24
		valueBytes   = 28 << 10
		readDelay    = 60 * time.Millisecond          // 24 values take 1.44 s
		kill         = (900 + 700) * time.Millisecond // after the deadline and 0.7 s
	)
	filler := strings.Repeat("x", valueBytes)
	var handedOff atomic.Int64
	env := newEnv(t, options{decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(c net.Conn, _ int, words []string) {
		handedOff.Add(1)
		io.WriteString(c, newAnswer(words[2]+"-"+filler))
	})}})
	c := env.dialWithSmallBuffer(t)
	sent := 0
	send := func() { c.send(readCmd(fmt.Sprint("r", sent))); sent++ }
	for range openCommands {
		send()
	}
	env.waitFor("the last command", func() bool { return handedOff.Load() == openCommands })
	drainStart := time.Now()
	env.p.Drain()
	replies, values := 0, 0
	for {
		time.Sleep(readDelay)
		got := c.readReply()
		if got == "closed" {
			break
		}
		switch {
		case strings.HasPrefix(got, fmt.Sprint("r", replies, "-x")):
			values++
		case !strings.HasPrefix(got, "-"):
			t.Fatalf("reply %d is %.40q", replies, got)
		}
		replies++
		send()
	}
	t.Logf("%d commands sent, %d handed off, %d replies, of these %d values", sent, handedOff.Load(), replies, values)
	if int64(replies) < handedOff.Load() {
		t.Errorf("%d replies, but %d commands were handed off", replies, handedOff.Load())
	}
	if values < openCommands/4 {
		t.Errorf("%d values, expected those for which there was time", values)
	}
	select {
	case <-env.sentry.Done():
	case <-time.After(time.Until(drainStart.Add(kill))):
	}
	select {
	case <-env.sentry.Done():
	default:
		t.Errorf("the sentry has not ended %v after the drain began", time.Since(drainStart))
	}
}

// A client that stops reading while values wait for it is closed after the limit for slow readers, though its kernel has
// acknowledged everything that was passed on.
func TestClientThatStopsReadingIsClosed(t *testing.T) {
	t.Parallel()
	const slowReaderTimeout = 10 * time.Second
	filler := strings.Repeat("x", 28<<10)
	env := newEnv(t, options{decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(c net.Conn, _ int, words []string) {
		io.WriteString(c, newAnswer(words[2]+"-"+filler))
	})}})
	c := env.dialWithSmallBuffer(t)
	started := time.Now()
	for i := range 8 {
		c.send(readCmd(fmt.Sprint("r", i)))
	}
	env.waitFor("its commands", func() bool { return env.actions[logic.HandOff] == 8 })
	for !env.noClients() {
		if time.Since(started) > slowReaderTimeout+5*time.Second {
			t.Fatalf("the client is connected %v after it stopped reading", time.Since(started))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(started); took < slowReaderTimeout {
		t.Errorf("closed after %v, expected no less than %v", took, slowReaderTimeout)
	}
}

// A client whose window is for good smaller than a value, and than half of its first window, gets its values all the
// same, late at first.
func TestClientWithShrunkenWindow(t *testing.T) {
	filler := strings.Repeat("x", 28<<10)
	env := newEnv(t, options{replacements: longDeadline, decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(c net.Conn, _ int, words []string) {
		io.WriteString(c, newAnswer(words[2]+"-"+filler))
	})}})
	c := env.dial(t)
	must(0, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10)) // after the first window was offered
	for i := range 12 {
		c.send(longReadCmd(fmt.Sprint("r", i)))
		if got := c.readReply(); got != fmt.Sprint("r", i, "-", filler) {
			t.Fatalf("reply %d: %.40q", i, got)
		}
	}
}
