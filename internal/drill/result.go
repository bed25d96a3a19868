package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"scalechute/internal/audit"
	"scalechute/logic"
)

// Result is the result of a run.
type Result struct {
	Scenario               string          `json:"day"`
	WorkerSelection        string          `json:"policy"` // module (the decision module) or random
	DurationSeconds        float64         `json:"seconds"`
	Profiles               []ProfileResult `json:"profiles"`
	ServedInDueTime        float64         `json:"served_in_due_time"`      // share of the value of all transactions; late answers add a part
	HandOffsPerTransaction float64         `json:"hand_offs_a_transaction"` // per transaction that a client sent to a sentry, that is, per try
	HandOffsToLaterBuilds  int             `json:"hand_offs_to_later_builds"`
	WorkersOverloaded      int             `json:"workers_pushed_over"`
	StatusChanges          []StatusChange  `json:"builds"`
	AllClosed              bool            `json:"every_account_closed"` // every try has an answer or an end
	Violated               []int           `json:"rules_broken"`         // numbers of the violated rules
	Audit                  audit.Report    `json:"finding"`
	SlackMicros            logic.Micros    `json:"slack_us"`
	MaxStallMicros         int64           `json:"hiccup_us"`                   // longest stall of the recording process
	InjectedFault          string          `json:"broken_on_purpose,omitempty"` // as in Options
	SentryStarts           int             `json:"sentry_starts"`
}

// ProfileResult is the result for a profile.
type ProfileResult struct {
	Name            string  `json:"name"`
	Transactions    int     `json:"asked"`
	ServedInDueTime float64 `json:"in_due_time"` // share of the transactions
	ServedLate      float64 `json:"late"`        // share of the transactions
	TriesDeferred   int     `json:"tries_deferred"`
	TriesWrittenOff int     `json:"tries_written_off"`
	TriesLost       int     `json:"tries_left_or_lost"` // abandoned, lost with their connection, not taken, or not sent for lack of one
	P50Micros       int64   `json:"p50_us"`
	P99Micros       int64   `json:"p99_us"`
}

// StatusChange is a change of the release status.
type StatusChange struct {
	AtSeconds float64 `json:"at_s"`
	Build     int     `json:"build"`
	Stage     int     `json:"stage"`
	Phase     string  `json:"phase"`
	Cap       float64 `json:"cap"`
}

// phaseNames are the names of the phases in reports, by logic.Phase.
var phaseNames = [...]string{"on trial", "going back", "released", "withdrawn"}

// Passed reports whether no rule is violated, every try is closed, and every hand-off has the profile and key that its
// client intended.
func (r *Result) Passed() bool { return len(r.Violated) == 0 && r.AllClosed && r.Audit.Misrouted == 0 }

// makeResult audits the recorded events and computes the result.
func (r *runner) makeResult() (*Result, error) {
	scenario, config := r.scenario, &r.scenario.Settings.Policy
	events := r.environment.StopRecording()
	r.linkMu.Lock()
	maxStall := r.maxStall
	r.linkMu.Unlock()
	result := &Result{Scenario: scenario.Name, WorkerSelection: "module", DurationSeconds: seconds(scenario.Duration),
		InjectedFault: r.options.InjectedFault, MaxStallMicros: maxStall.Microseconds(),
		SlackMicros: scenario.Slack + logic.Micros(maxStall.Microseconds())}
	if r.options.RandomWorkers {
		result.WorkerSelection = "random"
	}
	result.Audit = audit.Check(config, result.SlackMicros, events)
	result.Violated = result.Audit.ViolatedRules()
	report := &result.Audit
	result.AllClosed = r.openTries() == 0 && result.Audit.TriesUnclosed == 0
	servedValue, totalValue := 0.0, 0.0
	for i, name := range scenario.Settings.ProfileNames {
		profile := &config.Profiles[i]
		profileResult := ProfileResult{Name: name}
		latencies := hdrhistogram.New(1, 3_600_000_000, 3)
		inDueTime, late := 0, 0
		for _, pool := range r.clientPools {
			for _, transaction := range pool.Transactions() {
				if int(transaction.Profile) != i {
					continue
				}
				profileResult.Transactions++
				profileResult.TriesDeferred += transaction.Outcomes[audit.Deferred]
				profileResult.TriesWrittenOff += transaction.Outcomes[audit.WrittenOff]
				profileResult.TriesLost += transaction.Outcomes[3]
				totalValue += profile.Value
				if transaction.SatisfiedAfter == 0 {
					continue
				}
				_ = latencies.RecordValue(int64(transaction.SatisfiedAfter))
				switch {
				case transaction.SatisfiedAfter <= profile.DueTime:
					inDueTime++
					servedValue += profile.Value
				case transaction.SatisfiedAfter <= profile.MaxDeadline:
					late++
					servedValue += profile.Value * profile.LateValueShare
				}
			}
		}
		if profileResult.Transactions > 0 {
			profileResult.ServedInDueTime, profileResult.ServedLate = float64(inDueTime)/float64(profileResult.Transactions),
				float64(late)/float64(profileResult.Transactions)
		}
		profileResult.P50Micros, profileResult.P99Micros = latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99)
		result.Profiles = append(result.Profiles, profileResult)
	}
	if totalValue > 0 {
		result.ServedInDueTime = servedValue / totalValue
	}
	if report.TriesSent > 0 {
		result.HandOffsPerTransaction = float64(report.HandOffs) / float64(report.TriesSent)
	}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == audit.HandOffReceived && e.Build > firstBuild:
			result.HandOffsToLaterBuilds++
		case e.Kind == audit.WorkerOverloaded:
			result.WorkersOverloaded++
		case e.Kind == audit.SentryStarted:
			result.SentryStarts++
		}
	}
	for _, change := range r.control.StatusChanges() {
		result.StatusChanges = append(result.StatusChanges, StatusChange{seconds(change.At), int(change.Status.Build), change.Status.Stage,
			phaseNames[change.Status.Phase], change.Status.Cap})
	}
	return result, result.writeFiles(r.options.Dir, events)
}

