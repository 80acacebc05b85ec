package entry

import (
	"net/netip"
	"strconv"

	"cassiatray/api"
	"cassiatray/internal/core/lookup"
)

// maxLookupHosts limits the number of hosts in a look-up answer.
const maxLookupHosts = 16

// Lookup implements port.CallerService.
func (n *Node) Lookup(service string, client netip.Addr) (*api.Lookup, *api.Error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, notReady()
	}
	if snap.Index.Service(service) == nil {
		return nil, unknownService(service)
	}
	now := n.clock.Now()
	v := n.steering.viewFor(snap, now)
	answer := &api.Lookup{
		Service: service, Sequence: snap.Head.Sequence, TTLMillis: snap.Index.Doc.Lookup.TTL.D().Milliseconds(),
	}
	block, ok := v.findBlock(service, client)
	if ok {
		answer.Block = block.Prefix.String()
	}
	var buf [maxLookupHosts]lookup.Host
	hosts := v.plan.Choose(buf[:0], n.lookupQuery(snap, service, client, block))
	answer.Hosts = make([]api.Host, len(hosts))
	for i, h := range hosts {
		answer.Hosts[i] = api.Host{
			Name: h.Name, Domain: h.Domain, Address: h.Caller, Incarnation: strconv.FormatUint(h.Incarnation, 10),
			Operation: api.OperationPrefix(h.Name, h.Incarnation, now),
		}
	}
	n.metrics.lookups.Inc()
	return answer, nil
}

// lookupQuery returns the criteria by which hosts are chosen for a caller. A caller whose
// address is in no client block prefers this host's region.
func (n *Node) lookupQuery(snap *Snapshot, service string, client netip.Addr, block lookup.Block) lookup.Query {
	q := lookup.Query{
		Service: service, Regions: block.Regions, Spread: lookup.SpreadOf(client),
		Count: min(snap.Index.Doc.Lookup.Hosts, maxLookupHosts),
	}
	if h := snap.Index.Host(n.cfg.Host); h != nil && len(q.Regions) == 0 {
		q.Regions = []string{h.Region}
	}
	return q
}
