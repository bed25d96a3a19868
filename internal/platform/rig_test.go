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
)

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

// rig is a sentry on the platform, with a record of what its module was told.
type rig struct {
	t       *testing.T
	s       *sentry.Sentry
	p       *Platform
	mu      sync.Mutex
	ends    []logic.HandOffEnd
	news    []logic.ReleaseStatus
	lists   [][]logic.Worker
	rulings map[logic.ActionKind]int
	orders  int
	refused int // lists
	unsure  []input.Input
	said    string
}

type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Release  int     `json:"release"`
}

// must gives what there is, or ends the test.
func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// listen serves each connection on loopback until the test ends.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// closed is an address where nobody listens.
func closed() string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	defer l.Close()
	return l.Addr().String()
}

// configuration is the platform's, with workers known and a few fields in other words.
func configuration(sockets int, discovery, desk string, workers []string, other ...string) []byte {
	known := targetsOf(workers)
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":0.25,"memory_mb":64,"sockets":%d},"peer_listen":"127.0.0.1:0","release_api":{"address":%q,
	 "news":{"build":7,"stage":1,"phase":"Healthy","cap":1,"age_ms":60000}},
	 "known":{"rev":41,"all":true,"targets":%s},"settings":%s}`, discovery, sockets, desk, must(json.Marshal(known)), settings)
	return []byte(strings.NewReplacer(other...).Replace(text))
}

func targetsOf(workers []string) (known []target) {
	for i, address := range workers {
		known = append(known, target{"w" + strconv.Itoa(i), address, "here", "active", 1, 7})
	}
	return known
}

// plan is what a rig has; where its module is the real one, a discovery lists the workers, for what is only remembered may not
// be used for long. Other services that are not named have an address where nobody listens.
type plan struct {
	discovery, desk string
	workers         []string
	sockets         int
	decide          func(*input.Input) logic.Result // in the module's place
	other           []string                        // of the configuration, in pairs
}

func newRig(t *testing.T, p plan) *rig {
	t.Helper()
	if p.discovery == "" && p.decide == nil && len(p.workers) > 0 {
		p.discovery = discoveryOf(t, nil, targetsOf(p.workers)...)
	}
	post := must(parsePost(configuration(cmp.Or(p.sockets, 256), cmp.Or(p.discovery, closed()), cmp.Or(p.desk, closed()), p.workers, p.other...)))
	r := &rig{t: t, rulings: map[logic.ActionKind]int{}}
	r.p = must(New(post, zerolog.Nop()))
	r.s = must(sentry.Start(post.Settings, sentry.Options{Log: zerolog.Nop(), Transport: r.p, CachedList: post.InitialList, Record: r.record, Decide: p.decide}))
	t.Cleanup(func() {
		r.s.Stop()
		select {
		case <-r.s.Done():
		case <-time.After(5 * time.Second):
			t.Error("the sentry did not stop")
		}
	})
	return r
}

// served is a rig with workers and no services.
func served(t *testing.T, workers ...string) *rig { return newRig(t, plan{workers: workers}) }

func (r *rig) record(in *input.Input, out *logic.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch in.Kind {
	case input.HandOffEnded:
		r.ends = append(r.ends, in.End)
	case input.ReleaseUpdated:
		r.news = append(r.news, in.ReleaseStatus)
	case input.ListReceived:
		r.lists = append(r.lists, in.List)
	case input.ListRequestFailed:
		r.refused++
	case input.ListMayBeStale:
		r.unsure = append(r.unsure, *in)
	case input.Reconfigured:
		r.orders++
	case input.PeerMessageReceived:
		r.said += string(in.Body)
	}
	for _, x := range out.Actions {
		r.rulings[x.Kind]++
	}
}

// wait polls until something holds, with the record locked.
func (r *rig) wait(what string, holds func() bool) {
	r.t.Helper()
	for range 1000 {
		r.mu.Lock()
		now := holds()
		r.mu.Unlock()
		if now {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("in 10 s not seen: %s; endings %v, news %v", what, r.ends, r.news)
}

// ended counts ends of a kind. The lock is held.
func (r *rig) ended(e logic.Ending) (n int) {
	for _, x := range r.ends {
		n += map[bool]int{true: 1}[x.Ending == e]
	}
	return n
}

// worker does with each command what the script says; n counts the commands of all its connections.
func worker(t *testing.T, script func(c net.Conn, n int, words []string)) string {
	var n atomic.Int64
	return listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			script(c, int(n.Add(1)), words)
		}
	})
}

func readCommand(in *bufio.Reader) (words []string, err error) {
	var n, size int
	_, err = fmt.Fscanf(in, "*%d\r\n", &n)
	for ; n > 0 && err == nil; n-- {
		if _, err = fmt.Fscanf(in, "$%d\r\n", &size); err == nil {
			b := make([]byte, size+2)
			_, err = io.ReadFull(in, b)
			words = append(words, string(b[:size]))
		}
	}
	return words, err
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

func commandOf(words ...string) string {
	out := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		out += bulk(w)
	}
	return out
}

func answer(value string) string { return "*3\r\n" + bulk(value) + "$-1\r\n" + bulk("busy_reqs=3") }

func good(c net.Conn, _ int, words []string) { io.WriteString(c, answer("v-"+words[2])) }

func read(id string) string { return commandOf("Q.ASK", "key-"+id, id, "c=read,t=acme,d=800") }
func move(id string) string { return commandOf("Q.DO", "key-"+id, id, "c=move,t=acme,d=800", "body") }

// testClient is a client's connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func (r *rig) dial(t *testing.T) testClient {
	c := must(net.Dial("tcp", r.s.Address()))
	t.Cleanup(func() { c.Close() })
	return testClient{c, bufio.NewReader(c), t}
}

func (c testClient) say(text string) { io.WriteString(c, text) }

// line reads a line, or the bulk string that it begins.
func (c testClient) line() string {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := c.in.ReadString('\n')
	line = strings.TrimSuffix(line, "\r\n")
	if err == nil && strings.HasPrefix(line, "$") {
		b := make([]byte, must(strconv.Atoi(line[1:]))+2)
		_, err = io.ReadFull(c.in, b)
		line = string(b[:len(b)-2])
	}
	if err != nil {
		return "closed"
	}
	return line
}

func (c testClient) want(starts string) {
	c.t.Helper()
	if got := c.line(); !strings.HasPrefix(got, starts) {
		c.t.Errorf("answer %.100q, expected %q", got, starts)
	}
}
