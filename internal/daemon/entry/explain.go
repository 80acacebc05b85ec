package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"cassiatray/api"
	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/core/lookup"
)

// serveExplain handles GET /explain?service=&client=.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	client, err := netip.ParseAddr(r.URL.Query().Get("client"))
	if err != nil {
		msg := fmt.Sprintf("client is not an IP address: %q", r.URL.Query().Get("client"))
		operatorhttp.WriteJSON(w, http.StatusBadRequest, &api.Error{Code: api.CodeBadClient, Message: msg, Outcome: api.OutcomeNotRun})
		return
	}
	out, failure := n.Explain(r.URL.Query().Get("service"), client)
	switch {
	case failure == nil:
		operatorhttp.WriteJSON(w, http.StatusOK, out)
	case failure.Code == api.CodeUnknownService:
		operatorhttp.WriteJSON(w, http.StatusNotFound, failure)
	default:
		operatorhttp.WriteJSON(w, http.StatusServiceUnavailable, failure)
	}
}

// Explain performs a look-up and returns the hosts with the reason why each was chosen.
func (n *Node) Explain(service string, client netip.Addr) (*operatorhttp.Explanation, *api.Error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, notReady()
	}
	if snap.Index.Service(service) == nil {
		return nil, unknownService(service)
	}
	now := n.clock.Now()
	v := n.steering.viewFor(snap, now)
	block, ok := v.findBlock(service, client)
	q := n.lookupQuery(snap, service, client, block)
	out := &operatorhttp.Explanation{
		Service: service, Client: client.String(), Regions: q.Regions, Sequence: snap.Head.Sequence,
		Hosts: []operatorhttp.ExplainedHost{}, Notes: v.explanationNotes(service, now),
	}
	if ok {
		out.Block = block.Prefix.String()
	} else {
		out.Notes = append(out.Notes, "no client block holds the address, so this host's own region is preferred")
	}
	hosts := v.plan.Choose(nil, q)
	for i, h := range hosts {
		out.Hosts = append(out.Hosts, operatorhttp.ExplainedHost{
			Name: h.Name, Domain: h.Domain, Region: h.Region, Reason: v.selectionReason(q, hosts, i, now),
		})
	}
	return out, nil
}

func (v *routingView) selectionReason(q lookup.Query, hosts []lookup.Host, i int, now time.Time) string {
	h := hosts[i]
	if i > 0 && i == len(hosts)-1 && h.Domain != hosts[0].Domain {
		return "last resort in another failure domain than the first"
	}
	if i > 0 {
		return "another host of the first one's region"
	}
	weight := v.weights(now).Domain(q.Service, h.Domain)
	preference := slices.Index(q.Regions, h.Region)
	switch {
	case preference == 0:
		return fmt.Sprintf("first preference; its domain weighs %.1f slots", weight)
	case preference > 0:
		return fmt.Sprintf("preference %d: earlier regions are drained for this caller or have no host; its domain weighs %.1f slots", preference+1, weight)
	}
	return fmt.Sprintf("no preferred region can be used; its domain weighs %.1f slots", weight)
}

// explanationNotes lists drains and preference changes in progress, domains whose load
// report is stale or exceeds their slots, and the number of hosts that are not serving.
func (v *routingView) explanationNotes(service string, now time.Time) []string {
	out := []string{}
	levels := v.drainLevels[service]
	for region, level := range levels.Regions {
		out = append(out, fmt.Sprintf("drain of region %s has moved %.1f%% of its callers", region, 100*level))
	}
	for domain, level := range levels.Domains {
		out = append(out, fmt.Sprintf("drain of failure domain %s has moved %.1f%% of its callers", domain, 100*level))
	}
	for _, c := range v.changes {
		out = append(out, fmt.Sprintf("change of preferences by %s has moved %.1f%% of its callers", c.shift.ID, 100*c.movedShare[service]))
	}
	for _, domain := range v.snapshot.Index.Service(service).Domains() {
		l, known := v.loads[loadKey{service, domain}]
		switch {
		case known && !l.Fresh(now):
			out = append(out, "load of "+domain+" is stale: its weight is its slots alone")
		case known && l.Used() > 1:
			out = append(out, fmt.Sprintf("load of %s is over its slots: %.0f%%", domain, 100*l.Used()))
		}
	}
	if len(v.snapshot.Hosts) < len(v.snapshot.Members) {
		out = append(out, fmt.Sprintf("%d entry hosts are known but not serving", len(v.snapshot.Members)-len(v.snapshot.Hosts)))
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
