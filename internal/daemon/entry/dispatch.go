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

// admission gives requests slots on servers of this domain and takes in what
// their exchanges show of the servers. *slots.Manager implements it.
type admission interface {
	Acquire(ctx context.Context, w slots.Want) (*slots.Slot, error)
	Answered(service, server string, a *port.BackendAnswer)
	Failed(service, server string, err error, full bool)
	Leaving(service, server string) bool
	Dump() slots.State
	ServeAsk(req *peerv1.Request) *peerv1.Reply
	ServeStream(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error
}

// servers returns the servers of this domain that no drain names and that are
// not seen leaving. Drains of regions and domains are paced: see view.open.
func (n *Node) servers(x *exchange) []document.BackendServer {
	now := n.clock.Now()
	var out []document.BackendServer
	for _, b := range x.svc.In(n.cfg.Domain) {
		if !x.snap.Index.ServerDraining(x.svc.Name, b, now) && !n.slots.Leaving(x.svc.Name, b.Name) {
			out = append(out, b)
		}
	}
	return out
}

// dispatch runs a request on a server of this domain, once it has a slot. The
// slot says which server: of those given, the one that has room.
func (n *Node) dispatch(ctx context.Context, x *exchange, _ []document.BackendServer) result {
	limit := n.clock.Now().Add(x.class.Deadline.D())
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	slot, err := n.slots.Acquire(ctx, slots.Want{Service: x.svc, Class: x.class, Deadline: deadline})
	if err != nil {
		return result{fail: slotError(err)}
	}
	return n.runOn(ctx, x, slot, deadline)
}

// runOn sends a request to the server of a slot.
func (n *Node) runOn(ctx context.Context, x *exchange, slot *slots.Slot, deadline time.Time) result {
	begin := n.clock.Now()
	a, err := n.backend.Do(ctx, slot.Address, &port.BackendRequest{
		Service: x.svc.Name,
		Method:  x.req.Method, Path: x.req.Path, RawQuery: x.req.RawQuery, Header: x.req.Header, Body: x.req.Body,
		RequestID: n.nextRequestID(), Deadline: deadline, MaxAnswer: int64(x.class.MaxAnswer),
		AtMostOnce: x.class.Execution == document.AtMostOnce,
	})
	took := n.clock.Now().Sub(begin)
	if err != nil {
		n.slots.Failed(x.svc.Name, slot.Server, err, 2*took >= x.class.Deadline.D())
		giveBack(slot, err)
		return result{fail: backendError(err)}
	}
	slot.Done(took)
	n.slots.Answered(x.svc.Name, slot.Server, a)
	return result{answer: &port.CallerAnswer{
		Status: a.Status, Header: a.Header, Body: a.Body, Server: slot.Server, Host: n.cfg.Host,
	}}
}

// giveBack ends a slot after a failure. While the server may still be at work
// the slot stays counted.
func giveBack(slot *slots.Slot, err error) {
	var be *port.BackendError
	if errors.As(err, &be) && (!be.Sent || be.Code == port.BackendShed) {
		slot.Unused()
		return
	}
	slot.Abandon()
}

// slotError says what it means to a caller that no slot was given: nothing was
// sent to any server.
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
		fail := overloaded()
		fail.Message = "no host that holds a server answered"
		return fail
	}
	fail := contextError(err)
	fail.Outcome = api.OutcomeNotRun
	return fail
}

func (n *Node) nextRequestID() string {
	return strconv.FormatUint(n.incarnation, 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}
