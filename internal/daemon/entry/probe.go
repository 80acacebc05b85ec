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

// Probes of other failure domains.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// probesPerRound bounds the domains that are probed in one interval.
	probesPerRound = 8
)

// probe finds out which failure domains answer, until the context ends. Views
// of a domain do not age: nobody reports its loss.
func (n *Node) probe(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		if snap := n.feed.Snapshot(); snap != nil {
			next = n.probeRound(ctx, snap, next)
		}
		sleep.For(ctx, probeInterval)
	}
}

// probeRound probes some domains, from number next on, and returns the number
// to go on with.
func (n *Node) probeRound(ctx context.Context, snap *Snapshot, next int) int {
	domains := slices.DeleteFunc(snap.Index.DomainNames(), func(d string) bool { return d == n.cfg.Domain })
	var wg sync.WaitGroup
	for k := range min(probesPerRound, len(domains)) {
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
			if ctx.Err() == nil && n.steering.noteProbe(domain, answered) {
				n.log.WithField("domain", domain).WithField("answers", answered).Warn("Reach of a failure domain changed.")
			}
		})
	}
	wg.Wait()
	return next + probesPerRound
}

func (n *Node) probeHost(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := n.peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_Probe{Probe: &peerv1.Probe{}}})
	var pe *port.PeerError
	return err == nil || errors.As(err, &pe) && (pe.Code == port.PeerRefused || pe.Code == port.PeerStopping)
}

// noteProbe takes in the result of a probe; a domain that was lost or found
// gives a new view.
func (s *steering) noteProbe(domain string, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.reach.Note(domain, answered)
	if v := s.view.Load(); changed && v != nil {
		s.view.Store(s.build(v.snap, s.clock.Now()))
	}
	return changed
}
