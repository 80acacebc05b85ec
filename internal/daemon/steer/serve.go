package steer

import (
	"context"
	"fmt"

	"cassiatray/internal/core/document"
	peerv1 "cassiatray/proto/peer/v1"
)

// UnsupportedError is an exchange that this process does not answer.
type UnsupportedError struct{ Body string }

func (e *UnsupportedError) Error() string { return "unsupported exchange " + e.Body }

// ErrorCode implements peer.CodedError.
func (e *UnsupportedError) ErrorCode() string { return "unsupported" }

// EnvironmentError is an exchange meant for another environment.
type EnvironmentError struct{ Want, Got string }

func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("this host runs environment %q, not %q", e.Want, e.Got)
}

// ErrorCode implements peer.CodedError.
func (e *EnvironmentError) ErrorCode() string { return "wrong-environment" }

// Serve implements peer.Handler.
func (n *Node) Serve(_ context.Context, req *peerv1.Request) (*peerv1.Reply, error) {
	switch body := req.Body.(type) {
	case *peerv1.Request_Heartbeat:
		return n.serveHeartbeat(body.Heartbeat.GetMember()), nil
	case *peerv1.Request_DomainReport:
		return n.serveDomainReport(body.DomainReport)
	case *peerv1.Request_FetchSections:
		return n.serveFetch(body.FetchSections), nil
	}
	return nil, &UnsupportedError{Body: fmt.Sprintf("%T", req.Body)}
}

// serveHeartbeat takes a heartbeat of another steer process of the domain, or
// of this host's entry process.
func (n *Node) serveHeartbeat(m *peerv1.Member) *peerv1.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case m.GetHost() == n.cfg.Host && m.GetSteerIncarnation() == 0:
		n.observeEntry(m)
	case m.GetDomain() == n.cfg.Domain && m.GetHost() != n.cfg.Host:
		now := n.clock.Now()
		if n.view.Observe(now, m) {
			n.refreshOwnDomain(now)
		}
	}
	return &peerv1.Reply{Body: &peerv1.Reply_HeartbeatAck{HeartbeatAck: &peerv1.HeartbeatAck{Member: n.self}}}
}

// observeEntry takes in the state of this host's entry process. It needs n.mu.
func (n *Node) observeEntry(m *peerv1.Member) {
	if m.EntryIncarnation < n.self.EntryIncarnation {
		return
	}
	n.entryHeard = n.clock.Now()
	if m.EntryIncarnation == n.self.EntryIncarnation && m.EntryState == n.self.EntryState && m.EntrySequence == n.self.EntrySequence {
		return
	}
	n.updateSelf(func(self *peerv1.Member) {
		self.EntryIncarnation, self.EntryState, self.EntrySequence = m.EntryIncarnation, m.EntryState, m.EntrySequence
		self.CallerAddress, self.EntryPeerAddress = m.CallerAddress, m.EntryPeerAddress
	})
	n.refreshOwnDomain(n.clock.Now())
}

func (n *Node) serveDomainReport(r *peerv1.DomainReport) (*peerv1.Reply, error) {
	if r.Environment != n.cfg.Environment {
		return nil, &EnvironmentError{Want: n.cfg.Environment, Got: r.Environment}
	}
	n.mergeDomains(r.Domains)
	n.mu.Lock()
	defer n.mu.Unlock()
	ack := &peerv1.DomainReportAck{Sequence: n.replica.Head().Sequence, Domains: n.domainViews()}
	return &peerv1.Reply{Body: &peerv1.Reply_DomainReportAck{DomainReportAck: ack}}, nil
}

func (n *Node) serveFetch(f *peerv1.FetchSections) *peerv1.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := new(peerv1.SectionSet)
	for _, raw := range f.Hashes {
		if len(raw) != document.HashSize {
			continue
		}
		if s, ok := n.replica.Find(document.Hash(raw)); ok {
			set.Sections = append(set.Sections, &peerv1.Section{
				Ref: &peerv1.SectionRef{Name: s.Name, Hash: raw}, Data: s.Data,
			})
		}
	}
	return &peerv1.Reply{Body: &peerv1.Reply_SectionSet{SectionSet: set}}
}

// ServeFollow implements peer.Handler: it sends what is in force, then every
// change, until the follower goes.
func (n *Node) ServeFollow(ctx context.Context, req *peerv1.Request, send func(*peerv1.Reply) error) error {
	f := req.GetFollow()
	if f.Environment != n.cfg.Environment {
		return &EnvironmentError{Want: n.cfg.Environment, Got: f.Environment}
	}
	have := document.Head{Sequence: f.HaveSequence}
	sent := map[string]uint64{}
	for {
		n.mu.Lock()
		if n.replica.Head().Sequence == have.Sequence {
			have = n.replica.Head()
		}
		up := n.update(have, sent)
		have = n.replica.Head()
		changed := n.changed
		n.mu.Unlock()
		if up != nil {
			if err := send(&peerv1.Reply{Body: &peerv1.Reply_Update{Update: up}}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
