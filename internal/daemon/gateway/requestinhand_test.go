package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/links"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// handPath is the target of the requests of these tests.
const handPath = "/get/x/1"

// homesChange is a version that changes the home regions of requests for handPath.
type homesChange struct {
	name          string
	before, after []routing.Route
	// allowed are the regions that may serve requests from then on.
	allowed []string
}

// homesRoutes are testRoutes whose route /get/ has home regions, and a route /get/x/ with others if
// there are any.
func homesRoutes(homes []string, longer ...string) []routing.Route {
	routes := testRoutes()
	routes[0].Homes, routes[0].MaxAttempts = homes, 3
	if len(longer) > 0 {
		x := routes[0]
		x.Name, x.Prefix, x.Homes = "x", "/get/x/", longer
		routes = append(routes, x)
	}
	return routes
}

func homesChanges() []homesChange {
	return []homesChange{
		{"homes given", homesRoutes(nil), homesRoutes([]string{"b"}), []string{"b"}},
		{"homes changed", homesRoutes([]string{"a"}), homesRoutes([]string{"b"}), []string{"b"}},
		{"longer prefix with homes added", homesRoutes(nil), homesRoutes(nil, "b"), []string{"b"}},
		{"homes moved away", homesRoutes([]string{"a"}), homesRoutes([]string{"nowhere"}), nil},
		{"route removed", homesRoutes([]string{"b"}), homesRoutes(nil)[1:], []string{"b"}},
	}
}

// atVersion is a configuration with the routes given.
func atVersion(version uint64, routes []routing.Route) plainConfig {
	return plainConfig{Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: routes, Limits: routing.Limits{BodyBytes: 1 << 20}}
}

// openingServers are servers whose connections take a while to open: opening is called meanwhile,
// with the number of the connection, from 1. Requests that are withdrawn then reach no server.
type openingServers struct {
	port.Forwarder
	opening func(n int, address string)

	mu                sync.Mutex
	opened, withdrawn int
}

// Forward implements port.Forwarder.
func (s *openingServers) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	s.mu.Lock()
	s.opened++
	n := s.opened
	s.mu.Unlock()
	if s.opening != nil {
		s.opening(n, address)
	}
	if req.Admit != nil {
		if err := req.Admit(); err != nil {
			s.mu.Lock()
			s.withdrawn++
			s.mu.Unlock()
			return nil, &port.BackendError{Code: port.BackendWithdrawn, Address: address, Err: err}
		}
	}
	return s.Forwarder.Forward(ctx, address, req)
}

// inHand is a gateway with one request for which the configuration changes.
type inHand struct {
	*fixture
	t       *testing.T
	opening *openingServers
	c       homesChange
	// reached is how many requests servers had got when the version came.
	reached int
	changed bool
}

// newInHand returns a gateway under the version before the change. Its servers answer the first
// request by first, if that is given.
func newInHand(t *testing.T, c homesChange, first func() (*port.ForwardAnswer, error)) *inHand {
	h := &inHand{t: t, c: c}
	h.fixture = newFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		if n == 1 && first != nil {
			h.change()
			return first()
		}
		return okAnswer(), nil
	})
	h.opening = &openingServers{Forwarder: h.servers}
	h.node.forwarder = h.opening
	h.setConfig(atVersion(2, c.before))
	return h
}

// change has the version come.
func (h *inHand) change() {
	if h.changed {
		return
	}
	h.changed = true
	h.reached = h.servers.count()
	h.setConfig(atVersion(3, h.c.after))
}

// check fails the test if a request reached a region after the version that is no home by it, or
// ended otherwise than it should.
func (h *inHand) check(w *httptest.ResponseRecorder, otherwise int) {
	h.t.Helper()
	if !h.changed {
		h.t.Fatal("no version came while the request was in hand")
	}
	for _, s := range h.servers.sent[h.reached:] {
		if region := s.server[2:3]; !slices.Contains(h.c.allowed, region) {
			h.t.Errorf("sent to %s, the home regions are %v", s.server, h.c.allowed)
		}
	}
	want := http.StatusOK
	if len(h.c.allowed) == 0 {
		want = otherwise
	}
	if w.Code != want {
		h.t.Errorf("status %d, want %d", w.Code, want)
	}
}

