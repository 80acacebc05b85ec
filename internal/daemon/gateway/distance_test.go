package gateway

import (
	"fmt"
	"testing"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/routing"
)

// distanceSite is a deployment of three regions with two failure domains each. Region c has a third
// of the callers and a tenth of the servers.
func distanceSite(domain string) *Settings {
	cfg := testSettings("g", domain, 1)
	cfg.Region = domain[:1]
	cfg.Domains = nil
	for _, d := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		cfg.Domains = append(cfg.Domains, DomainRegion{Domain: d, Region: d[:1]})
	}
	return cfg
}

func distanceGroup(cfg *Settings, long bool, without string) *serverGroup {
	g := new(serverGroup)
	for _, d := range cfg.Domains {
		for i := range map[string]int{"a": 10, "b": 8, "c": 2}[d.Region] {
			id := fmt.Sprintf("%s-%d", d.Domain, i)
			if id != without && d.Domain != without {
				g.servers = append(g.servers, newServer(fleet.Record{ID: id, Domain: d.Domain, Slots: 9}, d.Region))
			}
		}
	}
	g.buildRings(cfg, long)
	return g
}

// first returns the first server of an object's order.
func first(r *ranking, object uint64) *server {
	for _, s := range r.ranked(object, false) {
		return s
	}
	return nil
}

const distanceObjects = 600

// TestLongBodiesStayInTheirDomain guards against long bodies that cross between the failure domains of
// a region although the caller's own domain has room for them (uploads of 60 kB, a third of all
// bytes between domains).
func TestLongBodiesStayInTheirDomain(t *testing.T) {
	upload := &routing.Route{LongRequests: true}
	for _, x := range []struct {
		domain string
		// own is the least share of objects placed in the domain, region in its region.
		own, region float64
	}{{"a1", 0.99, 0.99}, {"b2", 0.99, 0.99}, {"c1", 0.25, 0.25}} {
		g := distanceGroup(distanceSite(x.domain), true, "")
		var own, region int
		for i := range distanceObjects {
			s := first(g.rankingFor(upload), placement.Object("r", fmt.Sprint(i)))
			if s.rec().Domain == x.domain {
				own++
			}
			if s.region == x.domain[:1] {
				region++
			}
		}
		if float64(own) < x.own*distanceObjects || float64(region) < x.region*distanceObjects {
			t.Errorf("%s: %d of %d objects in the domain and %d in the region", x.domain, own, distanceObjects, region)
		}
		if region != own {
			t.Errorf("%s: %d objects in other domains of the region, which have as little room", x.domain, region-own)
		}
	}
}

// TestShortBodiesIgnoreDomains guards against deployments without long bodies whose objects are
// placed otherwise than before: on both domains of the region, alike for all of its gateways.
func TestShortBodiesIgnoreDomains(t *testing.T) {
	short := &routing.Route{}
	one, other := distanceGroup(distanceSite("a1"), true, ""), distanceGroup(distanceSite("a2"), false, "")
	if other.near != nil {
		t.Error("a second ranking is kept although no route has long bodies")
	}
	domains := map[string]int{}
	for i := range distanceObjects {
		object := placement.Object("r", fmt.Sprint(i))
		x, y := first(one.rankingFor(short), object), first(other.rankingFor(short), object)
		if x.rec().ID != y.rec().ID {
			t.Fatalf("object %d is on %s for one domain and on %s for the other", i, x.rec().ID, y.rec().ID)
		}
		domains[x.rec().Domain]++
	}
	if domains["a1"] < distanceObjects/3 || domains["a2"] < distanceObjects/3 {
		t.Errorf("objects by domain: %v", domains)
	}
}

// TestFewLongBodiesMove guards against objects that lose their warm servers when a server of
// another failure domain, or one of their own, leaves.
func TestFewLongBodiesMove(t *testing.T) {
	upload := &routing.Route{LongRequests: true}
	cfg := distanceSite("a1")
	before := distanceGroup(cfg, true, "").rankingFor(upload)
	for _, x := range []struct {
		leaves string
		most   float64
	}{{"a1-3", 0.16}, {"a2-3", 0.02}, {"b1-3", 0.02}} {
		after := distanceGroup(cfg, true, x.leaves).rankingFor(upload)
		moved := 0
		for i := range distanceObjects {
			object := placement.Object("r", fmt.Sprint(i))
			if first(before, object).rec().ID != first(after, object).rec().ID {
				moved++
			}
		}
		if float64(moved) > x.most*distanceObjects {
			t.Errorf("%d of %d objects moved when %s left", moved, distanceObjects, x.leaves)
		}
	}
}

// TestLostDomainSpreadsItsObjects guards against a failure domain without servers whose objects all
// go to one server, the first of those on which nothing was placed.
func TestLostDomainSpreadsItsObjects(t *testing.T) {
	upload := &routing.Route{LongRequests: true}
	r := distanceGroup(distanceSite("a1"), true, "").rankingFor(upload)
	servers := map[string]int{}
	for i := range distanceObjects {
		// The servers of the domain are in the list, and cannot be reached.
		for _, s := range r.ranked(placement.Object("r", fmt.Sprint(i)), false) {
			if s.rec().Domain != "a1" {
				servers[s.rec().ID]++
				break
			}
		}
	}
	// The ten servers of the region's other domain come next.
	for id, n := range servers {
		if n > 2*distanceObjects/10 || id[:2] != "a2" {
			t.Errorf("%d of %d objects went to %s", n, distanceObjects, id)
		}
	}
}
