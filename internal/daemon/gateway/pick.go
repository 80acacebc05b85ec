package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/pace"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// fullAt is the share of its slots from which on a server counts as full, so
// that objects spill to their next server.
const fullAt = 1.0

// choice is a server with what decided for it.
type choice struct {
	server *server
	// rank is the server's place in the object's order, from 0.
	rank int
	// busy is its estimated load as a share of its slots.
	busy float64
	cold time.Duration
}

// verdict says why no server was chosen.
type verdict string

// Values of verdict.
const (
	verdictNone    verdict = ""
	verdictUnknown verdict = "no server known"
	verdictTried   verdict = "all servers tried"
	verdictDown    verdict = "servers unreachable"
	verdictCold    verdict = "servers cold"
)

// pick chooses the server of a request: the first in the object's order that
// has room, or else the one with the most room.
func (n *Node) pick(v *view, route *routing.Route, service string, object uint64, tried map[*server]bool, now time.Time) (choice, verdict) {
	g := v.services[service]
	if g == nil {
		return choice{}, verdictUnknown
	}
	var best choice
	why := verdictUnknown
	for rank, i := range g.rank(object) {
		s := g.servers[i]
		switch {
		case !route.AllowsRegion(s.region):
			continue
		case tried[s]:
			why = verdictTried
			continue
		case s.down():
			n.check(v, s, now)
			why = verdictDown
			continue
		}
		c := choice{server: s, rank: rank, busy: s.busy(now), cold: s.coldLeft(now)}
		if c.cold > 0 && !n.mayWarm(v, s, now) {
			why = verdictCold
			continue
		}
		if s.change(func(h *fleet.Health) bool { return h.Shedding(now) }) {
			c.busy += 2
		}
		if c.busy < fullAt {
			return c, verdictNone
		}
		if best.server == nil || c.busy < best.busy {
			best = c
		}
	}
	if best.server != nil {
		return best, verdictNone
	}
	return choice{}, why
}

// mayWarm reports whether this gateway may send a request to a cold server now,
// and counts it.
func (n *Node) mayWarm(v *view, s *server, now time.Time) bool {
	rate := v.config.Services[s.rec().Service].ColdRate
	if rate <= 0 {
		return true
	}
	return pace.Owner(s.rec().ID, v.hosts) == n.cfg.Host && s.takePace(now, rate)
}

// checkTimeout bounds a health check.
const checkTimeout = time.Second

// check asks an unreachable server for its health if that is due.
func (n *Node) check(v *view, s *server, now time.Time) {
	if !s.change(func(h *fleet.Health) bool { return h.WantsCheck(now) }) {
		return
	}
	path := v.config.Services[s.rec().Service].HealthPath
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
		defer cancel()
		n.probe(ctx, s, path)
	})
}

func (n *Node) probe(ctx context.Context, s *server, path string) {
	rec := s.rec()
	n.metrics.checks.Inc()
	meta, status, err := n.prober.Probe(ctx, rec.Address, path)
	now := time.Now()
	log := n.log.WithFields(logrus.Fields{"server": rec.ID, "address": rec.Address, "status": status})
	// A server without a free slot refuses a check, too; it is alive.
	alive := err == nil && (status == 200 || meta.NotRun) && (meta.Instance == "" || meta.Instance == rec.ID)
	s.change(func(h *fleet.Health) bool {
		if !alive {
			return h.Unreachable(now)
		}
		if meta.Cold > 0 {
			h.Cold(now.Add(meta.Cold))
		}
		return h.Reached()
	})
	if alive {
		log.WithField("cold_ms", meta.Cold.Milliseconds()).Info("Server reached again.")
		return
	}
	log.WithError(err).Debug("Server still unreachable.")
}

// learn takes in an answer of a server.
func (s *server) learn(meta port.ServerMeta, mine int, now time.Time) {
	s.report(meta.Load, mine, now)
	s.change(func(h *fleet.Health) bool {
		if meta.Cold > 0 {
			h.Cold(now.Add(meta.Cold))
		}
		if meta.NotRun && !meta.OtherInstance {
			h.Shed(now)
		}
		if meta.OtherInstance {
			return h.Unreachable(now)
		}
		return h.Reached()
	})
}
