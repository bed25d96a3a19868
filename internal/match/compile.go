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
	Cost  int64 // worst-case number of steps
	holds func(*Record) bool
	tree  *node
}

// Holds reports whether the predicate is true of a record.
func (p *Predicate) Holds(r *Record) bool { return p.holds(r) }

// Key is a compiled expression whose value is a text.
type Key struct {
	Cost       int64 // worst-case number of steps
	MaxLength  int   // bytes
	appendText func(*Record, []byte) []byte
	tree       *node
}

// Append appends the key of a record to dst.
func (k *Key) Append(dst []byte, r *Record) []byte { return k.appendText(r, dst) }

// Predicate checks and compiles an expression that is true or false.
func (c *Compiler) Predicate(source string) (*Predicate, error) {
	n, err := c.check(source)
	if err != nil {
		return nil, err
	}
	if n.valueType.Kind != Bool {
		return nil, &ExprError{1, 1, fmt.Sprintf("found %v, expected true or false", n.valueType)}
	}
	return &Predicate{Cost: n.cost, holds: compileBool(n), tree: n}, nil
}

// Key checks and compiles an expression whose value is a text.
func (c *Compiler) Key(source string) (*Key, error) {
	n, err := c.check(source)
	if err != nil {
		return nil, err
	}
	if n.valueType.Kind != Text {
		return nil, &ExprError{1, 1, fmt.Sprintf("found %v, expected a text", n.valueType)}
	}
	return &Key{Cost: n.cost, MaxLength: n.maxLength, appendText: compileText(n), tree: n}, nil
}

// compileValue compiles a node of any type. A missing value is a Value with empty Text and Present false.
func compileValue(n *node) func(*Record) *Value {
	switch n.op {
	case opConst:
		v := &n.value
		return func(*Record) *Value { return v }
	case opAttribute:
		index := n.index
		return func(r *Record) *Value { return &r.values[index] }
	case opElement:
		index := n.index
		return func(r *Record) *Value { return &r.elements[index] }
	case opConditional:
		condition, whenTrue, whenFalse := compileBool(n.args[0]), compileValue(n.args[1]), compileValue(n.args[2])
		return func(r *Record) *Value {
			if condition(r) {
				return whenTrue(r)
			}
			return whenFalse(r)
		}
	}
	if n.valueType.Kind == Text {
		appendText := compileText(n)
		return func(r *Record) *Value { return &Value{Present: true, Text: string(appendText(r, nil))} }
	}
	holds := compileBool(n)
	return func(r *Record) *Value {
		if holds(r) {
			return &trueValue
		}
		return &falseValue
	}
}

// trueValue and falseValue are the values of a node that is true or false.
var trueValue, falseValue = Value{Present: true, Int: 1}, Value{Present: true}

// compileBool compiles a node that is true or false.
func compileBool(n *node) func(*Record) bool {
	switch n.op {
	case opAnd, opOr:
		var parts []func(*Record) bool
		for _, a := range flatten(n, n.op, nil) {
			parts = append(parts, compileBool(a))
		}
		isAnd := n.op == opAnd
		if len(parts) == 2 {
			a, b := parts[0], parts[1]
			if isAnd {
				return func(r *Record) bool { return a(r) && b(r) }
			}
			return func(r *Record) bool { return a(r) || b(r) }
		}
		return func(r *Record) bool {
			for _, p := range parts {
				if p(r) != isAnd {
					return !isAnd
				}
			}
			return isAnd
		}
	case opNot:
		a := compileBool(n.args[0])
		return func(r *Record) bool { return !a(r) }
	case opGiven:
		index := n.args[0].index
		return func(r *Record) bool { return r.values[index].Present }
	case opEqual, opNotEqual, opLess, opLessEqual:
		return compileComparison(n)
	case opIn:
		return compileMembership(n)
	case opHasPrefix:
		a, b := compileValue(n.args[0]), compileValue(n.args[1])
		return func(r *Record) bool {
			x, y := a(r), b(r)
			return x.Present && y.Present && strings.HasPrefix(x.Text, y.Text)
		}
	case opExists, opAll:
		slot, body, index, isAll := n.args[0].index, compileBool(n.args[1]), n.index, n.op == opAll
		return func(r *Record) bool {
			if !r.values[slot].Present {
				return false
			}
			for _, e := range r.values[slot].List {
				if r.elements[index] = e; body(r) != isAll {
					return !isAll
				}
			}
			return isAll
		}
	}
	a := compileValue(n)
	return func(r *Record) bool { v := a(r); return v.Present && v.Int != 0 }
}

