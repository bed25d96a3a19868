package standin

import (
	"fmt"
	"testing"
	"time"

	"scalechute/internal/audit"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

func newTestEnvironment() *Environment {
	return NewEnvironment(&logic.Config{ColdLoadMultiple: 2, ColdLoadWindow: 1_000_000, Profiles: []logic.Profile{
		{Repeatability: logic.Idempotent}, {Repeatability: logic.Deduplicated, DedupWindow: 150_000}}}, []string{"z"}, 1)
}

// sendHandOffs sends hand-offs to a worker over one connection and counts how they end.
func sendHandOffs(t *testing.T, w *Worker, handOffs ...wire.Work) (ended map[pb.Ended]int) {
	t.Helper()
	done := make(chan pb.Ended, len(handOffs))
	l, err := wire.Dial(w.Address, time.Second, wire.DefaultLimits, func(_ *wire.Link, kind wire.Kind, body []byte) error {
		var m wire.Done
		if kind != wire.KindDone {
			return nil
		}
		err := m.Read(body)
		done <- pb.Ended(m.Ending)
		return err
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close(wire.ErrClosed)
	l.Send(wire.KindHello, &pb.Hello{Version: wire.ProtocolVersion, Role: pb.Hello_SENTRY})
	for i := range handOffs {
		handOffs[i].ID, handOffs[i].Timeout = uint64(i+1), 1_000_000
		l.Put(wire.KindWork, &handOffs[i])
	}
	l.Flush()
	ended = map[pb.Ended]int{}
	for range handOffs {
		select {
		case e := <-done:
			ended[e]++
		case <-time.After(300 * time.Millisecond):
			return ended
		}
	}
	return ended
}

func countEvents(env *Environment, k audit.Kind) (n int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.events {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func newWork(token string, profile uint32, us int) wire.Work {
	return wire.Work{Profile: profile, DeduplicationToken: []byte(token), Payload: []byte(fmt.Sprintf("try %d", us))}
}

// TestDeduplication checks that a deduplicated transaction runs once within its window, on any worker of the group, and
// again after the window. An idempotent one runs each time.
func TestDeduplication(t *testing.T) {
	env := newTestEnvironment()
	var workers []*Worker
	for _, id := range []logic.WorkerID{"a", "b"} {
		w := NewWorker(env, logic.Worker{ID: id, Build: 10}, 1, 1)
		if err := w.Start(true); err != nil {
			t.Fatal(err)
		}
		defer w.Stop()
		workers = append(workers, w)
	}
	for _, w := range workers {
		if got := sendHandOffs(t, w, newWork("m", 1, 1000), newWork("m", 1, 1000)); got[pb.Ended_ANSWERED] != 2 {
			t.Errorf("ended %v", got)
		}
	}
	if n := countEvents(env, audit.HandOffExecuted); n != 1 {
		t.Errorf("ran %d times within the window", n)
	}
	time.Sleep(200 * time.Millisecond)
	sendHandOffs(t, workers[0], newWork("m", 1, 1000))
	if n := countEvents(env, audit.HandOffExecuted); n != 2 {
		t.Errorf("ran %d times, expected once more after the window", n)
	}
	sendHandOffs(t, workers[0], newWork("m", 0, 1000), newWork("m", 0, 1000))
	if n := countEvents(env, audit.HandOffExecuted); n != 4 {
		t.Errorf("ran %d times, expected an idempotent transaction to run each time", n)
	}
}

// TestColdWorkerOverload checks that a cold worker which receives more than ColdLoadMultiple times what it can process
// crashes and stays down. A warm one turns hand-offs away.
func TestColdWorkerOverload(t *testing.T) {
	for _, c := range []struct {
		warm    bool
		us      int
		crashes int
	}{{false, 60_000, 1}, {false, 40_000, 0}, {true, 60_000, 0}} {
		env := newTestEnvironment()
		w := NewWorker(env, logic.Worker{ID: "w", Build: 10}, 1, 1)
		w.WarmUp, w.ColdSpeedShare, w.MaxQueue = 60_000_000, 0.5, 3
		if err := w.Start(c.warm); err != nil {
			t.Fatal(err)
		}
		var handOffs []wire.Work
		for range 20 { // the limit is 2 x half a core x 1 s, 1,000,000 us of work
			handOffs = append(handOffs, newWork("", 0, c.us))
		}
		ended := sendHandOffs(t, w, handOffs...)
		time.Sleep(20 * time.Millisecond)
		if n := countEvents(env, audit.WorkerOverloaded); n != c.crashes {
			t.Errorf("warm %v, %d us each: crashed %d times", c.warm, c.us, n)
		}
		if up, _, _ := w.RunState(); up != (c.crashes == 0) {
			t.Errorf("warm %v, %d us each: up %v", c.warm, c.us, up)
		}
		if c.crashes == 0 && ended[pb.Ended_TURNED_AWAY] != 16 {
			t.Errorf("ended %v, expected the 16 beyond one core and a queue of 3 to be turned away", ended)
		}
		w.Stop()
	}
}
