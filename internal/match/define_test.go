package match

import (
	"fmt"
	"strings"
	"testing"
)

// A definition means the same as its expression wherever it is used. Cycles, names that are declared already and
// definitions whose cost grows exponentially are refused.
func TestDefine(t *testing.T) {
	s, c := testCompiler(t, 20_000)
	if errs := c.Define([]Definition{{"cold_reefer", `reefer && cold`}, {"cold", `temp < celsius(4)`}, {"reefer", `class == truck.reefer`},
		{"warm_stop", `stops.exists(x, x == depot && temps.exists(y, y > temp))`}, {"label", `id + "/" + kind`},
		{"tagged", `tags.exists(a1, a1 == "x")`}, {"twice", `tagged && tagged`}, {"three_deep", `temps.exists(a, temps.exists(b, tags.exists(d, a < b)))`}}); len(errs) > 0 {
		t.Fatal(errs)
	}
	r := s.NewRecord()
	putValues(t, s, r, map[string]any{"depot": "kingston", "class": "reefer", "temp": 3.0, "id": "a", "kind": "b",
		"stops": []any{"may_pen", "kingston"}, "temps": []any{2.0, 5.0}})
	for source, want := range map[string]bool{`cold_reefer`: true, `cold_reefer && urgent`: false, `label == "a/b"`: true,
		`tags.all(z, warm_stop)`: false, `stops.all(z, warm_stop)`: true, `stops.exists(z, z == site.kingston && warm_stop && z == depot)`: true} {
		p, err := c.Predicate(source)
		if err != nil {
			t.Errorf("%s: %v", source, err)
			continue
		}
		if ref, steps := p.Interpret(r); p.Holds(r) != want || ref != want || steps > p.Cost {
			t.Errorf("%s: %v, by the reference %v, expected %v, %d steps of %d", source, p.Holds(r), ref, want, steps, p.Cost)
		}
	}
	if _, err := c.Predicate(`temps.exists(x, temps.exists(y, three_deep))`); err == nil || !strings.Contains(err.Error(), "three_deep: ") {
		t.Errorf("a definition exceeds the nesting limit of loops where it is used, error %v", err)
	}
	routes, errs := compileTable(c, []Route{{Name: "a", When: `cold && depot == site.kingston`}, {Name: "b", When: `depot == site.kingston && cold_reefer`},
		{Name: "c", When: `temp > celsius(8) || !(id == "b" && urgent)`}})
	if len(errs) > 0 || len(routes.Unreachable) != 1 || routes.Unreachable[0] != (UnreachableRoute{1, 0}) {
		t.Fatal(errs, routes)
	}
	putValues(t, s, r, map[string]any{"temp": 6.0})
	if got := fmt.Sprint(routes.Misses(r, routes.FirstMatch(r))); routes.FirstMatch(r) != 2 ||
		got != "[{0 cold temp is celsius(6)} {1 cold temp is celsius(6)}]" {
		t.Errorf("route %d, misses %s", routes.FirstMatch(r), got)
	}
	if source := routes.predicates[2].tree.source(true); source != `(celsius(8) < temp) || !((id == "b") && urgent)` {
		t.Error(source)
	}

	doubled := []Definition{{"d0", `id == "x" && kind == "y"`}}
	for i := 1; i < 40; i++ {
		doubled = append(doubled, Definition{fmt.Sprint("d", i), fmt.Sprintf("d%d || d%d", i-1, i-1)})
	}
	for _, x := range []struct {
		all  []Definition
		want string
	}{
		{[]Definition{{"a", "b && urgent"}, {"b", "c"}, {"c", "!a"}}, "a: 1:1: found a cycle, a -> b -> c -> a"},
		{[]Definition{{"a", "a"}}, "found a cycle, a -> a"}, {doubled, "most of it in d"},
		{[]Definition{{"urgent", "true"}}, "a name that is declared already"}, {[]Definition{{"site", "true"}}, "a name that is declared already"},
		{[]Definition{{"celsius", "true"}}, "a name that is declared already"}, {[]Definition{{"a", "true"}, {"a", "true"}}, "a name that is declared already"},
		{[]Definition{{"a-b", "true"}}, "a name that is declared already or invalid"}, {[]Definition{{"a", "urgent && "}}, "a: 1:11: Syntax error"},
		{[]Definition{{"cold", "true"}, {"x", `tags.exists(cold, cold == "a")`}}, "found cold for an element"},
		{[]Definition{{"аge", "true"}}, "a name that is declared already or invalid"}, // the first letter is Cyrillic
	} {
		_, c := testCompiler(t, 2_000)
		if got := fmt.Sprint(c.Define(x.all)); !strings.Contains(got, x.want) {
			t.Errorf("%v: %.300s, expected %q", x.all[0], got, x.want)
		}
	}
}
