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
	when        []*Predicate
	dims        []dimension
	words       int

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
	route Route
	when  *Predicate
	key   *Key
	parts []*node
}

// Compile checks and compiles a route. Several may be compiled at the same time; most of a load's time goes here.
func (c *Compiler) CompileRoute(r Route) (*CompiledRoute, error) {
	when, err := c.Predicate(r.When)
	if err != nil {
		return nil, &RouteError{r.Name, "when", err.(*ExprError)}
	}
	x := &CompiledRoute{route: r, when: when, parts: flat(when.tree, opAnd, nil)}
	if r.Key != "" {
		if x.key, err = c.Key(r.Key); err != nil {
			return nil, &RouteError{r.Name, "key", err.(*ExprError)}
		}
	}
	return x, nil
}

// named are the places of the attributes that it names.
func (x *CompiledRoute) named() []int {
	all := x.when.tree.attributes(nil)
	if x.key != nil {
		all = x.key.tree.attributes(all)
	}
	return all
}

// Cost is what its parts take at the most, in steps, and the most bytes of its key.
func (x *CompiledRoute) Cost() (when, key int64, bytes int) {
	if x.key != nil {
		key, bytes = x.key.Cost, x.key.MaxLength
	}
	return x.when.Cost, key, bytes
}

// NewTable indexes routes that were compiled by one checker, in their order.
func NewTable(c *Compiler, routes []*CompiledRoute) *Table {
	t := &Table{Schema: c.schema, Needs: make([]bool, len(c.schema.Attributes)), words: (len(routes) + 63) / 64}
	for _, at := range c.schema.required {
		t.Needs[at] = true
	}
	for _, x := range routes {
		for _, at := range x.named() {
			t.Needs[at] = true
		}
		t.Routes, t.compiled, t.when = append(t.Routes, x.route), append(t.compiled, x), append(t.when, x.when)
	}
	t.index()
	t.cover()
	return t
}

// First is the first route that matches, -1 if none does.
func (t *Table) FirstMatch(r *Record) int {
	var rows [maxDimensions][]uint64
	for i := range t.dims {
		rows[i] = t.dims[i].row(&r.values[t.dims[i].at])
	}
	for w := range t.words {
		word := ^uint64(0)
		for _, row := range rows[:len(t.dims)] {
			word &= row[w]
		}
		for ; word != 0; word &= word - 1 {
			at := w*64 + bits.TrailingZeros64(word)
			if at >= len(t.when) {
				break
			}
			if t.when[at].holds(r) {
				return at
			}
		}
	}
	return -1
}

// AppendKey adds the key that a route makes of a record.
func (t *Table) AppendKey(route int, to []byte, r *Record) []byte {
	if k := t.compiled[route].key; k != nil {
		return k.Append(to, r)
	}
	return to
}

// The index. A dimension is one attribute, seen in one way: it gives, for a value, a row with a bit for each route that
// this value does not rule out. The rows of all dimensions are intersected word by word, and what is left is evaluated,
// so that a row may say too much but never too little.

const (
	maxDimensions = 16
	buckets       = 256 // rows of a dimension, beside that for missing values
)

type way uint8

const (
	byEqual  way = iota // hash of the value
	byRange             // segment between bounds
	byPrefix            // hash of the first two bytes
)

type dimension struct {
	at      int
	way     way
	kind    Kind
	routes  int       // that it is said in
	bounds  []float64 // byRange, rising
	rows    [][]uint64
	missing []uint64
}

func (d *dimension) row(v *Value) []uint64 {
	if !v.Present {
		return d.missing
	}
	return d.rows[d.bucket(v)]
}

func (d *dimension) bucket(v *Value) int {
	switch d.way {
	case byRange:
		x := d.figure(v)
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
		return int(xxh3.HashString(v.Text) % buckets)
	}
	return int(uint64(v.Int) * 0x9e3779b97f4a7c15 >> 56)
}

func (d *dimension) figure(v *Value) float64 {
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
	return int((uint(s[0])*31+uint(s[1]))%(buckets-1)) + 1
}

// atom is what a part of a conjunction says of one attribute, for the index.
type atom struct {
	at     int
	way    way
	values []Value // byEqual: one of these; byPrefix: begins with the first
	lo, hi float64 // byRange: within, both included
}

