package loadview

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// near reports whether a time differs from another by at most a share of it.
func near(got, want time.Duration, share float64) bool {
	return float64((got - want).Abs()) <= share*float64(want)
}

// TestRunTimesSeparateWarmAndCold guards against one average of warm and cold runs, which
// is right for neither, and against averages that a few very long runs, a slow machine or
// objects warmed by other gateways distort.
func TestRunTimesSeparateWarmAndCold(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	var r RunTimes
	r.Add(Run{Took: 7 * 1600 * ms})
	for range 3000 {
		warm, believed, took, slowdown := random.Float64() < 0.7, false, 1600*ms, 1.0
		if warm {
			took, believed = 480*ms, random.Float64() < 0.8
		}
		if random.Float64() < 0.15 {
			slowdown, took = 2.5, took*5/2
		}
		if random.Float64() < 0.03 {
			took *= 7
		}
		r.Add(Run{Took: took, Warm: believed, Known: believed, Slowdown: slowdown})
	}
	if got := r.Times(0); !near(got.Warm, 480*ms, 0.2) || !near(got.Cold, 1600*ms, 0.2) {
		t.Errorf("estimated %v warm and %v cold, want 480ms and 1.6s", got.Warm, got.Cold)
	}
}

// TestRunTimesWithoutSamples checks the estimates while nothing or only one kind of run
// has been measured.
func TestRunTimesWithoutSamples(t *testing.T) {
	var none, warmOnly, coldOnly RunTimes
	warmOnly.Add(Run{Took: 300 * ms, Warm: true})
	coldOnly.Add(Run{Took: 1000 * ms})
	for _, x := range []struct {
		name       string
		r          RunTimes
		warm, cold time.Duration
	}{{"none", none, 70 * ms, 70 * ms}, {"warm", warmOnly, 300 * ms, 1000 * ms}, {"cold", coldOnly, 300 * ms, 1000 * ms}} {
		if got := x.r.Times(70 * ms); !near(got.Warm, x.warm, 0.01) || !near(got.Cold, x.cold, 0.01) {
			t.Errorf("%s: estimated %v warm and %v cold, want %v and %v", x.name, got.Warm, got.Cold, x.warm, x.cold)
		}
	}
}
