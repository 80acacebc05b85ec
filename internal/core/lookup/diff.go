package lookup

// Moved returns how much moves when a table follows this one: the largest part
// of any region's blocks that it loses as first preference, or gains. A region
// without blocks counts as one of mean size. The cost is that of the change as
// long as both tables derive from each other by With.
func (t *Table) Moved(next *Table) float64 {
	d := diff{lost: map[string]int{}, gained: map[string]int{}}
	d.walk(t.v4, next.v4)
	d.walk(t.v6, next.v6)
	if t.len == 0 {
		return 0
	}
	mean := float64(t.len) / float64(len(t.homes))
	most := 0.0
	for _, m := range []map[string]int{d.lost, d.gained} {
		for region, n := range m {
			blocks := float64(t.homes[region])
			if blocks == 0 {
				blocks = mean
			}
			most = max(most, float64(n)/blocks)
		}
	}
	return most
}

// diff counts blocks by the region that they leave and that they come to.
type diff struct{ lost, gained map[string]int }

func (d *diff) change(old, now *regionList) {
	from, to := old.first(), now.first()
	if from == to {
		return
	}
	if old != nil {
		d.lost[from]++
	}
	if now != nil {
		d.gained[to]++
	}
}

func (l *regionList) first() string {
	if l == nil || len(l.names) == 0 {
		return ""
	}
	return l.names[0]
}

// walk compares two tries of the same addresses and skips what they share.
func (d *diff) walk(a, b *node) {
	switch {
	case a == b:
	case a == nil:
		d.all(b, func(l *regionList) { d.change(nil, l) })
	case b == nil:
		d.all(a, func(l *regionList) { d.change(l, nil) })
	case a.bits == b.bits && a.key == b.key:
		d.change(a.regions, b.regions)
		d.walk(a.kids[0], b.kids[0])
		d.walk(a.kids[1], b.kids[1])
	case a.bits < b.bits && a.key.common(b.key) >= a.bits:
		d.change(a.regions, nil)
		side := b.key.bit(a.bits)
		d.walk(a.kids[side], b)
		d.walk(a.kids[1-side], nil)
	case b.bits < a.bits && a.key.common(b.key) >= b.bits:
		d.change(nil, b.regions)
		side := a.key.bit(b.bits)
		d.walk(a, b.kids[side])
		d.walk(nil, b.kids[1-side])
	default:
		d.walk(a, nil)
		d.walk(nil, b)
	}
}

func (d *diff) all(n *node, fn func(*regionList)) {
	if n == nil {
		return
	}
	if n.regions != nil {
		fn(n.regions)
	}
	d.all(n.kids[0], fn)
	d.all(n.kids[1], fn)
}
