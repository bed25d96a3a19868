package platform

import (
	"bufio"
	"io"
	"net"
	"testing"

	"scalechute/internal/input"
	"scalechute/logic"
)

// Guards against a client being served the value of another request: a worker's second copy of an answer crosses the
// next request while all connections to workers are in use.
func TestSecondCopyCrossesNextRequest(t *testing.T) {
	firstReceived, secondDecided := make(chan struct{}), make(chan struct{})
	address := serveConns(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			answer := newAnswer("v-" + words[2])
			if words[2] == "first" {
				close(firstReceived)
				<-secondDecided // whatever was written for the second request is still on its way to the worker
				answer += answer
			}
			io.WriteString(conn, answer)
		}
	})
	env := newEnv(t, options{workers: []string{address}, replacements: longDeadline, decide: handOffToFirstWorker(func(*input.Input) {})})
	env.sentry.Inspect(func() { env.p.config.Load().Settings.Bounds.ConnectionsPerWorker = 1 })
	first, second := env.dial(t), env.dial(t)
	first.send(longReadCmd("first"))
	<-firstReceived
	second.send(longReadCmd("second"))
	env.waitFor("the second request", func() bool { return env.actions[logic.HandOff] == 2 })
	env.sentry.Inspect(func() {}) // the loop has written the second request, if it does so
	close(secondDecided)
	first.expectReply("v-first")
	second.expectReply("v-second")
}

// Guards against a hand-off that waits for its deadline although a connection has come free: the bound on connections is
// used up by another worker's when it is ordered.
func TestConnectionOfIdleWorkerIsReplaced(t *testing.T) {
	gate := make(chan struct{})
	slow := startWorker(t, func(c net.Conn, n int, words []string) { <-gate; answerValue(c, n, words) })
	quick := startWorker(t, answerValue)
	env := newEnv(t, options{workers: []string{slow, quick}, replacements: longDeadline, decide: func(in *input.Input) (out logic.Result) {
		if in.Kind == input.TransactionArrived {
			worker := map[logic.Key]logic.WorkerID{"key-a": "w0", "key-b": "w1"}[in.Transaction.Key]
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: worker}}
		}
		return out
	}})
	env.sentry.Inspect(func() { env.p.config.Load().Settings.Bounds.WorkerConnections = 1 })
	a, b := env.dial(t), env.dial(t)
	a.send(longReadCmd("a"))
	env.waitFor("the first hand-off", func() bool { return env.actions[logic.HandOff] == 1 })
	b.send(longReadCmd("b"))
	env.waitFor("the second hand-off", func() bool { return env.actions[logic.HandOff] == 2 })
	close(gate)
	a.expectReply("v-a")
	b.expectReply("v-b")
}
