package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"cassiatray/api"
	"cassiatray/internal/adapter/callerhttp"
	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

var testNow = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// threeRegionDocument is a document with three regions of two failure domains, with two
// hosts and three servers in each domain.
func threeRegionDocument() *document.Document {
	regions := []string{"sask", "alta", "mani"}
	doc := &document.Document{Weigh: document.WeighHeadroom, Lookup: document.Lookup{TTL: document.Duration(2 * time.Second), Hosts: 3}}
	doc.Caps.Shift = document.ShiftCap{Share: 10, Per: document.Duration(time.Minute)}
	svc := document.Service{Name: "depot-orders", Slots: 3, Classes: []document.Class{{
		Name: "stock", Methods: []string{http.MethodGet}, Path: "/stock/", Execution: document.Idempotent,
		Deadline: document.Duration(2 * time.Second), MaxAnswer: 1 << 20,
	}}}
	for i, name := range regions {
		region := document.Region{Name: name}
		for _, domain := range []string{name + "-a", name + "-b"} {
			hosts := []document.EntryHost{{Name: domain + "-1"}, {Name: domain + "-2"}}
			region.Domains = append(region.Domains, document.Domain{Name: domain, EntryHosts: hosts})
			for j := range 3 {
				svc.Servers = append(svc.Servers, document.BackendServer{Name: fmt.Sprint(domain, j), Domain: domain})
			}
		}
		doc.Regions = append(doc.Regions, region)
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)
		order := slices.Concat(regions[i:], regions[:i])
		doc.Clients = append(doc.Clients, document.Client{Block: document.Prefix{Prefix: block}, Regions: order})
	}
	doc.Services = []document.Service{svc}
	return doc
}

// newTestNode returns the node of host sask-a-1, one hour after its start, with all hosts
// of threeRegionDocument serving.
func newTestNode(t testing.TB, modify func(*document.Document)) (*Node, *manualClock) {
	t.Helper()
	doc := threeRegionDocument()
	doc.Caps.Regions = []document.RegionCap{{Service: "depot-orders", From: "alta", To: "sask", Share: 30}}
	if modify != nil {
		modify(doc)
	}
	clock := &manualClock{now: testNow.Add(-time.Hour)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	feed := NewFeed(Settings{}, 1, nil, logrus.NewEntry(log))
	n := NewNode(Settings{Host: "sask-a-1", Domain: "sask-a"}, 1, feed, nil, nil, nil, unlimitedSlots{}, clock, logrus.NewEntry(log), NewMetrics(prometheus.NewRegistry()))
	clock.now = testNow
	ix := document.NewIndex(doc)
	view := &peerv1.DomainView{}
	for _, name := range ix.DomainNames() {
		for _, h := range ix.Hosts(name) {
			view.Members = append(view.Members, &peerv1.Member{
				Host: h.Name, Domain: name, EntryIncarnation: 1, EntryState: peerv1.HostState_HOST_STATE_SERVING,
			})
		}
	}
	head := document.Head{Sequence: 1, Accepted: testNow.Add(-time.Hour)}
	feed.snapshot.Store(newSnapshot(head, ix, lookup.NewTable(doc.Clients), []*peerv1.DomainView{view}))
	return n, clock
}

func newTestRequest(t testing.TB, n *Node, client string) *request {
	t.Helper()
	r, failure := n.newRequest(&port.CallerRequest{
		Service: "depot-orders", Method: http.MethodGet, Path: "/stock/1", Client: netip.MustParseAddr(client),
	})
	if failure != nil {
		t.Fatal(failure)
	}
	return r
}

const (
	saskClient = "10.0.0.9"
	altaClient = "10.1.0.9"
)

// TestReceiverEnforcesCap checks that a host admits work of another region up to its share
// of the cap, and work of its own region without limit.
func TestReceiverEnforcesCap(t *testing.T) {
	n, clock := newTestNode(t, nil)
	snap := n.feed.Snapshot()
	n.steering.viewFor(snap, clock.now)
	limit := share.LimitsOf(snap.Index, "sask-a-1").Flows[share.Flow{Service: "depot-orders", From: "alta"}]
	for client, want := range map[string]int{altaClient: limit, saskClient: 100} {
		r := newTestRequest(t, n, client)
		got := 0
		for i := range 100 {
			// Requests are spread over ten seconds, so that the flow's warm-up ends.
			clock.now = testNow.Add(time.Duration(i) * 100 * time.Millisecond)
			if _, err := n.steering.admit(r, "sask", clock.now, testNow.Add(time.Hour)); err == nil {
				got++
			}
		}
		if got != want {
			t.Errorf("%s: %d admitted, want %d", client, got, want)
		}
	}
}

func domainsOf(hosts []lookup.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Domain)
	}
	return out
}

