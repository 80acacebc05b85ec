package gateway

import (
	"slices"
	"strings"
	"time"

	"cassiatray/internal/core/routing"
)

// A request is matched once, when it arrives (ServeHTTP, ServeRelay). What operators and servers may
// change meanwhile is looked at again: readmit holds the request against the configuration in force
// before each choice of a server or helper, and firstByteCheck the choice right before its first byte,
// offerWithdrawal an offer before its body. Both withdraw what the request was chosen for, and the
// choice is made anew.

// maxWithdrawn is how often a request's attempts may be withdrawn before a byte is sent. Each time
// something has changed since the choice of a server.
const maxWithdrawn = 8

// Reasons for which an attempt is withdrawn, beside those for which a request is not admitted.
const (
	reasonOtherCustomer = "the key belongs to another customer by now"
	reasonOtherHomes    = "other home regions by now"
	reasonServerGone    = "the server gets no requests any more"
)

// WithdrawnError is why an attempt was withdrawn before a byte of it was sent.
type WithdrawnError struct{ Reason string }

func (e *WithdrawnError) Error() string { return e.Reason }

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
	// offeredVersion is that of the origin's configuration, and offeredRegions are those that may
	// serve the request by it; none for no restriction.
	offeredVersion uint64
	offeredRegions []string
}

// under returns the admission under a later configuration, or why that does not admit the request.
func (a admission) under(c *routing.Config) (admission, string) {
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
	return a.homeRoute.AllowsRegion(region) && a.customer.AllowsRegion(region) && a.originAllows(region)
}

// originAllows reports whether the origin's configuration, unless it is an earlier one, lets servers
// of a region serve the request.
func (a *admission) originAllows(region string) bool {
	return len(a.offeredRegions) == 0 || a.admittedBy.Version > a.offeredVersion || slices.Contains(a.offeredRegions, region)
}

// regions returns the regions that may serve the request; none for no restriction. It is not called if
// no region may: allowsRegion has refused all helpers then.
func (a *admission) regions() []string {
	homes := a.homeRoute.Homes
	if len(homes) == 0 && a.customer != nil {
		homes = a.customer.Homes
	}
	return slices.DeleteFunc(slices.Clone(homes), func(region string) bool { return !a.allowsRegion(region) })
}

// customerName returns the name of the request's customer; empty for none.
func (a *admission) customerName() string {
	if a.customer == nil {
		return ""
	}
	return a.customer.Name
}

// firstByteCheck returns what tells right before the first byte of an attempt whether the request may still
// go to the candidate. It does not touch the request, beside which it may run.
//
// Errors: *WithdrawnError.
func (n *Node) firstByteCheck(req *inflightRequest, c *candidate) func() error {
	chosen, service, s, under, leaving := req.admission, req.service, c.server, c.view, c.leaving
	return func() error {
		v := n.keeper.View()
		reason := chosen.withdrawal(v.config, s.region)
		switch {
		case reason != "":
		case v != under && !v.offers(service, s):
			reason = reasonServerGone
		case s.isLeaving() && !(leaving && s.leftFor(time.Now()) < n.lastUse()):
			reason = string(reasonLeaving)
		default:
			return nil
		}
		return &WithdrawnError{Reason: reason}
	}
}

// withdrawal returns why a request that was admitted may not go to a region by a later
// configuration; empty if it may.
func (a admission) withdrawal(c *routing.Config, region string) string {
	if c == a.admittedBy {
		return ""
	}
	next, reason := a.under(c)
	switch {
	case reason != "":
		return reason
	case next.customerName() != a.customerName():
		// The server would be told the customer of before.
		return reasonOtherCustomer
	case !next.allowsRegion(region):
		return reasonOtherHomes
	}
	return ""
}

// offerWithdrawal is withdrawal for an offer to a helper in a region, which holds the request to the
// regions of the offer.
func (a admission) offerWithdrawal(c *routing.Config, region string) string {
	reason := a.withdrawal(c, region)
	if reason != "" || c == a.admittedBy {
		return reason
	}
	if next, _ := a.under(c); !slices.Equal(next.regions(), a.regions()) {
		return reasonOtherHomes
	}
	return ""
}

// offers reports whether a server may receive requests to a service.
func (v *view) offers(service string, s *server) bool {
	g := v.groups[service]
	if g == nil {
		return false
	}
	i, ok := slices.BinarySearchFunc(g.servers, s.rec().ID, func(x *server, id string) int { return strings.Compare(x.rec().ID, id) })
	return ok && g.servers[i] == s
}
