package routes

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"scalechute/internal/hclread"
	"scalechute/internal/match"
)

// Record makes a record of what a person wrote. What does not fit is left missing and comes back, by its attribute.
func (b *RouteSet) ParseRecord(with []hclread.Pair) (*match.Record, []TypeMismatch) {
	r := b.Schema.NewRecord()
	var misfits []TypeMismatch
	for _, p := range with {
		if err := b.putPair(r, &p); err != nil {
			misfits = append(misfits, TypeMismatch{p.Name, err})
		}
	}
	return r, misfits
}

// Misfit is an attribute whose value does not fit.
type TypeMismatch struct {
	Attribute string
	Err       error
}

func (b *RouteSet) putPair(r *match.Record, p *hclread.Pair) error {
	at := b.Schema.Slot([]byte(p.Name))
	if at < 0 {
		return fmt.Errorf("found attribute %.64q, expected one that is declared", p.Name)
	}
	t := b.Schema.Attributes[at].Type
	var v match.RawValue
	var err error
	if p.IsList && t.Kind == match.List {
		v.Kind = match.List
		for _, x := range p.Values {
			item, bad := t.Element.Parse(x)
			if bad != nil {
				err = bad
				break
			}
			v.Items = append(v.Items, item)
		}
	} else {
		v, err = t.Parse(strings.Join(p.Values, ","))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return b.Schema.Put(r, at, &v)
}

// Verdict is what becomes of a record.
type Result struct {
	Route   int // -1: none
	Key     string
	Missing string // the attribute that must be there and is not, empty if none
}

// Judge finds the route of a record. Without an attribute that must be there it has none.
func (b *RouteSet) Match(r *match.Record) Result {
	if at := b.Schema.MissingRequired(r); at >= 0 {
		return Result{Route: -1, Missing: b.Schema.Attributes[at].Name}
	}
	v := Result{Route: b.Table.FirstMatch(r)}
	if v.Route >= 0 {
		v.Key = string(b.Table.AppendKey(v.Route, nil, r))
	}
	return v
}

// RouteName is a route's, none for -1.
func (b *RouteSet) RouteName(route int) string {
	if route < 0 {
		return "none"
	}
	return b.Table.Routes[route].Name
}

// Test tries the file's cases and gives a line for each that fails.
func (b *RouteSet) RunCases() (failed []string) {
	for i := range b.Cases {
		c := &b.Cases[i]
		r, misfits := b.ParseRecord(c.Attributes)
		say := func(format string, args ...any) {
			failed = append(failed, fmt.Sprintf("%s: case %q: %s", c.Location, c.Name, fmt.Sprintf(format, args...)))
		}
		for _, m := range misfits {
			if !slices.Contains(c.TypeMismatches, m.Attribute) {
				say("%v", m.Err)
			}
		}
		for _, name := range c.TypeMismatches {
			if !slices.ContainsFunc(misfits, func(m TypeMismatch) bool { return m.Attribute == name }) {
				say("%s fits, expected that it does not", name)
			}
		}
		v := b.Match(r)
		if got := b.RouteName(v.Route); got != c.Route {
			say("found route %s, expected %s%s", got, c.Route, b.mismatchReason(r, v, c.Route))
		} else if c.HasKey && v.Key != c.Key {
			say("found key %q, expected %q", v.Key, c.Key)
		}
	}
	return failed
}

// why says what keeps a record from a route, if there is such a one.
func (b *RouteSet) mismatchReason(r *match.Record, v Result, route string) string {
	if v.Missing != "" {
		return ": " + v.Missing + " must be there and is missing"
	}
	at := slices.IndexFunc(b.Table.Routes, func(x match.Route) bool { return x.Name == route })
	if at < 0 {
		return ""
	}
	for _, m := range b.Table.Misses(r, at+1) {
		if m.Route == at {
			return fmt.Sprintf(": %s does not hold: %s", m.Part, m.Found)
		}
	}
	return ", which matches too but comes later"
}

func (b *RouteSet) misses(r *match.Record, v Result) []match.Miss {
	if v.Missing != "" {
		return nil
	}
	return b.Table.Misses(r, v.Route)
}

// Tell says which route takes a record, and which earlier ones do not and why; of these only the last few, unless all
// are wanted.
func (b *RouteSet) WriteMatch(w io.Writer, r *match.Record, few int) {
	v := b.Match(r)
	switch {
	case v.Missing != "":
		fmt.Fprintf(w, "not taken: %s must be there and is missing\n", v.Missing)
	case v.Route < 0:
		fmt.Fprintln(w, "not taken: no route matches")
	default:
		x := &b.Table.Routes[v.Route]
		account := "none"
		if x.Account > 0 {
			account = b.Accounts[x.Account-1]
		}
		fmt.Fprintf(w, "route %s (%s): profile %s, account %s, key %q\n", x.Name, b.locations[v.Route], b.Profiles[x.Profile],
			account, v.Key)
	}
	misses := b.misses(r, v)
	if few >= 0 && len(misses) > few {
		fmt.Fprintf(w, "  %d earlier routes do not match; the last %d:\n", len(misses), few)
		misses = misses[len(misses)-few:]
	}
	for _, m := range misses {
		fmt.Fprintf(w, "  not %s (%s): %s does not hold: %s\n", b.RouteName(m.Route), b.locations[m.Route], m.Part, m.Found)
	}
}

// Explain says what the routes can cost and how they are found.
func (b *RouteSet) WriteExplanation(w io.Writer, few int) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "%d attributes, %d named expressions, cost limit of an expression %d steps\n", len(b.Schema.Attributes),
		len(b.Definitions), b.CostLimit)
	for i, d := range b.Definitions {
		fmt.Fprintf(t, "  let %s\t%d steps\n", d.Name, b.DefinitionCosts[i])
	}
	type line struct {
		at, key int
		cost    int64
	}
	var lines []line
	sum := int64(0)
	for i := range b.Table.Routes {
		when, key, most := b.Table.Cost(i)
		lines = append(lines, line{i, most, when + key})
		sum += when
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(b.cost - a.cost) })
	fmt.Fprintf(t, "%d routes; were all of them tried, a transaction would cost at most %d steps\n", len(lines), sum)
	if few >= 0 && len(lines) > few {
		fmt.Fprintf(t, "  those that cost most:\n")
		lines = lines[:few]
	}
	for _, l := range lines {
		fmt.Fprintf(t, "  route %s\t%d steps\tkey of at most %d bytes\t%s\n", b.RouteName(l.at), l.cost, l.key, b.locations[l.at])
	}
	fmt.Fprintln(t, "index:")
	for _, s := range b.Table.Dimensions() {
		fmt.Fprintf(t, "  %s\tby %s\tin %d routes\t%d rows\t%d bytes\n", s.Attribute, s.Lookup, s.Routes, s.Rows, s.Bytes)
	}
	for _, n := range b.Warnings {
		fmt.Fprintln(t, n)
	}
	t.Flush()
}
