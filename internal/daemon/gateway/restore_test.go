//go:build !race

package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// restored takes the store away for a second and has it come back from a copy.
func (w *testCluster) restored(c storeCopy) {
	w.store.turnAway(true)
	time.Sleep(time.Second)
	w.store.restore(c)
	w.store.turnAway(false)
}

// always fails the test if a gateway is at fault during a span: check returns what is wrong.
func (w *testCluster) always(span time.Duration, what string, check func(h *testHost) string) {
	w.t.Helper()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for name, h := range w.hosts {
			if fault := check(h); fault != "" {
				w.t.Errorf("%s, %v before the end of %q: %s", name, time.Until(end), what, fault)
				return
			}
		}
	}
}

// version returns the version of the configuration in force; zero for none.
func (h *testHost) version() uint64 {
	if c := h.keeper.View().config; c != nil {
		return c.Version
	}
	return 0
}

// isCold reports whether the gateway takes a server for cold.
func (h *testHost) isCold(id string) bool {
	s := h.keeper.server(id, 0)
	return s != nil && s.remainingCold(time.Now()) > 0
}

// TestWhatACopyLacksStaysKnown guards against requests to servers that leave or are gone, to
// evacuated domains and to cold servers as to warm ones after the store came back from a
// copy that knows nothing of that: what gateways know stays until it is written again.
func TestWhatACopyLacksStaysKnown(t *testing.T) {
	const (
		rewritten = time.Second
		coldFor   = 20 * time.Second
	)
	for _, restores := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d restores", restores), func(t *testing.T) {
			play(t, 2, func(w *testCluster) {
				record := func(domain string, born, beat int64) fleet.Record {
					return fleet.Record{ID: "i-" + domain, Domain: domain, Born: born, Beat: beat}
				}
				for _, d := range testDomains {
					w.setServer(record(d.Domain, 100, 10))
				}
				w.setServer(record("a1", 100, 10))
				time.Sleep(2 * time.Second)
				c := w.store.copy()

				draining := record("a1", 100, 30)
				draining.State = fleet.Draining
				w.setServer(draining)
				w.store.set("server/i-b1", nil, "")
				w.store.set("evacuate/c1", []byte("{}"), "")
				w.setConfig(2)
				restarted := record("a2", 200, 1)
				restarted.Cold = coldFor
				w.setServer(restarted)
				started := fleet.Record{ID: "i-new", Domain: "b2", Born: 300, Beat: 1, Cold: coldFor}
				w.setServer(started)
				cold := record("c2", 100, 30)
				cold.Cold = coldFor
				w.setServer(cold)
				time.Sleep(drainBound)
				holds := func(h *testHost) string {
					for _, id := range []string{"i-a1", "i-b1", "i-c1"} {
						if h.routesTo(id) {
							return "routes to " + id
						}
					}
					for _, id := range []string{"i-a2", "i-new", "i-c2"} {
						if !h.routesTo(id) || !h.isCold(id) {
							return fmt.Sprintf("routes to %s: %t, cold %t", id, h.routesTo(id), h.isCold(id))
						}
					}
					if h.version() < 2 {
						return fmt.Sprint("version ", h.version())
					}
					return ""
				}
				w.always(time.Second, "as it was written", holds)
				for range restores {
					w.restored(c)
					w.always(rewritten, "as it was before the restore", holds)
				}
				// The operators and the servers that are alive write again what the copy lacks.
				w.setServer(draining)
				w.store.set("evacuate/c1", []byte("{}"), "")
				w.setConfig(2)
				for _, r := range []fleet.Record{restarted, started, cold} {
					r.Beat += 8
					r.Cold = coldFor - 10*time.Second
					w.setServer(r)
				}
				// The lease of the server that is gone ends.
				time.Sleep(time.Second)
				w.store.set("server/i-b1", nil, "")
				w.always(2*restoreSettle, "as it was written again", holds)

				// What is written from now on counts as ever.
				w.setConfig(3)
				w.setServer(record("b1", 400, 1))
				w.store.set("evacuate/c1", nil, "")
				w.waitFor(drainBound, "changes are in force", func() bool {
					for _, h := range w.hosts {
						if h.version() != 3 || !h.routesTo("i-b1") || !h.routesTo("i-c1") {
							return false
						}
					}
					return true
				})
			})
		})
	}
}

