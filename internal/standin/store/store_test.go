package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call sends one call as a client and returns the status, or 0 when the call
// has no reply.
func call(t *testing.T, h http.Handler, client, method, target, body string) (status int, reply string) {
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	r.Header.Set(ClientHeader, client)
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			status = 0
		}
	}()
	h.ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

func TestFaults(t *testing.T) {
	const put, get = "/v1/kv/k?cas=0", "/v1/kv/k"
	for _, c := range []struct {
		name            string
		faults          Faults
		status          int
		written, counts bool
	}{
		{"none", Faults{}, 200, true, true},
		{"down", Faults{Down: true}, 503, false, true},
		{"watches down", Faults{WatchesDown: true}, 200, true, true},
		{"reply lost", Faults{LoseReplies: 1}, 0, true, true},
		{"cut", Faults{Cut: []string{"h1"}}, 0, false, false},
		{"another cut", Faults{Cut: []string{"h2"}}, 200, true, true},
	} {
		s := New()
		s.SetFaults(c.faults)
		status, _ := call(t, s.Handler(), "h1", http.MethodPut, put, "v")
		counted := s.Counts().Writes == 1
		s.SetFaults(Faults{})
		read, _ := call(t, s.Handler(), "h1", http.MethodGet, get, "")
		if status != c.status || (read == 200) != c.written || counted != c.counts {
			t.Errorf("%s: status %d, written %t, counted %t", c.name, status, read == 200, counted)
		}
	}
}

func TestSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFaults(Faults{DelayMillis: 1500})
		start := time.Now()
		if status, _ := call(t, s.Handler(), "h1", http.MethodGet, "/v1/kv/k", ""); status != 404 {
			t.Errorf("status %d", status)
		}
		if took := time.Since(start); took != 1500*time.Millisecond {
			t.Errorf("took %s", took)
		}
	})
}

// TestWatch: a write, the end of its wait, and each fault end a watch.
func TestWatch(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(s *Store)
		status int
		after  time.Duration
	}{
		{"write", func(s *Store) { s.put("k", []byte("v"), nil) }, 200, time.Second},
		{"nothing", func(*Store) {}, 404, time.Minute},
		{"down", func(s *Store) { s.SetFaults(Faults{Down: true}) }, 503, time.Second},
		{"watches down", func(s *Store) { s.SetFaults(Faults{WatchesDown: true}) }, 503, time.Second},
		{"cut", func(s *Store) { s.SetFaults(Faults{Cut: []string{"h1"}}) }, 503, time.Second},
		{"another cut", func(s *Store) { s.SetFaults(Faults{Cut: []string{"h2"}}) }, 404, time.Minute},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := New()
			start := time.Now()
			go func() {
				time.Sleep(time.Second)
				if s.Counts().Waiting != 1 {
					t.Errorf("%s: %d watches wait", c.name, s.Counts().Waiting)
				}
				c.act(s)
			}()
			status, _ := call(t, s.Handler(), "h1", http.MethodGet, "/v1/kv/k?index=0&wait=1m", "")
			if status != c.status || time.Since(start) != c.after || s.Counts().Waiting != 0 {
				t.Errorf("%s: status %d after %s", c.name, status, time.Since(start))
			}
			synctest.Wait()
		})
	}
}

func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		h := s.Handler()
		_, reply := call(t, h, "h1", http.MethodPut, "/v1/session/create", `{"TTL":"10s"}`)
		var lease sessionBody
		if err := json.Unmarshal([]byte(reply), &lease); err != nil {
			t.Fatal(err)
		}
		held := func() bool {
			status, _ := call(t, h, "h2", http.MethodGet, "/v1/kv/lead", "")
			return status == 200
		}
		call(t, h, "h1", http.MethodPut, "/v1/kv/lead?acquire="+lease.ID, "h1")
		time.Sleep(9 * time.Second)
		call(t, h, "h1", http.MethodPut, "/v1/session/renew/"+lease.ID, "")
		time.Sleep(9 * time.Second)
		if !held() {
			t.Error("a renewed lease lapsed")
		}
		time.Sleep(2 * time.Second)
		if held() {
			t.Error("a lease that was not renewed is held")
		}
		if status, _ := call(t, h, "h1", http.MethodPut, "/v1/session/renew/"+lease.ID, ""); status != 404 {
			t.Errorf("renewal of a lapsed lease: status %d", status)
		}
	})
}

func TestCounts(t *testing.T) {
	s := New()
	h := s.Handler()
	call(t, h, "", http.MethodPut, "/v1/kv/k?cas=0", "value")
	call(t, h, "", http.MethodGet, "/v1/kv/k", "")
	call(t, h, "", http.MethodGet, "/v1/kv/?recurse=true", "")
	call(t, h, "", http.MethodDelete, "/v1/kv/k", "")
	call(t, h, "", http.MethodPut, "/v1/session/create", `{"TTL":"10s"}`)
	srv := httptest.NewServer(h)
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+"/standin/counts", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got Counts
	body, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(body, &got) != nil {
		t.Fatalf("%s, %v", body, err)
	}
	if got.Reads != 2 || got.Lists != 1 || got.Writes != 3 || got.Deletes != 1 || got.LeaseCalls != 1 || got.BytesIn < 5 || got.BytesOut == 0 {
		t.Errorf("counts %+v", got)
	}
	s.revoke("lease-1")
}
