package match

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// Predicate is a compiled expression that is true or false.
type Predicate struct {
	Cost  int64 // the most steps that it can take
	holds func(*Record) bool
	tree  *node
}

// Holds evaluates it.
func (p *Predicate) Holds(r *Record) bool { return p.holds(r) }

// Key is a compiled expression that gives a text.
type Key struct {
	Cost      int64
	MaxLength int // bytes of its text
	add       func(*Record, []byte) []byte
	tree      *node
}

// Append adds the text to what is there already.
func (k *Key) Append(to []byte, r *Record) []byte { return k.add(r, to) }

// Predicate checks and compiles a text that must be true or false.
func (c *Compiler) Predicate(text string) (*Predicate, error) {
	n, err := c.check(text)
	if err != nil {
		return nil, err
	}
	if n.of.Kind != Bool {
		return nil, &ExprError{1, 1, fmt.Sprintf("found %v, expected true or false", n.of)}
	}
	return &Predicate{Cost: n.cost, holds: truth(n), tree: n}, nil
}

// Key checks and compiles a text that must give a text.
func (c *Compiler) Key(text string) (*Key, error) {
	n, err := c.check(text)
	if err != nil {
		return nil, err
	}
	if n.of.Kind != Text {
		return nil, &ExprError{1, 1, fmt.Sprintf("found %v, expected a text", n.of)}
	}
	return &Key{Cost: n.cost, MaxLength: n.most, add: joiner(n), tree: n}, nil
}

// get gives a node's value; what is not given has the zero value.
func get(n *node) func(*Record) *Value {
	switch n.op {
	case opConst:
		v := &n.value
		return func(*Record) *Value { return v }
	case opAttribute:
		at := n.at
		return func(r *Record) *Value { return &r.values[at] }
	case opElement:
		at := n.at
		return func(r *Record) *Value { return &r.elements[at] }
	case opIf:
		cond, yes, no := truth(n.args[0]), get(n.args[1]), get(n.args[2])
		return func(r *Record) *Value {
			if cond(r) {
				return yes(r)
			}
			return no(r)
		}
	}
	if n.of.Kind == Text {
		add := joiner(n)
		return func(r *Record) *Value { return &Value{Present: true, Text: string(add(r, nil))} }
	}
	holds := truth(n)
	return func(r *Record) *Value {
		if holds(r) {
			return &yesValue
		}
		return &noValue
	}
}

var yesValue, noValue = Value{Present: true, Int: 1}, Value{Present: true}

// truth compiles what is true or false.
func truth(n *node) func(*Record) bool {
	switch n.op {
	case opAnd, opOr:
		var parts []func(*Record) bool
		for _, a := range flat(n, n.op, nil) {
			parts = append(parts, truth(a))
		}
		and := n.op == opAnd
		if len(parts) == 2 {
			a, b := parts[0], parts[1]
			if and {
				return func(r *Record) bool { return a(r) && b(r) }
			}
			return func(r *Record) bool { return a(r) || b(r) }
		}
		return func(r *Record) bool {
			for _, p := range parts {
				if p(r) != and {
					return !and
				}
			}
			return and
		}
	case opNot:
		a := truth(n.args[0])
		return func(r *Record) bool { return !a(r) }
	case opGiven:
		at := n.args[0].at
		return func(r *Record) bool { return r.values[at].Present }
	case opEqual, opUnequal, opLess, opAtMost:
		return comparison(n)
	case opIn:
		return member(n)
	case opPrefix:
		a, b := get(n.args[0]), get(n.args[1])
		return func(r *Record) bool {
			x, y := a(r), b(r)
			return x.Present && y.Present && strings.HasPrefix(x.Text, y.Text)
		}
	case opAny, opAll:
		list, body, at, all := n.args[0].at, truth(n.args[1]), n.at, n.op == opAll
		return func(r *Record) bool {
			if !r.values[list].Present {
				return false
			}
			for _, e := range r.values[list].List {
				if r.elements[at] = e; body(r) != all {
					return !all
				}
			}
			return all
		}
	}
	a := get(n)
	return func(r *Record) bool { v := a(r); return v.Present && v.Int != 0 }
}

// flat lists the parts of nested ands or ors.
func flat(n *node, o op, to []*node) []*node {
	if n.op != o {
		return append(to, n)
	}
	return flat(n.args[1], o, flat(n.args[0], o, to))
}

func comparison(n *node) func(*Record) bool {
	x, y, o := n.args[0], n.args[1], n.op
	kind := x.of.Kind
	if x.op == opAttribute && y.op == opConst && kind != Text && kind != Measure && o == opEqual { // the usual one
		at, want := x.at, y.value.Int
		return func(r *Record) bool { v := &r.values[at]; return v.Int == want && v.Present }
	}
	a, b := get(x), get(y)
	switch {
	case kind == Text && o == opEqual:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Text == y.Text }
	case kind == Text && o == opUnequal:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Text != y.Text }
	case kind == Measure && o == opLess:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Float < y.Float }
	case kind == Measure && o == opAtMost:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Float <= y.Float }
	}
	return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && ordered(kind, o, x, y) }
}

// ordered compares two given values of one kind.
func ordered(k Kind, o op, x, y *Value) bool {
	by := cmp.Compare(x.Int, y.Int)
	switch k {
	case Text:
		by = strings.Compare(x.Text, y.Text)
	case Measure:
		by = cmp.Compare(x.Float, y.Float)
	}
	switch o {
	case opEqual:
		return by == 0
	case opUnequal:
		return by != 0
	case opLess:
		return by < 0
	}
	return by <= 0
}

func member(n *node) func(*Record) bool {
	a := get(n.args[0])
	switch n.args[0].of.Kind {
	case Text:
		in := map[string]bool{}
		for _, v := range n.set {
			in[v.Text] = true
		}
		return func(r *Record) bool { v := a(r); return v.Present && in[v.Text] }
	case Measure:
		return func(r *Record) bool {
			v := a(r)
			return v.Present && slices.ContainsFunc(n.set, func(x Value) bool { return x.Float == v.Float })
		}
	}
	in := map[int64]bool{}
	for _, v := range n.set {
		in[v.Int] = true
	}
	return func(r *Record) bool { v := a(r); return v.Present && in[v.Int] }
}

// joiner compiles what gives a text, added to a buffer.
func joiner(n *node) func(*Record, []byte) []byte {
	switch n.op {
	case opJoin:
		a, b := joiner(n.args[0]), joiner(n.args[1])
		return func(r *Record, to []byte) []byte { return b(r, a(r, to)) }
	case opHash:
		a := joiner(n.args[0])
		return func(r *Record, to []byte) []byte {
			at := len(to)
			to = a(r, to)
			return hashed(to[:at], to[at:])
		}
	case opIf:
		cond, yes, no := truth(n.args[0]), joiner(n.args[1]), joiner(n.args[2])
		return func(r *Record, to []byte) []byte {
			if cond(r) {
				return yes(r, to)
			}
			return no(r, to)
		}
	}
	a := get(n)
	return func(r *Record, to []byte) []byte { return append(to, a(r).Text...) }
}

// hashed adds the hash of a text, as 16 hex digits.
func hashed(to, text []byte) []byte {
	h := xxh3.Hash(text)
	for shift := 60; shift >= 0; shift -= 4 {
		to = append(to, "0123456789abcdef"[h>>shift&15])
	}
	return to
}
