// Package lookup answers which entry hosts a caller should use. It is pure:
// tables and plans are immutable and shared by all goroutines.
package lookup

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"cassiatray/internal/core/document"
)

// Block is a block of client addresses with its regions in order of
// preference.
type Block struct {
	Prefix  netip.Prefix
	Regions []string
}

// Table finds the client block of an address. It is immutable: With returns a
// table that shares all but the changed paths.
type Table struct {
	v4, v6 *node
	len    int
	// homes counts the blocks by their first region; not written to once the
	// table is given out.
	homes map[string]int
	lists *listPool
}

// regionList is one order of preference, shared by the blocks that have it.
type regionList struct{ names []string }

// listPool keeps one copy of each order of preference. All tables that derive
// from one share it. Only changes use it, so its lock is never on the path of
// a look-up.
type listPool struct {
	mu    sync.Mutex
	lists map[string]*regionList
}

func (p *listPool) get(names []string) *regionList {
	id := strings.Join(names, "\x00")
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lists[id]
	if l == nil {
		l = &regionList{names: slices.Clone(names)}
		p.lists[id] = l
	}
	return l
}

// NewTable builds a table of client blocks. Of equal blocks the last counts.
func NewTable(clients []document.Client) *Table {
	t := &Table{homes: map[string]int{}, lists: &listPool{lists: map[string]*regionList{}}}
	var v4, v6 []leaf
	for _, c := range clients {
		if l := t.leaf(c); c.Block.Addr().Is4() {
			v4 = append(v4, l)
		} else {
			v6 = append(v6, l)
		}
	}
	v4, v6 = distinct(v4), distinct(v6)
	t.v4, t.v6 = build(v4), build(v6)
	t.len = len(v4) + len(v6)
	for _, l := range slices.Concat(v4, v6) {
		t.homes[l.regions.first()]++
	}
	return t
}

func (t *Table) leaf(c document.Client) leaf {
	return leaf{key: keyOf(c.Block.Addr()), bits: uint8(c.Block.Bits()), regions: t.lists.get(c.Regions)}
}

// distinct sorts leaves and keeps the last of equal blocks.
func distinct(list []leaf) []leaf {
	slices.Reverse(list)
	sortLeaves(list)
	return slices.CompactFunc(list, func(a, b leaf) bool { return a.key == b.key && a.bits == b.bits })
}

// With returns a table with blocks removed and then others added. An added
// block that the table already has takes its new regions. Only the blocks of
// removed count, not their regions.
func (t *Table) With(added, removed []document.Client) *Table {
	out := &Table{v4: t.v4, v6: t.v6, len: t.len, homes: maps.Clone(t.homes), lists: t.lists}
	for _, c := range removed {
		out.remove(c.Block.Prefix)
	}
	for _, c := range added {
		out.add(c)
	}
	return out
}

func (t *Table) root(a netip.Addr) **node {
	if a.Is4() {
		return &t.v4
	}
	return &t.v6
}

func (t *Table) add(c document.Client) {
	root := t.root(c.Block.Addr())
	t.uncount(c.Block.Prefix)
	l := t.leaf(c)
	t.len++
	t.homes[l.regions.first()]++
	*root = (*root).with(l)
}

func (t *Table) remove(p netip.Prefix) {
	if !t.uncount(p) {
		return
	}
	root := t.root(p.Addr())
	*root = (*root).without(keyOf(p.Addr()), uint8(p.Bits()))
}

// uncount takes a block out of the counts and reports whether it was there.
func (t *Table) uncount(p netip.Prefix) bool {
	l, ok := t.get(p)
	if !ok {
		return false
	}
	t.len--
	if t.homes[l.first()]--; t.homes[l.first()] == 0 {
		delete(t.homes, l.first())
	}
	return true
}

// get returns the regions of exactly one block.
func (t *Table) get(p netip.Prefix) (*regionList, bool) {
	k, n := keyOf(p.Addr()), *t.root(p.Addr())
	for n != nil && int(n.bits) < p.Bits() && k.common(n.key) >= n.bits {
		n = n.kids[k.bit(n.bits)]
	}
	if n == nil || int(n.bits) != p.Bits() || n.key != k || n.regions == nil {
		return nil, false
	}
	return n.regions, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.len }

// Find returns the most specific block that holds an address. It allocates
// nothing.
func (t *Table) Find(addr netip.Addr) (Block, bool) {
	addr = addr.Unmap()
	if !addr.IsValid() {
		return Block{}, false
	}
	n := (*t.root(addr)).find(keyOf(addr))
	if n == nil {
		return Block{}, false
	}
	return Block{
		Prefix:  netip.PrefixFrom(n.key.addr(addr.Is4()), int(n.bits)),
		Regions: n.regions.names,
	}, true
}
