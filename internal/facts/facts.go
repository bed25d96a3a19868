// Package facts decodes the settings that a platform gives to a sentry into the configuration of the decision module.
// The benchmark's protocol and the platform's configuration file use the same format.
package facts

import (
	"encoding/json"
	"fmt"
	"slices"

	"scalechute/logic"
)

// Names maps the names in the settings to the decision module's numbers.
type Names struct {
	Profiles             map[string]logic.ProfileID
	Accounts             map[string]logic.AccountID
	LoadFieldIndex       [LoadFieldCount]int // index of each figure in a load report, -1 if it is not reported
	StreamsPerConnection int                 // hand-offs that a connection to a worker carries at a time
}

// The figures of a load report that the decision module uses.
const (
	LoadFieldInFlight = iota
	LoadFieldBusy
	LoadFieldServed
	LoadFieldCount
)

// LoadFieldNames holds their names in the settings.
var LoadFieldNames = [LoadFieldCount]string{LoadFieldInFlight: "busy_reqs", LoadFieldBusy: "cpu_share", LoadFieldServed: "served_ps"}

// AssignZone returns the number of a zone. Zones are numbered in the order in which they first appear.
func AssignZone(zones map[string]logic.ZoneID, name string) logic.ZoneID {
	id, ok := zones[name]
	if !ok {
		id = logic.ZoneID(len(zones))
		zones[name] = id
	}
	return id
}

// ToMicros converts nanoseconds to whole microseconds, rounding towards zero.
func ToMicros(ns int64) logic.Micros { return logic.Micros(ns / 1000) }

// Values of the settings' enumerations.
var (
	controls        = map[string]logic.Control{"share": logic.ControlShare, "timer": logic.ControlTimer}
	repeatabilities = map[string]logic.Repeatability{"retryable": logic.Idempotent, "dedup": logic.Deduplicated}
	scopes          = map[string]logic.DedupScope{"zone": logic.ScopeZone, "cell": logic.ScopeCell}
)

// lookUp returns the value of a word, or the fallback if the word is unknown.
func lookUp[T any](word string, fallback T, values map[string]T) T {
	if x, ok := values[word]; ok {
		return x
	}
	return fallback
}

