package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// TestColdServerRateLimit checks that when many callers arrive at a service whose servers
// are all cold, the gateway sends no server more requests per second than its limit, and
// rejects the others immediately.
func TestColdServerRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		var records []mirror.Record
		for i, d := range testDomains {
			records = append(records, f.serverRecord(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Cold: 3 * time.Second, Born: 7}, uint64(20+i)))
		}
		f.keeper.Apply(records, 30, "store", time.Now())
		f.node.syncer.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
		f.keeper.Hear(f.node.syncer.self(), time.Now(), time.Now())
		refused := 0
		for i := range 1000 {
			time.Sleep(2 * time.Millisecond)
			start := time.Now()
			w := f.do("GET", "/get/", "Object", fmt.Sprint(i))
			if w.Code == 503 {
				refused++
				if time.Since(start) > 50*time.Millisecond {
					t.Fatalf("rejected after %v", time.Since(start))
				}
			}
		}
		perServer := map[string][]time.Time{}
		for _, s := range f.servers.sent {
			perServer[s.server] = append(perServer[s.server], s.at)
		}
		for server, at := range perServer {
			for i := range at {
				n := 0
				for _, other := range at[i:] {
					if other.Sub(at[i]) < time.Second {
						n++
					}
				}
				if n > 6 {
					t.Fatalf("%d requests in a second to %s, the limit is 6", n, server)
				}
			}
		}
		if refused == 0 || len(perServer) < len(testDomains) {
			t.Errorf("%d rejected, %d of %d servers used", refused, len(perServer), len(testDomains))
		}
	})
}

// TestColdRateLimitForServersReportedUnreachable checks that the rate limit of cold servers
// also holds for those that are tried although another gateway reported them unreachable.
func TestColdRateLimitForServersReportedUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		f.servers.probe = func(string) (port.ServerMeta, int, error) { return port.ServerMeta{}, 0, io.EOF }
		var records []mirror.Record
		for i, d := range testDomains {
			records = append(records, f.serverRecord(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Cold: 3 * time.Second, Born: 7}, uint64(20+i)))
		}
		f.keeper.Apply(records, 30, "store", time.Now())
		f.node.syncer.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
		f.keeper.Hear(f.node.syncer.self(), time.Now(), time.Now())
		for range 300 {
			for _, s := range f.keeper.Servers() {
				s.withHealth(func(h *fleet.Health) bool {
					*h = fleet.Health{}
					h.Cold(time.Now().Add(3 * time.Second))
					return h.Doubt(time.Now(), time.Now())
				})
			}
			f.do("GET", "/get/", "Object", "o")
			time.Sleep(2 * time.Millisecond)
		}
		if n := f.servers.count(); n == 0 || n > 6*len(testDomains) {
			t.Errorf("%d requests within 0.6 s to %d cold servers with a limit of 6 a second each", n, len(testDomains))
		}
	})
}

// TestColdRateLimitOutlivesServerRestart checks that the requests to a cold server still
// count when its record shows another start: gateways learned from a health check that it
// was cold, and each new record allowed a second share of the rate within the same second.
func TestColdRateLimitOutlivesServerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		f.node.syncer.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
		f.keeper.Hear(f.node.syncer.self(), time.Now(), time.Now())
		const restarts = 4
		for n := range restarts {
			var records []mirror.Record
			for i, d := range testDomains {
				r := fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Cold: 3 * time.Second, Born: int64(7 + n)}
				records = append(records, f.serverRecord(r, uint64(20+10*n+i)))
			}
			f.keeper.Apply(records, uint64(30+10*n), "store", time.Now())
			for range 60 {
				f.do("GET", "/get/", "Object", "o")
				time.Sleep(time.Millisecond)
			}
		}
		perServer := map[string]int{}
		for _, s := range f.servers.sent {
			perServer[s.server]++
		}
		for server, n := range perServer {
			if n > 6 {
				t.Errorf("%d requests within a second to %s, the limit is 6", n, server)
			}
		}
		if len(perServer) == 0 {
			t.Error("no request was sent")
		}
	})
}

