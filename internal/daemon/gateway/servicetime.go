package gateway

import (
	"sync"
	"time"

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
	fallback := r.Target / 2
	if fallback == 0 {
		fallback = defaultServiceTime
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracker := t.trackers[r.Name]; tracker != nil {
		return tracker.Mean(fallback)
	}
	return fallback
}

// record adds the time of a successful response, unless the server had a queue.
func (t *serviceTimes) record(r *routing.Route, service string, a *port.ForwardAnswer, took time.Duration) {
	if a.Status < 200 || a.Status >= 300 || a.Meta.Load != nil && a.Meta.Load.Waiting > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trackers == nil {
		t.trackers, t.services = map[string]*overload.Tracker{}, map[string]*overload.Tracker{}
	}
	add := func(trackers map[string]*overload.Tracker, name string) {
		if trackers[name] == nil {
			trackers[name] = new(overload.Tracker)
		}
		trackers[name].Add(took)
	}
	add(t.trackers, r.Name)
	add(t.services, service)
}
