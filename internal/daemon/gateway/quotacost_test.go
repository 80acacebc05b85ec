package gateway

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/routing"
)

// TestQuotaCost reports what quotas cost a gateway among 12 at 0 to 10,000 customers, each with a
// request every ten seconds at every gateway, and guards against messages that grow with the
// requests.
func TestQuotaCost(t *testing.T) {
	const span = 10 * time.Second
	for _, customers := range []int{0, 76, 1000, 10000} {
		t.Run(fmt.Sprint(customers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var list []routing.Customer
				for i := range customers {
					list = append(list, routing.Customer{Name: fmt.Sprintf("customer-%05d", i), Rate: 2, Burst: 2})
				}
				w := quotaCluster(t, list...)
				defer w.stopQuotas()
				for _, h := range w.hosts {
					go h.node.watchQuotas(t.Context())
				}
				time.Sleep(2 * time.Second)
				before := heapInUse()
				asks, bytes := w.quotaAsks()
				begun := time.Now()
				for i := range customers {
					for _, h := range w.hosts {
						v := h.keeper.View()
						c := v.config.Customer(list[i].Name)
						h.node.quotas.admit(context.Background(), &inflightRequest{view: v, route: &routing.Route{}, admission: admission{customer: c}})
					}
					time.Sleep(span / time.Duration(customers))
				}
				// Measured before accounts without requests are forgotten.
				perCustomer := float64(heapInUse()-before) / float64(max(1, customers*len(w.hosts)))
				time.Sleep(span - time.Since(begun))
				seconds := time.Since(begun).Seconds() * float64(len(w.hosts))
				asksAfter, bytesAfter := w.quotaAsks()
				rate := float64(asksAfter-asks) / seconds
				t.Logf("%d customers: %.1f asks a second and gateway, %.0f bytes a second and gateway in asks and replies, %.0f bytes a customer and gateway",
					customers, rate, float64(bytesAfter-bytes)/seconds, perCustomer)
				if customers == 0 && rate > 0 || rate > 5 {
					t.Errorf("%.1f asks a second and gateway", rate)
				}
			})
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
