package match

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	site        = &Type{Kind: Enum, Name: "site", Members: []string{"kingston", "mandeville", "may_pen"}}
	truck       = &Type{Kind: Enum, Name: "truck", Members: []string{"reefer", "van"}}
	temperature = &Type{Kind: Measure, Name: "temperature", Units: []Unit{{"celsius", 1, 0}, {"fahrenheit", 5. / 9, -160. / 9}}}
	weight      = &Type{Kind: Measure, Name: "weight", Units: []Unit{{"kg", 1, 0}, {"tonne", 1000, 0}}}
)

func testSchema(t testing.TB) *Schema {
	s, err := NewSchema([]Attribute{
		{"depot", site, false}, {"home", site, true}, {"class", truck, true}, {"temp", temperature, true}, {"load", weight, true},
		{"id", &Type{Kind: Text, MaxLength: 64}, true}, {"kind", &Type{Kind: Text, MaxLength: 16}, true}, {"size", &Type{Kind: Int}, true},
		{"urgent", &Type{Kind: Bool}, true}, {"age", &Type{Kind: Duration}, true},
		{"temps", &Type{Kind: List, MaxLength: 20, Element: temperature}, true}, {"stops", &Type{Kind: List, MaxLength: 10, Element: site}, true},
		{"tags", &Type{Kind: List, MaxLength: 8, Element: &Type{Kind: Text, MaxLength: 16}}, true},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// rawValue converts a Go value to the value that a client would send.
func rawValue(v any) RawValue {
	switch x := v.(type) {
	case string:
		return RawValue{Kind: Text, Text: x}
	case int64:
		return RawValue{Kind: Int, Int: x}
	case float64:
		return RawValue{Kind: Measure, Float: x}
	case bool:
		if x {
			return RawValue{Kind: Bool, Int: 1}
		}
		return RawValue{Kind: Bool}
	case time.Duration:
		return RawValue{Kind: Duration, Int: x.Microseconds()}
	}
	list := RawValue{Kind: List}
	for _, e := range v.([]any) {
		list.Items = append(list.Items, rawValue(e))
	}
	return list
}

func putValue(s *Schema, r *Record, attribute string, v any) error {
	slot, raw := s.Slot([]byte(attribute)), rawValue(v)
	if slot < 0 {
		return fmt.Errorf("%s is not declared", attribute)
	}
	return s.Put(r, slot, &raw)
}

func putValues(t testing.TB, s *Schema, r *Record, values map[string]any) {
	t.Helper()
	for name, v := range values {
		if err := putValue(s, r, name, v); err != nil {
			t.Fatal(err)
		}
	}
}

func testCompiler(t testing.TB, costLimit int64) (*Schema, *Compiler) {
	s := testSchema(t)
	c, err := NewCompiler(s, costLimit)
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

// A predicate has the expected value, in its compiled form and by the reference interpreter, and takes no more steps than
// its worst-case cost.
func TestHolds(t *testing.T) {
	s, c := testCompiler(t, 100_000)
	r := s.NewRecord()
	putValues(t, s, r, map[string]any{"depot": "kingston", "class": "reefer", "temp": 8.0, "id": "drop-17", "size": int64(12),
		"urgent": true, "age": 90 * time.Second, "temps": []any{2.0, 3.5, 9.0}, "stops": []any{"kingston", "may_pen"}, "tags": []any{"a", "b"}})
	for source, want := range map[string]bool{
		`depot == site.kingston`: true, `depot != site.kingston`: false, `depot == home`: false, `!(depot == home)`: true,
		`home != site.kingston`: false, `given(home)`: false, `given(class)`: true,
		`depot in [site.kingston, site.may_pen]`: true, `depot in [site.mandeville]`: false, `class == truck.van`: false,
		`temp > celsius(7.9)`: true, `temp < celsius(8)`: false, `temp >= fahrenheit(46.4)`: true, `temp >= fahrenheit(46.5)`: false,
		`load < tonne(1)`: false, `load >= tonne(1)`: false, `id.startsWith("drop-")`: true, `id.startsWith("drop-17x")`: false,
		`id == "drop-17"`: true, `kind == ""`: false, `id in ["a", "drop-17"]`: true, `size >= 12 && size < 13`: true, `size == -12`: false,
		`size in [1, 12]`: true, `urgent`: true, `!urgent || size > 100`: false, `age > span("1m")`: true, `age == span("90s")`: true,
		`temps.exists(x, x > celsius(8))`: true, `temps.all(x, x > celsius(8))`: false, `temps.all(x, x > celsius(1))`: true,
		`stops.exists(x, x == depot)`: true, `stops.exists(x, temps.exists(y, y > temp && x == site.may_pen))`: true,
		`tags.exists(x, x == "b")`: true, `tags.all(x, x.startsWith("a"))`: false, `urgent ? size > 1 : size > 100`: true,
		`(urgent ? id : kind) == "drop-17"`: true, `id + "!" == "drop-17!"`: true, `hash(id) == hash("drop-17")`: true, `true`: true,
	} {
		p, err := c.Predicate(source)
		if err != nil {
			t.Errorf("%s: %v", source, err)
			continue
		}
		got := p.Holds(r)
		ref, steps := p.Interpret(r)
		if got != want || ref != want || steps > p.Cost {
			t.Errorf("%s: %v, by the reference %v, expected %v; %d steps of %d", source, got, ref, want, steps, p.Cost)
		}
	}
	k, err := c.Key(`depot == site.kingston ? "k-" + id + kind + hash(id) : id`)
	if err != nil {
		t.Fatal(err)
	}
	if got, ref := string(k.Append([]byte("> "), r)), ""; !strings.HasPrefix(got, "> k-drop-17") || len(got) != 27 {
		ref, _ = k.Interpret(r)
		t.Errorf("key %q, by the reference %q", got, ref)
	}
}

// An invalid expression fails the check, with a position and a message that says what was found.
func TestFaults(t *testing.T) {
	_, c := testCompiler(t, 5_000)
	nested := func(n int, open, close string) string {
		return strings.Repeat(open, n) + "urgent" + strings.Repeat(close, n)
	}
	doubling := `id`
	for range 12 {
		doubling = "(" + doubling + " + " + doubling + ")"
	}
	for _, x := range []struct{ text, want string }{
		{`temp == depot`, "1:6: found no matching overload for '_==_' applied to '(temperature, site)'"},
		{`depot == truck.van`, "1:7: found no matching overload for '_==_' applied to '(site, truck)'"},
		{`depot == site.moon`, "1:10: found a member that site does not have, expected one of kingston, mandeville, may_pen"},
		{`urgent && temp > kelvin(3)`, "1:24: undeclared reference to 'kelvin', expected one of age, celsius, class, depot, fahrenheit"},
		{`temp > 8`, "'(temperature, int)', expected operands of one type; a value of temperature is written as celsius(...), fahrenheit(...)"},
		{`temp > kg(8)`, "no matching overload for '_>_' applied to '(temperature, weight)'"}, {`size == "a"`, "no matching overload"},
		{`depot < home`, "no matching overload"}, {`cargo == 1`, "undeclared reference to 'cargo'"}, {`size`, "found a whole number, expected true or false"},
		{`size + 1 == 2`, "no matching overload"}, {`size / 0 == 1`, "undeclared reference to '_/_'"}, {`id.matches("a*")`, "undeclared reference to 'matches'"},
		{`temps == temps`, "found a comparison of lists"}, {`[1].exists(x, x == 1)`, "an expression that the language does not support"},
		{`size in [size]`, "an expression in a list, expected constants"}, {`temp > celsius(1e999)`, "invalid double literal"}, {`temp > celsius(-1e308 )  && temp < fahrenheit(1e308) && size == 99999999999999999999`, "invalid int literal"},
		{`given(hash(id))`, "given of something other than an attribute"}, {`age > span(id)`, "invalid span, expected a constant such as"}, {`age > span("1 day")`, "invalid span, expected a constant such as"},
		{`age > span("1ns")`, "in whole microseconds"}, {`size == -(-9223372036854775808)`, "outside the range of 64-bit whole numbers"}, {`size == -9223372036854775808`, ""},
		{`load > tonne(1e306)`, "expected a finite number"}, {`load > tonne(1e305)`, ""},
		{"urgent\x00", "found NUL"}, {"urgent && \xff", "invalid UTF-8"}, {`uгgent`, "Syntax error"}, {``, "Syntax error"},
		{nested(100_000, "(", ")"), "1:1: expression code point size exceeds limit"}, {nested(100_000, "!", ""), "exceeds limit"},
		{nested(10_000, "(", ")"), "recursion"}, {nested(10_000, "!(", ")"), "recursion"}, {nested(60, "!(", ")"), ""},
		{strings.Repeat("urgent || ", 110_000) + "urgent", "exceeds limit"}, {doubling + ` == "a"`, "found a text of up to"},
		{`temps.exists(a, temps.exists(b, temps.exists(c, a > b && b > c)))`, "most of it in temps.exists(element1, temps.exists("},
		{`stops.exists(a, stops.exists(b, stops.exists(c, stops.exists(d, stops.exists(e, a == b)))))`, "nested deeper than 4"},
		{`{"a": 1}.a == 1`, "an expression that the language does not support"}, {`urgent.foo`, "1:7"}, {`1.5 == 1.5`, ""},
	} {
		_, err := c.Predicate(x.text)
		short := x.text[:min(80, len(x.text))]
		if x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%s: %v, expected %q", short, err, x.want)
		}
	}
	for _, bad := range [][]Attribute{
		{{"a b", &Type{Kind: Bool}, true}}, {{"a", &Type{Kind: Bool}, true}, {"a", &Type{Kind: Bool}, true}}, {{"a", &Type{Kind: Text}, true}},
		{{"a", &Type{Kind: Enum, Name: "s"}, true}}, {{"a", &Type{Kind: Measure, Name: "m", Units: []Unit{{"u", 0, 0}}}, true}},
		{{"a", &Type{Kind: List, MaxLength: 3, Element: &Type{Kind: List, MaxLength: 3, Element: &Type{Kind: Bool}}}, true}},
		{{"a", site, true}, {"b", &Type{Kind: Enum, Name: "site", Members: []string{"x"}}, true}},
	} {
		if _, err := NewSchema(bad); err == nil {
			t.Errorf("accepted: %+v", bad)
		}
	}
}

// A value that does not fit its type is refused with a short error and left missing. The other values of the record stay.
func TestHostileRecords(t *testing.T) {
	s, c := testCompiler(t, 1000)
	p, err := c.Predicate(`urgent && !(id == "x") && !(temp < celsius(1))`)
	if err != nil {
		t.Fatal(err)
	}
	r := s.NewRecord()
	putValues(t, s, r, map[string]any{"urgent": true})
	for i := range 10_000 {
		if putValue(s, r, fmt.Sprint("a", i), "x") == nil {
			t.Fatal("an undeclared attribute was accepted")
		}
	}
	for name, v := range map[string]any{"id": strings.Repeat("x", 10<<20), "temp": math.NaN(), "load": math.Inf(1), "size": "12",
		"depot": "moon", "kind": int64(3), "temps": []any{"x"}, "stops": []any{"kingston", int64(3)}, "age": int64(5), "class": false, "tags": slices.Repeat([]any{"a"}, 21)} {
		if err := putValue(s, r, name, v); err == nil || len(err.Error()) > 200 {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, bad := range []struct {
		attribute string
		v         RawValue
	}{{"temp", RawValue{Kind: Measure, Float: 3, Unit: "kelvin"}}, {"load", RawValue{Kind: Measure, Float: 1e308, Unit: "tonne"}},
		{"stops", RawValue{Kind: List, Items: []RawValue{{Kind: List}}}}} {
		if err := s.Put(r, s.Slot([]byte(bad.attribute)), &bad.v); err == nil {
			t.Errorf("accepted: %+v", bad)
		}
	}
	if s.MissingRequired(r) != s.Slot([]byte("depot")) {
		t.Error("MissingRequired does not report the missing attribute")
	}
	if !p.Holds(r) {
		t.Error("a comparison with a missing attribute is true")
	}
}

// drawExpression draws expressions, most of which are valid.
func drawExpression(t *rapid.T, depth int, elements []string) string {
	pick := func(of ...string) string { return rapid.SampledFrom(of).Draw(t, "atom") }
	if depth <= 0 {
		sites := append([]string{"depot", "home", "site.kingston", "site.may_pen"}, elements...)
		return pick(
			pick(sites...)+pick(" == ", " != ")+pick(sites...), "depot in [site.kingston, site.mandeville]", "urgent", "given(home)",
			pick("temp", "celsius(8)", "fahrenheit(40)")+pick(" < ", " <= ", " > ", " >= ", " == ")+pick("temp", "celsius(4.5)"),
			pick("size", "3")+pick(" < ", " == ", " >= ", " != ")+pick("size", "-2", "7"), "size in [1, 2, 3]",
			pick("id", "kind", `"drop"`, `id + kind`, `hash(id)`, `(urgent ? id : kind)`)+pick(" == ", " != ", " < ", " <= ")+pick("id", `"drop"`, "kind"),
			`id.startsWith(kind)`, `id in ["drop", "a"]`, `age > span("1m")`, `temps.all(x, x < celsius(6))`, `tags.exists(x, x == kind)`)
	}
	subexpression := func() string { return drawExpression(t, depth-1, elements) }
	switch rapid.IntRange(0, 5).Draw(t, "form") {
	case 0:
		return "(" + subexpression() + " && " + subexpression() + ")"
	case 1:
		return "(" + subexpression() + " || " + subexpression() + ")"
	case 2:
		return "!(" + subexpression() + ")"
	case 3:
		return "(" + subexpression() + " ? " + subexpression() + " : " + subexpression() + ")"
	case 4:
		x := fmt.Sprint("e", len(elements))
		return "stops." + pick("exists", "all") + "(" + x + ", " + drawExpression(t, depth-1, append(elements[:len(elements):len(elements)], x)) + ")"
	}
	return subexpression()
}

func drawRecord(t *rapid.T, s *Schema, r *Record) {
	r.Clear()
	for _, a := range s.Attributes {
		if rapid.IntRange(0, 3).Draw(t, "missing") == 0 {
			continue
		}
		if err := putValue(s, r, a.Name, drawValue(t, a.Type)); err != nil {
			t.Fatal(err)
		}
	}
}

func drawValue(t *rapid.T, valueType *Type) any {
	switch valueType.Kind {
	case Text:
		return rapid.SampledFrom([]string{"", "a", "drop", "drop-17", "dropdrop"}).Draw(t, "text")
	case Int:
		return rapid.Int64Range(-3, 8).Draw(t, "whole")
	case Bool:
		return rapid.Bool().Draw(t, "flag")
	case Duration:
		return time.Duration(rapid.IntRange(0, 3).Draw(t, "span")) * time.Minute
	case Measure:
		return float64(rapid.IntRange(0, 20).Draw(t, "figure")) / 2
	case Enum:
		return rapid.SampledFrom(valueType.Members).Draw(t, "member")
	}
	var list []any
	for range rapid.IntRange(0, 4).Draw(t, "n") {
		list = append(list, drawValue(t, valueType.Element))
	}
	return list
}

// The compiled form and the reference interpreter give the same result for every expression and record, and the
// interpreter takes no more steps than the worst-case cost.
func TestCompiledIsTheReference(t *testing.T) {
	s, c := testCompiler(t, math.MaxInt32)
	r, checked := s.NewRecord(), 0
	var costRatios []float64 // of each expression: max steps of its records / worst-case cost
	rapid.Check(t, func(t *rapid.T) {
		source := drawExpression(t, rapid.IntRange(0, 3).Draw(t, "depth"), nil)
		p, err := c.Predicate(source)
		if err != nil {
			if strings.Contains(err.Error(), "nested deeper") {
				t.Skip()
			}
			t.Fatalf("%s: %v", source, err)
		}
		maxSteps := int64(0)
		for range 5 {
			drawRecord(t, s, r)
			want, steps := p.Interpret(r)
			maxSteps = max(maxSteps, steps)
			if got := p.Holds(r); got != want || steps > p.Cost {
				t.Fatalf("%s of %+v: %v, by the reference %v; %d steps, bound %d", source, r.values, got, want, steps, p.Cost)
			}
			checked++
		}
		costRatios = append(costRatios, float64(maxSteps)/float64(p.Cost))
	})
	slices.Sort(costRatios)
	if n := len(costRatios); n > 0 {
		t.Logf("%d records of %d expressions; steps as a share of the bound: median %.2f, min %.3f, max %.2f", checked, n, costRatios[n/2],
			costRatios[0], costRatios[n-1])
	}
	if checked < 100 {
		t.Errorf("only %d records were tried", checked)
	}
}

// An expression that is split into conjuncts has the same conjuncts, cost and error as when it is checked as a whole.
func FuzzConjuncts(f *testing.F) {
	_, c := testCompiler(f, 10_000)
	for _, source := range []string{`urgent && size > 3 && (urgent || id == "a && b")`, `id == "a" && !urgent`, `urgent && kind == '"' && size in [1, 2]`,
		`urgent &&`, `&& urgent`, `urgent && (urgent`, `urgent && "`, `urgent && id == r"\\" && urgent`, `urgent && urgent // && size`,
		`urgent ? urgent : size > 3 && urgent`, `urgent && urgent ? urgent : urgent`, `urgent || urgent && urgent`, `urgent && """a""" == id`,
		"urgent && id == 'a\n' && urgent", `urgent && id.startsWith("a") && tags.exists(x, x == id && urgent)`, `urgent && size`, `urgent) && (urgent`,
		"id != \"0\" &&\vurgent", "urgent &&\u00a0urgent", "urgent &&\furgent\t&& size > 3\n"} {
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source string) {
		split, err := c.check(source)
		whole, wholeErr := c.checkWhole(source)
		if (err == nil) != (wholeErr == nil) || err != nil && err.Error() != wholeErr.Error() {
			t.Fatalf("%q: %v, whole %v", source, err, wholeErr)
		}
		if err != nil {
			return
		}
		sources := func(n *node) (all string) {
			for _, p := range flatten(n, opAnd, nil) {
				all += p.source(false) + "\n"
			}
			return all
		}
		if sources(split) != sources(whole) || split.cost != whole.cost || split.valueType.Kind != whole.valueType.Kind {
			t.Errorf("%q: split into %q, cost %d; whole %q, cost %d", source, sources(split), split.cost, sources(whole), whole.cost)
		}
	})
}

// The compiled form and the reference interpreter give the same result for any source that passes the check.
func FuzzPredicate(f *testing.F) {
	s, c := testCompiler(f, 10_000)
	r := s.NewRecord()
	for _, source := range []string{`depot == site.kingston && temps.exists(x, x > celsius(8))`, `urgent ? size > 1 : id + kind < "a"`, `size in [1]`} {
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source string) {
		p, err := c.Predicate(source)
		if err != nil {
			return
		}
		if want, steps := p.Interpret(r); p.Holds(r) != want || steps > p.Cost {
			t.Errorf("%q: %v, %d steps of %d", source, want, steps, p.Cost)
		}
	})
}
