package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/port"
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

// slowProber answers health checks after a time, as a busy server does.
type slowProber struct {
	connects
	after time.Duration
}

// Forward implements port.Forwarder.
func (slowProber) Forward(context.Context, string, *port.ForwardRequest) (*port.ForwardAnswer, error) {
	return okAnswer(), nil
}

// Probe implements port.Prober.
func (p slowProber) Probe(context.Context, string, string) (port.ServerMeta, int, error) {
	time.Sleep(p.after)
	return port.ServerMeta{}, 200, nil
}

// TestGatewayWithoutCallersKnowsBusyServers guards against a gateway that has sent no requests, and
// takes 100 ms for the time of a run: every busy server that it checked was doubted by all gateways.
func TestGatewayWithoutCallersKnowsBusyServers(t *testing.T) {
	// The least target of the routes is 600 ms.
	for after, doubted := range map[time.Duration]bool{250 * time.Millisecond: false, 500 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(nil)
			defer f.stop()
			f.node.prober = slowProber{after: after}
			s := preferredOf(f, "o")[0]
			was := false
			go f.node.checkCold(t.Context(), s, "/health")
			time.Sleep(after - time.Millisecond)
			was = s.withHealth((*fleet.Health).Doubted)
			time.Sleep(time.Second)
			if was != doubted {
				t.Errorf("answered after %v: doubted %t", after, was)
			}
		})
	}
}
