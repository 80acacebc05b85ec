package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// TestRequestsLateInAStopAreRefused guards against requests that a gateway takes late in a
// planned stop, sends on, and cuts when its grace ends: among them some that may not be
// repeated. The bound is that of the users' pages, for requests sent up to 3 s after a stop
// of 6 s begins.
func TestRequestsLateInAStopAreRefused(t *testing.T) {
	const grace, late = 6 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		f.node.bounds.Store(&Bounds{Grace: document.Duration(grace)})
		go f.node.stop(t.Context(), &callerconn.Server{Handler: f.node})
		time.Sleep(time.Second)
		if w := f.do(http.MethodPost, "/post/"); w.Code != http.StatusOK || w.Header().Get("Connection") != "close" {
			t.Errorf("early in the stop: status %d, Connection %q", w.Code, w.Header().Get("Connection"))
		}
		time.Sleep(late - time.Second)
		before := f.servers.count()
		w := f.do(http.MethodPost, "/post/")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "0" || w.Header().Get("Connection") != "close" || f.servers.count() > before {
			t.Errorf("late in the stop: status %d, header %v, %d requests sent on", w.Code, w.Header(), f.servers.count()-before)
		}
	})
}
