package match

import (
	"slices"
	"strings"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
)

// Definition is a named expression that other expressions use by its name.
type Definition struct{ Name, Source string }

// DefinitionError is an error in a definition.
type DefinitionError struct {
	Name string
	Err  *ExprError
}

// Error returns the name of the definition and the error.
func (e *DefinitionError) Error() string { return e.Name + ": " + e.Err.Error() }

// definition is a checked definition. Loop variables are numbered by nesting depth, so the definition has a tree for each
// depth at which it can be used.
type definition struct {
	outputType *cel.Type
	nodes      [maxNestedLoops + 1]*node
	errs       [maxNestedLoops + 1]error
}

// maxDefinitions bounds the definitions of one call of Define.
const maxDefinitions = 1024

// isDeclared reports whether a name is that of an attribute, a unit, a type or a definition.
func (c *Compiler) isDeclared(name string) bool {
	_, isAttribute := c.schema.slots[name]
	_, isUnit := c.units[name]
	return isAttribute || isUnit || c.types[name] != nil || c.definitions[name] != nil
}

// Define checks and adds definitions, each after those that it uses. It returns a *DefinitionError for each definition
// that has an error. Define must return before any other expression is checked.
func (c *Compiler) Define(definitions []Definition) (errs []error) {
	addError := func(d *Definition, err error) { errs = append(errs, &DefinitionError{d.Name, err.(*ExprError)}) }
	if len(definitions) > maxDefinitions {
		addError(&definitions[maxDefinitions], &ExprError{1, 1, "found more than 1024 named expressions, expected at most 1024"})
		return errs
	}
	indexes := map[string]int{}
	for i := range definitions {
		d := &definitions[i]
		if _, isDuplicate := indexes[d.Name]; isDuplicate || !isName(d.Name) || c.isDeclared(d.Name) {
			addError(d, &ExprError{1, 1, "found a name that is declared already or invalid, expected a new one of letters, digits and _"})
			continue
		}
		indexes[d.Name] = i
	}
	uses := make([][]int, len(definitions))
	for _, i := range indexes {
		for _, name := range c.referencedNames(definitions[i].Source) {
			if used, ok := indexes[name]; ok {
				uses[i] = append(uses[i], used)
			}
		}
	}
	for level, remaining := 0, indexes; len(remaining) > 0; level++ { // each level uses definitions of earlier levels only
		var ready []int
		for _, i := range remaining {
			if !slices.ContainsFunc(uses[i], func(used int) bool { _, isRemaining := remaining[definitions[used].Name]; return isRemaining }) {
				ready = append(ready, i)
			}
		}
		if len(ready) == 0 {
			for _, i := range remaining {
				if path := findCycle(i, uses, definitions); path != "" {
					addError(&definitions[i], &ExprError{1, 1, "found a cycle, " + path + ", expected none"})
				}
			}
			break
		}
		slices.Sort(ready)
		var variables []cel.EnvOption
		for _, i := range ready {
			delete(remaining, definitions[i].Name)
			d, err := c.checkDefinition(definitions[i].Source)
			if err != nil {
				addError(&definitions[i], err)
				continue
			}
			c.definitions[definitions[i].Name] = d
			variables = append(variables, cel.Variable(definitions[i].Name, d.outputType))
		}
		if len(variables) == 0 {
			continue
		}
		env, err := c.env.Extend(variables...)
		if err != nil {
			addError(&definitions[ready[0]], &ExprError{1, 1, err.Error()})
			break
		}
		c.env = env
	}
	c.forceLazyInit()
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errs
}

// Cost returns the worst-case number of steps of a definition, 0 if the definition has an error.
func (c *Compiler) Cost(name string) int64 {
	if d := c.definitions[name]; d != nil {
		return d.nodes[0].cost
	}
	return 0
}

// referencedNames returns the names in an expression, without its loop variables. For a member of a set it returns the
// name of the set. It returns none for an expression that does not parse: checkDefinition reports the error.
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

// findCycle returns the shortest path of uses from a definition back to itself, empty if there is none.
func findCycle(start int, uses [][]int, definitions []Definition) string {
	previous := map[int]int{}
	for queue := []int{start}; len(queue) > 0; queue = queue[1:] {
		for _, next := range uses[queue[0]] {
			if next == start {
				path := definitions[start].Name
				for at := queue[0]; ; at = previous[at] {
					path = definitions[at].Name + " -> " + path
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

// checkDefinition checks the source of a definition and builds its tree for each nesting depth. An error at depth 0 is an
// error of the definition; errors at other depths are reported where it is used.
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
