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

// Fault is what is wrong with an expression, at a place in it.
type ExprError struct {
	Line, Column int // from 1
	Msg          string
}

func (f *ExprError) Error() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Msg) }

const (
	maxSourceRunes = 32 << 10 // code points of an expression
	maxParserDepth = 64
	maxNestedLoops = 4 // any and all within each other
)

type op uint8

const (
	opConst op = iota
	opAttribute
	opElement
	opAnd
	opOr
	opNot
	opIf
	opEqual
	opUnequal
	opLess
	opAtMost
	opIn
	opPrefix
	opJoin
	opHash
	opGiven
	opAny
	opAll
)

// node is an expression after the check, with constants folded.
type node struct {
	op    op
	of    *Type // of its value; nil for what is true or false
	args  []*node
	at    int // attribute, or depth of an element
	value Value
	set   []Value // opIn
	cost  int64   // the most steps that it can take
	most  int     // the most bytes of a text
	where int64   // id in the source
	name  string  // opAttribute
	named string  // the named expression that it is, empty if none
}

// Checker checks expressions over one schema.
type Compiler struct {
	schema        *Schema
	env           *cel.Env
	types         map[string]*Type
	units         map[string]unit
	costLimit     int64
	definitions   map[string]*definition
	mu            sync.Mutex
	conjunctCache map[string]*node // by their text
}

type unit struct {
	of *Type
	Unit
}

// NewChecker makes one. No expression may cost more than the limit, in steps.
func NewCompiler(s *Schema, limit int64) (*Compiler, error) {
	c := &Compiler{schema: s, types: map[string]*Type{}, units: map[string]unit{}, costLimit: limit,
		definitions: map[string]*definition{}, conjunctCache: map[string]*node{}}
	a := cel.TypeParamType("A")
	both := func(t *cel.Type) []*cel.Type { return []*cel.Type{t, t} }
	fn := func(name string, overloads ...cel.FunctionOpt) cel.EnvOption { return cel.Function(name, overloads...) }
	over := func(id string, args []*cel.Type, result *cel.Type) cel.FunctionOpt {
		return cel.Overload(id, args, result)
	}
	opts := []cel.EnvOption{
		cel.ParserRecursionLimit(maxParserDepth), cel.ParserExpressionSizeLimit(maxSourceRunes),
		cel.ClearMacros(), cel.Macros(cel.ExistsMacro, cel.AllMacro),
		fn(operators.LogicalAnd, over("and", both(cel.BoolType), cel.BoolType)),
		fn(operators.LogicalOr, over("or", both(cel.BoolType), cel.BoolType)),
		fn(operators.LogicalNot, over("not", []*cel.Type{cel.BoolType}, cel.BoolType)),
		fn(operators.NotStrictlyFalse, over("loop", []*cel.Type{cel.BoolType}, cel.BoolType)),
		fn(operators.Conditional, over("if", []*cel.Type{cel.BoolType, a, a}, a)),
		fn(operators.Equals, over("equal", both(a), cel.BoolType)),
		fn(operators.NotEquals, over("unequal", both(a), cel.BoolType)),
		fn(operators.In, over("in", []*cel.Type{a, cel.ListType(a)}, cel.BoolType)),
		fn(operators.Add, over("join", both(cel.StringType), cel.StringType)),
		fn(operators.Negate, over("minus_whole", []*cel.Type{cel.IntType}, cel.IntType),
			over("minus", []*cel.Type{cel.DoubleType}, cel.DoubleType)),
		fn("startsWith", cel.MemberOverload("prefix", both(cel.StringType), cel.BoolType)),
		fn("hash", over("hash_text", []*cel.Type{cel.StringType}, cel.StringType)),
		fn("given", over("given_any", []*cel.Type{a}, cel.BoolType)),
		fn("span", over("span_text", []*cel.Type{cel.StringType}, cel.DurationType)),
	}
	ordered := []*cel.Type{cel.IntType, cel.DurationType, cel.StringType}
	for _, attribute := range s.Attributes {
		t := attribute.Type
		opts = append(opts, cel.Variable(attribute.Name, celType(t)))
		if t.Kind == List {
			t = t.Element
		}
		if c.types[t.Name] != nil || t.Kind != Enum && t.Kind != Measure {
			continue
		}
		c.types[t.Name] = t
		for _, member := range t.Members {
			opts = append(opts, cel.Variable(t.Name+"."+member, celType(t)))
		}
		if t.Kind == Measure {
			ordered = append(ordered, celType(t))
			for _, u := range t.Units {
				if _, taken := c.units[u.Name]; taken {
					return nil, fmt.Errorf("unit %s is declared for two measures", u.Name)
				}
				c.units[u.Name] = unit{t, u}
				opts = append(opts, fn(u.Name, over("unit_"+u.Name, []*cel.Type{cel.DoubleType}, celType(t)),
					over("unit_whole_"+u.Name, []*cel.Type{cel.IntType}, celType(t))))
			}
		}
	}
	for _, name := range []string{operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals} {
		var overloads []cel.FunctionOpt
		for i, t := range ordered {
			overloads = append(overloads, over(fmt.Sprintf("order_%s_%d", name, i), both(t), cel.BoolType))
		}
		opts = append(opts, fn(name, overloads...))
	}
	env, err := cel.NewCustomEnv(opts...)
	if err != nil {
		return nil, err
	}
	c.env = env
	c.settle()
	return c, nil
}

