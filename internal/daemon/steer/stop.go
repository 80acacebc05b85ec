package steer

import (
	"context"

	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// leaveHeartbeats is how many heartbeat intervals a stopping steer process
// waits for the entry process of its host to say that it is leaving as well.
const leaveHeartbeats = 2

// linger lets the entry process of this host leave when it is stopping too:
// its callers and peers learn that through this process. The entry process is
// waited for until it no longer reports.
func (n *Node) linger(ctx context.Context) {
	for range leaveHeartbeats {
		if n.entryState() != peerv1.HostState_HOST_STATE_SERVING {
			break
		}
		if !sleep.For(ctx, n.cfg.Heartbeat.D()) {
			return
		}
	}
	for n.entryState() == peerv1.HostState_HOST_STATE_LEAVING {
		if !sleep.For(ctx, n.cfg.Heartbeat.D()) {
			return
		}
	}
}

func (n *Node) entryState() peerv1.HostState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.EntryState
}
