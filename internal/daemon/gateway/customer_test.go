package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	secretKey = "key-of-x-0123456789abcdef"
	otherKey  = "key-of-y-0123456789abcdef"
)

// customerRoutes are testRoutes and the public route /free/.
func customerRoutes() []routing.Route {
	free := testRoutes()[0]
	free.Name, free.Prefix, free.Public = "free", "/free/", true
	return append(testRoutes(), free)
}

// customerConfig is a configuration with the customers x, in the regions given, and y.
func customerConfig(version uint64, keys []string, homes ...string) plainConfig {
	return plainConfig{
		Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: customerRoutes(), Limits: routing.Limits{BodyBytes: 1 << 20},
		Customers: []routing.Customer{{Name: "x", Keys: keys, Homes: homes}, {Name: "y", Keys: []string{otherKey}}},
	}
}

func (f *fixture) setConfig(c plainConfig) {
	now := time.Now()
	f.keeper.Apply([]mirror.Record{{Key: "config", Revision: 100 + c.Version, Read: now, Value: encode(c)}}, 100+c.Version, "store", now)
}

// newCustomerFixture is newFixture with customers, by default with servers that run all requests.
func newCustomerFixture(answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)) *fixture {
	if answer == nil {
		answer = func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil }
	}
	f := newFixture(answer)
	f.setConfig(customerConfig(2, []string{secretKey}))
	return f
}

// Guards against callers that are served without a key, under a name that they chose, or for a key
// that may have been withdrawn, and against keys that reach servers.
func TestCallersAreIdentifiedByKey(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		before          func(f *fixture)
		status          int
		customer        string
	}{
		{name: "known", path: "/get/", key: secretKey, status: 200, customer: "x"},
		{name: "another's", path: "/get/", key: otherKey, status: 200, customer: "y"},
		{name: "unknown", path: "/get/", key: "guess", status: 401},
		{name: "longer than any", path: "/get/", key: strings.Repeat("g", 2000), status: 401},
		{name: "missing", path: "/get/", status: 401},
		{name: "public route", path: "/free/a..b", status: 200},
		{name: "public route, key", path: "/free/", key: secretKey, status: 200},
		{name: "public route, out of it", path: "/free/../get/", status: 401},
		{name: "public route, out of it, escaped", path: "/free/%2e%2E%2fget/", status: 401},
		{name: "old view, known", path: "/get/", key: secretKey, before: func(*fixture) { time.Sleep(time.Minute) }, status: 200, customer: "x"},
		{name: "old view, unknown", path: "/get/", key: "guess", before: func(*fixture) { time.Sleep(time.Minute) }, status: 503},
		{name: "not confirmed", path: "/get/", key: secretKey, before: func(f *fixture) { f.keeper.paused.Store(true); f.keeper.pauses.resumed = time.Now() }, status: 503},
		{name: "no customers", path: "/get/", key: "guess", before: func(f *fixture) {
			f.setConfig(plainConfig{Version: 3, Services: []routing.Service{{Name: "s"}}, Routes: testRoutes()})
		}, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCustomerFixture(nil)
				defer f.stop()
				if c.before != nil {
					c.before(f)
				}
				w := f.do("GET", c.path, "Key", c.key, "Customer", "y", "Left", "400ms")
				if w.Code != c.status || (w.Header().Get("Retry-After") != "") != (c.status == 503) {
					t.Fatalf("status %d, Retry-After %q, want %d", w.Code, w.Header().Get("Retry-After"), c.status)
				}
				if c.status != 200 {
					if f.servers.count() > 0 {
						t.Error("sent to a server")
					}
					return
				}
				if h := f.servers.sent[0].req.Header; h.Get("Key") != "" || h.Get("Customer") != c.customer {
					t.Errorf("server got key %q, customer %q", h.Get("Key"), h.Get("Customer"))
				}
			})
		})
	}
}

