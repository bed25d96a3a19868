// Package routes reads an operator's matching blocks: the words of the operator's trade, named expressions, the routes
// and the cases that show what they do. docs/match.md says how the language came about, docs/routes.md how it is used.
package routes

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"scalechute/internal/hclread"
	"scalechute/internal/match"
)

// Book is all that a file says of matching.
type RouteSet struct {
	Table           *match.Table
	Schema          *match.Schema
	Definitions     []match.Definition
	DefinitionCosts []int64 // of the definitions, in steps
	CostLimit       int64   // of an expression, in steps
	Cases           []Case
	Profiles        []string
	Accounts        []string
	Warnings        []string // what is no fault but hardly meant
	locations       []string // of the routes in the file
}

// Case is a transaction with what the operator expects of it.
type Case struct {
	Name           string
	Location       string
	Attributes     []hclread.Pair
	Route          string // empty: none
	Key            string
	HasKey         bool
	TypeMismatches []string // attributes whose values must not fit
}

// Bounds of a file.
const (
	maxRoutes   = 100_000
	maxKeyBytes = 1024 // bytes
)

// Load reads only the matching blocks of a file, and of its profiles and accounts the names. Blocks that belong to
// others are passed over.
func Load(name string, others ...string) (*RouteSet, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f, others)
}

// Parse is Load for what was read already.
func Parse(name string, source []byte, others ...string) (*RouteSet, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f, others)
}

func read(f *hclread.File, others []string) (*RouteSet, error) {
	names := func(kind string) (all []string) {
		for _, b := range f.Root.Blocks(kind, 1) {
			all = append(all, b.Labels[0])
		}
		return all
	}
	b := Read(f.Root, names("profile"), names("account"))
	for _, kind := range others {
		f.Root.IgnoreBlocks(kind)
	}
	f.Root.RejectUnknown()
	if err := f.Err(); err != nil {
		return nil, err
	}
	if b == nil {
		return nil, fmt.Errorf("%s: no attribute and no route, expected some", f.Name)
	}
	return b, nil
}

// Read reads the matching blocks of a file whose other blocks somebody else reads. Faults are booked with the file; the
// book is nil if there are no such blocks or they have faults.
func Read(root *hclread.Body, profiles, accounts []string) *RouteSet {
	r := &reader{book: &RouteSet{Profiles: profiles, Accounts: accounts}, types: map[string]*match.Type{}}
	before := root.ErrorCount()
	m := root.Block("matching", false)
	r.book.CostLimit = int64(m.Int("cost_limit", false, 2_000, 1, 1_000_000))
	m.RejectUnknown()
	r.words(root)
	lets, routes := root.Blocks("let", 1), root.Blocks("route", 1)
	r.cases(root)
	if len(r.attributes) == 0 && len(lets)+len(routes)+len(r.book.Cases) == 0 {
		return nil
	}
	var err error
	if r.book.Schema, err = match.NewSchema(r.attributes); err != nil {
		root.Errorf("attributes: %v", err)
		return nil
	}
	if r.checker, err = match.NewCompiler(r.book.Schema, r.book.CostLimit); err != nil {
		root.Errorf("attributes: %v", err)
		return nil
	}
	r.lets(lets)
	r.routes(routes)
	if root.ErrorCount() > before {
		return nil
	}
	if len(routes) == 0 {
		r.book.Warnings = append(r.book.Warnings, "no route: no transaction that carries attributes is taken")
	}
	return r.book
}

type reader struct {
	book       *RouteSet
	types      map[string]*match.Type
	attributes []match.Attribute
	checker    *match.Compiler
	faulty     []string // named expressions that nobody can use
}

// words reads sets, measures and attributes.
func (r *reader) words(root *hclread.Body) {
	take := func(b *hclread.Body, t *match.Type) {
		if slices.Contains(plain, t.Name) || r.types[t.Name] != nil {
			b.Errorf("%s %s, expected a name that no other type has", b.Kind, t.Name)
		}
		r.types[t.Name] = t
	}
	for _, b := range root.Blocks("set", 1) {
		take(b, &match.Type{Kind: match.Enum, Name: b.Labels[0], Members: b.Texts("members", true)})
		b.RejectUnknown()
	}
	for _, b := range root.Blocks("measure", 1) {
		t := &match.Type{Kind: match.Measure, Name: b.Labels[0]}
		for _, u := range b.Blocks("unit", 1) {
			t.Units = append(t.Units, match.Unit{Name: u.Labels[0], Scale: u.Float("scale", false, 1, -1e300, 1e300),
				Offset: u.Float("offset", false, 0, -1e300, 1e300)})
			u.RejectUnknown()
		}
		if len(t.Units) > 0 && (t.Units[0].Scale != 1 || t.Units[0].Offset != 0) {
			b.Errorf("measure %s: figures are kept in the first unit, expected it without scale and offset", t.Name)
		}
		take(b, t)
		b.RejectUnknown()
	}
	known := append([]string(nil), plain...)
	for name := range r.types {
		known = append(known, name)
	}
	slices.Sort(known[len(plain):])
	for _, b := range root.Blocks("attribute", 1) {
		a := match.Attribute{Name: b.Labels[0], Optional: b.Bool("may_be_missing", false)}
		var t *match.Type
		switch name := known[b.Enum("type", true, 0, known...)]; name {
		case "text":
			t = &match.Type{Kind: match.Text, MaxLength: b.Int("most", true, 1, 1, 64<<10)}
		case "whole":
			t = &match.Type{Kind: match.Int}
		case "flag":
			t = &match.Type{Kind: match.Bool}
		case "span":
			t = &match.Type{Kind: match.Duration}
		default:
			t = r.types[name]
		}
		if b.Has("list") {
			t = &match.Type{Kind: match.List, Element: t, MaxLength: b.Int("list", true, 1, 1, 1024)}
		}
		a.Type = t
		r.attributes = append(r.attributes, a)
		b.RejectUnknown()
	}
}

