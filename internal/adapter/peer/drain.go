package peer

import (
	"context"
	"time"
)

// drainPoll is the interval at which a stopping server looks for work in
// flight.
const drainPoll = 10 * time.Millisecond

// Drain refuses new exchanges with port.PeerStopping and waits until those in
// flight are answered, or the context ends. Sessions stay open, so that a peer
// that has just sent a request learns that it had no effect. Follow exchanges
// do not end by themselves; Close cuts them.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
