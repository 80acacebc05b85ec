package entry

import (
	"context"
	"sync"
	"time"

	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// suspectShareTimeout limits how long the answer to a caller is delayed by sending a
// suspect report to other hosts.
const suspectShareTimeout = time.Second

// broadcastSuspect sends a suspect to the other hosts of this failure domain, and to one
// host of each other domain, which relays it within its domain.
func (n *Node) broadcastSuspect(s *peerv1.Suspect) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspectShareTimeout)
	defer cancel()
	sentDomains := map[string]bool{}
	var wg sync.WaitGroup
	for _, h := range snap.Hosts {
		otherDomain := h.Domain != n.cfg.Domain
		if h.Name == n.cfg.Host || otherDomain && sentDomains[h.Domain] {
			continue
		}
		sentDomains[h.Domain] = true
		wg.Go(func() { n.sendSuspect(ctx, snap.Members[h.Name], s, otherDomain) })
	}
	wg.Wait()
}

func (n *Node) sendSuspect(ctx context.Context, m *peerv1.Member, s *peerv1.Suspect, relay bool) {
	report := &peerv1.SuspectReport{Suspects: []*peerv1.Suspect{s}, Relay: relay}
	req := &peerv1.Request{Body: &peerv1.Request_SuspectReport{SuspectReport: report}}
	if _, err := n.peers.Call(ctx, m.EntryPeerAddress, req); err != nil {
		n.log.WithError(err).Debug("Sending a suspect report failed.")
	}
}

// serveSuspectReport records the suspects that another host reported, and relays new ones
// within this domain if requested.
func (n *Node) serveSuspectReport(ctx context.Context, r *peerv1.SuspectReport) *peerv1.Reply {
	var wg sync.WaitGroup
	for _, s := range r.Suspects {
		if n.recordSuspect(s) && r.Relay {
			wg.Go(func() { n.relaySuspectToDomain(ctx, s) })
		}
	}
	wg.Wait()
	return &peerv1.Reply{Body: &peerv1.Reply_SuspectReportAck{SuspectReportAck: &peerv1.SuspectReportAck{}}}
}

// recordSuspect records a reported suspect with this host's clock, and reports whether the
// report changed anything.
func (n *Node) recordSuspect(s *peerv1.Suspect) bool {
	if len(s.Fingerprint) != len(suspect.Fingerprint{}) {
		return false
	}
	f := suspect.Fingerprint(s.Fingerprint)
	if s.Cleared {
		return n.suspects.clear(n.clock.Now(), f)
	}
	now := n.clock.Now()
	server := suspect.Server{Service: s.Service, Name: s.Server, Domain: s.Domain}
	if s.Worked {
		n.suspects.recordCompletion(now, server)
	}
	return n.suspects.recordCrash(now, f, server, now.Add(-time.Duration(s.RunMicros)*time.Microsecond))
}

func (n *Node) relaySuspectToDomain(ctx context.Context, s *peerv1.Suspect) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	var wg sync.WaitGroup
	for _, h := range snap.Hosts {
		if h.Domain == n.cfg.Domain && h.Name != n.cfg.Host {
			wg.Go(func() { n.sendSuspect(ctx, snap.Members[h.Name], s, false) })
		}
	}
	wg.Wait()
}
