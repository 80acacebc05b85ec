package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membership"
	peerv1 "cassiatray/proto/peer/v1"
)

// Ready implements operatorhttp.Source.
func (n *Node) Ready() error {
	if n.head().Sequence == 0 {
		return &operatorhttp.NotReadyError{Reason: fmt.Sprintf("no document of environment %s", n.cfg.Environment)}
	}
	if !n.isReady() {
		return &operatorhttp.NotReadyError{Reason: "neither the store nor the peers have confirmed that the document is the newest"}
	}
	return nil
}

// State is the dump of a steer process.
type State struct {
	Host        string `json:"host"`
	Domain      string `json:"domain"`
	Environment string `json:"environment"`
	Incarnation uint64 `json:"incarnation,string"`
	Ready       bool   `json:"ready"`
	// Lead is the host that leads the domain, and Choice how it was chosen:
	// by the store's lease or by rank.
	Lead   string            `json:"lead"`
	Choice membership.Choice `json:"choice"`
	Head   document.Head     `json:"head"`
	// Since is when Head was put in force here.
	Since time.Time `json:"since,omitzero"`
	// NewestHeard is the newest sequence that any other process showed.
	NewestHeard uint64        `json:"newestHeard"`
	Domains     []DomainState `json:"domains"`
	// Silent are the domains of which nothing is heard.
	Silent    []string          `json:"silent,omitempty"`
	Peers     []PeerState       `json:"peers"`
	Self      *peerv1.Member    `json:"self"`
	Heartbeat document.Duration `json:"heartbeat"`
}

// DomainState is one domain as this process sees it.
type DomainState struct {
	Name    string           `json:"name"`
	Lead    string           `json:"lead"`
	Version uint64           `json:"version,string"`
	Members []*peerv1.Member `json:"members"`
}

// PeerState is another steer process that this one exchanges with.
type PeerState struct {
	Address string `json:"address"`
	Host    string `json:"host,omitempty"`
	// LastContact is when an exchange last succeeded; zero means never.
	LastContact time.Time `json:"lastContact,omitzero"`
	// Failures counts the exchanges that failed since.
	Failures int `json:"failures"`
	// Sequence is what it had in force then.
	Sequence uint64 `json:"sequence"`
}

// Dump implements operatorhttp.Source.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	lead, choice := n.view.Lead()
	s := State{
		Host: n.cfg.Host, Domain: n.cfg.Domain, Environment: n.cfg.Environment, Incarnation: n.incarnation,
		Ready: n.ready, Lead: lead.GetHost(), Choice: choice, Head: n.head(), Since: n.since,
		NewestHeard: n.behind.sequence, Silent: n.silent, Self: cloneMember(n.self), Heartbeat: n.cfg.Heartbeat,
	}
	s.Self.SteerSequence, s.Self.EntrySequence = s.Head.Sequence, n.entrySequence
	for _, v := range n.views.All() {
		s.Domains = append(s.Domains, DomainState{Name: v.Domain, Lead: v.Lead, Version: v.Version, Members: v.Members})
	}
	for _, address := range slices.Sorted(maps.Keys(n.contacts)) {
		c := n.contacts[address]
		s.Peers = append(s.Peers, PeerState{
			Address: address, Host: c.host, LastContact: c.last, Failures: c.failures, Sequence: c.sequence,
		})
	}
	return s
}
