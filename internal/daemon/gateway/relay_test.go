package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/links"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// relayWorld is a gateway without links to servers, "a1-0", and two others.
type relayWorld struct {
	*linkWorld
	servers *fakeServers
	// answer is how servers respond.
	answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)
}

func newRelayWorld(t *testing.T, helpers ...string) *relayWorld {
	w := &relayWorld{linkWorld: &linkWorld{testCluster: newTestCluster(t)}}
	w.servers = &fakeServers{answer: func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error) {
		if w.answer == nil {
			return okAnswer(), nil
		}
		return w.answer(ctx, n, address)
	}}
	w.links = newServerLinks(w.servers)
	w.forwarder = func(host string) forwardProber { return serverLink{w.links, host} }
	w.setRoutes(1, testRoutes())
	for _, d := range testDomains {
		w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
	}
	w.add("a1-0", "a1")
	for _, name := range helpers {
		w.add(name, name[:2])
	}
	// All may spend their parts of the retry budget.
	time.Sleep(max(2*introductionTime, time.Duration(w.hosts["a1-0"].node.bounds.Load().RetryWindow)))
	w.links.set(func(host, _ string) linkFault {
		if host == "a1-0" {
			return linkResets
		}
		return linkWell
	})
	for range minLinkFailures {
		w.hosts["a1-0"].send(context.Background(), "GET", "/get/", nil)
	}
	time.Sleep(linkCheckEvery)
	w.servers.mu.Lock()
	w.servers.sent = nil
	w.servers.mu.Unlock()
	return w
}

// takeServersForCold has a gateway take all servers for cold and owned by another.
func (w *relayWorld) takeServersForCold(name string) {
	k := w.hosts[name].keeper
	for _, s := range k.Servers() {
		s.distrustUntil(time.Now().Add(time.Minute))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.Load().hosts = []string{"another"}
}

// minLinkFailures is after how many requests over links that fail a gateway takes them for cut.
const minLinkFailures = 3

func (w *testCluster) setRoutes(version uint64, routes []routing.Route) {
	w.store.set("config", encode(plainConfig{Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: routes}), "")
}

// send sends a request for an object to a gateway.
func (h *testHost) send(ctx context.Context, method, path string, body io.Reader) *httptest.ResponseRecorder {
	return h.sendFor(ctx, "o", method, path, body)
}

// sendFor is send for a given object; without one any server may run the request.
func (h *testHost) sendFor(ctx context.Context, object, method, path string, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, body)
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Left", "1200ms")
	r.Header.Set("Object", object)
	w := httptest.NewRecorder()
	h.node.ServeHTTP(w, r)
	return w
}

