package slots

import (
	"time"
)

// Names of the policies.
const (
	Random   = "random"
	Robin    = "round robin"
	Least    = "least own"
	Static   = "static split"
	TwoLoad  = "two choices"
	Owner    = "owner leases"
	noServer = -1
)

// Policies are all policies, the project's own last.
var Policies = []string{Random, Robin, Least, TwoLoad, Static, Owner}

func newPolicy(s *sim) policy {
	switch s.Policy {
	case Static:
		return newPooled(s, false)
	case Owner:
		return newPooled(s, true)
	}
	b := &baseline{name: s.Policy}
	for h := range hosts {
		b.own[h] = make([]int, s.Servers)
		b.seen[h] = make([]int, s.Servers)
		b.out[h] = make([]bool, s.Servers)
	}
	return b
}

// baseline sends every request at once to a server of its choice.
type baseline struct {
	name string
	turn [hosts]int
	// own are a host's requests at each server, seen the load that the server
	// reported with its last answer, out the servers that are leaving.
	own, seen [hosts][]int
	out       [hosts][]bool
}

func (b *baseline) arrive(s *sim, r *request) {
	to := b.choose(s, r.host)
	if to == noServer {
		s.refuse(r)
		return
	}
	host := r.host
	b.own[host][to]++
	s.dispatch(r, to, func(time.Duration) {
		b.own[host][to]--
		b.seen[host][to] = s.reported(to)
	})
}

// reported is the load that a server reports. A liar says that it is idle.
func (s *sim) reported(server int) int {
	if s.Scenario == Lying && server == 0 {
		return 0
	}
	return s.servers[server].held
}

func (b *baseline) choose(s *sim, host int) int {
	var in []int
	for i := range s.servers {
		if !b.out[host][i] {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return noServer
	}
	switch b.name {
	case Robin:
		b.turn[host]++
		return in[b.turn[host]%len(in)]
	case Least:
		return least(s, in, b.own[host])
	case TwoLoad:
		x, y := in[s.rng.IntN(len(in))], in[s.rng.IntN(len(in))]
		load := func(i int) int { return max(b.own[host][i], b.seen[host][i]) }
		if load(y) < load(x) {
			return y
		}
		return x
	}
	return in[s.rng.IntN(len(in))]
}

// least returns the server with the fewest requests, any of them when equal.
func least(s *sim, in, own []int) int {
	best, ties := in[0], 0
	for _, i := range in {
		switch {
		case own[i] < own[best]:
			best, ties = i, 1
		case own[i] == own[best]:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (b *baseline) freeze(*sim, int, bool)           {}
func (b *baseline) thaw(*sim, int)                   {}
func (b *baseline) leaving(_ *sim, host, server int) { b.out[host][server] = true }
