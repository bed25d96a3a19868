package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	descriptorLimit   = 256
	repeaterTime      = 3 * time.Second
	recoveryTime      = time.Second // after which usual clients must be answered again
	recoveryTestUntil = 3 * time.Second
)

// Guards against a process that hangs for good once it has run out of descriptors: clients that ask for a class that does not exist,
// again as soon as they are turned away, on one connection after the other. Once they have gone usual clients must be answered.
func TestRecoversWithoutDescriptors(t *testing.T) {
	program := buildProgram(t)
	for _, clients := range []int{300, 1000} {
		t.Run(fmt.Sprintf("%d_clients", clients), func(t *testing.T) {
			x := startProgram(t, memoryTestConfig{memoryMB: 64, sockets: descriptorLimit, servers: fakeServers(t, floodServers)},
				"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s sentry --platform", descriptorLimit, program))
			end := time.Now().Add(repeaterTime)
			var repeaters sync.WaitGroup
			for n := range clients {
				repeaters.Go(func() { x.repeatUnknownClass(n, end) })
			}
			repeaters.Wait()
			time.Sleep(recoveryTime)
			for i := 0; time.Since(end) < recoveryTestUntil; i++ {
				conn, err := net.Dial("tcp", x.address)
				if err != nil {
					t.Fatal(err)
				}
				conn.SetDeadline(time.Now().Add(time.Second))
				if reply := sendRequest(conn, bufio.NewReader(conn), fmt.Sprintf("usual-%d", i)); !strings.HasPrefix(reply, "$") {
					t.Fatalf("usual request %d: %.40q, expected a value", i, reply)
				}
				conn.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// repeatUnknownClass asks for a class that does not exist until a time, on new connections whenever one is closed.
func (x *memoryTest) repeatUnknownClass(client int, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		conn, err := net.DialTimeout("tcp", x.address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn.SetDeadline(end)
		in := bufio.NewReader(conn)
		for i := 0; ; i++ {
			id := fmt.Sprintf("bad-%d-%d-%d", client, round, i)
			fmt.Fprintf(conn, "*4\r\n$5\r\nQ.ASK\r\n$5\r\nkey-1\r\n$%d\r\n%s\r\n$15\r\nc=nothing,d=800\r\n", len(id), id)
			if _, err := in.ReadString('\n'); err != nil {
				break
			}
		}
		conn.Close()
	}
}
