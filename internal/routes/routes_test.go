package routes

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"scalechute/internal/hclread"
)

// languageFile returns the reference file of the language. The tests change it to produce errors.
func languageFile(t testing.TB) string {
	data, err := os.ReadFile("../../docs/language.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// parseChanged parses the reference file with one text replaced and returns the line of the change.
func parseChanged(t *testing.T, old, new string) (*RouteSet, int, error) {
	t.Helper()
	before, after, found := strings.Cut(languageFile(t), old)
	if !found {
		t.Fatalf("%q is not in the file", old)
	}
	routeSet, err := Parse("r.hcl", []byte(before+new+after))
	return routeSet, strings.Count(before, "\n") + 1, err
}

// The cases of the reference file pass, and each way in which a case can fail is reported.
func TestCases(t *testing.T) {
	routeSet, _, err := parseChanged(t, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if failures := routeSet.RunCases(); len(failures) > 0 || len(routeSet.Warnings) > 0 {
		t.Error(failures, routeSet.Warnings)
	}
	nowhere := "with  = { depot = \"kingston\", urgent = true }\n  route = \"none\""
	for _, x := range [][3]string{
		{`key   = "u/t"`, `key = "u"`, `case "urgent": found key "u/t", expected "u"`},
		{`temp = "5 celsius"`, `temp = "4 celsius"`, `found route missing, expected units: celsius(5) <= temp does not hold: temp is celsius(4)`},
		{`misfits = ["id", "temp", "stops"]`, `misfits = ["id", "stops"]`, `temp: found a figure in "kelvin", expected a unit of temperature`},
		{`misfits = ["id", "temp", "stops"]`, `misfits = ["id", "temp", "stops", "size"]`, `the value of size fits its type, expected a mismatch`},
		{nowhere, "with = { depot = \"moon\" }\n route = \"none\"", `depot: found "moon", expected a member of depot`},
		{nowhere, "with = { depot = \"kingston\", age = \"long\" }\n route = \"missing\"", `age: found "long", expected a span`},
		{nowhere, "with = { depot = \"kingston\", colour = 1 }\n route = \"missing\"", `found attribute "colour"`},
		{nowhere, "with = { size = 1 }\n route = \"spans\"", `expected spans: depot must be there and is missing`},
		{nowhere, "with = { depot = \"kingston\", size = 1, id = \"x1\" }\n route = \"membership\"",
			`found route comparison, expected membership, which matches too but comes later`},
		{nowhere, "with = { depot = \"kingston\", urgent = true }\n route = \"nine\"", `found route none, expected nine`},
	} {
		routeSet, _, err := parseChanged(t, x[0], x[1])
		if err != nil {
			t.Fatalf("%s: %v", x[1], err)
		}
		if got := strings.Join(routeSet.RunCases(), "\n"); !strings.Contains(got, x[2]) {
			t.Errorf("%s: %s, expected %s", x[1], got, x[2])
		}
	}
}

// Errors in expressions are reported with their position in the file, for every form of HCL string, and all at once.
func TestFaults(t *testing.T) {
	for _, x := range []struct {
		old, new string
		column   int // 0: not checked
		want     string
	}{
		{`  is = "temp < celsius(8)"`, `  is = "temp < depot"`, 14, "is: found no matching overload"},
		{`  when    = "size in`, `  when = "depot == depot.moon && size in`, 25, "when: found a member that depot does not have, expected one of kingston, mandeville, may_pen"},
		{`      && !urgent`, `      && urgent == 3`, 17, "when: found no matching overload"},
		{`  key     = "(urgent ? 'u/' : 'n/') + id"`, `  key     = "id == \"n\\\"\u00e9\" ? id : age"`, 36, "key: found no matching overload"},
		{`profile = "reading"`, `profile = "x"`, 0, `profile: found "x", expected one of reading, delivery`},
		{`account = "own"`, `account = "x"`, 0, `account: found "x", expected one of own, partner`},
		{`route "membership"`, `route "comparison"`, 1, `route comparison, expected a name that no other route has`},
		{`type = "depot"`, `type = "dept"`, 0, `type: found "dept", expected one of text, whole, flag, span, depot, temperature, weight`},
		{`set "depot"`, `set "span"`, 1, `set span, expected a name that no other type has`},
		{`"mandeville", "may_pen"]`, `"mandeville", "kingston"]`, 0, `attributes: attribute depot: set depot: member "kingston"`},
		{`unit "kg" {}`, "unit \"kg\" {\n scale = 2\n}", 0, `values are stored in the first unit`},
		{`cost_limit = 600`, `cost_limit = 3`, 0, `found a cost of`}, {`cost_limit = 600`, `cost_limit = 0`, 0, `cost_limit: found 0`},
		{`most           = 32`, `most = 2000`, 0, `found a key of up to 2000 bytes, expected at most 1024`},
		{`let "cold" {`, `let "temp" {`, 0, `is: found a name that is declared already`},
		{`  is = "temp < celsius(8)"`, `  is = "!cold"`, 9, "is: found a cycle, cold -> cold"},
		{`matching {`, `matchin {`, 1, `block matchin: unknown in the file`}, {`list           = 6`, `list = 0`, 0, `list: found 0`},
		{`with  = { size = 1 }`, `with = { temp = { a = 1 } }`, 0, `with: found a value of type object as temp`}, {`with  = { size = 1 }`, `with = 3`, 0, `with: found 3`},
	} {
		_, line, err := parseChanged(t, x.old, x.new)
		want := x.want
		if x.column > 0 {
			want = fmt.Sprintf("r.hcl:%d:%d: %s", line, x.column, x.want)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v\nexpected %s", x.new, err, want)
		}
	}
	two := strings.NewReplacer("size == 1", "sise == 1", "age > span", "agee > span").Replace(languageFile(t))
	if _, err := Parse("r.hcl", []byte(two)); err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("two errors, reported as %v", err)
	}
	for _, text := range []string{"", "profile \"a\" {}\n", "case \"a\" {\n with = {}\n route = \"none\"\n}", "route \"a\" {\n when = \"true\"\n key = \"'a'\"\n profile = \"p\"\n}"} {
		if routeSet, err := Parse("r.hcl", []byte(text)); (err == nil) != strings.HasPrefix(text, "case") {
			t.Errorf("%q: %v, %v", text, routeSet, err)
		}
	}
}

// Warnings, the explanation of a match and the explanation of costs have the expected lines.
func TestOutput(t *testing.T) {
	unreachable := "route \"older\" {\n  when    = \"urgent && age > span('2m')\"\n  key     = \"id\"\n  profile = \"reading\"\n}\n"
	routeSet, line, err := parseChanged(t, `route "loops"`, unreachable+`route "loops"`)
	if err != nil {
		t.Fatal(err)
	}
	if len(routeSet.Warnings) != 1 || !strings.HasPrefix(routeSet.Warnings[0], fmt.Sprintf("r.hcl:%d: route older is never reached: all that it matches goes to route spans (r.hcl:", line)) {
		t.Errorf("the unreachable route is reported as %q", routeSet.Warnings)
	}
	var out bytes.Buffer
	r, mismatches := routeSet.ParseRecord([]hclread.Pair{{Name: "depot", Values: []string{"may_pen"}}, {Name: "age", Values: []string{"2m"}}, {Name: "id", Values: []string{"x"}}})
	routeSet.WriteMatch(&out, r, 1)
	for _, want := range []string{"route spans (r.hcl:", "): profile reading, account none, key \"x\"\n  4 earlier", "the last 1:\n  not units (r.hcl:", "does not hold: load is missing\n"} {
		if !strings.Contains(out.String(), want) || len(mismatches) > 0 {
			t.Errorf("%v %s\nexpected in it: %s", mismatches, out.String(), want)
		}
	}
	out.Reset()
	routeSet.WriteExplanation(&out, 2)
	for _, want := range []string{"9 attributes, 3 named expressions", "let cold        3 steps", "10 routes; were all", "those that cost most", "by range   in 1 routes"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s\nexpected in it: %s", out.String(), want)
		}
	}
}

// No file makes reading, running its cases or explaining it panic.
func FuzzParse(f *testing.F) {
	f.Add(languageFile(f))
	f.Add("let \"a\" {\n is = <<-EOT\n  b\n EOT\n}")
	f.Fuzz(func(t *testing.T, text string) {
		routeSet, err := Parse("f.hcl", []byte(text))
		if err != nil {
			return
		}
		_ = routeSet.RunCases()
		routeSet.WriteExplanation(io.Discard, 5)
	})
}