// TestRestartInOutageKeepsColdRateLimit checks that servers that restart while the store is
// away are not sent requests as if they were warm: nothing but their closed connections
// shows it when they are back before anybody is refused.
func TestRestartInOutageKeepsColdRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const coldFor = 3 * time.Second
		restart := time.Now().Add(time.Second)
		f := newFixture(nil)
		noticed := map[string]bool{}
		f.servers.answer = func(_ context.Context, n int, address string) (*port.ForwardAnswer, error) {
			f.servers.mu.Lock()
			defer f.servers.mu.Unlock()
			if sent := f.servers.sent[n-1]; sent.at.After(restart) && sent.req.SameProcess && !noticed[address] {
				noticed[address] = true
				f.servers.sent[n-1].server = ""
				return nil, &port.BackendError{Code: port.BackendRestarted, Address: address}
			}
			return okAnswer(), nil
		}
		f.servers.probe = func(string) (port.ServerMeta, int, error) {
			time.Sleep(5 * time.Millisecond)
			return port.ServerMeta{Cold: max(0, time.Until(restart.Add(coldFor)))}, 200, nil
		}
		f.node.syncer.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
		f.keeper.Hear(f.node.syncer.self(), time.Now(), time.Now())
		for i := range 1000 {
			time.Sleep(2 * time.Millisecond)
			f.do("GET", "/get/", "Object", fmt.Sprint(i))
		}
		before, after := 0, map[string]int{}
		for _, s := range f.servers.sent {
			if s.at.Before(restart) {
				before++
			} else if s.server != "" {
				after[s.server]++
			}
		}
		for server, n := range after {
			if n > 6 {
				t.Errorf("%d requests within a second to %s, the limit is 6", n, server)
			}
		}
		if before < 400 || len(after) < len(testDomains) {
			t.Errorf("%d requests before the restart, %d of %d servers used after it", before, len(after), len(testDomains))
		}
	})
}

// TestCrashingRequestIsRejectedUnderLoad checks that a request that crashes every server
// running it is rejected after three crashes, even if other requests on the same servers
// observe each crash first.
func TestCrashingRequestIsRejectedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		down := map[string]time.Time{}
		crashes := 0
		f := newFixture(nil)
		f.servers.answer = func(_ context.Context, n int, address string) (*port.ForwardAnswer, error) {
			mu.Lock()
			until := down[address]
			mu.Unlock()
			if time.Now().Before(until) {
				return nil, &port.BackendError{Code: port.BackendRefused, Err: io.EOF}
			}
			f.servers.mu.Lock()
			crashing := strings.HasSuffix(f.servers.sent[n-1].req.URI, "/bad")
			f.servers.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			if crashing {
				mu.Lock()
				down[address] = time.Now().Add(time.Second)
				crashes++
				mu.Unlock()
				// The other requests observe the crash first.
				time.Sleep(2 * time.Millisecond)
				return nil, brokenError(true)
			}
			return okAnswer(), nil
		}
		f.servers.probe = func(address string) (port.ServerMeta, int, error) {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().Before(down[address]) {
				return port.ServerMeta{}, 0, &port.BackendError{Code: port.BackendRefused, Err: io.EOF}
			}
			return port.ServerMeta{}, 200, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				for j := 0; ctx.Err() == nil; j++ {
					f.do("GET", "/get/ok", "Object", fmt.Sprint(i))
					time.Sleep(time.Millisecond)
				}
			})
		}
		for range 40 {
			f.do("GET", "/get/bad", "Object", "o")
			time.Sleep(300 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		// The last request before the rejection may be retried once more.
		if crashes < 3 || crashes > 3+1 {
			t.Errorf("%d crashes, want 3 or 4", crashes)
		}
	})
}

