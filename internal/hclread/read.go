// Package hclread reads HCL files whose every figure is checked: each fault is one line with file, line, what was
// found and what was expected, and a name that nobody asked for is a fault.
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

// Faults are all that is wrong with a file, in the order of its lines.
type Issues []Issue

// Fault is one line for a person.
type Issue struct {
	File         string
	Line, Column int
	Msg          string
}

func (f Issue) String() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Msg) }

func (f Issues) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// File is one file as read.
type File struct {
	Name          string
	Source        []byte
	Root          *Body
	IncludedFiles []string // that it includes
	issues        *Issues
}

// Open reads and parses a file.
func Open(name string) (*File, error) {
	source, err := load(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, source)
}

// load reads a plain file of no more than may be.
func load(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: found no plain file, expected one", name)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: found %d bytes, expected at most %d", name, info.Size(), maxFileBytes)
	}
	return os.ReadFile(name)
}

// Parse is Open for what was read already.
func Parse(name string, source []byte) (*File, error) {
	f, err := parse(name, source, &Issues{})
	if err != nil {
		return nil, err
	}
	f.include()
	return f, nil
}

// parse books faults where they are told to be.
func parse(name string, source []byte, faults *Issues) (*File, error) {
	if line, what := tooDeep(source); line > 0 {
		*faults = append(*faults, Issue{name, line, 1, what})
		return nil, *faults
	}
	parsed, diags := hclsyntax.ParseConfig(source, name, hcl.InitialPos)
	f := &File{Name: name, Source: source, issues: faults}
	if diags.HasErrors() {
		for _, d := range diags.Errs() {
			d, ok := d.(*hcl.Diagnostic)
			if !ok || d.Subject == nil {
				*f.issues = append(*f.issues, Issue{name, 1, 1, "not HCL"})
				continue
			}
			text := strings.ReplaceAll(d.Summary+": "+d.Detail, "\n", " ")
			*f.issues = append(*f.issues, Issue{name, d.Subject.Start.Line, d.Subject.Start.Column, text})
		}
		return nil, *f.issues
	}
	f.Root = &Body{file: f, body: parsed.Body.(*hclsyntax.Body), known: map[string]bool{}}
	return f, nil
}

// include reads the files that a file names, relative to itself: their blocks count as its own. They name no others.
func (f *File) include() {
	if !f.Root.Has("include") {
		return
	}
	for _, name := range f.Root.Texts("include", true) {
		path := filepath.Join(filepath.Dir(f.Name), name)
		source, err := load(path)
		if err != nil {
			f.Root.AttributeErrorf("include", "%v", err)
			continue
		}
		other, err := parse(path, source, f.issues)
		if err != nil {
			continue
		}
		if other.Root.Has("include") {
			other.Root.AttributeErrorf("include", "found in a file that is included itself, expected none")
		}
		f.IncludedFiles = append(f.IncludedFiles, path)
		f.Root.included = append(f.Root.included, other.Root)
		other.Root.known = f.Root.known
	}
}

