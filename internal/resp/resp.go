// Package resp implements an incremental parser and an encoder for RESP2, the Redis protocol. A Reader parses messages
// from a byte stream that arrives in any pieces, within configured limits. The package does no I/O, and a Reader keeps
// nothing of a message once the next one is read.
package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Kind is the type of a value. For all kinds but Null it is the byte that begins the value on the wire.
type Kind byte

// The kinds of values.
const (
	SimpleString Kind = '+'
	Error        Kind = '-'
	Integer      Kind = ':'
	BulkString   Kind = '$'
	Array        Kind = '*'
	Null         Kind = '0' // a null bulk string or array
)

// Value is one value of a message. The elements of an array follow the array in the message's list of values.
type Value struct {
	Kind     Kind
	Text     []byte // for all kinds but Array and Null; points into the data passed to Next
	ArrayLen int    // number of elements of an array
}

// Limits bounds the size of a message. A message beyond a limit is a ProtocolError.
type Limits struct {
	MaxLineBytes    int // of a line, without its type byte and its CRLF
	MaxBulkBytes    int // of a bulk string
	MaxValues       int // in a message; arrays and their elements all count
	MaxDepth        int // of nested arrays
	MaxMessageBytes int // of a whole message
}

// ProtocolError reports a message that is malformed or exceeds a limit.
type ProtocolError struct{ Found, Expected string }

func (m *ProtocolError) Error() string { return "RESP: found " + m.Found + ", expected " + m.Expected }

// Reader parses the messages of one connection. It remembers how far it has parsed an incomplete message, so that no
// byte of a bulk string is examined twice.
type Reader struct {
	Limits       Limits
	CommandsOnly bool // accept only non-empty arrays of bulk strings, as clients send them

	offset    int     // bytes of the current message parsed so far
	tokens    []token // its values parsed so far
	remaining []int   // elements still missing of each open array, the innermost last
	values    []Value
}

// token is a parsed value whose text is given as offsets into the message.
type token struct {
	kind       Kind
	start, end int // for an array, end is its number of elements
}

// Next parses the first message of data and returns the bytes after it as rest. If the message is incomplete, ok is
// false, and the next call must pass the same bytes followed by more. The returned values are valid until that call.
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

// limitExceeded returns the error for a message that exceeds a limit.
func limitExceeded(actual int, unit string, limit int) error {
	return &ProtocolError{strconv.Itoa(actual) + " " + unit, "at most " + strconv.Itoa(limit)}
}

// MissingBytes returns a lower bound, at least 1, of the bytes that an incomplete message still lacks, after Next has
// found it incomplete. Reading that many bytes never reads past the end of the message.
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

// readValue parses one value. complete reports that it ends the message, needMore that data ends within the value.
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

// readLine returns the line after the type byte of the current value and the offset after its CRLF, or 0 if the line is
// incomplete.
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

// parseLength parses the length of a bulk string or an array. It returns -1 for a null.
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

// AppendArrayHeader appends the header of an array of length elements to dst. The caller appends the elements.
func AppendArrayHeader(dst []byte, length int) []byte {
	return append(strconv.AppendInt(append(dst, '*'), int64(length), 10), '\r', '\n')
}

// AppendBulkString appends a bulk string to dst.
func AppendBulkString(dst, text []byte) []byte {
	dst = append(strconv.AppendInt(append(dst, '$'), int64(len(text)), 10), '\r', '\n')
	return append(append(dst, text...), '\r', '\n')
}

// AppendLine appends a simple string or an error to dst. A CR or LF in the text is written as a space.
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
