package entry

import (
	"context"
	"math/rand/v2"
	"strconv"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// servers returns the servers of this domain that no drain names. Drains of regions
// and domains are paced: see view.open.
func (n *Node) servers(x *exchange) []document.BackendServer {
	now := n.clock.Now()
	var out []document.BackendServer
	for _, b := range x.svc.In(n.cfg.Domain) {
		if !x.snap.Index.ServerDraining(x.svc.Name, b, now) {
			out = append(out, b)
		}
	}
	return out
}

// dispatch runs a request on a server of this domain.
func (n *Node) dispatch(ctx context.Context, x *exchange, servers []document.BackendServer) result {
	server, ok := n.acquire(x.svc, servers)
	if !ok {
		return result{fail: overloaded()}
	}
	defer n.release(x.svc.Name, server.Name)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = n.clock.Now().Add(x.class.Deadline.D())
	}
	a, err := n.backend.Do(ctx, server.Address.String(), &port.BackendRequest{
		Service: x.svc.Name,
		Method:  x.req.Method, Path: x.req.Path, RawQuery: x.req.RawQuery, Header: x.req.Header, Body: x.req.Body,
		RequestID: n.nextRequestID(), Deadline: deadline, MaxAnswer: int64(x.class.MaxAnswer),
		AtMostOnce: x.class.Execution == document.AtMostOnce,
	})
	if err != nil {
		return result{fail: backendError(err)}
	}
	return result{answer: &port.CallerAnswer{
		Status: a.Status, Header: a.Header, Body: a.Body, Server: server.Name, Host: n.cfg.Host,
	}}
}

func (n *Node) acquire(svc *document.ServiceIndex, servers []document.BackendServer) (document.BackendServer, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.gates[svc.Name]
	if g == nil {
		g = admission.NewGate(svc.Slots)
		n.gates[svc.Name] = g
	}
	g.SetServers(svc.Slots, servers)
	return g.Acquire()
}

func (n *Node) release(service, server string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gates[service].Release(server)
}

func (n *Node) nextRequestID() string {
	return strconv.FormatUint(n.incarnation, 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}
