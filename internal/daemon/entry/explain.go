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

// serveExplain answers GET /explain?service=&client=.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	client, err := netip.ParseAddr(r.URL.Query().Get("client"))
	if err != nil {
		msg := fmt.Sprintf("client is not an IP address: %q", r.URL.Query().Get("client"))
		operatorhttp.WriteJSON(w, http.StatusBadRequest, &api.Error{Code: api.CodeBadClient, Message: msg, Outcome: api.OutcomeNotRun})
		return
	}
	out, fail := n.Explain(r.URL.Query().Get("service"), client)
	switch {
	case fail == nil:
		operatorhttp.WriteJSON(w, http.StatusOK, out)
	case fail.Code == api.CodeUnknownService:
		operatorhttp.WriteJSON(w, http.StatusNotFound, fail)
	default:
		operatorhttp.WriteJSON(w, http.StatusServiceUnavailable, fail)
	}
}

// Explain answers a look-up with its reasons.
func (n *Node) Explain(service string, client netip.Addr) (*operatorhttp.Explanation, *api.Error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, notReady()
	}
	if snap.Index.Service(service) == nil {
		return nil, unknownService(service)
	}
	now := n.clock.Now()
	v := n.steering.at(snap, now)
	block, ok := v.find(service, client)
	q := n.query(snap, service, client, block)
	out := &operatorhttp.Explanation{
		Service: service, Client: client.String(), Regions: q.Regions, Sequence: snap.Head.Sequence,
		Hosts: []operatorhttp.ExplainedHost{}, Notes: v.notes(service, now),
	}
	if ok {
		out.Block = block.Prefix.String()
	} else {
		out.Notes = append(out.Notes, "no client block holds the address, so this host's own region is preferred")
	}
	hosts := v.plan.Choose(nil, q)
	for i, h := range hosts {
		out.Hosts = append(out.Hosts, operatorhttp.ExplainedHost{
			Name: h.Name, Domain: h.Domain, Region: h.Region, Reason: v.reason(q, hosts, i, now),
		})
	}
	return out, nil
}

func (v *view) reason(q lookup.Query, hosts []lookup.Host, i int, now time.Time) string {
	h := hosts[i]
	if i > 0 && i == len(hosts)-1 && h.Domain != hosts[0].Domain {
		return "last resort in another failure domain than the first"
	}
	if i > 0 {
		return "another host of the first one's region"
	}
	weight := v.weights(now).Domain(q.Service, h.Domain)
	place := slices.Index(q.Regions, h.Region)
	switch {
	case place == 0:
		return fmt.Sprintf("first preference; its domain weighs %.1f slots", weight)
	case place > 0:
		return fmt.Sprintf("preference %d: earlier regions are drained for this caller or have no host; its domain weighs %.1f slots", place+1, weight)
	}
	return fmt.Sprintf("no preferred region can be used; its domain weighs %.1f slots", weight)
}

// notes lists drains in progress and domains whose load is not known.
func (v *view) notes(service string, now time.Time) []string {
	out := []string{}
	levels := v.levels[service]
	for region, level := range levels.Regions {
		out = append(out, fmt.Sprintf("drain of region %s has moved %.1f%% of its callers", region, 100*level))
	}
	for domain, level := range levels.Domains {
		out = append(out, fmt.Sprintf("drain of failure domain %s has moved %.1f%% of its callers", domain, 100*level))
	}
	for _, c := range v.changes {
		out = append(out, fmt.Sprintf("change of preferences by %s has moved %.1f%% of its callers", c.shift.ID, 100*c.levels[service]))
	}
	for _, domain := range v.snap.Index.Service(service).Domains() {
		l, known := v.loads[loadKey{service, domain}]
		switch {
		case known && !l.Fresh(now):
			out = append(out, "load of "+domain+" is stale: its weight is its slots alone")
		case known && l.Used() > 1:
			out = append(out, fmt.Sprintf("load of %s is over its slots: %.0f%%", domain, 100*l.Used()))
		}
	}
	if len(v.snap.Hosts) < len(v.snap.Members) {
		out = append(out, fmt.Sprintf("%d entry hosts are known but not serving", len(v.snap.Members)-len(v.snap.Hosts)))
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
