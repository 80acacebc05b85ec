package envstore

import (
	"context"
	"fmt"
	"strconv"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// History returns the newest changes of an environment, newest first, at most
// limit of them. It ends earlier where older changes have been collected.
func (s *Store) History(ctx context.Context, environment string, limit int) ([]document.Change, error) {
	var out []document.Change
	err := s.walk(ctx, environment, func(c document.Change) bool {
		out = append(out, c)
		return len(out) < limit
	})
	return out, err
}

// walk passes changes to fn, newest first, until fn returns false.
func (s *Store) walk(ctx context.Context, environment string, fn func(document.Change) bool) error {
	head, _, err := s.Head(ctx, environment)
	if err != nil {
		return err
	}
	for id := head.ChangeID; id != ""; {
		c, err := s.Change(ctx, environment, id)
		if port.IsStoreCode(err, port.StoreNotFound) && id != head.ChangeID {
			return nil
		}
		if err != nil {
			return err
		}
		if !fn(c) {
			return nil
		}
		id = c.Parent
	}
	return nil
}

// UnknownChangeError is a change that an environment's history does not have,
// or no longer has.
type UnknownChangeError struct{ Environment, Change string }

func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("environment %s has no change %q in its history", e.Environment, e.Change)
}

// Find returns the change with an ID or a sequence in decimal.
//
// Errors: *UnknownChangeError, *port.StoreError.
func (s *Store) Find(ctx context.Context, environment, name string) (document.Change, error) {
	sequence, err := strconv.ParseUint(name, 10, 64)
	bySequence := err == nil && len(name) < 2*idBytes
	var found *document.Change
	err = s.walk(ctx, environment, func(c document.Change) bool {
		if c.ID == name || bySequence && c.Sequence == sequence {
			found = &c
		}
		return found == nil && (!bySequence || c.Sequence > sequence)
	})
	if err != nil {
		return document.Change{}, err
	}
	if found == nil {
		return document.Change{}, &UnknownChangeError{Environment: environment, Change: name}
	}
	return *found, nil
}
