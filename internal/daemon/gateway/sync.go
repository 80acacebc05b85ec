package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// Times of the exchange with the store and with peers.
const (
	// watchPause is the least time between two watches. What happens meanwhile
	// comes with the next, so it bounds the calls a second.
	watchPause = 250 * time.Millisecond
	// seekPause is the pause between two sources while none is fresh.
	seekPause = 100 * time.Millisecond
	// seekQuickly is how many sources in a row are asked at that pause: the
	// hubs of a few regions. After them the pause is longer.
	seekQuickly = 6
	// failedFor is how long a source that failed is tried last.
	failedFor = 2 * time.Second
	// retryBase and retryMax bound the pause after a failed call of the store.
	// retryAside is the longest one of a gateway that is no hub, and hears of the
	// store's return from those that are.
	retryBase  = 200 * time.Millisecond
	retryMax   = 1500 * time.Millisecond
	retryAside = 4 * time.Second
	// lostFailures is after how many failed calls in a row a gateway tells those that pull
	// from it that it has lost the store: single calls fail now and then.
	lostFailures = 2
	// leaseTTL is how long the store keeps the record of a gateway that is
	// silent, and renewEvery how often its lease is renewed.
	leaseTTL   = 4 * time.Second
	renewEvery = 1300 * time.Millisecond
	// tickEvery is how often beliefs are checked for having ended.
	tickEvery = 200 * time.Millisecond
	// sources is how many gateways each pulls from.
	sources = 2
	// seedWait is how long a gateway that starts leaves the first listing of
	// the store to the gateways that the settings name, and asks those.
	seedWait = 1500 * time.Millisecond
)

// Syncer keeps the mirror up to date: hubs from the store, others from hubs,
// and whoever finds no fresh source from the store itself.
type Syncer struct {
	cfg      *Settings
	identity peer.Identity
	keeper   *Keeper
	store    port.Registry
	schema   port.Schema
	pool     port.PeerCaller
	log      *logrus.Entry
	metrics  *Metrics
	state    atomic.Int32
	started  time.Time
	// loaded is closed when the first listing is in, or will not come soon.
	loaded chan struct{}
	times  atomic.Pointer[timing]
	// usual and steady cache the order of sources.
	usual, steady atomic.Pointer[sourceOrder]

	mu     sync.Mutex
	failed map[string]time.Time
	// plainUntil is until when pulls ask for values as they are: one could not be decoded.
	plainUntil time.Time
	// lease holds this gateway's record in the store, granted in leaseEra.
	lease    port.LeaseID
	leaseEra uint64
	// cutOff is set while this gateway has no links to servers, linkChanges counts how often
	// that changed, and changed is closed and replaced when it does.
	cutOff      bool
	linkChanges uint32
	changed     chan struct{}
}

// NewSyncer returns a syncer that has not started.
func NewSyncer(cfg *Settings, id peer.Identity, k *Keeper, store port.Registry, schema port.Schema, pool port.PeerCaller, log *logrus.Entry, m *Metrics) *Syncer {
	s := &Syncer{
		cfg: cfg, identity: id, keeper: k, store: &observedStore{Registry: store, keeper: k}, schema: schema, pool: pool, log: log, metrics: m,
		failed: map[string]time.Time{}, started: time.Now(), loaded: make(chan struct{}), changed: make(chan struct{}),
	}
	s.state.Store(int32(peerv1.HostState_HOST_STATE_STARTING))
	s.SetBounds(&cfg.Bounds)
	return s
}

// SetBounds takes over the operators' bounds.
func (s *Syncer) SetBounds(b *Bounds) { s.times.Store(newTiming(b)) }

// Run works until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.load(ctx) })
	wg.Go(func() { s.watch(ctx) })
	wg.Go(func() { s.register(ctx) })
	wg.Go(func() { s.tell(ctx) })
	for rank := range sources {
		wg.Go(func() { s.follow(ctx, rank) })
	}
	wg.Go(func() {
		for sleep.For(ctx, tickEvery) {
			s.keeper.Alive(time.Now())
			s.keeper.Hear(s.self(), time.Now(), time.Now())
			s.keeper.Tick(time.Now())
		}
	})
	wg.Wait()
}

// failedNow returns the sources that failed lately, sorted, and forgets others.
func (s *Syncer) failedNow() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.failed, func(_ string, at time.Time) bool { return time.Since(at) >= failedFor })
	if len(s.failed) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(s.failed))
}

func (s *Syncer) fail(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[host] = time.Now()
}

