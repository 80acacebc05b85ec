package admission

import "github.com/cespare/xxhash/v2"

// reserveDivisor sets how many slots a majority of voters leaves to a minority
// that may be cut off from it: slots / reserveDivisor for each missing voter.
const reserveDivisor = 8

// Share returns how many slots of a server a host may fill that holds the
// grants of k of the server's n voters.
//
// The sum of Share over hosts whose grants come from disjoint sets of voters
// never passes slots: Share(a)+Share(b) <= Share(a+b) and Share(n) == slots.
func Share(k, n, slots int) int {
	if k <= 0 || n <= 0 {
		return 0
	}
	reserve := min(slots/reserveDivisor, slots/n)
	switch {
	case k >= n:
		return slots
	case 2*k > n:
		return slots - reserve*(n-k)
	case 2*k == n:
		return slots / 2
	}
	return reserve * k
}

// Key names a backend server.
type Key struct{ Service, Server string }

// Owner returns the host that should hold a server's grants: the one with the
// highest rendezvous hash. A host that comes or goes moves only the servers
// that it gains or had. The result is empty when there are no hosts.
func Owner(key Key, hosts []string) string {
	best, top := "", uint64(0)
	for _, h := range hosts {
		score := xxhash.Sum64String(key.Service + "/" + key.Server + "@" + h)
		if best == "" || score > top || score == top && h < best {
			best, top = h, score
		}
	}
	return best
}
