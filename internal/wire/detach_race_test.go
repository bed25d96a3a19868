package wire

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Clients reset their connections while reading from them stops and resumes repeatedly: no socket is closed twice, none is left
// open, and no descriptor is used after its number was reused.
//
// It guards against a data race that the race detector reported in a CI run of TestClientLimitWithAllBusy, between netpoll's
// Detach and netFD.Close: netpoll closes connections that the peer has closed on a goroutine of its own, not on the poller, and
// checks only while it closes the socket whether the connection was detached.
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
			runOnPollerAndWait(func() {
				for _, l := range open() {
					l.detach(readNone)
				}
			})
			runOnPollerAndWait(func() {
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
			t.Fatalf("%d links are open after all clients have closed", len(open()))
		}
	}
	// A new connection receives only its own bytes: nothing is written to a closed descriptor whose number is reused.
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
