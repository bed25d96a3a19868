package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"scalechute/internal/drill"
	"scalechute/internal/sentry"
)

// TestMain runs the program itself if SCALECHUTE_COMMAND is set, so that tests can start sentries as processes of the
// test binary.
func TestMain(m *testing.M) {
	if os.Getenv("SCALECHUTE_COMMAND") != "" {
		main()
		return
	}
	os.Setenv("SCALECHUTE_COMMAND", "1")
	os.Exit(m.Run())
}

// runDrill runs a drill in a temporary directory. If a fault is named, it is injected into the first sentry.
func runDrill(t *testing.T, scenario *drill.Scenario, faultName string) *drill.Result {
	t.Helper()
	return runDrillIn(t, t.TempDir(), scenario, faultName)
}

// runDrillIn does the same in a given directory. If the drill cannot run, it prints the sentries' logs and fails the
// test.
func runDrillIn(t *testing.T, dir string, scenario *drill.Scenario, faultName string) *drill.Result {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := drill.Run(scenario, drill.Options{Program: []string{executable}, Dir: dir, InjectedFault: faultName, Logf: t.Logf})
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, l := range logs {
			data, _ := os.ReadFile(l)
			t.Logf("%s", data)
		}
		t.Fatal(err)
	}
	return r
}

// loadScenario reads a file of the folder drills, with pairs of old and new text replaced in it.
func loadScenario(t *testing.T, name string, replacements ...string) *drill.Scenario {
	t.Helper()
	name = "../../drills/" + name
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := drill.Parse(name, []byte(strings.NewReplacer(replacements...).Replace(string(data))))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func formatResult(r *drill.Result) string {
	var b bytes.Buffer
	drill.Print(&b, r)
	return b.String()
}

// TestShortDay runs a short drill in which one sentry is killed, one is paused for 3 s, all restart in turn, workers
// crash, a zone is cut off, and one sentry reloads its routes. Transactions carry attributes only. Every transaction
// must be accounted for, every rule kept, and each transaction must be routed as its client intended.
func TestShortDay(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r := runDrillIn(t, dir, loadScenario(t, "short-day.hcl"), "")
	log, err := os.ReadFile(filepath.Join(dir, "sentry-2.log")) // whose settings file is rewritten, every second time with an error
	for _, message := range []string{"settings reloaded", "settings rejected; keeping the current ones", "block route has 0 labels"} {
		if n := strings.Count(string(log), message); err != nil || n < 3 {
			t.Errorf("the log has %q %d times, expected at least 3: %v", message, n, err)
		}
	}
	if !r.Passed() {
		t.Errorf("%s", formatResult(r))
	}
	audit := r.Audit
	if audit.TriesSent < 500 || audit.TriesAnswered < audit.TriesSent/2 || r.HandOffsToLaterBuilds == 0 || r.SentryStarts < 6 {
		t.Errorf("too few transactions, answers, hand-offs to the trial or restarts for a valid test:\n%s", formatResult(r))
	}
}

// TestInjectedFaults checks that the audit reports the rule that each injected fault breaks, and no other rule.
func TestInjectedFaults(t *testing.T) {
	for i, name := range sentry.FaultNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runDrill(t, loadScenario(t, "breach.hcl"), name)
			if name == "cold" && r.WorkersOverloaded == 0 {
				t.Errorf("no worker was overloaded\n%s", formatResult(r))
			}
			if !slices.Equal(r.Violated, []int{i + 1}) {
				t.Errorf("rules %v violated, expected %d\n%s", r.Violated, i+1, formatResult(r))
			}
		})
	}
}

// TestTroublesOfADay checks that every kind of fault in a day file of the benchmark can be taken into a drill and run.
func TestTroublesOfADay(t *testing.T) {
	t.Parallel()
	d := loadScenario(t, "breach.hcl", `length   = "9s"`, `length = "7s"`)
	kinds := drill.FaultKinds // bad_build among them, which comes from the releases
	var troubles []string
	for i, kind := range kinds {
		troubles = append(troubles, fmt.Sprintf(`{"kind":%q,"at":%d,"len":1500000,"which":1,"on":[1,2],"size":0.5}`,
			kind, 500_000+i*200_000))
	}
	day := fmt.Sprintf(`{"length":7000000,"zones":["a","b"],"servers":[1,2,3,4,5,6,7,8],"balancers":[1,2,3,4],
		"troubles":[%s],"fam":{"releases":[{"at":1000000,"bad":"class","class":1,"strength":0.5,"speed":1}]}}`,
		strings.Join(troubles, ","))
	if err := d.ApplyBenchDay([]byte(day)); err != nil {
		t.Fatal(err)
	}
	if len(d.Faults) != len(kinds)-1 || len(d.Releases) != 1 {
		t.Fatalf("took %d faults and %d releases, expected all", len(d.Faults), len(d.Releases))
	}
	r := runDrill(t, d, "")
	if !r.Passed() {
		t.Errorf("%s", formatResult(r))
	}
	for _, invalid := range []string{"", "{}", `{"length":1,"troubles":[{"kind":"flood"}]}`} {
		if d.ApplyBenchDay([]byte(invalid)) == nil {
			t.Errorf("%q is accepted as a day file", invalid)
		}
	}
}

