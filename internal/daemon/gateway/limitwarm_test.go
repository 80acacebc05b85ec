package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// warmLink is the way to simulatedServers, some of which name limits.
type warmLink struct {
	*simulatedServers
	limit func(address string) *float64
}

// Forward implements port.Forwarder.
func (l warmLink) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	a, err := l.simulatedServers.Forward(ctx, address, req)
	if err == nil {
		a.Meta.Limit = l.limit(address)
	}
	return a, err
}

// TestServersWithoutLimitStayWarm checks the service while two thirds of the servers name
// limits at half of their load. The others bear the rest at nine tenths of their slots,
// as long as they are warm: if requests spilled to a server that is cold for them whenever
// theirs is busy, each server would run more objects than it can cache.
func TestServersWithoutLimitStayWarm(t *testing.T) {
	const (
		coldRun   = 240 * time.Millisecond
		target    = 250 * time.Millisecond
		cacheSize = 50
		slots     = 3
		perDomain = 3
		objects   = 70 // in each region
		limit     = 7.0
		perSecond = 300
		// The limits begin at limitsAt; the requests from settledAt on are judged.
		limitsAt  = 8 * time.Second
		settledAt = 12 * time.Second
		end       = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		servers := newSimulatedServers(slots, cacheSize, coldRun)
		w := newTestCluster(t)
		var start time.Time
		w.forwarder = func(string) forwardProber {
			return warmLink{servers, func(address string) *float64 {
				if rate := limit; time.Since(start) > limitsAt && !strings.Contains(address, "-0:") {
					return &rate
				}
				return nil
			}}
		}
		w.store.set("config", encode(plainConfig{
			Version: 1, Services: []routing.Service{{Name: "s"}},
			Routes: []routing.Route{{
				Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Sticky: true, Target: target, Timeout: 1200 * time.Millisecond,
				Parts: []routing.Part{{Service: "s", Weight: 1}},
			}},
		}), "")
		for _, d := range testDomains {
			for i := range perDomain {
				w.setServer(fleet.Record{ID: fmt.Sprintf("i-%s-%d", d.Domain, i), Domain: d.Domain, Slots: slots})
			}
		}
		w.addPerDomain(perDomain)
		defer w.stopAll()
		time.Sleep(2 * time.Second)
		start = time.Now()
		random := rand.New(rand.NewPCG(7, 7))
		var mu sync.Mutex
		var wg sync.WaitGroup
		var all, inTime, late, refused int
		for time.Since(start) < end {
			time.Sleep(time.Second / perSecond)
			h := w.anyHost(random)
			r := httptest.NewRequest(http.MethodGet, "/x", strings.NewReader(""))
			r.Host = "h"
			r.Header.Set("Left", "1200ms")
			r.Header.Set("Object", fmt.Sprint(h.cfg.Region, random.IntN(objects)))
			wg.Go(func() {
				begun := time.Now()
				answer := httptest.NewRecorder()
				h.node.ServeHTTP(answer, r)
				mu.Lock()
				defer mu.Unlock()
				if begun.Sub(start) < settledAt {
					return
				}
				all++
				switch {
				case answer.Code != http.StatusOK:
					refused++
				case time.Since(begun) > target:
					late++
				default:
					inTime++
				}
			})
		}
		wg.Wait()
		if inTime < all*8/10 {
			t.Errorf("of %d requests %d were in time, %d late and %d rejected", all, inTime, late, refused)
		}
	})
}
