package entry

import (
	"context"
	"sync"
	"time"

	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// shareTimeout bounds how long an answer waits for other hosts to learn of a
// suspect.
const shareTimeout = time.Second

// shareSuspect tells the other hosts of this failure domain, and one of each
// other domain, which passes it on.
func (n *Node) shareSuspect(s *peerv1.Suspect) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	told := map[string]bool{}
	var wg sync.WaitGroup
	for _, h := range snap.Hosts {
		far := h.Domain != n.cfg.Domain
		if h.Name == n.cfg.Host || far && told[h.Domain] {
			continue
		}
		told[h.Domain] = true
		wg.Go(func() { n.tellSuspect(ctx, snap.Members[h.Name], s, far) })
	}
	wg.Wait()
}

func (n *Node) tellSuspect(ctx context.Context, m *peerv1.Member, s *peerv1.Suspect, relay bool) {
	report := &peerv1.SuspectReport{Suspects: []*peerv1.Suspect{s}, Relay: relay}
	req := &peerv1.Request{Body: &peerv1.Request_SuspectReport{SuspectReport: report}}
	if _, err := n.peers.Call(ctx, m.EntryPeerAddress, req); err != nil {
		n.log.WithError(err).Debug("Suspect not shared.")
	}
}

// serveSuspects takes a report of another host and passes it on when asked to.
func (n *Node) serveSuspects(ctx context.Context, r *peerv1.SuspectReport) *peerv1.Reply {
	var wg sync.WaitGroup
	for _, s := range r.Suspects {
		if n.takeSuspect(s) && r.Relay {
			wg.Go(func() { n.relaySuspect(ctx, s) })
		}
	}
	wg.Wait()
	return &peerv1.Reply{Body: &peerv1.Reply_SuspectReportAck{SuspectReportAck: &peerv1.SuspectReportAck{}}}
}

// takeSuspect stamps a report with this host's clock and reports whether it is
// news.
func (n *Node) takeSuspect(s *peerv1.Suspect) bool {
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
		n.suspects.ran(now, server)
	}
	return n.suspects.crash(now, f, server, now.Add(-time.Duration(s.RunMicros)*time.Microsecond))
}

func (n *Node) relaySuspect(ctx context.Context, s *peerv1.Suspect) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return
	}
	var wg sync.WaitGroup
	for _, h := range snap.Hosts {
		if h.Domain == n.cfg.Domain && h.Name != n.cfg.Host {
			wg.Go(func() { n.tellSuspect(ctx, snap.Members[h.Name], s, false) })
		}
	}
	wg.Wait()
}