// DecodeConfig decodes the settings into a configuration and the names in it. zones numbers the zones and is extended
// by the settings' zones. Unknown keys are ignored; the values of missing ones are zero.
func DecodeConfig(raw json.RawMessage, zones map[string]logic.ZoneID) (logic.Config, *Names, error) {
	var settings struct {
		Azs        []string
		Categories []struct {
			Name       string
			AimNs      int64   `json:"aim_ns"`
			DeadlineNs int64   `json:"deadline_ns"`
			LateWorth  float64 `json:"late_worth"`
			WindowNs   int64   `json:"window_ns"`
			Effect     string
			Group      string
			Stream     bool
			Value      float64
		}
		FamilyInfo struct {
			AnswerWaitNs     int64     `json:"answer_wait_ns"`
			BakeNs           int64     `json:"bake_ns"`
			CapScope         string    `json:"cap_scope"`
			Caps             []float64 `json:"caps"`
			ComplaintShare   float64   `json:"complaint_share"`
			Control          string    `json:"control"`
			ExposureWindowNs int64     `json:"exposure_window_ns"`
			Free             float64   `json:"free"`
			HarmFee          float64   `json:"harm_fee"`
			Layout           string    `json:"layout"`
			NoReturn         bool      `json:"no_return"`
			MetricsPeriodNs  int64     `json:"metrics_period_ns"`
			OnVotes          int       `json:"on_votes"`
			SampledShare     float64   `json:"sampled_share"`
			Shares           []float64 `json:"shares"`
			Shielded         int       `json:"shielded"`
			StaleBuildPrice  float64   `json:"stale_build_price"`
			VoteTTLNs        int64     `json:"vote_ttl_ns"`
			VotesPerS        float64   `json:"votes_per_s"`
			VotesToHold      int       `json:"votes_to_hold"`
			VotesToRevert    int       `json:"votes_to_revert"`
		} `json:"family_info"`
		GranularityNs int64 `json:"granularity_ns"`
		Limits        struct {
			Cancel          bool  `json:"cancel"`
			ConnectTimeout  int64 `json:"connect_timeout_ns"`
			IdleCloseNs     int64 `json:"idle_close_ns"`
			MaxAttempts     int   `json:"max_attempts"`
			MaxRetryAfterNs int64 `json:"max_retry_after_ns"`
			MayProbe        bool  `json:"may_probe"`
			ParallelTries   bool  `json:"parallel_tries"`
			Peers           bool  `json:"peers"`
			RetryAfter      bool  `json:"retry_after"`
			StreamsPerConn  int   `json:"streams_per_conn"`
		}
		OverShareWorth float64 `json:"over_share_worth"`
		Position       int
		Prices         struct {
			CrossZone float64 `json:"cross_zone"`
			Waste     float64
		}
		RegistryMode string `json:"registry_mode"`
		ReplicasOfMe int    `json:"replicas_of_me"`
		Report       struct {
			Fields []string
			How    string
		}
		Rules struct {
			AskWithinNs     int64   `json:"ask_within_ns"`
			ColdFrom        float64 `json:"cold_from"`
			DrainGraceNs    int64   `json:"drain_grace_ns"`
			FallMultiple    float64 `json:"fall_multiple"`
			FallNs          int64   `json:"fall_ns"`
			GraceToAnswerNs int64   `json:"grace_to_answer_ns"`
			WarmUpNs        int64   `json:"warm_up_ns"`
		}
		Tenants []struct {
			Name      string
			Fraction  float64
			QuotaPerS float64 `json:"quota_per_s"`
		}
		Zone string
	}
	if err := json.Unmarshal(raw, &settings); err != nil {
		return logic.Config{}, nil, fmt.Errorf("facts: %w", err)
	}
	names := &Names{
		Profiles:             map[string]logic.ProfileID{},
		Accounts:             map[string]logic.AccountID{},
		LoadFieldIndex:       [LoadFieldCount]int{-1, -1, -1},
		StreamsPerConnection: settings.Limits.StreamsPerConn,
	}
	for _, z := range settings.Azs {
		AssignZone(zones, z)
	}
	config := logic.Config{
		Control:  lookUp(settings.FamilyInfo.Control, logic.ControlAny, controls),
		Sentries: settings.ReplicasOfMe, Position: logic.SentryID(settings.Position), Zone: AssignZone(zones, settings.Zone),
		ListOnRequest: settings.RegistryMode == "on_request", MaxListAge: ToMicros(settings.Rules.AskWithinNs),
		MayProbe: settings.Limits.MayProbe, MayCancel: settings.Limits.Cancel, MayHedge: settings.Limits.ParallelTries,
		MayMessage: settings.Limits.Peers, MayNameRetryAfter: settings.Limits.RetryAfter,
		MaxHandOffs: settings.Limits.MaxAttempts, MaxRetryAfter: ToMicros(settings.Limits.MaxRetryAfterNs),
		ConnectTimeout: ToMicros(settings.Limits.ConnectTimeout), IdleTimeout: ToMicros(settings.Limits.IdleCloseNs),
		TimerGranularity: ToMicros(settings.GranularityNs),
		AnswerGrace:      ToMicros(settings.Rules.GraceToAnswerNs), DrainGrace: ToMicros(settings.Rules.DrainGraceNs),
		ColdCapacity: settings.Rules.ColdFrom, WarmUp: ToMicros(settings.Rules.WarmUpNs),
		ColdLoadMultiple: settings.Rules.FallMultiple, ColdLoadWindow: ToMicros(settings.Rules.FallNs),
		EarlierWorkersStay: settings.FamilyInfo.Layout == "beside",
		StageShares:        settings.FamilyInfo.Shares, StageCaps: settings.FamilyInfo.Caps,
		FreeExposure: settings.FamilyInfo.Free, ExposureWindow: ToMicros(settings.FamilyInfo.ExposureWindowNs),
		ExposureByProfile: settings.FamilyInfo.CapScope == "class",
		GuardedStages:     settings.FamilyInfo.Shielded, ForwardOnly: settings.FamilyInfo.NoReturn,
		AdvanceVotes: settings.FamilyInfo.OnVotes, HoldVotes: settings.FamilyInfo.VotesToHold,
		RollBackVotes: settings.FamilyInfo.VotesToRevert,
		VoteTTL:       ToMicros(settings.FamilyInfo.VoteTTLNs), VoteTimeout: ToMicros(settings.FamilyInfo.AnswerWaitNs),
		VotesPerSecond: settings.FamilyInfo.VotesPerS, BakeTime: ToMicros(settings.FamilyInfo.BakeNs),
		ComplaintShare: settings.FamilyInfo.ComplaintShare,
		CountsPeriod:   ToMicros(settings.FamilyInfo.MetricsPeriodNs), CountsSampleShare: settings.FamilyInfo.SampledShare,
		StaleBuildPrice: settings.FamilyInfo.StaleBuildPrice, HarmPrice: settings.FamilyInfo.HarmFee,
		CrossZonePrice: settings.Prices.CrossZone, WastePrice: settings.Prices.Waste, OverShareValue: settings.OverShareWorth,
	}
	for i, c := range settings.Categories {
		names.Profiles[c.Name] = logic.ProfileID(i)
		p := logic.Profile{
			DueTime: ToMicros(c.AimNs), MaxDeadline: ToMicros(c.DeadlineNs), Value: c.Value, LateValueShare: c.LateWorth,
			DedupWindow: ToMicros(c.WindowNs), Streamed: c.Stream,
			Repeatability: lookUp(c.Effect, logic.NonIdempotent, repeatabilities), DedupScope: lookUp(c.Group, logic.ScopeAll, scopes),
		}
		config.Profiles = append(config.Profiles, p)
	}
	for i, t := range settings.Tenants {
		names.Accounts[t.Name] = logic.AccountID(i)
		config.Accounts = append(config.Accounts, logic.Account{Share: t.Fraction, Quota: t.QuotaPerS})
	}
	if settings.Report.How != "off" {
		for i, name := range settings.Report.Fields {
			if index := slices.Index(LoadFieldNames[:], name); index >= 0 {
				names.LoadFieldIndex[index] = i
			}
		}
	}
	return config, names, nil
}
