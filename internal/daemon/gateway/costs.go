package gateway

import (
	"sync"
	"time"

	"cassiatray/internal/core/overload"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

const (
	// largeBody is the mean size of a route's bodies, in bytes, from which on
	// its objects are placed once for each failure domain: a copy more to warm
	// costs less then than sending half of the bodies across a link.
	largeBody = 2 << 10
	// sizeWeight is the weight of a new body in the mean.
	sizeWeight = 0.1
	// sizeSamples is how many bodies are needed to know a mean.
	sizeSamples = 3
	// defaultService is taken for a route without a target of which nothing is
	// known yet.
	defaultService = 100 * time.Millisecond
)

// costs are what the requests of each route cost, as seen by this gateway.
type costs struct {
	mu     sync.Mutex
	routes map[string]*routeCosts
}

type routeCosts struct {
	service overload.Tracker
	size    float64
	samples int
}

// of returns the costs of a route. The caller holds c.mu.
func (c *costs) of(r *routing.Route) *routeCosts {
	if c.routes == nil {
		c.routes = map[string]*routeCosts{}
	}
	rc := c.routes[r.Name]
	if rc == nil {
		rc = new(routeCosts)
		c.routes[r.Name] = rc
	}
	return rc
}

// service returns how long a request of the route takes at a server when it
// does not wait there.
func (c *costs) service(r *routing.Route) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	fallback := r.Target / 2
	if fallback == 0 {
		fallback = defaultService
	}
	return c.of(r).service.Mean(fallback)
}

// scope returns how near gateways must be to place the route's objects alike.
func (c *costs) scope(r *routing.Route) scope {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rc := c.of(r); rc.samples >= sizeSamples && rc.size >= largeBody {
		return scopeDomain
	}
	return scopeRegion
}

// learn takes in an answer.
func (c *costs) learn(r *routing.Route, a *port.ForwardAnswer, took time.Duration) {
	if a.Status < 200 || a.Status >= 300 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rc := c.of(r)
	if l := a.Meta.Load; l == nil || l.Waiting == 0 {
		rc.service.Add(took)
	}
	size := float64(len(a.Body))
	if rc.samples == 0 {
		rc.size = size
	}
	rc.samples++
	rc.size += sizeWeight * (size - rc.size)
}
