// Package resp reads and writes RESP2 in bounds that are set beforehand, from bytes that come in any pieces. It knows no
// sockets and keeps nothing of a message once the next is read.
package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Kind is what a value is.
type Kind byte

const (
	SimpleString Kind = '+'
	Error        Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
	Null         Kind = '0' // a null bulk string or array
)

// Value is one value of a message. Those of an array follow it.
type Value struct {
	Kind     Kind
	Text     []byte // of a simple one, a fault, a whole number or a bulk string; points into the data that was read
	ArrayLen int    // of an array
}

// Bounds are what a message may have at the most.
type Limits struct {
	MaxLineBytes    int // bytes of a line
	MaxBulkBytes    int // bytes of a bulk string
	MaxValues       int // values, all arrays' together
	MaxDepth        int // arrays within one another
	MaxMessageBytes int // of the whole message
}

// Malformed is what was wrong with a message.
type ProtocolError struct{ Found, Expected string }

func (m *ProtocolError) Error() string { return "RESP: found " + m.Found + ", expected " + m.Expected }

// Reader reads messages of one connection. It keeps how far it has come in a message that is not whole yet, and looks at
// no byte of a bulk string twice.
type Reader struct {
	Limits       Limits
	CommandsOnly bool // only arrays of bulk strings

	offset    int     // how far the message in hand was read
	tokens    []token // its values
	remaining []int   // values still to come, by array
	values    []Value
}

type token struct {
	kind       Kind
	start, end int
}

// Next takes the first message off data, which begins where the last message ended. Where it is not whole, ok is false,
// and the next call brings the same bytes and more. Values are good until that call.
func (r *Reader) Next(data []byte) (message []Value, rest []byte, ok bool, err error) {
	for {
		complete, needMore, err := r.readValue(data)
		if err != nil {
			return nil, data, false, err
		}
		if r.offset > r.Limits.MaxMessageBytes {
			return nil, data, false, limitExceeded(r.offset, "bytes", r.Limits.MaxMessageBytes)
		}
		if needMore {
			return nil, data, false, nil
		}
		if complete {
			break
		}
	}
	r.values = r.values[:0]
	for _, t := range r.tokens {
		v := Value{Kind: t.kind}
		if t.kind == Array {
			v.ArrayLen = t.end
		} else if t.kind != Null {
			v.Text = data[t.start:t.end:t.end]
		}
		r.values = append(r.values, v)
	}
	consumed := r.offset
	r.offset, r.tokens, r.remaining = 0, r.tokens[:0], r.remaining[:0]
	return r.values, data[consumed:], true, nil
}

func limitExceeded(actual int, unit string, limit int) error {
	return &ProtocolError{strconv.Itoa(actual) + " " + unit, "at most " + strconv.Itoa(limit)}
}

// Missing says how many bytes the message in part still lacks at the least, after Next has found that it is not whole: reading
// no more than these never goes beyond its end.
func (r *Reader) MissingBytes(data []byte) int {
	if r.offset >= len(data) || Kind(data[r.offset]) != BulkString {
		return 1
	}
	line, nextOffset, err := r.readLine(data)
	if err != nil || nextOffset == 0 {
		return 1
	}
	n, err := parseLength(line)
	if err != nil {
		return 1
	}
	return max(1, nextOffset+n+len("\r\n")-len(data))
}

