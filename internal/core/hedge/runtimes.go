package hedge

import (
	"slices"
	"time"
)

const (
	// sampleCount is how many run times are kept for a route, and minSamples with how many the
	// quantiles are used.
	sampleCount = 256
	minSamples  = 32
	// sortEvery is after how many new samples the quantiles are computed again.
	sortEvery = 16
	// highQuantile is the quantile of run times behind which an attempt is late. It lies below the
	// share of runs that are slow for a reason of their server: with 15% of the servers 2.5 times
	// slower and 3% of the runs seven times as long, a quantile above 0.82 is the time of a slow
	// run, behind which no target can be met.
	highQuantile = 0.75
)

// RunTimes holds the last run times of one kind. The zero value is empty. It is not safe for
// concurrent use.
type RunTimes struct {
	samples     [sampleCount]time.Duration
	count, next int
	// unsorted counts the samples since the quantiles were computed.
	unsorted    int
	usual, high time.Duration
}

// Add adds a run time. That of an attempt that was given up behind the high quantile may be added
// as the time until then: the quantiles stay right.
func (r *RunTimes) Add(d time.Duration) {
	r.samples[r.next] = d
	r.next = (r.next + 1) % sampleCount
	r.count = min(r.count+1, sampleCount)
	r.unsorted++
	if r.count >= minSamples && (r.usual == 0 || r.unsorted >= sortEvery) {
		r.sort()
	}
}

func (r *RunTimes) sort() {
	sorted := slices.Clone(r.samples[:r.count])
	slices.Sort(sorted)
	r.usual, r.high = sorted[r.count/2], sorted[int(highQuantile*float64(r.count))]
	r.unsorted = 0
}

// Usual returns the median; zero with too few samples.
func (r *RunTimes) Usual() time.Duration { return r.usual }

// High returns a high quantile; zero with too few samples.
func (r *RunTimes) High() time.Duration { return r.high }
