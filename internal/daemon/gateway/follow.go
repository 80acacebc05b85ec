package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/valuecodec"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// follow pulls from the source at a rank in the order of sources: waiting for
// news from the first, and now and then from the second.
func (s *Syncer) follow(ctx context.Context, rank int) {
	s.awaitLoad(ctx)
	reports := map[string]*exchanged{}
	// stale counts the sources in a row that were lost or had lost the store.
	stale := 0
	for ctx.Err() == nil {
		order := s.sources().order
		if rank >= len(order) {
			sleep.For(ctx, seekPause)
			continue
		}
		m, steady := order[rank], s.steadySources()
		lagged := s.keeper.Lagged()
		// While reports are all that gateways have of the servers, the second loop waits for
		// them at the usual source, also when another one has the store.
		await := rank > 0 && (stale >= seekQuickly || s.keeper.RecordLag(time.Now()) > 0)
		switch {
		case await:
			m = steady[0]
		case stale >= seekQuickly && stale%2 == 0:
			// Meanwhile reports still go through the usual source.
			m = steady[rank]
		}
		with := exchangedWith(reports, m.Host, steady[:min(sources, len(steady))])
		times := s.times.Load()
		wait := times.pullWait
		if !await && (rank > 0 || time.Since(s.keeper.Synced()) > times.staleSource || s.keeper.AwaitsPeer(time.Now())) {
			wait = 0
		}
		got, err := s.pull(ctx, m, pullOptions{wait: wait, awaitReports: await}, with)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			stale++
			s.fail(m.Host)
			s.log.WithError(err).WithField("peer", m.Host).Warn("Source lost.")
			sleep.For(ctx, seekPause)
			continue
		}
		s.keeper.TakePage(got.page, m.Host, time.Now())
		if got.stale(times) {
			// The source lost the store, too; another may still have it.
			s.fail(m.Host)
			pause := times.seekAfter(stale, len(order))
			if await {
				pause = gatherReports
			}
			sleep.For(ctx, pause)
			stale++
			continue
		}
		stale = 0
		switch {
		case await:
			sleep.For(ctx, gatherReports)
		case rank > 0:
			sleepUnless(ctx, times.spareEvery, lagged)
		case wait == 0:
			sleep.For(ctx, seekPause)
		}
	}
}

// sleepUnless sleeps for a time, or until interrupted is closed.
func sleepUnless(ctx context.Context, d time.Duration, interrupted <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-interrupted:
	}
}

// seekAfter is the pause after a number of sources in a row that have lost the
// store. Once those that are likely to have it were asked, it is away for all
// of them, and asking often brings nothing but load.
func (t *timing) seekAfter(stale, sources int) time.Duration {
	if stale < min(sources, seekQuickly) {
		return seekPause
	}
	return t.seekSlowly
}

// exchanged is how far reports have been exchanged with a source.
type exchanged struct {
	// told is the sequence up to which the source has this gateway's reports;
	// from and epoch are the source's own.
	told, from, epoch uint64
}

// sourceOrder is the gateways that may be pulled from, best first, and whether
// this one is its region's hub. It holds for one list of members and one set of
// failed ones: to rank hundreds takes longer than a pull.
type sourceOrder struct {
	members []*peerv1.GatewayMember
	failed  []string
	order   []mirror.Member
	hub     bool
}

// is reports whether the order is that of these members and failures.
func (o *sourceOrder) is(members []*peerv1.GatewayMember, failed []string) bool {
	same := o != nil && len(members) > 0 && len(o.members) == len(members) && &o.members[0] == &members[0]
	return same && slices.Equal(o.failed, failed)
}

// sources returns the order of sources without those that failed lately.
func (s *Syncer) sources() *sourceOrder { return s.ranked(&s.usual, s.failedNow()) }

// steadySources returns the order as it is when all can be reached.
func (s *Syncer) steadySources() []mirror.Member { return s.ranked(&s.steady, nil).order }

// ranked returns the order for the members of now, from the cache if they are the
// same.
func (s *Syncer) ranked(cache *atomic.Pointer[sourceOrder], failed []string) *sourceOrder {
	members := s.keeper.View().members
	if o := cache.Load(); o.is(members, failed) {
		return o
	}
	known := s.known(members)
	isFailed := func(host string) bool { return slices.Contains(failed, host) }
	o := &sourceOrder{
		members: members, failed: failed, order: mirror.Order(known, s.cfg.Host, s.cfg.Region, isFailed),
		hub: mirror.IsHub(known, s.cfg.Host, s.cfg.Region, isFailed),
	}
	cache.Store(o)
	return o
}

