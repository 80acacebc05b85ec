package document

import (
	"slices"
	"sort"
)

// clientTree applies changes of client blocks to their sections. It works on
// copies and does not modify the replica that it was created from.
type clientTree struct {
	leaves []clientLeaf
	// loaded contains the blocks of the leaves read so far, by section name, in
	// the order of compareByKey.
	loaded map[string][]keyedClient
	// dirty are the names of the loaded leaves that have changed.
	dirty map[string]bool
	find  func(Hash) (Section, bool)
}

func newClientTree(leaves []clientLeaf, find func(Hash) (Section, bool)) *clientTree {
	return &clientTree{
		leaves: slices.Clone(leaves), loaded: map[string][]keyedClient{}, dirty: map[string]bool{}, find: find,
	}
}

// apply makes the changes of a delta.
//
// Errors: *SectionError with ErrDeltaResult for the removal of a block that
// does not exist, or for a malformed section.
func (t *clientTree) apply(d Delta) error {
	for _, p := range d.Removed {
		if err := t.remove(keyedClient{key: clientKey(p), Client: Client{Block: p}}); err != nil {
			return err
		}
	}
	for _, c := range d.Set {
		if err := t.set(keyedClient{key: clientKey(c.Block), Client: c}); err != nil {
			return err
		}
	}
	return nil
}

// leafAfter returns the index of the first leaf with a greater key.
func (t *clientTree) leafAfter(key uint64) int {
	return sort.Search(len(t.leaves), func(i int) bool { return t.leaves[i].key > key })
}

// leafFor returns the index of the leaf whose prefix matches a key, and whether
// there is one.
func (t *clientTree) leafFor(key uint64) (int, bool) {
	i := t.leafAfter(key) - 1
	return i, i >= 0 && t.leaves[i].covers(key)
}

// loadBlocks returns the blocks of a leaf, reading its section on first use.
func (t *clientTree) loadBlocks(l clientLeaf) ([]keyedClient, error) {
	if list, ok := t.loaded[l.ref.Name]; ok {
		return list, nil
	}
	s, ok := t.find(l.ref.Hash)
	if !ok {
		return nil, &MissingError{Refs: []Ref{l.ref}}
	}
	s.Name = l.ref.Name
	clients, err := parseClients(s)
	if err != nil {
		return nil, err
	}
	list := make([]keyedClient, 0, len(clients)+1)
	for _, c := range clients {
		list = append(list, keyedClient{key: clientKey(c.Block), Client: c})
	}
	t.loaded[l.ref.Name] = list
	return list, nil
}

func (t *clientTree) update(l clientLeaf, list []keyedClient) {
	t.loaded[l.ref.Name] = list
	t.dirty[l.ref.Name] = true
}

func (t *clientTree) removeLeaves(from, to int) {
	for _, l := range t.leaves[from:to] {
		delete(t.loaded, l.ref.Name)
		delete(t.dirty, l.ref.Name)
	}
	t.leaves = slices.Delete(t.leaves, from, to)
}

func (t *clientTree) set(c keyedClient) error {
	i, ok := t.leafFor(c.key)
	if !ok {
		return t.createLeaf(c)
	}
	l := t.leaves[i]
	list, err := t.loadBlocks(l)
	if err != nil {
		return err
	}
	j, found := slices.BinarySearchFunc(list, c, compareByKey)
	if found {
		list[j] = c
	} else {
		list = slices.Insert(list, j, c)
	}
	if len(list) > clientsPerSection {
		return t.split(i, list)
	}
	t.update(l, list)
	return nil
}

