package entry

import (
	"slices"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	peerv1 "cassiatray/proto/peer/v1"
)

// Snapshot is the state that the request path reads. It is immutable: the feed builds a new
// one for each update and swaps the pointer.
type Snapshot struct {
	Head  document.Head
	Index *document.Index
	Table *lookup.Table
	// Hosts are the hosts that can serve callers now.
	Hosts []lookup.Host
	// Members are all known entry processes, by host.
	Members map[string]*peerv1.Member
}

// newSnapshot combines a document with the members of all domains. Hosts of silent domains
// remain members but are left out of look-up answers.
func newSnapshot(head document.Head, index *document.Index, table *lookup.Table, domains []*peerv1.DomainView, silent ...string) *Snapshot {
	s := &Snapshot{Head: head, Index: index, Table: table, Members: map[string]*peerv1.Member{}}
	for _, view := range domains {
		for _, m := range view.Members {
			s.add(m, slices.Contains(silent, view.Domain))
		}
	}
	return s
}

func (s *Snapshot) add(m *peerv1.Member, silent bool) {
	if m.EntryIncarnation == 0 {
		return
	}
	s.Members[m.Host] = m
	h := s.Index.Host(m.Host)
	if h == nil || silent || m.EntryState != peerv1.HostState_HOST_STATE_SERVING {
		return
	}
	s.Hosts = append(s.Hosts, lookup.Host{
		Name: m.Host, Domain: h.Domain, Region: h.Region, Caller: m.CallerAddress, Incarnation: m.EntryIncarnation,
	})
}