// Guards against promises to callers that a request relayed to another gateway breaks: each
// case says how often servers may get it and what the caller is told.
func TestRelayedRequestsKeepPromises(t *testing.T) {
	broken := func(context.Context, int, string) (*port.ForwardAnswer, error) { return nil, brokenError(true) }
	brokenOnce := func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		if n == 1 {
			return nil, brokenError(true)
		}
		return okAnswer(), nil
	}
	notRun := func(context.Context, int, string) (*port.ForwardAnswer, error) { return notRunAnswer(), nil }
	slow := func(context.Context, int, string) (*port.ForwardAnswer, error) {
		time.Sleep(300 * time.Millisecond)
		return okAnswer(), nil
	}
	breakHelper := func(w *relayWorld) {
		time.AfterFunc(100*time.Millisecond, func() { w.breakStreams("a1-1") })
	}
	for _, c := range []struct {
		name   string
		path   string
		answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)
		// before is called just before the request is sent.
		before   func(w *relayWorld)
		status   int
		arrivals int
		within   time.Duration
	}{
		{name: "served", path: "/get/", status: 200, arrivals: 1},
		{name: "not idempotent, served", path: "/post/", status: 200, arrivals: 1},
		{name: "server breaks", path: "/get/", answer: brokenOnce, status: 200, arrivals: 2},
		{name: "not idempotent, server breaks", path: "/post/", answer: broken, status: 502, arrivals: 1},
		{name: "no more runs than the route allows", path: "/get/", answer: broken, status: 502, arrivals: 2},
		{name: "servers reject it", path: "/post/", answer: notRun, status: 503, arrivals: 4},
		{name: "helper does not reply", path: "/post/", before: func(w *relayWorld) { w.setSilent(true, "a1-1") }, status: 200, arrivals: 1, within: acceptTimeoutSameRegion},
		{name: "helper cannot be reached", path: "/post/", before: func(w *relayWorld) { w.partition(true, "a1-1") }, status: 200, arrivals: 1},
		{name: "helper stops", path: "/post/", before: func(w *relayWorld) { w.hosts["a1-1"].node.refusing.Store(true) }, status: 200, arrivals: 1},
		{name: "helper that ends before the request would", path: "/post/", before: func(w *relayWorld) {
			w.hosts["a1-1"].node.stopTimes.Store(newStopTimes(time.Now(), 200*time.Millisecond))
		}, status: 200, arrivals: 1},
		{name: "helper breaks", path: "/get/", answer: slow, before: breakHelper, status: 200, arrivals: 2},
		{name: "not idempotent, helper breaks", path: "/post/", answer: slow, before: breakHelper, status: 502, arrivals: 1},
		{name: "helper without memory", path: "/post/", before: func(w *relayWorld) { w.hosts["a1-1"].node.memory = membudget.New(1) }, status: 200, arrivals: 1},
		{name: "no helper has links", path: "/post/", before: func(w *relayWorld) {
			w.links.set(func(string, string) linkFault { return linkResets })
		}, status: 503, arrivals: 0},
		{name: "helper with another configuration", path: "/post/", before: func(w *relayWorld) {
			w.hosts["a1-1"].keeper.mu.Lock()
			defer w.hosts["a1-1"].keeper.mu.Unlock()
			w.hosts["a1-1"].keeper.config = routing.NewConfig(2, nil, routing.Limits{}, testRoutes()[:1])
			w.hosts["a1-1"].keeper.publish(time.Now())
		}, status: 200, arrivals: 1},
		{name: "helper breaks, others reject", path: "/get/", answer: slow, before: func(w *relayWorld) {
			breakHelper(w)
			w.takeServersForCold("a2-0")
			w.takeServersForCold("b1-0")
		}, status: 502, arrivals: 1},
		{name: "helper that takes all servers for cold", path: "/post/", before: func(w *relayWorld) {
			w.takeServersForCold("a1-1")
		}, status: 200, arrivals: 1},
		{name: "home in another region", path: "/home/", status: 200, arrivals: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRelayWorld(t, "a1-1", "a2-0", "b1-0")
				defer w.stopAll()
				w.answer = c.answer
				if c.before != nil {
					c.before(w)
				}
				start := time.Now()
				answer := w.hosts["a1-0"].send(t.Context(), "GET", c.path, nil)
				took := time.Since(start)
				time.Sleep(2 * time.Second)
				if answer.Code != c.status || w.servers.count() != c.arrivals {
					t.Errorf("status %d with %d arrivals, want %d with %d", answer.Code, w.servers.count(), c.status, c.arrivals)
				}
				if c.within > 0 && took > c.within {
					t.Errorf("took %v, want %v", took, c.within)
				}
				if answer.Code == http.StatusServiceUnavailable && answer.Header().Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
			})
		})
	}
}

// Guards against a relayed request that no helper of its home regions takes and that leaves
// them.
func TestRelayedRequestsStayInTheirHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "a1-1", "c1-0")
		defer w.stopAll()
		if answer := w.hosts["a1-0"].send(t.Context(), "GET", "/home/", nil); answer.Code != 503 || w.servers.count() != 0 {
			t.Errorf("status %d with %d arrivals", answer.Code, w.servers.count())
		}
	})
}

// Guards against relayed requests on which servers work on though their callers have left.
func TestCallersLeaveRelayedRequests(t *testing.T) {
	for path, canceled := range map[string]bool{"/get/": true, "/post/": false} {
		synctest.Test(t, func(t *testing.T) {
			w := newRelayWorld(t, "a1-1")
			defer w.stopAll()
			w.answer = func(context.Context, int, string) (*port.ForwardAnswer, error) {
				time.Sleep(500 * time.Millisecond)
				return okAnswer(), nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			w.hosts["a1-0"].send(ctx, "GET", path, nil)
			time.Sleep(time.Second)
			w.links.mu.Lock()
			got := w.links.canceled
			w.links.mu.Unlock()
			if (got == 1) != canceled || w.servers.count() != 1 {
				t.Errorf("%s: canceled %d with %d arrivals", path, got, w.servers.count())
			}
		})
	}
}

// Guards against bodies that are cut short, or taken for whole, on their way through another
// gateway: they are larger than what gateways hold.
func TestRelayedBodiesAreWhole(t *testing.T) {
	const size = 3*maxBufferedBody + 17
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
	for _, breaks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newRelayWorld(t, "a1-1")
			defer w.stopAll()
			var got []byte
			w.answer = func(context.Context, int, string) (*port.ForwardAnswer, error) {
				req := w.servers.sent[0].req
				rest, err := io.ReadAll(req.Rest)
				if err != nil {
					return nil, brokenError(true)
				}
				got = append(bytes.Clone(req.Body), rest...)
				a := okAnswer()
				a.Body = body[:maxBufferedBody]
				var tail io.Reader = bytes.NewReader(body[maxBufferedBody:])
				if breaks {
					tail = io.MultiReader(io.LimitReader(tail, 1000), brokenReader{})
				}
				a.Rest = io.NopCloser(tail)
				return a, nil
			}
			var answer *httptest.ResponseRecorder
			aborted := func() (aborted bool) {
				defer func() { aborted = recover() != nil }()
				answer = w.hosts["a1-0"].send(t.Context(), "POST", "/post/", bytes.NewReader(body))
				return false
			}()
			if !bytes.Equal(got, body) {
				t.Errorf("server got %d bytes of %d", len(got), len(body))
			}
			if aborted != breaks || !breaks && !bytes.Equal(answer.Body.Bytes(), body) {
				t.Errorf("response that breaks off %t: aborted %t", breaks, aborted)
			}
		})
	}
}

