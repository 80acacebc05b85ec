package entry

import (
	"context"
	"math/rand/v2"

	"cassiatray/api"
	peerv1 "cassiatray/proto/peer/v1"
)

// maxHops bounds how often a request is passed on.
const maxHops = 2

// route runs a request on a server of this domain, or in another domain when
// this one has none.
func (n *Node) route(ctx context.Context, x *exchange) result {
	if servers := n.servers(x); len(servers) > 0 {
		return n.dispatch(ctx, x, servers)
	}
	return n.forward(ctx, x)
}

// forward passes a request to an entry host of a domain that has servers.
func (n *Node) forward(ctx context.Context, x *exchange) result {
	if x.hops >= maxHops {
		return result{fail: noServer(x.svc.Name)}
	}
	var hosts []*peerv1.Member
	for _, h := range x.snap.Hosts {
		if h.Domain != n.cfg.Domain && len(x.svc.In(h.Domain)) > 0 {
			hosts = append(hosts, x.snap.Members[h.Name])
		}
	}
	if len(hosts) == 0 {
		return result{fail: noServer(x.svc.Name)}
	}
	m := hosts[rand.IntN(len(hosts))]
	return n.send(ctx, x, m.EntryPeerAddress, m.EntryIncarnation)
}

func noServer(service string) *api.Error {
	return &api.Error{
		Code: api.CodeNoServer, Message: "no failure domain in reach has servers of " + service, Outcome: api.OutcomeNotRun,
		RetryAfterMillis: overloadRetry.Milliseconds(),
	}
}
