// Package match implements the language of routes: a small typed language of conditions on the attributes of a
// transaction and of expressions that make its key. A Schema declares the attributes and their types, a Compiler checks
// and compiles expressions over it, a Record holds the attributes of one transaction, and a Table finds the first route
// that matches a record. The package does no I/O, reads no clock and starts no goroutine.
//
// Expressions are parsed and type-checked by cel-go in an environment that has only the operators and functions declared
// by NewCompiler, and are then compiled once to closures by this package. Every expression has a worst-case cost, which
// follows from the maximum lengths of its types and which no evaluation exceeds.
//
// A comparison, membership or startsWith with a missing attribute is false. A missing flag is false, a missing text in a
// key is empty, and both exists and all of a missing list are false. given(x) is true if the attribute x is present.
package match

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of a Type. In routes files the kinds Int, Bool, Duration and Enum are called whole, flag, span and set.
type Kind int

// The kinds of types.
const (
	Text Kind = iota
	Int
	Bool
	Duration
	Measure // a number with a unit
	Enum    // one of a set of names
	List
)

// Type is the type of an attribute or of an expression. Values of types with different names cannot be compared.
type Type struct {
	Kind      Kind
	Name      string   // Measure and Enum
	Members   []string // Enum
	Units     []Unit   // Measure; values are stored in the first unit
	MaxLength int      // Text: bytes; List: elements
	Element   *Type    // List; not a List itself

	memberIndex map[string]int64 // Enum: indexes of Members
}

// Unit is a unit of a measure. A number in this unit is number*Scale + Offset in the first unit of the measure.
type Unit struct {
	Name          string
	Scale, Offset float64
}

// toFirstUnit converts a number in this unit to the first unit of the measure.
func (u *Unit) toFirstUnit(number float64) (float64, error) {
	number = number*u.Scale + u.Offset
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, fmt.Errorf("found %g, expected a finite number", number)
	}
	return number, nil
}

// Attribute is the declaration of an attribute that transactions may carry.
type Attribute struct {
	Name     string
	Type     *Type
	Optional bool // a transaction without an attribute that is not optional has no route
}

// Schema holds the attributes that expressions may use. An attribute's index in Attributes is its slot.
type Schema struct {
	Attributes []Attribute
	slots      map[string]int
	required   []int // slots of the attributes that are not optional
}

// Limits of a schema.
const (
	maxAttributes   = 256
	maxTextBytes    = 64 << 10
	maxListElements = 1024
	maxEnumMembers  = 1 << 16
)

// NewSchema checks the declarations of attributes and returns their schema.
func NewSchema(attributes []Attribute) (*Schema, error) {
	s := &Schema{Attributes: attributes, slots: map[string]int{}}
	if len(attributes) > maxAttributes {
		return nil, fmt.Errorf("found %d attributes, expected at most %d", len(attributes), maxAttributes)
	}
	types := map[string]*Type{}
	for i, a := range attributes {
		if !isName(a.Name) {
			return nil, fmt.Errorf("attribute %q: expected a name of letters, digits and _", a.Name)
		}
		if _, isDuplicate := s.slots[a.Name]; isDuplicate {
			return nil, fmt.Errorf("attribute %s is declared twice", a.Name)
		}
		s.slots[a.Name] = i
		if !a.Optional {
			s.required = append(s.required, i)
		}
		if err := a.Type.check(types, true); err != nil {
			return nil, fmt.Errorf("attribute %s: %w", a.Name, err)
		}
	}
	return s, nil
}

