package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestServerIsNeverOversubscribed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		if most := simulate(hosts, variant{}, histories.Draw(t, "history")); most > testSlots {
			t.Fatalf("%d requests in flight on a server with %d slots", most, testSlots)
		}
	})
}

// maxHistories bounds the number of histories in which a disabled mechanism must
// cause a violation.
const maxHistories = 3000

func TestModelDetectsDisabledMechanisms(t *testing.T) {
	for name, v := range map[string]variant{
		"no votes":                        {noVoters: true},
		"no wait for the previous holder": {noHold: true},
		"no wait after a voter's restart": {noRestartWait: true},
		"all slots for any grant":         {fullShareForAnyGrant: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range maxHistories {
				if simulate(4, v, histories.Example(i)) > testSlots {
					return
				}
			}
			t.Fatalf("no violation in %d histories", maxHistories)
		})
	}
}

func TestShareIsSuperadditive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "voters")
		slots := rapid.IntRange(0, 40).Draw(t, "slots")
		left, sum := n, 0
		for left > 0 {
			k := rapid.IntRange(1, left).Draw(t, "k")
			sum += SlotShare(k, n, slots)
			left -= k
		}
		if sum > slots || SlotShare(n, n, slots) != slots {
			t.Fatalf("the shares of disjoint voters sum to %d of %d slots", sum, slots)
		}
	})
}

// TestGrantMovesOnReleaseAndExpiry checks that a released grant can be used by the
// next holder immediately, and the grant of a frozen holder only after the lease
// and the hold have passed.
func TestGrantMovesOnReleaseAndExpiry(t *testing.T) {
	m := newModel(4, variant{})
	exchange := func(hosts ...int) {
		for _, i := range hosts {
			m.exchange(m.hosts[i], 0b1111)
		}
	}
	limit := func(i, want int) {
		t.Helper()
		if got := m.limit(m.hosts[i]); got != want {
			t.Fatalf("host %d may use %d slots, want %d", i, got, want)
		}
	}
	wants := func(i int, on bool) { m.hosts[i].wants = on; m.applyWants(m.hosts[i]) }

	wants(0, true)
	exchange(0, 1, 2, 3)
	limit(0, 0) // the voters did not yet have the claims of every host
	exchange(0)
	limit(0, testSlots)

	// Host 0 is idle and releases the server, so host 1 can start immediately.
	wants(0, false)
	wants(1, true)
	exchange(0, 1)
	limit(0, 0)
	limit(1, testSlots)

	// Host 1 freezes with requests in flight: host 2 cannot start any until the
	// lease and the hold have passed.
	m.fill(m.hosts[1])
	m.hosts[1].frozen = true
	wants(2, true)
	m.now = m.now.Add(testLease)
	exchange(2)
	limit(2, 0)
	m.now = m.now.Add(testHold - time.Millisecond)
	exchange(2)
	limit(2, 0)
	m.now = m.now.Add(time.Millisecond)
	m.expire()
	exchange(2)
	limit(2, testSlots-1) // three of four voters: one slot is reserved for the fourth
	m.hosts[1].frozen = false
	limit(1, 0)
}

func TestAssignIsEvenAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("h[0-9]{1,2}"), 1, 8, rapid.ID).Draw(t, "hosts")
		servers := rapid.SliceOfNDistinct(rapid.StringMatching("s[0-9]{1,2}"), 1, 12, rapid.ID).Draw(t, "servers")
		got := Assign("svc", servers, hosts)
		held := map[string]int{}
		for _, s := range servers {
			held[got[s]]++
		}
		for _, h := range hosts {
			if held[h] > (len(servers)+len(hosts)-1)/len(hosts) {
				t.Fatalf("%s holds %d of %d servers", h, held[h], len(servers))
			}
		}
		slices.Reverse(hosts)
		for s, h := range Assign("svc", servers, hosts) {
			if got[s] != h {
				t.Fatalf("%s is assigned to %s or %s, depending on the order of hosts", s, got[s], h)
			}
		}
	})
}
