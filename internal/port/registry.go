package port

import (
	"context"
	"time"
)

// A service that comes back from a copy of itself continues with the copy's revision, and
// gives the later ones out again. It counts these restores in its era. The revisions of a
// Registry include the era, so that they never fall.

// EraSpan is the distance between the revisions of two eras, more than a service uses in one.
// A power of ten, so that logs show era and revision.
const EraSpan uint64 = 1e13

// RevisionIn returns a service's revision in an era; zero stays zero, for no revision.
func RevisionIn(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era*EraSpan + revision
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision / EraSpan }

// Change is one write or removal of a key.
type Change struct {
	Entry
	// Deleted is set when the key was removed; Revision is then that of the
	// removal, and there is no value.
	Deleted bool
}

// Listing is the keys under a prefix. It was read in pages, so a key that
// changed meanwhile may be listed with a revision above Revision.
type Listing struct {
	Entries []Entry
	// Revision is the store's revision when the oldest page was read: every
	// change up to it is in Entries.
	Revision uint64
}

// Changes is what happened under a prefix.
type Changes struct {
	List []Change
	// Revision is where the next watch continues.
	Revision uint64
}

// Registry is the platform's key-value service as the gateway uses it: a
// service that watches whole prefixes. Every method is one call against the
// platform's budget.
//
// Errors: *StoreError, with code StoreNotFound for a lease that has ended,
// StoreConflict for a key that is not as expected, StoreCompacted for a watch
// from a revision that the store has forgotten or that is of another era, or
// whose changes are more than is read, StoreTooLarge for a listing of more than
// is kept, StoreUnavailable (the call had no effect) or StoreUnknown (the reply
// was lost).
type Registry interface {
	// ListPrefix reads all keys with a prefix.
	ListPrefix(ctx context.Context, prefix string) (Listing, error)
	// ListStale is ListPrefix at a fraction of its price: what it returns may be
	// seconds old, and is whole up to its revision. It calls page after each page.
	ListStale(ctx context.Context, prefix string, page func()) (Listing, error)
	// WatchPrefix returns the changes after a revision, at once when there are
	// any and after wait when there are none.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// GrantLease opens a lease that lapses ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes the keys it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Put writes a key, whatever it holds, and ties it to a lease.
	Put(ctx context.Context, key string, value []byte, id LeaseID) error
}
