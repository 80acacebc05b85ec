//go:build !race

package gateway

import (
	"slices"
	"testing"
	"time"

	peerv1 "cassiatray/proto/peer/v1"
)

// Guards against a configuration that cannot be decoded and is taken in all the same, or that keeps
// a gateway from its sources.
func TestSpoiltConfigurationsAreAskedForPlain(t *testing.T) {
	play(t, 2, func(w *testCluster) {
		spoilt := 0
		w.onPage = func(page *peerv1.MirrorPage) {
			for r := range recordsOfPage(page) {
				if r.Encoded != nil && len(r.Encoded.Data) > 0 {
					r.Encoded.Data = slices.Concat(r.Encoded.Data[:len(r.Encoded.Data)/2], []byte("spoilt"))
					spoilt++
				}
			}
		}
		w.store.set("config", encode(wideConfig(20, 62)), "")
		w.waitFor(5*time.Second, "all gateways have version 20", func() bool {
			for _, h := range w.hosts {
				if h.keeper.configVersion() != 20 {
					return false
				}
			}
			return true
		})
		if spoilt == 0 {
			t.Error("no page was spoilt")
		}
	})
}
