package match

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Interpret evaluates the predicate by walking its tree and counts the steps. Tests compare the compiled form with it.
func (p *Predicate) Interpret(r *Record) (holds bool, steps int64) {
	i := &interpreter{record: r}
	v := i.value(p.tree)
	return v.Present && v.Int != 0, i.steps
}

// Interpret evaluates the key by walking its tree and counts the steps.
func (k *Key) Interpret(r *Record) (text string, steps int64) {
	i := &interpreter{record: r}
	return i.value(k.tree).Text, i.steps
}

type interpreter struct {
	record *Record
	steps  int64
}

func (i *interpreter) value(n *node) Value {
	i.steps++
	boolValue := func(b bool) Value {
		if b {
			return trueValue
		}
		return falseValue
	}
	isTrue := func(n *node) bool { v := i.value(n); return v.Present && v.Int != 0 }
	addComparisonSteps := func(a, b Value) { i.steps += int64(min(len(a.Text), len(b.Text)) / 8) }
	switch n.op {
	case opAttribute:
		if v := i.record.values[n.index]; v.Present {
			return v
		}
		return Value{}
	case opElement:
		return i.record.elements[n.index]
	case opAnd:
		return boolValue(isTrue(n.args[0]) && isTrue(n.args[1]))
	case opOr:
		return boolValue(isTrue(n.args[0]) || isTrue(n.args[1]))
	case opNot:
		return boolValue(!isTrue(n.args[0]))
	case opConditional:
		if isTrue(n.args[0]) {
			return i.value(n.args[1])
		}
		return i.value(n.args[2])
	case opEqual, opNotEqual, opLess, opLessEqual:
		a, b := i.value(n.args[0]), i.value(n.args[1])
		addComparisonSteps(a, b)
		return boolValue(a.Present && b.Present && compare(n.args[0].valueType.Kind, n.op, &a, &b))
	case opIn:
		a := i.value(n.args[0])
		found := false
		for _, v := range n.constants {
			i.steps++
			addComparisonSteps(a, v)
			found = found || a.Present && compare(n.args[0].valueType.Kind, opEqual, &a, &v)
		}
		return boolValue(found)
	case opHasPrefix:
		a, b := i.value(n.args[0]), i.value(n.args[1])
		addComparisonSteps(a, b)
		return boolValue(a.Present && b.Present && strings.HasPrefix(a.Text, b.Text))
	case opConcat:
		text := i.value(n.args[0]).Text + i.value(n.args[1]).Text
		i.steps += int64(len(text) / 8)
		return Value{Present: true, Text: text}
	case opHash:
		text := i.value(n.args[0]).Text
		i.steps += int64(len(text) / 8)
		return Value{Present: true, Text: fmt.Sprintf("%016s", strconv.FormatUint(xxh3.HashString(text), 16))}
	case opGiven:
		return boolValue(i.value(n.args[0]).Present)
	case opExists, opAll:
		list := i.value(n.args[0])
		result := n.op == opAll && list.Present
		for _, e := range list.List {
			i.record.elements[n.index] = e
			holds := isTrue(n.args[1])
			if n.op == opExists {
				result = result || holds
			} else {
				result = result && holds
			}
		}
		return boolValue(result)
	}
	return n.value
}
