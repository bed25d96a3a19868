package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The request classes of the settings.
const (
	repeatableClass    = "read"
	notRepeatableClass = "move"
	deduplicatedClass  = "note"
)

// settingsFormat is the platform's settings with two request classes, whose aim and deadline are to be filled in.
const settingsFormat = `{"azs":["here"],"zone":"here","replicas_of_me":1,"position":0,"registry_mode":"on_request","granularity_ns":5000000,
 "categories":[{"name":"read","aim_ns":%[1]d,"deadline_ns":%[2]d,"effect":"retryable","value":1},
 {"name":"move","aim_ns":%[1]d,"deadline_ns":%[2]d,"effect":"fragile","value":1}],
 "limits":{"max_attempts":3,"connect_timeout_ns":250000000,"idle_close_ns":30000000000,"streams_per_conn":32,"retry_after":true,
 "max_retry_after_ns":1000000000},
 "rules":{"ask_within_ns":8000000000,"drain_grace_ns":2000000000,"warm_up_ns":1000000000,"fall_multiple":4,"fall_ns":2000000000}}`

// troubleSettingsFormat is the settings of plans with troubles, whose due time, deadline, window of deduplication and time to
// connect are to be filled in. Second copies are allowed, and keys stay at the build on trial.
const troubleSettingsFormat = `{"azs":["here"],"zone":"here","replicas_of_me":1,"position":0,"registry_mode":"on_request","granularity_ns":5000000,
 "categories":[{"name":"read","aim_ns":%[1]d,"deadline_ns":%[2]d,"effect":"retryable","value":1},
 {"name":"move","aim_ns":%[1]d,"deadline_ns":%[2]d,"effect":"fragile","value":1},
 {"name":"note","aim_ns":%[1]d,"deadline_ns":%[2]d,"effect":"dedup","group":"all","window_ns":%[3]d,"value":1}],
 "limits":{"max_attempts":3,"connect_timeout_ns":%[4]d,"idle_close_ns":30000000000,"streams_per_conn":32,"retry_after":true,
 "max_retry_after_ns":1000000000,"cancel":true,"parallel_tries":true},
 "rules":{"ask_within_ns":8000000000,"drain_grace_ns":2000000000,"warm_up_ns":1000000000,"fall_multiple":4,"fall_ns":2000000000},
 "family_info":{"layout":"beside","control":"any","shares":[0.2,0.5,1],"caps":[0.25,0.6,1],"free":2,"exposure_window_ns":4000000000,
 "no_return":true,"on_votes":1,"votes_to_revert":1,"vote_ttl_ns":6000000000,"answer_wait_ns":800000000,"votes_per_s":200,"bake_ns":3000000000}}`

// readyTimeout is how long a start may take.
const readyTimeout = 10 * time.Second

// process is a running instance of the program.
type process struct {
	command   *exec.Cmd
	ended     chan struct{} // closed once the process has ended
	maxMemory atomic.Int64  // peak memory in bytes

	maxAnonymous atomic.Int64 // peak of the anonymous memory in bytes
}

// writeConfig writes the program's configuration file.
func writeConfig(file string, p *Plan, listen, discovery, list string) error {
	settings, status := fmt.Sprintf(settingsFormat, p.Deadline/3, p.Deadline), ""
	if p.Trouble != nil {
		settings = fmt.Sprintf(troubleSettingsFormat, troubleDueTime, p.Deadline, dedupWindow, troubleConnectTimeout)
		if p.Trouble.TrialServers > 0 {
			status = fmt.Sprintf(`,"news":{"build":%d,"stage":0,"phase":"Progressing","cap":0.25,"age_ms":60000}`, trialBuild)
		}
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":2,"memory_mb":%d,
 "sockets":%d},"release_api":{"address":"127.0.0.1:1"%s},"known":%s,"settings":%s}`, listen, discovery, p.MemoryMB, p.MaxDescriptors, status, list, settings)
	return os.WriteFile(file, []byte(text), 0o600)
}

// startProcess starts the program and waits until it answers.
func startProcess(program []string, p *Plan, file, address string, log io.Writer) (*process, error) {
	arguments := append(program[1:len(program):len(program)], "sentry", "--platform")
	if p.InjectedFault != "" {
		arguments = append(arguments, "--break", p.InjectedFault)
	}
	command := append([]string{program[0]}, arguments...)
	if p.Outage != nil && p.Outage.RepeatingClients > 0 {
		command = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, p.MaxDescriptors), "sh"}, command...)
	}
	x := &process{command: exec.Command(command[0], command[1:]...), ended: make(chan struct{})}
	// A program built with the race detector sleeps for a second when it exits, unless atexit_sleep_ms is 0.
	x.command.Env = append(os.Environ(), "EDGE_CONFIG="+file, "GORACE=atexit_sleep_ms=0")
	x.command.Stderr = log
	if err := x.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		x.command.Wait()
		close(x.ended)
	}()
	go x.watchMemory()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if isReady(address) {
			return x, nil
		}
	}
	x.kill()
	return nil, fmt.Errorf("no answer within %v of the start, expected +PONG", readyTimeout)
}

// isReady reports whether the process answers PING.
func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	line := make([]byte, len("+PONG\r\n"))
	_, err = io.ReadFull(c, line)
	return err == nil
}

// memoryPollInterval is how often the process's memory is measured.
const memoryPollInterval = 50 * time.Millisecond

// watchMemory records the process's peak memory until it ends. (The peak that the kernel reports after the end is not
// usable: it includes this program's own memory at the time of the start.)
func (x *process) watchMemory() {
	file := fmt.Sprintf("/proc/%d/status", x.command.Process.Pid)
	for {
		select {
		case <-x.ended:
			return
		case <-time.After(memoryPollInterval):
		}
		status, _ := os.ReadFile(file)
		x.maxMemory.Store(max(x.maxMemory.Load(), statusBytes(string(status), "VmHWM:")))
		x.maxAnonymous.Store(max(x.maxAnonymous.Load(), statusBytes(string(status), "RssAnon:")))
	}
}

// statusBytes returns a figure of a process's status, 0 if there is none.
func statusBytes(status, name string) int64 {
	_, after, _ := strings.Cut(status, name)
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

func (x *process) signal(s syscall.Signal) { x.command.Process.Signal(s) }

func (x *process) kill() {
	x.signal(syscall.SIGKILL)
	<-x.ended
}

// configPath returns the path of a run's configuration file.
func configPath(dir string) string { return filepath.Join(dir, "config.json") }
