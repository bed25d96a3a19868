package match

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"
)

// ExprError is an error in the source of an expression, with its position.
type ExprError struct {
	Line, Column int // 1-based; the column counts code points
	Msg          string
}

// Error returns line, column and message.
func (e *ExprError) Error() string { return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Msg) }

// Limits on the source of an expression.
const (
	maxSourceRunes = 32 << 10
	maxParserDepth = 64 // recursion depth of cel-go's parser
	maxNestedLoops = 4  // exists and all within each other
)

// op is the operation of a node on its arguments.
type op uint8

// The operations of nodes.
const (
	opConst op = iota
	opAttribute
	opElement // the current element of a loop
	opAnd
	opOr
	opNot
	opConditional
	opEqual
	opNotEqual
	opLess // > and >= become < and <= with swapped operands
	opLessEqual
	opIn // membership in a list of constants
	opHasPrefix
	opConcat
	opHash
	opGiven
	opExists // args: the list and the condition on its element
	opAll    // same args as opExists
)

// node is a node of a checked expression, with constants folded. Nodes are shared between expressions and are not
// changed once they are built.
type node struct {
	op         op
	valueType  *Type
	args       []*node
	index      int     // opAttribute: schema slot; opElement, opExists and opAll: nesting depth of the loop
	value      Value   // opConst
	constants  []Value // opIn
	cost       int64   // worst-case number of steps
	maxLength  int     // bytes of a text, elements of a list
	exprID     int64   // cel-go's ID of the expression, for its position
	name       string  // opAttribute
	definition string  // name of the definition that the node was copied from, empty if none
}

// Compiler checks and compiles expressions over one schema. Predicate, Key and CompileRoute may be called concurrently
// once Define has returned.
type Compiler struct {
	schema        *Schema
	env           *cel.Env
	types         map[string]*Type
	units         map[string]measureUnit
	costLimit     int64
	definitions   map[string]*definition
	mu            sync.Mutex
	conjunctCache map[string]*node // by source; guarded by mu
}

// measureUnit is a unit together with the measure that it belongs to.
type measureUnit struct {
	measure *Type
	Unit
}

// NewCompiler returns a compiler that refuses expressions with a worst-case cost above costLimit, in steps.
func NewCompiler(s *Schema, costLimit int64) (*Compiler, error) {
	c := &Compiler{schema: s, types: map[string]*Type{}, units: map[string]measureUnit{}, costLimit: costLimit,
		definitions: map[string]*definition{}, conjunctCache: map[string]*node{}}
	typeParam := cel.TypeParamType("A")
	twoOf := func(t *cel.Type) []*cel.Type { return []*cel.Type{t, t} }
	function := func(name string, overloads ...cel.FunctionOpt) cel.EnvOption { return cel.Function(name, overloads...) }
	overload := func(id string, args []*cel.Type, result *cel.Type) cel.FunctionOpt {
		return cel.Overload(id, args, result)
	}
	options := []cel.EnvOption{
		cel.ParserRecursionLimit(maxParserDepth), cel.ParserExpressionSizeLimit(maxSourceRunes),
		cel.ClearMacros(), cel.Macros(cel.ExistsMacro, cel.AllMacro),
		function(operators.LogicalAnd, overload("and", twoOf(cel.BoolType), cel.BoolType)),
		function(operators.LogicalOr, overload("or", twoOf(cel.BoolType), cel.BoolType)),
		function(operators.LogicalNot, overload("not", []*cel.Type{cel.BoolType}, cel.BoolType)),
		function(operators.NotStrictlyFalse, overload("loop", []*cel.Type{cel.BoolType}, cel.BoolType)),
		function(operators.Conditional, overload("if", []*cel.Type{cel.BoolType, typeParam, typeParam}, typeParam)),
		function(operators.Equals, overload("equal", twoOf(typeParam), cel.BoolType)),
		function(operators.NotEquals, overload("unequal", twoOf(typeParam), cel.BoolType)),
		function(operators.In, overload("in", []*cel.Type{typeParam, cel.ListType(typeParam)}, cel.BoolType)),
		function(operators.Add, overload("join", twoOf(cel.StringType), cel.StringType)),
		function(operators.Negate, overload("minus_whole", []*cel.Type{cel.IntType}, cel.IntType),
			overload("minus", []*cel.Type{cel.DoubleType}, cel.DoubleType)),
		function("startsWith", cel.MemberOverload("prefix", twoOf(cel.StringType), cel.BoolType)),
		function("hash", overload("hash_text", []*cel.Type{cel.StringType}, cel.StringType)),
		function("given", overload("given_any", []*cel.Type{typeParam}, cel.BoolType)),
		function("span", overload("span_text", []*cel.Type{cel.StringType}, cel.DurationType)),
	}
	ordered := []*cel.Type{cel.IntType, cel.DurationType, cel.StringType}
	for _, attribute := range s.Attributes {
		t := attribute.Type
		options = append(options, cel.Variable(attribute.Name, celType(t)))
		if t.Kind == List {
			t = t.Element
		}
		if c.types[t.Name] != nil || t.Kind != Enum && t.Kind != Measure {
			continue
		}
		c.types[t.Name] = t
		for _, member := range t.Members {
			options = append(options, cel.Variable(t.Name+"."+member, celType(t)))
		}
		if t.Kind == Measure {
			ordered = append(ordered, celType(t))
			for _, u := range t.Units {
				if _, taken := c.units[u.Name]; taken {
					return nil, fmt.Errorf("unit %s is declared for two measures", u.Name)
				}
				c.units[u.Name] = measureUnit{t, u}
				options = append(options, function(u.Name, overload("unit_"+u.Name, []*cel.Type{cel.DoubleType}, celType(t)),
					overload("unit_whole_"+u.Name, []*cel.Type{cel.IntType}, celType(t))))
			}
		}
	}
	for _, name := range []string{operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals} {
		var overloads []cel.FunctionOpt
		for i, t := range ordered {
			overloads = append(overloads, overload(fmt.Sprintf("order_%s_%d", name, i), twoOf(t), cel.BoolType))
		}
		options = append(options, function(name, overloads...))
	}
	env, err := cel.NewCustomEnv(options...)
	if err != nil {
		return nil, err
	}
	c.env = env
	c.forceLazyInit()
	return c, nil
}

