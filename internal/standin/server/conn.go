package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cassiatray/internal/adapter/backendhttp"
)

// Configure makes an HTTP server count the stand-in's connections and show
// their limit, their cost and the faults of reused ones.
func (s *Server) Configure(h *http.Server) {
	h.Handler = s.Handler()
	h.ConnState = s.connState
	h.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestsKey{}, new(atomic.Int64))
	}
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !s.open() {
			c.Close()
			return
		}
		time.Sleep(s.cfg.ConnectionCost)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		s.stats.Connections = max(0, s.stats.Connections-1)
		s.mu.Unlock()
	}
}

// open counts a connection and reports whether it is within the limit.
func (s *Server) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Connections++
	s.stats.Accepted++
	if s.cfg.Connections > 0 && s.stats.Connections > s.cfg.Connections {
		s.stats.RefusedConnections++
		return false
	}
	s.stats.MaxConnections = max(s.stats.MaxConnections, s.stats.Connections)
	return true
}

// requestsKey holds the number of requests of a connection in its context.
type requestsKey struct{}

// reused counts a request on its connection and reports whether another came
// before it.
func reused(r *http.Request) bool {
	n, ok := r.Context().Value(requestsKey{}).(*atomic.Int64)
	return ok && n.Add(1) > 1
}

func shed(w http.ResponseWriter, b Behavior) {
	w.Header().Set("Retry-After", "1")
	if b.ShedNotRun {
		w.Header().Set(backendhttp.HeaderNotRun, "true")
	}
	http.Error(w, "shedding", http.StatusServiceUnavailable)
}

// twice writes an answer two times on its connection.
func twice(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	resp := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: w.Header(), ContentLength: int64(len(body)),
	}
	for range 2 {
		resp.Body = io.NopCloser(bytes.NewReader(body))
		resp.Write(conn)
	}
}
