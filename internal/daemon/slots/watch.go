package slots

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/health"
	"cassiatray/internal/port"
)

const (
	// probeInterval is the interval of health probes of one server.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// listInterval is the interval of reads of the platform's list.
	listInterval = 2 * time.Second
	listTimeout  = 2 * time.Second
	// listTeller is the platform's list among the tellers of leaving.
	listTeller = "platform's list"
)

// Answered takes in what an answer says of its server.
func (m *Manager) Answered(service, server string, a *port.BackendAnswer) {
	m.observe(service, server, func(now time.Time, g *health.Group) {
		g.Answered(now, server, a.Boot, a.Leaving)
		g.Succeeded(server)
	})
}

// Failed takes in a failed exchange with a server. Full says that the server
// had at least half of the class's deadline: a timeout counts only then.
func (m *Manager) Failed(service, server string, err error, full bool) {
	var be *port.BackendError
	if !errors.As(err, &be) {
		return
	}
	m.observe(service, server, func(now time.Time, g *health.Group) {
		switch be.Code {
		case port.BackendRefused:
			g.Refused(now, server)
		case port.BackendTimeout:
			if full {
				g.Failed(now, server)
			}
		case port.BackendConnect, port.BackendBroken, port.BackendMismatch, port.BackendShort, port.BackendShed:
			g.Failed(now, server)
		}
	})
}

// observe applies a sign; the other hosts hear of a new leaving at once.
func (m *Manager) observe(service, server string, sign func(time.Time, *health.Group)) {
	s := m.service(service)
	s.mu.Lock()
	before := s.health.Leaving(server)
	sign(m.clock.Now(), s.health)
	after := s.health.Leaving(server)
	s.mu.Unlock()
	if before == after {
		return
	}
	m.log.WithField("server", service+"/"+server).WithField("leaving", after).Info("Server changed.")
	m.Kick()
}

// Watch probes servers and reads the platform's list until the context ends.
// A nil list is not read.
func (m *Manager) Watch(ctx context.Context, prober port.BackendProber, list port.HostList) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, probeInterval, func() { m.probeAll(ctx, prober) }) })
	if list != nil {
		seen := newListed()
		wg.Go(func() { every(ctx, listInterval, func() { m.readList(ctx, list, seen) }) })
	}
	wg.Wait()
}

func every(ctx context.Context, d time.Duration, do func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// probeAll probes the servers that this host holds, and those it knows to be
// leaving, so that it sees them restart.
func (m *Manager) probeAll(ctx context.Context, prober port.BackendProber) {
	index := m.source.Index()
	if index == nil {
		return
	}
	var wg sync.WaitGroup
	view := m.view.Load()
	for i := range index.Doc.Services {
		name := index.Doc.Services[i].Name
		for _, b := range index.Service(name).In(m.cfg.Domain) {
			if view.Holds(admission.Key{Service: name, Server: b.Name}) || m.Leaving(name, b.Name) {
				wg.Go(func() { m.probe(ctx, prober, name, b) })
			}
		}
	}
	wg.Wait()
}

func (m *Manager) probe(ctx context.Context, prober port.BackendProber, service string, b document.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	h, err := prober.Probe(ctx, b.Address.String())
	if err == nil {
		m.observe(service, b.Name, func(now time.Time, g *health.Group) { g.Answered(now, b.Name, h.Boot, h.Leaving) })
		return
	}
	var be *port.BackendError
	if errors.As(err, &be) && be.Code == port.BackendRefused {
		m.observe(service, b.Name, func(now time.Time, g *health.Group) { g.Refused(now, b.Name) })
	}
}

// listed is what the platform's list said last. Only the reader uses it.
type listed struct{ present map[string]bool }

func newListed() *listed { return &listed{present: map[string]bool{}} }

// readList takes in the platform's list. One host of the domain reads it and
// tells the others.
func (m *Manager) readList(ctx context.Context, list port.HostList, seen *listed) {
	index := m.source.Index()
	if index == nil || admission.Assign(listTeller, []string{listTeller}, m.source.Live())[listTeller] != m.cfg.Host {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := list.Hosts(ctx)
	if err != nil {
		m.log.WithError(err).Debug("No list of hosts.")
		return
	}
	m.takeList(index, hosts, seen)
}

func (m *Manager) takeList(index *document.Index, hosts []port.ListedHost, seen *listed) {
	leaving := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		leaving[h.Address] = h.Leaving
	}
	if !seen.believable(leaving) {
		m.log.Warn("List of hosts lost over half of its hosts. Not believed.")
		return
	}
	for i := range index.Doc.Services {
		svc := index.Service(index.Doc.Services[i].Name)
		for _, b := range svc.In(m.cfg.Domain) {
			says, ok := lookUp(leaving, b.Address.AddrPort)
			gone := !ok && seen.present[b.Address.String()]
			seen.present[b.Address.String()] = ok || gone
			m.observe(svc.Name, b.Name, func(now time.Time, g *health.Group) {
				g.Told(now, b.Name, listTeller, "", says || gone, health.CauseListed)
			})
		}
	}
}

// believable reports whether at least half of the servers listed before are
// still listed: an empty or torn list is an outage, not a departure of all.
func (s *listed) believable(leaving map[string]bool) bool {
	before, still := 0, 0
	for address, was := range s.present {
		if !was {
			continue
		}
		before++
		if a, err := netip.ParseAddrPort(address); err == nil {
			if _, ok := lookUp(leaving, a); ok {
				still++
			}
		}
	}
	return 2*still >= before
}

// lookUp finds a server by its address, with or without its port.
func lookUp(leaving map[string]bool, a netip.AddrPort) (says, ok bool) {
	if says, ok = leaving[a.String()]; ok {
		return says, true
	}
	says, ok = leaving[a.Addr().String()]
	return says, ok
}
