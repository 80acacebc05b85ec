package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/daemon/memory"
)

// Limits on callers' connections while no configuration is loaded.
const (
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	idleTimeout   = 60 * time.Second
)

// newCallerServer returns the server for callers' connections.
func newCallerServer(n *Node, closed *memory.Closings, log *logrus.Entry) *callerconn.Server {
	return &callerconn.Server{
		Budget: n.memory, MaxConns: n.cfg.limits(memory.DescriptorLimit()).MaxConnections(), Closed: closed.Note,
		Handler: n, Independent: n.isIdempotent, Limits: n.callerLimits,
		Refused: func(remote string, status int, err error) {
			entry := log.WithFields(logrus.Fields{"remote": remote, "status": status}).WithError(err)
			if status == http.StatusInternalServerError {
				entry.Error("Request failed here.")
				return
			}
			entry.Debug("Invalid request rejected.")
		},
	}
}

// callerLimits returns the connection limits of the current configuration. The
// limit on the head is at least headerBytes here: a request that exceeds only the
// configuration's limit is rejected by ServeHTTP, which logs its ID.
func (n *Node) callerLimits() callerconn.Limits {
	out := sideLimits()
	c := n.keeper.View().config
	if c == nil {
		return out
	}
	out.HeadBytes = max(out.HeadBytes, c.Limits.HeaderBytes)
	if c.Limits.HeaderBytes > 0 {
		// A head with more is over the limit on its bytes.
		out.HeadLines = c.Limits.HeaderBytes / callerconn.MinLine
	}
	if c.Limits.HeaderTimeout > 0 {
		out.HeadTimeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		out.IdleTimeout = c.Limits.IdleTimeout
	}
	return out
}

// sideLimits returns the connection limits of the ports beside that for callers' requests.
func sideLimits() callerconn.Limits {
	return callerconn.Limits{HeadBytes: headerBytes, HeadLines: headerBytes / callerconn.MinLine, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// newSideServer returns the server of a port beside that for callers' requests, with at most conns
// connections.
func newSideServer(n *Node, h http.Handler, conns int, closed *memory.Closings) *callerconn.Server {
	return &callerconn.Server{
		Budget: n.memory, MaxConns: conns, Closed: closed.Note, Handler: h, Limits: sideLimits,
		Independent: func(*http.Request) bool { return false },
	}
}

// isIdempotent reports whether the request's route is idempotent. Such requests of
// one caller may be handled concurrently.
func (n *Node) isIdempotent(r *http.Request) bool {
	c := n.keeper.View().config
	if c == nil {
		return false
	}
	route := matchRoute(c, r)
	return route != nil && route.Idempotent
}

// requestTarget returns the request target in origin form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// matchRoute returns the route that matches the request, or nil.
func matchRoute(c *routing.Config, r *http.Request) *routing.Route {
	return matchTarget(c, r.Host, requestTarget(r))
}

// matchTarget is matchRoute for a host and a request target in origin form.
func matchTarget(c *routing.Config, host, target string) *routing.Route {
	path, _, _ := strings.Cut(target, "?")
	return c.Match(strings.ToLower(host), path)
}
