package server

import (
	"time"
)

// Stats are what the server has seen.
type Stats struct {
	Name     string `json:"name"`
	Runs     uint64 `json:"runs"`
	InFlight int    `json:"inFlight"`
	// MaxInFlight is the highest number of requests held at once, running or
	// waiting for a slot.
	MaxInFlight int    `json:"maxInFlight"`
	Canceled    uint64 `json:"canceled"`
	Connections int    `json:"connections"`
	// Accepted counts all connections, MaxConnections the most at once and
	// RefusedConnections those closed for the limit.
	Accepted           uint64 `json:"accepted"`
	MaxConnections     int    `json:"maxConnections"`
	RefusedConnections uint64 `json:"refusedConnections"`
	// Crashes is how often a request crashed the server.
	Crashes int `json:"crashes"`
	// LastStart is when the server last began a request, in Unix microseconds.
	LastStart int64 `json:"lastStart"`
	// Operations is how often each operation ran.
	Operations map[string]int `json:"operations"`
}

// Stats returns a copy of what the server has seen.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Operations = make(map[string]int, len(s.stats.Operations))
	for id, n := range s.stats.Operations {
		out.Operations[id] = n
	}
	return out
}

func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.stats.InFlight)
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight--
}

func (s *Server) run(operation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs++
	s.stats.LastStart = time.Now().UnixMicro()
	if operation != "" {
		s.stats.Operations[operation]++
	}
}

func (s *Server) crashFunc() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Crashes++
	return s.crash
}

func (s *Server) canceled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Canceled++
}
