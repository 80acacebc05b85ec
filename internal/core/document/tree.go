package document

import (
	"errors"
	"fmt"
)

// errSectionUnavailable makes CompareTrees continue without a section.
const errSectionUnavailable sentinelError = "section is not available"

// TreeDiff contains the sections that are in only one of two trees.
type TreeDiff struct {
	Added   []Section
	Removed []Section
}

// MissingError is a head of which some sections are not available.
type MissingError struct {
	Sequence uint64
	// Refs are some of the missing sections. Sections that a missing page lists
	// are not included.
	Refs []Ref
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("head %d: %d sections are missing", e.Sequence, len(e.Refs))
}

// CompareTrees compares two trees of sections level by level and skips the
// subtrees that are equal, so that the cost is proportional to the difference.
// It calls get only for sections that differ.
//
// Errors: those of get, and *SectionError for a malformed page.
func CompareTrees(old, next []Ref, get func(Ref) (Section, error)) (TreeDiff, error) {
	var diff TreeDiff
	for len(old) > 0 || len(next) > 0 {
		oldSet, nextSet := refSet(old), refSet(next)
		removed, oldBelow, err := expandDiff(old, nextSet, get)
		if err != nil {
			return TreeDiff{}, err
		}
		added, nextBelow, err := expandDiff(next, oldSet, get)
		if err != nil {
			return TreeDiff{}, err
		}
		diff.Removed = append(diff.Removed, removed...)
		diff.Added = append(diff.Added, added...)
		old, next = oldBelow, nextBelow
	}
	return diff.withoutCommon(), nil
}

func refSet(refs []Ref) map[Ref]bool {
	set := make(map[Ref]bool, len(refs))
	for _, r := range refs {
		set[r] = true
	}
	return set
}

// expandDiff returns the sections of refs that other does not contain, and the
// references that they list.
func expandDiff(refs []Ref, other map[Ref]bool, get func(Ref) (Section, error)) (sections []Section, nextLevel []Ref, err error) {
	for _, ref := range refs {
		if other[ref] {
			continue
		}
		s, err := get(ref)
		if errors.Is(err, errSectionUnavailable) {
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
		nextLevel = append(nextLevel, children...)
	}
	return sections, nextLevel, nil
}

// withoutCommon drops the sections that are in both trees at different depths.
func (d TreeDiff) withoutCommon() TreeDiff {
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
