package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/placement"
	"cassiatray/internal/port"
)

// loadResult counts requests by how they ended.
type loadResult struct{ all, inTime, late, refused int }

// sendLoad sends perSecond requests a second for random objects during span, and counts
// the responses within and beyond the route's target.
func sendLoad(f *fixture, perSecond, objects int, span time.Duration, random *rand.Rand) loadResult {
	var out loadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range int(span.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		object := fmt.Sprint(random.IntN(objects))
		wg.Go(func() {
			start := time.Now()
			w := f.do(http.MethodGet, "/get/", "Object", object)
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			out.all++
			switch {
			case w.Code == 200 && took <= 600*time.Millisecond:
				out.inTime++
			case w.Code == 200:
				out.late++
			case w.Code == 503:
				out.refused++
			}
		})
	}
	wg.Wait()
	return out
}

// newLoadFixture returns a gateway with simulated servers of four slots, two of them in
// its region, whose cold run takes longer than the route's target. Warm, 20 requests a
// second occupy 5.3 of the region's 8 slots; cold, 17.6.
func newLoadFixture() (*fixture, *simulatedServers) {
	servers := newSimulatedServers(4, 24, 880*time.Millisecond)
	f := newFixture(nil)
	f.node.forwarder, f.node.prober = servers, servers
	return f, servers
}

// keepViewConfirmed confirms the view every half second until stop is closed.
func keepViewConfirmed(f *fixture, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
			f.keeper.Apply(nil, 0, "store", time.Now())
		}
	}
}

// TestServersRewarmAfterBurst checks that after a burst beyond the capacity of cold
// servers the objects become warm again and nearly all requests meet their target. If
// requests spilled to any server, all servers would stay cold.
func TestServersRewarmAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newLoadFixture()
		stop := make(chan struct{})
		go keepViewConfirmed(f, stop)
		random := rand.New(rand.NewPCG(7, 7))
		sendLoad(f, 20, 40, 8*time.Second, random)
		sendLoad(f, 70, 40, 4*time.Second, random)
		sendLoad(f, 20, 40, 3*time.Second, random)
		servers.mu.Lock()
		servers.coldRuns, servers.runs = 0, 0
		servers.mu.Unlock()
		after := sendLoad(f, 20, 40, 6*time.Second, random)
		close(stop)
		if after.inTime < after.all*9/10 {
			t.Errorf("after the burst %d of %d requests met the target: %+v, %d of %d runs were cold", after.inTime, after.all, after, servers.coldRuns, servers.runs)
		}
	})
}

// TestOverloadIsShed checks that a load beyond all slots, which lasts for
// seconds, is rejected in part, and that most requests that are served meet their target
// instead of all being late.
func TestOverloadIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newLoadFixture()
		stop := make(chan struct{})
		go keepViewConfirmed(f, stop)
		random := rand.New(rand.NewPCG(7, 7))
		sendLoad(f, 20, 40, 8*time.Second, random)
		over := sendLoad(f, 90, 40, 6*time.Second, random)
		close(stop)
		if over.refused == 0 {
			t.Errorf("no request was rejected at four times the load: %+v", over)
		}
		if over.inTime < over.late {
			t.Errorf("more responses late than in time: %+v", over)
		}
	})
}

// TestOldLoadReportExpires checks that a server that reported a long queue and then
// received no requests is considered free again after some seconds.
func TestOldLoadReportExpires(t *testing.T) {
	s := newServer(testRecord(), "a")
	now := time.Unix(1000, 0)
	s.recordLoad(&port.ServerLoad{Running: 4, Waiting: 12, Slots: 4}, 0, now)
	if n := s.estimatedRequests(now, 100*time.Millisecond); n < 15 {
		t.Errorf("estimated %.1f requests right after the report", n)
	}
	if n := s.estimatedRequests(now.Add(3*time.Second), 100*time.Millisecond); n > 4 {
		t.Errorf("estimated %.1f requests 3 s after the report", n)
	}
}

