package gateway

import (
	"cmp"
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// Metrics are the counters of a gateway.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	server   *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	checks   prometheus.Counter
	opened   prometheus.Counter
	limited  *prometheus.CounterVec
	permits  *prometheus.CounterVec
	signals  *prometheus.CounterVec
	unknown  *prometheus.CounterVec
	relays   *prometheus.CounterVec
	relayed  *prometheus.CounterVec
	trials   *prometheus.CounterVec
	// ejections are the servers taken out of use because they reset all connections.
	ejections prometheus.Counter
	// full are the arrivals at servers without a free slot.
	full *prometheus.CounterVec
	// quotaDecisions and quotaAsks are those of customers with a limit.
	quotaDecisions, quotaAsks *prometheus.CounterVec
	// hedges counts second attempts by what became of them, unhedged those that were due and not
	// sent by cause.
	hedges, unhedged *prometheus.CounterVec
	// customers are the requests by customer.
	customers *customerCounters
	// processChecks are those of watchProcess.
	processChecks *prometheus.CounterVec
	// pulls are the pulls from other gateways by result, pullSeconds how long the answered ones took.
	pulls       *prometheus.CounterVec
	pullSeconds prometheus.Histogram
}

// latencyBuckets cover the latencies that routes aim for, in seconds.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_gateway_requests_total", Help: "Requests of callers by route and status; 0 when the caller left.",
		}, []string{"route", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cassiatray_gateway_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_gateway_attempts_total", Help: "Sendings to backend servers by service and result: the status of the response, or the class of the failure.",
		}, []string{"service", "result"}),
		server: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cassiatray_gateway_attempt_seconds", Help: "Time from a sending to its result.", Buckets: latencyBuckets,
		}, []string{"service"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_gateway_store_calls_total", Help: "Calls of the platform's store by kind and result.",
		}, []string{"call", "result"}),
		checks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cassiatray_gateway_health_checks_total", Help: "Health checks sent to backend servers.",
		}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cassiatray_gateway_connections_opened_total", Help: "Connections opened to backend servers.",
		}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_gateway_limited_attempts_total", Help: "Sendings to backend servers that had named a limit, by service.",
		}, []string{"service"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cassiatray_gateway_permit_asks_total", Help: "Asks for permits to send to backend servers that name a limit, by result.",
		}, []string{"result"}),
	}
	m.signals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_server_signals_total", Help: "What responses of backend servers said of them: leaving, pause or unreadable.",
	}, []string{"signal"})
	m.unknown = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_unknown_headers_total", Help: "Responses of backend servers with a header that this version does not know, by its name.",
	}, []string{"header"})
	m.relays = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_relays_total", Help: "Requests offered to other gateways because of this one's links to servers: answered, refused before they were sent, withdrawn after a helper had accepted them, or failed.",
	}, []string{"result"})
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_relayed_requests_total", Help: "Requests that other gateways relayed here, by status; 0 when the caller left.",
	}, []string{"status"})
	m.hedges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_hedges_total", Help: "Second attempts beside first ones: sent, and then won, lost, or failed if neither got a response to deliver.",
	}, []string{"result"})
	m.unhedged = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_hedges_suppressed_total", Help: "Second attempts that were due and not sent, by cause.",
	}, []string{"cause"})
	m.trials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_trials_total", Help: "Trials of requests under which servers crashed: completed, failed, or unsent when no server took them.",
	}, []string{"result"})
	m.full = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_full_server_attempts_total", Help: "Sendings that a backend server rejected because all its slots were taken, by service and whether another of the object's preferred servers was believed to have room.",
	}, []string{"service", "other_room"})
	m.processChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_process_checks_total", Help: "Checks whether a backend server with unfinished requests still runs, by kind: connect or health.",
	}, []string{"kind"})
	m.ejections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cassiatray_gateway_ejections_total", Help: "Backend servers that were taken out of use because they reset all connections.",
	})
	m.quotaDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_quota_decisions_total", Help: "Requests of customers with a limit: admitted by token, credit or fallback, or refused.",
	}, []string{"result"})
	m.quotaAsks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_quota_asks_total", Help: "Asks to issuers of customers' quotas, by result: ok, refused or unreachable.",
	}, []string{"result"})
	m.pulls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_pulls_total", Help: "Pulls from other gateways by result: ok, or the class of the failure.",
	}, []string{"result"})
	m.pullSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cassiatray_gateway_pull_seconds", Help: "Time from a pull to its answer, with the wait for news.", Buckets: latencyBuckets,
	})
	reg.MustRegister(m.pulls, m.pullSeconds)
	reg.MustRegister(m.ejections, m.full, m.quotaDecisions, m.quotaAsks, m.hedges, m.unhedged)
	m.customers = newCustomerCounters()
	reg.MustRegister(m.customers.requests, m.processChecks, m.requests, m.latency, m.attempts, m.server, m.calls, m.checks, m.opened, m.limited, m.permits, m.signals, m.unknown, m.relays, m.relayed, m.trials)
	return m
}