// TestWhatIsNotWrittenAgainEnds checks that what only the gateways know ends some time after
// the store came back, and that the copy's records then count.
func TestWhatIsNotWrittenAgainEnds(t *testing.T) {
	play(t, 2, func(w *testCluster) {
		w.setServer(fleet.Record{ID: "i-a1", Domain: "a1", Born: 100, Beat: 10})
		time.Sleep(time.Second)
		c := w.store.copy()
		w.setServer(fleet.Record{ID: "i-new", Domain: "a1", Born: 300, Beat: 1})
		w.store.set("server/i-a1", nil, "")
		w.store.set("evacuate/c1", []byte("{}"), "")
		time.Sleep(drainBound)
		w.restored(c)
		w.waitFor(restoreSettle+drainBound, "the copy counts", func() bool {
			for _, h := range w.hosts {
				if h.routesTo("i-new") || !h.routesTo("i-a1") || !h.routesTo("i-c1") {
					return false
				}
			}
			return true
		})
	})
}

// TestGatewaysOutliveRestores checks that all gateways keep knowing each other, and that one
// that is gone does not come back, while the store loses their records and leases.
func TestGatewaysOutliveRestores(t *testing.T) {
	play(t, 2, func(w *testCluster) {
		old := w.store.copy()
		w.hosts["b2-1"].syncer.Leave(t.Context())
		time.Sleep(leaseTTL + time.Second)
		w.kill("b2-1")
		w.add("a1-late", "a1")
		time.Sleep(3 * time.Second)
		members := func(h *testHost) string {
			names := map[string]bool{}
			for _, m := range h.keeper.View().members {
				names[m.Host] = true
			}
			switch {
			case names["b2-1"]:
				return "b2-1 is back"
			case len(names) != len(w.hosts):
				return fmt.Sprintf("knows %d of %d gateways", len(names), len(w.hosts))
			}
			return ""
		}
		w.always(time.Second, "all gateways known", members)
		for range 2 {
			w.restored(old)
			w.always(2*leaseTTL, "all gateways known", members)
			for name := range w.hosts {
				if _, ok := w.store.copy().items["gateway/"+name]; !ok {
					t.Errorf("%s is not in the store %v after it came back", name, 2*leaseTTL)
				}
			}
		}
	})
}

// TestGatewaysKnowEachOtherAfterOutage guards against gateways that drop all others when the
// store is back, because their leases have lapsed and they were heard of too long ago: each
// then takes itself for the owner of every cold server, and tells its reports to few.
func TestGatewaysKnowEachOtherAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{leaseTTL + time.Second, 3 * leaseTTL} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			play(t, 3, func(w *testCluster) {
				time.Sleep(2 * time.Second)
				w.store.turnAway(true)
				time.Sleep(outage)
				w.store.turnAway(false)
				w.always(2*restoreSettle, "all gateways known", func(h *testHost) string {
					if n := len(h.keeper.View().members); n < len(w.hosts) {
						return fmt.Sprintf("knows %d of %d gateways", n, len(w.hosts))
					}
					return ""
				})
			})
		})
	}
}

// knownFacts are what gateways have known and may not unlearn.
type knownFacts struct {
	versions map[*testHost]uint64
	// left holds the draining servers that a gateway has stopped routing to, by their start.
	left map[*testHost]map[string]int64
}