// Guards against keys that work on after a version that removes them is in force: on connections
// that are open, while a body is read, and for the repeats of a request; and against home regions
// of an earlier version.
func TestWithdrawnKeysEnd(t *testing.T) {
	refused := func() (*port.ForwardAnswer, error) { return notRunAnswer(), nil }
	lost := func() (*port.ForwardAnswer, error) { return nil, brokenError(true) }
	failed := func() (*port.ForwardAnswer, error) { return statusAnswer(500), nil }
	public := customerConfig(3, nil)
	for i := range public.Routes {
		public.Routes[i].Public = true
	}
	for _, c := range []struct {
		name   string
		first  func() (*port.ForwardAnswer, error)
		config plainConfig
		status int
		sent   int
		// customer is what the last server was told.
		customer string
	}{
		{"refused", refused, customerConfig(3, nil), 401, 1, "x"},
		{"lost", lost, customerConfig(3, nil), 502, 1, "x"},
		{"failed", failed, customerConfig(3, nil), 500, 1, "x"},
		{"another key is added", refused, customerConfig(3, []string{secretKey, "new"}), 200, 2, "x"},
		{"no server in the new home region", refused, customerConfig(3, []string{secretKey}, "nowhere"), 503, 1, "x"},
		{"no customers any more", refused, plainConfig{Version: 3, Services: []routing.Service{{Name: "s"}}, Routes: testRoutes()}, 200, 2, ""},
		{"public by now", refused, public, 200, 2, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f *fixture
			f = newCustomerFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
				if n > 1 {
					return okAnswer(), nil
				}
				f.setConfig(c.config)
				return c.first()
			})
			if w := f.do("GET", "/get/", "Key", secretKey); w.Code != c.status || f.servers.count() != c.sent {
				t.Errorf("status %d after %d attempts, want %d after %d", w.Code, f.servers.count(), c.status, c.sent)
			}
			if got := f.servers.sent[len(f.servers.sent)-1].req.Header.Get("Customer"); got != c.customer {
				t.Errorf("the last server was told of customer %q, want %q", got, c.customer)
			}
		})
	}
	f := newCustomerFixture(nil)
	r := httptest.NewRequest("POST", "/post/", io.MultiReader(strings.NewReader("body"), readerFunc(func([]byte) (int, error) {
		f.setConfig(customerConfig(3, []string{"new"}))
		return 0, io.EOF
	})))
	r.Host = "h"
	r.Header.Set("Key", secretKey)
	w := httptest.NewRecorder()
	f.node.ServeHTTP(w, r)
	if w.Code != 401 || f.servers.count() != 0 {
		t.Errorf("withdrawn while the body is read: %d after %d attempts", w.Code, f.servers.count())
	}
	for key, want := range map[string]int{secretKey: 401, "new": 200} {
		if w := f.do("GET", "/get/", "Key", key); w.Code != want {
			t.Errorf("next request with %q: %d, want %d", key, w.Code, want)
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a page that crashes the servers of every customer and is stopped for each of them
// anew, three crashes each.
func TestCustomersShareTheCrashesOfARequest(t *testing.T) {
	prints := map[string]bool{}
	for _, key := range []string{secretKey, otherKey} {
		r := httptest.NewRequest("GET", "/get/", nil)
		r.Header.Set("Key", key)
		req := newCustomerFixture(nil).node.newRequest(r)
		prints[fmt.Sprint([]byte(req.fingerprint()), req.key())] = true
	}
	if len(prints) != 1 {
		t.Error("the same request of two customers has two fingerprints")
	}
}

// refusingStreams implements port.PeerStreamer and notes the addresses that are asked.
type refusingStreams struct{ asked []string }

func (s *refusingStreams) Open(_ context.Context, address string, _ *peerv1.Request) (port.PeerStream, error) {
	s.asked = append(s.asked, address)
	return nil, &port.PeerError{Code: port.PeerRefused}
}

// Guards against trials and relays through gateways outside the customer's home regions.
func TestHelpersAreInTheCustomersHomeRegions(t *testing.T) {
	f := newCustomerFixture(nil)
	streams := new(refusingStreams)
	f.node.relays = newRelayPeers(streams)
	f.setConfig(customerConfig(3, []string{secretKey}, "b"))
	for _, d := range testDomains {
		f.keeper.Hear(&peerv1.GatewayMember{Host: "g-" + d.Domain, Domain: d.Domain, Region: d.Region, PeerAddress: d.Domain, Capacity: 1, State: peerv1.HostState_HOST_STATE_SERVING}, time.Now(), time.Now())
	}
	for i := range 20 {
		r := httptest.NewRequest("GET", fmt.Sprint("/get/", i), nil)
		r.Host = "h"
		r.Header.Set("Key", secretKey)
		for _, relay := range []func(*inflightRequest){
			func(req *inflightRequest) { f.node.relay(httptest.NewRecorder(), r, req) },
			func(req *inflightRequest) {
				f.node.offerTrial(httptest.NewRecorder(), r, req, suspect.Verdict{}, time.Now())
			},
		} {
			req := f.node.newRequest(r)
			req.view = f.keeper.View()
			req.route = matchRoute(req.view.config, r)
			f.node.identify(httptest.NewRecorder(), req)
			f.node.prepare(req)
			clear(f.node.relays.paused)
			relay(req)
		}
	}
	if len(streams.asked) == 0 {
		t.Fatal("no gateway asked")
	}
	for _, address := range streams.asked {
		if !strings.HasPrefix(address, "b") {
			t.Fatalf("asked the gateway in %s, the home region is b", address)
		}
	}
}

// Guards against helpers that serve a request without a key that they would ask for themselves, or
// for a customer that they do not know.
func TestHelpersWithAnotherConfigurationRefuse(t *testing.T) {
	with := customerConfig(2, []string{secretKey})
	without := plainConfig{Version: 2, Services: with.Services, Routes: customerRoutes()}
	for _, c := range []struct {
		name, path, customer string
		config               plainConfig
		taken                bool
	}{
		{"same", "/get/", "x", with, true},
		{"customer removed", "/get/", "z", with, false},
		{"no customer named", "/get/", "", with, false},
		{"public", "/free/", "", with, true},
		{"public here only", "/free/", "x", with, false},
		{"no customers here", "/get/", "x", without, false},
		{"no customers at all", "/get/", "", without, true},
	} {
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		f.setConfig(c.config)
		x := &heldStream{}
		offer := &peerv1.RelayOffer{Method: "GET", Uri: c.path, Host: "h", Service: "s", Customer: c.customer, RunsLeft: 1}
		err := f.node.ServeRelay(t.Context(), offer, "other", x)
		refused, ok := err.(*RelayRefusedError)
		if taken := err == nil; taken != c.taken || !taken && (!ok || refused.Reason != relayOtherConfig) {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.taken && f.servers.sent[0].req.Header.Get("Customer") != c.customer {
			t.Errorf("%s: server got customer %q", c.name, f.servers.sent[0].req.Header.Get("Customer"))
		}
	}
}

// heldStream implements port.PeerServerStream for a request without a body.
type heldStream struct{}

func (*heldStream) Send(*peerv1.Reply) error { return nil }

func (*heldStream) Receive(context.Context) (*peerv1.Request, error) {
	return &peerv1.Request{Body: &peerv1.Request_RelayChunk{RelayChunk: &peerv1.RelayChunk{Last: true}}}, nil
}

// Guards against a key that works on after its withdrawal on a connection that is open, for requests
// that were sent ahead while it held.
func TestWithdrawnKeysEndOnOpenConnections(t *testing.T) {
	var f *fixture
	f = newCustomerFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		f.setConfig(customerConfig(3, nil))
		return okAnswer(), nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := newCallerServer(f.node, memory.NewClosings("gateway", discardLog()), discardLog())
	go srv.Serve(l)
	defer srv.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := "POST /post/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nKey: " + secretKey + "\r\n\r\n"
	io.WriteString(c, head+head)
	answers := bufio.NewReader(c)
	for i, want := range []int{200, 401, 401} {
		if i == 2 {
			io.WriteString(c, head)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("request %d: %v, %v, want %d", i, resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
