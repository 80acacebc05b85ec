package gateway

import (
	"time"

	"cassiatray/internal/core/balance"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// maxAddresses is the most gateways that Locate returns.
	maxAddresses = 64
	// maxAnswerAge is how long callers may cache the result. It is short so that
	// callers stop using a gateway that shuts down while it still serves.
	maxAnswerAge = time.Second
	// minDomainGateways is how many gateways the caller's failure domain must
	// have for only those to be returned: with two, one may fail.
	minDomainGateways = 2
)

// Locate returns the addresses of gateways for a caller, and how long the caller may
// cache them. Those without links to servers are left out while others have some. The candidates are the gateways of the caller's failure domain; if
// those are too few, those of its region; if there are none, all. balance.Narrow
// selects among the candidates.
func (n *Node) Locate(_, region, domain string) ([]string, time.Duration) {
	members := n.keeper.View().reaching
	candidates := gatewaysOf(members, func(m *peerv1.GatewayMember) bool { return m.Domain == domain })
	if len(candidates) < minDomainGateways {
		if wider := gatewaysOf(members, func(m *peerv1.GatewayMember) bool { return m.Region == region }); len(wider) > 0 {
			candidates = wider
		}
	}
	if len(candidates) == 0 {
		candidates = gatewaysOf(members, func(*peerv1.GatewayMember) bool { return true })
	}
	chosen := balance.Narrow(candidates)
	chosen = chosen[:min(len(chosen), maxAddresses)]
	out := make([]string, len(chosen))
	for i, g := range chosen {
		out[i] = g.Host
	}
	return out, min(maxAnswerAge, time.Duration(n.bounds.Load().HoldMax))
}

// gatewaysOf returns the members for which keep is true, with their addresses for
// callers as host names.
func gatewaysOf(members []*peerv1.GatewayMember, keep func(*peerv1.GatewayMember) bool) []balance.Gateway {
	var out []balance.Gateway
	for _, m := range members {
		if keep(m) {
			out = append(out, balance.Gateway{Host: m.CallerAddress, Capacity: float64(m.Capacity)})
		}
	}
	return out
}
