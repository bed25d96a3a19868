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

var outcomeNames = [...]string{"satisfied", "deferred", "written_off"}

var endingNames = [...]string{"answered", "errored", "turned_away", "timed_out", "unconnected", "broken",
	"cancelled", "unsent", "spoilt"}

// metrics are what the sentry counts. The counters are looked up once: the loop only adds.
type metrics struct {
	registry *prometheus.Registry
	taken    []prometheus.Counter
	outcomes [][len(outcomeNames)]prometheus.Counter
	endings  [len(endingNames)]prometheus.Counter

	left, notTaken, overdue, faults, handOffs, dials prometheus.Counter
	lateEnds, lists, votes, said                     prometheus.Counter
	unknown, misfits, reloaded, refused              prometheus.Counter
	oldLists, expired                                prometheus.Counter
	unrouted                                         [len(unroutedNames)]prometheus.Counter

	takenBy, outcomesBy *prometheus.CounterVec

	mu      sync.Mutex
	times   []*hdrhistogram.Histogram // by profile, microseconds to a satisfying answer
	profile []string

	server  *http.Server
	address string
}

func newMetrics(s *Sentry) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	count := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "scalechute", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	one := func(name, help string) prometheus.Counter { return count(name, help).WithLabelValues() }
	m.takenBy = count("transactions_taken_total", "Transactions taken.", "profile")
	m.outcomesBy = count("answers_total", "Final answers.", "profile", "outcome")
	endings := count("hand_off_ends_total", "Ends of hand-offs.", "ending")
	for i, e := range endingNames {
		m.endings[i] = endings.WithLabelValues(e)
	}
	m.left = one("clients_left_total", "Transactions whose client left before its answer.")
	m.notTaken = one("not_taken_total", "Transactions refused before they were taken.")
	unrouted := count("unrouted_total", "Transactions that no route took.", "reason")
	for i, name := range unroutedNames[1:] {
		m.unrouted[i+1] = unrouted.WithLabelValues(name)
	}
	m.unknown = one("attributes_unknown_total", "Attributes that came and are not declared.")
	m.misfits = one("attributes_misfit_total", "Attributes that came and do not fit their type; they count as missing.")
	m.reloaded = one("orders_loaded_total", "Loads of orders that were taken.")
	m.refused = one("orders_refused_total", "Loads of orders that were refused.")
	m.overdue = one("overdue_total", "Transactions that the module left unanswered; always 0.")
	m.faults = one("connection_faults_total", "Connections closed for what came over them.")
	m.handOffs = one("hand_offs_total", "Hand-offs written to a worker.")
	m.dials = one("dials_total", "Connections to workers begun.")
	m.lateEnds = one("late_ends_total", "Answers of workers to hand-offs that had ended.")
	m.lists = one("whole_lists_total", "Whole lists received.")
	m.oldLists = one("attempts_on_old_lists_total", "Servers that got an attempt while discovery had confirmed nothing for 4 s, each time once.")
	m.expired = one("attempts_expired_total", "Attempts not written because the list that they rest on could not be relied on any more.")
	m.votes = one("votes_total", "Votes sent.")
	m.said = one("messages_total", "Messages sent to peers.")
	gauge := func(name, help string, f func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "scalechute", Name: name, Help: help}, f))
	}
	gauge("inbox_waiting", "Inputs that wait for the loop.", func() float64 {
		n, _ := s.inbox.load()
		return float64(n)
	})
	gauge("routes", "Routes in use.", func() float64 {
		if r := s.routing.Load(); r.book != nil {
			return float64(len(r.book.Table.Routes))
		}
		return 0
	})
	gauge("inbox_full_waits", "Times that reading stopped because the inbox was full.", func() float64 {
		_, n := s.inbox.load()
		return float64(n)
	})
	m.registry.MustRegister(times{m}, collectors.NewGoCollector())
	return m
}

// name gives each place of a profile its counters: a new one new ones, one that was there keeps its own.
func (m *metrics) name(profiles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range profiles {
		switch {
		case i >= len(m.profile):
			m.profile, m.taken = append(m.profile, p), append(m.taken, nil)
			m.outcomes, m.times = append(m.outcomes, [len(outcomeNames)]prometheus.Counter{}), append(m.times, nil)
		case m.profile[i] == p:
			continue
		}
		m.profile[i] = p
		if p == "" {
			continue
		}
		m.taken[i] = m.takenBy.WithLabelValues(p)
		for n, o := range outcomeNames {
			m.outcomes[i][n] = m.outcomesBy.WithLabelValues(p, o)
		}
		m.times[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
}

func (m *metrics) answered(t *transaction, o pb.Outcome, now logic.Micros) {
	if int(o) < len(outcomeNames) {
		m.outcomes[t.profile][o].Inc()
	}
	if o == pb.Outcome_SATISFIED {
		m.mu.Lock()
		_ = m.times[t.profile].RecordValue(max(1, int64(now-t.came))) // longer than its hour is not recorded
		m.mu.Unlock()
	}
}

// times gives the histograms' quantiles as summaries.
type times struct{ m *metrics }

var timesDesc = prometheus.NewDesc("scalechute_answer_seconds", "Time from taking a transaction to its satisfying "+
	"answer, at the sentry, since its start.", []string{"profile"}, nil)

func (t times) Describe(out chan<- *prometheus.Desc) { out <- timesDesc }

func (t times) Collect(out chan<- prometheus.Metric) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	for i, h := range t.m.times {
		if h == nil {
			continue
		}
		quantiles := map[float64]float64{}
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			quantiles[q] = float64(h.ValueAtQuantile(100*q)) / 1e6
		}
		n := h.TotalCount()
		out <- prometheus.MustNewConstSummary(timesDesc, uint64(n), h.Mean()*float64(n)/1e6, quantiles, t.m.profile[i])
	}
}

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

// Count reads a counter by name, for tests and reports: its labels joined in the order of their names.
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
