package match

import (
	"fmt"
	"slices"
	"strings"
)

// infix are the operators that stand between their two sides.
var infix = [opAll + 1]string{opAnd: "&&", opOr: "||", opEqual: "==", opUnequal: "!=", opLess: "<", opAtMost: "<=", opJoin: "+"}

// text writes a node in the language, so that nodes that mean different things read differently. Named expressions
// stand by their names or in full.
func (n *node) text(names bool) string {
	if n.named != "" && names {
		return n.named
	}
	arg := func(i int) string { return n.args[i].text(names) }
	switch n.op {
	case opConst:
		if n.of.Kind == Duration {
			return "span(" + n.of.format(&n.value) + ")"
		}
		return n.of.format(&n.value)
	case opAttribute:
		return n.name
	case opElement:
		return fmt.Sprintf("element%d", n.at)
	case opNot:
		return "!(" + arg(0) + ")"
	case opIf:
		return "(" + arg(0) + " ? " + arg(1) + " : " + arg(2) + ")"
	case opIn:
		var set []string
		for i := range n.set {
			set = append(set, n.args[0].of.format(&n.set[i]))
		}
		return arg(0) + " in [" + strings.Join(set, ", ") + "]"
	case opPrefix:
		return arg(0) + ".startsWith(" + arg(1) + ")"
	case opHash:
		return "hash(" + arg(0) + ")"
	case opGiven:
		return "given(" + arg(0) + ")"
	case opAny, opAll:
		how := "exists"
		if n.op == opAll {
			how = "all"
		}
		return fmt.Sprintf("%s.%s(element%d, %s)", arg(0), how, n.at, arg(1))
	}
	part := func(i int) string { // of another operator, in brackets
		if a := n.args[i]; infix[a.op] != "" && (a.named == "" || !names) && (a.op != n.op || i > 0) {
			return "(" + arg(i) + ")"
		}
		return arg(i)
	}
	return part(0) + " " + infix[n.op] + " " + part(1)
}

// Miss says why a route did not match: the first part of its conjunction that does not hold, and what the attributes
// of that part are.
type Miss struct {
	Route int
	Part  string
	Found string
}

// Misses are the routes before one, each with why it did not match. All of them with -1.
func (t *Table) Misses(r *Record, before int) (all []Miss) {
	if before < 0 {
		before = len(t.when)
	}
	for i := range before {
		for _, part := range t.compiled[i].parts {
			if truth(part)(r) {
				continue
			}
			var found []string
			for _, at := range part.attributes(nil) {
				a, value := &t.Schema.Attributes[at], "missing"
				if r.values[at].Present {
					value = a.Type.format(&r.values[at])
				}
				found = append(found, a.Name+" is "+value)
			}
			all = append(all, Miss{i, part.text(true), strings.Join(found, ", ")})
			break
		}
	}
	return all
}

// attributes adds the places of those that a node names.
func (n *node) attributes(to []int) []int {
	if n.op == opAttribute && !slices.Contains(to, n.at) {
		to = append(to, n.at)
	}
	for _, a := range n.args {
		to = a.attributes(to)
	}
	return to
}

// Cost is what a route's parts take at the most, in steps, and the most bytes of its key.
func (t *Table) Cost(route int) (when, key int64, bytes int) { return t.compiled[route].Cost() }

// Shape is one dimension of a table's index.
type Dimension struct {
	Attribute string
	Lookup    string
	Routes    int // that it can rule out
	Rows      int
	Bytes     int
}

// Shapes are those of the whole index.
func (t *Table) Dimensions() (all []Dimension) {
	for i := range t.dims {
		d := &t.dims[i]
		all = append(all, Dimension{t.Schema.Attributes[d.at].Name, [...]string{"equal", "range", "prefix"}[d.way], d.routes,
			len(d.rows) + 1, (len(d.rows) + 1) * t.words * 8})
	}
	return all
}
