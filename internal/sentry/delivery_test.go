package sentry

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"scalechute/internal/input"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// stuckPayloadBytes is more than the kernel of a worker takes that does not read.
const stuckPayloadBytes = 200_000

// Guards against a cancelled hand-off that a worker on frames gets after all, with its cancellation behind it: both lay in the
// kernel, and the connection stayed open.
func TestCancelledHandOffIsNotDelivered(t *testing.T) {
	listener := listenAsStuckWorker(t)
	var ordered []logic.TransactionID
	r := newRig(t, rigOptions{decide: func(in *input.Input) (out logic.Result) {
		switch in.Kind {
		case input.TransactionArrived:
			ordered = append(ordered, in.Transaction.ID)
			out.Actions = []logic.Action{{Kind: logic.HandOff, Transaction: in.Transaction.ID, Worker: "w"}}
			if len(ordered) == 2 {
				out.Actions = append(out.Actions, logic.Action{Kind: logic.CancelHandOff, Transaction: ordered[0]})
			}
		case input.ListReceived:
			out.WatchList = in.ListKind == logic.CachedList
		}
		return out
	}})
	r.updateList(listLine("w", listener.Addr().String()))
	c := r.testClient()
	ask := func(id uint64) {
		c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Profile: 0, Key: []byte("k"), Timeout: 20_000_000, Payload: make([]byte, stuckPayloadBytes)})
		c.link.Flush()
	}
	ask(1)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(welcomeFrame(t))
	r.waitFor("the first hand-off", func() bool { return r.s.CounterValues("hand_offs_total")["0"] == 1 })
	ask(2)
	r.waitFor("its cancellation, and the end of the connection", func() bool {
		return r.countEndings(logic.Cancelled) == 1 && r.s.CounterValues("undelivered_total")["0"] == 1
	})
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	received, err := io.ReadAll(conn)
	if err == nil || len(received) >= stuckPayloadBytes {
		t.Errorf("the worker read %d bytes and then %v, expected a reset before the end of the hand-off", len(received), err)
	}
}

// listenAsStuckWorker listens for a worker whose connections take little that is not read.
func listenAsStuckWorker(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// welcomeFrame returns a worker's frame that makes a connection ready.
func welcomeFrame(t *testing.T) []byte {
	body, err := proto.Marshal(&pb.Welcome{Version: wire.ProtocolVersion})
	if err != nil {
		t.Fatal(err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+1))
	return append(append(frame, byte(wire.KindWelcome)), body...)
}
