package gateway

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/core/balance"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/links"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// view is a snapshot of all data that request handling reads. It is immutable, except
// for parts with their own lock, and is replaced as a whole.
type view struct {
	config *routing.Config
	// revision is the revision of the configuration's record.
	revision uint64
	groups   map[string]*serverGroup
	splits   map[*routing.Route]*lockedSplit
	// evacuated holds the failure domains whose servers receive no requests.
	evacuated map[string]bool
	// members are the gateways in the serving state.
	members []*peerv1.GatewayMember
	// reaching are the members with links to servers, or all if none has any. hosts are the
	// sorted host names of those that may own cold servers, gateways those that may issue
	// permits, and helpers all members as gateways that requests may be relayed to.
	reaching []*peerv1.GatewayMember
	hosts    []string
	gateways []ratelimit.Gateway
	helpers  []links.Gateway
	// retryExtraShare is this gateway's part of the retry allowance that all
	// gateways share.
	retryExtraShare float64
	// priorities are those of the requests to each service.
	priorities routing.Priorities
}

// serverGroup holds the servers of one service that may receive requests.
type serverGroup struct {
	ranking
	// near ranks them for requests with long bodies; nil if no route to the service has any.
	near *ranking
}

// rankingFor returns the ranking by which servers are chosen for requests of a route.
func (g *serverGroup) rankingFor(r *routing.Route) *ranking {
	if g.near != nil && r.LongBodies() {
		return g.near
	}
	return &g.ranking
}

// ranking orders the servers of a group for each object.
type ranking struct {
	servers []*server
	ring    *placement.Ring
	// rankCache maps an object to the first servers of its rendezvous order;
	// cachedRanks counts the entries.
	rankCache   sync.Map
	cachedRanks atomic.Int32
}

// cachedRankLength is how many servers of an object's order are cached: the
// preferred ones, and those that replace them while they cannot be used.
const cachedRankLength = 8

// maxCachedRanks bounds the rank cache. Callers choose the objects, and a group is
// replaced only when a server changes.
const maxCachedRanks = 4096

// ranked yields the servers in the object's rendezvous order with their rank, best
// first. cache is set if further requests for the object are expected.
func (g *ranking) ranked(object uint64, cache bool) iter.Seq2[int, *server] {
	return func(yield func(int, *server) bool) {
		first, ok := g.rankCache.Load(object)
		if !ok {
			first = g.ring.Rank(object, cachedRankLength)
			if cache && g.cachedRanks.Add(1) <= maxCachedRanks {
				g.rankCache.Store(object, first)
			}
		}
		cached := first.([]int)
		for rank, i := range cached {
			if !yield(rank, g.servers[i]) {
				return
			}
		}
		if len(cached) == len(g.servers) {
			return
		}
		for rank, i := range g.ring.Rank(object, len(g.servers)) {
			if rank >= len(cached) && !yield(rank, g.servers[i]) {
				return
			}
		}
	}
}

type lockedSplit struct {
	mu    sync.Mutex
	split *routing.Split
}

func (s *lockedSplit) choose(point float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.split.Choose(point)
}

// service returns the service that runs a request of the route. If the route is split
// between services, point selects one.
func (v *view) service(r *routing.Route, point float64) string {
	if s := v.splits[r]; s != nil {
		return s.choose(point)
	}
	return r.Parts[0].Service
}

