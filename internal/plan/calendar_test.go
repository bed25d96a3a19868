package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func loadZone(t interface{ Fatal(...any) }, name string) *time.Location {
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

func minutes(t *testing.T, s string) int {
	m, err := ParseTimeOfDay(s)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Covers the changes of daylight saving time, midnight, and excepted dates.
func TestOpen(t *testing.T) {
	everyDay := [7]bool{true, true, true, true, true, true, true}
	friday := [7]bool{time.Friday: true}
	for _, x := range []struct {
		w    Window
		at   string // in UTC
		open bool
	}{
		// 25 October 2026, Berlin: the hour from 02:00 occurs at 00:00 and again at 01:00 UTC.
		{Window{Days: everyDay, From: minutes(t, "02:00"), To: minutes(t, "03:00"), Zone: loadZone(t, "Europe/Berlin")}, "2026-10-25T00:30:00Z", true},
		{Window{Days: everyDay, From: minutes(t, "02:00"), To: minutes(t, "03:00"), Zone: loadZone(t, "Europe/Berlin")}, "2026-10-25T01:30:00Z", true},
		{Window{Days: everyDay, From: minutes(t, "02:00"), To: minutes(t, "03:00"), Zone: loadZone(t, "Europe/Berlin")}, "2026-10-25T02:00:00Z", false},
		// 29 March 2026: this hour does not occur.
		{Window{Days: everyDay, From: minutes(t, "02:00"), To: minutes(t, "03:00"), Zone: loadZone(t, "Europe/Berlin")}, "2026-03-29T00:59:59Z", false},
		{Window{Days: everyDay, From: minutes(t, "02:00"), To: minutes(t, "03:00"), Zone: loadZone(t, "Europe/Berlin")}, "2026-03-29T01:00:00Z", false},
		// A window over midnight belongs to the day on which it opens.
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "02:00"), Zone: time.UTC}, "2026-12-04T22:00:00Z", true},
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "02:00"), Zone: time.UTC}, "2026-12-05T01:59:59Z", true},
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "02:00"), Zone: time.UTC}, "2026-12-05T02:00:00Z", false},
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "02:00"), Zone: time.UTC}, "2026-12-04T01:00:00Z", false},
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "24:00"), Zone: time.UTC,
			Except: []DateRange{{20261204, 20261204}}}, "2026-12-04T23:00:00Z", false},
		{Window{Days: friday, From: minutes(t, "22:00"), To: minutes(t, "24:00"), Zone: time.UTC,
			Except: []DateRange{{20261203, 20261203}}}, "2026-12-04T23:59:59Z", true},
		// The date is that of the window's zone: in Kingston it is still Friday.
		{Window{Days: friday, From: 0, To: minutes(t, "24:00"), Zone: loadZone(t, "America/Jamaica")}, "2026-12-05T04:59:59Z", true},
		{Window{Days: friday, From: 0, To: minutes(t, "24:00"), Zone: loadZone(t, "America/Jamaica")}, "2026-12-05T05:00:00Z", false},
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
	if at, exists := never.NextTime(time.Unix(1_800_000_000, 0), true); exists {
		t.Errorf("a window that is always closed opens at %v", at)
	}
}

// NextTime finds the same times as a search minute by minute, in zones whose offset changes by an hour or half an hour.
func TestNextTime(t *testing.T) {
	zones := []*time.Location{time.UTC}
	for _, name := range []string{"Europe/Berlin", "Australia/Lord_Howe", "America/Jamaica", "Asia/Kathmandu", "America/St_Johns", "Africa/Casablanca"} {
		zones = append(zones, loadZone(t, name))
	}
	changes := []time.Time{time.Date(2026, 3, 29, 1, 0, 0, 0, time.UTC), time.Date(2026, 10, 25, 1, 0, 0, 0, time.UTC),
		time.Date(2026, 4, 4, 15, 0, 0, 0, time.UTC), time.Date(2026, 10, 3, 15, 30, 0, 0, time.UTC), time.Date(2026, 3, 8, 5, 30, 0, 0, time.UTC),
		time.Date(2026, 11, 1, 4, 30, 0, 0, time.UTC), time.Date(2026, 12, 31, 22, 0, 0, 0, time.UTC)}
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), From: rapid.IntRange(0, minutesPerDay-1).Draw(t, "from"),
			To: rapid.IntRange(0, minutesPerDay).Draw(t, "to")}
		for i := range w.Days {
			w.Days[i] = rapid.Bool().Draw(t, "day")
		}
		start := rapid.SampledFrom(changes).Draw(t, "change").
			Add(time.Duration(rapid.IntRange(-2*minutesPerDay, minutesPerDay).Draw(t, "minutes")) * time.Minute)
		if rapid.Bool().Draw(t, "except") {
			on := start.AddDate(0, 0, rapid.IntRange(0, 2).Draw(t, "on"))
			w.Except = []DateRange{{dateNumber(on), dateNumber(on)}}
		}
		want := rapid.Bool().Draw(t, "open")
		at, exists := w.NextTime(start, want)
		for m := start; m.Before(start.Add(4 * minutesPerDay * time.Minute)); m = m.Add(time.Minute) {
			if w.IsOpen(m) == want {
				if !exists || !at.Equal(m) {
					t.Fatalf("next time with open %v: found %v, %v, expected %v", want, at, exists, m)
				}
				found++
				return
			}
		}
		if exists && at.Before(start.Add(4*minutesPerDay*time.Minute)) {
			t.Fatalf("next time with open %v: found %v, expected none", want, at)
		}
	})
	if found < 50 {
		t.Errorf("only %d cases had a next time, expected at least 50", found)
	}
}

func TestParse(t *testing.T) {
	for s, want := range map[string]int{"00:00": 0, "09:30": 570, "24:00": minutesPerDay, "24:01": -1, "9:30": -1, "": -1, "12:60": -1, "noon": -1} {
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
