package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	peerv1 "cassiatray/proto/peer/v1"
)

// customersConfig writes a configuration with customers; the key of each is its name.
func (w *testCluster) customersConfig(version uint64, customers ...routing.Customer) {
	for i := range customers {
		customers[i].Keys = []string{customers[i].Name}
	}
	w.store.set("config", encode(plainConfig{
		Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: testRoutes(), Customers: customers,
	}), "")
}

// quotaCluster starts two gateways per failure domain and a server in each.
func quotaCluster(t *testing.T, customers ...routing.Customer) *testCluster {
	w := newTestCluster(t)
	w.latency = 5 * time.Millisecond
	w.customersConfig(1, customers...)
	for _, d := range testDomains {
		w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Slots: 1000})
	}
	servers := &fakeServers{}
	w.forwarder = func(string) forwardProber { return servers }
	w.addPerDomain(2)
	w.waitFor(20*time.Second, "all gateways know each other", func() bool {
		for _, h := range w.hosts {
			if len(h.keeper.View().members) != len(w.hosts) || !h.routesTo("i-a1") {
				return false
			}
		}
		return true
	})
	return w
}

func (w *testCluster) stopQuotas() {
	for _, h := range w.hosts {
		h.node.cancel()
		h.node.background.Wait()
	}
	w.stopAll()
	// Pulls under way end.
	time.Sleep(2 * time.Second)
}

// quotaAsks returns how many asks gateways have sent each other, and the bytes of these and the
// replies.
func (w *testCluster) quotaAsks() (asks, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asks, w.askBytes
}

// admits plays one request of a customer at a gateway up to the quota.
func (h *testHost) admits(customer string) (bool, time.Duration) {
	v := h.keeper.View()
	r := httptest.NewRequest("GET", "http://h/get/", nil)
	req := &inflightRequest{start: time.Now(), view: v, route: matchRoute(v.config, r), admission: admission{customer: v.config.Customer(customer)}}
	return h.node.quotas.admit(h.node.ctx, req)
}

// TestQuotaHoldsOverGateways guards against gateways that each admit the whole limit, and against
// requests that are refused without a time to come back.
func TestQuotaHoldsOverGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quotaCluster(t, routing.Customer{Name: "c", Rate: 100, Burst: 20}, routing.Customer{Name: "free"})
		defer w.stopQuotas()
		var mu sync.Mutex
		admitted, refused := 0, 0
		var wg sync.WaitGroup
		for range 250 {
			for _, h := range w.hosts {
				wg.Go(func() {
					ok, after := h.admits("c")
					free, _ := h.admits("free")
					mu.Lock()
					defer mu.Unlock()
					switch {
					case !free:
						t.Error("a customer without a limit was refused")
					case ok:
						admitted++
					case after <= 0 || after > 10*time.Second:
						t.Errorf("refused for %v", after)
					default:
						refused++
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		if most := (100*5+20)*1.1 + 20; float64(admitted) > most || admitted < 400 || refused == 0 {
			t.Errorf("%d admitted and %d refused in 5 s, %.0f are allowed", admitted, refused, most)
		}
	})
}

// TestQuotasCostNothingWithoutLimits guards against messages and goroutines for deployments whose
// customers have no limit, and against asks that go on when the last limit is gone.
func TestQuotasCostNothingWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quotaCluster(t, routing.Customer{Name: "free"})
		defer w.stopQuotas()
		ctx := t.Context()
		for _, h := range w.hosts {
			go h.node.watchQuotas(ctx)
		}
		asks := func() int {
			before, _ := w.quotaAsks()
			for _, h := range w.hosts {
				h.admits("free")
			}
			time.Sleep(5 * time.Second)
			after, _ := w.quotaAsks()
			return after - before
		}
		if n := asks(); n > 0 {
			t.Errorf("%d asks without a limit", n)
		}
		w.customersConfig(2, routing.Customer{Name: "c", Rate: 5}, routing.Customer{Name: "free"})
		time.Sleep(3 * time.Second)
		if n, least := asks(), (len(w.hosts)-1)*5; n < least || n > 3*least {
			t.Errorf("%d asks of %d idle gateways in 5 s", n, len(w.hosts))
		}
		w.customersConfig(3, routing.Customer{Name: "free"})
		time.Sleep(3 * time.Second)
		if n := asks(); n > 0 {
			t.Errorf("%d asks after the last limit is gone", n)
		}
	})
}

