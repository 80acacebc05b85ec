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
	// maxPlaces bounds the places that one attempt of a request is offered to;
	// nearTakers and farTakers bound those of this region, for work of another,
	// and those of each other region.
	maxPlaces  = 6
	nearTakers = 3
	farTakers  = 2
	// leastWork is the time that a server must be left after both crossings.
	leastWork = 20 * time.Millisecond
)

// route runs a request that another host has placed here on a server of this
// domain; a caller's own is offered to one place after another until one takes
// it. A request goes on only while it was provably not run.
func (n *Node) route(ctx context.Context, x *exchange) result {
	if x.hops > 0 {
		return n.receive(ctx, x)
	}
	out := result{fail: noServer(x.svc.Name)}
	places := n.candidates(x)
	for _, p := range places[:min(len(places), maxPlaces)] {
		if !n.inTime(ctx, x, p) {
			continue
		}
		out = n.offer(ctx, x, p)
		if !refused(out) || ctx.Err() != nil {
			return out
		}
	}
	return out
}

// refused reports whether another place may be tried: this one had no room and
// did not run the request.
func refused(out result) bool {
	if out.fail == nil || out.fail.Outcome != api.OutcomeNotRun {
		return false
	}
	switch out.fail.Code {
	case api.CodeOverloaded, api.CodeNoServer, api.CodePeer, api.CodeStopping:
		return true
	}
	return false
}

// offer gives a request to one place.
func (n *Node) offer(ctx context.Context, x *exchange, p lookup.Host) result {
	if p.Name == n.cfg.Host {
		return n.receive(ctx, x)
	}
	m := x.snap.Members[p.Name]
	n.metrics.offers.WithLabelValues(x.svc.Name, p.Region).Inc()
	if p.Region == n.region(x) || !n.capped() {
		return n.send(ctx, x, m.EntryPeerAddress, m.EntryIncarnation)
	}
	permit, err := n.steering.reserve(x, p.Region, n.clock.Now())
	if err != nil {
		n.metrics.refused(x, err)
		return result{fail: notAdmitted(err)}
	}
	out := n.send(ctx, x, m.EntryPeerAddress, m.EntryIncarnation)
	permit.end(n.clock.Now(), permit.reserved)
	return out
}

// receive runs a request on a server of this domain, under the caps on work of
// other regions.
func (n *Node) receive(ctx context.Context, x *exchange) result {
	servers := n.servers(x)
	now := n.clock.Now()
	v := n.steering.at(x.snap, now)
	if len(servers) == 0 || !v.open(x, n.self(x)) {
		return result{fail: noServer(x.svc.Name)}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(x.class.Deadline.D())
	}
	if !n.capped() {
		return n.dispatch(ctx, x, servers)
	}
	permit, err := n.steering.admit(x, n.region(x), now, deadline)
	if err != nil {
		n.metrics.refused(x, err)
		return result{fail: notAdmitted(err)}
	}
	out := n.dispatch(ctx, x, servers)
	permit.end(n.clock.Now(), answerSize(out))
	return out
}

func (n *Node) self(x *exchange) lookup.Host {
	return lookup.Host{Name: n.cfg.Host, Domain: n.cfg.Domain, Region: n.region(x)}
}

// region returns this host's region.
func (n *Node) region(x *exchange) string {
	if d := x.snap.Index.Domain(n.cfg.Domain); d != nil {
		return d.Region
	}
	return ""
}

// inTime reports whether the deadline leaves time to cross to a place and back.
func (n *Node) inTime(ctx context.Context, x *exchange, p lookup.Host) bool {
	deadline, ok := ctx.Deadline()
	link := x.snap.Index.Doc.Link(n.region(x), p.Region)
	if !ok || link == nil {
		return true
	}
	return deadline.Sub(n.clock.Now()) >= 2*link.Delay.D()+leastWork
}

// capped reports whether caps are kept.
func (n *Node) capped() bool { return cmp.Or(n.cfg.Steering.Policy, PolicyCapacity) == PolicyCapacity }

