//go:build !race

package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// Guards against a gateway that starts after the store came back from a copy, and serves for keys
// that hold in the copy only.
func TestStartedGatewayServesNoKeyOfAnEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t)
		servers := &fakeServers{answer: func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil }}
		w.forwarder = func(string) forwardProber { return servers }
		w.store.set("config", encode(customerConfig(1, []string{secretKey})), "")
		for _, d := range testDomains {
			w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
		}
		w.addPerDomain(1)
		defer synctest.Wait()
		defer w.stopAll()
		time.Sleep(8 * time.Second)
		c := w.store.copy()
		w.store.set("config", encode(customerConfig(2, []string{"new"})), "")
		time.Sleep(drainBound)
		w.restored(c)
		late := w.add("a1-late", "a1")
		statuses := map[int]int{}
		for range 400 {
			r := httptest.NewRequest("GET", "/get/", nil)
			r.Host = "h"
			r.Header.Set("Key", secretKey)
			r.Header.Set("Left", "100ms")
			answer := httptest.NewRecorder()
			late.node.ServeHTTP(answer, r)
			statuses[answer.Code]++
			time.Sleep(10 * time.Millisecond)
		}
		if statuses[200] > 0 || statuses[401] == 0 {
			t.Errorf("statuses %v for a key of an earlier version", statuses)
		}
	})
}
