package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
)

const (
	// maxHostsTried limits the hosts to which one attempt of a request is sent.
	// maxLocalCapHosts limits those of this region if the request belongs to another
	// region; maxRemoteHosts limits those of each other region.
	maxHostsTried    = 6
	maxLocalCapHosts = 3
	maxRemoteHosts   = 2
	// minServerTime is the least time that must remain for the server after the transit to
	// the other host and back.
	minServerTime = 20 * time.Millisecond
)

// route makes one attempt of a request, by the snapshot in force. A request that another host
// forwarded runs on a server of this domain. A request of this host's own caller is sent to
// one host after another until one accepts it; the next host is tried only if the request is
// known not to have run.
func (n *Node) route(ctx context.Context, r *request) result {
	service := r.svc.Name
	if r = n.withCurrentSnapshot(r); r == nil {
		return result{failure: unknownService(service)}
	}
	if r.hops > 0 {
		return n.runLocally(ctx, r)
	}
	out := result{failure: noServer(r.svc.Name)}
	hosts := n.candidates(r)
	for _, h := range hosts[:min(len(hosts), maxHostsTried)] {
		if !n.reachableInTime(ctx, r, h) {
			continue
		}
		out = n.tryHost(ctx, r, h)
		if !mayTryNextHost(out) || ctx.Err() != nil {
			return out
		}
	}
	return out
}

// mayTryNextHost reports whether a request may be sent to another host, because this one
// had no capacity, was unreachable or could not reach its servers, and did not run it.
func mayTryNextHost(out result) bool {
	if out.failure == nil || out.failure.Outcome != api.OutcomeNotRun {
		return false
	}
	switch out.failure.Code {
	case api.CodeOverloaded, api.CodeNoServer, api.CodePeer, api.CodeStopping, api.CodeBackend:
		return true
	}
	return false
}

// tryHost runs a request on one host, which may be this one.
func (n *Node) tryHost(ctx context.Context, r *request, h lookup.Host) result {
	if h.Name == n.cfg.Host {
		return n.runLocally(ctx, r)
	}
	m := r.snap.Members[h.Name]
	n.metrics.forwards.WithLabelValues(r.svc.Name, h.Region).Inc()
	if h.Region == n.localRegion(r) || !n.enforcesCaps() {
		return n.forward(ctx, r, m.EntryPeerAddress, m.EntryIncarnation)
	}
	permit, err := n.steering.reserve(r, h.Region, n.clock.Now())
	if err != nil {
		n.metrics.countCapRejection(r, err)
		return result{failure: capError(err)}
	}
	out := n.forward(ctx, r, m.EntryPeerAddress, m.EntryIncarnation)
	permit.release(n.clock.Now(), permit.reservedBytes)
	return out
}

// runLocally runs a request on a server of this domain, subject to the caps on work from
// other regions.
func (n *Node) runLocally(ctx context.Context, r *request) result {
	servers := n.availableServers(r)
	now := n.clock.Now()
	v := n.steering.viewFor(r.snap, now)
	if len(servers) == 0 || !v.usable(r, n.localHost(r)) {
		return result{failure: noServer(r.svc.Name)}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(r.class.Deadline.D())
	}
	if !n.enforcesCaps() {
		return n.dispatch(ctx, r, servers)
	}
	permit, err := n.steering.admit(r, n.localRegion(r), now, deadline)
	if err != nil {
		n.metrics.countCapRejection(r, err)
		return result{failure: capError(err)}
	}
	out := n.dispatch(ctx, r, servers)
	permit.release(n.clock.Now(), answerSize(out))
	return out
}

func (n *Node) localHost(r *request) lookup.Host {
	return lookup.Host{Name: n.cfg.Host, Domain: n.cfg.Domain, Region: n.localRegion(r)}
}

// localRegion returns this host's region.
func (n *Node) localRegion(r *request) string {
	if d := r.snap.Index.Domain(n.cfg.Domain); d != nil {
		return d.Region
	}
	return ""
}

// reachableInTime reports whether the deadline leaves enough time for the transit to a host
// and back.
func (n *Node) reachableInTime(ctx context.Context, r *request, h lookup.Host) bool {
	deadline, ok := ctx.Deadline()
	link := r.snap.Index.Doc.Link(n.localRegion(r), h.Region)
	if !ok || link == nil {
		return true
	}
	return deadline.Sub(n.clock.Now()) >= 2*link.Delay.D()+minServerTime
}

// enforcesCaps reports whether the steering policy enforces the caps.
func (n *Node) enforcesCaps() bool {
	return cmp.Or(n.cfg.Steering.Policy, PolicyCapacity) == PolicyCapacity
}

// candidates returns the hosts that may run a request under the configured steering policy.
func (n *Node) candidates(r *request) []lookup.Host {
	switch n.cfg.Steering.Policy {
	case PolicyNearest:
		return []lookup.Host{n.localHost(r)}
	case PolicyRandom:
		all := slices.Clone(r.snap.Hosts)
		all = slices.DeleteFunc(all, func(h lookup.Host) bool { return len(r.svc.In(h.Domain)) == 0 })
		if len(all) == 0 {
			return nil
		}
		return []lookup.Host{all[rand.IntN(len(all))]}
	}
	return n.candidatesByProximity(r)
}

