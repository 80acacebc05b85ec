package gateway

import (
	"context"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/sleep"
)

// coldCheckInterval is how often a server is checked for having turned cold in an outage of
// the store. Until all gateways know, it gets requests as a warm one; the bounds on
// requests to cold servers hold for any second.
const coldCheckInterval = 250 * time.Millisecond

// checkColdServers checks servers while the store, which else says which of them are cold,
// is out of reach. One gateway checks a server, the one that would issue its permits.
func (n *Node) checkColdServers(ctx context.Context) {
	var checked *view
	var own []*server
	for sleep.For(ctx, coldCheckInterval) {
		if !n.syncer.outage(time.Now()) {
			continue
		}
		if v := n.keeper.View(); v != checked {
			checked, own = v, n.serversToCheck(v)
		}
		for _, s := range own {
			if s.isDown() || s.remainingCold(time.Now()) > 0 {
				continue
			}
			path := checked.config.Services[s.rec().Service].HealthPath
			// One that waits for a slot, or whose response is lost, does not delay the next.
			n.background.Go(func() { n.checkCold(ctx, s, path) })
		}
	}
}

// serversToCheck returns the servers that this gateway checks in an outage.
func (n *Node) serversToCheck(v *view) []*server {
	var own []*server
	for service, g := range v.groups {
		if v.config.Services[service].ColdRate <= 0 {
			continue
		}
		for _, s := range g.servers {
			if issuer, _ := ratelimit.Issuers(s.location(), v.gateways); issuer != nil && issuer.Host == n.cfg.Host {
				own = append(own, s)
			}
		}
	}
	return own
}

// checkCold asks a server whether it is cold. It says nothing about a server that does not
// respond: requests find out whether it can be reached.
func (n *Node) checkCold(ctx context.Context, s *server, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	n.metrics.checks.Inc()
	rec := s.rec()
	meta, _, err := n.prober.Probe(ctx, rec.Address, path)
	if err != nil {
		n.log.WithField("server", rec.ID).WithError(err).Debug("Server not checked.")
		return
	}
	if meta.Cold > 0 && (meta.Instance == "" || meta.Instance == rec.ID) {
		n.learnCold(s, meta.Cold, time.Now())
	}
}

// learnCold takes in that a server says that it is cold, and tells the other gateways if
// the store cannot.
func (n *Node) learnCold(s *server, cold time.Duration, now time.Time) {
	known := s.remainingCold(now) > 0
	s.withHealth(func(h *fleet.Health) bool { h.Cold(now.Add(cold)); return true })
	if !known && n.syncer.outage(now) {
		n.keeper.ReportCold(s.rec().ID, cold, now)
	}
}
