package slots

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/health"
)

// Metrics shows admission. The nil value records nothing.
type Metrics struct {
	slots, inFlight, queued *prometheus.GaugeVec
	ejected, leaving        *prometheus.GaugeVec
	wait                    *prometheus.HistogramVec
	refused                 *prometheus.CounterVec
}

// Buckets of the wait for a slot, in seconds.
var waitBuckets = []float64{0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// NewMetrics registers the metrics of admission.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cassiatray_entry_" + name, Help: help}, []string{"service"})
	}
	m := &Metrics{
		slots:    gauge("slots", "Slots that this host may fill on the servers it holds."),
		inFlight: gauge("slots_in_flight", "Slots filled on the servers that this host holds."),
		queued:   gauge("queued", "Requests waiting on this host."),
		ejected:  gauge("servers_ejected", "Servers that get no work for a while after failures."),
		leaving:  gauge("servers_leaving", "Servers known to be leaving."),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cassiatray_entry_slot_wait_seconds", Help: "Time until a request had a slot.", Buckets: waitBuckets,
		}, []string{"service", "class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_entry_refused_total", Help: "Requests that got no slot, by reason.",
		}, []string{"service", "class", "reason"}),
	}
	reg.MustRegister(m.slots, m.inFlight, m.queued, m.ejected, m.leaving, m.wait, m.refused)
	return m
}

func (m *Metrics) load(service string, o admission.Offer) {
	if m == nil {
		return
	}
	m.slots.WithLabelValues(service).Set(float64(o.Slots))
	m.inFlight.WithLabelValues(service).Set(float64(o.InFlight))
	m.queued.WithLabelValues(service).Set(float64(o.Queued))
}

func (m *Metrics) health(service string, now time.Time, states map[string]health.State) {
	if m == nil {
		return
	}
	ejected, leaving := 0, 0
	for _, st := range states {
		if now.Before(st.EjectedUntil) {
			ejected++
		}
		if st.Leaving != "" {
			leaving++
		}
	}
	m.ejected.WithLabelValues(service).Set(float64(ejected))
	m.leaving.WithLabelValues(service).Set(float64(leaving))
}

// reasonGivenUp is the reason of a wait that its caller ended.
const reasonGivenUp = "given-up"

func (m *Metrics) acquired(w Want, took time.Duration, err error) {
	if m == nil {
		return
	}
	if err == nil {
		m.wait.WithLabelValues(w.Service.Name, w.Class.Name).Observe(took.Seconds())
		return
	}
	reason := reasonGivenUp
	var refused *RefusedError
	if errors.As(err, &refused) {
		reason = string(refused.Reason)
	}
	m.refused.WithLabelValues(w.Service.Name, w.Class.Name, reason).Inc()
}
