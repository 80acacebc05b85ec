package steer

import (
	"context"
	"time"

	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
)

// Times of the lease of a domain's lead. Renewals of all domains together
// cost the store one write per leaseRenew and domain.
const (
	leaseTTL   = 15 * time.Second
	leaseRenew = 5 * time.Second
)

// holdLease holds the domain's lease in the store while this host leads. The
// lease keeps the lead with one host when others of lower rank come and go.
// Nothing relies on it: without the store the members agree by rank, and a
// lead whose lease lapsed unnoticed passes on nothing but sequences and
// versions, which others compare for themselves.
func (n *Node) holdLease(ctx context.Context) {
	var id port.LeaseID
	for {
		pause := leaseRenew
		switch leads := n.leads(); {
		case leads:
			id = n.keepLease(ctx, id)
		case id != "":
			n.dropLease(ctx, id)
			id = ""
		default:
			pause = n.cfg.Heartbeat.D()
		}
		if !sleep.For(ctx, pause) {
			n.leaveLease(id)
			return
		}
	}
}

// keepLease opens or renews the lease and returns its ID, empty when it is
// lost.
func (n *Node) keepLease(ctx context.Context, id port.LeaseID) port.LeaseID {
	asked := n.clock.Now()
	var err error
	if id == "" {
		id, err = n.store.GrantLead(ctx, leaseTTL)
	} else {
		err = n.store.RenewLead(ctx, id)
	}
	n.metrics.storeCall(err)
	if port.IsStoreCode(err, port.StoreNotFound) {
		n.setLease(func() { n.lease.Lost() })
		return ""
	}
	if err != nil {
		return id
	}
	if n.leaseHeld() {
		n.setLease(func() { n.lease.Renewed(asked) })
		return id
	}
	held, err := n.store.AcquireLead(ctx, n.cfg.Environment, n.cfg.Domain, n.cfg.Host, id)
	n.metrics.storeCall(err)
	if err == nil && held {
		n.setLease(func() { n.lease.Renewed(asked) })
	}
	return id
}

func (n *Node) setLease(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *Node) leaseHeld() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.Held(n.clock.Now())
}

func (n *Node) dropLease(ctx context.Context, id port.LeaseID) {
	n.setLease(func() { n.lease.Lost() })
	n.metrics.storeCall(n.store.RevokeLead(ctx, id))
}

// leaveLease gives the lease up when the process stops.
func (n *Node) leaveLease(id port.LeaseID) {
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.PlatformTimeout.D())
	defer cancel()
	n.dropLease(ctx, id)
}
