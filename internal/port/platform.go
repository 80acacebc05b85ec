package port

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Entry is one key of the platform's key-value service.
type Entry struct {
	Key   string
	Value []byte
	// Revision grows with every write of the key. Zero means the key is absent.
	Revision uint64
	// Lease names the lease that holds the key; empty when none does.
	Lease LeaseID
}

// LeaseID names a lease granted by the platform.
type LeaseID string

// Platform is the platform's key-value service. Every method is one call
// against the platform's budget; a waiting Watch counts as one for as long as
// it waits.
//
// Errors: *StoreError with code StoreNotFound, StoreConflict, StoreTooLarge,
// StoreUnavailable (the call had no effect) or StoreUnknown (the reply was
// lost and the write may have taken effect).
type Platform interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value when the key is at revision. Revision zero
	// creates the key.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error
	// Delete removes the key when it is at revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits at most wait for the key to pass revision after, and returns
	// its current entry either way. An absent key has revision zero.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// GrantLease opens a lease that lapses ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease. A lapsed lease gives StoreNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes the keys it holds.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Acquire writes value to key and ties it to the lease, unless another
	// lease holds the key. It reports whether the lease holds the key now.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) (bool, error)
}

// StoreCode classifies failures of the platform's key-value service.
type StoreCode string

// Codes of StoreError.
const (
	StoreNotFound    StoreCode = "not-found"
	StoreConflict    StoreCode = "conflict"
	StoreTooLarge    StoreCode = "too-large"
	StoreUnavailable StoreCode = "unavailable"
	StoreUnknown     StoreCode = "unknown"
	StoreCompacted   StoreCode = "compacted"
)

// StoreError is a failed call to the platform's key-value service.
type StoreError struct {
	Code StoreCode
	Op   string
	Key  string
	Err  error
}

func (e *StoreError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store %s %s: %s", e.Op, e.Key, e.Code)
	}
	return fmt.Sprintf("store %s %s: %s: %v", e.Op, e.Key, e.Code, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// IsStoreCode reports whether err is a StoreError with the given code.
func IsStoreCode(err error, code StoreCode) bool {
	var se *StoreError
	return errors.As(err, &se) && se.Code == code
}
