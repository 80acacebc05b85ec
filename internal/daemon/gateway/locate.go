package gateway

import (
	"time"

	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// maxAddresses bounds an answer of the directory.
	maxAddresses = 64
	// hold is how long callers may hold an answer. Short answers take callers
	// off a gateway that stops within the time that it goes on serving.
	hold = time.Second
	// enough is how many gateways of the caller's own failure domain are needed
	// to name no others: one may fail.
	enough = 2
)

// Locate names gateways for a caller: those of its failure domain, else those
// of its region, else all.
func (n *Node) Locate(_, region, domain string) ([]string, time.Duration) {
	members := n.keeper.View().members
	near := addresses(members, func(m *peerv1.GatewayMember) bool { return m.Domain == domain })
	if len(near) < enough {
		if wider := addresses(members, func(m *peerv1.GatewayMember) bool { return m.Region == region }); len(wider) > 0 {
			near = wider
		}
	}
	if len(near) == 0 {
		near = addresses(members, func(*peerv1.GatewayMember) bool { return true })
	}
	return near[:min(len(near), maxAddresses)], min(hold, time.Duration(n.bounds.Load().HoldMax))
}

func addresses(members []*peerv1.GatewayMember, keep func(*peerv1.GatewayMember) bool) []string {
	var out []string
	for _, m := range members {
		if keep(m) {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}
