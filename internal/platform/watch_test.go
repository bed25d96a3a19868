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

// startScriptedDiscovery starts a discovery whose responses are written by respond. It gets the connection of the n-th
// call after the header of a response that lasts until the connection closes.
func startScriptedDiscovery(t *testing.T, respond func(c net.Conn, n int, query string)) string {
	var calls atomic.Int64
	return serveConns(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		respond(c, int(calls.Add(1)), request.URL.RawQuery)
	})
}

// listJSON encodes a response of discovery.
func listJSON(rev int, all bool, targets ...target) string {
	return string(must(json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets}))) + "\n"
}

// workerHasBuild returns a condition that holds if the last list that has the worker gives it this build. Build 0 stands
// for a worker that is in no list.
func (e *testEnv) workerHasBuild(id logic.WorkerID, build logic.BuildID) func() bool {
	return func() bool {
		last := logic.BuildID(0)
		for _, list := range e.lists {
			for _, x := range list {
				if x.ID == id {
					last = x.Build
				}
			}
		}
		return last == build
	}
}

// A watch that falls silent is reopened from its last version: silent from the start, after a list, in the middle of a
// line, or with a line that never ends.
func TestSilentWatch(t *testing.T) {
	listed := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	for name, text := range map[string]string{"from the start": "", "after a list": listJSON(50, true, listed), "in a line": listJSON(50, true, listed) + `{"rev":51,"all":fa`,
		"trickling": listJSON(50, true, listed) + "{"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queries := make(chan string, 10)
			env := newEnv(t, options{discovery: startScriptedDiscovery(t, func(c net.Conn, n int, query string) {
				queries <- query
				if n > 1 {
					io.WriteString(c, listJSON(60, true, target{"x", "127.0.0.1:9", "here", "active", 1, 8}))
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
			env.waitFor("the list of the second call", env.workerHasBuild("x", 8))
			first, second := <-queries, <-queries
			// The configuration's list has version 41.
			if want := map[bool]string{true: "watch=1&from=41", false: "watch=1&from=50"}[text == ""]; first != "watch=1&from=41" || second != want {
				t.Errorf("calls %q, %q, expected the second with %q", first, second, want)
			}
		})
	}
}

// A watch is given up after more than one keepalive interval, and early enough for the next call to be made (package
// logic waits up to 750 ms) and answered (within 2 s) no later than 6 s after the silence began.
func TestSilenceTimeout(t *testing.T) {
	shortest, longest := time.Hour, time.Duration(0)
	for range 10_000 {
		timeout := silenceTimeout()
		shortest, longest = min(shortest, timeout), max(longest, timeout)
	}
	if shortest < keepaliveTime+200*time.Millisecond || longest+750*time.Millisecond+2*time.Second > 6*time.Second || longest-shortest < 800*time.Millisecond {
		t.Errorf("between %v and %v, expected over %v, up to 3.25 s, and spread", shortest, longest, keepaliveTime)
	}
}

// The response of an outdated call is dropped on the event loop: after another call has brought a newer version, or
// after the address of discovery has changed. An older list never replaces a newer one.
func TestOutdatedCalls(t *testing.T) {
	discoveryWithBuild := func(build int) string {
		return startDiscovery(t, nil, target{"x", "127.0.0.1:9", "here", "active", 1, build})
	}
	env := newEnv(t, options{discovery: discoveryWithBuild(7)})
	env.waitFor("the first list", env.workerHasBuild("x", 7))
	var watch *call
	env.sentry.Inspect(func() { watch = env.p.discovery.watch })
	report := func(version uint64, build uint32) *pb.Report {
		return &pb.Report{Version: version, Whole: true, Lines: []*pb.Line{{Id: "x", Address: "127.0.0.1:9", Build: build, Size: 1}}}
	}
	singleCall := &call{cancel: func() {}}
	env.p.discovery.deliver(singleCall, report(49, 5)) // requested before the watch brought version 50
	env.p.discovery.deliver(singleCall, report(51, 6))
	env.waitFor("a newer list of a single call", env.workerHasBuild("x", 6))
	if err := env.p.Reload(must(parseConfig(configJSON(256, discoveryWithBuild(8), closedAddress(t), nil)))); err != nil {
		t.Fatal(err)
	}
	env.waitFor("the list of the other address", env.workerHasBuild("x", 8))
	env.p.discovery.deliver(watch, report(90, 9)) // a response that was read before the address changed
	env.sentry.ListRequestFailed(false, func() bool { return env.p.discovery.acceptFailure(watch) })
	env.p.discovery.deliver(singleCall, report(91, 9))
	env.sentry.Inspect(func() {
		if env.p.discovery.watch == nil || env.p.discovery.watch == watch {
			t.Error("the end of the outdated watch ended the open one")
		}
	})
	env.mu.Lock()
	defer env.mu.Unlock()
	if !env.workerHasBuild("x", 8)() {
		t.Errorf("lists %v, expected none of an outdated call", env.lists)
	}
	for _, list := range env.lists {
		for _, x := range list {
			if x.Build == 5 || x.Build == 9 {
				t.Errorf("found build %d in a list, expected none of an outdated call", x.Build)
			}
		}
	}
}

// A list that is incomplete or malformed, has an older version than the last one, or names an unknown state is rejected
// as a whole. The watch is reopened, and requests the whole list if the version went back.
func TestInvalidLists(t *testing.T) {
	x, y := target{"x", "127.0.0.1:9", "here", "active", 1, 7}, target{"y", "127.0.0.1:8", "here", "active", 1, 7}
	unknownState, noID, noAddress := x, x, x
	unknownState.State, noID.UID, noAddress.Endpoint = "asleep", "", "nowhere"
	for name, bad := range map[string]struct{ text, query string }{
		"back in version": {listJSON(49, false, y), "watch=1&from=0"}, "an unknown state": {listJSON(51, false, y, unknownState), "watch=1&from=50"},
		"no id": {listJSON(51, false, y, noID), "watch=1&from=50"}, "no address": {listJSON(51, false, y, noAddress), "watch=1&from=50"},
		"a partial line": {listJSON(51, false, y)[:40], "watch=1&from=50"}, "garbage": {"\x00\xff}]\n", "watch=1&from=50"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queries := make(chan string, 10)
			env := newEnv(t, options{discovery: startScriptedDiscovery(t, func(c net.Conn, n int, query string) {
				queries <- query
				if io.WriteString(c, listJSON(50, true, x)); n == 1 {
					io.WriteString(c, bad.text)
					c.(*net.TCPConn).CloseWrite()
				}
				io.Copy(io.Discard, c)
			})})
			<-queries
			if got := <-queries; got != bad.query {
				t.Errorf("second call %q, expected %q", got, bad.query)
			}
			env.waitFor("the list of the second watch", func() bool { return len(env.lists) >= 3 })
			env.mu.Lock()
			defer env.mu.Unlock()
			if !env.workerHasBuild("y", 0)() {
				t.Errorf("lists %v, expected none with y", env.lists)
			}
		})
	}
}

// Lists may be indented, on a watch and in a single call, and may arrive in any pieces. A blank line between them is a
// keepalive.
func TestIndentedLists(t *testing.T) {
	indented := func(line string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(line), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	escapedList := `{"rev":50,"all":true,"targets":[{"uid":"a}\"{\\","az":"]\n"}]}`
	text := indented(escapedList) + "\n\r\n" + escapedList + "\n" + indented(escapedList)
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
		if want := []string{indented(escapedList), "", escapedList, indented(escapedList)}; !slices.Equal(got, want) {
			t.Errorf("%s: %q, expected %q", name, got, want)
		}
	}
	for _, cut := range []string{text[:30], "{\n\n"} {
		if _, err := readObject(bufio.NewReader(strings.NewReader(cut)), 100); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v, expected an unexpected EOF", cut, err)
		}
	}
	if _, err := readObject(bufio.NewReader(strings.NewReader("{\n"+strings.Repeat("\n", 200))), 100); err == nil {
		t.Error("an object beyond the limit was read, expected an error")
	}
	x := target{"x", "127.0.0.1:9", "here", "active", 1, 7}
	next := make(chan string)
	env := newEnv(t, options{discovery: startScriptedDiscovery(t, func(c net.Conn, n int, query string) {
		if query == "" {
			io.WriteString(c, indented(listJSON(70, true, target{"x", "127.0.0.1:9", "here", "active", 1, 9})))
			c.Close()
			return
		}
		io.WriteString(c, indented(listJSON(50, true, x))+"\n")
		io.WriteString(c, <-next)
		io.Copy(io.Discard, c)
	})})
	env.waitFor("an indented list", env.workerHasBuild("x", 7))
	x.Release = 8
	next <- indented(listJSON(51, false, x)) + "\n"
	env.waitFor("an indented change", env.workerHasBuild("x", 8))
	env.sentry.Inspect(func() { env.p.RequestList(false, 0) })
	env.waitFor("an indented list of a single call", env.workerHasBuild("x", 9))
}

// With pushed lists, a watch is opened at the start without a request of the decision module, and reopened when it
// breaks. It is also opened when new settings switch to pushed lists.
func TestPushedLists(t *testing.T) {
	var calls atomic.Int64
	address := startScriptedDiscovery(t, func(c net.Conn, n int, query string) {
		calls.Store(int64(n))
		io.WriteString(c, listJSON(50, true, target{"x", "127.0.0.1:9", "here", "active", 1, 7 + n}))
		if n == 1 {
			c.Close()
		}
		io.Copy(io.Discard, c)
	})
	pushed := []string{`"on_request"`, `"pushed"`}
	noActions := func(in *input.Input) logic.Result { return logic.Result{} }
	env := newEnv(t, options{discovery: address, replacements: pushed, decide: noActions})
	env.waitFor("the second watch", env.workerHasBuild("x", 9))
	onRequest := newEnv(t, options{discovery: address, decide: noActions})
	if err := onRequest.p.Reload(must(parseConfig(configJSON(256, address, closedAddress(t), nil, pushed...)))); err != nil {
		t.Fatal(err)
	}
	onRequest.waitFor("a watch by the new settings", onRequest.workerHasBuild("x", 10))
	if n := calls.Load(); n != 3 {
		t.Errorf("%d calls, expected 3", n)
	}
	if err := fmt.Sprint(env.p.discovery.listsPushed, onRequest.p.discovery.listsPushed); err != "true true" {
		t.Error(err)
	}
}

// SIGHUP changes discovery's address while the sentry drains: with an open watch, with one that is about to be
// reopened, and with none. The whole list is requested at the new address at once, and later responses from the old
// address have no effect.
func TestReloadChangesWatchedAddress(t *testing.T) {
	x := func(build int) target { return target{"x", "127.0.0.1:9", "here", "active", 1, build} }
	startFailingDiscovery := func(t *testing.T) string {
		return serveConns(t, func(c net.Conn) {
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			c.Close()
		})
	}
	for name, setup := range map[string]func(t *testing.T) (address string, decide func(*input.Input) logic.Result){
		"open":      func(t *testing.T) (string, func(*input.Input) logic.Result) { return startDiscovery(t, nil, x(7)), nil },
		"reopening": func(t *testing.T) (string, func(*input.Input) logic.Result) { return startFailingDiscovery(t), nil },
		"absent": func(t *testing.T) (string, func(*input.Input) logic.Result) {
			return startDiscovery(t, nil, x(7)), func(*input.Input) logic.Result { return logic.Result{} }
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, decide := setup(t)
			queries := make(chan string, 10)
			newAddress := startScriptedDiscovery(t, func(c net.Conn, n int, query string) {
				queries <- query
				io.WriteString(c, listJSON(3, true, x(8)))
				io.Copy(io.Discard, c)
			})
			env := newEnv(t, options{discovery: address, decide: decide})
			env.waitFor("the state before", func() bool {
				return name == "open" && env.workerHasBuild("x", 7)() || name == "reopening" && env.listFailures > 0 || name == "absent" && len(env.lists) > 0
			})
			env.p.Drain()
			for range 2 { // two reloads at once
				go env.p.Reload(must(parseConfig(configJSON(256, newAddress, closedAddress(t), nil))))
			}
			if query := <-queries; query != "watch=1&from=0" {
				t.Errorf("call %q, expected a watch for the whole list", query)
			}
			env.waitFor("the new list", env.workerHasBuild("x", 8))
			select {
			case query := <-queries:
				t.Errorf("a second call %q, expected one", query)
			default:
			}
		})
	}
}