func TestCandidatesOrderedByProximity(t *testing.T) {
	n, _ := newTestNode(t, nil)
	got := n.candidatesByProximity(newTestRequest(t, n, saskClient))
	if len(got) < 3 || got[0].Name != "sask-a-1" || got[1].Domain != "sask-b" || got[2].Region != "alta" {
		t.Errorf("candidates %v, want own host, sask-b, alta", domainsOf(got))
	}
	for _, h := range n.candidatesByProximity(newTestRequest(t, n, altaClient)) {
		takers := share.Takers(n.feed.Snapshot().Index, share.Flow{Service: "depot-orders", From: "alta"}, h.Region)
		if h.Name != n.cfg.Host && h.Region != "alta" && !takers[h.Name] {
			t.Errorf("%s has no share of the cap", h.Name)
		}
	}
}

func TestDrainedDomainExcluded(t *testing.T) {
	n, _ := newTestNode(t, func(doc *document.Document) {
		doc.Drains = []document.Drain{{Domain: "sask-a", At: testNow.Add(-time.Hour)}}
	})
	got := domainsOf(n.candidatesByProximity(newTestRequest(t, n, saskClient)))
	if slices.Contains(got, "sask-a") || len(got) == 0 {
		t.Errorf("candidates %v after the drain of sask-a", got)
	}
}

// TestPreferenceChangeIsPaced puts a document in force that moves the callers of sask to
// alta, and checks that they move no faster than the cap on shifts.
func TestPreferenceChangeIsPaced(t *testing.T) {
	n, clock := newTestNode(t, nil)
	old := *n.feed.Snapshot()
	n.steering.viewFor(&old, clock.now)
	next := old
	next.Head = document.Head{Sequence: 2, Accepted: clock.now}
	moved := clientBlock("10.0.0.0/16", "alta", "sask")
	next.Table = old.Table.With([]document.Client{moved}, nil)
	n.feed.snapshot.Store(&next)
	const (
		callers  = 2000
		sampling = 0.02 // three standard deviations of the sampled share of callers
	)
	altaShare := func() float64 {
		count := 0
		for i := range callers {
			answer, failure := n.Lookup("depot-orders", netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
			if failure != nil {
				t.Fatal(failure)
			}
			if answer.Hosts[0].Domain[:4] == "alta" {
				count++
			}
		}
		return float64(count) / callers
	}
	last := altaShare()
	for range 13 { // minutes; the cap allows 10% of a region's slots to move in each
		for range 120 {
			clock.now = clock.now.Add(500 * time.Millisecond)
			n.steering.viewFor(&next, clock.now)
		}
		now := altaShare()
		if now-last > 0.1+sampling || now < last {
			t.Errorf("share in alta went from %.3f to %.3f in a minute, cap 0.1", last, now)
		}
		last = now
	}
	if last != 1 {
		t.Errorf("%.3f of the callers moved in the end, want all", last)
	}
}

// Guards against a request of an earlier snapshot that takes the steering of others back to it.
func TestSteeringKeepsLaterDocument(t *testing.T) {
	n, clock := newTestNode(t, nil)
	earlier := n.feed.Snapshot()
	next := *earlier
	next.Head.Sequence++
	next.Table = earlier.Table.With([]document.Client{clientBlock("10.0.0.0/16", "alta", "sask")}, nil)
	n.steering.viewFor(earlier, clock.now)
	n.steering.viewFor(&next, clock.now)
	for range 10 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		if v := n.steering.viewFor(earlier, clock.now); v.snapshot != &next {
			t.Fatalf("steering by document %d, want %d", v.snapshot.Head.Sequence, next.Head.Sequence)
		}
	}
	if len(n.steering.changes) != 1 {
		t.Errorf("%d changes of preferences, want 1", len(n.steering.changes))
	}
}

func clientBlock(block string, regions ...string) document.Client {
	return document.Client{Block: document.Prefix{Prefix: netip.MustParsePrefix(block)}, Regions: regions}
}

