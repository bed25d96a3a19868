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
	"time"

	"scalechute/internal/resp"
)

// messageBounds hold every command and answer that a run may have.
var messageBounds = resp.Limits{MaxLineBytes: 256, MaxBulkBytes: 2 * greatestValue, MaxValues: 16, MaxDepth: 2, MaxMessageBytes: 4 * greatestValue}

// messages reads RESP2 messages off a connection.
type messages struct {
	from   io.Reader
	reader resp.Reader
	data   []byte
	buffer []byte
}

func newMessages(from io.Reader, commands bool) *messages {
	return &messages{from: from, reader: resp.Reader{Limits: messageBounds, CommandsOnly: commands}, buffer: make([]byte, 32<<10)}
}

// next gives the next message, good until the next call.
func (m *messages) next() ([]resp.Value, error) {
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

// attempts counts, by request, the attempts that reached any server whole.
type attempts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *attempts) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[id]++
}

func (a *attempts) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[id]
}

// server answers each request with its id and as many bytes more as its key asks for.
type server struct {
	plan     ServerPlan
	seen     *attempts
	listener net.Listener
	filler   string
}

func startServer(plan ServerPlan, seen *attempts) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{plan: plan, seen: seen, listener: l, filler: strings.Repeat("x", greatestValue)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// answer is one that is due at a time.
type answer struct {
	due  time.Time
	text []byte
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	due := make(chan answer, 1024)
	defer close(due)
	go func() {
		for a := range due {
			time.Sleep(time.Until(a.due))
			c.Write(a.text)
		}
	}()
	in := newMessages(c, true)
	for {
		words, err := in.next()
		if err != nil || len(words) < 4 {
			return
		}
		id := string(words[3].Text)
		s.seen.add(id)
		value := id + ":" + s.filler[:answerBytes(string(words[2].Text))]
		text := resp.AppendBulkString([]byte("*3\r\n"), []byte(value))
		due <- answer{time.Now().Add(s.delay(id)), append(text, "$-1\r\n$-1\r\n"...)}
	}
}

// delay is how long a request takes, by its id, so that each attempt at it takes as long.
func (s *server) delay(id string) time.Duration {
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

// A request's key ends with how many bytes its answer is to have.
func keyFor(id string, bytes int) string { return id + "/" + strconv.Itoa(bytes) }

func answerBytes(key string) int {
	_, size, _ := strings.Cut(key, "/")
	n, _ := strconv.Atoi(size)
	return min(max(n, 0), greatestValue-64)
}

// target is a server in discovery's words.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Build    int     `json:"release"`
}

// list is what discovery tells of the servers.
func list(servers []*server) string {
	targets := []target{}
	for i, s := range servers {
		targets = append(targets, target{UID: "s" + strconv.Itoa(i), Endpoint: s.address(), Zone: "here", State: "active", Hint: 1, Build: 7})
	}
	text, _ := json.Marshal(targets) // strings and numbers alone
	return fmt.Sprintf(`{"rev":41,"all":true,"targets":%s}`, text)
}

// signOfLife is how often a watch gets an empty line.
const signOfLife = 500 * time.Millisecond

// startDiscovery serves one list, also on watches that stay open.
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
			time.Sleep(signOfLife)
			io.WriteString(w, "\n")
		}
	})}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}
