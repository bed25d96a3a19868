package sentry

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"scalechute/internal/wire/pb"
	"scalechute/logic"
)

// outcomeNames holds the label values of outcomes.
var outcomeNames = [...]string{"satisfied", "deferred", "written_off"}

// endingNames holds the label values of the endings of hand-offs.
var endingNames = [...]string{"answered", "errored", "turned_away", "timed_out", "unconnected", "broken",
	"cancelled", "unsent", "spoilt"}

// metrics holds the sentry's counters. They are looked up once, so that the event loop only increments them.
type metrics struct {
	registry *prometheus.Registry
	taken    []prometheus.Counter
	outcomes [][len(outcomeNames)]prometheus.Counter
	endings  [len(endingNames)]prometheus.Counter

	clientsLeft, notTaken, overdue, protocolErrors, handOffs, dials    prometheus.Counter
	lateEnds, fullLists, votes, messagesSent                           prometheus.Counter
	unknownAttributes, typeMismatches, settingsLoaded, settingsRefused prometheus.Counter
	handOffsOnOldLists, expiredHandOffs, withheldHandOffs              prometheus.Counter
	undelivered, lateVoteAnswers                                       prometheus.Counter
	noRoute                                                            [len(noRouteReasonNames)]prometheus.Counter

	takenByProfile, outcomesByProfile *prometheus.CounterVec

	mu           sync.Mutex
	answerTimes  []*hdrhistogram.Histogram // by profile, microseconds to a satisfied answer
	profileNames []string

	server  *http.Server
	address string
}

func newMetrics(s *Sentry) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counterVec := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "scalechute", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	counter := func(name, help string) prometheus.Counter { return counterVec(name, help).WithLabelValues() }
	m.takenByProfile = counterVec("transactions_taken_total", "Transactions accepted.", "profile")
	m.outcomesByProfile = counterVec("answers_total", "Final answers.", "profile", "outcome")
	endings := counterVec("hand_off_ends_total", "Ends of hand-offs.", "ending")
	for i, e := range endingNames {
		m.endings[i] = endings.WithLabelValues(e)
	}
	m.clientsLeft = counter("clients_left_total", "Transactions whose client left before their final answer.")
	m.notTaken = counter("not_taken_total", "Transactions refused before they were accepted.")
	unrouted := counterVec("unrouted_total", "Transactions with attributes to which no route applied.", "reason")
	for i, name := range noRouteReasonNames[1:] {
		m.noRoute[i+1] = unrouted.WithLabelValues(name)
	}
	m.unknownAttributes = counter("attributes_unknown_total", "Attributes received that are not declared.")
	m.typeMismatches = counter("attributes_misfit_total",
		"Attributes received with a value that does not match their type; they count as missing.")
	m.settingsLoaded = counter("orders_loaded_total", "Reloads of the settings that were applied.")
	m.settingsRefused = counter("orders_refused_total", "Reloads of the settings that were refused.")
	m.overdue = counter("overdue_total", "Transactions that the decision module did not end in time; always 0.")
	m.protocolErrors = counter("connection_faults_total",
		"Protocol errors: connections closed and messages ignored because of invalid data.")
	m.handOffs = counter("hand_offs_total", "Hand-offs written to a worker.")
	m.dials = counter("dials_total", "Connections to workers dialed.")
	m.lateEnds = counter("late_ends_total", "Answers of workers to hand-offs that had already ended.")
	m.fullLists = counter("whole_lists_total", "Full worker lists received.")
	m.handOffsOnOldLists = counter("attempts_on_old_lists_total",
		"Workers that received a hand-off when discovery had sent no update for 4 s, counted once per worker and update.")
	m.expiredHandOffs = counter("attempts_expired_total",
		"Hand-offs not sent because the lease on the worker list or the deduplication window that permits them had expired.")
	m.withheldHandOffs = counter("attempts_withheld_total",
		"Hand-offs not sent because the conditions under which they were ordered held no more when a connection came free.")
	m.undelivered = counter("undelivered_total",
		"Connections to workers closed because a hand-off was still on its way when it was given up or its time to be sent was over.")
	m.lateVoteAnswers = counter("late_vote_answers_total", "Answers to votes that had timed out, whose release status was taken.")
	m.votes = counter("votes_total", "Votes sent.")
	m.messagesSent = counter("messages_total", "Messages sent to peers.")
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "scalechute", Name: name, Help: help}, f))
	}
	gauge("inbox_waiting", "Events that wait for the event loop.", func() float64 {
		n, _ := s.inbox.stats()
		return float64(n)
	})
	gauge("routes", "Routes in use.", func() float64 {
		if r := s.routing.Load(); r.routeSet != nil {
			return float64(len(r.routeSet.Table.Routes))
		}
		return 0
	})
	gauge("inbox_full_waits", "Times that reading from a connection stopped because the inbox was full.", func() float64 {
		_, n := s.inbox.stats()
		return float64(n)
	})
	m.registry.MustRegister(answerTimeCollector{m}, collectors.NewGoCollector())
	return m
}

