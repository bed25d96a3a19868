package platform

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"scalechute/internal/input"
	"scalechute/internal/sentry"
	"scalechute/logic"
	"scalechute/standin"
)

// settings are the decision settings of the test configuration.
const settings = `{"azs":["here"],"zone":"here","replicas_of_me":2,"position":0,"registry_mode":"on_request",
 "granularity_ns":5000000,"categories":[
 {"name":"read","aim_ns":300000000,"deadline_ns":900000000,"effect":"retryable","value":1},
 {"name":"note","aim_ns":300000000,"deadline_ns":900000000,"effect":"dedup","group":"all","window_ns":800000000,"value":1},
 {"name":"move","aim_ns":300000000,"deadline_ns":900000000,"effect":"fragile","value":1}],
 "limits":{"max_attempts":3,"connect_timeout_ns":250000000,"idle_close_ns":30000000000,"retry_after":true,"peers":true,
 "max_retry_after_ns":1000000000,"cancel":true,"streams_per_conn":32},
 "rules":{"ask_within_ns":8000000000,"drain_grace_ns":2000000000,"cold_from":0.5,"warm_up_ns":1000000000,"fall_multiple":4,
 "fall_ns":2000000000,"grace_to_answer_ns":20000000},
 "tenants":[{"name":"acme","fraction":1}],"report":{"how":"inline","fields":["busy_reqs"]},
 "family_info":{"layout":"beside","shares":[0.5,1],"caps":[0.5,1],"free":2,"exposure_window_ns":4000000000,"no_return":true,
 "on_votes":1,"votes_to_revert":1,"vote_ttl_ns":6000000000,"answer_wait_ns":300000000}}`

// testEnv is a sentry on a Platform, with a record of the inputs and actions of its decision module.
type testEnv struct {
	t                *testing.T
	sentry           *sentry.Sentry
	p                *Platform
	mu               sync.Mutex
	ends             []logic.HandOffEnd
	statuses         []logic.ReleaseStatus
	lists            [][]logic.Worker
	actions          map[logic.ActionKind]int
	reconfigurations int
	listFailures     int
	staleReports     []input.Input
	peerMessages     string
}

// target is a server in discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Release  int     `json:"release"`
}

// must returns value, or panics if there is an error.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// serveConns serves each connection to a loopback address until the test ends, and returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// closedAddress returns an address on which nobody listens until the test ends.
func closedAddress(t *testing.T) string {
	t.Helper()
	held := must(standin.HoldAddress())
	t.Cleanup(held.Release)
	return held.Address
}

