package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"scalechute/internal/resp"
)

// messageLimits admit every command and answer of a run.
var messageLimits = resp.Limits{MaxLineBytes: 256, MaxBulkBytes: 2 * maxValueBytes, MaxValues: 16, MaxDepth: 2, MaxMessageBytes: 4 * maxValueBytes}

// messageReader reads RESP2 messages from a connection.
type messageReader struct {
	from   io.Reader
	reader resp.Reader
	data   []byte
	buffer []byte
}

func newMessageReader(from io.Reader, commands bool) *messageReader {
	return &messageReader{from: from, reader: resp.Reader{Limits: messageLimits, CommandsOnly: commands}, buffer: make([]byte, 32<<10)}
}

// next returns the next message, which is valid until the next call.
func (m *messageReader) next() ([]resp.Value, error) {
	for {
		values, rest, whole, err := m.reader.Next(m.data)
		if err != nil {
			return nil, err
		}
		if whole {
			m.data = rest
			return values, nil
		}
		n, err := m.from.Read(m.buffer)
		m.data = append(m.data, m.buffer[:n]...)
		if n == 0 && err != nil {
			return nil, err
		}
	}
}

// attemptCounts counts, by request, the attempts that reached any server completely.
type attemptCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *attemptCounts) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[id]++
}

func (a *attemptCounts) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[id]
}

// server answers each request with its ID, followed by as many bytes as its key specifies.
type server struct {
	plan     ServerPlan
	index    int
	build    int
	trouble  *Trouble
	outage   *Outage
	started  time.Time
	attempts *attemptCounts
	ledger   *ledger
	listener net.Listener
	filler   string

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func startServer(p *Plan, index int, attempts *attemptCounts, ledger *ledger) (*server, error) {
	listen := func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
	if p.Outage != nil {
		listen = listenForOutage
	}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	if p.Trouble != nil && p.Trouble.ConnectionsPerServer > 0 {
		if l, err = limitConnections(l.(*net.TCPListener), p.Trouble.ConnectionsPerServer); err != nil {
			return nil, err
		}
	}
	s := &server{plan: p.Servers[index], index: index, build: earlierBuild, trouble: p.Trouble, outage: p.Outage, started: time.Now(), attempts: attempts,
		ledger: ledger, listener: l, filler: strings.Repeat("x", maxValueBytes)}
	if p.Trouble != nil && index >= len(p.Servers)-p.Trouble.TrialServers {
		s.build = trialBuild
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if s.track(c) {
				go s.serve(c)
			}
		}
	}()
	return s, nil
}

// track notes a connection, or closes it if the server has ended.
func (s *server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

// close ends the server and its connections.
func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *server) address() string { return s.listener.Addr().String() }

// delayedAnswer is an answer that is sent when it is due.
type delayedAnswer struct {
	receivedAt time.Time // of the request
	due        time.Time
	key        string
	text       []byte
}

// serve reads requests from a connection and answers them in their order, each when it is due.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	due := make(chan delayedAnswer, 1024)
	defer close(due)
	var waiting atomic.Int64
	go func() {
		for a := range due {
			time.Sleep(time.Until(a.due))
			s.answer(c, a, waiting.Add(-1))
		}
	}()
	in := newMessageReader(stuckReader{c, s}, true)
	for {
		words, err := in.next()
		if err != nil || len(words) < 5 {
			return
		}
		id := string(words[3].Text)
		now, key := time.Now(), string(words[2].Text)
		waiting.Add(1)
		s.attempts.add(id)
		s.ledger.received(decodeToken(string(words[4].Text)), key, s.build, now)
		value := id + ":" + s.filler[:decodeAnswerBytes(key)]
		text := resp.AppendBulkString([]byte("*3\r\n"), []byte(value))
		due <- delayedAnswer{now, now.Add(s.answerDelay(id)), key, append(text, "$-1\r\n$-1\r\n"...)}
	}
}

// answer writes an answer, unless it gets lost. waiting is the number of other requests of the connection that wait.
func (s *server) answer(c net.Conn, a delayedAnswer, waiting int64) {
	now := time.Now()
	if s.build == trialBuild {
		s.ledger.answered(a.key, now)
	}
	if s.isLosing(now) {
		s.loseAnswer(c, a.receivedAt)
		return
	}
	if s.sendsUnfinished() {
		s.writeUnfinished(c)
		return
	}
	if s.sendsCopy(c, waiting) {
		a.text = append(a.text, a.text...)
	}
	c.Write(a.text)
}

// decodeToken returns the idempotency key among the facts of a command, empty if it has none.
func decodeToken(facts string) string {
	_, token, _ := strings.Cut(facts, ",k=")
	return token
}

// answerDelay returns the delay of a request's answer. It depends only on the ID, so that all attempts take equally long.
func (s *server) answerDelay(id string) time.Duration {
	h := fnv.New64a()
	io.WriteString(h, id)
	switch drawn := h.Sum64() % 1000; {
	case drawn < s.plan.HangPerMille:
		return s.plan.HangDelay
	case drawn < s.plan.HangPerMille+s.plan.SlowPerMille:
		return s.plan.SlowDelay
	}
	return s.plan.FastDelay
}

// encodeKey returns a key that specifies the size of its answer.
func encodeKey(id string, answerBytes int) string { return id + "/" + strconv.Itoa(answerBytes) }

// decodeAnswerBytes returns the size that a key specifies, within the bounds of the filler.
func decodeAnswerBytes(key string) int {
	_, size, _ := strings.Cut(key, "/")
	n, _ := strconv.Atoi(size)
	return min(max(n, 0), maxValueBytes-64)
}

// target is a server as discovery describes it.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Build    int     `json:"release"`
}

// encodeWorkerList returns discovery's response with all servers.
func encodeWorkerList(servers []*server) string {
	targets := []target{}
	for i, s := range servers {
		targets = append(targets, target{UID: "s" + strconv.Itoa(i), Endpoint: s.address(), Zone: "here", State: "active", Hint: 1, Build: s.build})
	}
	text, _ := json.Marshal(targets) // can't fail for strings and numbers
	return fmt.Sprintf(`{"rev":41,"all":true,"targets":%s}`, text)
}

// watchHeartbeat is how often discovery sends an empty line on a watch.
const watchHeartbeat = 500 * time.Millisecond

// startDiscovery starts an HTTP server that serves one list. Watches stay open.
func startDiscovery(list string) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list+"\n")
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for w.(http.Flusher).Flush(); r.Context().Err() == nil; w.(http.Flusher).Flush() {
			time.Sleep(watchHeartbeat)
			io.WriteString(w, "\n")
		}
	})}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}
