package match

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// Route says what becomes of the transactions that match it.
type Route struct {
	Name    string
	When    string // true or false
	Key     string // a text; empty: none
	Profile int
	Account int
}

// Table is routes in order, compiled and indexed: its answer is always that of the first that matches.
type Table struct {
	Schema      *Schema
	Needs       []bool // by attribute: some route names it, or it must be there. Others need not be put into records
	Routes      []Route
	Unreachable []UnreachableRoute // routes that no transaction can reach
	predicates  []*Predicate
	dimensions  []dimension
	rowWords    int

	compiled []*CompiledRoute
}

// Cover is a route that an earlier one covers.
type UnreachableRoute struct{ Route, CoveredBy int }

// RouteFault is a fault of one route.
type RouteError struct {
	Name  string
	Field string // "when" or "key"
	Err   *ExprError
}

func (f *RouteError) Error() string { return fmt.Sprintf("route %s, %s: %v", f.Name, f.Field, f.Err) }

// Compiled is a route that was checked by itself.
type CompiledRoute struct {
	route     Route
	when      *Predicate
	key       *Key
	conjuncts []*node
}

// Compile checks and compiles a route. Several may be compiled at the same time; most of a load's time goes here.
func (c *Compiler) CompileRoute(r Route) (*CompiledRoute, error) {
	when, err := c.Predicate(r.When)
	if err != nil {
		return nil, &RouteError{r.Name, "when", err.(*ExprError)}
	}
	x := &CompiledRoute{route: r, when: when, conjuncts: flatten(when.tree, opAnd, nil)}
	if r.Key != "" {
		if x.key, err = c.Key(r.Key); err != nil {
			return nil, &RouteError{r.Name, "key", err.(*ExprError)}
		}
	}
	return x, nil
}

// named are the places of the attributes that it names.
func (x *CompiledRoute) attributeSlots() []int {
	slots := x.when.tree.attributeSlots(nil)
	if x.key != nil {
		slots = x.key.tree.attributeSlots(slots)
	}
	return slots
}

// Cost is what its parts take at the most, in steps, and the most bytes of its key.
func (x *CompiledRoute) Cost() (whenCost, keyCost int64, maxKeyBytes int) {
	if x.key != nil {
		keyCost, maxKeyBytes = x.key.Cost, x.key.MaxLength
	}
	return x.when.Cost, keyCost, maxKeyBytes
}

// NewTable indexes routes that were compiled by one checker, in their order.
func NewTable(c *Compiler, routes []*CompiledRoute) *Table {
	t := &Table{Schema: c.schema, Needs: make([]bool, len(c.schema.Attributes)), rowWords: (len(routes) + 63) / 64}
	for _, slot := range c.schema.required {
		t.Needs[slot] = true
	}
	for _, x := range routes {
		for _, slot := range x.attributeSlots() {
			t.Needs[slot] = true
		}
		t.Routes, t.compiled, t.predicates = append(t.Routes, x.route), append(t.compiled, x), append(t.predicates, x.when)
	}
	t.buildIndex()
	t.findUnreachable()
	return t
}

// First is the first route that matches, -1 if none does.
func (t *Table) FirstMatch(r *Record) int {
	var rows [maxDimensions][]uint64
	for i := range t.dimensions {
		rows[i] = t.dimensions[i].row(&r.values[t.dimensions[i].slot])
	}
	for w := range t.rowWords {
		word := ^uint64(0)
		for _, row := range rows[:len(t.dimensions)] {
			word &= row[w]
		}
		for ; word != 0; word &= word - 1 {
			route := w*64 + bits.TrailingZeros64(word)
			if route >= len(t.predicates) {
				break
			}
			if t.predicates[route].holds(r) {
				return route
			}
		}
	}
	return -1
}

// AppendKey adds the key that a route makes of a record.
func (t *Table) AppendKey(route int, dst []byte, r *Record) []byte {
	if k := t.compiled[route].key; k != nil {
		return k.Append(dst, r)
	}
	return dst
}

// The index. A dimension is one attribute, seen in one way: it gives, for a value, a row with a bit for each route that
// this value does not rule out. The rows of all dimensions are intersected word by word, and what is left is evaluated,
// so that a row may say too much but never too little.

