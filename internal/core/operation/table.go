// Package operation decides whether an at-most-once request may be dispatched.
// It is pure: time is an argument, and the caller does the dispatch.
//
// Only the process named in an operation ID may dispatch it, once. The table
// of that process is the record of it; no other process runs the operation.
package operation

import (
	"fmt"
	"time"
)

// State is where an operation stands.
type State int

// States of an operation, in the order they are passed.
const (
	// Admitted: recorded, and nothing of it has been sent.
	Admitted State = iota
	// Dispatched: it may have reached a backend server.
	Dispatched
	// Finished: its outcome is final.
	Finished
)

// Table holds the operations of one process. It is not safe for concurrent use.
type Table[R any] struct {
	window  time.Duration
	records map[string]*Record[R]
}

// Record is one operation.
type Record[R any] struct {
	ID      string
	State   State
	Started time.Time
	// Result is the answer of a finished operation.
	Result R
	// Done is closed when the operation is finished.
	Done chan struct{}
}

// NewTable returns a table that keeps records for window. An ID that is older
// than the window is refused, so a record is never needed after it is dropped.
func NewTable[R any](window time.Duration) *Table[R] {
	return &Table[R]{window: window, records: map[string]*Record[R]{}}
}

// ExpiredError is an operation ID whose record may have been dropped.
type ExpiredError struct {
	ID  string
	Age time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("operation %s is %s old and no longer kept", e.ID, e.Age)
}

// Begin returns the record of an ID and whether the caller is the one to run
// it. Created is the time in the ID.
//
// Errors: *ExpiredError.
func (t *Table[R]) Begin(now time.Time, id string, created time.Time) (*Record[R], bool, error) {
	if r, ok := t.records[id]; ok {
		return r, false, nil
	}
	if age := now.Sub(created); age > t.window {
		return nil, false, &ExpiredError{ID: id, Age: age}
	}
	r := &Record[R]{ID: id, Started: now, Done: make(chan struct{})}
	t.records[id] = r
	return r, true, nil
}

// Finish sets the final result.
func (t *Table[R]) Finish(r *Record[R], result R) {
	if r.State == Finished {
		return
	}
	r.State = Finished
	r.Result = result
	close(r.Done)
}

// Len returns the number of records kept.
func (t *Table[R]) Len() int { return len(t.records) }

// keepFactor is how many windows a record is kept: an ID may be up to one
// window ahead of this host's clock when it arrives.
const keepFactor = 2

// Expire drops finished records that no resend can need.
func (t *Table[R]) Expire(now time.Time) {
	for id, r := range t.records {
		if r.State == Finished && now.Sub(r.Started) > keepFactor*t.window {
			delete(t.records, id)
		}
	}
}
