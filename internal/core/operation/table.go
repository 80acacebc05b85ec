// Package operation decides whether an at-most-once request may be dispatched.
// It is pure: time is an argument, and the caller does the dispatch.
//
// Only the process named in an operation ID may dispatch it, once, and only
// after Begin has recorded it. A record is dropped only together with raising
// the floor, below which no unrecorded ID is ever begun: an ID is thus begun
// once, whatever clocks say and however small the table is.
package operation

import (
	"container/heap"
	"fmt"
	"time"
)

// Limits bound what a table keeps.
type Limits struct {
	// Window is how old an ID may be when it first arrives, and how long a
	// finished record is kept.
	Window time.Duration
	// Records and Bytes bound the finished records and their results. The
	// oldest are dropped first.
	Records int
	Bytes   int
	// Running bounds the operations in progress.
	Running int
}

// Table holds the operations of one process. It is not safe for concurrent use.
type Table[R any] struct {
	limits   Limits
	records  map[string]*Record[R]
	finished byIssued[R]
	bytes    int
	floor    time.Time
	closed   bool
}

// Record is one operation.
type Record[R any] struct {
	ID     string
	Issued time.Time
	// Result is final once Done is closed.
	Result R
	// Done is closed when the operation is finished.
	Done chan struct{}

	finished bool
	size     int
}

// Finished reports whether the result is final.
func (r *Record[R]) Finished() bool { return r.finished }

// NewTable returns an empty table.
func NewTable[R any](limits Limits) *Table[R] {
	return &Table[R]{limits: limits, records: map[string]*Record[R]{}}
}

// Reason says why an operation cannot begin.
type Reason string

// Reasons of a RefusedError.
const (
	// Expired means that the record of the ID may have been dropped.
	Expired Reason = "expired"
	// Ahead means that the ID was issued later than this process can hold.
	Ahead Reason = "issued in the future"
	// Full means that too many operations are in progress.
	Full Reason = "too many in progress"
	// Closed means that the table begins nothing any more: an ID that it does
	// not hold and that is above the floor never ran and never will.
	Closed Reason = "closed"
)

// RefusedError is an operation that was not begun and not recorded.
type RefusedError struct {
	ID     string
	Reason Reason
}

func (e *RefusedError) Error() string { return fmt.Sprintf("operation %s: %s", e.ID, e.Reason) }

// Begin returns the record of an ID and whether the caller is the one to run
// it, and must then Finish it.
//
// Errors: *RefusedError.
func (t *Table[R]) Begin(now time.Time, id string, issued time.Time) (*Record[R], bool, error) {
	if r, ok := t.records[id]; ok {
		return r, false, nil
	}
	t.Expire(now)
	if reason := t.refuse(now, issued); reason != "" {
		return nil, false, &RefusedError{ID: id, Reason: reason}
	}
	r := &Record[R]{ID: id, Issued: issued, Done: make(chan struct{})}
	t.records[id] = r
	return r, true, nil
}

func (t *Table[R]) refuse(now, issued time.Time) Reason {
	switch {
	case !issued.After(t.floor) || now.Sub(issued) > t.limits.Window:
		return Expired
	case t.closed:
		return Closed
	case issued.Sub(now) > t.limits.Window:
		return Ahead
	case len(t.records)-len(t.finished) >= t.limits.Running:
		return Full
	}
	return ""
}

// Finish sets the final result. Size is what the result takes, in bytes.
func (t *Table[R]) Finish(r *Record[R], result R, size int) {
	if r.finished {
		return
	}
	r.finished = true
	r.Result = result
	r.size = len(r.ID) + size
	t.bytes += r.size
	heap.Push(&t.finished, r)
	for len(t.finished) > t.limits.Records || t.bytes > t.limits.Bytes {
		t.drop()
	}
	close(r.Done)
}

// Seal finishes an ID that was never begun, so that it never will be. It
// returns the record, which is another's when the ID was begun before.
//
// Errors: *RefusedError.
func (t *Table[R]) Seal(now time.Time, id string, issued time.Time, result R, size int) (*Record[R], error) {
	r, mine, err := t.Begin(now, id, issued)
	if err == nil && mine {
		t.Finish(r, result, size)
	}
	return r, err
}

// Close ends the beginning of operations. It returns the floor: an ID issued
// after it that has no record here never ran and never will.
func (t *Table[R]) Close() time.Time {
	t.closed = true
	return t.floor
}

// Finished returns the finished records, in no order.
func (t *Table[R]) Finished() []*Record[R] { return t.finished }

// Running returns the number of operations in progress.
func (t *Table[R]) Running() int { return len(t.records) - len(t.finished) }

// Len returns the number of records kept.
func (t *Table[R]) Len() int { return len(t.records) }

// Expire drops finished records older than the window.
func (t *Table[R]) Expire(now time.Time) {
	for len(t.finished) > 0 && now.Sub(t.finished[0].Issued) > t.limits.Window {
		t.drop()
	}
}

// drop forgets the oldest finished record and raises the floor to it.
func (t *Table[R]) drop() {
	r := heap.Pop(&t.finished).(*Record[R])
	delete(t.records, r.ID)
	t.bytes -= r.size
	if r.Issued.After(t.floor) {
		t.floor = r.Issued
	}
}

// byIssued is a heap of finished records, oldest first.
type byIssued[R any] []*Record[R]

func (h byIssued[R]) Len() int           { return len(h) }
func (h byIssued[R]) Less(i, j int) bool { return h[i].Issued.Before(h[j].Issued) }
func (h byIssued[R]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byIssued[R]) Push(r any) { *h = append(*h, r.(*Record[R])) }

// Pop implements heap.Interface.
func (h *byIssued[R]) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
