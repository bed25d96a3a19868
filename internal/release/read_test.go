package release

import (
	"os"
	"strings"
	"testing"
	"time"
)

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func exampleSource(t *testing.T) string {
	data, err := os.ReadFile("../../deploy/plan.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// The example plan has the expected schedule.
func TestTheExample(t *testing.T) {
	p, err := Parse("plan.hcl", []byte(exampleSource(t)), now)
	if err != nil {
		t.Fatal(err)
	}
	starts, end := p.EarliestSchedule(now)
	// 14:00 UTC is 09:00 in Kingston. The bake of the second wave ends after the first day's window has closed.
	for i, want := range []string{"2026-12-01 14:00", "2026-12-01 14:30", "2026-12-02 14:00"} {
		if got := starts[i].Format("2006-01-02 15:04"); got != want {
			t.Errorf("wave %d starts at %s, expected %s", i, got, want)
		}
	}
	if got := end.Format("2006-01-02 15:04"); got != "2026-12-02 16:00" {
		t.Errorf("complete at %s, expected 2026-12-02 16:00", got)
	}
	if s := p.WaveSummary(1); s != "in office hours; after two of the owners; without handover" {
		t.Error(s)
	}
}

// Plans that can never be completed are rejected with the location of the problem, as are files that cannot be read.
func TestFaults(t *testing.T) {
	for _, x := range [][3]string{
		{`days   = ["mon", "tue", "wed", "thu"]`, `days = []`, "plan.hcl:13:1: found a window that does not open within three years"},
		{`except = ["2026-12-24 to 2027-01-03"]`, `except = ["2020-01-01 to 2099-12-31"]`, "windows: found windows that do not open within three years"},
		{`cap       = 0.6`, `cap = 0.1`, "cap: found 0.1 after 0.2 in wave first, expected no decrease"},
		{`share     = 0.5`, `share = 0.05`, "share: found 0.05 after 0.1 in wave first"},
		{`count = 2`, `count = 4`, "count: found 4, expected at most 3, the number of members of owners"},
		{`on_votes  = 3`, `on_votes = 5`, "on_votes: found 5, expected at most 4, the number of sentries"},
		{`back_votes = 2`, `back_votes = 5`, "back_votes: found 5, expected at most 4, the number of sentries"},
		{`approvals = ["two of the owners"]`, ``, "found an approval that no wave requires"},
		{`approvals = ["two of the owners"]`, `approvals = ["one"]`, `approvals: found "one", expected some of [two of the owners]`},
		{`guard     = ["handover"]`, `guard = ["reading"]`, `guard: found reading, which wave first does not guard`},
		{`guard     = ["handover"]`, `guard = ["hand"]`, `guard: found "hand", expected some of [reading handover]`},
		{`cap     = 1`, `cap = 0.9`, "the release would never be complete"},
		{`zone   = "America/Jamaica"`, `zone = "Kingston"`, `zone: found "Kingston", expected a name such as Europe/Berlin`},
		{`zone   = "America/Jamaica"`, `zone = "Local"`, `zone: found "Local"`},
		{`from   = "09:00"`, `from = "9"`, `from: found "9", expected a time such as 09:30`},
		{`except = ["2026-12-24 to 2027-01-03"]`, `except = ["christmas"]`, `except: found "christmas", expected a date such as 2026-12-24`},
		{`wave "whole"`, `wave "first"`, "wave first is declared twice"}, {`group "owners"`, `group "owner"`, `group: found "owners", expected one of owner`},
		{`"release-1", "release-2"`, `"release-1", "release-1"`, `members: found "release-1" twice`},
		{`plan "`, `plans "`, "found 0 blocks plan, expected one"}, {`bake       = "30m"`, `bake = "30"`, `bake: found "30", expected a span`},
		{`valid = "8h"`, `valid = "1s"`, `valid: found "1s", expected a span from 1m0s`},
		{`team = "cold chain"`, `team = ["a"]`, "labels: found a list as team"},
	} {
		text := strings.Replace(exampleSource(t), x[0], x[1], 1)
		if text == exampleSource(t) {
			t.Fatalf("%q is not in the file", x[0])
		}
		if _, err := Parse("plan.hcl", []byte(text), now); err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v\nexpected %s", x[1], err, x[2])
		}
	}
}

// No file makes reading it or computing the schedule of its plan panic.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../../deploy/plan.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(data))
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse("f.hcl", []byte(text), now)
		if err == nil {
			p.EarliestSchedule(now)
		}
	})
}
