package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"scalechute/internal/input"
	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// scripted is a discovery whose answers are written by hand: say does what it likes with the n-th call's connection, after
// the header of an answer that ends with it.
func scripted(t *testing.T, say func(c net.Conn, n int, query string)) string {
	var n atomic.Int64
	return listen(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		say(c, int(n.Add(1)), q.URL.RawQuery)
	})
}

func list(rev int, all bool, targets ...target) string {
	return string(must(json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets}))) + "\n"
}

// told says whether the module knows a worker by its last build.
func (r *rig) told(id logic.WorkerID, build logic.BuildID) func() bool {
	return func() bool {
		last := logic.BuildID(0)
		for _, list := range r.lists {
			for _, x := range list {
				if x.ID == id {
					last = x.Build
				}
			}
		}
		return last == build
	}
}

// A watch that falls silent is opened anew from what it had told: silent from the start, after a list, in the middle of a
// line, or with a line that goes on and never ends.
func TestSilentWatch(t *testing.T) {
	at := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	for name, text := range map[string]string{"from the start": "", "after a list": list(50, true, at), "in a line": list(50, true, at) + `{"rev":51,"all":fa`,
		"trickling": list(50, true, at) + "{"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from := make(chan string, 10)
			r := newRig(t, plan{discovery: scripted(t, func(c net.Conn, n int, query string) {
				from <- query
				if n > 1 {
					io.WriteString(c, list(60, true, target{"x", "127.0.0.1:9", "here", "active", 1, 8}))
					io.Copy(io.Discard, c)
					return
				}
				io.WriteString(c, text)
				for err := error(nil); err == nil; time.Sleep(100 * time.Millisecond) {
					if name == "trickling" {
						_, err = io.WriteString(c, " ")
					} else {
						_, err = c.Read(make([]byte, 1))
					}
				}
			})})
			r.wait("the list of the second call", r.told("x", 8))
			first, second := <-from, <-from
			// The configuration's list has version 41.
			if want := map[bool]string{true: "watch=1&from=41", false: "watch=1&from=50"}[text == ""]; first != "watch=1&from=41" || second != want {
				t.Errorf("calls %q, %q, expected the second with %q", first, second, want)
			}
		})
	}
}

// A watch is given up after more than one sign of life could take, early enough for the next call to be made (the module
// waits up to three quarters of a second) and answered (within 2 s) 6 s after the silence began.
func TestQuietMost(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for range 10_000 {
		q := quietMost()
		least, most = min(least, q), max(most, q)
	}
	if least < lifeEvery+200*time.Millisecond || most+750*time.Millisecond+2*time.Second > 6*time.Second || most-least < 800*time.Millisecond {
		t.Errorf("between %v and %v, expected over %v, up to 3.25 s, and spread", least, most, lifeEvery)
	}
}

