package gateway

import (
	"net/http"
	"strings"
	"time"

	"cassiatray/internal/core/routing"
)

// Reasons for which a request is not admitted for its key.
const (
	reasonUnknownKey   = "unknown key"
	reasonUnknownOld   = "unknown key, but the configuration may be old"
	reasonUnconfirmed  = "the configuration is not confirmed yet"
	reasonWithdrawnKey = "key withdrawn before the request was sent"
	reasonNoCustomer   = "customer removed before the request was sent"
)

// needsKey reports whether callers need a key for a request of a route. A public route's prefix
// says nothing of a path that leads out of it at a server that resolves dot segments.
func needsKey(c *routing.Config, route *routing.Route, uri string) bool {
	return c.HasCustomers() && !(route.Public && !hasDotSegment(uri))
}

// hasDotSegment reports whether the path of a request target has a segment of two dots, also an
// escaped one.
func hasDotSegment(uri string) bool {
	path, _, _ := strings.Cut(uri, "?")
	if !strings.ContainsAny(path, ".%") {
		return false
	}
	path = plainPath.Replace(path)
	return strings.Contains(path+"/", "/../") || strings.Contains(path, "/..;")
}

// plainPath spells a path as a server may that decodes it before it resolves dot segments.
var plainPath = strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", "%5c", "/", "%5C", "/", "\\", "/")

// identify sets the request's customer by the caller's key. It reports false if it has rejected
// the request.
func (n *Node) identify(w http.ResponseWriter, req *inflightRequest) bool {
	c := req.view.config
	if !needsKey(c, req.route, req.uri) {
		return true
	}
	now := time.Now()
	req.customer = c.CustomerOf(req.callerKey)
	switch {
	case !n.keeper.Settled(now):
		// A process that has just started, or was paused, may know an earlier version only.
		n.writeError(w, req, http.StatusServiceUnavailable, reasonUnconfirmed)
	case req.customer != nil:
		return true
	case now.Sub(n.keeper.Synced()) > maxNotFoundViewAge:
		// The key may be in a newer configuration.
		n.writeError(w, req, http.StatusServiceUnavailable, reasonUnknownOld)
	default:
		n.writeError(w, req, http.StatusUnauthorized, reasonUnknownKey)
	}
	return false
}

// identifyRelayed sets the customer of a relayed request by its name. It reports false if the
// configuration here differs from the origin's in whether callers need a key, or in the customers.
func (req *inflightRequest) identifyRelayed(name string) bool {
	c := req.view.config
	if needsKey(c, req.route, req.uri) != (name != "") {
		return false
	}
	if name == "" {
		return true
	}
	req.customer = c.Customer(name)
	return req.customer != nil
}

// readmit holds the request against the configuration in force, before each attempt. It returns why
// that no longer admits the request, if so; otherwise the customer and the home regions are as in
// that configuration from here on.
func (n *Node) readmit(req *inflightRequest) string {
	next, reason := req.admission.under(n.keeper.View().config)
	if reason == "" {
		req.admission = next
	}
	return reason
}

// endUnadmitted is readmit, and ends a request that is no longer admitted. It reports whether it did.
func (n *Node) endUnadmitted(w http.ResponseWriter, req *inflightRequest) bool {
	reason := n.readmit(req)
	switch {
	case reason == "":
		return false
	case reason == reasonNoCustomer, req.mayHaveRun, req.fallbackAnswer != nil:
		n.writeFailure(w, req, reason)
	default:
		n.writeError(w, req, http.StatusUnauthorized, reason)
	}
	return true
}

// forwardedHeaders returns the headers of a caller's request that backend servers get. A key is
// removed also where the configuration has no customers: callers may have one all the same.
func (n *Node) forwardedHeaders(r *http.Request, req *inflightRequest) http.Header {
	h := endToEndHeaders(r.Header)
	n.dialect.Identify(h, req.customerName())
	return h
}

// priority returns the request's priority; 0 is the highest.
func (req *inflightRequest) priority() int {
	if req.customer != nil && req.customer.Priority != nil {
		return *req.customer.Priority
	}
	return req.route.Priority
}
