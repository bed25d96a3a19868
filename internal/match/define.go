package match

import (
	"slices"
	"strings"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
)

// Definition is an expression with a name, to be used in others.
type Definition struct{ Name, Source string }

// DefinitionFault is a fault of one named expression.
type DefinitionError struct {
	Name string
	Err  *ExprError
}

func (f *DefinitionError) Error() string { return f.Name + ": " + f.Err.Error() }

// definition is one as checked. How deep in loops it stands where it is used says which elements are its own, so that it
// is kept once for each depth.
type definition struct {
	of     *cel.Type
	at     [maxNestedLoops + 1]*node
	faults [maxNestedLoops + 1]error
}

const maxDefinitions = 1024

// taken says that a name is declared as something.
func (c *Compiler) taken(name string) bool {
	_, attribute := c.schema.slots[name]
	_, unit := c.units[name]
	return attribute || unit || c.types[name] != nil || c.definitions[name] != nil
}

// Define checks named expressions, each after those that it names. All faults come back, each expression's own. It is
// called before anything else is checked.
func (c *Compiler) Define(all []Definition) (faults []error) {
	fault := func(d *Definition, err error) { faults = append(faults, &DefinitionError{d.Name, err.(*ExprError)}) }
	if len(all) > maxDefinitions {
		fault(&all[maxDefinitions], &ExprError{1, 1, "found more than 1024 named expressions, expected at most that"})
		return faults
	}
	place := map[string]int{}
	for i := range all {
		d := &all[i]
		if _, twice := place[d.Name]; twice || !isName(d.Name) || c.taken(d.Name) {
			fault(d, &ExprError{1, 1, "found a name that is taken or none, expected a new one of letters, digits and _"})
			continue
		}
		place[d.Name] = i
	}
	uses := make([][]int, len(all))
	for _, i := range place {
		for _, used := range c.names(all[i].Source) {
			if j, is := place[used]; is {
				uses[i] = append(uses[i], j)
			}
		}
	}
	for level, left := 0, place; len(left) > 0; level++ { // those that name nothing unchecked, then those that name these
		var ready []int
		for _, i := range left {
			if !slices.ContainsFunc(uses[i], func(j int) bool { _, waits := left[all[j].Name]; return waits }) {
				ready = append(ready, i)
			}
		}
		if len(ready) == 0 {
			for _, i := range left {
				if way := cycle(i, uses, all); way != "" {
					fault(&all[i], &ExprError{1, 1, "found a cycle, " + way + ", expected none"})
				}
			}
			break
		}
		slices.Sort(ready)
		var names []cel.EnvOption
		for _, i := range ready {
			delete(left, all[i].Name)
			d, err := c.define(all[i].Source)
			if err != nil {
				fault(&all[i], err)
				continue
			}
			c.definitions[all[i].Name] = d
			names = append(names, cel.Variable(all[i].Name, d.of))
		}
		if len(names) == 0 {
			continue
		}
		env, err := c.env.Extend(names...)
		if err != nil {
			fault(&all[ready[0]], &ExprError{1, 1, err.Error()})
			break
		}
		c.env = env
	}
	c.settle()
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return faults
}

// Cost is what a named expression takes at the most, in steps; 0 for one that has a fault.
func (c *Compiler) Cost(name string) int64 {
	if d := c.definitions[name]; d != nil {
		return d.at[0].cost
	}
	return 0
}

// names are those that a text mentions, elements of its loops and members of sets left out. A text that does not parse
// mentions none: its check says what is wrong with it.
func (c *Compiler) names(text string) (found []string) {
	parsed, issues := c.env.Parse(text)
	if issues != nil && issues.Err() != nil {
		return nil
	}
	loops := map[string]bool{}
	ast.PostOrderVisit(parsed.NativeRep().Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		switch e.Kind() {
		case ast.IdentKind:
			found = append(found, e.AsIdent())
		case ast.ComprehensionKind:
			loops[e.AsComprehension().IterVar()] = true
		}
	}))
	return slices.DeleteFunc(found, func(n string) bool { return loops[n] })
}

// cycle is a way from an expression back to itself, empty if there is none.
func cycle(from int, uses [][]int, all []Definition) string {
	before := map[int]int{}
	for queue := []int{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range uses[queue[0]] {
			if next == from {
				way := all[from].Name
				for at := queue[0]; ; at = before[at] {
					way = all[at].Name + " -> " + way
					if at == from {
						return way
					}
				}
			}
			if _, seen := before[next]; !seen {
				before[next] = queue[0]
				queue = append(queue, next)
			}
		}
	}
	return ""
}

func (c *Compiler) define(text string) (*definition, error) {
	checked, err := c.parse(text)
	if err != nil {
		return nil, err
	}
	d := &definition{of: checked.OutputType()}
	for depth := range d.at {
		b := &builder{c: c, tree: checked.NativeRep(), elements: map[string]element{}}
		n, err := b.build(b.tree.Expr(), depth)
		if err == nil {
			err = b.bounded(n)
		}
		if err != nil && depth == 0 {
			return nil, err
		}
		d.at[depth], d.faults[depth] = n, err
	}
	return d, nil
}
