package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/core/relay"
)

// inForceBuckets are the histogram bounds of the time from a document's acceptance until it
// is in force, in seconds.
var inForceBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 60}

// feedMetrics holds the metrics of a Feed.
type feedMetrics struct {
	changes  *prometheus.CounterVec
	inForce  prometheus.Histogram
	sequence prometheus.Gauge
}

func newFeedMetrics() *feedMetrics {
	return &feedMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_changes_total", Help: "Documents put in force, by the way they were received: delta or sections.",
		}, []string{"by"}),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cassiatray_entry_in_force_seconds", Help: "Time from the acceptance of a document until it is in force on this host.",
			Buckets: inForceBuckets,
		}),
		sequence: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cassiatray_entry_sequence", Help: "Sequence number of the document in force.",
		}),
	}
}

func (m *feedMetrics) countDocument(t *relay.Taken) {
	by := "delta"
	if t.Fetched > 0 {
		by = "sections"
	}
	m.changes.WithLabelValues(by).Inc()
	m.sequence.Set(float64(t.Head.Sequence))
	m.inForce.Observe(max(0, time.Since(t.Head.Accepted).Seconds()))
}

// Register adds the feed's metrics to a registry.
func (f *Feed) Register(reg *prometheus.Registry) {
	reg.MustRegister(f.metrics.changes, f.metrics.inForce, f.metrics.sequence)
}