// What an outdated call tells once another one has told more, or once the sentry has gone on to another address, is dropped
// in its turn on the loop: it can't put an older list over a newer one.
func TestOutdatedCalls(t *testing.T) {
	watched := func(build int) string {
		return discoveryOf(t, nil, target{"x", "127.0.0.1:9", "here", "active", 1, build})
	}
	r := newRig(t, plan{discovery: watched(7)})
	r.wait("the first list", r.told("x", 7))
	var watch *call
	r.s.Inspect(func() { watch = r.p.discovery.watch })
	report := func(version uint64, build uint32) *pb.Report {
		return &pb.Report{Version: version, Whole: true, Lines: []*pb.Line{{Id: "x", Address: "127.0.0.1:9", Build: build, Size: 1}}}
	}
	once := &call{cancel: func() {}}
	r.p.discovery.tell(once, report(49, 5)) // asked for before the watch told version 50
	r.p.discovery.tell(once, report(51, 6))
	r.wait("a later list asked for once", r.told("x", 6))
	if err := r.p.Reload(must(parsePost(configuration(256, watched(8), closed(), nil)))); err != nil {
		t.Fatal(err)
	}
	r.wait("the list of the other address", r.told("x", 8))
	r.p.discovery.tell(watch, report(90, 9)) // it had passed its own check as the address changed
	r.s.ListRequestFailed(false, func() bool { return r.p.discovery.failed(watch) })
	r.p.discovery.tell(once, report(91, 9))
	r.s.Inspect(func() {
		if r.p.discovery.watch == nil || r.p.discovery.watch == watch {
			t.Error("the end of the outdated watch ended the one that stands")
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.told("x", 8)() {
		t.Errorf("lists %v, expected none of an outdated call", r.lists)
	}
	for _, list := range r.lists {
		for _, x := range list {
			if x.Build == 5 || x.Build == 9 {
				t.Errorf("found build %d told, expected none of an outdated call", x.Build)
			}
		}
	}
}

// A list that can't be read whole, that goes back in version or names a state unknown is not taken in part: the watch is
// opened anew, with all of the list where versions went back.
func TestBadLists(t *testing.T) {
	x, y := target{"x", "127.0.0.1:9", "here", "active", 1, 7}, target{"y", "127.0.0.1:8", "here", "active", 1, 7}
	unknown, nobody, nowhere := x, x, x
	unknown.State, nobody.UID, nowhere.Endpoint = "asleep", "", "nowhere"
	for name, bad := range map[string]struct{ text, query string }{
		"back in version": {list(49, false, y), "watch=1&from=0"}, "an unknown state": {list(51, false, y, unknown), "watch=1&from=50"},
		"no id": {list(51, false, y, nobody), "watch=1&from=50"}, "no address": {list(51, false, y, nowhere), "watch=1&from=50"},
		"half a line": {list(51, false, y)[:40], "watch=1&from=50"}, "noise": {"\x00\xff}]\n", "watch=1&from=50"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from := make(chan string, 10)
			r := newRig(t, plan{discovery: scripted(t, func(c net.Conn, n int, query string) {
				from <- query
				if io.WriteString(c, list(50, true, x)); n == 1 {
					io.WriteString(c, bad.text)
					c.(*net.TCPConn).CloseWrite()
				}
				io.Copy(io.Discard, c)
			})})
			<-from
			if got := <-from; got != bad.query {
				t.Errorf("second call %q, expected %q", got, bad.query)
			}
			r.wait("the list again", func() bool { return len(r.lists) >= 3 })
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.told("y", 0)() {
				t.Errorf("lists %v, expected none with y", r.lists)
			}
		})
	}
}

// Lists may come indented, on the watch and asked for once, and in any pieces; a blank line between them is a sign of life.
func TestIndentedLists(t *testing.T) {
	indented := func(line string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(line), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	odd := `{"rev":50,"all":true,"targets":[{"uid":"a}\"{\\","az":"]\n"}]}`
	text := indented(odd) + "\n\r\n" + odd + "\n" + indented(odd)
	for name, in := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
		var got []string
		r := bufio.NewReaderSize(in, 16)
		for {
			object, err := readObject(r, len(text))
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(name, err)
			}
			got = append(got, string(object))
		}
		if want := []string{indented(odd), "", odd, indented(odd)}; !slices.Equal(got, want) {
			t.Errorf("%s: %q, expected %q", name, got, want)
		}
	}
	for _, cut := range []string{text[:30], "{\n\n"} {
		if _, err := readObject(bufio.NewReader(strings.NewReader(cut)), 100); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v, expected an end in the middle", cut, err)
		}
	}
	if _, err := readObject(bufio.NewReader(strings.NewReader("{\n"+strings.Repeat("\n", 200))), 100); err == nil {
		t.Error("an object without end was read, expected a bound")
	}
	x := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	next := make(chan string)
	r := newRig(t, plan{discovery: scripted(t, func(c net.Conn, n int, query string) {
		if query == "" {
			io.WriteString(c, indented(list(70, true, target{"x", "127.0.0.1:9", "here", "active", 1, 9})))
			c.Close()
			return
		}
		io.WriteString(c, indented(list(50, true, x))+"\n")
		io.WriteString(c, <-next)
		io.Copy(io.Discard, c)
	})})
	r.wait("an indented list", r.told("x", 7))
	x.Release = 8
	next <- indented(list(51, false, x)) + "\n"
	r.wait("an indented change", r.told("x", 8))
	r.s.Inspect(func() { r.p.RequestList(false, 0) })
	r.wait("an indented list asked for once", r.told("x", 9))
}

