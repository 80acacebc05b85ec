package gateway

import (
	"context"
	"time"

	"cassiatray/internal/core/mirror"
	peerv1 "cassiatray/proto/peer/v1"
)

// maxPullWait bounds how long a pull is kept waiting for news.
const maxPullWait = 10 * time.Second

// Page answers a pull: at once when there is news for the puller, else when
// there is, or when its wait is over.
func (k *Keeper) Page(ctx context.Context, epoch uint64, req *peerv1.MirrorPull) *peerv1.MirrorPage {
	k.Hear(req.Self, true, time.Now())
	wait := min(maxPullWait, time.Duration(req.WaitMicros)*time.Microsecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	since := req.Since
	if req.Epoch != epoch {
		since = 0
	}
	for {
		page, changed := k.page(epoch, since, time.Now())
		if len(page.Records) > 0 || req.Epoch != epoch {
			return page
		}
		select {
		case <-changed:
		case <-timer.C:
			page, _ := k.page(epoch, since, time.Now())
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (k *Keeper) page(epoch, since uint64, now time.Time) (*peerv1.MirrorPage, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	page := &peerv1.MirrorPage{Epoch: epoch, Next: k.mirror.Change(), AgeMicros: -1}
	if at := k.mirror.Synced(); !at.IsZero() {
		page.AgeMicros = now.Sub(at).Microseconds()
	}
	for _, r := range k.mirror.Since(since) {
		page.Records = append(page.Records, &peerv1.StoreRecord{
			Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted, AgeMicros: now.Sub(r.Read).Microseconds(),
		})
	}
	for _, h := range k.heard {
		if s := k.stored[h.member.Host]; h.direct && now.Sub(h.at) < heardLife && (s == nil || s.Incarnation < h.member.Incarnation) {
			page.Heard = append(page.Heard, h.member)
		}
	}
	return page, k.changed
}

// TakePage takes in the answer of a pull.
func (k *Keeper) TakePage(page *peerv1.MirrorPage, source string, now time.Time) {
	records := make([]mirror.Record, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, mirror.Record{
			Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted,
			Read: now.Add(-time.Duration(r.AgeMicros) * time.Microsecond),
		})
	}
	if page.AgeMicros >= 0 {
		k.Confirm(now.Add(-time.Duration(page.AgeMicros)*time.Microsecond), now)
	}
	k.Apply(records, source, now)
	for _, m := range page.Heard {
		if m.GetHost() != k.cfg.Host {
			k.Hear(m, false, now)
		}
	}
}
