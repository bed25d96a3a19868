package main

import "time"

// class returns the settings of a class of requests.
func class(name, effect string, aim, deadline, window time.Duration) map[string]any {
	return map[string]any{"name": name, "aim_ns": aim, "deadline_ns": deadline, "effect": effect, "group": "all", "window_ns": window, "value": 1, "late_worth": 0.1, "stream": false}
}

// settings returns the settings of a small deployment with two zones, three sentries and lists on request. With copies, a
// second copy of a request may be sent while the first runs.
func settings(classes []map[string]any, attempts int, copies bool) map[string]any {
	return map[string]any{
		"azs": []string{"north", "south"}, "zone": "north", "replicas_of_me": 3, "position": 0, "tier": 0, "tiers": []string{"front"},
		"registry_mode": "on_request", "granularity_ns": 5 * time.Millisecond, "categories": classes,
		"limits": map[string]any{"cancel": true, "connect_timeout_ns": 250 * time.Millisecond, "cpu_us_per_request": 0, "cpu_us_per_s": 100000,
			"idle_close_ns": 30 * time.Second, "max_attempts": attempts, "max_open": 20000, "max_retry_after_ns": time.Second, "may_probe": false,
			"parallel_tries": copies, "peers": false, "retry_after": true, "streams_per_conn": 32},
		"rules": map[string]any{"ask_within_ns": 10 * time.Second, "cold_from": 0.4, "drain_grace_ns": 2 * time.Second, "fall_multiple": 4,
			"fall_ns": 2 * time.Second, "grace_to_answer_ns": 20 * time.Millisecond, "warm_up_ns": 4 * time.Second},
		"tenants": []map[string]any{}, "value_by": "request", "weights": "rough", "report": map[string]any{"how": "off", "fields": []string{}},
		"family": "rollout",
		"family_info": map[string]any{"layout": "beside", "control": "any", "shares": stageShares, "caps": stageCaps, "cap_scope": "all",
			"free": 2, "exposure_window_ns": 4 * time.Second, "no_return": true, "shielded": 0, "on_votes": 1, "votes_to_revert": 1, "votes_to_hold": 0,
			"vote_ttl_ns": 6 * time.Second, "answer_wait_ns": 800 * time.Millisecond, "votes_per_s": 200, "bake_ns": 3 * time.Second,
			"moves_after_ns": 0, "told_every_ns": 2 * time.Second, "metrics_period_ns": 0, "sampled_share": 0, "complaint_share": 0, "stale_build_price": 0.5,
			"harm_fee": 2, "warm_keys": false},
		"prices":           map[string]any{"connection": 0, "cross_zone": 0.02, "handshake": 0, "late_fail": 0.03, "probe": 0, "waste": 0.05},
		"result_mix":       map[string]any{"whole": 1},
		"over_share_worth": 0.1, "client_habits": map[string]any{"marks_retry": false}, "machine_types": []string{"m1"},
	}
}

// The stages of a release.
var (
	stageShares = []float64{0.2, 0.5, 1}
	stageCaps   = []float64{0.25, 0.6, 1}
)

// limits returns the limits of a sentry.
func limits(memoryMB, sockets int) map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}