// atomsOf reads a part of a conjunction. What it can't read says nothing.
func atomsOf(n *node) []atom {
	attribute := func(n *node) bool { return n.op == opAttribute }
	constant := func(n *node) bool { return n.op == opConst }
	var x, y *node
	if len(n.args) == 2 {
		x, y = n.args[0], n.args[1]
	}
	equal := func(at *node, values ...Value) []atom {
		if at.of.Kind == Measure {
			return nil
		}
		a := []atom{{at: at.at, way: byEqual, values: values}}
		if at.of.Kind == Text && len(values) == 1 {
			a = append(a, atom{at: at.at, way: byPrefix, values: values})
		}
		return a
	}
	figure := func(n *node) float64 {
		if n.of.Kind == Measure {
			return n.value.Float
		}
		return float64(n.value.Int)
	}
	switch {
	case n.op == opEqual && attribute(x) && constant(y):
		return equal(x, y.value)
	case n.op == opEqual && attribute(y) && constant(x):
		return equal(y, x.value)
	case n.op == opIn && attribute(n.args[0]):
		return equal(n.args[0], n.set...)
	case n.op == opAttribute && n.of.Kind == Bool:
		return equal(n, yesValue)
	case n.op == opPrefix && attribute(x) && constant(y) && len(y.value.Text) >= 2:
		return []atom{{at: x.at, way: byPrefix, values: []Value{y.value}}}
	case (n.op == opLess || n.op == opAtMost) && x.of.Kind != Text && attribute(x) && constant(y):
		return []atom{{at: x.at, way: byRange, lo: math.Inf(-1), hi: figure(y)}}
	case (n.op == opLess || n.op == opAtMost) && x.of.Kind != Text && attribute(y) && constant(x):
		return []atom{{at: y.at, way: byRange, lo: figure(x), hi: math.Inf(1)}}
	}
	return nil
}

func (t *Table) index() {
	type view struct {
		at  int
		way way
	}
	said, prefixes := map[view]int{}, map[int]bool{}
	atoms := make([][]atom, len(t.when))
	for i := range t.when {
		for _, part := range t.compiled[i].parts {
			of := atomsOf(part)
			atoms[i] = append(atoms[i], of...)
			if len(of) > 0 && of[0].way == byPrefix {
				prefixes[of[0].at] = true
			}
		}
		for _, a := range atoms[i] {
			said[view{a.at, a.way}]++
		}
	}
	var views []view
	for v := range said {
		if v.way != byPrefix || prefixes[v.at] { // of equalities alone, prefixes tell nothing new
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b view) int { // those that most routes speak of; ties by place
		return cmp.Or(cmp.Compare(said[b], said[a]), cmp.Compare(a.at, b.at), cmp.Compare(a.way, b.way))
	})
	for _, v := range views[:min(len(views), maxDimensions)] {
		d := dimension{at: v.at, way: v.way, kind: t.Schema.Attributes[v.at].Type.Kind, routes: said[v]}
		if v.way == byRange {
			var all []float64
			for i := range atoms {
				for _, a := range atoms[i] {
					if a.at == v.at && a.way == byRange {
						all = append(all, a.lo, a.hi)
					}
				}
			}
			all = slices.DeleteFunc(all, func(x float64) bool { return math.IsInf(x, 0) })
			slices.Sort(all)
			all = slices.Compact(all)
			for i, step := 0, max(1, (len(all)+buckets-2)/(buckets-1)); i < len(all); i += step {
				d.bounds = append(d.bounds, all[i])
			}
		}
		open := make([]uint64, t.words) // routes of which this dimension rules nothing out
		rows := make([][]uint64, buckets)
		for i := range rows {
			rows[i] = make([]uint64, t.words)
		}
		for i := range t.when {
			w, bit := i/64, uint64(1)<<(i%64)
			speaks, may := false, [buckets]bool{}
			for _, a := range atoms[i] {
				if a.at != v.at || a.way != v.way {
					continue
				}
				var here [buckets]bool
				switch a.way {
				case byRange:
					lo, hi := d.bucket(d.value(a.lo)), d.bucket(d.value(a.hi))
					for b := lo; b <= hi; b++ {
						here[b] = true
					}
				default:
					for j := range a.values {
						here[d.bucket(&a.values[j])] = true
					}
				}
				for b := range may {
					may[b] = here[b] && (may[b] || !speaks)
				}
				speaks = true
			}
			if !speaks {
				open[w] |= bit
			}
			for b := range rows {
				if !speaks || may[b] {
					rows[b][w] |= bit
				}
			}
		}
		d.rows, d.missing = rows, open
		t.dims = append(t.dims, d)
	}
}