// Guards against a request that is sent to a server outside the home regions of its route, since a
// version gave or changed them after the request was matched.
func TestHomeRegionsInForceBindRequestsInHand(t *testing.T) {
	for _, c := range homesChanges() {
		t.Run(c.name+"/while the body is read", func(t *testing.T) {
			h := newInHand(t, c, nil)
			r := httptest.NewRequest("GET", handPath, io.MultiReader(strings.NewReader("body"), readerFunc(func([]byte) (int, error) {
				h.change()
				return 0, io.EOF
			})))
			r.Host = "h"
			w := httptest.NewRecorder()
			h.node.ServeHTTP(w, r)
			h.check(w, 503)
		})
		t.Run(c.name+"/between two attempts", func(t *testing.T) {
			h := newInHand(t, c, func() (*port.ForwardAnswer, error) { return notRunAnswer(), nil })
			h.check(h.do("GET", handPath), 503)
		})
		t.Run(c.name+"/after a failed attempt", func(t *testing.T) {
			h := newInHand(t, c, func() (*port.ForwardAnswer, error) { return nil, brokenError(true) })
			h.check(h.do("GET", handPath), 502)
		})
	}
}

// Guards against trials that are offered to a coordinator outside the home regions in force.
func TestHomeRegionsInForceBindTrials(t *testing.T) {
	for _, c := range homesChanges() {
		t.Run(c.name, func(t *testing.T) {
			for i := range 20 {
				h := newInHand(t, c, nil)
				streams := new(refusingStreams)
				h.node.relays = newRelayPeers(streams)
				h.hearGateways()
				r := httptest.NewRequest("GET", fmt.Sprint(handPath, i), nil)
				r.Host = "h"
				req := h.node.newRequest(r)
				req.view = h.keeper.View()
				req.route = matchRoute(req.view.config, r)
				h.node.prepare(req)
				h.change()
				h.node.offerTrial(httptest.NewRecorder(), r, req, suspect.Verdict{}, time.Now())
				for _, address := range streams.asked {
					if !slices.Contains(c.allowed, address[:1]) {
						t.Fatalf("asked the gateway in %s, the home regions are %v", address, c.allowed)
					}
				}
			}
		})
	}
}

// acceptingStreams implements port.PeerStreamer for helpers that accept all offers.
type acceptingStreams struct {
	accepted     func()
	asked        []string
	sent, closed int
}

// Open implements port.PeerStreamer.
func (s *acceptingStreams) Open(_ context.Context, address string, _ *peerv1.Request) (port.PeerStream, error) {
	s.asked = append(s.asked, address)
	return acceptingStream{s}, nil
}

type acceptingStream struct{ streams *acceptingStreams }

// Send implements port.PeerStream.
func (x acceptingStream) Send(*peerv1.Request) error { x.streams.sent++; return nil }

// Receive implements port.PeerStream.
func (x acceptingStream) Receive(time.Duration) (*peerv1.Reply, error) {
	x.streams.accepted()
	return &peerv1.Reply{Body: &peerv1.Reply_RelayAccept{RelayAccept: &peerv1.RelayAccept{}}}, nil
}

// Close implements port.PeerStream.
func (x acceptingStream) Close() error { x.streams.closed++; return nil }

