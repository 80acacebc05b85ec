// Package loadview interprets old reports of a server's load: how many requests
// it has now, how long another one would wait and run there, and which of several
// servers is expected to answer first. It is pure.
package loadview

import "time"

const (
	// runWeight is the weight of a new run in the averages of run times.
	runWeight = 0.1
	// maxRunStep is by how much of the average a run may differ from it: a few runs take
	// many times as long as usual and would distort it.
	maxRunStep = 0.25
	// usualWarmShare is the ratio of a warm run to a cold one that is assumed while only
	// one of them has been measured.
	usualWarmShare = 0.3
	// minColdRatio and maxColdRatio bound the ratio of a cold run to a warm one. A run
	// that takes longer is an outlier, and one that takes a little longer than a warm one
	// has waited for a slot or was slow for a while.
	minColdRatio = 2
	maxColdRatio = 5
	// missWeight is the weight of a run in the share of evictions.
	missWeight = 0.02
	// assumedMisses is the share of evictions before anything is measured: caches are taken
	// for small until runs show otherwise.
	assumedMisses = 0.05
)

// RunTimes are moving averages of the run times of a route's requests at servers that are
// warm and cold for their objects, at the usual pace and without the time spent waiting for
// a slot. It is not safe for concurrent use.
type RunTimes struct {
	warm, cold float64
	misses     float64
	// measured is set once a run counted for misses.
	measured bool
}

// Run is one run of a request that did not wait for a slot.
type Run struct {
	Took time.Duration
	// Warm is set if the server was believed to be warm for the object. If not, another
	// gateway may have warmed it.
	Warm bool
	// Known is set if this gateway had sent requests for the object to the server lately and
	// the server was lightly loaded, so that a long run shows an eviction.
	Known bool
	// Slowdown is the pace that the server reported with the response, 0 for none.
	Slowdown float64
}

// Add adds a run.
func (r *RunTimes) Add(run Run) {
	took := float64(run.Took)
	if run.Slowdown > 0 {
		took /= run.Slowdown
	}
	if took <= 0 {
		return
	}
	isCold := r.warm > 0 && run.Slowdown <= 1 && took > minColdRatio*r.warm && took < maxColdRatio*r.warm
	if run.Known {
		if !r.measured {
			r.measured, r.misses = true, assumedMisses
		}
		r.misses *= 1 - missWeight
		if isCold {
			r.misses += missWeight
		}
	}
	switch {
	case run.Warm || r.warm > 0 && took <= minColdRatio*r.warm:
		move(&r.warm, took)
	case r.warm == 0 || isCold:
		move(&r.cold, took)
	}
}

// move moves an average towards a sample.
func move(average *float64, sample float64) {
	if *average == 0 {
		*average = sample
		return
	}
	most := maxRunStep * *average
	*average += runWeight * min(max(sample-*average, -most), most)
}

// Times are the run times of a route's requests, and what else the estimates of servers need.
type Times struct {
	// Mean is the mean of all runs. Warm and Cold are those at warm and cold servers at the
	// usual pace, and Typical is the mean that follows from these, without outliers.
	Mean, Warm, Cold, Typical time.Duration
	// Misses is the share of runs that were cold although this gateway had sent requests for
	// the object to the server shortly before: the server has evicted it.
	Misses float64
	// OthersPerOwn is how many requests of other gateways there are at a server for each of
	// this one's.
	OthersPerOwn float64
}

// Times returns the times of the runs, of which mean is the mean. A time that has not been
// measured follows from the other ones.
func (r *RunTimes) Times(mean time.Duration) Times {
	warm, cold, misses := r.warm, r.cold, r.misses
	if !r.measured {
		misses = assumedMisses
	}
	switch {
	case warm == 0 && cold == 0:
		return Times{Mean: mean, Warm: mean, Cold: mean, Typical: mean, Misses: misses}
	case warm == 0:
		warm = usualWarmShare * cold
	case cold < minColdRatio*warm:
		cold = warm / usualWarmShare
	}
	return Times{
		Mean: mean, Warm: time.Duration(warm), Cold: time.Duration(cold), Typical: time.Duration(warm + misses*(cold-warm)), Misses: misses,
	}
}

// shareWeight is the weight of a report in the share of the arrivals, and maxOthersPerOwn
// bounds the ratio for a gateway that gets next to none.
const (
	shareWeight     = 0.01
	maxOthersPerOwn = 50
)

// Share estimates a gateway's share of the requests at servers. It is not safe for concurrent
// use.
type Share struct{ own, others float64 }

// Add adds a report of a server: the number of this gateway's requests there, without the one
// whose response carried the report, and that of other gateways.
func (s *Share) Add(own, others int) {
	s.own += shareWeight * (float64(own) - s.own)
	s.others += shareWeight * (float64(others) - s.others)
}

// OthersPerOwn returns how many requests of other gateways there are for each own one.
func (s *Share) OthersPerOwn() float64 {
	if s.others >= maxOthersPerOwn*s.own {
		// Nothing is known of them if the gateway has none of its own.
		return 0
	}
	return s.others / s.own
}
