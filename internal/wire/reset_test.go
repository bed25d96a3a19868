package wire

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Links close when their connections are reset during a write. Nothing is written to memory that netpoll has released.
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
	// Each link closes by itself, and no handler runs any more: a writer may only be added before the wait for all of them.
	accepted, end := int64(0), time.Now().Add(10*time.Second)
	for len(server.allLinks()) > 0 || server.acceptedCount.Load() != accepted {
		if time.Now().After(end) {
			t.Fatalf("%d links are open after their connections were reset", len(server.allLinks()))
		}
		accepted = server.acceptedCount.Load()
		runOnPollerAndWait(func() {})
	}
	runOnPollerAndWait(func() {})
	writers.Wait()
}

// MayHaveSent depends on the progress of the writes: it is false for data that was not passed to the kernel and for data whose
// write failed before the last byte, and true for data that was written or is being written.
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
	check := func(when string, offsets []int64, want ...bool) {
		t.Helper()
		for i, offset := range offsets {
			if l.MayHaveSent(offset) != want[i] {
				t.Errorf("%s: MayHaveSent of offset %d: %v", when, i, !want[i])
			}
		}
	}
	offsets := []int64{put(100)}
	check("not flushed", offsets, false)
	l.Flush()
	if n, err := c.Read(make([]byte, 100)); n != 100 || err != nil {
		t.Fatal(n, err)
	}
	offsets = append(offsets, put(32<<20)) // more than the sockets take
	l.Flush()
	for !l.MayHaveSent(offsets[1]) {
		time.Sleep(time.Millisecond)
	}
	offsets = append(offsets, put(100))
	check("during the write", offsets, true, true, false)
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	for l.MayHaveSent(offsets[1]) {
		time.Sleep(time.Millisecond)
	}
	check("after the reset", offsets, true, false, false)
}

// A listener closes only after an iteration of the poller in which it has accepted no connection. From then on new connections
// are refused, and open links stay open.
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
	pollerBlocked, unblockPoller := make(chan struct{}), make(chan struct{})
	RunOnPoller(func() { close(pollerBlocked); <-unblockPoller })
	<-pollerBlocked
	c, err := net.Dial("tcp", server.Address) // the kernel accepts it
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	closed := make(chan bool, 1)
	server.CloseListenerIfIdle(func(ok bool) { closed <- ok })
	close(unblockPoller)
	if <-closed {
		t.Error("the listener closed despite a connection that the kernel had accepted")
	}
	for server.CloseListenerIfIdle(func(ok bool) { closed <- ok }); !<-closed; server.CloseListenerIfIdle(func(ok bool) { closed <- ok }) {
	}
	if c, err := net.DialTimeout("tcp", server.Address, time.Second); err == nil {
		c.Close()
		t.Error("a connection was established after the listener had closed")
	}
	echo := make([]byte, 1)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(echo); err != nil || echo[0] != 'x' {
		t.Errorf("%q, %v on the open link, expected x", echo, err)
	}
}
