package entry

import (
	"context"
	"fmt"
	"net/http"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// send passes a request to one incarnation of another entry process.
func (n *Node) send(ctx context.Context, x *exchange, address string, incarnation uint64) result {
	d := &peerv1.Dispatch{
		Service: x.req.Service, Method: x.req.Method, Path: x.req.Path, RawQuery: x.req.RawQuery,
		Headers: headerMessages(x.req.Header), Body: x.req.Body, OperationId: x.req.OperationID,
		OriginDomain: n.cfg.Domain, Hops: x.hops + 1, Class: x.class.Name,
	}
	req := &peerv1.Request{ToIncarnation: incarnation, Body: &peerv1.Request_Dispatch{Dispatch: d}}
	reply, err := n.peers.Call(ctx, address, req)
	if err != nil {
		return result{fail: peerError(err)}
	}
	return resultOf(reply.GetDispatchResult())
}

// Serve implements peer.Handler.
func (n *Node) Serve(ctx context.Context, req *peerv1.Request) (*peerv1.Reply, error) {
	if req.GetSlotAsk() != nil {
		return n.slots.ServeAsk(req), nil
	}
	d := req.GetDispatch()
	if d == nil {
		return nil, &UnsupportedError{Body: fmt.Sprintf("%T", req.Body)}
	}
	out := n.serveDispatch(ctx, req, d)
	return &peerv1.Reply{Body: &peerv1.Reply_DispatchResult{DispatchResult: resultMessage(out)}}, nil
}

// ServeFollow implements peer.Handler.
func (n *Node) ServeFollow(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	if slots.Serves(req) {
		return n.slots.ServeStream(ctx, req, send)
	}
	return &UnsupportedError{Body: "follow"}
}

// UnsupportedError is an exchange that this process does not answer.
type UnsupportedError struct{ Body string }

func (e *UnsupportedError) Error() string { return "unsupported exchange " + e.Body }

// ErrorCode implements peer.CodedError.
func (e *UnsupportedError) ErrorCode() string { return "unsupported" }

func (n *Node) serveDispatch(ctx context.Context, req *peerv1.Request, d *peerv1.Dispatch) result {
	snap, svc, class, fail := n.match(d.Service, d.Method, d.Path)
	if fail != nil {
		return result{fail: fail}
	}
	ctx, cancel := context.WithTimeout(ctx, class.Deadline.D())
	defer cancel()
	x := &exchange{snap: snap, svc: svc, class: class, hops: d.Hops, req: &port.CallerRequest{
		Service: d.Service, Method: d.Method, Path: d.Path, RawQuery: d.RawQuery,
		Header: headersOf(d.Headers), Body: d.Body, OperationID: d.OperationId,
	}}
	if class.Execution != document.AtMostOnce {
		return n.route(ctx, x)
	}
	id, err := api.ParseOperationID(d.OperationId)
	if err != nil {
		return result{fail: &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeNotRun}}
	}
	// The owner of the operation sends it here to be run, once.
	if id.Host == req.FromHost && id.Incarnation == req.FromIncarnation {
		return n.route(ctx, x)
	}
	return n.operate(ctx, x)
}

func headerMessages(h http.Header) []*peerv1.Header {
	var out []*peerv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersOf(list []*peerv1.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out.Add(h.Name, h.Value)
	}
	return out
}

var outcomeMessages = map[api.Outcome]peerv1.Outcome{
	api.OutcomeDone:    peerv1.Outcome_OUTCOME_DONE,
	api.OutcomeNotRun:  peerv1.Outcome_OUTCOME_NOT_RUN,
	api.OutcomeUnknown: peerv1.Outcome_OUTCOME_UNKNOWN,
}

func resultMessage(r result) *peerv1.DispatchResult {
	if r.fail != nil {
		return &peerv1.DispatchResult{
			Outcome: outcomeMessages[r.fail.Outcome],
			Failure: &peerv1.Failure{Code: string(r.fail.Code), Message: r.fail.Message, RetryAfterMillis: r.fail.RetryAfterMillis},
		}
	}
	a := r.answer
	return &peerv1.DispatchResult{
		Outcome: peerv1.Outcome_OUTCOME_DONE, Status: int32(a.Status), Headers: headerMessages(a.Header),
		Body: a.Body, Server: a.Server, Host: a.Host,
	}
}

// resultOf reads another host's result. A message that is neither a whole
// answer nor a failure leaves the outcome unknown.
func resultOf(m *peerv1.DispatchResult) result {
	if f := m.GetFailure(); f != nil {
		fail := &api.Error{Code: api.Code(f.Code), Message: f.Message, Outcome: api.OutcomeUnknown, RetryAfterMillis: f.RetryAfterMillis}
		if m.Outcome == peerv1.Outcome_OUTCOME_NOT_RUN {
			fail.Outcome = api.OutcomeNotRun
		}
		return result{fail: fail}
	}
	if m.GetOutcome() != peerv1.Outcome_OUTCOME_DONE || m.GetStatus() == 0 {
		return result{fail: &api.Error{Code: api.CodePeer, Message: "malformed result", Outcome: api.OutcomeUnknown}}
	}
	return result{answer: &port.CallerAnswer{
		Status: int(m.Status), Header: headersOf(m.Headers), Body: m.Body, Server: m.Server, Host: m.Host,
	}}
}