// createLeaf adds a leaf for a block that no leaf covers, with the shortest
// prefix that no other leaf shares.
func (t *clientTree) createLeaf(c keyedClient) error {
	i := t.leafAfter(c.key)
	depth := 0
	if i > 0 {
		depth = max(depth, commonPrefixLen(c.key, t.leaves[i-1].key)+1)
	}
	if i < len(t.leaves) {
		depth = max(depth, commonPrefixLen(c.key, t.leaves[i].key)+1)
	}
	l := newClientLeaf(Ref{Name: clientsPrefix + bitString(c.key, depth)})
	t.leaves = slices.Insert(t.leaves, i, l)
	t.update(l, []keyedClient{c})
	return nil
}

// commonPrefixLen returns the number of leading bits in which two keys agree.
func commonPrefixLen(a, b uint64) int {
	n := 0
	for n < keyBits && (a^b)>>(keyBits-1-n) == 0 {
		n++
	}
	return n
}

// split replaces a leaf that has too many blocks with smaller ones.
func (t *clientTree) split(i int, list []keyedClient) error {
	depth := t.leaves[i].depth
	t.removeLeaves(i, i+1)
	keys := make([]uint64, 0, len(list))
	for _, k := range list {
		keys = append(keys, k.key)
	}
	for n, b := range partition(keys, clientsPerSection, depth) {
		l := newClientLeaf(Ref{Name: clientsPrefix + bitString(keys[b.from], b.depth)})
		t.leaves = slices.Insert(t.leaves, i+n, l)
		t.update(l, slices.Clone(list[b.from:b.to]))
	}
	return nil
}

func (t *clientTree) remove(c keyedClient) error {
	i, ok := t.leafFor(c.key)
	if !ok {
		return &SectionError{Name: clientsPrefix, Err: ErrDeltaResult}
	}
	l := t.leaves[i]
	list, err := t.loadBlocks(l)
	if err != nil {
		return err
	}
	j, found := slices.BinarySearchFunc(list, c, compareByKey)
	if !found {
		return &SectionError{Name: l.ref.Name, Err: ErrDeltaResult}
	}
	list = slices.Delete(list, j, j+1)
	if len(list) == 0 {
		t.removeLeaves(i, i+1)
	} else {
		t.update(l, list)
	}
	return t.merge(l.key, l.depth)
}

// merge joins the leaves under shorter and shorter prefixes of key as long as
// their blocks fit into one section.
func (t *clientTree) merge(key uint64, depth int) error {
	for ; depth > 0; depth-- {
		parent := keyPrefix(key, depth-1)
		from, to := t.leavesUnder(parent, depth-1)
		var all []keyedClient
		for _, l := range t.leaves[from:to] {
			list, err := t.loadBlocks(l)
			if err != nil {
				return err
			}
			all = append(all, list...)
			if len(all) > clientsPerSection {
				return nil
			}
		}
		if len(all) == 0 {
			continue
		}
		t.removeLeaves(from, to)
		l := newClientLeaf(Ref{Name: clientsPrefix + bitString(parent, depth-1)})
		t.leaves = slices.Insert(t.leaves, from, l)
		t.update(l, all)
	}
	return nil
}

// leavesUnder returns the index range of the leaves under a prefix.
func (t *clientTree) leavesUnder(prefix uint64, depth int) (from, to int) {
	from = sort.Search(len(t.leaves), func(i int) bool { return t.leaves[i].key >= prefix })
	to = from
	for to < len(t.leaves) && keyPrefix(t.leaves[to].key, depth) == prefix {
		to++
	}
	return from, to
}

// changedSections returns the changed leaves as sections, and updates the
// references of these leaves.
func (t *clientTree) changedSections() ([]Section, error) {
	var out []Section
	for i, l := range t.leaves {
		if !t.dirty[l.ref.Name] {
			continue
		}
		list := make([]Client, 0, clientsPerSection)
		for _, k := range t.loaded[l.ref.Name] {
			list = append(list, k.Client)
		}
		s, err := newSection(l.ref.Name, list)
		if err != nil {
			return nil, err
		}
		t.leaves[i].ref = s.Ref()
		out = append(out, s)
	}
	return out, nil
}
