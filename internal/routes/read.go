// Package routes reads the matching blocks of a settings file: types and attributes, named expressions, routes and test
// cases. It also implements the `scalechute match` commands on them. Package match implements the language itself.
// docs/routes.md describes its use, docs/match.md its design.
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

// RouteSet is the content of the matching blocks of a file.
type RouteSet struct {
	Table           *match.Table
	Schema          *match.Schema
	Definitions     []match.Definition
	DefinitionCosts []int64 // worst case of each definition, in steps
	CostLimit       int64   // worst case of an expression, in steps
	Cases           []Case
	Profiles        []string // by slot, empty for a slot without a profile
	Accounts        []string
	Warnings        []string // valid but probably not intended, such as routes that never apply
	locations       []string // file and line of each route
}

// Case is a test case: the attributes of a transaction with the expected route and key.
type Case struct {
	Name           string
	Location       string // file and line
	Attributes     []hclread.Pair
	Route          string // "none" if no route must match
	Key            string
	HasKey         bool     // whether Key is checked
	TypeMismatches []string // attributes whose values must not fit their types
}

// Limits of a file.
const (
	maxRoutes   = 100_000
	maxKeyBytes = 1024
)

// Load reads the matching blocks of a file, and the names of its profiles and accounts. It does not look into blocks of the
// types in ignoredBlocks.
func Load(name string, ignoredBlocks ...string) (*RouteSet, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f, ignoredBlocks)
}

// Parse is Load for the content of a file.
func Parse(name string, source []byte, ignoredBlocks ...string) (*RouteSet, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f, ignoredBlocks)
}

// read reads the matching blocks of a parsed file and returns the errors of the file.
func read(f *hclread.File, ignoredBlocks []string) (*RouteSet, error) {
	names := func(blockType string) (names []string) {
		for _, block := range f.Root.Blocks(blockType, 1) {
			names = append(names, block.Labels[0])
		}
		return names
	}
	routeSet := Read(f.Root, names("profile"), names("account"))
	for _, blockType := range ignoredBlocks {
		f.Root.IgnoreBlocks(blockType)
	}
	f.Root.RejectUnknown()
	if err := f.Err(); err != nil {
		return nil, err
	}
	if routeSet == nil {
		return nil, fmt.Errorf("%s: found no attribute and no route, expected some", f.Name)
	}
	return routeSet, nil
}

// Read reads the matching blocks of a file whose other blocks the caller reads. Errors are recorded in the file. The result
// is nil if there are no matching blocks or if they have errors.
func Read(root *hclread.Body, profiles, accounts []string) *RouteSet {
	r := &reader{routeSet: &RouteSet{Profiles: profiles, Accounts: accounts}, types: map[string]*match.Type{}}
	errorsBefore := root.ErrorCount()
	matching := root.Block("matching", false)
	r.routeSet.CostLimit = int64(matching.Int("cost_limit", false, 2_000, 1, 1_000_000))
	matching.RejectUnknown()
	r.readTypes(root)
	definitions, routes := root.Blocks("let", 1), root.Blocks("route", 1)
	r.readCases(root)
	if len(r.attributes) == 0 && len(definitions)+len(routes)+len(r.routeSet.Cases) == 0 {
		return nil
	}
	var err error
	if r.routeSet.Schema, err = match.NewSchema(r.attributes); err != nil {
		root.Errorf("attributes: %v", err)
		return nil
	}
	if r.compiler, err = match.NewCompiler(r.routeSet.Schema, r.routeSet.CostLimit); err != nil {
		root.Errorf("attributes: %v", err)
		return nil
	}
	r.readDefinitions(definitions)
	r.readRoutes(routes)
	if root.ErrorCount() > errorsBefore {
		return nil
	}
	if len(routes) == 0 {
		r.routeSet.Warnings = append(r.routeSet.Warnings, "found no route: transactions with attributes are not taken")
	}
	return r.routeSet
}

// reader holds the state of one Read.
type reader struct {
	routeSet           *RouteSet
	types              map[string]*match.Type
	attributes         []match.Attribute
	compiler           *match.Compiler
	invalidDefinitions []string // names of the definitions with errors
}

// readTypes reads sets, measures and attributes.
func (r *reader) readTypes(root *hclread.Body) {
	addType := func(b *hclread.Body, t *match.Type) {
		if slices.Contains(builtinTypes, t.Name) || r.types[t.Name] != nil {
			b.Errorf("%s %s, expected a name that no other type has", b.BlockType, t.Name)
		}
		r.types[t.Name] = t
	}
	for _, b := range root.Blocks("set", 1) {
		addType(b, &match.Type{Kind: match.Enum, Name: b.Labels[0], Members: b.Texts("members", true)})
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
			b.Errorf("measure %s: values are stored in the first unit, expected it without scale and offset", t.Name)
		}
		addType(b, t)
		b.RejectUnknown()
	}
	typeNames := append([]string(nil), builtinTypes...)
	for name := range r.types {
		typeNames = append(typeNames, name)
	}
	slices.Sort(typeNames[len(builtinTypes):])
	for _, b := range root.Blocks("attribute", 1) {
		attribute := match.Attribute{Name: b.Labels[0], Optional: b.Bool("may_be_missing", false)}
		var t *match.Type
		switch name := typeNames[b.Enum("type", true, 0, typeNames...)]; name {
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
		attribute.Type = t
		r.attributes = append(r.attributes, attribute)
		b.RejectUnknown()
	}
}

