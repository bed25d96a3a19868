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

	"scalechute/standin"
)

const platformSettings = `{"azs":["here"],"zone":"here","replicas_of_me":1,"position":0,"registry_mode":"on_request","granularity_ns":5000000,
 "categories":[{"name":"read","aim_ns":300000000,"deadline_ns":900000000,"effect":"retryable","value":1}],
 "limits":{"max_attempts":3,"connect_timeout_ns":250000000,"idle_close_ns":30000000000,"streams_per_conn":32},
 "rules":{"ask_within_ns":8000000000,"drain_grace_ns":2000000000,"warm_up_ns":1000000000,"fall_multiple":4,"fall_ns":2000000000}}`

// startPlatformSentry starts a sentry that reads its configuration from a named pipe, so that the test knows when it
// reads. configure waits until the sentry opens the pipe, sends it the signal unless that is 0, and then writes the
// configuration, or the default one if the text is empty.
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
		for n := 0; err != nil; n++ { // until the sentry opens the pipe for reading
			if time.Sleep(10 * time.Millisecond); n > 1000 {
				t.Fatal("the sentry does not read its configuration: ", err)
			}
			pipe, err = os.OpenFile(configFile, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		}
		defer pipe.Close()
		os.Remove(configFile) // the next configuration comes through a new pipe
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
	held, err := standin.HoldAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(held.Release)
	return held.Address
}

// waitForPong reports whether the sentry answers a PING within 200 attempts, 50 ms apart.
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

// TestSignalsBeforeReady checks that signals which arrive while the sentry reads its first configuration are handled
// once it runs: SIGHUP does not end the process, and SIGTERM ends it in order. A configuration that is invalid at
// SIGHUP leaves the current one in force.
func TestSignalsBeforeReady(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		address := freeAddress(t)
		process, configure := startPlatformSentry(t, address)
		configure(signal, "") // the signal arrives after the sentry has opened its configuration and before it has read it
		if signal == syscall.SIGHUP {
			configure(0, "{") // invalid, is rejected
			if !waitForPong(address) {
				t.Fatal("no answer after a SIGHUP that arrived before the sentry was ready")
			}
			process.Process.Signal(syscall.SIGHUP)
			configure(syscall.SIGHUP, "") // another SIGHUP while it reads
			configure(syscall.SIGTERM, "")
		}
		exited := make(chan error, 1)
		go func() { exited <- process.Wait() }()
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("%v: the process ended with %v, expected no error", signal, err)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%v: the process did not end", signal)
			process.Process.Kill()
			<-exited
		}
	}
}

// TestNoConfiguration checks that the process reports a missing configuration in one line and exits, before it listens.
func TestNoConfiguration(t *testing.T) {
	for env, want := range map[string]string{"EDGE_CONFIG=": "EDGE_CONFIG: found nothing", "EDGE_CONFIG=/nowhere": "/nowhere"} {
		process := exec.Command(os.Args[0], "sentry", "--platform")
		process.Env = append(os.Environ(), env)
		out, err := process.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
			t.Errorf("%s: error %v, output %q, expected one line with %q", env, err, out, want)
		}
	}
}
