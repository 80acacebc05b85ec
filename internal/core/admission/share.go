package admission

import "github.com/cespare/xxhash/v2"

// reserveDivisor determines the slots that a host with the grants of a majority of
// voters leaves to hosts in a partition with the others: at most
// slots / reserveDivisor for each missing voter.
const reserveDivisor = 8

// SlotShare returns the number of slots of a server that a host may use if it has
// the grants of k of the server's n voters.
//
// The shares of hosts whose grants come from disjoint sets of voters never add up
// to more than slots: SlotShare(a)+SlotShare(b) <= SlotShare(a+b), and
// SlotShare(n) == slots.
func SlotShare(k, n, slots int) int {
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

// Key identifies a backend server of a service.
type Key struct{ Service, Server string }

// Assign returns the host that should hold each server of a service: the one with
// the highest rendezvous hash among the hosts that hold less than an even part, so
// that the loss of a host affects no more than an even part of the servers. Hosts
// with equal arguments agree without communication. The result is empty if there
// are no hosts.
func Assign(service string, servers, hosts []string) map[string]string {
	out := make(map[string]string, len(servers))
	if len(hosts) == 0 {
		return out
	}
	maxServers := (len(servers) + len(hosts) - 1) / len(hosts)
	held := make(map[string]int, len(hosts))
	for _, server := range servers {
		host := highestRanked(Key{Service: service, Server: server}, hosts, func(h string) bool { return held[h] < maxServers })
		held[host]++
		out[server] = host
	}
	return out
}

// highestRanked returns the host with the highest rendezvous hash among those for
// which free returns true.
func highestRanked(key Key, hosts []string, free func(string) bool) string {
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
