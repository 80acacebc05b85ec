package entry

import (
	"context"
	"fmt"

	"cassiatray/api"
	"cassiatray/internal/core/operation"
)

// operate runs an at-most-once request if this process is the one that may.
func (n *Node) operate(ctx context.Context, x *exchange) result {
	if x.req.OperationID == "" {
		msg := fmt.Sprintf("class %s needs the header %s", x.class.Name, api.HeaderOperationID)
		return result{fail: &api.Error{Code: api.CodeOperationRequired, Message: msg, Outcome: api.OutcomeNotRun}}
	}
	id, err := api.ParseOperationID(x.req.OperationID)
	if err != nil {
		return result{fail: &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeNotRun}}
	}
	if id.Host != n.cfg.Host || id.Incarnation != n.incarnation {
		return n.relay(ctx, x, id)
	}
	n.mu.Lock()
	rec, mine, err := n.operations.Begin(n.clock.Now(), x.req.OperationID, id.Created)
	n.mu.Unlock()
	if err != nil {
		return result{fail: &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeUnknown}}
	}
	if !mine {
		return await(ctx, rec)
	}
	// The operation goes on when this caller leaves: another may have joined.
	out := n.route(context.WithoutCancel(ctx), x)
	n.mu.Lock()
	n.operations.Finish(rec, out)
	n.mu.Unlock()
	return out
}

func await(ctx context.Context, rec *operation.Record[result]) result {
	select {
	case <-rec.Done:
		return rec.Result
	case <-ctx.Done():
		return result{fail: contextError(ctx.Err())}
	}
}

// relay passes an at-most-once request to the process that may run it.
func (n *Node) relay(ctx context.Context, x *exchange, id api.OperationID) result {
	m := x.snap.Members[id.Host]
	if x.hops > 0 || m == nil || m.EntryIncarnation != id.Incarnation {
		msg := fmt.Sprintf("the process that may run operation %s is gone", x.req.OperationID)
		return result{fail: &api.Error{Code: api.CodePeer, Message: msg, Outcome: api.OutcomeUnknown}}
	}
	return n.send(ctx, x, m.EntryPeerAddress, m.EntryIncarnation)
}
