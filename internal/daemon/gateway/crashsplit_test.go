package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/core/suspect"
)

// splitConfig is crashConfig with the routes split between services.
func splitConfig(version uint64, services ...string) plainConfig {
	c := crashConfig()
	c.Version, c.Services = version, nil
	for _, name := range []string{"s", "t", "u"} {
		c.Services = append(c.Services, routing.Service{Name: name, ColdRate: 6})
	}
	for i := range c.Routes {
		if c.Routes[i].Name == "other" {
			continue
		}
		c.Routes[i].Sticky, c.Routes[i].Parts = false, nil
		for _, name := range services {
			c.Routes[i].Parts = append(c.Routes[i].Parts, routing.Part{Service: name, Weight: 1})
		}
	}
	return c
}

func newSplitWorld(t *testing.T, gateways int, services ...string) *crashWorld {
	w := newCrashWorld(t, gateways)
	for i := range 8 {
		domain := testDomains[i%3+1].Domain
		w.addServer(fleet.Record{ID: fmt.Sprint("i-s-", i), Service: "s", Domain: domain, Slots: 9})
		w.addServer(fleet.Record{ID: fmt.Sprint("i-u-", i), Service: "u", Domain: domain, Slots: 9})
	}
	w.setConfig(splitConfig(2, services...))
	return w
}

func (w *crashWorld) setConfig(c plainConfig) {
	w.store.set("config", encode(c), "")
	time.Sleep(2 * time.Second)
}

// crashesBy counts the servers that a request has crashed.
func (w *crashWorld) crashesBy(uri string) int {
	n, _ := w.servers.countRuns(uri)
	return n
}

// askEvery sends a request again and again, each time to the next gateway, and calls before ahead of
// each.
func (w *crashWorld) askEvery(method, uri string, times int, every time.Duration, before func(n int)) {
	names := slices.Sorted(maps.Keys(w.hosts))
	for n := range times {
		if before != nil {
			before(n)
		}
		w.hosts[names[n%len(names)]].sendFor(context.Background(), "", method, uri, nil)
		time.Sleep(every)
	}
}

// Guards against a request that crashes servers and begins anew at each service of a split route, or at
// each to which a version moves the route. The bounds are those of the users' pages; one more server
// crashes under the attempts of before a verdict than the three that decide.
func TestCrashingRequestIsOneOverServices(t *testing.T) {
	for _, c := range []struct {
		name, method, uri string
		services          []string
		every             time.Duration
		// before changes something ahead of the nth request.
		before func(w *crashWorld, n int)
	}{
		{name: "three parts", method: "GET", uri: "/get/bad", services: []string{"s", "t", "u"}, every: 5 * time.Second},
		{name: "three parts, in quick succession", method: "GET", uri: "/get/bad", services: []string{"s", "t", "u"}, every: 300 * time.Millisecond},
		{name: "three parts, at most one run", method: "POST", uri: "/post/bad", services: []string{"s", "t", "u"}, every: 5 * time.Second},
		{name: "two parts", method: "GET", uri: "/get/bad", services: []string{"s", "t"}, every: 5 * time.Second},
		{name: "moved by versions", method: "POST", uri: "/post/bad", services: []string{"s"}, every: 5 * time.Second, before: func(w *crashWorld, n int) {
			if n%4 == 0 {
				w.setConfig(splitConfig(uint64(3+n), []string{"s", "t", "u"}[n/4%3]))
			}
		}},
		{name: "route with another name", method: "POST", uri: "/post/bad", services: []string{"s"}, every: 5 * time.Second, before: func(w *crashWorld, n int) {
			if n%4 == 0 {
				config := splitConfig(uint64(3+n), "s")
				config.Routes[1].Name = fmt.Sprint("post", n)
				w.setConfig(config)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSplitWorld(t, 4, c.services...)
				defer w.stop()
				w.servers.crashing = func(uri string) bool { return uri == c.uri }
				w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 150*time.Second) })
				w.others.Go(func() { w.ask("/get/page", 33*time.Millisecond, 150*time.Second) })
				w.askEvery(c.method, c.uri, int(150*time.Second/c.every), c.every, func(n int) {
					if c.before != nil {
						c.before(w, n)
					}
				})
				runs, late := w.servers.countRuns(c.uri)
				if late > retriesAllowed || runs > suspect.TrialThreshold+1+retriesAllowed {
					t.Errorf("%d servers crashed, %d of them by retries later than %v after the third", runs, late, crashStable)
				}
			})
		})
	}
}

