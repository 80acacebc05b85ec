package steer

import (
	"context"

	"cassiatray/internal/convert"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/relay"
	"cassiatray/internal/daemon/fetch"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// pull keeps the document current: from the store while this host leads, from
// the lead otherwise.
func (n *Node) pull(ctx context.Context) {
	var revision uint64
	var pause backoff
	for ctx.Err() == nil {
		lead := n.lead()
		var err error
		switch {
		case lead == nil:
			if !sleep.For(ctx, retryShortest) {
				return
			}
			continue
		case lead.Host == n.cfg.Host:
			revision, err = n.watchOnce(ctx, revision)
		default:
			err = n.follow(ctx, lead)
		}
		if err == nil {
			pause.reset()
			continue
		}
		n.log.WithError(err).Debug("No update.")
		pause.sleep(ctx)
	}
}

// watchOnce waits for one change of the head in the store and puts it in force.
func (n *Node) watchOnce(ctx context.Context, revision uint64) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.wg.Go(func() { n.cancelWhenLeadChanges(ctx, cancel, n.cfg.Host) })
	h, next, err := n.store.WatchHead(ctx, n.cfg.Environment, revision)
	n.metrics.storeCall(err)
	if err != nil {
		return revision, err
	}
	if err := n.putFromStore(ctx, h); err != nil {
		return revision, err
	}
	n.setReady()
	return next, nil
}

func (n *Node) putFromStore(ctx context.Context, h document.Head) error {
	if h.Sequence == 0 {
		return nil
	}
	var delta *document.Delta
	if d, ok := h.DeltaFrom(n.head().Sequence); ok {
		delta = &d
	}
	return n.put(h, delta, func(refs []document.Ref) ([]document.Section, error) {
		sections, err := n.store.Read(ctx, refs)
		n.metrics.storeReads(len(refs))
		return sections, err
	})
}

// follow takes updates from a member until it no longer leads.
func (n *Node) follow(ctx context.Context, lead *peerv1.Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.wg.Go(func() { n.cancelWhenLeadChanges(ctx, cancel, lead.Host) })
	return n.followAddress(ctx, lead.SteerPeerAddress, func() {})
}

func (n *Node) cancelWhenLeadChanges(ctx context.Context, cancel context.CancelFunc, host string) {
	for sleep.For(ctx, n.cfg.Heartbeat.D()) {
		if n.lead().GetHost() != host {
			cancel()
			return
		}
	}
}

// followAddress takes updates from a steer process, and calls taken after each.
func (n *Node) followAddress(ctx context.Context, address string, taken func()) error {
	n.mu.Lock()
	versions := n.views.Versions()
	n.mu.Unlock()
	req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
		Environment: n.cfg.Environment, HaveSequence: n.head().Sequence, Role: peerv1.Role_ROLE_STEER,
		HaveDomains: versions,
	}}}
	return n.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error {
		err := n.take(ctx, address, r.GetUpdate())
		taken()
		return err
	})
}

// take puts an update from another steer process in force.
func (n *Node) take(ctx context.Context, address string, up *peerv1.Update) error {
	n.mergeViews(up.GetDomains())
	n.takeSilent(up.GetSilent())
	if up.GetHead() == nil {
		return nil
	}
	h, d, err := convert.Update(up)
	if err != nil {
		return err
	}
	return n.put(h, d, n.fetchFrom(ctx, address))
}

// fetchFrom gets sections from a steer process.
func (n *Node) fetchFrom(ctx context.Context, address string) relay.Fetch {
	return func(refs []document.Ref) ([]document.Section, error) {
		return fetch.Sections(ctx, n.peers, address, refs)
	}
}

// catchUp follows a peer until a document arrives or the time is up.
func (n *Node) catchUp(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	before := n.head().Sequence
	err := n.followAddress(ctx, address, func() {
		if n.head().Sequence > before {
			cancel()
		}
	})
	if n.head().Sequence == before {
		n.log.WithError(err).WithField("peer", address).Debug("Cannot catch up.")
	}
}
