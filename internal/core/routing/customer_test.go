package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// withCustomers returns a configuration with n customers, whose keys are "key-0" and so on.
func withCustomers(n int) *Config {
	c := NewConfig(1, nil, Limits{}, nil)
	var list []Customer
	for i := range n {
		list = append(list, Customer{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("key-%032d", i)}})
	}
	c.SetCustomers(list)
	return c
}

// TestLookUpsAllocateNothing guards against garbage for each request, with keys of usual length and
// for deployments without customers.
func TestLookUpsAllocateNothing(t *testing.T) {
	for _, n := range []int{0, 76} {
		c, key := withCustomers(n), fmt.Sprintf("key-%032d", 5)
		if allocs := testing.AllocsPerRun(100, func() { c.CustomerOf(key) }); allocs > 0 {
			t.Errorf("%d customers: %v allocations", n, allocs)
		}
	}
	c := NewConfig(1, nil, Limits{}, nil)
	long := strings.Repeat("k", 3*stackKey)
	c.SetCustomers([]Customer{{Name: "x", Keys: []string{long}}})
	if c.CustomerOf(long) == nil || c.CustomerOf(long+"k") != nil || c.CustomerOf(long[1:]) != nil {
		t.Error("a long key is not told apart")
	}
}

// TestLevelsWithoutCustomers guards against other levels, and so other longest waits, in deployments
// without customers: those are counted by the priorities of routes alone, as before there were any.
// Public routes among customers keep theirs; customers without a priority inherit it.
func TestLevelsWithoutCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: rapid.IntRange(-2, 4).Draw(t, "priority"), Public: rapid.Bool().Draw(t, "public")}
			for _, service := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "services") {
				r.Parts = append(r.Parts, Part{Service: service, Weight: 1})
			}
			routes = append(routes, r)
		}
		c := NewConfig(1, nil, Limits{}, routes)
		inherit := rapid.Bool().Draw(t, "customers that inherit")
		if inherit {
			c.SetCustomers([]Customer{{Name: "x", Keys: []string{"k"}}, {Name: "y"}})
		}
		priorities := c.Priorities()
		for i := range routes {
			r, want := &routes[i], 0
			for _, part := range r.Parts {
				above := map[int]bool{}
				for _, other := range routes {
					shares := slices.ContainsFunc(other.Parts, func(p Part) bool { return p.Service == part.Service })
					if shares && other.Priority < r.Priority {
						above[other.Priority] = true
					}
				}
				want = max(want, len(above))
			}
			if got := priorities.Level(r, r.Priority); got != want {
				t.Fatalf("route %s: level %d, want %d", r.Name, got, want)
			}
		}
	})
}

// TestLevelsOfCustomers guards against a customer's priority that does not take precedence, and
// against levels of public routes that rise by customers' priorities that never come there.
func TestLevelsOfCustomers(t *testing.T) {
	part := func(service string) []Part { return []Part{{Service: service, Weight: 1}} }
	c := NewConfig(1, nil, Limits{}, []Route{
		{Name: "keyed", Host: "h", Prefix: "/k/", Priority: 5, Parts: part("a")},
		{Name: "public", Host: "h", Prefix: "/p/", Priority: 3, Public: true, Parts: part("a")},
		{Name: "alone", Host: "h", Prefix: "/o/", Priority: 9, Public: true, Parts: part("b")},
	})
	first, last := 1, 7
	c.SetCustomers([]Customer{{Name: "first", Priority: &first}, {Name: "last", Priority: &last}, {Name: "also last", Priority: &last}})
	priorities := c.Priorities()
	for _, x := range []struct {
		path            string
		priority, level int
	}{{"/k/", first, 0}, {"/k/", last, 2}, {"/p/", 3, 1}, {"/o/", 9, 0}} {
		if got := priorities.Level(c.Match("h", x.path), x.priority); got != x.level {
			t.Errorf("%s at %d: level %d, want %d", x.path, x.priority, got, x.level)
		}
	}
}

// BenchmarkCustomerOf measures the look-up of a key that a customer holds, and of one that none does.
func BenchmarkCustomerOf(b *testing.B) {
	for _, n := range []int{0, 76, 10_000, 100_000} {
		c := withCustomers(n)
		for name, key := range map[string]string{"known": fmt.Sprintf("key-%032d", n/2), "unknown": fmt.Sprintf("key-%032d", 1_000_000)} {
			b.Run(fmt.Sprintf("customers=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.CustomerOf(key)
				}
			})
		}
	}
}

// BenchmarkPriorities measures what a new configuration with many customers costs, whose
// priorities are few.
func BenchmarkPriorities(b *testing.B) {
	var routes []Route
	for i := range 1000 {
		routes = append(routes, Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Priority: i % 5, Parts: []Part{{Service: fmt.Sprint(i % 20), Weight: 1}}})
	}
	for _, n := range []int{0, 76, 10_000} {
		c := NewConfig(1, nil, Limits{}, routes)
		var list []Customer
		for i := range n {
			priority := i % 5
			list = append(list, Customer{Name: fmt.Sprint(i), Priority: &priority})
		}
		c.SetCustomers(list)
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				c.Priorities()
			}
		})
	}
}
