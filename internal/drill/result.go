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

// Result is what became of a day.
type Result struct {
	Scenario               string          `json:"day"`
	WorkerSelection        string          `json:"policy"`
	DurationSeconds        float64         `json:"seconds"`
	Profiles               []ProfileResult `json:"profiles"`
	ServedInDueTime        float64         `json:"served_in_due_time"` // share of the value asked for
	HandOffsPerTransaction float64         `json:"hand_offs_a_transaction"`
	HandOffsToLaterBuilds  int             `json:"hand_offs_to_later_builds"`
	WorkersOverloaded      int             `json:"workers_pushed_over"`
	StatusChanges          []StatusChange  `json:"builds"`
	AllClosed              bool            `json:"every_account_closed"`
	Violated               []int           `json:"rules_broken"`
	Audit                  audit.Report    `json:"finding"`
	SlackMicros            logic.Micros    `json:"slack_us"`
	MaxStallMicros         int64           `json:"hiccup_us"`
	BrokenRule             string          `json:"broken_on_purpose,omitempty"`
	SentryStarts           int             `json:"sentry_starts"`
}

// ProfileLine is one profile's part.
type ProfileResult struct {
	Name            string  `json:"name"`
	Transactions    int     `json:"asked"`
	ServedInDueTime float64 `json:"in_due_time"`
	ServedLate      float64 `json:"late"`
	TriesDeferred   int     `json:"tries_deferred"`
	TriesWrittenOff int     `json:"tries_written_off"`
	TriesLost       int     `json:"tries_left_or_lost"`
	P50Micros       int64   `json:"p50_us"`
	P99Micros       int64   `json:"p99_us"`
}

// BuildTurn is a change of the newest build's state.
type StatusChange struct {
	AtSeconds float64 `json:"at_s"`
	Build     int     `json:"build"`
	Stage     int     `json:"stage"`
	Phase     string  `json:"phase"`
	Cap       float64 `json:"cap"`
}

var phaseNames = [...]string{"on trial", "going back", "released", "withdrawn"}

// Good says whether the rules hold, every account is closed, and every transaction was judged as its client meant.
func (r *Result) Passed() bool { return len(r.Violated) == 0 && r.AllClosed && r.Audit.Misrouted == 0 }

func (r *runner) result() (*Result, error) {
	d, o := r.d, &r.d.Settings.Policy
	events := r.stage.StopRecording()
	r.linkMu.Lock()
	hiccup := r.hiccup
	r.linkMu.Unlock()
	out := &Result{Scenario: d.Name, WorkerSelection: "module", DurationSeconds: seconds(d.Duration), BrokenRule: r.p.BrokenRule,
		MaxStallMicros: hiccup.Microseconds(), SlackMicros: d.Slack + logic.Micros(hiccup.Microseconds())}
	if r.p.RandomWorkers {
		out.WorkerSelection = "random"
	}
	out.Audit = audit.Check(o, out.SlackMicros, events)
	out.Violated = out.Audit.ViolatedRules()
	f := &out.Audit
	out.AllClosed = r.open() == 0 && out.Audit.TriesUnclosed == 0
	value, worth := 0.0, 0.0
	for i, name := range d.Settings.ProfileNames {
		p := &o.Profiles[i]
		line := ProfileResult{Name: name}
		times := hdrhistogram.New(1, 3_600_000_000, 3)
		due, late := 0, 0
		for _, c := range r.callers {
			for _, t := range c.Transactions() {
				if int(t.Profile) != i {
					continue
				}
				line.Transactions++
				line.TriesDeferred += t.Outcomes[audit.Deferred]
				line.TriesWrittenOff += t.Outcomes[audit.WrittenOff]
				line.TriesLost += t.Outcomes[3]
				worth += p.Value
				if t.SatisfiedAfter == 0 {
					continue
				}
				_ = times.RecordValue(int64(t.SatisfiedAfter))
				switch {
				case t.SatisfiedAfter <= p.DueTime:
					due++
					value += p.Value
				case t.SatisfiedAfter <= p.MaxDeadline:
					late++
					value += p.Value * p.LateValueShare
				}
			}
		}
		if line.Transactions > 0 {
			line.ServedInDueTime, line.ServedLate = float64(due)/float64(line.Transactions), float64(late)/float64(line.Transactions)
		}
		line.P50Micros, line.P99Micros = times.ValueAtQuantile(50), times.ValueAtQuantile(99)
		out.Profiles = append(out.Profiles, line)
	}
	if worth > 0 {
		out.ServedInDueTime = value / worth
	}
	if f.TriesSent > 0 {
		out.HandOffsPerTransaction = float64(f.HandOffs) / float64(f.TriesSent)
	}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == audit.HandOffReceived && e.Build > firstBuild:
			out.HandOffsToLaterBuilds++
		case e.Kind == audit.WorkerOverloaded:
			out.WorkersOverloaded++
		case e.Kind == audit.SentryStarted:
			out.SentryStarts++
		}
	}
	for _, t := range r.desk.StatusChanges() {
		out.StatusChanges = append(out.StatusChanges, StatusChange{seconds(t.At), int(t.Status.Build), t.Status.Stage,
			phaseNames[t.Status.Phase], t.Status.Cap})
	}
	return out, out.write(r.p.Dir, events)
}

