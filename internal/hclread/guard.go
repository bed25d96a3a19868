package hclread

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Bounds of a file. HCL's parser goes down a level for each bracket and each operator, and a stack that overflows ends
// the process: a sentry that reads a hostile file anew must live.
const (
	maxFileBytes = 64 << 20
	maxNesting   = 500
	maxOperators = 2_000 // of one expression, with those that it stands in
)

// tooDeep finds the line in which a source goes beyond the bounds, 0 if it does not. HCL's own scanner, which it asks,
// goes down nowhere.
func tooDeep(source []byte) (line int, what string) {
	tokens, _ := hclsyntax.LexConfig(source, "", hcl.InitialPos)
	type level struct {
		open      hclsyntax.TokenType
		operators int
	}
	levels, operators := []level{{open: hclsyntax.TokenOBrace}}, 0
	for _, t := range tokens {
		last := &levels[len(levels)-1]
		if t.Type == hclsyntax.TokenTemplateControl { // an if or for of a template, which goes on after its own braces
			last.operators++
			operators++
		}
		switch t.Type {
		case hclsyntax.TokenOParen, hclsyntax.TokenOBrack, hclsyntax.TokenOBrace, hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc,
			hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			levels = append(levels, level{open: t.Type})
		case hclsyntax.TokenCParen, hclsyntax.TokenCBrack, hclsyntax.TokenCBrace, hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc,
			hclsyntax.TokenTemplateSeqEnd:
			if len(levels) > 1 {
				operators -= last.operators
				levels = levels[:len(levels)-1]
			}
		case hclsyntax.TokenComma, hclsyntax.TokenNewline: // an expression ends, but a line alone ends none within brackets
			if t.Type == hclsyntax.TokenComma || last.open == hclsyntax.TokenOBrace {
				operators -= last.operators
				last.operators = 0
			}
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion, hclsyntax.TokenPlus, hclsyntax.TokenStar,
			hclsyntax.TokenSlash, hclsyntax.TokenPercent, hclsyntax.TokenLessThan, hclsyntax.TokenGreaterThan, hclsyntax.TokenLessThanEq,
			hclsyntax.TokenGreaterThanEq, hclsyntax.TokenEqualOp, hclsyntax.TokenNotEqual, hclsyntax.TokenAnd, hclsyntax.TokenOr,
			hclsyntax.TokenDot:
			last.operators++
			operators++
		}
		if len(levels) > maxNesting {
			return t.Range.Start.Line, "found nesting deeper than 500, expected less"
		}
		if operators > maxOperators {
			return t.Range.Start.Line, "found an expression of more than 2000 operators, expected fewer"
		}
	}
	return 0, ""
}
