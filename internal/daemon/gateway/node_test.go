package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
)

func TestForwardsUnchanged(t *testing.T) {
	f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
	w := f.do("GET", "/get/a%2Fb?x=1&y", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Id", "77")
	if w.Code != 200 || w.Body.String() != "body" || w.Header().Get("Stamp") != "s" {
		t.Fatalf("response %d %q %v", w.Code, w.Body, w.Header())
	}
	s := f.servers.sent[0]
	if s.req.URI != "/get/a%2Fb?x=1&y" || s.req.ID != "77" || s.req.Header.Get("X-End") != "2" {
		t.Errorf("forwarded %+v", s.req)
	}
	if s.req.Header.Get("X-Hop") != "" || s.req.Header.Get("Connection") != "" {
		t.Errorf("forwarded hop-by-hop headers: %v", s.req.Header)
	}
	if s.req.Header.Get("Instance") != s.server {
		t.Errorf("addressed to %q, sent to %q", s.req.Header.Get("Instance"), s.server)
	}
	if left, _ := time.ParseDuration(s.req.Header.Get("Left")); left <= 0 || left > 1200*time.Millisecond {
		t.Errorf("server received a timeout of %v, the route's is 1.2 s", left)
	}
}

// TestStatusAndAttemptsByOutcome checks, for sequences of attempt results, the status that
// the caller receives and the number of attempts.
func TestStatusAndAttemptsByOutcome(t *testing.T) {
	type result struct {
		answer *port.ForwardAnswer
		err    error
	}
	ran, lost, unsent, refused := result{answer: okAnswer()}, result{err: brokenError(true)}, result{err: brokenError(false)}, result{answer: notRunAnswer()}
	failed := result{answer: statusAnswer(500)}
	for _, x := range []struct {
		name, method, path string
		results            []result
		status, sent       int
	}{
		{"answered", "POST", "/post/1", []result{ran}, 200, 1},
		{"not idempotent, lost", "POST", "/post/1", []result{lost, ran}, 502, 1},
		{"not idempotent, not sent", "POST", "/post/1", []result{unsent, ran}, 200, 2},
		{"not idempotent, refused", "POST", "/post/1", []result{refused, ran}, 200, 2},
		{"not idempotent, refused by all", "POST", "/post/1", []result{refused, refused, refused, refused}, 503, 4},
		{"not idempotent, refused then lost", "POST", "/post/1", []result{refused, lost}, 502, 2},
		{"not idempotent, server failed", "POST", "/post/1", []result{failed}, 500, 1},
		{"idempotent, lost", "GET", "/get/1", []result{lost, ran}, 200, 2},
		{"idempotent, lost twice", "GET", "/get/1", []result{lost, lost, ran}, 502, 2},
		{"idempotent, lost then refused", "GET", "/get/1", []result{lost, refused, refused, refused}, 502, 4},
		{"idempotent, lost, then not sent", "GET", "/get/1", []result{lost, unsent, ran}, 200, 3},
		{"idempotent, server failed", "GET", "/get/1", []result{failed, ran}, 200, 2},
		{"idempotent, server failed then refused", "GET", "/get/1", []result{failed, refused, refused, refused}, 500, 4},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
				r := x.results[min(n, len(x.results))-1]
				return r.answer, r.err
			})
			w := f.do(x.method, x.path)
			if w.Code != x.status || f.servers.count() != x.sent {
				t.Errorf("status %d after %d attempts, want %d after %d", w.Code, f.servers.count(), x.status, x.sent)
			}
			if (w.Header().Get("Retry-After") != "") != (x.status == 503) {
				t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
			}
			seen := map[string]int{}
			for i, s := range f.servers.sent {
				seen[s.server]++
				// Only a server that lost a response is tried a second time.
				if i > 0 && seen[s.server] > 1 && x.results[0] != lost {
					t.Errorf("sent twice to %s", s.server)
				}
			}
		})
	}
}

