package document

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// Replica is the copy of an environment that a process keeps: the newest head
// that it has accepted, with all sections of that head. It never goes back to a
// lower sequence. It is not safe for concurrent use; the Index that it returns
// is immutable.
//
// Moving to a new head costs time proportional to the changed sections, plus
// one pass over the references to the sections of client blocks.
type Replica struct {
	head     Head
	sections map[Hash]refCountedSection
	parts    map[string]Section // sections without client blocks, by name
	leaves   []clientLeaf       // sections of client blocks, sorted by key
	pages    map[string]page    // pages of client blocks, by name
	index    *Index
	recent   []Delta // most recent deltas up to head, without gaps

	recentBytes int // sum of Delta.approxSize over recent
}

// refCountedSection counts the names under which the current document refers to
// a section.
type refCountedSection struct {
	Section
	refs int
}

// maxRecentBytes limits the deltas that a replica keeps for its followers, as
// the sum of Delta.approxSize.
const maxRecentBytes = 1 << 20

// NewReplica returns a replica without a document.
func NewReplica() *Replica {
	return &Replica{sections: map[Hash]refCountedSection{}, parts: map[string]Section{}, pages: map[string]page{}}
}

// Head returns the current head without its deltas. Its sequence is zero before
// the first head.
func (r *Replica) Head() Head { return r.head }

// Index returns the index of the current document, or nil before the first
// head. The document of the index has no client blocks.
func (r *Replica) Index() *Index { return r.index }

// Find returns the section of the current document with a hash.
func (r *Replica) Find(h Hash) (Section, bool) {
	s, ok := r.sections[h]
	return s.Section, ok
}

// Clients iterates over all client blocks of the current document, in
// unspecified order.
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

// DeltaFrom returns the changes from a sequence to the current head as one
// delta, or false if the replica no longer has all of them.
func (r *Replica) DeltaFrom(base uint64) (Delta, bool) {
	i := slices.IndexFunc(r.recent, func(d Delta) bool { return d.Base == base })
	if i < 0 {
		return Delta{}, false
	}
	return MergeDeltas(r.recent[i:]), true
}

// Missing returns references to sections of a head that are neither in the
// replica nor in arrived. The sections that a missing page lists are not
// included, so callers fetch what is returned and call Missing again until
// nothing is missing.
func (r *Replica) Missing(h Head, arrived ...Section) []Ref {
	_, missing, err := r.compare(h, arrived)
	if err != nil {
		return nil
	}
	return missing
}

// compare returns what a head changes, and references to the sections that are
// not available. If there are any, the difference is incomplete.
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
		return Section{}, errSectionUnavailable
	})
	return diff, missing, err
}

// Advance moves the replica to a head, using the sections that have arrived,
// and returns what changed. A head that is not newer is ignored: the result is
// nil. On error the replica is unchanged.
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

// Apply moves the replica to a head by a delta, and returns what changed. A
// head that is not newer is ignored: the result is nil. On error the replica is
// unchanged.
//
// Errors: *SectionError with ErrDeltaBase if the delta does not start from the
// replica's sequence, or with ErrDeltaResult if it does not produce exactly the
// sections that the head refers to.
func (r *Replica) Apply(h Head, d Delta) (*Delta, error) {
	if h.Sequence <= r.head.Sequence {
		return nil, nil
	}
	if d.Base != r.head.Sequence || r.index == nil {
		return nil, &SectionError{Name: pageClients, Err: ErrDeltaBase}
	}
	changed, err := r.changedSections(d)
	if err != nil {
		return nil, err
	}
	diff, missing, err := r.compare(h, changed)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, &SectionError{Name: missing[0].Name, Err: ErrDeltaResult}
	}
	return r.commit(h, diff, d)
}

// changedSections returns the sections that a delta changes, in their new
// state.
func (r *Replica) changedSections(d Delta) ([]Section, error) {
	if len(d.Set) == 0 && len(d.Removed) == 0 {
		return d.Parts, nil
	}
	t := newClientTree(r.leaves, r.Find)
	if err := t.apply(d); err != nil {
		return nil, err
	}
	leaves, err := t.changedSections()
	if err != nil {
		return nil, err
	}
	pages, err := clientPages(t.leaves, r.pages)
	if err != nil {
		return nil, err
	}
	return slices.Concat(d.Parts, leaves, pages), nil
}

// commit moves the replica to a head by a complete difference. All steps that
// can fail come before the first modification.
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
	r.updateSections(diff)
	r.updateClientIndex(diff, pages)
	r.appendRecent(d)
	r.parts, r.index = parts, index
	r.head = h
	r.head.Deltas = nil
	return &d, nil
}

// nextParts returns the sections without client blocks after a difference, and
// whether any of them changed.
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

// updateSections adjusts the reference counts of sections and deletes those
// that are no longer used.
func (r *Replica) updateSections(diff TreeDiff) {
	for _, s := range diff.Added {
		counted := r.sections[s.Hash]
		counted.Section = s
		counted.refs++
		r.sections[s.Hash] = counted
	}
	for _, s := range diff.Removed {
		counted := r.sections[s.Hash]
		counted.refs--
		if counted.refs > 0 {
			r.sections[s.Hash] = counted
		} else {
			delete(r.sections, s.Hash)
		}
	}
}

// updateClientIndex updates the sorted references to the sections of client
// blocks, and their pages.
func (r *Replica) updateClientIndex(diff TreeDiff, children map[string][]Ref) {
	removed := map[Ref]bool{}
	for _, s := range diff.Removed {
		removed[s.Ref()] = true
		if p, ok := r.pages[s.Name]; ok && p.Hash == s.Hash {
			delete(r.pages, s.Name)
		}
	}
	r.leaves = slices.DeleteFunc(r.leaves, func(l clientLeaf) bool { return removed[l.ref] })
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

// appendRecent keeps a delta for followers and drops the oldest ones above
// maxRecentBytes. A delta that exceeds the limit alone is dropped with all
// others: followers then read sections.
func (r *Replica) appendRecent(d Delta) {
	if r.head.Sequence == 0 {
		return
	}
	r.recent = append(r.recent, d)
	r.recentBytes += d.approxSize()
	drop := 0
	for r.recentBytes > maxRecentBytes {
		r.recentBytes -= r.recent[drop].approxSize()
		drop++
	}
	r.recent = slices.Delete(r.recent, 0, drop)
}