// exchangedWith returns how far reports have been exchanged with a source, or nil
// for one that none are exchanged with: every gateway would send all it knows to
// each source that it only looks for the store at.
func exchangedWith(with map[string]*exchanged, host string, steady []mirror.Member) *exchanged {
	is := func(host string) bool {
		return slices.ContainsFunc(steady, func(m mirror.Member) bool { return m.Host == host })
	}
	maps.DeleteFunc(with, func(h string, _ *exchanged) bool { return !is(h) })
	if with[host] == nil && is(host) {
		with[host] = new(exchanged)
	}
	return with[host]
}

// pullPlain has pulls ask for values as they are for a while.
func (s *Syncer) pullPlain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plainUntil = now.Add(plainPulls)
}

// pullsPlain reports whether pulls ask for values as they are.
func (s *Syncer) pullsPlain(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.plainUntil)
}

// pullOptions say what a pull waits for, and how long.
type pullOptions struct {
	wait         time.Duration
	awaitReports bool
}

// pulled is the answer of a pull.
type pulled struct {
	// page has the time that it was on its way in its ages.
	page *peerv1.MirrorPage
	// transit is that time.
	transit time.Duration
}

// stale reports whether the source has lost the store. A page that was on its way for longer than
// pullSlack was a large one, which says nothing about its source.
func (p *pulled) stale(t *timing) bool {
	age := time.Duration(p.page.AgeMicros) * time.Microsecond
	return age < 0 || age-max(0, p.transit-t.pullSlack) > t.staleSource
}

// pull asks a source for what this gateway lacks.
//
// Errors: *port.PeerError.
func (s *Syncer) pull(ctx context.Context, m mirror.Member, o pullOptions, with *exchanged) (*pulled, error) {
	got, err := s.pullOnce(ctx, m, o, with)
	var unknown *UnknownBaseError
	if errors.As(err, &unknown) {
		got, err = s.pullOnce(ctx, m, o, with)
	}
	return got, err
}

func (s *Syncer) pullOnce(ctx context.Context, m mirror.Member, o pullOptions, with *exchanged) (*pulled, error) {
	slack := s.times.Load().pullSlack
	ctx, cancel := context.WithTimeout(ctx, o.wait+pullMost)
	defer cancel()
	ctx = port.WithProgress(ctx, port.Progress{First: o.wait + slack, Stall: slack})
	now := time.Now()
	pull := &peerv1.MirrorPull{
		Have: s.keeper.Have(), WaitMicros: o.wait.Microseconds(), Self: s.self(), NoReports: with == nil, AwaitReports: o.awaitReports,
		ConfigVersion: s.keeper.configVersion(), ConfigDigest: []byte(s.keeper.configs.digest()), ReadsEncoded: !s.pullsPlain(now),
		LagMicros: s.keeper.RecordLag(now).Microseconds(),
	}
	var told uint64
	if with != nil {
		pull.ReportsFrom, pull.ReportsEpoch = with.from, with.epoch
		pull.Reports, told = s.keeper.ownReports(with.told, now)
	}
	got, err := s.requestPage(ctx, m, pull)
	s.metrics.pulled(time.Since(now), err)
	if err != nil || with == nil {
		return got, err
	}
	if with.epoch != 0 && with.epoch != got.page.ReportsEpoch {
		// The source started anew and knows none of what it was told.
		told = 0
	}
	with.told, with.from, with.epoch = told, got.page.ReportsNext, got.page.ReportsEpoch
	return got, nil
}

// requestPage sends a pull and returns its answer with the configuration decoded.
func (s *Syncer) requestPage(ctx context.Context, m mirror.Member, pull *peerv1.MirrorPull) (*pulled, error) {
	sent := time.Now()
	reply, err := s.pool.Call(ctx, m.Address, &peerv1.Request{Body: &peerv1.Request_MirrorPull{MirrorPull: pull}})
	if err != nil {
		return nil, err
	}
	page := reply.GetMirrorPage()
	if page == nil {
		return nil, &port.PeerError{Code: port.PeerMismatch, Address: m.Address, Sent: true}
	}
	got := &pulled{page: page, transit: addTransit(page, time.Since(sent))}
	s.keeper.ageConfig(page, got.transit)
	if err := s.keeper.decodeConfig(page); err != nil {
		var spoilt *valuecodec.DecodeError
		if errors.As(err, &spoilt) {
			s.pullPlain(time.Now())
		}
		return nil, &port.PeerError{Code: port.PeerMismatch, Address: m.Address, Sent: true, Err: err}
	}
	return got, nil
}
