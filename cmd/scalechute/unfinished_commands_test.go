package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// unfinishedCommandClients is the number of clients that send a command but for its end, near all that 1,024 descriptors allow.
const unfinishedCommandClients = 330

// Guards against a sentry that is killed for its memory: what had come of clients' commands that do not end was bounded for each
// client and not together. The usual clients must be served all the while.
func TestMemoryOfUnfinishedCommands(t *testing.T) {
	const memoryMB = 32
	x := startMemoryTest(t, buildProgram(t), memoryMB, fakeServers(t, floodServers))
	usual := x.serveUsual(t)
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { x.watchMemory(done) })
	end := time.Now().Add(floodTime)
	for n := range unfinishedCommandClients {
		running.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				x.sendUnfinished(n, round, end)
			}
		})
	}
	beside := x.serveUsual(t)
	close(done)
	running.Wait()
	if limit := int64(memoryMB) << 10; x.peakKB.Load() > limit {
		t.Errorf("peak of the anonymous memory %d kB, expected at most %d kB", x.peakKB.Load(), limit)
	}
	if beside < minServedShare*usual {
		t.Errorf("usual clients: %.3f of the requests served beside unfinished commands, %.3f without them, expected at least %.1f of that", beside, usual, minServedShare)
	}
	t.Logf("peak %d kB, served %.3f without and %.3f beside unfinished commands", x.peakKB.Load(), usual, beside)
}

// sendUnfinished sends a command of the largest size but for its last bytes, and waits until the connection is closed, or a time.
func (x *memoryTest) sendUnfinished(client, round int, end time.Time) {
	conn, err := net.Dial("tcp", x.address)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	id := fmt.Sprintf("unfinished-%d-%d", client, round)
	fmt.Fprintf(conn, "*5\r\n$5\r\nQ.ASK\r\n$5\r\nkey-1\r\n$%d\r\n%s\r\n$12\r\nc=read,d=800\r\n$%d\r\n%s", len(id), id, floodBodyBytes, strings.Repeat("x", floodBodyBytes-10))
	io.Copy(io.Discard, conn)
}
