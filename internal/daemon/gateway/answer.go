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

// deliver passes a server's answer on.
func (n *Node) deliver(w http.ResponseWriter, x *exchange, a *port.ForwardAnswer) {
	h := w.Header()
	for name, values := range forwardHeader(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if a.Rest == nil && !x.head {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	} else if size := a.Header.Get("Content-Length"); size != "" {
		h.Set("Content-Length", size)
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			_, err = io.Copy(w, a.Rest)
		}
		a.Rest.Close()
		if err != nil {
			n.finish(x, a.Status, "answer broken off: "+err.Error())
			// The caller must not take the part for the whole.
			panic(http.ErrAbortHandler)
		}
	}
	n.finish(x, a.Status, "answered")
}

// fail ends a request that no server has answered: with a server's own failure
// if there is one, with a promise that it has not run if that is sure, and else
// without.
func (n *Node) fail(w http.ResponseWriter, x *exchange, why string) {
	switch {
	case x.kept != nil:
		n.deliver(w, x, x.kept)
	case !x.mayHaveRun:
		n.refuse(w, x, http.StatusServiceUnavailable, why)
	case time.Now().After(x.deadline.Add(-minLeft)):
		n.refuse(w, x, http.StatusGatewayTimeout, why)
	default:
		n.refuse(w, x, http.StatusBadGateway, why)
	}
}

// Bounds of the time after which a refused caller may come again: long enough
// for a slot to come free, spread so that callers do not return together.
const (
	retryAfterLeast  = 100 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
)

// refuse answers with a status of this gateway's own.
func (n *Node) refuse(w http.ResponseWriter, x *exchange, status int, why string) {
	if status == http.StatusServiceUnavailable {
		after := retryAfterLeast + x.refusal.wait/2 + rand.N(retryAfterSpread)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	n.finish(x, status, why)
}

// finish logs and counts the end of a request.
func (n *Node) finish(x *exchange, status int, why string) {
	took := time.Since(x.start)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	n.metrics.request(route, status, took)
	fields := logrus.Fields{
		"request": x.meta.ID, "object": x.meta.Object, "route": route, "service": x.service, "status": status, "ms": took.Milliseconds(),
		"left_ms": x.meta.Left.Milliseconds(), "attempts": x.attempts,
	}
	if x.refusal.server != nil {
		fields["full_server"], fields["full_wait_ms"] = x.refusal.server.rec().ID, x.refusal.wait.Milliseconds()
	}
	if x.view.config != nil {
		fields["version"] = x.view.config.Version
	}
	if status >= 200 && status < 400 {
		n.log.WithFields(fields).Info(why)
		return
	}
	fields["view_age_ms"] = time.Since(n.keeper.Synced()).Milliseconds()
	n.log.WithFields(fields).Warn(why)
}
