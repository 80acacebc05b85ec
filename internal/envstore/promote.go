package envstore

import (
	"context"
	"fmt"
	"slices"

	"cassiatray/internal/core/document"
)

// EmptyError is an environment that has no document.
type EmptyError struct{ Environment string }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("environment %s has no document", e.Environment)
}

// UnchangedError is a change that would change nothing.
type UnchangedError struct {
	Environment string
	Sequence    uint64
}

func (e *UnchangedError) Error() string {
	return fmt.Sprintf("environment %s already runs this document, at sequence %d", e.Environment, e.Sequence)
}

// MovedError is an environment that is no longer at the sequence that an
// operator reviewed.
type MovedError struct {
	Environment string
	Expected    uint64
	// Newest is the change in force now.
	Newest document.Change
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("environment %s was reviewed at sequence %d and has moved on to %d by %s: %s",
		e.Environment, e.Expected, e.Newest.Sequence, e.Newest.Author, e.Newest.Reason)
}

// Accepted is a change in force.
type Accepted struct {
	Head    document.Head     `json:"head"`
	Effects []document.Effect `json:"effects"`
}

// Submission is a document for an environment.
type Submission struct {
	Environment    string
	Author, Reason string
	Document       *document.Document
	// Expect is the sequence that was reviewed; zero accepts any.
	Expect uint64
}

// Submit puts a document in force.
//
// Errors: *UnchangedError, *MovedError, *ConflictError, *port.StoreError.
func (s *Store) Submit(ctx context.Context, in Submission) (Accepted, error) {
	sections, err := document.Divide(in.Document)
	if err != nil {
		return Accepted{}, err
	}
	return s.move(ctx, Proposal{
		Environment: in.Environment, Author: in.Author, Reason: in.Reason, From: "file", Sections: sections,
	}, in.Expect)
}

// Promotion moves the sections of one environment to another.
type Promotion struct {
	From, To       string
	Author, Reason string
	// Expect is the sequence of From that was reviewed; zero accepts any.
	Expect uint64
}

// Promote puts the very sections that one environment runs in force in
// another.
//
// Errors: *EmptyError, *MovedError, *UnchangedError, *ConflictError,
// *port.StoreError.
func (s *Store) Promote(ctx context.Context, in Promotion) (Accepted, error) {
	from, _, err := s.Head(ctx, in.From)
	if err != nil {
		return Accepted{}, err
	}
	if from.Sequence == 0 {
		return Accepted{}, &EmptyError{Environment: in.From}
	}
	if err := s.expect(ctx, from, in.Expect); err != nil {
		return Accepted{}, err
	}
	return s.move(ctx, Proposal{
		Environment: in.To, Author: in.Author, Reason: in.Reason,
		From: fmt.Sprintf("%s@%d", in.From, from.Sequence), Refs: from.Sections,
	}, 0)
}

// expect checks that a head is at the sequence that was reviewed.
func (s *Store) expect(ctx context.Context, h document.Head, sequence uint64) error {
	if sequence == 0 || sequence == h.Sequence {
		return nil
	}
	newest, err := s.Change(ctx, h.Environment, h.ChangeID)
	if err != nil {
		newest = document.Change{ID: h.ChangeID, Sequence: h.Sequence}
	}
	return &MovedError{Environment: h.Environment, Expected: sequence, Newest: newest}
}

// move completes a proposal with its base and its effects and applies it.
func (s *Store) move(ctx context.Context, p Proposal, expect uint64) (Accepted, error) {
	base, _, err := s.Head(ctx, p.Environment)
	if err != nil {
		return Accepted{}, err
	}
	if err := s.expect(ctx, base, expect); err != nil {
		return Accepted{}, err
	}
	if slices.Equal(base.Sections, p.refs()) {
		return Accepted{}, &UnchangedError{Environment: p.Environment, Sequence: base.Sequence}
	}
	effects, err := s.Effects(ctx, base.Sections, p.refs(), p.Sections)
	if err != nil {
		return Accepted{}, err
	}
	p.Base, p.Diff = base, document.Texts(effects)
	head, err := s.Apply(ctx, p)
	return Accepted{Head: head, Effects: effects}, err
}
