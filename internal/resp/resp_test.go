package resp

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

var bounds = Limits{MaxLineBytes: 64, MaxBulkBytes: 100, MaxValues: 9, MaxDepth: 2, MaxMessageBytes: 300}

func words(m []Value) string {
	var b strings.Builder
	for _, v := range m {
		fmt.Fprintf(&b, "%c%s%d|", v.Kind, v.Text, v.ArrayLen)
	}
	return b.String()
}

// read gives data in pieces, as a connection does, and tells the messages and what ended them.
func read(commands bool, pieces ...[]byte) (out []string, err error) {
	r := Reader{Limits: bounds, CommandsOnly: commands}
	var data []byte
	for _, p := range pieces {
		data = append(data, p...)
		for {
			m, rest, ok, err := r.Next(data)
			if err != nil {
				return out, err
			}
			if !ok {
				break
			}
			out = append(out, words(m))
			data = append([]byte(nil), rest...)
		}
	}
	return out, nil
}

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 100)
	for _, c := range []struct {
		in       string
		commands bool
		want     string // messages; then what is wrong
	}{
		{"*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n$1\r\na\r\n", true, "*2|$PING0|$0|;*1|$a0|;"},
		{"*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n", false, "*3|$ab0|00|$x=10|;"},
		{"*2\r\n*1\r\n:5\r\n*0\r\n+OK\r\n-BUSY 40\r\n*-1\r\n", false, "*2|*1|:50|*0|;+OK0|;-BUSY 400|;00|;"},
		{"$100\r\n" + long + "\r\n", false, "$" + long + "0|;"},
		{"*1\r\n$4\r\nPI", true, ""},
		{"PING\r\n", true, "found byte 'P'"},
		{"*1\r\n+PING\r\n", true, "found byte '+'"},
		{"*1\r\n*1\r\n", true, "expected an array of bulk strings"},
		{"*0\r\n", true, "an empty command"}, {"*-1\r\n", true, "a null"}, {"*1\r\n$-1\r\n", true, "a null"},
		{"$101\r\n", false, "found 101 bytes"}, {"$3000000000\r\n", false, "found 3000000000 bytes"}, {"$-2\r\n", false, "found length"},
		{"$\r\n", false, "no length"}, {"$+4\r\n", false, "found length"},
		{"*9\r\n", true, "found 9 values"}, {"*1\r\n*1\r\n*1\r\n", false, "arrays within"},
		{"$3\r\nabcd\r\n", false, "goes on"}, {"$3\r\nabc\rx", false, "goes on"},
		{"+" + long, false, "a line that goes on"}, {"+a\n", false, "a line feed alone"}, {"+a\rb", false, "a carriage return alone"},
		{"*4\r\n" + strings.Repeat("$100\r\n"+long+"\r\n", 4), false, "at most 300"},
	} {
		splits := [][][]byte{bytes.SplitAfter([]byte(c.in), nil)}
		for at := range len(c.in) { // whole, and in two at every byte
			splits = append(splits, [][]byte{[]byte(c.in[:at]), []byte(c.in[at:])})
		}
		for _, pieces := range splits {
			out, err := read(c.commands, pieces...)
			got := ""
			for _, m := range out {
				got += m + ";"
			}
			if err != nil {
				got += err.Error()
			}
			if got != c.want && !(err != nil && strings.Contains(got, c.want)) || (err != nil) == (strings.HasSuffix(c.want, ";") || c.want == "") {
				t.Errorf("%.40q in %d pieces: %.80s, expected %s", c.in, len(pieces), got, c.want)
			}
		}
	}
}

// Whatever comes, in whatever pieces, is read alike, and what is written is read back.
func FuzzNext(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"), int64(1), true)
	f.Add([]byte("*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n-BUSY\r\n"), int64(2), false)
	f.Fuzz(func(t *testing.T, data []byte, seed int64, commands bool) {
		whole, err := read(commands, data)
		chance := rand.New(rand.NewSource(seed))
		var pieces [][]byte
		for rest := data; len(rest) > 0; {
			n := 1 + chance.Intn(len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		parts, err2 := read(commands, pieces...)
		if fmt.Sprint(whole) != fmt.Sprint(parts) || (err == nil) != (err2 == nil) {
			t.Fatalf("whole %v %v, in pieces %v %v", whole, err, parts, err2)
		}
		if len(data) <= bounds.MaxBulkBytes {
			line := AppendLine(nil, Error, string(data[:min(len(data), bounds.MaxLineBytes)]))
			out := append(AppendBulkString(AppendArrayHeader(nil, 1), data), line...)
			if back, err := read(false, out); err != nil || len(back) != 2 || back[0] != "*1|$"+string(data)+"0|" {
				t.Fatalf("wrote %q, read %v %v", out, back, err)
			}
		}
	})
}

// Reading no more than what is missing takes a message to its end and never beyond, wherever it was cut.
func TestMissing(t *testing.T) {
	const message, next = "*3\r\n$5\r\nQ.ASK\r\n$0\r\n\r\n$12\r\n0123456789ab\r\n", "*1\r\n$4\r\nPING\r\n"
	stream := []byte(message + next)
	for cut := range len(message) {
		r := Reader{Limits: bounds, CommandsOnly: true}
		for have := cut; ; {
			_, rest, whole, err := r.Next(stream[:have])
			if err != nil {
				t.Fatal(err)
			}
			if whole {
				if have != len(message) || len(rest) != 0 {
					t.Errorf("cut at %d: read to %d, expected %d", cut, have, len(message))
				}
				break
			}
			have += r.MissingBytes(stream[:have])
		}
	}
}
