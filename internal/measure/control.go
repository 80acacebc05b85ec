package measure

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// Size of the document in the control scenarios: client blocks besides those
// of the callers.
const controlBlocks = 5000

// changeRate is that of the users' target, 66,000 changes a day.
const changeRate = 0.76

// control measures what control costs in two failure domains of some hosts
// each: at rest, with changes of the document, and the store's calls.
func control(hosts int) func(*Runner, context.Context, *Scenario) error {
	return func(r *Runner, ctx context.Context, s *Scenario) error {
		shape := coop()
		shape.Regions, shape.HostsPerDomain = shape.Regions[:1], hosts
		b, err := r.bring(ctx, s, shape)
		if err != nil {
			return err
		}
		defer b.end(s)
		doc := withBlocks(b.Document, controlBlocks)
		if err := b.put(ctx, doc, 2); err != nil {
			return err
		}
		calls := b.storeCounts(ctx)
		start := time.Now()
		err = b.watch(ctx, s, "idle", func() error { sleep.For(ctx, r.Time); return ctx.Err() })
		if err != nil {
			return err
		}
		after := b.storeCounts(ctx)
		s.figure("store calls idle", float64(after.Reads+after.Writes+after.Watches-calls.Reads-calls.Writes-calls.Watches)/time.Since(start).Minutes(), "calls/min")
		return b.watch(ctx, s, "changes", func() error { return b.change(ctx, doc, r.Time) })
	}
}

// withBlocks returns a document with more client blocks.
func withBlocks(doc *document.Document, n int) *document.Document {
	out := *doc
	out.Clients = append([]document.Client{}, doc.Clients...)
	regions := doc.Clients[0].Regions
	for i := range n {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24)
		out.Clients = append(out.Clients, document.Client{Block: document.Prefix{Prefix: p}, Regions: regions})
	}
	return &out
}

// put applies a document and waits until a sequence is in force everywhere.
func (b *bed) put(ctx context.Context, doc *document.Document, sequence uint64) error {
	if err := b.apply(ctx, doc, "measurement"); err != nil {
		return err
	}
	return site.Await(ctx, fmt.Sprintf("sequence %d everywhere", sequence), func() bool { return b.InForce(ctx, sequence) })
}

// change adds one client block at a time, at changeRate.
func (b *bed) change(ctx context.Context, doc *document.Document, d time.Duration) error {
	start := time.Now()
	blocks := len(doc.Clients) - len(b.Document.Clients)
	for i := range int(d.Seconds() * changeRate) {
		at := start.Add(time.Duration(float64(i) / changeRate * float64(time.Second)))
		if !sleep.For(ctx, time.Until(at)) {
			return ctx.Err()
		}
		if err := b.apply(ctx, withBlocks(b.Document, blocks+i+1), "measurement"); err != nil {
			return err
		}
	}
	sleep.For(ctx, d-time.Since(start))
	return ctx.Err()
}
