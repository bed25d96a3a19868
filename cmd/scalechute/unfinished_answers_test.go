package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	unfinishedServers  = 4
	unfinishedShare    = 4  // one answer in so many does not end
	unfinishedClients  = 60 // that keep a request open
	unfinishedTestTime = 4 * time.Second
)

// Guards against a sentry that is killed for its memory: what had come of workers' answers that do not end was not bounded. Some
// name a value far beyond the protocol's 64 KiB, others one that is allowed, and all keep coming.
func TestMemoryOfUnfinishedAnswers(t *testing.T) {
	program := buildProgram(t)
	for name, valueBytes := range map[string]int{"2_MB": 2_000_000, "64_KiB": 64 << 10} {
		for _, memoryMB := range []int{32, 48} {
			t.Run(fmt.Sprintf("%s_of_%d_MB", name, memoryMB), func(t *testing.T) {
				var answers, served atomic.Int64
				servers := make([]string, unfinishedServers)
				for i := range servers {
					servers[i] = serveConnections(t, "127.0.0.1:0", func(c net.Conn) { answerInPart(c, &answers, valueBytes) }).address
				}
				x := startMemoryTest(t, program, memoryMB, servers)
				done := make(chan struct{})
				var running sync.WaitGroup
				running.Go(func() { x.watchMemory(done) })
				var clients sync.WaitGroup
				end := time.Now().Add(unfinishedTestTime)
				for n := range unfinishedClients {
					clients.Go(func() { served.Add(x.requestUntil(n, end)) })
				}
				clients.Wait()
				close(done)
				running.Wait()
				if limit := int64(memoryMB) << 10; x.peakKB.Load() > limit {
					t.Errorf("peak of the anonymous memory %d kB, expected at most %d kB", x.peakKB.Load(), limit)
				}
				if served.Load() == 0 {
					t.Error("no request was served")
				}
				t.Logf("peak %d kB, %d requests served", x.peakKB.Load(), served.Load())
			})
		}
	}
}

// answerInPart serves a connection. One answer in unfinishedShare names a value of valueBytes and sends most of it in 0.3 s, then a
// byte now and then.
func answerInPart(c net.Conn, answers *atomic.Int64, valueBytes int) {
	const pieces = 15
	piece := strings.Repeat("x", valueBytes*9/10/pieces)
	for in := bufio.NewReader(c); ; {
		arguments, err := readCommand(in)
		if err != nil {
			return
		}
		if answers.Add(1)%unfinishedShare != 0 {
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(arguments[2]), arguments[2])
			continue
		}
		fmt.Fprintf(c, "*3\r\n$%d\r\n", valueBytes)
		for n := 0; ; n++ {
			next, pause := piece, 20*time.Millisecond
			if n >= pieces {
				next, pause = "x", 80*time.Millisecond
			}
			if _, err := io.WriteString(c, next); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// requestUntil sends one request after the other until a time, and returns how many were served.
func (x *memoryTest) requestUntil(client int, end time.Time) (served int64) {
	conn, err := net.Dial("tcp", x.address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; time.Now().Before(end); i++ {
		if reply := sendRequest(conn, in, fmt.Sprintf("client-%d-%d", client, i)); strings.HasPrefix(reply, "$") {
			served++
		}
	}
	return served
}
