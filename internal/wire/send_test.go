package wire

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// faultySends has the system call that writes fail or take less, as a test says of its n-th call, from 1.
func faultySends(t *testing.T, fault func(n int64, p []byte) (take int, err error)) {
	real := sendSyscall.Load()
	var calls atomic.Int64
	faulty := sendCall(func(fd int, p []byte) (int, error) {
		take, err := fault(calls.Add(1), p)
		if err != nil {
			return -1, err
		}
		return (*real)(fd, p[:take])
	})
	sendSyscall.Store(&faulty)
	t.Cleanup(func() { sendSyscall.Store(real) })
}

// echo serves a link that sends back what comes.
func echo(t *testing.T) (address string, stop func()) {
	server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(*Link) (DataHandler, func(*Link, error)) {
		return func(l *Link, data []byte) ([]byte, error) {
			l.PutRaw(data)
			l.Flush()
			return nil, nil
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return server.Address, server.Close
}

// Everything put on a link arrives, in order and once, whatever the system makes of single calls: interrupted, short of
// buffers, full, taking one byte at a time, each once, in rows, one in a few, or for long.
func TestSendsSurviveFaults(t *testing.T) {
	all := func(p []byte) (int, error) { return len(p), nil }
	for name, fault := range map[string]func(n int64, p []byte) (int, error){
		"interrupted at first": func(n int64, p []byte) (int, error) {
			if n == 1 {
				return 0, syscall.EINTR
			}
			return all(p)
		},
		"interrupted in rows": func(n int64, p []byte) (int, error) {
			if n%100 < 60 {
				return 0, syscall.EINTR
			}
			return all(p)
		},
		"no buffers, one in three": func(n int64, p []byte) (int, error) {
			if n%3 == 0 {
				return 0, syscall.ENOBUFS
			}
			return all(p)
		},
		"no memory and full, in turn": func(n int64, p []byte) (int, error) {
			return len(p), []error{syscall.ENOMEM, syscall.EAGAIN, nil}[n%3]
		},
		"one byte at a time": func(int64, []byte) (int, error) { return 1, nil },
		"one byte, then interrupted": func(n int64, _ []byte) (int, error) {
			return 1, []error{nil, syscall.EINTR}[n%2]
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, stop := echo(t)
			defer stop()
			faultySends(t, fault)
			sent := bytes.Repeat([]byte("0123456789abcdef"), 40)
			for range 5 {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(20 * time.Second))
				for range 3 {
					c.Write(sent)
					got := make([]byte, len(sent))
					if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
						t.Fatalf("read %v, expected the bytes sent", err)
					}
				}
				c.Close()
			}
		})
	}
}

// A fault that lasts ends with the link: nobody is left that tries for ever, and what was not written is not taken for
// something that the other side may have.
func TestSendEndsWithTheLink(t *testing.T) {
	for _, lasting := range []error{syscall.EINTR, syscall.ENOBUFS, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		links, ended := make(chan *Link, 1), make(chan struct{}, 1)
		server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(*Link) (DataHandler, func(*Link, error)) {
			return func(l *Link, _ []byte) ([]byte, error) { links <- l; return nil, nil },
				func(*Link, error) { ended <- struct{}{} }
		})
		if err != nil {
			t.Fatal(err)
		}
		var calls atomic.Int64
		t.Run(lasting.Error(), func(t *testing.T) {
			faultySends(t, func(n int64, p []byte) (int, error) { calls.Store(n); return 0, lasting })
			c, err := net.Dial("tcp", server.Address)
			if err != nil {
				t.Fatal(err)
			}
			c.Write([]byte("x"))
			l := <-links
			l.PutRaw([]byte("answer"))
			mark := l.PutOffset()
			l.Flush()
			for isTransient(lasting) && calls.Load() < maxInterruptions+3 {
				time.Sleep(time.Millisecond)
			}
			c.Close()
			<-ended
			for l.MayHaveSent(mark) {
				time.Sleep(time.Millisecond)
			}
		})
		server.Close()
		made := calls.Load()
		time.Sleep(30 * time.Millisecond)
		if calls.Load() != made {
			t.Errorf("%v: calls go on after the link has ended", lasting)
		}
	}
}
