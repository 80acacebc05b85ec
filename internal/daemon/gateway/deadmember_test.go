package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	peerv1 "cassiatray/proto/peer/v1"
)

// deadBound is how soon after a gateway's death no directory may name it: operators allow the time
// until the store counts as stable, and 3 s.
const deadBound = 4*time.Second + 3*time.Second

// Guards against ages that add up: a gateway that was killed is known until its lease lapses, and
// no longer because an evacuation ended meanwhile, whenever that was.
func TestEvacuationsDoNotKeepTheDead(t *testing.T) {
	for after := time.Duration(0); after <= 7*time.Second; after += 500 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(t)
				w.setConfig(1)
				for _, d := range testDomains {
					w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
				}
				w.addPerDomain(2)
				time.Sleep(5 * time.Second)
				w.store.set("evacuate/c2", []byte("{}"), "")
				time.Sleep(3 * time.Second)
				killed := time.Now()
				w.kill("a2-1")
				time.AfterFunc(after, func() { w.store.set("evacuate/c2", nil, "") })
				time.Sleep(deadBound)
				for name, h := range w.hosts {
					if slices.ContainsFunc(h.keeper.View().members, func(m *peerv1.GatewayMember) bool { return m.Host == "a2-1" }) {
						t.Errorf("%s knows it %v after its death", name, time.Since(killed))
					}
				}
				w.stopAll()
				synctest.Wait()
			})
		})
	}
}
