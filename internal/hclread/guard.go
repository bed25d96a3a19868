package hclread

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits of a file. HCL's parser recurses for each bracket and each operator, and a stack overflow ends the process. A
// sentry must survive a reload of a malicious file.
const (
	maxFileBytes = 64 << 20
	maxNesting   = 500
	maxOperators = 2_000 // of one expression and the expressions around it
)

// checkNesting returns the first line at which a source exceeds maxNesting or maxOperators, with a message, or line 0. It
// uses HCL's scanner, which does not recurse.
func checkNesting(source []byte) (line int, message string) {
	tokens, _ := hclsyntax.LexConfig(source, "", hcl.InitialPos)
	type level struct {
		open      hclsyntax.TokenType
		operators int
	}
	levels, operators := []level{{open: hclsyntax.TokenOBrace}}, 0
	for _, t := range tokens {
		current := &levels[len(levels)-1]
		if t.Type == hclsyntax.TokenTemplateControl { // an if or for of a template also nests the text after its braces
			current.operators++
			operators++
		}
		switch t.Type {
		case hclsyntax.TokenOParen, hclsyntax.TokenOBrack, hclsyntax.TokenOBrace, hclsyntax.TokenOQuote, hclsyntax.TokenOHeredoc,
			hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			levels = append(levels, level{open: t.Type})
		case hclsyntax.TokenCParen, hclsyntax.TokenCBrack, hclsyntax.TokenCBrace, hclsyntax.TokenCQuote, hclsyntax.TokenCHeredoc,
			hclsyntax.TokenTemplateSeqEnd:
			if len(levels) > 1 {
				operators -= current.operators
				levels = levels[:len(levels)-1]
			}
		case hclsyntax.TokenComma, hclsyntax.TokenNewline: // an expression ends, except at a newline within brackets
			if t.Type == hclsyntax.TokenComma || current.open == hclsyntax.TokenOBrace {
				operators -= current.operators
				current.operators = 0
			}
		case hclsyntax.TokenBang, hclsyntax.TokenMinus, hclsyntax.TokenQuestion, hclsyntax.TokenPlus, hclsyntax.TokenStar,
			hclsyntax.TokenSlash, hclsyntax.TokenPercent, hclsyntax.TokenLessThan, hclsyntax.TokenGreaterThan, hclsyntax.TokenLessThanEq,
			hclsyntax.TokenGreaterThanEq, hclsyntax.TokenEqualOp, hclsyntax.TokenNotEqual, hclsyntax.TokenAnd, hclsyntax.TokenOr,
			hclsyntax.TokenDot:
			current.operators++
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