// settle has cel-go make now what it keeps for its messages: it does so at the first undeclared name, and not safely
// when several expressions are checked at once.
func (c *Compiler) settle() { _, _ = c.env.Compile(strings.Repeat("u", 65)) } // longer than any name

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

// parse parses and checks a text by cel-go.
func (c *Compiler) parse(text string) (*cel.Ast, error) {
	if !utf8.ValidString(text) || strings.ContainsRune(text, 0) {
		return nil, &ExprError{1, 1, "found NUL or bytes that are no UTF-8, expected text"}
	}
	checked, issues := c.env.Compile(text)
	if issues != nil && issues.Err() != nil {
		e := issues.Errors()[0]
		return nil, &ExprError{max(1, e.Location.Line()), max(1, e.Location.Column()+1), c.explain(e.Message)}
	}
	return checked, nil
}

// check makes the tree of a text. The parts of a conjunction are parsed one by one and kept, since those of a large table
// repeat and cel-go's parser takes most of its load. What does not come out well that way is parsed whole, so that all
// faults are told of the whole and at their place in it.
func (c *Compiler) check(text string) (*node, error) {
	parts := conjuncts(text)
	if len(parts) == 1 {
		return c.part(text)
	}
	var all *node
	for _, p := range parts {
		n, err := c.part(p)
		if err != nil || n.of.Kind != Bool {
			return c.whole(text)
		}
		if all != nil {
			n = &node{op: opAnd, of: flagType, args: []*node{all, n}, cost: all.cost + n.cost + 1}
		}
		if all = n; all.cost > c.costLimit {
			return c.whole(text)
		}
	}
	return all, nil
}

// part is whole for a text that may come again.
func (c *Compiler) part(text string) (*node, error) {
	c.mu.Lock()
	n := c.conjunctCache[text]
	c.mu.Unlock()
	if n != nil {
		return n, nil
	}
	n, err := c.whole(text)
	if err == nil {
		c.mu.Lock()
		c.conjunctCache[text] = n
		c.mu.Unlock()
	}
	return n, err
}

// blanks are what cel-go passes over; it refuses others, such as a vertical tab.
const blanks = " \t\r\n\f"

// conjuncts cuts a text at the ands that stand outside of all brackets and quotes. Where it is not sure that these parts
// mean what the whole does, the whole is the only part.
func conjuncts(text string) (parts []string) {
	whole := []string{text}
	if len(text) > maxSourceRunes || strings.ContainsAny(text, "?\\") || strings.Contains(text, "||") || strings.Contains(text, "//") ||
		strings.Contains(text, `""`) || strings.Contains(text, "''") {
		return whole
	}
	depth, from := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"', '\'':
			end := strings.IndexByte(text[i+1:], text[i])
			if end < 0 || strings.ContainsAny(text[i:i+1+end], "\r\n") {
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
			if depth == 0 && strings.HasPrefix(text[i:], "&&") {
				parts = append(parts, strings.Trim(text[from:i], blanks))
				i++
				from = i + 1
			}
		}
	}
	if depth != 0 {
		return whole
	}
	return append(parts, strings.Trim(text[from:], blanks))
}

