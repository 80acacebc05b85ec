package entry

import (
	"context"
	"errors"
	"slices"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/operation"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// newOutcomeQuery returns a message that asks for the outcome of an operation.
func newOutcomeQuery(id string) *peerv1.Dispatch {
	return &peerv1.Dispatch{OperationId: id, Hops: 1, QueryOnly: true}
}

// askOwner sends a message about an operation to the process that owns it, or asks the
// hosts that may have inherited its record. It returns a not-run outcome only if one of
// them reported it, since other copies of the request may be in flight.
func (n *Node) askOwner(ctx context.Context, d *peerv1.Dispatch, id api.OperationID) result {
	if out, ok := n.inheritedResult(id); ok {
		return out
	}
	snap := n.feed.Snapshot()
	if snap == nil {
		return result{failure: ownerGone(id)}
	}
	if address, ok := ownerAddress(snap, id); ok {
		out, err := n.callDispatch(ctx, address, id.Incarnation, d)
		if err == nil {
			return out
		}
		if port.IsPeerCode(err, port.PeerNoRoom) {
			return n.settleUnsent(ctx, d, id, err)
		}
		if mayHaveTakenEffect(err) {
			return result{failure: ownerUnreachable(id, err)}
		}
	}
	for _, m := range successors(snap, id.Host, n.cfg.Host) {
		out, err := n.callDispatch(ctx, m.EntryPeerAddress, m.EntryIncarnation, newOutcomeQuery(d.OperationId))
		if err == nil && !hasCode(out, api.CodeOwnerGone) {
			return out
		}
	}
	return result{failure: ownerGone(id)}
}

// settleUnsent ends a request whose owner has no memory for it. The owner is asked to seal the
// operation, by a message that is small enough, so that no copy of it runs later.
func (n *Node) settleUnsent(ctx context.Context, d *peerv1.Dispatch, id api.OperationID, err error) result {
	if d.QueryOnly {
		return result{failure: ownerUnreachable(id, err)}
	}
	out := n.askOwner(ctx, newOutcomeQuery(d.OperationId), id)
	if out.failure != nil && out.failure.Outcome == api.OutcomeNotRun {
		return result{failure: overloaded()}
	}
	return out
}

func hasCode(r result, code api.Code) bool { return r.failure != nil && r.failure.Code == code }

// mayHaveTakenEffect reports whether the receiver may have acted on a failed exchange.
func mayHaveTakenEffect(err error) bool {
	var pe *port.PeerError
	return !errors.As(err, &pe) || !pe.NoEffect()
}

// ownerAddress returns the peer address of the process that owns an operation. It returns
// false if a newer process is known to run on that host.
func ownerAddress(snap *Snapshot, id api.OperationID) (string, bool) {
	if m := snap.Members[id.Host]; m != nil && m.EntryIncarnation != 0 {
		return m.EntryPeerAddress, m.EntryIncarnation <= id.Incarnation
	}
	if h := snap.Index.Host(id.Host); h != nil {
		return h.Entry.String(), true
	}
	return "", false
}

func (n *Node) callDispatch(ctx context.Context, address string, incarnation uint64, d *peerv1.Dispatch) (result, error) {
	req := &peerv1.Request{ToIncarnation: incarnation, Body: &peerv1.Request_Dispatch{Dispatch: d}}
	reply, err := n.peers.Call(ctx, address, req)
	if err != nil {
		return result{}, err
	}
	return resultFromProto(reply.GetDispatchResult()), nil
}

// inheritedResult returns the result of an operation of an ended process whose records this
// process holds.
func (n *Node) inheritedResult(id api.OperationID) (result, bool) {
	n.operations.mu.Lock()
	defer n.operations.mu.Unlock()
	owner := operation.Owner{Host: id.Host, Incarnation: id.Incarnation}
	out, status := n.operations.inherited.Find(owner, id.String(), id.Issued)
	switch status {
	case operation.Held:
		return out, true
	case operation.NeverRan:
		return result{failure: operationNeverRan(id)}, true
	case operation.Forgotten:
		return result{failure: operationError(&operation.RefusedError{ID: id.String(), Reason: operation.Expired})}, true
	}
	return result{}, false
}

// maxSuccessors limits the hosts that are sent, or asked for, the records of an ended
// process.
const maxSuccessors = 5

// successors returns the live entry processes that may hold the records of a host, in the
// order in which the records are offered to them: first the hosts that follow it in its
// failure domain, then the other hosts of its region, then all others.
func successors(snap *Snapshot, host, self string) []*peerv1.Member {
	var out []*peerv1.Member
	for _, h := range successionOrder(snap.Index, host) {
		m := snap.Members[h]
		if h == self || m == nil || m.EntryState != peerv1.HostState_HOST_STATE_SERVING {
			continue
		}
		if out = append(out, m); len(out) == maxSuccessors {
			break
		}
	}
	return out
}

func successionOrder(index *document.Index, host string) []string {
	h := index.Host(host)
	if h == nil {
		return nil
	}
	var domain, region, rest []string
	for _, name := range index.DomainNames() {
		names := hostNames(index.Hosts(name))
		switch {
		case name == h.Domain:
			at := slices.Index(names, host)
			domain = append(names[at:len(names):len(names)], names[:at]...)
		case index.Domain(name).Region == h.Region:
			region = append(region, names...)
		default:
			rest = append(rest, names...)
		}
	}
	return append(append(domain, region...), rest...)
}

func hostNames(hosts []document.EntryHost) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}
