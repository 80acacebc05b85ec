package pace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coldLimit is the number of requests that a cold server may get in one second:
// the configured rate with the tolerance that operators allow.
func coldLimit(rate float64) float64 { return rate*1.5 + 5 }

// TestTwoOwnersStayWithinColdLimit checks that a cold server stays within its
// limit in any second even if two gateways with different views of the
// membership both act as its owner, and that sending without a limiter exceeds
// it.
func TestTwoOwnersStayWithinColdLimit(t *testing.T) {
	overrun := false
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		steps := rapid.SliceOfN(rapid.IntRange(0, 40), 50, 400).Draw(t, "steps")
		var limiters [2]Limiter
		var sent, naive []time.Time
		now := time.Unix(0, 0)
		for i, ms := range steps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if limiters[i%2].Take(now, rate) {
				sent = append(sent, now)
			}
			naive = append(naive, now)
		}
		if n := maxPerSecond(sent); float64(n) > coldLimit(rate) {
			t.Fatalf("%d requests in one second at rate %.1f", n, rate)
		}
		overrun = overrun || float64(maxPerSecond(naive)) > coldLimit(rate)
	})
	if !overrun {
		t.Fatal("sending without a limiter never exceeded the limit: the property detects nothing")
	}
}

// maxPerSecond returns the largest number of times within one second.
func maxPerSecond(times []time.Time) int {
	best, start := 0, 0
	for i, at := range times {
		for at.Sub(times[start]) >= time.Second {
			start++
		}
		best = max(best, i-start+1)
	}
	return best
}

// TestOwnerIgnoresMemberOrder checks that the owner does not depend on the
// order of members, and that removing a member moves only the servers that it
// owned.
func TestOwnerIgnoresMemberOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		var members []string
		for i := range n {
			members = append(members, fmt.Sprintf("host-%d", i))
		}
		server := rapid.StringN(1, 12, -1).Draw(t, "server")
		owner := Owner(server, members)
		if got := Owner(server, rapid.Permutation(members).Draw(t, "order")); got != owner {
			t.Fatalf("owner is %s in one order and %s in another", owner, got)
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		remaining := append(append([]string{}, members[:removed]...), members[removed+1:]...)
		if got := Owner(server, remaining); members[removed] != owner && got != owner {
			t.Fatalf("owner moved from %s to %s when %s left", owner, got, members[removed])
		}
	})
}

// TestHeldLimiter checks that a limiter allows nothing for a second after a hold, and then
// what it did before.
func TestHeldLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Limiter
	l.Hold(now)
	c := l.Clone()
	for _, l := range []*Limiter{&l, &c} {
		if l.Take(now.Add(window-time.Millisecond), 10) {
			t.Error("a request is allowed during the hold")
		}
		if !l.Take(now.Add(window), 10) {
			t.Error("no request is allowed after the hold")
		}
	}
}
