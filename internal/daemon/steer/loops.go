package steer

import (
	"context"
	"sync"
	"time"

	"cassiatray/internal/convert"
	peerv1 "cassiatray/proto/peer/v1"
)

// retryPause is the pause after a failed watch or follow.
const retryPause = 200 * time.Millisecond

// Run works until the context ends and all loops have stopped.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.heartbeats(ctx) })
	wg.Go(func() { n.pull(ctx) })
	wg.Go(func() { n.exchange(ctx) })
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) heartbeats(ctx context.Context) {
	for {
		n.refresh()
		for _, address := range n.neighbors() {
			go n.beat(ctx, address)
		}
		if !sleep(ctx, n.cfg.Heartbeat.D()) {
			return
		}
	}
}

// neighbors returns the steer addresses of the other hosts of the domain, or
// the seeds while there is no document.
func (n *Node) neighbors() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	index := n.replica.Index()
	if index == nil {
		for _, s := range n.cfg.Seeds {
			out = append(out, s.String())
		}
		return out
	}
	for _, h := range index.Hosts(n.cfg.Domain) {
		if h.Name != n.cfg.Host {
			out = append(out, h.Steer.String())
		}
	}
	return out
}

func (n *Node) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Heartbeat.D())
	defer cancel()
	n.mu.Lock()
	self := n.self
	n.mu.Unlock()
	req := &peerv1.Request{Body: &peerv1.Request_Heartbeat{Heartbeat: &peerv1.Heartbeat{Member: self}}}
	reply, err := n.peers.Call(ctx, address, req)
	if err != nil {
		return
	}
	m := reply.GetHeartbeatAck().GetMember()
	if m.GetDomain() != n.cfg.Domain || m.GetHost() == n.cfg.Host {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if n.view.Observe(now, m) {
		n.refreshOwnDomain(now)
	}
}

// lead returns the member that leads this domain, as this host sees it.
func (n *Node) lead() *peerv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Lead(n.clock.Now())
}

func (n *Node) leads() bool { return n.lead().GetHost() == n.cfg.Host }

// pull keeps the document current: from the store while this host leads, from
// the lead otherwise.
func (n *Node) pull(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		lead := n.lead()
		var err error
		switch {
		case lead == nil || lead.Host == n.cfg.Host:
			revision, err = n.watchOnce(ctx, revision)
		default:
			err = n.follow(ctx, lead)
		}
		if err != nil && !sleep(ctx, retryPause) {
			return
		}
	}
}

// watchOnce waits for one change of the head in the store and puts it in force.
func (n *Node) watchOnce(ctx context.Context, revision uint64) (uint64, error) {
	h, next, err := n.store.WatchHead(ctx, n.cfg.Environment, revision)
	if err != nil {
		return revision, err
	}
	if h.Sequence <= n.head().Sequence {
		return next, nil
	}
	n.mu.Lock()
	missing := n.replica.Missing(h)
	n.mu.Unlock()
	sections, err := n.store.Sections(ctx, missing)
	if err != nil {
		return revision, err
	}
	return next, n.advance(h, sections)
}

// follow takes updates from a member until it no longer leads.
func (n *Node) follow(ctx context.Context, lead *peerv1.Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenLeadChanges(ctx, cancel, lead.Host)
	return n.followAddress(ctx, lead.SteerPeerAddress)
}

func (n *Node) cancelWhenLeadChanges(ctx context.Context, cancel context.CancelFunc, host string) {
	for sleep(ctx, n.cfg.Heartbeat.D()) {
		if n.lead().GetHost() != host {
			cancel()
			return
		}
	}
}

func (n *Node) followAddress(ctx context.Context, address string) error {
	req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
		Environment: n.cfg.Environment, HaveSequence: n.head().Sequence, Role: peerv1.Role_ROLE_STEER,
	}}}
	return n.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error { return n.take(r.GetUpdate()) })
}

// take puts an update from another steer process in force.
func (n *Node) take(up *peerv1.Update) error {
	n.mergeDomains(up.GetDomains())
	if up.GetHead() == nil {
		return nil
	}
	h, err := convert.Head(up.Head)
	if err != nil {
		return err
	}
	sections, err := convert.Sections(up.Sections)
	if err != nil {
		return err
	}
	return n.advance(h, sections)
}

// exchange passes domain views between domains while this host leads, and
// fetches a newer document from whoever has one.
func (n *Node) exchange(ctx context.Context) {
	for sleep(ctx, n.cfg.Heartbeat.D()) {
		if n.head().Sequence == 0 {
			n.bootstrap(ctx)
			continue
		}
		if !n.leads() {
			continue
		}
		for _, domain := range n.otherDomains() {
			go n.report(ctx, domain)
		}
	}
}

// bootstrap asks the seeds for a document.
func (n *Node) bootstrap(ctx context.Context) {
	for _, s := range n.cfg.Seeds {
		n.catchUp(ctx, s.String())
		if n.head().Sequence > 0 {
			return
		}
	}
}

// catchUpTime bounds how long one peer is followed to catch up.
const catchUpTime = 2 * time.Second

// catchUp follows a peer until a document arrives or the time is up.
func (n *Node) catchUp(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	before := n.head().Sequence
	req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
		Environment: n.cfg.Environment, HaveSequence: before, Role: peerv1.Role_ROLE_STEER,
	}}}
	n.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error {
		err := n.take(r.GetUpdate())
		if n.head().Sequence > before {
			cancel()
		}
		return err
	})
}

func (n *Node) otherDomains() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, d := range n.replica.Index().DomainNames() {
		if d != n.cfg.Domain {
			out = append(out, d)
		}
	}
	return out
}

// contacts returns steer addresses of a domain: its known lead first, then the
// rest of its hosts.
func (n *Node) contacts(domain string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range n.domains[domain].GetMembers() {
		out = append(out, m.SteerPeerAddress)
	}
	if len(out) > 0 {
		return out
	}
	for _, h := range n.replica.Index().Hosts(domain) {
		out = append(out, h.Steer.String())
	}
	return out
}

// report exchanges domain views with one reachable host of another domain.
func (n *Node) report(ctx context.Context, domain string) {
	for _, address := range n.contacts(domain) {
		ack, err := n.reportTo(ctx, address)
		if err != nil {
			continue
		}
		n.mergeDomains(ack.Domains)
		if ack.Sequence > n.head().Sequence {
			n.catchUp(ctx, address)
		}
		return
	}
}

func (n *Node) reportTo(ctx context.Context, address string) (*peerv1.DomainReportAck, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Heartbeat.D())
	defer cancel()
	n.mu.Lock()
	report := &peerv1.DomainReport{
		Environment: n.cfg.Environment, Sequence: n.replica.Head().Sequence,
		Domains: []*peerv1.DomainView{n.domains[n.cfg.Domain]},
	}
	n.mu.Unlock()
	reply, err := n.peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_DomainReport{DomainReport: report}})
	if err != nil {
		return nil, err
	}
	return reply.GetDomainReportAck(), nil
}