// forceLazyInit compiles an undeclared name. cel-go initializes the data for its error messages at the first undeclared
// name, which is not safe when several expressions are checked concurrently. The name is longer than any declared one.
func (c *Compiler) forceLazyInit() { _, _ = c.env.Compile(strings.Repeat("u", 65)) }

// celType returns the type of cel-go that stands for a type.
func celType(t *Type) *cel.Type {
	switch t.Kind {
	case Text:
		return cel.StringType
	case Int:
		return cel.IntType
	case Bool:
		return cel.BoolType
	case Duration:
		return cel.DurationType
	case List:
		return cel.ListType(celType(t.Element))
	}
	return cel.OpaqueType(t.Name)
}

// parse parses and type-checks the source of an expression with cel-go.
func (c *Compiler) parse(source string) (*cel.Ast, error) {
	if !utf8.ValidString(source) || strings.ContainsRune(source, 0) {
		return nil, &ExprError{1, 1, "found NUL or invalid UTF-8, expected a text in UTF-8"}
	}
	checked, issues := c.env.Compile(source)
	if issues != nil && issues.Err() != nil {
		e := issues.Errors()[0]
		return nil, &ExprError{max(1, e.Location.Line()), max(1, e.Location.Column()+1), c.rewriteMessage(e.Message)}
	}
	return checked, nil
}

// check returns the tree of an expression. The conjuncts of a conjunction are parsed separately and cached, because they
// repeat in a large table and parsing in cel-go takes most of the time of loading it. If a conjunct has an error or is not
// true or false, or if the conjuncts together exceed the cost limit, the whole expression is checked, so that the error has
// its position in the whole.
func (c *Compiler) check(source string) (*node, error) {
	conjuncts := splitConjuncts(source)
	if len(conjuncts) == 1 {
		return c.checkCached(source)
	}
	var all *node
	for _, conjunct := range conjuncts {
		n, err := c.checkCached(conjunct)
		if err != nil || n.valueType.Kind != Bool {
			return c.checkWhole(source)
		}
		if all != nil {
			n = &node{op: opAnd, valueType: boolType, args: []*node{all, n}, cost: all.cost + n.cost + 1}
		}
		if all = n; all.cost > c.costLimit {
			return c.checkWhole(source)
		}
	}
	return all, nil
}

