package gateway

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// coldStart plays a load that warm servers carry and cold ones do not, from the first request on,
// and returns how it went after the time in which each object has been run once.
func coldStart(t *testing.T, noPressure bool) (after loadResult, coldRuns int) {
	synctest.Test(t, func(t *testing.T) {
		f, servers := newLoadFixture()
		stop := make(chan struct{})
		go keepViewConfirmed(f, stop)
		if noPressure {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						f.node.pressures.mu.Lock()
						clear(f.node.pressures.services)
						f.node.pressures.mu.Unlock()
					}
				}
			}()
		}
		random := rand.New(rand.NewPCG(7, 7))
		sendLoad(f, 36, 40, 4*time.Second, random)
		servers.mu.Lock()
		servers.coldRuns, servers.runs = 0, 0
		servers.mu.Unlock()
		after = sendLoad(f, 36, 40, 4*time.Second, random)
		close(stop)
		coldRuns = servers.coldRuns
	})
	return after, coldRuns
}

func TestColdStart(t *testing.T) {
	a, n := coldStart(t, false)
	b, m := coldStart(t, true)
	t.Logf("pressure %+v cold %d; none %+v cold %d", a, n, b, m)
}
