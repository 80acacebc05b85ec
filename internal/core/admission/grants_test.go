package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestNoHistoryOversubscribesAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		if high := run(hosts, variant{}, histories.Draw(t, "history")); high > testSlots {
			t.Fatalf("%d requests on %d slots", high, testSlots)
		}
	})
}

// searchLimit bounds the histories in which a switched-off mechanism must show.
const searchLimit = 3000

func TestEachMechanismIsNeeded(t *testing.T) {
	for name, v := range map[string]variant{
		"owner by own view":      {noVoters: true},
		"no wait for old owner":  {noHold: true},
		"restart forgets grants": {forgetful: true},
		"every grant is all":     {greedy: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range searchLimit {
				if run(4, v, histories.Example(i)) > testSlots {
					return
				}
			}
			t.Fatalf("no fault in %d histories", searchLimit)
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
			sum += Share(k, n, slots)
			left -= k
		}
		if sum > slots || Share(n, n, slots) != slots {
			t.Fatalf("shares sum to %d of %d", sum, slots)
		}
	})
}

// TestOwnershipMoves follows one planned move, one death and one freeze.
func TestOwnershipMoves(t *testing.T) {
	m := newModel(4, variant{})
	exchange := func(hosts ...int) {
		for _, i := range hosts {
			m.exchange(m.hosts[i], 0b1111)
		}
	}
	limit := func(i, want int) {
		t.Helper()
		if got := m.limit(m.hosts[i]); got != want {
			t.Fatalf("host %d may fill %d slots, want %d", i, got, want)
		}
	}
	wants := func(i int, on bool) { m.hosts[i].wants = on; m.want(m.hosts[i]) }

	wants(0, true)
	exchange(0, 1, 2, 3)
	limit(0, 0) // the voters had not heard every host
	exchange(0)
	limit(0, testSlots)

	// A planned move: the old owner is idle, so the new one starts at once.
	wants(0, false)
	wants(1, true)
	exchange(0, 1)
	limit(0, 0)
	limit(1, testSlots)

	// The owner freezes with requests: nothing before lease and hold are over.
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
	limit(2, testSlots-1) // three of four voters: one slot stays with the fourth
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
				t.Fatalf("%s is held by %s or %s", s, got[s], h)
			}
		}
	})
}