// checkCached is checkWhole with a cache. Errors are not cached.
func (c *Compiler) checkCached(source string) (*node, error) {
	c.mu.Lock()
	n := c.conjunctCache[source]
	c.mu.Unlock()
	if n != nil {
		return n, nil
	}
	n, err := c.checkWhole(source)
	if err == nil {
		c.mu.Lock()
		c.conjunctCache[source] = n
		c.mu.Unlock()
	}
	return n, err
}

// whitespace lists the characters that cel-go skips. It refuses others, such as a vertical tab.
const whitespace = " \t\r\n\f"

// splitConjuncts splits an expression at each && outside brackets and quotes. If the source contains anything that could
// make the conjunction of the parts differ from the whole, such as ||, a comment or an escape, the only part is the whole.
func splitConjuncts(source string) (conjuncts []string) {
	whole := []string{source}
	if len(source) > maxSourceRunes || strings.ContainsAny(source, "?\\") || strings.Contains(source, "||") || strings.Contains(source, "//") ||
		strings.Contains(source, `""`) || strings.Contains(source, "''") {
		return whole
	}
	depth, start := 0, 0
	for i := 0; i < len(source); i++ {
		switch source[i] {
		case '"', '\'':
			end := strings.IndexByte(source[i+1:], source[i])
			if end < 0 || strings.ContainsAny(source[i:i+1+end], "\r\n") {
				return whole
			}
			i += end + 1
		case '(', '[', '{':
			depth++
		case ')', ']', '}':
			if depth--; depth < 0 {
				return whole
			}
		case '&':
			if depth == 0 && strings.HasPrefix(source[i:], "&&") {
				conjuncts = append(conjuncts, strings.Trim(source[start:i], whitespace))
				i++
				start = i + 1
			}
		}
	}
	if depth != 0 {
		return whole
	}
	return append(conjuncts, strings.Trim(source[start:], whitespace))
}

// checkWhole parses and checks an expression as a whole and builds its tree.
func (c *Compiler) checkWhole(source string) (*node, error) {
	checked, err := c.parse(source)
	if err != nil {
		return nil, err
	}
	b := &builder{compiler: c, tree: checked.NativeRep(), elements: map[string]loopElement{}}
	n, err := b.build(b.tree.Expr(), 0)
	if err != nil {
		return nil, err
	}
	return n, b.checkCost(n)
}

// checkCost returns an error if a node exceeds the cost limit. The error names the innermost part that alone
// costs more than half of the limit.
func (b *builder) checkCost(n *node) error {
	if n.cost <= b.compiler.costLimit {
		return nil
	}
	worst := n
	for next := n; next != nil; { // descends into the costliest argument, but not into definitions
		worst, next = next, nil
		for _, arg := range worst.args {
			if worst.definition == "" && arg.cost > b.compiler.costLimit/2 && (next == nil || arg.cost > next.cost) {
				next = arg
			}
		}
	}
	return b.errorAt(worst.exprID, "found a cost of %d steps, most of it in %.60s, expected at most %d", n.cost, worst.source(true), b.compiler.costLimit)
}

// rewriteMessage adds to an error message of cel-go what was expected, by the names of the schema.
func (c *Compiler) rewriteMessage(message string) string {
	message = strings.ReplaceAll(message, "\n", " ")
	if _, rest, ok := strings.Cut(message, "undeclared reference to '"); ok {
		name, _, _ := strings.Cut(rest, "'")
		if t := c.types[name]; t != nil && t.Kind == Enum {
			return unknownMemberMessage(t)
		}
		var known []string
		for name := range c.schema.slots {
			known = append(known, name)
		}
		for _, names := range []iter.Seq[string]{maps.Keys(c.definitions), maps.Keys(c.units), maps.Keys(c.types)} {
			known = slices.AppendSeq(known, names)
		}
		slices.Sort(known)
		return fmt.Sprintf("%s, expected one of %s", UndeclaredPrefix(name), joinFirst(known))
	}
	if name, ok := strings.CutSuffix(message, "' does not support field selection"); ok { // an attribute named like its set
		if t := c.types[strings.TrimPrefix(name, "type '")]; t != nil && t.Kind == Enum {
			return unknownMemberMessage(t)
		}
	}
	if _, rest, ok := strings.Cut(message, "found no matching overload for '"); ok {
		name, rest, _ := strings.Cut(rest, "' applied to '")
		operands, _, _ := strings.Cut(rest, "'")
		expected := "operands of one type"
		for name, t := range c.types {
			if t.Kind == Measure && strings.Contains(operands, name) {
				var units []string
				for _, u := range t.Units {
					units = append(units, u.Name+"(...)")
				}
				expected = fmt.Sprintf("%s; a value of %s is written as %s", expected, name, joinFirst(units))
			}
		}
		return fmt.Sprintf("found no matching overload for '%s' applied to '%s', expected %s", name, operands, expected)
	}
	return message
}

