package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func zone(t interface{ Fatal(...any) }, name string) *time.Location {
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

func clock(t *testing.T, s string) int {
	m, err := ParseTimeOfDay(s)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Around the changes of summer time, at midnight and on dates that are left out.
func TestOpen(t *testing.T) {
	all := [7]bool{true, true, true, true, true, true, true}
	friday := [7]bool{time.Friday: true}
	for _, x := range []struct {
		w    Window
		at   string // in UTC
		open bool
	}{
		// 25 October 2026, Berlin: the hour from 02:00 comes at 00:00 and at 01:00 UTC.
		{Window{Days: all, From: clock(t, "02:00"), To: clock(t, "03:00"), Zone: zone(t, "Europe/Berlin")}, "2026-10-25T00:30:00Z", true},
		{Window{Days: all, From: clock(t, "02:00"), To: clock(t, "03:00"), Zone: zone(t, "Europe/Berlin")}, "2026-10-25T01:30:00Z", true},
		{Window{Days: all, From: clock(t, "02:00"), To: clock(t, "03:00"), Zone: zone(t, "Europe/Berlin")}, "2026-10-25T02:00:00Z", false},
		// 29 March 2026: it does not come at all.
		{Window{Days: all, From: clock(t, "02:00"), To: clock(t, "03:00"), Zone: zone(t, "Europe/Berlin")}, "2026-03-29T00:59:59Z", false},
		{Window{Days: all, From: clock(t, "02:00"), To: clock(t, "03:00"), Zone: zone(t, "Europe/Berlin")}, "2026-03-29T01:00:00Z", false},
		// Over midnight, it belongs to the day on which it opens.
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "02:00"), Zone: time.UTC}, "2026-12-04T22:00:00Z", true},
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "02:00"), Zone: time.UTC}, "2026-12-05T01:59:59Z", true},
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "02:00"), Zone: time.UTC}, "2026-12-05T02:00:00Z", false},
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "02:00"), Zone: time.UTC}, "2026-12-04T01:00:00Z", false},
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "24:00"), Zone: time.UTC, Except: []DateRange{{20261204, 20261204}}}, "2026-12-04T23:00:00Z", false},
		{Window{Days: friday, From: clock(t, "22:00"), To: clock(t, "24:00"), Zone: time.UTC, Except: []DateRange{{20261203, 20261203}}}, "2026-12-04T23:59:59Z", true},
		// The date is that of the zone: in Kingston it is still Friday.
		{Window{Days: friday, From: 0, To: clock(t, "24:00"), Zone: zone(t, "America/Jamaica")}, "2026-12-05T04:59:59Z", true},
		{Window{Days: friday, From: 0, To: clock(t, "24:00"), Zone: zone(t, "America/Jamaica")}, "2026-12-05T05:00:00Z", false},
	} {
		at, err := time.Parse(time.RFC3339, x.at)
		if err != nil {
			t.Fatal(err)
		}
		if got := x.w.IsOpen(at); got != x.open {
			t.Errorf("%s of %d to %d in %v: open %v", x.at, x.w.From, x.w.To, x.w.Zone, got)
		}
	}
	never := Window{Days: friday, From: 0, To: 60, Zone: time.UTC, Except: []DateRange{{20200101, 20990101}}}
	if at, is := never.NextTime(time.Unix(1_800_000_000, 0), true); is {
		t.Errorf("a window that is always shut opens at %v", at)
	}
}

// The next opening and shutting are what stepping by minutes finds, in zones with changes of an hour and of half an hour.
func TestNextIsTheNext(t *testing.T) {
	zones := []*time.Location{time.UTC}
	for _, name := range []string{"Europe/Berlin", "Australia/Lord_Howe", "America/Jamaica", "Asia/Kathmandu", "America/St_Johns", "Africa/Casablanca"} {
		zones = append(zones, zone(t, name))
	}
	changes := []time.Time{time.Date(2026, 3, 29, 1, 0, 0, 0, time.UTC), time.Date(2026, 10, 25, 1, 0, 0, 0, time.UTC),
		time.Date(2026, 4, 4, 15, 0, 0, 0, time.UTC), time.Date(2026, 10, 3, 15, 30, 0, 0, time.UTC), time.Date(2026, 3, 8, 5, 30, 0, 0, time.UTC),
		time.Date(2026, 11, 1, 4, 30, 0, 0, time.UTC), time.Date(2026, 12, 31, 22, 0, 0, 0, time.UTC)}
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), From: rapid.IntRange(0, day-1).Draw(t, "from"), To: rapid.IntRange(0, day).Draw(t, "to")}
		for i := range w.Days {
			w.Days[i] = rapid.Bool().Draw(t, "day")
		}
		start := rapid.SampledFrom(changes).Draw(t, "change").Add(time.Duration(rapid.IntRange(-2*day, day).Draw(t, "minutes")) * time.Minute)
		if rapid.Bool().Draw(t, "except") {
			on := start.AddDate(0, 0, rapid.IntRange(0, 2).Draw(t, "on"))
			w.Except = []DateRange{{date(on), date(on)}}
		}
		want := rapid.Bool().Draw(t, "open")
		at, is := w.NextTime(start, want)
		for m := start; m.Before(start.Add(4 * day * time.Minute)); m = m.Add(time.Minute) {
			if w.IsOpen(m) == want {
				if !is || !at.Equal(m) {
					t.Fatalf("next %v at %v %v, by minutes at %v", want, at, is, m)
				}
				found++
				return
			}
		}
		if is && at.Before(start.Add(4*day*time.Minute)) {
			t.Fatalf("next %v at %v, by minutes not", want, at)
		}
	})
	if found < 50 {
		t.Errorf("only %d were found", found)
	}
}

func TestParse(t *testing.T) {
	for s, want := range map[string]int{"00:00": 0, "09:30": 570, "24:00": day, "24:01": -1, "9:30": -1, "": -1, "12:60": -1, "noon": -1} {
		if m, err := ParseTimeOfDay(s); (err != nil) != (want < 0) || err == nil && m != want {
			t.Errorf("%q: %d %v", s, m, err)
		}
	}
	for s, want := range map[string]DateRange{"2026-12-24": {20261224, 20261224}, "2026-12-24 to 2027-01-02": {20261224, 20270102},
		"2026-12-24 to 2026-12-23": {}, "2026-02-30": {}, "2026-12-24 to ": {}, "": {}} {
		if s2, err := ParseDateRange(s); (err != nil) != (want == DateRange{}) || s2 != want {
			t.Errorf("%q: %v %v", s, s2, err)
		}
	}
}
