package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// maxPullWait bounds how long a pull is kept waiting for news.
	maxPullWait = 10 * time.Second
	// gather is how long news waits for more of it before waiting pulls are
	// answered, so that a burst of changes is one page.
	gather = 50 * time.Millisecond
	// gatherReports is that time in an outage of the store: what gateways report of servers
	// is all that others have of them.
	gatherReports = 10 * time.Millisecond
)

// Page answers a pull: at once when there is news for the puller, or when the store is
// lost and the puller does not wait for reports, else when there is, or when its wait is
// over.
func (k *Keeper) Page(ctx context.Context, epoch uint64, req *peerv1.MirrorPull) *peerv1.MirrorPage {
	began := time.Now()
	page := k.awaitPage(ctx, epoch, req, began)
	k.encodeConfig(page, req)
	page.HeldMicros = max(1, time.Since(began).Microseconds())
	return page
}

// awaitPage returns the page of Page.
func (k *Keeper) awaitPage(ctx context.Context, epoch uint64, req *peerv1.MirrorPull, now time.Time) *peerv1.MirrorPage {
	k.Hear(req.Self, now, now)
	k.takeReports(req.Reports, now)
	if req.ReportsEpoch != epoch {
		req.ReportsFrom = 0
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxPullWait, time.Duration(req.WaitMicros)*time.Microsecond))
	defer cancel()
	for {
		page, changed := k.page(epoch, req, time.Now())
		lost := page.AgeMicros < 0 && !req.AwaitReports
		lag := page.LagMicros-req.LagMicros > lagNews.Microseconds()
		if len(page.Records) > 0 || len(page.Reports) > 0 || lost || lag || req.WaitMicros <= 0 {
			return page
		}
		select {
		case <-changed:
			if req.AwaitReports {
				sleep.For(ctx, gatherReports)
			} else {
				sleep.For(ctx, gather)
			}
		case <-ctx.Done():
			page, _ := k.page(epoch, req, time.Now())
			return page
		}
	}
}

func (k *Keeper) page(epoch uint64, req *peerv1.MirrorPull, now time.Time) (*peerv1.MirrorPage, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	page := &peerv1.MirrorPage{Complete: k.mirror.Revision(), AgeMicros: -1, ReportsEpoch: epoch, LagMicros: k.lag(now).Microseconds()}
	if !req.NoReports {
		page.Reports, page.ReportsNext = k.reportsSince(req.ReportsFrom, now)
	}
	have := req.Have
	if at := k.mirror.Synced(); !at.IsZero() && (k.storeLost.IsZero() || at.After(k.storeLost)) {
		page.AgeMicros = now.Sub(at).Microseconds()
	}
	if have <= page.Complete {
		var records []mirror.Record
		records, page.Snapshot = k.mirror.Since(have)
		for _, r := range records {
			page.Records = append(page.Records, recordMessage(r, now))
		}
	}
	if k.config != nil && k.config.Version > req.ConfigVersion && !carries(page, k.configRecord) {
		page.Config = recordMessage(k.configRecord, now)
	}
	for _, h := range k.heard {
		if s := k.stored[h.member.Host]; now.Sub(h.at) < k.heardLife(now) && (s == nil || supersedes(h.member, s)) {
			page.Heard = append(page.Heard, h.member)
			page.HeardAgeMicros = append(page.HeardAgeMicros, now.Sub(h.at).Microseconds())
		}
	}
	return page, k.changed
}

// carries reports whether a record is among those of a page.
func carries(page *peerv1.MirrorPage, r mirror.Record) bool {
	return slices.ContainsFunc(page.Records, func(m *peerv1.StoreRecord) bool { return m.Key == r.Key && m.Revision == r.Revision })
}

func recordMessage(r mirror.Record, now time.Time) *peerv1.StoreRecord {
	return &peerv1.StoreRecord{
		Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, AgeMicros: now.Sub(r.Read).Microseconds(),
	}
}

func recordOf(m *peerv1.StoreRecord, now time.Time) mirror.Record {
	return mirror.Record{
		Key: m.Key, Value: m.Value, Revision: m.Revision, Deleted: m.Deleted, Read: now.Add(-time.Duration(m.AgeMicros) * time.Microsecond),
	}
}

// logPage logs what became of the records of a page. The caller holds k.mu.
func (k *Keeper) logPage(page *peerv1.MirrorPage, source string, have uint64, c mirror.Counts) {
	if c.Changed == 0 && c.Unchanged == 0 {
		return
	}
	k.log.WithFields(logrus.Fields{
		"source": source, "from_revision": have, "revision": page.Complete, "snapshot": page.Snapshot,
		"changed": c.Changed, "unchanged": c.Unchanged, "old": c.Old,
	}).Info("Page taken.")
}

// addTransit adds to the ages in a page, which came after some time, what it spent on the way:
// without that, gateways that pull from each other in a circle would take what they know for
// newer at each turn. It returns that time, which is 0 if it is not known.
func addTransit(page *peerv1.MirrorPage, took time.Duration) time.Duration {
	transit := took.Microseconds() - page.HeldMicros
	if page.HeldMicros <= 0 || transit <= 0 {
		return 0
	}
	if page.AgeMicros >= 0 {
		page.AgeMicros += transit
	}
	for i := range page.HeardAgeMicros {
		page.HeardAgeMicros[i] += transit
	}
	return time.Duration(transit) * time.Microsecond
}

// TakePage takes in the answer of a pull.
func (k *Keeper) TakePage(page *peerv1.MirrorPage, source string, now time.Time) {
	records := make([]mirror.Record, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, recordOf(r, now))
	}
	k.mu.Lock()
	before, have := k.mirror.Counts(), k.mirror.Revision()
	k.noteRestore(page.Complete, now)
	// A source that has not noticed that the store came back from a copy confirms nothing.
	if page.AgeMicros >= 0 && port.Era(page.Complete) >= port.Era(have) {
		k.noteGap(now)
		k.mirror.Confirm(now.Add(-time.Duration(page.AgeMicros) * time.Microsecond))
	}
	if page.Snapshot {
		k.take(k.mirror.Replace("", records, page.Complete, now), source, now)
	} else {
		k.take(k.mirror.ApplyForwarded(records), source, now)
		k.mirror.Complete(page.Complete)
	}
	if c := page.Config; c != nil && !c.Deleted {
		k.takeLaterConfig(recordOf(c, now), source, now)
	}
	k.pageTaken = true
	if lag := time.Duration(page.LagMicros) * time.Microsecond; lag-k.lag(now) > lagNews {
		k.extendLag(lag, source, now)
	}
	k.logPage(page, source, have, k.mirror.Counts().Sub(before))
	k.mu.Unlock()
	k.takeReports(page.Reports, now)
	for i, m := range page.Heard {
		if m.GetHost() == k.cfg.Host {
			continue
		}
		at := now
		if i < len(page.HeardAgeMicros) {
			at = now.Add(-max(0, time.Duration(page.HeardAgeMicros[i])*time.Microsecond))
		}
		k.Hear(m, at, now)
	}
}
