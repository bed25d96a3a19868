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

	at     int    // how far the message in hand was read
	marks  []mark // its values
	left   []int  // values still to come, by array
	values []Value
}

type mark struct {
	kind     Kind
	from, to int
}

// Next takes the first message off data, which begins where the last message ended. Where it is not whole, ok is false,
// and the next call brings the same bytes and more. Values are good until that call.
func (r *Reader) Next(data []byte) (message []Value, rest []byte, ok bool, err error) {
	for {
		done, more, err := r.value(data)
		if err != nil {
			return nil, data, false, err
		}
		if r.at > r.Limits.MaxMessageBytes {
			return nil, data, false, malformed(r.at, "bytes", r.Limits.MaxMessageBytes)
		}
		if more {
			return nil, data, false, nil
		}
		if done {
			break
		}
	}
	r.values = r.values[:0]
	for _, m := range r.marks {
		v := Value{Kind: m.kind}
		if m.kind == Array {
			v.ArrayLen = m.to
		} else if m.kind != Null {
			v.Text = data[m.from:m.to:m.to]
		}
		r.values = append(r.values, v)
	}
	at := r.at
	r.at, r.marks, r.left = 0, r.marks[:0], r.left[:0]
	return r.values, data[at:], true, nil
}

func malformed(found int, what string, most int) error {
	return &ProtocolError{strconv.Itoa(found) + " " + what, "at most " + strconv.Itoa(most)}
}

// Missing says how many bytes the message in part still lacks at the least, after Next has found that it is not whole: reading
// no more than these never goes beyond its end.
func (r *Reader) MissingBytes(data []byte) int {
	if r.at >= len(data) || Kind(data[r.at]) != BulkString {
		return 1
	}
	line, next, err := r.line(data)
	if err != nil || next == 0 {
		return 1
	}
	n, err := length(line)
	if err != nil {
		return 1
	}
	return max(1, next+n+len("\r\n")-len(data))
}

// value reads one value; done says that the message is whole with it, more that bytes are missing.
func (r *Reader) value(data []byte) (done, more bool, err error) {
	if r.at >= len(data) {
		return false, true, nil
	}
	kind := Kind(data[r.at])
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
	if r.CommandsOnly && (kind == Array) != (len(r.marks) == 0) {
		return false, false, &ProtocolError{fmt.Sprintf("byte %q", byte(kind)), "an array of bulk strings"}
	}
	if len(r.marks) >= r.Limits.MaxValues {
		return false, false, malformed(len(r.marks)+1, "values", r.Limits.MaxValues)
	}
	line, next, err := r.line(data)
	if err != nil || next == 0 {
		return false, next == 0, err
	}
	m := mark{kind, r.at + 1, r.at + 1 + len(line)}
	if kind == BulkString || kind == Array {
		n, err := length(line)
		switch {
		case err != nil:
			return false, false, err
		case n < 0:
			if r.CommandsOnly {
				return false, false, &ProtocolError{"a null", "an array of bulk strings"}
			}
			m.kind = Null
		case kind == BulkString && n > r.Limits.MaxBulkBytes:
			return false, false, malformed(n, "bytes of a bulk string", r.Limits.MaxBulkBytes)
		case kind == BulkString:
			end := next + n
			if len(data) < end+2 {
				if len(data) > end && data[end] != '\r' {
					return false, false, &ProtocolError{"a bulk string that goes on", "its end"}
				}
				return false, true, nil
			}
			if data[end] != '\r' || data[end+1] != '\n' {
				return false, false, &ProtocolError{"a bulk string that goes on", "its end"}
			}
			m.from, m.to, next = next, end, end+2
		default:
			if n > r.Limits.MaxValues-len(r.marks)-1 {
				return false, false, malformed(n, "values of an array", r.Limits.MaxValues)
			}
			if r.CommandsOnly && n == 0 {
				return false, false, &ProtocolError{"an empty command", "a word"}
			}
			if len(r.left) >= r.Limits.MaxDepth {
				return false, false, malformed(len(r.left)+1, "arrays within one another", r.Limits.MaxDepth)
			}
			m.to = n
		}
	}
	r.at = next
	r.marks = append(r.marks, m)
	if m.kind == Array && m.to > 0 {
		r.left = append(r.left, m.to)
		return false, false, nil
	}
	for len(r.left) > 0 {
		last := len(r.left) - 1
		if r.left[last]--; r.left[last] > 0 {
			return false, false, nil
		}
		r.left = r.left[:last]
	}
	return true, false, nil
}

// line gives what stands on the line after the first byte of a value, and where the next begins, 0 if it is not whole.
func (r *Reader) line(data []byte) (line []byte, next int, err error) {
	rest := data[r.at+1:]
	most := rest[:min(len(rest), r.Limits.MaxLineBytes+1)]
	i := bytes.IndexByte(most, '\r')
	switch {
	case bytes.IndexByte(most, '\n') >= 0 && (i < 0 || bytes.IndexByte(most, '\n') < i):
		return nil, 0, &ProtocolError{"a line feed alone", "a carriage return before it"}
	case i < 0 && len(most) > r.Limits.MaxLineBytes:
		return nil, 0, &ProtocolError{"a line that goes on", "its end within " + strconv.Itoa(r.Limits.MaxLineBytes) + " bytes"}
	case i < 0 || i+1 >= len(rest):
		return nil, 0, nil
	case rest[i+1] != '\n':
		return nil, 0, &ProtocolError{"a carriage return alone", "a line feed after it"}
	}
	return rest[:i], r.at + 1 + i + 2, nil
}

// length reads a length; -1 is a null's.
func length(line []byte) (int, error) {
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
func AppendArrayHeader(to []byte, items int) []byte {
	return append(strconv.AppendInt(append(to, '*'), int64(items), 10), '\r', '\n')
}

// AppendBulk adds a bulk string.
func AppendBulkString(to, text []byte) []byte {
	to = append(strconv.AppendInt(append(to, '$'), int64(len(text)), 10), '\r', '\n')
	return append(append(to, text...), '\r', '\n')
}

// AppendLine adds a simple string or a fault. What would end the line early is written as a space.
func AppendLine(to []byte, kind Kind, text string) []byte {
	to = append(to, byte(kind))
	for i := range len(text) {
		c := text[i]
		if c == '\r' || c == '\n' {
			c = ' '
		}
		to = append(to, c)
	}
	return append(to, '\r', '\n')
}