// whole parses, checks and builds a text.
func (c *Compiler) whole(text string) (*node, error) {
	checked, err := c.parse(text)
	if err != nil {
		return nil, err
	}
	b := &builder{c: c, tree: checked.NativeRep(), elements: map[string]element{}}
	n, err := b.build(b.tree.Expr(), 0)
	if err != nil {
		return nil, err
	}
	return n, b.bounded(n)
}

// bounded refuses what costs too much and names the part that costs most.
func (b *builder) bounded(n *node) error {
	if n.cost <= b.c.costLimit {
		return nil
	}
	worst := n
	for next := n; next != nil; { // down the part that costs most, not into named ones: they stand elsewhere
		worst, next = next, nil
		for _, a := range worst.args {
			if worst.named == "" && a.cost > b.c.costLimit/2 && (next == nil || a.cost > next.cost) {
				next = a
			}
		}
	}
	return b.fault(worst.where, "found a cost of %d steps, most of it in %.60s, expected at most %d", n.cost, worst.text(true), b.c.costLimit)
}

// explain says in this language's words what cel-go found, and what would fit.
func (c *Compiler) explain(message string) string {
	message = strings.ReplaceAll(message, "\n", " ")
	if _, rest, is := strings.Cut(message, "undeclared reference to '"); is {
		name, _, _ := strings.Cut(rest, "'")
		if t := c.types[name]; t != nil && t.Kind == Enum {
			return noMember(t)
		}
		var known []string
		for n := range c.schema.slots {
			known = append(known, n)
		}
		for _, names := range []iter.Seq[string]{maps.Keys(c.definitions), maps.Keys(c.units), maps.Keys(c.types)} {
			known = slices.AppendSeq(known, names)
		}
		slices.Sort(known)
		return fmt.Sprintf("%s, expected one of %s", UndeclaredPrefix(name), few(known))
	}
	if name, is := strings.CutSuffix(message, "' does not support field selection"); is { // an attribute is called as its set
		if t := c.types[strings.TrimPrefix(name, "type '")]; t != nil && t.Kind == Enum {
			return noMember(t)
		}
	}
	if _, rest, is := strings.Cut(message, "found no matching overload for '"); is {
		name, rest, _ := strings.Cut(rest, "' applied to '")
		sides, _, _ := strings.Cut(rest, "'")
		fits := "sides of one type"
		for name, t := range c.types {
			if t.Kind == Measure && strings.Contains(sides, name) {
				var units []string
				for _, u := range t.Units {
					units = append(units, u.Name+"(...)")
				}
				fits = fmt.Sprintf("%s; a figure of %s as %s", fits, name, few(units))
			}
		}
		return fmt.Sprintf("found no matching overload for '%s' applied to '%s', expected %s", name, sides, fits)
	}
	return message
}

func noMember(t *Type) string {
	return fmt.Sprintf("found a member that %s does not have, expected one of %s", t.Name, few(t.Members))
}

// Undeclared begins what is said of a name that nobody declared.
func UndeclaredPrefix(name string) string { return "undeclared reference to '" + name + "'" }

// few names the first of many.
func few(names []string) string {
	if len(names) > 20 {
		names = append(names[:20:20], "...")
	}
	return strings.Join(names, ", ")
}

type element struct {
	depth int
	of    *Type
}

type builder struct {
	c        *Compiler
	tree     *ast.AST
	elements map[string]element
}

func (b *builder) fault(id int64, format string, args ...any) error {
	at := b.tree.SourceInfo().GetStartLocation(id)
	return &ExprError{max(1, at.Line()), at.Column() + 1, fmt.Sprintf(format, args...)}
}

var (
	textType  = &Type{Kind: Text}
	wholeType = &Type{Kind: Int}
	flagType  = &Type{Kind: Bool}
	spanType  = &Type{Kind: Duration}
)