// TestUnreachableServerNeedsHealthCheck checks that an unreachable server receives no
// requests until a health check has succeeded, and is used again after that.
func TestUnreachableServerNeedsHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recovered := false
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		first := ""
		f.servers.answer = func(_ context.Context, n int, address string) (*port.ForwardAnswer, error) {
			if n == 1 {
				first = address
			}
			if address == first && !recovered {
				return nil, &port.BackendError{Code: port.BackendRefused, Err: io.EOF}
			}
			return okAnswer(), nil
		}
		f.servers.probe = func(string) (port.ServerMeta, int, error) {
			if !recovered {
				return port.ServerMeta{}, 0, brokenError(false)
			}
			return port.ServerMeta{}, 200, nil
		}
		for range 50 {
			if w := f.do("GET", "/get/1"); w.Code != 200 {
				t.Fatalf("status %d", w.Code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		sentToFirst := func() (n int) {
			for _, s := range f.servers.sent {
				if s.server == first {
					n++
				}
			}
			return n
		}
		if n := sentToFirst(); n != 1 {
			t.Errorf("%d requests to an unreachable server, want 1", n)
		}
		recovered = true
		for range 60 {
			f.do("GET", "/get/1")
			time.Sleep(100 * time.Millisecond)
		}
		if n := sentToFirst(); n < 2 {
			t.Error("the server is not used again after it recovered")
		}
	})
}

// TestLostAnswersKeepPreferredServers checks that an object's requests stay with its
// preferred servers when these lose four of ten responses.
func TestLostAnswersKeepPreferredServers(t *testing.T) {
	f := newFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		if n%5 < 2 {
			return nil, brokenError(true)
		}
		return okAnswer(), nil
	})
	servers := map[string]map[string]bool{}
	for i := range 300 {
		object := fmt.Sprint(i % 10)
		before := f.servers.count()
		f.do("GET", "/get/", "Object", object)
		if servers[object] == nil {
			servers[object] = map[string]bool{}
		}
		for _, s := range f.servers.sent[before:] {
			servers[object][s.server] = true
		}
	}
	for object, set := range servers {
		if len(set) > preferredServerCount {
			t.Errorf("object %s was sent to %d servers", object, len(set))
		}
	}
}

// TestRetryExtraSharesSumToOne checks that the gateways' parts of the retry allowance sum
// to the whole, and that the gateways returned to callers get most of it.
func TestRetryExtraSharesSumToOne(t *testing.T) {
	for _, x := range []struct{ small, large int }{{4, 0}, {0, 3}, {20, 3}, {50, 0}, {1, 0}} {
		var members []*peerv1.GatewayMember
		for _, d := range testDomains {
			for i := range x.small + x.large {
				m := &peerv1.GatewayMember{Host: fmt.Sprintf("%s-%d", d.Domain, i), Domain: d.Domain, Capacity: 160}
				if i < x.large {
					m.Capacity = 800
				}
				members = append(members, m)
			}
		}
		sum, large := 0.0, 0.0
		for _, m := range members {
			share := retryExtraShare(members, m.Host)
			sum += share
			if m.Capacity == 800 {
				large += share
			}
		}
		if sum < 0.999 || sum > 1.001 || x.large > 0 && large < advertisedShare-0.001 {
			t.Errorf("%+v: shares sum to %.3f, those of large hosts to %.3f", x, sum, large)
		}
	}
}

// TestMalformedRecordIsNews checks that a record that cannot be decoded replaces a good one,
// and the other way round.
func TestMalformedRecordIsNews(t *testing.T) {
	f := newFixture(nil)
	good := f.serverRecord(fleet.Record{ID: "i-a1", Domain: "a1"}, 20)
	bad := good
	bad.Revision, bad.Value = 21, []byte("{")
	worse := bad
	worse.Revision = 22
	good.Revision = 23
	for i, x := range []struct {
		record mirror.Record
		known  bool
	}{{bad, false}, {worse, false}, {good, true}} {
		f.keeper.Apply([]mirror.Record{x.record}, x.record.Revision, "store", time.Now())
		if known := f.keeper.server("i-a1", 0) != nil; known != x.known {
			t.Errorf("record %d: server known %t", i, known)
		}
	}
}
