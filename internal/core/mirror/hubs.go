package mirror

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a gateway as considered for the selection of hubs.
type Member struct {
	Host    string
	Region  string
	Address string
	// Capacity is the host's share of processor time, in any unit.
	Capacity uint32
}

// Order returns the gateways that another may pull records from, best first:
// the hub of each region, with the hub of its own region before the others,
// then the rest. The hub of a region is the member with the highest hash among
// those of the largest capacity, so all gateways with the same list of members
// agree on it. Failed members come last.
func Order(members []Member, self, region string, failed func(host string) bool) []Member {
	ranked := rankMembers(members, failed)
	var hubs, rest []Member
	seen := map[string]bool{}
	for _, m := range ranked {
		if !seen[m.Region] && !failed(m.Host) {
			seen[m.Region] = true
			hubs = append(hubs, m)
			continue
		}
		rest = append(rest, m)
	}
	slices.SortStableFunc(hubs, func(a, b Member) int { return sameRegion(b, region) - sameRegion(a, region) })
	out := append(hubs, rest...)
	return slices.DeleteFunc(out, func(m Member) bool { return m.Host == self })
}

// IsHub reports whether a gateway is the hub of its region.
func IsHub(members []Member, self, region string, failed func(host string) bool) bool {
	for _, m := range rankMembers(members, failed) {
		if m.Region == region {
			return m.Host == self
		}
	}
	return false
}

// rankMembers orders members by preference as a hub: members that have not
// failed first, then by capacity, hash and name.
func rankMembers(members []Member, failed func(string) bool) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if fa, fb := failed(a.Host), failed(b.Host); fa != fb {
			if fa {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		if c := cmp.Compare(xxhash.Sum64String(b.Host), xxhash.Sum64String(a.Host)); c != 0 {
			return c
		}
		return cmp.Compare(a.Host, b.Host)
	})
	return out
}

// sameRegion returns 1 if a member is in the region, else 0.
func sameRegion(m Member, region string) int {
	if m.Region == region {
		return 1
	}
	return 0
}
