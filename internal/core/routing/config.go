// Package routing matches a request to its route and chooses the service that
// runs it. A Config is one immutable version of the operators' routing
// configuration. The package is pure: randomness is an argument.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Service is one group of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConns is how many connections one server accepts from all callers.
	MaxConns int
	// ColdFor is how long a server is cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold server tolerates from all
	// gateways together; zero for no limit.
	ColdRate float64
}

// Part is one service of a split and its weight in the route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Route defines how requests to a host under a path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// LongRequests and LongResponses are set for routes whose bodies are large.
	LongRequests, LongResponses bool
	// Public is set if callers need no key although the configuration names customers.
	Public bool
	// Timeout bounds the time until the caller gets a response; zero for no
	// bound.
	Timeout time.Duration
	// Target is the latency within which a response has its full value.
	Target time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of servers that may run one request.
	MaxAttempts int
	// Sticky is set if a server that recently served an object serves it
	// faster.
	Sticky bool
	// Homes are the regions that may serve the route; empty for all.
	Homes []string
	// Parts are the services and their weights, in the configured order.
	Parts []Part
}

// AllowsRegion reports whether servers of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// LeastTarget returns the least target of the routes to a service; zero if none has one.
func (c *Config) LeastTarget(service string) time.Duration { return c.leastTargets[service] }

// LongBodies reports whether the bodies of the route's requests or responses are large.
func (r *Route) LongBodies() bool { return r.LongRequests || r.LongResponses }

// LongBodied returns the services to which routes with large bodies lead.
func (c *Config) LongBodied() map[string]bool {
	out := map[string]bool{}
	if c == nil {
		return out
	}
	c.EachRoute(func(r *Route) {
		if r.LongBodies() {
			for _, p := range r.Parts {
				out[p.Service] = true
			}
		}
	})
	return out
}

// Limits bound the size of a caller's request and the time in which it is sent.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// Warnings are what of the configuration was not understood and is served as stated there.
	Warnings []string
	// hosts holds the routes of each host, longest prefix first.
	hosts     map[string][]*Route
	customers customers
	// leastTargets holds the least target of the routes to each service.
	leastTargets map[string]time.Duration
}

// NewConfig returns a configuration with the given services, limits and routes.
func NewConfig(version uint64, services []Service, limits Limits, routes []Route) *Config {
	c := &Config{Version: version, Services: make(map[string]*Service, len(services)), Limits: limits, hosts: map[string][]*Route{}, leastTargets: map[string]time.Duration{}}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		for _, p := range r.Parts {
			if least := c.leastTargets[p.Service]; r.Target > 0 && (least == 0 || r.Target < least) {
				c.leastTargets[p.Service] = r.Target
			}
		}
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route with the longest matching prefix, or nil. A port in
// host is ignored.
func (c *Config) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHost reports whether the host has any routes.
func (c *Config) HasHost(host string) bool { return len(c.hosts[host]) > 0 }

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.hosts {
		n += len(list)
	}
	return n
}

// EachRoute calls fn with every route.
func (c *Config) EachRoute(fn func(*Route)) {
	for _, list := range c.hosts {
		for _, r := range list {
			fn(r)
		}
	}
}

// Priorities holds, for each service, the distinct priorities of the requests that may go there,
// highest first.
type Priorities map[string][]int

// Priorities returns the priorities of the requests to each service: those of the routes, and of
// the customers that have their own.
func (c *Config) Priorities() Priorities {
	out := Priorities{}
	add := func(service string, priority int) {
		if !slices.Contains(out[service], priority) {
			out[service] = append(out[service], priority)
		}
	}
	var own []int
	inherits := !c.HasCustomers()
	c.EachCustomer(func(customer *Customer) {
		switch {
		case customer.Priority == nil:
			inherits = true
		case !slices.Contains(own, *customer.Priority):
			own = append(own, *customer.Priority)
		}
	})
	c.EachRoute(func(r *Route) {
		for _, p := range r.Parts {
			if r.Public || inherits {
				add(p.Service, r.Priority)
			}
			if !r.Public {
				for _, priority := range own {
					add(p.Service, priority)
				}
			}
		}
	})
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// Level returns how many distinct higher priorities the requests to the services of a route
// have; for a route with several services, the largest such number.
func (p Priorities) Level(r *Route, priority int) int {
	level := 0
	for _, part := range r.Parts {
		above := 0
		for _, other := range p[part.Service] {
			if other < priority {
				above++
			}
		}
		level = max(level, above)
	}
	return level
}
