package wire

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// exhaustDescriptors takes all descriptors that the process may still have, and returns a function that gives them back.
func exhaustDescriptors(t *testing.T) (giveBack func()) {
	t.Helper()
	const enough = 128
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	lowered := before
	lowered.Cur = enough
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	var taken []int
	for {
		fd, err := duplicateFD(0)
		if err != nil {
			break
		}
		taken = append(taken, fd)
	}
	given := false
	giveBack = func() {
		if given {
			return
		}
		given = true
		for _, fd := range taken {
			syscall.Close(fd)
		}
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before)
	}
	t.Cleanup(giveBack)
	return giveBack
}

// isClosed reports whether the peer closes a connection within a second.
func isClosed(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against connections that are accepted beside the poller once descriptors have run out: what may only be done on the poller
// was done there, and the poller waited for itself for ever. Such a connection is closed at once, and later ones are served.
func TestAcceptWithoutDescriptors(t *testing.T) {
	var accepted atomic.Int64
	server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(l *Link) (DataHandler, func(*Link, error)) {
		accepted.Add(1)
		return func(l *Link, data []byte) ([]byte, error) { l.PutRaw(data); l.Flush(); return nil, nil }, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	blocked, release := make(chan struct{}), make(chan struct{})
	RunOnPoller(func() { close(blocked); <-release })
	<-blocked
	early, err := net.Dial("tcp", server.Address) // waits in the kernel
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	giveBack := exhaustDescriptors(t)
	close(release)
	if !isClosed(early) || accepted.Load() != 0 {
		t.Errorf("%d connections were accepted without a descriptor, expected the only one to be closed", accepted.Load())
	}
	giveBack()
	expectEcho(t, server.Address)
}

// Guards against connections that take the descriptors which the process needs for others: beyond the limit they are closed at once,
// and accepted again once there is room.
func TestAcceptBeyondDescriptorLimit(t *testing.T) {
	const limit = 3
	limits := DefaultLimits
	limits.Descriptors = NewDescriptors(limit)
	server, err := ServeRaw("127.0.0.1:0", limits, func(l *Link) (DataHandler, func(*Link, error)) {
		return func(l *Link, data []byte) ([]byte, error) { l.PutRaw(data); l.Flush(); return nil, nil }, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var open []net.Conn
	for range limit {
		open = append(open, expectEcho(t, server.Address))
	}
	beyond, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer beyond.Close()
	if !isClosed(beyond) {
		t.Error("a connection beyond the limit stays open")
	}
	open[0].Close()
	for end := time.Now().Add(5 * time.Second); limits.Descriptors.isFull(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a closed connection is still counted")
		}
	}
	expectEcho(t, server.Address)
}

// expectEcho opens a connection, on which one byte must be echoed.
func expectEcho(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.Write([]byte("x"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatalf("no echo: %v", err)
	}
	return c
}
