package document

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// Replica is one process's copy of an environment: the newest head it has
// accepted with all of its sections. It only moves forward. It is not safe for
// concurrent use; the Index it gives out is immutable.
//
// A step costs the sections it changes, plus a walk over the references of the
// sections of client blocks.
type Replica struct {
	head     Head
	sections map[Hash]heldSection
	parts    map[string]Section // sections other than of client blocks, by name
	leaves   []clientLeaf       // sections of client blocks, by key
	pages    map[string]page    // pages of client blocks, by name
	index    *Index
	recent   []Delta // newest deltas, without a gap, up to head

	recentBytes int // sum of the sizes of recent
}

// heldSection counts the names under which a section is in force.
type heldSection struct {
	Section
	names int
}

// recentBytes bounds the deltas that a replica keeps for its followers, in
// bytes of Delta.size.
const recentBytes = 1 << 20

// NewReplica returns a replica with no document.
func NewReplica() *Replica {
	return &Replica{sections: map[Hash]heldSection{}, parts: map[string]Section{}, pages: map[string]page{}}
}

// Head returns the head in force, without deltas; its sequence is zero before
// the first.
func (r *Replica) Head() Head { return r.head }

// Index returns the index of the document in force, or nil before the first.
// Its document has no client blocks.
func (r *Replica) Index() *Index { return r.index }

// Find returns the section in force with a hash.
func (r *Replica) Find(h Hash) (Section, bool) {
	s, ok := r.sections[h]
	return s.Section, ok
}

