// Command rig plays the cases of the review. It starts one sentry with the command of the deploy file, stands in for
// clients, servers, discovery and the control plane on loopback addresses, and checks a rule on what passed on the
// sockets.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig is one run of a case.
type rig struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer

	config    map[string]any
	discovery *discovery
	desk      *desk
	sentry    *sentryProcess
	address   string       // of the sentry, for clients
	heldUp    atomic.Int64 // longest time that a PING took, in nanoseconds
}

// fatal ends a run that could not be played.
type fatal struct{ err error }

// must ends the run if there is an error.
func must[T any](value T, err error) T {
	if err != nil {
		panic(fatal{err})
	}
	return value
}

// note writes a line to the record, with the time since the start in seconds.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the start of the run.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// freeAddress returns a loopback address whose port is free.
func freeAddress() string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	defer l.Close()
	return l.Addr().String()
}

// dial connects a client to the sentry. If that fails for long, the run ends with exit code 2.
func (r *rig) dial() *client {
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c, err := dialClient(r.address)
		if err == nil {
			return c
		}
		if time.Now().After(deadline) {
			r.abort("the sentry takes no connections: " + err.Error())
		}
	}
}

// watchHoldUps sends PING again and again until the run ends, and notes the longest time until an answer: the sentry was not
// held up for longer.
func (r *rig) watchHoldUps() {
	go func() {
		for c := r.dial(); ; time.Sleep(5 * time.Millisecond) {
			at := time.Now()
			if _, err := c.do(5*time.Second, "PING"); err != nil {
				c.close()
				c = r.dial()
				continue
			}
			if took := int64(time.Since(at)); took > r.heldUp.Load() {
				r.heldUp.Store(took)
			}
		}
	}()
}

// longestHoldUp returns the longest time for which the sentry may have been held up.
func (r *rig) longestHoldUp() time.Duration { return time.Duration(r.heldUp.Load()) }

// abort ends all that the run has started, and the run with exit code 2.
func (r *rig) abort(reason string) {
	fmt.Fprintln(os.Stderr, "could not be run:", reason)
	r.note("could not be run: %s", reason)
	r.close()
	os.Exit(2)
}

// sentryProcess is a running sentry.
type sentryProcess struct {
	command *exec.Cmd
	ended   chan struct{}
}

// runCommand returns the command `run` of the deploy file.
func (r *rig) runCommand() string {
	for line := range strings.Lines(string(must(os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))))) {
		if rest, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(strings.TrimSpace(rest), `"`)
		}
	}
	panic(fatal{fmt.Errorf("deploy/balancer.toml has no line run")})
}

// writeConfig writes the configuration as it is now, by a rename.
func (r *rig) writeConfig() string {
	file := filepath.Join(r.dir, "config.json")
	must(0, os.WriteFile(file+".new", must(json.Marshal(r.config)), 0o600))
	must(0, os.Rename(file+".new", file))
	return file
}

// startSentry starts the sentry on a free address and waits until it answers PING.
func (r *rig) startSentry() {
	for range 3 { // another program may take the port in between
		if r.tryStart() {
			return
		}
	}
	panic(fatal{errors.New("the sentry did not become ready")})
}

// tryStart starts the sentry, and reports whether it became ready.
func (r *rig) tryStart() bool {
	r.address = freeAddress()
	r.config["listen"] = r.address
	file := r.writeConfig()
	command := exec.Command("/bin/sh", "-c", r.runCommand())
	command.Dir = r.root
	command.Env = append(os.Environ(), "EDGE_NAME="+r.config["name"].(string), "EDGE_LISTEN="+r.address, "EDGE_DISCOVERY="+r.config["discovery"].(string),
		"EDGE_CONFIG="+file, "TMPDIR="+r.dir)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the rig
	log := must(os.OpenFile(filepath.Join(r.dir, "sentry.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	command.Stdout, command.Stderr = log, log
	must(0, command.Start())
	log.Close()
	p := &sentryProcess{command, make(chan struct{})}
	go func() {
		command.Wait()
		close(p.ended)
	}()
	r.sentry = p
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !p.hasEnded(); time.Sleep(10 * time.Millisecond) {
		c, err := dialClient(r.address)
		if err != nil {
			continue
		}
		reply, err := c.do(time.Second, "PING")
		c.close()
		if err == nil && reply.text == "+PONG" {
			r.note("sentry started, pid %d, ready", command.Process.Pid)
			return true
		}
	}
	p.kill()
	return false
}

func (p *sentryProcess) signal(s syscall.Signal) { p.command.Process.Signal(s) }

func (p *sentryProcess) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (p *sentryProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// maxRun is how long a run may take.
const maxRun = 115 * time.Second

// newRig prepares a run. The run ends with exit code 2 if it is interrupted or takes too long.
func newRig(root, recordFile string, trouble bool) *rig {
	r := &rig{root: root, dir: must(os.MkdirTemp("", "review")), trouble: trouble, start: time.Now(), record: bufio.NewWriter(must(os.Create(recordFile)))}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			r.abort("interrupted")
		case <-time.After(maxRun):
			r.abort("it took too long")
		}
	}()
	return r
}

// close ends all that the run has started, and completes the record with the sentry's log.
func (r *rig) close() {
	if r.sentry != nil {
		r.sentry.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _ := os.ReadFile(filepath.Join(r.dir, "sentry.log"))
	fmt.Fprintf(r.record, "---- log of the sentry\n%s", text)
	r.record.Flush()
	os.RemoveAll(r.dir)
}

// configure sets the configuration of the sentry.
func (r *rig) configure(settings map[string]any, limits map[string]any, news map[string]any) {
	r.config = map[string]any{"name": "n0", "discovery": r.discovery.address, "seed": "8c1f30d27a5be964",
		"limits": limits, "release_api": map[string]any{"address": r.desk.address, "news": news}, "known": r.discovery.list(), "settings": settings}
}

// cases lists the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool){}

// The sentry gets a signal when the thread that started it ends, so the main goroutine keeps the main thread.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, root, record string) (code int) {
	var r *rig
	defer func() {
		if r != nil {
			r.close()
		}
		if x := recover(); x != nil {
			f, ok := x.(fatal)
			if !ok {
				panic(x)
			}
			fmt.Fprintln(os.Stderr, "could not be run:", f.err)
			code = 2
		}
	}()
	play := cases[name]
	if play == nil {
		panic(fatal{fmt.Errorf("no case %s", name)})
	}
	r = newRig(root, record, os.Getenv("TROUBLE") != "0")
	broken := play(r)
	verdict := map[bool]string{true: "BROKEN", false: "held"}[broken]
	r.note("verdict: %s", verdict)
	fmt.Println(verdict)
	if broken {
		return 1
	}
	return 0
}
