// Package steer is the control process of an entry host. It keeps the newest
// environment document and the members of its failure domain, and passes both
// to the entry process of its host and to other steer processes.
//
// One member of each domain leads: it watches the platform's store and
// exchanges with the leads of a few other domains. The others follow it.
// Everything that is passed on carries a sequence or a version, so that any
// number of leads does no harm.
package steer

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membership"
	"cassiatray/internal/core/relay"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Node is the state of a steer process.
//
// mu guards all that follows it. It is never held during I/O, and never taken
// by receiver, which has a lock of its own.
type Node struct {
	cfg         Settings
	incarnation uint64
	store       *envstore.Store
	peers       port.PeerCaller
	clock       port.Clock
	log         *logrus.Entry
	metrics     *metrics
	receiver    *relay.Receiver
	wg          sync.WaitGroup // exchanges started by loops

	mu    sync.Mutex
	view  *membership.View
	lease *membership.Lease
	self  *peerv1.Member
	// entryTicks counts ticks since the entry process of this host reported.
	entryTicks    int
	entrySequence uint64
	views         *relay.Views
	contacts      map[string]*contact
	behind        behind
	// since is when the head in force was put in force here.
	since time.Time
	// ready is set once this process knows that its document is the newest
	// that it can get.
	ready bool
	// changed is closed and replaced whenever followers have news.
	changed chan struct{}
	// news holds at most one signal that views of domains changed.
	news chan struct{}
	// fresh are the views that changed since the last report to partners.
	fresh map[string]bool
	// beats are kept while this process leads; silent is what it makes of
	// them, or what its lead does. silentVersion grows with each change.
	beats  *relay.Beats
	silent []string
	// told is what another lead said last of the silent domains, since this
	// process led last.
	told          *peerv1.SilentDomains
	silentVersion uint64
	// rotation varies the host of another domain that is called first.
	rotation int
}

// contact is what this process knows of another steer process.
type contact struct {
	host string
	// last is when an exchange with it last succeeded, failures how many
	// failed since.
	last     time.Time
	failures int
	// acked is this process's version that the other has confirmed.
	acked uint64
	// sequence is what the other had in force.
	sequence uint64
}

// NewNode returns a node with no document and no members but itself.
func NewNode(cfg Settings, incarnation uint64, store *envstore.Store, peers port.PeerCaller, clock port.Clock, log *logrus.Entry) *Node {
	return &Node{
		cfg: cfg, incarnation: incarnation, store: store, peers: peers, clock: clock, log: log,
		metrics:  newMetrics(),
		receiver: relay.NewReceiver(cfg.Environment),
		view:     membership.NewView(heartbeatsMissed),
		lease:    membership.NewLease(leaseTTL),
		self: &peerv1.Member{
			Host: cfg.Host, Domain: cfg.Domain, SteerIncarnation: incarnation, Version: 1,
			SteerPeerAddress: cfg.Peer.String(),
		},
		views:    relay.NewViews(cfg.Domain),
		contacts: map[string]*contact{},
		changed:  make(chan struct{}),
		news:     make(chan struct{}, 1),
		fresh:    map[string]bool{},
		// Above zero, so that each follower is told once.
		silentVersion: 1,
	}
}

// notify needs n.mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) head() document.Head { return n.receiver.Head() }

// put takes in a head, by its delta or by sections from fetch.
func (n *Node) put(h document.Head, d *document.Delta, fetch relay.Fetch) error {
	taken, err := n.receiver.Take(h, d, fetch)
	if err != nil || taken == nil {
		return err
	}
	now := n.clock.Now()
	n.metrics.taken(taken, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.since = now
	n.notify()
	n.log.WithField("sequence", taken.Head.Sequence).WithField("fetched", taken.Fetched).Info("Document in force.")
	return nil
}

// updateSelf replaces this host's own member state by a changed copy. It needs
// n.mu.
func (n *Node) updateSelf(change func(*peerv1.Member)) {
	next := cloneMember(n.self)
	change(next)
	next.Version++
	n.self = next
	n.view.Observe(next)
}

// refreshOwnDomain rebuilds this domain's view when its members changed. Only
// the lead's view is passed to other domains; each member builds its own for
// its entry process. It needs n.mu.
func (n *Node) refreshOwnDomain() {
	if !n.view.Joined() {
		return
	}
	live := n.view.Live()
	if old := n.views.Get(n.cfg.Domain); old != nil && sameMembers(old.Members, live) {
		return
	}
	n.setOwnDomain(live, 0)
}

// setOwnDomain needs n.mu.
func (n *Node) setOwnDomain(live []*peerv1.Member, least uint64) {
	version := max(least, uint64(n.clock.Now().UnixMicro()))
	if old := n.views.Get(n.cfg.Domain); old != nil {
		version = max(version, old.Version+1)
	}
	n.views.SetOwn(&peerv1.DomainView{Domain: n.cfg.Domain, Version: version, Members: live, Lead: n.cfg.Host})
	n.spread(n.cfg.Domain)
}

// spread marks the view of a domain as news for followers and partners. It
// needs n.mu.
func (n *Node) spread(domain string) {
	n.fresh[domain] = true
	n.notify()
	select {
	case n.news <- struct{}{}:
	default:
	}
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

// mergeViews takes in newer views of other domains.
func (n *Node) mergeViews(views []*peerv1.DomainView) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.views.Merge(views) {
		n.spread(v.Domain)
	}
}

// lead returns the member that leads this domain, as this host sees it, or nil.
func (n *Node) lead() *peerv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, _ := n.view.Lead()
	return m
}

func (n *Node) leads() bool { return n.lead().GetHost() == n.cfg.Host }

func cloneMember(m *peerv1.Member) *peerv1.Member {
	return &peerv1.Member{
		Host: m.Host, Domain: m.Domain, SteerIncarnation: m.SteerIncarnation, EntryIncarnation: m.EntryIncarnation,
		EntryState: m.EntryState, SteerSequence: m.SteerSequence, EntrySequence: m.EntrySequence, Version: m.Version,
		CallerAddress: m.CallerAddress, EntryPeerAddress: m.EntryPeerAddress, SteerPeerAddress: m.SteerPeerAddress,
		Loads: m.Loads, Joined: m.Joined, HoldsLease: m.HoldsLease,
	}
}
