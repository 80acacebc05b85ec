package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "cassiatray/proto/peer/v1"
)

const misses = 4

func member(host string, incarnation, version uint64) *peerv1.Member {
	return &peerv1.Member{Host: host, SteerIncarnation: incarnation, Version: version, Joined: true}
}

// observer is a view of members, by ticks or by clock.
type observer interface {
	tick(now time.Time)
	observe(now time.Time, m *peerv1.Member)
	live(now time.Time) int
}

type byTicks struct{ *View }

func (o byTicks) tick(time.Time)                        { o.Tick() }
func (o byTicks) observe(_ time.Time, m *peerv1.Member) { o.Observe(m) }
func (o byTicks) live(time.Time) int                    { return len(o.Live()) }

// byClock is the naive view: a member is live if its last heartbeat is recent
// by the clock.
type byClock map[string]time.Time

func (o byClock) tick(time.Time)                          {}
func (o byClock) observe(now time.Time, m *peerv1.Member) { o[m.Host] = now }
func (o byClock) live(now time.Time) int {
	n := 0
	for _, heard := range o {
		if now.Sub(heard) < misses*time.Second {
			n++
		}
	}
	return n
}

// losesMember simulates intervals in which every member sends a heartbeat, with
// pauses of the observer after which it ticks before it receives one. It
// reports whether the observer ever considered a live member dead.
func losesMember(rt *rapid.T, o observer) bool {
	now := time.Unix(0, 0)
	hosts := rapid.IntRange(1, 5).Draw(rt, "hosts")
	for range rapid.IntRange(1, 20).Draw(rt, "intervals") {
		for i := range hosts {
			o.observe(now, member(fmt.Sprint(i), 1, 1))
		}
		now = now.Add(time.Second)
		if rapid.Bool().Draw(rt, "paused") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(rt, "seconds")) * time.Second)
		}
		o.tick(now)
		if o.live(now) != hosts {
			return true
		}
	}
	return false
}

func TestPausedObserverKeepsMembers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if losesMember(rt, byTicks{NewView(misses)}) {
			rt.Fatal("a live member was considered dead")
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = losesMember(rt, byClock{}) || found })
	if !found {
		t.Fatal("the view by clock never lost a member: the property detects nothing")
	}
}

// TestNewestStateWins delivers states late, more than once and out of order.
func TestNewestStateWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := NewView(misses)
		var incarnation, version uint64
		for range rapid.IntRange(1, 30).Draw(rt, "heartbeats") {
			m := member("a", rapid.Uint64Range(1, 4).Draw(rt, "incarnation"), rapid.Uint64Range(1, 4).Draw(rt, "version"))
			v.Observe(m)
			if m.SteerIncarnation > incarnation || m.SteerIncarnation == incarnation && m.Version > version {
				incarnation, version = m.SteerIncarnation, m.Version
			}
			if got := v.Member("a"); got.SteerIncarnation != incarnation || got.Version != version {
				rt.Fatalf("view holds state %d.%d, newest is %d.%d", got.SteerIncarnation, got.Version, incarnation, version)
			}
		}
	})
}

func TestLead(t *testing.T) {
	leaving := member("a", 1, 1)
	leaving.EntryState = peerv1.HostState_HOST_STATE_LEAVING
	holder := member("c", 1, 1)
	holder.HoldsLease = true
	stale := member("d", 1, 1)
	stale.HoldsLease = true
	unjoined := member("0", 1, 1)
	unjoined.Joined = false
	for _, c := range []struct {
		name    string
		members []*peerv1.Member
		want    string
		choice  Choice
	}{
		{"no members", nil, "", ChoiceNone},
		{"rank", []*peerv1.Member{member("b", 1, 1), member("a", 1, 1)}, "a", ChoiceRank},
		{"leaving is least preferred", []*peerv1.Member{leaving, member("b", 1, 1)}, "b", ChoiceRank},
		{"only leaving", []*peerv1.Member{leaving}, "a", ChoiceRank},
		{"lease before rank", []*peerv1.Member{member("a", 1, 1), holder}, "c", ChoiceLease},
		{"two leases", []*peerv1.Member{stale, holder}, "c", ChoiceLease},
		{"not joined", []*peerv1.Member{unjoined, member("b", 1, 1)}, "b", ChoiceRank},
		{"none joined", []*peerv1.Member{unjoined}, "", ChoiceNone},
	} {
		v := NewView(misses)
		for _, m := range c.members {
			v.Observe(m)
		}
		if got, choice := v.Lead(); got.GetHost() != c.want || choice != c.choice {
			t.Errorf("%s: lead %q by %s", c.name, got.GetHost(), choice)
		}
	}
}

// TestLeaseCountsFromCall checks that a delayed response from the store does
// not extend the lease: it counts from the call.
func TestLeaseCountsFromCall(t *testing.T) {
	start := time.Unix(0, 0)
	l := NewLease(10 * time.Second)
	l.Renewed(start)
	if !l.Held(start.Add(9*time.Second)) || l.Held(start.Add(10*time.Second)) {
		t.Fatal("the lease does not expire after its TTL")
	}
	l.Renewed(start)
	if l.Held(start.Add(time.Minute)) {
		t.Fatal("a delayed response extended the lease")
	}
	l.Renewed(start.Add(time.Minute))
	l.Lost()
	if l.Held(start.Add(time.Minute)) {
		t.Fatal("a lost lease is still held")
	}
}
