// Package server is a stand-in for backend servers: it runs requests on a
// fixed number of slots, counts what it ran by operation, and shows the faults
// that real servers have. It is for tests and the demo only.
package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"cassiatray/internal/adapter/backendhttp"
)

// HeaderOperation names the operation that a request belongs to.
const HeaderOperation = "Cassiatray-Operation-Id"

// Config sets up one stand-in server.
type Config struct {
	Name  string
	Slots int
	// Work is the time one request takes on a warm server.
	Work time.Duration
	// Warmup is the time after start over which requests take longer: ColdFactor
	// times Work at first, falling in a line to Work.
	Warmup     time.Duration
	ColdFactor float64
	// Connections is how many connections the server accepts; it closes those
	// above at once. Zero is no limit.
	Connections int
	// ConnectionCost delays the first request on a connection.
	ConnectionCost time.Duration
}

// Server is one stand-in server.
type Server struct {
	cfg     Config
	started time.Time
	boot    int
	slots   chan struct{}
	crash   func()

	mu       sync.Mutex
	behavior Behavior
	stats    Stats
}

// New returns a stand-in. Crash is called for a request that asks for it with
// the query parameter "crash=1".
func New(cfg Config, crash func()) *Server {
	return &Server{
		cfg: cfg, started: time.Now(), slots: make(chan struct{}, cfg.Slots), crash: crash,
		stats: Stats{Name: cfg.Name, Operations: map[string]int{}},
	}
}

// Restart makes the server cold again after a crash. What it has counted stays.
func (s *Server) Restart(crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.crash = time.Now(), crash
	s.boot++
	s.stats.Connections = 0
}

// Handler serves requests, /health, /load and the controls under /standin/.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/health", s.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/standin/behavior", s.serveBehavior).Methods(http.MethodPut)
	r.HandleFunc("/standin/stats", s.serveStats).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.serveRequest)
	return r
}

// work returns how long the next request takes.
func (s *Server) work(b Behavior) time.Duration {
	d := s.cfg.Work + time.Duration(b.ExtraMillis)*time.Millisecond
	s.mu.Lock()
	age := time.Since(s.started)
	s.mu.Unlock()
	if age >= s.cfg.Warmup {
		return d
	}
	cold := 1 - float64(age)/float64(s.cfg.Warmup)
	return time.Duration(float64(d) * (1 + cold*(s.cfg.ColdFactor-1)))
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := s.current()
	if reused(r) && b.CloseReused {
		panic(http.ErrAbortHandler)
	}
	s.enter()
	defer s.leave()
	s.describe(w, r, b)
	if b.Shed && !b.ShedAfterRun {
		shed(w, b)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		s.canceled()
		return
	}
	s.run(r.Header.Get(HeaderOperation))
	if r.URL.Query().Get("crash") == "1" {
		s.crashFunc()()
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(s.work(b))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		s.canceled()
		return
	}
	s.answer(w, r, b, body)
}

// describe sets the headers that every answer has.
func (s *Server) describe(w http.ResponseWriter, r *http.Request, b Behavior) {
	id := r.Header.Get(backendhttp.HeaderRequestID)
	if b.Cross {
		id += "-crossed"
	}
	w.Header().Set(backendhttp.HeaderRequestID, id)
	w.Header().Set(backendhttp.HeaderLoad, s.loadText(b))
	s.identify(w, b)
}

// identify sets what answers and health answers say of the process.
func (s *Server) identify(w http.ResponseWriter, b Behavior) {
	w.Header().Set(backendhttp.HeaderBoot, s.bootID())
	if b.Draining && !b.LieHealthy {
		w.Header().Set(backendhttp.HeaderDraining, "true")
	}
}

func (s *Server) bootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Name + "-" + strconv.Itoa(s.boot)
}

func (s *Server) loadText(b Behavior) string {
	s.mu.Lock()
	used := s.stats.InFlight
	s.mu.Unlock()
	if b.LieLoad != 0 {
		used = b.LieLoad
	}
	return strconv.Itoa(used) + "/" + strconv.Itoa(s.cfg.Slots)
}

// Answer is the JSON body of every answer.
type Answer struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behavior, body []byte) {
	if b.Drop {
		panic(http.ErrAbortHandler)
	}
	if b.Shed {
		shed(w, b)
		return
	}
	out, _ := json.Marshal(Answer{Server: s.cfg.Name, Method: r.Method, Path: r.URL.Path, Bytes: len(body)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if b.Twice {
		twice(w, out)
		return
	}
	if b.Short {
		w.Write(out[:len(out)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(out)
}
