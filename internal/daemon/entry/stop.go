package entry

import (
	"context"
	"net/http"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// leaveHeartbeats is how many heartbeat intervals pass until every host of the
// system has been told that one is leaving: from the entry process to its
// steer process, to the lead of its failure domain, to the leads of the others
// and to their members.
const leaveHeartbeats = 6

// stop ends the work of this process without cutting any of it: it leaves the
// look-ups, serves for as long as callers may hold an answer that names it,
// finishes what is in flight and hands its operations over.
func (n *Node) stop(ctx context.Context, callers *http.Server, peers *peer.Server) error {
	n.leave(ctx)
	err := callers.Shutdown(ctx)
	peers.Drain(ctx)
	n.operations.running.Wait()
	n.handOver(ctx)
	return err
}

// leave reports this process as leaving, and serves until no caller holds a
// look-up answer that names it.
func (n *Node) leave(ctx context.Context) {
	n.feed.SetState(peerv1.HostState_HOST_STATE_LEAVING)
	n.feed.reportOnce(ctx)
	n.leaving.Store(true)
	n.log.Info("Leaving.")
	linger := leaveHeartbeats * n.cfg.Heartbeat.D()
	if snap := n.feed.Snapshot(); snap != nil {
		linger += snap.Index.Doc.Lookup.TTL.D()
	}
	sleep.For(ctx, linger)
	n.log.Info("No caller holds a look-up answer that names this host.")
}