const (
	maxDimensions = 16
	bucketCount   = 256 // rows of a dimension, beside that for missing values
)

type lookup uint8

const (
	byEqual  lookup = iota // hash of the value
	byRange                // segment between bounds
	byPrefix               // hash of the first two bytes
)

type dimension struct {
	slot       int
	lookup     lookup
	kind       Kind
	routeCount int       // that it is said in
	bounds     []float64 // byRange, rising
	rows       [][]uint64
	missingRow []uint64
}

func (d *dimension) row(v *Value) []uint64 {
	if !v.Present {
		return d.missingRow
	}
	return d.rows[d.bucket(v)]
}

func (d *dimension) bucket(v *Value) int {
	switch d.lookup {
	case byRange:
		x := d.number(v)
		lo, hi := 0, len(d.bounds)
		for lo < hi {
			if mid := (lo + hi) / 2; d.bounds[mid] <= x {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		return lo
	case byPrefix:
		return prefixBucket(v.Text)
	}
	if d.kind == Text {
		return int(xxh3.HashString(v.Text) % bucketCount)
	}
	return int(uint64(v.Int) * 0x9e3779b97f4a7c15 >> 56)
}

func (d *dimension) number(v *Value) float64 {
	if d.kind == Measure {
		return v.Float
	}
	return float64(v.Int)
}

// prefixBucket puts texts of fewer than two bytes together.
func prefixBucket(s string) int {
	if len(s) < 2 {
		return 0
	}
	return int((uint(s[0])*31+uint(s[1]))%(bucketCount-1)) + 1
}

// atom is what a part of a conjunction says of one attribute, for the index.
type constraint struct {
	slot   int
	lookup lookup
	values []Value // byEqual: one of these; byPrefix: begins with the first
	lo, hi float64 // byRange: within, both included
}

// atomsOf reads a part of a conjunction. What it can't read says nothing.
func constraintsOf(n *node) []constraint {
	isAttribute := func(n *node) bool { return n.op == opAttribute }
	isConstant := func(n *node) bool { return n.op == opConst }
	var x, y *node
	if len(n.args) == 2 {
		x, y = n.args[0], n.args[1]
	}
	equal := func(operand *node, values ...Value) []constraint {
		if operand.valueType.Kind == Measure {
			return nil
		}
		constraints := []constraint{{slot: operand.index, lookup: byEqual, values: values}}
		if operand.valueType.Kind == Text && len(values) == 1 {
			constraints = append(constraints, constraint{slot: operand.index, lookup: byPrefix, values: values})
		}
		return constraints
	}
	number := func(n *node) float64 {
		if n.valueType.Kind == Measure {
			return n.value.Float
		}
		return float64(n.value.Int)
	}
	switch {
	case n.op == opEqual && isAttribute(x) && isConstant(y):
		return equal(x, y.value)
	case n.op == opEqual && isAttribute(y) && isConstant(x):
		return equal(y, x.value)
	case n.op == opIn && isAttribute(n.args[0]):
		return equal(n.args[0], n.constants...)
	case n.op == opAttribute && n.valueType.Kind == Bool:
		return equal(n, trueValue)
	case n.op == opHasPrefix && isAttribute(x) && isConstant(y) && len(y.value.Text) >= 2:
		return []constraint{{slot: x.index, lookup: byPrefix, values: []Value{y.value}}}
	case (n.op == opLess || n.op == opLessEqual) && x.valueType.Kind != Text && isAttribute(x) && isConstant(y):
		return []constraint{{slot: x.index, lookup: byRange, lo: math.Inf(-1), hi: number(y)}}
	case (n.op == opLess || n.op == opLessEqual) && x.valueType.Kind != Text && isAttribute(y) && isConstant(x):
		return []constraint{{slot: y.index, lookup: byRange, lo: number(x), hi: math.Inf(1)}}
	}
	return nil
}

func (t *Table) buildIndex() {
	type view struct {
		at  int
		way lookup
	}
	counts, usesPrefix := map[view]int{}, map[int]bool{}
	constraints := make([][]constraint, len(t.predicates))
	for i := range t.predicates {
		for _, part := range t.compiled[i].conjuncts {
			found := constraintsOf(part)
			constraints[i] = append(constraints[i], found...)
			if len(found) > 0 && found[0].lookup == byPrefix {
				usesPrefix[found[0].slot] = true
			}
		}
		for _, a := range constraints[i] {
			counts[view{a.slot, a.lookup}]++
		}
	}
	var views []view
	for v := range counts {
		if v.way != byPrefix || usesPrefix[v.at] { // of equalities alone, prefixes tell nothing new
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b view) int { // those that most routes speak of; ties by place
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.at, b.at), cmp.Compare(a.way, b.way))
	})
	for _, v := range views[:min(len(views), maxDimensions)] {
		d := dimension{slot: v.at, lookup: v.way, kind: t.Schema.Attributes[v.at].Type.Kind, routeCount: counts[v]}
		if v.way == byRange {
			var bounds []float64
			for i := range constraints {
				for _, a := range constraints[i] {
					if a.slot == v.at && a.lookup == byRange {
						bounds = append(bounds, a.lo, a.hi)
					}
				}
			}
			bounds = slices.DeleteFunc(bounds, func(x float64) bool { return math.IsInf(x, 0) })
			slices.Sort(bounds)
			bounds = slices.Compact(bounds)
			for i, step := 0, max(1, (len(bounds)+bucketCount-2)/(bucketCount-1)); i < len(bounds); i += step {
				d.bounds = append(d.bounds, bounds[i])
			}
		}
		unconstrained := make([]uint64, t.rowWords) // routes of which this dimension rules nothing out
		rows := make([][]uint64, bucketCount)
		for i := range rows {
			rows[i] = make([]uint64, t.rowWords)
		}
		for i := range t.predicates {
			w, bit := i/64, uint64(1)<<(i%64)
			constrained, allowed := false, [bucketCount]bool{}
			for _, a := range constraints[i] {
				if a.slot != v.at || a.lookup != v.way {
					continue
				}
				var matching [bucketCount]bool
				switch a.lookup {
				case byRange:
					lo, hi := d.bucket(d.valueOf(a.lo)), d.bucket(d.valueOf(a.hi))
					for b := lo; b <= hi; b++ {
						matching[b] = true
					}
				default:
					for j := range a.values {
						matching[d.bucket(&a.values[j])] = true
					}
				}
				for b := range allowed {
					allowed[b] = matching[b] && (allowed[b] || !constrained)
				}
				constrained = true
			}
			if !constrained {
				unconstrained[w] |= bit
			}
			for b := range rows {
				if !constrained || allowed[b] {
					rows[b][w] |= bit
				}
			}
		}
		d.rows, d.missingRow = rows, unconstrained
		t.dimensions = append(t.dimensions, d)
	}
}

