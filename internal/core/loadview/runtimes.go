// Package loadview interprets old reports of a server's load: how many requests
// it has now, how long another one would wait and run there, and which of several
// servers is expected to answer first. It is pure.
package loadview

import (
	"math"
	"time"
)

const (
	// runSampleWeight is the weight of a new sample in the averages of run times.
	runSampleWeight = 0.1
	// maxSampleRatio is the most by which a sample is taken to differ from the
	// average: a few runs take many times as long as usual and would distort it.
	maxSampleRatio = 2
	// usualWarmShare is the ratio of a warm run to a cold one that is assumed
	// while only one of them has been measured.
	usualWarmShare = 0.3
)

// RunTimes are moving averages of the run times of a route's requests at servers
// that are warm and cold for their objects, at the usual pace and without the time
// spent waiting for a slot. It is not safe for concurrent use.
type RunTimes struct{ warm, cold float64 }

// Add adds the time of a run. believedWarm says whether the server was believed to be
// warm for the object; if not, another gateway may have warmed it, and the time tells.
// slowdown is the pace that the server reported with the response, 0 for none.
func (r *RunTimes) Add(took time.Duration, believedWarm bool, slowdown float64) {
	sample := float64(took)
	if slowdown > 0 {
		sample /= slowdown
	}
	if sample <= 0 {
		return
	}
	average := &r.cold
	if believedWarm || r.warm > 0 && r.cold > 0 && sample*sample < r.warm*r.cold {
		average = &r.warm
	}
	if *average == 0 {
		*average = sample
		return
	}
	sample = min(max(sample, *average/maxSampleRatio), *average*maxSampleRatio)
	*average += runSampleWeight * (sample - *average)
}

// Estimate returns the run times of a warm and of a cold run. A time that has not been
// measured follows from the other one; both are the fallback if neither has.
// A warm run never counts as longer than a cold one.
func (r *RunTimes) Estimate(fallback time.Duration) (warm, cold time.Duration) {
	w, c := r.warm, r.cold
	switch {
	case w == 0 && c == 0:
		return fallback, fallback
	case w == 0:
		w = usualWarmShare * c
	case c == 0:
		c = w / usualWarmShare
	}
	return time.Duration(math.Min(w, c)), time.Duration(c)
}