func (b *builder) build(e ast.Expr, depth int) (*node, error) {
	n := &node{where: e.ID(), cost: 1}
	switch e.Kind() {
	case ast.LiteralKind:
		n.value = Value{Present: true}
		switch v := e.AsLiteral().(type) {
		case types.String:
			n.of, n.value.Text, n.most = textType, string(v), len(v)
		case types.Int:
			n.of, n.value.Int = wholeType, int64(v)
		case types.Double:
			n.of, n.value.Float = &Type{Kind: Measure}, float64(v)
		case types.Bool:
			n.of = flagType
			if v {
				n.value.Int = 1
			}
		default:
			return nil, b.fault(e.ID(), "found a literal of type %s, expected a text, a number or a flag", v.Type().TypeName())
		}
		return n, nil
	case ast.IdentKind:
		return b.named(n, e.AsIdent(), depth)
	case ast.SelectKind:
		s := e.AsSelect()
		if s.Operand().Kind() == ast.IdentKind {
			return b.named(n, s.Operand().AsIdent()+"."+s.FieldName(), depth)
		}
	case ast.ComprehensionKind:
		return b.loop(n, e.AsComprehension(), depth)
	case ast.CallKind:
		return b.call(n, e.AsCall(), depth)
	}
	return nil, b.fault(e.ID(), "found what this language does not have, expected a comparison, a name or a call")
}

func (b *builder) named(n *node, name string, depth int) (*node, error) {
	if x, is := b.elements[name]; is {
		n.op, n.at, n.of, n.most = opElement, x.depth, x.of, x.of.MaxLength
		return n, nil
	}
	if d, is := b.c.definitions[name]; is {
		if d.faults[depth] != nil {
			return nil, b.fault(n.where, "%s: %s", name, d.faults[depth].(*ExprError).Msg)
		}
		use := *d.at[depth]
		use.where, use.named = n.where, name
		return &use, nil
	}
	if at, is := b.c.schema.slots[name]; is {
		n.op, n.at, n.of, n.name = opAttribute, at, b.c.schema.Attributes[at].Type, name
		n.most = n.of.MaxLength
		return n, nil
	}
	if set, member, is := strings.Cut(name, "."); is && b.c.types[set] != nil {
		if place, is := b.c.types[set].memberIndex[member]; is {
			n.of, n.value = b.c.types[set], Value{Present: true, Int: place}
			return n, nil
		}
	}
	return nil, b.fault(n.where, "found %q, expected a declared name", name)
}

// loop is any or all of a list, as the macros expand it.
func (b *builder) loop(n *node, x ast.ComprehensionExpr, depth int) (*node, error) {
	if depth >= maxNestedLoops {
		return nil, b.fault(n.where, "found any or all nested deeper than %d", maxNestedLoops)
	}
	list, err := b.build(x.IterRange(), depth)
	if err != nil {
		return nil, err
	}
	step := x.LoopStep()
	if list.of == nil || list.of.Kind != List || list.op != opAttribute || step.Kind() != ast.CallKind || len(step.AsCall().Args()) != 2 {
		return nil, b.fault(n.where, "found a loop that is not over an attribute's list, expected one that is")
	}
	n.op = opAny
	if step.AsCall().FunctionName() == operators.LogicalAnd {
		n.op = opAll
	}
	if b.c.taken(x.IterVar()) {
		return nil, b.fault(n.where, "found %s for an element, which is declared, expected another name", x.IterVar())
	}
	hidden, shadows := b.elements[x.IterVar()]
	b.elements[x.IterVar()] = element{depth, list.of.Element}
	body, err := b.build(step.AsCall().Args()[1], depth+1)
	if err != nil {
		return nil, err
	}
	delete(b.elements, x.IterVar())
	if shadows {
		b.elements[x.IterVar()] = hidden
	}
	n.at, n.args, n.of = depth, []*node{list, body}, flagType
	n.cost = 1 + list.cost + times(int64(list.of.MaxLength), body.cost)
	return n, nil
}

// times multiplies costs; what is too much stays too much.
func times(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64/8/b {
		return math.MaxInt64 / 8
	}
	return a * b
}

