package entry

import (
	"cmp"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/api"
	"cassiatray/internal/core/share"
)

// Metrics holds the metrics of an entry process, except those of its Feed and its slots.
type Metrics struct {
	lookups       prometheus.Counter
	requests      *prometheus.CounterVec
	retries       *prometheus.CounterVec
	forwards      *prometheus.CounterVec
	capRejections *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics of an entry process.
func NewMetrics(reg *prometheus.Registry) *Metrics {
	m := &Metrics{
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cassiatray_entry_lookups_total", Help: "Answered look-ups.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_requests_total", Help: "Finished requests of callers, by service, class, outcome and error code.",
		}, []string{"service", "class", "outcome", "code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_retries_total", Help: "Retried and hedged attempts, by service and class.",
		}, []string{"service", "class"}),
	}
	m.forwards = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_entry_offers_total", Help: "Attempts to run a request on another entry host, by service and region of that host.",
	}, []string{"service", "region"})
	m.capRejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_entry_cap_refusals_total", Help: "Attempts rejected because a cap was reached, by service, home region and reason.",
	}, []string{"service", "home", "reason"})
	reg.MustRegister(m.lookups, m.requests, m.retries, m.forwards, m.capRejections)
	return m
}

// countCapRejection counts an attempt that was rejected because a cap was reached.
func (m *Metrics) countCapRejection(r *request, err error) {
	reason := "link"
	var capErr *share.RefusedError
	if errors.As(err, &capErr) {
		reason = string(capErr.Reason)
	}
	m.capRejections.WithLabelValues(r.svc.Name, cmp.Or(r.homeRegion, r.senderRegion), reason).Inc()
}

func (m *Metrics) countRequest(r *request, out result) {
	outcome, code := api.OutcomeDone, api.Code("")
	if out.failure != nil {
		outcome, code = out.failure.Outcome, out.failure.Code
	}
	m.requests.WithLabelValues(r.svc.Name, r.class.Name, string(outcome), string(code)).Inc()
}
