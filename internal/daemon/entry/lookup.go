package entry

import (
	"net/netip"
	"strconv"

	"cassiatray/api"
	"cassiatray/internal/core/lookup"
)

// Lookup implements port.CallerService.
func (n *Node) Lookup(service string, client netip.Addr) (*api.Lookup, *api.Error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, notReady()
	}
	svc := snap.Index.Service(service)
	if svc == nil {
		return nil, unknownService(service)
	}
	answer := &api.Lookup{
		Service: service, Sequence: snap.Head.Sequence, TTLMillis: snap.Index.Doc.Lookup.TTL.D().Milliseconds(),
	}
	q := lookup.Query{Service: svc, Spread: client.String(), Count: snap.Index.Doc.Lookup.Hosts}
	if c, ok := snap.Table.Find(client); ok {
		answer.Block = c.Prefix.String()
		q.Regions = c.Regions
	}
	now := n.clock.Now()
	for _, h := range lookup.Choose(q, snap.Hosts) {
		answer.Hosts = append(answer.Hosts, api.Host{
			Name: h.Name, Domain: h.Domain, Address: h.Caller, Incarnation: strconv.FormatUint(h.Incarnation, 10),
			Operation: api.OperationPrefix(h.Name, h.Incarnation, now),
		})
	}
	n.metrics.lookups.Inc()
	return answer, nil
}