// candidatesByProximity returns the hosts that may run a request, in the order to try them:
// this host, other hosts of its region, then those of the other regions in the caller's
// order of preference. Work of another region is sent only to hosts that have a share of
// the cap on that work.
func (n *Node) candidatesByProximity(r *request) []lookup.Host {
	v := n.steering.viewFor(r.snap, n.clock.Now())
	region := n.localRegion(r)
	var out []lookup.Host
	if self := n.localHost(r); len(n.availableServers(r)) > 0 && v.usable(r, self) {
		out = append(out, self)
	}
	if r.homeRegion != "" && r.homeRegion != region {
		out = append(out, n.hostsInRegion(r, v, region, maxLocalCapHosts)...)
	} else {
		out = append(out, n.hostsOfOtherDomains(r, v, region)...)
	}
	for _, other := range n.otherRegions(r) {
		out = append(out, n.hostsInRegion(r, v, other, maxRemoteHosts)...)
	}
	return out
}

// hostsInRegion returns up to limit random other hosts of a region that may run a request.
func (n *Node) hostsInRegion(r *request, v *routingView, region string, limit int) []lookup.Host {
	home := cmp.Or(r.homeRegion, n.localRegion(r))
	var capShare map[string]bool
	if home != region {
		capShare = v.hostsWithCapShare(capShareKey{r.svc.Name, home, region})
	}
	var out []lookup.Host
	for _, h := range v.hosts {
		if h.Region == region && h.Name != n.cfg.Host && v.usable(r, h) && (home == region || capShare[h.Name]) {
			out = append(out, h)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), limit)]
}

// hostsOfOtherDomains returns one host of each other domain of the region, ordered by the
// utilization of their domains, lowest first.
func (n *Node) hostsOfOtherDomains(r *request, v *routingView, region string) []lookup.Host {
	now := n.clock.Now()
	byDomain := map[string][]lookup.Host{}
	for _, h := range v.hosts {
		if h.Region == region && h.Domain != n.cfg.Domain && v.usable(r, h) {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	var out []lookup.Host
	for _, hosts := range byDomain {
		out = append(out, hosts[rand.IntN(len(hosts))])
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b lookup.Host) int {
		switch ua, ub := v.utilization(r.svc.Name, a.Domain, now), v.utilization(r.svc.Name, b.Domain, now); {
		case ua < ub:
			return -1
		case ua > ub:
			return 1
		}
		return 0
	})
	return out
}

// otherRegions returns all regions but this host's, in the caller's order of preference.
func (n *Node) otherRegions(r *request) []string {
	block, _ := n.steering.viewFor(r.snap, n.clock.Now()).findBlock(r.svc.Name, r.received.Client)
	out := slices.Clone(block.Regions)
	for _, region := range r.snap.Index.Doc.Regions {
		if !slices.Contains(out, region.Name) {
			out = append(out, region.Name)
		}
	}
	own := n.localRegion(r)
	return slices.DeleteFunc(out, func(r string) bool { return r == own })
}

type capShareKey struct{ service, home, region string }

func (v *routingView) hostsWithCapShare(k capShareKey) map[string]bool {
	if m, ok := v.capShareHosts.Load(k); ok {
		return m.(map[string]bool)
	}
	m := share.Takers(v.snapshot.Index, share.Flow{Service: k.service, From: k.home}, k.region)
	v.capShareHosts.Store(k, m)
	return m
}

// usable reports whether a host's domain has servers for a request and is not fully
// drained.
func (v *routingView) usable(r *request, h lookup.Host) bool {
	return len(r.svc.In(h.Domain)) > 0 && !v.drainLevels[r.svc.Name].Done(h.Domain, h.Region)
}

// utilization returns the share of a domain's slots that is in use, or 1 if no fresh load
// report is available.
func (v *routingView) utilization(service, domain string, now time.Time) float64 {
	l := v.loads[loadKey{service, domain}]
	if !l.Fresh(now) {
		return 1
	}
	return l.Used()
}

// capError converts the rejection of a request by a cap into the caller's error.
func capError(err error) *api.Error {
	out := &api.Error{
		Code: api.CodeOverloaded, Message: err.Error(), Outcome: api.OutcomeNotRun,
		RetryAfterMillis: defaultRetryAfter.Milliseconds(),
	}
	var refused *share.RefusedError
	if errors.As(err, &refused) {
		out.RetryAfterMillis = refused.RetryAfter.Milliseconds()
	}
	return out
}

func noServer(service string) *api.Error {
	return &api.Error{
		Code: api.CodeNoServer, Message: "no failure domain in reach has servers of " + service, Outcome: api.OutcomeNotRun,
		RetryAfterMillis: defaultRetryAfter.Milliseconds(),
	}
}
