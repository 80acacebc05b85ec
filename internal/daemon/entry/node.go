// Package entry is the data path of an entry host: it answers look-ups, and
// forwards requests of callers to backend servers of its own failure domain or
// to entry hosts of others.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/operation"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/port"
)

// operationWindow is how old an operation ID may be when it arrives.
const operationWindow = 10 * time.Minute

// result is the final answer of a request: exactly one field is set.
type result struct {
	answer *port.CallerAnswer
	fail   *api.Error
}

// Node serves callers and other entry hosts.
//
// mu guards operations; it is never held during I/O.
type Node struct {
	cfg         Settings
	incarnation uint64
	feed        *Feed
	backend     port.Backend
	peers       port.PeerCaller
	slots       *slots.Manager
	clock       port.Clock
	log         *logrus.Entry
	metrics     *Metrics

	mu         sync.Mutex
	operations *operation.Table[result]
}

// NewNode returns a node that reads its snapshots from feed.
func NewNode(cfg Settings, incarnation uint64, feed *Feed, backend port.Backend, peers port.PeerCaller, slots *slots.Manager, clock port.Clock, log *logrus.Entry, m *Metrics) *Node {
	return &Node{
		cfg: cfg, incarnation: incarnation, feed: feed, backend: backend, peers: peers, slots: slots, clock: clock, log: log, metrics: m,
		operations: operation.NewTable[result](operationWindow),
	}
}

// Limit implements port.CallerService.
func (n *Node) Limit(service, method, path string) (int64, *api.Error) {
	_, _, class, fail := n.match(service, method, path)
	if fail != nil {
		return 0, fail
	}
	return int64(class.MaxBody), nil
}

func (n *Node) match(service, method, path string) (*Snapshot, *document.ServiceIndex, *document.Class, *api.Error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, nil, nil, notReady()
	}
	svc := snap.Index.Service(service)
	if svc == nil {
		return nil, nil, nil, unknownService(service)
	}
	class := svc.Match(method, path)
	if class == nil {
		return nil, nil, nil, unknownClass(method, path)
	}
	return snap, svc, class, nil
}

// Do implements port.CallerService.
func (n *Node) Do(ctx context.Context, req *port.CallerRequest) (*port.CallerAnswer, *api.Error) {
	snap, svc, class, fail := n.match(req.Service, req.Method, req.Path)
	if fail != nil {
		return nil, fail
	}
	limit := class.Deadline.D()
	if req.Timeout > 0 {
		limit = min(limit, req.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	x := &exchange{snap: snap, svc: svc, class: class, req: req}
	var out result
	if class.Execution == document.AtMostOnce {
		out = n.operate(ctx, x)
	} else {
		out = n.route(ctx, x)
	}
	n.metrics.observe(x, out)
	return out.answer, out.fail
}

// exchange is one request with the decisions that apply to it.
type exchange struct {
	snap  *Snapshot
	svc   *document.ServiceIndex
	class *document.Class
	req   *port.CallerRequest
	// hops is how many entry hosts have passed the request on.
	hops uint32
}
