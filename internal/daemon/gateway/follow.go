package gateway

import (
	"context"
	"time"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// follow pulls from the source at a rank in the order of sources: waiting for
// news from the first, and now and then from the second.
func (s *Syncer) follow(ctx context.Context, rank int) {
	var with exchanged
	for ctx.Err() == nil {
		order := mirror.Order(s.known(), s.cfg.Host, s.cfg.Region, s.isFailed)
		if rank >= len(order) {
			sleep.For(ctx, seekPause)
			continue
		}
		m := order[rank]
		wait := pullWait
		if rank > 0 || time.Since(s.keeper.Synced()) > staleSource {
			wait = 0
		}
		if with.host != m.Host {
			with = exchanged{host: m.Host}
		}
		page, err := s.pull(ctx, m, wait, &with)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.fail(m.Host)
			s.log.WithError(err).WithField("peer", m.Host).Warn("Source lost.")
			sleep.For(ctx, seekPause)
			continue
		}
		s.keeper.TakePage(page, m.Host, time.Now())
		switch {
		case page.AgeMicros < 0 || time.Duration(page.AgeMicros)*time.Microsecond > staleSource:
			// The source lost the store, too; another may still have it.
			s.fail(m.Host)
			sleep.For(ctx, seekPause)
		case rank > 0:
			sleep.For(ctx, spareEvery)
		case wait == 0:
			sleep.For(ctx, seekPause)
		}
	}
}

// exchanged is how far reports have been exchanged with a source.
type exchanged struct {
	host string
	// told is the sequence up to which the source has this gateway's reports;
	// from and epoch are the source's own.
	told, from, epoch uint64
}

func (s *Syncer) pull(ctx context.Context, m mirror.Member, wait time.Duration, with *exchanged) (*peerv1.MirrorPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pullSlack)
	defer cancel()
	reports, told := s.keeper.ownReports(with.told, time.Now())
	reply, err := s.pool.Call(ctx, m.Address, &peerv1.Request{Body: &peerv1.Request_MirrorPull{MirrorPull: &peerv1.MirrorPull{
		Have: s.keeper.Have(), WaitMicros: wait.Microseconds(), Self: s.self(),
		Reports: reports, ReportsFrom: with.from, ReportsEpoch: with.epoch,
	}}})
	if err != nil {
		return nil, err
	}
	page := reply.GetMirrorPage()
	if page == nil {
		return nil, &port.PeerError{Code: port.PeerMismatch, Address: m.Address, Sent: true}
	}
	with.told, with.from, with.epoch = told, page.ReportsNext, page.ReportsEpoch
	return page, nil
}
