package measure

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"strings"
	"time"

	"cel.dev/cel-go/cel"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"scalechute/internal/hclread"
	"scalechute/internal/match"
	"scalechute/internal/routes"
	"scalechute/internal/wire"
)

// MatchResult is the cost of finding the route of a transaction in three ways: by the index, by a linear search with this
// project's evaluation, and by a linear search with cel-go's evaluation. Times are means per call in nanoseconds.
type MatchResult struct {
	RouteCount                  int
	LoadTime                    time.Duration // to parse and compile the whole file
	IndexNs, ScanNs, CELNs      float64
	IndexAllocs, CELAllocs      float64 // per transaction
	PredicateNs, CELPredicateNs float64 // of evaluating one expression that is true
	Matched, Mismatched         int     // transactions that match a route, and those for which the three ways disagree
}

// schemaTemplate declares the attributes, with a verb for the names of the depots.
const schemaTemplate = `
set "depot" {
  members = [%s]
}
set "class" {
  members = ["reefer", "van"]
}
measure "temperature" {
  unit "celsius" {}
}
attribute "depot" {
  type = "depot"
}
attribute "class" {
  type           = "class"
  may_be_missing = true
}
attribute "kind" {
  type           = "text"
  most           = 16
  may_be_missing = true
}
attribute "size" {
  type           = "whole"
  may_be_missing = true
}
attribute "temp" {
  type           = "temperature"
  may_be_missing = true
}
attribute "urgent" {
  type           = "flag"
  may_be_missing = true
}
attribute "id" {
  type           = "text"
  most           = 64
  may_be_missing = true
}
attribute "age" {
  type           = "span"
  may_be_missing = true
}
`

// depotCount is the number of depots that routes distinguish.
const depotCount = 200

// routesSource returns the source of the schema and of routes such as a large operator might have: by depot, kind, size
// and temperature.
func routesSource(routeCount int) string {
	var b strings.Builder
	names := make([]string, depotCount)
	for i := range names {
		names[i] = fmt.Sprintf("%q", fmt.Sprint("s", i))
	}
	fmt.Fprintf(&b, schemaTemplate, strings.Join(names, ", "))
	for i := range routeCount {
		fmt.Fprintf(&b, "route \"r%d\" {\n  when    = \"%s\"\n  key     = \"id\"\n  profile = \"reading\"\n}\n", i,
			strings.ReplaceAll(routeCondition(i, "depot.s%d", "celsius(%d)"), `"`, `'`))
	}
	return b.String()
}

// catchAllRoute matches the transactions that match no other route.
const catchAllRoute = "route \"rest\" {\n  when    = \"true\"\n  key     = \"id\"\n  profile = \"reading\"\n}\n"

// encodedSamples returns 64 random transactions as encoded attributes without the id.
func encodedSamples(routeCount int) (encoded [][]byte) {
	rng := rand.New(rand.NewSource(1))
	for range 64 {
		_, values := randomTransaction(rng, routeCount)
		var attributes []byte
		for _, name := range []string{"depot", "class", "kind", "size", "temp", "urgent", "age"} {
			var v match.RawValue
			switch x := values[name].(type) {
			case string:
				v.Text = x
			case int64:
				v.Kind, v.Int = match.Int, x
			case float64:
				v.Kind, v.Float = match.Measure, x
			case bool:
				v.Kind, v.Int = match.Bool, 1
			case time.Duration:
				v.Kind, v.Int = match.Duration, x.Microseconds()
			}
			attributes = wire.AppendAttribute(attributes, name, &v)
		}
		encoded = append(encoded, attributes)
	}
	return encoded
}

// routeCondition returns the condition of a route. depot and temp are verbs, which differ between this project's
// language and cel-go's.
func routeCondition(routeIndex int, depot, temp string) string {
	return fmt.Sprintf("depot == "+depot+" && kind == \"k%d\" && size >= %d && temp < "+temp,
		routeIndex%depotCount, routeIndex/depotCount%25, routeIndex/5000*10, 5+routeIndex%7)
}

// randomTransaction returns the eight attributes of a random transaction, for this project's evaluation and for cel-go's.
func randomTransaction(rng *rand.Rand, routeCount int) ([]hclread.Pair, map[string]any) {
	depot, kind := rng.Intn(min(routeCount, depotCount)), rng.Intn(max(1, min(25, routeCount/depotCount)))
	size, temp := rng.Intn(20), rng.Intn(10)
	pair := func(name string, v any) hclread.Pair {
		return hclread.Pair{Name: name, Values: []string{fmt.Sprint(v)}}
	}
	return []hclread.Pair{pair("depot", fmt.Sprint("s", depot)), pair("class", "van"), pair("kind", fmt.Sprint("k", kind)),
			pair("size", size), pair("temp", temp), pair("urgent", true), pair("id", "drop-1"), pair("age", "3s")},
		map[string]any{"depot": fmt.Sprint("s", depot), "class": "van", "kind": fmt.Sprint("k", kind), "size": int64(size),
			"temp": float64(temp), "urgent": true, "id": "drop-1", "age": 3 * time.Second}
}

