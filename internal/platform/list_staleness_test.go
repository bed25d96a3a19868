package platform

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/logic"
)

// A list that has begun to arrive counts as received: the decision module is notified when it is cut off, and soon when
// it stalls.
func TestIncompleteListReported(t *testing.T) {
	listed := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	partialList := listJSON(51, false, listed)[:30]
	for name, c := range map[string]struct {
		text string
		ends bool
		want int // reports for the first call
	}{"partial, then closed": {listJSON(50, true, listed) + partialList, true, 1}, "partial, then silent": {listJSON(50, true, listed) + partialList, false, 1},
		"silent": {"", false, 1}, "complete, then closed": {listJSON(50, true, listed), true, 0}, "complete, then silent": {listJSON(50, true, listed), false, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := make(chan struct{}, 1)
			env := newEnv(t, options{discovery: startScriptedDiscovery(t, func(conn net.Conn, n int, _ string) {
				switch {
				case n > 1:
					select {
					case second <- struct{}{}:
					default:
					}
				case c.ends:
					io.WriteString(conn, c.text)
					conn.(*net.TCPConn).CloseWrite()
				default:
					io.WriteString(conn, c.text)
				}
				if n == 1 {
					io.Copy(io.Discard, conn)
				}
			})})
			if c.want > 0 {
				env.waitFor("the report", func() bool { return len(env.staleReports) == c.want })
				env.mu.Lock()
				if ago := env.staleReports[0].At - env.staleReports[0].StaleSince; ago < 0 || !c.ends && ago < logic.Micros(listReadTimeout/time.Microsecond) {
					t.Errorf("reported as stale since %d us ago, expected since its first byte", ago)
				}
				env.mu.Unlock()
			}
			<-second
			env.mu.Lock()
			defer env.mu.Unlock()
			if len(env.staleReports) < c.want || c.want == 0 && len(env.staleReports) > 1 { // the second call may cause a report, too
				t.Errorf("%d reports, expected %d", len(env.staleReports), c.want)
			}
		})
	}
}

// After discovery's address has changed, the list counts as stale from a fixed time on, whatever the calls return.
func TestAddressChangeMarksListStale(t *testing.T) {
	env := newEnv(t, options{discovery: startDiscovery(t, nil, target{"x", "127.0.0.1:9", "here", "active", 1, 7})})
	env.waitFor("the list", env.workerHasBuild("x", 7))
	if err := env.p.Reload(must(parseConfig(configJSON(256, closedAddress(t), closedAddress(t), nil)))); err != nil {
		t.Fatal(err)
	}
	env.waitFor("the report", func() bool { return len(env.staleReports) == 1 })
	if after := env.staleReports[0].StaleSince - env.staleReports[0].At; after != logic.Micros(addressChangeDelay/time.Microsecond) {
		t.Errorf("stale from %d us after the change, expected %v", after, addressChangeDelay)
	}
}

// A hand-off is not sent after the lease that permits it has expired: neither at once nor when its connection is
// established.
func TestAttemptExpires(t *testing.T) {
	var received atomic.Int64
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		received.Add(1)
		answerValue(c, n, words)
	})
	for name, timeLeft := range map[string]logic.Micros{"at once": -1, "while dialing": 1} {
		env := newEnv(t, options{workers: []string{address}, decide: func(in *input.Input) (out logic.Result) {
			switch in.Kind {
			case input.TransactionArrived:
				out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0", SendBy: in.At + timeLeft}}
			case input.HandOffEnded:
				out.Actions = []logic.Action{{Kind: logic.Defer, Transaction: in.End.Transaction}}
			}
			return out
		}})
		c := env.dial(t)
		c.send(readCmd("late"))
		c.expectReply("-BUSY")
		if env.mu.Lock(); env.countEnded(logic.Unsent) != 1 || received.Load() != 0 {
			t.Errorf("%s: endings %v and %d hand-offs at the server, expected one unsent and none", name, env.ends, received.Load())
		}
		env.mu.Unlock()
	}
}

// Guards against a hand-off that has waited for a connection being written although the module withholds it: what it was
// ordered by holds no more.
func TestWithheldHandOffIsNotWritten(t *testing.T) {
	gate := make(chan struct{})
	var withheldReceived atomic.Bool
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		switch words[2] {
		case "blocker":
			<-gate
		case "withheld":
			withheldReceived.Store(true)
		}
		answerValue(c, n, words)
	})
	env := newEnv(t, options{workers: []string{address}, replacements: longDeadline, decide: func(in *input.Input) (out logic.Result) {
		switch in.Kind {
		case input.TransactionArrived:
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0"}}
		case input.HandOffEnded:
			if in.End.Ending == logic.Unsent {
				out.Actions = []logic.Action{{Kind: logic.Defer, Transaction: in.End.Transaction}}
			}
		case input.HandOffConnected:
			out.Withhold = true
		}
		return out
	}})
	env.sentry.Inspect(func() { env.p.config.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	first, second := env.dial(t), env.dial(t)
	first.send(longReadCmd("warm"))
	first.expectReply("-BUSY") // it waited for the first connection
	time.Sleep(50 * time.Millisecond)
	first.send(longReadCmd("blocker"))
	env.waitFor("the first hand-off", func() bool { return env.actions[logic.HandOff] == 2 })
	second.send(longReadCmd("withheld"))
	env.waitFor("the second hand-off", func() bool { return env.actions[logic.HandOff] == 3 })
	close(gate)
	first.expectReply("v-blocker")
	second.expectReply("-BUSY")
	if withheldReceived.Load() {
		t.Error("the worker received the hand-off, expected none")
	}
}
