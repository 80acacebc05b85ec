//go:build !race

package gateway

import (
	"fmt"
	"testing"
	"time"

	"cassiatray/internal/core/fleet"
)

// countDown writes the record of a cold server as the server does, until it is warm.
func (w *testCluster) countDown(r fleet.Record) {
	const step = 500 * time.Millisecond
	for ; r.Cold > 0; r.Cold -= step {
		r.Beat++
		w.setServer(r)
		time.Sleep(step)
	}
	r.Cold = 0
	w.setServer(r)
	time.Sleep(time.Second)
}

// TestSecondColdSpellIsKnownToAllGateways guards against requests to a cold server from
// gateways that take it for warm: those that pull from a hub dropped the record of a second
// cold spell that was no longer than the first.
func TestSecondColdSpellIsKnownToAllGateways(t *testing.T) {
	// A hub's watch, and the pull of it from another region.
	const known = 2*watchPause + 3*gather
	for _, second := range []time.Duration{3 * time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(second), func(t *testing.T) {
			play(t, 2, func(w *testCluster) {
				r := fleet.Record{ID: "i-a1", Domain: "a1", Born: 7, Cold: 3 * time.Second}
				w.countDown(r)
				for spell := range 2 {
					r.Cold, r.Beat = second, int64(100*(spell+1))
					w.setServer(r)
					until := time.Now().Add(second)
					time.Sleep(known)
					for name, h := range w.hosts {
						if cold := h.keeper.server("i-a1", 0).remainingCold(time.Now()); cold < time.Until(until) {
							t.Errorf("%s: i-a1 is cold for %v, want %v", name, cold, time.Until(until))
						}
					}
					w.countDown(r)
				}
			})
		})
	}
}
