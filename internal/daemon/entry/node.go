// Package entry implements the request path of an entry host. It answers look-ups and
// forwards callers' requests to backend servers of its own failure domain, or to entry
// hosts of other domains.
package entry

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
)

// result is the final result of a request. Exactly one of answer and failure is set.
type result struct {
	answer  *port.CallerAnswer
	failure *api.Error
}

// Node is the process-wide state of an entry process. It serves callers and other entry
// hosts.
type Node struct {
	cfg         Settings
	incarnation uint64
	feed        *Feed
	backend     *suspectBackend
	peers       port.PeerCaller
	slots       slotManager
	clock       port.Clock
	log         *logrus.Entry
	metrics     *Metrics
	operations  *operationRecords
	// memory bounds what is held for callers and peers; nil for no bound.
	memory   *membudget.Budget
	budgets  *retryBudgets
	suspects *suspects
	steering *steering
	// turnRequests counts the turns for suspects that this process has requested. The count
	// makes the holder names of its turns unique.
	turnRequests atomic.Uint64
	draining     atomic.Bool
}

// NewNode returns a node that reads its snapshots from feed.
func NewNode(cfg Settings, incarnation uint64, feed *Feed, backend port.Backend, prober port.BackendProber, peers port.PeerCaller, slots slotManager, clock port.Clock, log *logrus.Entry, m *Metrics) *Node {
	n := &Node{
		cfg: cfg, incarnation: incarnation, feed: feed, peers: peers, slots: slots, clock: clock, log: log, metrics: m,
		operations: newOperationRecords(recordLimits(0)), budgets: newRetryBudgets(), suspects: newSuspects(),
		steering: newSteering(cfg, clock),
	}
	n.backend = &suspectBackend{Backend: backend, prober: prober, node: n, servers: map[string]*unfinished{}}
	return n
}

// Leaving implements port.CallerService.
func (n *Node) Leaving() bool { return n.draining.Load() }

// Limit implements port.CallerService.
func (n *Node) Limit(service, method, path string) (int64, *api.Error) {
	_, _, class, failure := n.matchClass(service, method, path)
	if failure != nil {
		return 0, failure
	}
	return int64(class.MaxBody), nil
}

func (n *Node) matchClass(service, method, path string) (*Snapshot, *document.ServiceIndex, *document.Class, *api.Error) {
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
	r, failure := n.newRequest(req)
	if failure != nil {
		return nil, n.Refuse(ctx, req.OperationID, failure)
	}
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	var out result
	switch {
	case r.lacksOperationID():
		out = result{failure: operationIDRequired(r.class.Name)}
	case r.atMostOnce():
		out = n.runAtMostOnce(ctx, r)
	default:
		out = n.runWithRetries(ctx, r)
	}
	n.metrics.countRequest(r, out)
	return out.answer, out.failure
}

// request is one request together with the snapshot, service and class that apply to it.
type request struct {
	snap     *Snapshot
	svc      *document.ServiceIndex
	class    *document.Class
	received *port.CallerRequest
	// hops is how many entry hosts have forwarded the request.
	hops uint32
	// receivedAttempt is the attempt number, from 1, that the first entry host gave to the
	// attempt that this host received.
	receivedAttempt uint32
	// attemptsSent is the number of attempts that this host has sent as the request's first
	// entry host. It is the last attempt's number.
	attemptsSent *atomic.Uint32
	// homeRegion is the region that the caller belongs to, or empty if it is not known.
	homeRegion string
	// senderRegion is the region of the entry host that forwarded the request.
	// senderSequence is the sequence number of that host's document.
	senderRegion   string
	senderSequence uint64
}

func (n *Node) newRequest(req *port.CallerRequest) (*request, *api.Error) {
	snap, svc, class, failure := n.matchClass(req.Service, req.Method, req.Path)
	if failure != nil {
		return nil, failure
	}
	r := &request{snap: snap, svc: svc, class: class, received: req, attemptsSent: new(atomic.Uint32)}
	if block, ok := n.steering.viewFor(snap, n.clock.Now()).findBlock(svc.Name, req.Client); ok {
		r.homeRegion = block.Regions[0]
	}
	return r, nil
}

// withCurrentSnapshot returns a copy of the request with the snapshot in force and the class that it was
// matched with, or nil if its service is gone.
func (n *Node) withCurrentSnapshot(r *request) *request {
	out := *r
	out.snap = n.feed.Snapshot()
	if out.svc = out.snap.Index.Service(r.svc.Name); out.svc == nil {
		return nil
	}
	return &out
}

// atMostOnce reports whether the request may run at most once.
func (r *request) atMostOnce() bool { return r.class.Execution == document.AtMostOnce }

// lacksOperationID reports whether the request has no operation ID although its class
// requires one. At-most-once classes always do.
func (r *request) lacksOperationID() bool {
	return r.received.OperationID == "" && (r.atMostOnce() || r.class.RequireOperationID)
}

// nextAttemptNumber returns the number of the attempt to be sent next. Only the first entry
// host counts attempts; a host that forwards a received attempt keeps its number.
func (r *request) nextAttemptNumber() uint32 {
	if r.hops > 0 {
		return r.receivedAttempt
	}
	return r.attemptsSent.Add(1)
}

// withDeadline limits the request to its class's deadline or the caller's timeout,
// whichever is shorter.
func (r *request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := r.class.Deadline.D()
	if r.received.Timeout > 0 {
		limit = min(limit, r.received.Timeout)
	}
	return context.WithTimeout(ctx, limit)
}