// Guards against a trial that is withdrawn after its coordinator has accepted it and that is sent all
// the same, is offered to a gateway that is not its coordinator, or has the coordinator passed over.
func TestWithdrawnTrialsWaitForTheirCoordinator(t *testing.T) {
	h := newInHand(t, homesChanges()[0], nil)
	streams := &acceptingStreams{accepted: h.change}
	h.node.relays = newRelayPeers(streams)
	h.hearGateways()
	r := httptest.NewRequest("GET", handPath, nil)
	r.Host = "h"
	req := h.node.newRequest(r)
	req.view = h.keeper.View()
	req.route = matchRoute(req.view.config, r)
	h.node.prepare(req)
	w := httptest.NewRecorder()
	admitted, _ := h.node.offerTrial(w, r, req, suspect.Verdict{}, time.Now())
	if admitted || w.Code != http.StatusServiceUnavailable || len(streams.asked) != 1 || streams.sent != 0 || streams.closed != 1 {
		t.Errorf("admitted %t, status %d, asked %v, sent %d parts, closed %d", admitted, w.Code, streams.asked, streams.sent, streams.closed)
	}
	if len(h.node.trials.passedOver) > 0 {
		t.Errorf("passed over %v", h.node.trials.passedOver)
	}
}

// hearGateways has a gateway of each failure domain known. Its address is the domain.
func (f *fixture) hearGateways() {
	for _, d := range testDomains {
		f.keeper.Hear(&peerv1.GatewayMember{Host: "g-" + d.Domain, Domain: d.Domain, Region: d.Region, PeerAddress: d.Domain, Capacity: 1, State: peerv1.HostState_HOST_STATE_SERVING}, time.Now(), time.Now())
	}
}

// grantingPeers implements port.PeerCaller, and grants all permits.
type grantingPeers struct {
	port.PeerCaller
	asked func()
}

// Call implements port.PeerCaller.
func (p grantingPeers) Call(_ context.Context, _ string, req *peerv1.Request) (*peerv1.Reply, error) {
	p.asked()
	return &peerv1.Reply{Body: &peerv1.Reply_PermitReply{PermitReply: &peerv1.PermitReply{Granted: true, Limit: req.GetPermitAsk().Limit}}}, nil
}

