package placement

// Zone is a group of servers that are equally near to a gateway: those of one
// failure domain, or of one region.
type Zone struct {
	// Capacity is the sum of the servers' slots.
	Capacity float64
	// Callers is the zone's share of all requests, in any unit.
	Callers float64
}

// headroom is how far above its fair part a zone's own servers are loaded with
// the zone's own requests before the rest goes elsewhere. Nearness is worth a
// little unevenness.
const headroom = 1.15

// Shares returns which share of the requests from zone own goes to each zone:
// as much as fits stays, and the rest goes where capacity is left over. It is a
// pure function of capacities, so gateways that know the same servers agree.
func Shares(zones []Zone, own int) []float64 {
	out := make([]float64, len(zones))
	var capacity, callers float64
	for _, z := range zones {
		capacity += z.Capacity
		callers += z.Callers
	}
	if capacity == 0 || callers == 0 {
		return out
	}
	spare := make([]float64, len(zones))
	var sum float64
	for i, z := range zones {
		// fair is the part of all requests that the zone's servers are good for.
		fair := z.Capacity / capacity
		demand := z.Callers / callers
		kept := keeps(fair, demand)
		if i == own {
			out[i] = kept
		}
		if i != own {
			spare[i] = max(0, fair-demand*kept)
		}
		sum += spare[i]
	}
	rest := 1 - out[own]
	for i, s := range spare {
		switch {
		case i == own:
		case sum > 0:
			out[i] = rest * s / sum
		case capacity > zones[own].Capacity:
			out[i] = rest * zones[i].Capacity / (capacity - zones[own].Capacity)
		}
	}
	if sum == 0 && capacity == zones[own].Capacity {
		out[own] = 1
	}
	return out
}

func keeps(fair, demand float64) float64 {
	if demand == 0 {
		return 1
	}
	return min(1, headroom*fair/demand)
}
