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

// Route gives a profile, an account and a key to the transactions that match its condition and no earlier route.
type Route struct {
	Name    string
	When    string // source of the condition
	Key     string // source of the key, empty for no key
	Profile int    // index of the profile
	Account int    // index of the account plus 1, 0 for no account
}

// Table is a list of compiled routes with an index. The first route that matches a record applies.
type Table struct {
	Schema      *Schema
	Needs       []bool // by schema slot: whether a route uses the attribute or it is required; records may omit the others
	Routes      []Route
	Unreachable []UnreachableRoute
	predicates  []*Predicate
	dimensions  []dimension
	rowWords    int // 64-bit words of a row of the index

	compiled []*CompiledRoute
}

// UnreachableRoute is a route that never applies, because an earlier route matches all that it matches. Both are indexes
// into Table.Routes.
type UnreachableRoute struct{ Route, CoveredBy int }

// RouteError is an error in an expression of a route.
type RouteError struct {
	Name  string
	Field string // "when" or "key"
	Err   *ExprError
}

// Error returns the route, the field and the error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %s, %s: %v", e.Name, e.Field, e.Err) }

// CompiledRoute is a route that is ready to be added to a table.
type CompiledRoute struct {
	route     Route
	when      *Predicate
	key       *Key
	conjuncts []*node
}

// CompileRoute checks and compiles a route; its error is a *RouteError. It may be called concurrently: compiling routes
// takes most of the time of loading a table.
func (c *Compiler) CompileRoute(route Route) (*CompiledRoute, error) {
	when, err := c.Predicate(route.When)
	if err != nil {
		return nil, &RouteError{route.Name, "when", err.(*ExprError)}
	}
	compiled := &CompiledRoute{route: route, when: when, conjuncts: flatten(when.tree, opAnd, nil)}
	if route.Key != "" {
		if compiled.key, err = c.Key(route.Key); err != nil {
			return nil, &RouteError{route.Name, "key", err.(*ExprError)}
		}
	}
	return compiled, nil
}

// attributeSlots returns the schema slots of the attributes that the route uses.
func (r *CompiledRoute) attributeSlots() []int {
	slots := r.when.tree.attributeSlots(nil)
	if r.key != nil {
		slots = r.key.tree.attributeSlots(slots)
	}
	return slots
}

// Cost returns the worst-case numbers of steps of the condition and the key, and the greatest length of the key in bytes.
func (r *CompiledRoute) Cost() (whenCost, keyCost int64, maxKeyBytes int) {
	if r.key != nil {
		keyCost, maxKeyBytes = r.key.Cost, r.key.MaxLength
	}
	return r.when.Cost, keyCost, maxKeyBytes
}

// NewTable returns a table of routes, in the order given. All routes must have been compiled by c.
func NewTable(c *Compiler, routes []*CompiledRoute) *Table {
	t := &Table{Schema: c.schema, Needs: make([]bool, len(c.schema.Attributes)), rowWords: (len(routes) + 63) / 64}
	for _, slot := range c.schema.required {
		t.Needs[slot] = true
	}
	for _, route := range routes {
		for _, slot := range route.attributeSlots() {
			t.Needs[slot] = true
		}
		t.Routes, t.compiled, t.predicates = append(t.Routes, route.route), append(t.compiled, route), append(t.predicates, route.when)
	}
	t.buildIndex()
	t.findUnreachable()
	return t
}

// FirstMatch returns the index of the first route that matches a record, -1 if none does.
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

// AppendKey appends the key that a route gives a record to dst.
func (t *Table) AppendKey(route int, dst []byte, r *Record) []byte {
	if k := t.compiled[route].key; k != nil {
		return k.Append(dst, r)
	}
	return dst
}

// The index of a table has up to maxDimensions dimensions. A dimension is an attribute with a kind of lookup. For a value
// of the attribute it holds a row: a bitmap of the routes that the value does not rule out. FirstMatch intersects the rows
// of all dimensions and evaluates the remaining routes in order. A row may therefore have bits for routes that do not
// match, but must have the bits of all that do.
const (
	maxDimensions = 16
	bucketCount   = 256 // rows of a dimension, without the row for a missing value
)

// lookup is how a dimension finds the row for a value.
type lookup uint8

