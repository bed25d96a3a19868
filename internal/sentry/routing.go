package sentry

import (
	"errors"
	"reflect"
	"slices"
	"sync"

	"scalechute/internal/match"
	"scalechute/internal/orders"
	"scalechute/internal/routes"
	"scalechute/internal/wire"
	"scalechute/logic"
)

// routing is the routes in use. A transaction that carries attributes is judged when its frame is read, on the poller, by
// the one routing that it finds then; what it got it keeps, however often it is handed off and whatever is loaded later.
type routing struct {
	book  *routes.Book
	spare sync.Pool // of *judge
}

// judge is what reading and matching one transaction needs.
type judge struct {
	book   *routes.Book
	record *match.Record
	reader wire.AttributeReader
	key    []byte
	nth    int   // attribute of this transaction
	order  []int // places of the attributes, as the last one had them: most clients keep to one order
	at     int   // of the attribute in hand
	wanted func(name []byte) bool
	put    func(v *match.Carried)

	unknown, misfits int
}

// newRouting is nil without a book.
func newRouting(b *routes.Book) *routing {
	if b == nil {
		return nil
	}
	r := &routing{book: b}
	r.spare.New = func() any {
		j := &judge{book: b, record: b.Schema.NewRecord(), order: make([]int, len(b.Schema.Attributes))}
		j.wanted, j.put = j.want, func(v *match.Carried) {
			if b.Schema.Put(j.record, j.at, v) != nil {
				j.misfits++
			}
		}
		return j
	}
	return r
}

// want finds an attribute's place, and says whether anything depends on it.
func (j *judge) want(name []byte) bool {
	s, n := j.book.Schema, j.nth
	j.nth++
	if n >= len(j.order) {
		j.at = s.At(name)
	} else if j.at = j.order[n]; j.at < 0 || s.Attributes[j.at].Name != string(name) {
		j.at = s.At(name)
		j.order[n] = j.at
	}
	if j.at < 0 {
		j.unknown++
		return false
	}
	return j.book.Table.Needs[j.at]
}

// Why a transaction with attributes is not taken.
const (
	notAbsent = iota + 1 // an attribute that must be there is missing
	notMatched
	notLoaded // the sentry has no routes
)

var unroutedNames = [...]string{notAbsent: "absent", notMatched: "no_match", notLoaded: "no_routes"}

// judged fills in an event what its transaction's attributes say: profile, account and key, or why it is not taken.
func (s *Sentry) judged(e *event, attributes []byte) error {
	r := s.routing.Load()
	if r == nil {
		e.unrouted = notLoaded
		return nil
	}
	j := r.spare.Get().(*judge)
	defer r.spare.Put(j)
	j.record.Clear()
	j.nth, j.unknown, j.misfits = 0, 0, 0
	if err := j.reader.Read(attributes, j.wanted, j.put); err != nil {
		return fault("attributes that can't be read", "a message as the schema has it")
	}
	if j.unknown > 0 {
		s.metrics.unknown.Add(float64(j.unknown))
	}
	if j.misfits > 0 {
		s.metrics.misfits.Add(float64(j.misfits))
	}
	if r.book.Schema.Absent(j.record) >= 0 {
		e.unrouted = notAbsent
		return nil
	}
	at := r.book.Table.First(j.record)
	if at < 0 {
		e.unrouted = notMatched
		return nil
	}
	x := &r.book.Table.Routes[at]
	j.key = r.book.Table.AppendKey(at, j.key[:0], j.record)
	e.profile, e.account, e.key = uint32(x.Profile), uint32(x.Account), logic.Key(j.key)
	return nil
}

// ErrOtherNames refuses routes whose file has other profiles or accounts than the sentry runs with.
var ErrOtherNames = errors.New("profiles or accounts are not those that the sentry runs with, expected the same: they change with a new start")

// Reload takes the routes of a sheet that was read anew; from then on every transaction is judged by them. The sheet is
// whole and without faults. Whether all else in it is as the sentry runs with comes back too: it takes effect at the
// next start.
func (s *Sentry) Reload(sheet *orders.Sheet) (same bool, err error) {
	if !slices.Equal(sheet.ProfileNames, s.sheet.ProfileNames) || !slices.Equal(sheet.AccountNames, s.sheet.AccountNames) {
		return false, ErrOtherNames
	}
	s.routing.Store(newRouting(sheet.Routes))
	now, then := *sheet, *s.sheet
	now.Routes, then.Routes = nil, nil
	return reflect.DeepEqual(&now, &then), nil
}

// Loaded books the outcome of a reload, with what was wrong.
func (s *Sentry) Loaded(sheet *orders.Sheet, same bool, err error) {
	if err != nil {
		s.metrics.refused.Inc()
		s.log.Error().Err(err).Msg("routes refused, the old ones stay")
		return
	}
	s.metrics.reloaded.Inc()
	s.log.Info().Str("routes", sheet.Routes.Summary()).Msg("routes loaded")
	if !same {
		s.log.Warn().Msg("other blocks of the file have changed: they take effect at the next start")
	}
}
