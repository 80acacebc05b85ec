// Package operatorhttp serves a program's operator address: /metrics for
// Prometheus, /dump with the program's whole state in JSON, /healthz and
// /readyz.
package operatorhttp

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/membudget"
)

// Limits of an operator's connection.
const (
	headerTimeout = 5 * time.Second
	headerBytes   = 16 << 10
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 90 * time.Second
)

// maxReports is how many dumps, and how many reports of metrics, are made and sent at once: each is
// held whole.
const maxReports = 4

// Source is what a program shows to operators.
type Source interface {
	// Dump returns the whole state as a value for encoding/json.
	Dump() any
	// Ready returns nil once the program can serve.
	Ready() error
}

// NewRouter returns the routes of an operator address. Programs may add
// routes of their own.
func NewRouter(src Source, reg *prometheus.Registry) *mux.Router {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxReports})).Methods(http.MethodGet)
	dumps := make(chan struct{}, maxReports)
	r.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		select {
		case dumps <- struct{}{}:
			defer func() { <-dumps }()
			WriteJSON(w, http.StatusOK, src.Dump())
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many dumps at once", http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := src.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
	return r
}

// WriteJSON writes a value with a status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(value)
}

// Serve starts an HTTP server on a listener and returns it. What its connections hold counts for
// budget; there are at most conns of them, 0 for any number.
func Serve(l net.Listener, h http.Handler, budget *membudget.Budget, conns int) *callerconn.Server {
	limits := callerconn.Limits{
		HeadBytes: headerBytes, HeadLines: headerBytes / callerconn.MinLine,
		HeadTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	s := &callerconn.Server{
		Handler: h, Budget: budget, MaxConns: conns,
		Independent: func(*http.Request) bool { return false },
		Limits:      func() callerconn.Limits { return limits },
	}
	go s.Serve(l)
	return s
}
