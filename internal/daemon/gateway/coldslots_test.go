//go:build !race

package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// coldSlots are simulated servers that turn cold without a restart. A cold server has
// cached nothing and runs each request for several times as long; health checks wait for a
// slot as requests do.
type coldSlots struct {
	*simulatedServers
	mu sync.Mutex
	// coldFrom is when the servers of coldDomain turn cold; zero for not yet.
	coldFrom time.Time
	arrivals map[string][]time.Time
	// probes are the health checks that servers have not answered, also those given up.
	probes sync.WaitGroup
}

const (
	coldDomain   = "a1"
	coldSpell    = 3 * time.Second
	coldSlowdown = 2
)

func (s *coldSlots) cold(address string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldFrom.IsZero() || !strings.Contains(address, coldDomain) {
		return 0
	}
	return max(0, coldSpell-time.Since(s.coldFrom))
}

// turnCold turns the servers of coldDomain cold.
func (s *coldSlots) turnCold() {
	s.mu.Lock()
	s.coldFrom = time.Now()
	s.mu.Unlock()
	s.simulatedServers.mu.Lock()
	defer s.simulatedServers.mu.Unlock()
	for address := range s.cached {
		if strings.Contains(address, coldDomain) {
			s.cached[address] = nil
		}
	}
}

// Forward implements port.Forwarder.
func (s *coldSlots) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	s.mu.Lock()
	s.arrivals[address] = append(s.arrivals[address], time.Now())
	s.mu.Unlock()
	if s.cold(address) == 0 {
		return s.simulatedServers.Forward(ctx, address, req)
	}
	if !s.takeSlot(address) {
		return notRunAnswer(), nil
	}
	time.Sleep(coldSlowdown * s.coldRunTime)
	a := okAnswer()
	a.Meta.Load = s.freeSlot(address)
	return a, nil
}

// Probe implements port.Prober.
func (s *coldSlots) Probe(ctx context.Context, address, _ string) (port.ServerMeta, int, error) {
	done := make(chan port.ServerMeta, 1)
	s.probes.Go(func() {
		if !s.takeSlot(address) {
			done <- port.ServerMeta{NotRun: true}
			return
		}
		time.Sleep(time.Millisecond)
		load := s.freeSlot(address)
		done <- port.ServerMeta{Cold: s.cold(address), Load: load}
	})
	select {
	case meta := <-done:
		if meta.NotRun {
			return meta, http.StatusServiceUnavailable, nil
		}
		return meta, http.StatusOK, nil
	case <-ctx.Done():
		return port.ServerMeta{}, 0, &port.BackendError{Code: port.BackendTimeout, Sent: true, Err: ctx.Err()}
	}
}

// most returns the most requests that a cold server got in any second of its cold spell.
func (s *coldSlots) most() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, list := range s.arrivals {
		if !strings.Contains(address, coldDomain) {
			continue
		}
		for i, from := range list {
			n := 0
			for _, at := range list[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if !from.Before(s.coldFrom) && from.Before(s.coldFrom.Add(coldSpell-time.Second)) {
				most = max(most, n)
			}
		}
	}
	return most
}

// coldRateInTest is how many requests a second cold servers of the cluster's service take,
// and allowedWhenCold how many they may get in any second.
const (
	coldRateInTest  = 6
	allowedWhenCold = coldRateInTest*1.5 + 5
)

// coldOutage is an outage of the store in which servers turn cold.
type coldOutage struct {
	// burst is by how much more requests than usual come; zero for as usual.
	burst float64
	// silent is set when the store leaves calls unanswered and does not refuse them.
	silent bool
	// coldAfter is how long the store has been away when the servers turn cold.
	coldAfter time.Duration
	// evacuated is set when their domain is evacuated until the store is back.
	evacuated bool
	// inReach is set when only the servers' writes are lost, and the store can be read.
	inReach bool
	// restarted is set when all gateways start anew just as the store is back.
	restarted bool
	// returnsAfter is when the store is back after that; zero for not within the cold spell.
	// rewrittenAfter is when servers then write their records again.
	returnsAfter, rewrittenAfter time.Duration
}

// longOutage is one that lasts from long before the cold spell until its end.
var longOutage = coldOutage{coldAfter: 5 * time.Second}

// restartTime is how long a process that was killed takes to start again.
const restartTime = 500 * time.Millisecond

// restartAll kills all gateways and starts them again.
func (w *testCluster) restartAll() {
	hosts := maps.Clone(w.hosts)
	for name := range hosts {
		w.kill(name)
	}
	time.Sleep(restartTime)
	for name, h := range hosts {
		w.add(name, h.cfg.Domain)
	}
}

