package match

import (
	"fmt"
	"strings"
	"testing"
)

// Named expressions mean what they stand for, wherever they are used; a cycle, a taken name and a growth that doubles
// are refused.
func TestDefine(t *testing.T) {
	s, c := checker(t, 20_000)
	if faults := c.Define([]Definition{{"cold_reefer", `reefer && cold`}, {"cold", `temp < celsius(4)`}, {"reefer", `class == truck.reefer`},
		{"warm_stop", `stops.exists(x, x == depot && temps.exists(y, y > temp))`}, {"label", `id + "/" + kind`},
		{"tagged", `tags.exists(a1, a1 == "x")`}, {"twice", `tagged && tagged`}, {"three_deep", `temps.exists(a, temps.exists(b, tags.exists(d, a < b)))`}}); len(faults) > 0 {
		t.Fatal(faults)
	}
	r := s.NewRecord()
	fill(t, s, r, map[string]any{"depot": "kingston", "class": "reefer", "temp": 3.0, "id": "a", "kind": "b",
		"stops": []any{"may_pen", "kingston"}, "temps": []any{2.0, 5.0}})
	for text, want := range map[string]bool{`cold_reefer`: true, `cold_reefer && urgent`: false, `label == "a/b"`: true,
		`tags.all(z, warm_stop)`: false, `stops.all(z, warm_stop)`: true, `stops.exists(z, z == site.kingston && warm_stop && z == depot)`: true} {
		p, err := c.Predicate(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		if ref, steps := p.Interpret(r); p.Holds(r) != want || ref != want || steps > p.Cost {
			t.Errorf("%s: %v, by the reference %v, expected %v, %d steps of %d", text, p.Holds(r), ref, want, steps, p.Cost)
		}
	}
	if _, err := c.Predicate(`temps.exists(x, temps.exists(y, three_deep))`); err == nil || !strings.Contains(err.Error(), "three_deep: ") {
		t.Errorf("a named loop goes deeper than loops may: %v", err)
	}
	tab, faults := table(c, []Route{{Name: "a", When: `cold && depot == site.kingston`}, {Name: "b", When: `depot == site.kingston && cold_reefer`},
		{Name: "c", When: `temp > celsius(8) || !(id == "b" && urgent)`}})
	if len(faults) > 0 || len(tab.Unreachable) != 1 || tab.Unreachable[0] != (UnreachableRoute{1, 0}) {
		t.Fatal(faults, tab)
	}
	fill(t, s, r, map[string]any{"temp": 6.0})
	if got := fmt.Sprint(tab.Misses(r, tab.FirstMatch(r))); tab.FirstMatch(r) != 2 ||
		got != "[{0 cold temp is celsius(6)} {1 cold temp is celsius(6)}]" {
		t.Errorf("route %d, misses %s", tab.FirstMatch(r), got)
	}
	if text := tab.when[2].tree.text(true); text != `(celsius(8) < temp) || !((id == "b") && urgent)` {
		t.Error(text)
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
		{[]Definition{{"urgent", "true"}}, "a name that is taken"}, {[]Definition{{"site", "true"}}, "a name that is taken"},
		{[]Definition{{"celsius", "true"}}, "a name that is taken"}, {[]Definition{{"a", "true"}, {"a", "true"}}, "a name that is taken"},
		{[]Definition{{"a-b", "true"}}, "a name that is taken or none"}, {[]Definition{{"a", "urgent && "}}, "a: 1:11: Syntax error"},
		{[]Definition{{"cold", "true"}, {"x", `tags.exists(cold, cold == "a")`}}, "found cold for an element"},
		{[]Definition{{"аge", "true"}}, "a name that is taken or none"}, // the first letter is Cyrillic
	} {
		_, c := checker(t, 2_000)
		if got := fmt.Sprint(c.Define(x.all)); !strings.Contains(got, x.want) {
			t.Errorf("%v: %.300s, expected %q", x.all[0], got, x.want)
		}
	}
}
