// Command stand plays one case of the second review: it starts sentries with the deploy file's command `run`, as
// separate processes, beside stand-ins of clients, workers, discovery and the platform, all on loopback addresses, and
// checks one rule on what passed on the sockets.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(name string) *record {
	f, err := os.Create(name)
	if err != nil {
		cannotRun(err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// cannotRun ends the program with the status of a case that could not run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	endSentries()
	os.Exit(2)
}

// ownHost is a loopback address of this process alone, so that a port that was free a moment ago stays free when several
// cases run at once.
var ownHost = func() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&31, pid>>8&255, pid&255)
}()

// listen opens a listener on a free port of a loopback address.
func listen() net.Listener {
	l, err := net.Listen("tcp", ownHost+":0")
	if err != nil {
		cannotRun(err)
	}
	return l
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// object is a JSON object.
type object = map[string]any

const ms = int64(time.Millisecond)

// settings returns the settings of a small deployment like coldwatch-jm: the figures of its page.
func settings() object {
	class := func(name string, aim, deadline int64, effect string, window int64, value float64) object {
		return object{"name": name, "aim_ns": aim * ms, "deadline_ns": deadline * ms, "effect": effect, "group": "all",
			"window_ns": window * ms, "value": value, "late_worth": 0.2, "stream": false}
	}
	return object{
		"azs": []string{"kingston"}, "zone": "kingston", "family": "rollout", "replicas_of_me": 1, "position": 0,
		"registry_mode": "on_request", "granularity_ns": 5 * ms, "machine_types": []string{"std-2c"}, "weights": "rough",
		"categories": []object{class("reading", 750, 2500, "retryable", 5000, 1), class("upload", 1200, 3000, "retryable", 5000, 3),
			class("excursion", 600, 2500, "dedup", 1500, 5), class("handover", 400, 1000, "fragile", 5000, 3)},
		"client_habits": object{"marks_retry": true},
		"family_info": object{"control": "any", "layout": "beside", "caps": []float64{0.136, 0.425, 1, 1}, "shares": []float64{0.08, 0.25, 0.6, 1},
			"cap_scope": "all", "free": 2.0, "exposure_window_ns": 4000 * ms, "no_return": true, "on_votes": 1, "votes_to_revert": 1,
			"votes_to_hold": 0, "vote_ttl_ns": 6000 * ms, "answer_wait_ns": 800 * ms, "votes_per_s": 200.0, "bake_ns": 3000 * ms,
			"told_every_ns": 2000 * ms, "harm_fee": 2.0, "stale_build_price": 0.65, "shielded": 0, "moves_after_ns": 0,
			"metrics_period_ns": 0, "complaint_share": 0.0, "sampled_share": 0.0, "warm_keys": false},
		"limits": object{"cancel": true, "connect_timeout_ns": 250 * ms, "idle_close_ns": 30000 * ms, "max_attempts": 3, "max_open": 20000,
			"max_retry_after_ns": 1000 * ms, "may_probe": false, "parallel_tries": false, "peers": false, "retry_after": true, "streams_per_conn": 32},
		"over_share_worth": 0.1, "prices": object{"cross_zone": 0.04, "waste": 0.05},
		"report": object{"fields": []string{"busy_reqs"}, "how": "inline"},
		"rules": object{"ask_within_ns": 10000 * ms, "cold_from": 0.4, "drain_grace_ns": 2000 * ms, "fall_multiple": 4.0, "fall_ns": 2000 * ms,
			"grace_to_answer_ns": 20 * ms, "warm_up_ns": 4900 * ms},
		"tenants": []object{{"name": "seabreeze-fish", "fraction": 1.0, "quota_per_s": 200.0}}, "tier": 0, "tiers": []string{"cw-servers"},
		"value_by": "request",
	}
}

// setup is what a sentry's configuration is made of.
type setup struct {
	settings            object
	discovery, platform string
	news                object
	known               any
	memoryMB, sockets   int
	cores               float64
}

// sentry is a running sentry.
type sentry struct {
	address string
	dir     string
	config  string
	command *exec.Cmd
	ended   chan struct{}
	record  *record

	descriptors int // the process's limit of descriptors; 0 for none
}

var (
	startedMu sync.Mutex
	started   []*sentry
	dirs      []string
)

// endSentries kills all sentries that were started and removes their folders.
func endSentries() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, s := range started {
		s.kill()
	}
	for _, d := range dirs {
		os.RemoveAll(d)
	}
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		cannotRun(err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		cannotRun(fmt.Errorf("deploy/balancer.toml: no line run"))
	}
	return string(found[1])
}

func newSentry(r *record) *sentry {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun(err)
	}
	startedMu.Lock()
	dirs = append(dirs, dir)
	startedMu.Unlock()
	return &sentry{address: freeAddress(), dir: dir, config: filepath.Join(dir, "config.json"), record: r}
}

