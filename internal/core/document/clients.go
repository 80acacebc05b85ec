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

// Client blocks are spread over sections by a hash of the block. A section
// holds the blocks whose hashes share a prefix; a prefix with more blocks than
// clientsPerSection is split by its next bit. Pages group sections, and pages,
// the same way. The division depends on the set of blocks alone, and a change
// of one block changes one section and the pages above it.
const (
	clientsPerSection = 128
	refsPerPage       = 128
	keyBits           = 64
)

// clientKey places a block. It is cut from a SHA-256, so that nobody can choose
// blocks that share a long prefix.
func clientKey(p Prefix) uint64 {
	sum := sha256.Sum256([]byte(p.String()))
	return binary.BigEndian.Uint64(sum[:8])
}

// bucket is a range of items whose keys share their first depth bits.
type bucket struct{ from, to, depth int }

// cut divides sorted keys into buckets of at most limit keys, each as short a
// prefix as that allows, below a depth at which all keys agree.
func cut(keys []uint64, limit, depth int) []bucket {
	return appendCut(nil, keys, 0, len(keys), limit, depth)
}

func appendCut(out []bucket, keys []uint64, from, to, limit, depth int) []bucket {
	if from == to {
		return out
	}
	if to-from <= limit || depth == keyBits {
		return append(out, bucket{from: from, to: to, depth: depth})
	}
	bit := uint64(1) << (keyBits - 1 - depth)
	mid := from + sort.Search(to-from, func(i int) bool { return keys[from+i]&bit != 0 })
	out = appendCut(out, keys, from, mid, limit, depth+1)
	return appendCut(out, keys, mid, to, limit, depth+1)
}

// bitString writes the first depth bits of a key.
func bitString(key uint64, depth int) string {
	var b [keyBits]byte
	for i := range depth {
		b[i] = '0' + byte(key>>(keyBits-1-i)&1)
	}
	return string(b[:depth])
}

// prefixOf returns the first depth bits of a key, the rest zero.
func prefixOf(key uint64, depth int) uint64 {
	if depth == 0 {
		return 0
	}
	return key >> (keyBits - depth) << (keyBits - depth)
}

// parseBits reads the prefix at the end of a section's name.
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
	// key has the leaf's prefix in its first depth bits and zeros after.
	key   uint64
	depth int
	ref   Ref
}

func newClientLeaf(ref Ref) clientLeaf {
	key, depth := parseBits(ref.Name)
	return clientLeaf{key: key, depth: depth, ref: ref}
}

func (l clientLeaf) covers(key uint64) bool { return prefixOf(key, l.depth) == l.key }

type keyedClient struct {
	key uint64
	Client
}

func divideClients(clients []Client) ([]Section, error) {
	keyed := make([]keyedClient, 0, len(clients))
	for _, c := range clients {
		keyed = append(keyed, keyedClient{key: clientKey(c.Block), Client: c})
	}
	slices.SortFunc(keyed, compareKeyed)
	sections, leaves, err := clientSections(keyed, 0)
	if err != nil {
		return nil, err
	}
	pages, err := clientPages(leaves, nil)
	return append(sections, pages...), err
}

func compareKeyed(a, b keyedClient) int {
	if c := cmp.Compare(a.key, b.key); c != 0 {
		return c
	}
	return a.Block.Compare(b.Block.Prefix)
}

// clientSections writes sorted blocks, which agree in their first depth bits.
func clientSections(keyed []keyedClient, depth int) ([]Section, []clientLeaf, error) {
	keys := make([]uint64, 0, len(keyed))
	for _, k := range keyed {
		keys = append(keys, k.key)
	}
	var sections []Section
	var leaves []clientLeaf
	for _, sp := range cut(keys, clientsPerSection, depth) {
		list := make([]Client, 0, sp.to-sp.from)
		for _, k := range keyed[sp.from:sp.to] {
			list = append(list, k.Client)
		}
		s, err := newSection(clientsPrefix+bitString(keys[sp.from], sp.depth), list)
		if err != nil {
			return nil, nil, err
		}
		sections = append(sections, s)
		leaves = append(leaves, newClientLeaf(s.Ref()))
	}
	return sections, leaves, nil
}

// clientPages writes the pages over leaves, in order, up to the one that the
// head refers to. Pages of old that list the same are taken over.
func clientPages(leaves []clientLeaf, old map[string]page) ([]Section, error) {
	var out []Section
	for level := 1; len(leaves) > refsPerPage; level++ {
		keys := make([]uint64, 0, len(leaves))
		for _, l := range leaves {
			keys = append(keys, l.key)
		}
		var above []clientLeaf
		for _, sp := range cut(keys, refsPerPage, 0) {
			name := fmt.Sprintf("%s/%d/%s", pageClients, level, bitString(keys[sp.from], sp.depth))
			s, err := writePage(name, leaves[sp.from:sp.to], old)
			if err != nil {
				return nil, err
			}
			out = append(out, s)
			above = append(above, newClientLeaf(s.Ref()))
		}
		leaves = above
	}
	root, err := writePage(pageClients, leaves, old)
	return append(out, root), err
}

// page is a page of client sections with what it lists.
type page struct {
	Section
	refs []Ref
}

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
