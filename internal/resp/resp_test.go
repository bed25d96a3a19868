package resp

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

var testLimits = Limits{MaxLineBytes: 64, MaxBulkBytes: 100, MaxValues: 9, MaxDepth: 2, MaxMessageBytes: 300}

// formatMessage writes the values of a message in one line.
func formatMessage(message []Value) string {
	var b strings.Builder
	for _, value := range message {
		fmt.Fprintf(&b, "%c%s%d|", value.Kind, value.Text, value.ArrayLen)
	}
	return b.String()
}

// readPieces passes data to a Reader in pieces, as a connection does. It returns the messages and the error that ended
// them.
func readPieces(commands bool, pieces ...[]byte) (messages []string, err error) {
	reader := Reader{Limits: testLimits, CommandsOnly: commands}
	var data []byte
	for _, piece := range pieces {
		data = append(data, piece...)
		for {
			message, rest, ok, err := reader.Next(data)
			if err != nil {
				return messages, err
			}
			if !ok {
				break
			}
			messages = append(messages, formatMessage(message))
			data = append([]byte(nil), rest...)
		}
	}
	return messages, nil
}

func TestNext(t *testing.T) {
	maxBulkText := strings.Repeat("x", 100)
	for _, test := range []struct {
		in       string
		commands bool
		want     string // the messages, or a part of the error
	}{
		{"*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n$1\r\na\r\n", true, "*2|$PING0|$0|;*1|$a0|;"},
		{"*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n", false, "*3|$ab0|00|$x=10|;"},
		{"*2\r\n*1\r\n:5\r\n*0\r\n+OK\r\n-BUSY 40\r\n*-1\r\n", false, "*2|*1|:50|*0|;+OK0|;-BUSY 400|;00|;"},
		{"$100\r\n" + maxBulkText + "\r\n", false, "$" + maxBulkText + "0|;"},
		{"*1\r\n$4\r\nPI", true, ""},
		{"PING\r\n", true, "found byte 'P'"},
		{"*1\r\n+PING\r\n", true, "found byte '+'"},
		{"*1\r\n*1\r\n", true, "expected an array of bulk strings"},
		{"*0\r\n", true, "an empty command"}, {"*-1\r\n", true, "a null"}, {"*1\r\n$-1\r\n", true, "a null"},
		{"$101\r\n", false, "found 101 bytes"}, {"$3000000000\r\n", false, "found 3000000000 bytes"}, {"$-2\r\n", false, "found length"},
		{"$\r\n", false, "no length"}, {"$+4\r\n", false, "found length"},
		{"*9\r\n", true, "found 9 values"}, {"*1\r\n*1\r\n*1\r\n", false, "arrays within"},
		{"$3\r\nabcd\r\n", false, "goes on"}, {"$3\r\nabc\rx", false, "goes on"},
		{"+" + maxBulkText, false, "a line that goes on"}, {"+a\n", false, "a line feed alone"}, {"+a\rb", false, "a carriage return alone"},
		{"*4\r\n" + strings.Repeat("$100\r\n"+maxBulkText+"\r\n", 4), false, "at most 300"},
	} {
		splits := [][][]byte{bytes.SplitAfter([]byte(test.in), nil)}
		for cut := range len(test.in) { // in one piece, and in two pieces cut at every byte
			splits = append(splits, [][]byte{[]byte(test.in[:cut]), []byte(test.in[cut:])})
		}
		for _, pieces := range splits {
			messages, err := readPieces(test.commands, pieces...)
			got := ""
			for _, m := range messages {
				got += m + ";"
			}
			if err != nil {
				got += err.Error()
			}
			if got != test.want && !(err != nil && strings.Contains(got, test.want)) || (err != nil) == (strings.HasSuffix(test.want, ";") || test.want == "") {
				t.Errorf("%.40q in %d pieces: %.80s, expected %s", test.in, len(pieces), got, test.want)
			}
		}
	}
}

// Data is parsed the same way however it is cut into pieces, and encoded values are parsed back.
func FuzzNext(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"), int64(1), true)
	f.Add([]byte("*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nx=1\r\n-BUSY\r\n"), int64(2), false)
	f.Fuzz(func(t *testing.T, data []byte, seed int64, commands bool) {
		fromWhole, err := readPieces(commands, data)
		random := rand.New(rand.NewSource(seed))
		var pieces [][]byte
		for rest := data; len(rest) > 0; {
			n := 1 + random.Intn(len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		fromPieces, err2 := readPieces(commands, pieces...)
		if fmt.Sprint(fromWhole) != fmt.Sprint(fromPieces) || (err == nil) != (err2 == nil) {
			t.Fatalf("in one piece: %v %v, in several: %v %v", fromWhole, err, fromPieces, err2)
		}
		if len(data) <= testLimits.MaxBulkBytes {
			line := AppendLine(nil, Error, string(data[:min(len(data), testLimits.MaxLineBytes)]))
			encoded := append(AppendBulkString(AppendArrayHeader(nil, 1), data), line...)
			if messages, err := readPieces(false, encoded); err != nil || len(messages) != 2 || messages[0] != "*1|$"+string(data)+"0|" {
				t.Fatalf("encoded %q, parsed %v %v", encoded, messages, err)
			}
		}
	})
}

// Reading MissingBytes at a time ends exactly at the end of the message, wherever it was cut.
func TestMissing(t *testing.T) {
	const message, next = "*3\r\n$5\r\nQ.ASK\r\n$0\r\n\r\n$12\r\n0123456789ab\r\n", "*1\r\n$4\r\nPING\r\n"
	stream := []byte(message + next)
	for cut := range len(message) {
		reader := Reader{Limits: testLimits, CommandsOnly: true}
		for available := cut; ; {
			_, rest, complete, err := reader.Next(stream[:available])
			if err != nil {
				t.Fatal(err)
			}
			if complete {
				if available != len(message) || len(rest) != 0 {
					t.Errorf("cut at %d: read to %d, expected %d", cut, available, len(message))
				}
				break
			}
			available += reader.MissingBytes(stream[:available])
		}
	}
}
