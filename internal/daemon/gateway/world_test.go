package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// testHost is one gateway of a testCluster.
type testHost struct {
	cfg    *Settings
	keeper *Keeper
	syncer *Syncer
	node   *Node
	stop   context.CancelFunc
}

// forwardProber is the way to backend servers.
type forwardProber interface {
	port.Forwarder
	port.Prober
}

// testCluster is a set of gateways and a store on virtual time.
type testCluster struct {
	t           *testing.T
	store       *fakeStore
	hosts       map[string]*testHost
	mu          sync.Mutex
	partitioned map[string]bool
	// silent are gateways that do not reply to their peers.
	silent map[string]bool
	// noTrials are gateways that reject trials as builds do that know none.
	noTrials map[string]bool
	seeds    []string
	// numbers holds the number in the address of each gateway that was ever started.
	numbers map[string]int
	// forwarder returns a gateway's way to backend servers; nil if it has none.
	forwarder func(host string) forwardProber
	// pullBytes counts the bytes of pulls and their replies, pulls the pulls.
	pullBytes, pulls int
	// asks counts the asks for quotas, askBytes their bytes and those of the replies.
	asks, askBytes int
	// latency is how long messages between gateways take.
	latency time.Duration
	// streams break off the two-way exchanges with the gateway at an address.
	streams map[string][]context.CancelFunc
	// onPage changes the pages that gateways get; nil for none.
	onPage func(page *peerv1.MirrorPage)
	// plainPages has pages carry values as they are, as those of builds that encode none.
	plainPages bool
	// links are those of hosts with limits.
	links map[string]*hostLinks
	// configure changes the settings of each gateway that is started; nil for none.
	configure func(cfg *Settings)
}

var testDomains = []DomainRegion{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{t: t, store: newFakeStore(), hosts: map[string]*testHost{}, partitioned: map[string]bool{}, silent: map[string]bool{}, noTrials: map[string]bool{}, numbers: map[string]int{}, streams: map[string][]context.CancelFunc{}, links: map[string]*hostLinks{}}
}

func testSettings(name, domain string, n int) *Settings {
	at := func(port uint16) document.Address {
		return document.Address{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), port)}
	}
	cfg := &Settings{Host: name, Domain: domain, Domains: testDomains, Caller: at(80), Peer: at(81), Capacity: 1}
	cfg.Region = cfg.regionOf(domain)
	cfg.Bounds.RetryExtra = 100
	cfg.setDefaults()
	return cfg
}

// add starts a gateway.
func (w *testCluster) add(name, domain string) *testHost {
	if w.numbers[name] == 0 {
		w.numbers[name] = len(w.numbers) + 1
	}
	cfg := testSettings(name, domain, w.numbers[name])
	cfg.Seeds = w.seeds
	if w.configure != nil {
		w.configure(cfg)
	}
	log := logging.Discard()
	k := NewKeeper(cfg, plainSchema{}, log)
	peers, m := &testPeers{w: w, self: name}, NewMetrics(prometheus.NewRegistry())
	s := NewSyncer(cfg, peer.Identity{Host: name, Incarnation: uint64(time.Now().UnixNano())}, k,
		&storeClient{fakeStore: w.store, host: name, transfer: w.transfer}, plainSchema{}, peers, log, m)
	var servers forwardProber
	if w.forwarder != nil {
		servers = w.forwarder(name)
	}
	n := NewNode(cfg, k, plainDialect{}, servers, servers, peers, peers, log, m)
	n.syncer = s
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{cfg: cfg, keeper: k, syncer: s, node: n, stop: cancel}
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	go s.Run(ctx)
	if servers != nil {
		go n.checkColdServers(ctx)
		go n.watchLinks(ctx)
	}
	return h
}

// addPerDomain starts n gateways in every failure domain.
func (w *testCluster) addPerDomain(n int) {
	for i := range n {
		for _, d := range testDomains {
			w.add(fmt.Sprintf("%s-%d", d.Domain, i), d.Domain)
		}
	}
}

