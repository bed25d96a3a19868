package hclread

import (
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
		_ = f.Root.Phrase("a")
		if err := f.Err(); err == nil || !strings.Contains(err.Error(), "expected a text") {
			t.Errorf("%.20q: %.200v", text, err)
		}
	}
	if _, err := Parse("wide.hcl", []byte(strings.Repeat("a \"b\" {\n  c = 1 + 2 - 3 == 4 ? \"((\" : \"!\"\n}\n", 3_000))); err != nil {
		t.Errorf("many blocks: %.200v", err)
	}
}
