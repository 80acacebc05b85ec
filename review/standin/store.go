package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of its history.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	ends  time.Time
}

// store stands in for the platform's key-value store. It answers at once and loses nothing.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]*lease
	lastID   uint64
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, lastID: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	mux.HandleFunc("POST /kv-txn", s.txn)
	go http.Serve(l, mux)
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "createdRev": it.CreatedRev, "lease": it.Lease, "storeRevision": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, 200, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id := s.lastID
	l := &lease{ttl: time.Duration(in.TTL) * time.Millisecond}
	l.ends = time.Now().Add(l.ttl)
	l.timer = time.AfterFunc(l.ttl, func() { s.lapse(id) })
	s.leases[id] = l
	reply(w, 200, map[string]any{"lease": id, "ttlMs": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.timer.Reset(l.ttl)
	l.ends = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.lapse(id)
	reply(w, 200, map[string]any{})
}

// lapse ends a lease, and with it its keys.
func (s *store) lapse(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.write(k, nil, 0)
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	held := true
	for _, e := range in.ExpectedRev {
		held = held && s.items[e.Key].Revision == e.Revision
		items = append(items, s.items[e.Key])
	}
	if !held {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, x := range in.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Deletes {
		s.write(k, nil, 0)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

// write sets or, without a value, deletes a key. The caller holds s.mu.
func (s *store) write(key string, value []byte, leaseID uint64) {
	old, exists := s.items[key]
	if value == nil && !exists {
		return
	}
	s.revision++
	if value == nil {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	} else {
		it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: old.CreatedRev, Lease: leaseID}
		if !exists {
			it.CreatedRev = s.revision
		}
		s.items[key] = it
		s.history = append(s.history, it)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a server.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// leaseOf returns when the lease of the first key with a suffix ends.
func (s *store) leaseOf(suffix string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, it := range s.items {
		if l := s.leases[it.Lease]; l != nil && strings.HasSuffix(k, suffix) {
			return l.ends, true
		}
	}
	return time.Time{}, false
}
