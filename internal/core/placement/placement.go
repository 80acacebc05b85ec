// Package placement ranks the backend servers of a service for an object. All
// gateways of a failure domain compute the same ranking without coordination. A
// server that joins takes over only the objects for which it ranks first; one
// that leaves gives up only those that it had. It is pure.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Server is a candidate for the ranking.
type Server struct {
	ID string
	// Weight is the server's share of objects relative to the other servers.
	Weight float64
	hash   uint64
}

// Ring is the set of servers of one service as seen by one gateway. It is
// immutable.
type Ring struct{ servers []Server }

// NewRing returns a ring of the given servers.
func NewRing(servers []Server) *Ring {
	list := slices.Clone(servers)
	for i := range list {
		list[i].hash = xxhash.Sum64String(list[i].ID)
	}
	return &Ring{servers: list}
}

// Len returns the number of servers.
func (r *Ring) Len() int { return len(r.servers) }

// scored is a server's index with its score for an object.
type scored struct {
	index int
	score float64
}

// insertionLimit is the largest number of servers that is selected by
// insertion; for more, all servers are sorted.
const insertionLimit = 32

// Rank returns the indexes of the n best servers for an object, best first, by
// weighted rendezvous hashing. Its time is linear in the number of servers if n
// is small.
func (r *Ring) Rank(object uint64, n int) []int {
	n = min(n, len(r.servers))
	var best []scored
	if n <= insertionLimit {
		best = r.rankTop(object, n)
	} else {
		best = r.rankAll(object)[:n]
	}
	out := make([]int, n)
	for i, s := range best {
		out[i] = s.index
	}
	return out
}

func (r *Ring) score(object uint64, i int) scored {
	s := &r.servers[i]
	return scored{index: i, score: -s.Weight / math.Log(Point(object^s.hash))}
}

// rankAll returns all servers, best first.
func (r *Ring) rankAll(object uint64) []scored {
	out := make([]scored, len(r.servers))
	for i := range r.servers {
		out[i] = r.score(object, i)
	}
	slices.SortStableFunc(out, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return out
}

// rankTop returns the n best servers, best first.
func (r *Ring) rankTop(object uint64, n int) []scored {
	out := make([]scored, 0, n+1)
	for i := range r.servers {
		s := r.score(object, i)
		if len(out) == n && (n == 0 || s.score <= out[n-1].score) {
			continue
		}
		at := len(out)
		for at > 0 && out[at-1].score < s.score {
			at--
		}
		out = slices.Insert(out, at, s)[:min(n, len(out)+1)]
	}
	return out
}

// Object returns the hash of an object within a scope, such as a route or
// service.
func Object(scope, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(scope)
	d.WriteString("\x00")
	d.WriteString(name)
	return d.Sum64()
}

// Point maps a hash to the open interval (0, 1).
func Point(h uint64) float64 {
	// The finalizer of SplitMix64 maps similar hashes to points far apart.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	h ^= h >> 31
	return (float64(h>>11) + 0.5) / (1 << 53)
}