// candidates lists hosts that may run a request under the policy of the
// settings.
func (n *Node) candidates(x *exchange) []lookup.Host {
	switch n.cfg.Steering.Policy {
	case PolicyNearest:
		return []lookup.Host{n.self(x)}
	case PolicyRandom:
		all := slices.Clone(x.snap.Hosts)
		all = slices.DeleteFunc(all, func(h lookup.Host) bool { return len(x.svc.In(h.Domain)) == 0 })
		if len(all) == 0 {
			return nil
		}
		return []lookup.Host{all[rand.IntN(len(all))]}
	}
	return n.places(x)
}

// places lists hosts that may run a request, in the order to try them: this
// one, others of the region, then those of the other regions in the order of
// the caller's preference. Work of another region goes to hosts that the
// document gives a part of its cap.
func (n *Node) places(x *exchange) []lookup.Host {
	v := n.steering.at(x.snap, n.clock.Now())
	region := n.region(x)
	var out []lookup.Host
	if self := n.self(x); len(n.servers(x)) > 0 && v.open(x, self) {
		out = append(out, self)
	}
	if x.home != "" && x.home != region {
		out = append(out, n.takers(x, v, region, nearTakers)...)
	} else {
		out = append(out, n.near(x, v, region)...)
	}
	for _, r := range n.regions(x) {
		out = append(out, n.takers(x, v, r, farTakers)...)
	}
	return out
}

// takers picks up to limit other hosts of a region that may take a request.
func (n *Node) takers(x *exchange, v *view, region string, limit int) []lookup.Host {
	home := cmp.Or(x.home, n.region(x))
	var part map[string]bool
	if home != region {
		part = v.takersOf(takerKey{x.svc.Name, home, region})
	}
	var out []lookup.Host
	for _, h := range v.hosts {
		if h.Region == region && h.Name != n.cfg.Host && v.open(x, h) && (home == region || part[h.Name]) {
			out = append(out, h)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), limit)]
}

// near returns one host of each other domain of the region, the least used
// domain first.
func (n *Node) near(x *exchange, v *view, region string) []lookup.Host {
	now := n.clock.Now()
	byDomain := map[string][]lookup.Host{}
	for _, h := range v.hosts {
		if h.Region == region && h.Domain != n.cfg.Domain && v.open(x, h) {
			byDomain[h.Domain] = append(byDomain[h.Domain], h)
		}
	}
	var out []lookup.Host
	for _, hosts := range byDomain {
		out = append(out, hosts[rand.IntN(len(hosts))])
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b lookup.Host) int {
		switch ua, ub := v.used(x.svc.Name, a.Domain, now), v.used(x.svc.Name, b.Domain, now); {
		case ua < ub:
			return -1
		case ua > ub:
			return 1
		}
		return 0
	})
	return out
}

// regions returns the other regions in the order of the caller's preference.
func (n *Node) regions(x *exchange) []string {
	block, _ := n.steering.at(x.snap, n.clock.Now()).find(x.svc.Name, x.req.Client)
	out := slices.Clone(block.Regions)
	for _, r := range x.snap.Index.Doc.Regions {
		if !slices.Contains(out, r.Name) {
			out = append(out, r.Name)
		}
	}
	own := n.region(x)
	return slices.DeleteFunc(out, func(r string) bool { return r == own })
}

type takerKey struct{ service, home, region string }

func (v *view) takersOf(k takerKey) map[string]bool {
	if m, ok := v.takers.Load(k); ok {
		return m.(map[string]bool)
	}
	m := share.Takers(v.snap.Index, share.Flow{Service: k.service, From: k.home}, k.region)
	v.takers.Store(k, m)
	return m
}

// open reports whether a host's domain has servers and is not drained.
func (v *view) open(x *exchange, h lookup.Host) bool {
	return len(x.svc.In(h.Domain)) > 0 && !v.levels[x.svc.Name].Done(h.Domain, h.Region)
}

// used returns the part of a domain's slots in use, and 1 when it is not known.
func (v *view) used(service, domain string, now time.Time) float64 {
	l := v.loads[loadKey{service, domain}]
	if !l.Fresh(now) {
		return 1
	}
	return l.Used()
}

// notAdmitted says what refused work of another region means to its caller.
func notAdmitted(err error) *api.Error {
	out := &api.Error{
		Code: api.CodeOverloaded, Message: err.Error(), Outcome: api.OutcomeNotRun,
		RetryAfterMillis: overloadRetry.Milliseconds(),
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
		RetryAfterMillis: overloadRetry.Milliseconds(),
	}
}
