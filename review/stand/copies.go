package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["copies"] = caseCopies }

// link is a way between two sites: a proxy that passes on what a worker and a sentry send each other, each piece after a
// delay, and a share of the worker's pieces later, as TCP does with one that was lost and is sent again.
type link struct {
	delay, again time.Duration
	lost         float64 // share of pieces
	until        time.Time
	lostPieces   atomic.Int64
}

// open listens and passes connections on to an address. It returns the listener.
func (l *link) open(to string) net.Listener {
	listener := listen()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				w, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					return
				}
				go l.pass(c, w, 0)
				l.pass(w, c, l.lost)
			}()
		}
	}()
	return listener
}

// pass passes on what comes from one side, in order.
func (l *link) pass(from, to net.Conn, lost float64) {
	type piece struct {
		due  time.Time
		text []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if p.text == nil {
				break
			}
			to.Write(p.text)
		}
		to.Close()
		from.Close()
		for range pieces {
		}
	}()
	defer close(pieces)
	for buffer := make([]byte, 64<<10); ; {
		n, err := from.Read(buffer)
		due := time.Now().Add(l.delay)
		if err != nil {
			pieces <- piece{due, nil}
			return
		}
		if rand.Float64() < lost && time.Now().Before(l.until) {
			l.lostPieces.Add(1)
			due = due.Add(l.again)
		}
		pieces <- piece{due, append([]byte(nil), buffer[:n]...)}
	}
}

// copying is a worker some of whose good answers are followed by a second copy, if nothing else waits on the connection.
type copying struct {
	work, late time.Duration
	every      int64 // so many answers bring one copy; 0 for none
	answers    *atomic.Int64
	copies     *atomic.Int64
	record     *record
}

func (w *copying) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c.(*net.TCPConn))
	}
}

func (w *copying) serveConn(c *net.TCPConn) {
	defer c.Close()
	var mu sync.Mutex // held from the first byte of a command on, and while a copy is written
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		mu.Lock()
		command, err := readCommand(in)
		if err != nil || len(command) < 4 {
			mu.Unlock()
			return
		}
		w.record.line("a worker has request %s whole", command[2])
		time.Sleep(w.work)
		text := served("v-" + command[2])
		io.WriteString(c, text)
		mu.Unlock()
		if w.every > 0 && w.answers.Add(1)%w.every == 0 {
			time.AfterFunc(w.late, func() {
				if !mu.TryLock() { // a command has begun to arrive
					return
				}
				defer mu.Unlock()
				if hasUnread(c) {
					return
				}
				w.copies.Add(1)
				w.record.line("second copy of the answer to %s", command[2])
				io.WriteString(c, text)
			})
		}
	}
}

// hasUnread reports whether bytes, or the end of the stream, lie unread in the socket.
func hasUnread(c *net.TCPConn) (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err != syscall.EAGAIN
	})
	return unread
}

// caseCopies: one good answer in 40 is followed by a second copy 5 ms later, if nothing else waits on the connection then. Four
// of six workers are in another zone, and for 33 s the way to it loses one piece in five of what they send. A client may only be
// served the value that a worker made for its request.
func caseCopies(r *record, trouble bool) bool {
	var answers, copies atomic.Int64
	way := &link{delay: time.Millisecond, again: 250 * time.Millisecond, lost: 0.2, until: time.Now().Add(33 * time.Second)}
	w := &copying{work: 40 * time.Millisecond, late: 5 * time.Millisecond, answers: &answers, copies: &copies, record: r}
	if trouble {
		w.every = 40
	}
	list := []*worker{}
	for i := range 6 {
		l := listen()
		go w.serve(l)
		zone := "kingston"
		if i%3 > 0 {
			zone, l = "mandeville", way.open(l.Addr().String())
		}
		list = append(list, &worker{name: fmt.Sprint("s-", i), build: releasedBuild, listener: l, zone: zone})
	}
	d := startDiscovery(r, list...)
	p := startPlatform(r, "41 3 Healthy 1 60000", func([]string) (string, time.Duration) { return "ERR out_of_date", 100 * time.Millisecond })
	s := newSentry(r)
	set := settings()
	set["azs"] = []string{"kingston", "mandeville"}
	s.configure(setup{settings: set, discovery: d.address, platform: p.address, known: d.known(), news: releasedNews()})
	s.start()
	s.waitReady()
	until := way.until.Add(2 * time.Second)
	var group sync.WaitGroup
	var good, foreign, other atomic.Int64
	for i := range 20 {
		group.Go(func() {
			usual(s, i, 40*time.Millisecond, until, "Q.ASK", "reading", "2500", "", func(a asked) {
				switch {
				case a.reply.kind == '$' && a.reply.text == "v-"+a.id:
					good.Add(1)
				case a.reply.kind == '$':
					foreign.Add(1)
					r.line("BREAK: request %s was served with the value of request %s", a.id, strings.TrimPrefix(a.reply.text, "v-"))
				default:
					other.Add(1)
				}
			})
		})
	}
	group.Wait()
	s.copyLog(6)
	r.line("second copies %d, pieces sent again %d; requests served with their value %d, with that of another request %d; not served %d",
		copies.Load(), way.lostPieces.Load(), good.Load(), foreign.Load(), other.Load())
	return foreign.Load() == 0
}
