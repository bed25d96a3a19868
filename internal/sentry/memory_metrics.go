package sentry

import (
	"github.com/prometheus/client_golang/prometheus"

	"scalechute/internal/memory"
)

// memoryCollector exports the memory account, by purpose.
type memoryCollector struct{ account *memory.Account }

var (
	memoryUsedDesc      = memoryDesc("memory_bytes", "Memory that grows with what peers do, by purpose.")
	memoryPeakDesc      = memoryDesc("memory_peak_bytes", "The most memory that was used for a purpose.")
	memoryLimitDesc     = memoryDesc("memory_limit_bytes", "Memory that may be used for a purpose.")
	memoryEvictionsDesc = memoryDesc("memory_evictions_total", "Incomplete messages that were given up to make room.")
)

// memoryDesc describes a metric that has a value for each purpose.
func memoryDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName("scalechute", "", name), help, []string{"purpose"}, nil)
}

// Describe sends the descriptions of the metrics.
func (memoryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range [...]*prometheus.Desc{memoryUsedDesc, memoryPeakDesc, memoryLimitDesc, memoryEvictionsDesc} {
		descriptions <- d
	}
}

// Collect sends the current values.
func (c memoryCollector) Collect(values chan<- prometheus.Metric) {
	c.account.Each(func(p memory.Purpose, b *memory.Budget) {
		gauge := func(d *prometheus.Desc, value int64) {
			values <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), p.String())
		}
		gauge(memoryUsedDesc, b.Used())
		gauge(memoryPeakDesc, b.Peak())
		gauge(memoryLimitDesc, b.Limit())
		values <- prometheus.MustNewConstMetric(memoryEvictionsDesc, prometheus.CounterValue, float64(b.Evictions()), p.String())
	})
}
