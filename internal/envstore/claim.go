package envstore

import (
	"context"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// claim makes sure that a section is stored and that its revision moves, which
// keeps a collection from deleting it.
func (s *Store) claim(ctx context.Context, sec document.Section) error {
	key := sectionKey(sec.Hash)
	if len(sec.Data) > document.MaxSection {
		return &port.StoreError{Code: port.StoreTooLarge, Op: "create", Key: key}
	}
	var revision uint64
	for range maxRaces {
		err := s.kv.CompareAndSwap(ctx, key, sec.Data, revision)
		if !port.IsStoreCode(err, port.StoreConflict) && !port.IsStoreCode(err, port.StoreUnknown) {
			return err
		}
		e, err := s.kv.Get(ctx, key)
		if err != nil && !port.IsStoreCode(err, port.StoreNotFound) {
			return err
		}
		revision = e.Revision
	}
	return &RaceError{Key: key}
}
