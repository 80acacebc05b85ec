package slots

import (
	"slices"
	"strings"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/health"
)

// State is the dump of admission on this host.
type State struct {
	Services []ServiceState `json:"services"`
}

// ServiceState is one service on this host.
type ServiceState struct {
	Service string        `json:"service"`
	Queued  int           `json:"queued"`
	Servers []ServerState `json:"servers"`
}

// ServerState is one server as this host sees it.
type ServerState struct {
	Server string `json:"server"`
	// Held says that this host should hold the server, Limit how many requests
	// it may have there now.
	Held     bool         `json:"held"`
	Votes    int          `json:"votes"`
	Limit    int          `json:"limit"`
	InFlight int          `json:"inFlight"`
	Leaving  health.Cause `json:"leaving,omitempty"`
	Ejected  bool         `json:"ejected,omitempty"`
	Boot     string       `json:"boot,omitempty"`
}

// Dump returns the state of admission.
func (m *Manager) Dump() State {
	var out State
	m.services.Range(func(_, s any) bool {
		out.Services = append(out.Services, m.dumpService(s.(*service)))
		return true
	})
	slices.SortFunc(out.Services, func(a, b ServiceState) int { return strings.Compare(a.Service, b.Service) })
	return out
}

func (m *Manager) dumpService(s *service) ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, view := m.clock.Now(), m.view.Load()
	limits := map[string]int{}
	for _, l := range m.limits(now, s) {
		limits[l.Server] = l.Slots
	}
	out := ServiceState{Service: s.name, Queued: s.pool.Queued()}
	for name, st := range s.health.States() {
		key := admission.Key{Service: s.name, Server: name}
		out.Servers = append(out.Servers, ServerState{
			Server: name, Held: view.Holds(key), Votes: view.Votes(now, key), Limit: limits[name], InFlight: s.pool.InFlight(name),
			Leaving: st.Leaving, Ejected: now.Before(st.EjectedUntil), Boot: st.Boot,
		})
	}
	slices.SortFunc(out.Servers, func(a, b ServerState) int { return strings.Compare(a.Server, b.Server) })
	return out
}