// Guards against a request that is sent on a connection for which it had to wait, or with a permit
// for which it had to wait, to a server that may not serve it any more: by the home regions, the
// customer's key, the evacuations or the server's own word, as they are by then.
func TestAttemptsAreAdmittedAtTheFirstByte(t *testing.T) {
	for _, c := range homesChanges() {
		t.Run(c.name+"/while a permit is asked for", func(t *testing.T) {
			h := newInHand(t, c, nil)
			h.hearGateways()
			h.node.permitPeers.pool = grantingPeers{asked: h.change}
			for _, s := range h.keeper.Servers() {
				s.updateLimit(ratelimit.Limit{Named: true, Rate: 8, At: time.Now()})
			}
			h.check(h.do("GET", handPath), 503)
		})
		t.Run(c.name+"/while a connection is opened", func(t *testing.T) {
			h := newInHand(t, c, nil)
			h.opening.opening = func(int, string) { h.change() }
			h.check(h.do("GET", handPath), 503)
		})
	}
	for _, c := range []struct {
		name string
		// happens is called while the nth connection is opened, to the server given.
		happens func(f *fixture, n int, s *server)
		status  int
		// withdrawn is how often the request is, sent how often it reaches a server.
		withdrawn, sent int
	}{
		{"nothing", func(*fixture, int, *server) {}, 200, 0, 1},
		{"another version", func(f *fixture, n int, _ *server) {
			f.setConfig(customerConfig(uint64(10+n), []string{secretKey}))
		}, 200, 0, 1},
		{"key withdrawn", func(f *fixture, _ int, _ *server) { f.setConfig(customerConfig(10, nil)) }, 401, 1, 0},
		{"key of another customer by now", func(f *fixture, _ int, _ *server) {
			c := customerConfig(10, []string{"other"})
			c.Customers[1].Keys = []string{secretKey}
			f.setConfig(c)
		}, 200, 1, 1},
		{"customer's homes moved away", func(f *fixture, _ int, _ *server) {
			f.setConfig(customerConfig(10, []string{secretKey}, "nowhere"))
		}, 503, 1, 0},
		{"customer's homes flap", func(f *fixture, n int, _ *server) {
			f.setConfig(customerConfig(uint64(10+n), []string{secretKey}, []string{"b", "c"}[n%2]))
		}, 503, 8, 0},
		{"evacuated", func(f *fixture, n int, s *server) {
			if n == 1 {
				f.keeper.Apply([]mirror.Record{{Key: "evacuate/" + s.rec().Domain, Revision: 200, Read: time.Now(), Value: []byte("{}")}}, 200, "store", time.Now())
			}
		}, 200, 1, 1},
		{"removed", func(f *fixture, n int, s *server) {
			if n == 1 {
				f.keeper.Apply([]mirror.Record{{Key: "server/" + s.rec().ID, Revision: 200, Read: time.Now()}}, 200, "store", time.Now())
			}
		}, 200, 1, 1},
		{"says that it leaves", func(f *fixture, n int, s *server) {
			if n == 1 {
				s.leave(time.Now())
			}
		}, 200, 1, 1},
		{"all say that they leave", func(f *fixture, n int, s *server) {
			if n == 1 {
				for _, s := range f.keeper.Servers() {
					s.leave(time.Now())
				}
			}
		}, 200, 1, 1},
		{"all have left", func(f *fixture, n int, s *server) {
			for _, s := range f.keeper.Servers() {
				s.leave(time.Now().Add(-f.node.lastUse()))
			}
		}, 503, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCustomerFixture(nil)
				defer f.stop()
				opening := &openingServers{Forwarder: f.servers}
				f.node.forwarder = opening
				var withdrawnFrom *server
				opening.opening = func(n int, address string) {
					s := f.keeper.server(address, 0)
					if n == 1 {
						// Opening the connection takes as long as over a link that fails.
						time.Sleep(minConnectTime)
						withdrawnFrom = s
					}
					c.happens(f, n, s)
				}
				w := f.do("POST", "/post/", "Key", secretKey)
				if w.Code != c.status || opening.withdrawn != c.withdrawn || f.servers.count() != c.sent {
					t.Errorf("status %d, withdrawn %d times, sent %d times, want %d, %d and %d", w.Code, opening.withdrawn, f.servers.count(), c.status, c.withdrawn, c.sent)
				}
				if withdrawnFrom.isDown() || withdrawnFrom.inFlight() > 0 || f.node.links.noisy.Load() || f.node.links.current() != links.Whole {
					t.Error("a withdrawn request counts against the server or the links")
				}
			})
		})
	}
}

// Guards against a withdrawn request that gets no attempt any more, or none at the server, once it
// is admitted again.
func TestWithdrawnAttemptsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// With the two that reach servers, more than the route's attempts and those beyond.
		const withdrawn = 3
		f := newCustomerFixture(nil)
		defer f.stop()
		opening := &openingServers{Forwarder: f.servers}
		f.node.forwarder = opening
		opening.opening = func(n int, _ string) {
			if n <= withdrawn {
				f.setConfig(customerConfig(uint64(10+n), []string{secretKey}, []string{"b", "a"}[n%2]))
			}
		}
		f.setConfig(customerConfig(9, []string{secretKey}, "b"))
		f.servers.answer = func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
			if n == 1 {
				return notRunAnswer(), nil
			}
			return okAnswer(), nil
		}
		if w := f.do("GET", "/get/", "Key", secretKey); w.Code != http.StatusOK || f.servers.count() != 2 || opening.withdrawn != withdrawn {
			t.Errorf("status %d after %d attempts, withdrawn %d times", w.Code, f.servers.count(), opening.withdrawn)
		}
	})
}

