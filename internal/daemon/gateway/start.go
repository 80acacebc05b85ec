package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
)

// Times of a process that starts.
const (
	// loadWait is how long a gateway that starts waits for each page of its first
	// listing of the store before it also asks its peers: a few round trips between
	// regions, and the decoding of a page on a small host.
	loadWait = 400 * time.Millisecond
	// loadMost is how long a gateway that starts waits for all pages of it before it also
	// asks its peers. Entries of other writers may make any number of pages.
	loadMost = 3 * time.Second
	// loadTrust is how long a process that starts waits for its listing to be
	// confirmed by the store or a peer before it serves by it alone.
	loadTrust = time.Second
)

// startOverlap is how many revisions before its first listing a hub asks the store for: those
// that list a little earlier, when many start at once, then lack nothing that it has not.
const startOverlap = 1000

// backfill asks the store for the changes just before the first listing.
func (s *Syncer) backfill(ctx context.Context) {
	have := s.keeper.Have()
	era := port.RevisionIn(port.Era(have), 1)
	if have <= era {
		return
	}
	after := max(era, have-min(have-era, startOverlap))
	ch, err := s.store.WatchPrefix(ctx, "", after, 0)
	s.metrics.call("watch", err)
	if err != nil {
		s.log.WithError(err).WithField("revision", after).Debug("No changes before the first listing; others may need a snapshot.")
		return
	}
	s.keeper.Backfill(recordsOfChanges(ch.List, time.Now()), after)
}

// Backfill takes in the changes after a revision that the first listing covers.
func (k *Keeper) Backfill(records []mirror.Record, after uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mirror.Backfill(records, after)
}

// load lists the store once when the process starts. Many start at once after a
// loss of power, and the store bears that better than the links of the few hosts
// that would otherwise send each of them all records.
func (s *Syncer) load(ctx context.Context) {
	done := sync.OnceFunc(func() { close(s.loaded) })
	defer done()
	defer time.AfterFunc(loadMost, done).Stop()
	timer := time.AfterFunc(loadWait, done)
	defer timer.Stop()
	goesOn := func() {
		// A timer that has fired stays so: the peers are asked already.
		if timer.Stop() {
			timer.Reset(loadWait)
		}
	}
	l, err := s.store.ListStale(ctx, "", goesOn)
	s.metrics.call("load", err)
	if err != nil {
		s.log.WithError(err).Warn("Store not listed at the start; peers are asked.")
	} else {
		now := time.Now()
		s.keeper.Load(recordsOf(l.Entries, now), l.Revision, now)
		s.log.WithFields(logrus.Fields{"revision": l.Revision, "records": len(l.Entries), "ms": now.Sub(s.started).Milliseconds()}).Info("Store listed.")
	}
}

// awaitLoad returns once the first listing is in, or will not come soon.
func (s *Syncer) awaitLoad(ctx context.Context) {
	select {
	case <-s.loaded:
	case <-ctx.Done():
	}
}

// Load takes in a listing that may be old. It is a start from which changes are
// asked for, and confirms nothing.
func (k *Keeper) Load(records []mirror.Record, revision uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteRestore(revision, now)
	k.take(k.mirror.Replace("", records, revision, now), "store, stale", now)
	k.loaded = now
}

// Settled reports whether there is a configuration that was confirmed, after a pause
// once more, or that nobody has confirmed for so long that it has to do.
func (k *Keeper) Settled(now time.Time) bool {
	if k.settled.Load() {
		return !k.resuming(now)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known := !k.mirror.Synced().IsZero() || !k.loaded.IsZero() && now.Sub(k.loaded) > loadTrust
	k.settled.Store(known && k.config != nil && !k.awaitsPeer(now))
	return k.settled.Load()
}

// peerTrust is how long a process that starts waits for a peer to say which configuration is in
// force, if there are customers: several pulls from either of its sources.
const peerTrust = 3 * time.Second

// awaitsPeer reports whether a process that starts is to hear from a peer before it serves: a
// store that came back from a copy confirms an earlier configuration, in which keys hold that were
// withdrawn. The caller holds k.mu.
func (k *Keeper) awaitsPeer(now time.Time) bool {
	if k.config == nil || !k.config.HasCustomers() || k.pageTaken || now.Sub(k.configSince) > peerTrust {
		return false
	}
	return k.othersKnown || len(k.cfg.Seeds) > 1
}

// AwaitsPeer reports whether the process serves only once a peer has answered a pull.
func (k *Keeper) AwaitsPeer(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.awaitsPeer(now)
}

// Bounds of how long a request that comes while the process starts waits for its
// view: that takes a few hundred milliseconds, and a caller that is refused meanwhile
// spends one of its few retries.
const (
	startHold      = time.Second
	startHoldShare = 0.15
	startPoll      = 20 * time.Millisecond
)

// awaitStart returns once the gateway can serve, or after a part of the time that
// the caller has left.
func (n *Node) awaitStart(ctx context.Context, left time.Duration) {
	hold := startHold
	if left > 0 {
		hold = min(hold, time.Duration(startHoldShare*float64(left)))
	}
	for end := time.Now().Add(hold); !n.keeper.Settled(time.Now()) && time.Now().Before(end) && n.waits.Err() == nil; {
		if !sleep.For(ctx, startPoll) {
			return
		}
	}
}
