//go:build !race

package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// TestWordOfAServerThatLeavesIsPassedOn checks that all gateways act on a server's word that
// it leaves within the bound, also while the store is away and those that never asked it.
func TestWordOfAServerThatLeavesIsPassedOn(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprintf("store away=%t", away), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := newSignallingServers()
				w := newTestCluster(t)
				w.forwarder = func(string) forwardProber { return servers }
				w.setConfig(1)
				for _, d := range testDomains {
					w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Born: 7})
				}
				w.addPerDomain(2)
				defer synctest.Wait()
				defer w.stopAll()
				time.Sleep(8 * time.Second)
				w.store.turnAway(away)
				time.Sleep(5 * time.Second)
				h := w.hosts["b2-1"]
				h.node.recordSignals(h.keeper.server("i-a1", 0), port.ServerMeta{Leaving: true}, time.Now())
				w.waitFor(drainBound, "all gateways know that i-a1 leaves", func() bool {
					for _, h := range w.hosts {
						if !h.keeper.server("i-a1", 0).isLeaving() {
							return false
						}
					}
					return true
				})
			})
		})
	}
}
