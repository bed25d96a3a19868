// Package match is a small typed language with which an operator matches transactions and makes keys: checked against
// the types of the operator's own words and compiled once, at load. It does no I/O, has no clock and starts nothing.
//
// The text is parsed and checked by cel-go, with no function but those declared here; a compiler of its own makes
// closures of it. Every expression has a worst-case cost by the bounds of its types, which evaluation cannot exceed.
//
// A missing attribute makes every comparison, membership or prefix it takes part in false, is false as a flag, an
// empty text in a key, and neither any nor all of a list. given(x) says whether it is there.
package match

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is a type's family.
type Kind int

const (
	Text Kind = iota
	Int
	Bool
	Duration
	Measure // a figure with a unit
	Enum    // one of a few names
	List
)

// Type is one of the operator's types. Types with different names never compare.
type Type struct {
	Kind      Kind
	Name      string   // of a measure or a set
	Members   []string // of a set's members
	Units     []Unit   // of a measure, the first is what values are kept in
	MaxLength int      // greatest length: bytes of a text, elements of a list
	Element   *Type    // elements of a list; no list itself

	memberIndex map[string]int64 // of a set's members
}

// Unit is a word for a figure: value x scale + offset is in the first unit.
type Unit struct {
	Name          string
	Scale, Offset float64
}

// kept is a figure of this unit in the first one.
func (u *Unit) toFirstUnit(figure float64) (float64, error) {
	figure = figure*u.Scale + u.Offset
	if math.IsNaN(figure) || math.IsInf(figure, 0) {
		return 0, fmt.Errorf("found %g, expected a finite figure", figure)
	}
	return figure, nil
}

// Attribute is what a transaction may carry.
type Attribute struct {
	Name     string
	Type     *Type
	Optional bool // if not, a transaction without it is not judged
}

// Schema is the attributes that expressions may name, by their place.
type Schema struct {
	Attributes []Attribute
	slots      map[string]int
	required   []int // those that may not be missing
}

// Bounds on schemas.
const (
	maxAttributes   = 256
	maxTextBytes    = 64 << 10
	maxListElements = 1024
	maxEnumMembers  = 1 << 16
)

// NewSchema checks attributes.
func NewSchema(attributes []Attribute) (*Schema, error) {
	s := &Schema{Attributes: attributes, slots: map[string]int{}}
	if len(attributes) > maxAttributes {
		return nil, fmt.Errorf("found %d attributes, expected at most %d", len(attributes), maxAttributes)
	}
	named := map[string]*Type{}
	for i, a := range attributes {
		if !isName(a.Name) {
			return nil, fmt.Errorf("attribute %q: expected a name of letters, digits and _", a.Name)
		}
		if _, twice := s.slots[a.Name]; twice {
			return nil, fmt.Errorf("attribute %s stands twice", a.Name)
		}
		s.slots[a.Name] = i
		if !a.Optional {
			s.required = append(s.required, i)
		}
		if err := a.Type.check(named, true); err != nil {
			return nil, fmt.Errorf("attribute %s: %w", a.Name, err)
		}
	}
	return s, nil
}

func (t *Type) check(named map[string]*Type, list bool) error {
	if t.Kind == Measure || t.Kind == Enum {
		if !isName(t.Name) {
			return fmt.Errorf("type %q: expected a name of letters, digits and _", t.Name)
		}
		if other := named[t.Name]; other != nil && other != t {
			return fmt.Errorf("type %s is declared twice", t.Name)
		}
		named[t.Name] = t
	}
	switch t.Kind {
	case Text:
		if t.MaxLength < 1 || t.MaxLength > maxTextBytes {
			return fmt.Errorf("found a text of at most %d bytes, expected 1 to %d", t.MaxLength, maxTextBytes)
		}
	case Enum:
		if len(t.Members) == 0 || len(t.Members) > maxEnumMembers {
			return fmt.Errorf("set %s has %d members, expected 1 to %d", t.Name, len(t.Members), maxEnumMembers)
		}
		t.memberIndex = make(map[string]int64, len(t.Members))
		for i, n := range t.Members {
			if _, twice := t.memberIndex[n]; !isName(n) || twice {
				return fmt.Errorf("set %s: member %q, expected a name of letters, digits and _ once", t.Name, n)
			}
			t.memberIndex[n] = int64(i)
		}
	case Measure:
		if len(t.Units) == 0 {
			return fmt.Errorf("measure %s has no unit", t.Name)
		}
		for _, u := range t.Units {
			if !isName(u.Name) || u.Scale == 0 || math.IsInf(u.Scale, 0) || math.IsNaN(u.Scale+u.Offset) {
				return fmt.Errorf("measure %s: unit %q with scale %g, expected a name and a scale that is not 0", t.Name, u.Name, u.Scale)
			}
		}
	case List:
		if !list || t.Element == nil || t.MaxLength < 1 || t.MaxLength > maxListElements {
			return fmt.Errorf("found a list of at most %d, expected 1 to %d elements that are no lists", t.MaxLength, maxListElements)
		}
		return t.Element.check(named, false)
	}
	return nil
}