// value reads one value; done says that the message is whole with it, more that bytes are missing.
func (r *Reader) readValue(data []byte) (complete, needMore bool, err error) {
	if r.offset >= len(data) {
		return false, true, nil
	}
	kind := Kind(data[r.offset])
	switch kind {
	case BulkString, Array:
	case SimpleString, Error, Integer:
		if !r.CommandsOnly {
			break
		}
		fallthrough
	default:
		return false, false, &ProtocolError{fmt.Sprintf("byte %q", byte(kind)), "the beginning of a value"}
	}
	if r.CommandsOnly && (kind == Array) != (len(r.tokens) == 0) {
		return false, false, &ProtocolError{fmt.Sprintf("byte %q", byte(kind)), "an array of bulk strings"}
	}
	if len(r.tokens) >= r.Limits.MaxValues {
		return false, false, limitExceeded(len(r.tokens)+1, "values", r.Limits.MaxValues)
	}
	line, nextOffset, err := r.readLine(data)
	if err != nil || nextOffset == 0 {
		return false, nextOffset == 0, err
	}
	t := token{kind, r.offset + 1, r.offset + 1 + len(line)}
	if kind == BulkString || kind == Array {
		n, err := parseLength(line)
		switch {
		case err != nil:
			return false, false, err
		case n < 0:
			if r.CommandsOnly {
				return false, false, &ProtocolError{"a null", "an array of bulk strings"}
			}
			t.kind = Null
		case kind == BulkString && n > r.Limits.MaxBulkBytes:
			return false, false, limitExceeded(n, "bytes of a bulk string", r.Limits.MaxBulkBytes)
		case kind == BulkString:
			textEnd := nextOffset + n
			if len(data) < textEnd+2 {
				if len(data) > textEnd && data[textEnd] != '\r' {
					return false, false, &ProtocolError{"a bulk string that goes on", "its end"}
				}
				return false, true, nil
			}
			if data[textEnd] != '\r' || data[textEnd+1] != '\n' {
				return false, false, &ProtocolError{"a bulk string that goes on", "its end"}
			}
			t.start, t.end, nextOffset = nextOffset, textEnd, textEnd+2
		default:
			if n > r.Limits.MaxValues-len(r.tokens)-1 {
				return false, false, limitExceeded(n, "values of an array", r.Limits.MaxValues)
			}
			if r.CommandsOnly && n == 0 {
				return false, false, &ProtocolError{"an empty command", "a word"}
			}
			if len(r.remaining) >= r.Limits.MaxDepth {
				return false, false, limitExceeded(len(r.remaining)+1, "arrays within one another", r.Limits.MaxDepth)
			}
			t.end = n
		}
	}
	r.offset = nextOffset
	r.tokens = append(r.tokens, t)
	if t.kind == Array && t.end > 0 {
		r.remaining = append(r.remaining, t.end)
		return false, false, nil
	}
	for len(r.remaining) > 0 {
		last := len(r.remaining) - 1
		if r.remaining[last]--; r.remaining[last] > 0 {
			return false, false, nil
		}
		r.remaining = r.remaining[:last]
	}
	return true, false, nil
}

// line gives what stands on the line after the first byte of a value, and where the next begins, 0 if it is not whole.
func (r *Reader) readLine(data []byte) (line []byte, nextOffset int, err error) {
	rest := data[r.offset+1:]
	searched := rest[:min(len(rest), r.Limits.MaxLineBytes+1)]
	lineEnd := bytes.IndexByte(searched, '\r')
	switch {
	case bytes.IndexByte(searched, '\n') >= 0 && (lineEnd < 0 || bytes.IndexByte(searched, '\n') < lineEnd):
		return nil, 0, &ProtocolError{"a line feed alone", "a carriage return before it"}
	case lineEnd < 0 && len(searched) > r.Limits.MaxLineBytes:
		return nil, 0, &ProtocolError{"a line that goes on", "its end within " + strconv.Itoa(r.Limits.MaxLineBytes) + " bytes"}
	case lineEnd < 0 || lineEnd+1 >= len(rest):
		return nil, 0, nil
	case rest[lineEnd+1] != '\n':
		return nil, 0, &ProtocolError{"a carriage return alone", "a line feed after it"}
	}
	return rest[:lineEnd], r.offset + 1 + lineEnd + 2, nil
}

// length reads a length; -1 is a null's.
func parseLength(line []byte) (int, error) {
	if string(line) == "-1" {
		return -1, nil
	}
	n := 0
	for _, c := range line {
		if c < '0' || c > '9' || n > 1<<30 {
			return 0, &ProtocolError{fmt.Sprintf("length %.20q", line), "a number"}
		}
		n = 10*n + int(c-'0')
	}
	if len(line) == 0 {
		return 0, &ProtocolError{"no length", "a number"}
	}
	return n, nil
}

// AppendArray begins an array.
func AppendArrayHeader(dst []byte, length int) []byte {
	return append(strconv.AppendInt(append(dst, '*'), int64(length), 10), '\r', '\n')
}

// AppendBulk adds a bulk string.
func AppendBulkString(dst, text []byte) []byte {
	dst = append(strconv.AppendInt(append(dst, '$'), int64(len(text)), 10), '\r', '\n')
	return append(append(dst, text...), '\r', '\n')
}

// AppendLine adds a simple string or a fault. What would end the line early is written as a space.
func AppendLine(dst []byte, kind Kind, text string) []byte {
	dst = append(dst, byte(kind))
	for i := range len(text) {
		c := text[i]
		if c == '\r' || c == '\n' {
			c = ' '
		}
		dst = append(dst, c)
	}
	return append(dst, '\r', '\n')
}
