package steer

import (
	"slices"

	"cassiatray/internal/core/relay"
	peerv1 "cassiatray/proto/peer/v1"
)

// tickBeats counts an interval of silence of the other domains while this
// process leads. It needs n.mu.
func (n *Node) tickBeats() {
	lead, _ := n.view.Lead()
	index := n.receiver.Index()
	if index == nil || lead.GetHost() != n.cfg.Host {
		n.stopBeats()
		return
	}
	names := index.DomainNames()
	if n.beats == nil {
		n.told = nil
		n.beats = relay.NewBeats(n.cfg.Domain, names, nil)
		n.beats.Expire(n.silent)
	} else if !slices.Equal(n.beats.Names(), names) {
		n.beats = relay.NewBeats(n.cfg.Domain, names, n.beats)
	}
	n.beats.Tick()
	n.setSilent(n.beats.Silent())
}

// stopBeats leaves the judgement to another lead. What that one said may have
// come before this process knew that it leads no longer. It needs n.mu.
func (n *Node) stopBeats() {
	if n.beats == nil {
		return
	}
	n.beats = nil
	if n.told != nil {
		n.setSilent(n.told.Domains)
	}
}

// setSilent needs n.mu.
func (n *Node) setSilent(domains []string) {
	if slices.Equal(n.silent, domains) {
		return
	}
	n.silent = domains
	n.silentVersion++
	n.notify()
	n.log.WithField("domains", domains).Warn("Silent domains changed.")
}

// takeSilent takes over what the lead makes of the domains.
func (n *Node) takeSilent(s *peerv1.SilentDomains) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == nil {
		return
	}
	n.told = s
	if n.beats == nil {
		n.setSilent(s.Domains)
	}
}

// exportBeats and mergeBeats need n.mu.
func (n *Node) exportBeats() ([]uint32, uint64) {
	if n.beats == nil {
		return nil, 0
	}
	return n.beats.Export()
}

func (n *Node) mergeBeats(list []uint32, digest uint64) {
	if n.beats != nil {
		n.beats.Merge(list, digest)
	}
}
