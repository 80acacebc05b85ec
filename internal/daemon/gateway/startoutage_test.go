//go:build !race

package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/pace"
)

// TestGatewaysStartedInOutageShareColdServers checks that gateways that list the store and
// then lose it, before any of them could write its record, find each other through the
// seeds, and that a cold server never has several owners meanwhile: each gateway took
// itself for the only one, and all of them sent to it at the rate of its owner.
func TestGatewaysStartedInOutageShareColdServers(t *testing.T) {
	// A gateway serves by its listing alone after loadTrust.
	const found = loadTrust + time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t)
		w.seeds = []string{"10.0.0.1:9", "10.0.0.2:9"}
		w.setConfig(1)
		for _, d := range testDomains {
			w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Cold: time.Minute, Born: 7})
		}
		w.addPerDomain(2)
		time.Sleep(time.Millisecond)
		defer synctest.Wait()
		defer w.stopAll()
		w.store.turnAway(true, "")
		start := time.Now()
		allKnown := func() bool {
			for _, h := range w.hosts {
				if len(h.keeper.View().members) != len(w.hosts) {
					return false
				}
			}
			return true
		}
		for time.Since(start) < 5*found {
			for _, d := range testDomains {
				owners := 0
				for _, h := range w.hosts {
					v := h.keeper.View()
					if v.config != nil && h.node.ownsColdServer(v, h.keeper.server("i-"+d.Domain, 0)) {
						owners++
					}
				}
				if owners > 2 {
					t.Fatalf("%d gateways own i-%s %v after the start", owners, d.Domain, time.Since(start))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.waitFor(0, "all gateways know each other", allKnown)
		if owner := pace.Owner("i-a1", w.hosts["a1-0"].keeper.View().hosts); owner == "" {
			t.Error("nobody owns i-a1")
		}
	})
}
