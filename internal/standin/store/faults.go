package store

import (
	"net/http"
	"slices"
	"time"
)

// ClientHeader names the client of a call. Clients that send none cannot be
// cut on their own.
const ClientHeader = "X-Platform-Client"

// Faults are the failures that the stand-in shows until told otherwise.
type Faults struct {
	// Down refuses every call, and ends waiting watches.
	Down bool `json:"down"`
	// WatchesDown refuses watches only, and ends those that wait.
	WatchesDown bool `json:"watchesDown"`
	// Cut are the names of clients that cannot reach the service: their calls
	// have no effect and no reply.
	Cut []string `json:"cut,omitempty"`
	// DelayMillis is added before each call takes effect.
	DelayMillis int `json:"delayMillis"`
	// LoseReplies is how many of the next writes take effect and then lose
	// their reply.
	LoseReplies int `json:"loseReplies"`
}

// stops reports whether a call gets no answer.
func (f Faults) stops(r *http.Request) bool {
	return f.Down || f.WatchesDown && isWatch(r) || f.cuts(r)
}

func (f Faults) cuts(r *http.Request) bool {
	name := r.Header.Get(ClientHeader)
	return name != "" && slices.Contains(f.Cut, name)
}

func isWatch(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Query().Has("index")
}

// SetFaults replaces the faults. Waiting watches look at them again.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// withFaults counts the call and applies the faults in force.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		if f.cuts(r) {
			panic(http.ErrAbortHandler)
		}
		counted := &countingWriter{ResponseWriter: w}
		s.count(r)
		defer func() { s.countBytes(r, counted.bytes) }()
		if !delay(r, time.Duration(f.DelayMillis)*time.Millisecond) {
			return
		}
		if s.currentFaults().stops(r) {
			http.Error(counted, "down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet && s.takeLostReply() {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(counted, r)
	})
}

// delay waits, unless the client goes first.
func delay(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Store) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

// discard is a response writer whose reply is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
