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
	// spill is the part of its slots in use from which a domain hands work to
	// another one that has less than ease in use.
	spill, ease float64
}

// PolicyOf returns the policy of an environment. Latency leaves weights alone
// until a domain is nearly full, and hands work on only when it is; headroom
// evens out from half load on.
//
// Both slopes are gentle enough that two domains which answer to each other's
// late reports settle: a domain's share changes by less than its load did.
func PolicyOf(w document.Weigh) Policy {
	if w == document.WeighHeadroom {
		return Policy{calm: 0.5, slope: 0.75, floor: 0.25, spill: 0.9, ease: 0.7}
	}
	return Policy{calm: 0.8, slope: 0.5, floor: 0.5, spill: 1, ease: 0.8}
}

// Weight returns the weight of a domain in look-ups: its slots, less what its
// load takes away. Without a fresh load it is the slots alone.
func (p Policy) Weight(slots int, l Load, now time.Time) float64 {
	factor := 1.0
	if l.Fresh(now) {
		factor -= p.slope * max(0, l.Used()-p.calm) / (1 - p.calm)
	}
	return float64(slots) * max(p.floor, factor)
}

// Spills reports whether work should go to another domain before the own one
// refuses it.
func (p Policy) Spills(own, other Load, now time.Time) bool {
	return own.Fresh(now) && other.Fresh(now) && own.Used() >= p.spill && other.Used() < p.ease
}
