package steer

import (
	"context"
	"sync"
	"time"

	"cassiatray/internal/core/relay"
	peerv1 "cassiatray/proto/peer/v1"
)

// exchange passes domain views between leads: news at once to every partner
// domain, and to one partner at each interval a digest that finds what was
// lost on the way.
func (n *Node) exchange(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Heartbeat.D())
	defer ticker.Stop()
	for turn := 0; ; {
		select {
		case <-n.news:
			n.pushNews(ctx)
		case <-ticker.C:
			if partners := n.partners(); len(partners) > 0 {
				domain := partners[turn%len(partners)]
				n.wg.Go(func() { n.report(ctx, domain, nil) })
				turn++
			}
		case <-ctx.Done():
			return
		}
	}
}

// partners returns the domains to exchange with; none while another leads.
func (n *Node) partners() []string {
	index := n.receiver.Index()
	if index == nil || !n.leads() {
		return nil
	}
	return relay.Partners(index.DomainNames(), n.cfg.Domain)
}

// pushNews sends changed views to all partners.
func (n *Node) pushNews(ctx context.Context) {
	partners := n.partners()
	n.mu.Lock()
	var domains []string
	for d := range n.fresh {
		domains = append(domains, d)
	}
	clear(n.fresh)
	views := n.views.Select(domains)
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, domain := range partners {
		wg.Go(func() { n.report(ctx, domain, views) })
	}
	wg.Wait()
}

// maxContacts bounds how many hosts of a domain are tried for one report.
const maxContacts = 4

// candidates returns steer addresses of a domain: its known lead first, then
// its members, then the hosts that the document names. They begin at a
// different one each time.
func (n *Node) candidates(domain string) []string {
	index := n.receiver.Index()
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.views.Get(domain)
	var first, rest []string
	for _, m := range view.GetMembers() {
		if m.Host == view.Lead {
			first = append(first, m.SteerPeerAddress)
		} else {
			rest = append(rest, m.SteerPeerAddress)
		}
	}
	if len(first)+len(rest) == 0 {
		for _, h := range index.Hosts(domain) {
			rest = append(rest, h.Steer.String())
		}
	}
	if len(rest) > 0 {
		n.rotation++
		i := n.rotation % len(rest)
		rest = append(rest[i:len(rest):len(rest)], rest[:i]...)
	}
	out := append(first, rest...)
	return out[:min(len(out), maxContacts)]
}

// report exchanges domain views with the lead of another domain.
func (n *Node) report(ctx context.Context, domain string, news []*peerv1.DomainView) {
	tried := map[string]bool{}
	for _, address := range n.candidates(domain) {
		for address != "" && !tried[address] {
			tried[address] = true
			ack, ok := n.reportTo(ctx, address, news, nil)
			if !ok {
				break
			}
			if ack.LeadAddress == "" {
				n.reconcile(ctx, address, ack)
				return
			}
			address = ack.LeadAddress
		}
	}
}

// reconcile settles what a digest showed to differ.
func (n *Node) reconcile(ctx context.Context, address string, ack *peerv1.DomainReportAck) {
	if len(ack.Versions) == 0 {
		return
	}
	n.mu.Lock()
	if least := n.views.Outbid(ack.Versions); least > 0 {
		n.setOwnDomain(n.views.Get(n.cfg.Domain).Members, least)
	}
	newer, want := n.views.Newer(relay.NewKnown(ack.Versions)), n.views.Lacking(ack.Versions)
	n.mu.Unlock()
	if len(newer) > 0 || len(want) > 0 {
		n.reportTo(ctx, address, newer, want)
	}
}

// reportTo makes one exchange.
func (n *Node) reportTo(ctx context.Context, address string, views []*peerv1.DomainView, want []string) (*peerv1.DomainReportAck, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*n.cfg.Heartbeat.D())
	defer cancel()
	n.mu.Lock()
	report := &peerv1.DomainReport{
		Environment: n.cfg.Environment, Sequence: n.head().Sequence, Domains: views, Digest: n.views.Digest(), Want: want,
	}
	report.Beats, report.BeatsDigest = n.exportBeats()
	n.mu.Unlock()
	reply, err := n.peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_DomainReport{DomainReport: report}})
	ack := reply.GetDomainReportAck()
	n.mu.Lock()
	c := n.contact(address)
	if err != nil || ack == nil {
		c.failures++
		n.mu.Unlock()
		return nil, false
	}
	n.heardFrom(c, c.host, ack.Sequence, address)
	n.mergeBeats(ack.Beats, ack.BeatsDigest)
	n.mu.Unlock()
	n.mergeViews(ack.Domains)
	return ack, true
}
