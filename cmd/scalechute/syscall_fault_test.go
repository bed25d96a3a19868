package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// requestsPerCase is the number of requests in each case of TestSystemCallFaults. Every four share a new connection.
const requestsPerCase = 60

// TestSystemCallFaults injects errors that Linux documents into the system calls of the real program: several in a row,
// or one call in a few. Each request must get exactly one answer, and the process must go on and serve requests between
// and after the errors. strace injects them; .ci/run installs it.
func TestSystemCallFaults(t *testing.T) {
	for name, c := range map[string]struct {
		inject string
		served int // minimum number of answers from the server
	}{
		"send: EINTR, one in three":           {"sendmsg:error=EINTR:when=3+3", requestsPerCase},
		"send: EINTR in a row":                {"sendmsg:error=EINTR:when=20..60", requestsPerCase},
		"send: ENOBUFS, one in four":          {"sendmsg:error=ENOBUFS:when=4+4", requestsPerCase},
		"send: EAGAIN, one in three":          {"sendmsg:error=EAGAIN:when=3+3", requestsPerCase},
		"read: EINTR, one in two":             {"readv:error=EINTR:when=2+2", requestsPerCase},
		"read: EAGAIN, one in three":          {"readv:error=EAGAIN:when=3+3", requestsPerCase},
		"read ahead: EINTR, one in two":       {"recvfrom:error=EINTR:when=2+2", requestsPerCase},
		"wait: EINTR, one in four":            {"epoll_wait,epoll_pwait:error=EINTR:when=4+4", requestsPerCase},
		"accept: ECONNABORTED, one in two":    {"accept4:error=ECONNABORTED:when=2+2", requestsPerCase},
		"accept: EINTR, one in two":           {"accept4:error=EINTR:when=2+2", requestsPerCase},
		"accept: ENFILE, one in three":        {"accept4:error=ENFILE:when=3+3", requestsPerCase},
		"connect: EINTR, one in two":          {"connect:error=EINTR:when=2+2", requestsPerCase},
		"connect: EADDRNOTAVAIL, one in two":  {"connect:error=EADDRNOTAVAIL:when=2+2", requestsPerCase},
		"connect: ENETUNREACH, one in three":  {"connect:error=ENETUNREACH:when=3+3", requestsPerCase / 2},
		"connect: EHOSTUNREACH, one in three": {"connect:error=EHOSTUNREACH:when=3+3", requestsPerCase / 2},
		"connect: ETIMEDOUT, one in three":    {"connect:error=ETIMEDOUT:when=3+3", requestsPerCase / 2},
		"socket: ENOBUFS, one in two":         {"socket:error=ENOBUFS:when=4+2", requestsPerCase / 2},
		"socket: ENFILE, one in two":          {"socket:error=ENFILE:when=4+2", requestsPerCase / 2},
		"getsockopt: ENOBUFS, one in three":   {"getsockopt:error=ENOBUFS:when=3+3", requestsPerCase / 2},
	} {
		t.Run(name, func(t *testing.T) {
			address := startTraced(t, c.inject)
			served := 0
			var conn net.Conn
			var in *bufio.Reader
			for n := range requestsPerCase {
				if n%4 == 0 {
					if conn != nil {
						conn.Close()
					}
					conn, in = dialTraced(t, address)
				}
				answer := sendRequest(conn, in, fmt.Sprint("r-", n))
				switch {
				case answer == "":
					t.Fatalf("request %d of %d got no answer", n+1, requestsPerCase)
				case strings.HasPrefix(answer, "$"):
					served++
				}
			}
			conn.Close()
			if served < c.served {
				t.Errorf("%d of %d requests served, expected at least %d", served, requestsPerCase, c.served)
			}
		})
	}
}

// dialTraced connects to the process. It retries a connection that is aborted before the process accepts it, because the
// injected errors cause that.
func dialTraced(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	for range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if line, _ := in.ReadString('\n'); line == "+PONG\r\n" {
			return conn, in
		}
		conn.Close()
	}
	t.Fatal("no connection is accepted")
	return nil, nil
}

// startTraced starts the program under strace, which injects an error into its system calls, with one server and a
// discovery that lists this server. It returns the program's address once the program answers.
func startTraced(t *testing.T, injection string) string {
	t.Helper()
	server := newFakeServer(t, "127.0.0.1:0")
	listen := freeAddress(t)
	discovery := newFakeDiscovery(t, listJSON(server.address, 50, 7))
	t.Cleanup(func() { close(discovery.disconnect) })
	configFile := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,
	 "sockets":256},"release_api":{"address":"127.0.0.1:1"},"known":%s,"settings":%s}`, listen, discovery.address,
		listJSON(server.address, 50, 7), platformSettings)
	if err := os.WriteFile(configFile, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	systemCalls, _, _ := strings.Cut(injection, ":")
	process := exec.Command("strace", "-f", "-o", os.DevNull, "-e", "trace="+systemCalls, "-e", "inject="+injection,
		os.Args[0], "sentry", "--platform")
	process.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // one process group, so that one kill ends both
	if err := process.Start(); err != nil {
		t.Fatal("starting strace, which this test needs: ", err)
	}
	t.Cleanup(func() {
		syscall.Kill(-process.Process.Pid, syscall.SIGKILL)
		process.Wait()
	})
	if !waitForPong(listen) {
		t.Fatal("the process does not answer")
	}
	return listen
}
