// Package steer is the control process of an entry host. It keeps the newest
// environment document and the members of its failure domain, and passes both
// to the entry process of its host and to other steer processes.
//
// One member of each domain leads: it watches the platform's store and
// exchanges with the leads of other domains. The others follow it. Everything
// that is passed on carries a sequence or a version, so that any number of
// leads does no harm.
package steer

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/convert"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membership"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Node is the state of a steer process.
//
// mu guards all that follows it. It is never held during I/O.
type Node struct {
	cfg         Settings
	incarnation uint64
	store       *envstore.Store
	peers       port.PeerCaller
	clock       port.Clock
	log         *logrus.Entry

	mu      sync.Mutex
	replica *document.Replica
	view    *membership.View
	self    *peerv1.Member
	// entryHeard is when the entry process of this host last reported.
	entryHeard time.Time
	domains    map[string]*peerv1.DomainView
	// changed is closed and replaced whenever followers have news.
	changed chan struct{}
}

// NewNode returns a node with no document and no members but itself.
func NewNode(cfg Settings, incarnation uint64, store *envstore.Store, peers port.PeerCaller, clock port.Clock, log *logrus.Entry) *Node {
	return &Node{
		cfg: cfg, incarnation: incarnation, store: store, peers: peers, clock: clock, log: log,
		replica: document.NewReplica(),
		view:    membership.NewView(heartbeatsMissed * cfg.Heartbeat.D()),
		self: &peerv1.Member{
			Host: cfg.Host, Domain: cfg.Domain, SteerIncarnation: incarnation, Version: 1,
			SteerPeerAddress: cfg.Peer.String(),
		},
		domains: map[string]*peerv1.DomainView{},
		changed: make(chan struct{}),
	}
}

// notify needs n.mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// advance puts a newer head in force.
func (n *Node) advance(h document.Head, sections []document.Section) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	ok, err := n.replica.Advance(h, sections)
	if err != nil || !ok {
		return err
	}
	n.updateSelf(func(m *peerv1.Member) { m.SteerSequence = h.Sequence })
	n.notify()
	n.log.WithField("sequence", h.Sequence).Info("Document in force.")
	return nil
}

// updateSelf replaces this host's own member state by a changed copy. It needs
// n.mu.
func (n *Node) updateSelf(change func(*peerv1.Member)) {
	next := cloneMember(n.self)
	change(next)
	next.Version++
	n.self = next
	n.view.Observe(n.clock.Now(), next)
}

func (n *Node) head() document.Head {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Head()
}

// refresh marks this host live in its own view and drops an entry process that
// no longer reports.
func (n *Node) refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if n.self.EntryIncarnation != 0 && now.Sub(n.entryHeard) >= heartbeatsMissed*n.cfg.Heartbeat.D() {
		n.updateSelf(func(m *peerv1.Member) {
			m.EntryIncarnation, m.EntryState = 0, peerv1.HostState_HOST_STATE_UNSPECIFIED
		})
		n.log.Warn("Entry process is gone.")
	}
	n.view.Observe(now, n.self)
	n.refreshOwnDomain(now)
}

// refreshOwnDomain rebuilds this domain's view when its members changed. Only
// the lead's view is passed to other domains; each member builds its own for
// its entry process. It needs n.mu.
func (n *Node) refreshOwnDomain(now time.Time) {
	live := n.view.Live(now)
	old := n.domains[n.cfg.Domain]
	if old != nil && sameMembers(old.Members, live) {
		return
	}
	version := uint64(now.UnixMicro())
	if old != nil {
		version = max(version, old.Version+1)
	}
	n.domains[n.cfg.Domain] = &peerv1.DomainView{Domain: n.cfg.Domain, Version: version, Members: live}
	n.notify()
}

func sameMembers(a, b []*peerv1.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Host != b[i].Host || a[i].SteerIncarnation != b[i].SteerIncarnation || a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

// mergeDomains takes in newer views of other domains.
func (n *Node) mergeDomains(views []*peerv1.DomainView) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, v := range views {
		old := n.domains[v.Domain]
		if v.Domain == n.cfg.Domain || old != nil && old.Version >= v.Version {
			continue
		}
		n.domains[v.Domain] = v
		changed = true
	}
	if changed {
		n.notify()
	}
}

func (n *Node) domainViews() []*peerv1.DomainView {
	out := make([]*peerv1.DomainView, 0, len(n.domains))
	for _, v := range n.domains {
		out = append(out, v)
	}
	return out
}

// update is what a follower that has head have needs next. It needs n.mu.
func (n *Node) update(have document.Head, sent map[string]uint64) *peerv1.Update {
	up := new(peerv1.Update)
	if h := n.replica.Head(); h.Sequence > have.Sequence {
		up.Head = convert.HeadMessage(h)
		up.Sections = convert.SectionMessages(n.replica.Sections(have))
	}
	for name, v := range n.domains {
		if sent[name] < v.Version {
			sent[name] = v.Version
			up.Domains = append(up.Domains, v)
		}
	}
	if up.Head == nil && len(up.Domains) == 0 {
		return nil
	}
	return up
}

func cloneMember(m *peerv1.Member) *peerv1.Member {
	return &peerv1.Member{
		Host: m.Host, Domain: m.Domain, SteerIncarnation: m.SteerIncarnation, EntryIncarnation: m.EntryIncarnation,
		EntryState: m.EntryState, SteerSequence: m.SteerSequence, EntrySequence: m.EntrySequence, Version: m.Version,
		CallerAddress: m.CallerAddress, EntryPeerAddress: m.EntryPeerAddress, SteerPeerAddress: m.SteerPeerAddress,
		Loads: m.Loads,
	}
}