// Guards against a retry that draws on the retry budget each time that it is withdrawn.
func TestWithdrawnRetriesDrawOnTheBudgetOnce(t *testing.T) {
	f := newCustomerFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		if n == 1 {
			return nil, brokenError(true)
		}
		return okAnswer(), nil
	})
	// One retry for one request.
	f.node.bounds.Store(&Bounds{RetryWindow: document.Duration(defaultRetryWindow), RetryRatio: 1.5})
	opening := &openingServers{Forwarder: f.servers, opening: func(n int, _ string) {
		if n == 2 || n == 3 {
			f.setConfig(customerConfig(uint64(10+n), []string{secretKey}, []string{"b", "c"}[n%2]))
		}
	}}
	f.node.forwarder = opening
	if w := f.do("GET", "/get/", "Key", secretKey); w.Code != http.StatusOK || opening.withdrawn != 2 || f.servers.count() != 2 {
		t.Errorf("status %d, withdrawn %d times, sent %d times", w.Code, opening.withdrawn, f.servers.count())
	}
}

// Guards against a second attempt beside the first that goes to a server outside the home regions
// in force, or for a key that was withdrawn while the first ran.
func TestHomeRegionsInForceBindHedges(t *testing.T) {
	for _, c := range homesChanges() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newHedgeFixture(1)
				defer f.stop()
				f.setConfig(atVersion(2, c.before))
				f.warm("/get/", "o")
				s.plan = func(_ string, n int, _ string) pacedRun {
					if n == 1 {
						time.AfterFunc(warmRun, func() { f.setConfig(atVersion(3, c.after)) })
						return pacedRun{after: 5 * warmRun}
					}
					return pacedRun{}
				}
				if w := f.do(http.MethodGet, handPath, "Id", "long"); w.Code != http.StatusOK {
					t.Errorf("status %d", w.Code)
				}
				for _, server := range s.servers["long"][1:] {
					if !slices.Contains(c.allowed, server[2:3]) {
						t.Errorf("second attempt at %s, the home regions are %v", server, c.allowed)
					}
				}
			})
		})
	}
	t.Run("while its connection is opened", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, s := newHedgeFixture(1)
			defer f.stop()
			opening := &openingServers{Forwarder: s, opening: func(n int, _ string) {
				if n == 2 {
					f.setConfig(atVersion(3, homesRoutes([]string{"b"})))
				}
			}}
			f.node.forwarder = opening
			s.plan = func(string, int, string) pacedRun { return pacedRun{after: 3 * warmRun} }
			w := f.do(http.MethodGet, "/get/", "Id", "long")
			if w.Code != http.StatusOK || opening.withdrawn != 1 || s.count("long") != 1 {
				t.Errorf("status %d, withdrawn %d times, %d arrivals", w.Code, opening.withdrawn, s.count("long"))
			}
		})
	})
	t.Run("key withdrawn", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, s := newHedgeFixture(1)
			defer f.stop()
			f.setConfig(customerConfig(2, []string{secretKey}))
			f.warm("/get/", "o")
			s.plan = func(_ string, n int, _ string) pacedRun {
				if n == 1 {
					time.AfterFunc(warmRun, func() { f.setConfig(customerConfig(3, nil)) })
					return pacedRun{after: 5 * warmRun}
				}
				return pacedRun{}
			}
			if w := f.do(http.MethodGet, handPath, "Id", "long", "Key", secretKey); w.Code != http.StatusOK || s.count("long") != 1 {
				t.Errorf("status %d after %d arrivals", w.Code, s.count("long"))
			}
		})
	})
}

// watchedStreams has accepted called when a helper accepts an offer, and counts the parts of bodies
// that are sent to each address after that.
type watchedStreams struct {
	port.PeerStreamer
	accepted func()
	bodies   map[string]int
	offers   []*peerv1.RelayOffer
}