// configJSON returns a configuration whose worker list has the given workers. replacements are pairs of an old and a
// new text.
func configJSON(sockets int, discovery, controlPlane string, workers []string, replacements ...string) []byte {
	known := activeTargets(workers)
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":0.25,"memory_mb":64,"sockets":%d},"peer_listen":"127.0.0.1:0","release_api":{"address":%q,
	 "news":{"build":7,"stage":1,"phase":"Healthy","cap":1,"age_ms":60000}},
	 "known":{"rev":41,"all":true,"targets":%s},"settings":%s}`, discovery, sockets, controlPlane, must(json.Marshal(known)), settings)
	return []byte(strings.NewReplacer(replacements...).Replace(text))
}

// activeTargets returns active targets w0, w1 and so on at the given addresses.
func activeTargets(workers []string) (targets []target) {
	for i, address := range workers {
		targets = append(targets, target{"w" + strconv.Itoa(i), address, "here", "active", 1, 7})
	}
	return targets
}

// options configure a testEnv. With the real decision module a discovery lists the workers, since a list that comes
// only from the configuration may not be used for long. Other services without an address get one where nothing
// listens.
type options struct {
	discovery, controlPlane string
	workers                 []string
	sockets                 int
	decide                  func(*input.Input) logic.Result // replaces the decision module
	replacements            []string                        // for configJSON
}

// newEnv starts a sentry and stops it at the end of the test.
func newEnv(t *testing.T, o options) *testEnv {
	t.Helper()
	if o.discovery == "" && o.decide == nil && len(o.workers) > 0 {
		o.discovery = startDiscovery(t, nil, activeTargets(o.workers)...)
	}
	config := must(parseConfig(configJSON(cmp.Or(o.sockets, 256), cmp.Or(o.discovery, closedAddress(t)), cmp.Or(o.controlPlane, closedAddress(t)), o.workers, o.replacements...)))
	env := &testEnv{t: t, actions: map[logic.ActionKind]int{}}
	env.p = must(New(config, zerolog.Nop()))
	env.sentry = must(sentry.Start(config.Settings, sentry.Options{Log: zerolog.Nop(), Transport: env.p, CachedList: config.InitialList, Memory: env.p.Memory(), Record: env.record, Decide: o.decide}))
	t.Cleanup(func() {
		env.sentry.Stop()
		select {
		case <-env.sentry.Done():
		case <-time.After(5 * time.Second):
			t.Error("the sentry did not stop")
		}
	})
	return env
}

// envWith returns a testEnv with workers and no other services.
func envWith(t *testing.T, workers ...string) *testEnv { return newEnv(t, options{workers: workers}) }

// record keeps the inputs and actions of the decision module.
func (e *testEnv) record(in *input.Input, out *logic.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch in.Kind {
	case input.HandOffEnded:
		e.ends = append(e.ends, in.End)
	case input.ReleaseUpdated:
		e.statuses = append(e.statuses, in.ReleaseStatus)
	case input.ListReceived:
		e.lists = append(e.lists, in.List)
	case input.ListRequestFailed:
		e.listFailures++
	case input.ListMayBeStale:
		e.staleReports = append(e.staleReports, *in)
	case input.Reconfigured:
		e.reconfigurations++
	case input.PeerMessageReceived:
		e.peerMessages += string(in.Body)
	}
	for _, action := range out.Actions {
		e.actions[action.Kind]++
	}
}

// waitFor polls until condition holds. It calls condition with the lock held.
func (e *testEnv) waitFor(what string, condition func() bool) {
	e.t.Helper()
	for range 1000 {
		e.mu.Lock()
		done := condition()
		e.mu.Unlock()
		if done {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.t.Fatalf("not seen within 10 s: %s; endings %v, release statuses %v", what, e.ends, e.statuses)
}

// countEnded returns the number of hand-offs with an ending. The caller holds the lock.
func (e *testEnv) countEnded(ending logic.Ending) (n int) {
	for _, handOff := range e.ends {
		n += map[bool]int{true: 1}[handOff.Ending == ending]
	}
	return n
}

// startWorker calls handle for each command that the worker receives; n counts the commands of all its connections.
func startWorker(t *testing.T, handle func(conn net.Conn, n int, words []string)) string {
	var commands atomic.Int64
	return serveConns(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			handle(conn, int(commands.Add(1)), words)
		}
	})
}

// readCommand reads the words of a RESP command.
func readCommand(in *bufio.Reader) (words []string, err error) {
	var remaining, size int
	_, err = fmt.Fscanf(in, "*%d\r\n", &remaining)
	for ; remaining > 0 && err == nil; remaining-- {
		if _, err = fmt.Fscanf(in, "$%d\r\n", &size); err == nil {
			word := make([]byte, size+2)
			_, err = io.ReadFull(in, word)
			words = append(words, string(word[:size]))
		}
	}
	return words, err
}

// bulk encodes a RESP bulk string.
func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// encode encodes a RESP command.
func encode(words ...string) string {
	command := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		command += bulk(word)
	}
	return command
}

// newAnswer encodes a worker's answer with a value and a load report.
func newAnswer(value string) string { return "*3\r\n" + bulk(value) + "$-1\r\n" + bulk("busy_reqs=3") }

// answerValue handles a command by answering with v- and the request's id.
func answerValue(c net.Conn, _ int, words []string) { io.WriteString(c, newAnswer("v-"+words[2])) }

// readCmd encodes a request of the idempotent class read.
func readCmd(id string) string { return encode("Q.ASK", "key-"+id, id, "c=read,t=acme,d=800") }

// longDeadline replaces the deadlines of the test configuration, for tests whose requests must not end by themselves on a
// busy machine.
var longDeadline = []string{`"deadline_ns":900000000`, `"deadline_ns":20000000000`}

// longReadCmd is readCmd with a timeout that longDeadline admits.
func longReadCmd(id string) string {
	return encode("Q.ASK", "key-"+id, id, "c=read,t=acme,d=20000")
}

// moveCmd encodes a request of the non-idempotent class move.
func moveCmd(id string) string { return encode("Q.DO", "key-"+id, id, "c=move,t=acme,d=800", "body") }

// testClient is a client's connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func newTestClient(t *testing.T, conn net.Conn) testClient {
	return testClient{conn, bufio.NewReader(conn), t}
}

// dial connects a client to the sentry.
func (e *testEnv) dial(t *testing.T) testClient {
	conn := must(net.Dial("tcp", e.sentry.Address()))
	t.Cleanup(func() { conn.Close() })
	return newTestClient(t, conn)
}

func (c testClient) send(text string) { io.WriteString(c, text) }

// readReply reads a one-line reply, the text of a bulk string, or closed if the connection has ended.
func (c testClient) readReply() string {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := c.in.ReadString('\n')
	line = strings.TrimSuffix(line, "\r\n")
	if err == nil && strings.HasPrefix(line, "$") {
		value := make([]byte, must(strconv.Atoi(line[1:]))+2)
		_, err = io.ReadFull(c.in, value)
		line = string(value[:len(value)-2])
	}
	if err != nil {
		return "closed"
	}
	return line
}

// expectReply reads a reply and checks its beginning.
func (c testClient) expectReply(prefix string) {
	c.t.Helper()
	if got := c.readReply(); !strings.HasPrefix(got, prefix) {
		c.t.Errorf("reply %.100q, expected %q", got, prefix)
	}
}
