package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

const (
	crashRunTime = 300 * time.Millisecond
	crashAfter   = 200 * time.Millisecond
	crashAway    = 4500 * time.Millisecond
	// retriesAllowed is how many times a request may reach servers that is sent later than
	// crashStable after it has crashed the third.
	retriesAllowed = 3
	crashStable    = 4 * time.Second
)

// crashServers are servers that take some time for each request. A crash breaks the
// connections of a server, which then refuses others for crashAway.
type crashServers struct {
	connects
	mu   sync.Mutex
	back map[string]time.Time
	// ended is closed with the crash of a server.
	ended map[string]chan struct{}
	// crashing reports whether a request crashes the servers that run it, and shape says how.
	crashing func(uri string) bool
	// spared reports whether servers at an address stand the requests that crash others; nil for none.
	spared func(address string) bool
	shape  crashShape
	runs   []crashRun
	// ends is when the latest process at an address ended, and hung until when it does not respond.
	ends, hung map[string]time.Time
	// instances names the processes that took the place of ones that hung; replaced is called
	// with each.
	instances map[string]string
	replaced  func(address, instance string)
}

// crashRun is a request that a server began to run.
type crashRun struct {
	uri, address string
	at           time.Time
}

// Connect implements port.Prober.
func (s *crashServers) Connect(_ context.Context, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down(address) {
		return &port.BackendError{Code: port.BackendRefused, Address: address, Err: io.EOF}
	}
	return nil
}

// lastEnd returns when the latest process at an address ended.
func (s *crashServers) lastEnd(address string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[address]
}

// hangs reports whether the process at an address does not respond.
func (s *crashServers) hangs(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.hung[address])
}

func (s *crashServers) spares(address string) bool { return s.spared != nil && s.spared(address) }

func (s *crashServers) down(address string) bool { return time.Now().Before(s.back[address]) }

// Forward implements port.Forwarder.
func (s *crashServers) Forward(_ context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	s.mu.Lock()
	if s.down(address) {
		s.mu.Unlock()
		return nil, &port.BackendError{Code: port.BackendRefused, Address: address, Err: io.EOF}
	}
	hung := time.Now().Before(s.hung[address])
	if !hung {
		s.runs = append(s.runs, crashRun{req.URI, address, time.Now()})
	}
	ended := s.ended[address]
	if ended == nil {
		ended = make(chan struct{})
		s.ended[address] = ended
	}
	crashing := s.crashing(req.URI) && !s.spares(address)
	s.mu.Unlock()
	if hung {
		<-ended
		return nil, brokenError(true)
	}
	if crashing {
		return s.runToCrash(address, ended)
	}
	select {
	case <-time.After(crashRunTime):
		if s.hangs(address) {
			<-ended
			return nil, brokenError(true)
		}
		return okAnswer(), nil
	case <-ended:
		return nil, brokenError(true)
	}
}

