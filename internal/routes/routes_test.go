package routes

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"scalechute/internal/hclread"
)

const good = `
profile "reading" {}
profile "handover" {}
account "north" {}

matching {
  cost_limit = 500
}

set "depot" {
  members = ["kingston", "may_pen"]
}

measure "temperature" {
  unit "celsius" {}
  unit "fahrenheit" {
    scale  = 0.5555555555555556
    offset = -17.77777777777778
  }
}

attribute "at" {
  type = "depot"
}
attribute "temp" {
  type           = "temperature"
  may_be_missing = true
}
attribute "id" {
  type           = "text"
  most           = 16
  may_be_missing = true
}
attribute "age" {
  type           = "span"
  may_be_missing = true
}
attribute "stops" {
  type           = "depot"
  list           = 4
  may_be_missing = true
}

let "cold" {
  is = "temp < celsius(8)"
}

route "cold" {
  when    = "cold && at == depot.kingston"
  key     = "'c-' + id"
  profile = "reading"
  account = "north"
}
route "through" {
  when    = <<-EOT
    stops.exists(x, x == depot.may_pen)
      && age > span('1m')
  EOT
  key     = "given(id) ? id : \"none\""
  profile = "handover"
}
route "colder" {
  when    = "temp < celsius(4) && at == depot.kingston"
  key     = "id"
  profile = "reading"
}

case "in fahrenheit" {
  with  = { at = "kingston", temp = "41 fahrenheit", id = "a" }
  route = "cold"
  key   = "c-a"
}
case "a list" {
  with  = { at = "kingston", temp = 9, stops = ["kingston", "may_pen"], age = "61s" }
  route = "through"
  key   = "none"
}
case "too long" {
  with    = { at = "kingston", temp = 3.5, id = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" }
  route   = "cold"
  key     = "c-"
  misfits = ["id"]
}
case "nowhere" {
  with  = { at = "may_pen" }
  route = "none"
}
case "without what must be there" {
  with  = { temp = 1 }
  route = "none"
}
`

func parse(t *testing.T, change ...string) (*Book, error) {
	t.Helper()
	text := strings.NewReplacer(change...).Replace(good)
	if len(change) > 0 && text == good {
		t.Fatalf("%v changes nothing", change)
	}
	return Parse("r.hcl", []byte(text))
}

func TestCases(t *testing.T) {
	b, err := parse(t)
	if err != nil {
		t.Fatal(err)
	}
	if failed := b.Test(); len(failed) > 0 {
		t.Error(failed)
	}
	if want := "[r.hcl:62: route colder is never reached: all that it matches goes to route cold (r.hcl:48)]"; fmt.Sprint(b.Notes) != want {
		t.Error(b.Notes)
	}
	// Each kind of failure is seen.
	for _, x := range [][3]string{
		{`key   = "c-a"`, `key = "c-b"`, `r.hcl:68: case "in fahrenheit": found key "c-a", expected "c-b"`},
		{"\"in fahrenheit\" {\n  with  = { at = \"kingston\", temp = \"41", "\"in fahrenheit\" {\n  with  = { at = \"kingston\", temp = \"90",
			`found route none, expected cold: cold does not hold: temp is celsius(32.2`},
		{"misfits = [\"id\"]", "misfits = [\"id\"]\n}\ncase \"later\" {\n with = { at = \"kingston\", temp = 3 }\n route = \"colder\"",
			`found route cold, expected colder, which matches too but comes later`},
		{"with  = { at = \"may_pen\" }\n  route = \"none\"", "with = { at = \"may_pen\" }\n route = \"nine\"", `found route none, expected nine`},
		{`misfits = ["id"]`, ``, `case "too long": id: found 34 bytes, expected at most 16`},
		{`misfits = ["id"]`, `misfits = ["id", "temp"]`, `case "too long": temp fits`},
		{`with  = { temp = 1 }`, `with = { temp = "1 kelvin" }`, `temp: found a figure in "kelvin", expected a unit of temperature`},
		{`with  = { at = "may_pen" }`, `with = { at = "moon" }`, `at: found "moon", expected a member of depot`},
		{`with  = { at = "may_pen" }`, `with = { at = "may_pen", age = "long" }`, `age: found "long", expected a span`},
		{`with  = { at = "may_pen" }`, `with = { at = "may_pen", colour = 1 }`, `found attribute "colour"`},
		{"with  = { temp = 1 }\n  route = \"none\"", "with = { temp = 1 }\n  route = \"cold\"", `expected cold: at must be there and is missing`},
	} {
		b, err := parse(t, x[0], x[1])
		if err != nil {
			t.Fatalf("%s: %v", x[1], err)
		}
		if got := strings.Join(b.Test(), "\n"); !strings.Contains(got, x[2]) {
			t.Errorf("%s: %s, expected %s", x[1], got, x[2])
		}
	}
}

