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

// Assign returns which host should hold each server of a service: its highest
// rendezvous hash among the hosts that hold less than an even part, so that the
// loss of a host costs no more than that. Hosts with equal arguments agree
// without talking. The result is empty when there are no hosts.
func Assign(service string, servers, hosts []string) map[string]string {
	out := make(map[string]string, len(servers))
	if len(hosts) == 0 {
		return out
	}
	part := (len(servers) + len(hosts) - 1) / len(hosts)
	held := make(map[string]int, len(hosts))
	for _, server := range servers {
		host := first(Key{Service: service, Server: server}, hosts, func(h string) bool { return held[h] < part })
		held[host]++
		out[server] = host
	}
	return out
}

// first returns the host with the highest rendezvous hash that is free.
func first(key Key, hosts []string, free func(string) bool) string {
	best, top := "", uint64(0)
	for _, h := range hosts {
		if !free(h) {
			continue
		}
		score := xxhash.Sum64String(key.Service + "/" + key.Server + "@" + h)
		if best == "" || score > top || score == top && h < best {
			best, top = h, score
		}
	}
	return best
}
