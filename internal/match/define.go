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
	outputType *cel.Type
	nodes      [maxNestedLoops + 1]*node
	errs       [maxNestedLoops + 1]error
}

const maxDefinitions = 1024

// taken says that a name is declared as something.
func (c *Compiler) isDeclared(name string) bool {
	_, isAttribute := c.schema.slots[name]
	_, isUnit := c.units[name]
	return isAttribute || isUnit || c.types[name] != nil || c.definitions[name] != nil
}

// Define checks named expressions, each after those that it names. All faults come back, each expression's own. It is
// called before anything else is checked.
func (c *Compiler) Define(all []Definition) (errs []error) {
	addError := func(d *Definition, err error) { errs = append(errs, &DefinitionError{d.Name, err.(*ExprError)}) }
	if len(all) > maxDefinitions {
		addError(&all[maxDefinitions], &ExprError{1, 1, "found more than 1024 named expressions, expected at most that"})
		return errs
	}
	indexes := map[string]int{}
	for i := range all {
		d := &all[i]
		if _, isDuplicate := indexes[d.Name]; isDuplicate || !isName(d.Name) || c.isDeclared(d.Name) {
			addError(d, &ExprError{1, 1, "found a name that is taken or none, expected a new one of letters, digits and _"})
			continue
		}
		indexes[d.Name] = i
	}
	uses := make([][]int, len(all))
	for _, i := range indexes {
		for _, used := range c.referencedNames(all[i].Source) {
			if j, ok := indexes[used]; ok {
				uses[i] = append(uses[i], j)
			}
		}
	}
	for level, remaining := 0, indexes; len(remaining) > 0; level++ { // those that name nothing unchecked, then those that name these
		var ready []int
		for _, i := range remaining {
			if !slices.ContainsFunc(uses[i], func(j int) bool { _, isRemaining := remaining[all[j].Name]; return isRemaining }) {
				ready = append(ready, i)
			}
		}
		if len(ready) == 0 {
			for _, i := range remaining {
				if path := findCycle(i, uses, all); path != "" {
					addError(&all[i], &ExprError{1, 1, "found a cycle, " + path + ", expected none"})
				}
			}
			break
		}
		slices.Sort(ready)
		var variables []cel.EnvOption
		for _, i := range ready {
			delete(remaining, all[i].Name)
			d, err := c.checkDefinition(all[i].Source)
			if err != nil {
				addError(&all[i], err)
				continue
			}
			c.definitions[all[i].Name] = d
			variables = append(variables, cel.Variable(all[i].Name, d.outputType))
		}
		if len(variables) == 0 {
			continue
		}
		env, err := c.env.Extend(variables...)
		if err != nil {
			addError(&all[ready[0]], &ExprError{1, 1, err.Error()})
			break
		}
		c.env = env
	}
	c.forceLazyInit()
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errs
}

// Cost is what a named expression takes at the most, in steps; 0 for one that has a fault.
func (c *Compiler) Cost(name string) int64 {
	if d := c.definitions[name]; d != nil {
		return d.nodes[0].cost
	}
	return 0
}

// names are those that a text mentions, elements of its loops and members of sets left out. A text that does not parse
// mentions none: its check says what is wrong with it.
func (c *Compiler) referencedNames(source string) (names []string) {
	parsed, issues := c.env.Parse(source)
	if issues != nil && issues.Err() != nil {
		return nil
	}
	loopVariables := map[string]bool{}
	ast.PostOrderVisit(parsed.NativeRep().Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		switch e.Kind() {
		case ast.IdentKind:
			names = append(names, e.AsIdent())
		case ast.ComprehensionKind:
			loopVariables[e.AsComprehension().IterVar()] = true
		}
	}))
	return slices.DeleteFunc(names, func(n string) bool { return loopVariables[n] })
}

// cycle is a way from an expression back to itself, empty if there is none.
func findCycle(start int, uses [][]int, all []Definition) string {
	previous := map[int]int{}
	for queue := []int{start}; len(queue) > 0; queue = queue[1:] {
		for _, next := range uses[queue[0]] {
			if next == start {
				path := all[start].Name
				for at := queue[0]; ; at = previous[at] {
					path = all[at].Name + " -> " + path
					if at == start {
						return path
					}
				}
			}
			if _, seen := previous[next]; !seen {
				previous[next] = queue[0]
				queue = append(queue, next)
			}
		}
	}
	return ""
}

func (c *Compiler) checkDefinition(source string) (*definition, error) {
	checked, err := c.parse(source)
	if err != nil {
		return nil, err
	}
	d := &definition{outputType: checked.OutputType()}
	for depth := range d.nodes {
		b := &builder{compiler: c, tree: checked.NativeRep(), elements: map[string]loopElement{}}
		n, err := b.build(b.tree.Expr(), depth)
		if err == nil {
			err = b.checkCost(n)
		}
		if err != nil && depth == 0 {
			return nil, err
		}
		d.nodes[depth], d.errs[depth] = n, err
	}
	return d, nil
}
