package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/logic"
)

// noteCmd encodes a request of the deduplicated class note, with a timeout that longDeadline admits.
func noteCmd(id string) string {
	return encode("Q.DO", "key-"+id, id, "c=note,t=acme,d=20000,k=token-"+id, "body")
}

// Guards against a deduplicated request running twice: its second hand-off is ordered within the deduplication window,
// waits for a connection, and is written when the workers have forgotten the first.
func TestHandOffWaitsPastDedupWindow(t *testing.T) {
	const window, resetAfter = 3 * time.Second, 2 * time.Second
	var notes atomic.Int64
	gate := make(chan struct{})
	serve := func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			words, err := readCommand(in)
			switch {
			case err != nil:
				return
			case words[2] == "note" && notes.Add(1) == 1:
				time.Sleep(resetAfter)
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
				return
			case words[2] == "blocker":
				<-gate
			}
			io.WriteString(conn, newAnswer("v-"+words[2]))
		}
	}
	env := newEnv(t, options{workers: []string{serveConns(t, serve), serveConns(t, serve)}, replacements: append([]string{
		`"window_ns":800000000`, fmt.Sprintf(`"window_ns":%d`, window)},
		longDeadline...)})
	env.sentry.Inspect(func() { env.p.config.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	c, blocker := env.dial(t), env.dial(t)
	for i := range 30 { // for the retry budget
		c.send(longReadCmd(fmt.Sprint("warm-", i)))
		c.expectReply("v-warm-")
	}
	started := time.Now()
	c.send(noteCmd("note"))
	env.waitFor("the first hand-off", func() bool { return notes.Load() == 1 })
	blocker.send(longReadCmd("blocker")) // goes to the other worker, which has less load
	env.waitFor("the second hand-off", func() bool { return env.actions[logic.HandOff] == 33 })
	time.Sleep(time.Until(started.Add(window + 200*time.Millisecond)))
	close(gate)
	blocker.expectReply("v-blocker")
	if reply := c.readReply(); !strings.HasPrefix(reply, "-") {
		t.Errorf("reply %.100q, expected an error", reply)
	}
	if n := notes.Load(); n != 1 {
		t.Errorf("the request was written %d times, expected 1: its window was over", n)
	}
}
