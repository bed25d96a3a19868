package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a server in discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
	Release  int     `json:"release"`
}

// discovery serves the list of servers. It answers at once, and sends a sign of life on each watch every 2 s.
type discovery struct {
	r       *rig
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     int
	targets []target
	changes []change
	changed chan struct{} // closed at the next change
}

// change is one entry as of a version.
type change struct {
	rev    int
	target target
}

func (r *rig) startDiscovery(targets []target) *discovery {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	d := &discovery{r: r, address: l.Addr().String(), rev: 41, targets: targets, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	return d
}

// list returns the whole list.
func (d *discovery) list() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"rev": d.rev, "all": true, "targets": append([]target{}, d.targets...)}
}

// set changes the entry of a server, and adds it if there is none.
func (d *discovery) set(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.changes = append(d.changes, change{d.rev, t})
	kept := []target{}
	for _, x := range d.targets {
		if x.UID != t.UID {
			kept = append(kept, x)
		}
	}
	if t.State != "left" {
		kept = append(kept, t)
	}
	d.targets = kept
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the changes after a version, the present version, and a channel that is closed at the next change.
func (d *discovery) since(rev int) (map[string]any, int, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rev < 41 || rev > d.rev {
		return map[string]any{"rev": d.rev, "all": true, "targets": append([]target{}, d.targets...)}, d.rev, d.changed
	}
	targets := []target{}
	for _, c := range d.changes {
		if c.rev > rev {
			targets = append(targets, c.target)
		}
	}
	return map[string]any{"rev": d.rev, "all": false, "targets": targets}, d.rev, d.changed
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.Atoi(q.URL.Query().Get("from"))
	d.r.note("discovery: %s", q.URL.RequestURI())
	if q.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(d.list())
		return
	}
	for {
		report, rev, changed := d.since(from)
		if err := json.NewEncoder(w).Encode(report); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		from = rev
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			case <-q.Context().Done():
				return
			}
		}
	}
}

// desk is the control plane. It tells its state at once and every 2 s, and lets votes count without moving the build.
type desk struct {
	r        *rig
	address  string
	listener net.Listener

	mu    sync.Mutex
	state string // build, stage, phase and cap
	since time.Time
}

func (r *rig) startDesk(state string) *desk {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	d := &desk{r: r, address: l.Addr().String(), listener: l, state: state, since: time.Now()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// line returns the state as the protocol has it.
func (d *desk) line() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%s %d", d.state, time.Since(d.since).Milliseconds())
}

func (d *desk) serve(c net.Conn) {
	defer c.Close()
	var write sync.Mutex
	send := func(text string) {
		write.Lock()
		defer write.Unlock()
		c.Write([]byte(text + "\r\n"))
	}
	ended := make(chan struct{})
	defer close(ended)
	in := bufio.NewReader(c)
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		switch {
		case line == "WATCH":
			send("OK")
			send("* news " + d.line())
			go func() {
				for i := 1; ; i++ {
					select {
					case <-ended:
						return
					case <-time.After(time.Second):
					}
					if send("*"); i%2 == 0 {
						send("* news " + d.line())
					}
				}
			}()
		case strings.HasPrefix(line, "VOTE "):
			d.r.note("control plane: %s", line)
			send("OK " + d.line())
		default:
			send("ERR bad_request")
		}
	}
}

// server is a stand-in for a worker. handle is called for each request on a goroutine of its own connection and returns
// what to write back, empty for nothing.
type server struct {
	r       *rig
	name    string
	build   int
	address string
	handle  func(s *server, q request) []byte

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	l     net.Listener
}

func (r *rig) startServer(name string, build int, handle func(s *server, q request) []byte) *server {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	s := &server{r: r, name: name, build: build, address: l.Addr().String(), handle: handle, conns: map[net.Conn]struct{}{}, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

// die closes the listener and resets all connections, as the end of the process would.
func (s *server) die() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		q, ok := parseRequest(words)
		if !ok {
			s.r.note("server %s: SYNTAX %q", s.name, words)
			c.Write([]byte("-SYNTAX\r\n"))
			continue
		}
		q.at = s.r.now()
		if answer := s.handle(s, q); len(answer) > 0 {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
	}
}

// good returns a good answer with a value.
func good(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// target returns the entry of a server in discovery's list.
func (s *server) target(endpoint string) target {
	return target{UID: s.name, Endpoint: endpoint, Zone: "north", Model: "m1", Group: 1, State: "active", Hint: 1, Release: s.build}
}
