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
type Book struct {
	Table       *match.Table
	Schema      *match.Schema
	Definitions []match.Definition
	Costs       []int64 // of the definitions, in steps
	Limit       int64   // of an expression, in steps
	Cases       []Case
	Profiles    []string
	Accounts    []string
	Notes       []string // what is no fault but hardly meant
	places      []string // of the routes in the file
}

// Case is a transaction with what the operator expects of it.
type Case struct {
	Name    string
	Place   string
	With    []hclread.Pair
	Route   string // empty: none
	Key     string
	HasKey  bool
	Misfits []string // attributes whose values must not fit
}

// Bounds of a file.
const (
	mostRoutes = 100_000
	mostKey    = 1024 // bytes
)

// Load reads only the matching blocks of a file, and of its profiles and accounts the names. Blocks that belong to
// others are passed over.
func Load(name string, others ...string) (*Book, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f, others)
}

// Parse is Load for what was read already.
func Parse(name string, source []byte, others ...string) (*Book, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f, others)
}

func read(f *hclread.File, others []string) (*Book, error) {
	names := func(kind string) (all []string) {
		for _, b := range f.Root.Blocks(kind, 1) {
			all = append(all, b.Labels[0])
		}
		return all
	}
	b := Read(f.Root, names("profile"), names("account"))
	for _, kind := range others {
		f.Root.Pass(kind)
	}
	f.Root.Done()
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
func Read(root *hclread.Body, profiles, accounts []string) *Book {
	r := &reader{book: &Book{Profiles: profiles, Accounts: accounts}, types: map[string]*match.Type{}}
	before := root.Faults()
	m := root.Block("matching", false)
	r.book.Limit = int64(m.Whole("cost_limit", false, 2_000, 1, 1_000_000))
	m.Done()
	r.words(root)
	lets, routes := root.Blocks("let", 1), root.Blocks("route", 1)
	r.cases(root)
	if len(r.attributes) == 0 && len(lets)+len(routes)+len(r.book.Cases) == 0 {
		return nil
	}
	var err error
	if r.book.Schema, err = match.NewSchema(r.attributes); err != nil {
		root.Fault("attributes: %v", err)
		return nil
	}
	if r.checker, err = match.NewChecker(r.book.Schema, r.book.Limit); err != nil {
		root.Fault("attributes: %v", err)
		return nil
	}
	r.lets(lets)
	r.routes(routes)
	if root.Faults() > before {
		return nil
	}
	if len(routes) == 0 {
		r.book.Notes = append(r.book.Notes, "no route: no transaction that carries attributes is taken")
	}
	return r.book
}

type reader struct {
	book       *Book
	types      map[string]*match.Type
	attributes []match.Attribute
	checker    *match.Checker
	faulty     []string // named expressions that nobody can use
}

// words reads sets, measures and attributes.
func (r *reader) words(root *hclread.Body) {
	take := func(b *hclread.Body, t *match.Type) {
		if slices.Contains(plain, t.Name) || r.types[t.Name] != nil {
			b.Fault("%s %s, expected a name that no other type has", b.Kind, t.Name)
		}
		r.types[t.Name] = t
	}
	for _, b := range root.Blocks("set", 1) {
		take(b, &match.Type{Kind: match.Set, Name: b.Labels[0], Names: b.Texts("members", true)})
		b.Done()
	}
	for _, b := range root.Blocks("measure", 1) {
		t := &match.Type{Kind: match.Measure, Name: b.Labels[0]}
		for _, u := range b.Blocks("unit", 1) {
			t.Units = append(t.Units, match.Unit{Name: u.Labels[0], Scale: u.Figure("scale", false, 1, -1e300, 1e300),
				Offset: u.Figure("offset", false, 0, -1e300, 1e300)})
			u.Done()
		}
		if len(t.Units) > 0 && (t.Units[0].Scale != 1 || t.Units[0].Offset != 0) {
			b.Fault("measure %s: figures are kept in the first unit, expected it without scale and offset", t.Name)
		}
		take(b, t)
		b.Done()
	}
	known := append([]string(nil), plain...)
	for name := range r.types {
		known = append(known, name)
	}
	slices.Sort(known[len(plain):])
	for _, b := range root.Blocks("attribute", 1) {
		a := match.Attribute{Name: b.Labels[0], MayMissing: b.Flag("may_be_missing", false)}
		var t *match.Type
		switch name := known[b.Word("type", true, 0, known...)]; name {
		case "text":
			t = &match.Type{Kind: match.Text, Most: b.Whole("most", true, 1, 1, 64<<10)}
		case "whole":
			t = &match.Type{Kind: match.Whole}
		case "flag":
			t = &match.Type{Kind: match.Flag}
		case "span":
			t = &match.Type{Kind: match.Span}
		default:
			t = r.types[name]
		}
		if b.Has("list") {
			t = &match.Type{Kind: match.List, Of: t, Most: b.Whole("list", true, 1, 1, 1024)}
		}
		a.Type = t
		r.attributes = append(r.attributes, a)
		b.Done()
	}
}

var plain = []string{"text", "whole", "flag", "span"}

func (r *reader) lets(blocks []*hclread.Body) {
	at := map[string]*hclread.Body{}
	for _, b := range blocks {
		d := match.Definition{Name: b.Labels[0], Text: b.Text("is", true, "")}
		b.Done()
		if at[d.Name] == nil {
			at[d.Name] = b
		}
		r.book.Definitions = append(r.book.Definitions, d)
	}
	for _, err := range r.checker.Define(r.book.Definitions) {
		f := err.(*match.DefinitionFault)
		r.faulty = append(r.faulty, f.Name)
		at[f.Name].FaultIn("is", f.Err.Line, f.Err.Column, "%s", f.Err.Text)
	}
	for _, d := range r.book.Definitions {
		r.book.Costs = append(r.book.Costs, r.checker.Cost(d.Name))
	}
}

// routes checks the routes on all cores: cel-go's parser and checker take most of a load's time.
func (r *reader) routes(blocks []*hclread.Body) {
	if len(blocks) > mostRoutes {
		blocks[mostRoutes].Fault("found %d routes, expected at most %d", len(blocks), mostRoutes)
		return
	}
	seen := map[string]bool{}
	all := make([]match.Route, len(blocks))
	for i, b := range blocks {
		x := match.Route{Name: b.Labels[0], When: b.Text("when", true, ""), Key: b.Text("key", true, "")}
		if len(r.book.Profiles) == 0 {
			b.Fault("route %s: the file has no profile, expected one for it", x.Name)
		} else {
			x.Profile = b.Word("profile", true, 0, r.book.Profiles...)
			if r.book.Profiles[x.Profile] == "" && b.Has("profile") { // a place that none has
				b.FaultAt("profile", "found \"\", expected the name of one")
			}
		}
		if b.Has("account") && len(r.book.Accounts) == 0 {
			b.FaultAt("account", "found one, expected none in a file without accounts")
		} else if b.Has("account") {
			x.Account = b.Word("account", true, 0, r.book.Accounts...) + 1
		}
		if seen[x.Name] || x.Name == "none" {
			b.Fault("route %s, expected a name that no other route has and that is not none", x.Name)
		}
		seen[x.Name] = true
		b.Done()
		all[i] = x
		r.book.places = append(r.book.places, b.Place())
	}
	compiled, faults := make([]*match.Compiled, len(all)), make([]error, len(all))
	var next atomic.Int64
	var done sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(all)) {
		done.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(all); i = int(next.Add(1)) - 1 {
				compiled[i], faults[i] = r.checker.Compile(all[i])
			}
		})
	}
	done.Wait()
	bad := false
	for i, err := range faults {
		if err != nil {
			f := err.(*match.RouteFault)
			bad = true
			if slices.ContainsFunc(r.faulty, func(name string) bool { // its own fault is told
				return strings.HasPrefix(f.Err.Text, match.Undeclared(name))
			}) {
				continue
			}
			blocks[i].FaultIn(f.Of, f.Err.Line, f.Err.Column, "%s", f.Err.Text)
		} else if _, _, most := compiled[i].Cost(); most > mostKey {
			blocks[i].FaultAt("key", "found a key of up to %d bytes, expected at most %d; hash() makes 16 of any", most, mostKey)
			bad = true
		}
	}
	if bad {
		return
	}
	r.book.Table = match.NewTable(r.checker, compiled)
	for _, x := range r.book.Table.Covered {
		r.book.Notes = append(r.book.Notes, fmt.Sprintf("%s: route %s is never reached: all that it matches goes to route %s (%s)",
			r.book.places[x.Route], all[x.Route].Name, all[x.By].Name, r.book.places[x.By]))
	}
}

func (r *reader) cases(root *hclread.Body) {
	for _, b := range root.Blocks("case", 1) {
		c := Case{Name: b.Labels[0], Place: b.Place(), With: b.Pairs("with", true), Route: b.Text("route", true, "none"),
			HasKey: b.Has("key")}
		if c.HasKey {
			c.Key = b.Phrase("key")
		}
		if b.Has("misfits") {
			c.Misfits = b.Texts("misfits", true)
		}
		b.Done()
		r.book.Cases = append(r.book.Cases, c)
	}
}

// Summary says in a few words what a book holds; it may be nil.
func (b *Book) Summary() string {
	if b == nil {
		return "no routes"
	}
	return fmt.Sprintf("%d routes over %d attributes", len(b.Table.Routes), len(b.Schema.Attributes))
}

// Place is where a route stands in its file.
func (b *Book) Place(route int) string { return b.places[route] }
