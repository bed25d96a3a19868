package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// The ledger reports a request that reaches a server again after the window of its idempotency key, and one that reaches the
// earlier build after the build on trial has answered its key, each no sooner than the rule and the slack allow.
func TestLedger(t *testing.T) {
	const slack = timeLimitSlack + pauseDuration
	start := time.Now()
	for name, c := range map[string]struct {
		play func(*ledger)
		want Violation
	}{
		"within the window": {func(l *ledger) {
			l.received("token", "key", earlierBuild, start)
			l.received("token", "key", earlierBuild, start.Add(dedupWindow+slack))
		}, ""},
		"after the window": {func(l *ledger) {
			l.received("token", "key", earlierBuild, start)
			l.received("token", "key", earlierBuild, start.Add(dedupWindow+slack+time.Millisecond))
		}, ranAfterWindow},
		"without a token": {func(l *ledger) {
			l.received("", "key", earlierBuild, start)
			l.received("", "key", earlierBuild, start.Add(time.Minute))
		}, ""},
		"key goes to the trial again": {func(l *ledger) {
			l.answered("key", start)
			l.received("", "key", trialBuild, start.Add(time.Minute))
		}, ""},
		"key not answered long enough": {func(l *ledger) {
			l.answered("key", start)
			l.received("", "key", earlierBuild, start.Add(answeredAfter+slack))
		}, ""},
		"key goes back": {func(l *ledger) {
			l.answered("key", start)
			l.answered("key", start.Add(time.Second))
			l.received("", "key", earlierBuild, start.Add(answeredAfter+slack+time.Millisecond))
		}, keyWentBack},
	} {
		var found Violation
		c.play(newLedger(func(v Violation) { found = v }))
		if found != c.want {
			t.Errorf("%s: found %q, expected %q", name, found, c.want)
		}
	}
}

// dialAnswered connects to a server, and sends a request that it must answer within a duration.
func dialAnswered(address string, within time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(within))
	io.WriteString(c, encodeCommand("Q.ASK", encodeKey("a", 1), "a", "c=read,d=100", "body"))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// A limited listener accepts no connection beyond its number until one has closed, and then the next.
func TestLimitedListener(t *testing.T) {
	s, err := startServer(&Plan{Servers: []ServerPlan{{}}, Trouble: &Trouble{ConnectionsPerServer: 1}}, 0,
		&attemptCounts{counts: map[string]int{}}, newLedger(func(Violation) {}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	first, err := dialAnswered(s.address(), time.Second)
	if err != nil {
		t.Fatal("the first connection: ", err)
	}
	time.Sleep(5 * fillerTimeout) // the listener has filled its queue
	if second, err := dialAnswered(s.address(), 5*fillerTimeout); err == nil {
		second.Close()
		t.Error("a second connection came up, expected none: one is permitted")
	}
	first.Close()
	for deadline := time.Now().Add(10 * time.Second); ; {
		if next, err := dialAnswered(s.address(), time.Second); err == nil {
			next.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection came up after the first had closed")
		}
	}
}
