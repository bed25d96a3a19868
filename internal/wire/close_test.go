package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	stuckBytes           = 256 << 10 // more than the peer's kernel takes while the peer does not read
	smallReceiveBuffer   = 4 << 10
	dialledChildVariable = "SCALECHUTE_TEST_DIAL" // the address that TestDialledChild dials
)

// listenWithSmallBuffer listens on a loopback address. Connections to it take little that is not read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// dialAndFill dials an address and writes until the kernel holds bytes that it can't send.
func dialAndFill(address string) (*Link, error) {
	l, err := DialRaw(address, time.Second, DefaultLimits, func(*Link, []byte) ([]byte, error) { return nil, nil }, nil)
	if err != nil {
		return nil, err
	}
	l.PutRaw(make([]byte, stuckBytes))
	l.Flush()
	for end := time.Now().Add(5 * time.Second); l.socketQueue(unix.SIOCOUTQNSD) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the peer's kernel takes everything")
		}
	}
	return l, nil
}

// expectReset reads everything from a connection, which must end with a reset before all of stuckBytes.
func expectReset(t *testing.T, peer net.Conn) {
	t.Helper()
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := io.Copy(io.Discard, peer)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer read %d bytes and then %v, expected a reset", n, err)
	}
	if n >= smallReceiveBuffer*8 {
		t.Errorf("the peer read %d bytes, expected no more than its receive buffer had room for", n)
	}
}

// Guards against the delivery of a given-up request after the link is closed: the kernel went on sending what it held.
func TestClosedLinkDeliversNothingMore(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	l, err := dialAndFill(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l.Close(ErrClosed)
	expectReset(t, peer)
}

// Guards against a close by the poller's thread alone: while that is busy, the kernel has time to send what it holds.
func TestCloseDropsWhilePollerIsBusy(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	l, err := dialAndFill(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	busy, release := make(chan struct{}), make(chan struct{})
	RunOnPoller(func() { close(busy); <-release })
	defer close(release)
	<-busy
	l.Close(ErrClosed)
	expectReset(t, peer)
}

// Guards against a reset of a connection on which everything has been delivered: its peer is to see an ordinary end.
func TestCloseAfterDeliveryIsNoReset(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	l, err := DialRaw(listener.Addr().String(), time.Second, DefaultLimits, func(*Link, []byte) ([]byte, error) { return nil, nil }, nil)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l.PutRaw([]byte("request"))
	l.Flush()
	for end := time.Now().Add(5 * time.Second); !l.IsAcknowledged(l.PutOffset()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is not acknowledged")
		}
	}
	l.Close(ErrClosed)
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(peer); string(got) != "request" || err != nil {
		t.Errorf("the peer read %q and then %v, expected the request and its end", got, err)
	}
}

// Guards against the delivery of requests by the kernel after the process that wrote them was killed.
func TestKilledProcessDeliversNothingMore(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	child := exec.Command(os.Args[0], "-test.run=^TestDialledChild$", "-test.v")
	child.Env = append(os.Environ(), dialledChildVariable+"="+listener.Addr().String())
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	waitForLine(t, output, "filled")
	child.Process.Kill()
	child.Wait()
	expectReset(t, peer)
}

// waitForLine reads the output of a process until it has printed a line.
func waitForLine(t *testing.T, output io.Reader, line string) {
	t.Helper()
	var printed []byte
	for one := make([]byte, 1); ; {
		if _, err := output.Read(one); err != nil {
			t.Fatalf("the process printed %q and then %v, expected a line %q", printed, err, line)
		}
		if printed = append(printed, one[0]); string(printed[max(0, len(printed)-len(line)-1):]) == line+"\n" {
			return
		}
	}
}

// TestDialledChild is the process that TestKilledProcessDeliversNothingMore kills; by itself it does nothing.
func TestDialledChild(t *testing.T) {
	address := os.Getenv(dialledChildVariable)
	if address == "" {
		return
	}
	if _, err := dialAndFill(address); err != nil {
		t.Fatal(err)
	}
	os.Stdout.WriteString("filled\n")
	time.Sleep(30 * time.Second)
}
