package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/logic"
)

// listenWithSmallBuffer listens on a loopback address. Connections to it take little that is not read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener := must(config.Listen(context.Background(), "tcp", "127.0.0.1:0"))
	t.Cleanup(func() { listener.Close() })
	return listener
}

// expectNoCommand reads a connection on which a command was written in part; it must be reset before the command's end.
func expectNoCommand(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	words, err := readCommand(bufio.NewReader(conn))
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the worker read a command of %d words and then %v, expected a reset before its end", len(words), err)
	}
}

// Guards against a hand-off that runs after it was given up: the kernel delivered the rest of it once the worker read on.
func TestGivenUpHandOffIsNotDelivered(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	env := envWith(t, listener.Addr().String())
	c := env.dial(t)
	c.send(encode("Q.DO", "key-a", "a", "c=note,t=acme,d=800,k=token-a", strings.Repeat("b", maxValueBytes)))
	conn := must(listener.Accept())
	defer conn.Close()
	env.waitFor("the end of the hand-off", func() bool { return env.countEnded(logic.TimedOut)+env.countEnded(logic.Cancelled) > 0 })
	expectNoCommand(t, conn)
}

// Guards against a hand-off that comes to its worker after the time until which it may be sent: it was written in time, and lay in
// the kernel for as long as the request may take.
func TestHandOffIsDeliveredInTimeOrNot(t *testing.T) {
	const mayBeSentFor = logic.Micros(300_000)
	listener := listenWithSmallBuffer(t)
	decide := func(in *input.Input) (out logic.Result) {
		if in.Kind == input.TransactionArrived {
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0", SendBy: in.At + mayBeSentFor}}
		}
		return out
	}
	env := newEnv(t, options{workers: []string{listener.Addr().String()}, decide: decide, replacements: longDeadline})
	env.dial(t).send(bodyCmd("a"))
	conn := must(listener.Accept())
	defer conn.Close()
	env.waitFor("the end of the hand-off", func() bool { return env.countEnded(logic.Broken) == 1 })
	expectNoCommand(t, conn)
	if n := env.sentry.CounterValues("undelivered_total")["0"]; n != 1 {
		t.Errorf("%g connections counted as undelivered, expected 1", n)
	}
}