// configure writes the sentry's configuration file.
func (s *sentry) configure(u setup) {
	if u.memoryMB == 0 {
		u.memoryMB = 64
	}
	if u.sockets == 0 {
		u.sockets = 512
	}
	if u.cores == 0 {
		u.cores = 1
	}
	text, err := json.Marshal(object{"name": "n0", "listen": s.address, "discovery": u.discovery, "seed": "8c1f30d27a5be964",
		"limits":      object{"cores": u.cores, "memory_mb": u.memoryMB, "sockets": u.sockets},
		"release_api": object{"address": u.platform, "news": u.news}, "known": u.known, "settings": u.settings})
	if err == nil {
		err = os.WriteFile(s.config+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(s.config+".new", s.config)
	}
	if err != nil {
		cannotRun(err)
	}
}

// start starts the process, without waiting until it is ready. It is called on the main goroutine.
func (s *sentry) start() {
	root, err := os.Getwd()
	if err != nil {
		cannotRun(err)
	}
	before := ""
	if s.descriptors > 0 {
		before = fmt.Sprintf("ulimit -n %d && ", s.descriptors)
	}
	s.command = exec.Command("/bin/sh", "-c", before+runCommand(root))
	s.command.Env = append(os.Environ(), "EDGE_NAME=n0", "EDGE_LISTEN="+s.address, "EDGE_CONFIG="+s.config, "TMPDIR="+s.dir)
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	s.command.Stdout, s.command.Stderr = log, log
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the stand-ins, however they end
	if err := s.command.Start(); err != nil {
		cannotRun(err)
	}
	s.ended = make(chan struct{})
	startedMu.Lock()
	started = append(started, s)
	startedMu.Unlock()
	command, ended := s.command, s.ended
	go func() {
		command.Wait()
		log.Close()
		close(ended)
	}()
	s.record.line("sentry started, pid %d, address %s", s.command.Process.Pid, s.address)
}

// waitReady waits until the sentry answers PING.
func (s *sentry) waitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", s.address, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
			line, err := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if err == nil && strings.HasPrefix(line, "+PONG") {
				s.record.line("sentry is ready")
				return
			}
		}
	}
	cannotRun(fmt.Errorf("the sentry did not answer PING within 15 s"))
}

func (s *sentry) signal(sig syscall.Signal) {
	s.record.line("signal to the sentry: %v", sig)
	s.command.Process.Signal(sig)
}

// hasEnded reports whether the process has ended.
func (s *sentry) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *sentry) kill() {
	if !s.hasEnded() {
		s.command.Process.Signal(syscall.SIGCONT)
		s.command.Process.Kill()
		<-s.ended
	}
}

// memory returns a figure of the process's status in KiB, such as VmRSS.
func (s *sentry) memory(name string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	_, after, _ := strings.Cut(string(text), name+":")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n
}

// copyLog writes the end of the sentry's log to the record.
func (s *sentry) copyLog(lines int) {
	text, _ := os.ReadFile(filepath.Join(s.dir, "log"))
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	for _, l := range all {
		s.record.line("log: %s", l)
	}
}

// encode encodes a RESP2 command.
func encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// readLine reads a line without its CRLF.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// readCommand reads a command, an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "*") {
		return nil, fmt.Errorf("found %.40q, expected an array", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 16 {
		return nil, fmt.Errorf("found %.40q, expected an array", line)
	}
	words := make([]string, n)
	for i := range words {
		if words[i], err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

func readBulk(r *bufio.Reader) (string, error) {
	line, err := readLine(r)
	if err != nil {
		return "", err
	}
	size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if !strings.HasPrefix(line, "$") || err != nil || size < 0 || size > 1<<20 {
		return "", fmt.Errorf("found %.40q, expected a bulk string", line)
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", err
	}
	return string(text[:size]), nil
}

// reply is a sentry's answer to a client: its text, or the reason why there is none.
type reply struct {
	kind byte // '$' served, '-' an error, 0 none
	text string
	err  error
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer, " + r.err.Error()
	}
	return fmt.Sprintf("%c%.40s", r.kind, r.text)
}

// readReply reads one answer.
func readReply(r *bufio.Reader) reply {
	first, err := r.Peek(1)
	if err != nil {
		return reply{err: err}
	}
	if first[0] == '$' {
		text, err := readBulk(r)
		if err != nil {
			return reply{err: err}
		}
		return reply{kind: '$', text: text}
	}
	line, err := readLine(r)
	if err != nil {
		return reply{err: err}
	}
	return reply{kind: line[0], text: line[1:]}
}

// facts returns the names and values of a command's fourth word.
func facts(text string) map[string]string {
	out := map[string]string{}
	for _, f := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(f, "=")
		out[name] = value
	}
	return out
}