// check checks a type. types holds the measures and sets seen so far, by name.
func (t *Type) check(types map[string]*Type, allowList bool) error {
	if t.Kind == Measure || t.Kind == Enum {
		if !isName(t.Name) {
			return fmt.Errorf("type %q: expected a name of letters, digits and _", t.Name)
		}
		if other := types[t.Name]; other != nil && other != t {
			return fmt.Errorf("type %s is declared twice", t.Name)
		}
		types[t.Name] = t
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
		for i, member := range t.Members {
			if _, isDuplicate := t.memberIndex[member]; !isName(member) || isDuplicate {
				return fmt.Errorf("set %s: member %q, expected a name of letters, digits and _ once", t.Name, member)
			}
			t.memberIndex[member] = int64(i)
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
		if !allowList || t.Element == nil || t.MaxLength < 1 || t.MaxLength > maxListElements {
			return fmt.Errorf("found a list of at most %d, expected 1 to %d elements that are no lists", t.MaxLength, maxListElements)
		}
		return t.Element.check(types, false)
	}
	return nil
}

// isName reports whether s can be the name of an attribute, a type, a unit, a member or a definition.
func isName(s string) bool {
	for i, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' || i > 0 && r >= '0' && r <= '9') {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// Value is the value of an attribute or of an element of a list. If Present is false, Text is empty and the other fields
// are invalid.
type Value struct {
	Present bool
	Int     int64   // Int; Bool: 0 or 1; Duration: microseconds; Enum: index of the member
	Float   float64 // Measure: number in the first unit
	Text    string
	List    []Value
}

// Record holds the attributes of one transaction. It is not safe for concurrent use, evaluation included.
type Record struct {
	values   []Value               // by schema slot
	elements [maxNestedLoops]Value // current elements of the loops under evaluation, by nesting depth
}

// NewRecord returns a record without values.
func (s *Schema) NewRecord() *Record { return &Record{values: make([]Value, len(s.Attributes))} }

// Clear removes all values. The capacity of lists is kept for reuse.
func (r *Record) Clear() {
	for i := range r.values {
		r.values[i].Present, r.values[i].Text = false, ""
	}
}

// RawValue is a value as a client sends it, not yet checked against the type of its attribute.
type RawValue struct {
	Kind  Kind       // not Enum: a member of a set is sent as Text
	Int   int64      // Int; Bool: 0 or 1; Duration: microseconds
	Float float64    // Measure
	Text  string     // Text
	Unit  string     // Measure; empty for the first unit
	Items []RawValue // List
}

// Slot returns the slot of an attribute, -1 if it is not declared.
func (s *Schema) Slot(name []byte) int {
	if slot, ok := s.slots[string(name)]; ok {
		return slot
	}
	return -1
}

// Put sets the value of an attribute in a record. If the value does not fit the type of the attribute, Put returns an error
// and leaves the attribute missing. The record refers to the texts of raw and does not copy them.
func (s *Schema) Put(r *Record, slot int, raw *RawValue) error {
	t, value := s.Attributes[slot].Type, &r.values[slot]
	value.Present, value.Text = false, ""
	if t.Kind != List || raw.Kind != List {
		if err := t.store(value, raw); err != nil {
			return fmt.Errorf("%s: %w", s.Attributes[slot].Name, err)
		}
		return nil
	}
	if len(raw.Items) > t.MaxLength {
		return fmt.Errorf("%s: found %d elements, expected at most %d", s.Attributes[slot].Name, len(raw.Items), t.MaxLength)
	}
	value.List = slices.Grow(value.List[:0], len(raw.Items))[:len(raw.Items)]
	for i := range raw.Items {
		if err := t.Element.store(&value.List[i], &raw.Items[i]); err != nil {
			return fmt.Errorf("%s, element %d: %w", s.Attributes[slot].Name, i, err)
		}
	}
	value.Present = true
	return nil
}

// MissingRequired returns the slot of the first required attribute that a record does not have, -1 if it has all.
func (s *Schema) MissingRequired(r *Record) int {
	for _, slot := range s.required {
		if !r.values[slot].Present {
			return slot
		}
	}
	return -1
}

// store sets a value from a raw value that fits the type, or marks it as missing and returns an error. It does not change
// the fields that other kinds use.
func (t *Type) store(value *Value, raw *RawValue) error {
	value.Present, value.Text = false, ""
	switch {
	case t.Kind == Text && raw.Kind == Text:
		if len(raw.Text) > t.MaxLength {
			return fmt.Errorf("found %d bytes, expected at most %d", len(raw.Text), t.MaxLength)
		}
		value.Text = raw.Text
	case t.Kind == Enum && raw.Kind == Text:
		index, ok := t.memberIndex[raw.Text]
		if !ok {
			return fmt.Errorf("found %.64q, expected a member of %s", raw.Text, t.Name)
		}
		value.Int = index
	case t.Kind == raw.Kind && (t.Kind == Int || t.Kind == Duration):
		value.Int = raw.Int
	case t.Kind == Bool && raw.Kind == Bool:
		value.Int = min(1, max(0, raw.Int))
	case t.Kind == Measure && (raw.Kind == Measure || raw.Kind == Int):
		number := raw.Float
		if raw.Kind == Int {
			number = float64(raw.Int)
		}
		unitIndex := 0
		if raw.Unit != "" {
			unitIndex = slices.IndexFunc(t.Units, func(u Unit) bool { return u.Name == raw.Unit })
		}
		if unitIndex < 0 {
			return fmt.Errorf("found a figure in %.64q, expected a unit of %s", raw.Unit, t.Name)
		}
		converted, err := t.Units[unitIndex].toFirstUnit(number)
		if err != nil {
			return err
		}
		value.Float = converted
	default:
		return fmt.Errorf("found %s, expected %v", kindNames[raw.Kind], t)
	}
	value.Present = true
	return nil
}

// kindNames holds the names of the kinds in error messages.
var kindNames = [...]string{Text: "a text", Int: "a whole number", Bool: "a flag", Duration: "a span", Measure: "a figure",
	Enum: "a member", List: "a list"}

// Parse parses a value of the type: 12, true, 250ms, 8 celsius, the name of a member, a text without quotes, or the
// elements of a list separated by commas.
func (t *Type) Parse(text string) (raw RawValue, err error) {
	switch t.Kind {
	case Text, Enum:
		return RawValue{Kind: Text, Text: text}, nil
	case Int:
		raw.Kind = Int
		raw.Int, err = strconv.ParseInt(text, 10, 64)
	case Bool:
		raw.Kind = Bool
		if text == "true" {
			raw.Int = 1
		} else if text != "false" {
			err = strconv.ErrSyntax
		}
	case Duration:
		var d time.Duration
		if d, err = time.ParseDuration(text); err == nil && d%time.Microsecond != 0 {
			err = strconv.ErrRange
		}
		raw.Kind, raw.Int = Duration, d.Microseconds()
	case Measure:
		number, unit, _ := strings.Cut(text, " ")
		raw.Kind, raw.Unit = Measure, unit
		raw.Float, err = strconv.ParseFloat(number, 64)
	case List:
		raw.Kind = List
		for part := range strings.SplitSeq(text, ",") {
			item, err := t.Element.Parse(strings.TrimSpace(part))
			if err != nil {
				return raw, err
			}
			raw.Items = append(raw.Items, item)
		}
	}
	if err != nil {
		return raw, fmt.Errorf("found %.64q, expected %v", text, t)
	}
	return raw, nil
}

// format returns a value as the language writes it.
func (t *Type) format(v *Value) string {
	switch t.Kind {
	case Text:
		return strconv.Quote(v.Text)
	case Bool:
		return strconv.FormatBool(v.Int != 0)
	case Duration:
		return strconv.Quote((time.Duration(v.Int) * time.Microsecond).String())
	case Measure:
		number := strconv.FormatFloat(v.Float, 'g', -1, 64)
		if len(t.Units) == 0 { // a literal without a unit
			return number
		}
		return t.Units[0].Name + "(" + number + ")"
	case Enum:
		return t.Name + "." + t.Members[v.Int]
	case List:
		var elements []string
		for i := range v.List {
			elements = append(elements, t.Element.format(&v.List[i]))
		}
		return "[" + strings.Join(elements, ", ") + "]"
	}
	return strconv.FormatInt(v.Int, 10)
}

// String describes the type in messages.
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
