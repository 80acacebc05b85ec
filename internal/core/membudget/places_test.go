package membudget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against one group that takes all places, against more requests than places, and against a
// place that is refused although few wait.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(8, 200).Draw(t, "places")
		p := NewPlaces(most)
		taken := map[string]int{}
		total := 0
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			group := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "group"))
			if taken[group] > 0 && rapid.IntRange(0, 3).Draw(t, "leave") == 0 {
				p.Leave(group)
				taken[group]--
				total--
				continue
			}
			free, got := p.Free(group), p.Enter(group)
			if free != got {
				t.Errorf("free %v, got %v", free, got)
			}
			if got {
				taken[group]++
				total++
			} else if total < most*3/4 || taken[group] == 0 && total < most {
				t.Errorf("refused group %s with %d of %d places taken, %v", group, total, most, taken)
			}
			if total > most || taken[group] > most*3/4+1 {
				t.Errorf("%v of %d places taken", taken, most)
			}
		}
		if p.Taken() != total || p.Most() != most {
			t.Errorf("%d of %d taken, want %d", p.Taken(), p.Most(), total)
		}
		for group, n := range taken {
			for range n {
				p.Leave(group)
			}
		}
		if len(p.groups) != 0 {
			t.Errorf("groups kept: %v", p.groups)
		}
	})
}
