package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/overload"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/sleep"
)

// coldCheckInterval is how often a server is checked for having turned cold in an outage of
// the store. Until all gateways know, it gets requests as a warm one; the bounds on
// requests to cold servers hold for any second.
const coldCheckInterval = 100 * time.Millisecond

// fullCheckInterval is the same for a server that is believed to have no free slot while a check
// waits there: each check takes a place in its queue, as a request does.
const fullCheckInterval = 400 * time.Millisecond

// A check that is not answered although a warm server would have had a free slot by then is
// a sign of a cold server, whose runs take several times as long and all its slots:
// checkRunTimes is how many service times a check may wait beyond the estimated queue, and
// checkSlack the time for the response.
const (
	checkRunTimes = 1.0
	checkSlack    = 30 * time.Millisecond
)

// awaitsColdCheck reports whether a server is to be checked for having turned cold: it can
// be reached, as far as is known here.
func awaitsColdCheck(h *fleet.Health) bool { return !h.Down() || h.Doubted() }

// checkColdServers checks servers while the store, which else says which of them are cold,
// is out of reach. One gateway checks a server, the one that would issue its permits.
func (n *Node) checkColdServers(ctx context.Context) {
	var checked *view
	var own []*server
	// nearby are the servers that this gateway checked once although another is to.
	nearby := map[*server]bool{}
	checking, interval := false, startPoll
	for sleep.For(ctx, interval) {
		if checking || time.Since(n.keeper.born) > introductionTime {
			interval = coldCheckInterval
		}
		if lag := n.syncer.recordsLag(time.Now()); lag != checking {
			checking = lag
			n.log.WithFields(logrus.Fields{"checking": checking, "view_age_ms": time.Since(n.keeper.Synced()).Milliseconds()}).
				Info("Checks of servers for coldness begin or end.")
		}
		if !checking || !n.linksWhole() {
			continue
		}
		if v := n.keeper.View(); v != checked {
			checked, own = v, n.serversToCheck(v)
		}
		list := own
		if time.Since(n.keeper.born) < introductionTime {
			list = slices.Concat(own, n.uncheckedNearby(checked, own, nearby))
		}
		for _, s := range list {
			now := time.Now()
			paused, _ := s.pauseLeft(now)
			if !s.withHealth(awaitsColdCheck) || s.remainingCold(now) > 0 || paused > 0 || s.isLeaving() {
				continue
			}
			if !s.takeColdCheck(n.usualRun(checked, s.rec().Service), now) {
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
		if !n.limitsColdServers(v, service) {
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

// uncheckedNearby returns the servers of this gateway's domain that are not its own to check and
// not among those that it has checked already, and adds them to these. Until started gateways
// know each other, each may take another for the one that checks a server.
func (n *Node) uncheckedNearby(v *view, own []*server, checked map[*server]bool) []*server {
	var out []*server
	for service, g := range v.groups {
		if !n.limitsColdServers(v, service) {
			continue
		}
		for _, s := range g.servers {
			if s.rec().Domain == n.cfg.Domain && !checked[s] && !slices.Contains(own, s) {
				checked[s] = true
				out = append(out, s)
			}
		}
	}
	return out
}

// checkCold asks a server whether it is cold. It says nothing about a server that does not
// respond: requests find out whether it can be reached.
func (n *Node) checkCold(ctx context.Context, s *server, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	defer s.endColdCheck()
	n.metrics.checks.Inc()
	rec := s.rec()
	sent, serviceTime := time.Now(), n.usualRun(n.keeper.View(), rec.Service)
	wait := overload.Load{Requests: s.estimatedRequests(sent, serviceTime), Slots: rec.Slots, Service: serviceTime}.Wait()
	suspect := time.AfterFunc(wait+time.Duration(checkRunTimes*float64(serviceTime))+checkSlack, func() { n.suspectCold(s, sent, sent.Add(serviceTime), time.Now()) })
	meta, _, err := n.prober.Probe(ctx, rec.Address, path)
	suspect.Stop()
	if err != nil {
		n.noteFailure(rec.ID, err, time.Since(sent), time.Now())
		n.log.WithField("server", rec.ID).WithError(err).Debug("Server not checked.")
		return
	}
	if meta.Instance != "" && meta.Instance != rec.ID {
		return
	}
	now := time.Now()
	n.noteResponse(true, now)
	n.recordSignals(s, meta, now)
	if meta.NotRun {
		return
	}
	s.recordLoad(meta.Load, s.inFlight(), now)
	if meta.Cold > 0 {
		s.holdColdPermits(now)
		n.learnCold(s, meta.Cold, now)
	}
	if s.withHealth(func(h *fleet.Health) bool { return h.Doubted() && h.Reached(now) }) {
		n.keeper.ReportAnswered(rec.ID, now)
	}
}

// usualRun returns how long a request of any route takes at a server of a service. A gateway that has
// sent none goes by the targets of the routes, as estimates by route do: most servers are checked by
// gateways without callers, to which each busy server would seem not to answer.
func (n *Node) usualRun(v *view, service string) time.Duration {
	if run, ok := n.serviceTimes.measured(service); ok {
		return run
	}
	if v.config == nil {
		return defaultServiceTime
	}
	return cmp.Or(v.config.LeastTarget(service)/2, defaultServiceTime)
}

// takeColdCheck reports whether a server may be checked for coldness now; endColdCheck says that
// the check has ended.
func (s *server) takeColdCheck(serviceTime time.Duration, now time.Time) bool {
	full := s.estimatedRequests(now, serviceTime) >= float64(s.rec().Slots)
	s.mu.Lock()
	defer s.mu.Unlock()
	if full && s.coldChecks > 0 && now.Sub(s.coldCheckedAt) < fullCheckInterval {
		return false
	}
	s.coldChecks++
	s.coldCheckedAt = now
	return true
}

func (s *server) endColdCheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldChecks--
}

// suspectCold has every gateway that got no response from a server since a time check it
// before it sends there again, because a check that was sent at a time is not answered.
func (n *Node) suspectCold(s *server, sent, since, now time.Time) {
	if !s.withHealth(func(h *fleet.Health) bool { return h.DoubtUnanswered(now, since) }) {
		return
	}
	id := s.rec().ID
	n.keeper.ReportUnanswered(id, since, now.Sub(sent), now)
	n.log.WithFields(logrus.Fields{"server": id, "waiting_ms": now.Sub(since).Milliseconds()}).Info("Server does not answer its check; it may be cold.")
}

// learnCold takes in that a server says that it is cold, and tells the other gateways if
// the store cannot.
func (n *Node) learnCold(s *server, cold time.Duration, now time.Time) {
	known := s.remainingCold(now) > 0
	s.withHealth(func(h *fleet.Health) bool { h.Cold(now.Add(cold)); return true })
	if !known && n.syncer.recordsLag(now) {
		n.keeper.ReportCold(s.rec().ID, cold, now)
	}
}
