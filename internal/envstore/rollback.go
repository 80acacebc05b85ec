package envstore

import "context"

// Reversal puts the sections of an earlier change in force again.
type Reversal struct {
	Environment string
	// Change is the ID or the sequence of the earlier change.
	Change         string
	Author, Reason string
}

// Rollback makes a new change with the sections of an earlier one. History
// only grows: the sequence goes up.
//
// Errors: *UnknownChangeError, *UnchangedError, *ConflictError,
// *port.StoreError.
func (s *Store) Rollback(ctx context.Context, in Reversal) (Accepted, error) {
	c, err := s.Find(ctx, in.Environment, in.Change)
	if err != nil {
		return Accepted{}, err
	}
	return s.move(ctx, Proposal{
		Environment: in.Environment, Author: in.Author, Reason: in.Reason, From: c.ID, Refs: c.Sections,
	}, 0)
}