// TestLoadReportDecaysWithServiceTime checks, for requests that take 70 ms, that a peak
// reported half a second ago no longer counts.
func TestLoadReportDecaysWithServiceTime(t *testing.T) {
	s := newServer(testRecord(), "a")
	now := time.Unix(1000, 0)
	for range 20 {
		s.recordLoad(&port.ServerLoad{Running: 1, Slots: 3}, 0, now)
	}
	s.recordLoad(&port.ServerLoad{Running: 3, Waiting: 5, Slots: 3}, 0, now)
	if n := s.estimatedRequests(now.Add(500*time.Millisecond), 70*time.Millisecond); n > 3 {
		t.Errorf("estimated %.1f requests 500 ms after the report", n)
	}
}

// randomlyRefusingServers reject a share of all requests, whether or not they have free
// slots.
type randomlyRefusingServers struct {
	*simulatedServers
	mu          sync.Mutex
	random      *rand.Rand
	refuseShare float64
	omitLoad    bool
	offered     map[string]int
}

// Forward implements port.Forwarder.
func (s *randomlyRefusingServers) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	s.mu.Lock()
	s.offered[req.ID]++
	refuse := s.random.Float64() < s.refuseShare
	s.mu.Unlock()
	if !refuse {
		return s.simulatedServers.Forward(ctx, address, req)
	}
	a := notRunAnswer()
	if !s.omitLoad {
		s.simulatedServers.mu.Lock()
		a.Meta.Load = &port.ServerLoad{Running: s.running[address], Slots: s.slots}
		s.simulatedServers.mu.Unlock()
	}
	return a, nil
}

// TestRetriesServerThatRefusesWithFreeSlots checks that every request is sent to some
// server when servers reject about half of all requests while they report free slots. If
// they report no load, they are considered full, and some requests are rejected without
// being sent to any.
func TestRetriesServerThatRefusesWithFreeSlots(t *testing.T) {
	const requests = 200
	run := func(omitLoad bool) (unoffered, served int) {
		synctest.Test(t, func(t *testing.T) {
			f, simulated := newLoadFixture()
			random := rand.New(rand.NewPCG(7, 7))
			servers := &randomlyRefusingServers{simulatedServers: simulated, random: random, refuseShare: 0.55, omitLoad: omitLoad, offered: map[string]int{}}
			stop := make(chan struct{})
			go keepViewConfirmed(f, stop)
			sendLoad(f, 10, 10, 4*time.Second, random)
			f.node.forwarder = servers
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range requests {
				time.Sleep(time.Second / 10)
				object := fmt.Sprint(i % 10)
				wg.Go(func() {
					w := f.do(http.MethodGet, "/get/", "Id", fmt.Sprint(i), "Object", object)
					mu.Lock()
					defer mu.Unlock()
					if w.Code == http.StatusOK {
						served++
					}
				})
			}
			wg.Wait()
			close(stop)
			unoffered = requests - len(servers.offered)
		})
		return unoffered, served
	}
	unoffered, served := run(false)
	if unoffered > 0 {
		t.Errorf("%d of %d requests were sent to no server", unoffered, requests)
	}
	if unofferedWithoutLoad, servedWithoutLoad := run(true); unofferedWithoutLoad == 0 || servedWithoutLoad >= served {
		t.Errorf("without load reports %d requests were sent to no server and %d served, with them %d served: the test cannot detect the failure", unofferedWithoutLoad, servedWithoutLoad, served)
	}
}

// TestLoadReportKeptForLongRequests checks, for requests that take two seconds, that the
// average load of a server still counts some seconds after its last report, as in a large
// system where a gateway rarely sends to the same server, but not after half a minute.
func TestLoadReportKeptForLongRequests(t *testing.T) {
	const service = 2 * time.Second
	s := newServer(testRecord(), "a")
	now := time.Unix(1000, 0)
	for range 20 {
		s.recordLoad(&port.ServerLoad{Running: 9, Waiting: 11, Slots: 9}, 0, now)
	}
	if n := s.estimatedRequests(now.Add(3*time.Second), service); n < 10 {
		t.Errorf("estimated %.1f requests after 3 s", n)
	}
	if n := s.estimatedRequests(now.Add(30*time.Second), service); n > 1 {
		t.Errorf("estimated %.1f requests after 30 s", n)
	}
}