// value is a figure as a value of the dimension's kind. Whole numbers beyond what a figure holds exactly fall into the
// same segment as their neighbours or the next, so bounds are taken a segment wider there.
func (d *dimension) valueOf(x float64) *Value {
	switch {
	case d.kind == Measure:
		return &Value{Present: true, Float: x}
	case x >= math.MaxInt64:
		return &Value{Present: true, Int: math.MaxInt64}
	case x <= math.MinInt64:
		return &Value{Present: true, Int: math.MinInt64}
	}
	return &Value{Present: true, Int: int64(x)}
}

// cover finds routes that an earlier one covers: each part of that one's conjunction follows from a part of theirs. It
// finds no cover by several routes together.
func (t *Table) findUnreachable() {
	type part struct {
		n     *node
		text  int // parts of one number mean the same
		atoms []constraint
	}
	type value struct {
		at   int
		num  int64
		text string
	}
	sourceIDs, parts, masks := map[string]int{}, make([][]part, len(t.predicates)), make([]uint64, len(t.predicates))
	valueCounts := map[value]int{}
	singleValue := func(p part) (value, bool) {
		if len(p.atoms) == 0 || p.atoms[0].lookup != byEqual || len(p.atoms[0].values) != 1 {
			return value{}, false
		}
		v := &p.atoms[0].values[0]
		return value{p.atoms[0].slot, v.Int, v.Text}, true
	}
	for i := range t.predicates {
		for _, n := range t.compiled[i].conjuncts {
			source := n.source(false)
			if sourceIDs[source] == 0 {
				sourceIDs[source] = len(sourceIDs) + 1
			}
			p := part{n, sourceIDs[source], constraintsOf(n)}
			parts[i], masks[i] = append(parts[i], p), masks[i]|n.attributeMask()
			if v, ok := singleValue(p); ok {
				valueCounts[v]++
			}
		}
	}
	// A route that wants one value can cover only routes that want the same: they are kept by their rarest value.
	byRarestValue, withoutValue := map[value][]int{}, []int(nil)
	covers := func(i, j int) bool {
		if masks[i]&^masks[j] != 0 {
			return false
		}
		for _, want := range parts[i] {
			follows := isAlwaysTrue(want.n)
			for b := 0; b < len(parts[j]) && !follows; b++ {
				hasValue := &parts[j][b]
				follows = hasValue.text == want.text || implies(hasValue.n, want.n, hasValue.atoms, want.atoms)
			}
			if !follows {
				return false
			}
		}
		return true
	}
	for j := range t.predicates {
		coveredBy := -1
		tryCovering := func(candidates []int) {
			for _, i := range candidates {
				if coveredBy < 0 && covers(i, j) {
					coveredBy = i
				}
			}
		}
		tryCovering(withoutValue)
		rarest, hasValue := value{}, false
		for _, p := range parts[j] {
			if v, ok := singleValue(p); ok {
				tryCovering(byRarestValue[v])
				if !hasValue || valueCounts[v] < valueCounts[rarest] {
					rarest, hasValue = v, true
				}
			}
		}
		switch {
		case coveredBy >= 0:
			t.Unreachable = append(t.Unreachable, UnreachableRoute{j, coveredBy})
		case hasValue:
			byRarestValue[rarest] = append(byRarestValue[rarest], j)
		default:
			withoutValue = append(withoutValue, j)
		}
	}
}

