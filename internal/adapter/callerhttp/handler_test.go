package callerhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"cassiatray/api"
	"cassiatray/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	maxBody = 64
	id      = "a-1:1:2:0102030405060708"
)

// fake knows one service and answers with what it was asked.
type fake struct {
	leaving bool
	// settled is the outcome of refused operations.
	settled api.Outcome
}

func (f *fake) Lookup(service string, _ netip.Addr) (*api.Lookup, *api.Error) {
	if service != "orders" {
		return nil, &api.Error{Code: api.CodeUnknownService, Outcome: api.OutcomeNotRun}
	}
	return &api.Lookup{Service: service, TTLMillis: 1500}, nil
}

func (f *fake) Limit(service, _, path string) (int64, *api.Error) {
	if service != "orders" {
		return 0, &api.Error{Code: api.CodeUnknownService, Outcome: api.OutcomeNotRun}
	}
	if !strings.HasPrefix(path, "/stock/") {
		return 0, &api.Error{Code: api.CodeUnknownClass, Outcome: api.OutcomeNotRun}
	}
	return maxBody, nil
}

func (f *fake) Do(_ context.Context, r *port.CallerRequest) (*port.CallerAnswer, *api.Error) {
	if r.Path == "/stock/panic" {
		panic("fault")
	}
	return &port.CallerAnswer{Status: http.StatusOK, Body: []byte(r.Path)}, nil
}

func (f *fake) Refuse(_ context.Context, _ string, fail *api.Error) *api.Error {
	out := *fail
	out.Outcome = f.settled
	return &out
}

func (f *fake) Leaving() bool { return f.leaving }

func serve(t *testing.T, f *fake, perSource int) string {
	t.Helper()
	return serveService(t, f, perSource)
}

func serveService(t *testing.T, f port.CallerService, perSource int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(NewHandler(f, "a-1"), nil, 0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(NewListener(l, perSource, perSource))
	}()
	t.Cleanup(func() {
		if err := srv.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		<-done
	})
	return l.Addr().String()
}

// exchange sends raw bytes and reads one answer.
func exchange(t *testing.T, address, raw string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, raw)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

const host = " HTTP/1.1\r\nHost: x\r\n"

