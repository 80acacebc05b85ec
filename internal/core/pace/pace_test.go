package pace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bound is what operators allow a cold server in a second.
func bound(rate float64) float64 { return rate*1.5 + 5 }

// TestColdServerBearsTwoOwners checks that no second holds more requests than a
// cold server bears, though two gateways with different views of the members
// both take themselves for its owner, and that a pace for each gateway alone
// overruns it.
func TestColdServerBearsTwoOwners(t *testing.T) {
	overrun := false
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		steps := rapid.SliceOfN(rapid.IntRange(0, 40), 50, 400).Draw(t, "steps")
		var owners [2]Limiter
		var sent, naive []time.Time
		now := time.Unix(0, 0)
		for i, ms := range steps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if owners[i%2].Take(now, rate) {
				sent = append(sent, now)
			}
			naive = append(naive, now)
		}
		if n := most(sent); float64(n) > bound(rate) {
			t.Fatalf("%d requests in a second at rate %.1f", n, rate)
		}
		overrun = overrun || float64(most(naive)) > bound(rate)
	})
	if !overrun {
		t.Fatal("sending at will never overran the server: the property finds nothing")
	}
}

// most returns the largest number of times within one second.
func most(times []time.Time) int {
	best, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= time.Second {
			from++
		}
		best = max(best, i-from+1)
	}
	return best
}

// TestOwnerIsAgreed checks that the order of members does not matter and that a
// member that leaves takes only its own servers along.
func TestOwnerIsAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		var members []string
		for i := range n {
			members = append(members, fmt.Sprintf("host-%d", i))
		}
		server := rapid.StringN(1, 12, -1).Draw(t, "server")
		owner := Owner(server, members)
		if got := Owner(server, rapid.Permutation(members).Draw(t, "order")); got != owner {
			t.Fatalf("owners %s and %s", owner, got)
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		rest := append(append([]string{}, members[:gone]...), members[gone+1:]...)
		if got := Owner(server, rest); members[gone] != owner && got != owner {
			t.Fatalf("owner moved from %s to %s though %s left", owner, got, members[gone])
		}
	})
}
