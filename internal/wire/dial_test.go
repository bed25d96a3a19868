package wire

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// faultyDials has the system calls that open connections fail as a test says of each call's number, from 1; done says that
// the call is made all the same.
func faultyDials(t *testing.T, socket func(n int64) error, connect func(n int64) (err error, done bool)) (sockets *atomic.Int64) {
	real := dialSyscalls.Load()
	sockets = &atomic.Int64{}
	var connects atomic.Int64
	dialSyscalls.Store(&dialSyscallSet{
		socket: func() (int, error) {
			if err := socket(sockets.Add(1)); err != nil {
				return -1, err
			}
			return real.socket()
		},
		connect: func(fd int, to syscall.Sockaddr) error {
			err, done := connect(connects.Add(1))
			if err == nil || done {
				if made := real.connect(fd, to); err == nil {
					err = made
				}
			}
			return err
		},
	})
	t.Cleanup(func() { dialSyscalls.Store(real) })
	return sockets
}

func fine(int64) error                   { return nil }
func connects(int64) (err error, _ bool) { return nil, false }

// A connection comes up within its time whatever passing faults its calls have, and carries what it should.
func TestDialSurvivesFaults(t *testing.T) {
	address, stop := echo(t)
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
		"socket: ENOBUFS":                          {few(syscall.ENOBUFS), connects},
		"socket: ENOMEM":                           {few(syscall.ENOMEM), connects},
		"socket: ENFILE":                           {few(syscall.ENFILE), connects},
		"connect: EINTR, not begun":                {fine, once(syscall.EINTR, false)},
		"connect: EINTR, begun":                    {fine, once(syscall.EINTR, true)},
		"connect: EADDRNOTAVAIL":                   {fine, once(syscall.EADDRNOTAVAIL, false)},
		"connect: EAGAIN":                          {fine, once(syscall.EAGAIN, false)},
		"connect: EALREADY, begun":                 {fine, once(syscall.EALREADY, true)},
		"connect: EINPROGRESS, though it has been": {fine, once(syscall.EINPROGRESS, true)},
		"none": {fine, connects},
	} {
		t.Run(name, func(t *testing.T) {
			faultyDials(t, c.socket, c.connect)
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
					t.Errorf("other side %q, expected %q", l.RemoteAddr(), address)
				}
				l.Close(ErrClosed)
			}
		})
	}
}

// What does not pass is told as what it is, at once; what passes but lasts ends with the time, not before and in few calls.
func TestDialTellsFaults(t *testing.T) {
	address, stop := echo(t)
	defer stop()
	for _, fault := range []error{syscall.ECONNREFUSED, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT} {
		sockets := faultyDials(t, fine, func(int64) (error, bool) { return fault, false })
		if _, err := DialRaw(address, time.Minute, DefaultLimits, nil, nil); !errors.Is(err, fault) || sockets.Load() != 1 {
			t.Errorf("found %v after %d sockets, expected %v after one", err, sockets.Load(), fault)
		}
	}
	sockets := faultyDials(t, func(int64) error { return syscall.ENOBUFS }, connects)
	if _, err := DialRaw(address, 100*time.Millisecond, DefaultLimits, nil, nil); !errors.Is(err, syscall.ENOBUFS) || sockets.Load() > 20 {
		t.Errorf("found %v after %d sockets, expected %v after few", err, sockets.Load(), syscall.ENOBUFS)
	}
}

// Nobody listens, and nobody answers.
func TestDialNobody(t *testing.T) {
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
