// Package hclread reads HCL files and checks every value in them. A caller takes the values that it knows from the Body of
// the file and of its blocks, and then calls RejectUnknown for the rest. Errors are collected as issues: one line each,
// with file, line, column, what was found and what was expected. File.Err returns all of them.
package hclread

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/gocty"

	"scalechute/logic"
)

// Issues is an error that holds all errors of a file and of the files that it includes. Err sorts them.
type Issues []Issue

// Issue is an error at a position of a file.
type Issue struct {
	File         string
	Line, Column int
	Msg          string
}

// String returns file, line, column and message.
func (i Issue) String() string { return fmt.Sprintf("%s:%d:%d: %s", i.File, i.Line, i.Column, i.Msg) }

// Error returns one line for each issue.
func (issues Issues) Error() string {
	lines := make([]string, len(issues))
	for i := range issues {
		lines[i] = issues[i].String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file, with the blocks of the files that it includes.
type File struct {
	Name          string
	Source        []byte
	Root          *Body
	IncludedFiles []string
	issues        *Issues // shared with the included files
}

// Open reads and parses a file.
func Open(name string) (*File, error) {
	source, err := readFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, source)
}

// readFile reads a regular file of at most maxFileBytes.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: found a directory or special file, expected a regular file", name)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: found %d bytes, expected at most %d", name, info.Size(), maxFileBytes)
	}
	return os.ReadFile(name)
}

// Parse is Open for the content of a file.
func Parse(name string, source []byte) (*File, error) {
	f, err := parse(name, source, &Issues{})
	if err != nil {
		return nil, err
	}
	f.readIncluded()
	return f, nil
}

// parse parses a file without its includes and adds errors to issues.
func parse(name string, source []byte, issues *Issues) (*File, error) {
	if line, message := checkNesting(source); line > 0 {
		*issues = append(*issues, Issue{name, line, 1, message})
		return nil, *issues
	}
	parsed, diags := hclsyntax.ParseConfig(source, name, hcl.InitialPos)
	f := &File{Name: name, Source: source, issues: issues}
	if diags.HasErrors() {
		for _, d := range diags.Errs() {
			d, ok := d.(*hcl.Diagnostic)
			if !ok || d.Subject == nil {
				*f.issues = append(*f.issues, Issue{name, 1, 1, "found a file that is not HCL"})
				continue
			}
			message := strings.ReplaceAll(d.Summary+": "+d.Detail, "\n", " ")
			*f.issues = append(*f.issues, Issue{name, d.Subject.Start.Line, d.Subject.Start.Column, message})
		}
		return nil, *f.issues
	}
	f.Root = &Body{file: f, body: parsed.Body.(*hclsyntax.Body), known: map[string]bool{}}
	return f, nil
}

// readIncluded parses the files listed in include, with paths relative to the including file, and adds their blocks to
// those of the file. An included file cannot include others.
func (f *File) readIncluded() {
	if !f.Root.Has("include") {
		return
	}
	for _, name := range f.Root.Texts("include", true) {
		path := filepath.Join(filepath.Dir(f.Name), name)
		source, err := readFile(path)
		if err != nil {
			f.Root.AttributeErrorf("include", "%v", err)
			continue
		}
		other, err := parse(path, source, f.issues)
		if err != nil {
			continue
		}
		if other.Root.Has("include") {
			other.Root.AttributeErrorf("include", "found in an included file, expected none")
		}
		f.IncludedFiles = append(f.IncludedFiles, path)
		f.Root.included = append(f.Root.included, other.Root)
		other.Root.known = f.Root.known
	}
}

