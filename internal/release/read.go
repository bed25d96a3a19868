// Package release reads release plans from HCL files, and keeps the state of a release on disk. Package plan defines the
// plans, checks them, and runs releases.
package release

import (
	"slices"
	"time"

	"scalechute/internal/hclread"
	"scalechute/internal/plan"
	"scalechute/logic"
)

// Load reads a plan's file and checks the plan, as of the given time.
func Load(name string, now time.Time) (*plan.Plan, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return readPlan(f, now)
}

// Parse is Load for a file that has already been read.
func Parse(name string, source []byte, now time.Time) (*plan.Plan, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return readPlan(f, now)
}

const week = 7 * 24 * time.Hour

// reader builds a plan. It keeps the blocks by type, so that problems of the plan are reported with their location.
type reader struct {
	plan   *plan.Plan
	blocks map[string][]*hclread.Body
}

// readPlan reads and checks a plan.
func readPlan(f *hclread.File, now time.Time) (*plan.Plan, error) {
	r := &reader{plan: &plan.Plan{}, blocks: map[string][]*hclread.Body{}}
	planBlocks := f.Root.Blocks("plan", 1)
	if len(planBlocks) != 1 {
		f.Root.Errorf("found %d blocks plan, expected one", len(planBlocks))
		return nil, f.Err()
	}
	r.readPlanBlock(planBlocks[0])
	names := map[string][]string{}
	for _, blockType := range []string{"window", "group", "approval", "wave"} {
		r.blocks[blockType] = f.Root.Blocks(blockType, 1)
		for _, b := range r.blocks[blockType] {
			if slices.Contains(names[blockType], b.Labels[0]) {
				b.Errorf("%s %s is declared twice, expected once", blockType, b.Labels[0])
			}
			names[blockType] = append(names[blockType], b.Labels[0])
		}
	}
	for _, b := range r.blocks["window"] {
		r.readWindow(b)
	}
	for _, b := range r.blocks["group"] {
		r.plan.Groups = append(r.plan.Groups, plan.Group{Name: b.Labels[0], Members: b.Texts("members", true)})
		b.RejectUnknown()
	}
	for _, b := range r.blocks["approval"] {
		approval := plan.Approval{Name: b.Labels[0], Group: nameIndex(b, "group", names["group"]), Count: b.Int("count", false, 1, 1, 100),
			Valid: duration(b.Duration("valid", true, time.Hour, time.Minute, 4*week))}
		b.RejectUnknown()
		r.plan.Approvals = append(r.plan.Approvals, approval)
	}
	for _, b := range r.blocks["wave"] {
		wave := plan.Wave{Name: b.Labels[0], Share: b.Float("share", true, 1, 0, 1), Cap: b.Float("cap", true, 1, 0, 1),
			Bake: duration(b.Duration("bake", true, 0, 0, 4*week)), On: b.Int("on_votes", false, 1, 0, 100_000),
			Back: b.Int("back_votes", false, 1, 1, 100_000), Hold: b.Bool("hold", false),
			Guarded: nameIndexes(b, "guard", r.plan.Profiles), Windows: nameIndexes(b, "windows", names["window"]),
			Approvals: nameIndexes(b, "approvals", names["approval"])}
		b.RejectUnknown()
		r.plan.Waves = append(r.plan.Waves, wave)
	}
	f.Root.RejectUnknown()
	if err := f.Err(); err != nil { // a plan is checked only if all of it could be read
		return nil, err
	}
	for _, problem := range r.plan.Check(now) {
		b := r.blocks[problem.BlockType][problem.Index]
		if problem.Attribute == "" {
			b.Errorf("%s", problem.Text)
		} else {
			b.AttributeErrorf(problem.Attribute, "%s", problem.Text)
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return r.plan, nil
}

// readPlanBlock reads the block plan.
func (r *reader) readPlanBlock(b *hclread.Body) {
	r.blocks["plan"] = []*hclread.Body{b}
	r.plan.Name = b.Labels[0]
	r.plan.Build = plan.Build(b.Int("build", true, 1, 1, 65535))
	r.plan.Sentries = b.Int("sentries", true, 1, 1, 100_000)
	r.plan.Labels = map[string]string{}
	if b.Has("profiles") {
		r.plan.Profiles = b.Texts("profiles", true)
	}
	if b.Has("labels") {
		for _, pair := range b.Pairs("labels", true) {
			if pair.IsList {
				b.AttributeErrorf("labels", "found a list as %s, expected a text", pair.Name)
				continue
			}
			r.plan.Labels[pair.Name] = pair.Values[0]
		}
	}
	b.RejectUnknown()
}

// dayNames are the names of the days of the week, by time.Weekday.
var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// readWindow reads a block window.
func (r *reader) readWindow(b *hclread.Body) {
	w := plan.Window{Name: b.Labels[0], Zone: time.UTC, To: 24 * 60}
	for _, index := range nameIndexes(b, "days", dayNames) {
		w.Days[index] = true
	}
	if !b.Has("days") {
		w.Days = [7]bool{true, true, true, true, true, true, true}
	}
	for name, target := range map[string]*int{"from": &w.From, "to": &w.To} {
		text := b.Text(name, false, "")
		if text == "" {
			continue
		}
		minute, err := plan.ParseTimeOfDay(text)
		if err != nil {
			b.AttributeErrorf(name, "%v", err)
		}
		*target = minute
	}
	name := b.Text("zone", true, "UTC")
	zone, err := time.LoadLocation(name)
	if err != nil || name == "Local" { // "Local" would be the machine's zone
		b.AttributeErrorf("zone", "found %q, expected a name such as Europe/Berlin", name)
		zone = time.UTC
	}
	w.Zone = zone
	if b.Has("except") {
		for _, text := range b.Texts("except", true) {
			dates, err := plan.ParseDateRange(text)
			if err != nil {
				b.AttributeErrorf("except", "%v", err)
			}
			w.Except = append(w.Except, dates)
		}
	}
	b.RejectUnknown()
	r.plan.Windows = append(r.plan.Windows, w)
}

// nameIndex returns the index in names of the name that an attribute gives.
func nameIndex(b *hclread.Body, attribute string, names []string) int {
	if len(names) == 0 {
		b.Errorf("%s %s: the file has no %s, expected one", b.BlockType, b.Labels[0], attribute)
		return 0
	}
	return b.Enum(attribute, true, 0, names...)
}

// nameIndexes returns the indexes in names of the names that an attribute lists.
func nameIndexes(b *hclread.Body, attribute string, names []string) (indexes []int) {
	if !b.Has(attribute) {
		return nil
	}
	for _, text := range b.Texts(attribute, true) {
		index := slices.Index(names, text)
		if index < 0 {
			b.AttributeErrorf(attribute, "found %q, expected some of %v", text, names)
			continue
		}
		indexes = append(indexes, index)
	}
	return indexes
}

// duration converts microseconds.
func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
