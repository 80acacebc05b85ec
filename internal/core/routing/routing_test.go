package routing

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestMatchLongestPrefix(t *testing.T) {
	c := NewConfig(7, []Service{{Name: "a"}}, Limits{}, []Route{
		{Name: "all", Host: "h", Prefix: "/"}, {Name: "long", Host: "h", Prefix: "/x/y/"},
		{Name: "short", Host: "h", Prefix: "/x/"}, {Name: "other", Host: "g", Prefix: "/x/"},
	})
	for _, x := range []struct{ host, path, want string }{
		{"h", "/x/y/z", "long"}, {"h", "/x/y", "short"}, {"h", "/x", "all"}, {"h:80", "/x/z", "short"},
		{"g", "/x/", "other"}, {"g", "/", ""}, {"i", "/x/", ""},
	} {
		got := ""
		if r := c.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s: got %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

func TestLevelsCountHigherPriorities(t *testing.T) {
	c := NewConfig(1, nil, Limits{}, []Route{
		{Name: "low", Host: "h", Prefix: "/l/", Priority: 5, Parts: []Part{{Service: "a", Weight: 1}}},
		{Name: "mid", Host: "h", Prefix: "/m/", Priority: 2, Parts: []Part{{Service: "a", Weight: 1}}},
		{Name: "top", Host: "h", Prefix: "/t/", Priority: 0, Parts: []Part{{Service: "a", Weight: 1}}},
		{Name: "alone", Host: "h", Prefix: "/o/", Priority: 9, Parts: []Part{{Service: "b", Weight: 1}}},
	})
	want := map[string]int{"low": 2, "mid": 1, "top": 0, "alone": 0}
	priorities := c.Priorities()
	c.EachRoute(func(r *Route) {
		if level := priorities.Level(r, r.Priority); level != want[r.Name] {
			t.Errorf("%s: level %d, want %d", r.Name, level, want[r.Name])
		}
	})
}

// TestSplitKeepsShares checks that the parts get their shares for any
// distribution of objects, and that assigning requests by object alone does not
// achieve that.
func TestSplitKeepsShares(t *testing.T) {
	worstByObject := 0.0
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.05, 1), 2, 4).Draw(t, "weights")
		points := rapid.SliceOfN(rapid.Float64Range(0, 0.999), 1, 30).Draw(t, "objects")
		order := rapid.SliceOfN(rapid.IntRange(0, len(points)-1), 600, 600).Draw(t, "order")
		var parts []Part
		sum := 0.0
		for i, w := range weights {
			parts = append(parts, Part{Service: string(rune('a' + i)), Weight: w})
			sum += w
		}
		s, naive := NewSplit(parts), NewSplit(parts)
		got, byObject := map[string]float64{}, map[string]float64{}
		for _, i := range order {
			got[s.Choose(points[i])]++
			byObject[parts[naive.partAt(points[i]*naive.sum)].Service]++
		}
		for _, p := range parts {
			// Operators allow a deviation of a tenth.
			if deviation := math.Abs(got[p.Service]/600 - p.Weight/sum); deviation > 0.1 {
				t.Fatalf("%s got a share of %.3f, want %.3f", p.Service, got[p.Service]/600, p.Weight/sum)
			}
			worstByObject = max(worstByObject, math.Abs(byObject[p.Service]/600-p.Weight/sum))
		}
	})
	if worstByObject <= 0.1 {
		t.Fatalf("assigning by object alone deviated by at most %.3f: the property detects nothing", worstByObject)
	}
}

// TestSplitKeepsObjects checks that with many objects nearly all requests of an
// object go to one part.
func TestSplitKeepsObjects(t *testing.T) {
	s := NewSplit([]Part{{"a", 90}, {"b", 10}})
	seen := map[int]map[string]int{}
	for i := range 6000 {
		object := (i * 7919) % 200
		part := s.Choose((float64(object) + 0.5) / 200)
		if seen[object] == nil {
			seen[object] = map[string]int{}
		}
		seen[object][part]++
	}
	moved := 0
	for _, parts := range seen {
		moved += min(parts["a"], parts["b"])
	}
	if moved > 6000/20 {
		t.Errorf("%d of 6000 requests went to another part than most of their object", moved)
	}
}
