package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"
)

// Outage is what keeps things in the process or its kernel that have been given up.
type Outage struct {
	// The first servers read nothing for a while, counted from the start of the run. Their kernels take little meanwhile.
	StuckServers int
	StuckFrom    time.Duration
	StuckFor     time.Duration
	// Answers that do not end: a value that is said to have so many bytes keeps coming.
	UnfinishedPerMille uint64
	UnfinishedBytes    int
	// Clients that send a command but for its end and stay, beside those of the plan.
	UnfinishedClients int
	// Clients that ask for an unknown class again and again, on new connections; the process may have no more descriptors than
	// its settings say.
	RepeatingClients int
}

const (
	outageStream       = 1 << 36 // the random stream of OutagePlan
	stuckReceiveBuffer = 4 << 10 // bytes; the kernel doubles it
	// More than the kernel of a stuck server takes: a request whose rest it reads afterwards has come only then.
	leastBodyBytes        = 16 << 10
	largestBodyBytes      = 48 << 10
	unfinishedPieces      = 15
	unfinishedPiecePause  = 20 * time.Millisecond
	unfinishedBytePause   = 80 * time.Millisecond
	repeatersStopBefore   = 2 * time.Second // before SIGTERM, in which usual clients must be served again
	outageProcessDuration = 6 * time.Second
)

// OutagePlan returns the plan of a seed with servers that stop reading in the middle of requests, answers and commands that do not
// end, or clients that use up the descriptors.
func OutagePlan(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, outageStream))
	work := time.Duration(20+r.IntN(50)) * time.Millisecond
	o := &Outage{}
	p := &Plan{Seed: seed, MaxDescriptors: manyDescriptors, MemoryMB: leastMemoryMB, Deadline: troubleDeadline, Trouble: &Trouble{}, Outage: o,
		Processes: []ProcessPlan{{TerminateAfter: outageProcessDuration}}}
	for range 6 + r.IntN(6) {
		p.Servers = append(p.Servers, ServerPlan{FastDelay: work, SlowDelay: work, HangDelay: work})
	}
	for range 10 + r.IntN(10) {
		c := ClientPlan{MaxOpenRequests: 1 + r.IntN(3), MaxPause: maxPause, AnswerBytes: smallAnswerBytes, Deduplicated: true}
		c.BodyBytes = leastBodyBytes + r.IntN(largestBodyBytes-leastBodyBytes)
		p.Clients = append(p.Clients, c)
	}
	switch r.IntN(4) {
	case 0, 1:
		o.StuckServers = len(p.Servers)/2 + 1
		o.StuckFrom = time.Duration(500+r.IntN(1000)) * time.Millisecond
		o.StuckFor = time.Duration(2000+r.IntN(1500)) * time.Millisecond
	case 2:
		o.UnfinishedPerMille, o.UnfinishedBytes = 100+r.Uint64N(150), []int{maxValueBytes, 2_000_000}[r.IntN(2)]
		o.UnfinishedClients = []int{0, manyDescriptors / 3}[r.IntN(2)]
	case 3:
		p.MaxDescriptors, p.MemoryMB, o.RepeatingClients = fewDescriptors, usualMemoryMB, 300
	}
	return p
}

// stuckReader reads from a connection, but not while its server is stuck.
type stuckReader struct {
	net.Conn
	server *server
}

func (s stuckReader) Read(p []byte) (int, error) {
	s.server.waitWhileStuck()
	return s.Conn.Read(p)
}

// waitWhileStuck returns once the server is not stuck.
func (s *server) waitWhileStuck() {
	o := s.outage
	if o == nil || s.index >= o.StuckServers {
		return
	}
	if since := time.Since(s.started) - o.StuckFrom; since >= 0 && since < o.StuckFor {
		time.Sleep(o.StuckFor - since)
	}
}

// listenForOutage listens for a server that may be stuck: its connections take little that it does not read.
func listenForOutage() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stuckReceiveBuffer)
		})
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// sendsUnfinished reports whether an answer is one that does not end.
func (s *server) sendsUnfinished() bool {
	return s.outage != nil && rand.Uint64N(1000) < s.outage.UnfinishedPerMille
}

// writeUnfinished writes an answer that does not end, until the connection does.
func (s *server) writeUnfinished(c net.Conn) {
	size := s.outage.UnfinishedBytes
	piece := strings.Repeat("x", size*9/10/unfinishedPieces)
	fmt.Fprintf(c, "*3\r\n$%d\r\n", size)
	for n := 0; ; n++ {
		next, pause := piece, unfinishedPiecePause
		if n >= unfinishedPieces {
			next, pause = "x", unfinishedBytePause
		}
		if _, err := io.WriteString(c, next); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// runOutageClients runs the plan's clients that are not audited, until the run is done.
func (x *run) runOutageClients() {
	o := x.plan.Outage
	if o == nil {
		return
	}
	unfinished := encodeCommand("Q.ASK", "key", "unfinished", "c=read,d=900", strings.Repeat("y", maxValueBytes))
	for range o.UnfinishedClients {
		go x.repeatConnections(x.done, func(c net.Conn) {
			io.WriteString(c, unfinished[:len(unfinished)-10])
			io.Copy(io.Discard, c)
		})
	}
	stop := make(chan struct{})
	time.AfterFunc(x.plan.Processes[0].TerminateAfter-repeatersStopBefore, func() { close(stop) })
	for range o.RepeatingClients {
		go x.repeatConnections(stop, func(c net.Conn) {
			for reader := newMessageReader(c, false); ; {
				if io.WriteString(c, encodeCommand("Q.ASK", "key", "unknown", "c=nothing,d=900")); !readsOne(reader) {
					return
				}
			}
		})
	}
}

// readsOne reads one message and reports whether there was one.
func readsOne(reader *messageReader) bool {
	_, err := reader.next()
	return err == nil
}

// repeatConnections opens one connection after the other and uses it, until done is closed.
func (x *run) repeatConnections(done <-chan struct{}, use func(net.Conn)) {
	for x.waitUntilAllowed() {
		select {
		case <-done:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", x.address, time.Second)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		ended := make(chan struct{})
		go func() {
			select {
			case <-done:
				c.SetDeadline(time.Now())
			case <-ended:
			}
		}()
		use(c)
		close(ended)
		c.Close()
	}
}
