package steer

import (
	"context"
	"time"

	"cassiatray/internal/core/document"
	peerv1 "cassiatray/proto/peer/v1"
)

// tick counts one interval: it drops what has not been heard of, joins once
// the domain is known, and catches up when this process stays behind.
func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Tick()
	n.entryTicks++
	held := n.lease.Held(n.clock.Now())
	switch {
	case n.self.EntryIncarnation != 0 && n.entryTicks > heartbeatsMissed:
		n.updateSelf(func(m *peerv1.Member) {
			m.EntryIncarnation, m.EntryState = 0, peerv1.HostState_HOST_STATE_UNSPECIFIED
		})
		n.log.Warn("Entry process is gone.")
	case n.view.Joined() && !n.self.Joined, held != n.self.HoldsLease:
		n.updateSelf(func(m *peerv1.Member) { m.Joined, m.HoldsLease = n.view.Joined(), held })
	}
	n.view.Observe(n.self)
	n.refreshOwnDomain()
	n.tickBeats()
	if address, ok := n.behind.tick(n.head().Sequence); ok {
		n.wg.Go(func() { n.catchUp(ctx, address) })
	}
}

// neighbors returns the steer addresses that this host calls: of each pair of
// hosts in a domain one calls the other, and the answer counts as its
// heartbeat. A host that the document does not name calls all.
func (n *Node) neighbors() []string {
	index := n.receiver.Index()
	if index == nil {
		return addresses(n.cfg.Seeds)
	}
	hosts := index.Hosts(n.cfg.Domain)
	named := index.Host(n.cfg.Host) != nil
	var out []string
	for _, h := range hosts {
		if h.Name != n.cfg.Host && (!named || h.Name > n.cfg.Host) {
			out = append(out, h.Steer.String())
		}
	}
	return out
}

func addresses(list []document.Address) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}

// beat sends a heartbeat, with the whole state if the other asks for it.
func (n *Node) beat(ctx context.Context, address string) {
	ack, ok := n.beatOnce(ctx, address)
	if ok && ack.WantMember {
		n.beatOnce(ctx, address)
	}
}

func (n *Node) beatOnce(ctx context.Context, address string) (*peerv1.HeartbeatAck, bool) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Heartbeat.D())
	defer cancel()
	hb := n.heartbeatTo(address)
	reply, err := n.peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_Heartbeat{Heartbeat: hb}})
	ack := reply.GetHeartbeatAck()
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contact(address)
	if err != nil || ack.GetMember() == nil {
		c.failures++
		c.acked = 0
		return nil, false
	}
	if !ack.Stub {
		c.host = ack.Member.Host
	}
	n.heardFrom(c, c.host, ack.SteerSequence, address)
	c.acked = hb.Member.Version
	if ack.WantMember {
		c.acked = 0
	}
	n.observe(fromStub(ack.Member, ack.Stub, n.cfg.Domain, c.host, reply.FromIncarnation), ack.Stub)
	return ack, true
}

// heartbeatTo returns the heartbeat for an address: a stub once the other has
// seen this host's state.
func (n *Node) heartbeatTo(address string) *peerv1.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contact(address)
	hb := &peerv1.Heartbeat{Member: n.self, SteerSequence: n.head().Sequence, EntrySequence: n.entrySequence}
	if c.acked == n.self.Version {
		hb.Member, hb.Stub = stubOf(n.self), true
	}
	if m := n.view.Member(c.host); m != nil {
		hb.HaveIncarnation, hb.HaveVersion = m.SteerIncarnation, m.Version
	}
	return hb
}

// stubOf stands for a state that the receiver has seen. Who sends it, and in
// which incarnation, every exchange tells anyway.
func stubOf(m *peerv1.Member) *peerv1.Member { return &peerv1.Member{Version: m.Version} }

// fromStub fills a stub in with whom it came from. Stubs pass only within a
// domain.
func fromStub(m *peerv1.Member, stub bool, domain, host string, incarnation uint64) *peerv1.Member {
	if !stub {
		return m
	}
	return &peerv1.Member{Host: host, Domain: domain, SteerIncarnation: incarnation, Version: m.GetVersion()}
}

// contact needs n.mu.
func (n *Node) contact(address string) *contact {
	c := n.contacts[address]
	if c == nil {
		c = new(contact)
		n.contacts[address] = c
	}
	return c
}

// heardFrom notes a successful exchange. It needs n.mu.
func (n *Node) heardFrom(c *contact, host string, sequence uint64, address string) {
	c.host, c.last, c.failures = host, n.clock.Now(), 0
	c.sequence = sequence
	n.behind.hear(sequence, address)
}

// observe takes in the state of another member of the domain, or a stub of it,
// and reports whether that state is known now. It needs n.mu.
func (n *Node) observe(m *peerv1.Member, stub bool) bool {
	if m.GetDomain() != n.cfg.Domain || m.GetHost() == n.cfg.Host {
		return true
	}
	known, changed := true, false
	if stub {
		known, changed = n.view.Refresh(m.Host, m.SteerIncarnation, m.Version)
	} else {
		changed = n.view.Observe(m)
	}
	if changed {
		n.refreshOwnDomain()
	}
	return known
}

// behind notes the newest sequence that others have in force, and for how many
// ticks this process has lacked it.
type behind struct {
	sequence uint64
	address  string
	ticks    int
}

// behindTicks is after how many ticks a process that is behind fetches from
// whoever has more. Until then its own source may yet deliver.
const behindTicks = 2

func (b *behind) hear(sequence uint64, address string) {
	if sequence >= b.sequence {
		b.sequence, b.address = sequence, address
	}
}

// tick returns the address to fetch from, if it is time to.
func (b *behind) tick(have uint64) (string, bool) {
	if have >= b.sequence {
		b.ticks = 0
		return "", false
	}
	b.ticks++
	return b.address, b.ticks >= behindTicks
}

// catchUpTime bounds how long one peer is followed to catch up.
const catchUpTime = 5 * time.Second
