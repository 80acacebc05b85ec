package lookup

// lostAfter is how many probes in a row a failure domain misses before it
// counts as lost. Each goes to another of its hosts at random.
const lostAfter = 3

// Reach says which failure domains answer. It is not safe for concurrent use.
type Reach struct{ missed map[string]int }

// NewReach returns a reach in which every domain answers.
func NewReach() *Reach { return &Reach{missed: map[string]int{}} }

// Note takes in the result of a probe and reports whether the domain was lost
// or found by it. One answer is enough to find a domain.
func (r *Reach) Note(domain string, answered bool) bool {
	was := r.Lost(domain)
	if answered {
		delete(r.missed, domain)
	} else {
		r.missed[domain]++
	}
	return was != r.Lost(domain)
}

// Lost reports whether a domain counts as lost.
func (r *Reach) Lost(domain string) bool { return r.missed[domain] >= lostAfter }

// AllLost returns the domains that are lost. The result is the caller's.
func (r *Reach) AllLost() map[string]bool {
	out := map[string]bool{}
	for d := range r.missed {
		if r.Lost(d) {
			out[d] = true
		}
	}
	return out
}

// Without returns the hosts whose domains are not lost, or all of them when
// none would be left.
func Without(hosts []Host, lost map[string]bool) []Host {
	if len(lost) == 0 {
		return hosts
	}
	var out []Host
	for _, h := range hosts {
		if !lost[h.Domain] {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		return hosts
	}
	return out
}
