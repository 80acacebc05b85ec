package gateway

import (
	"sync"
	"time"

	"cassiatray/internal/core/overload"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// defaultService is taken for a route without a target of which nothing is
// known yet.
const defaultService = 100 * time.Millisecond

// costs are how long the requests of each route take, as seen by this gateway.
type costs struct {
	mu     sync.Mutex
	routes map[string]*overload.Tracker
}

// service returns how long a request of the route takes at a server when it
// does not wait there.
func (c *costs) service(r *routing.Route) time.Duration {
	fallback := r.Target / 2
	if fallback == 0 {
		fallback = defaultService
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.routes[r.Name]; t != nil {
		return t.Mean(fallback)
	}
	return fallback
}

// learn takes in an answer.
func (c *costs) learn(r *routing.Route, a *port.ForwardAnswer, took time.Duration) {
	if a.Status < 200 || a.Status >= 300 || a.Meta.Load != nil && a.Meta.Load.Waiting > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes == nil {
		c.routes = map[string]*overload.Tracker{}
	}
	if c.routes[r.Name] == nil {
		c.routes[r.Name] = new(overload.Tracker)
	}
	c.routes[r.Name].Add(took)
}
