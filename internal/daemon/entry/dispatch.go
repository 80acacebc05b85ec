package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// slotManager grants requests slots on servers of this domain and records the results of
// exchanges with those servers. It is implemented by *slots.Manager.
type slotManager interface {
	Acquire(ctx context.Context, w slots.Want) (*slots.Slot, error)
	Answered(service, server string, a *port.BackendAnswer)
	Failed(service, server string, err error, full bool)
	Leaving(service, server string) bool
	Dump() slots.State
	ServeAsk(req *peerv1.Request) *peerv1.Reply
	ServeStream(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error
}

// availableServers returns the servers of this domain that the document does not drain and
// that are not known to be shutting down. Drains of whole regions and domains take effect
// gradually: see routingView.usable.
func (n *Node) availableServers(r *request) []document.BackendServer {
	now := n.clock.Now()
	var out []document.BackendServer
	for _, b := range r.svc.In(n.cfg.Domain) {
		if !r.snap.Index.ServerDraining(r.svc.Name, b, now) && !n.slots.Leaving(r.svc.Name, b.Name) {
			out = append(out, b)
		}
	}
	return out
}

// dispatch acquires a slot on a server of this domain and runs the request on the server
// that the slot names.
func (n *Node) dispatch(ctx context.Context, r *request, _ []document.BackendServer) result {
	limit := n.clock.Now().Add(r.class.Deadline.D())
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	slot, err := n.slots.Acquire(ctx, slots.Want{Service: r.svc, Class: r.class, Deadline: deadline})
	if err != nil {
		return result{failure: slotError(err)}
	}
	if !n.localPlaceUsable(r) {
		slot.Unused()
		return result{failure: noServer(r.svc.Name)}
	}
	return n.sendToServer(ctx, r, slot, deadline)
}

// localPlaceUsable reports whether the snapshot in force, which may be a later one than the request's,
// lets servers of this domain run the request.
func (n *Node) localPlaceUsable(r *request) bool {
	latest := n.withCurrentSnapshot(r)
	return latest != nil && n.steering.viewFor(latest.snap, n.clock.Now()).usable(latest, n.localHost(latest))
}

// sendToServer sends a request to the server of an acquired slot.
func (n *Node) sendToServer(ctx context.Context, r *request, slot *slots.Slot, deadline time.Time) result {
	start := n.clock.Now()
	answer, err := n.backend.Do(ctx, slot.Address, &port.BackendRequest{
		Service: r.svc.Name,
		Method:  r.received.Method, Path: r.received.Path, RawQuery: r.received.RawQuery, Header: r.received.Header, Body: r.received.Body,
		RequestID: n.nextRequestID(), Deadline: deadline, MaxAnswer: int64(r.class.MaxAnswer),
		AtMostOnce: r.class.Execution == document.AtMostOnce,
	})
	elapsed := n.clock.Now().Sub(start)
	if err != nil {
		n.slots.Failed(r.svc.Name, slot.Server, err, 2*elapsed >= r.class.Deadline.D())
		releaseSlot(slot, err)
		return result{failure: backendError(err)}
	}
	slot.Done(elapsed)
	n.slots.Answered(r.svc.Name, slot.Server, answer)
	return result{answer: &port.CallerAnswer{
		Status: answer.Status, Header: answer.Header, Body: answer.Body, Server: slot.Server, Host: n.cfg.Host,
	}}
}

// releaseSlot releases a slot after a failed exchange. If the server may still be working
// on the request, the slot stays counted as in use for a while.
func releaseSlot(slot *slots.Slot, err error) {
	var be *port.BackendError
	if errors.As(err, &be) && (!be.Sent || be.Code == port.BackendShed) {
		slot.Unused()
		return
	}
	slot.Abandon()
}

// slotError converts a failure to acquire a slot into the caller's error. The request was
// not sent to any server.
func slotError(err error) *api.Error {
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		return &api.Error{
			Code: api.CodeOverloaded, Message: "no slot: " + string(refused.Reason), Outcome: api.OutcomeNotRun,
			RetryAfterMillis: max(1, refused.RetryAfter.Milliseconds()),
		}
	}
	var pe *port.PeerError
	if errors.As(err, &pe) {
		failure := overloaded()
		failure.Message = "no host that holds a server answered"
		return failure
	}
	failure := contextError(err)
	failure.Outcome = api.OutcomeNotRun
	return failure
}

func (n *Node) nextRequestID() string {
	return strconv.FormatUint(n.incarnation, 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}
