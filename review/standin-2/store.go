package main

import (
	"bytes"
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

// A page of a listing holds at most pageItems items, and ends with the one that brings its values
// to pageBytes. A value is at most valueBytes long.
const (
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
)

// silentBeats is after how many heartbeat intervals of silence an entry is removed.
const silentBeats = 3

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// store is the platform's metadata store, linearizable and without limits on rates.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// times are those of the history's entries, and forgotten is the newest revision that the
	// history no longer has.
	times     []time.Time
	forgotten uint64
	// written is when the entries under servers/ were last written, changed or not.
	written map[string]time.Time
	leases  map[uint64]*lease
	next    uint64
	changed chan struct{}
	// cut is closed and replaced to cut all watches that wait.
	cut chan struct{}
	// patience is for how long a watch may wait before it is cut; zero for no limit.
	patience time.Duration
	// waiting counts the watches that wait.
	waiting int
}

func newStore(rec *recorder) *store {
	s := &store{rec: rec, revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, written: map[string]time.Time{}, next: 7000, changed: make(chan struct{}), cut: make(chan struct{})}
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
	for len(s.times) > 0 && now.Sub(s.times[0]) > historyTime {
		s.forgotten = s.history[0].Revision
		s.history, s.times = s.history[1:], s.times[1:]
	}
	for key, at := range s.written {
		if now.Sub(at) > silentBeats*beatInterval {
			delete(s.written, key)
			if _, ok := s.items[key]; ok {
				s.rec.logf("store: %s is silent and removed", key)
				s.change(item{Key: key, Deleted: true})
			}
		}
	}
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
	s.history, s.times = append(s.history, it), append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as an operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(key, "servers/") {
		s.written[key] = time.Now()
	}
	s.change(item{Key: key, Value: data})
}

// cutPatient has watches cut that have waited for a time.
func (s *store) cutPatient(patience time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience = patience
}

// beat notes a heartbeat that changes nothing of a server's entry but its sequence number.
func (s *store) beat(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[key] = time.Now()
}

// putAll writes entries under servers/ in one transaction, as another writer does. One that has
// that value already does not change.
func (s *store) putAll(keys []string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.written[key] = time.Now()
		if old, ok := s.items[key]; !ok || !bytes.Equal(old.Value, value) {
			s.change(item{Key: key, Value: value})
		}
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
	size, end := 0, 0
	for end < len(found) && end < pageItems && size < pageBytes {
		size += len(found[end].Value)
		end++
	}
	reply(w, http.StatusOK, map[string]any{"items": found[:end], "hasMore": end < len(found), "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(30*time.Second, time.Duration(wait)*time.Millisecond))
	for over := false; ; {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			s.rec.logf("store: watch after revision %d: 410", after)
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		var tired <-chan time.Time
		if s.patience > 0 {
			tired = time.After(s.patience)
		}
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
		case <-tired:
			s.rec.logf("store: the watch of %s has waited for long and is cut", r.RemoteAddr)
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
