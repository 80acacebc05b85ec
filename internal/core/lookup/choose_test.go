package lookup

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
)

// place makes a document of regions with domains a, b.. and servers in each.
func place(regions []string, domains, hosts, services int) (*document.Index, []Host) {
	doc := &document.Document{}
	var all []Host
	var names []string
	for _, r := range regions {
		region := document.Region{Name: r}
		for d := range domains {
			dom := document.Domain{Name: fmt.Sprintf("%s-%d", r, d)}
			for h := range hosts {
				name := fmt.Sprintf("%s-%d", dom.Name, h)
				dom.EntryHosts = append(dom.EntryHosts, document.EntryHost{Name: name})
				all = append(all, Host{Name: name, Domain: dom.Name, Region: r, Incarnation: 1})
			}
			region.Domains = append(region.Domains, dom)
			names = append(names, dom.Name)
		}
		doc.Regions = append(doc.Regions, region)
	}
	for s := range services {
		svc := document.Service{Name: fmt.Sprintf("service-%d", s), Slots: 3}
		for _, d := range names {
			svc.Servers = append(svc.Servers, document.BackendServer{Name: d, Domain: d})
		}
		doc.Services = append(doc.Services, svc)
	}
	return document.NewIndex(doc), all
}

func flat(string, string) float64 { return 1 }
func none(string, string) float64 { return 0 }

func address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

func TestChooseNamesDistinctHostsAndAnotherDomain(t *testing.T) {
	regions := []string{"sask", "alta", "mani"}
	rapid.Check(t, func(t *rapid.T) {
		domains, hosts := rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "hosts")
		ix, all := place(regions, domains, hosts, 1)
		live := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), func(h Host) string { return h.Name }).Draw(t, "live")
		weights := Weights{
			Domain: func(string, string) float64 { return rapid.Float64Range(0, 3).Draw(t, "weight") },
			Away:   func(string, string) float64 { return rapid.Float64Range(0, 1).Draw(t, "away") },
		}
		q := Query{Service: "service-0", Regions: []string{"alta", "sask"}, Spread: Spread(rapid.Uint64().Draw(t, "spread")), Count: rapid.IntRange(1, 4).Draw(t, "count")}
		got := NewPlan(ix, live, weights).Choose(nil, q)
		names, places, regions := map[string]bool{}, map[string]bool{}, map[string]bool{}
		for _, h := range got {
			names[h.Name] = true
		}
		known := map[string]bool{}
		for _, h := range live {
			known[h.Name], places[h.Domain], regions[h.Region] = true, true, true
		}
		for name := range names {
			if !known[name] {
				t.Fatalf("%s is not live", name)
			}
		}
		if len(names) != len(got) || len(got) == 0 || len(got) > q.Count {
			t.Fatalf("hosts %v for count %d", got, q.Count)
		}
		if want := min(q.Count, len(live)); len(got) != want {
			t.Fatalf("%d hosts of %d live for count %d", len(got), len(live), q.Count)
		}
		if last := got[len(got)-1]; q.Count > 1 && len(places) > 1 && last.Domain == got[0].Domain {
			t.Fatalf("first and last are both of %s", last.Domain)
		}
		if last := got[len(got)-1]; q.Count > 2 && len(regions) > 1 && last.Region == got[0].Region {
			t.Fatalf("first and last are both of region %s", last.Region)
		}
	})
}

// part returns the part of callers whose first host is in a place.
func part(p *Plan, regions []string, in func(Host) bool) float64 {
	const callers = 20000
	n := 0
	for i := range callers {
		got := p.Choose(nil, Query{Service: "service-0", Regions: regions, Spread: SpreadOf(address(i)), Count: 2})
		if in(got[0]) {
			n++
		}
	}
	return float64(n) / callers
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	const tolerance = 0.015 // four standard deviations of 20,000 callers
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%s: part %.3f, want %.3f", what, got, want)
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	ix, hosts := place([]string{"sask", "alta"}, 2, 3, 1)
	weights := Weights{Away: none, Domain: func(_, d string) float64 { return map[string]float64{"sask-0": 3, "sask-1": 1}[d] }}
	p := NewPlan(ix, hosts, weights)
	near(t, "domain of weight 3 beside 1", part(p, []string{"sask"}, func(h Host) bool { return h.Domain == "sask-0" }), 0.75)
	near(t, "one of its three hosts", part(p, []string{"sask"}, func(h Host) bool { return h.Name == "sask-0-1" }), 0.25)
	near(t, "domains without weight", part(p, []string{"alta"}, func(h Host) bool { return h.Domain == "alta-0" }), 0.5)
	near(t, "other regions", part(p, []string{"sask"}, func(h Host) bool { return h.Region == "alta" }), 0)
}

func TestDrainMovesCallersOnce(t *testing.T) {
	ix, hosts := place([]string{"sask", "alta"}, 2, 3, 1)
	moved := map[int]bool{}
	for step := range 11 {
		away := float64(step) / 10
		p := NewPlan(ix, hosts, Weights{Domain: flat, Away: func(_, r string) float64 {
			if r == "sask" {
				return away
			}
			return 0
		}})
		near(t, "callers moved", part(p, []string{"sask", "alta"}, func(h Host) bool { return h.Region == "alta" }), away)
		for i := range 2000 {
			got := p.Choose(nil, Query{Service: "service-0", Regions: []string{"sask"}, Spread: SpreadOf(address(i)), Count: 1})
			gone := got[0].Region != "sask"
			if moved[i] && !gone {
				t.Fatalf("caller %d came back at part %.1f", i, away)
			}
			moved[i] = gone
		}
	}
}
