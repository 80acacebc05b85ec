package store

import (
	"net/http"
	"strings"
)

// Counts are the calls received. A call that a fault refuses counts; one of a
// client that is cut does not arrive.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Lists are among Reads; Deletes and LeaseCalls among Writes.
	Lists      uint64 `json:"lists"`
	Deletes    uint64 `json:"deletes"`
	LeaseCalls uint64 `json:"leaseCalls"`
	// Waiting is how many watches wait now.
	Waiting int64 `json:"waiting"`
	// BytesIn and BytesOut are those of bodies.
	BytesIn  uint64 `json:"bytesIn"`
	BytesOut uint64 `json:"bytesOut"`
}

// Counts returns the calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case isWatch(r):
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/session/") || r.URL.Query().Has("acquire"):
		s.counts.LeaseCalls++
	case r.Method == http.MethodDelete:
		s.counts.Deletes++
	case r.URL.Query().Has("recurse"):
		s.counts.Lists++
	}
}

func (s *Store) countBytes(r *http.Request, out uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.BytesIn += uint64(max(0, r.ContentLength))
	s.counts.BytesOut += out
}

func (s *Store) watching(delta int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += delta
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	bytes uint64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += uint64(n)
	return n, err
}
