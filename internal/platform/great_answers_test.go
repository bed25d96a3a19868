package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"scalechute/internal/input"
)

// A client writes many reads on one connection and reads all the time. The first answer comes 250 ms after the others, which
// are great and have to wait for it: then all are written at once. Each answer has to arrive, in its turn.
func TestGreatAnswersBehindASlowOne(t *testing.T) {
	for name, c := range map[string]struct{ requests, bytes int }{
		"40 of 60 KiB": {40, 60 << 10},
		"60 of 40 KiB": {60, 40 << 10},
		"4 of 900 KiB": {4, 900 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			filler := strings.Repeat("x", c.bytes)
			r := newRig(t, plan{decide: toFirst(func(*input.Input) {}), workers: []string{worker(t, func(conn net.Conn, _ int, words []string) {
				if words[2] == "r0" {
					time.Sleep(250 * time.Millisecond)
				}
				io.WriteString(conn, answer(words[2]+"-"+filler))
			})}})
			client := r.dial(t)
			for i := range c.requests {
				client.say(read(fmt.Sprint("r", i)))
			}
			for i := range c.requests {
				if got := client.line(); got != fmt.Sprint("r", i, "-", filler) {
					t.Fatalf("answer %d: %.40q of %d bytes, expected its own of %d bytes", i, got, len(got), c.bytes)
				}
			}
		})
	}
}