// value is a figure as a value of the dimension's kind. Whole numbers beyond what a figure holds exactly fall into the
// same segment as their neighbours or the next, so bounds are taken a segment wider there.
func (d *dimension) value(x float64) *Value {
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
func (t *Table) cover() {
	type part struct {
		n     *node
		text  int // parts of one number mean the same
		atoms []atom
	}
	type value struct {
		at   int
		num  int64
		text string
	}
	number, parts, masks := map[string]int{}, make([][]part, len(t.when)), make([]uint64, len(t.when))
	said := map[value]int{}
	single := func(p part) (value, bool) {
		if len(p.atoms) == 0 || p.atoms[0].way != byEqual || len(p.atoms[0].values) != 1 {
			return value{}, false
		}
		v := &p.atoms[0].values[0]
		return value{p.atoms[0].at, v.Int, v.Text}, true
	}
	for i := range t.when {
		for _, n := range t.compiled[i].parts {
			text := n.text(false)
			if number[text] == 0 {
				number[text] = len(number) + 1
			}
			p := part{n, number[text], atomsOf(n)}
			parts[i], masks[i] = append(parts[i], p), masks[i]|n.mask()
			if v, is := single(p); is {
				said[v]++
			}
		}
	}
	// A route that wants one value can cover only routes that want the same: they are kept by their rarest value.
	kept, rest := map[value][]int{}, []int(nil)
	covers := func(i, j int) bool {
		if masks[i]&^masks[j] != 0 {
			return false
		}
		for _, want := range parts[i] {
			follows := always(want.n)
			for b := 0; b < len(parts[j]) && !follows; b++ {
				has := &parts[j][b]
				follows = has.text == want.text || implies(has.n, want.n, has.atoms, want.atoms)
			}
			if !follows {
				return false
			}
		}
		return true
	}
	for j := range t.when {
		by := -1
		among := func(all []int) {
			for _, i := range all {
				if by < 0 && covers(i, j) {
					by = i
				}
			}
		}
		among(rest)
		rarest, has := value{}, false
		for _, p := range parts[j] {
			if v, is := single(p); is {
				among(kept[v])
				if !has || said[v] < said[rarest] {
					rarest, has = v, true
				}
			}
		}
		switch {
		case by >= 0:
			t.Unreachable = append(t.Unreachable, UnreachableRoute{j, by})
		case has:
			kept[rarest] = append(kept[rarest], j)
		default:
			rest = append(rest, j)
		}
	}
}

func always(n *node) bool { return n.op == opConst && n.value.Int == 1 }

// implies says that where the first holds the second does. False says nothing.
func implies(first, second *node, a, b []atom) bool {
	if len(a) == 0 || len(b) == 0 || a[0].at != b[0].at || a[0].way != b[0].way {
		if len(a) == 2 && len(b) == 1 && a[1].at == b[0].at && b[0].way == byPrefix { // equal to what has the prefix
			return strings.HasPrefix(a[1].values[0].Text, b[0].values[0].Text)
		}
		return false
	}
	x, y := a[0], b[0]
	switch x.way {
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
		if !math.IsInf(bound, 0) && math.Abs(bound) >= 1<<52 && first.args[0].of.Kind != Measure {
			return false
		}
	}
	strict := func(n *node) bool { return n.op == opLess }
	inside := y.lo <= x.lo && x.hi <= y.hi
	touches := x.lo == y.lo && !math.IsInf(x.lo, 0) || x.hi == y.hi && !math.IsInf(x.hi, 0)
	return inside && (!touches || strict(first) || !strict(second))
}

// mask has a bit for each attribute that a node names, by its place modulo 64.
func (n *node) mask() (m uint64) {
	if n.op == opAttribute {
		m = 1 << (n.at % 64)
	}
	for _, a := range n.args {
		m |= a.mask()
	}
	return m
}
