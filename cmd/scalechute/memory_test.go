package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	floodTime         = 2 * time.Second
	floodCommands     = 300 // that a client of the flood sends at once
	floodBodyBytes    = 64 << 10
	usualClients      = 8
	floodServers      = 12
	minServedShare    = 0.9 // of what the usual clients are served without the flood
	memoryPollingTime = 5 * time.Millisecond
)

// Guards against a sentry that is killed for its memory: a few clients that send hundreds of the largest commands at once,
// whose bytes were not bounded. The usual clients must be served all the while. The program is built without the race
// detector, which needs several times the memory.
func TestMemoryOfLargestCommands(t *testing.T) {
	program := buildProgram(t)
	for _, memoryMB := range []int{32, 64, 96} {
		for _, clients := range []int{4, 16, 64} {
			t.Run(fmt.Sprintf("%d_MB_%d_clients", memoryMB, clients), func(t *testing.T) {
				x := startMemoryTest(t, program, memoryMB, fakeServers(t, floodServers))
				usual := x.serveUsual(t)
				flooded := x.flood(t, clients)
				if limit := int64(memoryMB) << 10; x.peakKB.Load() > limit {
					t.Errorf("peak of the anonymous memory %d kB, expected at most %d kB", x.peakKB.Load(), limit)
				}
				if flooded < minServedShare*usual {
					t.Errorf("usual clients: %.3f of the requests served beside the flood, %.3f without it, expected at least %.1f of that", flooded, usual, minServedShare)
				}
				t.Logf("peak %d kB, served %.3f without and %.3f beside the flood", x.peakKB.Load(), usual, flooded)
			})
		}
	}
}

// memoryTest is one process whose anonymous memory is watched.
type memoryTest struct {
	address string
	pid     int
	peakKB  atomic.Int64
}

// buildProgram builds the program without the race detector, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "scalechute")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// fakeServers starts servers and returns their addresses.
func fakeServers(t *testing.T, count int) (addresses []string) {
	for range count {
		addresses = append(addresses, newFakeServer(t, "127.0.0.1:0").address)
	}
	return addresses
}

// memoryTestConfig is the part of a process's configuration that tests vary.
type memoryTestConfig struct {
	memoryMB, sockets int
	servers           []string // addresses
}

// startMemoryTest starts a process with a memory limit, servers at some addresses and 1,024 descriptors.
func startMemoryTest(t *testing.T, program string, memoryMB int, servers []string) *memoryTest {
	t.Helper()
	return startProgram(t, memoryTestConfig{memoryMB: memoryMB, sockets: 1024, servers: servers}, program, "sentry", "--platform")
}

// startProgram starts a process by a command, and waits until it answers.
func startProgram(t *testing.T, c memoryTestConfig, command ...string) *memoryTest {
	t.Helper()
	var targets []string
	for i, address := range c.servers {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":%q,"az":"here","pod_group":1,"state":"active","capacity_hint":1,"boot_ms":0,"release":7}`,
			i, address))
	}
	list := fmt.Sprintf(`{"rev":50,"all":true,"targets":[%s]}`, strings.Join(targets, ","))
	discovery := newFakeDiscovery(t, list)
	t.Cleanup(func() { close(discovery.disconnect) })
	x := &memoryTest{address: freeAddress(t)}
	file := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,
	 "sockets":%d},"release_api":{"address":"127.0.0.1:1"},"known":%s,"settings":%s}`, x.address, discovery.address, c.memoryMB, c.sockets, list, platformSettings)
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(command[0], command[1:]...)
	process.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Signal(syscall.SIGKILL); process.Wait() })
	if !waitForPong(x.address) {
		t.Fatal("the process does not answer")
	}
	x.pid = process.Process.Pid
	return x
}

// watchMemory notes the peak of the process's anonymous memory until done is closed.
func (x *memoryTest) watchMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryPollingTime):
			x.peakKB.Store(max(x.peakKB.Load(), anonymousKB(x.pid)))
		}
	}
}

// anonymousKB returns the resident anonymous memory of a process.
func anonymousKB(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes
}

// serveUsual has the usual clients send requests, and returns the share that is served.
func (x *memoryTest) serveUsual(t *testing.T) float64 {
	t.Helper()
	var sent, served atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(floodTime)
	for n := range usualClients {
		clients.Go(func() {
			conn, err := net.Dial("tcp", x.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			for i := 0; time.Now().Before(end); i++ {
				sent.Add(1)
				started := time.Now()
				if reply := sendRequest(conn, in, fmt.Sprintf("usual-%d-%d", n, i)); strings.HasPrefix(reply, "$") {
					served.Add(1)
				} else {
					t.Logf("usual request %d-%d: %.40q after %v", n, i, reply, time.Since(started))
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return float64(served.Load()) / float64(max(1, sent.Load()))
}

// flood runs serveUsual while other clients send hundreds of the largest commands at once, again and again.
func (x *memoryTest) flood(t *testing.T, clients int) (servedShare float64) {
	t.Helper()
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { x.watchMemory(done) })
	for n := range clients {
		running.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-done:
					return
				default:
					x.sendFlood(n, round, done)
				}
			}
		})
	}
	servedShare = x.serveUsual(t)
	close(done)
	running.Wait()
	return servedShare
}

// sendFlood sends one connection's commands at once, and reads the replies until all have come or done is closed.
func (x *memoryTest) sendFlood(client, round int, done <-chan struct{}) {
	conn, err := net.Dial("tcp", x.address)
	if err != nil {
		return
	}
	defer conn.Close()
	body := strings.Repeat("x", floodBodyBytes)
	go func() {
		for i := range floodCommands {
			id := fmt.Sprintf("flood-%d-%d-%d", client, round, i)
			if _, err := fmt.Fprintf(conn, "*5\r\n$5\r\nQ.ASK\r\n$5\r\nkey-1\r\n$%d\r\n%s\r\n$12\r\nc=read,d=800\r\n$%d\r\n%s\r\n", len(id), id, floodBodyBytes, body); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(conn)
	for range floodCommands {
		select {
		case <-done:
			return
		default:
		}
		conn.SetReadDeadline(time.Now().Add(time.Second))
		line, err := in.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "$") {
			_, err = in.ReadString('\n')
		}
		if err != nil {
			return
		}
	}
}