// Err is nil if no fault was found.
func (f *File) Err() error {
	if len(*f.issues) == 0 {
		return nil
	}
	slices.SortStableFunc(*f.issues, func(a, b Issue) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return *f.issues
}

// Body is the file itself or one block of it.
type Body struct {
	Kind     string
	Labels   []string
	file     *File
	body     *hclsyntax.Body
	defRange hcl.Range
	known    map[string]bool
	included []*Body // included files
}

// Fault books a fault at the place of this block.
func (b *Body) Errorf(format string, args ...any) { b.errorAt(b.defRange, format, args...) }

func (b *Body) errorAt(at hcl.Range, format string, args ...any) {
	*b.file.issues = append(*b.file.issues,
		Issue{b.file.Name, max(1, at.Start.Line), max(1, at.Start.Column), fmt.Sprintf(format, args...)})
}

// FaultAt books a fault at one of the block's values.
func (b *Body) AttributeErrorf(name, format string, args ...any) {
	at := b.defRange
	if a, ok := b.body.Attributes[name]; ok {
		at = a.SrcRange
	}
	b.errorAt(at, name+": "+format, args...)
}

// FaultIn books a fault at a place within one of the block's texts, by line and column from 1 as the text has them.
func (b *Body) TextErrorf(name string, line, column int, format string, args ...any) {
	a, ok := b.body.Attributes[name]
	if !ok {
		b.AttributeErrorf(name, format, args...)
		return
	}
	at := a.Expr.Range()
	source := string(b.file.Source[at.Start.Byte:at.End.Byte])
	text, _ := a.Expr.Value(nil)
	switch {
	case strings.HasPrefix(source, "<<") && text.Type() == cty.String: // what differs from the file is the indentation
		lines, own := strings.Split(source, "\n"), strings.Split(text.AsString(), "\n")
		if line < len(lines) && line <= len(own) {
			at.Start.Line += line
			at.Start.Column = column + max(0, len(lines[line])-len(own[line-1]))
		}
	case strings.HasPrefix(source, "\""):
		at.Start.Column += 1 + len([]rune(source[1:][:escaped(source[1:], line, column)]))
	}
	b.errorAt(at, name+": "+format, args...)
}

// escaped finds where a place of a quoted text is in its source.
func escaped(source string, line, column int) (i int) {
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

// Place is where the block stands.
func (b *Body) Location() string { return fmt.Sprintf("%s:%d", b.file.Name, b.defRange.Start.Line) }

// Source is the block as it stands in the file.
func (b *Body) Source() []byte {
	r := b.body.Range()
	return b.file.Source[b.defRange.Start.Byte:r.End.Byte]
}

// Blocks are those of a kind, with so many labels each.
func (b *Body) Blocks(kind string, labels int) (found []*Body) {
	b.known["block "+kind] = true
	for _, x := range b.body.Blocks {
		if x.Type != kind {
			continue
		}
		if len(x.Labels) != labels {
			b.errorAt(x.DefRange(), "block %s has %d labels, expected %d", kind, len(x.Labels), labels)
			continue
		}
		found = append(found, &Body{Kind: kind, Labels: x.Labels, file: b.file, body: x.Body, defRange: x.DefRange(),
			known: map[string]bool{}})
	}
	for _, m := range b.included {
		found = append(found, m.Blocks(kind, labels)...)
	}
	return found
}

// Block is the only one of a kind. If it is missing and must be there, that is a fault; the body that comes back
// then is empty.
func (b *Body) Block(kind string, must bool) *Body {
	all := b.Blocks(kind, 0)
	if len(all) > 1 {
		all[1].Errorf("block %s stands twice, expected once", kind)
	}
	if len(all) > 0 {
		return all[0]
	}
	if must {
		b.Errorf("no block %s, expected one", kind)
	}
	return &Body{Kind: kind, file: b.file, body: &hclsyntax.Body{}, defRange: b.defRange, known: map[string]bool{}}
}

// Has says whether a value is given.
func (b *Body) Has(name string) bool { return b.body.Attributes[name] != nil }

func (b *Body) value(name string, must bool, want string) (cty.Value, hcl.Range, bool) {
	b.known[name] = true
	a, ok := b.body.Attributes[name]
	if !ok {
		if must {
			b.Errorf("%s has no %s, expected %s", b.title(), name, want)
		}
		return cty.NilVal, b.defRange, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || !v.IsWhollyKnown() || v.IsNull() {
		b.errorAt(a.SrcRange, "%s: found no plain value, expected %s", name, want)
		return cty.NilVal, a.SrcRange, false
	}
	return v, a.SrcRange, true
}

func (b *Body) title() string {
	if b.Kind == "" {
		return "the file"
	}
	return strings.TrimSpace("block " + b.Kind + " " + strings.Join(b.Labels, " "))
}

func show(v cty.Value) string {
	switch {
	case v.Type() == cty.String:
		return fmt.Sprintf("%q", v.AsString())
	case v.Type() == cty.Number:
		return v.AsBigFloat().Text('g', 10)
	case v.Type() == cty.Bool:
		return fmt.Sprint(v.True())
	default:
		return "a " + v.Type().FriendlyName()
	}
}

// Text is a string that is not empty.
func (b *Body) Text(name string, must bool, otherwise string) string {
	v, at, ok := b.value(name, must, "a text")
	if !ok {
		return otherwise
	}
	if v.Type() != cty.String || v.AsString() == "" {
		b.errorAt(at, "%s: found %s, expected a text", name, show(v))
		return otherwise
	}
	return v.AsString()
}

// Phrase is a string that may be empty.
func (b *Body) TextOrEmpty(name string) string {
	v, at, ok := b.value(name, true, "a text")
	if ok && v.Type() == cty.String {
		return v.AsString()
	}
	if ok {
		b.errorAt(at, "%s: found %s, expected a text", name, show(v))
	}
	return ""
}

// Word is one of a few, given as its place among them.
func (b *Body) Enum(name string, must bool, otherwise int, of ...string) int {
	want := "one of " + strings.Join(of, ", ")
	v, at, ok := b.value(name, must, want)
	if !ok {
		return otherwise
	}
	if v.Type() == cty.String {
		if i := slices.Index(of, v.AsString()); i >= 0 {
			return i
		}
	}
	b.errorAt(at, "%s: found %s, expected %s", name, show(v), want)
	return otherwise
}

// Flag is true or false.
func (b *Body) Bool(name string, otherwise bool) bool {
	v, at, ok := b.value(name, false, "true or false")
	if !ok {
		return otherwise
	}
	if v.Type() != cty.Bool {
		b.errorAt(at, "%s: found %s, expected true or false", name, show(v))
		return otherwise
	}
	return v.True()
}

// Figure is a number between two others, both allowed.
func (b *Body) Float(name string, must bool, otherwise, least, most float64) float64 {
	want := fmt.Sprintf("a number from %g to %g", least, most)
	v, at, ok := b.value(name, must, want)
	if !ok {
		return otherwise
	}
	return b.float(name, v, at, want, otherwise, least, most)
}

func (b *Body) float(name string, v cty.Value, at hcl.Range, want string, otherwise, least, most float64) float64 {
	var x float64
	if v.Type() != cty.Number || gocty.FromCtyValue(v, &x) != nil || !(x >= least && x <= most) {
		b.errorAt(at, "%s: found %s, expected %s", name, show(v), want)
		return otherwise
	}
	return x
}

// Whole is a whole number between two others, both allowed.
func (b *Body) Int(name string, must bool, otherwise, least, most int) int {
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	v, at, ok := b.value(name, must, want)
	if !ok {
		return otherwise
	}
	x := b.float(name, v, at, want, float64(otherwise), float64(least), float64(most))
	if x != float64(int(x)) {
		b.errorAt(at, "%s: found %s, expected %s", name, show(v), want)
		return otherwise
	}
	return int(x)
}

// Span is a time such as "250ms", between two others.
func (b *Body) Duration(name string, must bool, otherwise, least, most time.Duration) logic.Micros {
	want := fmt.Sprintf("a span from %v to %v", least, most)
	v, at, ok := b.value(name, must, want)
	if !ok {
		return logic.Micros(otherwise / time.Microsecond)
	}
	if v.Type() == cty.String {
		d, err := time.ParseDuration(v.AsString())
		if err == nil && d >= least && d <= most && d%time.Microsecond == 0 {
			return logic.Micros(d / time.Microsecond)
		}
	}
	b.errorAt(at, "%s: found %s, expected %s in whole microseconds", name, show(v), want)
	return logic.Micros(otherwise / time.Microsecond)
}

// Figures is a list of numbers, each between two others.
func (b *Body) Floats(name string, must bool, least, most float64) (all []float64) {
	want := fmt.Sprintf("a list of numbers from %g to %g", least, most)
	for _, x := range b.list(name, must, want) {
		all = append(all, b.float(name, x, b.body.Attributes[name].SrcRange, want, least, least, most))
	}
	return all
}

// Texts is a list of strings.
func (b *Body) Texts(name string, must bool) (all []string) {
	for _, x := range b.list(name, must, "a list of texts") {
		if x.Type() != cty.String || x.AsString() == "" {
			b.AttributeErrorf(name, "found %s in it, expected a text", show(x))
			continue
		}
		all = append(all, x.AsString())
	}
	return all
}

// Pair is an entry of an object: a plain value as a person would write it, or several.
type Pair struct {
	Name   string
	Values []string
	IsList bool
}

// Pairs is an object of plain values and lists of them, by their names.
func (b *Body) Pairs(name string, must bool) (all []Pair) {
	const want = "an object of texts, numbers, flags and lists of them"
	v, at, ok := b.value(name, must, want)
	if !ok {
		return nil
	}
	if !v.Type().IsObjectType() {
		b.errorAt(at, "%s: found %s, expected %s", name, show(v), want)
		return nil
	}
	for key, x := range v.AsValueMap() {
		p := Pair{Name: key, IsList: x.Type().IsTupleType()}
		parts := []cty.Value{x}
		if p.IsList {
			parts = x.AsValueSlice()
		}
		for _, part := range parts {
			text, err := convert.Convert(part, cty.String)
			if err != nil || text.IsNull() {
				b.errorAt(at, "%s: found %s as %s, expected %s", name, show(part), key, want)
				continue
			}
			p.Values = append(p.Values, text.AsString())
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b Pair) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (b *Body) list(name string, must bool, want string) (all []cty.Value) {
	v, at, ok := b.value(name, must, want)
	if !ok {
		return nil
	}
	if !v.Type().IsTupleType() {
		b.errorAt(at, "%s: found %s, expected %s", name, show(v), want)
		return nil
	}
	return v.AsValueSlice()
}

// Pass has blocks of a kind count as known, whatever is in them.
func (b *Body) IgnoreBlocks(kind string) { b.known["block "+kind] = true }

// Faults counts those of the file so far.
func (b *Body) ErrorCount() int { return len(*b.file.issues) }

// Done books a fault for each name of the block that nobody asked for.
func (b *Body) RejectUnknown() {
	for _, m := range b.included {
		m.RejectUnknown()
	}
	for name, a := range b.body.Attributes {
		if !b.known[name] {
			b.errorAt(a.SrcRange, "%s: unknown in %s, expected one of %s", name, b.title(), b.knownNames(""))
		}
	}
	for _, x := range b.body.Blocks {
		if !b.known["block "+x.Type] {
			b.errorAt(x.DefRange(), "block %s: unknown in %s, expected one of %s", x.Type, b.title(), b.knownNames("block "))
		}
	}
}

func (b *Body) knownNames(prefix string) string {
	var names []string
	for name := range b.known {
		if rest, is := strings.CutPrefix(name, "block "); is == (prefix != "") {
			names = append(names, rest)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
