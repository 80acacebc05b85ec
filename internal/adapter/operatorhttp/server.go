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
)

// headerTimeout bounds how long an operator's request may take to arrive.
const headerTimeout = 5 * time.Second

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
	r.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, src.Dump()) }).Methods(http.MethodGet)
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

// Serve starts an HTTP server on a listener and returns it.
func Serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go s.Serve(l)
	return s
}
