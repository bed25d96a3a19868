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

const platformSettings = `{"azs":["here"],"zone":"here","replicas_of_me":1,"position":0,"registry_mode":"on_request","granularity_ns":5000000,
 "categories":[{"name":"read","aim_ns":300000000,"deadline_ns":900000000,"effect":"retryable","value":1}],
 "limits":{"max_attempts":3,"connect_timeout_ns":250000000,"idle_close_ns":30000000000,"streams_per_conn":32},
 "rules":{"ask_within_ns":8000000000,"drain_grace_ns":2000000000,"warm_up_ns":1000000000,"fall_multiple":4,"fall_ns":2000000000}}`

// platformed starts a sentry whose configuration comes through a pipe, so that the test knows what it has read.
func startPlatformSentry(t *testing.T, listen string) (process *exec.Cmd, configure func(signal syscall.Signal, config string)) {
	configFile := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(configFile, 0o600); err != nil {
		t.Fatal(err)
	}
	process = exec.Command(os.Args[0], "sentry", "--platform")
	process.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	return process, func(signal syscall.Signal, config string) {
		if config == "" {
			config = fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
			 "limits":{"cores":1,"memory_mb":64,"sockets":256},"release_api":{"address":"127.0.0.1:1"},"settings":%s}`, listen, platformSettings)
		}
		pipe, err := os.OpenFile(configFile, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		for n := 0; err != nil; n++ { // until the sentry reads
			if time.Sleep(10 * time.Millisecond); n > 1000 {
				t.Fatal("the sentry does not read its configuration: ", err)
			}
			pipe, err = os.OpenFile(configFile, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		}
		defer pipe.Close()
		os.Remove(configFile) // the next time it reads another
		if err := syscall.Mkfifo(configFile, 0o600); err != nil {
			t.Fatal(err)
		}
		if signal != 0 {
			process.Process.Signal(signal)
			time.Sleep(50 * time.Millisecond)
		}
		pipe.WriteString(config)
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// ping says whether the sentry answers, within 10 s.
func waitForPong(address string) bool {
	for range 200 {
		if c, err := net.Dial("tcp", address); err == nil {
			fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
			c.SetReadDeadline(time.Now().Add(time.Second))
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if line == "+PONG\r\n" {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// Signals that come while the sentry reads its configuration, before it stands, are taken once it does: SIGHUP ends nothing,
// SIGTERM ends it in order. A configuration that can't be taken at SIGHUP leaves the old one.
func TestSignalsBeforeReady(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		address := freeAddress(t)
		process, configure := startPlatformSentry(t, address)
		configure(signal, "") // it has come to its configuration, and has yet to read it
		if signal == syscall.SIGHUP {
			configure(0, "{") // refused
			if !waitForPong(address) {
				t.Fatal("no answer after a SIGHUP before it was ready")
			}
			process.Process.Signal(syscall.SIGHUP)
			configure(syscall.SIGHUP, "") // one more while it reads
			configure(syscall.SIGTERM, "")
		}
		exited := make(chan error, 1)
		go func() { exited <- process.Wait() }()
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("%v: it ended with %v, expected in order", signal, err)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%v: it did not end", signal)
			process.Process.Kill()
			<-exited
		}
	}
}

// What is missing is told in one line, and it ends before it listens.
func TestNoConfiguration(t *testing.T) {
	for env, want := range map[string]string{"EDGE_CONFIG=": "EDGE_CONFIG: found nothing", "EDGE_CONFIG=/nowhere": "/nowhere"} {
		process := exec.Command(os.Args[0], "sentry", "--platform")
		process.Env = append(os.Environ(), env)
		out, err := process.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
			t.Errorf("%s: %v, %q, expected one line with %q", env, err, out, want)
		}
	}
}
