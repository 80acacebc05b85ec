package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// self is this gateway as it announces itself.
func (s *Syncer) self() *peerv1.GatewayMember {
	s.mu.Lock()
	cutOff, changes := s.cutOff, s.linkChanges
	s.mu.Unlock()
	return &peerv1.GatewayMember{
		Host: s.cfg.Host, Domain: s.cfg.Domain, Region: s.cfg.Region, Incarnation: s.identity.Incarnation,
		CallerAddress: s.cfg.Caller.String(), PeerAddress: s.cfg.Peer.String(),
		State: peerv1.HostState(s.state.Load()), Capacity: uint32(s.cfg.Capacity * 1000), StoreEra: port.Era(s.keeper.Have()),
		CutOff: cutOff, LinkChanges: changes,
	}
}

// Ready reports whether this gateway knows enough to serve.
func (s *Syncer) Ready() bool {
	v := s.keeper.View()
	return v.config != nil && len(v.groups) > 0 && s.keeper.Settled(time.Now())
}

// register announces this gateway in the store while it serves.
func (s *Syncer) register(ctx context.Context) {
	for !s.Ready() {
		if !sleep.For(ctx, 20*time.Millisecond) {
			return
		}
	}
	s.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
	s.log.Info("Ready.")
	failures := 0
	for ctx.Err() == nil && s.state.Load() == int32(peerv1.HostState_HOST_STATE_SERVING) {
		if err := s.announce(ctx); err != nil {
			failures++
			if failures == 1 {
				s.log.WithError(err).Warn("Cannot announce this gateway in the store.")
			}
			sleep.For(ctx, backoff(failures+2, retryAside))
			continue
		}
		failures = 0
		sleepUnless(ctx, renewEvery, s.selfChanged())
	}
}

// announce renews the lease, or opens one and writes the record under it.
func (s *Syncer) announce(ctx context.Context) error {
	lease, era := s.held(), port.Era(s.keeper.Have())
	if s.forgetLease(era) {
		lease = ""
	}
	if lease != "" && s.announced() {
		err := s.store.RenewLease(ctx, lease)
		s.metrics.call("renew", err)
		if !port.IsStoreCode(err, port.StoreNotFound) {
			return err
		}
		lease = ""
	}
	if lease != "" {
		err := s.put(ctx, lease)
		if !port.IsStoreCode(err, port.StoreNotFound) {
			return err
		}
		// It has lapsed, and with it the record.
		s.hold("", era)
	}
	lease, err := s.store.GrantLease(ctx, leaseTTL)
	s.metrics.call("grant", err)
	if err != nil {
		return err
	}
	err = s.put(ctx, lease)
	if port.IsStoreCode(err, port.StoreNotFound) {
		lease = ""
	}
	s.hold(lease, era)
	return err
}

// put writes this gateway's record under a lease.
func (s *Syncer) put(ctx context.Context, lease port.LeaseID) error {
	value, err := proto.Marshal(s.self())
	if err != nil {
		return err
	}
	err = s.store.Put(ctx, s.schema.MemberKey(s.cfg.Host), value, lease)
	s.metrics.call("put", err)
	return err
}

// held returns the lease of this gateway's record, or "".
func (s *Syncer) held() port.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

func (s *Syncer) hold(id port.LeaseID, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.leaseEra = id, era
}

// forgetLease drops a lease of an earlier era: the copy that the store came back from may
// not have it, and its number may be another's by now. It reports whether it did.
func (s *Syncer) forgetLease(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == "" || s.leaseEra >= era {
		return false
	}
	s.lease = ""
	return true
}

// announced reports whether the mirror lacks nothing of this gateway's record.
// A record that was removed under a live lease is written again.
func (s *Syncer) announced() bool {
	changes := s.self().LinkChanges
	s.keeper.mu.Lock()
	defer s.keeper.mu.Unlock()
	m := new(peerv1.GatewayMember)
	r, ok := s.keeper.mirror.Get(s.schema.MemberKey(s.cfg.Host))
	ok = ok && proto.Unmarshal(r.Value, m) == nil && m.Incarnation == s.identity.Incarnation && m.LinkChanges == changes && !isCopiedMember(m, r)
	return ok || time.Since(s.keeper.mirror.Synced()) > s.times.Load().staleAfter
}

// introductionTime is how long after its start a gateway whose record is not in the store
// may lack others that it has to share with: a few pulls from the seeds.
const introductionTime = 3 * time.Second

// introduced reports whether this gateway and the others know each other, as far as the
// store or the seeds can tell. Before that it owns nothing of which there is one owner.
func (k *Keeper) introduced(now time.Time) bool {
	return now.Sub(k.born) > introductionTime || k.stores(k.cfg.Host)
}

// stores reports whether the store holds a gateway's record, as far as is known.
func (k *Keeper) stores(host string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored[host] != nil
}

// SetCutOff tells all gateways whether this one has lost its links to servers: callers are not
// sent here meanwhile, and others own what it owned.
func (s *Syncer) SetCutOff(cut bool, now time.Time) {
	s.mu.Lock()
	if s.cutOff == cut {
		s.mu.Unlock()
		return
	}
	s.cutOff = cut
	s.linkChanges++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.keeper.ownLinks(cut, now)
	s.keeper.Hear(s.self(), now, now)
}

// selfChanged returns a channel that is closed when what this gateway says of itself changes.
func (s *Syncer) selfChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ownLinks notes that this gateway has lost its links to servers, or has them back: it owns
// nothing of which there is one owner until all others know.
func (k *Keeper) ownLinks(cut bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cutOff = cut; !cut {
		k.reclaimAt = now.Add(introductionTime)
	}
}

// Leave takes this gateway out of the directory everywhere.
func (s *Syncer) Leave(ctx context.Context) {
	s.state.Store(int32(peerv1.HostState_HOST_STATE_LEAVING))
	s.keeper.Hear(s.self(), time.Now(), time.Now())
	lease := s.held()
	if lease == "" {
		return
	}
	// The record says that this gateway leaves, and lapses with its lease: a
	// record that is only removed may have been taken away from a live one.
	if err := s.put(ctx, lease); err != nil {
		s.log.WithError(err).Warn("Cannot say in the store that this gateway leaves; peers hear it.")
	}
}
