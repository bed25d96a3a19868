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

// A list that has begun to come counts as told: the module hears of it when it breaks off, and soon when it stands still.
func TestIncompleteListReported(t *testing.T) {
	listed := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	partialList := listJSON(51, false, listed)[:30]
	for name, c := range map[string]struct {
		text string
		ends bool
		want int // doubts of the first call
	}{"half and an end": {listJSON(50, true, listed) + partialList, true, 1}, "half and silence": {listJSON(50, true, listed) + partialList, false, 1},
		"nothing and silence": {"", false, 1}, "whole and an end": {listJSON(50, true, listed), true, 0}, "whole and silence": {listJSON(50, true, listed), false, 0}} {
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
				env.waitFor("the doubt", func() bool { return len(env.staleReports) == c.want })
				env.mu.Lock()
				if ago := env.staleReports[0].At - env.staleReports[0].StaleSince; ago < 0 || !c.ends && ago < logic.Micros(listReadTimeout/time.Microsecond) {
					t.Errorf("in doubt since %d us ago, expected since its first byte", ago)
				}
				env.mu.Unlock()
			}
			<-second
			env.mu.Lock()
			defer env.mu.Unlock()
			if len(env.staleReports) < c.want || c.want == 0 && len(env.staleReports) > 1 { // the second call may be in doubt itself
				t.Errorf("%d doubts, expected %d", len(env.staleReports), c.want)
			}
		})
	}
}

// After a move, what discovery has to tell counts at a set time, whatever comes of the calls.
func TestAddressChangeMarksListStale(t *testing.T) {
	env := newEnv(t, options{discovery: startDiscovery(t, nil, target{"x", "127.0.0.1:9", "here", "active", 1, 7})})
	env.waitFor("the list", env.workerHasBuild("x", 7))
	if err := env.p.Reload(must(parseConfig(configJSON(256, closedAddress(), closedAddress(), nil)))); err != nil {
		t.Fatal(err)
	}
	env.waitFor("the time", func() bool { return len(env.staleReports) == 1 })
	if after := env.staleReports[0].StaleSince - env.staleReports[0].At; after != logic.Micros(addressChangeDelay/time.Microsecond) {
		t.Errorf("counts as told %d us after, expected %v", after, addressChangeDelay)
	}
}

// An attempt is not written once the lease that it rests on is over: neither at once nor when its connection has come up.
func TestAttemptExpires(t *testing.T) {
	var received atomic.Int64
	address := startWorker(t, func(c net.Conn, n int, words []string) {
		received.Add(1)
		answerValue(c, n, words)
	})
	for name, timeLeft := range map[string]logic.Micros{"at once": -1, "as its connection comes up": 1} {
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
			t.Errorf("%s: endings %v and %d attempts at the server, expected one unsent and none", name, env.ends, received.Load())
		}
		env.mu.Unlock()
	}
}