// Probe implements port.Prober.
func (s *crashServers) Probe(ctx context.Context, address, _ string) (port.ServerMeta, int, error) {
	if s.hangs(address) {
		<-ctx.Done()
		return port.ServerMeta{}, 0, &port.BackendError{Code: port.BackendTimeout, Sent: true, Address: address, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down(address) {
		return port.ServerMeta{}, 0, &port.BackendError{Code: port.BackendRefused, Address: address, Err: io.EOF}
	}
	return port.ServerMeta{Instance: s.instances[address]}, 200, nil
}

// crash ends the processes of servers.
func (s *crashServers) crash(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if s.down(a) {
			continue
		}
		s.back[a], s.ends[a] = time.Now().Add(crashAway), time.Now()
		if c := s.ended[a]; c != nil {
			close(c)
			delete(s.ended, a)
		}
	}
}

// retries returns how many runs of a request came later than crashStable after its third crash.
func (s *crashServers) retries(uri string) int {
	_, late := s.countRuns(uri)
	return late
}

// countRuns returns how many runs of a request there were, and how many of them retries counts.
func (s *crashServers) countRuns(uri string) (runs, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var third time.Time
	for _, r := range s.runs {
		if r.uri != uri || !s.crashing(uri) || s.spares(r.address) {
			continue
		}
		runs++
		switch {
		case runs == 3:
			third = r.at.Add(s.shape.crashTime())
		case runs > 3 && r.at.After(third.Add(crashStable)):
			late++
		}
	}
	return runs, late
}

// crashWorld is a cluster of gateways before servers that crash: those of service "s" stand in
// domain "a1", which may be lost, those of service "t" elsewhere.
type crashWorld struct {
	*linkWorld
	servers *crashServers
	lost    []string
	// records are those of the servers, by address.
	records map[string]fleet.Record
	// others are requests beside those of the test.
	others sync.WaitGroup
}

// stop waits for all requests and ends the gateways.
func (w *crashWorld) stop() {
	w.others.Wait()
	time.Sleep(2 * crashRunTime)
	w.stopAll()
}

func newCrashWorld(t *testing.T, gateways int) *crashWorld {
	w := &crashWorld{linkWorld: &linkWorld{testCluster: newTestCluster(t)}, records: map[string]fleet.Record{}}
	w.servers = &crashServers{
		back: map[string]time.Time{}, ended: map[string]chan struct{}{}, crashing: func(string) bool { return false },
		ends: map[string]time.Time{}, hung: map[string]time.Time{}, instances: map[string]string{},
	}
	w.links = newServerLinks(w.servers)
	w.forwarder = func(host string) forwardProber { return serverLink{w.links, host} }
	w.store.set("config", encode(crashConfig()), "")
	for i := range 4 {
		w.lost = append(w.lost, w.addServer(fleet.Record{ID: fmt.Sprint("i-a1-", i), Service: "s", Domain: "a1", Slots: 9}))
		w.addServer(fleet.Record{ID: fmt.Sprint("i-t-", i), Service: "t", Domain: testDomains[i%3+1].Domain, Slots: 9})
	}
	for i := range gateways {
		d := testDomains[i%len(testDomains)].Domain
		w.add(fmt.Sprintf("%s-%d", d, i), d)
	}
	time.Sleep(2 * introductionTime)
	return w
}

// addServer adds a server and returns its address.
func (w *crashWorld) addServer(r fleet.Record) string {
	w.setServer(r)
	r.Address = r.ID + ":1"
	w.records[r.Address] = r
	return r.Address
}

// crashConfig has a route to each service.
func crashConfig() plainConfig {
	routes := testRoutes()[:2]
	other := routes[0]
	other.Name, other.Prefix, other.Parts = "other", "/other/", []routing.Part{{Service: "t", Weight: 1}}
	return plainConfig{Version: 1, Services: []routing.Service{{Name: "s", ColdRate: 6}, {Name: "t", ColdRate: 6}}, Routes: append(routes, other)}
}

// ask sends a request every interval during a span, each to any gateway, and returns how many
// of them were served and refused.
func (w *crashWorld) ask(uri string, every, span time.Duration) (served, refused int) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range int(span / every) {
		h := w.anyHost(random)
		wg.Go(func() {
			code := h.sendFor(context.Background(), "", "GET", uri, nil).Code
			mu.Lock()
			defer mu.Unlock()
			switch code {
			case 200:
				served++
			case 503:
				refused++
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	return served, refused
}

// Guards against a page that is refused for minutes because it was in flight at servers that
// crashed together, and against one that crashes servers and is let through again and again.
// The page is asked for 30 times a second.
func TestRequestsInFlightAtCrashes(t *testing.T) {
	const page, bad = "/get/page", "/other/bad"
	always := func(uri string) func(string) bool { return func(u string) bool { return u == uri } }
	for _, c := range []struct {
		name     string
		gateways int
		// before is done while the page is asked for.
		before func(w *crashWorld)
		// served is whether the page is served afterwards.
		served bool
	}{
		{"domain lost", 3, func(w *crashWorld) { w.servers.crash(w.lost...) }, true},
		{"domain lost, many gateways", 18, func(w *crashWorld) { w.servers.crash(w.lost...) }, true},
		{"domain lost three times", 3, func(w *crashWorld) {
			for range 3 {
				w.servers.crash(w.lost...)
				time.Sleep(10 * time.Second)
			}
		}, true},
		{"servers lost one after the other", 3, func(w *crashWorld) {
			for _, s := range w.lost {
				w.servers.crash(s)
				time.Sleep(700 * time.Millisecond)
			}
		}, true},
		{"domain lost beside a crashing request of another service", 3, func(w *crashWorld) {
			w.servers.mu.Lock()
			w.servers.crashing = always(bad)
			w.servers.mu.Unlock()
			w.others.Go(func() { w.ask(bad, 500*time.Millisecond, 20*time.Second) })
			time.Sleep(time.Second)
			w.servers.crash(w.lost...)
		}, true},
		{"domain lost, gateways of an older build", 6, func(w *crashWorld) {
			w.refuseTrials("a1-0", "b1-2", "c1-4")
			w.servers.crash(w.lost...)
		}, true},
		{"domain lost, coordinators that do not reply", 6, func(w *crashWorld) {
			w.setSilent(true, "a1-0", "b1-2")
			w.servers.crash(w.lost...)
		}, true},
		{"page that begins to crash servers", 3, func(w *crashWorld) {
			w.servers.mu.Lock()
			defer w.servers.mu.Unlock()
			w.servers.crashing = always(page)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrashWorld(t, c.gateways)
				defer w.stop()
				w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 40*time.Second) })
				time.AfterFunc(2*time.Second, func() { c.before(w) })
				w.ask(page, 33*time.Millisecond, 40*time.Second)
				served, refused := w.ask(page, 33*time.Millisecond, 10*time.Second)
				if c.served && refused > 0 || !c.served && served > 0 {
					t.Errorf("%d requests served and %d refused afterwards", served, refused)
				}
				for _, uri := range []string{page, bad} {
					if n := w.servers.retries(uri); n > retriesAllowed {
						t.Errorf("%s: %d retries reached servers", uri, n)
					}
				}
			})
		})
	}
}

