package document

import (
	"errors"
	"fmt"
)

// errAbsent makes CompareTrees go on without a section.
const errAbsent sectionFault = "section is not at hand"

// TreeDiff holds the sections that only one of two trees has.
type TreeDiff struct {
	Added   []Section
	Removed []Section
}

// MissingError is a head whose sections are not all at hand.
type MissingError struct {
	Sequence uint64
	// Refs are some of the missing sections. A missing page hides what it
	// lists.
	Refs []Ref
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("head %d: %d sections are missing", e.Sequence, len(e.Refs))
}

// CompareTrees walks two trees of sections from their tops and stops wherever
// they agree, so that the cost follows the difference. It calls get only for
// sections that differ.
//
// Errors: those of get, and *SectionError for a malformed page.
func CompareTrees(old, next []Ref, get func(Ref) (Section, error)) (TreeDiff, error) {
	var diff TreeDiff
	for len(old) > 0 || len(next) > 0 {
		oldSet, nextSet := refSet(old), refSet(next)
		removed, below, err := expand(old, nextSet, get)
		if err != nil {
			return TreeDiff{}, err
		}
		added, nextBelow, err := expand(next, oldSet, get)
		if err != nil {
			return TreeDiff{}, err
		}
		diff.Removed = append(diff.Removed, removed...)
		diff.Added = append(diff.Added, added...)
		old, next = below, nextBelow
	}
	return diff.reduced(), nil
}

func refSet(refs []Ref) map[Ref]bool {
	set := make(map[Ref]bool, len(refs))
	for _, r := range refs {
		set[r] = true
	}
	return set
}

// expand gets the sections that the other side lacks, and what they list.
func expand(refs []Ref, other map[Ref]bool, get func(Ref) (Section, error)) (sections []Section, below []Ref, err error) {
	for _, ref := range refs {
		if other[ref] {
			continue
		}
		s, err := get(ref)
		if errors.Is(err, errAbsent) {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		s.Name = ref.Name
		children, err := Children(s)
		if err != nil {
			return nil, nil, err
		}
		sections = append(sections, s)
		below = append(below, children...)
	}
	return sections, below, nil
}

// reduced drops sections that stand on both sides, at different heights.
func (d TreeDiff) reduced() TreeDiff {
	count := make(map[Ref]int, len(d.Removed))
	for _, s := range d.Removed {
		count[s.Ref()]++
	}
	var out TreeDiff
	for _, s := range d.Added {
		if ref := s.Ref(); count[ref] > 0 {
			count[ref]--
			continue
		}
		out.Added = append(out.Added, s)
	}
	for _, s := range d.Removed {
		if ref := s.Ref(); count[ref] > 0 {
			count[ref]--
			out.Removed = append(out.Removed, s)
		}
	}
	return out
}
