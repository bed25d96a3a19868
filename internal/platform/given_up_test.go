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

	"scalechute/logic"
)

// Guards against a hand-off that runs after it was given up: the kernel delivered the rest of it once the worker read on.
func TestGivenUpHandOffIsNotDelivered(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener := must(config.Listen(context.Background(), "tcp", "127.0.0.1:0"))
	defer listener.Close()
	env := envWith(t, listener.Addr().String())
	c := env.dial(t)
	c.send(encode("Q.DO", "key-a", "a", "c=note,t=acme,d=800,k=token-a", strings.Repeat("b", maxValueBytes)))
	conn := must(listener.Accept())
	defer conn.Close()
	env.waitFor("the end of the hand-off", func() bool { return env.countEnded(logic.TimedOut)+env.countEnded(logic.Cancelled) > 0 })
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	words, err := readCommand(bufio.NewReader(conn))
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the worker read a command of %d words and then %v, expected a reset before its end", len(words), err)
	}
}
