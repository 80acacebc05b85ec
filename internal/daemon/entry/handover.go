package entry

import (
	"context"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/operation"
	peerv1 "cassiatray/proto/peer/v1"
)

// Limits of one HandOver message.
const (
	handOverRecords = 1000
	handOverBytes   = 1 << 20
)

// handOverTimeout bounds one attempt to hand records to one heir.
const handOverTimeout = 10 * time.Second

// handOver gives the records of this process, and those it inherited, to the
// first heir that takes them all. The table must have no operation running.
func (n *Node) handOver(ctx context.Context) {
	sets := n.closeOperations()
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	for _, m := range heirs(snap, n.cfg.Host, n.cfg.Host) {
		err := n.handTo(ctx, m, sets)
		if err == nil {
			n.log.WithField("heir", m.Host).Info("Operations handed over.")
			return
		}
		n.log.WithError(err).WithField("heir", m.Host).Warn("Hand-over failed.")
	}
	n.log.Warn("No heir took the operations.")
}

// closeOperations ends the beginning of operations and returns all sets of
// records held.
func (n *Node) closeOperations() []operation.Set[result] {
	o := n.operations
	o.mu.Lock()
	defer o.mu.Unlock()
	own := operation.Set[result]{
		Owner: operation.Owner{Host: n.cfg.Host, Incarnation: n.incarnation},
		Floor: o.own.Close(), Records: map[string]result{},
	}
	for _, r := range o.own.Finished() {
		own.Records[r.ID] = r.Result
	}
	return append(o.inherited.Sets(), own)
}

func (n *Node) handTo(ctx context.Context, m *peerv1.Member, sets []operation.Set[result]) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, s := range sets {
		for _, part := range handOverParts(s) {
			req := &peerv1.Request{ToIncarnation: m.EntryIncarnation, Body: &peerv1.Request_HandOver{HandOver: part}}
			if _, err := n.peers.Call(ctx, m.EntryPeerAddress, req); err != nil {
				return err
			}
		}
	}
	return nil
}

// handOverParts splits a set into messages; only the last declares it whole.
func handOverParts(s operation.Set[result]) []*peerv1.HandOver {
	part := func() *peerv1.HandOver {
		return &peerv1.HandOver{Host: s.Owner.Host, Incarnation: s.Owner.Incarnation, FloorUnixMicros: floorMicros(s.Floor)}
	}
	out := []*peerv1.HandOver{part()}
	bytes := 0
	for id, r := range s.Records {
		last := out[len(out)-1]
		if len(last.Records) == handOverRecords || bytes > handOverBytes {
			last = part()
			out = append(out, last)
			bytes = 0
		}
		last.Records = append(last.Records, &peerv1.OperationRecord{OperationId: id, Result: resultMessage(r)})
		bytes += r.size()
	}
	out[len(out)-1].Last = true
	return out
}

// floorMicros is zero for a table that never dropped a record.
func floorMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// serveHandOver takes records of an ended process. Records that name another
// process than their set are refused with the set.
func (n *Node) serveHandOver(h *peerv1.HandOver) (*peerv1.Reply, error) {
	owner := operation.Owner{Host: h.Host, Incarnation: h.Incarnation}
	for _, r := range h.Records {
		id, err := api.ParseOperationID(r.OperationId)
		if err != nil || id.Host != h.Host || id.Incarnation != h.Incarnation {
			return nil, &HandOverError{Owner: owner, ID: r.OperationId}
		}
	}
	now := n.clock.Now()
	o := n.operations
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range h.Records {
		out := resultOf(r.Result)
		o.inherited.Add(now, owner, r.OperationId, out, out.size())
	}
	if h.Last {
		o.inherited.Close(now, owner, time.UnixMicro(h.FloorUnixMicros))
	}
	ack := &peerv1.HandOverAck{Accepted: uint64(len(h.Records))}
	return &peerv1.Reply{Body: &peerv1.Reply_HandOverAck{HandOverAck: ack}}, nil
}

// HandOverError is a record that does not belong to the set it came in.
type HandOverError struct {
	Owner operation.Owner
	ID    string
}

func (e *HandOverError) Error() string {
	return "record " + e.ID + " is not of a process of " + e.Owner.Host
}

// ErrorCode implements peer.CodedError.
func (e *HandOverError) ErrorCode() string { return "bad-hand-over" }
