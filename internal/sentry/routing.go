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
	settings *orders.Settings
	routeSet *routes.Book // nil if it has none
	matchers sync.Pool    // of *judge
}

// judge is what reading and matching one transaction needs.
type matcher struct {
	routeSet       *routes.Book
	record         *match.Record
	reader         wire.AttributeReader
	key            []byte
	attributeIndex int   // attribute of this transaction
	lastSlots      []int // places of the attributes, as the last one had them: most clients keep to one order
	schemaSlot     int   // of the attribute in hand
	isNeededFunc   func(name []byte) bool
	storeFunc      func(v *match.Carried)

	unknownAttributes, typeMismatches int
}

func newRouting(settings *orders.Settings) *routing {
	b := settings.Routes
	r := &routing{settings: settings, routeSet: b}
	if b == nil {
		return r
	}
	r.matchers.New = func() any {
		j := &matcher{routeSet: b, record: b.Schema.NewRecord(), lastSlots: make([]int, len(b.Schema.Attributes))}
		j.isNeededFunc, j.storeFunc = j.isNeeded, func(v *match.Carried) {
			if b.Schema.Put(j.record, j.schemaSlot, v) != nil {
				j.typeMismatches++
			}
		}
		return j
	}
	return r
}

// want finds an attribute's place, and says whether anything depends on it.
func (j *matcher) isNeeded(name []byte) bool {
	s, n := j.routeSet.Schema, j.attributeIndex
	j.attributeIndex++
	if n >= len(j.lastSlots) {
		j.schemaSlot = s.At(name)
	} else if j.schemaSlot = j.lastSlots[n]; j.schemaSlot < 0 || s.Attributes[j.schemaSlot].Name != string(name) {
		j.schemaSlot = s.At(name)
		j.lastSlots[n] = j.schemaSlot
	}
	if j.schemaSlot < 0 {
		j.unknownAttributes++
		return false
	}
	return j.routeSet.Table.Needs[j.schemaSlot]
}

// Why a transaction with attributes is not taken.
const (
	reasonAbsent = iota + 1 // an attribute that must be there is missing
	reasonNoMatch
	reasonNoRoutes // the sentry has no routes
)

var noRouteReasonNames = [...]string{reasonAbsent: "absent", reasonNoMatch: "no_match", reasonNoRoutes: "no_routes"}

// judged fills in an event what its transaction's attributes say: profile, account and key, or why it is not taken.
func (s *Sentry) routeTransaction(r *routing, e *event, attributes []byte) error {
	if r.routeSet == nil {
		e.noRouteReason = reasonNoRoutes
		return nil
	}
	j := r.matchers.Get().(*matcher)
	defer r.matchers.Put(j)
	j.record.Clear()
	j.attributeIndex, j.unknownAttributes, j.typeMismatches = 0, 0, 0
	if err := j.reader.Read(attributes, j.isNeededFunc, j.storeFunc); err != nil {
		return invalid("attributes that can't be read", "a message as the schema has it")
	}
	if j.unknownAttributes > 0 {
		s.metrics.unknownAttributes.Add(float64(j.unknownAttributes))
	}
	if j.typeMismatches > 0 {
		s.metrics.typeMismatches.Add(float64(j.typeMismatches))
	}
	if r.routeSet.Schema.Absent(j.record) >= 0 {
		e.noRouteReason = reasonAbsent
		return nil
	}
	at := r.routeSet.Table.First(j.record)
	if at < 0 {
		e.noRouteReason = reasonNoMatch
		return nil
	}
	x := &r.routeSet.Table.Routes[at]
	j.key = r.routeSet.Table.AppendKey(at, j.key[:0], j.record)
	e.profile, e.account, e.key = uint32(x.Profile), uint32(x.Account), logic.Key(j.key)
	return nil
}

// Sheet is what the sentry runs by. What is read to be loaded is read beside it.
func (s *Sentry) Settings() *orders.Settings { return s.routing.Load().settings }

// Reload takes the orders of a sheet that was read anew, whole, between two inputs of the loop. What was taken ends under
// the profile that it came with; nothing that a rule counts starts anew. What a running sentry can't change is refused,
// and the old orders stay.
func (s *Sentry) Reload(settings *orders.Settings) (err error) {
	err = errors.New("the sentry has stopped, expected it to run")
	s.Inspect(func() { err = s.applySettings(settings) })
	return err
}

// reorder is Reload on the loop.
func (s *Sentry) applySettings(settings *orders.Settings) error {
	if conflicts := s.settings.Conflicts(settings); len(conflicts) > 0 {
		return conflicts[0]
	}
	settings = settings.KeepSlots(s.settings)
	wasOnRequest := s.config.ListOnRequest
	s.setPeers(settings)
	s.metrics.setProfiles(settings.ProfileNames)
	s.settings, s.config = settings, &settings.Policy
	s.routing.Store(newRouting(settings))
	s.deliver(input.Input{Kind: input.Reconfigured, Config: s.config})
	if s.discovery.persistent = !s.config.ListOnRequest; wasOnRequest && s.discovery.persistent {
		s.transport.RequestList(true, s.workerList.version)
	}
	return nil
}

// Loaded books the outcome of a reload, with what was wrong.
func (s *Sentry) RecordReload(settings *orders.Settings, err error) {
	if err != nil {
		s.metrics.settingsRefused.Inc()
		s.log.Error().Err(err).Msg("orders refused, the old ones stay")
		return
	}
	s.metrics.settingsLoaded.Inc()
	s.log.Info().Str("routes", settings.Routes.Summary()).Msg("orders loaded")
}
