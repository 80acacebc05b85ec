package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/placement"
)

// preferredOf returns the servers that share the requests for an object.
func preferredOf(f *fixture, object string) []*server {
	var out []*server
	for _, s := range f.keeper.View().groups["s"].ranked(placement.Object("get", object), false) {
		if out = append(out, s); len(out) == preferredServerCount {
			break
		}
	}
	return out
}

// TestBusyServersKeepTheirObjects guards against a burst in an outage of the store, in which busy
// servers do not answer their checks: requests for their objects ran on servers of rank two and
// later, all cold for them, until hardly any server was warm.
func TestBusyServersKeepTheirObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newLoadFixture()
		defer f.stop()
		list := preferredOf(f, "o")
		doubt := func(s *server) {
			if !s.withHealth(func(h *fleet.Health) bool { return h.DoubtUnanswered(time.Now(), time.Now()) }) {
				t.Fatal("not doubted")
			}
		}
		doubt(list[0])
		if w := f.do(http.MethodGet, "/get/"); w.Code != http.StatusOK || servers.running[list[0].rec().Address] != 0 {
			t.Errorf("status %d with one busy server", w.Code)
		}
		f.keeper.Apply(nil, 0, "store", time.Now())
		list[1].withHealth(func(h *fleet.Health) bool { h.Ran(time.Time{}); return false })
		time.Sleep(time.Millisecond)
		doubt(list[1])
		runs := servers.runs
		if w := f.do(http.MethodGet, "/get/"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || servers.runs != runs {
			t.Errorf("status %d and %d runs with both servers busy", w.Code, servers.runs-runs)
		}
		// No other gateway's word is needed for the servers to be used again.
		time.Sleep(2 * time.Second)
		f.keeper.Apply(nil, 0, "store", time.Now())
		if w := f.do(http.MethodGet, "/get/"); w.Code != http.StatusOK {
			t.Errorf("status %d after the doubts have ended", w.Code)
		}
	})
}
