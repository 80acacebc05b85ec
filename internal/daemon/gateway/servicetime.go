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
}

// ofService returns how long a request of any route takes at a server of the service.
func (t *serviceTimes) ofService(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracker := t.services[service]; tracker != nil {
		return tracker.Mean(defaultServiceTime)
	}
	return defaultServiceTime
}

// estimate returns how long a request of the route takes at a server, without
// time spent in the queue.
func (t *serviceTimes) estimate(r *routing.Route) time.Duration {
	fallback := assumedServiceTime(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracker := t.trackers[r.Name]; tracker != nil {
		return tracker.Mean(fallback)
	}
	return fallback
}

// assumedServiceTime returns the estimate for a route without measurements.
func assumedServiceTime(r *routing.Route) time.Duration {
	if r.Target > 0 {
		return r.Target / 2
	}
	return defaultServiceTime
}

// runTimes returns how long a request of the route runs at a server that is warm, and at
// one that is cold for its object, at the usual pace. Objects of a route that is not
// sticky have no servers of their own: both times are those of any run.
func (t *serviceTimes) runTimes(r *routing.Route) (warm, cold time.Duration) {
	if !r.Sticky {
		mean := t.estimate(r)
		return mean, mean
	}
	fallback := assumedServiceTime(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	if runs := t.runs[r.Name]; runs != nil {
		return runs.Estimate(fallback)
	}
	return fallback, fallback
}

// expectedRun returns the run time at a server that is believed to be warm or cold.
func (t *serviceTimes) expectedRun(r *routing.Route, warm bool) time.Duration {
	ifWarm, ifCold := t.runTimes(r)
	if warm {
		return ifWarm
	}
	return ifCold
}

// record adds the time of a successful response, unless the server had a queue. warm says
// whether the server was believed to be warm for the request's object.
func (t *serviceTimes) record(r *routing.Route, service string, a *port.ForwardAnswer, took time.Duration, warm bool) {
	if a.Status < 200 || a.Status >= 300 || a.Meta.Load != nil && a.Meta.Load.Waiting > 0 {
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
		trackers[name].Add(took)
	}
	add(t.trackers, r.Name)
	add(t.services, service)
	if t.runs[r.Name] == nil {
		t.runs[r.Name] = new(loadview.RunTimes)
	}
	slowdown := 0.0
	if a.Meta.Load != nil {
		slowdown = a.Meta.Load.Slowdown
	}
	t.runs[r.Name].Add(took, warm, slowdown)
}