const (
	byEqual  lookup = iota // by the hash of the value
	byRange                // by the interval between bounds that the value is in
	byPrefix               // by the hash of the first two bytes
)

// dimension is a dimension of a table's index.
type dimension struct {
	slot       int
	lookup     lookup
	kind       Kind
	routeCount int        // constraints on the attribute, about one per route
	bounds     []float64  // byRange, ascending
	rows       [][]uint64 // by bucket
	missingRow []uint64   // of records without the attribute
}

// row returns the row for a value.
func (d *dimension) row(v *Value) []uint64 {
	if !v.Present {
		return d.missingRow
	}
	return d.rows[d.bucket(v)]
}

// bucket returns the bucket of a present value: the index of its row in rows.
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

// number returns a value that is a number as a float64.
func (d *dimension) number(v *Value) float64 {
	if d.kind == Measure {
		return v.Float
	}
	return float64(v.Int)
}

// prefixBucket returns the bucket of a text's first two bytes. Shorter texts share bucket 0.
func prefixBucket(s string) int {
	if len(s) < 2 {
		return 0
	}
	return int((uint(s[0])*31+uint(s[1]))%(bucketCount-1)) + 1
}

// constraint is what a conjunct requires of one attribute.
type constraint struct {
	slot   int
	lookup lookup
	values []Value // byEqual: the attribute is one of them; byPrefix: it begins with the first
	lo, hi float64 // byRange: bounds, inclusive
}

// constraintsOf returns the constraints of a conjunct, none for a conjunct of a form that the index does not support.
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

