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

// MatchReading is what finding the route of one transaction takes, in nanoseconds: by the index, by trying each route in
// turn, and by trying each in cel-go's own evaluation.
type MatchResult struct {
	RouteCount                  int
	LoadTime                    time.Duration // of the whole file
	IndexNs, ScanNs, CELNs      float64
	IndexAllocs, CELAllocs      float64 // of one transaction
	PredicateNs, CELPredicateNs float64 // of one expression that holds
	Matched, Mismatched         int     // transactions that a route took, and those on which the three do not agree
}

const words = `
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

const depots = 200

// routesText is n routes, as a large operator might have them: by depot, kind, size and temperature.
func routesText(n int) string {
	var b strings.Builder
	names := make([]string, depots)
	for i := range names {
		names[i] = fmt.Sprintf("%q", fmt.Sprint("s", i))
	}
	fmt.Fprintf(&b, words, strings.Join(names, ", "))
	for i := range n {
		fmt.Fprintf(&b, "route \"r%d\" {\n  when    = \"%s\"\n  key     = \"id\"\n  profile = \"reading\"\n}\n", i,
			strings.ReplaceAll(condition(i, "depot.s%d", "celsius(%d)"), `"`, `'`))
	}
	return b.String()
}

// rest takes what no other route does.
const rest = "route \"rest\" {\n  when    = \"true\"\n  key     = \"id\"\n  profile = \"reading\"\n}\n"

// samples are bodies of attributes, all but the id.
func samples(n int) (all [][]byte) {
	chance := rand.New(rand.NewSource(1))
	for range 64 {
		_, values := sample(chance, n)
		var b []byte
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
			b = wire.AppendAttribute(b, name, &v)
		}
		all = append(all, b)
	}
	return all
}

func condition(i int, depot, temp string) string {
	return fmt.Sprintf("depot == "+depot+" && kind == \"k%d\" && size >= %d && temp < "+temp, i%depots, i/depots%25, i/5000*10, 5+i%7)
}

// sample is a transaction of eight attributes, for both evaluations.
func sample(chance *rand.Rand, n int) ([]hclread.Pair, map[string]any) {
	depot, kind := chance.Intn(min(n, depots)), chance.Intn(max(1, min(25, n/depots)))
	size, temp := chance.Intn(20), chance.Intn(10)
	pair := func(name string, v any) hclread.Pair {
		return hclread.Pair{Name: name, Values: []string{fmt.Sprint(v)}}
	}
	return []hclread.Pair{pair("depot", fmt.Sprint("s", depot)), pair("class", "van"), pair("kind", fmt.Sprint("k", kind)),
			pair("size", size), pair("temp", temp), pair("urgent", true), pair("id", "drop-1"), pair("age", "3s")},
		map[string]any{"depot": fmt.Sprint("s", depot), "class": "van", "kind": fmt.Sprint("k", kind), "size": int64(size),
			"temp": float64(temp), "urgent": true, "id": "drop-1", "age": 3 * time.Second}
}