// overloadedPeers rejects every dispatch as overloaded.
type overloadedPeers struct {
	port.PeerCaller
	attempts []uint32
}

func (p *overloadedPeers) Call(_ context.Context, _ string, req *peerv1.Request) (*peerv1.Reply, error) {
	p.attempts = append(p.attempts, req.GetDispatch().GetAttempt())
	out := resultToProto(result{failure: overloaded()})
	return &peerv1.Reply{Body: &peerv1.Reply_DispatchResult{DispatchResult: out}}, nil
}

// TestRequestRejectedByAllHosts checks that a request is sent to all candidates, each time
// with a new attempt number, and that the caller is sent a not-run outcome.
func TestRequestRejectedByAllHosts(t *testing.T) {
	n, _ := newTestNode(t, func(doc *document.Document) {
		doc.Services[0].Servers = slices.DeleteFunc(doc.Services[0].Servers, func(b document.BackendServer) bool { return b.Domain == "sask-a" })
	})
	peers := &overloadedPeers{}
	n.peers = peers
	_, failure := n.Do(context.Background(), newTestRequest(t, n, saskClient).received)
	if failure == nil || failure.Code != api.CodeOverloaded || failure.Outcome != api.OutcomeNotRun || failure.RetryAfterMillis == 0 {
		t.Errorf("failure %v, want overloaded, not-run, with a time to retry", failure)
	}
	if !slices.Equal(peers.attempts, []uint32{1, 2, 3, 4, 5}) {
		t.Errorf("attempts %v, want one at sask-b and two in each other region", peers.attempts)
	}
}

func TestNewerSenderDocumentRejectedAsStale(t *testing.T) {
	n, clock := newTestNode(t, nil)
	n.steering.viewFor(n.feed.Snapshot(), clock.now)
	r := newTestRequest(t, n, altaClient)
	r.senderSequence = 2
	_, err := n.steering.admit(r, "sask", clock.now, testNow.Add(time.Second))
	refused, ok := err.(*share.RefusedError)
	if !ok || refused.Reason != share.ReasonStale {
		t.Errorf("request of a sender with a newer document: %v, want a stale rejection", err)
	}
}

func TestExplain(t *testing.T) {
	n, _ := newTestNode(t, func(doc *document.Document) {
		doc.Drains = []document.Drain{{Region: "sask", At: testNow.Add(-time.Hour)}}
	})
	for query, want := range map[string]int{
		"service=depot-orders&client=" + saskClient: http.StatusOK,
		"service=depot-orders&client=nowhere":       http.StatusBadRequest,
		"service=nothing&client=" + saskClient:      http.StatusNotFound,
	} {
		rec := httptest.NewRecorder()
		n.serveExplain(rec, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		if rec.Code != want {
			t.Errorf("%s: status %d, want %d", query, rec.Code, want)
		}
		if want != http.StatusOK {
			continue
		}
		var out operatorhttp.Explanation
		if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
			t.Fatal(err)
		}
		if out.Hosts[0].Region != "alta" || len(out.Notes) != 1 {
			t.Errorf("explanation %+v, want a host in alta and a note about the drain", out)
		}
	}
}

// discardingResponse is an http.ResponseWriter that discards what is written.
type discardingResponse struct{ h http.Header }

func (d *discardingResponse) Header() http.Header         { return d.h }
func (d *discardingResponse) WriteHeader(int)             {}
func (d *discardingResponse) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkLookupHTTP measures a look-up through the HTTP handler, without sockets.
func BenchmarkLookupHTTP(b *testing.B) {
	n, _ := newTestNode(b, nil)
	h := callerhttp.NewHandler(n, "sask-a-1")
	var reqs []*http.Request
	for i := range 256 {
		reqs = append(reqs, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/lookup/depot-orders?client=10.0.1.%d", i), nil))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.ServeHTTP(&discardingResponse{h: http.Header{}}, reqs[i%len(reqs)])
	}
}

// BenchmarkLookup measures Node.Lookup.
func BenchmarkLookup(b *testing.B) {
	n, _ := newTestNode(b, nil)
	client := netip.MustParseAddr(saskClient)
	b.ReportAllocs()
	for b.Loop() {
		if _, failure := n.Lookup("depot-orders", client); failure != nil {
			b.Fatal(failure)
		}
	}
}
