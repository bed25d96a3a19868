package wire

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Clients reset their connections while reading of these stops, starts and stops again: no socket is closed twice, none is
// left open, and none is another's.
//
// What happened: the race detector found that a link was detached while the dependency closed it. Why: the dependency closes
// connections that the other side has ended on a goroutine of its own, not on the poller, and it asks only as it closes the
// socket whether the connection was detached. The evidence: TestBeyondTheBound in a CI run, Detach beside netFD.Close.
func TestResetWhileReadingStops(t *testing.T) {
	var mu sync.Mutex
	links := map[*Link]bool{}
	server, err := ServeRaw("127.0.0.1:0", DefaultLimits, func(l *Link) (DataHandler, func(*Link, error)) {
		mu.Lock()
		links[l] = true
		mu.Unlock()
		return func(l *Link, data []byte) ([]byte, error) { l.PutRawUnbounded(data); l.Flush(); return nil, nil },
			func(l *Link, _ error) { mu.Lock(); delete(links, l); mu.Unlock() }
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	open := func() []*Link {
		mu.Lock()
		defer mu.Unlock()
		all := make([]*Link, 0, len(links))
		for l := range links {
			all = append(all, l)
		}
		return all
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 400 {
			onPoller(func() {
				for _, l := range open() {
					l.detach(readNone)
				}
			})
			onPoller(func() {
				for _, l := range open() {
					l.attach()
				}
			})
		}
	}()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				c, err := net.Dial("tcp", server.Address)
				if err != nil {
					t.Error(err)
					return
				}
				c.Write([]byte("x"))
				time.Sleep(time.Duration(n%5) * 100 * time.Microsecond)
				c.(*net.TCPConn).SetLinger(0) // a reset
				c.Close()
			}
		})
	}
	clients.Wait()
	for end := time.Now().Add(5 * time.Second); len(open()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d links are open after all clients have gone", len(open()))
		}
	}
	// A connection gets its own bytes alone: none of the descriptors that were closed is written to any more.
	c, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("own"))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, 16)
	if n, err := c.Read(got); err != nil || string(got[:n]) != "own" {
		t.Errorf("%q, %v", got[:n], err)
	}
}
