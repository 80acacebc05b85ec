package entry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is three entry processes of one failure domain whose exchanges are
// plain calls, with one backend server.
type cluster struct {
	nodes   map[string]*Node
	backend *fakeBackend
	doc     *document.Document

	mu sync.Mutex
	// lost is how many of the next replies are lost after they took effect.
	lost int
}

// fakeBackend counts runs by operation.
type fakeBackend struct {
	mu   sync.Mutex
	runs map[string]int
	// fail is returned for the next requests, one each.
	fail []error
	// gate, if not nil, holds requests until it is closed: all, or the first
	// slow ones.
	gate chan struct{}
	slow int
}

// Do implements port.Backend.
func (b *fakeBackend) Do(ctx context.Context, address string, req *port.BackendRequest) (*port.BackendAnswer, error) {
	b.mu.Lock()
	id := req.Header.Get(api.HeaderOperationID)
	b.runs[id]++
	n := b.runs[id]
	var err error
	if len(b.fail) > 0 {
		err, b.fail = b.fail[0], b.fail[1:]
	}
	gate := b.gate
	if b.slow > 0 && n > b.slow {
		gate = nil
	}
	b.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, &port.BackendError{Code: port.BackendCanceled, Address: address, Sent: true, Err: ctx.Err()}
		}
	}
	if err != nil {
		return nil, err
	}
	return &port.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: fmt.Append(nil, "run ", n)}, nil
}

func (b *fakeBackend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

var hosts = []string{"a-1", "a-2", "a-3"}

func newCluster(t testing.TB) *cluster {
	c := &cluster{nodes: map[string]*Node{}, backend: &fakeBackend{runs: map[string]int{}}, doc: testDocument()}
	for _, h := range hosts {
		c.start(t, h, 1)
	}
	return c
}

// start starts a process of a host in place of the one before.
func (c *cluster) start(t testing.TB, host string, incarnation uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := Settings{Host: host, Domain: domainOf(host)}
	feed := NewFeed(cfg, incarnation, c, logging.Part(log, "feed"))
	feed.SetState(peerv1.HostState_HOST_STATE_SERVING)
	n := NewNode(cfg, incarnation, feed, c.backend, c, openAdmission{domain: cfg.Domain}, port.SystemClock{}, logging.Part(log, "entry"), NewMetrics(prometheus.NewRegistry()))
	c.nodes[host] = n
	c.publish()
}

// openAdmission gives every request a slot on the first server.
type openAdmission struct {
	*slots.Manager
	domain string
}

func (o openAdmission) Acquire(_ context.Context, w slots.Want) (*slots.Slot, error) {
	servers := w.Service.In(o.domain)
	if len(servers) == 0 {
		return nil, &slots.RefusedError{}
	}
	b := servers[0]
	return slots.NewSlot(b.Name, b.Address.String(), func(time.Duration) {}), nil
}

func (openAdmission) Answered(string, string, *port.BackendAnswer) {}
func (openAdmission) Failed(string, string, error, bool)           {}
func (openAdmission) Leaving(string, string) bool                  { return false }

// domainOf returns the failure domain in the name of a host.
func domainOf(host string) string {
	domain, _, _ := strings.Cut(host, "-")
	return domain
}

// publish gives every process the same snapshot.
func (c *cluster) publish() {
	index := document.NewIndex(c.doc)
	views := map[string]*peerv1.DomainView{}
	for h, n := range c.nodes {
		domain := domainOf(h)
		if views[domain] == nil {
			views[domain] = &peerv1.DomainView{Domain: domain, Version: 1}
		}
		views[domain].Members = append(views[domain].Members, &peerv1.Member{
			Host: h, Domain: domain, EntryIncarnation: n.incarnation, EntryState: peerv1.HostState_HOST_STATE_SERVING, EntryPeerAddress: h,
		})
	}
	snap := newSnapshot(document.Head{Sequence: 1}, index, lookup.NewTable(nil), slices.Collect(maps.Values(views)))
	for _, n := range c.nodes {
		n.feed.snapshot.Store(snap)
	}
}

func testDocument() *document.Document {
	address := func(last byte) document.Address {
		return document.Address{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 9, last}), 1)}
	}
	class := document.Class{
		Name: "booking", Methods: []string{http.MethodPost}, Path: "/bookings", Execution: document.AtMostOnce,
		Deadline: document.Duration(time.Minute), Retries: 100, MaxBody: 100, MaxAnswer: 100,
	}
	read := class
	read.Name, read.Path, read.Execution, read.Methods = "stock", "/stock", document.Idempotent, []string{http.MethodGet}
	domain := document.Domain{Name: "a"}
	for i, h := range hosts {
		domain.EntryHosts = append(domain.EntryHosts, document.EntryHost{Name: h, Entry: address(byte(100 + i))})
	}
	return &document.Document{
		Lookup:  document.Lookup{TTL: document.Duration(time.Second), Hosts: 3},
		Regions: []document.Region{{Name: "r", Domains: []document.Domain{domain}}},
		Services: []document.Service{{
			Name: "orders", Slots: 8, Connections: 100, Classes: []document.Class{class, read},
			Servers: []document.BackendServer{{Name: "s-1", Domain: "a", Address: address(1)}, {Name: "s-2", Domain: "a", Address: address(2)}},
		}},
	}
}

// Call implements port.PeerCaller.
func (c *cluster) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Reply, error) {
	n := c.nodes[address]
	if n == nil {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address}
	}
	if req.ToIncarnation != 0 && req.ToIncarnation != n.incarnation {
		return nil, &port.PeerError{Code: port.PeerIncarnation, Address: address, Sent: true}
	}
	reply, err := n.Serve(ctx, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost > 0 {
		c.lost--
		return nil, &port.PeerError{Code: port.PeerBroken, Address: address, Sent: true}
	}
	return reply, err
}

// Follow implements port.PeerCaller.
func (c *cluster) Follow(context.Context, string, *peerv1.Request, func(*peerv1.Reply) error) error {
	return &port.PeerError{Code: port.PeerConnect}
}

// newID returns an ID that names the process of a host.
func (c *cluster) newID(t testing.TB, host string) string {
	t.Helper()
	id, err := api.NewOperationID(api.Host{Operation: api.OperationPrefix(host, c.nodes[host].incarnation, time.Now())})
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

func booking(id string) *port.CallerRequest {
	return &port.CallerRequest{
		Service: "orders", Method: http.MethodPost, Path: "/bookings", OperationID: id,
		Header: http.Header{api.HeaderOperationID: {id}},
	}
}

// book sends a copy of an operation to a host and returns the answer's body,
// or the code and outcome of the failure.
func (c *cluster) book(host, id string) string {
	return text(c.nodes[host].Do(context.Background(), booking(id)))
}

func text(a *port.CallerAnswer, fail *api.Error) string {
	if fail != nil {
		return string(fail.Code) + " " + string(fail.Outcome)
	}
	return string(a.Body)
}
