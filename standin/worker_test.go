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

func testStage() *Environment {
	return NewEnvironment(&logic.Config{ColdLoadMultiple: 2, ColdLoadWindow: 1_000_000, Profiles: []logic.Profile{
		{Repeatability: logic.Idempotent}, {Repeatability: logic.Deduplicated, DedupWindow: 150_000}}}, []string{"z"}, 1)
}

// hand gives a worker hand-offs over one connection and counts how they end.
func hand(t *testing.T, w *Worker, works ...wire.Work) (ended map[pb.Ended]int) {
	t.Helper()
	done := make(chan pb.Ended, len(works))
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
	for i := range works {
		works[i].ID, works[i].Timeout = uint64(i+1), 1_000_000
		l.Put(wire.KindWork, &works[i])
	}
	l.Flush()
	ended = map[pb.Ended]int{}
	for range works {
		select {
		case e := <-done:
			ended[e]++
		case <-time.After(300 * time.Millisecond):
			return ended
		}
	}
	return ended
}

func count(s *Environment, k audit.Kind) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if e.Kind == k {
			n++
		}
	}
	return n
}

func work(mark string, profile uint32, us int) wire.Work {
	return wire.Work{Profile: profile, DeduplicationToken: []byte(mark), Payload: []byte(fmt.Sprintf("try %d", us))}
}

// Repeats of a labelled transaction run once within its window, on any worker of the group, and again after it.
func TestRepeatsAreDropped(t *testing.T) {
	s := testStage()
	var both []*Worker
	for _, id := range []logic.WorkerID{"a", "b"} {
		w := NewWorker(s, logic.Worker{ID: id, Build: 10}, 1, 1)
		if err := w.Start(true); err != nil {
			t.Fatal(err)
		}
		defer w.Stop()
		both = append(both, w)
	}
	for _, w := range both {
		if got := hand(t, w, work("m", 1, 1000), work("m", 1, 1000)); got[pb.Ended_ANSWERED] != 2 {
			t.Errorf("ended %v", got)
		}
	}
	if n := count(s, audit.Ran); n != 1 {
		t.Errorf("ran %d times within the window", n)
	}
	time.Sleep(200 * time.Millisecond)
	hand(t, both[0], work("m", 1, 1000))
	if n := count(s, audit.Ran); n != 2 {
		t.Errorf("ran %d times, expected once more after the window", n)
	}
	hand(t, both[0], work("m", 0, 1000), work("m", 0, 1000))
	if n := count(s, audit.Ran); n != 4 {
		t.Errorf("ran %d times, expected what is redoable to run each time", n)
	}
}

// A cold worker that gets more than the multiple of what it can do falls over and stays down; a warm one turns away.
func TestColdWorkerFalls(t *testing.T) {
	for _, c := range []struct {
		warm bool
		us   int
		fell int
	}{{false, 60_000, 1}, {false, 40_000, 0}, {true, 60_000, 0}} {
		s := testStage()
		w := NewWorker(s, logic.Worker{ID: "w", Build: 10}, 1, 1)
		w.WarmUp, w.ColdSpeedShare, w.MaxQueue = 60_000_000, 0.5, 3
		if err := w.Start(c.warm); err != nil {
			t.Fatal(err)
		}
		var works []wire.Work
		for range 20 { // 2 x half a core x 1 s bear 1,000,000 us of work
			works = append(works, work("", 0, c.us))
		}
		ended := hand(t, w, works...)
		time.Sleep(20 * time.Millisecond)
		if n := count(s, audit.Fell); n != c.fell {
			t.Errorf("warm %v, %d us each: fell %d times", c.warm, c.us, n)
		}
		if up, _, _ := w.RunState(); up != (c.fell == 0) {
			t.Errorf("warm %v, %d us each: up %v", c.warm, c.us, up)
		}
		if c.fell == 0 && ended[pb.Ended_TURNED_AWAY] != 16 {
			t.Errorf("ended %v, expected 16 beyond one core and a queue of 3 turned away", ended)
		}
		w.Stop()
	}
}
