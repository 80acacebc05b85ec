package server

import (
	"encoding/json"
	"fmt"
	"net/http"
)

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b := s.current()
	s.identify(w, b)
	if (b.Draining || b.Shed) && !b.LieHealthy {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, s.loadText(s.current()))
}

func (s *Server) serveBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, "bad behavior", http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Stats())
}
