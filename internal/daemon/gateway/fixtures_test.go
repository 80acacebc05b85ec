package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// drainBound is the shortest bound of the users' sites on work for a leaving
// server.
const drainBound = 2500 * time.Millisecond

// plainDialect uses headers with unprefixed names.
type plainDialect struct{}

func (plainDialect) Caller(h http.Header) port.CallerMeta {
	left, _ := time.ParseDuration(h.Get("Left"))
	return port.CallerMeta{ID: h.Get("Id"), Object: h.Get("Object"), Left: left, Key: h.Get("Key")}
}

func (plainDialect) Identify(http.Header, string) {}

func (plainDialect) Forward(h http.Header, left time.Duration, instance string) {
	h.Set("Left", left.String())
	h.Set("Instance", instance)
}

func (plainDialect) Server(_ int, h http.Header) port.ServerMeta {
	return port.ServerMeta{Leaving: h.Get("Leaving") != ""}
}

// sentRequest is a request that reached the fake servers.
type sentRequest struct {
	server string
	req    *port.ForwardRequest
	at     time.Time
}

// connects is for servers that can always be connected to.
type connects struct{}

// Connect implements port.Prober.
func (connects) Connect(context.Context, string) error { return nil }

// Kept implements port.Prober.
func (connects) Kept(string) port.KeptState { return port.KeptOpen }

// fakeServers implements port.Forwarder and port.Prober.
type fakeServers struct {
	connects
	mu   sync.Mutex
	sent []sentRequest
	// answer returns the response to the nth request, from 1.
	answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)
	probe  func(address string) (port.ServerMeta, int, error)
}

func (f *fakeServers) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, sentRequest{address, req, time.Now()})
	n := len(f.sent)
	f.mu.Unlock()
	return f.answer(ctx, n, address)
}

func (f *fakeServers) Probe(_ context.Context, address, _ string) (port.ServerMeta, int, error) {
	if f.probe == nil {
		return port.ServerMeta{}, 200, nil
	}
	return f.probe(address)
}

func (f *fakeServers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

func okAnswer() *port.ForwardAnswer {
	return &port.ForwardAnswer{Status: 200, Header: http.Header{"Stamp": {"s"}}, Body: []byte("body")}
}

func statusAnswer(code int) *port.ForwardAnswer {
	return &port.ForwardAnswer{Status: code, Header: http.Header{"Stamp": {"s"}}, Body: []byte("failed")}
}

func notRunAnswer() *port.ForwardAnswer {
	return &port.ForwardAnswer{Status: 503, Header: http.Header{}, Meta: port.ServerMeta{NotRun: true}}
}

func brokenError(sent bool) error {
	return &port.BackendError{Code: port.BackendBroken, Sent: sent, Err: io.ErrUnexpectedEOF}
}

// fixture is a Node with fake servers.
type fixture struct {
	node    *Node
	keeper  *Keeper
	servers *fakeServers
}

// testRoutes returns the routes of the tests: /get/ is idempotent, /post/ is not, and
// /home/ is served only in region b.
func testRoutes() []routing.Route {
	parts := []routing.Part{{Service: "s", Weight: 1}}
	return []routing.Route{
		{Name: "get", Host: "h", Prefix: "/get/", Idempotent: true, MaxAttempts: 2, Sticky: true, Timeout: 1200 * time.Millisecond, Target: 600 * time.Millisecond, Priority: 2, Parts: parts},
		{Name: "post", Host: "h", Prefix: "/post/", MaxAttempts: 2, Sticky: true, Timeout: 1500 * time.Millisecond, Target: 800 * time.Millisecond, Priority: 1, Parts: parts},
		{Name: "home", Host: "h", Prefix: "/home/", Idempotent: true, MaxAttempts: 3, Homes: []string{"b"}, Parts: parts},
	}
}

func newFixture(answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)) *fixture {
	cfg := testSettings("g", "a1", 1)
	k := NewKeeper(cfg, plainSchema{}, discardLog())
	m := NewMetrics(prometheus.NewRegistry())
	servers := &fakeServers{answer: answer}
	n := NewNode(cfg, k, plainDialect{}, servers, servers, nil, nil, discardLog(), m)
	n.syncer = NewSyncer(cfg, peer.Identity{Host: "g", Incarnation: 1}, k, nil, plainSchema{}, nil, discardLog(), m)
	// The gateway has run for a while.
	k.born = k.born.Add(-max(2*introductionTime, time.Duration(cfg.Bounds.RetryWindow)))
	b := &fixture{node: n, keeper: k, servers: servers}
	now := time.Now()
	records := []mirror.Record{{Key: "config", Revision: 1, Read: now, Value: encode(plainConfig{
		Version: 1, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 1 << 20, HeaderBytes: 4 << 10},
	})}}
	for i, d := range testDomains {
		records = append(records, b.serverRecord(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain}, uint64(i+2)))
	}
	k.Apply(records, 10, "store", now)
	return b
}

func (f *fixture) serverRecord(r fleet.Record, revision uint64) mirror.Record {
	if r.Slots == 0 {
		r.Slots = 4
	}
	r.Service, r.Address = "s", r.ID
	return mirror.Record{Key: "server/" + r.ID, Revision: revision, Read: time.Now(), Value: encode(r)}
}

func (f *fixture) do(method, path string, headers ...string) *httptest.ResponseRecorder {
	return f.doContext(context.Background(), method, path, headers...)
}

func (f *fixture) doContext(ctx context.Context, method, path string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(""))
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Left", "4s")
	r.Header.Set("Object", "o")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.node.ServeHTTP(w, r)
	return w
}

func testRecord() fleet.Record { return fleet.Record{ID: "i", Service: "s", Slots: 4} }

// stop ends the checks of servers.
func (f *fixture) stop() {
	f.node.cancel()
	f.node.background.Wait()
}
