package document

import (
	"encoding/json"
	"slices"
)

// Delta is what changes between two sequences of an environment, in items
// rather than sections.
type Delta struct {
	// Base is the sequence that the delta starts from.
	Base uint64 `json:"base"`
	// Set are client blocks that are new or have new regions.
	Set []Client `json:"set,omitempty"`
	// Removed are client blocks that are no more.
	Removed []Prefix `json:"removed,omitempty"`
	// Parts are the changed sections other than those of client blocks, and
	// the pages that list them.
	Parts []Section `json:"parts,omitempty"`
}

// itemSize is about what one block takes in memory or in a message, in bytes.
const itemSize = 64

// size is about how many bytes a delta takes.
func (d Delta) size() int {
	n := itemSize * (1 + len(d.Set) + len(d.Removed))
	for _, s := range d.Parts {
		n += len(s.Data)
	}
	return n
}

// sectionJSON is a Section whose data stays readable in JSON.
type sectionJSON struct {
	Name string          `json:"name"`
	Data json.RawMessage `json:"data"`
}

// MarshalJSON writes the section's name and data; its hash follows from them.
func (s Section) MarshalJSON() ([]byte, error) {
	return json.Marshal(sectionJSON{Name: s.Name, Data: s.Data})
}

// UnmarshalJSON reads a section and computes its hash.
func (s *Section) UnmarshalJSON(data []byte) error {
	var v sectionJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*s = Section{Name: v.Name, Data: v.Data, Hash: HashOf(v.Data)}
	return nil
}

// Limits of the deltas that a head carries.
const (
	headDeltas     = 8
	headDeltaBytes = 4096
)

// WithDelta returns the head with the deltas of the head before it and one
// more, as many as fit, newest first to stay. A nil delta is one too large.
func (h Head) WithDelta(before Head, d *Delta) Head {
	h.Deltas = nil
	if d == nil {
		return h
	}
	list := append(slices.Clone(before.Deltas), *d)
	room := headDeltaBytes
	from := len(list)
	for from > 0 && len(list)-from < headDeltas {
		data, err := json.Marshal(list[from-1])
		room -= len(data)
		if err != nil || room < 0 {
			break
		}
		from--
	}
	h.Deltas = list[from:]
	return h
}

// DeltaFrom returns the changes from a sequence up to the head as one delta,
// or false when the head's deltas do not reach back so far.
func (h Head) DeltaFrom(base uint64) (Delta, bool) {
	i := slices.IndexFunc(h.Deltas, func(d Delta) bool { return d.Base == base })
	if i < 0 {
		return Delta{}, false
	}
	return MergeDeltas(h.Deltas[i:]), true
}

// MergeDeltas returns successive deltas as one. The list is not empty.
func MergeDeltas(list []Delta) Delta {
	if len(list) == 1 {
		return list[0]
	}
	out := Delta{Base: list[0].Base}
	set := map[Prefix]int{}
	removed := map[Prefix]bool{}
	parts := map[string]int{}
	for _, d := range list {
		for _, c := range d.Set {
			set[c.Block] = putItem(&out.Set, set, c.Block, c)
			delete(removed, c.Block)
		}
		for _, p := range d.Removed {
			removed[p] = true
		}
		for _, s := range d.Parts {
			parts[s.Name] = putItem(&out.Parts, parts, s.Name, s)
		}
	}
	out.Set = slices.DeleteFunc(out.Set, func(c Client) bool { return removed[c.Block] })
	for p := range removed {
		out.Removed = append(out.Removed, p)
	}
	slices.SortFunc(out.Removed, func(a, b Prefix) int { return a.Compare(b.Prefix) })
	return out
}

// putItem replaces the item under a key, or appends it, and returns its place.
func putItem[K comparable, V any](list *[]V, at map[K]int, key K, item V) int {
	if i, ok := at[key]; ok {
		(*list)[i] = item
		return i
	}
	*list = append(*list, item)
	return len(*list) - 1
}

// compareClients adds the difference of two lists of client blocks to a delta.
func (d *Delta) compareClients(old, next []Client) {
	before := make(map[Prefix]Client, len(old))
	for _, c := range old {
		before[c.Block] = c
	}
	for _, c := range next {
		if b, ok := before[c.Block]; !ok || !slices.Equal(b.Regions, c.Regions) {
			d.Set = append(d.Set, c)
		}
		delete(before, c.Block)
	}
	for _, c := range old {
		if _, ok := before[c.Block]; ok {
			d.Removed = append(d.Removed, c.Block)
		}
	}
}

// NewDelta returns the delta that a difference of trees amounts to.
//
// Errors: *SectionError.
func NewDelta(base uint64, diff TreeDiff) (Delta, error) {
	out := Delta{Base: base}
	old, err := allClients(diff.Removed)
	if err != nil {
		return Delta{}, err
	}
	next, err := allClients(diff.Added)
	if err != nil {
		return Delta{}, err
	}
	out.compareClients(old, next)
	for _, s := range diff.Added {
		if !isClients(s.Name) {
			out.Parts = append(out.Parts, s)
		}
	}
	return out, nil
}

func allClients(sections []Section) ([]Client, error) {
	var out []Client
	for _, s := range sections {
		if IsPage(s.Name) || !isClients(s.Name) {
			continue
		}
		list, err := parseClients(s)
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}
