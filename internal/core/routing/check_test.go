package routing

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCheck guards against entries that no request can match, and limits that contradict each other,
// which operators are not told of, and against findings where there is nothing wrong.
func TestCheck(t *testing.T) {
	part := []Part{{Service: "s", Weight: 1}}
	good := func() (services []Service, routes []Route, customers []Customer) {
		return []Service{{Name: "s"}}, []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Idempotent: true, MaxAttempts: 2, Target: time.Second, Timeout: time.Second, Homes: []string{"x"}, Parts: part},
			{Name: "b", Host: "h", Prefix: "/", MaxAttempts: 1, Target: time.Second, Public: true, Parts: part},
		}, []Customer{{Name: "c", Keys: []string{"k"}, Rate: 1, Burst: 2, Homes: []string{"x", "y"}}, {Name: "d", Keys: []string{"l"}}}
	}
	for _, c := range []struct {
		name string
		edit func(services *[]Service, routes []Route, customers []Customer)
		want string
	}{
		{"nothing wrong", func(*[]Service, []Route, []Customer) {}, ""},
		{"hidden", func(_ *[]Service, r []Route, _ []Customer) { r[1].Prefix = "/a/" }, "never-used route b: hidden by route a, which has the same host h and prefix /a/"},
		{"upper case", func(_ *[]Service, r []Route, _ []Customer) { r[1].Host = "H" }, "never-used host H: hosts are compared in lower case"},
		{"port", func(_ *[]Service, r []Route, _ []Customer) { r[1].Host = "h:80" }, "never-used host h:80: hosts are compared without their port"},
		{"query", func(_ *[]Service, r []Route, _ []Customer) { r[1].Prefix = "/x?y" }, `never-used route b: prefixes are compared with paths, which have no "?": /x?y`},
		{"service", func(s *[]Service, _ []Route, _ []Customer) { *s = append(*s, Service{Name: "o"}) }, "never-used service o: no route names it"},
		{"target", func(_ *[]Service, r []Route, _ []Customer) { r[0].Target = 2 * time.Second }, "contradiction route a: target latency 2s above the time-out 1s"},
		{"attempts", func(_ *[]Service, r []Route, _ []Customer) { r[0].MaxAttempts = 1 }, "contradiction route a: may run again, but on one server only: the retry budget is not used"},
		{"route's region", func(_ *[]Service, r []Route, _ []Customer) { r[0].Homes = []string{"x", "z"} }, `contradiction route a: home region "z" is no region`},
		{"customer's region", func(_ *[]Service, _ []Route, c []Customer) { c[0].Homes = []string{"x", ""} }, `contradiction customer c: home region "" is no region`},
		{"no region in common", func(_ *[]Service, _ []Route, c []Customer) { c[0].Homes = []string{"y"} }, "contradiction route a: no home region in common with customers c"},
		{"no keys", func(_ *[]Service, _ []Route, c []Customer) { c[0].Keys = nil }, "never-used customer c: no keys"},
		{"burst", func(_ *[]Service, _ []Route, c []Customer) { c[0].Rate = 0 }, "contradiction customer c: a burst without a rate: there is no limit"},
		{"all public", func(_ *[]Service, r []Route, _ []Customer) { r[0].Public = true }, "never-used : customers, but no route needs a key"},
	} {
		services, routes, customers := good()
		c.edit(&services, routes, customers)
		config := NewConfig(1, services, Limits{}, routes)
		config.SetCustomers(customers)
		var got []string
		for _, f := range Check(config, []string{"x", "y"}) {
			got = append(got, string(f.Kind)+" "+f.Subject+": "+f.Text)
		}
		if strings.Join(got, "\n") != c.want {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}

// TestDiff guards against a change that operators are not told of, and against keys in what they are
// told.
func TestDiff(t *testing.T) {
	priority := 3
	from := NewConfig(1, []Service{{Name: "s", ColdRate: 6}, {Name: "gone"}}, Limits{BodyBytes: 10}, []Route{
		{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 2, Idempotent: true, Parts: []Part{{Service: "s", Weight: 1}}},
		{Name: "hidden", Host: "h", Prefix: "/", Parts: []Part{{Service: "gone", Weight: 1}}},
	})
	to := NewConfig(2, []Service{{Name: "s", ColdRate: 7}, {Name: "new"}}, Limits{BodyBytes: 20}, []Route{
		{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 3, Parts: []Part{{Service: "s", Weight: 1}, {Service: "new", Weight: 2}}, Homes: []string{"x"}, Public: true},
		{Name: "n", Host: "h", Prefix: "/n/", Parts: []Part{{Service: "new", Weight: 1}}},
	})
	to.SetCustomers([]Customer{{Name: "c", Keys: []string{"secret-1", "secret-2"}}})
	later := NewConfig(3, nil, Limits{}, nil)
	later.SetCustomers([]Customer{{Name: "c", Keys: []string{"secret-2", "secret-3", "secret-4"}, Priority: &priority, Rate: 5, Burst: 6, Homes: []string{"y"}}})
	empty := NewConfig(3, nil, Limits{}, nil)
	empty.SetCustomers([]Customer{{Name: "c", Keys: []string{"secret-1", "secret-2"}}})
	for _, c := range []struct {
		from, to *Config
		want     []string
	}{
		{from, from, nil},
		{from, to, []string{
			"limits: body bytes 10 -> 20", "service gone: removed", "service new: added", "service s: rate of a cold server 6 -> 7",
			"route h/: may run again true -> false", "route h/: public false -> true", "route h/: attempts 2 -> 3", "route h/: home regions all -> x",
			"route h/: services s:1 -> s:1,new:2", "route h/n/: added", "customer c: added", "callers: need keys false -> true",
		}},
		{empty, later, []string{
			"customer c: priority the route's -> 3", "customer c: rate 0 -> 5", "customer c: burst 0 -> 6", "customer c: home regions all -> y",
			"customer c: keys added: 2", "customer c: keys withdrawn: 1",
		}},
	} {
		if got := Diff(c.from, c.to); !slices.Equal(got, c.want) {
			t.Errorf("got %q, want %q", got, c.want)
		}
	}
}
