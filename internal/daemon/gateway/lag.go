package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/port"
)

// The store tells which servers are cold only as far as servers can write to it. While it
// fails calls, and until servers have written again, their records may be out of date, and
// gateways check servers for coldness themselves. That is the lag of the records.

const (
	// recordLag is how long records may be out of date after the store failed a call.
	recordLag = lapseGrace
	// takenBackLag is the same after an evacuation has ended: servers may have turned cold
	// just before. A check, and word of it to every gateway, take half of it.
	takenBackLag = time.Second
	// callOverdue is by how much a call of the store may exceed its wait before the store
	// counts as failing: a slow round trip between regions.
	callOverdue = 250 * time.Millisecond
	// lagNews is by how much a source's lag must exceed a puller's to be told and taken in:
	// more than it grows on the way, so that gateways do not prolong each other's.
	lagNews = 500 * time.Millisecond
)

// NoteStoreTrouble notes that the store failed a call of this gateway.
func (k *Keeper) NoteStoreTrouble(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.extendLag(recordLag, "store", now)
}

// extendLag notes that the records may be out of date for some time. The caller holds k.mu.
func (k *Keeper) extendLag(lag time.Duration, source string, now time.Time) {
	before := k.lag(now)
	if lag <= before {
		return
	}
	k.lagUntil = now.Add(lag)
	if lag > takenBackLag {
		k.troubledUntil = k.lagUntil
	}
	if before == 0 {
		close(k.lagged)
		k.lagged = make(chan struct{})
		k.log.WithFields(logrus.Fields{"source": source, "lag_ms": lag.Milliseconds()}).Info("Servers' records may be out of date.")
	}
	if lag-before > lagNews {
		k.wake()
	}
}

// leasesLag reports whether gateways that live on may have failed to renew their leases: the
// store failed one of them. A lag that an evacuation brought says nothing about leases, and is
// no longer than takenBackLag. The caller holds k.mu.
func (k *Keeper) leasesLag(now time.Time) bool { return now.Before(k.troubledUntil) }

// lag returns how much longer the records may be out of date, as all gateways are to know.
// The caller holds k.mu.
func (k *Keeper) lag(now time.Time) time.Duration { return max(0, k.lagUntil.Sub(now)) }

// RecordLag returns how much longer the records may be out of date as far as this gateway
// knows, which may just have started.
func (k *Keeper) RecordLag(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.lag(now), k.startLagUntil.Sub(now))
}

// takeBack has the servers of a domain whose evacuation has ended taken for cold until checks
// would have shown it. The caller holds k.mu.
func (k *Keeper) takeBack(domain string, now time.Time) {
	for _, s := range k.servers {
		if s.rec().Domain == domain {
			s.distrustUntil(now.Add(takenBackLag))
		}
	}
	k.extendLag(takenBackLag, "evacuation", now)
}

// Lagged returns a channel that is closed when the records begin to lag.
func (k *Keeper) Lagged() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lagged
}

// recordsLag reports whether servers' records may be out of date: the store is out of reach,
// or was a moment ago.
func (s *Syncer) recordsLag(now time.Time) bool {
	return s.outage(now) || s.keeper.RecordLag(now) > 0
}

// observedStore is a store whose calls tell the keeper when it fails.
type observedStore struct {
	port.Registry
	keeper *Keeper
	// failing is set while the latest call failed or is overdue.
	failing atomic.Bool
}

// observe makes a call that the store may keep waiting for a time.
func (o *observedStore) observe(wait time.Duration, call func() error) error {
	overdue := time.AfterFunc(wait+callOverdue, o.fail)
	defer overdue.Stop()
	return o.settle(call())
}

// settle takes in the outcome of a call and returns its error.
func (o *observedStore) settle(err error) error {
	switch {
	case port.IsStoreCode(err, port.StoreUnavailable) || port.IsStoreCode(err, port.StoreUnknown):
		o.fail()
	case o.failing.Swap(false):
		// It may have failed until now.
		o.keeper.NoteStoreTrouble(time.Now())
	}
	return err
}

func (o *observedStore) fail() {
	o.failing.Store(true)
	o.keeper.NoteStoreTrouble(time.Now())
}

// ListPrefix implements port.Registry. A listing has any number of pages.
func (o *observedStore) ListPrefix(ctx context.Context, prefix string) (port.Listing, error) {
	l, err := o.Registry.ListPrefix(ctx, prefix)
	return l, o.settle(err)
}

// WatchPrefix implements port.Registry.
func (o *observedStore) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (out port.Changes, err error) {
	err = o.observe(wait, func() (err error) {
		out, err = o.Registry.WatchPrefix(ctx, prefix, after, wait)
		return err
	})
	return out, err
}

// GrantLease implements port.Registry.
func (o *observedStore) GrantLease(ctx context.Context, ttl time.Duration) (id port.LeaseID, err error) {
	err = o.observe(0, func() (err error) {
		id, err = o.Registry.GrantLease(ctx, ttl)
		return err
	})
	return id, err
}

// RenewLease implements port.Registry.
func (o *observedStore) RenewLease(ctx context.Context, id port.LeaseID) error {
	return o.observe(0, func() error { return o.Registry.RenewLease(ctx, id) })
}

// Put implements port.Registry.
func (o *observedStore) Put(ctx context.Context, key string, value []byte, id port.LeaseID) error {
	return o.observe(0, func() error { return o.Registry.Put(ctx, key, value, id) })
}
