package entry

import (
	"cmp"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/api"
	"cassiatray/internal/core/share"
)

// Metrics counts what an entry process does.
type Metrics struct {
	lookups  prometheus.Counter
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	offers   *prometheus.CounterVec
	refusals *prometheus.CounterVec
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
	m.offers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_entry_offers_total", Help: "Requests offered to other hosts, by service and region of the host.",
	}, []string{"service", "region"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_entry_cap_refusals_total", Help: "Requests that a cap left no room for, by service, home region and reason.",
	}, []string{"service", "home", "reason"})
	reg.MustRegister(m.lookups, m.requests, m.retries, m.offers, m.refusals)
	return m
}

// refused counts a request that a cap left no room for.
func (m *Metrics) refused(x *exchange, err error) {
	reason := "link"
	var r *share.RefusedError
	if errors.As(err, &r) {
		reason = string(r.Reason)
	}
	m.refusals.WithLabelValues(x.svc.Name, cmp.Or(x.home, x.from), reason).Inc()
}

func (m *Metrics) observe(x *exchange, r result) {
	outcome, code := api.OutcomeDone, api.Code("")
	if r.fail != nil {
		outcome, code = r.fail.Outcome, r.fail.Code
	}
	m.requests.WithLabelValues(x.svc.Name, x.class.Name, string(outcome), string(code)).Inc()
}
