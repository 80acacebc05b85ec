package operation

import "time"

// Guard refuses dispatches that a host has taken before. The first entry host
// of an operation numbers its attempts from 1 and sends an attempt only after
// the one before was refused or never sent; a number that does not grow is
// therefore a duplicate, or a late message of a process that was paused. It is
// not safe for concurrent use.
type Guard struct{ taken *Table[uint32] }

// guardSize is what a record of a guard takes besides its ID, in bytes.
const guardSize = 64

// NewGuard returns a guard that remembers attempts within limits.
func NewGuard(limits Limits) *Guard { return &Guard{taken: NewTable[uint32](limits)} }

// Take records an attempt before it is run.
//
// Errors: *RefusedError.
func (g *Guard) Take(now time.Time, id string, issued time.Time, attempt uint32) error {
	r, mine, err := g.taken.Begin(now, id, issued)
	if err != nil {
		return err
	}
	if mine {
		g.taken.Finish(r, attempt, guardSize)
		return nil
	}
	if attempt <= r.Result {
		return &RefusedError{ID: id, Reason: Repeated}
	}
	r.Result = attempt
	return nil
}

// Repeated means that an attempt with the same or a higher number was taken.
const Repeated Reason = "attempt taken before"
