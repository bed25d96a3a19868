package hclread

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func bounded(err error) bool {
	return err != nil && (strings.Contains(err.Error(), "nesting deeper than 500") || strings.Contains(err.Error(), "more than 2000 operators"))
}

// Nesting without end in the file itself is refused before the parser goes down into it.
func TestDeepFiles(t *testing.T) {
	for _, open := range []string{"(", "[", "{a=", "!", "-", "${", "f(", "\"${", "x ? "} {
		if _, err := Parse("deep.hcl", []byte("a = "+strings.Repeat(open, 10_000))); !bounded(err) {
			t.Errorf("10,000 of %q: %.200v", open, err)
		}
	}
	for _, text := range []string{"a = " + strings.Repeat("(", 100_000), strings.Repeat("a {\n", 20_000), "a = 1" + strings.Repeat("+1", 5_000), "a = x" + strings.Repeat(" ? 1 : x", 5_000),
		"a = [" + strings.Repeat("(\n", 5_000), "b {\n}\n" + strings.Repeat("a \"x\" {\n b {\n", 10_000) + strings.Repeat("}\n", 20_000),
		"a = " + strings.Repeat("f({\n}, ", 5_000), "a = (" + strings.Repeat("x ? 1 :\n", 5_000), "a = x" + strings.Repeat(".y", 5_000),
		"a = \"" + strings.Repeat("%{ if x }", 5_000), "a = <<E\n" + strings.Repeat("%{ if x }\n", 5_000) + "E\n"} {
		if _, err := Parse("deep.hcl", []byte(text)); !bounded(err) {
			t.Errorf("%.20q: %.200v", text, err)
		}
	}
	// Just within the bounds, whatever is nested can be parsed and evaluated.
	for _, text := range []string{"a = " + strings.Repeat("(", 490) + "1" + strings.Repeat(")", 490), "a = 1" + strings.Repeat("+1", 1_990),
		"a = " + strings.Repeat("-", 1_990) + "1", "a = " + strings.Repeat("true ? 1 : ", 1_990) + "1", "a = " + strings.Repeat("!", 1_990) + "true"} {
		f, err := Parse("deep.hcl", []byte(text))
		if err != nil {
			t.Errorf("%.20q: %.200v", text, err)
			continue
		}
		_ = f.Root.TextOrEmpty("a")
		if err := f.Err(); err == nil || !strings.Contains(err.Error(), "expected a text") {
			t.Errorf("%.20q: %.200v", text, err)
		}
	}
	if _, err := Parse("wide.hcl", []byte(strings.Repeat("a \"b\" {\n  c = 1 + 2 - 3 == 4 ? \"((\" : \"!\"\n}\n", 3_000))); err != nil {
		t.Errorf("many blocks: %.200v", err)
	}
}

// Blocks of included files count as the file's own, and their faults are told where they stand.
func TestInclude(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"more.hcl": "b \"two\" {\n  x = 2\n}\n", "bad.hcl": "b \"three\" {\n  x = \n}\n",
		"odd.hcl": "\nc {}\n", "again.hcl": "include = [\"more.hcl\"]\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []struct{ include, want string }{
		{`"more.hcl"`, ""}, {`"bad.hcl"`, "bad.hcl:2:"}, {`"odd.hcl"`, "odd.hcl:2:1: block c: unknown in the file, expected one of b"},
		{`"again.hcl"`, "again.hcl:1:1: include: found in a file that is included itself"}, {`"main.hcl"`, "main.hcl:1:1: include: found in a file"},
		{`"none.hcl"`, "main.hcl:1:1: include: "}, {`"../../../../../../../../dev/zero"`, "found no plain file, expected one"}, {`3`, "expected a text"},
	} {
		name := filepath.Join(dir, "main.hcl")
		text := []byte("include = [" + x.include + "]\nb \"one\" {\n  x = 1\n}\n")
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Parse(name, text)
		if err != nil {
			t.Fatal(err)
		}
		var labels []string
		for _, b := range f.Root.Blocks("b", 1) {
			labels = append(labels, b.Labels[0])
			_ = b.Int("x", true, 0, 0, 9)
			b.RejectUnknown()
		}
		f.Root.RejectUnknown()
		if err = f.Err(); x.want == "" && (err != nil || len(f.IncludedFiles) != 1 || strings.Join(labels, " ") != "one two") ||
			x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%s: %v, %v", x.include, labels, err)
		}
	}
}
