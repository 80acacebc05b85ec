package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// host is one gateway of a world.
type host struct {
	cfg    *Settings
	keeper *Keeper
	syncer *Syncer
	stop   context.CancelFunc
}

// world is a set of gateways with a store, on virtual time.
type world struct {
	t     *testing.T
	store *fakeStore
	hosts map[string]*host
	mu    sync.Mutex
	cut   map[string]bool
	seeds []string
	// bytes counts what pulls and their answers took, pulls how many there were.
	bytes, pulls int
}

var testDomains = []DomainRegion{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}

func newWorld(t *testing.T) *world {
	return &world{t: t, store: newFakeStore(), hosts: map[string]*host{}, cut: map[string]bool{}}
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
func (w *world) add(name, domain string) *host {
	cfg := testSettings(name, domain, len(w.hosts)+1)
	cfg.Seeds = w.seeds
	log := logging.Discard()
	k := NewKeeper(cfg, plainSchema{}, log)
	s := NewSyncer(cfg, peer.Identity{Host: name, Incarnation: uint64(time.Now().UnixNano())}, k,
		&storeClient{fakeStore: w.store, host: name}, plainSchema{}, &peers{w: w, self: name}, log, NewMetrics(prometheus.NewRegistry()))
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{cfg: cfg, keeper: k, syncer: s, stop: cancel}
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	go s.Run(ctx)
	return h
}

// fill starts n gateways in every domain.
func (w *world) fill(n int) {
	for i := range n {
		for _, d := range testDomains {
			w.add(fmt.Sprintf("%s-%d", d.Domain, i), d.Domain)
		}
	}
}

func (w *world) kill(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	h.stop()
}

func (w *world) end() {
	for _, h := range w.hosts {
		h.stop()
	}
}

// hubs returns the names of the hubs.
func (w *world) hubs() []string {
	var out []string
	for name, h := range w.hosts {
		if h.syncer.watching() {
			out = append(out, name)
		}
	}
	return out
}

// peers reaches other gateways of the world.
type peers struct {
	w    *world
	self string
}

func (p *peers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Reply, error) {
	p.w.mu.Lock()
	var to *host
	cut := p.w.cut[p.self]
	for name, h := range p.w.hosts {
		if h.cfg.Peer.String() == address {
			to, cut = h, cut || p.w.cut[name]
		}
	}
	p.w.mu.Unlock()
	if to == nil || cut {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: address}
	}
	// What is sent does not change afterwards.
	req = proto.CloneOf(req)
	page := to.keeper.Page(ctx, to.syncer.identity.Incarnation, req.GetMirrorPull())
	reply := &peerv1.Reply{Body: &peerv1.Reply_MirrorPage{MirrorPage: page}}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.pulls++
	p.w.bytes += proto.Size(req) + proto.Size(reply)
	return reply, nil
}

func (p *peers) Follow(context.Context, string, *peerv1.Request, func(*peerv1.Reply) error) error {
	return &port.PeerError{Code: port.PeerRefused}
}

// setServer writes a server's record.
func (w *world) setServer(r fleet.Record) {
	if r.Slots == 0 {
		r.Slots = 4
	}
	if r.Service == "" {
		r.Service = "s"
	}
	r.Address = r.ID + ":1"
	w.store.set("server/"+r.ID, encode(r), "")
}

// setConfig writes a configuration with one route.
func (w *world) setConfig(version uint64) {
	w.store.set("config", encode(plainConfig{
		Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Sticky: true, Parts: []routing.Part{{Service: "s", Weight: 1}}}},
	}), "")
}

// traffic returns the bytes and pulls between gateways in a span.
func (w *world) traffic(span time.Duration) (bytes, pulls int) {
	w.mu.Lock()
	bytes, pulls = w.bytes, w.pulls
	w.mu.Unlock()
	time.Sleep(span)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes - bytes, w.pulls - pulls
}

// uses reports whether a gateway would send work to a server.
func (h *host) uses(server string) bool {
	g := h.keeper.View().services["s"]
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

// eventually reports after how long cond held, or fails after limit.
func (w *world) eventually(limit time.Duration, what string, cond func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit {
			w.t.Errorf("not within %v: %s", limit, what)
			return limit
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func quiet() *logrus.Entry { return logging.Discard() }

func (w *world) allAvoid(server string) func() bool {
	return func() bool {
		for _, h := range w.hosts {
			if h.uses(server) {
				return false
			}
		}
		return true
	}
}

// TestGatewaysTogether plays some gateways in real time, for the race detector:
// its verdict hangs on what they know in the end, not on when.
func TestGatewaysTogether(t *testing.T) {
	const patience = 30 * time.Second
	w := newWorld(t)
	w.setConfig(1)
	for _, d := range testDomains {
		w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
	}
	w.fill(1)
	defer w.end()
	w.eventually(patience, "all gateways know all", func() bool {
		for _, h := range w.hosts {
			if len(h.keeper.View().members) != len(w.hosts) || !h.uses("i-a1") {
				return false
			}
		}
		return true
	})
	w.setServer(fleet.Record{ID: "i-a1", Domain: "a1", State: fleet.Draining})
	w.hosts["b1-0"].syncer.Leave(t.Context())
	w.eventually(patience, "i-a1 is left", w.allAvoid("i-a1"))
}