// TestQuotaRefusalPrecedesTheBody guards against a refused request whose body is read, whose
// answer is not 429 with Retry-After, or that reaches a server.
func TestQuotaRefusalPrecedesTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		defer f.stop()
		f.keeper.Apply([]mirror.Record{{Key: "config", Revision: 20, Read: time.Now(), Value: encode(plainConfig{
			Version: 2, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: testRoutes(),
			Customers: []routing.Customer{{Name: "c", Keys: []string{"k"}, Rate: 0.01}},
		})}}, 20, "store", time.Now())
		// The only admission of the fallback comes after 100 s: no gateway is known.
		for range 3 {
			body := &countingReader{Reader: strings.NewReader("body")}
			r := httptest.NewRequestWithContext(t.Context(), "POST", "/post/", body)
			r.Host, r.ContentLength = "h", 4
			r.Header.Set("Key", "k")
			r.Header.Set("Left", "400ms")
			w := httptest.NewRecorder()
			f.node.quotas.client.Admit(time.Now(), "c", limitOfCustomer(f.keeper.View().config.Customer("c")), 1, false)
			f.node.ServeHTTP(w, r)
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if w.Code != http.StatusTooManyRequests || err != nil || after <= 0 || body.read > 0 {
				t.Errorf("status %d, Retry-After %q, %d bytes of the body read", w.Code, w.Header().Get("Retry-After"), body.read)
			}
		}
		if f.servers.count() > 0 {
			t.Errorf("%d requests reached a server", f.servers.count())
		}
	})
}

// countingReader counts what is read.
type countingReader struct {
	*strings.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// TestQuotasOutliveTheIssuer guards against customers that are refused, or unbounded, when their
// issuer does not reply.
func TestQuotasOutliveTheIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quotaCluster(t, routing.Customer{Name: "c", Rate: 200, Burst: 50})
		defer w.stopQuotas()
		count := func(span time.Duration) (admitted, all int) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				for _, h := range w.hosts {
					if ok, _ := h.admits("c"); ok {
						admitted++
					}
					all++
				}
			}
			return admitted, all
		}
		count(5 * time.Second)
		first := w.hosts["a1-0"].node.quotas.dump(time.Now()).Issuers
		w.setSilent(true, first[0])
		if n, all := count(5 * time.Second); n < all*8/10 {
			t.Errorf("%d of %d requests within the limit admitted while the issuer is silent", n, all)
		}
		w.setSilent(true, first[1])
		count(10 * time.Second)
		// The two ask themselves, and get the part of one gateway for 10 requests a second. The others
		// admit 0.08 of their even part of 200 a second, and one each at once.
		if n, _ := count(5 * time.Second); n > 2*50+10*7+10 || n < 2*50+10*3 {
			t.Errorf("%d requests admitted without an issuer", n)
		}
	})
}

// TestQuotaCountsRelayedRequestsOnce guards against a relayed request that counts at the helper, too.
func TestQuotaCountsRelayedRequestsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "a1-1")
		defer w.stopQuotas()
		w.customersConfig(2, routing.Customer{Name: "c", Rate: 1000, Burst: 1000})
		time.Sleep(time.Second)
		for range 10 {
			r := httptest.NewRequestWithContext(t.Context(), "GET", "/get/", nil)
			r.Host = "h"
			r.Header.Set("Key", "c")
			r.Header.Set("Left", "1200ms")
			rec := httptest.NewRecorder()
			w.hosts["a1-0"].node.ServeHTTP(rec, r)
			if rec.Code != http.StatusOK {
				t.Errorf("status %d", rec.Code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		now := time.Now()
		origin, helper := w.hosts["a1-0"].node.quotas.dump(now), w.hosts["a1-1"].node.quotas.dump(now)
		if len(origin.Customers) != 1 || len(helper.Customers) != 0 || w.servers.count() != 10 {
			t.Errorf("%d requests served, customers %v at the origin and %v at the helper", w.servers.count(), origin.Customers, helper.Customers)
		}
	})
}

// TestUnintroducedGatewaysGrantLittle guards against gateways that start while the store is away,
// know only themselves and each grant the whole limit.
func TestUnintroducedGatewaysGrantLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		defer f.stop()
		now := time.Now()
		f.keeper.born = now
		f.keeper.Hear(f.node.syncer.self(), now, now)
		f.node.quotas.issue(&peerv1.QuotaAsk{}, "g")
		if share := f.node.quotas.ledger.Share(); share > 1.0/unknownGateways {
			t.Errorf("share %.3f of the limits to a gateway that knows no other", share)
		}
		time.Sleep(introductionTime + time.Millisecond)
		f.node.quotas.issue(&peerv1.QuotaAsk{}, "g")
		if share := f.node.quotas.ledger.Share(); share < 0.5 && len(f.keeper.View().reaching) > 0 {
			t.Errorf("share %.3f later", share)
		}
	})
}
