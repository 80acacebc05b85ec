package slots

import (
	"context"
	"sync"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/health"
	peerv1 "cassiatray/proto/peer/v1"
)

// round renews what this host should hold, gives back what it should not, and
// tells the other hosts its load and the servers it saw leaving.
func (m *Manager) round(ctx context.Context, wg *sync.WaitGroup) {
	index := m.source.Index()
	if index == nil {
		return
	}
	m.keepServers(index)
	hosts := index.Hosts(m.cfg.Domain)
	round := m.begin(index, hosts)
	loads, leaving := m.loads(), m.leaving()
	for _, h := range hosts {
		if h.Name == m.cfg.Host {
			m.voteForSelf(hosts)
			continue
		}
		ask, ok := m.ask(h.Name)
		if !ok {
			continue
		}
		msg := askMessage(ask)
		msg.Loads, msg.Leaving = loads, leaving
		wg.Go(func() { m.send(ctx, h, round, msg) })
	}
	m.pumpAll()
}

func (m *Manager) keepServers(index *document.Index) {
	for i := range index.Doc.Services {
		svc := index.Service(index.Doc.Services[i].Name)
		names := serverNames(svc.In(m.cfg.Domain))
		if len(names) == 0 {
			continue
		}
		s := m.service(svc.Name)
		s.mu.Lock()
		s.health.Keep(names)
		s.mu.Unlock()
	}
}

// wants returns the servers that this host should hold.
func (m *Manager) wants(index *document.Index) []admission.Want {
	live := m.source.Live()
	var out []admission.Want
	for i := range index.Doc.Services {
		svc := index.Service(index.Doc.Services[i].Name)
		servers := serverNames(svc.In(m.cfg.Domain))
		owners := admission.Assign(svc.Name, servers, live)
		for _, server := range servers {
			if owners[server] == m.cfg.Host {
				out = append(out, admission.Want{Key: admission.Key{Service: svc.Name, Server: server}, Hold: hold(svc)})
			}
		}
	}
	return out
}

func serverNames(servers []document.BackendServer) []string {
	out := make([]string, 0, len(servers))
	for _, b := range servers {
		out = append(out, b.Name)
	}
	return out
}

// begin starts a round. What is no longer wanted takes no work from the moment
// the view is published; only then is it asked whether it is idle.
func (m *Manager) begin(index *document.Index, hosts []document.EntryHost) uint64 {
	wants := m.wants(index)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ledger == nil {
		m.ledger = admission.NewLedger(m.clock.Now(), lease, names(hosts))
	}
	m.claims.Want(wants)
	m.view.Store(m.claims.View(names(hosts)))
	return m.claims.Round(m.idle)
}

func names(hosts []document.EntryHost) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

func (m *Manager) idle(key admission.Key) bool {
	s := m.service(key.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.InFlight(key.Server) == 0
}

// ask makes this round's message to a host, unless the last one is still under
// way.
func (m *Manager) ask(host string) (*admission.Ask, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asking[host] {
		return nil, false
	}
	m.asking[host] = true
	return m.claims.Ask(m.clock.Now(), host), true
}

func (m *Manager) voteForSelf(hosts []document.EntryHost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	ask := m.claims.Ask(now, m.cfg.Host)
	if answers, ok := m.ledger.Vote(now, ask); ok {
		m.claims.Take(ask.From, ask.Round, now, now, answers)
	}
	m.view.Store(m.claims.View(names(hosts)))
}

func (m *Manager) send(ctx context.Context, h document.EntryHost, round uint64, msg *peerv1.SlotAsk) {
	defer m.asked(h.Name)
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	sent := m.clock.Now()
	reply, err := m.peers.Call(ctx, h.Entry.String(), &peerv1.Request{Body: &peerv1.Request_SlotAsk{SlotAsk: msg}})
	if err != nil {
		m.log.WithError(err).WithField("host", h.Name).Debug("Renewal failed.")
		return
	}
	answer := reply.GetSlotAnswer()
	m.hear(h.Name, answer.GetLoads(), answer.GetLeaving())
	if answer.GetAccepted() {
		m.take(admission.Holder{Host: h.Name, Incarnation: reply.FromIncarnation}, round, sent, answersOf(answer))
	}
}

func (m *Manager) asked(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asking, host)
}

func (m *Manager) take(voter admission.Holder, round uint64, sent time.Time, answers []admission.Answer) {
	index := m.source.Index()
	m.mu.Lock()
	m.claims.Take(voter, round, sent, m.clock.Now(), answers)
	m.view.Store(m.claims.View(names(index.Hosts(m.cfg.Domain))))
	m.mu.Unlock()
	m.pumpAll()
}

// ServeAsk answers another host's round as a voter.
func (m *Manager) ServeAsk(req *peerv1.Request) *peerv1.Reply {
	msg := req.GetSlotAsk()
	m.hear(req.FromHost, msg.Loads, msg.Leaving)
	out := &peerv1.SlotAnswer{Loads: m.loads(), Leaving: m.leaving()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ledger != nil {
		ask := askOf(msg, admission.Holder{Host: req.FromHost, Incarnation: req.FromIncarnation})
		var answers []admission.Answer
		answers, out.Accepted = m.ledger.Vote(m.clock.Now(), ask)
		out.Grants = grantMessages(answers)
	}
	return &peerv1.Reply{Body: &peerv1.Reply_SlotAnswer{SlotAnswer: out}}
}

// hear takes in another host's load and the servers it saw leaving.
func (m *Manager) hear(host string, loads []*peerv1.ServiceLoad, leaving []*peerv1.ServerLeaving) {
	for _, l := range loads {
		m.service(l.Service).offer(host, offerMessage(l))
	}
	m.told(host, leaving)
}

// told passes on which servers a host says are leaving; those it does not name
// it says are not.
func (m *Manager) told(host string, leaving []*peerv1.ServerLeaving) {
	boots := make(map[admission.Key]string, len(leaving))
	for _, l := range leaving {
		boots[admission.Key{Service: l.GetKey().GetService(), Server: l.GetKey().GetServer()}] = l.Boot
	}
	now := m.clock.Now()
	m.services.Range(func(_, v any) bool {
		s := v.(*service)
		s.mu.Lock()
		defer s.mu.Unlock()
		for server := range s.health.States() {
			boot, says := boots[admission.Key{Service: s.name, Server: server}]
			s.health.Told(now, server, host, boot, says, health.CauseTold)
		}
		return true
	})
}

// loads returns the load of each service on the servers this host holds.
func (m *Manager) loads() []*peerv1.ServiceLoad {
	var out []*peerv1.ServiceLoad
	m.services.Range(func(_, s any) bool {
		out = append(out, m.loadOf(s.(*service)))
		return true
	})
	return out
}

// Loads returns the load of each service on the servers this host holds.
func (m *Manager) Loads() []*peerv1.ServiceLoad { return m.loads() }

// leaving returns the servers that this host knows to be leaving.
func (m *Manager) leaving() []*peerv1.ServerLeaving {
	var out []*peerv1.ServerLeaving
	m.services.Range(func(_, v any) bool {
		s := v.(*service)
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, st := range s.health.States() {
			if st.Leaving == "" {
				continue
			}
			out = append(out, &peerv1.ServerLeaving{
				Key: &peerv1.SlotKey{Service: s.name, Server: name}, Boot: st.LeftBoot, Cause: string(st.Leaving),
			})
		}
		return true
	})
	return out
}
