package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"createdRev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// pageSize is how many items a page of a listing holds.
const pageSize = 500

// store is the platform's metadata store, linearizable and without limits on rates. It keeps
// its whole history.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	// cut is closed and replaced to cut all watches that wait.
	cut chan struct{}
	// waiting counts the watches that wait.
	waiting int
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, next: 7000, changed: make(chan struct{}), cut: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rec.logf("store: lease %d ended, key %s removed", id, key)
			s.change(item{Key: key, Deleted: true})
		}
	}
}

// change applies a write or a removal. The caller holds s.mu.
func (s *store) change(it item) {
	s.revision++
	it.Revision = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.CreatedRev = old.CreatedRev
	} else {
		it.CreatedRev = s.revision
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as an operator or a server does; remove removes one.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Deleted: true})
	}
}

// cutWatches ends the connections of all watches that wait, without a response. It returns how
// many there were.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.waiting
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(30*time.Second, time.Duration(wait)*time.Millisecond))
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		waits := len(events) == 0 && !over
		if waits {
			s.waiting++
		}
		s.mu.Unlock()
		if !waits {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		ended := false
		select {
		case <-changed:
		case <-end:
			over = true
		case <-cut:
			s.rec.logf("store: the watch of %s that waits is cut", r.RemoteAddr)
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, e := range t.ExpectedRev {
		failed = failed || s.items[e.Key].Revision != e.Revision
		if it, ok := s.items[e.Key]; ok {
			current = append(current, it)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "storeRevision": s.revision})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, x := range t.Writes {
		s.change(item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Deleted: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := min(10*time.Minute, max(time.Second, time.Duration(body.TTLMs)*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
