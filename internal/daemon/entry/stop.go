package entry

import (
	"context"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// drainHeartbeats is the number of heartbeat intervals within which every host learns that
// this one is draining. The state passes from the entry process to its steer process, to
// the lead of its failure domain, to the leads of the other domains and to their members.
const drainHeartbeats = 6

// stop shuts this process down without interrupting requests. It withdraws the host from
// look-up answers, serves until the answers that name it have expired, finishes the
// requests in flight and hands over its operation records.
func (n *Node) stop(ctx context.Context, callers *callerconn.Server, peers *peer.Server) error {
	n.drain(ctx)
	err := callers.Shutdown(ctx)
	peers.Drain(ctx)
	n.operations.running.Wait()
	n.handOver(ctx)
	return err
}

// drain reports this process as leaving and keeps serving until the look-up answers that
// name it have expired.
func (n *Node) drain(ctx context.Context) {
	n.feed.SetState(peerv1.HostState_HOST_STATE_LEAVING)
	n.feed.sendHeartbeat(ctx)
	n.draining.Store(true)
	n.log.Info("Leaving.")
	drainTime := drainHeartbeats * n.cfg.Heartbeat.D()
	if snap := n.feed.Snapshot(); snap != nil {
		drainTime += snap.Index.Doc.Lookup.TTL.D()
	}
	sleep.For(ctx, drainTime)
	n.log.Info("Look-up answers that name this host have expired.")
}