// Guards against a request that crashes servers from its first run on and that reaches more of
// them wave by wave: many callers send it at once, and the servers come back.
func TestPopularCrashingRequestStaysRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashWorld(t, 3)
		defer w.stop()
		w.servers.crashing = func(uri string) bool { return strings.HasSuffix(uri, "bad") }
		w.others.Go(func() { w.ask("/other/page", 33*time.Millisecond, 40*time.Second) })
		if served, _ := w.ask("/get/bad", 50*time.Millisecond, 40*time.Second); served > 0 {
			t.Errorf("%d requests served", served)
		}
		if n := w.servers.retries("/get/bad"); n > 0 {
			t.Errorf("%d retries reached servers", n)
		}
	})
}

// Guards against requests that crash servers and are never refused because nobody notices: one
// comes every 1.5 s, to the next of twelve gateways, and hardly anything else is sent.
func TestCrashingRequestsAreNoticed(t *testing.T) {
	for _, c := range []struct {
		name, uri string
		body      int
		leave     time.Duration
		busy      bool
	}{
		{name: "quiet hours", uri: "/post/bad", body: 300},
		{name: "quiet hours, idempotent", uri: "/get/bad"},
		{name: "quiet hours, caller leaves", uri: "/post/bad", body: 300, leave: crashAfter / 2},
		{name: "long body", uri: "/post/bad", body: maxBufferedBody + 1, busy: true},
		{name: "body just as long as is buffered", uri: "/post/bad", body: maxBufferedBody, busy: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrashWorld(t, 12)
				defer w.stop()
				w.servers.crashing = func(uri string) bool { return uri == c.uri }
				if c.busy {
					w.others.Go(func() { w.ask("/get/page", 33*time.Millisecond, 45*time.Second) })
				}
				names := slices.Sorted(maps.Keys(w.hosts))
				for n := range 30 {
					ctx, cancel := context.WithCancel(t.Context())
					if c.leave > 0 {
						time.AfterFunc(c.leave, cancel)
					}
					w.others.Go(func() {
						defer cancel()
						w.hosts[names[n%len(names)]].sendFor(ctx, "7", "POST", c.uri, bytes.NewReader(make([]byte, c.body)))
					})
					time.Sleep(1500 * time.Millisecond)
				}
				if n := w.servers.retries(c.uri); n > retriesAllowed {
					t.Errorf("%d retries reached servers", n)
				}
			})
		})
	}
}
