package gateway

import (
	"sync"
	"time"

	"cassiatray/internal/core/loadview"
	"cassiatray/internal/core/overload"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// defaultServiceTime is the estimate for a route without a target and without
// measurements.
const defaultServiceTime = 100 * time.Millisecond

// serviceTimes estimates, per route, how long a server takes to run a request. It
// is based on the responses that this gateway received.
type serviceTimes struct {
	mu       sync.Mutex
	trackers map[string]*overload.Tracker
	// services are the trackers of all routes of each service together.
	services map[string]*overload.Tracker
	// runs are the times of each route's warm and cold runs.
	runs map[string]*loadview.RunTimes
	// shares are this gateway's shares of the requests at each service's servers.
	shares map[string]*loadview.Share
}

// ofService returns how long a request of any route takes at a server of the service.
func (t *serviceTimes) ofService(service string) time.Duration {
	if run, ok := t.measured(service); ok {
		return run
	}
	return defaultServiceTime
}

// measured is ofService; ok is false if this gateway has measured none.
func (t *serviceTimes) measured(service string) (run time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracker := t.services[service]; tracker != nil {
		return tracker.Mean(defaultServiceTime), true
	}
	return 0, false
}

// times returns how long a request of the route runs at a server, without time spent in the
// queue. Objects of a route that is not sticky have no servers of their own: its cold runs
// take as long as the warm ones.
func (t *serviceTimes) times(r *routing.Route, service string) loadview.Times {
	mean := r.Target / 2
	if mean == 0 {
		mean = defaultServiceTime
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracker := t.trackers[r.Name]; tracker != nil {
		mean = tracker.Mean(mean)
	}
	out := loadview.Times{Mean: mean, Warm: mean, Cold: mean, Typical: mean}
	if runs := t.runs[r.Name]; runs != nil {
		out = runs.Times(mean)
	}
	if !r.Sticky {
		out.Cold, out.Typical = out.Warm, out.Warm
	}
	if share := t.shares[service]; share != nil {
		out.OthersPerOwn = share.OthersPerOwn()
	}
	return out
}

// runTimes returns how long a request of the route runs at a server that is warm, and at one
// that is cold for its object, at the usual pace.
func (t *serviceTimes) runTimes(r *routing.Route) (warm, cold time.Duration) {
	times := t.times(r, "")
	return times.Warm, times.Cold
}

// expectedRun returns the run time at a server that is believed to be warm or cold.
func (t *serviceTimes) expectedRun(r *routing.Route, warm bool) time.Duration {
	ifWarm, ifCold := t.runTimes(r)
	if warm {
		return ifWarm
	}
	return ifCold
}

// recordShare adds a report of a server of the service that came with a response, when own
// other requests of this gateway were there.
func (t *serviceTimes) recordShare(service string, l *port.ServerLoad, own int) {
	if l == nil || l.Slowdown <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shares == nil {
		t.shares = map[string]*loadview.Share{}
	}
	if t.shares[service] == nil {
		t.shares[service] = new(loadview.Share)
	}
	t.shares[service].Add(own, max(0, l.Running+l.Waiting-1-own))
}

// record adds the time of a successful response, unless the server had a queue. waited says
// whether the request was expected to wait for a slot.
func (t *serviceTimes) record(r *routing.Route, service string, a *port.ForwardAnswer, run loadview.Run, waited bool) {
	l := a.Meta.Load
	if a.Status < 200 || a.Status >= 300 || l != nil && l.Waiting > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trackers == nil {
		t.trackers, t.services, t.runs = map[string]*overload.Tracker{}, map[string]*overload.Tracker{}, map[string]*loadview.RunTimes{}
	}
	add := func(trackers map[string]*overload.Tracker, name string) {
		if trackers[name] == nil {
			trackers[name] = new(overload.Tracker)
		}
		trackers[name].Add(run.Took)
	}
	if !waited {
		add(t.trackers, r.Name)
		add(t.services, service)
	}
	if l == nil && waited || l != nil && l.Running >= l.Slots {
		// It may have waited. The estimate of the load may be wrong, and the report is exact.
		return
	}
	if !r.Sticky {
		run.Warm = true
	}
	if l != nil {
		run.Slowdown = l.Slowdown
	}
	run.Known = run.Known && !waited && l != nil && 2*l.Running <= l.Slots+1
	if t.runs[r.Name] == nil {
		t.runs[r.Name] = new(loadview.RunTimes)
	}
	t.runs[r.Name].Add(run)
}