// buildView returns a view of the mirror's records. The caller holds k.mu.
func (k *Keeper) buildView(now time.Time) *view {
	v := &view{config: k.config, revision: k.configRecord.Revision, splits: k.splits, priorities: k.priorities}
	if old := k.view.Load(); !k.placementChanged && old.groups != nil {
		v.groups, v.evacuated = old.groups, old.evacuated
	} else {
		k.groupServers(v)
		k.placementChanged = false
	}
	v.members = k.servingMembers(now)
	v.reaching = reachingMembers(v.members)
	for _, m := range v.reaching {
		if m.Host != k.cfg.Host || !now.Before(k.reclaimAt) {
			v.hosts = append(v.hosts, m.Host)
		}
		v.gateways = append(v.gateways, ratelimit.Gateway{Host: m.Host, Domain: m.Domain, Region: m.Region, Address: m.PeerAddress})
	}
	for _, m := range v.members {
		v.helpers = append(v.helpers, links.Gateway{
			Host: m.Host, Domain: m.Domain, Region: m.Region, Address: m.PeerAddress, Capacity: float64(m.Capacity), CutOff: m.CutOff,
		})
	}
	if !k.cutOff && !now.Before(k.reclaimAt) {
		v.retryExtraShare = retryExtraShare(v.reaching, k.cfg.Host)
	}
	return v
}

// reachingMembers returns the members with links to servers, or all if none has any.
func reachingMembers(members []*peerv1.GatewayMember) []*peerv1.GatewayMember {
	out := slices.DeleteFunc(slices.Clone(members), func(m *peerv1.GatewayMember) bool { return m.CutOff })
	if len(out) == 0 {
		return members
	}
	return out
}

// advertisedShare is the part of the shared retry allowance that goes to the gateways
// that Locate returns to callers. The others receive few requests and share the rest.
const advertisedShare = 0.9

// retryExtraShare returns a gateway's part of the shared retry allowance. The parts of
// gateways that agree on the members sum to no more than the whole.
func retryExtraShare(members []*peerv1.GatewayMember, host string) float64 {
	domains := map[string][]balance.Gateway{}
	for _, m := range members {
		domains[m.Domain] = append(domains[m.Domain], balance.Gateway{Host: m.Host, Capacity: float64(m.Capacity)})
	}
	advertised, isAdvertised := 0, false
	for _, list := range domains {
		for _, g := range balance.Narrow(list) {
			advertised++
			isAdvertised = isAdvertised || g.Host == host
		}
	}
	switch rest := len(members) - advertised; {
	case rest <= 0:
		return 1 / float64(max(1, advertised))
	case isAdvertised:
		return advertisedShare / float64(advertised)
	default:
		return (1 - advertisedShare) / float64(rest)
	}
}

// groupServers sets the view's groups of servers that may receive requests, and its
// evacuated domains. The caller holds k.mu.
func (k *Keeper) groupServers(v *view) {
	v.groups, v.evacuated = map[string]*serverGroup{}, map[string]bool{}
	evacuate := func(r mirror.Record) {
		if kind, name := k.schema.Kind(r.Key); kind == port.RecordEvacuation {
			v.evacuated[name] = true
		}
	}
	k.mirror.Each("", evacuate)
	for _, r := range k.lapsed {
		evacuate(r.Record)
	}
	for _, s := range k.servers {
		rec := s.rec()
		if rec.State != fleet.Ready || v.evacuated[rec.Domain] || s.region == "" {
			continue
		}
		if v.config == nil || v.config.Services[rec.Service] == nil {
			continue
		}
		g := v.groups[rec.Service]
		if g == nil {
			g = new(serverGroup)
			v.groups[rec.Service] = g
		}
		g.servers = append(g.servers, s)
	}
	long := v.config.LongBodied()
	for service, g := range v.groups {
		g.buildRings(k.cfg, long[service])
	}
}

// buildRings sorts the servers and builds the rendezvous rings: one for all requests, and one for
// those with long bodies if a route to the service has any.
func (g *serverGroup) buildRings(cfg *Settings, longBodies bool) {
	slices.SortFunc(g.servers, func(a, b *server) int { return strings.Compare(a.rec().ID, b.rec().ID) })
	regions := g.regionShares(cfg)
	g.ring = g.newRing(regions, nil)
	if longBodies {
		g.near = &ranking{servers: g.servers, ring: g.newRing(regions, g.domainShares(cfg))}
	}
}

// groupShare is the part of this gateway's objects that is placed on a group of servers, and the
// capacity of these.
type groupShare struct{ part, capacity float64 }