func (b *builder) call(n *node, x ast.CallExpr, depth int) (*node, error) {
	args := x.Args()
	if x.IsMemberFunction() {
		args = append([]ast.Expr{x.Target()}, args...)
	}
	if x.FunctionName() == operators.In && args[1].Kind() == ast.ListKind {
		return b.member(n, args, depth)
	}
	for _, a := range args {
		arg, err := b.build(a, depth)
		if err != nil {
			return nil, err
		}
		n.args = append(n.args, arg)
		n.cost = min(math.MaxInt64/8, n.cost+arg.cost)
	}
	n.of = flagType
	words := func(of ...*node) { // comparing texts takes a step for each eight bytes
		most := of[0].most
		for _, x := range of {
			most = min(most, x.most)
		}
		n.cost += int64(most / 8)
	}
	if u, is := b.c.units[x.FunctionName()]; is {
		return b.unit(n, u)
	}
	swap := func() { n.args[0], n.args[1] = n.args[1], n.args[0] }
	switch x.FunctionName() {
	case operators.LogicalAnd:
		n.op = opAnd
	case operators.LogicalOr:
		n.op = opOr
	case operators.LogicalNot:
		n.op = opNot
	case operators.Conditional:
		n.op, n.of, n.most = opIf, n.args[1].of, max(n.args[1].most, n.args[2].most)
	case operators.Equals, operators.NotEquals:
		n.op = opEqual
		if x.FunctionName() == operators.NotEquals {
			n.op = opUnequal
		}
		if n.args[0].of.Kind == List {
			return nil, b.fault(n.where, "found a comparison of lists, expected any or all of one")
		}
		words(n.args...)
	case operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals:
		n.op = opLess
		if strings.HasSuffix(x.FunctionName(), "=_") {
			n.op = opAtMost
		}
		if strings.HasPrefix(x.FunctionName(), "_>") {
			swap()
		}
		words(n.args...)
	case operators.In:
		return nil, b.fault(n.where, "found membership in what is no list of constants, expected one, or any of an attribute")
	case operators.Add:
		n.op, n.of, n.most = opJoin, textType, n.args[0].most+n.args[1].most
		if n.most > maxTextBytes {
			return nil, b.fault(n.where, "found a text of up to %d bytes, expected at most %d", n.most, maxTextBytes)
		}
		n.cost += int64(n.most / 8)
	case "startsWith":
		n.op = opPrefix
		words(n.args...)
	case "hash":
		n.op, n.of, n.most = opHash, textType, 16
		n.cost += int64(n.args[0].most / 8)
	case "given":
		if n.op = opGiven; n.args[0].op != opAttribute {
			return nil, b.fault(n.where, "found given of what is no attribute, expected one")
		}
	case "span":
		d, err := time.ParseDuration(n.args[0].value.Text)
		if n.args[0].op != opConst || err != nil || d%time.Microsecond != 0 {
			return nil, b.fault(n.where, "found a span that is no constant such as \"250ms\" in whole microseconds")
		}
		return &node{of: spanType, where: n.where, cost: 1, value: Value{Present: true, Int: d.Microseconds()}}, nil
	case operators.Negate:
		if n.args[0].op != opConst {
			return nil, b.fault(n.where, "found - before what is no constant, expected a number")
		}
		v := n.args[0].value
		if v.Int == math.MinInt64 {
			return nil, b.fault(n.where, "found a number beyond the whole numbers of 64 bits")
		}
		v.Int, v.Float = -v.Int, -v.Float
		return &node{of: n.args[0].of, where: n.where, cost: 1, value: v}, nil
	default:
		return nil, b.fault(n.where, "found %s, expected what this language has", x.FunctionName())
	}
	return n, nil
}

// unit folds a figure with its unit.
func (b *builder) unit(n *node, u unit) (*node, error) {
	a := n.args[0]
	if a.op != opConst {
		return nil, b.fault(n.where, "found %s of what is no constant, expected a number", u.Name)
	}
	figure := a.value.Float
	if a.of.Kind == Int {
		figure = float64(a.value.Int)
	}
	kept, err := u.toFirstUnit(figure)
	if err != nil {
		return nil, b.fault(n.where, "%v", err)
	}
	return &node{of: u.of, where: n.where, cost: 1, value: Value{Present: true, Float: kept}}, nil
}

// member is membership in a list of constants.
func (b *builder) member(n *node, args []ast.Expr, depth int) (*node, error) {
	of, err := b.build(args[0], depth)
	if err != nil {
		return nil, err
	}
	n.op, n.of, n.args = opIn, flagType, []*node{of}
	n.cost += of.cost
	for _, e := range args[1].AsList().Elements() {
		x, err := b.build(e, depth)
		if err != nil {
			return nil, err
		}
		if x.op != opConst {
			return nil, b.fault(x.where, "found what is no constant in a list, expected constants")
		}
		n.set = append(n.set, x.value)
		n.cost += 1 + int64(min(of.most, x.most)/8)
	}
	return n, nil
}