// Err returns the Issues found so far, sorted by file and line, nil if there are none.
func (f *File) Err() error {
	if len(*f.issues) == 0 {
		return nil
	}
	slices.SortStableFunc(*f.issues, func(a, b Issue) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return *f.issues
}

// Body is the content of a file or of one of its blocks. The methods that read an attribute record an error if its value
// is invalid, or if it is absent and required. Methods with a defaultValue return it then. Callers check File.Err in the
// end, not each value.
type Body struct {
	BlockType string // type of the block, empty for a file
	Labels    []string
	file      *File
	body      *hclsyntax.Body
	defRange  hcl.Range
	known     map[string]bool // attributes that have been read; block types too, after "block "
	included  []*Body         // bodies of the included files
}

// Errorf records an error at the position of the block.
func (b *Body) Errorf(format string, args ...any) { b.errorAt(b.defRange, format, args...) }

// errorAt records an error at a position of the body's file.
func (b *Body) errorAt(srcRange hcl.Range, format string, args ...any) {
	*b.file.issues = append(*b.file.issues,
		Issue{b.file.Name, max(1, srcRange.Start.Line), max(1, srcRange.Start.Column), fmt.Sprintf(format, args...)})
}

// AttributeErrorf records an error at an attribute of the block, or at the block if it does not have the attribute.
func (b *Body) AttributeErrorf(name, format string, args ...any) {
	srcRange := b.defRange
	if attribute, ok := b.body.Attributes[name]; ok {
		srcRange = attribute.SrcRange
	}
	b.errorAt(srcRange, name+": "+format, args...)
}

// TextErrorf records an error at a position within the text of an attribute. line and column are 1-based in the text; the
// column counts code points.
func (b *Body) TextErrorf(name string, line, column int, format string, args ...any) {
	attribute, ok := b.body.Attributes[name]
	if !ok {
		b.AttributeErrorf(name, format, args...)
		return
	}
	srcRange := attribute.Expr.Range()
	source := string(b.file.Source[srcRange.Start.Byte:srcRange.End.Byte])
	text, _ := attribute.Expr.Value(nil)
	switch {
	case strings.HasPrefix(source, "<<") && text.Type() == cty.String: // lines differ from the file only in the indentation
		lines, textLines := strings.Split(source, "\n"), strings.Split(text.AsString(), "\n")
		if line < len(lines) && line <= len(textLines) {
			srcRange.Start.Line += line
			srcRange.Start.Column = column + max(0, len(lines[line])-len(textLines[line-1]))
		}
	case strings.HasPrefix(source, "\""):
		srcRange.Start.Column += 1 + len([]rune(source[1:][:sourceOffset(source[1:], line, column)]))
	}
	b.errorAt(srcRange, name+": "+format, args...)
}

// sourceOffset returns the byte offset of a position of a quoted text in its source.
func sourceOffset(source string, line, column int) (i int) {
	for l, c := 1, 1; i < len(source) && (l < line || l == line && c < column); c++ {
		_, size := utf8.DecodeRuneInString(source[i:])
		switch rest := source[i:]; {
		case strings.HasPrefix(rest, `\u`):
			size = 6
		case strings.HasPrefix(rest, `\U`):
			size = 10
		case strings.HasPrefix(rest, `\n`):
			l, c, size = l+1, 0, 2
		case strings.HasPrefix(rest, `\`):
			size = 2
		case strings.HasPrefix(rest, "$${"), strings.HasPrefix(rest, "%%{"):
			size, c = 3, c+1
		}
		i += size
	}
	return min(i, len(source))
}

// Location returns the file and line of the block.
func (b *Body) Location() string { return fmt.Sprintf("%s:%d", b.file.Name, b.defRange.Start.Line) }

// Source returns the source of the block.
func (b *Body) Source() []byte {
	bodyRange := b.body.Range()
	return b.file.Source[b.defRange.Start.Byte:bodyRange.End.Byte]
}

// Blocks returns the blocks of a type, also those of included files. A block with another number of labels is an error.
func (b *Body) Blocks(blockType string, labels int) (blocks []*Body) {
	b.known["block "+blockType] = true
	for _, block := range b.body.Blocks {
		if block.Type != blockType {
			continue
		}
		if len(block.Labels) != labels {
			b.errorAt(block.DefRange(), "block %s has %d labels, expected %d", blockType, len(block.Labels), labels)
			continue
		}
		blocks = append(blocks, &Body{BlockType: blockType, Labels: block.Labels, file: b.file, body: block.Body, defRange: block.DefRange(),
			known: map[string]bool{}})
	}
	for _, other := range b.included {
		blocks = append(blocks, other.Blocks(blockType, labels)...)
	}
	return blocks
}

// Block returns the only block of a type, which has no labels. If there is none, Block returns an empty body, and records
// an error if the block is required.
func (b *Body) Block(blockType string, required bool) *Body {
	blocks := b.Blocks(blockType, 0)
	if len(blocks) > 1 {
		blocks[1].Errorf("block %s is declared twice, expected once", blockType)
	}
	if len(blocks) > 0 {
		return blocks[0]
	}
	if required {
		b.Errorf("no block %s, expected one", blockType)
	}
	return &Body{BlockType: blockType, file: b.file, body: &hclsyntax.Body{}, defRange: b.defRange, known: map[string]bool{}}
}

// Has reports whether the body has an attribute.
func (b *Body) Has(name string) bool { return b.body.Attributes[name] != nil }

// value evaluates an attribute and returns its value and range. The last result is false if the attribute is absent or is
// not constant. expected describes valid values in error messages.
func (b *Body) value(name string, required bool, expected string) (cty.Value, hcl.Range, bool) {
	b.known[name] = true
	attribute, ok := b.body.Attributes[name]
	if !ok {
		if required {
			b.Errorf("%s has no %s, expected %s", b.describe(), name, expected)
		}
		return cty.NilVal, b.defRange, false
	}
	v, diags := attribute.Expr.Value(nil)
	if diags.HasErrors() || !v.IsWhollyKnown() || v.IsNull() {
		b.errorAt(attribute.SrcRange, "%s: found no constant value, expected %s", name, expected)
		return cty.NilVal, attribute.SrcRange, false
	}
	return v, attribute.SrcRange, true
}

// describe names the body in error messages.
func (b *Body) describe() string {
	if b.BlockType == "" {
		return "the file"
	}
	return strings.TrimSpace("block " + b.BlockType + " " + strings.Join(b.Labels, " "))
}

// formatValue returns a value for error messages.
func formatValue(v cty.Value) string {
	switch {
	case v.Type() == cty.String:
		return fmt.Sprintf("%q", v.AsString())
	case v.Type() == cty.Number:
		return v.AsBigFloat().Text('g', 10)
	case v.Type() == cty.Bool:
		return fmt.Sprint(v.True())
	default:
		return "a value of type " + v.Type().FriendlyName()
	}
}

// Text returns the value of an attribute that is a string and not empty.
func (b *Body) Text(name string, required bool, defaultValue string) string {
	v, srcRange, ok := b.value(name, required, "a text")
	if !ok {
		return defaultValue
	}
	if v.Type() != cty.String || v.AsString() == "" {
		b.errorAt(srcRange, "%s: found %s, expected a text", name, formatValue(v))
		return defaultValue
	}
	return v.AsString()
}

// TextOrEmpty returns the value of a required attribute that is a string and may be empty.
func (b *Body) TextOrEmpty(name string) string {
	v, srcRange, ok := b.value(name, true, "a text")
	if ok && v.Type() == cty.String {
		return v.AsString()
	}
	if ok {
		b.errorAt(srcRange, "%s: found %s, expected a text", name, formatValue(v))
	}
	return ""
}

// Enum returns the index in names of the value of an attribute.
func (b *Body) Enum(name string, required bool, defaultValue int, names ...string) int {
	expected := "one of " + strings.Join(names, ", ")
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return defaultValue
	}
	if v.Type() == cty.String {
		if i := slices.Index(names, v.AsString()); i >= 0 {
			return i
		}
	}
	b.errorAt(srcRange, "%s: found %s, expected %s", name, formatValue(v), expected)
	return defaultValue
}

// Bool returns the value of an optional attribute that is true or false.
func (b *Body) Bool(name string, defaultValue bool) bool {
	v, srcRange, ok := b.value(name, false, "true or false")
	if !ok {
		return defaultValue
	}
	if v.Type() != cty.Bool {
		b.errorAt(srcRange, "%s: found %s, expected true or false", name, formatValue(v))
		return defaultValue
	}
	return v.True()
}

// Float returns the value of an attribute that is a number between minValue and maxValue, inclusive.
func (b *Body) Float(name string, required bool, defaultValue, minValue, maxValue float64) float64 {
	expected := fmt.Sprintf("a number from %g to %g", minValue, maxValue)
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return defaultValue
	}
	return b.checkFloat(name, v, srcRange, expected, defaultValue, minValue, maxValue)
}

// checkFloat returns v as a float64, or defaultValue and records an error if v is not a number in the range.
func (b *Body) checkFloat(name string, v cty.Value, srcRange hcl.Range, expected string, defaultValue, minValue, maxValue float64) float64 {
	var number float64
	if v.Type() != cty.Number || gocty.FromCtyValue(v, &number) != nil || !(number >= minValue && number <= maxValue) {
		b.errorAt(srcRange, "%s: found %s, expected %s", name, formatValue(v), expected)
		return defaultValue
	}
	return number
}

// Int returns the value of an attribute that is a whole number between minValue and maxValue, inclusive.
func (b *Body) Int(name string, required bool, defaultValue, minValue, maxValue int) int {
	expected := fmt.Sprintf("a whole number from %d to %d", minValue, maxValue)
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return defaultValue
	}
	number := b.checkFloat(name, v, srcRange, expected, float64(defaultValue), float64(minValue), float64(maxValue))
	if number != float64(int(number)) {
		b.errorAt(srcRange, "%s: found %s, expected %s", name, formatValue(v), expected)
		return defaultValue
	}
	return int(number)
}

// Duration returns the value of an attribute that is a duration such as "250ms" between minValue and maxValue, inclusive,
// in whole microseconds.
func (b *Body) Duration(name string, required bool, defaultValue, minValue, maxValue time.Duration) logic.Micros {
	expected := fmt.Sprintf("a span from %v to %v", minValue, maxValue)
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return logic.Micros(defaultValue / time.Microsecond)
	}
	if v.Type() == cty.String {
		d, err := time.ParseDuration(v.AsString())
		if err == nil && d >= minValue && d <= maxValue && d%time.Microsecond == 0 {
			return logic.Micros(d / time.Microsecond)
		}
	}
	b.errorAt(srcRange, "%s: found %s, expected %s in whole microseconds", name, formatValue(v), expected)
	return logic.Micros(defaultValue / time.Microsecond)
}

// Floats returns the elements of an attribute that is a list of numbers, each between minValue and maxValue, inclusive.
func (b *Body) Floats(name string, required bool, minValue, maxValue float64) (numbers []float64) {
	expected := fmt.Sprintf("a list of numbers from %g to %g", minValue, maxValue)
	for _, x := range b.elements(name, required, expected) {
		numbers = append(numbers, b.checkFloat(name, x, b.body.Attributes[name].SrcRange, expected, minValue, minValue, maxValue))
	}
	return numbers
}

// Texts returns the elements of an attribute that is a list of strings, none of them empty.
func (b *Body) Texts(name string, required bool) (texts []string) {
	for _, x := range b.elements(name, required, "a list of texts") {
		if x.Type() != cty.String || x.AsString() == "" {
			b.AttributeErrorf(name, "found %s in it, expected a text", formatValue(x))
			continue
		}
		texts = append(texts, x.AsString())
	}
	return texts
}

// Pair is an entry of an object. Numbers and flags are converted to strings.
type Pair struct {
	Name   string
	Values []string
	IsList bool // false if the entry is a single value
}

// Pairs returns the entries of an attribute that is an object, sorted by name.
func (b *Body) Pairs(name string, required bool) (pairs []Pair) {
	const expected = "an object of texts, numbers, flags and lists of them"
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return nil
	}
	if !v.Type().IsObjectType() {
		b.errorAt(srcRange, "%s: found %s, expected %s", name, formatValue(v), expected)
		return nil
	}
	for key, x := range v.AsValueMap() {
		p := Pair{Name: key, IsList: x.Type().IsTupleType()}
		values := []cty.Value{x}
		if p.IsList {
			values = x.AsValueSlice()
		}
		for _, part := range values {
			text, err := convert.Convert(part, cty.String)
			if err != nil || text.IsNull() {
				b.errorAt(srcRange, "%s: found %s as %s, expected %s", name, formatValue(part), key, expected)
				continue
			}
			p.Values = append(p.Values, text.AsString())
		}
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b Pair) int { return strings.Compare(a.Name, b.Name) })
	return pairs
}

// elements returns the elements of an attribute that is a list.
func (b *Body) elements(name string, required bool, expected string) (all []cty.Value) {
	v, srcRange, ok := b.value(name, required, expected)
	if !ok {
		return nil
	}
	if !v.Type().IsTupleType() {
		b.errorAt(srcRange, "%s: found %s, expected %s", name, formatValue(v), expected)
		return nil
	}
	return v.AsValueSlice()
}

// IgnoreBlocks makes RejectUnknown accept blocks of a type without looking into them.
func (b *Body) IgnoreBlocks(blockType string) { b.known["block "+blockType] = true }

// ErrorCount returns the number of errors recorded in the file so far.
func (b *Body) ErrorCount() int { return len(*b.file.issues) }

// RejectUnknown records an error for each attribute and block of the body that has not been read.
func (b *Body) RejectUnknown() {
	for _, other := range b.included {
		other.RejectUnknown()
	}
	for name, attribute := range b.body.Attributes {
		if !b.known[name] {
			b.errorAt(attribute.SrcRange, "%s: unknown in %s, expected one of %s", name, b.describe(), b.knownNames(""))
		}
	}
	for _, block := range b.body.Blocks {
		if !b.known["block "+block.Type] {
			b.errorAt(block.DefRange(), "block %s: unknown in %s, expected one of %s", block.Type, b.describe(), b.knownNames("block "))
		}
	}
}

// knownNames lists the attributes or blocks that have been read, for error messages.
func (b *Body) knownNames(prefix string) string {
	var names []string
	for name := range b.known {
		if rest, isBlock := strings.CutPrefix(name, "block "); isBlock == (prefix != "") {
			names = append(names, rest)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
