package match

import (
	"fmt"
	"slices"
	"strings"
)

// infixOperators holds the operators that are written between their two operands.
var infixOperators = [opAll + 1]string{opAnd: "&&", opOr: "||", opEqual: "==", opNotEqual: "!=", opLess: "<", opLessEqual: "<=", opConcat: "+"}

// source returns a node as an expression of the language. Nodes with different meanings have different sources.
// Definitions appear by their names if useNames is true, and in full otherwise.
func (n *node) source(useNames bool) string {
	if n.definition != "" && useNames {
		return n.definition
	}
	arg := func(i int) string { return n.args[i].source(useNames) }
	switch n.op {
	case opConst:
		if n.valueType.Kind == Duration {
			return "span(" + n.valueType.format(&n.value) + ")"
		}
		return n.valueType.format(&n.value)
	case opAttribute:
		return n.name
	case opElement:
		return fmt.Sprintf("element%d", n.index)
	case opNot:
		return "!(" + arg(0) + ")"
	case opConditional:
		return "(" + arg(0) + " ? " + arg(1) + " : " + arg(2) + ")"
	case opIn:
		var constants []string
		for i := range n.constants {
			constants = append(constants, n.args[0].valueType.format(&n.constants[i]))
		}
		return arg(0) + " in [" + strings.Join(constants, ", ") + "]"
	case opHasPrefix:
		return arg(0) + ".startsWith(" + arg(1) + ")"
	case opHash:
		return "hash(" + arg(0) + ")"
	case opGiven:
		return "given(" + arg(0) + ")"
	case opExists, opAll:
		macro := "exists"
		if n.op == opAll {
			macro = "all"
		}
		return fmt.Sprintf("%s.%s(element%d, %s)", arg(0), macro, n.index, arg(1))
	}
	operand := func(i int) string { // in parentheses if needed
		if a := n.args[i]; infixOperators[a.op] != "" && (a.definition == "" || !useNames) && (a.op != n.op || i > 0) {
			return "(" + arg(i) + ")"
		}
		return arg(i)
	}
	return operand(0) + " " + infixOperators[n.op] + " " + operand(1)
}

// Miss describes why a route does not match a record.
type Miss struct {
	Route    int
	Conjunct string // source of the first conjunct that does not hold
	Values   string // values of the attributes in the conjunct
}

// Misses returns a Miss for each route before the given one that does not match, or for each route that does not match
// if before is -1.
func (t *Table) Misses(r *Record, before int) (misses []Miss) {
	if before < 0 {
		before = len(t.predicates)
	}
	for i := range before {
		for _, conjunct := range t.compiled[i].conjuncts {
			if compileBool(conjunct)(r) {
				continue
			}
			var values []string
			for _, slot := range conjunct.attributeSlots(nil) {
				a, value := &t.Schema.Attributes[slot], "missing"
				if r.values[slot].Present {
					value = a.Type.format(&r.values[slot])
				}
				values = append(values, a.Name+" is "+value)
			}
			misses = append(misses, Miss{i, conjunct.source(true), strings.Join(values, ", ")})
			break
		}
	}
	return misses
}

// attributeSlots appends the schema slots of the attributes in a node to slots, each once.
func (n *node) attributeSlots(slots []int) []int {
	if n.op == opAttribute && !slices.Contains(slots, n.index) {
		slots = append(slots, n.index)
	}
	for _, a := range n.args {
		slots = a.attributeSlots(slots)
	}
	return slots
}

// Cost returns the worst-case numbers of steps of a route's condition and key, and the greatest length of the key in
// bytes.
func (t *Table) Cost(route int) (when, key int64, bytes int) { return t.compiled[route].Cost() }

// DimensionInfo describes one dimension of a table's index.
type DimensionInfo struct {
	Attribute string
	Lookup    string // equal, range or prefix
	Routes    int    // constraints on the attribute, about one per route
	Rows      int
	Bytes     int // memory of the rows
}

// Dimensions describes the dimensions of the index.
func (t *Table) Dimensions() (infos []DimensionInfo) {
	for i := range t.dimensions {
		d := &t.dimensions[i]
		infos = append(infos, DimensionInfo{t.Schema.Attributes[d.slot].Name, [...]string{"equal", "range", "prefix"}[d.lookup], d.routeCount,
			len(d.rows) + 1, (len(d.rows) + 1) * t.rowWords * 8})
	}
	return infos
}
