package entry

import (
	"context"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/operation"
	peerv1 "cassiatray/proto/peer/v1"
)

// Size limits of one HandOver message.
const (
	maxHandOverRecords = 1000
	maxHandOverBytes   = 1 << 20
)

// handOverTimeout bounds one attempt to send all records to one successor.
const handOverTimeout = 10 * time.Second

// handOver sends the operation records of this process, and those it inherited, to the
// first successor that accepts all of them. No operation may be running when it is called.
func (n *Node) handOver(ctx context.Context) {
	sets := n.closeOperations()
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	for _, m := range successors(snap, n.cfg.Host, n.cfg.Host) {
		err := n.sendRecords(ctx, m, sets)
		if err == nil {
			n.log.WithField("heir", m.Host).Info("Operation records handed over.")
			return
		}
		n.log.WithError(err).WithField("heir", m.Host).Warn("Handing over operation records failed.")
	}
	n.log.Warn("No host accepted the operation records.")
}

// closeOperations stops new operations from starting and returns all record sets of this
// process, its own and inherited ones.
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

func (n *Node) sendRecords(ctx context.Context, m *peerv1.Member, sets []operation.Set[result]) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for _, s := range sets {
		for _, part := range handOverMessages(s) {
			req := &peerv1.Request{ToIncarnation: m.EntryIncarnation, Body: &peerv1.Request_HandOver{HandOver: part}}
			if _, err := n.peers.Call(ctx, m.EntryPeerAddress, req); err != nil {
				return err
			}
		}
	}
	return nil
}

// handOverMessages splits a record set into messages. Only the last message marks the set
// as complete.
func handOverMessages(s operation.Set[result]) []*peerv1.HandOver {
	newMessage := func() *peerv1.HandOver {
		return &peerv1.HandOver{Host: s.Owner.Host, Incarnation: s.Owner.Incarnation, FloorUnixMicros: floorMicros(s.Floor)}
	}
	out := []*peerv1.HandOver{newMessage()}
	bytes := 0
	for id, r := range s.Records {
		last := out[len(out)-1]
		if len(last.Records) == maxHandOverRecords || bytes > maxHandOverBytes {
			last = newMessage()
			out = append(out, last)
			bytes = 0
		}
		last.Records = append(last.Records, &peerv1.OperationRecord{OperationId: id, Result: resultToProto(r)})
		bytes += r.memorySize()
	}
	out[len(out)-1].Last = true
	return out
}

// floorMicros converts a floor to Unix microseconds. The zero time, the floor of a table
// that never dropped a record, becomes 0.
func floorMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// serveHandOver stores the records of an ended process. If a record belongs to a process
// other than the set's owner, the whole message is rejected.
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
		out := resultFromProto(r.Result)
		o.inherited.Add(now, owner, r.OperationId, out, out.memorySize())
	}
	if h.Last {
		o.inherited.Close(now, owner, time.UnixMicro(h.FloorUnixMicros))
	}
	ack := &peerv1.HandOverAck{Accepted: uint64(len(h.Records))}
	return &peerv1.Reply{Body: &peerv1.Reply_HandOverAck{HandOverAck: ack}}, nil
}

// HandOverError reports a record that does not belong to the owner of the set it was sent
// in.
type HandOverError struct {
	Owner operation.Owner
	ID    string
}

func (e *HandOverError) Error() string {
	return "record " + e.ID + " is not of a process of " + e.Owner.Host
}

// ErrorCode implements peer.CodedError.
func (e *HandOverError) ErrorCode() string { return "bad-hand-over" }
