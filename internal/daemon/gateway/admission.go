package gateway

import "cassiatray/internal/core/routing"

// admission is what decides which servers may get a request, by one configuration. What the request
// takes from the version that it was matched under is in its route and view.
type admission struct {
	// host, uri and callerKey are the caller's; uri is the request target in origin form.
	host, uri, callerKey string
	// origin is the gateway that relays the request; empty for one of a caller.
	origin string
	// admittedBy is the configuration that last admitted the request.
	admittedBy *routing.Config
	// homeRoute is the route whose home regions bind the request: the last one that it matched.
	homeRoute *routing.Route
	// customer is the one that the caller's key belongs to; nil if callers need no keys.
	customer *routing.Customer
}

// by returns the admission by a later configuration, or why that does not admit the request.
func (a admission) by(c *routing.Config) (admission, string) {
	if c == a.admittedBy {
		return a, ""
	}
	a.admittedBy = c
	if route := matchTarget(c, a.host, a.uri); route != nil {
		a.homeRoute = route
	}
	if a.origin != "" {
		// The origin alone knows the key, and whether one is needed.
		if a.customer == nil || !c.HasCustomers() {
			return a, ""
		}
		if a.customer = c.Customer(a.customer.Name); a.customer == nil {
			return a, reasonNoCustomer
		}
		return a, ""
	}
	if !needsKey(c, a.homeRoute, a.uri) {
		a.customer = nil
		return a, ""
	}
	if a.customer = c.CustomerOf(a.callerKey); a.customer == nil {
		return a, reasonWithdrawnKey
	}
	return a, ""
}

// allowsRegion reports whether servers of a region may serve the request.
func (a *admission) allowsRegion(region string) bool {
	return a.homeRoute.AllowsRegion(region) && a.customer.AllowsRegion(region)
}

// customerName returns the name of the request's customer; empty for none.
func (a *admission) customerName() string {
	if a.customer == nil {
		return ""
	}
	return a.customer.Name
}
