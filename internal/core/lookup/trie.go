package lookup

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"sort"
)

// key is an address as bits, the first one highest. IPv4 addresses use the
// upper half of hi only.
type key struct{ hi, lo uint64 }

func keyOf(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(b[:])) << 32}
	}
	b := a.As16()
	return key{hi: binary.BigEndian.Uint64(b[:8]), lo: binary.BigEndian.Uint64(b[8:])}
}

func (k key) addr(is4 bool) netip.Addr {
	if is4 {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(k.hi>>32))
		return netip.AddrFrom4(b)
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.hi)
	binary.BigEndian.PutUint64(b[8:], k.lo)
	return netip.AddrFrom16(b)
}

func (k key) bit(i uint8) int {
	if i < 64 {
		return int(k.hi >> (63 - i) & 1)
	}
	return int(k.lo >> (127 - i) & 1)
}

// mask keeps the first n bits.
func (k key) mask(n uint8) key {
	if n < 64 {
		return key{hi: k.hi &^ (^uint64(0) >> n)}
	}
	return key{hi: k.hi, lo: k.lo &^ (^uint64(0) >> (n - 64))}
}

// common returns how many leading bits two keys share.
func (k key) common(o key) uint8 {
	if x := k.hi ^ o.hi; x != 0 {
		return uint8(bits.LeadingZeros64(x))
	}
	return uint8(64 + bits.LeadingZeros64(k.lo^o.lo))
}

func (k key) less(o key) bool {
	if k.hi != o.hi {
		return k.hi < o.hi
	}
	return k.lo < o.lo
}

// node is a subtree of a path-compressed binary trie. Nodes are immutable once
// a Table holds them; a change copies the path from the root.
//
// A node without regions only branches and has two kids.
type node struct {
	key     key
	regions *regionList
	kids    [2]*node
	bits    uint8
}

// leaf is one block during a build.
type leaf struct {
	key     key
	regions *regionList
	bits    uint8
}

// sortLeaves keeps the order of equal blocks.
func sortLeaves(list []leaf) {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].key == list[j].key {
			return list[i].bits < list[j].bits
		}
		return list[i].key.less(list[j].key)
	})
}

// build makes a trie of sorted, distinct leaves.
func build(list []leaf) *node {
	if len(list) == 0 {
		return nil
	}
	first, last := list[0], list[len(list)-1]
	n := &node{bits: min(first.key.common(last.key), first.bits)}
	n.key = first.key.mask(n.bits)
	if first.bits == n.bits {
		n.regions = first.regions
		list = list[1:]
	}
	if len(list) == 0 {
		return n
	}
	one := sort.Search(len(list), func(i int) bool { return list[i].key.bit(n.bits) == 1 })
	n.kids[0] = build(list[:one])
	n.kids[1] = build(list[one:])
	return n
}

// find returns the most specific block that holds a key, or nil.
func (n *node) find(k key) *node {
	var best *node
	for n != nil && k.common(n.key) >= n.bits {
		if n.regions != nil {
			best = n
		}
		if n.kids[0] == nil && n.kids[1] == nil {
			break
		}
		n = n.kids[k.bit(n.bits)]
	}
	return best
}

// with returns a trie that holds one more block, or another value for it.
func (n *node) with(l leaf) *node {
	if n == nil {
		return &node{key: l.key, bits: l.bits, regions: l.regions}
	}
	shared := min(n.key.common(l.key), n.bits, l.bits)
	switch {
	case shared == n.bits && shared == l.bits:
		out := *n
		out.regions = l.regions
		return &out
	case shared == n.bits:
		out := *n
		side := l.key.bit(shared)
		out.kids[side] = out.kids[side].with(l)
		return &out
	case shared == l.bits:
		out := &node{key: l.key, bits: l.bits, regions: l.regions}
		out.kids[n.key.bit(shared)] = n
		return out
	}
	out := &node{key: l.key.mask(shared), bits: shared}
	out.kids[n.key.bit(shared)] = n
	out.kids[l.key.bit(shared)] = &node{key: l.key, bits: l.bits, regions: l.regions}
	return out
}

// without returns a trie that lacks a block; n itself when it never had it.
func (n *node) without(k key, length uint8) *node {
	if n == nil || n.bits > length || k.common(n.key) < n.bits {
		return n
	}
	out := *n
	if n.bits == length {
		out.regions = nil
		return out.collapse()
	}
	side := k.bit(n.bits)
	out.kids[side] = n.kids[side].without(k, length)
	if out.kids[side] == n.kids[side] {
		return n
	}
	return out.collapse()
}

// collapse drops a node that neither holds a block nor branches.
func (n *node) collapse() *node {
	switch {
	case n.regions != nil:
		return n
	case n.kids[0] == nil:
		return n.kids[1]
	case n.kids[1] == nil:
		return n.kids[0]
	}
	return n
}
