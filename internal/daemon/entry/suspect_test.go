package entry

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
)

// Guards against a popular request that every host refuses because it was in flight at both
// crashes of a crashing one (TestCrashingRequest in internal/drill was red by it once).
func TestPopularRequestOutlivesTheCrashesOfAnother(t *testing.T) {
	c := newCluster(t)
	popular := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/salt"}
	for _, h := range hosts {
		if _, failure := c.nodes[h].Do(context.Background(), popular); failure != nil {
			t.Fatal(failure)
		}
	}
	for _, server := range []string{"s-1", "s-2"} {
		n := c.nodes["a-1"]
		now := n.clock.Now()
		f := (&suspect.Identity{Authority: "orders", Method: popular.Method, Path: popular.Path}).Fingerprint()
		for _, h := range hosts {
			c.nodes[h].suspects.recordCrash(now, f, suspect.Server{Service: "orders", Name: server, Domain: "a"}, now)
		}
	}
	for _, h := range hosts {
		if got := c.nodes[h].suspects.list(c.nodes[h].clock.Now()); len(got) != 1 || got[0].State != suspect.Probation {
			t.Errorf("%s: suspects %v", h, got)
		}
	}
}

// Guards against a crash that accuses nobody because the server broke off its answer, or the caller
// had left before, and against accusing requests whose server lives on.
func TestCrashesShowAfterTheExchange(t *testing.T) {
	refused := &port.BackendError{Code: port.BackendRefused}
	for _, c := range []struct {
		code     port.BackendCode
		ended    bool
		next     error
		suspects int
	}{
		{port.BackendShort, true, nil, 1},
		{port.BackendShort, false, nil, 0},
		{port.BackendCanceled, false, refused, 1},
		{port.BackendCanceled, false, nil, 0},
	} {
		t.Run(fmt.Sprintf("%s, ended %t, %v", c.code, c.ended, c.next), func(t *testing.T) {
			w := newCluster(t)
			n := w.nodes["a-1"]
			req := &port.BackendRequest{Service: "orders", Path: "/stock/bad", Deadline: n.clock.Now().Add(time.Minute)}
			w.backend.failures, w.backend.ended = []error{&port.BackendError{Code: c.code, Sent: true}}, c.ended
			n.backend.Do(t.Context(), "server", req)
			if c.next != nil {
				w.backend.failures = []error{c.next}
				n.backend.Do(t.Context(), "server", &port.BackendRequest{Service: "orders", Path: "/stock/good"})
				for len(n.dumpSuspects()) != c.suspects {
					runtime.Gosched()
				}
			}
			if got := n.dumpSuspects(); len(got) != c.suspects {
				t.Errorf("suspects %v, want %d", got, c.suspects)
			}
		})
	}
}
