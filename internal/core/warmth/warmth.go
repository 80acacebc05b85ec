// Package warmth tracks which objects a backend server has recently served for
// this gateway and is therefore warm for: it runs their requests in a fraction
// of the time. It is pure.
package warmth

import (
	"cmp"
	"time"
)

const (
	// maxObjects bounds the objects that are tracked for one server. Servers
	// cache a bounded number, and requests from other gateways fill the cache
	// too.
	maxObjects = 8
	// warmTTL is how long after its last request an object is assumed to be
	// cached at the server; after that, other objects are assumed to have
	// evicted it.
	warmTTL = 20 * time.Second
)

// Set is the set of objects that one server is assumed to be warm for. It is
// not safe for concurrent use.
type Set struct {
	// Size and TTL replace maxObjects and warmTTL unless they are zero.
	Size    int
	TTL     time.Duration
	entries []entry
}

// entry is an object with the time of its last request.
type entry struct {
	object uint64
	at     time.Time
}

// Note records that the server has served an object. It replaces the oldest
// entry if the set is full.
func (s *Set) Note(object uint64, now time.Time) {
	for i := range s.entries {
		if s.entries[i].object == object {
			s.entries[i].at = now
			return
		}
	}
	if len(s.entries) < cmp.Or(s.Size, maxObjects) {
		s.entries = append(s.entries, entry{object, now})
		return
	}
	oldest := 0
	for i := range s.entries {
		if s.entries[i].at.Before(s.entries[oldest].at) {
			oldest = i
		}
	}
	s.entries[oldest] = entry{object, now}
}

// Has reports whether the server is assumed to be warm for an object.
func (s *Set) Has(object uint64, now time.Time) bool {
	for i := range s.entries {
		if s.entries[i].object == object {
			return now.Sub(s.entries[i].at) < cmp.Or(s.TTL, warmTTL)
		}
	}
	return false
}

// Len returns the number of objects that the server is assumed to be warm for.
func (s *Set) Len(now time.Time) (n int) {
	for i := range s.entries {
		if now.Sub(s.entries[i].at) < cmp.Or(s.TTL, warmTTL) {
			n++
		}
	}
	return n
}