// unknownMemberMessage returns the message about a name that is not a member of a set.
func unknownMemberMessage(t *Type) string {
	return fmt.Sprintf("found a member that %s does not have, expected one of %s", t.Name, joinFirst(t.Members))
}

// UndeclaredPrefix returns the beginning of the message about an undeclared name.
func UndeclaredPrefix(name string) string { return "undeclared reference to '" + name + "'" }

// joinFirst joins the first 20 names.
func joinFirst(names []string) string {
	if len(names) > 20 {
		names = append(names[:20:20], "...")
	}
	return strings.Join(names, ", ")
}

// loopElement is the loop variable of an exists or all.
type loopElement struct {
	depth     int
	valueType *Type
}

// builder builds the nodes of one expression from cel-go's checked tree.
type builder struct {
	compiler *Compiler
	tree     *ast.AST
	elements map[string]loopElement // loop variables in scope, by name
}

// errorAt returns an error at the position of an expression, given by cel-go's ID of it.
func (b *builder) errorAt(id int64, format string, args ...any) error {
	location := b.tree.SourceInfo().GetStartLocation(id)
	return &ExprError{max(1, location.Line()), location.Column() + 1, fmt.Sprintf(format, args...)}
}

// The types that have no name.
var (
	textType     = &Type{Kind: Text}
	intType      = &Type{Kind: Int}
	boolType     = &Type{Kind: Bool}
	durationType = &Type{Kind: Duration}
)

// build returns the node of an expression that is nested in depth loops.
func (b *builder) build(e ast.Expr, depth int) (*node, error) {
	n := &node{exprID: e.ID(), cost: 1}
	switch e.Kind() {
	case ast.LiteralKind:
		n.value = Value{Present: true}
		switch v := e.AsLiteral().(type) {
		case types.String:
			n.valueType, n.value.Text, n.maxLength = textType, string(v), len(v)
		case types.Int:
			n.valueType, n.value.Int = intType, int64(v)
		case types.Double:
			n.valueType, n.value.Float = &Type{Kind: Measure}, float64(v)
		case types.Bool:
			n.valueType = boolType
			if v {
				n.value.Int = 1
			}
		default:
			return nil, b.errorAt(e.ID(), "found a literal of type %s, expected a text, a number or a flag", v.Type().TypeName())
		}
		return n, nil
	case ast.IdentKind:
		return b.resolve(n, e.AsIdent(), depth)
	case ast.SelectKind:
		s := e.AsSelect()
		if s.Operand().Kind() == ast.IdentKind {
			return b.resolve(n, s.Operand().AsIdent()+"."+s.FieldName(), depth)
		}
	case ast.ComprehensionKind:
		return b.buildLoop(n, e.AsComprehension(), depth)
	case ast.CallKind:
		return b.buildCall(n, e.AsCall(), depth)
	}
	return nil, b.errorAt(e.ID(), "found an expression that the language does not support, expected a comparison, a name or a call")
}