// Clients goes through all client blocks in force, in no useful order.
func (r *Replica) Clients() iter.Seq[Client] {
	return func(yield func(Client) bool) {
		for _, l := range r.leaves {
			list, err := parseClients(r.sections[l.ref.Hash].Section)
			if err != nil {
				return
			}
			for _, c := range list {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// DeltaFrom returns the changes from a sequence up to the head in force as one
// delta, or false when the replica does not remember so far back.
func (r *Replica) DeltaFrom(base uint64) (Delta, bool) {
	i := slices.IndexFunc(r.recent, func(d Delta) bool { return d.Base == base })
	if i < 0 {
		return Delta{}, false
	}
	return MergeDeltas(r.recent[i:]), true
}

// Missing returns sections of a head that neither the replica nor arrived has.
// A missing page hides what it lists, so callers ask again with what they got,
// until nothing is missing.
func (r *Replica) Missing(h Head, arrived ...Section) []Ref {
	_, missing, err := r.compare(h, arrived)
	if err != nil {
		return nil
	}
	return missing
}

// compare finds what a head changes. Sections that are not at hand are
// returned apart, and the difference is then incomplete.
func (r *Replica) compare(h Head, arrived []Section) (TreeDiff, []Ref, error) {
	byHash := make(map[Hash]Section, len(arrived))
	for _, s := range arrived {
		byHash[s.Hash] = s
	}
	var missing []Ref
	diff, err := CompareTrees(r.head.Sections, h.Sections, func(ref Ref) (Section, error) {
		if s, ok := byHash[ref.Hash]; ok {
			return s, nil
		}
		if s, ok := r.sections[ref.Hash]; ok {
			return s.Section, nil
		}
		missing = append(missing, ref)
		return Section{}, errAbsent
	})
	return diff, missing, err
}

// Advance puts a head in force that is reached by sections, and returns what
// changed. A head that is not newer is ignored: the result is nil. It changes
// nothing when it fails.
//
// Errors: *MissingError, *SectionError.
func (r *Replica) Advance(h Head, arrived []Section) (*Delta, error) {
	if h.Sequence <= r.head.Sequence {
		return nil, nil
	}
	for _, s := range arrived {
		if HashOf(s.Data) != s.Hash {
			return nil, &SectionError{Name: s.Name, Err: ErrHash}
		}
	}
	diff, missing, err := r.compare(h, arrived)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, &MissingError{Sequence: h.Sequence, Refs: missing}
	}
	d, err := NewDelta(r.head.Sequence, diff)
	if err != nil {
		return nil, err
	}
	return r.commit(h, diff, d)
}

// Apply puts a head in force that is reached by a delta, and returns what
// changed. A head that is not newer is ignored: the result is nil. It changes
// nothing when it fails.
//
// Errors: *SectionError with ErrDeltaBase when the replica is at another
// sequence than the delta starts from, or ErrDeltaResult when the delta does
// not give the very sections that the head names.
func (r *Replica) Apply(h Head, d Delta) (*Delta, error) {
	if h.Sequence <= r.head.Sequence {
		return nil, nil
	}
	if d.Base != r.head.Sequence || r.index == nil {
		return nil, &SectionError{Name: pageClients, Err: ErrDeltaBase}
	}
	made, err := r.sectionsOf(d)
	if err != nil {
		return nil, err
	}
	diff, missing, err := r.compare(h, made)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, &SectionError{Name: missing[0].Name, Err: ErrDeltaResult}
	}
	return r.commit(h, diff, d)
}

// sectionsOf returns the sections that a delta changes, as it leaves them.
func (r *Replica) sectionsOf(d Delta) ([]Section, error) {
	if len(d.Set) == 0 && len(d.Removed) == 0 {
		return d.Parts, nil
	}
	t := newClientTree(r.leaves, r.Find)
	if err := t.apply(d); err != nil {
		return nil, err
	}
	leaves, err := t.write()
	if err != nil {
		return nil, err
	}
	pages, err := clientPages(t.leaves, r.pages)
	if err != nil {
		return nil, err
	}
	return slices.Concat(d.Parts, leaves, pages), nil
}

// commit puts a complete difference in force. Everything that can fail comes
// before the first write.
func (r *Replica) commit(h Head, diff TreeDiff, d Delta) (*Delta, error) {
	parts, partsChanged := r.nextParts(diff)
	index := r.index
	if partsChanged || index == nil {
		doc, err := joinParts(func(name string) (Section, bool) { s, ok := parts[name]; return s, ok })
		if err != nil {
			return nil, err
		}
		index = NewIndex(doc)
	}
	pages := make(map[string][]Ref)
	for _, s := range diff.Added {
		refs, err := Children(s)
		if err != nil {
			return nil, err
		}
		pages[s.Name] = refs
	}
	r.hold(diff)
	r.place(diff, pages)
	r.remember(d)
	r.parts, r.index = parts, index
	r.head = h
	r.head.Deltas = nil
	return &d, nil
}

func (r *Replica) nextParts(diff TreeDiff) (map[string]Section, bool) {
	next := make(map[string]Section, len(r.parts))
	for name, s := range r.parts {
		next[name] = s
	}
	changed := false
	for _, s := range diff.Removed {
		if !isClients(s.Name) {
			delete(next, s.Name)
			changed = true
		}
	}
	for _, s := range diff.Added {
		if !isClients(s.Name) {
			next[s.Name] = s
			changed = true
		}
	}
	return next, changed
}

// hold counts sections in and out.
func (r *Replica) hold(diff TreeDiff) {
	for _, s := range diff.Added {
		held := r.sections[s.Hash]
		held.Section = s
		held.names++
		r.sections[s.Hash] = held
	}
	for _, s := range diff.Removed {
		held := r.sections[s.Hash]
		held.names--
		if held.names > 0 {
			r.sections[s.Hash] = held
		} else {
			delete(r.sections, s.Hash)
		}
	}
}

// place updates the order of the sections of client blocks, and their pages.
func (r *Replica) place(diff TreeDiff, children map[string][]Ref) {
	gone := map[Ref]bool{}
	for _, s := range diff.Removed {
		gone[s.Ref()] = true
		if p, ok := r.pages[s.Name]; ok && p.Hash == s.Hash {
			delete(r.pages, s.Name)
		}
	}
	r.leaves = slices.DeleteFunc(r.leaves, func(l clientLeaf) bool { return gone[l.ref] })
	added := 0
	for _, s := range diff.Added {
		switch {
		case strings.HasPrefix(s.Name, clientsPrefix):
			r.leaves = append(r.leaves, newClientLeaf(s.Ref()))
			added++
		case isClients(s.Name):
			r.pages[s.Name] = page{Section: s, refs: children[s.Name]}
		}
	}
	if added > 0 {
		slices.SortFunc(r.leaves, func(a, b clientLeaf) int { return cmp.Compare(a.key, b.key) })
	}
}

// remember keeps a delta for followers, and forgets the oldest. A delta that is
// large by itself is not kept: followers take sections then.
func (r *Replica) remember(d Delta) {
	if r.head.Sequence == 0 {
		return
	}
	r.recent = append(r.recent, d)
	r.recentBytes += d.size()
	drop := 0
	for r.recentBytes > recentBytes {
		r.recentBytes -= r.recent[drop].size()
		drop++
	}
	r.recent = slices.Delete(r.recent, 0, drop)
}