// flatten appends to parts the operands of nested nodes of one operator, in order.
func flatten(n *node, operator op, parts []*node) []*node {
	if n.op != operator {
		return append(parts, n)
	}
	return flatten(n.args[1], operator, flatten(n.args[0], operator, parts))
}

// compileComparison compiles ==, !=, < and <=.
func compileComparison(n *node) func(*Record) bool {
	left, right, o := n.args[0], n.args[1], n.op
	kind := left.valueType.Kind
	if left.op == opAttribute && right.op == opConst && kind != Text && kind != Measure && o == opEqual { // fast path for the most frequent comparison
		slot, want := left.index, right.value.Int
		return func(r *Record) bool { v := &r.values[slot]; return v.Int == want && v.Present }
	}
	a, b := compileValue(left), compileValue(right)
	switch {
	case kind == Text && o == opEqual:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Text == y.Text }
	case kind == Text && o == opNotEqual:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Text != y.Text }
	case kind == Measure && o == opLess:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Float < y.Float }
	case kind == Measure && o == opLessEqual:
		return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && x.Float <= y.Float }
	}
	return func(r *Record) bool { x, y := a(r), b(r); return x.Present && y.Present && compare(kind, o, x, y) }
}

// compare applies a comparison operator to two present values of one kind.
func compare(kind Kind, operator op, x, y *Value) bool {
	order := cmp.Compare(x.Int, y.Int)
	switch kind {
	case Text:
		order = strings.Compare(x.Text, y.Text)
	case Measure:
		order = cmp.Compare(x.Float, y.Float)
	}
	switch operator {
	case opEqual:
		return order == 0
	case opNotEqual:
		return order != 0
	case opLess:
		return order < 0
	}
	return order <= 0
}

// compileMembership compiles membership in a list of constants.
func compileMembership(n *node) func(*Record) bool {
	operand := compileValue(n.args[0])
	switch n.args[0].valueType.Kind {
	case Text:
		constants := map[string]bool{}
		for _, v := range n.constants {
			constants[v.Text] = true
		}
		return func(r *Record) bool { v := operand(r); return v.Present && constants[v.Text] }
	case Measure:
		return func(r *Record) bool {
			v := operand(r)
			return v.Present && slices.ContainsFunc(n.constants, func(x Value) bool { return x.Float == v.Float })
		}
	}
	constants := map[int64]bool{}
	for _, v := range n.constants {
		constants[v.Int] = true
	}
	return func(r *Record) bool { v := operand(r); return v.Present && constants[v.Int] }
}

// compileText compiles a node whose value is a text into a function that appends the text to a buffer.
func compileText(n *node) func(*Record, []byte) []byte {
	switch n.op {
	case opConcat:
		a, b := compileText(n.args[0]), compileText(n.args[1])
		return func(r *Record, dst []byte) []byte { return b(r, a(r, dst)) }
	case opHash:
		a := compileText(n.args[0])
		return func(r *Record, dst []byte) []byte {
			start := len(dst)
			dst = a(r, dst)
			return appendHash(dst[:start], dst[start:])
		}
	case opConditional:
		condition, whenTrue, whenFalse := compileBool(n.args[0]), compileText(n.args[1]), compileText(n.args[2])
		return func(r *Record, dst []byte) []byte {
			if condition(r) {
				return whenTrue(r, dst)
			}
			return whenFalse(r, dst)
		}
	}
	a := compileValue(n)
	return func(r *Record, dst []byte) []byte { return append(dst, a(r).Text...) }
}

// appendHash appends the XXH3 hash of a text as 16 hexadecimal digits.
func appendHash(dst, text []byte) []byte {
	hash := xxh3.Hash(text)
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, "0123456789abcdef"[hash>>shift&15])
	}
	return dst
}
