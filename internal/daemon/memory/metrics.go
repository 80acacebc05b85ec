package memory

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/membudget"
)

// logEvery is the least time between two log lines about closed connections.
const logEvery = time.Second

// Closings counts and logs connections that are closed to make room.
type Closings struct {
	log    *logrus.Entry
	counts *prometheus.CounterVec
	// logged is when the last line was written, in nanoseconds since 1970; since counts
	// connections from then on.
	logged, since atomic.Int64
}

// NewClosings returns a counter of closed connections of a program, such as "gateway".
func NewClosings(program string, log *logrus.Entry) *Closings {
	return &Closings{log: log, counts: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_" + program + "_caller_connections_closed_total",
		Help: "Connections of callers closed, or not accepted, by cause: idle or slow (too many are open), no_connections, memory, stalled_body, stalled_answer.",
	}, []string{"cause"})}
}

// Note is a callerconn.Server's Closed.
func (c *Closings) Note(cause callerconn.Cause, remote string) {
	c.counts.WithLabelValues(string(cause)).Inc()
	n, now, last := c.since.Add(1), time.Now().UnixNano(), c.logged.Load()
	if now-last < int64(logEvery) || !c.logged.CompareAndSwap(last, now) {
		return
	}
	c.since.Store(0)
	// Holders of memory are ended under the budget's lock.
	go c.log.WithFields(logrus.Fields{"cause": cause, "remote": remote, "closed": n}).Warn("Connections of callers closed to make room.")
}

// Collectors tell what a program holds for others, how many connections callers have, and how many
// requests wait for servers where that is bounded.
func (c *Closings) Collectors(program string, b *membudget.Budget, callers *callerconn.Server, waiting *membudget.Places) []prometheus.Collector {
	prefix := "cassiatray_" + program + "_"
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: prefix + name, Help: help}, value)
	}
	ended := func(phase membudget.Phase, label string) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: prefix + "memory_ended_total", ConstLabels: prometheus.Labels{"phase": label},
			Help: "Exchanges ended in favour of others, by what they were doing: receiving a request, or passing bytes on.",
		}, func() float64 { return float64(b.EndedIn(phase)) })
	}
	refused := prometheus.CounterOpts{Name: prefix + "memory_refused_total", Help: "Times that a request or answer got no more memory."}
	out := []prometheus.Collector{
		c.counts,
		gauge("memory_held_bytes", "Bytes held for others: bodies, answers, heads, connections.", func() float64 { return float64(b.Held()) }),
		gauge("memory_budget_bytes", "Bytes that may be held for others; 0 for any number.", func() float64 { return float64(b.Limit()) }),
		prometheus.NewCounterFunc(refused, func() float64 { return float64(b.Refused()) }),
		ended(membudget.Receiving, "receiving"), ended(membudget.Passing, "passing"),
		gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(callers.Connections()) }),
		gauge("caller_connections_max", "Connections that callers may have; 0 for any number.", func() float64 { return float64(callers.MaxConns) }),
	}
	if waiting == nil {
		return out
	}
	return append(out,
		gauge("waiting_requests", "Requests that wait for servers.", func() float64 { return float64(waiting.Taken()) }),
		gauge("waiting_requests_max", "Requests that may wait for servers; 0 for any number.", func() float64 { return float64(waiting.Most()) }),
	)
}