var plain = []string{"text", "whole", "flag", "span"}

func (r *reader) lets(blocks []*hclread.Body) {
	at := map[string]*hclread.Body{}
	for _, b := range blocks {
		d := match.Definition{Name: b.Labels[0], Source: b.Text("is", true, "")}
		b.RejectUnknown()
		if at[d.Name] == nil {
			at[d.Name] = b
		}
		r.book.Definitions = append(r.book.Definitions, d)
	}
	for _, err := range r.checker.Define(r.book.Definitions) {
		f := err.(*match.DefinitionError)
		r.faulty = append(r.faulty, f.Name)
		at[f.Name].TextErrorf("is", f.Err.Line, f.Err.Column, "%s", f.Err.Msg)
	}
	for _, d := range r.book.Definitions {
		r.book.DefinitionCosts = append(r.book.DefinitionCosts, r.checker.Cost(d.Name))
	}
}

// routes checks the routes on all cores: cel-go's parser and checker take most of a load's time.
func (r *reader) routes(blocks []*hclread.Body) {
	if len(blocks) > maxRoutes {
		blocks[maxRoutes].Errorf("found %d routes, expected at most %d", len(blocks), maxRoutes)
		return
	}
	seen := map[string]bool{}
	all := make([]match.Route, len(blocks))
	for i, b := range blocks {
		x := match.Route{Name: b.Labels[0], When: b.Text("when", true, ""), Key: b.Text("key", true, "")}
		if len(r.book.Profiles) == 0 {
			b.Errorf("route %s: the file has no profile, expected one for it", x.Name)
		} else {
			x.Profile = b.Enum("profile", true, 0, r.book.Profiles...)
			if r.book.Profiles[x.Profile] == "" && b.Has("profile") { // a place that none has
				b.AttributeErrorf("profile", "found \"\", expected the name of one")
			}
		}
		if b.Has("account") && len(r.book.Accounts) == 0 {
			b.AttributeErrorf("account", "found one, expected none in a file without accounts")
		} else if b.Has("account") {
			x.Account = b.Enum("account", true, 0, r.book.Accounts...) + 1
		}
		if seen[x.Name] || x.Name == "none" {
			b.Errorf("route %s, expected a name that no other route has and that is not none", x.Name)
		}
		seen[x.Name] = true
		b.RejectUnknown()
		all[i] = x
		r.book.locations = append(r.book.locations, b.Location())
	}
	compiled, faults := make([]*match.CompiledRoute, len(all)), make([]error, len(all))
	var next atomic.Int64
	var done sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(all)) {
		done.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(all); i = int(next.Add(1)) - 1 {
				compiled[i], faults[i] = r.checker.CompileRoute(all[i])
			}
		})
	}
	done.Wait()
	bad := false
	for i, err := range faults {
		if err != nil {
			f := err.(*match.RouteError)
			bad = true
			if slices.ContainsFunc(r.faulty, func(name string) bool { // its own fault is told
				return strings.HasPrefix(f.Err.Msg, match.UndeclaredPrefix(name))
			}) {
				continue
			}
			blocks[i].TextErrorf(f.Field, f.Err.Line, f.Err.Column, "%s", f.Err.Msg)
		} else if _, _, most := compiled[i].Cost(); most > maxKeyBytes {
			blocks[i].AttributeErrorf("key", "found a key of up to %d bytes, expected at most %d; hash() makes 16 of any", most, maxKeyBytes)
			bad = true
		}
	}
	if bad {
		return
	}
	r.book.Table = match.NewTable(r.checker, compiled)
	for _, x := range r.book.Table.Unreachable {
		r.book.Warnings = append(r.book.Warnings, fmt.Sprintf("%s: route %s is never reached: all that it matches goes to route %s (%s)",
			r.book.locations[x.Route], all[x.Route].Name, all[x.CoveredBy].Name, r.book.locations[x.CoveredBy]))
	}
}

func (r *reader) cases(root *hclread.Body) {
	for _, b := range root.Blocks("case", 1) {
		c := Case{Name: b.Labels[0], Location: b.Location(), Attributes: b.Pairs("with", true), Route: b.Text("route", true, "none"),
			HasKey: b.Has("key")}
		if c.HasKey {
			c.Key = b.TextOrEmpty("key")
		}
		if b.Has("misfits") {
			c.TypeMismatches = b.Texts("misfits", true)
		}
		b.RejectUnknown()
		r.book.Cases = append(r.book.Cases, c)
	}
}

// Summary says in a few words what a book holds; it may be nil.
func (b *RouteSet) Summary() string {
	if b == nil {
		return "no routes"
	}
	return fmt.Sprintf("%d routes over %d attributes", len(b.Table.Routes), len(b.Schema.Attributes))
}

// Place is where a route stands in its file.
func (b *RouteSet) Location(route int) string { return b.locations[route] }
