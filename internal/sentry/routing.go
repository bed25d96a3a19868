package sentry

import (
	"errors"
	"sync"

	"scalechute/internal/input"
	"scalechute/internal/match"
	"scalechute/internal/orders"
	"scalechute/internal/routes"
	"scalechute/internal/wire"
	"scalechute/logic"
)

// routing is the routes in use. A transaction that carries attributes is judged when its frame is read, on the poller, by
// the one routing that it finds then; what it got it keeps, however often it is handed off and whatever is loaded later.
type routing struct {
	sheet *orders.Settings
	book  *routes.Book // nil if it has none
	spare sync.Pool    // of *judge
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

func newRouting(sheet *orders.Settings) *routing {
	b := sheet.Routes
	r := &routing{sheet: sheet, book: b}
	if b == nil {
		return r
	}
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
func (s *Sentry) judged(r *routing, e *event, attributes []byte) error {
	if r.book == nil {
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

// Sheet is what the sentry runs by. What is read to be loaded is read beside it.
func (s *Sentry) Settings() *orders.Settings { return s.routing.Load().sheet }

// Reload takes the orders of a sheet that was read anew, whole, between two inputs of the loop. What was taken ends under
// the profile that it came with; nothing that a rule counts starts anew. What a running sentry can't change is refused,
// and the old orders stay.
func (s *Sentry) Reload(sheet *orders.Settings) (err error) {
	err = errors.New("the sentry has stopped, expected it to run")
	s.Inspect(func() { err = s.reorder(sheet) })
	return err
}

// reorder is Reload on the loop.
func (s *Sentry) reorder(sheet *orders.Settings) error {
	if all := s.sheet.Conflicts(sheet); len(all) > 0 {
		return all[0]
	}
	sheet = sheet.KeepSlots(s.sheet)
	asked := s.orders.ListOnRequest
	s.setPeers(sheet)
	s.metrics.name(sheet.ProfileNames)
	s.sheet, s.orders = sheet, &sheet.Policy
	s.routing.Store(newRouting(sheet))
	s.tell(input.Input{Kind: input.Reconfigured, Config: s.orders})
	if s.list.keep = !s.orders.ListOnRequest; asked && s.list.keep {
		s.ends.RequestList(true, s.book.version)
	}
	return nil
}

// Loaded books the outcome of a reload, with what was wrong.
func (s *Sentry) RecordReload(sheet *orders.Settings, err error) {
	if err != nil {
		s.metrics.refused.Inc()
		s.log.Error().Err(err).Msg("orders refused, the old ones stay")
		return
	}
	s.metrics.reloaded.Inc()
	s.log.Info().Str("routes", sheet.Routes.Summary()).Msg("orders loaded")
}
