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

// observer is a view under test.
type observer interface {
	tick(now time.Time)
	hear(now time.Time, m *peerv1.Member)
	live(now time.Time) int
}

type byTicks struct{ *View }

func (o byTicks) tick(time.Time)                     { o.Tick() }
func (o byTicks) hear(_ time.Time, m *peerv1.Member) { o.Observe(m) }
func (o byTicks) live(time.Time) int                 { return len(o.Live()) }

// byClock is the naive view: it judges by the time since a member was heard.
type byClock map[string]time.Time

func (o byClock) tick(time.Time)                       {}
func (o byClock) hear(now time.Time, m *peerv1.Member) { o[m.Host] = now }
func (o byClock) live(now time.Time) int {
	n := 0
	for _, heard := range o {
		if now.Sub(heard) < misses*time.Second {
			n++
		}
	}
	return n
}

// loses plays intervals in which every member is heard, and pauses of the
// observer in between, after which it ticks before it hears anyone. It reports
// whether the observer ever took a member for dead.
func loses(rt *rapid.T, o observer) bool {
	now := time.Unix(0, 0)
	hosts := rapid.IntRange(1, 5).Draw(rt, "hosts")
	for range rapid.IntRange(1, 20).Draw(rt, "intervals") {
		for i := range hosts {
			o.hear(now, member(fmt.Sprint(i), 1, 1))
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

func TestPauseLosesNoMember(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if loses(rt, byTicks{NewView(misses)}) {
			rt.Fatal("a member was taken for dead")
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = loses(rt, byClock{}) || found })
	if !found {
		t.Fatal("the property does not find the naive view's fault")
	}
}

// TestNewestStateWins delivers states late, twice and crossed.
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
				rt.Fatalf("holds %d.%d, newest is %d.%d", got.SteerIncarnation, got.Version, incarnation, version)
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
	stranger := member("0", 1, 1)
	stranger.Joined = false
	for _, c := range []struct {
		name    string
		members []*peerv1.Member
		want    string
		choice  Choice
	}{
		{"nobody", nil, "", ChoiceNone},
		{"rank", []*peerv1.Member{member("b", 1, 1), member("a", 1, 1)}, "a", ChoiceRank},
		{"leaving goes last", []*peerv1.Member{leaving, member("b", 1, 1)}, "b", ChoiceRank},
		{"only leaving", []*peerv1.Member{leaving}, "a", ChoiceRank},
		{"lease before rank", []*peerv1.Member{member("a", 1, 1), holder}, "c", ChoiceLease},
		{"two leases", []*peerv1.Member{stale, holder}, "c", ChoiceLease},
		{"not joined", []*peerv1.Member{stranger, member("b", 1, 1)}, "b", ChoiceRank},
		{"none joined", []*peerv1.Member{stranger}, "", ChoiceNone},
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

// TestLeaseLapsesWhilePaused delays the store's answers: the lease must count
// from the call.
func TestLeaseLapsesWhilePaused(t *testing.T) {
	start := time.Unix(0, 0)
	l := NewLease(10 * time.Second)
	l.Renewed(start)
	if !l.Held(start.Add(9*time.Second)) || l.Held(start.Add(10*time.Second)) {
		t.Fatal("the lease does not end with its time")
	}
	l.Renewed(start)
	if l.Held(start.Add(time.Minute)) {
		t.Fatal("an answer that came late extends the lease")
	}
	l.Renewed(start.Add(time.Minute))
	l.Lost()
	if l.Held(start.Add(time.Minute)) {
		t.Fatal("a lost lease is held")
	}
}
