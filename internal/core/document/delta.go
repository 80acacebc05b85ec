package document

import (
	"encoding/json"
	"slices"
)

// Delta is the difference between two sequences of an environment, in client
// blocks and other sections.
type Delta struct {
	// Base is the sequence that the delta starts from.
	Base uint64 `json:"base"`
	// Set are client blocks that are new or have new regions.
	Set []Client `json:"set,omitempty"`
	// Removed are client blocks that no longer exist.
	Removed []Prefix `json:"removed,omitempty"`
	// Parts are the changed sections without client blocks, including the pages
	// that list them.
	Parts []Section `json:"parts,omitempty"`
}

// approxBlockSize is the approximate size of a client block in memory or in a
// message, in bytes.
const approxBlockSize = 64

// approxSize returns the approximate size of a delta in bytes.
func (d Delta) approxSize() int {
	n := approxBlockSize * (1 + len(d.Set) + len(d.Removed))
	for _, s := range d.Parts {
		n += len(s.Data)
	}
	return n
}

// sectionJSON encodes the data of a Section as JSON rather than as base64.
type sectionJSON struct {
	Name string          `json:"name"`
	Data json.RawMessage `json:"data"`
}

// MarshalJSON encodes the section's name and data; the hash is computed from
// the data when it is decoded.
func (s Section) MarshalJSON() ([]byte, error) {
	return json.Marshal(sectionJSON{Name: s.Name, Data: s.Data})
}

// UnmarshalJSON decodes a section and computes its hash.
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
	maxHeadDeltas     = 8
	maxHeadDeltaBytes = 4096
)

// WithDelta returns the head with d and as many of the latest deltas of the
// previous head as fit. A nil d stands for a delta that is too large; the head
// then has no deltas.
func (h Head) WithDelta(before Head, d *Delta) Head {
	h.Deltas = nil
	if d == nil {
		return h
	}
	list := append(slices.Clone(before.Deltas), *d)
	remaining := maxHeadDeltaBytes
	from := len(list)
	for from > 0 && len(list)-from < maxHeadDeltas {
		data, err := json.Marshal(list[from-1])
		remaining -= len(data)
		if err != nil || remaining < 0 {
			break
		}
		from--
	}
	h.Deltas = list[from:]
	return h
}

// DeltaFrom returns the changes from a sequence to the head as one delta, or
// false if the deltas of the head do not go back that far.
func (h Head) DeltaFrom(base uint64) (Delta, bool) {
	i := slices.IndexFunc(h.Deltas, func(d Delta) bool { return d.Base == base })
	if i < 0 {
		return Delta{}, false
	}
	return MergeDeltas(h.Deltas[i:]), true
}

// MergeDeltas combines successive deltas into one. The list must not be empty.
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
			set[c.Block] = upsert(&out.Set, set, c.Block, c)
			delete(removed, c.Block)
		}
		for _, p := range d.Removed {
			removed[p] = true
		}
		for _, s := range d.Parts {
			parts[s.Name] = upsert(&out.Parts, parts, s.Name, s)
		}
	}
	out.Set = slices.DeleteFunc(out.Set, func(c Client) bool { return removed[c.Block] })
	for p := range removed {
		out.Removed = append(out.Removed, p)
	}
	slices.SortFunc(out.Removed, func(a, b Prefix) int { return a.Compare(b.Prefix) })
	return out
}

// upsert replaces the item with a key, or appends it, and returns its index.
func upsert[K comparable, V any](list *[]V, index map[K]int, key K, item V) int {
	if i, ok := index[key]; ok {
		(*list)[i] = item
		return i
	}
	*list = append(*list, item)
	return len(*list) - 1
}

// addClientChanges adds the difference of two lists of client blocks to the
// delta.
func (d *Delta) addClientChanges(old, next []Client) {
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

// NewDelta converts a difference of section trees into a delta.
//
// Errors: *SectionError.
func NewDelta(base uint64, diff TreeDiff) (Delta, error) {
	out := Delta{Base: base}
	old, err := clientsIn(diff.Removed)
	if err != nil {
		return Delta{}, err
	}
	next, err := clientsIn(diff.Added)
	if err != nil {
		return Delta{}, err
	}
	out.addClientChanges(old, next)
	for _, s := range diff.Added {
		if !isClients(s.Name) {
			out.Parts = append(out.Parts, s)
		}
	}
	return out, nil
}

// clientsIn returns the client blocks of sections.
func clientsIn(sections []Section) ([]Client, error) {
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
