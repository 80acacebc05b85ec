package envstore

import (
	"context"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// claim makes sure that a section is stored and that its revision moves, which
// keeps a collection from deleting it. A section that is likely stored already
// is looked up first, which saves a write.
func (s *Store) claim(ctx context.Context, sec document.Section, stored bool) error {
	key := sectionKey(sec.Hash)
	if len(sec.Data) > document.MaxSection {
		return &port.StoreError{Code: port.StoreTooLarge, Op: "create", Key: key}
	}
	revision, err := s.revision(ctx, key, stored)
	if err != nil {
		return err
	}
	for range maxRaces {
		err := s.kv.CompareAndSwap(ctx, key, sec.Data, revision)
		if !port.IsStoreCode(err, port.StoreConflict) && !port.IsStoreCode(err, port.StoreUnknown) {
			return err
		}
		if revision, err = s.revision(ctx, key, true); err != nil {
			return err
		}
	}
	return &RaceError{Key: key}
}

// revision returns the revision of a key, or zero when it is absent or not to
// be looked up.
func (s *Store) revision(ctx context.Context, key string, look bool) (uint64, error) {
	if !look {
		return 0, nil
	}
	e, err := s.kv.Get(ctx, key)
	if err != nil && !port.IsStoreCode(err, port.StoreNotFound) {
		return 0, err
	}
	return e.Revision, nil
}
