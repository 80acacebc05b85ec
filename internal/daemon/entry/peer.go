package entry

import (
	"context"
	"fmt"

	"cassiatray/api"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// forward sends a request to one incarnation of another entry process, which runs it. An
// at-most-once request that may have reached that process is not sent again.
func (n *Node) forward(ctx context.Context, r *request, address string, incarnation uint64) result {
	d := newDispatch(r)
	d.OriginDomain = n.cfg.Domain
	d.Attempt = r.nextAttemptNumber()
	out, err := n.callDispatch(ctx, address, incarnation, d)
	if err != nil {
		return result{failure: peerError(err)}
	}
	return out
}

// newDispatch returns the dispatch message of a request, without an attempt number.
func newDispatch(r *request) *peerv1.Dispatch {
	d := &peerv1.Dispatch{
		Service: r.received.Service, Method: r.received.Method, Path: r.received.Path, RawQuery: r.received.RawQuery,
		Headers: headersToProto(r.received.Header), Body: r.received.Body, Hops: r.hops + 1, Class: r.class.Name,
		HomeRegion: r.homeRegion, Sequence: r.snap.Head.Sequence,
	}
	if r.atMostOnce() {
		d.OperationId = r.received.OperationID
	}
	return d
}

// Serve implements peer.Handler.
func (n *Node) Serve(ctx context.Context, req *peerv1.Request) (*peerv1.Reply, error) {
	switch body := req.Body.(type) {
	case *peerv1.Request_SlotAsk:
		return n.slots.ServeAsk(req), nil
	case *peerv1.Request_Dispatch:
		out := n.serveDispatch(ctx, body.Dispatch)
		return &peerv1.Reply{Body: &peerv1.Reply_DispatchResult{DispatchResult: resultToProto(out)}}, nil
	case *peerv1.Request_Probe:
		return &peerv1.Reply{Body: &peerv1.Reply_ProbeResult{ProbeResult: &peerv1.ProbeResult{}}}, nil
	case *peerv1.Request_HandOver:
		return n.serveHandOver(body.HandOver)
	case *peerv1.Request_SuspectReport:
		return n.serveSuspectReport(ctx, body.SuspectReport), nil
	case *peerv1.Request_SuspectTurn:
		return n.serveTurn(body.SuspectTurn)
	}
	return nil, &peer.UnsupportedError{Body: fmt.Sprintf("%T", req.Body)}
}

// ServeFollow implements peer.Handler.
func (n *Node) ServeFollow(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	if slots.Serves(req) {
		return n.slots.ServeStream(ctx, req, send)
	}
	return &peer.UnsupportedError{Body: "follow"}
}

func (n *Node) serveDispatch(ctx context.Context, d *peerv1.Dispatch) result {
	if d.Attempt == 0 {
		return n.serveOwnedOperation(ctx, d)
	}
	r, failure := n.newRequest(requestFromDispatch(d))
	if failure != nil {
		return result{failure: failure}
	}
	r.hops, r.receivedAttempt = d.Hops, d.Attempt
	r.homeRegion, r.senderSequence = d.HomeRegion, d.Sequence
	if origin := r.snap.Index.Domain(d.OriginDomain); origin != nil {
		r.senderRegion = origin.Region
	}
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	if !r.atMostOnce() {
		return n.route(ctx, r)
	}
	id, err := api.ParseOperationID(d.OperationId)
	if err != nil {
		return result{failure: invalidOperationID(err)}
	}
	if err := n.operations.recordAttempt(n.clock.Now(), id, d.Attempt); err != nil {
		return result{failure: operationError(err)}
	}
	return n.route(ctx, r)
}

// serveOwnedOperation handles a message about an operation that this process owns, or whose
// record it inherited.
func (n *Node) serveOwnedOperation(ctx context.Context, d *peerv1.Dispatch) result {
	id, err := api.ParseOperationID(d.OperationId)
	if err != nil {
		return result{failure: invalidOperationID(err)}
	}
	if !n.owns(id) {
		if out, ok := n.inheritedResult(id); ok {
			return out
		}
		return result{failure: ownerGone(id)}
	}
	if d.QueryOnly {
		return n.sealOrAwait(ctx, id, operationNeverRan(id))
	}
	r, failure := n.newRequest(requestFromDispatch(d))
	if failure != nil {
		return n.sealOrAwait(ctx, id, failure)
	}
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	return n.runOrJoin(ctx, r, id)
}

func requestFromDispatch(d *peerv1.Dispatch) *port.CallerRequest {
	return &port.CallerRequest{
		Service: d.Service, Method: d.Method, Path: d.Path, RawQuery: d.RawQuery,
		Header: headersFromProto(d.Headers), Body: d.Body, OperationID: d.OperationId,
	}
}
