package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/port"
)

// limitOf returns what a response says about the server's limit, and whether it says
// anything. A response that the server did not make, or in which the limit cannot be
// read, says nothing. One that rejects the request without naming a limit does not
// end the last one.
func limitOf(meta port.ServerMeta, now time.Time) (ratelimit.Limit, bool) {
	switch {
	case meta.OtherInstance || meta.LimitError != nil:
		return ratelimit.Limit{}, false
	case meta.Limit != nil:
		return ratelimit.Limit{Named: true, Rate: *meta.Limit, At: now}, true
	}
	return ratelimit.Limit{At: now}, !meta.NotRun
}

// limit returns the last limit that the server is known to have named.
func (s *server) limit() ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.namedLimit
}

// updateLimit replaces the server's limit if l is later. It returns the limit before.
func (s *server) updateLimit(l ratelimit.Limit) ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.namedLimit
	s.namedLimit = old.Later(l)
	return old
}

// recordLimit records what a response says about the server's limit.
func (n *Node) recordLimit(s *server, meta port.ServerMeta, now time.Time) {
	log := n.log.WithField("server", s.rec().ID)
	if meta.LimitError != nil {
		log.WithError(meta.LimitError).Warn("Limit of a server cannot be read; the last one stays in force.")
	}
	l, ok := limitOf(meta, now)
	if !ok {
		return
	}
	old := s.updateLimit(l)
	if old.SameAs(l) {
		return
	}
	log = log.WithFields(logrus.Fields{"limit": l.Rate, "old_limit": old.Rate})
	if l.Named {
		log.Info("Server limits its requests.")
	} else {
		log.Info("Server no longer limits its requests.")
	}
}