// Match measures with n routes.
func RunMatch(n int) (*MatchResult, error) {
	text := []byte("profile \"reading\" {}\n" + routesText(n))
	r := &MatchResult{RouteCount: n, LoadTime: time.Hour}
	var book *routes.RouteSet
	for range 3 { // the best of three: the first has caches to fill
		runtime.GC()
		start := time.Now()
		b, err := routes.Parse("routes.hcl", text)
		if err != nil {
			return nil, err
		}
		book, r.LoadTime = b, min(r.LoadTime, time.Since(start))
	}
	checker, err := match.NewCompiler(book.Schema, book.CostLimit)
	if err != nil {
		return nil, err
	}
	env, err := cel.NewEnv(cel.Variable("depot", cel.StringType), cel.Variable("class", cel.StringType),
		cel.Variable("kind", cel.StringType), cel.Variable("size", cel.IntType), cel.Variable("temp", cel.DoubleType),
		cel.Variable("urgent", cel.BoolType), cel.Variable("id", cel.StringType), cel.Variable("age", cel.DurationType))
	if err != nil {
		return nil, err
	}
	own, theirs := make([]*match.Predicate, n), make([]cel.Program, n)
	for i := range n {
		if own[i], err = checker.Predicate(book.Table.Routes[i].When); err != nil {
			return nil, err
		}
		tree, issues := env.Compile(condition(i, `"s%d"`, "%d.0"))
		if issues.Err() != nil {
			return nil, issues.Err()
		}
		if theirs[i], err = env.Program(tree); err != nil {
			return nil, err
		}
	}
	chance := rand.New(rand.NewSource(1))
	records, maps := make([]*match.Record, 64), make([]map[string]any, 64)
	for i := range records {
		pairs, m := sample(chance, n)
		records[i], _ = book.ParseRecord(pairs)
		maps[i] = m
	}
	scan := func(r *match.Record) int {
		return slices.IndexFunc(own, func(p *match.Predicate) bool { return p.Holds(r) })
	}
	celScan := func(m map[string]any) int {
		return slices.IndexFunc(theirs, func(p cel.Program) bool { v, _, err := p.Eval(m); return err == nil && v.Value() == true })
	}
	hit := -1
	for i := range records {
		a, b, c := book.Table.FirstMatch(records[i]), scan(records[i]), celScan(maps[i])
		if a != b || b != c {
			r.Mismatched++
		}
		if a >= 0 {
			r.Matched++
			hit = i
		}
	}
	r.IndexNs, r.IndexAllocs = timed(func(i int) { book.Table.FirstMatch(records[i%64]) })
	r.ScanNs, _ = timed(func(i int) { scan(records[i%64]) })
	r.CELNs, r.CELAllocs = timed(func(i int) { celScan(maps[i%64]) })
	if hit >= 0 {
		at := scan(records[hit])
		r.PredicateNs, _ = timed(func(int) { own[at].Holds(records[hit]) })
		r.CELPredicateNs, _ = timed(func(int) { _, _, _ = theirs[at].Eval(maps[hit]) })
	}
	return r, nil
}

// timed is what a call takes in nanoseconds, the best of five runs of 20 ms at least, and its allocations.
func timed(f func(i int)) (ns, allocs float64) {
	n := 1
	for start := time.Now(); time.Since(start) < 20*time.Millisecond; n++ {
		f(n)
	}
	ns = math.Inf(1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 5 {
		start := time.Now()
		for i := range n {
			f(i)
		}
		ns = min(ns, float64(time.Since(start).Nanoseconds())/float64(n))
	}
	runtime.ReadMemStats(&after)
	return ns, float64(after.Mallocs-before.Mallocs) / float64(5*n)
}

// PrintMatch writes readings as a table.
func PrintMatchResults(w io.Writer, rs []*MatchResult) {
	for _, r := range rs {
		fmt.Fprintf(w, "%6d routes: load %v; index %.0f ns (%.1f allocations), each in turn %.0f ns, cel-go in turn %.0f ns (%.0f allocations); "+
			"one expression %.0f ns, cel-go %.0f ns (%.1f times); %d of 64 matched, %d different\n", r.RouteCount,
			r.LoadTime.Round(100*time.Microsecond), r.IndexNs, r.IndexAllocs, r.ScanNs, r.CELNs, r.CELAllocs, r.PredicateNs, r.CELPredicateNs, r.CELPredicateNs/r.PredicateNs,
			r.Matched, r.Mismatched)
	}
}

// PlotMatch draws cost over number of routes.
func PlotMatchResults(file string, rs []*MatchResult) error {
	p := plot.New()
	p.Title.Text = "Finding the route of a transaction of eight attributes"
	p.X.Label.Text, p.Y.Label.Text = "routes", "microseconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, line := range []struct {
		name string
		of   func(*MatchResult) float64
	}{{"index", func(r *MatchResult) float64 { return r.IndexNs }}, {"each in turn", func(r *MatchResult) float64 { return r.ScanNs }},
		{"each in turn, evaluated by cel-go", func(r *MatchResult) float64 { return r.CELNs }}} {
		points := make(plotter.XYs, len(rs))
		for j, r := range rs {
			points[j].X, points[j].Y = float64(r.RouteCount), line.of(r)/1e3
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