func (m *Metrics) request(route string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

func (m *Metrics) attempt(service string, a attempt, limited bool, took time.Duration) {
	result := strconv.Itoa(a.Status)
	if a.Error != "" {
		result = cmp.Or(string(a.Code), "error")
	}
	m.attempts.WithLabelValues(service, result).Inc()
	m.server.WithLabelValues(service).Observe(took.Seconds())
	if limited {
		m.limited.WithLabelValues(service).Inc()
	}
}

// fullServer counts an attempt that met a full server. otherRoom says whether another of the
// object's preferred servers was believed to have a free slot.
func (m *Metrics) fullServer(service string, otherRoom bool) {
	m.full.WithLabelValues(service, strconv.FormatBool(otherRoom)).Inc()
}

// lostAttempt counts an attempt that was cancelled because another one of its request won.
func (m *Metrics) lostAttempt(service string, limited bool) {
	m.attempts.WithLabelValues(service, "hedge-lost").Inc()
	if limited {
		m.limited.WithLabelValues(service).Inc()
	}
}

func (m *Metrics) call(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
		for _, code := range []port.StoreCode{port.StoreNotFound, port.StoreConflict, port.StoreCompacted, port.StoreUnknown, port.StoreUnavailable} {
			if port.IsStoreCode(err, code) {
				result = string(code)
			}
		}
	}
	m.calls.WithLabelValues(kind, result).Inc()
}

// pulled counts a pull that took some time.
func (m *Metrics) pulled(took time.Duration, err error) {
	var pe *port.PeerError
	switch {
	case err == nil:
		m.pulls.WithLabelValues("ok").Inc()
		m.pullSeconds.Observe(took.Seconds())
	case errors.As(err, &pe):
		m.pulls.WithLabelValues(string(pe.Code)).Inc()
	default:
		m.pulls.WithLabelValues("error").Inc()
	}
}

// configGauges tell which version of the configuration is in force, since when, and how long it
// took from the store's word to here.
func configGauges(k *Keeper) []prometheus.Collector {
	gauge := func(name, help string, value func(configTaken) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(k.configTaken()) })
	}
	return []prometheus.Collector{
		gauge("cassiatray_config_version", "Version of the configuration in force; 0 for none.", func(c configTaken) float64 { return float64(c.version) }),
		gauge("cassiatray_config_in_force_seconds", "Time since the configuration came into force here.", func(c configTaken) float64 {
			if c.at.IsZero() {
				return 0
			}
			return time.Since(c.at).Seconds()
		}),
		gauge("cassiatray_config_age_at_start_seconds", "Age of the configuration's record when it came into force here: time since a gateway read it from the store.",
			func(c configTaken) float64 { return c.age.Seconds() }),
	}
}

// downGauges tell how many servers count as unreachable, by where that is known from.
func downGauges(k *Keeper) []prometheus.Collector {
	gauge := func(source string, counts func(*fleet.Health) bool) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cassiatray_gateway_servers_unreachable", ConstLabels: prometheus.Labels{"source": source},
			Help: "Backend servers held for unreachable, by what this gateway met itself or only heard from others.",
		}, func() float64 {
			n := 0
			for _, s := range k.Servers() {
				if s.withHealth(counts) {
					n++
				}
			}
			return float64(n)
		})
	}
	return []prometheus.Collector{
		gauge("own", func(h *fleet.Health) bool { return h.Down() && !h.Doubted() }),
		gauge("heard", (*fleet.Health).Doubted),
	}
}

// linksGauge tells whether this gateway's links to servers are cut.
func linksGauge(n *Node) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cassiatray_gateway_links_cut", Help: "State of the links to backend servers: 0 whole, 1 suspect, 2 cut.",
	}, func() float64 { return float64(n.links.current()) })
}