// resolve sets a node to what a name refers to: a loop variable, a definition, an attribute or a member of a set.
func (b *builder) resolve(n *node, name string, depth int) (*node, error) {
	if element, ok := b.elements[name]; ok {
		n.op, n.index, n.valueType, n.maxLength = opElement, element.depth, element.valueType, element.valueType.MaxLength
		return n, nil
	}
	if definition, ok := b.compiler.definitions[name]; ok {
		if definition.errs[depth] != nil {
			return nil, b.errorAt(n.exprID, "%s: %s", name, definition.errs[depth].(*ExprError).Msg)
		}
		use := *definition.nodes[depth]
		use.exprID, use.definition = n.exprID, name
		return &use, nil
	}
	if slot, ok := b.compiler.schema.slots[name]; ok {
		n.op, n.index, n.valueType, n.name = opAttribute, slot, b.compiler.schema.Attributes[slot].Type, name
		n.maxLength = n.valueType.MaxLength
		return n, nil
	}
	if set, member, ok := strings.Cut(name, "."); ok && b.compiler.types[set] != nil {
		if index, ok := b.compiler.types[set].memberIndex[member]; ok {
			n.valueType, n.value = b.compiler.types[set], Value{Present: true, Int: index}
			return n, nil
		}
	}
	return nil, b.errorAt(n.exprID, "found %q, expected a declared name", name)
}

// buildLoop builds exists or all from the comprehension that cel-go's macro expands to.
func (b *builder) buildLoop(n *node, loop ast.ComprehensionExpr, depth int) (*node, error) {
	if depth >= maxNestedLoops {
		return nil, b.errorAt(n.exprID, "found exists or all nested deeper than %d", maxNestedLoops)
	}
	list, err := b.build(loop.IterRange(), depth)
	if err != nil {
		return nil, err
	}
	step := loop.LoopStep()
	if list.valueType == nil || list.valueType.Kind != List || list.op != opAttribute || step.Kind() != ast.CallKind || len(step.AsCall().Args()) != 2 {
		return nil, b.errorAt(n.exprID, "found exists or all of something other than an attribute, expected an attribute that is a list")
	}
	n.op = opExists
	if step.AsCall().FunctionName() == operators.LogicalAnd {
		n.op = opAll
	}
	if b.compiler.isDeclared(loop.IterVar()) {
		return nil, b.errorAt(n.exprID, "found %s for an element, which is a declared name, expected another one", loop.IterVar())
	}
	outer, shadowed := b.elements[loop.IterVar()]
	b.elements[loop.IterVar()] = loopElement{depth, list.valueType.Element}
	body, err := b.build(step.AsCall().Args()[1], depth+1)
	if err != nil {
		return nil, err
	}
	delete(b.elements, loop.IterVar())
	if shadowed {
		b.elements[loop.IterVar()] = outer
	}
	n.index, n.args, n.valueType = depth, []*node{list, body}, boolType
	n.cost = 1 + list.cost + saturatingMultiply(int64(list.valueType.MaxLength), body.cost)
	return n, nil
}

// saturatingMultiply multiplies two costs. The product stops at an eighth of the largest int64, so that sums of costs do
// not overflow.
func saturatingMultiply(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64/8/b {
		return math.MaxInt64 / 8
	}
	return a * b
}

