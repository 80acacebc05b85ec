//go:build !race

package gateway

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
)

const (
	// configBound is how soon a version must be in force everywhere.
	configBound = 3 * time.Second
	// hubRate and smallRate are the rates of links of hubs and of other gateways, in bytes a second.
	hubRate   = 25_000_000
	smallRate = 1_250_000
	// hubCapacity is the capacity of hubs, in cores; other gateways have one.
	hubCapacity = 4
	// firstRoutes is the number of routes at the start, moreRoutes of those that a version adds.
	firstRoutes, moreRoutes = 2800, 1400
	// reweighted is the number of routes whose weights a version changes.
	reweighted = 12
	// betweenVersions is the time between two versions.
	betweenVersions = 3300 * time.Millisecond
	// settleTime is how long gateways have to know each other and the first version.
	settleTime = 8 * time.Second
	// observeTime is how long the last version is waited for, and quietSpan the time after that in
	// which the links are to be quiet.
	observeTime = 15 * time.Second
	quietSpan   = 5 * time.Second
	// observeEvery is the resolution of times at which versions come into force.
	observeEvery = 10 * time.Millisecond
)

// largeRegions are the gateways of each region beside its hub.
var largeRegions = []struct {
	domains []string
	small   int
}{{[]string{"a1", "a2"}, 24}, {[]string{"b1", "b2"}, 4}, {[]string{"c1", "c2"}, 4}}

// largeRoute is a route whose encoding leaves out what is not set.
type largeRoute struct {
	Name, Host, Prefix string
	Idempotent         bool          `json:",omitempty"`
	Timeout            time.Duration `json:",omitempty"`
	Target             time.Duration `json:",omitempty"`
	Priority           int           `json:",omitempty"`
	MaxAttempts        int           `json:",omitempty"`
	Sticky             bool          `json:",omitempty"`
	Homes              []string      `json:",omitempty"`
	Parts              []routing.Part
}

// largeConfig is a configuration with many routes.
type largeConfig struct {
	Version  uint64
	Services []routing.Service
	Routes   []largeRoute

	random *rand.Rand
}

func newLargeConfig() *largeConfig {
	return &largeConfig{Services: []routing.Service{{Name: "s", ColdRate: 6}, {Name: "t", ColdRate: 6}}, random: rand.New(rand.NewPCG(63, 1))}
}

// grow adds routes.
func (c *largeConfig) grow(routes int) {
	token := func() string { return fmt.Sprintf("%08s", strconv.FormatUint(c.random.Uint64N(1<<40), 36)) }
	for range routes {
		weight := float64(1 + c.random.IntN(99))
		r := largeRoute{
			Name: "route-" + token(), Host: token() + ".example", Prefix: "/" + token() + "/" + token() + "/",
			Idempotent: c.random.IntN(2) == 0, Sticky: c.random.IntN(2) == 0, MaxAttempts: 1 + c.random.IntN(3), Priority: c.random.IntN(3),
			Timeout: time.Duration(1000+c.random.IntN(9000)) * time.Millisecond, Target: time.Duration(200+c.random.IntN(800)) * time.Millisecond,
			Parts: []routing.Part{{Service: "s", Weight: weight}, {Service: "t", Weight: 100 - weight}},
		}
		if c.random.IntN(4) == 0 {
			r.Homes = []string{string(rune('a' + c.random.IntN(3)))}
		}
		c.Routes = append(c.Routes, r)
	}
}

// reweight changes the weights of some routes.
func (c *largeConfig) reweight() {
	for range reweighted {
		parts := c.Routes[c.random.IntN(len(c.Routes))].Parts
		parts[0].Weight, parts[1].Weight = parts[1].Weight, parts[0].Weight
	}
}

// write writes the configuration to the store as the next version and returns its size.
func (c *largeConfig) write(w *testCluster) int {
	c.Version++
	value := encode(c)
	w.store.set("config", value, "")
	return len(value)
}

// inForce returns how many gateways have a version or a later one in force.
func (w *testCluster) inForce(version uint64) (n int) {
	for _, h := range w.hosts {
		if h.keeper.configVersion() >= version {
			n++
		}
	}
	return n
}

// addRegions starts the gateways of largeRegions. Their links have limits from the time that all
// know each other and the configuration; hubRate is that of hubs.
func (w *testCluster) addRegions(hubRate int) {
	w.configure = func(cfg *Settings) {
		cfg.Bounds.ConfigApply, cfg.Bounds.Drain = document.Duration(configBound), document.Duration(configBound)
		if isLargeHub(cfg.Host) {
			cfg.Capacity = hubCapacity
		}
	}
	for _, r := range largeRegions {
		w.add("hub-"+r.domains[0], r.domains[0])
		for i := range r.small {
			d := r.domains[i%len(r.domains)]
			w.add(fmt.Sprintf("%s-%d", d, i), d)
		}
	}
	time.Sleep(settleTime)
	for name := range w.hosts {
		if isLargeHub(name) {
			w.limitLinks(name, hubRate)
		} else {
			w.limitLinks(name, smallRate)
		}
	}
}

// isLargeHub reports whether a gateway is the hub of one of largeRegions.
func isLargeHub(host string) bool {
	for _, r := range largeRegions {
		if host == "hub-"+r.domains[0] {
			return true
		}
	}
	return false
}