// write leaves the report, and the record if a rule was broken.
func (r *Result) write(dir string, events []audit.Event) error {
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
	f, err := os.Create(filepath.Join(dir, "record-"+r.WorkerSelection+".jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Print writes the table of one result or of two side by side.
func Print(w io.Writer, results ...*Result) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "policy\tprofile\tasked\tin due time\tlate\tdeferred\twritten off\tleft or lost\tp50 ms\tp99 ms\t\n")
	for _, r := range results {
		for _, p := range r.Profiles {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.WorkerSelection, p.Name, p.Transactions, 100*p.ServedInDueTime,
				100*p.ServedLate, p.TriesDeferred, p.TriesWrittenOff, p.TriesLost, float64(p.P50Micros)/1e3, float64(p.P99Micros)/1e3)
		}
	}
	tw.Flush()
	for _, r := range results {
		f := &r.Audit
		fmt.Fprintf(w, "\n%s: %.1f%% of the value served in due time; %.3f hand-offs a transaction, %d to later builds; %d workers pushed over\n",
			r.WorkerSelection, 100*r.ServedInDueTime, r.HandOffsPerTransaction, r.HandOffsToLaterBuilds, r.WorkersOverloaded)
		fmt.Fprintf(w, "  accounts: %d asked = %d answered + %d left + %d not taken; closed: %v\n", f.TriesSent, f.TriesAnswered, f.TriesAbandoned,
			f.TriesNotTaken, r.AllClosed)
		if f.Misrouted > 0 {
			fmt.Fprintf(w, "  %d hand-offs had another profile or key than their client meant\n", f.Misrouted)
		}
		for _, b := range r.StatusChanges {
			fmt.Fprintf(w, "  %6.1f s  build %d %s, stage %d, cap %g\n", b.AtSeconds, b.Build, b.Phase, b.Stage, b.Cap)
		}
		if len(r.Violated) == 0 {
			fmt.Fprintf(w, "  rules: all five hold (slack %.1f ms)\n", float64(r.SlackMicros)/1e3)
			continue
		}
		names := []string{}
		for _, n := range r.Violated {
			names = append(names, fmt.Sprintf("%d (%s)", n, audit.RuleNames[n-1]))
		}
		fmt.Fprintf(w, "  rules broken: %v, %d breaches; the first of each:\n", names, len(f.Violations))
		var shown []int
		for _, b := range f.Violations {
			if !slices.Contains(shown, b.Rule) {
				shown = append(shown, b.Rule)
				fmt.Fprintln(w, "  "+b.String())
			}
		}
	}
}
