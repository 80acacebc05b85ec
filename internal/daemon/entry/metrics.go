package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/api"
)

// Metrics counts what an entry process does.
type Metrics struct {
	lookups  prometheus.Counter
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
}

// NewMetrics registers the metrics of an entry process.
func NewMetrics(reg *prometheus.Registry) *Metrics {
	m := &Metrics{
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cassiatray_entry_lookups_total", Help: "Look-ups answered.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_requests_total", Help: "Requests of callers, by service, class, outcome and failure code.",
		}, []string{"service", "class", "outcome", "code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_retries_total", Help: "Requests sent again, by service and class.",
		}, []string{"service", "class"}),
	}
	reg.MustRegister(m.lookups, m.requests, m.retries)
	return m
}

func (m *Metrics) observe(x *exchange, r result) {
	outcome, code := api.OutcomeDone, api.Code("")
	if r.fail != nil {
		outcome, code = r.fail.Outcome, r.fail.Code
	}
	m.requests.WithLabelValues(x.svc.Name, x.class.Name, string(outcome), string(code)).Inc()
}
