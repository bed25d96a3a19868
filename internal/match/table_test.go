package match

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Whatever the routes, the index answers as trying each in turn by the reference does; a covered route is never it.
func TestFirstIsTheFirst(t *testing.T) {
	s, c := checker(t, math.MaxInt32)
	r := s.NewRecord()
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(0, 90).Draw(t, "routes") {
			parts := []string{texts(t, rapid.IntRange(0, 1).Draw(t, "depth"), nil)}
			for range rapid.IntRange(0, 2).Draw(t, "more") {
				parts = append(parts, texts(t, 0, nil))
			}
			routes = append(routes, Route{Name: fmt.Sprint(i), When: strings.Join(parts, " && "), Key: "id"})
		}
		tab, faults := table(c, routes)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		covered := map[int]bool{}
		for _, x := range tab.Unreachable {
			if covered[x.Route] = true; x.CoveredBy >= x.Route {
				t.Fatalf("%+v", x)
			}
		}
		for range 8 {
			draw(t, s, r)
			want := -1
			for i, p := range tab.when {
				if holds, _ := p.Interpret(r); holds {
					want = i
					break
				}
			}
			if got := tab.FirstMatch(r); got != want || covered[got] {
				t.Fatalf("route %d, by the reference %d, covered %v, of %+v\n%v", got, want, covered[got], r.values, routes)
			}
			var key []byte
			if want >= 0 {
				key = tab.AppendKey(want, nil, r)
			}
			for at, needed := range tab.Needs { // without what it says it does not need, it answers the same
				if !needed {
					r.values[at] = Value{}
				}
			}
			if got := tab.FirstMatch(r); got != want || got >= 0 && !bytes.Equal(key, tab.AppendKey(got, nil, r)) {
				t.Fatalf("route %d without what is not needed, %d with it\n%v", got, want, routes)
			}
		}
	})
}

func table(c *Compiler, routes []Route) (*Table, []error) {
	var all []*CompiledRoute
	var faults []error
	for _, r := range routes {
		x, err := c.CompileRoute(r)
		if err != nil {
			faults = append(faults, err)
		}
		all = append(all, x)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return NewTable(c, all), nil
}

func TestCovers(t *testing.T) {
	_, c := checker(t, 10_000)
	for _, x := range []struct {
		first, second string
		covers        bool
	}{
		{`true`, `urgent`, true}, {`urgent`, `urgent`, true}, {`urgent`, `urgent && size > 3`, true}, {`urgent && size > 3`, `urgent`, false},
		{`size > 3`, `size > 4`, true}, {`size > 3`, `size >= 3`, false}, {`size >= 3`, `size > 3`, true}, {`size > 3`, `size < 9`, false},
		{`depot in [site.kingston, site.may_pen]`, `depot == site.may_pen`, true}, {`depot == site.may_pen`, `depot in [site.kingston, site.may_pen]`, false},
		{`id.startsWith("dr")`, `id.startsWith("drop")`, true}, {`id.startsWith("dr")`, `id == "drop"`, true}, {`id.startsWith("drop")`, `id.startsWith("dr")`, false},
		{`temp < celsius(8)`, `temp < fahrenheit(40)`, true}, {`temp < celsius(8)`, `temp < fahrenheit(50)`, false}, {`depot == home`, `depot == home && urgent`, true},
		{`home == site.kingston`, `depot == site.kingston`, false}, {`age < span("1m")`, `age < span("10s")`, true}, {`!urgent`, `urgent`, false},
		{`size > 9007199254740993`, `size > 9007199254740992`, false},
	} {
		tab, faults := table(c, []Route{{Name: "a", When: x.first}, {Name: "b", When: x.second}})
		if len(faults) > 0 || (len(tab.Unreachable) == 1) != x.covers {
			t.Errorf("%s, then %s: covered %v, expected %v %v", x.first, x.second, tab.Unreachable, x.covers, faults)
		}
	}
	_, faults := table(c, []Route{{Name: "a", When: "urgnt"}, {Name: "b", When: "urgent", Key: "size"}, {Name: "c", When: "urgent"}})
	if len(faults) != 2 || !strings.Contains(faults[0].Error(), "route a, when: 1:1: undeclared reference to 'urgnt'") ||
		!strings.Contains(faults[1].Error(), "route b, key: 1:1: found a whole number, expected a text") {
		t.Errorf("%v", faults)
	}
}
