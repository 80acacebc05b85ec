package steer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/core/relay"
)

// forceBuckets are bounds of the time from accepted to in force, in seconds.
var forceBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 60}

// metrics counts what a steer process does.
type metrics struct {
	followers prometheus.Gauge
	changes   *prometheus.CounterVec
	fetched   prometheus.Counter
	inForce   prometheus.Histogram
	store     *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		followers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cassiatray_steer_followers", Help: "Processes that follow this one.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_steer_changes_total", Help: "Documents put in force, by how they came: delta or sections.",
		}, []string{"by"}),
		fetched: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cassiatray_steer_sections_fetched_total", Help: "Sections fetched from the store or from peers.",
		}),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cassiatray_steer_in_force_seconds", Help: "Time from the acceptance of a change to its being in force here.",
			Buckets: forceBuckets,
		}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_steer_store_calls_total", Help: "Calls to the platform's store, by result: ok or failed.",
		}, []string{"result"}),
	}
}

func (m *metrics) taken(t *relay.Taken, now time.Time) {
	by := "delta"
	if t.Fetched > 0 {
		by = "sections"
	}
	m.changes.WithLabelValues(by).Inc()
	m.fetched.Add(float64(t.Fetched))
	m.inForce.Observe(max(0, now.Sub(t.Head.Accepted).Seconds()))
}

func (m *metrics) storeCall(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.store.WithLabelValues(result).Inc()
}

func (m *metrics) storeReads(count int) { m.store.WithLabelValues("ok").Add(float64(count)) }

// Register adds the node's metrics to a registry.
func (n *Node) Register(reg *prometheus.Registry) {
	m := n.metrics
	reg.MustRegister(m.followers, m.changes, m.fetched, m.inForce, m.store,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cassiatray_steer_sequence", Help: "Sequence of the document in force.",
		}, func() float64 { return float64(n.head().Sequence) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cassiatray_steer_newest_heard", Help: "Newest sequence that any other steer process showed.",
		}, func() float64 { return float64(n.newestHeard()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cassiatray_steer_leads", Help: "1 while this process leads its failure domain.",
		}, func() float64 {
			if n.leads() {
				return 1
			}
			return 0
		}),
	)
}

func (n *Node) newestHeard() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.behind.sequence
}
