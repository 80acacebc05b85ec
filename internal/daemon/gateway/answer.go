package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/port"
)

// promisesNotRun reports whether callers take a status for the promise that the request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeAnswer sends a server's response to the caller. A server that ran the request, or does not
// say that it did not, makes no promise by its status: a request that must not be repeated is then
// ended as one that may have run.
func (n *Node) writeAnswer(w http.ResponseWriter, req *inflightRequest, a *port.ForwardAnswer) {
	if !req.route.Idempotent && promisesNotRun(a.Status) {
		if a.Rest != nil {
			a.Rest.Close()
		}
		req.mayHaveRun = true
		n.writeFailure(w, req, "server's status alone is no promise")
		return
	}
	h := w.Header()
	for name, values := range endToEndHeaders(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	if a.Rest == nil && !req.isHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	} else if size := a.Header.Get("Content-Length"); size != "" {
		h.Set("Content-Length", size)
	}
	if a.Rest != nil {
		req.hold.Force(passBuffer)
	}
	req.dropBody()
	// A holder that was ended fails to write.
	req.enterPassing()
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			_, err = io.Copy(w, a.Rest)
		}
		a.Rest.Close()
		if err != nil {
			n.recordEnd(req, a.Status, "answer broken off: "+err.Error())
			// Aborts the connection, so that the caller detects the truncated response.
			panic(http.ErrAbortHandler)
		}
	}
	n.recordEnd(req, a.Status, "answered")
}

// writeFailure ends a request that no server served successfully. It returns a
// server's error response if there is one. Otherwise the status is 503 only if no
// server can have run the request, and 504 or 502 if one may have.
func (n *Node) writeFailure(w http.ResponseWriter, req *inflightRequest, reason string) {
	switch {
	case req.fallbackAnswer != nil:
		n.writeAnswer(w, req, req.fallbackAnswer)
	case !req.mayHaveRun:
		n.writeError(w, req, http.StatusServiceUnavailable, reason)
	case time.Now().After(req.deadline.Add(-minTimeLeft)):
		n.writeError(w, req, http.StatusGatewayTimeout, reason)
	default:
		n.writeError(w, req, http.StatusBadGateway, reason)
	}
}

// Range of Retry-After: long enough for a slot to become free, and randomized so
// that rejected callers do not all retry at the same time.
const (
	minRetryAfter    = 100 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
)

// writeError sends an error response of the gateway itself. It says when to come back unless
// that is set.
func (n *Node) writeError(w http.ResponseWriter, req *inflightRequest, status int, reason string) {
	if status == http.StatusServiceUnavailable && reason == string(reasonStopping) {
		// Other gateways take it at once.
		w.Header().Set("Retry-After", "0")
	}
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		after := minRetryAfter + req.fullServer.wait/2
		if req.comeBackAfter > 0 {
			after = req.comeBackAfter
		}
		after += rand.N(retryAfterSpread)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	n.count(req)
	req.answeredBy, req.endReason = "", reason
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	n.recordEnd(req, status, reason)
}

// recordEnd logs the end of a request and updates the metrics.
func (n *Node) recordEnd(req *inflightRequest, status int, reason string) {
	took := time.Since(req.start)
	route := ""
	if req.route != nil {
		route = req.route.Name
	}
	if req.origin == "" {
		n.metrics.request(route, status, took)
		if req.customer != nil {
			n.metrics.customers.count(req.customer.Name, status)
		}
	} else {
		n.metrics.relayed.WithLabelValues(strconv.Itoa(status)).Inc()
	}
	fields := logrus.Fields{
		"request": req.caller.ID, "object": req.caller.Object, "route": route, "service": req.service, "status": status, "ms": took.Milliseconds(),
		"left_ms": req.caller.Left.Milliseconds(), "attempts": req.attempts,
	}
	if req.customer != nil {
		fields["customer"] = req.customer.Name
	}
	if req.origin != "" {
		fields["origin"] = req.origin
	}
	if len(req.permitAsks) > 0 {
		fields["permit_asks"] = req.permitAsks
	}
	if req.fullServer.server != nil {
		fields["full_server"], fields["full_wait_ms"] = req.fullServer.server.rec().ID, req.fullServer.wait.Milliseconds()
	}
	if req.view.config != nil {
		fields["version"] = req.view.config.Version
	}
	if status >= 200 && status < 400 {
		n.log.WithFields(fields).Info(reason)
		return
	}
	fields["view_age_ms"] = time.Since(n.keeper.Synced()).Milliseconds()
	n.log.WithFields(fields).Warn(reason)
}
