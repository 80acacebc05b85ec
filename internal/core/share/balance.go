package share

import (
	"time"

	"cassiatray/internal/core/document"
)

// Load is what a failure domain reports of a service. It is a late hint:
// nothing rests on its being true.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
	// Measured is when; zero when not known.
	Measured time.Time
}

// LoadMaxAge is how long a load counts after it was measured. Older loads, and
// those from the future, are as if there were none.
const LoadMaxAge = 3 * time.Second

// Fresh reports whether a load still counts.
func (l Load) Fresh(now time.Time) bool {
	age := now.Sub(l.Measured)
	return l.Slots > 0 && age <= LoadMaxAge && age >= -MaxSkew
}

// Add joins the loads of two hosts. The older measurement dates both.
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

// Used is the part of the slots in use or waited for.
func (l Load) Used() float64 { return float64(l.InFlight+l.Queued) / float64(l.Slots) }

// Policy is how an environment trades nearness for headroom.
type Policy struct {
	// calm is the part of the slots up to which load changes nothing.
	calm float64
	// slope is how much weight a domain loses as load rises from calm to 1.
	slope float64
	// floor bounds what a load report, true or not, can take away.
	floor float64
}

// PolicyOf returns the policy of an environment. Latency weighs domains by
// their slots alone; headroom evens out from half load on. The slope is gentle:
// with a steep one the domains of a region answer to each other's late reports
// in turn and swing.
func PolicyOf(w document.Weigh) Policy {
	if w == document.WeighHeadroom {
		return Policy{calm: 0.5, slope: 0.2, floor: 0.75}
	}
	return Policy{calm: 1, floor: 1}
}

// Weight returns the weight of a domain in look-ups: its slots, less what its
// load takes away. Without a fresh load it is the slots alone.
func (p Policy) Weight(slots int, l Load, now time.Time) float64 {
	if p.slope == 0 || !l.Fresh(now) {
		return float64(slots)
	}
	factor := 1 - p.slope*max(0, l.Used()-p.calm)/(1-p.calm)
	return float64(slots) * max(p.floor, factor)
}
