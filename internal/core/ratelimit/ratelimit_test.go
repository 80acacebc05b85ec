package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// window is the time for which allowed counts.
const window = 4 * time.Second

// allowed is how many requests a server's limit, in requests per second, allows in window.
func allowed(limit float64) float64 { return 1.5*limit*window.Seconds() + 5 }

// most returns the largest number of times within a window.
func most(times []time.Time) int {
	best, start := 0, 0
	for i, at := range times {
		for at.Sub(times[start]) >= window {
			start++
		}
		best = max(best, i-start+1)
	}
	return best
}

// TestIssuerAndDeputyKeepLimit checks that a server gets no more requests than its limit
// allows while both the issuer and the deputy issue permits, whenever they are asked.
func TestIssuerAndDeputyKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 200).Draw(t, "limit")
		now := time.Unix(1000, 0)
		var issuer, deputy Bucket
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(1, 60).Draw(t, "burst") {
				if ok, _ := issuer.Take(now, limit, RoleIssuer); ok {
					sent = append(sent, now)
				}
				if ok, _ := deputy.Take(now, limit, RoleDeputy); ok {
					sent = append(sent, now)
				}
			}
		}
		if n := most(sent); float64(n) > allowed(limit) {
			t.Fatalf("%d permits in %v for a limit of %v a second, %v are allowed", n, window, limit, allowed(limit))
		}
	})
}

// TestPermitAfterWait checks that there is a permit after the time that a denial names,
// also for limits of less than one request a second.
func TestPermitAfterWait(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 1, 7.5, 400} {
		now := time.Unix(1000, 0)
		var b Bucket
		b.Take(now, limit, RoleIssuer)
		for n := range 10 {
			ok, wait := b.Take(now, limit, RoleIssuer)
			if ok {
				continue
			}
			now = now.Add(wait + time.Microsecond)
			if ok, _ := b.Take(now, limit, RoleIssuer); !ok {
				t.Errorf("limit %v: no permit %v after denial %d", limit, wait, n)
			}
		}
	}
}

// TestIssuersAreNearAndAgreed checks that the issuer and the deputy do not depend on the
// order of gateways, are in the server's failure domain as far as it has gateways, and
// that the deputy becomes the issuer if that leaves.
func TestIssuersAreNearAndAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var gateways []Gateway
		near := 0
		for i := range rapid.IntRange(0, 30).Draw(t, "gateways") {
			d := rapid.IntRange(0, 5).Draw(t, "domain")
			gateways = append(gateways, Gateway{Host: fmt.Sprint("g", i), Domain: fmt.Sprint("d", d), Region: fmt.Sprint("r", d/2)})
			if d == 0 {
				near++
			}
		}
		s := Server{ID: rapid.StringN(1, 8, -1).Draw(t, "server"), Domain: "d0", Region: "r0"}
		issuer, deputy := Issuers(s, gateways)
		if (issuer != nil) != (len(gateways) > 0) || (deputy != nil) != (len(gateways) > 1) {
			t.Fatalf("issuer %v and deputy %v of %d gateways", issuer, deputy, len(gateways))
		}
		if near > 0 && issuer.Domain != s.Domain || near > 1 && deputy.Domain != s.Domain {
			t.Fatalf("issuer %v and deputy %v, although %d gateways are in the server's domain", issuer, deputy, near)
		}
		if issuer == nil {
			return
		}
		shuffled := rapid.Permutation(gateways).Draw(t, "order")
		if other, _ := Issuers(s, shuffled); other.Host != issuer.Host || RoleOf(issuer.Host, s, shuffled) != RoleIssuer {
			t.Fatalf("issuer is %s in one order and %s in another", issuer.Host, other.Host)
		}
		var rest []Gateway
		for _, g := range gateways {
			if g.Host != issuer.Host {
				rest = append(rest, g)
			}
		}
		if next, _ := Issuers(s, rest); deputy != nil && next.Host != deputy.Host {
			t.Fatalf("after the issuer left, %s issues, not the deputy %s", next.Host, deputy.Host)
		}
	})
}

// TestCapacityShareIsSteady checks that a limit that varies a little moves no objects, and
// that its end does.
func TestCapacityShareIsSteady(t *testing.T) {
	share := func(limit float64) float64 { return CapacityShare(limit, 9, 300*time.Millisecond) }
	if Moves(share(10), share(11)) || Moves(share(10), share(8)) {
		t.Error("objects move although the limit varies by a fifth or less")
	}
	if !Moves(share(10), share(5)) || !Moves(1, share(10)) || !Moves(share(22), 1) {
		t.Error("objects do not move although the limit falls by half, begins or ends")
	}
	if s := share(0); s <= 0 || share(1000) != 1 {
		t.Errorf("share %v without requests, %v without need of a limit", s, share(1000))
	}
}