// objectsSharingFirstServer returns n objects with the same first server in rendezvous
// order.
func objectsSharingFirstServer(f *fixture, n int) []string {
	g := f.keeper.View().groups["s"]
	var out []string
	firstServer := -1
	for i := 0; len(out) < n; i++ {
		name := fmt.Sprint(i)
		order := g.ring.Rank(placement.Object("get", name), preferredServerCount)
		if firstServer < 0 {
			firstServer = order[0]
		}
		if order[0] == firstServer {
			out = append(out, name)
		}
	}
	return out
}

// TestHotServerSpillsToSecondPreferred checks that a few popular objects that share their
// first server spill to their second ones. Once those are warm, requests wait for only a
// part of a service time, instead of as long as a cold run would cost.
func TestHotServerSpillsToSecondPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newLoadFixture()
		stop := make(chan struct{})
		go keepViewConfirmed(f, stop)
		names := objectsSharingFirstServer(f, 4)
		warm := servers.coldRunTime * 3 / 10
		var mu sync.Mutex
		var took []time.Duration
		var wg sync.WaitGroup
		// 22 a second occupy 5.8 slots; the first server has 4.
		for i := range 22 * 20 {
			time.Sleep(time.Second / 22)
			wg.Go(func() {
				start := time.Now()
				w := f.do(http.MethodGet, "/get/", "Object", names[i%len(names)])
				if i > 22*10 && w.Code == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					took = append(took, time.Since(start))
				}
			})
		}
		wg.Wait()
		close(stop)
		slices.Sort(took)
		if p75 := took[len(took)*3/4]; p75 > warm*7/4 || len(took) < 22*9 {
			t.Errorf("the 75th percentile of %d responses is %v, a warm run takes %v", len(took), p75, warm)
		}
	})
}

// TestStalledServerIsAvoided checks that requests move to an object's second server when
// the warm first one stops responding: as soon as one request has clearly taken longer
// than a run, before any of them has failed.
func TestStalledServerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 100 * time.Millisecond
		var silent atomic.Pointer[string]
		var mu sync.Mutex
		sent := map[string]int{}
		f := newFixture(func(ctx context.Context, _ int, address string) (*port.ForwardAnswer, error) {
			mu.Lock()
			sent[address]++
			mu.Unlock()
			if s := silent.Load(); s != nil && *s == address {
				<-ctx.Done()
				return nil, &port.BackendError{Code: port.BackendTimeout, Sent: true, Err: ctx.Err()}
			}
			time.Sleep(runTime)
			return okAnswer(), nil
		})
		defer f.stop()
		for range 20 {
			f.do(http.MethodGet, "/get/")
		}
		var preferred string
		for address := range sent {
			preferred = address
		}
		silent.Store(&preferred)
		clear(sent)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { f.do(http.MethodGet, "/get/") })
			time.Sleep(runTime / 2)
		}
		wg.Wait()
		// One and a quarter runs until the stall shows, and one more until it exceeds the
		// spill cost to a cold server: the requests sent within 225 ms.
		if lost := sent[preferred]; lost > 5 {
			t.Errorf("%d of 20 requests were sent to the stalled server", lost)
		}
	})
}

// TestRankCacheIsBounded checks that the cache of rendezvous orders stays bounded when
// callers keep naming new objects, or none, while no server changes.
func TestRankCacheIsBounded(t *testing.T) {
	g := newFixture(nil).keeper.View().groups["s"]
	count := func() (n int) {
		g.rankCache.Range(func(any, any) bool { n++; return true })
		return n
	}
	rankOnce := func(object uint64, cache bool) {
		for range g.ranked(object, cache) {
			return
		}
	}
	for i := range uint64(1000) {
		rankOnce(i, false)
	}
	if n := count(); n != 0 {
		t.Errorf("%d orders cached for requests without an object", n)
	}
	for i := range uint64(2 * maxCachedRanks) {
		rankOnce(i, true)
	}
	if n := count(); n > maxCachedRanks {
		t.Errorf("%d orders cached", n)
	}
}