// RunMatch measures finding the route of a transaction among n routes, and checks that the three ways find the same.
func RunMatch(n int) (*MatchResult, error) {
	source := []byte("profile \"reading\" {}\n" + routesSource(n))
	result := &MatchResult{RouteCount: n, LoadTime: time.Hour}
	var routeSet *routes.RouteSet
	for range 3 { // the shortest of three: the first run also fills caches
		runtime.GC()
		start := time.Now()
		parsed, err := routes.Parse("routes.hcl", source)
		if err != nil {
			return nil, err
		}
		routeSet, result.LoadTime = parsed, min(result.LoadTime, time.Since(start))
	}
	compiler, err := match.NewCompiler(routeSet.Schema, routeSet.CostLimit)
	if err != nil {
		return nil, err
	}
	env, err := cel.NewEnv(cel.Variable("depot", cel.StringType), cel.Variable("class", cel.StringType),
		cel.Variable("kind", cel.StringType), cel.Variable("size", cel.IntType), cel.Variable("temp", cel.DoubleType),
		cel.Variable("urgent", cel.BoolType), cel.Variable("id", cel.StringType), cel.Variable("age", cel.DurationType))
	if err != nil {
		return nil, err
	}
	predicates, programs := make([]*match.Predicate, n), make([]cel.Program, n)
	for i := range n {
		if predicates[i], err = compiler.Predicate(routeSet.Table.Routes[i].When); err != nil {
			return nil, err
		}
		ast, issues := env.Compile(routeCondition(i, `"s%d"`, "%d.0"))
		if issues.Err() != nil {
			return nil, issues.Err()
		}
		if programs[i], err = env.Program(ast); err != nil {
			return nil, err
		}
	}
	rng := rand.New(rand.NewSource(1))
	records, attributeMaps := make([]*match.Record, 64), make([]map[string]any, 64)
	for i := range records {
		pairs, attributes := randomTransaction(rng, n)
		records[i], _ = routeSet.ParseRecord(pairs)
		attributeMaps[i] = attributes
	}
	scan := func(record *match.Record) int {
		return slices.IndexFunc(predicates, func(p *match.Predicate) bool { return p.Holds(record) })
	}
	scanCEL := func(attributes map[string]any) int {
		return slices.IndexFunc(programs, func(p cel.Program) bool { v, _, err := p.Eval(attributes); return err == nil && v.Value() == true })
	}
	lastMatched := -1
	for i := range records {
		byIndex, byScan, byCEL := routeSet.Table.FirstMatch(records[i]), scan(records[i]), scanCEL(attributeMaps[i])
		if byIndex != byScan || byScan != byCEL {
			result.Mismatched++
		}
		if byIndex >= 0 {
			result.Matched++
			lastMatched = i
		}
	}
	result.IndexNs, result.IndexAllocs = timeCall(func(i int) { routeSet.Table.FirstMatch(records[i%64]) })
	result.ScanNs, _ = timeCall(func(i int) { scan(records[i%64]) })
	result.CELNs, result.CELAllocs = timeCall(func(i int) { scanCEL(attributeMaps[i%64]) })
	if lastMatched >= 0 {
		route := scan(records[lastMatched])
		result.PredicateNs, _ = timeCall(func(int) { predicates[route].Holds(records[lastMatched]) })
		result.CELPredicateNs, _ = timeCall(func(int) { _, _, _ = programs[route].Eval(attributeMaps[lastMatched]) })
	}
	return result, nil
}

// timeCall returns the duration of a call in nanoseconds and its allocations. The duration is the shortest mean of five
// runs with as many calls as fit into 20 ms.
func timeCall(call func(i int)) (ns, allocs float64) {
	calls := 1
	for start := time.Now(); time.Since(start) < 20*time.Millisecond; calls++ {
		call(calls)
	}
	ns = math.Inf(1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 5 {
		start := time.Now()
		for i := range calls {
			call(i)
		}
		ns = min(ns, float64(time.Since(start).Nanoseconds())/float64(calls))
	}
	runtime.ReadMemStats(&after)
	return ns, float64(after.Mallocs-before.Mallocs) / float64(5*calls)
}

// PrintMatchResults writes results as a table.
func PrintMatchResults(w io.Writer, results []*MatchResult) {
	for _, r := range results {
		fmt.Fprintf(w, "%6d routes: load %v; index %.0f ns (%.1f allocations), linear search %.0f ns, by cel-go %.0f ns (%.0f allocations); "+
			"one expression %.0f ns, by cel-go %.0f ns (%.1f times); %d of 64 matched, %d mismatched\n", r.RouteCount,
			r.LoadTime.Round(100*time.Microsecond), r.IndexNs, r.IndexAllocs, r.ScanNs, r.CELNs, r.CELAllocs, r.PredicateNs,
			r.CELPredicateNs, r.CELPredicateNs/r.PredicateNs,
			r.Matched, r.Mismatched)
	}
}

// PlotMatchResults draws the cost over the number of routes into a file.
func PlotMatchResults(file string, results []*MatchResult) error {
	p := plot.New()
	p.Title.Text = "Time to find the route of a transaction with eight attributes"
	p.X.Label.Text, p.Y.Label.Text = "routes", "microseconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, line := range []struct {
		name string
		ns   func(*MatchResult) float64
	}{{"index", func(r *MatchResult) float64 { return r.IndexNs }}, {"linear search", func(r *MatchResult) float64 { return r.ScanNs }},
		{"linear search by cel-go", func(r *MatchResult) float64 { return r.CELNs }}} {
		points := make(plotter.XYs, len(results))
		for j, r := range results {
			points[j].X, points[j].Y = float64(r.RouteCount), line.ns(r)/1e3
		}
		l, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		l.Color = []color.Color{color.RGBA{0, 90, 160, 255}, color.RGBA{200, 90, 0, 255}, color.RGBA{120, 120, 120, 255}}[i]
		dots.Color = l.Color
		l.Width = vg.Points(1.5)
		p.Add(l, dots)
		p.Legend.Add(line.name, l, dots)
	}
	return p.Save(16*vg.Centimeter, 11*vg.Centimeter, file)
}
