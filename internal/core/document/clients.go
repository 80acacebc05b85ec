package document

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Client blocks are distributed over sections by a hash of the block. A section
// contains the blocks whose hashes share a prefix; a prefix with more blocks
// than clientsPerSection is split by its next bit. Pages group sections and
// other pages in the same way. The division depends only on the set of blocks,
// and a change of one block changes one section and the pages above it.
const (
	clientsPerSection = 128
	refsPerPage       = 128
	keyBits           = 64
)

// clientKey returns the position of a block in the tree. It is the start of a
// SHA-256, so that blocks with a long common prefix cannot be chosen on
// purpose.
func clientKey(p Prefix) uint64 {
	sum := sha256.Sum256([]byte(p.String()))
	return binary.BigEndian.Uint64(sum[:8])
}

// bucket is a range of items whose keys have the same first depth bits.
type bucket struct{ from, to, depth int }

// partition divides sorted keys into buckets of at most limit keys, with
// prefixes as short as that allows. All keys must agree in their first depth
// bits.
func partition(keys []uint64, limit, depth int) []bucket {
	return appendPartition(nil, keys, 0, len(keys), limit, depth)
}

func appendPartition(out []bucket, keys []uint64, from, to, limit, depth int) []bucket {
	if from == to {
		return out
	}
	if to-from <= limit || depth == keyBits {
		return append(out, bucket{from: from, to: to, depth: depth})
	}
	bit := uint64(1) << (keyBits - 1 - depth)
	mid := from + sort.Search(to-from, func(i int) bool { return keys[from+i]&bit != 0 })
	out = appendPartition(out, keys, from, mid, limit, depth+1)
	return appendPartition(out, keys, mid, to, limit, depth+1)
}

// bitString formats the first depth bits of a key as zeros and ones.
func bitString(key uint64, depth int) string {
	var b [keyBits]byte
	for i := range depth {
		b[i] = '0' + byte(key>>(keyBits-1-i)&1)
	}
	return string(b[:depth])
}

// keyPrefix returns a key with all bits after the first depth bits set to zero.
func keyPrefix(key uint64, depth int) uint64 {
	if depth == 0 {
		return 0
	}
	return key >> (keyBits - depth) << (keyBits - depth)
}

// parseBits parses the key prefix at the end of a section's name.
func parseBits(name string) (key uint64, depth int) {
	bits := name[strings.LastIndexByte(name, '/')+1:]
	for i := range min(len(bits), keyBits) {
		if bits[i] == '1' {
			key |= 1 << (keyBits - 1 - i)
		}
	}
	return key, len(bits)
}

// clientLeaf refers to a section of client blocks.
type clientLeaf struct {
	// key contains the prefix of the leaf in its first depth bits; the other
	// bits are zero.
	key   uint64
	depth int
	ref   Ref
}

func newClientLeaf(ref Ref) clientLeaf {
	key, depth := parseBits(ref.Name)
	return clientLeaf{key: key, depth: depth, ref: ref}
}

func (l clientLeaf) covers(key uint64) bool { return keyPrefix(key, l.depth) == l.key }

type keyedClient struct {
	key uint64
	Client
}

func divideClients(clients []Client) ([]Section, error) {
	keyed := make([]keyedClient, 0, len(clients))
	for _, c := range clients {
		keyed = append(keyed, keyedClient{key: clientKey(c.Block), Client: c})
	}
	slices.SortFunc(keyed, compareByKey)
	sections, leaves, err := clientSections(keyed, 0)
	if err != nil {
		return nil, err
	}
	pages, err := clientPages(leaves, nil)
	return append(sections, pages...), err
}

func compareByKey(a, b keyedClient) int {
	if c := cmp.Compare(a.key, b.key); c != 0 {
		return c
	}
	return a.Block.Compare(b.Block.Prefix)
}

// clientSections divides sorted blocks, whose keys agree in their first depth
// bits, into sections.
func clientSections(keyed []keyedClient, depth int) ([]Section, []clientLeaf, error) {
	keys := make([]uint64, 0, len(keyed))
	for _, k := range keyed {
		keys = append(keys, k.key)
	}
	var sections []Section
	var leaves []clientLeaf
	for _, b := range partition(keys, clientsPerSection, depth) {
		list := make([]Client, 0, b.to-b.from)
		for _, k := range keyed[b.from:b.to] {
			list = append(list, k.Client)
		}
		s, err := newSection(clientsPrefix+bitString(keys[b.from], b.depth), list)
		if err != nil {
			return nil, nil, err
		}
		sections = append(sections, s)
		leaves = append(leaves, newClientLeaf(s.Ref()))
	}
	return sections, leaves, nil
}

// clientPages returns the pages above leaves, level by level; the last one is
// the page that the head refers to. Pages of old with the same references are
// reused.
func clientPages(leaves []clientLeaf, old map[string]page) ([]Section, error) {
	var out []Section
	for level := 1; len(leaves) > refsPerPage; level++ {
		keys := make([]uint64, 0, len(leaves))
		for _, l := range leaves {
			keys = append(keys, l.key)
		}
		var parents []clientLeaf
		for _, b := range partition(keys, refsPerPage, 0) {
			name := fmt.Sprintf("%s/%d/%s", pageClients, level, bitString(keys[b.from], b.depth))
			s, err := writePage(name, leaves[b.from:b.to], old)
			if err != nil {
				return nil, err
			}
			out = append(out, s)
			parents = append(parents, newClientLeaf(s.Ref()))
		}
		leaves = parents
	}
	root, err := writePage(pageClients, leaves, old)
	return append(out, root), err
}

// page is a page of client sections with its decoded references.
type page struct {
	Section
	refs []Ref
}

// writePage returns the page of leaves, reusing the old page of that name if
// its references are the same.
func writePage(name string, leaves []clientLeaf, old map[string]page) (Section, error) {
	if p, ok := old[name]; ok && slices.EqualFunc(p.refs, leaves, func(r Ref, l clientLeaf) bool { return r == l.ref }) {
		return p.Section, nil
	}
	refs := make([]Ref, 0, len(leaves))
	for _, l := range leaves {
		refs = append(refs, l.ref)
	}
	return newSection(name, refs)
}

func parseClients(s Section) ([]Client, error) {
	var list []Client
	if err := json.Unmarshal(s.Data, &list); err != nil {
		return nil, &SectionError{Name: s.Name, Err: err}
	}
	return list, nil
}
