package measure

import (
	"context"
	"fmt"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// runChanges applies changes at two rates and times each until it is in force
// at every entry process.
func runChanges(r *Runner, ctx context.Context, s *Scenario) error {
	b, err := r.bring(ctx, s, coop())
	if err != nil {
		return err
	}
	defer b.end(s)
	sequence := uint64(1)
	for _, rate := range []float64{0.76, 5} {
		var slowest, total time.Duration
		count := int(max(3, rate*r.Time.Seconds()))
		start := time.Now()
		for i := range count {
			at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			if !sleep.For(ctx, time.Until(at)) {
				return ctx.Err()
			}
			doc := *b.Document
			doc.Lookup.Hosts = 2 + i%3
			if err := b.apply(ctx, &doc, "measurement"); err != nil {
				return err
			}
			sequence++
			accepted := time.Now()
			if err := site.Await(ctx, "a change everywhere", func() bool { return b.InForce(ctx, sequence) }); err != nil {
				return err
			}
			took := time.Since(accepted)
			slowest, total = max(slowest, took), total+took
		}
		s.figure(fmt.Sprintf("mean time to force everywhere at %.2f/s", rate), (total / time.Duration(count)).Seconds(), "s")
		s.figure(fmt.Sprintf("longest time to force everywhere at %.2f/s", rate), slowest.Seconds(), "s")
		s.figure(fmt.Sprintf("changes made a second at %.2f/s", rate), float64(count)/time.Since(start).Seconds(), "1/s")
	}
	return nil
}

func (b *bed) apply(ctx context.Context, doc *document.Document, reason string) error {
	file := b.File("change.yaml")
	if err := site.WriteDocument(file, doc); err != nil {
		return err
	}
	_, err := b.Ctl(ctx, "apply", file, "--environment", environment, "--reason", reason)
	return err
}
