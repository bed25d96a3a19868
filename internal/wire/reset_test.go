package wire

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Connections that are reset while they are written to end; nothing is written to what netpoll has given back.
func TestResetWhileWriting(t *testing.T) {
	var writers sync.WaitGroup
	server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(l *Link) (DataHandler, func(*Link, error)) {
		return func(l *Link, _ []byte) ([]byte, error) {
			writers.Add(1)
			go func() {
				defer writers.Done()
				for l.PutRaw(make([]byte, 700)) {
					l.Flush()
				}
			}()
			return nil, nil
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for i := range 400 {
		c, err := net.Dial("tcp", server.Address)
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte("x"))
		time.Sleep(time.Duration(1+i%7) * 100 * time.Microsecond)
		c.(*net.TCPConn).SetLinger(0) // a reset
		c.Close()
	}
	writers.Wait()
}

// What the other side may have is told by how far the writing has come: not what was not given to be written, nor what
// broke off before its last byte; what was written whole, or may just be.
func TestMayHave(t *testing.T) {
	links := make(chan *Link, 1)
	server, err := ServeRaw("127.0.0.1:0", Limits{MaxPendingBytes: 64 << 20}, func(l *Link) (DataHandler, func(*Link, error)) {
		return func(l *Link, _ []byte) ([]byte, error) { links <- l; return nil, nil }, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("x"))
	l := <-links
	put := func(n int) int64 { l.PutRaw(make([]byte, n)); return l.PutOffset() }
	holds := func(when string, marks []int64, want ...bool) {
		t.Helper()
		for i, m := range marks {
			if l.MayHaveSent(m) != want[i] {
				t.Errorf("%s: mark %d may be there: %v", when, i, !want[i])
			}
		}
	}
	marks := []int64{put(100)}
	holds("not flushed", marks, false)
	l.Flush()
	if n, err := c.Read(make([]byte, 100)); n != 100 || err != nil {
		t.Fatal(n, err)
	}
	marks = append(marks, put(32<<20)) // more than the sockets take
	l.Flush()
	for !l.MayHaveSent(marks[1]) {
		time.Sleep(time.Millisecond)
	}
	marks = append(marks, put(100))
	holds("while it is written", marks, true, true, false)
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	for l.MayHaveSent(marks[1]) {
		time.Sleep(time.Millisecond)
	}
	holds("broken off", marks, true, false, false)
}

// A listener closes only after a turn in which it has taken up no connection; from then on new ones are refused, and links
// that are open stay so.
func TestCloseListener(t *testing.T) {
	server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(l *Link) (DataHandler, func(*Link, error)) {
		return func(l *Link, data []byte) ([]byte, error) {
			l.PutRaw(data)
			l.Flush()
			return nil, nil
		}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	held, gate := make(chan struct{}), make(chan struct{})
	RunOnPoller(func() { close(held); <-gate })
	<-held
	c, err := net.Dial("tcp", server.Address) // the system accepts it
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	closed := make(chan bool, 1)
	server.CloseListenerIfIdle(func(ok bool) { closed <- ok })
	close(gate)
	if <-closed {
		t.Error("the listener closed over a connection that the system had accepted")
	}
	for server.CloseListenerIfIdle(func(ok bool) { closed <- ok }); !<-closed; server.CloseListenerIfIdle(func(ok bool) { closed <- ok }) {
	}
	if c, err := net.DialTimeout("tcp", server.Address, time.Second); err == nil {
		c.Close()
		t.Error("a connection came up after the listener had closed")
	}
	echo := make([]byte, 1)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(echo); err != nil || echo[0] != 'x' {
		t.Errorf("%q, %v on the link that was open, expected x", echo, err)
	}
}
