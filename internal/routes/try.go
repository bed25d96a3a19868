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

// ParseRecord returns a record of attributes that are given as text. Attributes that are not declared or whose values do
// not fit are left out and returned as mismatches.
func (s *RouteSet) ParseRecord(pairs []hclread.Pair) (*match.Record, []TypeMismatch) {
	r := s.Schema.NewRecord()
	var mismatches []TypeMismatch
	for _, p := range pairs {
		if err := s.putPair(r, &p); err != nil {
			mismatches = append(mismatches, TypeMismatch{p.Name, err})
		}
	}
	return r, mismatches
}

// TypeMismatch is an attribute whose value does not fit its type, or which is not declared.
type TypeMismatch struct {
	Attribute string
	Err       error
}

// putPair parses the value of one attribute and sets it in a record.
func (s *RouteSet) putPair(r *match.Record, p *hclread.Pair) error {
	slot := s.Schema.Slot([]byte(p.Name))
	if slot < 0 {
		return fmt.Errorf("found attribute %.64q, expected one that is declared", p.Name)
	}
	t := s.Schema.Attributes[slot].Type
	var raw match.RawValue
	var err error
	if p.IsList && t.Kind == match.List {
		raw.Kind = match.List
		for _, x := range p.Values {
			item, itemErr := t.Element.Parse(x)
			if itemErr != nil {
				err = itemErr
				break
			}
			raw.Items = append(raw.Items, item)
		}
	} else {
		raw, err = t.Parse(strings.Join(p.Values, ","))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return s.Schema.Put(r, slot, &raw)
}

// Result is the result of matching a record.
type Result struct {
	Route   int // index in Table.Routes, -1 for none
	Key     string
	Missing string // first required attribute that the record does not have, empty if it has all
}

// Match finds the route of a record. A record without a required attribute has none.
func (s *RouteSet) Match(r *match.Record) Result {
	if slot := s.Schema.MissingRequired(r); slot >= 0 {
		return Result{Route: -1, Missing: s.Schema.Attributes[slot].Name}
	}
	result := Result{Route: s.Table.FirstMatch(r)}
	if result.Route >= 0 {
		result.Key = string(s.Table.AppendKey(result.Route, nil, r))
	}
	return result
}

// RouteName returns the name of a route, "none" for -1.
func (s *RouteSet) RouteName(route int) string {
	if route < 0 {
		return "none"
	}
	return s.Table.Routes[route].Name
}

// RunCases runs the test cases of the file and returns a line for each failure.
func (s *RouteSet) RunCases() (failures []string) {
	for i := range s.Cases {
		c := &s.Cases[i]
		r, mismatches := s.ParseRecord(c.Attributes)
		fail := func(format string, args ...any) {
			failures = append(failures, fmt.Sprintf("%s: case %q: %s", c.Location, c.Name, fmt.Sprintf(format, args...)))
		}
		for _, m := range mismatches {
			if !slices.Contains(c.TypeMismatches, m.Attribute) {
				fail("%v", m.Err)
			}
		}
		for _, name := range c.TypeMismatches {
			if !slices.ContainsFunc(mismatches, func(m TypeMismatch) bool { return m.Attribute == name }) {
				fail("the value of %s fits its type, expected a mismatch", name)
			}
		}
		result := s.Match(r)
		if got := s.RouteName(result.Route); got != c.Route {
			fail("found route %s, expected %s%s", got, c.Route, s.missReason(r, result, c.Route))
		} else if c.HasKey && result.Key != c.Key {
			fail("found key %q, expected %q", result.Key, c.Key)
		}
	}
	return failures
}

// missReason returns why the named route does not apply to a record, empty if there is no such route.
func (s *RouteSet) missReason(r *match.Record, result Result, route string) string {
	if result.Missing != "" {
		return ": " + result.Missing + " must be there and is missing"
	}
	index := slices.IndexFunc(s.Table.Routes, func(x match.Route) bool { return x.Name == route })
	if index < 0 {
		return ""
	}
	for _, m := range s.Table.Misses(r, index+1) {
		if m.Route == index {
			return fmt.Sprintf(": %s does not hold: %s", m.Conjunct, m.Values)
		}
	}
	return ", which matches too but comes later"
}

// misses returns a Miss for each route before the result's, which do not match: all routes if the result has none. It
// returns none if a required attribute is missing, because no route is tried then.
func (s *RouteSet) misses(r *match.Record, result Result) []match.Miss {
	if result.Missing != "" {
		return nil
	}
	return s.Table.Misses(r, result.Route)
}

// WriteMatch writes the route of a record, and which earlier routes do not match and why: the last maxMisses of them, or all
// if maxMisses is negative.
func (s *RouteSet) WriteMatch(w io.Writer, r *match.Record, maxMisses int) {
	result := s.Match(r)
	switch {
	case result.Missing != "":
		fmt.Fprintf(w, "not taken: %s must be there and is missing\n", result.Missing)
	case result.Route < 0:
		fmt.Fprintln(w, "not taken: no route matches")
	default:
		route := &s.Table.Routes[result.Route]
		account := "none"
		if route.Account > 0 {
			account = s.Accounts[route.Account-1]
		}
		fmt.Fprintf(w, "route %s (%s): profile %s, account %s, key %q\n", route.Name, s.locations[result.Route], s.Profiles[route.Profile],
			account, result.Key)
	}
	misses := s.misses(r, result)
	if maxMisses >= 0 && len(misses) > maxMisses {
		fmt.Fprintf(w, "  %d earlier routes do not match; the last %d:\n", len(misses), maxMisses)
		misses = misses[len(misses)-maxMisses:]
	}
	for _, m := range misses {
		fmt.Fprintf(w, "  not %s (%s): %s does not hold: %s\n", s.RouteName(m.Route), s.locations[m.Route], m.Conjunct, m.Values)
	}
}

// WriteExplanation writes the worst-case costs of definitions and routes, the dimensions of the index, and the warnings. It
// lists the maxLines routes with the highest costs, or all if maxLines is negative.
func (s *RouteSet) WriteExplanation(w io.Writer, maxLines int) {
	out := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(out, "%d attributes, %d named expressions, cost limit of an expression %d steps\n", len(s.Schema.Attributes),
		len(s.Definitions), s.CostLimit)
	for i, d := range s.Definitions {
		fmt.Fprintf(out, "  let %s\t%d steps\n", d.Name, s.DefinitionCosts[i])
	}
	type line struct {
		route, keyBytes int
		cost            int64
	}
	var lines []line
	totalCost := int64(0)
	for i := range s.Table.Routes {
		when, key, keyBytes := s.Table.Cost(i)
		lines = append(lines, line{i, keyBytes, when + key})
		totalCost += when
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(b.cost - a.cost) })
	fmt.Fprintf(out, "%d routes; were all of them tried, a transaction would cost at most %d steps\n", len(lines), totalCost)
	if maxLines >= 0 && len(lines) > maxLines {
		fmt.Fprintf(out, "  those that cost most:\n")
		lines = lines[:maxLines]
	}
	for _, l := range lines {
		fmt.Fprintf(out, "  route %s\t%d steps\tkey of at most %d bytes\t%s\n", s.RouteName(l.route), l.cost, l.keyBytes, s.locations[l.route])
	}
	fmt.Fprintln(out, "index:")
	for _, dimension := range s.Table.Dimensions() {
		fmt.Fprintf(out, "  %s\tby %s\tin %d routes\t%d rows\t%d bytes\n", dimension.Attribute, dimension.Lookup, dimension.Routes, dimension.Rows, dimension.Bytes)
	}
	for _, warning := range s.Warnings {
		fmt.Fprintln(out, warning)
	}
	out.Flush()
}
