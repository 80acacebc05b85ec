package envstore

import (
	"context"
	"sync"

	"cassiatray/internal/core/document"
)

// parallelCalls bounds the calls to the platform that one operation makes at
// once.
const parallelCalls = 16

// Section reads one section and checks its hash.
func (s *Store) Section(ctx context.Context, ref document.Ref) (document.Section, error) {
	key := sectionKey(ref.Hash)
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return document.Section{}, err
	}
	if document.HashOf(e.Value) != ref.Hash {
		return document.Section{}, &CorruptError{Key: key, Err: document.ErrHash}
	}
	return document.Section{Name: ref.Name, Hash: ref.Hash, Data: e.Value}, nil
}

// Read reads the sections of a list of references, in its order, and not what
// pages among them list.
func (s *Store) Read(ctx context.Context, refs []document.Ref) ([]document.Section, error) {
	out := make([]document.Section, len(refs))
	places := make([]int, len(refs))
	for i := range refs {
		places[i] = i
	}
	err := inParallel(places, func(i int) error {
		sec, err := s.Section(ctx, refs[i])
		out[i] = sec
		return err
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Sections reads all sections of a tree: those of a list of references and all
// that the pages among them list.
func (s *Store) Sections(ctx context.Context, refs []document.Ref) ([]document.Section, error) {
	var out []document.Section
	for len(refs) > 0 {
		level, err := s.Read(ctx, refs)
		if err != nil {
			return nil, err
		}
		refs = nil
		for _, sec := range level {
			children, err := document.Children(sec)
			if err != nil {
				return nil, &CorruptError{Key: sectionKey(sec.Hash), Err: err}
			}
			refs = append(refs, children...)
		}
		out = append(out, level...)
	}
	return out, nil
}

// Document reads a whole document.
func (s *Store) Document(ctx context.Context, refs []document.Ref) (*document.Document, error) {
	sections, err := s.Sections(ctx, refs)
	if err != nil {
		return nil, err
	}
	return document.Join(sections)
}

// Compare walks two trees of sections and reads only where they differ.
// Sections at hand are not read.
func (s *Store) Compare(ctx context.Context, old, next []document.Ref, atHand []document.Section) (document.TreeDiff, error) {
	byHash := make(map[document.Hash]document.Section, len(atHand))
	for _, sec := range atHand {
		byHash[sec.Hash] = sec
	}
	return document.CompareTrees(old, next, func(ref document.Ref) (document.Section, error) {
		if sec, ok := byHash[ref.Hash]; ok {
			return sec, nil
		}
		return s.Section(ctx, ref)
	})
}

// inParallel calls fn for each item, parallelCalls at a time, and returns the
// first failure. It starts no call after a failure.
func inParallel[T any](items []T, fn func(T) error) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	slots := make(chan struct{}, parallelCalls)
	for _, item := range items {
		slots <- struct{}{}
		mu.Lock()
		failed := first != nil
		mu.Unlock()
		if failed {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := fn(item); err != nil {
				mu.Lock()
				if first == nil {
					first = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return first
}
