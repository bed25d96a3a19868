package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/memory"
)

// A client pipelines many requests and reads all the time. The first answer comes 250 ms after the others, which are
// large and have to wait for it; then all replies are written at once. Each reply has to arrive, in order.
//
// The test guards against a close of the connection as a slow reader, with all replies lost. It happened when more than
// 2 MiB of replies became ready at once, since the link refused more than 2 MiB of pending data and its writing
// goroutine did not run in between: 40 answers of 60 KiB and 60 of 40 KiB failed in each run, 60 of 20
// KiB passed. The same fault caused failures of TestFullInboxStopsReading, there only by chance.
func TestLargeAnswersBehindSlowOne(t *testing.T) {
	for name, c := range map[string]struct{ requests, bytes int }{
		"40 of 60 KiB": {40, 60 << 10},
		"60 of 40 KiB": {60, 40 << 10},
		"57 of 64 KiB": {57, 64<<10 - len("r00-")},
	} {
		t.Run(name, func(t *testing.T) {
			filler := strings.Repeat("x", c.bytes)
			env := newEnv(t, options{replacements: longDeadline, decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(conn net.Conn, _ int, words []string) {
				if words[2] == "r0" {
					time.Sleep(250 * time.Millisecond)
				}
				io.WriteString(conn, newAnswer(words[2]+"-"+filler))
			})}})
			client := env.dial(t)
			for i := range c.requests {
				client.send(longReadCmd(fmt.Sprint("r", i)))
			}
			for i := range c.requests {
				if got := client.readReply(); got != fmt.Sprint("r", i, "-", filler) {
					t.Fatalf("reply %d: %.40q of %d bytes, expected its own of %d bytes", i, got, len(got), c.bytes)
				}
			}
		})
	}
}

// Once the replies that wait to be written use up the reply budget, further commands get BUSY, and no connection is
// closed with replies outstanding. A client that reads is served again.
func TestBusyAtReplyBudget(t *testing.T) {
	const bytes, requests = 60 << 10, 60
	filler := strings.Repeat("x", bytes)
	env := newEnv(t, options{replacements: append([]string{`"memory_mb":64`, `"memory_mb":4`}, longDeadline...), decide: handOffToFirstWorker(func(*input.Input) {}), workers: []string{startWorker(t, func(conn net.Conn, _ int, words []string) {
		io.WriteString(conn, newAnswer(words[2]+"-"+filler))
	})}})
	clients := make([]testClient, 16)
	for i := range clients { // none reads
		clients[i] = env.dial(t)
		for n := range requests {
			clients[i].send(longReadCmd(fmt.Sprintf("c%d.%d", i, n)))
		}
		env.waitFor("the ends of its requests", func() bool { env.p.mu.Lock(); defer env.p.mu.Unlock(); return len(env.p.openRequests) == 0 })
	}
	if budget := env.p.memory.Budget(memory.Replies); budget.Remaining() < -budget.Limit()/4 {
		t.Errorf("%d bytes beyond the reply budget of %d", -budget.Remaining(), budget.Limit())
	}
	refused := 0
	for i, c := range clients {
		for n := range requests {
			switch got := c.readReply(); {
			case got == fmt.Sprintf("c%d.%d-%s", i, n, filler):
			case strings.HasPrefix(got, "-BUSY"):
				refused++
			default:
				t.Fatalf("client %d, reply %d: %.40q", i, n, got)
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused, though the answers exceed the reply budget")
	}
	clients[0].send(readCmd("after"))
	clients[0].expectReply("after-")
}