// anyHost returns a random gateway.
func (w *testCluster) anyHost(random *rand.Rand) *testHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := slices.Sorted(maps.Keys(w.hosts))
	return w.hosts[names[random.IntN(len(names))]]
}

func (w *testCluster) kill(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	h.stop()
}

// partition cuts gateways off from their peers, or ends that.
func (w *testCluster) partition(cut bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.partitioned[name] = cut
	}
}

// setSilent makes gateways leave the calls of their peers without a reply, or ends that.
func (w *testCluster) setSilent(silent bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.silent[name] = silent
	}
}

// refuseTrials makes gateways reject trials.
func (w *testCluster) refuseTrials(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.noTrials[name] = true
	}
}

// breakStreams breaks off the two-way exchanges with a gateway.
func (w *testCluster) breakStreams(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.streams[w.hosts[name].cfg.Peer.String()] {
		cancel()
	}
}

func (w *testCluster) stopAll() {
	for _, h := range w.hosts {
		h.stop()
	}
}

// hubs returns the names of the gateways that are hubs.
func (w *testCluster) hubs() []string {
	var out []string
	for name, h := range w.hosts {
		if h.syncer.watching() {
			out = append(out, name)
		}
	}
	return out
}

// setServer writes a server's record to the store.
func (w *testCluster) setServer(r fleet.Record) {
	if r.Slots == 0 {
		r.Slots = 4
	}
	if r.Service == "" {
		r.Service = "s"
	}
	r.Address = r.ID + ":1"
	w.store.set("server/"+r.ID, encode(r), "")
}

// setConfig writes a configuration with one route to the store.
func (w *testCluster) setConfig(version uint64) {
	w.store.set("config", encode(plainConfig{
		Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Sticky: true, Parts: []routing.Part{{Service: "s", Weight: 1}}}},
	}), "")
}

// traffic returns the bytes and pulls between gateways during a span.
func (w *testCluster) traffic(span time.Duration) (bytes, pulls int) {
	w.mu.Lock()
	bytes, pulls = w.pullBytes, w.pulls
	w.mu.Unlock()
	time.Sleep(span)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pullBytes - bytes, w.pulls - pulls
}

// routesTo reports whether the gateway may send requests to a server.
func (h *testHost) routesTo(server string) bool {
	g := h.keeper.View().groups["s"]
	if g == nil {
		return false
	}
	for _, s := range g.servers {
		if s.rec().ID == server {
			return true
		}
	}
	return false
}

// waitFor waits until cond holds and returns how long that took. It fails the test after
// limit.
func (w *testCluster) waitFor(limit time.Duration, what string, cond func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			w.t.Errorf("condition not met within %v: %s", limit, what)
			return limit
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func discardLog() *logrus.Entry { return logging.Discard() }

func (w *testCluster) noneRoutesTo(server string) func() bool {
	return func() bool {
		for _, h := range w.hosts {
			if h.routesTo(server) {
				return false
			}
		}
		return true
	}
}

// TestGatewaysConverge runs some gateways in real time, for the race detector. It checks
// only the state that they converge to, not how fast.
func TestGatewaysConverge(t *testing.T) {
	const timeout = 30 * time.Second
	w := newTestCluster(t)
	w.setConfig(1)
	for _, d := range testDomains {
		w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
	}
	w.addPerDomain(1)
	defer w.stopAll()
	w.waitFor(timeout, "all gateways have all members and servers", func() bool {
		for _, h := range w.hosts {
			if len(h.keeper.View().members) != len(w.hosts) || !h.routesTo("i-a1") {
				return false
			}
		}
		return true
	})
	w.setServer(fleet.Record{ID: "i-a1", Domain: "a1", State: fleet.Draining})
	w.hosts["b1-0"].syncer.Leave(t.Context())
	w.waitFor(timeout, "no gateway routes to i-a1", w.noneRoutesTo("i-a1"))
}