// Open implements port.PeerStreamer.
func (s *watchedStreams) Open(ctx context.Context, address string, req *peerv1.Request) (port.PeerStream, error) {
	s.offers = append(s.offers, req.GetRelayOffer())
	x, err := s.PeerStreamer.Open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	return &watchedStream{PeerStream: x, streams: s, address: address}, nil
}

type watchedStream struct {
	port.PeerStream
	streams *watchedStreams
	address string
}

// Send implements port.PeerStream.
func (x *watchedStream) Send(req *peerv1.Request) error {
	x.streams.bodies[x.address]++
	return x.PeerStream.Send(req)
}

// Receive implements port.PeerStream.
func (x *watchedStream) Receive(wait time.Duration) (*peerv1.Reply, error) {
	reply, err := x.PeerStream.Receive(wait)
	if err == nil && reply.GetRelayAccept() != nil {
		x.streams.accepted()
	}
	return reply, err
}

// setOwnConfig has one gateway know a version.
func (h *testHost) setOwnConfig(version uint64, routes []routing.Route) {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	h.keeper.config = routing.NewConfig(version, []routing.Service{{Name: "s", ColdRate: 6}}, routing.Limits{}, routes)
	h.keeper.publish(time.Now())
}

// Guards against a request that is relayed to a helper, or served by one, outside the home regions
// in force at the gateway that received it: the helper may know an earlier version.
func TestHomeRegionsInForceBindRelays(t *testing.T) {
	const before, accepted = "before the offer", "between acceptance and body"
	for _, c := range homesChanges() {
		for _, moment := range []string{before, accepted} {
			for _, behind := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/helpers behind %t", c.name, moment, behind), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newRelayWorld(t, "a1-1", "b1-0", "b1-1")
						defer w.stopAll()
						for _, h := range w.hosts {
							h.setOwnConfig(10, c.before)
						}
						origin, reached, changed := w.hosts["a1-0"], 0, false
						streams := &watchedStreams{PeerStreamer: origin.node.relays.streams, bodies: map[string]int{}, accepted: func() {}}
						origin.node.relays.streams = streams
						change := func() {
							if changed {
								return
							}
							changed = true
							reached = w.servers.count()
							clear(streams.bodies)
							for name, h := range w.hosts {
								if name == "a1-0" || !behind {
									h.setOwnConfig(11, c.after)
								}
							}
						}
						body := io.Reader(strings.NewReader("body"))
						if moment == before {
							body = io.MultiReader(body, readerFunc(func([]byte) (int, error) { change(); return 0, io.EOF }))
						} else {
							streams.accepted = change
						}
						answer := origin.send(t.Context(), "GET", handPath, body)
						if !changed {
							t.Fatal("no version came while the request was in hand")
						}
						for _, s := range w.servers.sent[reached:] {
							if !slices.Contains(c.allowed, s.server[2:3]) {
								t.Errorf("sent to %s, the home regions are %v", s.server, c.allowed)
							}
						}
						for name, h := range w.hosts {
							if streams.bodies[h.cfg.Peer.String()] > 0 && !slices.Contains(c.allowed, name[:1]) {
								t.Errorf("body sent to %s, the home regions are %v", name, c.allowed)
							}
						}
						want := http.StatusOK
						// Helpers take no offer of a request for which they have no route.
						noRoute := c.name == "route removed" && moment == before && !behind
						// Helpers with an earlier version keep to its home regions as well.
						apart := c.name == "homes changed" && behind
						if len(c.allowed) == 0 || noRoute || apart {
							want = http.StatusServiceUnavailable
						}
						if answer.Code != want {
							t.Errorf("status %d, want %d", answer.Code, want)
						}
					})
				})
			}
		}
	}
}