// known returns the gateways that may be pulled from, and this one. Until its record is in
// the store, hosts that the settings name may run gateways that are not known yet.
func (s *Syncer) known(members []*peerv1.GatewayMember) []mirror.Member {
	var out []mirror.Member
	addresses := map[string]bool{s.cfg.Peer.String(): true}
	for _, m := range members {
		out = append(out, mirror.Member{Host: m.Host, Region: m.Region, Address: m.PeerAddress, Capacity: m.Capacity})
		addresses[m.PeerAddress] = true
	}
	if len(addresses) > 1 && s.keeper.stores(s.cfg.Host) {
		return out
	}
	port := strconv.Itoa(int(s.cfg.Peer.Port()))
	for _, seed := range s.cfg.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if address := net.JoinHostPort(host, port); err == nil && !addresses[address] {
			out = append(out, mirror.Member{Host: seed, Address: address})
		}
	}
	return out
}

// isSeed reports whether the settings name this host to those that start.
func (s *Syncer) isSeed() bool {
	for _, seed := range s.cfg.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && host == s.cfg.Peer.Addr().String() {
			return true
		}
	}
	return false
}

// watching reports whether this gateway is to watch the store. Before there is a
// configuration nobody is a hub yet, and the seeds watch for it.
func (s *Syncer) watching() bool {
	synced := s.keeper.Synced()
	hub := s.sources().hub
	switch {
	case synced.IsZero():
		return hub || s.isSeed() || len(s.cfg.Seeds) == 0 || time.Since(s.started) > seedWait
	case !s.Ready() && s.isSeed():
		return true
	}
	return hub || time.Since(synced) > s.times.Load().staleAfter
}

// Bounds of the pause before a gateway looks again whether it is to watch. Each
// look is a wake-up on every host.
const (
	lookLeast = 20 * time.Millisecond
	lookMost  = 250 * time.Millisecond
)

// untilWatching is how long a gateway that is no hub may wait until it looks again
// whether its knowledge has become too old.
func (s *Syncer) untilWatching() time.Duration {
	return min(lookMost, max(lookLeast, s.times.Load().staleAfter-time.Since(s.keeper.Synced())))
}

// watch keeps the mirror equal to the store while this gateway is to.
func (s *Syncer) watch(ctx context.Context) {
	s.awaitLoad(ctx)
	// relist is set when the store has forgotten what follows the mirror's revision.
	relist := false
	// listed is the revision of the first records; zero until there are any.
	listed := s.keeper.Have()
	// backfilled is set once a hub has asked for the changes before them.
	backfilled := false
	failures := 0
	for ctx.Err() == nil {
		if !s.watching() {
			sleep.For(ctx, s.untilWatching())
			continue
		}
		started := time.Now()
		revision := s.keeper.Have()
		if listed == 0 {
			listed = revision
		}
		if revision > 0 && !backfilled && s.sources().hub {
			if revision < listed+startOverlap {
				s.backfill(ctx)
			}
			backfilled = true
		}
		err := s.step(ctx, revision, relist || revision == 0)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			failures++
			s.keeper.SetStoreLost(failures >= lostFailures, time.Now())
			if failures == 1 || port.IsStoreCode(err, port.StoreCompacted) {
				s.log.WithError(err).WithField("revision", revision).Warn("Store lost.")
			}
			if port.IsStoreCode(err, port.StoreCompacted) {
				relist = true
				continue
			}
			longest := retryAside
			if s.sources().hub {
				longest = retryMax
			}
			sleep.For(ctx, backoff(failures, longest))
			continue
		}
		if failures > 0 {
			s.log.WithFields(logrus.Fields{"revision": s.keeper.Have(), "failures": failures}).Info("Store reached again.")
		}
		failures, relist = 0, false
		s.keeper.SetStoreLost(false, time.Now())
		sleep.For(ctx, watchPause-time.Since(started))
	}
}

func backoff(failures int, longest time.Duration) time.Duration {
	d := min(longest, retryBase<<min(failures-1, 8))
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}

// step lists the store, or watches it once from a revision.
func (s *Syncer) step(ctx context.Context, revision uint64, list bool) error {
	if list {
		l, err := s.store.ListPrefix(ctx, "")
		s.metrics.call("list", err)
		if err != nil {
			return err
		}
		now := time.Now()
		s.keeper.Replace(recordsOf(l.Entries, now), l.Revision, "store", now)
		return nil
	}
	wait := s.times.Load().watchWait
	if s.keeper.Synced().IsZero() {
		// The first listing is to be confirmed soon.
		wait = 0
	}
	ch, err := s.store.WatchPrefix(ctx, "", revision, wait)
	s.metrics.call("watch", err)
	if err != nil {
		return err
	}
	now := time.Now()
	s.keeper.Apply(recordsOfChanges(ch.List, now), ch.Revision, "store", now)
	return nil
}

func recordsOfChanges(changes []port.Change, now time.Time) []mirror.Record {
	records := make([]mirror.Record, 0, len(changes))
	for _, c := range changes {
		records = append(records, mirror.Record{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, Read: now})
	}
	return records
}

func recordsOf(entries []port.Entry, now time.Time) []mirror.Record {
	out := make([]mirror.Record, 0, len(entries))
	for _, e := range entries {
		out = append(out, mirror.Record{Key: e.Key, Value: e.Value, Revision: e.Revision, Read: now})
	}
	return out
}