// buildCall builds a call of an operator or a function.
func (b *builder) buildCall(n *node, call ast.CallExpr, depth int) (*node, error) {
	args := call.Args()
	if call.IsMemberFunction() {
		args = append([]ast.Expr{call.Target()}, args...)
	}
	if call.FunctionName() == operators.In && args[1].Kind() == ast.ListKind {
		return b.buildMembership(n, args, depth)
	}
	for _, a := range args {
		arg, err := b.build(a, depth)
		if err != nil {
			return nil, err
		}
		n.args = append(n.args, arg)
		n.cost = min(math.MaxInt64/8, n.cost+arg.cost)
	}
	n.valueType = boolType
	addComparisonCost := func(operands ...*node) { // comparing texts takes one step for every 8 bytes
		shortest := operands[0].maxLength
		for _, operand := range operands {
			shortest = min(shortest, operand.maxLength)
		}
		n.cost += int64(shortest / 8)
	}
	if u, ok := b.compiler.units[call.FunctionName()]; ok {
		return b.measureUnit(n, u)
	}
	swap := func() { n.args[0], n.args[1] = n.args[1], n.args[0] }
	switch call.FunctionName() {
	case operators.LogicalAnd:
		n.op = opAnd
	case operators.LogicalOr:
		n.op = opOr
	case operators.LogicalNot:
		n.op = opNot
	case operators.Conditional:
		n.op, n.valueType, n.maxLength = opConditional, n.args[1].valueType, max(n.args[1].maxLength, n.args[2].maxLength)
	case operators.Equals, operators.NotEquals:
		n.op = opEqual
		if call.FunctionName() == operators.NotEquals {
			n.op = opNotEqual
		}
		if n.args[0].valueType.Kind == List {
			return nil, b.errorAt(n.exprID, "found a comparison of lists, expected exists or all of one list")
		}
		addComparisonCost(n.args...)
	case operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals:
		n.op = opLess
		if strings.HasSuffix(call.FunctionName(), "=_") {
			n.op = opLessEqual
		}
		if strings.HasPrefix(call.FunctionName(), "_>") {
			swap()
		}
		addComparisonCost(n.args...)
	case operators.In:
		return nil, b.errorAt(n.exprID, "found membership in something other than a list of constants, expected such a list, or exists of an attribute")
	case operators.Add:
		n.op, n.valueType, n.maxLength = opConcat, textType, n.args[0].maxLength+n.args[1].maxLength
		if n.maxLength > maxTextBytes {
			return nil, b.errorAt(n.exprID, "found a text of up to %d bytes, expected at most %d", n.maxLength, maxTextBytes)
		}
		n.cost += int64(n.maxLength / 8)
	case "startsWith":
		n.op = opHasPrefix
		addComparisonCost(n.args...)
	case "hash":
		n.op, n.valueType, n.maxLength = opHash, textType, 16
		n.cost += int64(n.args[0].maxLength / 8)
	case "given":
		if n.op = opGiven; n.args[0].op != opAttribute {
			return nil, b.errorAt(n.exprID, "found given of something other than an attribute, expected an attribute")
		}
	case "span":
		d, err := time.ParseDuration(n.args[0].value.Text)
		if n.args[0].op != opConst || err != nil || d%time.Microsecond != 0 {
			return nil, b.errorAt(n.exprID, "found an invalid span, expected a constant such as \"250ms\" in whole microseconds")
		}
		return &node{valueType: durationType, exprID: n.exprID, cost: 1, value: Value{Present: true, Int: d.Microseconds()}}, nil
	case operators.Negate:
		if n.args[0].op != opConst {
			return nil, b.errorAt(n.exprID, "found - before something other than a constant, expected a number")
		}
		v := n.args[0].value
		if v.Int == math.MinInt64 {
			return nil, b.errorAt(n.exprID, "found a number outside the range of 64-bit whole numbers")
		}
		v.Int, v.Float = -v.Int, -v.Float
		return &node{valueType: n.args[0].valueType, exprID: n.exprID, cost: 1, value: v}, nil
	default:
		return nil, b.errorAt(n.exprID, "found %s, expected an operator or function of the language", call.FunctionName())
	}
	return n, nil
}

// measureUnit folds a call such as celsius(8) into a constant in the first unit of its measure.
func (b *builder) measureUnit(n *node, u measureUnit) (*node, error) {
	arg := n.args[0]
	if arg.op != opConst {
		return nil, b.errorAt(n.exprID, "found %s of something other than a constant, expected a number", u.Name)
	}
	number := arg.value.Float
	if arg.valueType.Kind == Int {
		number = float64(arg.value.Int)
	}
	converted, err := u.toFirstUnit(number)
	if err != nil {
		return nil, b.errorAt(n.exprID, "%v", err)
	}
	return &node{valueType: u.measure, exprID: n.exprID, cost: 1, value: Value{Present: true, Float: converted}}, nil
}

// buildMembership builds the operator in with a list of constants.
func (b *builder) buildMembership(n *node, args []ast.Expr, depth int) (*node, error) {
	operand, err := b.build(args[0], depth)
	if err != nil {
		return nil, err
	}
	n.op, n.valueType, n.args = opIn, boolType, []*node{operand}
	n.cost += operand.cost
	for _, e := range args[1].AsList().Elements() {
		constant, err := b.build(e, depth)
		if err != nil {
			return nil, err
		}
		if constant.op != opConst {
			return nil, b.errorAt(constant.exprID, "found an expression in a list, expected constants")
		}
		n.constants = append(n.constants, constant.value)
		n.cost += 1 + int64(min(operand.maxLength, constant.maxLength)/8)
	}
	return n, nil
}