// writeFiles writes the report, and the recorded events if a rule is violated.
func (r *Result) writeFiles(dir string, events []audit.Event) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report-"+r.WorkerSelection+".json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	if len(r.Violated) == 0 {
		return nil
	}
	file, err := os.Create(filepath.Join(dir, "record-"+r.WorkerSelection+".jsonl"))
	if err != nil {
		return err
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Print writes a table of one or more results, and the details of each.
func Print(w io.Writer, results ...*Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "policy\tprofile\ttransactions\tin due time\tlate\tdeferred\twritten off\tabandoned or lost\tp50 ms\tp99 ms\t\n")
	for _, r := range results {
		for _, profile := range r.Profiles {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.WorkerSelection, profile.Name, profile.Transactions, 100*profile.ServedInDueTime,
				100*profile.ServedLate, profile.TriesDeferred, profile.TriesWrittenOff, profile.TriesLost, float64(profile.P50Micros)/1e3, float64(profile.P99Micros)/1e3)
		}
	}
	table.Flush()
	for _, r := range results {
		report := &r.Audit
		fmt.Fprintf(w, "\n%s: %.1f%% of the value served in due time; %.3f hand-offs per transaction, %d to later builds; %d workers overloaded\n",
			r.WorkerSelection, 100*r.ServedInDueTime, r.HandOffsPerTransaction, r.HandOffsToLaterBuilds, r.WorkersOverloaded)
		fmt.Fprintf(w, "  tries: %d sent = %d answered + %d abandoned + %d not taken; all closed: %v\n", report.TriesSent, report.TriesAnswered,
			report.TriesAbandoned, report.TriesNotTaken, r.AllClosed)
		if report.Misrouted > 0 {
			fmt.Fprintf(w, "  %d hand-offs had another profile or key than their client intended\n", report.Misrouted)
		}
		for _, change := range r.StatusChanges {
			fmt.Fprintf(w, "  %6.1f s  build %d %s, stage %d, cap %g\n", change.AtSeconds, change.Build, change.Phase, change.Stage, change.Cap)
		}
		if len(r.Violated) == 0 {
			fmt.Fprintf(w, "  rules: none of the five is violated (slack %.1f ms)\n", float64(r.SlackMicros)/1e3)
			continue
		}
		names := []string{}
		for _, rule := range r.Violated {
			names = append(names, fmt.Sprintf("%d (%s)", rule, audit.RuleNames[rule-1]))
		}
		fmt.Fprintf(w, "  rules violated: %v, %d violations; the first of each rule:\n", names, len(report.Violations))
		var shown []int
		for _, violation := range report.Violations {
			if !slices.Contains(shown, violation.Rule) {
				shown = append(shown, violation.Rule)
				fmt.Fprintln(w, "  "+violation.String())
			}
		}
	}
}
