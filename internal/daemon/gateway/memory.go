package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/membudget"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// budgetShare is the default part of the memory limit for what is held for others. The rest is
	// for the process's own state, the collector, and the kernel's buffers.
	budgetShare = 0.35
	// passBuffer is what a body that is passed on holds beside what is buffered of it, in bytes:
	// the buffer between the connections, and a chunk of it.
	passBuffer = 64 << 10
	// memoryRetryAfter is when a caller may come back for whose request there was no memory.
	memoryRetryAfter = time.Second
	// relayWindow is what the connection between two gateways keeps of a body that is passed on,
	// in bytes: the window of a yamux stream.
	relayWindow = 256 << 10
	// memoryLogEvery is the least time between two log lines about closed connections.
	memoryLogEvery = time.Second
)

// reasonNoMemory is why a request is refused for which there is no memory.
const reasonNoMemory rejectReason = "memory budget used up"

// budgetBytes returns the bytes that may be held for others; 0 for any number.
func (s *Settings) budgetBytes() int64 {
	if s.MemoryBudget > 0 {
		return int64(s.MemoryBudget)
	}
	return int64(budgetShare * float64(s.Memory))
}

// maxConnections returns how many connections callers may have, of a process that may open
// processLimit descriptors; 0 for any number.
func (s *Settings) maxConnections(processLimit int64) int {
	if s.Connections > 0 {
		return s.Connections
	}
	return membudget.Connections(s.descriptors(processLimit), s.budgetBytes())
}

// descriptors returns how many descriptors a process may open whose limit this is; 0 if that is not
// known.
func (s *Settings) descriptors(processLimit int64) int64 {
	if s.Descriptors > 0 && (processLimit <= 0 || int64(s.Descriptors) < processLimit) {
		return int64(s.Descriptors)
	}
	return processLimit
}

// descriptorLimit returns how many descriptors the process may open; 0 if that is not known.
func descriptorLimit() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return 0
	}
	return int64(l.Cur)
}

// holderOf returns what counts the bytes of the request that w answers; nil if nothing does.
func holderOf(w http.ResponseWriter) *membudget.Holder {
	if h, ok := w.(interface{ Hold() *membudget.Holder }); ok {
		return h.Hold()
	}
	return nil
}

// HoldBytes implements port.AnswerHolder: it asks for room for bytes of the request or its answer, or frees them if negative.
func (req *inflightRequest) HoldBytes(bytes int) bool {
	if bytes < 0 {
		req.hold.Shrink(-int64(bytes))
		return true
	}
	return req.hold.Grow(int64(bytes), time.Now())
}

// enterWorking notes that the request's body was read. It reports false if the request was ended
// in favour of others.
func (req *inflightRequest) enterWorking() bool {
	return req.hold.Enter(membudget.Working, time.Now())
}

// dropBody frees the request's body, which is sent to no more servers.
func (req *inflightRequest) dropBody() {
	req.hold.Shrink(int64(cap(req.body)))
	req.body = nil
}

// enterPassing notes that bytes are passed on between a server and the caller, who holds them up.
// One that another gateway relays cannot be ended there.
func (req *inflightRequest) enterPassing() {
	if req.origin == "" {
		req.hold.Enter(membudget.Passing, time.Now())
	}
}

// refuseBody gives up a request's body, of which no byte has reached a server, and tells the
// caller when to come back if there was no memory for it.
func refuseBody(w http.ResponseWriter, req *inflightRequest, status int) {
	switch status {
	case http.StatusServiceUnavailable:
		req.comeBackAfter = memoryRetryAfter
	case http.StatusRequestTimeout:
	default:
		return
	}
	w.Header().Set("Connection", "close")
	if g, ok := w.(interface{ GiveUpBody() }); ok {
		g.GiveUpBody()
	}
}

// relayHolder ends a relayed request whose body is read, in favour of others.
type relayHolder struct{ cancel context.CancelFunc }

// EndForOthers implements membudget.Owner.
func (h relayHolder) EndForOthers(membudget.Phase) { h.cancel() }

// holdsWindow reports whether an offered body is longer than what is buffered of it.
func holdsWindow(offer *peerv1.RelayOffer) bool {
	return offer.Size < 0 || offer.Size > maxBufferedBody
}

// closings counts and logs connections that are closed to make room.
type closings struct {
	log     *logrus.Entry
	metrics *Metrics
	// logged is when the last line was written, in nanoseconds since 1970; since counts
	// connections from then on.
	logged, since atomic.Int64
}

func (c *closings) note(cause callerconn.Cause, remote string) {
	c.metrics.closed.WithLabelValues(string(cause)).Inc()
	n, now, last := c.since.Add(1), time.Now().UnixNano(), c.logged.Load()
	if now-last < int64(memoryLogEvery) || !c.logged.CompareAndSwap(last, now) {
		return
	}
	c.since.Store(0)
	// Holders of memory are ended under the budget's lock.
	go c.log.WithFields(logrus.Fields{"cause": cause, "remote": remote, "closed": n}).Warn("Connections of callers closed to make room.")
}

// memoryGauges tell what is held for others, and how many connections callers have.
func memoryGauges(b *membudget.Budget, callers *callerconn.Server) []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cassiatray_gateway_" + name, Help: help}, value)
	}
	counter := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "cassiatray_gateway_" + name, Help: help}, value)
	}
	ended := func(phase membudget.Phase, label string) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cassiatray_gateway_memory_ended_total", ConstLabels: prometheus.Labels{"phase": label},
			Help: "Exchanges ended in favour of others, by what they were doing: receiving a request, or passing bytes on.",
		}, func() float64 { return float64(b.EndedIn(phase)) })
	}
	return []prometheus.Collector{
		gauge("memory_held_bytes", "Bytes held for others: bodies, answers, heads, connections.", func() float64 { return float64(b.Held()) }),
		gauge("memory_budget_bytes", "Bytes that may be held for others; 0 for any number.", func() float64 { return float64(b.Limit()) }),
		counter("memory_refused_total", "Times that a request or answer got no more memory.", func() float64 { return float64(b.Refused()) }),
		ended(membudget.Receiving, "receiving"), ended(membudget.Passing, "passing"),
		gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(callers.Connections()) }),
		gauge("caller_connections_max", "Connections that callers may have; 0 for any number.", func() float64 { return float64(callers.MaxConns) }),
	}
}
