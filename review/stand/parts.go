package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is a command that has reached a worker whole.
type attempt struct {
	worker   *worker
	conn     net.Conn
	command  []string
	at       time.Time
	id, key  string
	class    string
	facts    map[string]string
	previous int // attempts that this worker had before
}

// worker is a stand-in of a worker. answer is called for each attempt on a goroutine of its connection, and returns the
// text to write; an empty text writes nothing.
type worker struct {
	name     string
	zone     string
	build    int
	listener net.Listener
	answer   func(a *attempt) string

	mu    sync.Mutex
	count int
	conns map[net.Conn]struct{}
}

func startWorker(name string, build int, answer func(a *attempt) string) *worker {
	w := &worker{name: name, build: build, listener: listen(), answer: answer, conns: map[net.Conn]struct{}{}}
	go w.serve(w.listener)
	return w
}

func (w *worker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go w.serveConn(c)
	}
}

func (w *worker) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 4<<10)
	for {
		command, err := readCommand(r)
		if err != nil {
			return
		}
		if len(command) < 4 || command[0] != "Q.ASK" && command[0] != "Q.DO" {
			text := "-ERR\r\n"
			if command[0] == "PING" {
				text = "+PONG\r\n"
			}
			io.WriteString(c, text)
			continue
		}
		f := facts(command[3])
		w.mu.Lock()
		a := &attempt{worker: w, conn: c, command: command, at: time.Now(), key: command[1], id: command[2], class: f["c"], facts: f, previous: w.count}
		w.count++
		w.mu.Unlock()
		played.line("%s has request %s whole (%s)", w.name, a.id, command[3])
		if text := w.answer(a); text != "" {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// served returns a good answer with a value.
func served(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// entry is a worker as discovery lists it.
func (w *worker) entry(state string) object {
	return object{"uid": w.name, "endpoint": w.listener.Addr().String(), "az": cmp.Or(w.zone, "kingston"), "model": "std-2c", "pod_group": 0, "state": state,
		"capacity_hint": 1.0, "boot_ms": 0, "release": w.build}
}

// discovery is a stand-in of discovery. Its fields are changed under its lock.
type discovery struct {
	address string
	record  *record

	mu      sync.Mutex
	rev     int
	entries map[string]object
	order   []string
	changes []change
	wait    time.Duration // calls wait for this and end with 503; 0 if they are answered
	epoch   int           // watches of an earlier epoch stay silent
}

type change struct {
	rev   int
	entry object
}

func startDiscovery(r *record, workers ...*worker) *discovery {
	l := listen()
	d := &discovery{address: l.Addr().String(), record: r, rev: 41, entries: map[string]object{}}
	for _, w := range workers {
		d.entries[w.name] = w.entry("active")
		d.order = append(d.order, w.name)
	}
	go http.Serve(l, http.HandlerFunc(d.serve))
	return d
}

// list returns the whole list; the lock is held.
func (d *discovery) list() object {
	targets := []object{}
	for _, name := range d.order {
		if e := d.entries[name]; e["state"] != "left" {
			targets = append(targets, e)
		}
	}
	return object{"rev": d.rev, "all": true, "targets": targets}
}

func (d *discovery) known() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

// set changes one entry.
func (d *discovery) set(e object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	name := e["uid"].(string)
	if _, known := d.entries[name]; !known {
		d.order = append(d.order, name)
	}
	d.entries[name] = e
	d.changes = append(d.changes, change{d.rev, e})
	d.record.line("discovery has rev %d: %v", d.rev, e)
}

// crowd makes calls wait and end with 503, and open watches fall silent. With 0 discovery answers calls again.
func (d *discovery) crowd(wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wait = wait
	if wait > 0 {
		d.epoch++
	}
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	d.mu.Lock()
	wait, epoch := d.wait, d.epoch
	d.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
		d.record.line("discovery ends the call %s with 503", q.URL)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(q.URL.Query().Get("from"))
	write := func(v any) bool {
		text, _ := json.Marshal(v)
		_, err := w.Write(append(text, '\n'))
		w.(http.Flusher).Flush()
		return err == nil
	}
	d.mu.Lock()
	if q.URL.Query().Get("watch") == "" || from == 0 || from > d.rev {
		v := d.list()
		from = d.rev
		d.mu.Unlock()
		d.record.line("discovery answers %s with the list of rev %d", q.URL, from)
		if !write(v) || q.URL.Query().Get("watch") == "" {
			return
		}
	} else {
		v := d.since(from)
		d.record.line("discovery answers %s with the changes up to rev %d", q.URL, d.rev)
		from = d.rev
		d.mu.Unlock()
		if !write(v) {
			return
		}
	}
	last := time.Now()
	for q.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
		d.mu.Lock()
		silent, rev := epoch < d.epoch, d.rev
		var v object
		if rev > from {
			v = d.since(from)
		}
		d.mu.Unlock()
		switch {
		case silent:
		case v != nil:
			d.record.line("discovery writes rev %d on a watch", rev)
			if !write(v) {
				return
			}
			from, last = rev, time.Now()
		case time.Since(last) >= 2*time.Second:
			last = time.Now()
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

// since returns what has changed after a version; the lock is held.
func (d *discovery) since(rev int) object {
	targets := []object{}
	for _, c := range d.changes {
		if c.rev > rev {
			targets = append(targets, c.entry)
		}
	}
	return object{"rev": d.rev, "all": false, "targets": targets}
}

// platform is a stand-in of the control service. onVote returns the answer to a vote.
type platform struct {
	address string
	record  *record
	onVote  func(words []string) (text string, after time.Duration)

	mu    sync.Mutex
	conns map[net.Conn]*sync.Mutex
	state string // the state of the newest build, as an answer words it
}

func startPlatform(r *record, state string, onVote func(words []string) (string, time.Duration)) *platform {
	l := listen()
	p := &platform{address: l.Addr().String(), record: r, state: state, onVote: onVote, conns: map[net.Conn]*sync.Mutex{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *platform) serve(c net.Conn) {
	defer c.Close()
	writes := &sync.Mutex{}
	write := func(text string) {
		writes.Lock()
		defer writes.Unlock()
		io.WriteString(c, text+"\r\n")
	}
	done := make(chan struct{})
	defer close(done)
	answers := make(chan func(), 64)
	go func() {
		for {
			select {
			case f := <-answers:
				f()
			case <-done:
				return
			}
		}
	}()
	for r := bufio.NewReader(c); ; {
		line, err := readLine(r)
		if err != nil {
			return
		}
		switch words := strings.Fields(line); {
		case line == "WATCH":
			write("OK")
			p.mu.Lock()
			state := p.state
			p.conns[c] = writes
			p.mu.Unlock()
			p.record.line("platform: WATCH, told %s", state)
			write("* news " + state)
			go func() {
				for {
					select {
					case <-done:
						p.mu.Lock()
						delete(p.conns, c)
						p.mu.Unlock()
						return
					case <-time.After(time.Second):
						write("*")
					}
				}
			}()
		case len(words) == 4 && words[0] == "VOTE":
			came := time.Now()
			text, after := p.onVote(words)
			answers <- func() {
				time.Sleep(time.Until(came.Add(after)))
				if text != "" {
					p.record.line("platform answers %q after %.3f s: %s", line, time.Since(came).Seconds(), text)
					write(text)
				}
			}
		default:
			write("ERR bad_request")
		}
	}
}

// tell changes the state and writes it to all connections that watch.
func (p *platform) tell(state string) {
	p.mu.Lock()
	p.state = state
	conns := map[net.Conn]*sync.Mutex{}
	for c, w := range p.conns {
		conns[c] = w
	}
	p.mu.Unlock()
	p.record.line("platform tells %s", state)
	for c, w := range conns {
		w.Lock()
		io.WriteString(c, "* news "+state+"\r\n")
		w.Unlock()
	}
}