// unlearned returns what a gateway knew before and no longer acts on: the version of a
// configuration, or that a server drains.
func (f *knownFacts) unlearned(h *testHost, servers map[string]fleet.Record) string {
	if v := h.version(); v < f.versions[h] {
		return fmt.Sprintf("version %d after %d", v, f.versions[h])
	}
	f.versions[h] = h.version()
	left := f.left[h]
	if left == nil {
		left = map[string]int64{}
		f.left[h] = left
	}
	for _, r := range servers {
		switch routes := h.routesTo(r.ID); {
		case r.State != fleet.Draining:
			delete(left, r.ID)
		case !routes && h.keeper.server(r.ID, r.Born) != nil:
			left[r.ID] = r.Born
		case routes && left[r.ID] == r.Born:
			return "routes to " + r.ID + " again, which drains"
		}
	}
	return ""
}

// TestRestoresWhileGatewaysFail plays restores from copies of any age while gateways are
// killed, started and cut off: none unlearns what it knew, and at the end all agree with
// the store.
func TestRestoresWhileGatewaysFail(t *testing.T) {
	// rewrittenAfter is the time until operators and servers write again.
	const rewrittenAfter = time.Second
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, 2, func(w *testCluster) {
				random := rand.New(rand.NewPCG(seed, 31))
				copies := []storeCopy{w.store.copy()}
				state := map[string]fleet.Record{}
				version := uint64(1)
				known := knownFacts{versions: map[*testHost]uint64{}, left: map[*testHost]map[string]int64{}}
				for step := range 40 {
					d := testDomains[random.IntN(len(testDomains))].Domain
					switch random.IntN(7) {
					case 0:
						version++
						w.setConfig(version)
					case 1, 2:
						r := fleet.Record{ID: "i-" + d, Domain: d, Born: int64(1000 + step), Beat: 1, Cold: 3 * time.Second}
						state[d] = r
						w.setServer(r)
					case 3:
						if r, ok := state[d]; ok {
							r.Beat, r.State, r.Cold = r.Beat+20, fleet.Draining, 0
							state[d] = r
							w.setServer(r)
						}
					case 4:
						copies = append(copies, w.store.copy())
					case 5:
						w.restored(copies[random.IntN(len(copies))])
						w.always(rewrittenAfter, "what is known", func(h *testHost) string { return known.unlearned(h, state) })
						w.setConfig(version)
						for _, r := range state {
							w.setServer(r)
						}
					case 6:
						if name := d + "-0"; w.hosts[name] != nil {
							w.kill(name)
						} else {
							w.add(name, d)
						}
					}
					if random.IntN(4) == 0 {
						cut := d + "-1"
						w.partition(true, cut)
						w.store.turnAway(true, cut)
						time.AfterFunc(3*time.Second, func() {
							w.partition(false, cut)
							w.store.turnAway(false, cut)
						})
					}
					span := time.Duration(random.IntN(1500)) * time.Millisecond
					w.always(span, "what is known", func(h *testHost) string { return known.unlearned(h, state) })
				}
				time.Sleep(2*restoreSettle + drainBound)
				for name, h := range w.hosts {
					if h.version() != version {
						t.Errorf("%s has version %d, want %d", name, h.version(), version)
					}
					for d, r := range state {
						if got := h.routesTo("i-" + d); got != (r.State == fleet.Ready) {
							t.Errorf("%s routes to i-%s: %t, it is %v", name, d, got, r.State)
						}
					}
					if n := len(h.keeper.View().members); n != len(w.hosts) {
						t.Errorf("%s knows %d of %d gateways", name, n, len(w.hosts))
					}
				}
			})
		})
	}
}