// builtinTypes lists the types that need no declaration.
var builtinTypes = []string{"text", "whole", "flag", "span"}

// readDefinitions reads and checks the let blocks.
func (r *reader) readDefinitions(blocks []*hclread.Body) {
	blocksByName := map[string]*hclread.Body{}
	for _, b := range blocks {
		definition := match.Definition{Name: b.Labels[0], Source: b.Text("is", true, "")}
		b.RejectUnknown()
		if blocksByName[definition.Name] == nil {
			blocksByName[definition.Name] = b
		}
		r.routeSet.Definitions = append(r.routeSet.Definitions, definition)
	}
	for _, err := range r.compiler.Define(r.routeSet.Definitions) {
		definitionErr := err.(*match.DefinitionError)
		r.invalidDefinitions = append(r.invalidDefinitions, definitionErr.Name)
		blocksByName[definitionErr.Name].TextErrorf("is", definitionErr.Err.Line, definitionErr.Err.Column, "%s", definitionErr.Err.Msg)
	}
	for _, definition := range r.routeSet.Definitions {
		r.routeSet.DefinitionCosts = append(r.routeSet.DefinitionCosts, r.compiler.Cost(definition.Name))
	}
}

// readRoutes reads the routes and compiles them on all cores: cel-go's parser and type checker take most of the time of a
// load.
func (r *reader) readRoutes(blocks []*hclread.Body) {
	if len(blocks) > maxRoutes {
		blocks[maxRoutes].Errorf("found %d routes, expected at most %d", len(blocks), maxRoutes)
		return
	}
	names := map[string]bool{}
	routes := make([]match.Route, len(blocks))
	for i, b := range blocks {
		route := match.Route{Name: b.Labels[0], When: b.Text("when", true, ""), Key: b.Text("key", true, "")}
		if len(r.routeSet.Profiles) == 0 {
			b.Errorf("route %s: the file has no profile, expected one for it", route.Name)
		} else {
			route.Profile = b.Enum("profile", true, 0, r.routeSet.Profiles...)
			if r.routeSet.Profiles[route.Profile] == "" && b.Has("profile") { // a slot without a profile
				b.AttributeErrorf("profile", "found \"\", expected the name of a profile")
			}
		}
		if b.Has("account") && len(r.routeSet.Accounts) == 0 {
			b.AttributeErrorf("account", "found an account, expected none in a file without accounts")
		} else if b.Has("account") {
			route.Account = b.Enum("account", true, 0, r.routeSet.Accounts...) + 1
		}
		if names[route.Name] || route.Name == "none" {
			b.Errorf("route %s, expected a name that no other route has and that is not none", route.Name)
		}
		names[route.Name] = true
		b.RejectUnknown()
		routes[i] = route
		r.routeSet.locations = append(r.routeSet.locations, b.Location())
	}
	compiled, errs := make([]*match.CompiledRoute, len(routes)), make([]error, len(routes))
	var next atomic.Int64
	var done sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(routes)) {
		done.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(routes); i = int(next.Add(1)) - 1 {
				compiled[i], errs[i] = r.compiler.CompileRoute(routes[i])
			}
		})
	}
	done.Wait()
	failed := false
	for i, err := range errs {
		if err != nil {
			routeErr := err.(*match.RouteError)
			failed = true
			if slices.ContainsFunc(r.invalidDefinitions, func(name string) bool { // the error of the definition is recorded already
				return strings.HasPrefix(routeErr.Err.Msg, match.UndeclaredPrefix(name))
			}) {
				continue
			}
			blocks[i].TextErrorf(routeErr.Field, routeErr.Err.Line, routeErr.Err.Column, "%s", routeErr.Err.Msg)
		} else if _, _, maxBytes := compiled[i].Cost(); maxBytes > maxKeyBytes {
			blocks[i].AttributeErrorf("key", "found a key of up to %d bytes, expected at most %d; hash() returns 16 bytes for any text", maxBytes, maxKeyBytes)
			failed = true
		}
	}
	if failed {
		return
	}
	r.routeSet.Table = match.NewTable(r.compiler, compiled)
	for _, route := range r.routeSet.Table.Unreachable {
		r.routeSet.Warnings = append(r.routeSet.Warnings, fmt.Sprintf("%s: route %s is never reached: all that it matches goes to route %s (%s)",
			r.routeSet.locations[route.Route], routes[route.Route].Name, routes[route.CoveredBy].Name, r.routeSet.locations[route.CoveredBy]))
	}
}

// readCases reads the case blocks.
func (r *reader) readCases(root *hclread.Body) {
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
		r.routeSet.Cases = append(r.routeSet.Cases, c)
	}
}

// Summary returns the numbers of routes and attributes for a log line. The RouteSet may be nil.
func (s *RouteSet) Summary() string {
	if s == nil {
		return "no routes"
	}
	return fmt.Sprintf("%d routes over %d attributes", len(s.Table.Routes), len(s.Schema.Attributes))
}

// Location returns the file and line of a route.
func (s *RouteSet) Location(route int) string { return s.locations[route] }
