package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/routing"
)

// TestQuotasAfterARestart guards against requests within their customer's limit that are refused
// after all gateways have started anew.
func TestQuotasAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quotaCluster(t, routing.Customer{Name: "c", Rate: 160, Burst: 160})
		defer w.stopQuotas()
		play := func(span time.Duration) (admitted, refused int) {
			var mu sync.Mutex
			var wg sync.WaitGroup
			for end := time.Now().Add(span); time.Now().Before(end); {
				for _, h := range w.hosts {
					if h.keeper.View().config == nil {
						continue
					}
					wg.Go(func() {
						ok, _ := h.admits("c")
						mu.Lock()
						defer mu.Unlock()
						if ok {
							admitted++
						} else {
							refused++
						}
					})
				}
				time.Sleep(120 * time.Millisecond)
			}
			wg.Wait()
			return admitted, refused
		}
		a, r := play(5 * time.Second)
		t.Logf("before: %d %d", a, r)
		for name := range w.hosts {
			h := w.hosts[name]
			h.node.cancel()
			w.kill(name)
			h.node.background.Wait()
		}
		time.Sleep(time.Second)
		w.addPerDomain(2)
		for s := range 26 {
			a, r := play(time.Second)
			q := w.hosts["a1-0"].node.quotas
			var shares []float64
			for _, h := range w.hosts {
				h.node.quotas.mu.Lock()
				if len(h.node.quotas.ledger.Levels()) > 0 {
					shares = append(shares, h.node.quotas.ledger.Share(), float64(h.node.quotas.ledger.Asking(time.Now())))
				}
				h.node.quotas.mu.Unlock()
			}
			t.Logf("%d: %d %d %v %v", s, a, r, q.plan.count, shares)
		}
	})
}
