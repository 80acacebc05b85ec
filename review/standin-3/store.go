package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
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

// lease ends at until; while the store is down it is paused with left to go.
type lease struct {
	ttl, left time.Duration
	until     time.Time
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md).
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	down     bool
	// turnedAway are the machines that get no answer but a reset.
	turnedAway map[string]bool
	// watches counts the watches of each machine.
	watches map[string]int
}

const pageItems = 500

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), turnedAway: map[string]bool{}, watches: map[string]int{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve answers the calls of one machine, which has an address of the store for itself.
func (s *store) serve(l net.Listener, machine string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, machine) })
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses(machine) {
			reset(w)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// reset ends a call with a reset of its connection.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// refuses reports whether the calls of a machine are reset.
func (s *store) refuses(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.turnedAway[machine]
}

// turnAway has the calls of machines reset, or answered again.
func (s *store) turnAway(away bool, machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		s.turnedAway[m] = away
	}
	s.wake()
}

// watchesOf returns how many watches a machine has begun.
func (s *store) watchesOf(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[machine]
}

// setDown takes the store away or brings it back. Leases pause meanwhile, and watches are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, l := range s.leases {
		if down {
			l.left = l.until.Sub(now)
		} else {
			l.until = now.Add(l.left)
		}
	}
	s.down = down
	s.wake()
}

// wake answers the watches that wait. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value []byte, lease uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, lease)
	s.wake()
	return s.revision
}

func (s *store) write(key string, value []byte, lease uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// remove removes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.erase(key)
		s.wake()
	}
}

func (s *store) erase(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.erase(key)
			s.wake()
		}
	}
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
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "createdRev": it.CreatedRev, "lease": it.Lease, "storeRevision": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, q.Get("pathPrefix")) && (q.Get("after") == "" || it.Key > q.Get("after")) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, machine string) {
	s.mu.Lock()
	s.watches[machine]++
	s.mu.Unlock()
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if s.down || s.turnedAway[machine] {
			s.mu.Unlock()
			reset(w)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	failed := []item{}
	for _, x := range t.ExpectedRev {
		if s.items[x.Key].Revision != x.Revision {
			failed = append(failed, s.items[x.Key])
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	s.revision++
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.erase(key)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := min(max(time.Duration(g.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