func isAlwaysTrue(n *node) bool { return n.op == opConst && n.value.Int == 1 }

// implies says that where the first holds the second does. False says nothing.
func implies(first, second *node, firstConstraints, secondConstraints []constraint) bool {
	if len(firstConstraints) == 0 || len(secondConstraints) == 0 || firstConstraints[0].slot != secondConstraints[0].slot || firstConstraints[0].lookup != secondConstraints[0].lookup {
		if len(firstConstraints) == 2 && len(secondConstraints) == 1 && firstConstraints[1].slot == secondConstraints[0].slot && secondConstraints[0].lookup == byPrefix { // equal to what has the prefix
			return strings.HasPrefix(firstConstraints[1].values[0].Text, secondConstraints[0].values[0].Text)
		}
		return false
	}
	x, y := firstConstraints[0], secondConstraints[0]
	switch x.lookup {
	case byEqual:
		for _, v := range x.values {
			if !slices.ContainsFunc(y.values, func(w Value) bool { return w.Int == v.Int && w.Text == v.Text }) {
				return false
			}
		}
		return true
	case byPrefix:
		return strings.HasPrefix(x.values[0].Text, y.values[0].Text)
	}
	for _, bound := range []float64{x.lo, x.hi, y.lo, y.hi} { // whole numbers that figures do not tell apart
		if !math.IsInf(bound, 0) && math.Abs(bound) >= 1<<52 && first.args[0].valueType.Kind != Measure {
			return false
		}
	}
	isStrict := func(n *node) bool { return n.op == opLess }
	inside := y.lo <= x.lo && x.hi <= y.hi
	touches := x.lo == y.lo && !math.IsInf(x.lo, 0) || x.hi == y.hi && !math.IsInf(x.hi, 0)
	return inside && (!touches || isStrict(first) || !isStrict(second))
}

// mask has a bit for each attribute that a node names, by its place modulo 64.
func (n *node) attributeMask() (m uint64) {
	if n.op == opAttribute {
		m = 1 << (n.index % 64)
	}
	for _, a := range n.args {
		m |= a.attributeMask()
	}
	return m
}
