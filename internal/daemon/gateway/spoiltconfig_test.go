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

// Guards against a gateway that takes a source for lost, or asks for whole values, since other
// versions came while a page was on its way to it.
func TestPageForADroppedBaseIsAskedForAgain(t *testing.T) {
	play(t, 2, func(w *testCluster) {
		w.store.set("config", encode(wideConfig(20, 60)), "")
		time.Sleep(time.Second)
		changed := false
		w.onPage = func(page *peerv1.MirrorPage) {
			for r := range recordsOfPage(page) {
				if len(r.Encoded.GetData()) > 0 && !changed {
					r.Encoded.Base = []byte("a base that is gone")
					changed = true
				}
			}
		}
		w.store.set("config", encode(wideConfig(21, 62)), "")
		w.waitFor(time.Second, "all gateways have version 21", func() bool {
			for _, h := range w.hosts {
				if h.keeper.configVersion() != 21 {
					return false
				}
			}
			return true
		})
		if !changed {
			t.Error("no page had another base")
		}
		for name, h := range w.hosts {
			if h.syncer.pullsPlain(time.Now()) || len(h.syncer.failedNow()) > 0 {
				t.Errorf("%s pulls plain values or has lost %v", name, h.syncer.failedNow())
			}
		}
	})
}
