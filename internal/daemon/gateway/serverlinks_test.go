package gateway

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
)

const (
	// cutSettle is how soon after a cut gateways serve as before.
	cutSettle = 4 * time.Second
	// cutServedShare is the least share of what other gateways serve that a gateway without
	// links to servers serves.
	cutServedShare = 0.95
)

// mostGateways are two thirds of the gateways, all of some domains among them.
func mostGateways(host string) bool {
	return !strings.HasSuffix(host, "-0") || strings.HasPrefix(host, "b1") || strings.HasPrefix(host, "c2")
}

// Guards against gateways that lose their links to servers and refuse their callers, though
// other gateways reach the servers.
func TestGatewaysWithoutLinksToServersServe(t *testing.T) {
	oneDomain := func(host string) bool { return strings.HasPrefix(host, "a1") }
	everywhere := func(string) bool { return true }
	half := func(address string) bool { return strings.Contains(address, "-0") }
	for _, c := range []struct {
		name    string
		cut     func(host string) bool
		servers func(address string) bool
		fault   linkFault
	}{
		{"most gateways, links hang", mostGateways, everywhere, linkHangs},
		{"most gateways, links reset", mostGateways, everywhere, linkResets},
		{"a domain, links refuse", oneDomain, everywhere, linkRefuses},
		{"most gateways, half of the links hang", mostGateways, half, linkHangs},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLinkWorld(t)
				defer w.stopAll()
				random := rand.New(rand.NewPCG(1, 2))
				w.run(5*time.Second, random)
				w.links.set(func(host, address string) linkFault {
					if c.cut(host) && c.servers(address) {
						return c.fault
					}
					return linkWell
				})
				w.run(cutSettle, random)
				atCut, atOthers := w.run(8*time.Second, random).shares(c.cut)
				if atCut < cutServedShare*atOthers || atOthers < cutServedShare {
					t.Errorf("served %.3f at gateways without links, %.3f at others", atCut, atOthers)
				}
				w.links.heal()
				w.run(cutSettle, random)
				atCut, atOthers = w.run(4*time.Second, random).shares(c.cut)
				if atCut < cutServedShare || atOthers < cutServedShare {
					t.Errorf("served %.3f and %.3f after the cut", atCut, atOthers)
				}
			})
		})
	}
}

// Guards against gateways that take the fault of their own links for one of the servers and
// have others doubt those, or refuse requests that were under way when links were reset.
func TestGatewaysWithoutLinksToServersTellNothing(t *testing.T) {
	for _, fault := range []linkFault{linkHangs, linkResets} {
		t.Run(fault.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLinkWorld(t)
				defer w.stopAll()
				random := rand.New(rand.NewPCG(1, 2))
				w.run(3*time.Second, random)
				w.links.set(func(host, _ string) linkFault {
					if mostGateways(host) {
						return fault
					}
					return linkWell
				})
				doubts, crashes := 0, 0
				var watch sync.WaitGroup
				ended := make(chan struct{})
				watch.Go(func() {
					for {
						select {
						case <-ended:
							return
						case <-time.After(5 * time.Millisecond):
						}
						for name, h := range w.hosts {
							if mostGateways(name) {
								continue
							}
							for _, s := range h.keeper.Servers() {
								if s.withHealth((*fleet.Health).Doubted) {
									doubts++
								}
							}
							h.keeper.mu.Lock()
							if !h.keeper.reports.Empty() {
								crashes++
							}
							h.keeper.mu.Unlock()
						}
					}
				})
				w.run(5*time.Second, random)
				close(ended)
				watch.Wait()
				if doubts > 0 || crashes > 0 {
					t.Errorf("servers doubted in %d looks, crashes known in %d", doubts, crashes)
				}
			})
		})
	}
}

// Guards against reports that are told without proof that links work, or after they were found cut.
func TestReportsWaitForProofOfLinks(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		do   func(k *Keeper)
		told bool
	}{
		{"no response", func(k *Keeper) { k.ReportUnreachable("i-a1", time.Second, now) }, false},
		{"a response before the failure", func(k *Keeper) {
			k.ServersReached(now.Add(-time.Second))
			k.ReportUnreachable("i-a1", time.Second, now)
		}, false},
		{"a response while the failure showed", func(k *Keeper) {
			k.ServersReached(now.Add(-100 * time.Millisecond))
			k.ReportUnreachable("i-a1", time.Second, now)
		}, true},
		{"a response after it", func(k *Keeper) {
			k.ReportUnreachable("i-a1", time.Second, now)
			k.ServersReached(now.Add(time.Second))
		}, true},
		{"a response long after it", func(k *Keeper) {
			k.ReportUnreachable("i-a1", time.Second, now)
			k.ServersReached(now.Add(heldReportLife))
		}, false},
		{"links found cut", func(k *Keeper) {
			k.ReportUnreachable("i-a1", time.Second, now)
			k.DropHeldReports()
			k.ServersReached(now.Add(time.Second))
		}, false},
		{"a crash, and a response just before", func(k *Keeper) {
			k.ServersReached(now.Add(-time.Millisecond))
			k.ReportCrash("i-a1", "s", fleet.InFlight{Request: "request", Lost: now}, endRefused, now)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newFixture(nil).keeper
			c.do(k)
			if list, _ := k.ownReports(0, now); (len(list) > 0) != c.told {
				t.Errorf("%d reports, want any: %t", len(list), c.told)
			}
		})
	}
}
