package drill

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"scalechute/standin"
)

// Each trouble that acts on stand-ins changes what it says, for as long as it lasts and no longer. Those that act on
// processes of sentries are seen in the drills themselves.
func TestTroublesActAndEnd(t *testing.T) {
	source, err := os.ReadFile("../../drills/breach.hcl")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse("breach.hcl", source)
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{d: d, p: Options{Logf: t.Logf}, reach: map[string]string{}, peers: &standin.Impairment{}}
	r.prepare()
	defer r.close()
	if err := r.services(); err != nil {
		t.Fatal(err)
	}
	for i := range d.Settings.Zones {
		r.callers = append(r.callers, standin.NewClientPool(r.stage, "", d.Workload, 1/float64(len(d.Settings.Zones)), nil, nil, int64(i)))
	}
	worker := func(f func(w *standin.Worker) bool) func() bool {
		return func() (so bool) {
			w := r.fleet.all[2]
			w.Set(func(w *standin.Worker) { so = f(w) })
			return so
		}
	}
	caller := func(f func(c *standin.ClientPool) bool) func() bool {
		return func() (so bool) { r.callers[1].Set(func(c *standin.ClientPool) { so = f(c) }); return so }
	}
	desk := func(f func(d *standin.ControlPlane) bool) func() bool {
		return func() (so bool) { r.desk.Set(func(d *standin.ControlPlane) { so = f(d) }); return so }
	}
	link := func(from, to int, delay time.Duration, cut bool) func() bool {
		return func() bool { d, c := r.weather[from][to].Current(); return d == delay && c == cut }
	}
	usual := span(d.Fleet.LinkDelay)
	cases := []struct {
		kind, how string
		acts      []func() bool
	}{
		{"burst", "", []func() bool{caller(func(c *standin.ClientPool) bool { return c.LoadFactor == 3 })}},
		{"hot_key", "", []func() bool{caller(func(c *standin.ClientPool) bool { return c.HotKeyShare == 3 })}},
		{"hot_caller", "", []func() bool{caller(func(c *standin.ClientPool) bool { return c.HotAccountShare == 3 }),
			func() bool { return len(d.Workload.AccountShares) > 1 }}},
		{"shift", "", []func() bool{func() bool { return r.callers[1].LoadShare() < 0 && r.callers[2].LoadShare() > 0.5 }}},
		{"control_down", "quiet", []func() bool{desk(func(d *standin.ControlPlane) bool { return d.Silent && !d.Deny })}},
		{"control_down", "deny", []func() bool{desk(func(d *standin.ControlPlane) bool { return d.Deny && !d.Silent })}},
		{"control_down", "late", []func() bool{desk(func(x *standin.ControlPlane) bool { return x.Delay > span(d.Fleet.StatusDelay) })}},
		{"crash", "", []func() bool{func() bool { up, _, _ := r.fleet.all[2].RunState(); return !up }}},
		{"fast_errors", "", []func() bool{worker(func(w *standin.Worker) bool { return w.FastErrorShare == 3 })}},
		{"handshake_slow", "", []func() bool{worker(func(w *standin.Worker) bool { return w.HandshakeDelay == 7*time.Millisecond })}},
		{"probe_fail", "", []func() bool{worker(func(w *standin.Worker) bool { return w.IgnoresProbes })}},
		{"slow", "", []func() bool{worker(func(w *standin.Worker) bool { return w.SlowFactor == 3 })}},
		{"neighbour", "", []func() bool{func() bool {
			slow := worker(func(w *standin.Worker) bool { return w.SlowFactor == 3 })
			var seen [2]bool
			for range 400 { // on and off, each for 35 ms
				if slow() {
					seen[1] = true
				} else {
					seen[0] = true
				}
				time.Sleep(time.Millisecond)
			}
			return seen[0] && seen[1]
		}}},
		{"peer_down", "", []func() bool{func() bool { _, cut := r.peers.Current(); return cut }}},
		{"slow_link", "", []func() bool{link(1, 0, usual+7*time.Millisecond, false), link(0, 1, usual+7*time.Millisecond, false)}},
		{"zone_cut", "", []func() bool{link(1, 0, usual, true), link(0, 1, usual, true), link(1, 2, usual, true)}},
		{"one_sided", "", []func() bool{link(1, 0, usual, true), link(1, 2, usual, true), link(0, 1, usual, false)}},
	}
	tried := map[string]bool{}
	for _, c := range cases {
		tried[c.kind] = true
		holds := func() (n int) {
			for _, f := range c.acts {
				if f() {
					n++
				}
			}
			return n
		}
		before := holds()
		end := r.begin(Fault{Kind: c.kind, Mode: c.how, Count: 3, First: 1, Magnitude: 3, Delay: 7000, Zone: zoneOf(c.kind)})
		if during := holds(); during != len(c.acts) || before == len(c.acts) {
			t.Errorf("%s %s: %d of %d signs before it, %d while it lasts", c.kind, c.how, before, len(c.acts), during)
		}
		if end == nil {
			t.Errorf("%s: nothing ends it", c.kind)
			continue
		}
		if end(); holds() != before {
			t.Errorf("%s %s: %d signs after it, %d before", c.kind, c.how, holds(), before)
		}
	}
	processes := []string{"bad_build", "balancer_crash", "balancer_roll", "balancer_stall", "reload"}
	for _, k := range FaultKinds {
		if !tried[k] && !slices.Contains(processes, k) {
			t.Errorf("%s was not tried", k)
		}
	}
}

// zoneOf names the zone of troubles that are about one.
func zoneOf(kind string) int {
	if slices.Contains([]string{"shift", "slow_link", "zone_cut", "one_sided"}, kind) {
		return 1
	}
	return -1
}

// A drill's file is checked as orders are.
func TestFaults(t *testing.T) {
	source, err := os.ReadFile("../../drills/breach.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`trouble "crash"`, `trouble "flood"`, `trouble "flood", expected one of [bad_build`},
		{`release "11"`, `release "ten"`, `release "ten", expected a whole number above 10`},
		{`mix "handover"`, `mix "handoff"`, `mix "handoff", expected one of the profiles`},
		{`share = 0.20`, `share = 0.30`, `shares of all mixes are 1.1 together, expected 1`},
		{`cold_from = 0.5`, `cold_from = 0.3`, `workers are colder than the rules state`},
		{`keys       = `, "attributes = true\n  keys = ", `attributes: transactions carry attributes only, expected routes`},
		{`count = 1`, `cout = 1`, `cout: unknown in block trouble crash`},
		{`length   = "9s"`, `length = "1h"`, `length: found "1h", expected a span from 1s to 10m0s`},
	} {
		text := strings.Replace(string(source), c.old, c.new, 1)
		if text == string(source) {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, err := Parse("bad.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, expected %s", c.new, err, c.want)
		}
	}
}
