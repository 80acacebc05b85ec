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

// queryMessage asks for the outcome of an operation.
func queryMessage(id string) *peerv1.Dispatch {
	return &peerv1.Dispatch{OperationId: id, Hops: 1, QueryOnly: true}
}

// consult passes a message about an operation to the process that may run it,
// or asks those that may have inherited its record. It never gives not-run but
// on the word of one of them, since other copies of the request may be on
// their way.
func (n *Node) consult(ctx context.Context, d *peerv1.Dispatch, id api.OperationID) result {
	if out, ok := n.inherited(id); ok {
		return out
	}
	snap := n.feed.Snapshot()
	if snap == nil {
		return result{fail: ownerGone(id)}
	}
	if address, ok := ownerAddress(snap, id); ok {
		out, err := n.ask(ctx, address, id.Incarnation, d)
		if err == nil {
			return out
		}
		if mayHaveArrived(err) {
			return result{fail: ownerUnreachable(id, err)}
		}
	}
	for _, m := range heirs(snap, id.Host, n.cfg.Host) {
		out, err := n.ask(ctx, m.EntryPeerAddress, m.EntryIncarnation, queryMessage(d.OperationId))
		if err == nil && !isCode(out, api.CodeOwnerGone) {
			return out
		}
	}
	return result{fail: ownerGone(id)}
}

func isCode(r result, code api.Code) bool { return r.fail != nil && r.fail.Code == code }

// mayHaveArrived reports whether the receiver may have acted on an exchange.
func mayHaveArrived(err error) bool {
	var pe *port.PeerError
	return !errors.As(err, &pe) || !pe.NoEffect()
}

// ownerAddress returns where to reach the process that may run an operation.
// It reports false once a newer process is known to have taken its place.
func ownerAddress(snap *Snapshot, id api.OperationID) (string, bool) {
	if m := snap.Members[id.Host]; m != nil && m.EntryIncarnation != 0 {
		return m.EntryPeerAddress, m.EntryIncarnation <= id.Incarnation
	}
	if h := snap.Index.Host(id.Host); h != nil {
		return h.Entry.String(), true
	}
	return "", false
}

func (n *Node) ask(ctx context.Context, address string, incarnation uint64, d *peerv1.Dispatch) (result, error) {
	req := &peerv1.Request{ToIncarnation: incarnation, Body: &peerv1.Request_Dispatch{Dispatch: d}}
	reply, err := n.peers.Call(ctx, address, req)
	if err != nil {
		return result{}, err
	}
	return resultOf(reply.GetDispatchResult()), nil
}

// inherited answers for an operation of an ended process whose records this
// process holds.
func (n *Node) inherited(id api.OperationID) (result, bool) {
	n.operations.mu.Lock()
	defer n.operations.mu.Unlock()
	owner := operation.Owner{Host: id.Host, Incarnation: id.Incarnation}
	out, verdict := n.operations.inherited.Find(owner, id.String(), id.Issued)
	switch verdict {
	case operation.Held:
		return out, true
	case operation.NeverRan:
		return result{fail: neverRan(id)}, true
	case operation.Forgotten:
		return result{fail: refusedOperation(&operation.RefusedError{ID: id.String(), Reason: operation.Expired})}, true
	}
	return result{}, false
}

// maxHeirs bounds the hosts that are asked for, or offered, the records of an
// ended process.
const maxHeirs = 5

// heirs returns the live entry processes that may hold the records of a host,
// in the order in which they are offered them: the hosts of its failure domain
// that follow it, then those of the rest of its region, then all others.
func heirs(snap *Snapshot, host, self string) []*peerv1.Member {
	var out []*peerv1.Member
	for _, h := range successors(snap.Index, host) {
		m := snap.Members[h]
		if h == self || m == nil || m.EntryState != peerv1.HostState_HOST_STATE_SERVING {
			continue
		}
		if out = append(out, m); len(out) == maxHeirs {
			break
		}
	}
	return out
}

func successors(index *document.Index, host string) []string {
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
