package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testSlots  = 9
	testWarmup = 2 * time.Second
)

// simulation holds the true state of a few servers, and a group that learns of
// it from signs that are late or wrong.
type simulation struct {
	now     time.Time
	servers []*serverModel
	group   *Group
	// latestSign is the naive alternative: a server is draining if its last
	// response said so.
	latestSign map[string]bool
}

type serverModel struct {
	name string
	boot int
	// leaving is set from the first true sign that reached the group until the
	// next process of the server answers.
	leaving bool
	down    bool
	listed  bool
}

func (sim *simulation) pickServer(t *rapid.T) *serverModel {
	return rapid.SampledFrom(sim.servers).Draw(t, "server")
}

func newSimulation(n int) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), group: NewGroup(), latestSign: map[string]bool{}}
	var names []string
	for i := range n {
		sim.servers = append(sim.servers, &serverModel{name: fmt.Sprint("s", i), boot: 1})
		names = append(names, sim.servers[i].name)
	}
	sim.group.Keep(names)
	return sim
}

func (sim *simulation) answer(s *serverModel, draining bool) {
	if s.down {
		return
	}
	sim.group.Answered(sim.now, s.name, fmt.Sprint("boot", s.boot), draining)
	// The naive alternative uses the latest sign only.
	sim.latestSign[s.name] = draining
}

func (sim *simulation) check(t *rapid.T) {
	available := 0
	for _, s := range sim.servers {
		slots := sim.group.Slots(sim.now, s.name, testSlots, Start{Warmup: testWarmup})
		if s.leaving && slots > 0 {
			t.Fatalf("%s is leaving and gets %d slots", s.name, slots)
		}
		if slots < 0 || slots > testSlots {
			t.Fatalf("%s gets %d of %d slots", s.name, slots, testSlots)
		}
		if st := sim.group.servers[s.name]; !sim.now.Before(st.EjectedUntil) {
			available++
		}
	}
	if 2*available < len(sim.servers) {
		t.Fatalf("only %d of %d servers are not ejected", available, len(sim.servers))
	}
}

func TestLeavingAndEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 5).Draw(t, "servers"))
		t.Repeat(map[string]func(*rapid.T){
			"": sim.check,
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"healthy answer": func(t *rapid.T) { sim.answer(sim.pickServer(t), false) },
			"server drains": func(t *rapid.T) {
				s := sim.pickServer(t)
				sim.answer(s, true)
				s.leaving = s.leaving || !s.down
			},
			"list": func(t *rapid.T) {
				s := sim.pickServer(t)
				leaving := rapid.Bool().Draw(t, "leaving")
				sim.group.Told(sim.now, s.name, "list", "", leaving, CauseListed)
				s.leaving = s.leaving || leaving && !s.listed
				s.listed = leaving
			},
			"peer reports": func(t *rapid.T) {
				s := sim.pickServer(t)
				sim.group.Told(sim.now, s.name, "peer", fmt.Sprint("boot", s.boot), s.leaving, CauseTold)
			},
			"peer reports the last process": func(t *rapid.T) {
				s := sim.pickServer(t)
				if st := sim.group.servers[s.name]; s.boot > 1 && st.Boot == fmt.Sprint("boot", s.boot) {
					before := st.Leaving
					sim.group.Told(sim.now, s.name, "late", fmt.Sprint("boot", s.boot-1), true, CauseTold)
					sim.group.Told(sim.now, s.name, "late", "", false, CauseTold)
					if st.Leaving != before {
						t.Fatal("a report about an earlier process counted")
					}
				}
			},
			"stops": func(t *rapid.T) { sim.pickServer(t).down = true },
			"refuses": func(t *rapid.T) {
				if s := sim.pickServer(t); s.down {
					sim.group.Refused(sim.now, s.name)
					s.leaving = true
				}
			},
			"restarts": func(t *rapid.T) {
				s := sim.pickServer(t)
				s.boot, s.down, s.leaving = s.boot+1, false, false
				sim.answer(s, false)
			},
			"fails":       func(t *rapid.T) { sim.group.Failed(sim.now, sim.pickServer(t).name) },
			"fails again": func(t *rapid.T) { sim.group.Failed(sim.now, sim.pickServer(t).name) },
		})
	})
}

// TestHealthyAnswerKeepsDraining checks that a draining server still counts as
// leaving after its health endpoint reports it as healthy. If the latest sign
// counted, it would get work again.
func TestHealthyAnswerKeepsDraining(t *testing.T) {
	sim := newSimulation(2)
	sim.answer(sim.servers[0], true)
	sim.answer(sim.servers[0], false)
	if sim.latestSign["s0"] {
		t.Fatal("the latest sign alone already keeps the server draining: the test detects nothing")
	}
	if !sim.group.Leaving("s0") {
		t.Fatal("a healthy answer reverted draining")
	}
}

func TestEjectionSparesHalf(t *testing.T) {
	for n := 1; n <= 6; n++ {
		g, names := NewGroup(), []string(nil)
		for i := range n {
			names = append(names, fmt.Sprint("s", i))
		}
		g.Keep(names)
		ejected := 0
		for _, name := range names {
			for range ejectAfter {
				if g.Failed(time.Unix(1000, 0), name) {
					ejected++
				}
			}
		}
		if ejected != n/2 {
			t.Errorf("%d of %d servers ejected, want %d", ejected, n, n/2)
		}
	}
}

func TestSlowStart(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewGroup()
	g.Refused(start, "a")
	g.Answered(start, "a", "", false)
	for _, c := range []struct {
		first int
		age   time.Duration
		want  int
	}{
		{0, 0, 1}, {0, time.Second, 5}, {0, testWarmup, 9},
		{1, 0, 1}, {1, time.Second, 5}, {1, testWarmup - 1, 8}, {1, testWarmup, 9},
		{3, 0, 3}, {3, time.Second, 6}, {3, testWarmup, 9},
		{testSlots, 0, 9}, {testSlots, time.Second, 9},
		{testSlots + 1, 0, 9}, {testSlots + 1, time.Second, 9},
	} {
		if got := g.Slots(start.Add(c.age), "a", testSlots, Start{Slots: c.first, Warmup: testWarmup}); got != c.want {
			t.Errorf("%d slots after %v from %d, want %d", got, c.age, c.first, c.want)
		}
	}
	if got := g.Slots(start, "unknown", testSlots, Start{Warmup: testWarmup}); got != testSlots {
		t.Errorf("%d slots for an unknown server, want all", got)
	}
}