// TestRouteTimeout checks that the caller receives a response soon after the route's timeout
// if the server sends none.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(ctx context.Context, _ int, _ string) (*port.ForwardAnswer, error) {
			<-ctx.Done()
			return nil, &port.BackendError{Code: port.BackendTimeout, Sent: true, Err: ctx.Err()}
		})
		defer f.stop()
		for path, limit := range map[string]time.Duration{"/get/1": 1200 * time.Millisecond, "/post/1": 1500 * time.Millisecond} {
			start := time.Now()
			w := f.do("POST", path)
			// Operators allow a quarter of a second.
			if took := time.Since(start); took > limit+250*time.Millisecond || w.Code != 504 {
				t.Errorf("%s: %d after %v", path, w.Code, took)
			}
		}
	})
}

// TestCallerDisconnects checks that an idempotent request is canceled when its caller
// disconnects, and that other requests are not.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for path, cancelled := range map[string]bool{"/get/1": true, "/post/1": false} {
			ended := make(chan bool, 1)
			f := newFixture(func(ctx context.Context, _ int, _ string) (*port.ForwardAnswer, error) {
				select {
				case <-ctx.Done():
					ended <- true
					return nil, &port.BackendError{Code: port.BackendCanceled, Sent: true, Err: ctx.Err()}
				case <-time.After(time.Second):
					ended <- false
					return okAnswer(), nil
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			f.doContext(ctx, "POST", path)
			cancel()
			if got := <-ended; got != cancelled {
				t.Errorf("%s: canceled %t", path, got)
			}
			if n := f.servers.count(); n != 1 {
				t.Errorf("%s: %d attempts", path, n)
			}
			f.stop()
		}
	})
}

// TestUnknownRoute checks that an unknown route is answered with 404 only if the view is
// recent.
func TestUnknownRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		if w := f.do("GET", "/none/"); w.Code != 404 {
			t.Errorf("recent view: %d", w.Code)
		}
		time.Sleep(5 * time.Second)
		if w := f.do("GET", "/none/"); w.Code != 503 {
			t.Errorf("old view: %d", w.Code)
		}
	})
	empty := NewNode(testSettings("g", "a1", 1), NewKeeper(testSettings("g", "a1", 1), plainSchema{}, discardLog()), plainDialect{}, nil, nil, nil, nil, discardLog(), NewMetrics(prometheus.NewRegistry()))
	w := httptest.NewRecorder()
	empty.ServeHTTP(w, httptest.NewRequest("GET", "/get/", nil))
	if w.Code != 503 {
		t.Errorf("without a configuration: %d", w.Code)
	}
}

// TestRequestsWaitForInitialView checks that requests that arrive while a gateway loads its
// view, as after a power loss, are served as soon as it is loaded, and are rejected early
// enough to be sent to another gateway if it is not.
func TestRequestsWaitForInitialView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		full := f.keeper
		var records []mirror.Record
		full.mirror.Each("", func(r mirror.Record) { records = append(records, r) })
		f.node.keeper = NewKeeper(testSettings("g", "a1", 1), plainSchema{}, discardLog())
		start := time.Now()
		if w := f.do("GET", "/get/1"); w.Code != 503 || time.Since(start) > 700*time.Millisecond {
			t.Errorf("without a view: %d after %v", w.Code, time.Since(start))
		}
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.node.keeper.Load(records, 10, time.Now())
			time.Sleep(100 * time.Millisecond)
			f.node.keeper.Apply(nil, 11, "store", time.Now())
		}()
		start = time.Now()
		if w := f.do("GET", "/get/1"); w.Code != 200 || time.Since(start) < 400*time.Millisecond {
			t.Errorf("while the view is loaded: %d after %v", w.Code, time.Since(start))
		}
	})
}

// Guards against requests that end for want of retries although none of their attempts left the
// host: those to servers that no connection can be opened to draw on no budget.
func TestAttemptsThatNeverLeftCostNoRetries(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   bool
		status int
	}{{"never left", false, 200}, {"broke at the server", true, 502}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(func(_ context.Context, n int, address string) (*port.ForwardAnswer, error) {
				if n > 1 {
					return okAnswer(), nil
				}
				if c.sent {
					return nil, brokenError(true)
				}
				return nil, &port.BackendError{Code: port.BackendConnect, Address: address, Err: syscall.ETIMEDOUT}
			})
			f.node.bounds.Store(&Bounds{RetryWindow: document.Duration(defaultRetryWindow)})
			if w := f.do("GET", "/get/1"); w.Code != c.status {
				t.Errorf("%d, want %d", w.Code, c.status)
			}
		})
	}
}

