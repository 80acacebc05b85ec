package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/membudget"
)

// heldRecorder is a caller's answer whose request holds bytes of a budget.
type heldRecorder struct {
	*httptest.ResponseRecorder
	hold  membudget.Holder
	gave  bool
	ended int
}

func (w *heldRecorder) Hold() *membudget.Holder { return &w.hold }

func (w *heldRecorder) GiveUpBody() { w.gave = true }

// EndForOthers implements membudget.Owner.
func (w *heldRecorder) EndForOthers(membudget.Phase) { w.ended++ }

// Guards against a refusal for lack of memory that is no promise, that names no time, or after
// which the body is read on, and against a request that is refused although there is room.
func TestRefusedForLackOfMemory(t *testing.T) {
	for size, want := range map[int]int{0: 200, 100: 200, 60_000: 200, 200_000: 503, 2_000_000: 503} {
		synctest.Test(t, func(t *testing.T) {
			w := newRelayWorld(t, "a1-1")
			defer w.stopAll()
			w.links.set(func(string, string) linkFault { return linkWell })
			time.Sleep(2 * time.Second)
			budget := membudget.New(100 << 10)
			got := &heldRecorder{ResponseRecorder: httptest.NewRecorder()}
			got.hold.Init(budget, time.Now(), got)
			r := httptest.NewRequestWithContext(t.Context(), "POST", "/post/", bytes.NewReader(make([]byte, size)))
			r.Host = "h"
			r.Header.Set("Id", "1")
			r.Header.Set("Left", "1200ms")
			before := w.servers.count()
			w.hosts["a1-0"].node.ServeHTTP(got, r)
			refused := want == http.StatusServiceUnavailable
			if got.Code != want || (w.servers.count() == before) != refused {
				t.Errorf("%d bytes: status %d, %d arrivals", size, got.Code, w.servers.count()-before)
			}
			if refused != got.gave || refused && (got.Header().Get("Retry-After") == "" || got.Header().Get("Connection") != "close") {
				t.Errorf("%d bytes: body given up %v, %v", size, got.gave, got.Header())
			}
			if budget.Held() > budget.Limit() {
				t.Errorf("%d bytes: %d held", size, budget.Held())
			}
		})
	}
}

// Guards against the body of a relayed request for which the helper has no memory: it must not
// run, the other gateway must not wait for it, and its memory is freed.
func TestRelayedBodyWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "a1-1")
		defer w.stopAll()
		budget := membudget.New(100 << 10)
		w.hosts["a1-1"].node.memory = budget
		start := time.Now()
		answer := w.hosts["a1-0"].send(t.Context(), "POST", "/post/", bytes.NewReader(make([]byte, 200_000)))
		if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" || w.servers.count() != 0 {
			t.Errorf("status %d, %v, with %d arrivals", answer.Code, answer.Header(), w.servers.count())
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("took %v", took)
		}
		synctest.Wait()
		if budget.Held() != 0 {
			t.Errorf("%d bytes still held", budget.Held())
		}
	})
}
