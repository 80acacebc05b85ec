package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// gatewaysPerIssuer is how many gateways that serve callers one issuer is for: each asks it four
// to ten times a second.
const gatewaysPerIssuer = 32

// Issuers are the gateways that issue tokens, by their index in the list they were chosen from.
// All gateways with the same list agree.
type Issuers struct {
	// first are the issuers; deputy is asked instead of any that does not reply, -1 for none.
	first  []int
	deputy int
	hosts  []string
}

// ChooseIssuers chooses the issuers among the gateways that serve callers, by rendezvous hashing:
// when one goes, only its customers get another.
func ChooseIssuers(hosts []string) Issuers {
	out := Issuers{deputy: -1, hosts: hosts}
	order := make([]int, len(hosts))
	hash := make([]uint64, len(hosts))
	for i, h := range hosts {
		order[i], hash[i] = i, xxhash.Sum64String("quotas\x00"+h)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hash[b], hash[a]), cmp.Compare(hosts[a], hosts[b]))
	})
	n := (len(hosts) + gatewaysPerIssuer - 1) / gatewaysPerIssuer
	out.first = order[:n]
	if n < len(order) {
		out.deputy = order[n]
	}
	return out
}

// Of returns the index of a customer's issuer and of the deputy, -1 for none.
func (s Issuers) Of(customer string) (issuer, deputy int) {
	issuer = -1
	best := uint64(0)
	for _, i := range s.first {
		if len(s.first) == 1 {
			return i, s.deputy
		}
		if h := xxhash.Sum64String(customer + "\x00" + s.hosts[i]); issuer < 0 || h > best {
			issuer, best = i, h
		}
	}
	return issuer, s.deputy
}

// Hosts returns the issuers and the deputy, which is last if there is one.
func (s Issuers) Hosts() []string {
	var out []string
	for _, i := range s.first {
		out = append(out, s.hosts[i])
	}
	if s.deputy >= 0 {
		out = append(out, s.hosts[s.deputy])
	}
	return out
}

// includes reports whether a gateway is an issuer or the deputy.
func (s Issuers) includes(host string) bool {
	return s.deputy >= 0 && s.hosts[s.deputy] == host || slices.ContainsFunc(s.first, func(i int) bool { return s.hosts[i] == host })
}
