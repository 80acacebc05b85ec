package lookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"cassiatray/internal/core/document"
)

// Sizes of the target. A site is a service in a failure domain: 15 services in
// 112 failure domains are 1,680 sites, on 46 regions of two or three domains.
const (
	targetBlocks   = 440_000
	targetServices = 15
	targetRegions  = 46
	targetHosts    = 33 // of each failure domain
)

func targetPlan() (*document.Index, []Host) {
	var regions []string
	for i := range targetRegions {
		regions = append(regions, fmt.Sprintf("region-%02d", i))
	}
	ix, hosts := place(regions, 2, targetHosts, targetServices)
	// 20 regions have a third domain.
	doc := *ix.Doc
	for r := range 20 {
		d := document.Domain{Name: fmt.Sprintf("region-%02d-2", r)}
		for h := range targetHosts {
			name := fmt.Sprintf("%s-%d", d.Name, h)
			d.EntryHosts = append(d.EntryHosts, document.EntryHost{Name: name})
			hosts = append(hosts, Host{Name: name, Domain: d.Name, Region: regions[r], Incarnation: 1})
		}
		doc.Regions[r].Domains = append(doc.Regions[r].Domains, d)
		for s := range doc.Services {
			doc.Services[s].Servers = append(doc.Services[s].Servers, document.BackendServer{Name: d.Name, Domain: d.Name})
		}
	}
	return document.NewIndex(&doc), hosts
}

// targetClients returns distinct blocks, an eighth of them inside another one.
func targetClients() []document.Client {
	out := make([]document.Client, 0, targetBlocks)
	for i := range targetBlocks {
		a := netip.AddrFrom4([4]byte{byte(1 + i>>14), byte(i >> 6), byte(i << 2), 0})
		bits := 22
		if i%8 == 7 {
			a, bits = netip.AddrFrom4([4]byte{byte(1 + i>>14), byte(i >> 6), byte((i - 1) << 2), 0}), 24
		}
		r := int(mix(uint64(i)) % targetRegions)
		c := client(netip.PrefixFrom(a, bits))
		for k := range 3 {
			c.Regions = append(c.Regions, fmt.Sprintf("region-%02d", (r+k)%targetRegions))
		}
		out = append(out, c)
	}
	return out
}

// probes returns an address of every block, in random order.
func probes(clients []document.Client) []netip.Addr {
	out := make([]netip.Addr, len(clients))
	for i, j := range rand.New(rand.NewPCG(1, 2)).Perm(len(clients)) {
		out[i] = clients[j].Block.Addr().Next()
	}
	return out
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkFind(b *testing.B) {
	clients := targetClients()
	before := heap()
	table := NewTable(clients)
	perBlock := float64(heap()-before) / float64(table.Len())
	list := probes(clients)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := table.Find(list[i%len(list)]); !ok {
			b.Fatal("no block")
		}
	}
	b.ReportMetric(perBlock, "B/block")
}

func BenchmarkChange(b *testing.B) {
	clients := targetClients()
	table := NewTable(clients)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table = table.With(clients[i%len(clients):i%len(clients)+1], nil)
	}
}

// BenchmarkAnswer is Find and Choose together.
func BenchmarkAnswer(b *testing.B) {
	clients := targetClients()
	table, list := NewTable(clients), probes(clients)
	ix, hosts := targetPlan()
	plan := NewPlan(ix, hosts, Weights{Domain: flat, Away: none})
	var buf [3]Host
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := list[i%len(list)]
		block, _ := table.Find(a)
		if len(plan.Choose(buf[:0], Query{Service: "service-3", Regions: block.Regions, Spread: SpreadOf(a), Count: 3})) != 3 {
			b.Fatal("too few hosts")
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	ix, hosts := targetPlan()
	b.ReportAllocs()
	for b.Loop() {
		NewPlan(ix, hosts, Weights{Domain: flat, Away: none})
	}
}
