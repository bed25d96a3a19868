// Package plan decides how a release goes: when a wave may begin, what it waits for, and what its plan can never come to.
// It does no I/O, has no clock of its own and starts nothing: times are handed in.
package plan

import (
	"fmt"
	"slices"
	"time"
	_ "time/tzdata" // zones do not depend on the machine
)

// Window is when a wave may begin, by the clock on the wall of one zone. Hours that a change of summer time leaves out do
// not come; an hour that comes twice is open both times.
type Window struct {
	Name     string
	Days     [7]bool // by time.Weekday: on which it opens
	From, To int     // minutes from midnight; To before or at From is on the next day
	Zone     *time.Location
	Except   []DateRange // dates on which it is shut
}

// Span is dates, both included, as year*10000 + month*100 + day.
type DateRange struct{ First, Last int }

const day = 24 * 60

func date(t time.Time) int { return t.Year()*10000 + int(t.Month())*100 + t.Day() }

// Open says whether a moment lies in the window.
func (w *Window) IsOpen(t time.Time) bool {
	t = t.In(w.Zone)
	today := date(t)
	if slices.ContainsFunc(w.Except, func(s DateRange) bool { return s.First <= today && today <= s.Last }) {
		return false
	}
	minute, on := t.Hour()*60+t.Minute(), int(t.Weekday())
	if w.From < w.To {
		return w.Days[on] && w.From <= minute && minute < w.To
	}
	return w.Days[on] && w.From <= minute || w.Days[(on+6)%7] && minute < w.To
}

// horizon is how far ahead a window is looked for.
const horizon = 3 * 366 * 24 * time.Hour

// Next is the first moment from t on at which the window is open, or shut. False if there is none in three years.
func (w *Window) NextTime(t time.Time, open bool) (time.Time, bool) {
	for end := t.Add(horizon); t.Before(end); t = w.boundary(t) {
		if w.IsOpen(t) == open {
			return t, true
		}
	}
	return time.Time{}, false
}

// boundary is the first moment after t at which the window may open or shut: a midnight, one of its hours, or a change of
// the zone's offset, whichever comes first. Between two such moments the clock on the wall runs evenly.
func (w *Window) boundary(t time.Time) time.Time {
	local := t.In(w.Zone)
	into := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second + time.Duration(local.Nanosecond())
	next := t.Add(day*time.Minute - into)
	for _, minute := range [2]int{w.From, w.To} {
		if at := time.Duration(minute) * time.Minute; at > into && t.Add(at-into).Before(next) {
			next = t.Add(at - into)
		}
	}
	if _, end := local.ZoneBounds(); !end.IsZero() && end.After(t) && end.Before(next) {
		next = end
	}
	return next
}

// ParseClock reads 09:30 as minutes from midnight; 24:00 is the end of the day.
func ParseTimeOfDay(s string) (int, error) {
	if s == "24:00" {
		return day, nil
	}
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != 5 {
		return 0, fmt.Errorf("found %q, expected a time as 09:30", s)
	}
	return t.Hour()*60 + t.Minute(), nil
}

// ParseSpan reads a date as 2026-12-24, or two with " to " between.
func ParseDateRange(s string) (DateRange, error) {
	var dates [2]int
	first, last, two := s, "", false
	if len(s) == 24 && s[10:14] == " to " {
		first, last, two = s[:10], s[14:], true
	}
	for i, part := range []string{first, last} {
		if i == 1 && !two {
			dates[1] = dates[0]
			break
		}
		t, err := time.Parse("2006-01-02", part)
		if err != nil {
			return DateRange{}, fmt.Errorf("found %q, expected a date as 2026-12-24, or two with \" to \" between", s)
		}
		dates[i] = date(t)
	}
	if dates[1] < dates[0] {
		return DateRange{}, fmt.Errorf("found %q, expected its second date not before its first", s)
	}
	return DateRange{dates[0], dates[1]}, nil
}
