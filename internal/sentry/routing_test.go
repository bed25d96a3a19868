package sentry

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"scalechute/internal/match"
	"scalechute/internal/orders"
	"scalechute/internal/routes"
	"scalechute/internal/wire"
	"scalechute/internal/wire/pb"
)

// routesText is the words of the drills' routes: kind and truck must come.
var routesText = func() string {
	data, err := os.ReadFile("../../drills/routes.hcl")
	if err != nil {
		panic(err)
	}
	words, _, _ := strings.Cut(string(data), "\nlet ")
	return words + "\n"
}()

func route(name, when, key, profile string) string {
	return fmt.Sprintf("route %q {\n  when    = %q\n  key     = %q\n  profile = %q\n}\n", name, when, key, profile)
}

func (c *caller) askWith(id uint64, attributes []byte) {
	if attributes == nil {
		attributes = []byte{}
	}
	c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Timeout: 400_000, Payload: []byte(fmt.Sprint("p", id)), Attributes: attributes})
	c.link.Flush()
}

func attribute(b []byte, name string, v match.Carried) []byte {
	return wire.AppendAttribute(b, name, &v)
}

func words(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = attribute(b, pairs[i], match.Carried{Kind: match.Text, Text: pairs[i+1]})
	}
	return b
}

// A transaction with attributes only gets profile and key from the first route that matches; hostile ones lose only
// what does not fit, and one that no route takes is told so and reaches no worker.
func TestRouted(t *testing.T) {
	r := newRig(t, rigPlan{routes: routesText + route("cold", "temp < celsius(8)", "'c' + truck", "note") +
		route("legs", "legs.exists(x, x > celsius(20))", "'l' + truck", "move") +
		route("moving", "kind == kind.handover", "truck", "move")})
	type work struct {
		profile uint32
		key     string
	}
	got := make(chan work, 100)
	r.worker("w", func(l *wire.Link, m *wire.Work) {
		got <- work{m.Profile, string(m.Key)}
		reply(l, m, pb.Ended_ANSWERED)
	})
	c := r.caller()
	fahrenheit := match.Carried{Kind: match.Measure, Fig: 41, Unit: "fahrenheit"}
	items := func(n int) match.Carried {
		v := match.Carried{Kind: match.List}
		for range n {
			v.Items = append(v.Items, match.Carried{Kind: match.Whole, Num: 21})
		}
		return v
	}
	many := words("kind", "handover", "truck", "m")
	for i := range 10_000 {
		many = attribute(many, fmt.Sprint("a", i), match.Carried{Kind: match.Whole, Num: 1})
	}
	long := strings.Repeat("x", 3<<20) // the frame's bound is 4 MB; what is longer ends the connection
	for i, x := range []struct {
		attributes []byte
		want       work
		outcome    pb.Outcome
	}{
		{attribute(words("kind", "reading", "truck", "a"), "temp", fahrenheit), work{1, "ca"}, pb.Outcome_SATISFIED},
		{words("kind", "handover", "truck", "b"), work{2, "b"}, pb.Outcome_SATISFIED},
		{attribute(words("kind", "reading", "truck", "a"), "legs", items(8)), work{2, "la"}, pb.Outcome_SATISFIED},
		{attribute(words("kind", "reading", "truck", "a"), "legs", items(9)), work{}, pb.Outcome_NO_ROUTE},
		{attribute(words("kind", "reading", "truck", "a"), "legs", items(100_000)), work{}, pb.Outcome_NO_ROUTE},
		{many, work{2, "m"}, pb.Outcome_SATISFIED},
		{words("kind", "handover", "truck", "m", "region", long), work{2, "m"}, pb.Outcome_SATISFIED},
		{words("kind", "handover", "truck", long), work{}, pb.Outcome_NO_ROUTE},
		{attribute(words("kind", "handover", "truck", "m"), "temp", match.Carried{Kind: match.Flag, Num: 1}), work{2, "m"}, pb.Outcome_SATISFIED},
		{words("kind", "reading", "truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{words("kind", "flying", "truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{words("truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{nil, work{}, pb.Outcome_NO_ROUTE},
	} {
		c.askWith(uint64(i+1), x.attributes)
		a := c.answer()
		if a.Outcome != uint32(x.outcome) || a.ID != uint64(i+1) || a.Profile != x.want.profile {
			t.Fatalf("case %d: answer %+v\n%s", i, a, r.log.String())
		}
		if x.outcome == pb.Outcome_SATISFIED {
			if w := <-got; w != x.want {
				t.Errorf("case %d: %+v, expected %+v", i, w, x.want)
			}
		}
	}
	if len(got) > 0 {
		t.Error("a worker got what no route takes")
	}
	bad := r.caller()
	bad.askWith(1, []byte{0xff})
	if err := <-bad.closed; err != nil {
		t.Error(err)
	}
	r.wait("the fault in the log", func() bool { return r.logged("found attributes that can't be read") })
	c.askWith(99, words("kind", "handover", "truck", "b")) // the other connection goes on
	c.want(99, pb.Outcome_SATISFIED)
	if err := r.s.Reload(r.sheetWith(t, "")); err != nil {
		t.Fatal(err)
	}
	c.askWith(100, words("kind", "handover", "truck", "b"))
	c.want(100, pb.Outcome_NO_ROUTE)
}

func (r *rig) sheetWith(t *testing.T, routes string) *orders.Settings {
	t.Helper()
	sheet, err := orders.Parse("rig.hcl", []byte(r.text+routes))
	if err != nil {
		t.Fatal(err)
	}
	return sheet
}

// A thousand reloads under load, half of them bad: every transaction has one answer, and each is judged by one table,
// through all its hand-offs.
func TestReloadsUnderLoad(t *testing.T) {
	one := routesText + route("one", "kind == kind.reading", "'one' + truck", "read")
	two := routesText + route("first", "kind == kind.handover", "'bad' + truck", "move") +
		route("two", "kind == kind.reading && truck.startsWith('k')", "'two' + truck", "note")
	r := newRig(t, rigPlan{routes: one, handOffs: 3})
	type judged struct {
		profile uint32
		key     string
	}
	var mu sync.Mutex
	by, handOffs, wrong := map[string]judged{}, 0, 0
	tables := map[uint32]int{}
	script := func(l *wire.Link, m *wire.Work) {
		mu.Lock()
		got, id := judged{m.Profile, string(m.Key)}, strings.TrimPrefix(string(m.Payload), "p")
		handOffs++
		first, again := by[string(m.Transaction)]
		if !again {
			by[string(m.Transaction)] = got
			tables[m.Profile]++
		}
		if want := []string{"one", "two", "?"}[m.Profile] + "k" + id; again && got != first || got.key != want {
			wrong++
		}
		mu.Unlock()
		if m.HandOffNumber == 0 && len(id)%2 == 0 {
			reply(l, m, pb.Ended_TURNED_AWAY)
			return
		}
		reply(l, m, pb.Ended_ANSWERED)
	}
	r.worker("w1", script)
	r.worker("w2", script)
	file := filepath.Join(t.TempDir(), "sentry.hcl")
	bad := []string{two + route("two", "true", "truck", "read"), strings.Replace(two, "kind.handover", "kind.flying", 1), two[:len(two)-2],
		strings.Replace(one, "'one' + truck", "temp", 1)}
	var asked, answered atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		c := r.caller()
		clients.Go(func() {
			open, seen, id := 0, map[uint64]bool{}, uint64(0)
			for {
				select {
				case <-stop:
					if open == 0 {
						return
					}
				default:
					for ; open < 16; open++ {
						id++
						c.askWith(id, words("kind", "reading", "truck", fmt.Sprint("k", id)))
						asked.Add(1)
					}
				}
				select {
				case a := <-c.answers:
					if seen[a.ID] || a.Outcome == uint32(pb.Outcome_NO_ROUTE) {
						t.Errorf("answer %d %v, once more or by no table", a.ID, pb.Outcome(a.Outcome))
					}
					seen[a.ID] = true
					open--
					answered.Add(1)
				case <-time.After(5 * time.Second):
					t.Errorf("%d transactions unanswered for 5 s", open)
					return
				}
			}
		})
	}
	sheets := [2]*orders.Settings{r.sheetWith(t, one), r.sheetWith(t, two)}
	clients.Go(func() { // and swaps as fast as can be, so that no way through two of them stays unseen
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				if err := r.s.Reload(sheets[i%2]); err != nil {
					t.Error(err)
				}
				runtime.Gosched()
			}
		}
	})
	taken, refused := 0, 0
	for i := range 1000 {
		text := r.text + []string{one, two}[i/2%2]
		if i%2 == 1 {
			text = r.text + bad[i/2%len(bad)]
			if i%20 == 1 { // whole, but of another sentry
				text = strings.Replace(r.text, `"move"`, `"shift"`, 1) + one
			}
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		sheet, err := orders.LoadUpdate(file, r.sheet)
		if err == nil {
			err = r.s.Reload(sheet)
		}
		r.s.RecordReload(sheet, err)
		if err == nil {
			taken++
		} else {
			refused++
		}
		if (err == nil) != (i%2 == 0) {
			t.Fatalf("load %d: %v", i, err)
		}
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d transactions, %d hand-offs, tables %v; %d loads taken, %d refused", asked.Load(), handOffs, tables, taken, refused)
	if wrong > 0 || asked.Load() != answered.Load() {
		t.Errorf("%d hand-offs by two tables; %d asked, %d answered", wrong, asked.Load(), answered.Load())
	}
	if tables[0] < 100 || tables[1] < 100 || handOffs <= len(by) {
		t.Errorf("too little for this to say anything: tables %v, %d hand-offs of %d transactions", tables, handOffs, len(by))
	}
}

func BenchmarkJudged(b *testing.B) {
	book, err := routes.Parse("r.hcl", []byte("profile \"read\" {}\n"+routesText+route("cold", "temp < celsius(8) && truck.startsWith('x')", "truck", "read")+
		route("all", "kind == kind.reading", "truck", "read")))
	if err != nil {
		b.Fatal(err)
	}
	r := newRouting(&orders.Settings{Routes: book})
	s := &Sentry{}
	body := attribute(attribute(words("kind", "reading", "truck", "0123456789abcdef"), "temp", match.Carried{Kind: match.Measure, Fig: 4, Unit: "celsius"}),
		"legs", match.Carried{Kind: match.List, Items: []match.Carried{{Kind: match.Whole, Num: 4}, {Kind: match.Whole, Num: 9}}})
	var e event
	b.ReportAllocs()
	for b.Loop() {
		if err := s.routeTransaction(r, &e, body); err != nil || e.noRouteReason != 0 {
			b.Fatal(err, e.noRouteReason)
		}
	}
}