// buildIndex builds a dimension for each attribute and kind of lookup that routes constrain. If there are more than
// maxDimensions, it builds those with the most constraints.
func (t *Table) buildIndex() {
	type slotLookup struct {
		slot   int
		lookup lookup
	}
	counts, usesPrefix := map[slotLookup]int{}, map[int]bool{}
	constraints := make([][]constraint, len(t.predicates))
	for i := range t.predicates {
		for _, conjunct := range t.compiled[i].conjuncts {
			found := constraintsOf(conjunct)
			constraints[i] = append(constraints[i], found...)
			if len(found) > 0 && found[0].lookup == byPrefix {
				usesPrefix[found[0].slot] = true
			}
		}
		for _, c := range constraints[i] {
			counts[slotLookup{c.slot, c.lookup}]++
		}
	}
	var candidates []slotLookup
	for v := range counts {
		if v.lookup != byPrefix || usesPrefix[v.slot] { // without a startsWith, prefixes rule out no more than equality does
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b slotLookup) int { // by number of constraints, descending; ties by slot and lookup
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.slot, b.slot), cmp.Compare(a.lookup, b.lookup))
	})
	for _, v := range candidates[:min(len(candidates), maxDimensions)] {
		d := dimension{slot: v.slot, lookup: v.lookup, kind: t.Schema.Attributes[v.slot].Type.Kind, routeCount: counts[v]}
		if v.lookup == byRange {
			var bounds []float64
			for i := range constraints {
				for _, c := range constraints[i] {
					if c.slot == v.slot && c.lookup == byRange {
						bounds = append(bounds, c.lo, c.hi)
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
		unconstrained := make([]uint64, t.rowWords) // routes without a constraint in this dimension
		rows := make([][]uint64, bucketCount)
		for i := range rows {
			rows[i] = make([]uint64, t.rowWords)
		}
		for i := range t.predicates {
			w, bit := i/64, uint64(1)<<(i%64)
			constrained, allowed := false, [bucketCount]bool{}
			for _, c := range constraints[i] {
				if c.slot != v.slot || c.lookup != v.lookup {
					continue
				}
				var matching [bucketCount]bool
				switch c.lookup {
				case byRange:
					lo, hi := d.bucket(d.valueOf(c.lo)), d.bucket(d.valueOf(c.hi))
					for b := lo; b <= hi; b++ {
						matching[b] = true
					}
				default:
					for j := range c.values {
						matching[d.bucket(&c.values[j])] = true
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

// valueOf returns a bound as a value of the dimension's kind. Beyond 2^53 several integers have the same float64, so the
// buckets of a range can include more values than the range does there, never fewer.
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

// findUnreachable finds routes that an earlier route covers: each conjunct of the earlier route follows from a conjunct of
// the later one. It does not find routes that several earlier routes cover only together.
func (t *Table) findUnreachable() {
	type conjunct struct {
		node        *node
		sourceID    int // equal for conjuncts with the same source
		constraints []constraint
	}
	type attributeValue struct {
		slot   int
		number int64
		text   string
	}
	sourceIDs, conjuncts, masks := map[string]int{}, make([][]conjunct, len(t.predicates)), make([]uint64, len(t.predicates))
	valueCounts := map[attributeValue]int{}
	singleValue := func(p conjunct) (attributeValue, bool) { // the only value that a conjunct allows its attribute
		if len(p.constraints) == 0 || p.constraints[0].lookup != byEqual || len(p.constraints[0].values) != 1 {
			return attributeValue{}, false
		}
		v := &p.constraints[0].values[0]
		return attributeValue{p.constraints[0].slot, v.Int, v.Text}, true
	}
	for i := range t.predicates {
		for _, n := range t.compiled[i].conjuncts {
			source := n.source(false)
			if sourceIDs[source] == 0 {
				sourceIDs[source] = len(sourceIDs) + 1
			}
			p := conjunct{n, sourceIDs[source], constraintsOf(n)}
			conjuncts[i], masks[i] = append(conjuncts[i], p), masks[i]|n.attributeMask()
			if v, ok := singleValue(p); ok {
				valueCounts[v]++
			}
		}
	}
	// A route that requires an attribute to have one value covers only routes that require the same. Such routes are listed
	// by the rarest value that they require, the others in withoutValue.
	byRarestValue, withoutValue := map[attributeValue][]int{}, []int(nil)
	covers := func(i, j int) bool {
		if masks[i]&^masks[j] != 0 {
			return false
		}
		for _, want := range conjuncts[i] {
			follows := isAlwaysTrue(want.node)
			for k := 0; k < len(conjuncts[j]) && !follows; k++ {
				given := &conjuncts[j][k]
				follows = given.sourceID == want.sourceID || implies(given.node, want.node, given.constraints, want.constraints)
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
		rarest, hasValue := attributeValue{}, false
		for _, p := range conjuncts[j] {
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

// isAlwaysTrue reports whether a conjunct is the constant true.
func isAlwaysTrue(n *node) bool { return n.op == opConst && n.value.Int == 1 }

// implies reports whether the second conjunct certainly holds where the first does. have and want are the constraints of
// the first and the second. A false result does not mean that the second conjunct can be false there.
func implies(first, second *node, have, want []constraint) bool {
	if len(have) == 0 || len(want) == 0 || have[0].slot != want[0].slot || have[0].lookup != want[0].lookup {
		if len(have) == 2 && len(want) == 1 && have[1].slot == want[0].slot && want[0].lookup == byPrefix { // a text that begins with the prefix
			return strings.HasPrefix(have[1].values[0].Text, want[0].values[0].Text)
		}
		return false
	}
	a, b := have[0], want[0]
	switch a.lookup {
	case byEqual:
		for _, v := range a.values {
			if !slices.ContainsFunc(b.values, func(w Value) bool { return w.Int == v.Int && w.Text == v.Text }) {
				return false
			}
		}
		return true
	case byPrefix:
		return strings.HasPrefix(a.values[0].Text, b.values[0].Text)
	}
	for _, bound := range []float64{a.lo, a.hi, b.lo, b.hi} { // integers that may have the same float64 as others
		if !math.IsInf(bound, 0) && math.Abs(bound) >= 1<<52 && first.args[0].valueType.Kind != Measure {
			return false
		}
	}
	isStrict := func(n *node) bool { return n.op == opLess }
	inside := b.lo <= a.lo && a.hi <= b.hi
	touches := a.lo == b.lo && !math.IsInf(a.lo, 0) || a.hi == b.hi && !math.IsInf(a.hi, 0)
	return inside && (!touches || isStrict(first) || !isStrict(second))
}

// attributeMask returns a bitmap of the schema slots of the attributes in a node, modulo 64.
func (n *node) attributeMask() (m uint64) {
	if n.op == opAttribute {
		m = 1 << (n.index % 64)
	}
	for _, a := range n.args {
		m |= a.attributeMask()
	}
	return m
}
