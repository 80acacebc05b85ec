package lookup

import "net/netip"

// Spread is a number that stands for a caller: it varies the choice among like
// hosts, and decides which callers a shift moves first.
type Spread uint64

// SpreadOf returns the spread of a client address.
func SpreadOf(a netip.Addr) Spread {
	k := keyOf(a.Unmap())
	return Spread(mix(k.hi ^ mix(k.lo)))
}

// mix is the finalizer of SplitMix64: every bit of x changes half of the
// result's bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Moved reports whether a shift that has moved part of the callers has moved
// this one. Callers that have moved stay moved while the part grows.
func (s Spread) Moved(seed uint64, part float64) bool {
	return s.moved(seed, fraction(part))
}

func (s Spread) moved(seed, part uint64) bool {
	return part == ^uint64(0) || mix(uint64(s)^seed) < part
}

// Query is what an answer is chosen for.
type Query struct {
	Service string
	// Regions are in order of the caller's preference.
	Regions []string
	Spread  Spread
	// Count is how many hosts to name, at least 1.
	Count int
}

// Choose appends to dst the entry hosts that a caller should use, in the order
// to try them. They are of the first region of the caller's preference that
// has hosts and has not been drained for this caller, spread by weight. The
// last is of another failure domain than the first wherever one has hosts; of
// three or more the second is, and the last is of another region, so that a
// caller outlives the loss of a region.
func (p *Plan) Choose(dst []Host, q Query) []Host {
	sp := p.services[q.Service]
	if sp == nil || len(sp.order) == 0 {
		return dst
	}
	home := sp.home(q)
	return sp.fill(dst, home, q)
}

// home returns the pool that a caller is sent to.
func (sp *servicePlan) home(q Query) *pool {
	var first *pool
	for i := range len(q.Regions) + len(sp.order) {
		pl := sp.candidate(q, i)
		if pl == nil {
			continue
		}
		if first == nil {
			first = pl
		}
		if !q.Spread.moved(pl.seed, pl.away) {
			return pl
		}
	}
	return first // everything is drained
}

// candidate returns the i-th pool in order of preference; regions that the
// caller has no preference for follow in document order.
func (sp *servicePlan) candidate(q Query, i int) *pool {
	if i < len(q.Regions) {
		return sp.pools[q.Regions[i]]
	}
	return sp.order[i-len(q.Regions)]
}

func (sp *servicePlan) fill(dst []Host, home *pool, q Query) []Host {
	u := mix(uint64(q.Spread) ^ sp.seed)
	in, first := home.pick(u)
	dst = append(dst, home.hosts[first])
	if q.Count <= 1 {
		return dst
	}
	near, ok := sp.elsewhere(home, in, q, mix(u+1))
	if !ok { // the region's only domain is the only one
		return home.middle(dst, first+1, len(home.hosts)-1, q.Count-1, nil)
	}
	last := near
	if q.Count > 2 {
		if far, ok := sp.far(home, q, mix(u+1)); ok {
			last = far
		}
	}
	begin, room := len(dst), q.Count-2
	if last.Name != near.Name {
		dst = append(dst, near)
	}
	skip := []Host{near, last}
	dst = home.middle(dst, first+1, len(home.hosts)-1, room-(len(dst)-begin), skip)
	for i := 0; i < len(sp.order) && len(dst)-begin < room; i++ {
		if pl := sp.order[i]; pl != home {
			_, from := pl.pick(u)
			dst = pl.middle(dst, from, len(pl.hosts), room-(len(dst)-begin), skip)
		}
	}
	return append(dst, last)
}

// middle appends up to n hosts out of size hosts from index start on, round the
// region, that are not among skip.
func (p *pool) middle(dst []Host, start, size, n int, skip []Host) []Host {
	for k := 0; k < size && n > 0; k++ {
		i := (start + k) % len(p.hosts)
		if p.serves(i) && !named(skip, p.hosts[i].Name) {
			dst = append(dst, p.hosts[i])
			n--
		}
	}
	return dst
}

func named(hosts []Host, name string) bool {
	for i := range hosts {
		if hosts[i].Name == name {
			return true
		}
	}
	return false
}

// serves reports whether a host's domain has servers.
func (p *pool) serves(i int) bool {
	for _, s := range p.spans {
		if i >= s.from && i < s.to {
			return true
		}
	}
	return false
}

// elsewhere returns a host of another domain than span in of home, of the same
// region where it can be.
func (sp *servicePlan) elsewhere(home *pool, in int, q Query, u uint64) (Host, bool) {
	if i := home.outside(in, u); i >= 0 {
		return home.hosts[i], true
	}
	return sp.far(home, q, u)
}

// far returns a host of the next region of the caller's preference that the
// caller is not moved away from, or of any other region.
func (sp *servicePlan) far(home *pool, q Query, u uint64) (Host, bool) {
	var spare *pool
	for i := range len(q.Regions) + len(sp.order) {
		pl := sp.candidate(q, i)
		if pl == nil || pl == home {
			continue
		}
		if spare = pl; !q.Spread.moved(pl.seed, pl.away) {
			break
		}
	}
	if spare == nil {
		return Host{}, false
	}
	_, i := spare.pick(u)
	return spare.hosts[i], true
}
