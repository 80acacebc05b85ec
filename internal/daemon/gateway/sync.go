package gateway

import (
	"context"
	"math/rand/v2"
	"net"
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
	retryBase = 200 * time.Millisecond
	retryMax  = 1500 * time.Millisecond
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
	times    atomic.Pointer[timing]

	mu     sync.Mutex
	failed map[string]time.Time
	// lease holds this gateway's record in the store.
	lease port.LeaseID
}

// NewSyncer returns a syncer that has not started.
func NewSyncer(cfg *Settings, id peer.Identity, k *Keeper, store port.Registry, schema port.Schema, pool port.PeerCaller, log *logrus.Entry, m *Metrics) *Syncer {
	s := &Syncer{
		cfg: cfg, identity: id, keeper: k, store: store, schema: schema, pool: pool, log: log, metrics: m,
		failed: map[string]time.Time{}, started: time.Now(),
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
	wg.Go(func() { s.watch(ctx) })
	wg.Go(func() { s.register(ctx) })
	for rank := range sources {
		wg.Go(func() { s.follow(ctx, rank) })
	}
	wg.Go(func() {
		for sleep.For(ctx, tickEvery) {
			s.keeper.Hear(s.self(), true, time.Now())
			s.keeper.Tick(time.Now())
		}
	})
	wg.Wait()
}

// isFailed reports whether a source failed lately.
func (s *Syncer) isFailed(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failed[host]) < failedFor
}

func (s *Syncer) fail(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[host] = time.Now()
}

// known returns the other gateways and this one. Before any is known, hosts
// named by the settings may run some.
func (s *Syncer) known() []mirror.Member {
	var out []mirror.Member
	for _, m := range s.keeper.View().members {
		out = append(out, mirror.Member{Host: m.Host, Region: m.Region, Address: m.PeerAddress, Capacity: m.Capacity})
	}
	if len(out) > 0 {
		return out
	}
	port := strconv.Itoa(int(s.cfg.Peer.Port()))
	for _, seed := range s.cfg.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || host == s.cfg.Peer.Addr().String() {
			continue
		}
		out = append(out, mirror.Member{Host: seed, Address: net.JoinHostPort(host, port)})
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
	if synced.IsZero() || !s.Ready() && s.isSeed() {
		return s.isSeed() || len(s.cfg.Seeds) == 0 || time.Since(s.started) > seedWait
	}
	return time.Since(synced) > s.times.Load().staleAfter || mirror.IsHub(s.known(), s.cfg.Host, s.cfg.Region, s.isFailed)
}

// watch keeps the mirror equal to the store while this gateway is to.
func (s *Syncer) watch(ctx context.Context) {
	var revision uint64
	failures := 0
	for ctx.Err() == nil {
		if !s.watching() {
			revision = 0
			sleep.For(ctx, 100*time.Millisecond)
			continue
		}
		started := time.Now()
		next, err := s.step(ctx, revision)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			failures++
			if failures == 1 || port.IsStoreCode(err, port.StoreCompacted) {
				s.log.WithError(err).WithField("revision", revision).Warn("Store lost.")
			}
			if port.IsStoreCode(err, port.StoreCompacted) {
				revision = 0
				continue
			}
			sleep.For(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			s.log.WithFields(logrus.Fields{"revision": next, "failures": failures}).Info("Store reached again.")
		}
		failures, revision = 0, next
		sleep.For(ctx, watchPause-time.Since(started))
	}
}

func backoff(failures int) time.Duration {
	d := min(retryMax, retryBase<<min(failures-1, 8))
	return d/2 + time.Duration(rand.Int64N(int64(d/2)))
}

// step lists the store when revision is zero, and else watches it once. It
// returns where the next watch continues.
func (s *Syncer) step(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		l, err := s.store.ListPrefix(ctx, "")
		s.metrics.call("list", err)
		if err != nil {
			return 0, err
		}
		now := time.Now()
		records := make([]mirror.Record, 0, len(l.Entries))
		for _, e := range l.Entries {
			records = append(records, mirror.Record{Key: e.Key, Value: e.Value, Revision: e.Revision, Read: now})
		}
		s.keeper.Replace(records, l.Revision, "store", now)
		return l.Revision, nil
	}
	ch, err := s.store.WatchPrefix(ctx, "", revision, s.times.Load().watchWait)
	s.metrics.call("watch", err)
	if err != nil {
		return revision, err
	}
	now := time.Now()
	records := make([]mirror.Record, 0, len(ch.List))
	for _, c := range ch.List {
		records = append(records, mirror.Record{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, Read: now})
	}
	s.keeper.Apply(records, ch.Revision, "store", now)
	return ch.Revision, nil
}
