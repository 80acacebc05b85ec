package slots

import (
	"sync"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/health"
)

// service is this host's part in one service.
type service struct {
	name    string
	metrics *Metrics

	mu      sync.Mutex
	pool    *admission.Pool
	offers  *admission.Offers
	health  *health.Group
	waiting map[admission.Ticket]chan admission.Verdict
}

func newService(name string, m *Metrics) *service {
	return &service{
		name: name, metrics: m, pool: admission.NewPool(queuePerService),
		offers: admission.NewOffers(), health: health.NewGroup(), waiting: map[admission.Ticket]chan admission.Verdict{},
	}
}

// deliver ends the waits that verdicts are about. The service is locked.
func (s *service) deliver(verdicts []admission.Verdict) {
	for _, v := range verdicts {
		if c := s.waiting[v.Ticket]; c != nil {
			delete(s.waiting, v.Ticket)
			c <- v
		}
	}
}

// try starts a request at once.
func (m *Manager) try(s *service) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Try(m.limits(m.clock.Now(), s))
}

// admit queues a request; its verdict comes on the channel.
func (m *Manager) admit(s *service, r admission.Request) (admission.Ticket, <-chan admission.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := m.clock.Now()
	c := make(chan admission.Verdict, 1)
	ticket, verdicts := s.pool.Admit(now, r, m.limits(now, s))
	s.waiting[ticket] = c
	s.deliver(verdicts)
	return ticket, c
}

// cancel takes a request out of the queue. When its verdict came first, the
// slot it may have been given is freed.
func (m *Manager) cancel(s *service, t admission.Ticket, c <-chan admission.Verdict) {
	s.mu.Lock()
	if s.pool.Cancel(t) {
		delete(s.waiting, t)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	if v := <-c; v.Server != "" {
		m.done(s, v.Server, 0)
	}
}

// done frees a slot of a server that this host holds, or gives back: that can
// be done at once when nothing is left on it.
func (m *Manager) done(s *service, server string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := m.clock.Now()
	s.deliver(s.pool.Done(now, server, took, m.limits(now, s)))
	if s.pool.InFlight(server) == 0 && !m.view.Load().Holds(admission.Key{Service: s.name, Server: server}) {
		m.Kick()
	}
}

// pump starts and refuses waiters after limits or time have changed.
func (m *Manager) pump(s *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := m.clock.Now()
	limits := m.limits(now, s)
	s.deliver(s.pool.Pump(now, limits))
	s.metrics.load(s.name, offerOf(s, limits))
	s.metrics.health(s.name, now, s.health.States())
}

func (m *Manager) pumpAll() {
	m.services.Range(func(_, s any) bool {
		m.pump(s.(*service))
		return true
	})
}

func offerOf(s *service, limits []admission.Limit) admission.Offer {
	o := admission.Offer{Queued: s.pool.Queued()}
	for _, l := range limits {
		o.Slots += l.Slots
		o.InFlight += s.pool.InFlight(l.Server)
	}
	return o
}

// offer takes in what another host says of its load.
func (s *service) offer(host string, o admission.Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offers.Update(host, o)
}

// pick returns a host that seems to have a free slot.
func (s *service) pick() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offers.Pick()
}

func (s *service) drop(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offers.Drop(host)
}

func (s *service) shortest() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offers.Shortest()
}
