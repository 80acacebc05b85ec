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

// world is the truth about a few servers, with the tellers that describe them
// late or falsely.
type world struct {
	now     time.Time
	servers []*truth
	group   *Group
	naive   map[string]bool
}

type truth struct {
	name string
	boot int
	// leaving is set from the first true sign that reached the group until the
	// next process of the server answers.
	leaving bool
	down    bool
	listed  bool
}

func (w *world) server(t *rapid.T) *truth { return rapid.SampledFrom(w.servers).Draw(t, "server") }

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), group: NewGroup(), naive: map[string]bool{}}
	var names []string
	for i := range n {
		w.servers = append(w.servers, &truth{name: fmt.Sprint("s", i), boot: 1})
		names = append(names, w.servers[i].name)
	}
	w.group.Keep(names)
	return w
}

func (w *world) answer(s *truth, draining bool) {
	if s.down {
		return
	}
	w.group.Answered(w.now, s.name, fmt.Sprint("boot", s.boot), draining)
	// The naive way believes the latest sign.
	w.naive[s.name] = draining
}

func (w *world) check(t *rapid.T) {
	in := 0
	for _, s := range w.servers {
		slots := w.group.Slots(w.now, s.name, testSlots, Start{Warmup: testWarmup})
		if s.leaving && slots > 0 {
			t.Fatalf("%s is leaving and gets %d slots", s.name, slots)
		}
		if slots < 0 || slots > testSlots {
			t.Fatalf("%s gets %d of %d slots", s.name, slots, testSlots)
		}
		if st := w.group.servers[s.name]; !w.now.Before(st.EjectedUntil) {
			in++
		}
	}
	if 2*in < len(w.servers) {
		t.Fatalf("%d of %d servers are free of ejection", in, len(w.servers))
	}
}

func TestLeavingAndEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "servers"))
		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"healthy answer": func(t *rapid.T) { w.answer(w.server(t), false) },
			"says draining": func(t *rapid.T) {
				s := w.server(t)
				w.answer(s, true)
				s.leaving = s.leaving || !s.down
			},
			"list": func(t *rapid.T) {
				s := w.server(t)
				says := rapid.Bool().Draw(t, "leaving")
				w.group.Told(w.now, s.name, "list", "", says, CauseListed)
				s.leaving = s.leaving || says && !s.listed
				s.listed = says
			},
			"peer tells": func(t *rapid.T) {
				s := w.server(t)
				w.group.Told(w.now, s.name, "peer", fmt.Sprint("boot", s.boot), s.leaving, CauseTold)
			},
			"peer tells of the last process": func(t *rapid.T) {
				s := w.server(t)
				if st := w.group.servers[s.name]; s.boot > 1 && st.Boot == fmt.Sprint("boot", s.boot) {
					was := st.Leaving
					w.group.Told(w.now, s.name, "late", fmt.Sprint("boot", s.boot-1), true, CauseTold)
					w.group.Told(w.now, s.name, "late", "", false, CauseTold)
					if st.Leaving != was {
						t.Fatal("a sign about a process that is gone counted")
					}
				}
			},
			"stops": func(t *rapid.T) { w.server(t).down = true },
			"refuses": func(t *rapid.T) {
				if s := w.server(t); s.down {
					w.group.Refused(w.now, s.name)
					s.leaving = true
				}
			},
			"restarts": func(t *rapid.T) {
				s := w.server(t)
				s.boot, s.down, s.leaving = s.boot+1, false, false
				w.answer(s, false)
			},
			"fails":  func(t *rapid.T) { w.group.Failed(w.now, w.server(t).name) },
			"fails2": func(t *rapid.T) { w.group.Failed(w.now, w.server(t).name) },
		})
	})
}

// TestLatestSignIsNotEnough shows the fault of believing the latest sign: a
// draining server whose health endpoint lies gets work again.
func TestLatestSignIsNotEnough(t *testing.T) {
	w := newWorld(2)
	w.answer(w.servers[0], true)
	w.answer(w.servers[0], false)
	if w.naive["s0"] {
		t.Fatal("the naive way was not fooled")
	}
	if !w.group.Leaving("s0") {
		t.Fatal("a lying health endpoint undid the leaving")
	}
}

func TestEjectionKeepsAFloor(t *testing.T) {
	for n := 1; n <= 6; n++ {
		g, names := NewGroup(), []string(nil)
		for i := range n {
			names = append(names, fmt.Sprint("s", i))
		}
		g.Keep(names)
		out := 0
		for _, name := range names {
			for range ejectAfter {
				if g.Failed(time.Unix(1000, 0), name) {
					out++
				}
			}
		}
		if out != n/2 {
			t.Errorf("%d of %d servers ejected, want %d", out, n, n/2)
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
		t.Errorf("%d slots for a server of which nothing is known", got)
	}
}
