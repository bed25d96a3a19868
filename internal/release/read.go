// Package release reads release plans. What they mean and whether they can come to anything is in internal/plan.
package release

import (
	"slices"
	"time"

	"scalechute/internal/hclread"
	"scalechute/internal/plan"
	"scalechute/logic"
)

// Load reads a plan's file and checks it whole, as of a moment.
func Load(name string, now time.Time) (*plan.Plan, error) {
	f, err := hclread.Open(name)
	if err != nil {
		return nil, err
	}
	return read(f, now)
}

// Parse is Load for what was read already.
func Parse(name string, source []byte, now time.Time) (*plan.Plan, error) {
	f, err := hclread.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return read(f, now)
}

const week = 7 * 24 * time.Hour

// reader keeps the blocks of each kind, so that a fault of the plan is told where it stands.
type reader struct {
	p      *plan.Plan
	blocks map[string][]*hclread.Body
}

func read(f *hclread.File, now time.Time) (*plan.Plan, error) {
	r := &reader{p: &plan.Plan{}, blocks: map[string][]*hclread.Body{}}
	head := f.Root.Blocks("plan", 1)
	if len(head) != 1 {
		f.Root.Errorf("found %d blocks plan, expected one", len(head))
		return nil, f.Err()
	}
	r.head(head[0])
	names := map[string][]string{}
	for _, kind := range []string{"window", "group", "approval", "wave"} {
		r.blocks[kind] = f.Root.Blocks(kind, 1)
		for _, b := range r.blocks[kind] {
			if slices.Contains(names[kind], b.Labels[0]) {
				b.Errorf("%s %s is declared twice, expected once", kind, b.Labels[0])
			}
			names[kind] = append(names[kind], b.Labels[0])
		}
	}
	for _, b := range r.blocks["window"] {
		r.window(b)
	}
	for _, b := range r.blocks["group"] {
		r.p.Groups = append(r.p.Groups, plan.Group{Name: b.Labels[0], Members: b.Texts("members", true)})
		b.RejectUnknown()
	}
	for _, b := range r.blocks["approval"] {
		a := plan.Approval{Name: b.Labels[0], Group: one(b, "group", names["group"]), Count: b.Int("count", false, 1, 1, 100),
			Valid: span(b.Duration("valid", true, time.Hour, time.Minute, 4*week))}
		b.RejectUnknown()
		r.p.Approvals = append(r.p.Approvals, a)
	}
	for _, b := range r.blocks["wave"] {
		w := plan.Wave{Name: b.Labels[0], Share: b.Float("share", true, 1, 0, 1), Cap: b.Float("cap", true, 1, 0, 1),
			Bake: span(b.Duration("bake", true, 0, 0, 4*week)), On: b.Int("on_votes", false, 1, 0, 100_000),
			Back: b.Int("back_votes", false, 1, 1, 100_000), Hold: b.Bool("hold", false),
			Guarded: several(b, "guard", r.p.Profiles), Windows: several(b, "windows", names["window"]),
			Approvals: several(b, "approvals", names["approval"])}
		b.RejectUnknown()
		r.p.Waves = append(r.p.Waves, w)
	}
	f.Root.RejectUnknown()
	if err := f.Err(); err != nil { // what the plan means is looked at only if it could be read
		return nil, err
	}
	for _, x := range r.p.Check(now) {
		b := r.blocks[x.BlockType][x.Index]
		if x.Attribute == "" {
			b.Errorf("%s", x.Text)
		} else {
			b.AttributeErrorf(x.Attribute, "%s", x.Text)
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return r.p, nil
}

func (r *reader) head(b *hclread.Body) {
	r.blocks["plan"] = []*hclread.Body{b}
	r.p.Name = b.Labels[0]
	r.p.Build = plan.Build(b.Int("build", true, 1, 1, 65535))
	r.p.Sentries = b.Int("sentries", true, 1, 1, 100_000)
	r.p.Labels = map[string]string{}
	if b.Has("profiles") {
		r.p.Profiles = b.Texts("profiles", true)
	}
	if b.Has("labels") {
		for _, pair := range b.Pairs("labels", true) {
			if pair.IsList {
				b.AttributeErrorf("labels", "found a list as %s, expected a text", pair.Name)
				continue
			}
			r.p.Labels[pair.Name] = pair.Values[0]
		}
	}
	b.RejectUnknown()
}

var days = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func (r *reader) window(b *hclread.Body) {
	w := plan.Window{Name: b.Labels[0], Zone: time.UTC, To: 24 * 60}
	for _, at := range several(b, "days", days) {
		w.Days[at] = true
	}
	if !b.Has("days") {
		w.Days = [7]bool{true, true, true, true, true, true, true}
	}
	for name, to := range map[string]*int{"from": &w.From, "to": &w.To} {
		text := b.Text(name, false, "")
		if text == "" {
			continue
		}
		minute, err := plan.ParseTimeOfDay(text)
		if err != nil {
			b.AttributeErrorf(name, "%v", err)
		}
		*to = minute
	}
	name := b.Text("zone", true, "UTC")
	zone, err := time.LoadLocation(name)
	if err != nil || name == "Local" { // that of the machine is no name
		b.AttributeErrorf("zone", "found %q, expected a name such as Europe/Berlin", name)
		zone = time.UTC
	}
	w.Zone = zone
	if b.Has("except") {
		for _, text := range b.Texts("except", true) {
			s, err := plan.ParseDateRange(text)
			if err != nil {
				b.AttributeErrorf("except", "%v", err)
			}
			w.Except = append(w.Except, s)
		}
	}
	b.RejectUnknown()
	r.p.Windows = append(r.p.Windows, w)
}

// one is the place of a name among others, several those of a list of names.
func one(b *hclread.Body, attribute string, names []string) int {
	if len(names) == 0 {
		b.Errorf("%s %s: the file has no %s, expected one", b.Kind, b.Labels[0], attribute)
		return 0
	}
	return b.Enum(attribute, true, 0, names...)
}

func several(b *hclread.Body, attribute string, names []string) (places []int) {
	if !b.Has(attribute) {
		return nil
	}
	for _, text := range b.Texts(attribute, true) {
		at := slices.Index(names, text)
		if at < 0 {
			b.AttributeErrorf(attribute, "found %q, expected some of %v", text, names)
			continue
		}
		places = append(places, at)
	}
	return places
}

func span(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
