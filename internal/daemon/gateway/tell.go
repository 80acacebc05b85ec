package gateway

import (
	"context"
	"time"

	"cassiatray/internal/sleep"
)

// outage reports whether the view of the store is older than any that is current.
func (s *Syncer) outage(now time.Time) bool {
	return now.Sub(s.keeper.Synced()) > s.times.Load().staleAfter
}

// tell passes new reports on to the first source at once in an outage of the store: pulls
// are seldom then, and reports are all that gateways have of the servers.
func (s *Syncer) tell(ctx context.Context) {
	s.awaitLoad(ctx)
	cursors := map[string]*exchanged{}
	reported := s.keeper.Reported()
	for ctx.Err() == nil {
		select {
		case <-reported:
		case <-ctx.Done():
			return
		}
		// Several reports at a time are one pull.
		sleep.For(ctx, gatherReports)
		reported = s.keeper.Reported()
		steady := s.steadySources()
		if len(steady) == 0 || !s.recordsLag(time.Now()) {
			continue
		}
		m := steady[0]
		got, err := s.pull(ctx, m, pullOptions{}, exchangedWith(cursors, m.Host, steady[:1]))
		if err != nil {
			s.log.WithError(err).WithField("peer", m.Host).Debug("Source not told of reports; the next pull tells it.")
			continue
		}
		s.keeper.TakePage(got.page, m.Host, time.Now())
	}
}
