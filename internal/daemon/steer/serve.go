package steer

import (
	"context"
	"fmt"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/convert"
	"cassiatray/internal/core/relay"
	"cassiatray/internal/daemon/fetch"
	peerv1 "cassiatray/proto/peer/v1"
)

// Serve implements peer.Handler.
func (n *Node) Serve(_ context.Context, req *peerv1.Request) (*peerv1.Reply, error) {
	switch body := req.Body.(type) {
	case *peerv1.Request_Heartbeat:
		return n.serveHeartbeat(req, body.Heartbeat), nil
	case *peerv1.Request_DomainReport:
		return n.serveDomainReport(req.FromHost, body.DomainReport)
	case *peerv1.Request_FetchSections:
		return fetch.Serve(body.FetchSections, n.receiver.Find), nil
	}
	return nil, &peer.UnsupportedError{Body: fmt.Sprintf("%T", req.Body)}
}

// serveHeartbeat takes a heartbeat of another steer process, or of this host's
// entry process.
func (n *Node) serveHeartbeat(req *peerv1.Request, hb *peerv1.Heartbeat) *peerv1.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	ack := &peerv1.HeartbeatAck{Member: n.self, SteerSequence: n.head().Sequence, EntrySequence: n.entrySequence}
	m := fromStub(hb.GetMember(), hb.GetStub(), n.cfg.Domain, req.FromHost, req.FromIncarnation)
	if m.GetHost() == n.cfg.Host && m.GetSteerIncarnation() == 0 {
		n.observeEntry(m, hb.EntrySequence)
	} else if m != nil {
		if m.SteerPeerAddress != "" {
			n.heardFrom(n.contact(m.SteerPeerAddress), m.Host, hb.SteerSequence, m.SteerPeerAddress)
		} else if known := n.view.Member(m.Host); known != nil {
			n.heardFrom(n.contact(known.SteerPeerAddress), m.Host, hb.SteerSequence, known.SteerPeerAddress)
		}
		ack.WantMember = !n.observe(m, hb.Stub)
	}
	if hb.GetHaveIncarnation() == n.self.SteerIncarnation && hb.GetHaveVersion() == n.self.Version {
		ack.Member, ack.Stub = stubOf(n.self), true
	}
	return &peerv1.Reply{Body: &peerv1.Reply_HeartbeatAck{HeartbeatAck: ack}}
}

// observeEntry takes in the state of this host's entry process. It needs n.mu.
func (n *Node) observeEntry(m *peerv1.Member, sequence uint64) {
	if m.EntryIncarnation < n.self.EntryIncarnation {
		return
	}
	n.entryTicks, n.entrySequence = 0, sequence
	if m.EntryIncarnation == n.self.EntryIncarnation && m.EntryState == n.self.EntryState {
		return
	}
	n.updateSelf(func(self *peerv1.Member) {
		self.EntryIncarnation, self.EntryState = m.EntryIncarnation, m.EntryState
		self.CallerAddress, self.EntryPeerAddress = m.CallerAddress, m.EntryPeerAddress
	})
	n.refreshOwnDomain()
}

// serveDomainReport takes a report of another domain's lead. A host that does
// not lead names the one that does.
func (n *Node) serveDomainReport(from string, r *peerv1.DomainReport) (*peerv1.Reply, error) {
	if r.Environment != n.cfg.Environment {
		return nil, &relay.EnvironmentError{Want: n.cfg.Environment, Got: r.Environment}
	}
	ack := &peerv1.DomainReportAck{Sequence: n.head().Sequence}
	n.hearReport(from, r.Sequence)
	if lead := n.lead(); lead != nil && lead.Host != n.cfg.Host {
		ack.LeadAddress = lead.SteerPeerAddress
	} else {
		n.mergeViews(r.Domains)
		n.mu.Lock()
		n.mergeBeats(r.Beats, r.BeatsDigest)
		ack.Beats, ack.BeatsDigest = n.exportBeats()
		ack.Domains = n.views.Select(r.Want)
		if n.views.Digest() != r.Digest && len(r.Want) == 0 {
			ack.Versions = n.views.Versions()
		}
		n.mu.Unlock()
	}
	return &peerv1.Reply{Body: &peerv1.Reply_DomainReportAck{DomainReportAck: ack}}, nil
}

// hearReport notes the sequence that the host of a report has in force.
func (n *Node) hearReport(from string, sequence uint64) {
	index := n.receiver.Index()
	if index == nil {
		return
	}
	h := index.Host(from)
	if h == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	address := h.Steer.String()
	n.heardFrom(n.contact(address), from, sequence, address)
}

// ServeFollow implements peer.Handler: it sends what is in force, then every
// change, until the follower goes. A process that is not ready sends nothing
// yet: there may be something newer.
func (n *Node) ServeFollow(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	f := req.GetFollow()
	if f.Environment != n.cfg.Environment {
		return &relay.EnvironmentError{Want: n.cfg.Environment, Got: f.Environment}
	}
	fw := &follower{sequence: f.HaveSequence, views: relay.NewKnown(f.HaveDomains)}
	n.metrics.followers.Inc()
	defer n.metrics.followers.Dec()
	for {
		up, changed := n.nextUpdate(fw)
		if up != nil {
			if err := send(&peerv1.Reply{Body: &peerv1.Reply_Update{Update: up}}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// follower is what was sent on one stream.
type follower struct {
	sequence uint64
	views    relay.Known
	// silent is the version of the silent domains; zero before any was sent.
	silent uint64
}

// nextUpdate returns what a follower needs, or nil, and a channel that is
// closed when there is more. It counts the update as sent.
func (n *Node) nextUpdate(fw *follower) (*peerv1.Update, <-chan struct{}) {
	n.mu.Lock()
	changed, ready := n.changed, n.ready
	domains := n.views.Newer(fw.views)
	silent, version := n.silent, n.silentVersion
	n.mu.Unlock()
	if !ready {
		return nil, changed
	}
	up := new(peerv1.Update)
	h, d, ok := n.receiver.Next(fw.sequence)
	if ok {
		up = convert.UpdateMessage(h, d)
		fw.sequence = h.Sequence
	}
	if version != fw.silent {
		up.Silent = &peerv1.SilentDomains{Domains: silent}
	}
	up.Domains = domains
	fw.views.Add(domains)
	fw.silent = version
	if up.Head == nil && up.Silent == nil && len(domains) == 0 {
		return nil, changed
	}
	return up, changed
}
