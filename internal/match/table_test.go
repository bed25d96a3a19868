package match

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// For any routes, the index finds the same route as trying them in order with the reference interpreter, and never one
// that is listed as unreachable.
func TestFirstIsTheFirst(t *testing.T) {
	s, c := testCompiler(t, math.MaxInt32)
	r := s.NewRecord()
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(0, 90).Draw(t, "routes") {
			parts := []string{drawExpression(t, rapid.IntRange(0, 1).Draw(t, "depth"), nil)}
			for range rapid.IntRange(0, 2).Draw(t, "more") {
				parts = append(parts, drawExpression(t, 0, nil))
			}
			routes = append(routes, Route{Name: fmt.Sprint(i), When: strings.Join(parts, " && "), Key: "id"})
		}
		table, errs := compileTable(c, routes)
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		unreachable := map[int]bool{}
		for _, x := range table.Unreachable {
			if unreachable[x.Route] = true; x.CoveredBy >= x.Route {
				t.Fatalf("%+v", x)
			}
		}
		for range 8 {
			drawRecord(t, s, r)
			want := -1
			for i, p := range table.predicates {
				if holds, _ := p.Interpret(r); holds {
					want = i
					break
				}
			}
			if got := table.FirstMatch(r); got != want || unreachable[got] {
				t.Fatalf("route %d, by the reference %d, unreachable %v, of %+v\n%v", got, want, unreachable[got], r.values, routes)
			}
			var key []byte
			if want >= 0 {
				key = table.AppendKey(want, nil, r)
			}
			for slot, needed := range table.Needs { // attributes that are not needed do not change the result
				if !needed {
					r.values[slot] = Value{}
				}
			}
			if got := table.FirstMatch(r); got != want || got >= 0 && !bytes.Equal(key, table.AppendKey(got, nil, r)) {
				t.Fatalf("route %d without the attributes that are not needed, %d with them\n%v", got, want, routes)
			}
		}
	})
}

func compileTable(c *Compiler, routes []Route) (*Table, []error) {
	var compiled []*CompiledRoute
	var errs []error
	for _, r := range routes {
		x, err := c.CompileRoute(r)
		if err != nil {
			errs = append(errs, err)
		}
		compiled = append(compiled, x)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return NewTable(c, compiled), nil
}

// A route is unreachable if an earlier route certainly matches all that it matches. Errors name the route and the field.
func TestCovers(t *testing.T) {
	_, c := testCompiler(t, 10_000)
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
		table, errs := compileTable(c, []Route{{Name: "a", When: x.first}, {Name: "b", When: x.second}})
		if len(errs) > 0 || (len(table.Unreachable) == 1) != x.covers {
			t.Errorf("%s, then %s: covered %v, expected %v %v", x.first, x.second, table.Unreachable, x.covers, errs)
		}
	}
	_, errs := compileTable(c, []Route{{Name: "a", When: "urgnt"}, {Name: "b", When: "urgent", Key: "size"}, {Name: "c", When: "urgent"}})
	if len(errs) != 2 || !strings.Contains(errs[0].Error(), "route a, when: 1:1: undeclared reference to 'urgnt'") ||
		!strings.Contains(errs[1].Error(), "route b, key: 1:1: found a whole number, expected a text") {
		t.Errorf("%v", errs)
	}
}
