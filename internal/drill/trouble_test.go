package drill

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"scalechute/standin"
)

// TestFaultsBeginAndEnd checks that each fault that acts on stand-ins has its effects while it lasts, and none after it
// has ended. Faults that act on sentry processes are tested by the drills.
func TestFaultsBeginAndEnd(t *testing.T) {
	source, err := os.ReadFile("../../drills/breach.hcl")
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse("breach.hcl", source)
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{scenario: scenario, options: Options{Logf: t.Logf}, relayAddresses: map[string]string{},
		peerImpairment: &standin.Impairment{}}
	r.prepare()
	defer r.close()
	if err := r.startServices(); err != nil {
		t.Fatal(err)
	}
	for i := range scenario.Settings.Zones {
		r.clientPools = append(r.clientPools, standin.NewClientPool(r.environment, "", scenario.Workload,
			1/float64(len(scenario.Settings.Zones)), nil, nil, int64(i)))
	}
	onWorker := func(f func(w *standin.Worker) bool) func() bool {
		return func() (ok bool) {
			w := r.fleet.workers[2]
			w.Set(func(w *standin.Worker) { ok = f(w) })
			return ok
		}
	}
	onClientPool := func(f func(c *standin.ClientPool) bool) func() bool {
		return func() (ok bool) { r.clientPools[1].Set(func(c *standin.ClientPool) { ok = f(c) }); return ok }
	}
	onControlPlane := func(f func(p *standin.ControlPlane) bool) func() bool {
		return func() (ok bool) { r.control.Set(func(p *standin.ControlPlane) { ok = f(p) }); return ok }
	}
	linkHas := func(from, to int, delay time.Duration, cut bool) func() bool {
		return func() bool { d, c := r.impairments[from][to].Current(); return d == delay && c == cut }
	}
	usualDelay := duration(scenario.Fleet.LinkDelay)
	cases := []struct {
		kind, mode string
		effects    []func() bool
	}{
		{"burst", "", []func() bool{onClientPool(func(c *standin.ClientPool) bool { return c.LoadFactor == 3 })}},
		{"hot_key", "", []func() bool{onClientPool(func(c *standin.ClientPool) bool { return c.HotKeyShare == 3 })}},
		{"hot_caller", "", []func() bool{onClientPool(func(c *standin.ClientPool) bool { return c.HotAccountShare == 3 }),
			func() bool { return len(scenario.Workload.AccountShares) > 1 }}},
		{"shift", "", []func() bool{func() bool { return r.clientPools[1].LoadShare() < 0 && r.clientPools[2].LoadShare() > 0.5 }}},
		{"control_down", "quiet", []func() bool{onControlPlane(func(p *standin.ControlPlane) bool { return p.Silent && !p.Deny })}},
		{"control_down", "deny", []func() bool{onControlPlane(func(p *standin.ControlPlane) bool { return p.Deny && !p.Silent })}},
		{"control_down", "late", []func() bool{
			onControlPlane(func(p *standin.ControlPlane) bool { return p.Delay > duration(scenario.Fleet.StatusDelay) })}},
		{"crash", "", []func() bool{func() bool { up, _, _ := r.fleet.workers[2].RunState(); return !up }}},
		{"fast_errors", "", []func() bool{onWorker(func(w *standin.Worker) bool { return w.FastErrorShare == 3 })}},
		{"handshake_slow", "", []func() bool{onWorker(func(w *standin.Worker) bool { return w.HandshakeDelay == 7*time.Millisecond })}},
		{"probe_fail", "", []func() bool{onWorker(func(w *standin.Worker) bool { return w.IgnoresProbes })}},
		{"slow", "", []func() bool{onWorker(func(w *standin.Worker) bool { return w.SlowFactor == 3 })}},
		{"neighbour", "", []func() bool{func() bool {
			slow := onWorker(func(w *standin.Worker) bool { return w.SlowFactor == 3 })
			var seen [2]bool
			for range 400 { // slow and not slow, for 35 ms each
				if slow() {
					seen[1] = true
				} else {
					seen[0] = true
				}
				time.Sleep(time.Millisecond)
			}
			return seen[0] && seen[1]
		}}},
		{"peer_down", "", []func() bool{func() bool { _, cut := r.peerImpairment.Current(); return cut }}},
		{"slow_link", "", []func() bool{linkHas(1, 0, usualDelay+7*time.Millisecond, false),
			linkHas(0, 1, usualDelay+7*time.Millisecond, false)}},
		{"zone_cut", "", []func() bool{linkHas(1, 0, usualDelay, true), linkHas(0, 1, usualDelay, true), linkHas(1, 2, usualDelay, true)}},
		{"one_sided", "", []func() bool{linkHas(1, 0, usualDelay, true), linkHas(1, 2, usualDelay, true), linkHas(0, 1, usualDelay, false)}},
	}
	tested := map[string]bool{}
	for _, c := range cases {
		tested[c.kind] = true
		countHolding := func() (n int) {
			for _, f := range c.effects {
				if f() {
					n++
				}
			}
			return n
		}
		before := countHolding()
		end := r.beginFault(Fault{Kind: c.kind, Mode: c.mode, Count: 3, First: 1, Magnitude: 3, Delay: 7000, Zone: zoneOf(c.kind)})
		if during := countHolding(); during != len(c.effects) || before == len(c.effects) {
			t.Errorf("%s %s: %d of %d effects before the fault, %d while it lasts", c.kind, c.mode, before, len(c.effects), during)
		}
		if end == nil {
			t.Errorf("%s: found no function that ends the fault", c.kind)
			continue
		}
		if end(); countHolding() != before {
			t.Errorf("%s %s: %d effects after the fault, %d before", c.kind, c.mode, countHolding(), before)
		}
	}
	processes := []string{"bad_build", "balancer_crash", "balancer_roll", "balancer_stall", "reload"}
	for _, k := range FaultKinds {
		if !tested[k] && !slices.Contains(processes, k) {
			t.Errorf("%s was not tested", k)
		}
	}
}

// zoneOf returns the zone for faults that act on a zone, -1 for others.
func zoneOf(kind string) int {
	if slices.Contains([]string{"shift", "slow_link", "zone_cut", "one_sided"}, kind) {
		return 1
	}
	return -1
}

// TestInvalidFiles checks that errors in a drill's file are reported, as those in a sentry's settings are.
func TestInvalidFiles(t *testing.T) {
	source, err := os.ReadFile("../../drills/breach.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`trouble "crash"`, `trouble "flood"`, `trouble "flood", expected one of [bad_build`},
		{`release "11"`, `release "ten"`, `release "ten", expected a whole number above 10`},
		{`mix "handover"`, `mix "handoff"`, `mix "handoff", expected one of the profiles`},
		{`share = 0.20`, `share = 0.30`, `the shares of all mixes add up to 1.1, expected 1`},
		{`cold_from = 0.5`, `cold_from = 0.3`, `workers are colder than the settings allow`},
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
