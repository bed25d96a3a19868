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
	"time"
)

// Kind is a type's family.
type Kind int

const (
	Text Kind = iota
	Whole
	Flag
	Span
	Measure // a figure with a unit
	Set     // one of a few names
	List
)

// Type is one of the operator's types. Types with different names never compare.
type Type struct {
	Kind  Kind
	Name  string   // of a measure or a set
	Names []string // of a set's members
	Units []Unit   // of a measure, the first is what values are kept in
	Most  int      // greatest length: bytes of a text, elements of a list
	Of    *Type    // elements of a list; no list itself
}

// Unit is a word for a figure: value x scale + offset is in the first unit.
type Unit struct {
	Name          string
	Scale, Offset float64
}

// Attribute is what a transaction may carry.
type Attribute struct {
	Name       string
	Type       *Type
	MayMissing bool
}

// Schema is the attributes that expressions may name, by their place.
type Schema struct {
	Attributes []Attribute
	at         map[string]int
}

// Bounds on schemas.
const (
	mostAttributes = 256
	mostText       = 64 << 10
	mostElements   = 1024
	mostMembers    = 1 << 16
)

// NewSchema checks attributes.
func NewSchema(attributes []Attribute) (*Schema, error) {
	s := &Schema{Attributes: attributes, at: map[string]int{}}
	if len(attributes) > mostAttributes {
		return nil, fmt.Errorf("found %d attributes, expected at most %d", len(attributes), mostAttributes)
	}
	named := map[string]*Type{}
	for i, a := range attributes {
		if !name(a.Name) {
			return nil, fmt.Errorf("attribute %q: expected a name of letters, digits and _", a.Name)
		}
		if _, twice := s.at[a.Name]; twice {
			return nil, fmt.Errorf("attribute %s stands twice", a.Name)
		}
		s.at[a.Name] = i
		if err := a.Type.check(named, true); err != nil {
			return nil, fmt.Errorf("attribute %s: %w", a.Name, err)
		}
	}
	return s, nil
}

func (t *Type) check(named map[string]*Type, list bool) error {
	if t.Kind == Measure || t.Kind == Set {
		if !name(t.Name) {
			return fmt.Errorf("type %q: expected a name of letters, digits and _", t.Name)
		}
		if other := named[t.Name]; other != nil && other != t {
			return fmt.Errorf("type %s is declared twice", t.Name)
		}
		named[t.Name] = t
	}
	switch t.Kind {
	case Text:
		if t.Most < 1 || t.Most > mostText {
			return fmt.Errorf("found a text of at most %d bytes, expected 1 to %d", t.Most, mostText)
		}
	case Set:
		if len(t.Names) == 0 || len(t.Names) > mostMembers {
			return fmt.Errorf("set %s has %d members, expected 1 to %d", t.Name, len(t.Names), mostMembers)
		}
		for i, n := range t.Names {
			if !name(n) || slices.Contains(t.Names[:i], n) {
				return fmt.Errorf("set %s: member %q, expected a name of letters, digits and _ once", t.Name, n)
			}
		}
	case Measure:
		if len(t.Units) == 0 {
			return fmt.Errorf("measure %s has no unit", t.Name)
		}
		for _, u := range t.Units {
			if !name(u.Name) || u.Scale == 0 || math.IsInf(u.Scale, 0) || math.IsNaN(u.Scale+u.Offset) {
				return fmt.Errorf("measure %s: unit %q with scale %g, expected a name and a scale that is not 0", t.Name, u.Name, u.Scale)
			}
		}
	case List:
		if !list || t.Of == nil || t.Most < 1 || t.Most > mostElements {
			return fmt.Errorf("found a list of at most %d, expected 1 to %d elements that are no lists", t.Most, mostElements)
		}
		return t.Of.check(named, false)
	}
	return nil
}

func name(s string) bool {
	for i, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' || i > 0 && r >= '0' && r <= '9') {
			return false
		}
	}
	return s != "" && len(s) <= 64
}

// Value is an attribute's, or an element's of a list.
type Value struct {
	Given bool
	Num   int64 // Whole; Flag: 0 or 1; Span: microseconds; Set: place of the member
	Fig   float64
	Text  string
	List  []Value
}

// Record is what one transaction carries.
type Record struct {
	values  []Value
	element [mostNested]Value
}

// NewRecord makes an empty one.
func (s *Schema) NewRecord() *Record { return &Record{values: make([]Value, len(s.Attributes))} }

// Clear forgets all values.
func (r *Record) Clear() { clear(r.values) }

// Set takes a value from outside: a string, an int64, a float64 (of a measure, in its first unit), a bool, a
// time.Duration, or a []any of these. What does not fit its type is left missing, and an error says why.
func (s *Schema) Set(r *Record, attribute string, v any) error {
	at, known := s.at[attribute]
	if !known {
		return fmt.Errorf("found attribute %.64q, expected one that is declared", attribute)
	}
	r.values[at] = Value{}
	value, err := s.Attributes[at].Type.value(v)
	if err != nil {
		return fmt.Errorf("%s: %w", attribute, err)
	}
	r.values[at] = value
	return nil
}

func (t *Type) value(v any) (Value, error) {
	out := Value{Given: true}
	switch x := v.(type) {
	case string:
		switch {
		case t.Kind == Text && len(x) <= t.Most:
			out.Text = x
			return out, nil
		case t.Kind == Text:
			return Value{}, fmt.Errorf("found %d bytes, expected at most %d", len(x), t.Most)
		case t.Kind == Set:
			if i := slices.Index(t.Names, x); i >= 0 {
				out.Num = int64(i)
				return out, nil
			}
			return Value{}, fmt.Errorf("found %.64q, expected a member of %s", x, t.Name)
		}
	case int64:
		if out.Num = x; t.Kind == Whole {
			return out, nil
		}
	case float64:
		if out.Fig = x; t.Kind == Measure && !math.IsNaN(x) && !math.IsInf(x, 0) {
			return out, nil
		}
	case bool:
		if x {
			out.Num = 1
		}
		if t.Kind == Flag {
			return out, nil
		}
	case time.Duration:
		if out.Num = x.Microseconds(); t.Kind == Span {
			return out, nil
		}
	case []any:
		if t.Kind != List || len(x) > t.Most {
			break
		}
		for _, e := range x {
			value, err := t.Of.value(e)
			if err != nil {
				return Value{}, err
			}
			out.List = append(out.List, value)
		}
		return out, nil
	}
	return Value{}, fmt.Errorf("found a %T that does not fit, expected %s", v, t)
}

// String is how an operator would say it.
func (t *Type) String() string {
	switch t.Kind {
	case Text:
		return fmt.Sprintf("a text of at most %d bytes", t.Most)
	case Whole:
		return "a whole number"
	case Flag:
		return "a flag"
	case Span:
		return "a span"
	case List:
		return fmt.Sprintf("a list of at most %d of %v", t.Most, t.Of)
	}
	return t.Name
}
