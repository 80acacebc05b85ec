package gateway

import (
	"net/http"
	"time"
)

// identify sets the request's customer by the caller's key. It reports false if it has rejected
// the request.
func (n *Node) identify(w http.ResponseWriter, req *inflightRequest) bool {
	c := req.view.config
	if !c.HasCustomers() || req.route.Public {
		return true
	}
	if req.customer = c.CustomerOf(req.caller.Key); req.customer != nil {
		return true
	}
	// The key may be in a newer configuration.
	if time.Since(n.keeper.Synced()) > maxNotFoundViewAge {
		n.writeError(w, req, http.StatusServiceUnavailable, "unknown key, but the configuration may be old")
		return false
	}
	n.writeError(w, req, http.StatusUnauthorized, "unknown key")
	return false
}

// forwardedHeaders returns the headers of a caller's request that backend servers get.
func (n *Node) forwardedHeaders(r *http.Request, req *inflightRequest) http.Header {
	h := endToEndHeaders(r.Header)
	if req.view.config.HasCustomers() {
		name := ""
		if req.customer != nil {
			name = req.customer.Name
		}
		n.dialect.Identify(h, name)
	}
	return h
}

// allowsRegion reports whether servers of a region may serve the request.
func (req *inflightRequest) allowsRegion(region string) bool {
	return req.route.AllowsRegion(region) && req.customer.AllowsRegion(region)
}

// priority returns the request's priority; 0 is the highest.
func (req *inflightRequest) priority() int {
	if req.customer != nil && req.customer.Priority != nil {
		return *req.customer.Priority
	}
	return req.route.Priority
}
