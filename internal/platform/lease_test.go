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
func TestListInDoubt(t *testing.T) {
	at := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	half := list(51, false, at)[:30]
	for name, c := range map[string]struct {
		text string
		ends bool
		want int // doubts of the first call
	}{"half and an end": {list(50, true, at) + half, true, 1}, "half and silence": {list(50, true, at) + half, false, 1},
		"nothing and silence": {"", false, 1}, "whole and an end": {list(50, true, at), true, 0}, "whole and silence": {list(50, true, at), false, 0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := make(chan struct{}, 1)
			r := newRig(t, plan{discovery: scripted(t, func(conn net.Conn, n int, _ string) {
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
				r.wait("the doubt", func() bool { return len(r.unsure) == c.want })
				r.mu.Lock()
				if ago := r.unsure[0].At - r.unsure[0].StaleSince; ago < 0 || !c.ends && ago < logic.Micros(wholeWithin/time.Microsecond) {
					t.Errorf("in doubt since %d us ago, expected since its first byte", ago)
				}
				r.mu.Unlock()
			}
			<-second
			r.mu.Lock()
			defer r.mu.Unlock()
			if len(r.unsure) < c.want || c.want == 0 && len(r.unsure) > 1 { // the second call may be in doubt itself
				t.Errorf("%d doubts, expected %d", len(r.unsure), c.want)
			}
		})
	}
}

// After a move, what discovery has to tell counts at a set time, whatever comes of the calls.
func TestMoveSetsATime(t *testing.T) {
	r := newRig(t, plan{discovery: discoveryOf(t, nil, target{"x", "127.0.0.1:9", "here", "active", 1, 7})})
	r.wait("the list", r.told("x", 7))
	if err := r.p.Reload(must(parsePost(configuration(256, closed(), closed(), nil)))); err != nil {
		t.Fatal(err)
	}
	r.wait("the time", func() bool { return len(r.unsure) == 1 })
	if after := r.unsure[0].StaleSince - r.unsure[0].At; after != logic.Micros(moveNotice/time.Microsecond) {
		t.Errorf("counts as told %d us after, expected %v", after, moveNotice)
	}
}

// An attempt is not written once the lease that it rests on is over: neither at once nor when its connection has come up.
func TestAttemptExpires(t *testing.T) {
	var got atomic.Int64
	at := worker(t, func(c net.Conn, n int, words []string) {
		got.Add(1)
		good(c, n, words)
	})
	for name, left := range map[string]logic.Micros{"at once": -1, "as its connection comes up": 1} {
		r := newRig(t, plan{workers: []string{at}, decide: func(in *input.Input) (out logic.Result) {
			switch in.Kind {
			case input.TransactionArrived:
				out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w0", SendBy: in.At + left}}
			case input.HandOffEnded:
				out.Actions = []logic.Action{{Kind: logic.Defer, Transaction: in.End.Transaction}}
			}
			return out
		}})
		c := r.dial(t)
		c.say(read("late"))
		c.want("-BUSY")
		if r.mu.Lock(); r.ended(logic.Unsent) != 1 || got.Load() != 0 {
			t.Errorf("%s: endings %v and %d attempts at the server, expected one unsent and none", name, r.ends, got.Load())
		}
		r.mu.Unlock()
	}
}
