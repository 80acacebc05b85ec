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

// cluster is three entry processes of one failure domain and two backend servers with one
// fakeBackend. Exchanges between the processes are plain function calls.
type cluster struct {
	nodes   map[string]*Node
	backend *fakeBackend
	doc     *document.Document

	mu sync.Mutex
	// lostReplies is the number of next replies to drop after the receiver has handled the
	// request.
	lostReplies int
}

// fakeBackend counts the runs of each operation.
type fakeBackend struct {
	mu   sync.Mutex
	runs map[string]int
	// failures are returned for the next requests, one each.
	failures []error
	// ended has the servers refuse health checks.
	ended bool
	// gate, if not nil, blocks requests until it is closed. If gatedRuns is set, it blocks
	// only that many first runs of an operation.
	gate      chan struct{}
	gatedRuns int
}

// Do implements port.Backend.
func (b *fakeBackend) Do(ctx context.Context, address string, req *port.BackendRequest) (*port.BackendAnswer, error) {
	b.mu.Lock()
	id := req.Header.Get(api.HeaderOperationID)
	b.runs[id]++
	n := b.runs[id]
	var err error
	if len(b.failures) > 0 {
		err, b.failures = b.failures[0], b.failures[1:]
	}
	gate := b.gate
	if b.gatedRuns > 0 && n > b.gatedRuns {
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

// Probe implements port.BackendProber.
func (b *fakeBackend) Probe(_ context.Context, address string) (*port.BackendHealth, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil, &port.BackendError{Code: port.BackendRefused, Address: address}
	}
	return &port.BackendHealth{Healthy: true}, nil
}

func (b *fakeBackend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

var hosts = []string{"a-1", "a-2", "a-3"}

func newCluster(t testing.TB) *cluster {
	c := &cluster{nodes: map[string]*Node{}, backend: &fakeBackend{runs: map[string]int{}}, doc: oneDomainDocument()}
	for _, h := range hosts {
		c.startProcess(t, h, 1)
	}
	return c
}

// startProcess starts a new process of a host, which replaces the previous one.
func (c *cluster) startProcess(t testing.TB, host string, incarnation uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := Settings{Host: host, Domain: domainOf(host)}
	feed := NewFeed(cfg, incarnation, c, logging.Part(log, "feed"))
	feed.SetState(peerv1.HostState_HOST_STATE_SERVING)
	n := NewNode(cfg, incarnation, feed, c.backend, c.backend, c, unlimitedSlots{domain: cfg.Domain}, port.SystemClock{}, logging.Part(log, "entry"), NewMetrics(prometheus.NewRegistry()))
	c.nodes[host] = n
	c.publish()
}

// unlimitedSlots grants every request a slot on the first server of the domain.
type unlimitedSlots struct {
	*slots.Manager
	domain string
}

func (u unlimitedSlots) Acquire(_ context.Context, w slots.Want) (*slots.Slot, error) {
	servers := w.Service.In(u.domain)
	if len(servers) == 0 {
		return nil, &slots.RefusedError{}
	}
	b := servers[0]
	return slots.NewSlot(b.Name, b.Address.String(), func(time.Duration) {}), nil
}

func (unlimitedSlots) Answered(string, string, *port.BackendAnswer) {}
func (unlimitedSlots) Failed(string, string, error, bool)           {}
func (unlimitedSlots) Leaving(string, string) bool                  { return false }

// domainOf returns the failure domain that a host name begins with.
func domainOf(host string) string {
	domain, _, _ := strings.Cut(host, "-")
	return domain
}

// publish puts the same snapshot in force in every process.
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

func oneDomainDocument() *document.Document {
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
	if c.lostReplies > 0 {
		c.lostReplies--
		return nil, &port.PeerError{Code: port.PeerBroken, Address: address, Sent: true}
	}
	return reply, err
}

// Follow implements port.PeerCaller.
func (c *cluster) Follow(context.Context, string, *peerv1.Request, func(*peerv1.Reply) error) error {
	return &port.PeerError{Code: port.PeerConnect}
}

// newID returns an operation ID that names the current process of a host.
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

// book sends a copy of an operation to a host. It returns the answer's body, or the code
// and outcome of the failure.
func (c *cluster) book(host, id string) string {
	return answerText(c.nodes[host].Do(context.Background(), booking(id)))
}

func answerText(a *port.CallerAnswer, failure *api.Error) string {
	if failure != nil {
		return string(failure.Code) + " " + string(failure.Outcome)
	}
	return string(a.Body)
}