// brokenReader breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }

// Guards against requests that count for the retry budget at two gateways.
func TestRelayedRequestsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "a1-1")
		defer w.stopAll()
		counted := func() (n int) {
			for _, h := range w.hosts {
				h.node.withRetryBudget("s", func(b *retry.Window) bool { n += b.Requests(time.Now()); return true })
			}
			return n
		}
		// The links are not known to be cut, and attempts fail before they leave the host.
		w.hosts["a1-0"].node.links.update((*links.Monitor).Reset)
		before := counted()
		for range 10 {
			w.hosts["a1-0"].send(t.Context(), "GET", "/get/", nil)
		}
		if got := counted() - before; got != 10 {
			t.Errorf("10 requests counted %d times", got)
		}
	})
}

// Guards against a server's word that it leaves that is heard by the helper only: the gateway
// that relayed the request sends there itself once its links are whole.
func TestRelayedResponsesTellOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "a1-1")
		defer w.stopAll()
		w.answer = func(context.Context, int, string) (*port.ForwardAnswer, error) {
			a := okAnswer()
			a.Header.Set("Leaving", "1")
			a.Meta.Leaving = true
			return a, nil
		}
		w.hosts["a1-0"].send(t.Context(), "GET", "/get/", nil)
		leaving := 0
		for _, s := range w.hosts["a1-0"].keeper.Servers() {
			if s.isLeaving() {
				leaving++
			}
		}
		if leaving != 1 {
			t.Errorf("%d servers are known to leave", leaving)
		}
	})
}

// Guards against a planned stop of a gateway that cuts the requests of others, and of one that
// relays.
func TestStopAwaitsRelayedRequests(t *testing.T) {
	for _, stops := range []string{"a1-0", "a1-1"} {
		synctest.Test(t, func(t *testing.T) {
			w := newRelayWorld(t, "a1-1")
			defer w.stopAll()
			w.answer = func(context.Context, int, string) (*port.ForwardAnswer, error) {
				time.Sleep(800 * time.Millisecond)
				return okAnswer(), nil
			}
			done := make(chan int, 1)
			go func() { done <- w.hosts["a1-0"].send(t.Context(), "GET", "/get/", nil).Code }()
			time.Sleep(100 * time.Millisecond)
			h := w.hosts[stops]
			h.node.refusing.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			start := time.Now()
			h.node.awaitRelayed(ctx)
			if waited := time.Since(start); stops == "a1-1" && waited < 600*time.Millisecond {
				t.Errorf("stopped after %v", waited)
			}
			if code := <-done; code != 200 {
				t.Errorf("%s stops: %d", stops, code)
			}
		})
	}
}

// Guards against gateways that are named to callers, and own what only one gateway may do,
// while they have no links to servers.
func TestGatewaysWithoutLinksOwnNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLinkWorld(t)
		defer w.stopAll()
		cut := func(host string) bool { return strings.HasPrefix(host, "a1") || strings.HasSuffix(host, "-1") }
		w.links.set(func(host, _ string) linkFault {
			if cut(host) {
				return linkHangs
			}
			return linkWell
		})
		w.load(cutSettle)
		for name, h := range w.hosts {
			v := h.keeper.View()
			for _, d := range testDomains {
				addresses, _ := h.node.Locate("", d.Region, d.Domain)
				for _, address := range addresses {
					for other, o := range w.hosts {
						if o.cfg.Caller.String() == address && cut(other) {
							t.Errorf("%s names %s", name, other)
						}
					}
				}
			}
			for _, host := range v.hosts {
				if cut(host) {
					t.Errorf("%s lets %s own cold servers", name, host)
				}
			}
			for _, g := range v.gateways {
				if cut(g.Host) {
					t.Errorf("%s lets %s issue permits", name, g.Host)
				}
			}
			if (v.retryExtraShare == 0) != cut(name) {
				t.Errorf("%s has %.3f of the retries", name, v.retryExtraShare)
			}
		}
		w.links.heal()
		w.load(cutSettle + introductionTime)
		for name, h := range w.hosts {
			if v := h.keeper.View(); len(v.hosts) != len(w.hosts) || len(v.reaching) != len(w.hosts) {
				t.Errorf("%s knows %d owners, %d gateways with links after the cut", name, len(v.hosts), len(v.reaching))
			}
		}
	})
}
