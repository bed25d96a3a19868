package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// injectDialErrors replaces the system calls that open connections. socket and connect are given the number of the call, from 1,
// and return the error to inject; with done, connect is called all the same. It returns the counter of the socket calls.
func injectDialErrors(t *testing.T, socket func(n int64) error, connect func(n int64) (err error, done bool)) (sockets *atomic.Int64) {
	original := dialSyscalls.Load()
	sockets = &atomic.Int64{}
	var calls atomic.Int64
	dialSyscalls.Store(&dialSyscallSet{
		socket: func() (int, error) {
			if err := socket(sockets.Add(1)); err != nil {
				return -1, err
			}
			return original.socket()
		},
		connect: func(fd int, to syscall.Sockaddr) error {
			err, done := connect(calls.Add(1))
			if err == nil || done {
				if made := original.connect(fd, to); err == nil {
					err = made
				}
			}
			return err
		},
	})
	t.Cleanup(func() { dialSyscalls.Store(original) })
	return sockets
}

func noSocketError(int64) error                { return nil }
func noConnectError(int64) (err error, _ bool) { return nil, false }

// A connection is established within its timeout and carries data, whatever transient errors its system calls return.
func TestDialSurvivesFaults(t *testing.T) {
	address, stop := serveEcho(t)
	defer stop()
	once := func(fault error, done bool) func(int64) (error, bool) {
		return func(n int64) (error, bool) {
			if n%2 == 1 {
				return fault, done
			}
			return nil, false
		}
	}
	few := func(fault error) func(int64) error {
		return func(n int64) error {
			if n%4 != 0 {
				return fault
			}
			return nil
		}
	}
	for name, c := range map[string]struct {
		socket  func(int64) error
		connect func(int64) (error, bool)
	}{
		"socket: ENOBUFS":                     {few(syscall.ENOBUFS), noConnectError},
		"socket: ENOMEM":                      {few(syscall.ENOMEM), noConnectError},
		"socket: ENFILE":                      {few(syscall.ENFILE), noConnectError},
		"connect: EINTR, not started":         {noSocketError, once(syscall.EINTR, false)},
		"connect: EINTR, started":             {noSocketError, once(syscall.EINTR, true)},
		"connect: EADDRNOTAVAIL":              {noSocketError, once(syscall.EADDRNOTAVAIL, false)},
		"connect: EAGAIN":                     {noSocketError, once(syscall.EAGAIN, false)},
		"connect: EALREADY, started":          {noSocketError, once(syscall.EALREADY, true)},
		"connect: EINPROGRESS, after success": {noSocketError, once(syscall.EINPROGRESS, true)},
		"none":                                {noSocketError, noConnectError},
	} {
		t.Run(name, func(t *testing.T) {
			injectDialErrors(t, c.socket, c.connect)
			for range 20 {
				got := make(chan string, 1)
				l, err := DialRaw(address, 5*time.Second, DefaultLimits, func(_ *Link, data []byte) ([]byte, error) {
					got <- string(data)
					return nil, nil
				}, nil)
				if err != nil {
					t.Fatal(err)
				}
				l.PutRaw([]byte("x"))
				l.Flush()
				if s := <-got; s != "x" {
					t.Errorf("read %q, expected x", s)
				}
				if l.RemoteAddr() != address {
					t.Errorf("remote address %q, expected %q", l.RemoteAddr(), address)
				}
				l.Close(ErrClosed)
			}
		})
	}
}

// A permanent error is returned as it is, after one socket. A transient error that persists is returned at the timeout, after few
// sockets.
func TestDialReturnsErrors(t *testing.T) {
	address, stop := serveEcho(t)
	defer stop()
	for _, fault := range []error{syscall.ECONNREFUSED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT} {
		sockets := injectDialErrors(t, noSocketError, func(int64) (error, bool) { return fault, false })
		if _, err := DialRaw(address, time.Minute, DefaultLimits, nil, nil); !errors.Is(err, fault) || sockets.Load() != 1 {
			t.Errorf("found %v after %d sockets, expected %v after one", err, sockets.Load(), fault)
		}
	}
	sockets := injectDialErrors(t, func(int64) error { return syscall.ENOBUFS }, noConnectError)
	if _, err := DialRaw(address, 100*time.Millisecond, DefaultLimits, nil, nil); !errors.Is(err, syscall.ENOBUFS) || sockets.Load() > 20 {
		t.Errorf("found %v after %d sockets, expected %v after few", err, sockets.Load(), syscall.ENOBUFS)
	}
}

// A dial to a port without a listener is refused.
func TestDialRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	l.Close()
	if _, err := DialRaw(nobody, time.Second, DefaultLimits, nil, nil); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("found %v, expected a refused connection", err)
	}
}
