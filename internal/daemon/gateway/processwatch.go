package gateway

import (
	"context"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
)

const (
	// processLookInterval is the time between two looks at the connections to a server that may
	// be running unfinished requests.
	processLookInterval = 100 * time.Millisecond
	// processOpenMargin is how long before a look at an open connection the process is taken to
	// have been running: a process that ends closes its connections one after the other.
	processOpenMargin = 2 * processLookInterval
	// maxProcessCheckPause bounds the pause between checks of a server that show nothing.
	maxProcessCheckPause = time.Second
)

// watchProcess looks at a server that may be running unfinished requests until they are over or
// its process has ended. It looks at the connections that the server has left open; only if
// there are none, or the server has closed them, does it send something.
func (n *Node) watchProcess(s *server) {
	pause := time.Duration(0)
	for sleep.For(n.ctx, pause) {
		if n.lookAtProcess(s) {
			pause = processLookInterval
		} else {
			pause = min(max(2*pause, processLookInterval), maxProcessCheckPause)
		}
		if s.endWatch(time.Now()) {
			return
		}
	}
}

// mayRun reports whether the server may be running requests of this gateway.
func (s *server) mayRun(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningRequests) > 0 || s.unfinished.Pending(now)
}

// endWatch reports whether the server need not be watched any longer.
func (s *server) endWatch(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched = s.unfinished.Pending(now)
	return !s.watched
}

// lookAtProcess finds out whether the server's process still runs. It returns false if nothing
// showed, so that the next look may wait longer; exchanges under way will show it themselves.
func (n *Node) lookAtProcess(s *server) bool {
	rec, now := s.rec(), time.Now()
	kept := n.prober.Kept(rec.Address)
	if kept == port.KeptOpen {
		s.mu.Lock()
		completed := s.unfinished.Open(now.Add(-processOpenMargin))
		s.mu.Unlock()
		n.recordRuns(completed, rec.Service)
		return true
	}
	if pause, _ := s.pauseLeft(now); pause > 0 || s.isLeaving() || n.keeper.server(rec.ID, 0) != s {
		return false
	}
	if kept == port.KeptNone && s.inFlight() > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
	defer cancel()
	if kept == port.KeptClosed && !n.checkProcess(ctx, s) {
		return false
	}
	// The new connection is looked at next.
	n.metrics.processChecks.WithLabelValues("connect").Inc()
	return n.checkResult(s, n.prober.Connect(ctx, rec.Address))
}

// checkProcess asks a server that has closed all connections for its health. It reports whether
// the same process answered.
func (n *Node) checkProcess(ctx context.Context, s *server) bool {
	rec := s.rec()
	service := n.keeper.View().config.Services[rec.Service]
	if service == nil {
		// It gets no more requests.
		return false
	}
	n.metrics.processChecks.WithLabelValues("health").Inc()
	n.metrics.checks.Inc()
	meta, _, err := n.prober.Probe(ctx, rec.Address, service.HealthPath)
	if err == nil && meta.Instance != "" && meta.Instance != rec.ID {
		now := time.Now()
		s.withHealth(func(h *fleet.Health) bool { return h.Unreachable(now) })
		n.processEnded(s, endOtherInstance, now)
		return false
	}
	return n.checkResult(s, err)
}

// checkResult acts on the result of a connection to a server, and reports whether it was made.
func (n *Node) checkResult(s *server, err error) bool {
	if codeOf(err) == port.BackendRefused {
		now := time.Now()
		s.withHealth(func(h *fleet.Health) bool { return h.Unreachable(now) })
		n.processEnded(s, endRefused, now)
	}
	return err == nil
}
