package entry

import (
	"context"
	"time"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/adapter/hostlist"
	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// SetLoads sets the function that returns the reported loads. It must be called before Run.
func (f *Feed) SetLoads(loads func() []*peerv1.ServiceLoad) { f.loads = loads }

// Index implements slots.Source.
func (f *Feed) Index() *document.Index {
	if s := f.Snapshot(); s != nil {
		return s.Index
	}
	return nil
}

// Live implements slots.Source. A draining process is not listed, so that other hosts take
// over its servers while it still serves.
func (f *Feed) Live() []string {
	var out []string
	if f.State() != peerv1.HostState_HOST_STATE_LEAVING {
		out = append(out, f.cfg.Host)
	}
	s := f.Snapshot()
	if s == nil {
		return out
	}
	for _, h := range s.Hosts {
		if h.Domain == f.cfg.Domain && h.Name != f.cfg.Host {
			out = append(out, h.Name)
		}
	}
	return out
}

// hostList returns the client of the platform's host list, or nil if none is configured.
func (n *Node) hostList() port.HostList {
	if !n.cfg.HostList.IsValid() {
		return nil
	}
	return hostlist.New(n.cfg.HostList.String())
}

// connectionLimitInterval is the interval at which the connection limit is updated from the
// document.
const connectionLimitInterval = time.Second

// limitConnections divides a server's connection limit among the entry hosts of the domain,
// so that together they do not exceed it.
func (n *Node) limitConnections(ctx context.Context, b *backendhttp.Client) {
	for ctx.Err() == nil {
		if limit := connectionLimit(n.feed.Index(), n.cfg.Domain); limit > 0 {
			b.SetLimit(limit)
		}
		sleep.For(ctx, connectionLimitInterval)
	}
}

// connectionLimit returns how many connections this host may open to any one server, or
// zero if there is no document.
func connectionLimit(index *document.Index, domain string) int {
	if index == nil || len(index.Hosts(domain)) == 0 {
		return 0
	}
	limit := 0
	for _, s := range index.Doc.Services {
		if limit == 0 || s.Connections < limit {
			limit = s.Connections
		}
	}
	return max(1, limit/len(index.Hosts(domain)))
}
