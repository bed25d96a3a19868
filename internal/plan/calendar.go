// Package plan contains release plans and the state machine that follows one. A Plan divides a release into waves, which
// start in windows of the calendar and wait for votes and approvals. Check finds plans that can never be completed, and a
// Release takes events and returns the actions to carry out. The package does no I/O, starts no goroutine and reads no
// clock: callers pass in the time.
package plan

import (
	"fmt"
	"slices"
	"time"
	_ "time/tzdata" // time zones do not depend on the machine
)

// Window is a time window in which a wave may start, by the local time of a zone. An hour that is skipped when daylight
// saving time starts does not occur. In an hour that is repeated when it ends, the window is open both times.
type Window struct {
	Name     string
	Days     [7]bool // by time.Weekday: the days on which it opens
	From, To int     // minutes after midnight; a To at or before From is on the next day
	Zone     *time.Location
	Except   []DateRange // dates on which it is closed
}

// DateRange is a range of dates, both included, as year*10000 + month*100 + day.
type DateRange struct{ First, Last int }

// minutesPerDay is the time of day 24:00, in minutes after midnight.
const minutesPerDay = 24 * 60

// dateNumber returns a date in the form that DateRange uses.
func dateNumber(t time.Time) int { return t.Year()*10000 + int(t.Month())*100 + t.Day() }

// IsOpen reports whether a time is within the window.
func (w *Window) IsOpen(t time.Time) bool {
	t = t.In(w.Zone)
	today := dateNumber(t)
	if slices.ContainsFunc(w.Except, func(dates DateRange) bool { return dates.First <= today && today <= dates.Last }) {
		return false
	}
	minute, weekday := t.Hour()*60+t.Minute(), int(t.Weekday())
	if w.From < w.To {
		return w.Days[weekday] && w.From <= minute && minute < w.To
	}
	return w.Days[weekday] && w.From <= minute || w.Days[(weekday+6)%7] && minute < w.To
}

// searchHorizon bounds how far ahead NextTime searches: three years.
const searchHorizon = 3 * 366 * 24 * time.Hour

// NextTime returns the first time from t on at which the window is open, or closed if open is false. It returns false if
// there is none within three years.
func (w *Window) NextTime(t time.Time, open bool) (time.Time, bool) {
	for end := t.Add(searchHorizon); t.Before(end); t = w.nextBoundary(t) {
		if w.IsOpen(t) == open {
			return t, true
		}
	}
	return time.Time{}, false
}

// nextBoundary returns the first time after t at which the window may open or close: midnight, From, To, or a change of
// the zone's UTC offset, whichever comes first. Between two such times local time runs evenly.
func (w *Window) nextBoundary(t time.Time) time.Time {
	local := t.In(w.Zone)
	sinceMidnight := time.Duration(local.Hour())*time.Hour + time.Duration(local.Minute())*time.Minute +
		time.Duration(local.Second())*time.Second + time.Duration(local.Nanosecond())
	next := t.Add(minutesPerDay*time.Minute - sinceMidnight)
	for _, minute := range [2]int{w.From, w.To} {
		if offset := time.Duration(minute) * time.Minute; offset > sinceMidnight && t.Add(offset-sinceMidnight).Before(next) {
			next = t.Add(offset - sinceMidnight)
		}
	}
	if _, end := local.ZoneBounds(); !end.IsZero() && end.After(t) && end.Before(next) {
		next = end
	}
	return next
}

// ParseTimeOfDay parses a time of day such as 09:30 into minutes after midnight. 24:00 is the end of the day.
func ParseTimeOfDay(s string) (int, error) {
	if s == "24:00" {
		return minutesPerDay, nil
	}
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != 5 {
		return 0, fmt.Errorf("found %q, expected a time such as 09:30", s)
	}
	return t.Hour()*60 + t.Minute(), nil
}

// ParseDateRange parses a date such as 2026-12-24, or two dates with " to " between them.
func ParseDateRange(s string) (DateRange, error) {
	var dates [2]int
	first, last, isRange := s, "", false
	if len(s) == 24 && s[10:14] == " to " {
		first, last, isRange = s[:10], s[14:], true
	}
	for i, part := range []string{first, last} {
		if i == 1 && !isRange {
			dates[1] = dates[0]
			break
		}
		t, err := time.Parse("2006-01-02", part)
		if err != nil {
			return DateRange{}, fmt.Errorf("found %q, expected a date such as 2026-12-24, or two dates with \" to \" between them", s)
		}
		dates[i] = dateNumber(t)
	}
	if dates[1] < dates[0] {
		return DateRange{}, fmt.Errorf("found %q, expected the second date not to be before the first", s)
	}
	return DateRange{dates[0], dates[1]}, nil
}