// playColdInOutage turns the servers of a domain cold while the store is away, and returns the
// most requests that one of them then gets in a second.
func playColdInOutage(t *testing.T, seed uint64, o coldOutage) (most int) {
	const (
		slots     = 3
		coldRun   = 240 * time.Millisecond
		perServer = 18 // requests a second, as usual
		perDomain = 3
	)
	synctest.Test(t, func(t *testing.T) {
		servers := &coldSlots{simulatedServers: newSimulatedServers(slots, 80, coldRun), arrivals: map[string][]time.Time{}}
		w := newTestCluster(t)
		w.forwarder = func(string) forwardProber { return servers }
		w.setConfig(1)
		var records []fleet.Record
		for _, d := range testDomains {
			for i := range 3 {
				r := fleet.Record{ID: fmt.Sprintf("i-%s-%d", d.Domain, i), Domain: d.Domain, Slots: slots, Born: 7}
				records = append(records, r)
				w.setServer(r)
			}
		}
		w.addPerDomain(perDomain)
		defer synctest.Wait()
		defer servers.probes.Wait()
		defer w.stopAll()
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(seed, 7))
		var wg sync.WaitGroup
		send := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (float64(len(records)*perServer) * max(1, o.burst))))
				host := w.anyHost(random)
				r := httptest.NewRequest(http.MethodGet, "/x", strings.NewReader(""))
				r.Host = "h"
				r.Header.Set("Left", "1.2s")
				r.Header.Set("Object", fmt.Sprint(random.IntN(100)))
				wg.Go(func() { host.node.ServeHTTP(httptest.NewRecorder(), r) })
			}
		}
		send(6 * time.Second)
		if o.evacuated {
			w.store.set("evacuate/"+coldDomain, []byte("{}"), "")
			send(time.Second)
		}
		w.store.setSilent(o.silent)
		w.store.turnAway(!o.inReach)
		send(o.coldAfter)
		servers.turnCold()
		left := coldSpell
		if o.returnsAfter > 0 {
			send(o.returnsAfter)
			w.store.turnAway(false)
			w.store.set("evacuate/"+coldDomain, nil, "")
			if o.restarted {
				w.restartAll()
			}
			send(o.rewrittenAfter)
			left -= o.returnsAfter + o.rewrittenAfter
			for _, r := range records {
				if r.Domain == coldDomain {
					r.Beat, r.Cold = 10, left
					w.setServer(r)
				}
			}
		}
		send(left)
		wg.Wait()
		most = servers.most()
	})
	return most
}

// TestServersThatTurnColdInOutageAreNotFlooded guards against a flood of servers that turn
// cold while the store is away: cold runs take all their slots, so that the health check
// that would show it is not answered for up to a second.
func TestServersThatTurnColdInOutageAreNotFlooded(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if most := playColdInOutage(t, seed, longOutage); float64(most) > allowedWhenCold {
				t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
			}
		})
	}
}

// TestBurstAtServerThatTurnsColdInOutage guards against the same when more requests than
// usual come for one server while the gateways do not know yet.
func TestBurstAtServerThatTurnsColdInOutage(t *testing.T) {
	if most := playColdInOutage(t, 22, longOutage); float64(most) > allowedWhenCold {
		t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
	}
}

// TestServersThatTurnColdBeforeTheStoreReturnsAreNotFlooded guards against a flood of servers
// that turn cold while the store is away, after it has come back: their records in it are
// those of before until they write them again. Those of an evacuated domain get requests
// again only then.
func TestServersThatTurnColdBeforeTheStoreReturnsAreNotFlooded(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		for seed := range uint64(6) {
			for _, after := range []time.Duration{time.Millisecond, 200 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("evacuated %t, seed %d, back after %v", evacuated, seed, after), func(t *testing.T) {
					o := coldOutage{coldAfter: longOutage.coldAfter, evacuated: evacuated, returnsAfter: after, rewrittenAfter: 1500 * time.Millisecond}
					if most := playColdInOutage(t, seed, o); float64(most) > allowedWhenCold {
						t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
					}
				})
			}
		}
	}
}

// TestServersThatTurnColdInABurstAreNotFlooded guards against a flood of busy servers that turn
// cold while the store is away: responses to older requests were taken for signs that the
// server still has free slots.
func TestServersThatTurnColdInABurstAreNotFlooded(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := longOutage
			o.burst = 1.8
			if most := playColdInOutage(t, seed, o); float64(most) > allowedWhenCold {
				t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
			}
		})
	}
}

// TestServersTakenBackColdAreNotFlooded guards against a flood of servers that turn cold while
// their domain is evacuated, when it is taken back before their records say so.
func TestServersTakenBackColdAreNotFlooded(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := coldOutage{coldAfter: time.Second, evacuated: true, inReach: true, returnsAfter: 500 * time.Millisecond, rewrittenAfter: 2 * time.Second}
			if most := playColdInOutage(t, seed, o); float64(most) > allowedWhenCold {
				t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
			}
		})
	}
}

// TestStartedGatewaysDoNotFloodColdServers guards against a flood of servers that turn cold
// while the store is away, from gateways that start when it is back and know of no outage.
func TestStartedGatewaysDoNotFloodColdServers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := coldOutage{coldAfter: longOutage.coldAfter, restarted: true, returnsAfter: 500 * time.Millisecond, rewrittenAfter: 1500 * time.Millisecond}
			if most := playColdInOutage(t, seed, o); float64(most) > allowedWhenCold {
				t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
			}
		})
	}
}

// TestServersThatTurnColdEarlyInAnOutageAreNotFlooded guards against a flood of servers that
// turn cold just after the store has gone away, when gateways still take what they know for
// current.
func TestServersThatTurnColdEarlyInAnOutageAreNotFlooded(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range uint64(6) {
			for _, after := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("silent %t, seed %d, cold after %v", silent, seed, after), func(t *testing.T) {
					o := coldOutage{silent: silent, coldAfter: after}
					if most := playColdInOutage(t, seed, o); float64(most) > allowedWhenCold {
						t.Errorf("a cold server got %d requests in a second, %v are allowed", most, allowedWhenCold)
					}
				})
			}
		}
	}
}