// versionTimes is how long after it was written a version was in force at each gateway.
type versionTimes struct {
	version uint64
	written time.Time
	took    map[string]time.Duration
}

func newVersionTimes(c *largeConfig) *versionTimes {
	return &versionTimes{version: c.Version, written: time.Now(), took: map[string]time.Duration{}}
}

// observe notes the gateways that have the version.
func (v *versionTimes) observe(w *testCluster) {
	for name, h := range w.hosts {
		if _, known := v.took[name]; !known && h.keeper.configVersion() >= v.version {
			v.took[name] = time.Since(v.written)
		}
	}
}

// check fails the test unless all gateways had the version in time.
func (v *versionTimes) check(w *testCluster) {
	late, latest := 0, time.Duration(0)
	for _, took := range v.took {
		latest = max(latest, took)
		if took > configBound {
			late++
		}
	}
	missing := len(w.hosts) - len(v.took)
	report := w.t.Logf
	if late+missing > 0 {
		report = w.t.Errorf
	}
	report("version %d: in force later than %v at %d of %d gateways, the last of them after %v; not in force at %d by the end", v.version, configBound, late, len(w.hosts), latest.Round(observeEvery), missing)
}

// largePlay is a kind of playLargeVersions.
type largePlay struct {
	// plain has gateways send each other values as they are.
	plain bool
	// hubRate is the rate of the links of hubs, in bytes a second.
	hubRate int
}

// playLargeVersions has a large version and a small change of it come into force. It returns
// after observeTime.
func playLargeVersions(t *testing.T, play largePlay, fn func(w *testCluster, versions []*versionTimes)) {
	synctest.Test(t, func(t *testing.T) {
		w, c := newTestCluster(t), newLargeConfig()
		w.plainPages = play.plain
		c.grow(firstRoutes)
		c.write(w)
		for _, d := range testDomains {
			w.setServer(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain})
		}
		w.addRegions(play.hubRate)
		if n := w.inForce(c.Version); n != len(w.hosts) {
			t.Fatalf("%d of %d gateways have the first version", n, len(w.hosts))
		}
		if hubs := len(w.hubs()); hubs != len(largeRegions) {
			t.Fatalf("%d hubs, want one in each of %d regions", hubs, len(largeRegions))
		}
		c.grow(moreRoutes)
		size := c.write(w)
		versions := []*versionTimes{newVersionTimes(c)}
		for len(versions) == 1 || time.Since(versions[1].written) < observeTime {
			time.Sleep(observeEvery)
			if len(versions) == 1 && time.Since(versions[0].written) >= betweenVersions {
				c.reweight()
				c.write(w)
				versions = append(versions, newVersionTimes(c))
			}
			for _, v := range versions {
				v.observe(w)
			}
		}
		t.Logf("%d routes in %d bytes; %.1f MB received by %d gateways", len(c.Routes), size, float64(w.received())/1e6, len(w.hosts))
		fn(w, versions)
		w.stopAll()
		synctest.Wait()
	})
}

// Guards against versions of a large configuration that come into force late, since pulls are
// given up while their replies are under way and the same bytes are sent again.
func TestLargeConfigurationsComeIntoForceInTime(t *testing.T) {
	playLargeVersions(t, largePlay{hubRate: hubRate}, func(w *testCluster, versions []*versionTimes) {
		for _, v := range versions {
			v.check(w)
		}
	})
}

// Guards against versions of a large configuration that come into force late, since hubs with the
// links of small gateways give up the store's reply while it is under way and ask for it again.
func TestLargeConfigurationsComeIntoForceInTimeOverSmallHubs(t *testing.T) {
	playLargeVersions(t, largePlay{hubRate: smallRate}, func(w *testCluster, versions []*versionTimes) {
		for _, v := range versions {
			v.check(w)
		}
	})
}

// Guards against versions of a large configuration that come late, or never, to gateways whose
// sources send it whole, since pulls are given up while it is under way.
func TestLargePlainConfigurationsComeIntoForceInTime(t *testing.T) {
	playLargeVersions(t, largePlay{plain: true, hubRate: hubRate}, func(w *testCluster, versions []*versionTimes) {
		for _, v := range versions {
			v.check(w)
		}
	})
}

// Guards against pulls that fill the links of gateways for as long as they lack a version, and
// so keep it from them.
func TestLateVersionsDoNotKeepLinksFull(t *testing.T) {
	// controlBytes is what a daemon may spend on control, in bytes a second.
	const controlBytes = 16_000
	playLargeVersions(t, largePlay{hubRate: hubRate}, func(w *testCluster, versions []*versionTimes) {
		bytes, pulls := w.traffic(quietSpan)
		last := versions[len(versions)-1]
		if n := w.inForce(last.version); n != len(w.hosts) {
			t.Errorf("%d of %d gateways have version %d %v after it was written", n, len(w.hosts), last.version, time.Since(last.written).Round(time.Second))
		}
		each := bytes / len(w.hosts) / int(quietSpan/time.Second)
		t.Logf("%d bytes/s and %.1f pulls/s a gateway", each, float64(pulls)/float64(len(w.hosts))/quietSpan.Seconds())
		// Both ends of a pull spend its bytes.
		if 2*each > controlBytes {
			t.Errorf("pulls cost a gateway %d bytes/s, %d are allowed", 2*each, controlBytes)
		}
	})
}