// setProfiles assigns counters to each profile slot. A slot whose profile is unchanged keeps its counters.
func (m *metrics) setProfiles(profiles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range profiles {
		switch {
		case i >= len(m.profileNames):
			m.profileNames, m.taken = append(m.profileNames, p), append(m.taken, nil)
			m.outcomes, m.answerTimes = append(m.outcomes, [len(outcomeNames)]prometheus.Counter{}), append(m.answerTimes, nil)
		case m.profileNames[i] == p:
			continue
		}
		m.profileNames[i] = p
		if p == "" {
			continue
		}
		m.taken[i] = m.takenByProfile.WithLabelValues(p)
		for n, o := range outcomeNames {
			m.outcomes[i][n] = m.outcomesByProfile.WithLabelValues(p, o)
		}
		m.answerTimes[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
}

// recordAnswer counts a final answer, and records the time to it if it is satisfied.
func (m *metrics) recordAnswer(t *transaction, o pb.Outcome, now logic.Micros) {
	if int(o) < len(outcomeNames) {
		m.outcomes[t.profile][o].Inc()
	}
	if o == pb.Outcome_SATISFIED {
		m.mu.Lock()
		_ = m.answerTimes[t.profile].RecordValue(max(1, int64(now-t.arrivedAt))) // values above one hour are not recorded
		m.mu.Unlock()
	}
}

// answerTimeCollector exports the quantiles of the histograms as summaries.
type answerTimeCollector struct{ m *metrics }

var answerTimeDesc = prometheus.NewDesc("scalechute_answer_seconds", "Time from accepting a transaction to its satisfied "+
	"answer, at the sentry, since its start.", []string{"profile"}, nil)

// Describe implements prometheus.Collector.
func (t answerTimeCollector) Describe(out chan<- *prometheus.Desc) { out <- answerTimeDesc }

// Collect implements prometheus.Collector.
func (t answerTimeCollector) Collect(out chan<- prometheus.Metric) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	for i, h := range t.m.answerTimes {
		if h == nil {
			continue
		}
		quantiles := map[float64]float64{}
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			quantiles[q] = float64(h.ValueAtQuantile(100*q)) / 1e6
		}
		n := h.TotalCount()
		out <- prometheus.MustNewConstSummary(answerTimeDesc, uint64(n), h.Mean()*float64(n)/1e6, quantiles, t.m.profileNames[i])
	}
}

// serve starts the HTTP server of the metrics, unless the address is empty.
func (m *metrics) serve(address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go m.server.Serve(listener)
	return nil
}

func (m *metrics) close() {
	if m.server != nil {
		m.server.Close()
	}
}

// CounterValues returns the values of a counter or gauge by its labels, for tests and reports. The labels' values are
// joined in the order of the labels' names, with a slash before each; without labels the key is "0".
func (s *Sentry) CounterValues(name string) map[string]float64 {
	found := map[string]float64{}
	families, err := s.metrics.registry.Gather()
	if err != nil {
		return found
	}
	for _, f := range families {
		if f.GetName() != "scalechute_"+name {
			continue
		}
		for i, m := range f.GetMetric() {
			key := ""
			for _, l := range m.GetLabel() {
				key += "/" + l.GetValue()
			}
			if key == "" {
				key = strconv.Itoa(i)
			}
			found[key] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return found
}
