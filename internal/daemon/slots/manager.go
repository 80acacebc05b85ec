// Package slots runs admission for one entry process: it takes part in the
// grants of its failure domain, queues requests for the servers it holds,
// leases slots to and from the other hosts, and watches the servers' health.
//
// A request never leaves this host while it waits: hosts lend each other slots,
// not requests. So a host that holds a server and freezes costs another one
// first-reply timeout, and what is refused was never sent.
package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/health"
	"cassiatray/internal/port"
)

const (
	// lease is how long a grant lasts without renewal.
	lease = time.Second
	// roundInterval is the interval of renewals.
	roundInterval = 250 * time.Millisecond
	// pressInterval is the interval while this host lacks the grants of a
	// server that it should hold: its last holder may give it back any time.
	pressInterval = 25 * time.Millisecond
	// queuePerService bounds the queue of one service.
	queuePerService = 512
	// firstReply bounds the wait for another host's first reply to a request
	// for a slot: the cost of a frozen or unreachable owner.
	firstReply = 50 * time.Millisecond
	// cancelGrace is how long a slot stays counted after its connection was
	// closed: a server may take that long to see it.
	cancelGrace = 50 * time.Millisecond
	// borrowTries bounds how many hosts are asked for a slot.
	borrowTries = 2
)

// Config names this process.
type Config struct {
	Host        string
	Domain      string
	Incarnation uint64
}

// Source is what the manager reads of the process's snapshot.
type Source interface {
	// Index is the document in force, or nil before the first.
	Index() *document.Index
	// Live are the serving entry hosts of this domain as this host sees them,
	// itself among them unless it is leaving.
	Live() []string
}

// Manager is safe for concurrent use.
//
// Lock order: mu, then a service's own lock. Neither is held during I/O.
type Manager struct {
	cfg     Config
	source  Source
	peers   port.PeerCaller
	clock   port.Clock
	log     *logrus.Entry
	metrics *Metrics
	kick    chan struct{}
	// view is what this host holds, for the path of a request.
	view     atomic.Pointer[admission.ClaimView]
	services sync.Map

	mu     sync.Mutex
	claims *admission.Claims
	ledger *admission.Ledger
	// asking are the hosts with a message under way.
	asking map[string]bool
}

// New returns a manager that holds nothing.
func New(cfg Config, source Source, peers port.PeerCaller, clock port.Clock, log *logrus.Entry, m *Metrics) *Manager {
	self := admission.Holder{Host: cfg.Host, Incarnation: cfg.Incarnation}
	out := &Manager{
		cfg: cfg, source: source, peers: peers, clock: clock, log: log, metrics: m, kick: make(chan struct{}, 1),
		claims: admission.NewClaims(self, lease), asking: map[string]bool{},
	}
	out.view.Store(&admission.ClaimView{})
	return out
}

// Run renews and gives back grants until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		m.round(ctx, &wg)
		t := time.NewTimer(m.interval())
		select {
		case <-t.C:
		case <-m.kick:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// interval returns the time until the next round.
func (m *Manager) interval() time.Duration {
	if m.view.Load().Short(m.clock.Now()) {
		return pressInterval
	}
	return roundInterval
}

// Kick starts the next round at once.
func (m *Manager) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// service returns the state of a service, which stays for good.
func (m *Manager) service(name string) *service {
	if s, ok := m.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := m.services.LoadOrStore(name, newService(name, m.metrics))
	return s.(*service)
}

// limits returns how many requests this host may have on each server of a
// service now. The service must be locked.
func (m *Manager) limits(now time.Time, s *service) []admission.Limit {
	index := m.source.Index()
	if index == nil {
		return nil
	}
	svc := index.Service(s.name)
	if svc == nil {
		return nil
	}
	view := m.view.Load()
	start := health.Start{Slots: svc.ColdStart.InitialSlots, Warmup: svc.ColdStart.Warmup.D()}
	var out []admission.Limit
	for _, b := range svc.In(m.cfg.Domain) {
		key := admission.Key{Service: s.name, Server: b.Name}
		if !view.Holds(key) || index.ServerDraining(s.name, b, now) {
			continue
		}
		n := min(view.Limit(now, key, svc.Slots), s.health.Slots(now, b.Name, svc.Slots, start))
		out = append(out, admission.Limit{Server: b.Name, Slots: n})
	}
	return out
}

// Leaving reports whether a server may not be given new work for good.
func (m *Manager) Leaving(service, server string) bool {
	s := m.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Leaving(server)
}

// hold is the longest time a request of a service may run.
func hold(svc *document.ServiceIndex) time.Duration {
	var out time.Duration
	for _, c := range svc.Classes {
		out = max(out, c.Deadline.D())
	}
	return out
}
