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

// SetLoads sets where the reported loads come from. It is called before Run.
func (f *Feed) SetLoads(loads func() []*peerv1.ServiceLoad) { f.loads = loads }

// Index implements slots.Source.
func (f *Feed) Index() *document.Index {
	if s := f.Snapshot(); s != nil {
		return s.Index
	}
	return nil
}

// Live implements slots.Source. A process that is leaving holds no server, so
// that the others take them over while it still serves.
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

// hostList returns the platform's list of hosts, or nil when none is set.
func (n *Node) hostList() port.HostList {
	if !n.cfg.HostList.IsValid() {
		return nil
	}
	return hostlist.New(n.cfg.HostList.String())
}

// connectionsInterval is the interval at which the connection limit follows
// the document.
const connectionsInterval = time.Second

// limitConnections divides what a server accepts by the entry hosts of the
// domain, so that together they stay under its limit.
func (n *Node) limitConnections(ctx context.Context, b *backendhttp.Client) {
	for ctx.Err() == nil {
		if limit := connectionLimit(n.feed.Index(), n.cfg.Domain); limit > 0 {
			b.SetLimit(limit)
		}
		sleep.For(ctx, connectionsInterval)
	}
}

// connectionLimit returns this host's connections to any one server, or zero
// while there is no document.
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
