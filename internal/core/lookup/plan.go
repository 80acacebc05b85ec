package lookup

import (
	"cmp"
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

// Weights says how much of the look-ups places are given. Both functions must
// be pure.
type Weights struct {
	// Domain is the weight of a failure domain for a service within its
	// region, zero or above.
	Domain func(service, domain string) float64
	// Away is the part of a region's callers that a drain has moved elsewhere,
	// from 0 to 1.
	Away func(service, region string) float64
}

// Plan holds the candidates of every service and region, ready to choose from.
// It is immutable.
//
// Candidates are kept by region rather than by order of preference: there are
// few regions, and many orders.
type Plan struct{ services map[string]*servicePlan }

type servicePlan struct {
	seed  uint64
	pools map[string]*pool
	order []*pool // in document order
}

// pool is the entry hosts of one region that can serve a service.
type pool struct {
	seed  uint64
	away  uint64 // part of the callers that is kept out, of 1<<64
	hosts []Host // of the whole region, by domain; shared by its pools
	spans []span
}

// span is the hosts of one failure domain: hosts[from:to]. Sum is the weight of
// this span and those before it, of weightUnit.
type span struct {
	from, to int
	sum      uint64
}

// weightUnit is the weight of a pool's domains together.
const weightUnit = 1 << 32

// NewPlan joins a document with the entry hosts that can serve callers now.
func NewPlan(ix *document.Index, hosts []Host, w Weights) *Plan {
	regions := map[string][]Host{}
	for _, h := range hosts {
		regions[h.Region] = append(regions[h.Region], h)
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b Host) int {
			return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
		})
	}
	p := &Plan{services: make(map[string]*servicePlan, len(ix.Doc.Services))}
	for i := range ix.Doc.Services {
		name := ix.Doc.Services[i].Name
		p.services[name] = newServicePlan(ix, name, regions, w)
	}
	return p
}

func newServicePlan(ix *document.Index, name string, regions map[string][]Host, w Weights) *servicePlan {
	sp := &servicePlan{seed: xxhash.Sum64String(name), pools: make(map[string]*pool, len(regions))}
	for i := range ix.Doc.Regions {
		region := ix.Doc.Regions[i].Name
		if pl := newPool(ix.Service(name), region, regions[region], w); pl != nil {
			sp.pools[region] = pl
			sp.order = append(sp.order, pl)
		}
	}
	return sp
}

// newPool returns nil when no host of the region has servers in its domain.
func newPool(svc *document.ServiceIndex, region string, hosts []Host, w Weights) *pool {
	p := &pool{seed: xxhash.Sum64String(region), hosts: hosts}
	var weights []float64
	for from := 0; from < len(hosts); {
		to := from + 1
		for to < len(hosts) && hosts[to].Domain == hosts[from].Domain {
			to++
		}
		if domain := hosts[from].Domain; len(svc.In(domain)) > 0 {
			p.spans = append(p.spans, span{from: from, to: to})
			weights = append(weights, max(0, w.Domain(svc.Name, domain)))
		}
		from = to
	}
	if len(p.spans) == 0 {
		return nil
	}
	p.away = fraction(w.Away(svc.Name, region))
	p.weigh(weights)
	return p
}

// weigh fills in the sums. Domains that have no weight together count alike.
func (p *pool) weigh(weights []float64) {
	total := 0.0
	for _, f := range weights {
		total += f
	}
	sum := 0.0
	for i, f := range weights {
		if total > 0 {
			sum += f / total
		} else {
			sum += 1 / float64(len(weights))
		}
		p.spans[i].sum = min(weightUnit, uint64(sum*weightUnit))
	}
	p.spans[len(weights)-1].sum = weightUnit
}

// fraction returns a part from 0 to 1 as a part of 1<<64.
func fraction(f float64) uint64 {
	switch {
	case f <= 0:
		return 0
	case f >= 1:
		return ^uint64(0)
	}
	return uint64(f * (1 << 63) * 2)
}

// pick returns the span and the host that a random number falls on: its upper
// half chooses the domain, its lower half the host.
func (p *pool) pick(u uint64) (int, int) {
	i := p.spanAt(u >> 32)
	return i, p.spans[i].host(u)
}

func (p *pool) spanAt(u uint64) int {
	for i := range p.spans {
		if u < p.spans[i].sum {
			return i
		}
	}
	return len(p.spans) - 1
}

func (s span) host(u uint64) int {
	const low = 1<<32 - 1
	return s.from + int((u&low)*uint64(s.to-s.from)>>32)
}

// outside returns a host of another domain than span i, or -1 when there is
// none.
func (p *pool) outside(i int, u uint64) int {
	if len(p.spans) == 1 {
		return -1
	}
	var before uint64
	if i > 0 {
		before = p.spans[i-1].sum
	}
	rest := weightUnit - (p.spans[i].sum - before)
	if rest == 0 { // the others have no weight
		return p.spans[(i+1)%len(p.spans)].host(u)
	}
	at := (u >> 32) * rest >> 32
	if at >= before {
		at += p.spans[i].sum - before
	}
	j := p.spanAt(at)
	if j == i {
		j = (i + 1) % len(p.spans)
	}
	return p.spans[j].host(u)
}
