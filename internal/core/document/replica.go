package document

import "fmt"

// Replica is one process's copy of an environment: the newest head it has
// accepted with all of its sections. It only moves forward. It is not safe for
// concurrent use; the Index it gives out is immutable.
type Replica struct {
	head     Head
	sections map[Hash]Section
	index    *Index
}

// NewReplica returns a replica with no document.
func NewReplica() *Replica { return &Replica{sections: map[Hash]Section{}} }

// Head returns the head in force; its sequence is zero before the first.
func (r *Replica) Head() Head { return r.head }

// Index returns the index of the document in force, or nil before the first.
func (r *Replica) Index() *Index { return r.index }

// Missing returns the sections of a head that the replica lacks.
func (r *Replica) Missing(h Head) []Ref {
	var out []Ref
	for _, ref := range h.Sections {
		if _, ok := r.sections[ref.Hash]; !ok {
			out = append(out, ref)
		}
	}
	return out
}

// Find returns the section with a hash.
func (r *Replica) Find(h Hash) (Section, bool) {
	s, ok := r.sections[h]
	return s, ok
}

// Sections returns the sections in force that are not among those of have.
func (r *Replica) Sections(have Head) []Section {
	known := make(map[Hash]bool, len(have.Sections))
	for _, ref := range have.Sections {
		known[ref.Hash] = true
	}
	var out []Section
	for _, ref := range r.head.Sections {
		if !known[ref.Hash] {
			out = append(out, r.sections[ref.Hash])
		}
	}
	return out
}

// MissingError is a head whose sections are not all at hand.
type MissingError struct {
	Sequence uint64
	Refs     []Ref
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("head %d: %d sections are missing", e.Sequence, len(e.Refs))
}

// Advance puts a head in force and reports whether it did: a head that is not
// newer is ignored. It changes nothing when it fails.
//
// Errors: *MissingError, *SectionError.
func (r *Replica) Advance(h Head, sections []Section) (bool, error) {
	if h.Sequence <= r.head.Sequence {
		return false, nil
	}
	next := make(map[Hash]Section, len(h.Sections))
	arrived := make(map[Hash]Section, len(sections))
	for _, s := range sections {
		arrived[s.Hash] = s
	}
	ordered := make([]Section, 0, len(h.Sections))
	var missing []Ref
	for _, ref := range h.Sections {
		s, ok := arrived[ref.Hash]
		if !ok {
			s, ok = r.sections[ref.Hash]
		}
		if !ok {
			missing = append(missing, ref)
			continue
		}
		s.Name = ref.Name
		next[ref.Hash] = s
		ordered = append(ordered, s)
	}
	if len(missing) > 0 {
		return false, &MissingError{Sequence: h.Sequence, Refs: missing}
	}
	doc, err := Join(ordered)
	if err != nil {
		return false, err
	}
	r.head, r.sections, r.index = h, next, NewIndex(doc)
	return true, nil
}
