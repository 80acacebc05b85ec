package gateway

import (
	"cmp"
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

// updateLimit replaces the server's limit if l is later. It returns the limits before
// and after.
func (s *server) updateLimit(l ratelimit.Limit) (before, after ratelimit.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.namedLimit
	s.namedLimit = before.Later(l)
	return before, s.namedLimit
}

// updateCapacity recalculates which part of the work of its slots the server takes under
// its limit. It reports whether the placement of objects is to change.
func (s *server) updateCapacity(serviceTime time.Duration) bool {
	slots := s.rec().Slots
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.namedLimit.Named {
		share = ratelimit.CapacityShare(s.namedLimit.Rate, slots, serviceTime)
	}
	if !ratelimit.Moves(cmp.Or(s.capacityShare, 1), share) {
		return false
	}
	s.capacityShare = share
	return true
}

// capacity returns the number of slots that the placement of objects counts on.
func (s *server) capacity() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.capacityShare, 1) * float64(s.rec().Slots)
}

// recordLimit records what a response says about the server's limit.
func (n *Node) recordLimit(s *server, meta port.ServerMeta, now time.Time) {
	if meta.LimitError != nil {
		n.log.WithField("server", s.rec().ID).WithError(meta.LimitError).Warn("Limit of a server cannot be read; the last one stays in force.")
	}
	if l, ok := limitOf(meta, now); ok && n.updateLimit(s, l, n.cfg.Host) {
		n.tellIssuer(s)
	}
}

// updateLimit replaces the server's limit if l, which the gateway source received, is
// later. It reports whether the server began or ceased to name a limit.
func (n *Node) updateLimit(s *server, l ratelimit.Limit, source string) bool {
	before, after := s.updateLimit(l)
	if s.updateCapacity(n.serviceTimes.ofService(s.rec().Service)) {
		n.keeper.refreshPlacement()
	}
	if before.SameAs(after) {
		return false
	}
	log := n.log.WithFields(logrus.Fields{"server": s.rec().ID, "limit": after.Rate, "old_limit": before.Rate, "source": source})
	if after.Named {
		log.Info("Server limits its requests.")
	} else {
		log.Info("Server no longer limits its requests.")
	}
	return before.Named != after.Named
}
