package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func newTestRing(names []string, weight func(string) float64) *Ring {
	var list []Server
	for _, n := range names {
		list = append(list, Server{ID: n, Weight: weight(n)})
	}
	return NewRing(list)
}

func serverNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("i-%04x", i*40503))
	}
	return out
}

func equalWeight(string) float64 { return 1 }

func topServer(r *Ring, list []string, object uint64) string { return list[r.Rank(object, 1)[0]] }

// TestRankIgnoresServerOrder checks that gateways compute the same ranking
// whatever the order in which they list the servers.
func TestRankIgnoresServerOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := serverNames(rapid.IntRange(1, 30).Draw(t, "servers"))
		shuffled := rapid.Permutation(list).Draw(t, "order")
		object := rapid.Uint64().Draw(t, "object")
		a, b := newTestRing(list, equalWeight), newTestRing(shuffled, equalWeight)
		for i, j := range a.Rank(object, len(list)) {
			if other := shuffled[b.Rank(object, len(list))[i]]; list[j] != other {
				t.Fatalf("rank %d: %s in one order, %s in another", i, list[j], other)
			}
		}
	})
}

// TestRankTopMatchesFullRank checks that the n best servers are the first n of
// the full ranking.
func TestRankTopMatchesFullRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := serverNames(rapid.IntRange(0, 80).Draw(t, "servers"))
		r := newTestRing(list, func(n string) float64 { return float64(len(n)+int(n[len(n)-1])%5) / 8 })
		object := rapid.Uint64().Draw(t, "object")
		all := r.Rank(object, len(list))
		for n := range min(len(list), insertionLimit+4) {
			if top := r.Rank(object, n); !slices.Equal(top, all[:n]) {
				t.Fatalf("the best %d are %v of %v", n, top, all)
			}
		}
	})
}

// TestRemovedServerMovesOnlyItsObjects checks that the objects of other servers
// stay, and that taking the hash modulo the number of servers moves most
// objects.
func TestRemovedServerMovesOnlyItsObjects(t *testing.T) {
	list := serverNames(20)
	remaining := slices.Delete(slices.Clone(list), 3, 4)
	all, reduced := newTestRing(list, equalWeight), newTestRing(remaining, equalWeight)
	moved, naive := 0, 0
	const objects = 2000
	for o := range objects {
		h := Object("route", fmt.Sprint(o))
		before, after := topServer(all, list, h), topServer(reduced, remaining, h)
		if before != list[3] && before != after {
			t.Fatalf("object %d moved from %s to %s", o, before, after)
		}
		if before != after {
			moved++
		}
		if list[h%20] != remaining[h%19] {
			naive++
		}
	}
	if moved > objects/10 || naive < objects/2 {
		t.Errorf("%d objects moved, %d by modulo, of %d", moved, naive, objects)
	}
}

// TestObjectsFollowWeights checks that servers get objects in proportion to
// their weights.
func TestObjectsFollowWeights(t *testing.T) {
	list := serverNames(4)
	weights := map[string]float64{list[0]: 1, list[1]: 2, list[2]: 3, list[3]: 4}
	r := newTestRing(list, func(n string) float64 { return weights[n] })
	got := map[string]int{}
	const objects = 20000
	for o := range objects {
		got[topServer(r, list, Object("route", fmt.Sprint(o)))]++
	}
	for n, w := range weights {
		if share := float64(got[n]) / objects; math.Abs(share-w/10) > 0.02 {
			t.Errorf("%s with weight %.0f of 10 won %.3f", n, w, share)
		}
	}
}

// TestSharesSumToOne checks that the shares of a group's requests sum to one
// and that a group without servers gets none.
func TestSharesSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := make([]Zone, rapid.IntRange(1, 9).Draw(t, "groups"))
		total := 0.0
		for i := range groups {
			groups[i] = Zone{Capacity: float64(rapid.IntRange(0, 60).Draw(t, "capacity")), Callers: float64(rapid.IntRange(1, 3).Draw(t, "callers"))}
			total += groups[i].Capacity
		}
		own := rapid.IntRange(0, len(groups)-1).Draw(t, "own")
		sum := 0.0
		for i, s := range Shares(groups, own) {
			if s < 0 || groups[i].Capacity == 0 && s > 0 {
				t.Fatalf("group %d of %v gets %.3f", i, groups, s)
			}
			sum += s
		}
		if total > 0 && math.Abs(sum-1) > 1e-9 {
			t.Fatalf("shares of %v for group %d sum to %.4f", groups, own, sum)
		}
	})
}

// TestSmallGroupIsNotOverloaded checks that a group with a tenth of the servers
// and a third of the callers gets at most localLoadFactor times its fair part,
// and that keeping all requests local would overload it.
func TestSmallGroupIsNotOverloaded(t *testing.T) {
	groups := []Zone{{Capacity: 90, Callers: 2}, {Capacity: 18, Callers: 2}, {Capacity: 72, Callers: 2}}
	load := make([]float64, len(groups))
	naive := make([]float64, len(groups))
	for own, g := range groups {
		for i, s := range Shares(groups, own) {
			load[i] += s * g.Callers
		}
		naive[own] += g.Callers
	}
	for i, g := range groups {
		if fair := 6 * g.Capacity / 180; load[i] > localLoadFactor*fair+1e-9 {
			t.Errorf("group %d with capacity %.0f gets %.2f of 6, fair is %.2f", i, g.Capacity, load[i], fair)
		}
	}
	if naive[1] < 3*6*groups[1].Capacity/180 {
		t.Error("keeping all requests local does not overload the group: the test detects nothing")
	}
}
