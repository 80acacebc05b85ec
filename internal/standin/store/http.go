package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const maxValue = 1 << 20

// Handler serves the key-value interface, and the stand-in's own controls
// under /standin/.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	kv := r.PathPrefix("/v1").Subrouter()
	kv.Use(s.withFaults)
	kv.HandleFunc("/kv/{key:.*}", s.serveGet).Methods(http.MethodGet)
	kv.HandleFunc("/kv/{key:.*}", s.servePut).Methods(http.MethodPut)
	kv.HandleFunc("/kv/{key:.*}", s.serveDelete).Methods(http.MethodDelete)
	kv.HandleFunc("/session/create", s.serveGrant).Methods(http.MethodPut)
	kv.HandleFunc("/session/renew/{id}", s.serveRenew).Methods(http.MethodPut)
	kv.HandleFunc("/session/destroy/{id}", s.serveRevoke).Methods(http.MethodPut)
	r.HandleFunc("/standin/faults", s.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/counts", s.serveCounts).Methods(http.MethodGet)
	return r
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	key, q := mux.Vars(r)["key"], r.URL.Query()
	if q.Has("recurse") {
		writePairs(w, s.list(key))
		return
	}
	p, ok := s.get(key)
	if q.Has("index") {
		after, err := strconv.ParseUint(q.Get("index"), 10, 64)
		limit, err2 := time.ParseDuration(q.Get("wait"))
		if err != nil || err2 != nil {
			http.Error(w, "bad index or wait", http.StatusBadRequest)
			return
		}
		p, ok = s.wait(key, after, limit, r)
		if s.currentFaults().stops(r) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
	}
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writePairs(w, []pair{p})
}

func writePairs(w http.ResponseWriter, pairs []pair) {
	if len(pairs) == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(pairs)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value over 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	key := mux.Vars(r)["key"]
	if id := r.URL.Query().Get("acquire"); id != "" {
		writeBool(w, s.acquire(key, value, id))
		return
	}
	cas, ok := casOf(w, r)
	if ok {
		writeBool(w, s.put(key, value, cas))
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	cas, ok := casOf(w, r)
	if ok {
		writeBool(w, s.remove(mux.Vars(r)["key"], cas))
	}
}

func casOf(w http.ResponseWriter, r *http.Request) (*uint64, bool) {
	text := r.URL.Query().Get("cas")
	if text == "" {
		return nil, true
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, "bad cas", http.StatusBadRequest)
		return nil, false
	}
	return &v, true
}

func writeBool(w http.ResponseWriter, v bool) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

type sessionBody struct {
	ID  string `json:",omitempty"`
	TTL string `json:",omitempty"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body sessionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad session", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	json.NewEncoder(w).Encode(sessionBody{ID: s.grant(ttl)})
}

func (s *Store) serveRenew(w http.ResponseWriter, r *http.Request) {
	if !s.renew(mux.Vars(r)["id"]) {
		http.Error(w, "no such session", http.StatusNotFound)
	}
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.revoke(mux.Vars(r)["id"])
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "bad faults", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Counts())
}
