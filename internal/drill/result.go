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
	Day       string        `json:"day"`
	Policy    string        `json:"policy"`
	Seconds   float64       `json:"seconds"`
	Profiles  []ProfileLine `json:"profiles"`
	Served    float64       `json:"served_in_due_time"` // share of the value asked for
	HandOffs  float64       `json:"hand_offs_a_transaction"`
	Trial     int           `json:"hand_offs_to_later_builds"`
	Fallen    int           `json:"workers_pushed_over"`
	Builds    []BuildTurn   `json:"builds"`
	Closed    bool          `json:"every_account_closed"`
	Rules     []int         `json:"rules_broken"`
	Finding   audit.Finding `json:"finding"`
	SlackUs   logic.Micros  `json:"slack_us"`
	HiccupUs  int64         `json:"hiccup_us"`
	Broken    string        `json:"broken_on_purpose,omitempty"`
	Restarted int           `json:"sentry_starts"`
}

// ProfileLine is one profile's part.
type ProfileLine struct {
	Name       string  `json:"name"`
	Asked      int     `json:"asked"`
	InDueTime  float64 `json:"in_due_time"`
	Late       float64 `json:"late"`
	Deferred   int     `json:"tries_deferred"`
	WrittenOff int     `json:"tries_written_off"`
	Lost       int     `json:"tries_left_or_lost"`
	P50        int64   `json:"p50_us"`
	P99        int64   `json:"p99_us"`
}

// BuildTurn is a change of the newest build's state.
type BuildTurn struct {
	At    float64 `json:"at_s"`
	Build int     `json:"build"`
	Stage int     `json:"stage"`
	Phase string  `json:"phase"`
	Cap   float64 `json:"cap"`
}

var phaseNames = [...]string{"on trial", "going back", "released", "withdrawn"}

// Good says whether the rules hold, every account is closed, and every transaction was judged as its client meant.
func (r *Result) Good() bool { return len(r.Rules) == 0 && r.Closed && r.Finding.Misjudged == 0 }

func (r *runner) result() (*Result, error) {
	d, o := r.d, &r.d.Sheet.Policy
	events := r.stage.StopRecording()
	r.linkMu.Lock()
	hiccup := r.hiccup
	r.linkMu.Unlock()
	out := &Result{Day: d.Name, Policy: "module", Seconds: seconds(d.Length), Broken: r.p.Break,
		HiccupUs: hiccup.Microseconds(), SlackUs: d.Slack + logic.Micros(hiccup.Microseconds())}
	if r.p.Random {
		out.Policy = "random"
	}
	out.Finding = audit.Check(o, out.SlackUs, events)
	out.Rules = out.Finding.Rules()
	f := &out.Finding
	out.Closed = r.open() == 0 && out.Finding.Unclosed == 0
	value, worth := 0.0, 0.0
	for i, name := range d.Sheet.ProfileNames {
		p := &o.Profiles[i]
		line := ProfileLine{Name: name}
		times := hdrhistogram.New(1, 3_600_000_000, 3)
		due, late := 0, 0
		for _, c := range r.callers {
			for _, t := range c.Transactions() {
				if int(t.Profile) != i {
					continue
				}
				line.Asked++
				line.Deferred += t.Outcomes[audit.Deferred]
				line.WrittenOff += t.Outcomes[audit.WrittenOff]
				line.Lost += t.Outcomes[3]
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
		if line.Asked > 0 {
			line.InDueTime, line.Late = float64(due)/float64(line.Asked), float64(late)/float64(line.Asked)
		}
		line.P50, line.P99 = times.ValueAtQuantile(50), times.ValueAtQuantile(99)
		out.Profiles = append(out.Profiles, line)
	}
	if worth > 0 {
		out.Served = value / worth
	}
	if f.Asked > 0 {
		out.HandOffs = float64(f.HandOffs) / float64(f.Asked)
	}
	for i := range events {
		switch e := &events[i]; {
		case e.Kind == audit.Got && e.Build > firstBuild:
			out.Trial++
		case e.Kind == audit.Fell:
			out.Fallen++
		case e.Kind == audit.SentryUp:
			out.Restarted++
		}
	}
	for _, t := range r.desk.StatusChanges() {
		out.Builds = append(out.Builds, BuildTurn{seconds(t.At), int(t.Status.Build), t.Status.Stage,
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
	if err := os.WriteFile(filepath.Join(dir, "report-"+r.Policy+".json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	if len(r.Rules) == 0 {
		return nil
	}
	f, err := os.Create(filepath.Join(dir, "record-"+r.Policy+".jsonl"))
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
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.Policy, p.Name, p.Asked, 100*p.InDueTime,
				100*p.Late, p.Deferred, p.WrittenOff, p.Lost, float64(p.P50)/1e3, float64(p.P99)/1e3)
		}
	}
	tw.Flush()
	for _, r := range results {
		f := &r.Finding
		fmt.Fprintf(w, "\n%s: %.1f%% of the value served in due time; %.3f hand-offs a transaction, %d to later builds; %d workers pushed over\n",
			r.Policy, 100*r.Served, r.HandOffs, r.Trial, r.Fallen)
		fmt.Fprintf(w, "  accounts: %d asked = %d answered + %d left + %d not taken; closed: %v\n", f.Asked, f.Answered, f.Left,
			f.NotTaken, r.Closed)
		if f.Misjudged > 0 {
			fmt.Fprintf(w, "  %d hand-offs had another profile or key than their client meant\n", f.Misjudged)
		}
		for _, b := range r.Builds {
			fmt.Fprintf(w, "  %6.1f s  build %d %s, stage %d, cap %g\n", b.At, b.Build, b.Phase, b.Stage, b.Cap)
		}
		if len(r.Rules) == 0 {
			fmt.Fprintf(w, "  rules: all five hold (slack %.1f ms)\n", float64(r.SlackUs)/1e3)
			continue
		}
		names := []string{}
		for _, n := range r.Rules {
			names = append(names, fmt.Sprintf("%d (%s)", n, audit.RuleNames[n-1]))
		}
		fmt.Fprintf(w, "  rules broken: %v, %d breaches; the first of each:\n", names, len(f.Breaches))
		var shown []int
		for _, b := range f.Breaches {
			if !slices.Contains(shown, b.Rule) {
				shown = append(shown, b.Rule)
				fmt.Fprintln(w, "  "+b.String())
			}
		}
	}
}
