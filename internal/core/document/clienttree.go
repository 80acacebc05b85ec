package document

import (
	"slices"
	"sort"
)

// clientTree edits the division of client blocks into sections. It shares
// nothing that it changes with the replica that it was opened on.
type clientTree struct {
	leaves []clientLeaf
	// open holds the blocks of leaves read so far, by section name, sorted as
	// compareKeyed does.
	open map[string][]keyedClient
	// dirty are the open leaves that changed.
	dirty map[string]bool
	find  func(Hash) (Section, bool)
}

func newClientTree(leaves []clientLeaf, find func(Hash) (Section, bool)) *clientTree {
	return &clientTree{
		leaves: slices.Clone(leaves), open: map[string][]keyedClient{}, dirty: map[string]bool{}, find: find,
	}
}

// apply makes the changes of a delta.
//
// Errors: *SectionError with ErrDeltaResult for a removal of a block that is
// not there, or for a malformed section.
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

// at returns the place of the first leaf whose key is above key.
func (t *clientTree) at(key uint64) int {
	return sort.Search(len(t.leaves), func(i int) bool { return t.leaves[i].key > key })
}

// covering returns the place of the leaf that a key belongs to.
func (t *clientTree) covering(key uint64) (int, bool) {
	i := t.at(key) - 1
	return i, i >= 0 && t.leaves[i].covers(key)
}

// blocks returns the blocks of a leaf.
func (t *clientTree) blocks(l clientLeaf) ([]keyedClient, error) {
	if list, ok := t.open[l.ref.Name]; ok {
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
	t.open[l.ref.Name] = list
	return list, nil
}

func (t *clientTree) put(l clientLeaf, list []keyedClient) {
	t.open[l.ref.Name] = list
	t.dirty[l.ref.Name] = true
}

func (t *clientTree) drop(from, to int) {
	for _, l := range t.leaves[from:to] {
		delete(t.open, l.ref.Name)
		delete(t.dirty, l.ref.Name)
	}
	t.leaves = slices.Delete(t.leaves, from, to)
}

func (t *clientTree) set(c keyedClient) error {
	i, ok := t.covering(c.key)
	if !ok {
		return t.create(c)
	}
	l := t.leaves[i]
	list, err := t.blocks(l)
	if err != nil {
		return err
	}
	j, found := slices.BinarySearchFunc(list, c, compareKeyed)
	if found {
		list[j] = c
	} else {
		list = slices.Insert(list, j, c)
	}
	if len(list) > clientsPerSection {
		return t.split(i, list)
	}
	t.put(l, list)
	return nil
}

// create adds the leaf of a block in a gap: the shortest prefix that no other
// leaf shares.
func (t *clientTree) create(c keyedClient) error {
	i := t.at(c.key)
	depth := 0
	if i > 0 {
		depth = max(depth, sharedBits(c.key, t.leaves[i-1].key)+1)
	}
	if i < len(t.leaves) {
		depth = max(depth, sharedBits(c.key, t.leaves[i].key)+1)
	}
	l := newClientLeaf(Ref{Name: clientsPrefix + bitString(c.key, depth)})
	t.leaves = slices.Insert(t.leaves, i, l)
	t.put(l, []keyedClient{c})
	return nil
}

func sharedBits(a, b uint64) int {
	n := 0
	for n < keyBits && (a^b)>>(keyBits-1-n) == 0 {
		n++
	}
	return n
}

// split divides a leaf that has too many blocks.
func (t *clientTree) split(i int, list []keyedClient) error {
	depth := t.leaves[i].depth
	t.drop(i, i+1)
	keys := make([]uint64, 0, len(list))
	for _, k := range list {
		keys = append(keys, k.key)
	}
	for n, sp := range cut(keys, clientsPerSection, depth) {
		l := newClientLeaf(Ref{Name: clientsPrefix + bitString(keys[sp.from], sp.depth)})
		t.leaves = slices.Insert(t.leaves, i+n, l)
		t.put(l, slices.Clone(list[sp.from:sp.to]))
	}
	return nil
}

func (t *clientTree) remove(c keyedClient) error {
	i, ok := t.covering(c.key)
	if !ok {
		return &SectionError{Name: clientsPrefix, Err: ErrDeltaResult}
	}
	l := t.leaves[i]
	list, err := t.blocks(l)
	if err != nil {
		return err
	}
	j, found := slices.BinarySearchFunc(list, c, compareKeyed)
	if !found {
		return &SectionError{Name: l.ref.Name, Err: ErrDeltaResult}
	}
	list = slices.Delete(list, j, j+1)
	if len(list) == 0 {
		t.drop(i, i+1)
	} else {
		t.put(l, list)
	}
	return t.merge(l.key, l.depth)
}

// merge joins the leaves under shorter and shorter prefixes of key while they
// fit one section.
func (t *clientTree) merge(key uint64, depth int) error {
	for ; depth > 0; depth-- {
		above := prefixOf(key, depth-1)
		from, to := t.under(above, depth-1)
		var all []keyedClient
		for _, l := range t.leaves[from:to] {
			list, err := t.blocks(l)
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
		t.drop(from, to)
		l := newClientLeaf(Ref{Name: clientsPrefix + bitString(above, depth-1)})
		t.leaves = slices.Insert(t.leaves, from, l)
		t.put(l, all)
	}
	return nil
}

// under returns the range of the leaves under a prefix.
func (t *clientTree) under(prefix uint64, depth int) (from, to int) {
	from = sort.Search(len(t.leaves), func(i int) bool { return t.leaves[i].key >= prefix })
	to = from
	for to < len(t.leaves) && prefixOf(t.leaves[to].key, depth) == prefix {
		to++
	}
	return from, to
}

// write returns the changed leaves as sections, and refers to them.
func (t *clientTree) write() ([]Section, error) {
	var out []Section
	for i, l := range t.leaves {
		if !t.dirty[l.ref.Name] {
			continue
		}
		list := make([]Client, 0, clientsPerSection)
		for _, k := range t.open[l.ref.Name] {
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
