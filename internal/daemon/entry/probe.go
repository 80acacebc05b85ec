package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// Timing and number of the probes of other failure domains.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxProbesPerRound limits the failure domains that are probed in one interval.
	maxProbesPerRound = 8
)

// probeLoop probes the other failure domains until the context ends. Probes are needed
// because the membership view of a domain does not expire: no other host reports that the
// domain became unreachable.
func (n *Node) probeLoop(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		if snap := n.feed.Snapshot(); snap != nil {
			next = n.probeRound(ctx, snap, next)
		}
		sleep.For(ctx, probeInterval)
	}
}

// probeRound probes up to maxProbesPerRound domains, starting at index next, and returns
// the index for the next round.
func (n *Node) probeRound(ctx context.Context, snap *Snapshot, next int) int {
	domains := slices.DeleteFunc(snap.Index.DomainNames(), func(d string) bool { return d == n.cfg.Domain })
	var wg sync.WaitGroup
	for k := range min(maxProbesPerRound, len(domains)) {
		domain := domains[(next+k)%len(domains)]
		var members []*peerv1.Member
		for _, m := range snap.Members {
			if m.Domain == domain {
				members = append(members, m)
			}
		}
		if len(members) == 0 {
			continue
		}
		m := members[rand.IntN(len(members))]
		wg.Go(func() {
			answered := n.probeHost(ctx, m.EntryPeerAddress)
			if ctx.Err() == nil && n.steering.recordProbe(domain, answered) {
				n.log.WithField("domain", domain).WithField("answers", answered).Warn("Reachability of a failure domain changed.")
			}
		})
	}
	wg.Wait()
	return next + maxProbesPerRound
}

func (n *Node) probeHost(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := n.peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_Probe{Probe: &peerv1.Probe{}}})
	var pe *port.PeerError
	return err == nil || errors.As(err, &pe) && (pe.Code == port.PeerRefused || pe.Code == port.PeerStopping)
}

// recordProbe records the result of a probe and reports whether the domain became
// unreachable or reachable again. If so, it rebuilds the view.
func (s *steering) recordProbe(domain string, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.reachability.Note(domain, answered)
	if v := s.view.Load(); changed && v != nil {
		s.view.Store(s.buildView(v.snapshot, s.clock.Now()))
	}
	return changed
}
