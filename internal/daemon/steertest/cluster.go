package steertest

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membership"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/envstore"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
)

// Environment is the environment that the hosts of a cluster run.
const Environment = "production"

// Ports of the hosts.
const (
	portCaller = 1
	portEntry  = 2
	portSteer  = 3
)

// Cluster is a set of hosts with one store and one network.
type Cluster struct {
	Net   *Net
	KV    *KV
	Doc   *document.Document
	Store *envstore.Store
	Hosts []*Host
}

// Host is one entry host: a steer process and the feed of an entry process.
type Host struct {
	document.EntryHost
	Domain string
	// Node and Feed are those of the newest start.
	Node    *steer.Node
	Feed    *entry.Feed
	Traffic *Traffic

	cluster *Cluster
	stops   []func()
}

// New returns a cluster of domains with a number of hosts each, and blocks
// client blocks. Nothing is started.
func New(domains, hostsPerDomain, blocks int) *Cluster {
	c := &Cluster{Net: NewNet(), KV: NewKV(), Doc: Document(domains, hostsPerDomain, blocks)}
	c.Store = envstore.New(c.KV.From("operator"), port.SystemClock{})
	for _, r := range c.Doc.Regions {
		for _, d := range r.Domains {
			for _, h := range d.EntryHosts {
				c.Hosts = append(c.Hosts, &Host{EntryHost: h, Domain: d.Name, cluster: c, Traffic: new(Traffic)})
			}
		}
	}
	return c
}

func address(domain, host, port int) document.Address {
	ip := netip.AddrFrom4([4]byte{10, byte(domain), byte(host), 1})
	return document.Address{AddrPort: netip.AddrPortFrom(ip, uint16(port))}
}

// Block returns the i-th client block.
func Block(i int) document.Prefix {
	ip := netip.AddrFrom4([4]byte{byte(i >> 16), byte(i >> 8), byte(i), 0})
	return document.Prefix{Prefix: netip.PrefixFrom(ip, 24)}
}

// domainsPerRegion is how many domains a region of a made-up document has.
const domainsPerRegion = 2

// Document returns a document of the given sizes.
func Document(domains, hostsPerDomain, blocks int) *document.Document {
	doc := &document.Document{
		Weigh:  document.WeighLatency,
		Lookup: document.Lookup{TTL: document.Duration(time.Second), Hosts: 3},
		Services: []document.Service{{Name: "rodsheet", Slots: 9, Connections: 850, Classes: []document.Class{{
			Name: "sheet", Methods: []string{"GET"}, Path: "/", Execution: document.Idempotent,
			Deadline: document.Duration(time.Second),
		}}}},
	}
	var names []string
	for i := range domains {
		if i%domainsPerRegion == 0 {
			names = append(names, fmt.Sprintf("region-%03d", i/domainsPerRegion))
			doc.Regions = append(doc.Regions, document.Region{Name: names[len(names)-1]})
		}
		d := document.Domain{Name: fmt.Sprintf("domain-%03d", i)}
		for k := range hostsPerDomain {
			d.EntryHosts = append(d.EntryHosts, document.EntryHost{
				Name:   fmt.Sprintf("host-%03d-%02d", i, k),
				Caller: address(i, k, portCaller), Entry: address(i, k, portEntry), Steer: address(i, k, portSteer),
			})
		}
		last := &doc.Regions[len(doc.Regions)-1]
		last.Domains = append(last.Domains, d)
	}
	for i := range blocks {
		doc.Clients = append(doc.Clients, document.Client{Block: Block(i), Regions: preference(names, i)})
	}
	return doc
}

// preferred is how many regions a block of a made-up document names.
const preferred = 3

func preference(regions []string, i int) []string {
	var out []string
	for k := range min(preferred, len(regions)) {
		out = append(out, regions[(i+k)%len(regions)])
	}
	return out
}

// Apply puts the cluster's document in force as a new change.
func (c *Cluster) Apply(ctx context.Context, reason string) (document.Head, error) {
	sections, err := document.Divide(c.Doc)
	if err != nil {
		return document.Head{}, err
	}
	base, _, err := c.Store.Head(ctx, Environment)
	if err != nil {
		return document.Head{}, err
	}
	return c.Store.Apply(ctx, envstore.Proposal{
		Environment: Environment, Base: base, Author: "operator", Reason: reason, From: "file", Sections: sections,
	})
}

