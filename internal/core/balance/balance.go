// Package balance selects the gateways that callers are sent to. It is pure.
package balance

import (
	"cmp"
	"slices"
)

// Gateway is a candidate for the selection. Capacity may be in any unit.
type Gateway struct {
	Host     string
	Capacity float64
}

const (
	// maxUnfiltered is the number of gateways up to which all are selected:
	// with so few, each sees enough requests to estimate the load of the
	// servers.
	maxUnfiltered = 8
	// minSelected is the smallest number of gateways that is selected, because
	// one may fail.
	minSelected = 2
	// capacityShare is the part of the best usable capacity that the selected
	// gateways must have together. The gateways left out are a reserve for the
	// case that the selected ones fail.
	capacityShare = 0.5
)

// Narrow returns the selected gateways, largest first. Callers choose evenly
// among them, so the usable capacity of n gateways is n times that of the
// smallest. Narrow selects the fewest gateways that have capacityShare of the
// best usable capacity: a gateway that sees more requests has better estimates
// of the load of each server and reuses more connections, and small hosts
// beside large ones would be overloaded first. All gateways with the same
// candidates select the same.
func Narrow(all []Gateway) []Gateway {
	if len(all) <= maxUnfiltered {
		return all
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Host, b.Host))
	})
	usableCapacity := func(n int) float64 { return float64(n) * sorted[n-1].Capacity }
	best := 0.0
	for n := range sorted {
		best = max(best, usableCapacity(n+1))
	}
	for n := minSelected; n < len(sorted); n++ {
		if usableCapacity(n) >= capacityShare*best {
			return sorted[:n]
		}
	}
	return sorted
}
