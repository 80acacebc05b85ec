package lookup

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiatray/internal/core/document"
)

// Host is an entry host that can serve callers now.
type Host struct {
	Name        string
	Domain      string
	Region      string
	Caller      string
	Incarnation uint64
}

// Query is what an answer is chosen for.
type Query struct {
	Service *document.ServiceIndex
	// Regions are in order of the caller's preference.
	Regions []string
	// Spread varies the choice among like hosts; callers of one block share it.
	Spread string
	// Count is how many hosts to name.
	Count int
}

// Choose returns entry hosts in the order a caller should try them: hosts of
// failure domains that have servers of the service, by region preference,
// spread within each region. The last host is of another domain than the
// first wherever one is live.
func Choose(q Query, hosts []Host) []Host {
	ranked := rank(q, hosts)
	if len(ranked) <= q.Count {
		return ranked
	}
	out := slices.Clone(ranked[:q.Count])
	last := q.Count - 1
	if q.Count < 2 || out[last].Domain != out[0].Domain {
		return out
	}
	for _, h := range ranked[q.Count:] {
		if h.Domain != out[0].Domain {
			out[last] = h
			break
		}
	}
	return out
}

type candidate struct {
	host   Host
	order  int
	weight uint64
}

func rank(q Query, hosts []Host) []Host {
	var list []candidate
	for _, h := range hosts {
		if len(q.Service.In(h.Domain)) == 0 {
			continue
		}
		order := slices.Index(q.Regions, h.Region)
		if order < 0 {
			order = len(q.Regions)
		}
		list = append(list, candidate{host: h, order: order, weight: xxhash.Sum64String(q.Spread + "/" + h.Name)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.order != b.order {
			return a.order - b.order
		}
		if a.weight < b.weight {
			return -1
		}
		return 1
	})
	out := make([]Host, 0, len(list))
	for _, c := range list {
		out = append(out, c.host)
	}
	return out
}
