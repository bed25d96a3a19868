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

// attributesText is the part of the drills' routes that declares the attributes; kind and truck are required.
var attributesText = func() string {
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

func (c *testClient) sendAttributes(id uint64, attributes []byte) {
	if attributes == nil {
		attributes = []byte{}
	}
	c.link.Put(wire.KindAsk, &wire.Ask{ID: id, Timeout: 400_000, Payload: []byte(fmt.Sprint("p", id)), Attributes: attributes})
	c.link.Flush()
}

func appendAttribute(b []byte, name string, v match.RawValue) []byte {
	return wire.AppendAttribute(b, name, &v)
}

func textAttributes(pairs ...string) (b []byte) {
	for i := 0; i < len(pairs); i += 2 {
		b = appendAttribute(b, pairs[i], match.RawValue{Kind: match.Text, Text: pairs[i+1]})
	}
	return b
}

// A transaction with attributes gets its profile and key from the first route that matches. Attributes that are
// invalid, unknown or too long are ignored. A transaction without a matching route is answered so, and no worker
// receives it.
func TestRouted(t *testing.T) {
	r := newRig(t, rigOptions{routes: attributesText + route("cold", "temp < celsius(8)", "'c' + truck", "note") +
		route("legs", "legs.exists(x, x > celsius(20))", "'l' + truck", "move") +
		route("moving", "kind == kind.handover", "truck", "move")})
	type work struct {
		profile uint32
		key     string
	}
	got := make(chan work, 100)
	r.addWorker("w", func(l *wire.Link, m *wire.Work) {
		got <- work{m.Profile, string(m.Key)}
		reply(l, m, pb.Ended_ANSWERED)
	})
	c := r.testClient()
	fahrenheit := match.RawValue{Kind: match.Measure, Float: 41, Unit: "fahrenheit"}
	items := func(n int) match.RawValue {
		v := match.RawValue{Kind: match.List}
		for range n {
			v.Items = append(v.Items, match.RawValue{Kind: match.Int, Int: 21})
		}
		return v
	}
	many := textAttributes("kind", "handover", "truck", "m")
	for i := range 10_000 {
		many = appendAttribute(many, fmt.Sprint("a", i), match.RawValue{Kind: match.Int, Int: 1})
	}
	long := strings.Repeat("x", 3<<20) // the bound of a frame is 4 MB; a longer one closes the connection
	for i, x := range []struct {
		attributes []byte
		want       work
		outcome    pb.Outcome
	}{
		{appendAttribute(textAttributes("kind", "reading", "truck", "a"), "temp", fahrenheit), work{1, "ca"}, pb.Outcome_SATISFIED},
		{textAttributes("kind", "handover", "truck", "b"), work{2, "b"}, pb.Outcome_SATISFIED},
		{appendAttribute(textAttributes("kind", "reading", "truck", "a"), "legs", items(8)), work{2, "la"}, pb.Outcome_SATISFIED},
		{appendAttribute(textAttributes("kind", "reading", "truck", "a"), "legs", items(9)), work{}, pb.Outcome_NO_ROUTE},
		{appendAttribute(textAttributes("kind", "reading", "truck", "a"), "legs", items(100_000)), work{}, pb.Outcome_NO_ROUTE},
		{many, work{2, "m"}, pb.Outcome_SATISFIED},
		{textAttributes("kind", "handover", "truck", "m", "region", long), work{2, "m"}, pb.Outcome_SATISFIED},
		{textAttributes("kind", "handover", "truck", long), work{}, pb.Outcome_NO_ROUTE},
		{appendAttribute(textAttributes("kind", "handover", "truck", "m"), "temp", match.RawValue{Kind: match.Bool, Int: 1}), work{2, "m"}, pb.Outcome_SATISFIED},
		{textAttributes("kind", "reading", "truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{textAttributes("kind", "flying", "truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{textAttributes("truck", "a"), work{}, pb.Outcome_NO_ROUTE},
		{nil, work{}, pb.Outcome_NO_ROUTE},
	} {
		c.sendAttributes(uint64(i+1), x.attributes)
		a := c.receive()
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
		t.Error("a worker received a transaction without a route")
	}
	bad := r.testClient()
	bad.sendAttributes(1, []byte{0xff})
	if err := <-bad.closed; err != nil {
		t.Error(err)
	}
	r.waitFor("the error in the log", func() bool { return r.hasLogged("found attributes that can't be read") })
	c.sendAttributes(99, textAttributes("kind", "handover", "truck", "b")) // the other connection is not affected
	c.expect(99, pb.Outcome_SATISFIED)
	if err := r.s.Reload(r.settingsWithRoutes(t, "")); err != nil {
		t.Fatal(err)
	}
	c.sendAttributes(100, textAttributes("kind", "handover", "truck", "b"))
	c.expect(100, pb.Outcome_NO_ROUTE)
}

func (r *rig) settingsWithRoutes(t *testing.T, routes string) *orders.Settings {
	t.Helper()
	settings, err := orders.Parse("rig.hcl", []byte(r.settingsText+routes))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// A thousand reloads under load, half of them invalid. Every transaction must have one answer, and must be routed by
// one table for all its hand-offs.
func TestReloadsUnderLoad(t *testing.T) {
	one := attributesText + route("one", "kind == kind.reading", "'one' + truck", "read")
	two := attributesText + route("first", "kind == kind.handover", "'bad' + truck", "move") +
		route("two", "kind == kind.reading && truck.startsWith('k')", "'two' + truck", "note")
	r := newRig(t, rigOptions{routes: one, handOffs: 3})
	type routed struct {
		profile uint32
		key     string
	}
	var mu sync.Mutex
	by, handOffs, wrong := map[string]routed{}, 0, 0
	tables := map[uint32]int{}
	script := func(l *wire.Link, m *wire.Work) {
		mu.Lock()
		got, id := routed{m.Profile, string(m.Key)}, strings.TrimPrefix(string(m.Payload), "p")
		handOffs++
		first, isLater := by[string(m.Transaction)]
		if !isLater {
			by[string(m.Transaction)] = got
			tables[m.Profile]++
		}
		if want := []string{"one", "two", "?"}[m.Profile] + "k" + id; isLater && got != first || got.key != want {
			wrong++
		}
		mu.Unlock()
		if m.HandOffNumber == 0 && len(id)%2 == 0 {
			reply(l, m, pb.Ended_TURNED_AWAY)
			return
		}
		reply(l, m, pb.Ended_ANSWERED)
	}
	r.addWorker("w1", script)
	r.addWorker("w2", script)
	file := filepath.Join(t.TempDir(), "sentry.hcl")
	bad := []string{two + route("two", "true", "truck", "read"), strings.Replace(two, "kind.handover", "kind.flying", 1), two[:len(two)-2],
		strings.Replace(one, "'one' + truck", "temp", 1)}
	var sent, answered atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		c := r.testClient()
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
						c.sendAttributes(id, textAttributes("kind", "reading", "truck", fmt.Sprint("k", id)))
						sent.Add(1)
					}
				}
				select {
				case a := <-c.answers:
					if seen[a.ID] || a.Outcome == uint32(pb.Outcome_NO_ROUTE) {
						t.Errorf("answer %d %v, a duplicate or without a route", a.ID, pb.Outcome(a.Outcome))
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
	settings := [2]*orders.Settings{r.settingsWithRoutes(t, one), r.settingsWithRoutes(t, two)}
	clients.Go(func() { // reloads at the highest rate, so that a transaction routed by two tables would show
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				if err := r.s.Reload(settings[i%2]); err != nil {
					t.Error(err)
				}
				runtime.Gosched()
			}
		}
	})
	applied, refused := 0, 0
	for i := range 1000 {
		text := r.settingsText + []string{one, two}[i/2%2]
		if i%2 == 1 {
			text = r.settingsText + bad[i/2%len(bad)]
			if i%20 == 1 { // valid, but in conflict with the settings in use
				text = strings.Replace(r.settingsText, `"move"`, `"shift"`, 1) + one
			}
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		updated, err := orders.LoadUpdate(file, r.settings)
		if err == nil {
			err = r.s.Reload(updated)
		}
		r.s.RecordReload(updated, err)
		if err == nil {
			applied++
		} else {
			refused++
		}
		if (err == nil) != (i%2 == 0) {
			t.Fatalf("reload %d: %v", i, err)
		}
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d transactions, %d hand-offs, tables %v; %d reloads applied, %d refused", sent.Load(), handOffs, tables, applied, refused)
	if wrong > 0 || sent.Load() != answered.Load() {
		t.Errorf("%d hand-offs by two tables; %d transactions, %d answered", wrong, sent.Load(), answered.Load())
	}
	if tables[0] < 100 || tables[1] < 100 || handOffs <= len(by) {
		t.Errorf("too few events for this test to be meaningful: tables %v, %d hand-offs of %d transactions", tables, handOffs, len(by))
	}
}

func BenchmarkRouteTransaction(b *testing.B) {
	routeSet, err := routes.Parse("r.hcl", []byte("profile \"read\" {}\n"+attributesText+route("cold", "temp < celsius(8) && truck.startsWith('x')", "truck", "read")+
		route("all", "kind == kind.reading", "truck", "read")))
	if err != nil {
		b.Fatal(err)
	}
	r := newRouting(&orders.Settings{Routes: routeSet})
	s := &Sentry{}
	body := appendAttribute(appendAttribute(textAttributes("kind", "reading", "truck", "0123456789abcdef"), "temp", match.RawValue{Kind: match.Measure, Float: 4, Unit: "celsius"}),
		"legs", match.RawValue{Kind: match.List, Items: []match.RawValue{{Kind: match.Int, Int: 4}, {Kind: match.Int, Int: 9}}})
	var e event
	b.ReportAllocs()
	for b.Loop() {
		if err := s.routeTransaction(r, &e, body); err != nil || e.noRouteReason != 0 {
			b.Fatal(err, e.noRouteReason)
		}
	}
}