// Guards against an offer that is withdrawn and not made anew, though its only helper may take it.
func TestWithdrawnOffersAreMadeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRelayWorld(t, "b1-0")
		defer w.stopAll()
		origin := w.hosts["a1-0"]
		streams := &watchedStreams{PeerStreamer: origin.node.relays.streams, bodies: map[string]int{}, accepted: func() {
			origin.setOwnConfig(11, homesRoutes([]string{"b"}))
		}}
		origin.node.relays.streams = streams
		hook := logtest.NewLocal(origin.node.log.Logger)
		answer := origin.send(t.Context(), "GET", handPath, nil)
		if answer.Code != http.StatusOK || len(streams.offers) != 2 || !slices.Equal(streams.offers[1].Regions, []string{"b"}) || streams.offers[1].ConfigVersion != 11 {
			t.Errorf("status %d, offers %v", answer.Code, streams.offers)
		}
		attempts := lastAttempts(t, hook)
		if len(attempts) != 2 || attempts[0]["via"] != "b1-0" || attempts[0]["not_run"] != string(proofWithdrawn) || attempts[1]["via"] != "b1-0" {
			t.Errorf("logged %v", attempts)
		}
	})
}

// Guards against a helper that serves an offered request outside the regions that both gateways
// allow, or, with a later version, by those of the earlier one.
func TestHelpersKeepToOfferedRegions(t *testing.T) {
	for _, c := range []struct {
		name string
		// offered are the version and the regions of the offer, own those of the helper in a.
		offered uint64
		regions []string
		own     uint64
		homes   []string
		// region is where the request runs; empty if it is refused.
		region string
	}{
		{"offered by an old build", 0, nil, 5, []string{"b", "a"}, "a"},
		{"no restriction", 5, nil, 5, nil, "a"},
		{"helper behind", 6, []string{"a"}, 5, nil, "a"},
		{"helper behind, nothing in common", 6, []string{"b"}, 5, []string{"a"}, ""},
		{"helper behind, outside the regions", 6, []string{"b"}, 5, nil, ""},
		{"same version", 5, []string{"a"}, 5, []string{"a", "b"}, "a"},
		{"helper ahead, has other homes", 5, []string{"b"}, 6, []string{"a"}, "a"},
		{"helper ahead, outside its homes", 5, []string{"a"}, 6, []string{"b"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
			f.setConfig(atVersion(c.own, homesRoutes(c.homes)))
			offer := &peerv1.RelayOffer{Method: "GET", Uri: handPath, Host: "h", Service: "s", RunsLeft: 1, ConfigVersion: c.offered, Regions: c.regions}
			err := f.node.ServeRelay(t.Context(), offer, "other", &heldStream{})
			got := ""
			if f.servers.count() > 0 {
				got = f.servers.sent[0].server[2:3]
			}
			refused, ok := err.(*RelayRefusedError)
			if got != c.region || c.region == "" && (!ok || refused.Reason != relayOtherConfig) {
				t.Errorf("served in %q with %v, want %q", got, err, c.region)
			}
		})
	}
	// A version that comes between acceptance and body binds the helper.
	for _, c := range homesChanges() {
		t.Run(c.name+"/at the helper", func(t *testing.T) {
			h := newInHand(t, c, nil)
			offer := &peerv1.RelayOffer{Method: "GET", Uri: handPath, Host: "h", Service: "s", RunsLeft: 1, ConfigVersion: 2, Regions: c.before[0].Homes}
			if c.before[0].Name != "get" {
				t.Fatal("no route for the request")
			}
			x := &changingStream{change: h.change}
			h.node.cfg.Region = append(c.before[0].Homes, "a")[0]
			if err := h.node.ServeRelay(t.Context(), offer, "other", x); err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			w.Code = int(x.status)
			h.check(w, 503)
		})
	}
}

// changingStream is a heldStream for a request during whose acceptance a version comes.
type changingStream struct {
	heldStream
	change func()
	status uint32
}

// Send implements port.PeerServerStream.
func (x *changingStream) Send(reply *peerv1.Reply) error {
	if reply.GetRelayAccept() != nil {
		x.change()
	}
	if head := reply.GetRelayHead(); head != nil {
		x.status = head.Status
	}
	return nil
}