// TestBadInput checks that each refusal is one whole typed answer.
func TestBadInput(t *testing.T) {
	address := serve(t, &fake{settled: api.OutcomeUnknown}, 8)
	withID := host + api.HeaderOperationID + ": " + id + "\r\n"
	for name, c := range map[string]struct {
		raw     string
		code    api.Code
		outcome api.Outcome
	}{
		"unknown path":            {"GET /nothing" + host + "\r\n", api.CodeUnknownPath, api.OutcomeNotRun},
		"double slash":            {"GET //v1/lookup/orders" + host + "\r\n", api.CodeUnknownPath, api.OutcomeNotRun},
		"wrong method":            {"POST /v1/lookup/orders" + host + "\r\n", api.CodeUnknownPath, api.OutcomeNotRun},
		"options of all":          {"OPTIONS *" + host + "\r\n", api.CodeUnknownPath, api.OutcomeNotRun},
		"no client":               {"GET /v1/lookup/orders" + host + "\r\n", api.CodeBadClient, api.OutcomeNotRun},
		"malformed client":        {"GET /v1/lookup/orders?client=10.0.0.0/8" + host + "\r\n", api.CodeBadClient, api.OutcomeNotRun},
		"unknown service":         {"GET /v1/lookup/none?client=10.0.0.1" + host + "\r\n", api.CodeUnknownService, api.OutcomeNotRun},
		"request to none":         {"GET /v1/request/none/x" + host + "\r\n", api.CodeUnknownService, api.OutcomeNotRun},
		"unknown class":           {"GET /v1/request/orders/x" + host + "\r\n", api.CodeUnknownClass, api.OutcomeNotRun},
		"dot segments":            {"GET /v1/request/orders/stock/../bookings" + host + "\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"encoded dot segments":    {"GET /v1/request/orders/stock/%2e%2e/bookings" + host + "\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"encoded slash":           {"GET /v1/request/orders/stock/..%2fbookings" + host + "\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"encoded control":         {"GET /v1/request/orders/stock/%0d%0a" + host + "\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"bad escape":              {"GET /v1/request/orders/stock/%zz" + host + "\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"two operation IDs":       {"GET /v1/request/orders/stock/1" + withID + api.HeaderOperationID + ": x\r\n\r\n", api.CodeBadOperation, api.OutcomeNotRun},
		"bad timeout":             {"GET /v1/request/orders/stock/1" + host + api.HeaderTimeout + ": -1\r\n\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"bad timeout, settled":    {"GET /v1/request/orders/stock/1" + withID + api.HeaderTimeout + ": x\r\n\r\n", api.CodeBadRequest, api.OutcomeUnknown},
		"large body":              {"POST /v1/request/orders/stock/1" + host + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 100), api.CodeBodyTooLarge, api.OutcomeNotRun},
		"large body, settled":     {"POST /v1/request/orders/stock/1" + withID + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 100), api.CodeBodyTooLarge, api.OutcomeUnknown},
		"large header":            {"GET /v1/request/orders/stock/1" + host + "X: " + strings.Repeat("x", 2*MaxHeaderBytes) + "\r\n\r\n", api.CodeHeaderTooLarge, api.OutcomeNotRun},
		"no request":              {"nonsense\r\n\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"no host":                 {"GET /v1/lookup/orders HTTP/1.1\r\n\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"two lengths":             {"POST /v1/request/orders/stock/1" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", api.CodeBadRequest, api.OutcomeNotRun},
		"unknown encoding":        {"POST /v1/request/orders/stock/1" + host + "Transfer-Encoding: gzip\r\n\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"space before the colon":  {"GET /v1/lookup/orders" + host + "Content-Length : 1\r\n\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"malformed chunk":         {"POST /v1/request/orders/stock/1" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", api.CodeBadRequest, api.OutcomeNotRun},
		"a fault of this program": {"GET /v1/request/orders/stock/panic" + host + "\r\n", api.CodeInternal, api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := exchange(t, address, c.raw)
			var e api.Error
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatalf("status %d, body %q: %v", resp.StatusCode, body, err)
			}
			if e.Code != c.code || e.Outcome != c.outcome || resp.Header.Get(api.HeaderOutcome) != string(c.outcome) {
				t.Fatalf("status %d, %+v, outcome header %q", resp.StatusCode, e, resp.Header.Get(api.HeaderOutcome))
			}
		})
	}
}

// TestSmuggling checks that a body that claims two lengths is read as one
// request: what is left over is never taken for a second.
func TestSmuggling(t *testing.T) {
	address := serve(t, &fake{}, 8)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /v1/request/orders/stock/1"+host+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
		"GET /v1/request/orders/stock/hidden"+host+"\r\n")
	all, _ := io.ReadAll(c)
	if strings.Contains(string(all), "hidden") {
		t.Fatalf("a second request was read: %s", all)
	}
}

// TestCanonicalPath checks that an encoded path is matched and passed on in
// its one spelling.
func TestCanonicalPath(t *testing.T) {
	address := serve(t, &fake{}, 8)
	if _, body := exchange(t, address, "GET /v1/request/orders/%73tock/a%20b"+host+"\r\n"); body != "/stock/a%20b" {
		t.Fatalf("path %q", body)
	}
}

func TestLeavingClosesConnections(t *testing.T) {
	address := serve(t, &fake{leaving: true}, 8)
	resp, _ := exchange(t, address, "GET /v1/request/orders/stock/1"+host+"\r\n")
	if !resp.Close {
		t.Fatal("a caller may reuse its connection to a host that is leaving")
	}
}

// TestConnectionsPerSource checks that one source is held to its limit, and
// that a closed connection makes room.
func TestConnectionsPerSource(t *testing.T) {
	address := serve(t, &fake{}, 1)
	held, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(held, "GET /v1/request/orders/stock/1"+host+"\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(held), nil); err != nil {
		t.Fatal(err)
	}
	resp, body := exchange(t, address, "GET /v1/request/orders/stock/1"+host+"\r\n")
	var e api.Error
	if json.Unmarshal([]byte(body), &e) != nil || e.Code != api.CodeTooManyConnections || e.Outcome != api.OutcomeNotRun {
		t.Fatalf("status %d, body %q", resp.StatusCode, body)
	}
	held.Close()
	for resp.StatusCode != http.StatusOK {
		resp, _ = exchange(t, address, "GET /v1/request/orders/stock/1"+host+"\r\n")
	}
}

// FuzzCanonicalPath checks that no accepted path can name another.
func FuzzCanonicalPath(f *testing.F) {
	for _, seed := range []string{"/a", "/a/../b", "/%2e%2e/b", "/a%2fb", "/%00", "/a//b", "", "%", "/%5c..%5cb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		path, ok := canonicalPath(text)
		if !ok {
			return
		}
		again, ok := canonicalPath(path)
		if !ok || again != path || strings.Contains(path, "/../") || strings.ContainsAny(path, "\r\n\x00") {
			t.Fatalf("%q became %q, then %q", text, path, again)
		}
	})
}