// TestStartedGatewayHearsOfLaterConfiguration guards against a gateway that starts after the
// store came back from a copy, and serves the copy's configuration although all others know
// a later one.
func TestStartedGatewayHearsOfLaterConfiguration(t *testing.T) {
	play(t, 2, func(w *testCluster) {
		c := w.store.copy()
		w.setConfig(2)
		time.Sleep(drainBound)
		w.restored(c)
		h := w.add("a1-late", "a1")
		w.waitFor(drainBound, "version 2 is in force", func() bool { return h.version() == 2 })
		w.setConfig(3)
		w.waitFor(drainBound, "version 3 is in force", func() bool { return h.version() == 3 })
	})
}

// storedConfig is a configuration's record in a test.
func storedConfig(version, era, revision uint64) mirror.Record {
	return mirror.Record{Key: "config", Value: encode(plainConfig{Version: version}), Revision: port.RevisionIn(era, revision), Read: time.Now()}
}

// TestPageCarriesConfigurationOnce guards against pages that carry a new configuration
// twice, as a record of the store and as the one in force.
func TestPageCarriesConfigurationOnce(t *testing.T) {
	k := NewKeeper(testSettings("x", "a1", 1), plainSchema{}, discardLog())
	now := time.Now()
	k.Replace([]mirror.Record{storedConfig(1, 0, 4)}, port.RevisionIn(0, 4), "store", now)
	k.Apply([]mirror.Record{storedConfig(2, 0, 5)}, port.RevisionIn(0, 5), "store", now)
	for _, have := range []uint64{0, 4} {
		page, _ := k.page(1, &peerv1.MirrorPull{Have: have, ConfigVersion: min(have, 1)}, now)
		if len(page.Records) != 1 || page.Config != nil {
			t.Errorf("page from revision %d: %d records, configuration beside them %t", have, len(page.Records), page.Config != nil)
		}
	}
	k.Replace([]mirror.Record{storedConfig(1, 1, 4)}, port.RevisionIn(1, 4), "store", now)
	if page, _ := k.page(1, &peerv1.MirrorPull{ConfigVersion: 1}, now); page.Config == nil {
		t.Error("page lacks the configuration in force, which the copy of the store lacks")
	}
}

// TestFirstListingFromACopyIsNoNews guards against a gateway that starts while the store
// comes back from a copy and takes its first listing, which comes late, for newer than what
// its peers have told it: it would send to servers that leave.
func TestFirstListingFromACopyIsNoNews(t *testing.T) {
	k := NewKeeper(testSettings("x", "a1", 1), plainSchema{}, discardLog())
	now := time.Now()
	stored := func(state fleet.State, beat int64, revision uint64) mirror.Record {
		r := fleet.Record{ID: "i", Service: "s", Domain: "a1", Slots: 1, State: state, Born: 100, Beat: beat}
		return mirror.Record{Key: "server/i", Value: encode(r), Revision: revision, Read: now}
	}
	leaving := recordMessage(stored(fleet.Draining, 30, port.RevisionIn(0, 8)), now)
	k.TakePage(&peerv1.MirrorPage{Records: []*peerv1.StoreRecord{leaving}, Complete: port.RevisionIn(0, 8), Snapshot: true}, "hub", now)
	k.Load([]mirror.Record{stored(fleet.Ready, 10, port.RevisionIn(1, 6))}, port.RevisionIn(1, 6), now)
	if s := k.servers["i"]; s.rec().State != fleet.Draining {
		t.Error("the copy of the store undid a drain")
	}
}

// TestConfigurationThatACopyLacksIsTaken guards against a gateway that starts after the store
// came back from a copy without any configuration, and waits for the operators although its
// peers serve by one.
func TestConfigurationThatACopyLacksIsTaken(t *testing.T) {
	k := NewKeeper(testSettings("x", "a1", 1), plainSchema{}, discardLog())
	now := time.Now()
	k.TakePage(&peerv1.MirrorPage{Complete: port.RevisionIn(1, 6), Snapshot: true, Config: recordMessage(storedConfig(2, 0, 9), now)}, "hub", now)
	if got := k.configVersion(); got != 2 {
		t.Errorf("version %d in force, want 2", got)
	}
}