// Guards against the attempt under which the third server crashes and that goes on to crash a fourth.
func TestNoAttemptFollowsTheDecisiveCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSplitWorld(t, 1, "s")
		defer w.stop()
		w.servers.crashing = func(uri string) bool { return uri == "/get/bad" }
		w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 30*time.Second) })
		// The gateway may spend its part of the retry budget.
		time.Sleep(time.Duration(w.hosts["a1-0"].node.bounds.Load().RetryWindow))
		w.askEvery("GET", "/get/bad", 4, 3*time.Second, nil)
		if n := w.crashesBy("/get/bad"); n != suspect.TrialThreshold {
			t.Errorf("%d servers crashed, want the %d that decide", n, suspect.TrialThreshold)
		}
	})
}

// Guards against a request that only the servers of one part cannot stand and that crashes them without
// end, since it runs well at another, or that is refused where it runs well.
func TestRequestThatOnePartCannotStand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const uri = "/get/bad"
		w := newSplitWorld(t, 4, "s", "u")
		defer w.stop()
		w.servers.crashing = func(u string) bool { return u == uri }
		w.servers.spared = func(address string) bool { return strings.HasPrefix(address, "i-u-") }
		w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 250*time.Second) })
		w.askEvery("GET", uri, 40, 5*time.Second, nil)
		if runs, late := w.servers.countRuns(uri); late > retriesAllowed {
			t.Errorf("%d servers crashed, %d of them by retries later than %v after the third", runs, late, crashStable)
		}
		if served, refused := w.ask(uri, 20*time.Millisecond, 4*time.Second); served < (served+refused)/3 {
			t.Errorf("%d requests served and %d refused, half of them go to the part that serves it", served, refused)
		}
	})
}

// Guards against popular requests that are held back because a failure domain with servers of several
// services was lost, now that the crashes of all services come together in one count.
func TestPopularRequestsOutliveADomainOfAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSplitWorld(t, 6, "s", "t", "u")
		defer w.stop()
		lost := []string{"i-a1-0:1", "i-t-0:1", "i-t-3:1", "i-u-0:1"}
		w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 40*time.Second) })
		time.AfterFunc(5*time.Second, func() { w.servers.crash(lost...) })
		before, refusedBefore := w.ask("/get/page", 20*time.Millisecond, 5*time.Second)
		served, refused := w.ask("/get/page", 20*time.Millisecond, 20*time.Second)
		if refusedBefore > 0 || refused > 0 || served == 0 || before == 0 {
			t.Errorf("%d served and %d refused before, %d and %d after", before, refusedBefore, served, refused)
		}
	})
}

// Guards against a page that is refused because the page of that name at another host crashed servers.
func TestNamesakeAtAnotherHostIsServed(t *testing.T) {
	f := newFixture(nil)
	f.node.forwarder = okForwarder{}
	routes := testRoutes()
	other := routes[0]
	other.Name, other.Host = "namesake", "other"
	f.setRoutes(2, append(routes, other))
	status := func(host string) int {
		r := httptest.NewRequest("GET", "/get/page", nil)
		r.Host = host
		answer := httptest.NewRecorder()
		f.node.ServeHTTP(answer, r)
		return answer.Code
	}
	r := httptest.NewRequest("GET", "/get/page", nil)
	r.Host = "h"
	req := f.node.newRequest(r)
	req.service = "s"
	print := req.fingerprint()
	for i := range suspect.TrialThreshold {
		now := time.Now()
		f.keeper.ServersReached(now.Add(time.Second))
		f.keeper.ReportCrash(fmt.Sprint("i-", i), "s", fleet.InFlight{Request: print, Sent: now, Lost: now}, endRefused, now)
	}
	for host, want := range map[string]int{"h": 503, "H": 503, "other": 200} {
		if got := status(host); got != want {
			t.Errorf("host %s: status %d, want %d", host, got, want)
		}
	}
}
