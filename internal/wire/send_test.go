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

// injectSendErrors replaces the system call that writes. inject is given the number of the call, from 1, and returns how many
// bytes to write or the error to return.
func injectSendErrors(t *testing.T, inject func(n int64, p []byte) (take int, err error)) {
	original := sendSyscall.Load()
	var calls atomic.Int64
	faulty := sendCall(func(fd int, p []byte) (int, error) {
		take, err := inject(calls.Add(1), p)
		if err != nil {
			return -1, err
		}
		return (*original)(fd, p[:take])
	})
	sendSyscall.Store(&faulty)
	t.Cleanup(func() { sendSyscall.Store(original) })
}

// serveEcho starts a server that sends back what it receives.
func serveEcho(t *testing.T) (address string, stop func()) {
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

// Everything put on a link arrives once and in order, whatever single writes return: an interruption, a lack of buffers, a full
// socket or one byte written, once, repeatedly or alternating with success.
func TestSendsSurviveFaults(t *testing.T) {
	all := func(p []byte) (int, error) { return len(p), nil }
	for name, fault := range map[string]func(n int64, p []byte) (int, error){
		"interrupted at first": func(n int64, p []byte) (int, error) {
			if n == 1 {
				return 0, syscall.EINTR
			}
			return all(p)
		},
		"interrupted repeatedly": func(n int64, p []byte) (int, error) {
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
			address, stop := serveEcho(t)
			defer stop()
			injectSendErrors(t, fault)
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

// Writes whose error persists stop when the link closes: no goroutine goes on trying, and MayHaveSent is false for the data that
// was not written.
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
			injectSendErrors(t, func(n int64, p []byte) (int, error) { calls.Store(n); return 0, lasting })
			c, err := net.Dial("tcp", server.Address)
			if err != nil {
				t.Fatal(err)
			}
			c.Write([]byte("x"))
			l := <-links
			l.PutRaw([]byte("answer"))
			offset := l.PutOffset()
			l.Flush()
			for isTransient(lasting) && calls.Load() < maxInterruptions+3 {
				time.Sleep(time.Millisecond)
			}
			c.Close()
			<-ended
			for l.MayHaveSent(offset) {
				time.Sleep(time.Millisecond)
			}
		})
		server.Close()
		callsAtClose := calls.Load()
		time.Sleep(30 * time.Millisecond)
		if calls.Load() != callsAtClose {
			t.Errorf("%v: calls go on after the link has closed", lasting)
		}
	}
}