// regionShares returns the share of each region. All gateways of a region place objects alike,
// since they share their callers. Every failure domain is assumed to send the same number of
// requests. A server that names a limit gets fewer objects, so that its requests for those are
// within the limit and the others' objects stay warm at other servers.
func (g *serverGroup) regionShares(cfg *Settings) map[string]groupShare {
	callers := map[string]float64{}
	for _, d := range cfg.Domains {
		callers[d.Region]++
	}
	return shares(callers, cfg.Region, g.servers, func(s *server) string { return s.region })
}

// domainShares returns the share of each failure domain of this gateway's region in what is placed
// in the region: the gateway's own domain comes first, as far as its servers can carry the
// requests of its callers.
func (g *serverGroup) domainShares(cfg *Settings) map[string]groupShare {
	callers := map[string]float64{}
	for _, d := range cfg.Domains {
		if d.Region == cfg.Region {
			callers[d.Domain]++
		}
	}
	var own []*server
	for _, s := range g.servers {
		if s.region == cfg.Region {
			own = append(own, s)
		}
	}
	return shares(callers, cfg.Domain, own, func(s *server) string { return s.rec().Domain })
}

// shares returns the share of each group of servers for callers in the group own.
func shares(callers map[string]float64, own string, servers []*server, groupOf func(*server) string) map[string]groupShare {
	names := slices.Sorted(maps.Keys(callers))
	capacity := map[string]float64{}
	for _, s := range servers {
		capacity[groupOf(s)] += s.capacity()
	}
	zones := make([]placement.Zone, len(names))
	for i, name := range names {
		zones[i] = placement.Zone{Capacity: capacity[name], Callers: callers[name]}
	}
	out := map[string]groupShare{}
	for i, part := range placement.Shares(zones, slices.Index(names, own)) {
		out[names[i]] = groupShare{part: part, capacity: capacity[names[i]]}
	}
	return out
}

// leastWeight is the weight, per slot, of a server on which nothing is placed. It comes after all
// others, but in an order of its own for each object: with no weight at all, every object whose
// usual servers cannot be used would go to the same one.
const leastWeight = 1e-12

// leastNear is the weight of a server in another failure domain of the region, relative to its
// weight in the ring for all requests, if none of the domain's objects are placed there: it comes
// before those of other regions.
const leastNear = 1e-4

// newRing returns the ring for the given shares of regions and, unless nil, of the failure domains
// of this gateway's region.
func (g *serverGroup) newRing(regions, domains map[string]groupShare) *placement.Ring {
	list := make([]placement.Server, len(g.servers))
	for i, s := range g.servers {
		region := regions[s.region]
		weight := max(region.part*s.capacity()/region.capacity, leastWeight*s.capacity())
		if domain, ok := domains[s.rec().Domain]; ok {
			weight = max(region.part*domain.part*s.capacity()/domain.capacity, leastNear*weight)
		}
		list[i] = placement.Server{ID: s.rec().ID, Weight: weight}
	}
	return placement.NewRing(list)
}

// supersedes reports whether a is a later state of the same gateway than b: a process
// only moves from starting to serving to leaving, and counts the changes of its links.
func supersedes(a, b *peerv1.GatewayMember) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State), cmp.Compare(a.LinkChanges, b.LinkChanges)) > 0
}

// servingMembers returns the gateways in the serving state, sorted by host. The caller
// holds k.mu.
func (k *Keeper) servingMembers(now time.Time) []*peerv1.GatewayMember {
	all := map[string]*peerv1.GatewayMember{}
	for _, h := range k.heard {
		if now.Sub(h.at) < k.heardLife(now) {
			all[h.member.Host] = h.member
		}
	}
	for host, m := range k.stored {
		if h := all[host]; h == nil || supersedes(m, h) {
			all[host] = m
		}
	}
	out := make([]*peerv1.GatewayMember, 0, len(all))
	for _, m := range all {
		if m.State == peerv1.HostState_HOST_STATE_SERVING {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.GatewayMember) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