// Where lists are pushed, a watch stands from the start without the module asking, is opened again when it breaks, and also
// when new settings have lists pushed from now on.
func TestPushedLists(t *testing.T) {
	var calls atomic.Int64
	there := scripted(t, func(c net.Conn, n int, query string) {
		calls.Store(int64(n))
		io.WriteString(c, list(50, true, target{"x", "127.0.0.1:9", "here", "active", 1, 7 + n}))
		if n == 1 {
			c.Close()
		}
		io.Copy(io.Discard, c)
	})
	pushed := []string{`"on_request"`, `"pushed"`}
	silent := func(in *input.Input) logic.Result { return logic.Result{} }
	r := newRig(t, plan{discovery: there, other: pushed, decide: silent})
	r.wait("the second watch", r.told("x", 9))
	asked := newRig(t, plan{discovery: there, decide: silent})
	if err := asked.p.Reload(must(parsePost(configuration(256, there, closed(), nil, pushed...)))); err != nil {
		t.Fatal(err)
	}
	asked.wait("a watch by the new settings", asked.told("x", 10))
	if n := calls.Load(); n != 3 {
		t.Errorf("%d calls, expected 3", n)
	}
	if err := fmt.Sprint(r.p.discovery.pushed, asked.p.discovery.pushed); err != "true true" {
		t.Error(err)
	}
}

// SIGHUP moves discovery while the sentry drains, with a watch open, with one that is to be opened again, and with none: all
// of the list is asked for at the new address at once, and what the old one tells from then on changes nothing.
func TestReloadMeetsTheWatch(t *testing.T) {
	x := func(build int) target { return target{"x", "127.0.0.1:9", "here", "active", 1, build} }
	refuses := func(t *testing.T) string {
		return listen(t, func(c net.Conn) {
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			c.Close()
		})
	}
	for name, at := range map[string]func(t *testing.T) (address string, decide func(*input.Input) logic.Result){
		"open":      func(t *testing.T) (string, func(*input.Input) logic.Result) { return discoveryOf(t, nil, x(7)), nil },
		"reopening": func(t *testing.T) (string, func(*input.Input) logic.Result) { return refuses(t), nil },
		"absent": func(t *testing.T) (string, func(*input.Input) logic.Result) {
			return discoveryOf(t, nil, x(7)), func(*input.Input) logic.Result { return logic.Result{} }
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, decide := at(t)
			from := make(chan string, 10)
			next := scripted(t, func(c net.Conn, n int, query string) {
				from <- query
				io.WriteString(c, list(3, true, x(8)))
				io.Copy(io.Discard, c)
			})
			r := newRig(t, plan{discovery: address, decide: decide})
			r.wait("the state before", func() bool {
				return name == "open" && r.told("x", 7)() || name == "reopening" && r.refused > 0 || name == "absent" && len(r.lists) > 0
			})
			r.p.Drain()
			for range 2 { // two at once
				go r.p.Reload(must(parsePost(configuration(256, next, closed(), nil))))
			}
			if query := <-from; query != "watch=1&from=0" {
				t.Errorf("call %q, expected all from the start", query)
			}
			r.wait("the new list", r.told("x", 8))
			select {
			case query := <-from:
				t.Errorf("a second call %q, expected one", query)
			default:
			}
		})
	}
}