// TestCommands checks the output and the errors of the commands.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	incomplete := filepath.Join(dir, "bad.hcl")
	if err := os.WriteFile(incomplete, []byte("sentry {}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	failingCase := filepath.Join(dir, "wrong.hcl")
	if err := os.WriteFile(failingCase, []byte(`profile "p" {}
set "kind" {
  members = ["a", "b"]
}
attribute "kind" {
  type = "kind"
}
route "through" {
  when    = "kind in [kind.a, kind.b]"
  key     = "'k'"
  profile = "p"
}
route "moved" {
  when    = "kind == kind.b"
  key     = "'k'"
  profile = "p"
}
case "moved" {
  with  = { kind = "a" }
  route = "moved"
}
`), 0o644); err != nil {
		t.Fatal(err)
	}
	otherAddress := filepath.Join(dir, "moved.hcl")
	example, err := os.ReadFile("../../deploy/sentry.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(otherAddress, bytes.Replace(example, []byte("7400"), []byte("7999"), 1), 0o644); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args     []string
		out, err string
	}{
		{[]string{"check", "--beside", "../../deploy/sentry.hcl", otherAddress},
			`moved.hcl:6:3: listen: found 127.0.0.1:7999, expected 127.0.0.1:7400 as the sentry runs with`, "1 of 1 files have errors"},
		{[]string{"check", "--beside", incomplete, otherAddress}, "", "no block deployment"},
		{[]string{"check", "../../deploy/sentry.hcl"}, "good; sentry 0 of 2, 3 profiles", ""},
		{[]string{"check", "../../deploy/sentry.hcl", incomplete}, "no block deployment, expected one", "1 of 2 files have errors"},
		{[]string{"check", filepath.Join(dir, "none.hcl")}, "no such file", "1 of 1 files"},
		{[]string{"match", "test", "../../docs/language.hcl", "../../deploy/sentry.hcl"}, "19 cases passed", ""},
		{[]string{"match", "test", "../../drills/bad-day.hcl", "../../drills/short-day.hcl"}, "4 cases passed", ""},
		{[]string{"match", "test", "../../drills/breach.hcl"}, "", "no attribute and no route, expected some"},
		{[]string{"match", "test", failingCase}, `case "moved": found route through, expected moved: kind == kind.b does not hold: kind is kind.a`,
			"1 failures in 1 cases"},
		{[]string{"match", "check", "../../docs/language.hcl", failingCase, incomplete}, "route moved is never reached", "1 of 3 files have errors"},
		{[]string{"match", "check", failingCase}, "good; 1 attributes, 0 named expressions, 2 routes, 1 cases", ""},
		{[]string{"match", "eval", "../../deploy/sentry.hcl", "--with", "depot=kingston", "--with", "truck=t", "--with", "temp=3 kelvin"},
			"treated as missing: temp: found a figure in \"kelvin\", expected a unit of temperature\nroute the rest (../../deploy/sentry.hcl:134): profile reading, account none, key \"t\"\n  not handovers", ""},
		{[]string{"match", "eval", "../../deploy/sentry.hcl", "--with", "truck=t"}, "not taken: depot must be there and is missing", ""},
		{[]string{"match", "eval", failingCase, "--with", "kind"}, "", `with: found "kind", expected name=value`},
		{[]string{"match", "explain", failingCase}, "kind  by equal  in 2 routes", ""},
		{[]string{"plan", "check", "../../deploy/plan.hcl", "--from", "2026-12-01T12:00:00Z"},
			"2026-12-01T14:30:00Z  wave half   share 0.5  cap 0.6  bake 6h0m0s  in office hours; after two of the owners", ""},
		{[]string{"plan", "check", incomplete}, "", "found 0 blocks plan, expected one"},
		{[]string{"plan", "check", "../../deploy/plan.hcl", "--from", "noon"}, "", `from: found "noon", expected a time`},
		{[]string{"sentry"}, "", "found neither --config nor --platform"},
		{[]string{"sentry", "--config", incomplete}, "", "bad.hcl:1:1: no block"},
		{[]string{"sentry", "--config", "../../deploy/sentry.hcl", "--level", "loud"}, "", `level: found "loud"`},
		{[]string{"drill", "../../drills/breach.hcl", "--break", "bone"}, "", `break: found "bone", expected one of [answer`},
		{[]string{"drill", incomplete}, "", "no block drill"},
		{[]string{"drill", "../../drills/breach.hcl", "--from-day", incomplete}, "", "found no day"},
	}
	for _, c := range cases {
		cmd := root()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		cmd.SetArgs(c.args)
		err := cmd.Execute()
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) || !strings.Contains(out.String(), c.out) {
			t.Errorf("%v: error %v, expected %q; printed %q, expected %q in it", c.args, err, c.err, out.String(), c.out)
		}
	}
}

// TestWatch checks that a hangup, a changed file and a replaced file each cause one call, and that a missing file
// causes none.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	write := func(name, text string) {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(file, "one")
	included := file + ".included"
	write(included, "a")
	hangups, done, changes, ended := make(chan os.Signal), make(chan struct{}), make(chan string, 10), make(chan struct{})
	go func() {
		defer close(ended)
		watchFiles([]string{file, included}, time.Millisecond, hangups, done, func() []string {
			text, _ := os.ReadFile(file)
			changes <- string(text)
			return []string{file, included}
		})
	}()
	expectNoChange := func(after string) {
		t.Helper()
		select {
		case text := <-changes:
			t.Errorf("after %s: got a change to %q, expected none", after, text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	expectChange := func(text string) {
		t.Helper()
		select {
		case got := <-changes:
			if got != text {
				t.Errorf("found %q, expected %q", got, text)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("no change in 5 s, expected %q", text)
		}
	}
	expectNoChange("the start")
	hangups <- syscall.SIGHUP
	expectChange("one")
	expectNoChange("a hangup")
	write(included+".new", "another") // by a rename, because the watch checks every millisecond and would see a partly written file
	if err := os.Rename(included+".new", included); err != nil {
		t.Fatal(err)
	}
	expectChange("one")
	write(file+".new", "two")
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
	expectChange("two")
	expectNoChange("a rename")
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	expectNoChange("its removal")
	write(file+".new", "three")
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
	expectChange("three")
	close(done)
	<-ended
}
