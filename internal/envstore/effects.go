package envstore

import (
	"context"

	"cassiatray/internal/core/document"
)

// Effects returns what a move from one tree of sections to another does. Old
// is empty when there is no document yet. It reads all sections but those of
// client blocks, and of these only the ones that differ. Sections at hand are
// not read.
func (s *Store) Effects(ctx context.Context, old, next []document.Ref, atHand []document.Section) ([]document.Effect, error) {
	tree, err := s.Compare(ctx, old, next, atHand)
	if err != nil {
		return nil, err
	}
	r := newReader(s, atHand, tree.Added, tree.Removed)
	after, err := r.partly(ctx, next, tree.Added)
	if err != nil {
		return nil, err
	}
	if len(old) == 0 {
		return document.Diff(nil, after), nil
	}
	before, err := r.partly(ctx, old, tree.Removed)
	if err != nil {
		return nil, err
	}
	return document.Diff(before, after), nil
}

// reader reads each section once.
type reader struct {
	store *Store
	have  map[document.Hash]document.Section
}

func newReader(s *Store, lists ...[]document.Section) *reader {
	r := &reader{store: s, have: map[document.Hash]document.Section{}}
	for _, list := range lists {
		for _, sec := range list {
			r.have[sec.Hash] = sec
		}
	}
	return r
}

// partly reads a document with only those client blocks that some sections
// hold.
func (r *reader) partly(ctx context.Context, refs []document.Ref, clients []document.Section) (*document.Document, error) {
	var out []document.Section
	for _, sec := range clients {
		if document.HoldsClients(sec.Name) {
			out = append(out, sec)
		}
	}
	for len(refs) > 0 {
		level, err := r.read(ctx, refs)
		if err != nil {
			return nil, err
		}
		out = append(out, level...)
		refs = nil
		for _, sec := range level {
			children, err := document.Children(sec)
			if err != nil {
				return nil, &CorruptError{Key: sectionKey(sec.Hash), Err: err}
			}
			refs = append(refs, children...)
		}
	}
	return document.Join(out)
}

// read returns the sections of a list that hold no client blocks.
func (r *reader) read(ctx context.Context, refs []document.Ref) ([]document.Section, error) {
	var out []document.Section
	var missing []document.Ref
	for _, ref := range refs {
		if document.HoldsClients(ref.Name) {
			continue
		}
		if sec, ok := r.have[ref.Hash]; ok {
			sec.Name = ref.Name
			out = append(out, sec)
			continue
		}
		missing = append(missing, ref)
	}
	read, err := r.store.Read(ctx, missing)
	for _, sec := range read {
		r.have[sec.Hash] = sec
	}
	return append(out, read...), err
}

// Frame reads a document without its client blocks.
func (s *Store) Frame(ctx context.Context, refs []document.Ref) (*document.Document, error) {
	return newReader(s).partly(ctx, refs, nil)
}
