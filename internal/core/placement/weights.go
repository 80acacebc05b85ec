package placement

// Zone is a group of servers at the same distance from a gateway: those of one
// failure domain, or of one region.
type Zone struct {
	// Capacity is the number of slots of all servers of the group.
	Capacity float64
	// Callers is the number of requests from the group's callers, in any unit.
	Callers float64
}

// localLoadFactor is how much of a group's own requests its servers get,
// relative to the group's fair part of all requests, before the remainder
// spills to other groups. Low latency justifies a slightly uneven load.
const localLoadFactor = 1.15

// Shares returns the share of the requests from group own that goes to each
// group: up to localLoadFactor times the fair part stays local, and the
// remainder spills in proportion to the spare capacity of the others. It is a
// pure function of its arguments, so gateways with the same list of servers agree.
func Shares(groups []Zone, own int) []float64 {
	out := make([]float64, len(groups))
	var capacity, callers float64
	for _, g := range groups {
		capacity += g.Capacity
		callers += g.Callers
	}
	if capacity == 0 || callers == 0 {
		return out
	}
	spare := make([]float64, len(groups))
	var totalSpare float64
	for i, g := range groups {
		// fair is the part of all requests that matches the group's capacity.
		fair := g.Capacity / capacity
		demand := g.Callers / callers
		local := localShare(fair, demand)
		if i == own {
			out[i] = local
		}
		if i != own {
			spare[i] = max(0, fair-demand*local)
		}
		totalSpare += spare[i]
	}
	remainder := 1 - out[own]
	for i, s := range spare {
		switch {
		case i == own:
		case totalSpare > 0:
			out[i] = remainder * s / totalSpare
		case capacity > groups[own].Capacity:
			out[i] = remainder * groups[i].Capacity / (capacity - groups[own].Capacity)
		}
	}
	if totalSpare == 0 && capacity == groups[own].Capacity {
		out[own] = 1
	}
	return out
}

// localShare returns the share of a group's requests that stays local.
func localShare(fair, demand float64) float64 {
	if demand == 0 {
		return 1
	}
	return min(1, localLoadFactor*fair/demand)
}
