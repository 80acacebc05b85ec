// Package store is a stand-in for the platform's key-value service: keys with
// check-and-set, blocking queries and leases in memory, served over HTTP, with
// call counting and faults on request. It is for tests and the demo only.
package store

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// pair is one stored key, in the service's JSON.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Store is the state of the stand-in. The zero value is not usable; see New.
type Store struct {
	mu      sync.Mutex
	pairs   map[string]pair
	leases  map[string]*lease
	index   uint64
	nextID  uint64
	changed chan struct{} // closed and replaced on each write
	counts  Counts
	faults  Faults
}

// New returns an empty store.
func New() *Store {
	return &Store{pairs: map[string]pair{}, leases: map[string]*lease{}, changed: make(chan struct{})}
}

func (s *Store) get(key string) (pair, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pairs[key]
	return p, ok
}

func (s *Store) list(prefix string) []pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []pair
	for key, p := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b pair) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// wait blocks until the key has a revision above after, the time is up, the
// client goes or a fault stops the call.
func (s *Store) wait(key string, after uint64, limit time.Duration, r *http.Request) (pair, bool) {
	s.watching(1)
	defer s.watching(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, ok := s.pairs[key]
		changed := s.changed
		stopped := s.faults.stops(r)
		s.mu.Unlock()
		if p.ModifyIndex > after || stopped {
			return p, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return p, ok
		case <-r.Context().Done():
			return p, ok
		}
	}
}

func (s *Store) put(key string, value []byte, cas *uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cas != nil && s.pairs[key].ModifyIndex != *cas {
		return false
	}
	s.write(pair{Key: key, Value: value, Session: s.pairs[key].Session})
	return true
}

func (s *Store) acquire(key string, value []byte, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := s.pairs[key].Session
	if s.leases[id] == nil || holder != "" && holder != id {
		return false
	}
	s.write(pair{Key: key, Value: value, Session: id})
	return true
}

func (s *Store) remove(key string, cas *uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pairs[key]
	if !ok {
		return cas == nil || *cas == 0
	}
	if cas != nil && p.ModifyIndex != *cas {
		return false
	}
	s.drop(key)
	return true
}

// write and drop need s.mu.
func (s *Store) write(p pair) {
	s.index++
	p.ModifyIndex = s.index
	s.pairs[p.Key] = p
	s.notify()
}

func (s *Store) drop(key string) {
	s.index++
	delete(s.pairs, key)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.lapse(id) })
	s.leases[id] = l
	return id
}

func (s *Store) renew(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return true
}

func (s *Store) revoke(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}

func (s *Store) lapse(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.expires) {
		s.end(id)
	}
}

// end needs s.mu.
func (s *Store) end(id string) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, p := range s.pairs {
		if p.Session == id {
			s.drop(key)
		}
	}
}
