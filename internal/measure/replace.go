package measure

import (
	"context"
	"syscall"
	"time"

	"cassiatray/internal/site"
)

// replaceTime is the length of the load in the replace scenario: each stop
// waits out the time to live of look-up answers.
const (
	replacedHosts = 5
	replaceTime   = 40 * time.Second
	replaceGrace  = 30 * time.Second
)

// runReplace stops and starts entry processes one after another.
func runReplace(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	replaced, clean := 0, 0
	s.Rows, err = b.during(ctx, replaceTime, coopStreams(shape, 0.5), func(ctx context.Context) error {
		end := time.Now().Add(replaceTime - 5*time.Second)
		for i := 0; i < replacedHosts && time.Now().Before(end); i++ {
			h := b.Hosts[i*hostsPerDomain%len(b.Hosts)]
			p := b.Process(site.EntryName(h.Name))
			p.Signal(syscall.SIGTERM)
			stop, cancel := context.WithTimeout(ctx, replaceGrace)
			if p.Wait(stop) == 0 {
				clean++
			}
			cancel()
			if _, err := b.StartEntry(h); err != nil {
				return err
			}
			if err := site.AwaitReady(ctx, h.EntryOperator); err != nil {
				return err
			}
			replaced++
		}
		return nil
	})
	s.figure("entry hosts replaced", float64(replaced), "")
	s.figure("of them stopped with status 0", float64(clean), "")
	b.serverFigures(ctx, s)
	return err
}
