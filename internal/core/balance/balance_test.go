package balance

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func gatewaysOf(capacities ...float64) []Gateway {
	var out []Gateway
	for i, c := range capacities {
		out = append(out, Gateway{Host: fmt.Sprintf("g-%03d", i), Capacity: c})
	}
	return out
}

func repeat(c float64, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = c
	}
	return out
}

// TestSelectsFewLargeHosts covers failure domains with a few large hosts among
// many small ones, where a fifth of a large host's requests would fill a small
// one, and domains with hosts of equal size.
func TestSelectsFewLargeHosts(t *testing.T) {
	for _, x := range []struct {
		name string
		in   []float64
		want int
	}{
		{"none", nil, 0},
		{"four alike", repeat(0.224, 4), 4},
		{"eight alike", repeat(0.2, 8), 8},
		{"three large, twenty small", append(repeat(0.16, 20), repeat(0.8, 3)...), 3},
		{"two large, twelve small", append(repeat(0.112, 12), repeat(0.8, 2)...), 2},
		{"one large, twenty small", append(repeat(0.16, 20), 0.8), 11},
		{"fifty alike", repeat(0.2, 50), 25},
		{"capacity unknown", repeat(0, 50), 2},
	} {
		if got := Narrow(gatewaysOf(x.in...)); len(got) != x.want {
			t.Errorf("%s: %d selected, want %d", x.name, len(got), x.want)
		}
	}
}

// TestSelectionKeepsHalfOfCapacity checks that the selection, unless it is all
// gateways, has half of the best usable capacity, does not depend on the order
// of candidates, and leaves out no gateway larger than a selected one.
func TestSelectionKeepsHalfOfCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Gateway
		for i := range rapid.IntRange(1, 80).Draw(t, "gateways") {
			all = append(all, Gateway{Host: fmt.Sprintf("g-%02d", i), Capacity: float64(rapid.IntRange(1, 16).Draw(t, "capacity"))})
		}
		got := Narrow(all)
		shuffled := Narrow(rapid.Permutation(all).Draw(t, "order"))
		selected := map[string]bool{}
		smallest := all[0].Capacity
		for i, g := range got {
			selected[g.Host] = true
			if i == 0 || g.Capacity < smallest {
				smallest = g.Capacity
			}
		}
		for _, g := range shuffled {
			if !selected[g.Host] {
				t.Fatalf("%s is selected in one order and not in another", g.Host)
			}
		}
		best := 0.0
		for _, c := range all {
			n := 0
			for _, g := range all {
				if g.Capacity >= c.Capacity {
					n++
				}
			}
			best = max(best, float64(n)*c.Capacity)
			if !selected[c.Host] && c.Capacity > smallest {
				t.Fatalf("%s with capacity %.0f left out, one with %.0f selected", c.Host, c.Capacity, smallest)
			}
		}
		if capacity := float64(len(got)) * smallest; len(got) < len(all) && capacity < capacityShare*best {
			t.Fatalf("usable capacity %.0f of at best %.0f", capacity, best)
		}
		if len(got) < min(len(all), minSelected) {
			t.Fatalf("%d of %d selected", len(got), len(all))
		}
	})
}