// Faults of expressions are told at their place in the file, whatever form of text they stand in, all of them at once.
func TestFaults(t *testing.T) {
	for _, x := range [][3]string{
		{`is = "temp < celsius(8)"`, `is = "temp < at"`, "r.hcl:45:14: is: found no matching overload"},
		{`when    = "cold && at == depot.kingston"`, `when = "cold && at == depot.moon"`,
			"r.hcl:49:25: when: found a member that depot does not have, expected one of kingston, may_pen"},
		{"      && age > span('1m')", "      && age > 3", "r.hcl:57:14: when: found no matching overload"},
		{`given(id) ? id : \"none\"`, `id == \"n\\\"\u00e9\" ? id : age`, `r.hcl:59:36: key: found no matching overload`},
		{`profile = "handover"`, `profile = "x"`, `profile: found "x", expected one of reading, handover`},
		{`account = "north"`, `account = "x"`, `account: found "x", expected one of north`},
		{`route "colder"`, `route "cold"`, `route cold, expected a name that no other route has`},
		{`type = "depot"`, `type = "dept"`, `type: found "dept", expected one of text, whole, flag, span, depot, temperature`},
		{`set "depot"`, `set "span"`, `set span, expected a name that no other type has`},
		{`"kingston", "may_pen"]`, `"kingston", "kingston"]`, `attributes: attribute at: set depot: member "kingston"`},
		{`unit "celsius" {}`, "unit \"celsius\" {\n scale = 2\n}", `figures are kept in the first unit`},
		{`cost_limit = 500`, `cost_limit = 3`, `found a cost of`}, {`cost_limit = 500`, `cost_limit = 0`, `cost_limit: found 0`},
		{`most           = 16`, `most = 2000`, `found a key of up to 2002 bytes, expected at most 1024`},
		{`let "cold"`, `let "at"`, `is: found a name that is taken`}, {`is = "temp < celsius(8)"`, `is = "!cold"`, "r.hcl:45:9: is: found a cycle, cold -> cold"},
		{`matching {`, `matchin {`, `block matchin: unknown in the file`}, {`list           = 4`, `list = 0`, `list: found 0`},
		{`with  = { temp = 1 }`, `with = { temp = { a = 1 } }`, `with: found a object as temp`}, {`with  = { temp = 1 }`, `with = 3`, `with: found 3`},
	} {
		_, err := parse(t, x[0], x[1])
		if err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v\nexpected %s", x[1], err, x[2])
		}
	}
	_, err := parse(t, `cold && at ==`, `cold && att ==`, `temp < celsius(4)`, `temp < celcius(4)`)
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("two faults, told as %v", err)
	}
	for _, text := range []string{"", "profile \"a\" {}\n", "case \"a\" {\n with = {}\n route = \"none\"\n}", "route \"a\" {\n when = \"true\"\n key = \"'a'\"\n profile = \"p\"\n}"} {
		if b, err := Parse("r.hcl", []byte(text)); (err == nil) != strings.HasPrefix(text, "case") {
			t.Errorf("%q: %v, %v", text, b, err)
		}
	}
}

func TestTold(t *testing.T) {
	b, err := parse(t)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	r, misfits := b.Record([]hclread.Pair{{Name: "at", Values: []string{"may_pen"}}, {Name: "stops", Values: []string{"may_pen"}},
		{Name: "age", Values: []string{"2m"}}, {Name: "id", Values: []string{"x"}}})
	b.Tell(&out, r, -1)
	want := "route through (r.hcl:54): profile handover, account none, key \"x\"\n" +
		"  not cold (r.hcl:48): cold does not hold: temp is missing\n"
	if len(misfits) > 0 || out.String() != want {
		t.Errorf("%v %s", misfits, out.String())
	}
	out.Reset()
	b.Explain(&out, 2)
	for _, want := range []string{"5 attributes, 1 named expressions", "let cold  3 steps", "3 routes; were all", "those that cost most", "at    by equal  in 2 routes",
		"temp  by range  in 2 routes", "route colder is never reached"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s\nexpected in it: %s", out.String(), want)
		}
	}
}

// Whatever is in the file, it is read to the end and told in lines with their place.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("let \"a\" {\n is = <<-EOT\n  b\n EOT\n}")
	f.Fuzz(func(t *testing.T, text string) {
		b, err := Parse("f.hcl", []byte(text))
		if err != nil {
			return
		}
		_ = b.Test()
		var out bytes.Buffer
		b.Explain(&out, 5)
	})
}
