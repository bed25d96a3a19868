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

// routing is a snapshot of the settings and the routes in use. A transaction with attributes is routed once, when its
// frame is read on the poller. It keeps the profile, account and key that it got then for all its hand-offs, also
// across reloads.
type routing struct {
	settings *orders.Settings
	routeSet *routes.RouteSet // nil if the settings have no routes
	matchers sync.Pool        // of *matcher
}

// matcher holds the buffers for reading and matching the attributes of one transaction.
type matcher struct {
	routeSet       *routes.RouteSet
	record         *match.Record
	reader         wire.AttributeReader
	key            []byte
	attributeIndex int   // position of the current attribute in the transaction
	lastSlots      []int // schema slots by position, from earlier transactions: most clients send attributes in the same order
	schemaSlot     int   // schema slot of the current attribute, -1 if it is not declared
	isNeededFunc   func(name []byte) bool
	storeFunc      func(v *match.RawValue)

	unknownAttributes, typeMismatches int
}

// newRouting returns the routing for settings.
func newRouting(settings *orders.Settings) *routing {
	routeSet := settings.Routes
	r := &routing{settings: settings, routeSet: routeSet}
	if routeSet == nil {
		return r
	}
	r.matchers.New = func() any {
		m := &matcher{routeSet: routeSet, record: routeSet.Schema.NewRecord(), lastSlots: make([]int, len(routeSet.Schema.Attributes))}
		m.isNeededFunc, m.storeFunc = m.isNeeded, func(v *match.RawValue) {
			if routeSet.Schema.Put(m.record, m.schemaSlot, v) != nil {
				m.typeMismatches++
			}
		}
		return m
	}
	return r
}

// isNeeded looks up an attribute's schema slot and reports whether a route needs the attribute.
func (m *matcher) isNeeded(name []byte) bool {
	schema, index := m.routeSet.Schema, m.attributeIndex
	m.attributeIndex++
	if index >= len(m.lastSlots) {
		m.schemaSlot = schema.Slot(name)
	} else if m.schemaSlot = m.lastSlots[index]; m.schemaSlot < 0 || schema.Attributes[m.schemaSlot].Name != string(name) {
		m.schemaSlot = schema.Slot(name)
		m.lastSlots[index] = m.schemaSlot
	}
	if m.schemaSlot < 0 {
		m.unknownAttributes++
		return false
	}
	return m.routeSet.Table.Needs[m.schemaSlot]
}

// Reasons why a transaction with attributes has no route.
const (
	reasonAbsent = iota + 1 // a required attribute is missing
	reasonNoMatch
	reasonNoRoutes // the settings have no routes
)

// noRouteReasonNames holds the label values of the reasons.
var noRouteReasonNames = [...]string{reasonAbsent: "absent", reasonNoMatch: "no_match", reasonNoRoutes: "no_routes"}

// routeTransaction sets the profile, account and key of an event by its transaction's attributes, or the reason why no
// route applies. It runs on the poller.
func (s *Sentry) routeTransaction(r *routing, e *event, attributes []byte) error {
	if r.routeSet == nil {
		e.noRouteReason = reasonNoRoutes
		return nil
	}
	m := r.matchers.Get().(*matcher)
	defer r.matchers.Put(m)
	m.record.Clear()
	m.attributeIndex, m.unknownAttributes, m.typeMismatches = 0, 0, 0
	if err := m.reader.Read(attributes, m.isNeededFunc, m.storeFunc); err != nil {
		return invalid("attributes that can't be read", "a message that follows the schema")
	}
	if m.unknownAttributes > 0 {
		s.metrics.unknownAttributes.Add(float64(m.unknownAttributes))
	}
	if m.typeMismatches > 0 {
		s.metrics.typeMismatches.Add(float64(m.typeMismatches))
	}
	if r.routeSet.Schema.MissingRequired(m.record) >= 0 {
		e.noRouteReason = reasonAbsent
		return nil
	}
	index := r.routeSet.Table.FirstMatch(m.record)
	if index < 0 {
		e.noRouteReason = reasonNoMatch
		return nil
	}
	route := &r.routeSet.Table.Routes[index]
	m.key = r.routeSet.Table.AppendKey(index, m.key[:0], m.record)
	e.profile, e.account, e.key = uint32(route.Profile), uint32(route.Account), logic.Key(m.key)
	return nil
}

// Settings returns the settings in use. Settings for Reload must be read with orders.LoadUpdate or orders.ParseUpdate
// against them.
func (s *Sentry) Settings() *orders.Settings { return s.routing.Load().settings }

// Reload applies new settings atomically, between two inputs of the event loop. Open transactions end under the
// profile that they arrived with, and no count of a rule is reset. If the settings change a value that cannot change
// while the sentry runs, Reload returns an error and the old settings stay in use.
func (s *Sentry) Reload(settings *orders.Settings) (err error) {
	err = errors.New("the sentry has stopped, expected a running one")
	s.Inspect(func() { err = s.applySettings(settings) })
	return err
}

// applySettings is the part of Reload that runs on the event loop.
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

// RecordReload counts and logs the result of a reload.
func (s *Sentry) RecordReload(settings *orders.Settings, err error) {
	if err != nil {
		s.metrics.settingsRefused.Inc()
		s.log.Error().Err(err).Msg("settings rejected; keeping the current ones")
		return
	}
	s.metrics.settingsLoaded.Inc()
	s.log.Info().Str("routes", settings.Routes.Summary()).Msg("settings reloaded")
}