func TestRequestSizeLimits(t *testing.T) {
	f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
	if w := f.do("GET", "/get/", "X-Long", strings.Repeat("x", 5<<10)); w.Code != 431 {
		t.Errorf("long headers: %d", w.Code)
	}
	r := httptest.NewRequest("POST", "/post/", strings.NewReader(strings.Repeat("x", 2<<20)))
	r.Host = "h"
	w := httptest.NewRecorder()
	f.node.ServeHTTP(w, r)
	if w.Code != 413 || f.servers.count() != 0 {
		t.Errorf("long body: %d after %d attempts", w.Code, f.servers.count())
	}
}

// TestHomeRegions checks that a route with home regions is not served in any other region,
// even if the servers there are unreachable.
func TestHomeRegions(t *testing.T) {
	f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return nil, brokenError(true) })
	for i := range 40 {
		f.do("GET", "/home/", "Object", fmt.Sprint(i))
	}
	for _, s := range f.servers.sent {
		if !strings.HasPrefix(s.server, "i-b") {
			t.Fatalf("sent to %s", s.server)
		}
	}
	if f.servers.count() == 0 {
		t.Fatal("no attempt")
	}
}

// TestRetryAvoidsDrainedServer checks that a retry uses the current view: servers that
// started draining after the first attempt receive no retry.
func TestRetryAvoidsDrainedServer(t *testing.T) {
	var f *fixture
	f = newFixture(func(_ context.Context, n int, address string) (*port.ForwardAnswer, error) {
		if n > 1 {
			return okAnswer(), nil
		}
		var records []mirror.Record
		for i, d := range testDomains[:5] {
			records = append(records, f.serverRecord(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, State: fleet.Draining}, uint64(20+i)))
		}
		f.keeper.Apply(records, 30, "store", time.Now())
		return notRunAnswer(), nil
	})
	w := f.do("GET", "/get/1")
	for _, s := range f.servers.sent[1:] {
		if s.server != "i-c2" {
			t.Errorf("sent to %s, which is draining", s.server)
		}
	}
	if w.Code == 200 && f.servers.count() != 2 {
		t.Errorf("status %d after %d attempts", w.Code, f.servers.count())
	}
}

func TestReload(t *testing.T) {
	f := newFixture(nil)
	f.node.reload(func() (*Settings, error) { return nil, io.EOF })
	if f.node.bounds.Load().RetryExtra != 100 {
		t.Error("invalid settings changed the bounds")
	}
	f.node.reload(func() (*Settings, error) { return &Settings{Bounds: Bounds{RetryExtra: 7}}, nil })
	if f.node.bounds.Load().RetryExtra != 7 {
		t.Error("the bounds did not change")
	}
}

// Guards against uploads that callers break off and that count against their server, and against
// 502 for one that is over the limit in what was not buffered.
func TestBrokenBodiesAreNoFailureOfServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		status int
	}{
		{"broken off", io.ErrUnexpectedEOF, http.StatusOK},
		{"over the limit", &http.MaxBytesError{Limit: 1 << 20}, http.StatusRequestEntityTooLarge},
	} {
		f := newFixture(func(_ context.Context, _ int, _ string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		f.servers.answer = func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
			f.servers.mu.Lock()
			rest := f.servers.sent[n-1].req.Rest
			f.servers.mu.Unlock()
			_, err := io.Copy(io.Discard, rest)
			return nil, &port.BackendError{Code: port.BackendCanceled, Sent: true, Err: err}
		}
		for range 5 {
			body := io.MultiReader(bytes.NewReader(make([]byte, maxBufferedBody+1)), iotest.ErrReader(c.err))
			r := httptest.NewRequest("POST", "/post/", body)
			r.Host = "h"
			w := httptest.NewRecorder()
			f.node.ServeHTTP(w, r)
			// A recorder shows 200 for no answer at all.
			if w.Code != c.status || w.Code == http.StatusOK && len(w.Result().Header) > 0 {
				t.Errorf("%s: status %d", c.name, w.Code)
			}
		}
		for _, s := range f.keeper.Servers() {
			if s.isDown() {
				t.Errorf("%s: %s counts as unreachable", c.name, s.rec().ID)
			}
		}
		if !f.keeper.reports.Empty() {
			t.Errorf("%s: a crash was reported", c.name)
		}
	}
}
