package match

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Interpret is the plain reference that the compiled form is held against: slow, and counting its steps.
func (p *Predicate) Interpret(r *Record) (holds bool, steps int64) {
	i := &interpreter{r: r}
	v := i.value(p.tree)
	return v.Present && v.Int != 0, i.steps
}

// Interpret is the plain reference.
func (k *Key) Interpret(r *Record) (text string, steps int64) {
	i := &interpreter{r: r}
	return i.value(k.tree).Text, i.steps
}

type interpreter struct {
	r     *Record
	steps int64
}

func (i *interpreter) value(n *node) Value {
	i.steps++
	flag := func(b bool) Value {
		if b {
			return yesValue
		}
		return noValue
	}
	is := func(n *node) bool { v := i.value(n); return v.Present && v.Int != 0 }
	words := func(a, b Value) { i.steps += int64(min(len(a.Text), len(b.Text)) / 8) }
	switch n.op {
	case opAttribute:
		if v := i.r.values[n.at]; v.Present {
			return v
		}
		return Value{}
	case opElement:
		return i.r.elements[n.at]
	case opAnd:
		return flag(is(n.args[0]) && is(n.args[1]))
	case opOr:
		return flag(is(n.args[0]) || is(n.args[1]))
	case opNot:
		return flag(!is(n.args[0]))
	case opIf:
		if is(n.args[0]) {
			return i.value(n.args[1])
		}
		return i.value(n.args[2])
	case opEqual, opUnequal, opLess, opAtMost:
		a, b := i.value(n.args[0]), i.value(n.args[1])
		words(a, b)
		return flag(a.Present && b.Present && ordered(n.args[0].of.Kind, n.op, &a, &b))
	case opIn:
		a := i.value(n.args[0])
		found := false
		for _, v := range n.set {
			i.steps++
			words(a, v)
			found = found || a.Present && ordered(n.args[0].of.Kind, opEqual, &a, &v)
		}
		return flag(found)
	case opPrefix:
		a, b := i.value(n.args[0]), i.value(n.args[1])
		words(a, b)
		return flag(a.Present && b.Present && strings.HasPrefix(a.Text, b.Text))
	case opJoin:
		text := i.value(n.args[0]).Text + i.value(n.args[1]).Text
		i.steps += int64(len(text) / 8)
		return Value{Present: true, Text: text}
	case opHash:
		text := i.value(n.args[0]).Text
		i.steps += int64(len(text) / 8)
		return Value{Present: true, Text: fmt.Sprintf("%016s", strconv.FormatUint(xxh3.HashString(text), 16))}
	case opGiven:
		return flag(i.value(n.args[0]).Present)
	case opAny, opAll:
		list := i.value(n.args[0])
		result := n.op == opAll && list.Present
		for _, e := range list.List {
			i.r.elements[n.at] = e
			holds := is(n.args[1])
			if n.op == opAny {
				result = result || holds
			} else {
				result = result && holds
			}
		}
		return flag(result)
	}
	return n.value
}