// ChangeBlock gives one client block other regions, and applies the document.
func (c *Cluster) ChangeBlock(ctx context.Context, i int) (document.Head, error) {
	regions := c.Doc.Clients[i].Regions
	c.Doc.Clients[i].Regions = append(regions[1:len(regions):len(regions)], regions[0])
	return c.Apply(ctx, fmt.Sprintf("block %d", i))
}

// Start starts every host.
func (c *Cluster) Start() {
	for _, h := range c.Hosts {
		h.Start()
	}
}

// Stop stops every host and the store.
func (c *Cluster) Stop() {
	c.Net.thawAll()
	var wg sync.WaitGroup
	for _, h := range c.Hosts {
		wg.Go(h.Stop)
	}
	wg.Wait()
	c.KV.Close()
}

// Of returns the hosts of a domain.
func (c *Cluster) Of(domain int) []*Host {
	var out []*Host
	for _, h := range c.Hosts {
		if h.Domain == fmt.Sprintf("domain-%03d", domain) {
			out = append(out, h)
		}
	}
	return out
}

// seeds returns the steer addresses of the domain's other hosts, and of the
// first host of a few others.
func (c *Cluster) seeds(h *Host) []document.Address {
	var out []document.Address
	last := ""
	for _, other := range c.Hosts {
		if other != h && (other.Domain == h.Domain || other.Domain != last && len(out) < maxSeeds) {
			out = append(out, other.Steer)
		}
		last = other.Domain
	}
	return out
}

const maxSeeds = 8

// heartbeat is the interval of the hosts' heartbeats.
const heartbeat = document.Duration(steer.DefaultHeartbeat)

// Start starts both processes of the host anew, with nothing kept.
func (h *Host) Start() {
	h.StartSteer()
	h.StartEntry()
}

// StartSteer starts the steer process.
func (h *Host) StartSteer() {
	c, steerAddress := h.cluster, h.Steer.String()
	id := peer.Identity{Host: h.Name, Incarnation: membership.NewIncarnation(time.Now(), 0)}
	cfg := steer.Settings{
		Host: h.Name, Domain: h.Domain, Environment: Environment, Peer: h.Steer, Seeds: c.seeds(h),
		Heartbeat: heartbeat, PlatformTimeout: document.Duration(steer.DefaultPlatformTimeout),
	}
	pool := peer.NewPool(id, c.Net.Dial(steerAddress, h.Traffic))
	store := envstore.New(c.KV.From(steerAddress), port.SystemClock{})
	h.Node = steer.NewNode(cfg, id.Incarnation, store, pool, port.SystemClock{}, logging.Discard())
	srv := peer.NewServer(id, h.Node)
	srv.Start(c.Net.Listen(steerAddress, h.Traffic))
	h.run(h.Node.Run, srv, pool)
}

// StartEntry starts the feed of the entry process.
func (h *Host) StartEntry() {
	c := h.cluster
	id := peer.Identity{Host: h.Name, Incarnation: membership.NewIncarnation(time.Now(), 1)}
	cfg := entry.Settings{
		Host: h.Name, Domain: h.Domain, Environment: Environment, Steer: h.Steer, Caller: h.Caller, Peer: h.Entry,
		Heartbeat: heartbeat,
	}
	pool := peer.NewPool(id, c.Net.Dial(h.Entry.String(), new(Traffic)))
	h.Feed = entry.NewFeed(cfg, id.Incarnation, pool, logging.Discard())
	h.run(h.Feed.Run, nil, pool)
}

func (h *Host) run(loop func(context.Context), srv *peer.Server, pool *peer.Pool) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { loop(ctx) })
	h.stops = append(h.stops, func() {
		cancel()
		if srv != nil {
			srv.Close()
		}
		pool.Close()
		wg.Wait()
	})
}

// Stop stops what runs on the host.
func (h *Host) Stop() {
	for _, stop := range h.stops {
		stop()
	}
	h.stops = nil
}

// StopSteer stops the steer process only.
func (h *Host) StopSteer() {
	h.stops[0]()
	h.stops = h.stops[1:]
}

// Replace stops the host and starts it anew.
func (h *Host) Replace() {
	h.Stop()
	h.Start()
}

// Sequence returns the sequence in force at the host's entry process.
func (h *Host) Sequence() uint64 {
	if s := h.Feed.Snapshot(); s != nil {
		return s.Head.Sequence
	}
	return 0
}

// Leads reports whether the host's steer process takes itself for the lead.
func (h *Host) Leads() bool { return h.State().Lead == h.Name }

// State returns the dump of the host's steer process.
func (h *Host) State() steer.State { return h.Node.Dump().(steer.State) }
