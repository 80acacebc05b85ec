package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// sideConns bounds the connections of a listener beside that for callers' requests: those for
// look-ups, readiness and operators. Beyond the bound, the one that has been without a request for
// longest is closed, or the new one if all have one.
type sideConns struct {
	most int

	mu sync.Mutex
	// open holds since when a connection is without a request; zero for one that has one.
	open map[net.Conn]time.Time
}

func newSideConns(most int) *sideConns {
	return &sideConns{most: most, open: map[net.Conn]time.Time{}}
}

// state is an http.Server's ConnState.
func (s *sideConns) state(c net.Conn, state http.ConnState) {
	if s.most <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(s.open) >= s.most && !s.closeIdle() {
			c.Close()
		}
		s.open[c] = time.Now()
	case http.StateIdle:
		s.open[c] = time.Now()
	case http.StateActive:
		s.open[c] = time.Time{}
	default:
		delete(s.open, c)
	}
}

// closeIdle closes the connection that has been without a request for longest, and reports whether
// there is one. The caller holds s.mu.
func (s *sideConns) closeIdle() bool {
	var longest net.Conn
	for c, since := range s.open {
		if !since.IsZero() && (longest == nil || since.Before(s.open[longest])) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	// net/http tells of its end later.
	delete(s.open, longest)
	longest.Close()
	return true
}
