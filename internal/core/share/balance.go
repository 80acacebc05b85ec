package share

import (
	"time"

	"cassiatray/internal/core/document"
)

// Load is the load of a service that a failure domain reports. It is a hint that
// may be outdated or wrong; no cap depends on it.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
	// Measured is the time of the measurement, or zero if unknown.
	Measured time.Time
}

// LoadMaxAge is how long a load is used after its measurement. Older loads, and
// those dated in the future by more than MaxSkew, are ignored.
const LoadMaxAge = 3 * time.Second

// Fresh reports whether a load may be used: it has slots, and its measurement is
// recent.
func (l Load) Fresh(now time.Time) bool {
	age := now.Sub(l.Measured)
	return l.Slots > 0 && age <= LoadMaxAge && age >= -MaxSkew
}

// Add returns the sum of the loads of two hosts, with the older of the two
// measurement times.
func (l Load) Add(o Load) Load {
	if l.Slots == 0 {
		return o
	}
	out := Load{Slots: l.Slots + o.Slots, InFlight: l.InFlight + o.InFlight, Queued: l.Queued + o.Queued, Measured: l.Measured}
	if o.Measured.Before(out.Measured) {
		out.Measured = o.Measured
	}
	return out
}

// Used returns the number of requests in flight and queued as a fraction of the
// slots. It may exceed 1.
func (l Load) Used() float64 { return float64(l.InFlight+l.Queued) / float64(l.Slots) }

// Policy determines how far an environment prefers failure domains with free
// slots over near ones.
type Policy struct {
	// loadThreshold is the fraction of used slots up to which load does not change
	// the weight of a domain.
	loadThreshold float64
	// slope is the fraction of its weight that a domain loses as load rises from
	// loadThreshold to 1.
	slope float64
	// minFactor is the smallest factor that a load report, correct or not, can
	// apply to a weight.
	minFactor float64
}

// PolicyOf returns the policy of an environment. WeighLatency weighs domains by
// their slots alone; WeighHeadroom balances load between domains that are more
// than half loaded. The slope is small because load reports are delayed: a steep
// one makes load oscillate between the domains of a region.
func PolicyOf(w document.Weigh) Policy {
	if w == document.WeighHeadroom {
		return Policy{loadThreshold: 0.5, slope: 0.2, minFactor: 0.75}
	}
	return Policy{loadThreshold: 1, minFactor: 1}
}

// Weight returns the weight of a domain in look-ups: its slots, reduced according
// to its load. Without a fresh load it is the number of slots.
func (p Policy) Weight(slots int, l Load, now time.Time) float64 {
	if p.slope == 0 || !l.Fresh(now) {
		return float64(slots)
	}
	factor := 1 - p.slope*max(0, l.Used()-p.loadThreshold)/(1-p.loadThreshold)
	return float64(slots) * max(p.minFactor, factor)
}