func isName(s string) bool {
	for i, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' || i > 0 && r >= '0' && r <= '9') {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// Value is an attribute's, or an element's of a list. If it is not given its text is empty and nothing else counts.
type Value struct {
	Present bool
	Int     int64 // Whole; Flag: 0 or 1; Span: microseconds; Set: place of the member
	Float   float64
	Text    string
	List    []Value
}

// Record is what one transaction carries.
type Record struct {
	values   []Value
	elements [maxNestedLoops]Value
}

// NewRecord makes an empty one.
func (s *Schema) NewRecord() *Record { return &Record{values: make([]Value, len(s.Attributes))} }

// Clear forgets all values. Lists keep their room.
func (r *Record) Clear() {
	for i := range r.values {
		r.values[i].Present, r.values[i].Text = false, ""
	}
}

// Carried is a value as it comes from outside, in whatever form its sender gave it.
type RawValue struct {
	Kind  Kind       // Text, Whole, Flag, Span, Measure or List
	Int   int64      // Whole; Flag: 0 or 1; Span: microseconds
	Float float64    // Measure
	Text  string     // Text; a set's member comes as one
	Unit  string     // of a Measure, empty: the first
	Items []RawValue // List
}

// At is an attribute's place, -1 if it is not declared.
func (s *Schema) Slot(name []byte) int {
	if at, known := s.slots[string(name)]; known {
		return at
	}
	return -1
}

// Put gives a record a value. What does not fit its type is left missing, and an error says why. The record keeps the
// texts as they are, without a copy.
func (s *Schema) Put(r *Record, at int, v *RawValue) error {
	t, slot := s.Attributes[at].Type, &r.values[at]
	slot.Present, slot.Text = false, ""
	if t.Kind != List || v.Kind != List {
		if err := t.store(slot, v); err != nil {
			return fmt.Errorf("%s: %w", s.Attributes[at].Name, err)
		}
		return nil
	}
	if len(v.Items) > t.MaxLength {
		return fmt.Errorf("%s: found %d elements, expected at most %d", s.Attributes[at].Name, len(v.Items), t.MaxLength)
	}
	slot.List = slices.Grow(slot.List[:0], len(v.Items))[:len(v.Items)]
	for i := range v.Items {
		if err := t.Element.store(&slot.List[i], &v.Items[i]); err != nil {
			return fmt.Errorf("%s, element %d: %w", s.Attributes[at].Name, i, err)
		}
	}
	slot.Present = true
	return nil
}

// Absent is the first attribute that must be there and is not, -1 if there is none.
func (s *Schema) MissingRequired(r *Record) int {
	for _, at := range s.required {
		if !r.values[at].Present {
			return at
		}
	}
	return -1
}

// take puts into a value what fits its type, or leaves it missing. What other kinds keep in it is not touched.
func (t *Type) store(out *Value, v *RawValue) error {
	out.Present, out.Text = false, ""
	switch {
	case t.Kind == Text && v.Kind == Text:
		if len(v.Text) > t.MaxLength {
			return fmt.Errorf("found %d bytes, expected at most %d", len(v.Text), t.MaxLength)
		}
		out.Text = v.Text
	case t.Kind == Enum && v.Kind == Text:
		place, is := t.memberIndex[v.Text]
		if !is {
			return fmt.Errorf("found %.64q, expected a member of %s", v.Text, t.Name)
		}
		out.Int = place
	case t.Kind == v.Kind && (t.Kind == Int || t.Kind == Duration):
		out.Int = v.Int
	case t.Kind == Bool && v.Kind == Bool:
		out.Int = min(1, max(0, v.Int))
	case t.Kind == Measure && (v.Kind == Measure || v.Kind == Int):
		figure := v.Float
		if v.Kind == Int {
			figure = float64(v.Int)
		}
		at := 0
		if v.Unit != "" {
			at = slices.IndexFunc(t.Units, func(u Unit) bool { return u.Name == v.Unit })
		}
		if at < 0 {
			return fmt.Errorf("found a figure in %.64q, expected a unit of %s", v.Unit, t.Name)
		}
		kept, err := t.Units[at].toFirstUnit(figure)
		if err != nil {
			return err
		}
		out.Float = kept
	default:
		return fmt.Errorf("found %s, expected %v", kindNames[v.Kind], t)
	}
	out.Present = true
	return nil
}

var kindNames = [...]string{Text: "a text", Int: "a whole number", Bool: "a flag", Duration: "a span", Measure: "a figure",
	Enum: "a member", List: "a list"}

// Parse reads a value as a person writes it: 12, true, 250ms, 8 celsius, a member's name, a text as it is, the elements
// of a list with commas between.
func (t *Type) Parse(text string) (v RawValue, err error) {
	switch t.Kind {
	case Text, Enum:
		return RawValue{Kind: Text, Text: text}, nil
	case Int:
		v.Kind = Int
		v.Int, err = strconv.ParseInt(text, 10, 64)
	case Bool:
		v.Kind = Bool
		if text == "true" {
			v.Int = 1
		} else if text != "false" {
			err = strconv.ErrSyntax
		}
	case Duration:
		var d time.Duration
		if d, err = time.ParseDuration(text); err == nil && d%time.Microsecond != 0 {
			err = strconv.ErrRange
		}
		v.Kind, v.Int = Duration, d.Microseconds()
	case Measure:
		figure, unit, _ := strings.Cut(text, " ")
		v.Kind, v.Unit = Measure, unit
		v.Float, err = strconv.ParseFloat(figure, 64)
	case List:
		v.Kind = List
		for part := range strings.SplitSeq(text, ",") {
			item, err := t.Element.Parse(strings.TrimSpace(part))
			if err != nil {
				return v, err
			}
			v.Items = append(v.Items, item)
		}
	}
	if err != nil {
		return v, fmt.Errorf("found %.64q, expected %v", text, t)
	}
	return v, nil
}

// show writes a value as the language does.
func (t *Type) format(v *Value) string {
	switch t.Kind {
	case Text:
		return strconv.Quote(v.Text)
	case Bool:
		return strconv.FormatBool(v.Int != 0)
	case Duration:
		return strconv.Quote((time.Duration(v.Int) * time.Microsecond).String())
	case Measure:
		figure := strconv.FormatFloat(v.Float, 'g', -1, 64)
		if len(t.Units) == 0 { // a literal without a unit
			return figure
		}
		return t.Units[0].Name + "(" + figure + ")"
	case Enum:
		return t.Name + "." + t.Members[v.Int]
	case List:
		var all []string
		for i := range v.List {
			all = append(all, t.Element.format(&v.List[i]))
		}
		return "[" + strings.Join(all, ", ") + "]"
	}
	return strconv.FormatInt(v.Int, 10)
}

// String is how an operator would say it.
func (t *Type) String() string {
	switch t.Kind {
	case Text:
		return fmt.Sprintf("a text of at most %d bytes", t.MaxLength)
	case Int:
		return "a whole number"
	case Bool:
		return "a flag"
	case Duration:
		return "a span"
	case List:
		return fmt.Sprintf("a list of at most %d of %v", t.MaxLength, t.Element)
	}
	return t.Name
}
